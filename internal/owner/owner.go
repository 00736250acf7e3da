// Package owner manages one placement domain: its jobs and queue, scheduling
// cycles, gang dispatch, preemption, and recovery from job rows and agents'
// reports after a takeover. Accounts may borrow capacity that others are
// guaranteed and do not use; gangs are preempted mainly to reclaim it.
//
// The owner of a domain is one of the entries, the processes that serve the HTTP
// API. One entry at a time owns a domain. Each ownership has an epoch; agents
// reject calls with an older epoch, so an owner that was paused and has been
// replaced cannot place work.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/estimate"
	"github.com/parsleypier/parsleypier/internal/membership"
	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Caller makes RPC calls. *rpc.Pool implements it.
type Caller interface {
	// Call returns nil or a *verdict.Error.
	Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error
}

// Manifests provides the manifest in force.
type Manifests interface {
	// Current returns the manifest in force, or nil if there is none yet.
	Current() *structs.Manifest
	// Version returns the version of the manifest in force, or 0 if there is none.
	Version() uint64
}

// Config configures an Owner. All fields without a default are required.
type Config struct {
	Domain string
	Epoch  uint32
	// Fence is a precondition of every row write, not a fencing token. It fails once
	// another owner has taken over the domain.
	Fence   platformclient.Check
	EntryID string
	// Addr is this entry's RPC address.
	Addr string

	Caller    Caller
	Manifests Manifests
	// Entries returns the known entries and a version that changes with the list.
	Entries func() ([]structs.EntryInfo, uint64)

	Table   platformclient.Table
	Objects platformclient.Objects
	Batch   platformclient.Batch
	// Health returns the health of the platform as this process observes it.
	Health func() platformclient.Health

	// Schedule computes the placements for a snapshot.
	Schedule func(*structs.Snapshot) *structs.Plan

	// OnHigherManifest is called when an agent reports a newer manifest, and
	// OnHigherEpoch when an agent or a rejected write shows a newer owner. They
	// must not block.
	OnHigherManifest func(agentAddr string, version uint64)
	OnHigherEpoch    func(epoch uint32)

	// RelayThreshold is the number of agents above which entries relay heartbeats
	// to the owner; 0 disables relays.
	RelayThreshold int

	Timing Timing
}

// Timing holds the intervals and timeouts of an Owner. A zero field means its
// default.
type Timing struct {
	// MinCycleInterval is the shortest time between two scheduling cycles.
	MinCycleInterval time.Duration
	// MaxCycleInterval is the longest time between two scheduling cycles while jobs wait.
	MaxCycleInterval time.Duration
	// RecoveryWait limits the wait for agents to announce themselves during
	// recovery.
	RecoveryWait time.Duration
	// PrepareTTL is the time after which an agent's reservation for a gang
	// expires.
	PrepareTTL time.Duration
	// CommitTimeout limits the Agent.Commit call to rank 0, which arms all
	// members.
	CommitTimeout time.Duration
	// PreemptGrace is the time a preempted gang has to checkpoint and stop before
	// it is stopped by force.
	PreemptGrace time.Duration
	// ReconcileInterval is the interval of the reconcile loop.
	ReconcileInterval time.Duration
	// SuspectAfter and LostAfter are the heartbeat ages at which an agent becomes
	// suspect and lost.
	SuspectAfter, LostAfter time.Duration
	// HeartbeatInterval is the interval of heartbeats and of relay reports.
	HeartbeatInterval time.Duration
	// Retention is how long rows of ended jobs are kept.
	Retention time.Duration
}

// Defaults of Timing.
const (
	defaultMinCycleInterval = 2 * time.Millisecond
	defaultMaxCycleInterval = 250 * time.Millisecond
	defaultRecoveryWait     = 1500 * time.Millisecond
	defaultPrepareTTL       = 2 * time.Second
	defaultCommitTimeout    = 2500 * time.Millisecond
	// defaultPreemptGrace lets a reclaim that meets a takeover still finish
	// within 9.7 s, together with 3 s until the old ownership expires, 1 s until
	// the next poll and 2 s of recovery.
	defaultPreemptGrace      = 3 * time.Second
	defaultReconcileInterval = 500 * time.Millisecond
	defaultSuspectAfter      = 3 * time.Second
	defaultLostAfter         = 10 * time.Second
	defaultHeartbeatInterval = time.Second
	defaultRetention         = 24 * time.Hour
)

// Memory limits of an Owner.
const (
	// maxPayloadBytes limits the total payload size of all jobs that have not
	// ended.
	maxPayloadBytes = 64 << 20
	// maxEndedJobs and maxEndedBytes limit the ended jobs kept in memory.
	maxEndedJobs  = 4096
	maxEndedBytes = 32 << 20
)

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

func (t *Timing) setDefaults() {
	setDefault(&t.MinCycleInterval, defaultMinCycleInterval)
	setDefault(&t.MaxCycleInterval, defaultMaxCycleInterval)
	setDefault(&t.RecoveryWait, defaultRecoveryWait)
	setDefault(&t.PrepareTTL, defaultPrepareTTL)
	setDefault(&t.CommitTimeout, defaultCommitTimeout)
	setDefault(&t.PreemptGrace, defaultPreemptGrace)
	setDefault(&t.ReconcileInterval, defaultReconcileInterval)
	setDefault(&t.SuspectAfter, defaultSuspectAfter)
	setDefault(&t.LostAfter, defaultLostAfter)
	setDefault(&t.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&t.Retention, defaultRetention)
}

