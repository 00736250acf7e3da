// Package workflowowner decides for a deployment whose jobs are workflows: it knows
// all jobs from the store's rows and all runs from the agents' reports, orders
// starts and stops, and makes ends durable before workers forget them. One entry
// at a time is the owner; see package election.
//
// What an owner knows of runs is not stored. A new owner learns it from the
// agents of all workers that have a row, and treats what may run on a worker that
// does not report as running until the worker's leases have lapsed for certain.
package workflowowner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/estimate"
	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/panicguard"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

// Caller calls other processes.
type Caller interface {
	Call(ctx context.Context, addr, method string, args rpc.Headed, reply rpc.Failer) error
}

// Config is what the owner needs to know of the operator's configuration.
type Config interface {
	// Terms returns the terms of a queue; false if it is not configured.
	Terms(queue string) (workflow.Terms, bool)
	// GuaranteedGPUs returns what belongs to an account's work of priority 0.
	GuaranteedGPUs(account string) int
}

// Options configure an Owner.
type Options struct {
	ID, Addr string
	Epoch    uint64
	// Version is the store's version at the takeover, and that of the election's
	// fence. Jobs that were accepted later cannot have been started by an earlier
	// owner.
	Version uint64
	Store   rowstore.Store
	Mirror  *rowstore.Mirror
	Table   string
	Config  Config
	Caller  Caller
	// Advisor gives the placement advice; nil if the deployment has none.
	Advisor Advisor
	Log     *eventlog.Log
	// Entries returns the RPC addresses of all entries, and a version that tells
	// two such lists apart.
	Entries func() ([]string, uint64)
	// Authority reports whether no other entry can have taken over.
	Authority func() bool
	// NoticeEpoch is called when an agent has seen a higher epoch.
	NoticeEpoch func(uint64)
	// NoteFenced is called after a write under the fence, with the time on Clock
	// at which it was sent.
	NoteFenced func(epoch uint64, sent time.Duration)
	// Clock is a steady clock that counts suspensions.
	Clock  func() time.Duration
	Decide func(*workflowscheduler.Snapshot) *workflowscheduler.Plan
	Times  Times
	// UnixMillis returns the time of day.
	UnixMillis func() int64
}

// Times are the bounds of the deployment.
type Times struct {
	// Lease is the length of the leases of tasks, from an agent's last contact.
	Lease time.Duration
	// StopGrace is the longest time that a task takes to stop, GangWait how long a
	// member of a gang waits for the others.
	StopGrace, GangWait time.Duration
	// Reclaim is the time within which work that claims a guarantee has to start.
	Reclaim time.Duration
	// Kept is how long ended jobs stay known.
	Kept          time.Duration
	RemotePenalty float64
}

// Constants of the owner.
const (
	// tickInterval is how often the owner looks for what only time changes.
	tickInterval = 100 * time.Millisecond
	// gatherDelay lets the reports of one event arrive before a decision. It grows
	// to the time of the last decision, so that decisions take half of the
	// processor at most, up to maxGatherDelay.
	gatherDelay    = 2 * time.Millisecond
	maxGatherDelay = 50 * time.Millisecond
	// freshContact is the age of an agent's last call up to which its worker
	// receives starts. Agents call at least every 500 ms.
	freshContact = 1200 * time.Millisecond
	// clockSlow is the share by which a worker's clock may be slow; leaseSlack
	// covers what an owner's own timers are late.
	clockSlow  = 0.02
	leaseSlack = 200 * time.Millisecond
	// gangStartShare is the part of the time that members wait for each other
	// after which a gang that has not started whole is stopped.
	gangStartShare = 0.6
	announceLimit  = 500 * time.Millisecond
	recallInterval = 700 * time.Millisecond
	loadInterval   = time.Second
)

// declaredPrior is what is assumed of declared run times: users call them a
// rough estimate, and they vary about as much as the run times of a queue do.
// Measured correlations over 40 days were 0.05 to 0.5.
var declaredPrior = estimate.Prior{Slope: 0.3, Weight: 6}

// Owner decides for the deployment during one epoch. It is safe for concurrent
// use.
type Owner struct {
	o      Options
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	jobs     map[string]*job
	workers  map[string]*worker
	runtimes *estimate.Runtimes
	areas    map[string]average // work of the jobs by queue
	health   *estimate.Health
	// loaded says that all rows up to the takeover are known.
	loaded   bool
	recalled time.Time // when silent agents were last called
	// loadReported is when the load was last logged.
	loadReported time.Time
	stopped      bool
	// asking says that a call for advice is in progress.
	asking bool
	kick   chan struct{} // something to decide
	dirty  chan struct{} // something to write
}

// New returns an owner that does nothing until Start.
func New(o Options) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		o: o, start: time.Now(), ctx: ctx, cancel: cancel, jobs: map[string]*job{}, workers: map[string]*worker{},
		areas: map[string]average{}, runtimes: estimate.NewRuntimesWithPrior(declaredPrior), health: estimate.NewHealth(),
		kick: make(chan struct{}, 1), dirty: make(chan struct{}, 1),
	}
}

// Start begins the owner's work in the background.
func (o *Owner) Start() {
	takeovers.Add(1)
	o.wg.Go(o.load)
	o.wg.Go(o.cycles)
	o.wg.Go(o.persist)
	o.wg.Go(o.collect)
}

// Stop ends the owner's work. It orders nothing afterwards.
func (o *Owner) Stop() {
	o.mu.Lock()
	o.stopped = true
	for _, w := range o.workers {
		w.wake()
	}
	o.mu.Unlock()
	o.cancel()
	o.wg.Wait()
}

