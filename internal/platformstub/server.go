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
	maxKeyBytes    = 512
	maxValueBytes  = 8 << 20
	maxOperations  = 1024
	maxTxnBytes    = 32 << 20
	maxObjectBytes = 64 << 20
	maxListRows    = 1000
	defaultList    = 100
	maxListBytes   = 4 << 20
)

// Options configure a Server.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit the rates; 0 means no limit.
	WritesPerSecond, ReadsPerSecond float64
}

// Outage modes.
const (
	OutageRefuse = "refuse" // answer 503
	OutageReset  = "reset"  // close the connection
	OutageHang   = "hang"   // no answer until the client gives up
)

// Faults are the injected faults in force.
type Faults struct {
	TableDown bool `json:"table_down,omitempty"`
	StoreDown bool `json:"store_down,omitempty"`
	// Outage is an outage mode; OutageRefuse if empty.
	Outage string `json:"outage,omitempty"`
	// SlowMS delays each request, half of it before and half after it takes effect.
	SlowMS int `json:"slow_ms,omitempty"`
	// LoseAnswers is the probability that a write takes effect and is not answered.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LateWrites is the probability that a write is not answered and takes
	// effect, or fails its checks, up to LateMS later.
	LateWrites float64 `json:"late_writes,omitempty"`
	LateMS     int     `json:"late_ms,omitempty"`
	Seed       uint64  `json:"seed,omitempty"`
}

func (f Faults) check() error {
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

// Server is a stand-in of the platform. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	mux           *http.ServeMux
	writes, reads *rate.Limiter
	late          sync.WaitGroup

	mu       sync.Mutex
	store    *store
	faults   Faults
	random   *rand.Rand
	counters Counters
}

// New returns an empty platform without faults.
func New(o Options) *Server {
	s := &Server{mux: http.NewServeMux(), store: newStore(), random: rand.New(rand.NewPCG(0, 0))}
	s.writes, s.reads = limiter(o.WritesPerSecond), limiter(o.ReadsPerSecond)
	s.routes()
	return s
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	// A burst of a tenth of a second's requests.
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults in force and restarts the random choices from
// the seed. It returns an error if a field is out of range.
func (s *Server) SetFaults(f Faults) error {
	if err := f.check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	return nil
}

// Counters returns the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// History returns the last committed transactions, oldest first.
func (s *Server) History() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.store.history)
}

// Wait waits until the late writes have taken effect.
func (s *Server) Wait() { s.late.Wait() }

// outcome says how a request ends.
type outcome int

const (
	served outcome = iota
	refused
	limited
	dropped // the connection is closed without an answer
)

// do runs one request under the faults in force: apply is called with the lock
// held, unless the request is refused.
func (s *Server) do(ctx context.Context, table, write bool, apply func(lost bool)) outcome {
	limiter := s.reads
	if write {
		limiter = s.writes
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
		return limited
	}
	if f.SlowMS > 0 {
		s.counters.FaultSlow++
	}
	s.mu.Unlock()
	if down {
		return outage(ctx, f.Outage)
	}
	half := time.Duration(f.SlowMS) * time.Millisecond / 2
	time.Sleep(half)
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
	time.Sleep(half)
	if lost {
		return dropped
	}
	return served
}

// applyLater applies a write whose connection is closed already.
func (s *Server) applyLater(delay time.Duration, apply func(lost bool)) {
	s.late.Go(func() {
		time.Sleep(delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		apply(true)
	})
}

func outage(ctx context.Context, mode string) outcome {
	switch mode {
	case OutageHang:
		<-ctx.Done()
		return dropped
	case OutageReset:
		return dropped
	}
	return refused
}

// checkKey returns an error if key is not a valid key or object name.
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

// checkTxn returns an error if txn is malformed; errTooLarge if above a limit.
func checkTxn(txn platformclient.Txn) error {
	if len(txn.Checks)+len(txn.Puts)+len(txn.Deletes) > maxOperations {
		return errTooLarge
	}
	seen := map[string]bool{}
	once := func(kind, key string) error {
		if seen[kind+key] {
			return fmt.Errorf("key %q occurs twice", key)
		}
		seen[kind+key] = true
		return checkKey(key)
	}
	var errs []error
	for _, c := range txn.Checks {
		errs = append(errs, once("check ", c.Key))
	}
	for _, p := range txn.Puts {
		if len(p.Value) > maxValueBytes {
			return errTooLarge
		}
		errs = append(errs, once("write ", p.Key))
	}
	for _, key := range txn.Deletes {
		errs = append(errs, once("write ", key))
	}
	return errors.Join(errs...)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client has gone if this fails; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
