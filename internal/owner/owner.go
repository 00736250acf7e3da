// Package owner runs one placement domain: its jobs, queue, scheduling cycle,
// gang dispatch, reclaim, and recovery from the agents' reports. One entry at a
// time owns a domain; agents refuse the epoch of an older owner, so that a
// holder that was paused does no harm.
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
	Call(ctx context.Context, addr, method string, args rpc.Headed, reply rpc.Failer) error
}

// Manifests gives the manifest in force.
type Manifests interface {
	// Current returns the manifest in force, or nil if there is none yet.
	Current() *structs.Manifest
	// Version returns its version, or 0.
	Version() uint64
}

// Config is what an Owner needs. All fields without a default are required.
type Config struct {
	Domain string
	Epoch  uint32
	// Fence is the condition of every write of a row: it does not hold any more
	// when another owner has taken over.
	Fence   platformclient.Check
	EntryID string
	// Addr is this entry's RPC address.
	Addr string

	Caller    Caller
	Manifests Manifests
	// Entries returns the known entries and a number that changes with them.
	Entries func() ([]structs.EntryInfo, uint64)

	Table   platformclient.Table
	Objects platformclient.Objects
	Batch   platformclient.Batch
	// Health is the state of the platform as this process sees it.
	Health func() platformclient.Health

	// Schedule decides on a snapshot.
	Schedule func(*structs.Snapshot) *structs.Plan

	// NoticeManifest is told when an agent has a newer manifest, and NoticeEpoch
	// when one has seen a newer owner. They return at once.
	NoticeManifest func(agentAddr string, version uint64)
	NoticeEpoch    func(epoch uint32)

	// RelayThreshold is the number of agents above which entries relay their
	// heartbeats; 0 switches relays off.
	RelayThreshold int

	Timing Timing
}

// Timing holds the intervals of an Owner. A zero field means its default.
type Timing struct {
	// MinCycle is the shortest time between scheduling cycles.
	MinCycle time.Duration
	// Tick is the longest time between cycles while jobs wait.
	Tick time.Duration
	// RecoveryWait bounds the wait for the agents of the domain.
	RecoveryWait time.Duration
	// PrepareTTL is the time after which a reservation lapses.
	PrepareTTL time.Duration
	// CommitTimeout bounds Commit, which arms all members.
	CommitTimeout time.Duration
	// PreemptGrace is the time until a stop is forced.
	PreemptGrace time.Duration
	// Reconcile is the interval of the controllers.
	Reconcile time.Duration
	// Suspect and Lost are the heartbeat ages of those states.
	Suspect, Lost time.Duration
	// Heartbeat is the interval of heartbeats and of the reports of relays.
	Heartbeat time.Duration
	// Retention is the time for which rows of ended jobs are kept.
	Retention time.Duration
}

// Defaults of Timing.
const (
	defaultMinCycle      = 2 * time.Millisecond
	defaultTick          = 250 * time.Millisecond
	defaultRecoveryWait  = 1500 * time.Millisecond
	defaultPrepareTTL    = 2 * time.Second
	defaultCommitTimeout = 2500 * time.Millisecond
	// defaultPreemptGrace leaves room for a takeover within 9.7 s: 3 s expiry,
	// 1 s poll, 2 s recovery.
	defaultPreemptGrace = 3 * time.Second
	defaultReconcile    = 500 * time.Millisecond
	defaultSuspect      = 3 * time.Second
	defaultLost         = 10 * time.Second
	defaultHeartbeat    = time.Second
	defaultRetention    = 24 * time.Hour
)

// Memory limits of an Owner.
const (
	// maxPayloadBytes limits the payloads of all jobs that have not ended.
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
	setDefault(&t.MinCycle, defaultMinCycle)
	setDefault(&t.Tick, defaultTick)
	setDefault(&t.RecoveryWait, defaultRecoveryWait)
	setDefault(&t.PrepareTTL, defaultPrepareTTL)
	setDefault(&t.CommitTimeout, defaultCommitTimeout)
	setDefault(&t.PreemptGrace, defaultPreemptGrace)
	setDefault(&t.Reconcile, defaultReconcile)
	setDefault(&t.Suspect, defaultSuspect)
	setDefault(&t.Lost, defaultLost)
	setDefault(&t.Heartbeat, defaultHeartbeat)
	setDefault(&t.Retention, defaultRetention)
}

