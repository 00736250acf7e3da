package agent

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// reservationSweepInterval is how often expired reservations are removed while
// no call removes them.
const reservationSweepInterval = 250 * time.Millisecond

// errDrained is the cause with which a drained agent stops.
var errDrained = errors.New("drained")

// Agent controls one worker on behalf of the owner of its domain. It is safe for
// concurrent use.
type Agent struct {
	cfg              Config
	ledger           *ledger
	outbox           *outbox
	ownerTracker     *ownerTracker
	manifestRequests chan manifestRequest
	// lastOwnerReply is when an owner last replied; nil if none has.
	lastOwnerReply atomic.Pointer[time.Time]

	currentIncarnation atomic.Int64
	// workerFenced is set once the worker has stopped the tasks of the agent's
	// earlier incarnations.
	workerFenced atomic.Bool
	// usage is the worker's resource usage as last polled; nil before the first poll.
	usage atomic.Pointer[structs.Usage]

	ctx      context.Context
	stopWith context.CancelCauseFunc

	mu           sync.Mutex
	closed       bool
	wg           sync.WaitGroup
	drainStarted chan struct{} // closed by startDrain
}

// New returns an agent and registers its RPC service. The agent refuses Prepare
// until Run has fenced the worker, which stops the tasks of earlier incarnations.
func New(cfg Config) (*Agent, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	a := &Agent{
		cfg: cfg, outbox: newOutbox(cfg.ResultMemory), ownerTracker: newOwnerTracker(cfg.Entries),
		manifestRequests: make(chan manifestRequest, 1), drainStarted: make(chan struct{}),
	}
	a.ledger = newLedger(&a.cfg, a.outbox)
	a.currentIncarnation.Store(cfg.Info.Incarnation)
	if cfg.Info.Incarnation == 0 {
		a.currentIncarnation.Store(time.Now().UnixNano())
	}
	a.ctx, a.stopWith = context.WithCancelCause(context.Background())
	if cfg.Server != nil {
		if err := cfg.Server.Register("Agent", &service{a}); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (a *Agent) incarnation() int64 { return a.currentIncarnation.Load() }

// Info returns the agent's description, with its current incarnation and the
// worker's capacity.
func (a *Agent) Info() structs.AgentInfo {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	info := a.cfg.Info
	info.Incarnation = a.incarnation()
	info.WorkerCapacity = a.ledger.capacity
	return info
}

// Run serves the worker until ctx ends or the agent has drained. It returns nil if
// the agent has drained or ctx was canceled, an error if another agent has taken over
// the worker, and ctx's error if its deadline has passed. Run must be called only once.
func (a *Agent) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { a.stopWith(ctx.Err()) })
	defer stop()
	a.spawn(a.sweepReservations)
	a.spawn(a.awaitDrained)
	if boot, ok := a.fenceWorker(); ok {
		a.spawn(func() { a.followTasks(boot) })
		a.spawn(a.renewTasks)
		a.spawn(a.followOwner)
		a.spawn(a.pollUsage)
		if a.cfg.Manifest != nil {
			a.spawn(a.followManifest)
		}
		<-a.ctx.Done()
	}
	a.close()
	err := context.Cause(a.ctx)
	if errors.Is(err, errDrained) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// close refuses further calls and waits for all goroutines. Tasks that still run
// are stopped by the worker when their lease expires.
func (a *Agent) close() {
	a.ledger.mu.Lock()
	a.ledger.closed = true
	for _, g := range a.ledger.gangs {
		g.cancel()
	}
	a.ledger.mu.Unlock()
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.wg.Wait()
}

// spawn runs f in a goroutine unless the agent has stopped.
func (a *Agent) spawn(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.wg.Go(f)
	}
}

// sweepReservations removes expired reservations and tombstones periodically.
func (a *Agent) sweepReservations() {
	tick := time.NewTicker(reservationSweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-a.ctx.Done():
			return
		}
		a.ledger.mu.Lock()
		a.ledger.expireReservationsAndTombstones()
		a.ledger.mu.Unlock()
	}
}

// Drain refuses new gangs and reports the drain to the owner. It returns when all
// gangs have ended and their outcomes are durable, or when ctx ends. Run returns
// nil once the agent has drained.
func (a *Agent) Drain(ctx context.Context) {
	a.startDrain()
	select {
	case <-a.ctx.Done():
	case <-ctx.Done():
	}
}

// startDrain makes the agent refuse new gangs, and triggers a heartbeat that reports
// the drain to the owner.
func (a *Agent) startDrain() {
	a.ledger.mu.Lock()
	started := !a.ledger.draining
	a.ledger.draining = true
	a.ledger.mu.Unlock()
	if started {
		klog.InfoS("Agent is draining; new gangs are refused")
		close(a.drainStarted)
	}
	select {
	case a.ownerTracker.heartbeatNow <- struct{}{}:
	default:
	}
}

// awaitDrained stops the agent when a drain was started and no gang or outcome is
// left.
func (a *Agent) awaitDrained() {
	select {
	case <-a.drainStarted:
	case <-a.ctx.Done():
		return
	}
	for {
		g := a.ledger.anyGang()
		if g == nil {
			break
		}
		select {
		case <-g.done:
		case <-a.ctx.Done():
			return
		}
	}
	select {
	case <-a.outbox.whenEmpty():
		klog.InfoS("Agent has drained")
		a.stopWith(errDrained)
	case <-a.ctx.Done():
	}
}

// anyGang returns an arbitrary gang of the ledger, or nil if there is none.
func (l *ledger) anyGang() *gang {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gangs {
		return g
	}
	return nil
}

// Handler serves /healthz, /readyz and /debug/vars.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := a.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// notReady returns the reason why the agent would refuse every gang, or "" if it
// is ready.
func (a *Agent) notReady() string {
	a.ledger.mu.Lock()
	reason := a.ledger.notReady
	if a.ledger.draining || a.ledger.closed {
		reason = "draining"
	}
	a.ledger.mu.Unlock()
	if owner, _ := a.ownerTracker.current(); reason == "" && owner.Addr == "" {
		reason = "no owner"
	}
	return reason
}
