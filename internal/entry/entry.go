// Package entry implements the HTTP API for clients and operators, which every
// entry process serves. The workers are divided into placement domains; at most one
// entry at a time owns a domain and places its jobs. A request passes through a chain
// of filters (files filter_*.go) and is then routed over RPC to the owner of a domain.
// A response is either complete and verified, or an error whose verdict says whether
// the request may have run.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/drainlistener"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Owners returns the known owners and entries. Its methods read from memory and
// do not block.
type Owners interface {
	// Owner returns the owner of the domain, and false if none is known.
	Owner(domain string) (structs.Owner, bool)
	// Entries returns the entries that are considered alive.
	Entries() []structs.EntryInfo
}

// Manifests provides the manifest in force.
type Manifests interface {
	// Current returns the manifest in force, or nil if none is known. The caller
	// must not modify it.
	Current() *structs.Manifest
}

// ManifestStore stores the accepted manifests.
type ManifestStore interface {
	// Apply validates m, stores it as the successor of m.Parent and returns it
	// with its version. Error codes: bad_request, inadmissible and conflict, each
	// with the verdict NotRun, and platform_unavailable.
	Apply(ctx context.Context, m *structs.Manifest) (*structs.Manifest, error)
	// History returns up to limit accepted manifests, newest first.
	History(ctx context.Context, limit int) ([]structs.Manifest, error)
	// Load returns the manifest with the version. Error code: not_found.
	Load(ctx context.Context, version uint64) (*structs.Manifest, error)
}

// Records reads durable job records.
type Records interface {
	// Job returns the record with its result. A result that is not stored in the
	// row is read from the object store. Error codes: not_found,
	// platform_unavailable.
	Job(ctx context.Context, id string) (*structs.Job, error)
}

// Caller makes RPC calls; rpc.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error
}

// CheckFunc decodes and validates a manifest document. The returned map gives for
// each domain the number of worker losses that the guarantees survive.
type CheckFunc func(document []byte) (*structs.Manifest, map[string]int, error)

// Default values of Config.
const (
	DefaultMaxInFlight   = 4096
	DefaultMaxWait       = 60 * time.Second
	DefaultSubmitTimeout = 12 * time.Second
	// DefaultDrainDelay is the time within which the load balancer stops sending
	// requests to a target that is not ready.
	DefaultDrainDelay = 3 * time.Second
)

// Config holds the settings and dependencies of a Server. All interfaces except
// Faults are required, and so is Check.
type Config struct {
	// ID names the entry.
	ID string
	// RPCAddr is the entry's own RPC address.
	RPCAddr   string
	Owners    Owners
	Manifests Manifests
	Store     ManifestStore
	Records   Records
	Caller    Caller
	Check     CheckFunc
	// Schema is the JSON Schema of the manifest.
	Schema []byte
	// Ready returns an error while the process is not ready; it may be nil.
	Ready func() error
	// Faults serves POST /debug/faults, which controls fault injection. It is nil
	// in builds without the tag faults.
	Faults http.Handler
	// MaxInFlight limits the requests in progress. One account may use half of it.
	MaxInFlight int
	// MaxWait limits the query parameter wait.
	MaxWait time.Duration
	// SubmitTimeout limits the submission of a job to an owner. A request with a
	// longer wait has at least that time.
	SubmitTimeout time.Duration
	// DrainDelay is how long Drain keeps the listener open after readiness fails,
	// so that the load balancer can notice. A negative value means no delay.
	DrainDelay time.Duration
}

// Server is the HTTP server of an entry. It is safe for concurrent use.
type Server struct {
	cfg     Config
	handler http.Handler
	http    *http.Server
	// drainListener is the listener of Serve; nil before Serve.
	drainListener atomic.Pointer[drainlistener.Listener]

	draining atomic.Bool
	// waitsEnded is closed when waiting requests must end. Their response is then the
	// last known state of their job.
	waitsEnded   chan struct{}
	endWaitsOnce sync.Once

	inFlight atomic.Int64
	conns    atomic.Int64
	// bodyBytes limits the total size of the request bodies in progress.
	bodyBytes         *semaphore.Weighted
	accountSlots      accountSlots
	rateLimiters      rateLimiters
	retryBudget       *retry.Budget
	recordReadLimiter *rate.Limiter
	ownerHints        ownerHints
	submissions       singleflight.Group
	// backgroundCalls counts the submissions and owner lookups in progress that may
	// outlive the request that started them.
	backgroundCalls atomic.Int64
}