// Owner owns one domain for one epoch. It is safe for concurrent use.
type Owner struct {
	cfg    Config
	origin time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// trigger asks for a scheduling cycle.
	trigger chan struct{}
	fence   atomic.Uint32

	// mu guards the fields below. No RPC or platform call is made under it.
	mu         sync.Mutex
	stopped    bool
	draining   bool
	recovering bool
	recovered  chan struct{} // closed when recovering becomes false
	jobs       map[string]*job
	// queue holds the jobs in state waiting, which every cycle visits: there may
	// be thousands of ended jobs in memory.
	queue    map[string]*job
	gangs    map[string]*gang
	agents   map[string]*agent
	registry *membership.Registry
	relays   relays
	runtimes *estimate.Runtimes
	// startTimes learns how long jobs wait, starts counts the judged estimates.
	startTimes *estimate.Starts
	starts     startRecord
	health     *estimate.Health
	// members is the row members/<domain> as last read, or written for the next
	// owner; membersRead says that it was read.
	members     []byte
	membersRead bool
	// awaited has the agents that the last owner knew and that have neither
	// announced themselves nor been lost since the takeover, with their RPC
	// addresses, which are empty if a version without them wrote the row.
	awaited map[string]string
	// waits holds the reasons from the last cycle.
	waits map[string]structs.WaitReason
	// waiting counts the waiting jobs by client account.
	waiting      map[string]int
	payloadBytes int
	ended        endedList
}

// New returns an Owner that does nothing until Start.
func New(cfg Config) *Owner {
	cfg.Timing.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		cfg: cfg, origin: time.Now(), ctx: ctx, cancel: cancel,
		trigger:    make(chan struct{}, 1),
		recovering: true,
		recovered:  make(chan struct{}),
		jobs:       map[string]*job{},
		queue:      map[string]*job{},
		gangs:      map[string]*gang{},
		agents:     map[string]*agent{},
		registry:   newRegistry(cfg),
		relays:     newRelays(),
		runtimes:   estimate.NewRuntimes(),
		startTimes: estimate.NewStarts(),
		health:     estimate.NewHealth(),
		waits:      map[string]structs.WaitReason{},
		waiting:    map[string]int{},
		awaited:    map[string]string{},
	}
	return o
}

// Start begins recovery and then scheduling, in the background.
func (o *Owner) Start() {
	o.goRun(func() {
		o.recover()
		o.runCycles()
	})
	o.goRun(o.runReconcile)
	o.goRun(o.runRetention)
}

// Domain returns the name of the domain.
func (o *Owner) Domain() string { return o.cfg.Domain }

// Stop ends the ownership: nothing is placed any more and all waiting calls
// return not_owner. Running gangs go on and report to the next owner. Stop does
// not wait for calls in progress; Wait does.
func (o *Owner) Stop() {
	o.mu.Lock()
	if o.stopped {
		o.mu.Unlock()
		return
	}
	o.stopped = true
	for _, j := range o.jobs {
		j.wake()
	}
	o.mu.Unlock()
	o.cancel()
	klog.InfoS("Domain ownership ended", "domain", o.cfg.Domain, "epoch", o.cfg.Epoch)
}

// Drain stops placing work and waits until no dispatch is in progress and all
// rows are written, or ctx ends. Running gangs go on.
func (o *Owner) Drain(ctx context.Context) {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	for ctx.Err() == nil && (o.dispatching() || !o.flushed()) {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
}

// Wait returns when everything that the owner began has ended, after Stop.
func (o *Owner) Wait() { o.wg.Wait() }

// drainPollInterval is how often Drain looks for dispatches in progress.
const drainPollInterval = 5 * time.Millisecond

func (o *Owner) dispatching() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range o.gangs {
		if g.state == gangDispatching {
			return true
		}
	}
	return false
}

func (o *Owner) goRun(f func()) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		f()
	}()
}

// now returns the time since the owner was made, on the monotonic clock.
func (o *Owner) now() time.Duration { return time.Since(o.origin) }

// kick asks for a scheduling cycle.
func (o *Owner) kick() {
	select {
	case o.trigger <- struct{}{}:
	default:
	}
}

// runCycles schedules when something changed, and at each tick while jobs wait.
func (o *Owner) runCycles() {
	tick := time.NewTicker(o.cfg.Timing.Tick)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.trigger:
		case <-tick.C:
			if !o.hasWaiting() {
				continue
			}
		}
		o.cycle()
		select {
		case <-o.ctx.Done():
			return
		case <-time.After(o.cfg.Timing.MinCycle):
		}
	}
}

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