// now is the time on the owner's clock.
func (o *Owner) now() time.Duration { return time.Since(o.start) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// load takes over all rows once the mirror has reached the takeover.
func (o *Owner) load() {
	if err := o.o.Mirror.WaitFor(o.ctx, o.o.Version); err != nil {
		return // stopped
	}
	var rows []rowstore.Row
	o.o.Mirror.Range("", func(r rowstore.Row) bool {
		rows = append(rows, r)
		return true
	})
	o.mu.Lock()
	for _, r := range rows {
		o.observe(r)
	}
	o.loaded = true
	expected := 0
	var addrs []string
	for _, w := range o.workers {
		if w.expected {
			expected++
			addrs = append(addrs, w.addr)
		}
	}
	o.mu.Unlock()
	o.o.Log.Event("owner_loaded", "epoch", o.o.Epoch, "version", o.o.Version, "jobs", len(o.jobs), "workersExpected", expected)
	o.announce(addrs)
	signal(o.kick)
}

// Observe takes over rows of the table as the mirror learns them.
func (o *Owner) Observe(rows []rowstore.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return // load takes them from the mirror
	}
	for _, r := range rows {
		o.observe(r)
	}
	signal(o.kick)
}

// observe takes over a row. One that the owner cannot cope with is left out.
func (o *Owner) observe(r rowstore.Row) {
	panicguard.Run(o.o.Log, "owner_row", func() { o.observeRow(r) })
}

func (o *Owner) observeRow(r rowstore.Row) {
	prefix, name := workflow.CutKey(r.Key)
	switch prefix {
	case workflow.RecordPrefix:
		o.observeRecord(name, r)
	case workflow.CancelPrefix:
		if j := o.jobs[name]; j != nil && !r.Deleted {
			o.cancelJob(j)
		} else if j == nil && !r.Deleted {
			// The record's row may come after the mark's in a listing.
			o.jobs[name] = &job{id: name, cancelled: true}
		}
	case workflow.ProgressPrefix:
		o.observeProgress(name, r)
	case workflow.WorkerPrefix:
		o.observeWorker(name, r)
	}
}

func (o *Owner) observeRecord(id string, r rowstore.Row) {
	j := o.jobs[id]
	if r.Deleted {
		if j != nil && len(j.runs) == 0 {
			j.rec = nil // its other rows are removed after the record
		}
		return
	}
	if j != nil && j.rec != nil {
		return
	}
	rec := &workflow.Record{}
	if err := json.Unmarshal(r.Value, rec); err != nil || rec.Spec.Validate() != nil || rec.ID != id {
		o.o.Log.Event("job_row_unreadable", "job", id, "version", r.Version)
		return
	}
	if j == nil {
		j = &job{id: id}
		o.jobs[id] = j
	}
	j.fill(rec, r.Version, o.now(), r.Version <= o.o.Version)
	for i := range rec.Spec.Steps {
		o.runtimes.Declare(rec.Queue, declaredTime(&rec.Spec.Steps[i]))
	}
	mean := o.areas[rec.Queue]
	o.areas[rec.Queue] = average{mean.sum + o.area(j), mean.n + 1}
	if !j.prog.State.Final() {
		o.o.Log.Event("job_seen", "job", id, "queue", rec.Queue, "account", rec.Account, "steps", len(rec.Spec.Steps),
			"version", r.Version, "inherited", j.inherited, "cancelled", j.cancelled)
	}
}

func (o *Owner) observeProgress(id string, r rowstore.Row) {
	j := o.jobs[id]
	if r.Deleted {
		if j != nil && j.rec == nil {
			delete(o.jobs, id)
		}
		return
	}
	if j == nil {
		j = &job{id: id}
		o.jobs[id] = j
	}
	if r.Version <= j.progVersion {
		return
	}
	p := &workflow.Progress{}
	if err := json.Unmarshal(r.Value, p); err != nil {
		o.o.Log.Event("progress_row_unreadable", "job", id, "version", r.Version)
		return
	}
	j.progVersion = r.Version
	if j.prog == nil {
		j.prog = p
	} else {
		j.prog.Merge(p)
	}
	j.stored = p.State
}

// workerRow is the value of a worker's row.
type workerRow struct {
	Addr string `json:"addr"` // of its agent
	// Listens is the worker's own address.
	Listens     string `json:"listens"`
	Incarnation int64  `json:"incarnation"`
}

func (o *Owner) observeWorker(id string, r rowstore.Row) {
	w := o.workers[id]
	if r.Deleted {
		if w != nil && r.Version > w.rowVersion {
			w.row, w.rowVersion = false, r.Version
		}
		return
	}
	var row workerRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		o.o.Log.Event("worker_row_unreadable", "worker", id, "version", r.Version)
		return
	}
	if w == nil {
		w = newWorker(id)
		w.incarnation, w.addr, w.lastReply, w.info.Addr = row.Incarnation, row.Addr, time.Now(), row.Listens
		// A worker whose row an earlier owner wrote may run anything.
		w.expected = true
		o.workers[id] = w
	}
	if r.Version > w.rowVersion {
		w.row, w.rowVersion, w.rowIncarnation = true, r.Version, row.Incarnation
	}
}

// cycles decides whenever something has changed.
func (o *Owner) cycles() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var took time.Duration // by the last decision
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
		case <-o.kick:
			time.Sleep(max(gatherDelay, min(took, maxGatherDelay)))
			select {
			case <-o.kick:
			default:
			}
		}
		began := time.Now()
		panicguard.Run(o.o.Log, "decision", o.decide)
		took = time.Since(began)
	}
}

func (o *Owner) decide() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loaded && !o.stopped && o.o.Authority() {
		began := time.Now()
		o.expire()
		o.recall()
		o.cycle()
		decisions.Add(telemetry.Bucket(time.Since(began)), 1)
	}
}
