package platformstub

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"golang.org/x/time/rate"

	"github.com/parsleypier/parsleypier/internal/platformclient"
)

// Limits of the protocol.
const (
	maxKeyBytes     = 512
	maxValueBytes   = 8 << 20
	maxOperations   = 1024
	maxTxnBytes     = 32 << 20
	maxObjectBytes  = 64 << 20
	maxListRows     = 1000
	defaultListRows = 100
	maxListBytes    = 4 << 20
)

// Options configure a Server.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit the request rates; 0 means no
	// limit.
	WritesPerSecond, ReadsPerSecond float64
}

// Outage modes of Faults.
const (
	OutageRefuse = "refuse" // respond with status 503
	OutageReset  = "reset"  // close the connection without a response
	OutageHang   = "hang"   // send no response until the client gives up
)

// Faults are the faults that a server injects.
type Faults struct {
	// TableDown makes the table unavailable, and StoreDown the object store.
	TableDown bool `json:"table_down,omitempty"`
	StoreDown bool `json:"store_down,omitempty"`
	// Outage is the mode of the outage of TableDown and StoreDown; empty means
	// OutageRefuse.
	Outage string `json:"outage,omitempty"`
	// SlowMS is the delay of each request in milliseconds, half of it before and
	// half after the request takes effect.
	SlowMS int `json:"slow_ms,omitempty"`
	// LoseAnswers is the probability that a write takes effect but gets no
	// response.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LateWrites is the probability that a write gets no response and is applied,
	// which may fail its checks, up to LateMS milliseconds later.
	LateWrites float64 `json:"late_writes,omitempty"`
	LateMS     int     `json:"late_ms,omitempty"`
	Seed       uint64  `json:"seed,omitempty"`
}

func (f Faults) validate() error {
	switch f.Outage {
	case "", OutageRefuse, OutageReset, OutageHang:
	default:
		return fmt.Errorf("outage: unknown mode %q", f.Outage)
	}
	if f.SlowMS < 0 || f.LateMS < 0 || f.LoseAnswers < 0 || f.LoseAnswers > 1 || f.LateWrites < 0 || f.LateWrites > 1 {
		return errors.New("a delay or probability is out of range")
	}
	return nil
}

// Counters count requests, rows and injected faults.
type Counters struct {
	Reads          int64 `json:"reads"`
	Writes         int64 `json:"writes"`
	RowsRead       int64 `json:"rows_read"`
	RowsWritten    int64 `json:"rows_written"`
	Conflicts      int64 `json:"conflicts"`
	ObjectsRead    int64 `json:"objects_read"`
	ObjectsWritten int64 `json:"objects_written"`
	RateLimited    int64 `json:"rate_limited"`
	FaultOutage    int64 `json:"fault_outage"`
	FaultSlow      int64 `json:"fault_slow"`
	FaultLost      int64 `json:"fault_lost_answers"`
	FaultLate      int64 `json:"fault_late_writes"`
}

// Injected returns the number of injected faults.
func (c Counters) Injected() int64 { return c.FaultOutage + c.FaultSlow + c.FaultLost + c.FaultLate }

// Server is an in-memory platform. It is an http.Handler and safe for concurrent
// use.
type Server struct {
	mux                       *http.ServeMux
	writeLimiter, readLimiter *rate.Limiter
	lateWrites                sync.WaitGroup

	mu       sync.Mutex
	contents *contents
	faults   Faults
	random   *rand.Rand
	counters Counters
}

// New returns a server without rows, objects and faults.
func New(o Options) *Server {
	s := &Server{mux: http.NewServeMux(), contents: newContents(), random: rand.New(rand.NewPCG(0, 0))}
	s.writeLimiter, s.readLimiter = newLimiter(o.WritesPerSecond), newLimiter(o.ReadsPerSecond)
	s.routes()
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	// The burst is the number of requests in a tenth of a second.
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults and seeds the random choices with
// f.Seed. It returns an error if a field is invalid.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	return nil
}

// Counters returns a snapshot of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// History returns the latest committed transactions, oldest first.
func (s *Server) History() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.contents.history)
}

// WaitForLateWrites waits until all late writes have been applied.
func (s *Server) WaitForLateWrites() { s.lateWrites.Wait() }