// New returns a Server. It returns an error that names every missing dependency.
func New(cfg Config) (*Server, error) {
	var errs []error
	for _, d := range []struct {
		name    string
		missing bool
	}{
		{"Owners", cfg.Owners == nil}, {"Manifests", cfg.Manifests == nil}, {"Store", cfg.Store == nil},
		{"Records", cfg.Records == nil}, {"Caller", cfg.Caller == nil}, {"Check", cfg.Check == nil},
	} {
		if d.missing {
			errs = append(errs, fmt.Errorf("entry: %s is not set", d.name))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	s := &Server{cfg: cfg, waitsEnded: make(chan struct{}), retryBudget: retry.NewBudget(time.Now()),
		recordReadLimiter: rate.NewLimiter(recordReadsPerSecond, recordReadsBurst), bodyBytes: semaphore.NewWeighted(maxBodyBytesInFlight)}
	s.accountSlots.limit = max(1, cfg.MaxInFlight/2)
	s.handler = s.routes()
	s.http = &http.Server{
		Handler: s.handler,
		// A response can take the longest wait plus 30 s for the transfer.
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		WriteTimeout:      cfg.MaxWait + 30*time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ConnState:         s.limitConns,
	}
	return s, nil
}

func (c *Config) setDefaults() {
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.SubmitTimeout <= 0 {
		c.SubmitTimeout = DefaultSubmitTimeout
	}
	if c.DrainDelay == 0 {
		c.DrainDelay = DefaultDrainDelay
	}
}

// limitConns closes a new connection if there are already twice as many as
// MaxInFlight. No request has been read from it at that point.
func (s *Server) limitConns(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.conns.Add(1) > int64(2*s.cfg.MaxInFlight) {
			metrics.Add("connsRefused", 1)
			// http.Server notices that the connection is closed when it first reads from it.
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve accepts connections on l and serves requests until Drain is called. It
// returns nil after Drain.
func (s *Server) Serve(l net.Listener) error {
	listener := drainlistener.New(l)
	s.drainListener.Store(listener)
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

const (
	// drainMargin is how long before the deadline of Drain's context waiting requests
	// end. Their response is the state known by then.
	drainMargin = time.Second
	// drainPollInterval is how often Drain checks for requests in progress.
	drainPollInterval = 5 * time.Millisecond
)

// Drain shuts the server down. Readiness fails at once, and new jobs and manifests are
// refused with the code draining. Requests in progress are completed; those that still
// wait shortly before ctx ends receive the current state of their job. For the time
// DrainDelay, connections are still served, with "Connection: close" in every response,
// and closed afterwards: closing an idle connection at once could lose a request that
// the client has already sent. If ctx ends first, Drain closes the remaining
// connections and returns ctx's error.
func (s *Server) Drain(ctx context.Context) error {
	if !s.draining.Swap(true) {
		klog.InfoS("Entry is draining", "id", s.cfg.ID, "inFlight", s.inFlight.Load())
	}
	if deadline, ok := ctx.Deadline(); ok {
		t := time.AfterFunc(time.Until(deadline)-drainMargin, s.endWaits)
		defer t.Stop()
	}
	select {
	case <-time.After(max(0, s.cfg.DrainDelay)):
	case <-ctx.Done():
	}
	// The listener is closed now and not once no request is in progress: under load
	// there always is one, and requests would be cut off at the end of ctx.
	var err error
	if l := s.drainListener.Load(); l != nil {
		err = l.Drain(ctx)
	}
	err = errors.Join(err, s.http.Shutdown(ctx))
	for err == nil && s.inFlight.Load()+s.backgroundCalls.Load() > 0 {
		if !retry.Sleep(ctx, drainPollInterval) {
			err = ctx.Err()
		}
	}
	if err != nil {
		return errors.Join(err, s.http.Close())
	}
	klog.InfoS("Entry has drained", "id", s.cfg.ID)
	return nil
}

func (s *Server) endWaits() { s.endWaitsOnce.Do(func() { close(s.waitsEnded) }) }
