// Package entry serves the HTTP API towards callers and operators. A request
// passes through a chain of filters, one a file, and is then routed over RPC
// to the owner of a placement domain. Every answer is either whole and checked
// or a refusal whose verdict says whether the request may have run.
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

// Owners knows who owns which domain. It answers from memory.
type Owners interface {
	// Owner returns the owner of the domain, and false if none is known.
	Owner(domain string) (structs.Owner, bool)
	// Entries returns the entries that are believed to be alive.
	Entries() []structs.EntryInfo
}

// Manifests holds the manifest in force.
type Manifests interface {
	// Current returns the manifest in force, or nil if none is known. The
	// caller does not change it.
	Current() *structs.Manifest
}

// ManifestStore keeps the accepted manifests.
type ManifestStore interface {
	// Apply validates m, stores it as the successor of m.Parent and returns it
	// with its version. Errors: bad_request, inadmissible, conflict (NotRun),
	// platform_unavailable.
	Apply(ctx context.Context, m *structs.Manifest) (*structs.Manifest, error)
	// History returns up to limit accepted manifests, newest first.
	History(ctx context.Context, limit int) ([]structs.Manifest, error)
	// Load returns the manifest with the version. Error: not_found.
	Load(ctx context.Context, version uint64) (*structs.Manifest, error)
}

// Records reads durable job records.
type Records interface {
	// Job returns the record with its result, which is read from the object
	// store if the row does not hold it. Errors: not_found, platform_unavailable.
	Job(ctx context.Context, id string) (*structs.Job, error)
}

// Caller makes RPC calls; rpc.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args rpc.Headed, reply rpc.Failer) error
}

// CheckFunc decodes and validates a manifest document. The map has, by domain,
// the number of worker losses that the guarantees survive.
type CheckFunc func(document []byte) (*structs.Manifest, map[string]int, error)

// Defaults of Config.
const (
	DefaultMaxInFlight   = 4096
	DefaultMaxWait       = 60 * time.Second
	DefaultSubmitTimeout = 12 * time.Second
	// DefaultLinger is the time after which a target that is leaving receives
	// no new work.
	DefaultLinger = 3 * time.Second
)

// Config are the settings and dependencies of a Server. The interfaces, Caller
// and Check are required.
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
	// Faults controls the faults of a test build at POST /debug/faults; nil in
	// other builds.
	Faults http.Handler
	// MaxInFlight limits the requests in progress. An account may use half of it.
	MaxInFlight int
	// MaxWait limits the parameter wait.
	MaxWait time.Duration
	// SubmitTimeout limits the hand-over of a job whose caller does not wait longer.
	SubmitTimeout time.Duration
	// Linger is the time for which Drain still answers on open connections, so
	// that the balancer notices; negative for none.
	Linger time.Duration
}

// Server is the HTTP side of an entry. It is safe for concurrent use.
type Server struct {
	cfg     Config
	handler http.Handler
	http    *http.Server
	// listener is what Serve accepts from.
	listener atomic.Pointer[drainlistener.Listener]

	draining atomic.Bool
	// cut is closed when waiting requests must be answered with what is known.
	cut     chan struct{}
	cutOnce sync.Once

	inFlight atomic.Int64
	conns    atomic.Int64
	held     *semaphore.Weighted
	accounts accountSlots
	rates    rateLimiters
	retries  *retry.Budget
	reads    *rate.Limiter
	hints    ownerHints
	flights  singleflight.Group
	// flying counts submissions and refreshes that outlive their request.
	flying atomic.Int64
}

// New returns a Server. It returns an error that names every missing dependency.
func New(cfg Config) (*Server, error) {
	var faults []error
	for _, d := range []struct {
		name    string
		missing bool
	}{
		{"Owners", cfg.Owners == nil}, {"Manifests", cfg.Manifests == nil}, {"Store", cfg.Store == nil},
		{"Records", cfg.Records == nil}, {"Caller", cfg.Caller == nil}, {"Check", cfg.Check == nil},
	} {
		if d.missing {
			faults = append(faults, fmt.Errorf("entry: %s is not set", d.name))
		}
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	s := &Server{cfg: cfg, cut: make(chan struct{}), retries: retry.NewBudget(time.Now()),
		reads: rate.NewLimiter(recordReads, recordReadsBurst), held: semaphore.NewWeighted(maxHeldBytes)}
	s.accounts.limit = max(1, cfg.MaxInFlight/2)
	s.handler = s.routes()
	s.http = &http.Server{
		Handler:           s.handler,
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
	if c.Linger == 0 {
		c.Linger = DefaultLinger
	}
}

// limitConns closes connections beyond twice the requests in progress. They
// have not sent anything yet.
func (s *Server) limitConns(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.conns.Add(1) > int64(2*s.cfg.MaxInFlight) {
			metrics.Add("connsRefused", 1)
			// The server learns of it by its first read.
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// Handler returns the API's handler.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve answers requests on l until Drain. It returns nil after Drain.
func (s *Server) Serve(l net.Listener) error {
	listener := drainlistener.New(l)
	s.listener.Store(listener)
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

const (
	// drainMargin is the time before the end of Drain's context at which waiting
	// requests are answered with the state known by then.
	drainMargin = time.Second
	// drainPollInterval is how often Drain looks for submissions in progress.
	drainPollInterval = 5 * time.Millisecond
)

// Drain ends the service. Readiness fails at once and new work is refused with
// draining. Requests in progress are answered; those that still wait shortly
// before ctx ends are answered with the state of their job. Open connections
// are answered for the time Linger, each with "Connection: close", and closed
// afterwards: an idle connection that is closed at once could cut off a
// request that is already on its way. The error is ctx's.
func (s *Server) Drain(ctx context.Context) error {
	if !s.draining.Swap(true) {
		klog.InfoS("Entry is draining", "id", s.cfg.ID, "inFlight", s.inFlight.Load())
	}
	if deadline, ok := ctx.Deadline(); ok {
		t := time.AfterFunc(time.Until(deadline)-drainMargin, s.cutWaits)
		defer t.Stop()
	}
	select {
	case <-time.After(max(0, s.cfg.Linger)):
	case <-ctx.Done():
	}
	// The listener closes now and not when nothing is in progress: while requests
	// come in there would be one to be cut off at the end of ctx.
	var err error
	if l := s.listener.Load(); l != nil {
		err = l.Drain(ctx)
	}
	err = errors.Join(err, s.http.Shutdown(ctx))
	for err == nil && s.inFlight.Load()+s.flying.Load() > 0 {
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

func (s *Server) cutWaits() { s.cutOnce.Do(func() { close(s.cut) }) }