// outcome is how a request ends.
type outcome int

const (
	served      outcome = iota // the request was performed; its response is still to be written
	refused                    // status 503, in an outage
	rateLimited                // status 429
	dropped                    // the connection is closed without a response
)

// do runs a request with the injected faults. table says that the request is for
// the table, not the object store, and write that it is a write. apply performs the
// request. It is called with s.mu held, unless the request is rate limited or fails
// in an outage. Its argument lost says that an injected fault suppresses the
// response: the outcome is then dropped although the request takes effect.
func (s *Server) do(ctx context.Context, table, write bool, apply func(lost bool)) outcome {
	limiter := s.readLimiter
	if write {
		limiter = s.writeLimiter
	}
	s.mu.Lock()
	f := s.faults
	if write {
		s.counters.Writes++
	} else {
		s.counters.Reads++
	}
	down := table && f.TableDown || !table && f.StoreDown
	if down {
		s.counters.FaultOutage++
	} else if !limiter.Allow() {
		s.counters.RateLimited++
		s.mu.Unlock()
		return rateLimited
	}
	if f.SlowMS > 0 {
		s.counters.FaultSlow++
	}
	s.mu.Unlock()
	if down {
		return outageOutcome(ctx, f.Outage)
	}
	halfDelay := time.Duration(f.SlowMS) * time.Millisecond / 2
	time.Sleep(halfDelay)
	s.mu.Lock()
	if write && f.LateWrites > 0 && s.random.Float64() < f.LateWrites {
		s.counters.FaultLate++
		s.applyLater(time.Duration(s.random.IntN(f.LateMS+1))*time.Millisecond, apply)
		s.mu.Unlock()
		return dropped
	}
	lost := write && f.LoseAnswers > 0 && s.random.Float64() < f.LoseAnswers
	if lost {
		s.counters.FaultLost++
	}
	apply(lost)
	s.mu.Unlock()
	time.Sleep(halfDelay)
	if lost {
		return dropped
	}
	return served
}

// applyLater applies a write after delay. Its connection is closed already.
func (s *Server) applyLater(delay time.Duration, apply func(lost bool)) {
	s.lateWrites.Go(func() {
		time.Sleep(delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		apply(true)
	})
}

// outageOutcome returns how a request ends in an outage of the mode. In the mode
// OutageHang it waits for the end of ctx.
func outageOutcome(ctx context.Context, mode string) outcome {
	switch mode {
	case OutageHang:
		<-ctx.Done()
		return dropped
	case OutageReset:
		return dropped
	}
	return refused
}

// checkKey returns an error if key is not a valid row key or object name.
func checkKey(key string) error {
	if len(key) == 0 || len(key) > maxKeyBytes || !utf8.ValidString(key) {
		return fmt.Errorf("key %.40q: must be 1 to %d bytes of UTF-8", key, maxKeyBytes)
	}
	for segment := range strings.SplitSeq(key, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return fmt.Errorf("key %q: empty, . or .. segment", key)
		}
	}
	return nil
}

var errTooLarge = errors.New("transaction too large")

// checkTxn returns an error if txn is malformed, which is errTooLarge if it
// exceeds a limit.
func checkTxn(txn platformclient.Txn) error {
	if len(txn.Checks)+len(txn.Puts)+len(txn.Deletes) > maxOperations {
		return errTooLarge
	}
	seen := map[string]bool{}
	checkOnce := func(kind, key string) error {
		if seen[kind+key] {
			return fmt.Errorf("key %q occurs twice", key)
		}
		seen[kind+key] = true
		return checkKey(key)
	}
	var errs []error
	for _, c := range txn.Checks {
		errs = append(errs, checkOnce("check ", c.Key))
	}
	for _, p := range txn.Puts {
		if len(p.Value) > maxValueBytes {
			return errTooLarge
		}
		errs = append(errs, checkOnce("write ", p.Key))
	}
	for _, key := range txn.Deletes {
		errs = append(errs, checkOnce("write ", key))
	}
	return errors.Join(errs...)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client is gone, so the error cannot be reported.
	_ = json.NewEncoder(w).Encode(body)
}