// Owner owns one domain for one epoch. It is safe for concurrent use.
type Owner struct {
	cfg Config
	// clockOrigin is the zero of the owner's clock, see now.
	clockOrigin time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	// cycleRequested has an element while a scheduling cycle is requested.
	cycleRequested chan struct{}
	// fenceSeq is the sequence number of the last fencing token issued.
	fenceSeq atomic.Uint32

	// mu guards the fields below. No RPC or platform call is made while it is
	// held.
	mu         sync.Mutex
	stopped    bool
	draining   bool
	recovering bool
	recovered  chan struct{} // closed when recovering becomes false
	jobs       map[string]*job
	// queue holds the jobs in state waiting. Scheduling cycles iterate over it
	// rather than over jobs, which may contain thousands of ended jobs.
	queue map[string]*job
	gangs map[string]*gang
	// agents holds what the owner knows of each agent. registry decides from the
	// agents' announcements and heartbeats which of them are alive.
	agents   map[string]*agent
	registry *membership.Registry
	relays   relays
	runtimes *estimate.Runtimes
	// startEstimator corrects predicted waiting times by observed ones;
	// startStats counts how many judged estimates were in range.
	startEstimator *estimate.StartTimes
	startStats     startEstimateStats
	health         *estimate.Health
	// membersRow is the value of the row members/<domain> as last read, or
	// written for the next owner; membersRowLoaded is true once the row has been
	// read.
	membersRow       []byte
	membersRowLoaded bool
	// awaitedAgents maps the agents that the previous owner knew, and that have
	// neither announced themselves nor been declared lost since the takeover, to
	// their RPC addresses. An address is empty if the row was written by a
	// version that did not store addresses.
	awaitedAgents map[string]string
	// waitReasons holds the wait reasons of the last scheduling cycle by job ID.
	waitReasons map[string]structs.WaitReason
	// waitingByAccount counts the waiting jobs of each client account.
	waitingByAccount map[string]int
	payloadBytes     int
	endedJobs        endedList
}

// New returns an Owner that is idle until Start is called.
func New(cfg Config) *Owner {
	cfg.Timing.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		cfg: cfg, clockOrigin: time.Now(), ctx: ctx, cancel: cancel,
		cycleRequested:   make(chan struct{}, 1),
		recovering:       true,
		recovered:        make(chan struct{}),
		jobs:             map[string]*job{},
		queue:            map[string]*job{},
		gangs:            map[string]*gang{},
		agents:           map[string]*agent{},
		registry:         newRegistry(cfg),
		relays:           newRelays(),
		runtimes:         estimate.NewRuntimes(),
		startEstimator:   estimate.NewStartTimes(),
		health:           estimate.NewHealth(),
		waitReasons:      map[string]structs.WaitReason{},
		waitingByAccount: map[string]int{},
		awaitedAgents:    map[string]string{},
	}
	return o
}

// Start runs recovery and then scheduling in the background.
func (o *Owner) Start() {
	o.runAsync(func() {
		o.recover()
		o.schedulingLoop()
	})
	o.runAsync(o.reconcileLoop)
	o.runAsync(o.retentionLoop)
}

// Domain returns the name of the domain.
func (o *Owner) Domain() string { return o.cfg.Domain }

// Stop ends the ownership: no more work is placed and all waiting calls return
// not_owner. Running gangs continue and report to the next owner. Stop does not
// wait for calls in progress; Wait does.
func (o *Owner) Stop() {
	o.mu.Lock()
	if o.stopped {
		o.mu.Unlock()
		return
	}
	o.stopped = true
	for _, j := range o.jobs {
		j.notifyWaiters()
	}
	o.mu.Unlock()
	o.cancel()
	klog.InfoS("Domain ownership ended", "domain", o.cfg.Domain, "epoch", o.cfg.Epoch)
}

// Drain stops placing work and waits until no dispatch is in progress and all
// rows are written, or until ctx ends. Running gangs continue.
func (o *Owner) Drain(ctx context.Context) {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	for ctx.Err() == nil && (o.hasDispatch() || !o.flushed()) {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
}

// Wait blocks until all background goroutines of the owner have returned. It is
// called after Stop.
func (o *Owner) Wait() { o.wg.Wait() }

// drainPollInterval is how often Drain checks for dispatches and unwritten rows.
const drainPollInterval = 5 * time.Millisecond

// hasDispatch reports whether any gang is being dispatched.
func (o *Owner) hasDispatch() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range o.gangs {
		if g.state == gangDispatching {
			return true
		}
	}
	return false
}

// runAsync runs f in a goroutine that Wait waits for.
func (o *Owner) runAsync(f func()) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		f()
	}()
}

// now returns the monotonic time since the owner was created.
func (o *Owner) now() time.Duration { return time.Since(o.clockOrigin) }

// triggerCycle requests a scheduling cycle. It does not block.
func (o *Owner) triggerCycle() {
	select {
	case o.cycleRequested <- struct{}{}:
	default:
	}
}

// schedulingLoop runs a scheduling cycle on each request, and at each tick while
// jobs wait.
func (o *Owner) schedulingLoop() {
	tick := time.NewTicker(o.cfg.Timing.MaxCycleInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.cycleRequested:
		case <-tick.C:
			if !o.hasWaiting() {
				continue
			}
		}
		o.runSchedulingCycle()
		select {
		case <-o.ctx.Done():
			return
		case <-time.After(o.cfg.Timing.MinCycleInterval):
		}
	}
}

// hasWaiting reports whether any job waits for a placement.
func (o *Owner) hasWaiting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.queue {
		if j.queued() {
			return true
		}
	}
	return false
}
