// Package workflowowner schedules the workflow jobs of a deployment. The owner knows all
// jobs from the rows of the store and all runs from the reports of agents. It orders
// starts and stops, and stores the ends of runs before workers may forget them. One
// entry at a time is the owner; see package election. Each takeover by an owner begins a
// new epoch.
//
// A run is one attempt to execute a task on a worker, and its end is the report of how it
// ended. A worker executes a run only while it holds a lease, which the contact between
// the owner and the worker's agent renews.
//
// The owner does not store which runs exist. A new owner learns this from the agents of
// all workers that have a row. It assumes that inherited jobs may still run on a worker
// that does not report, until the leases on that worker have certainly expired.
package workflowowner

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/estimate"
	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/panicguard"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

// Caller makes RPC calls to other processes.
type Caller interface {
	Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error
}

// Config is the part of the operator's configuration that the owner uses.
type Config interface {
	// Terms returns the terms of a queue, and false if the queue is not configured.
	Terms(queue string) (workflow.Terms, bool)
	// GuaranteedGPUs returns the number of GPUs that are guaranteed to an account's work
	// of priority 0.
	GuaranteedGPUs(account string) int
}

// Options configure an Owner.
type Options struct {
	ID, Addr string
	Epoch    uint64
	// Version is the store's version at the takeover, which is also that of the
	// election's fence row. An earlier owner cannot have started jobs that were accepted
	// later.
	Version uint64
	Store   rowstore.Store
	Mirror  *rowstore.Mirror
	Table   string
	// MaxRowBytes is the size of the largest value that the store keeps; 0 for
	// rowstore.MaxRowBytes.
	MaxRowBytes int
	Config      Config
	Caller      Caller
	// Advisor is the placement advice service; nil if the deployment has none.
	Advisor Advisor
	Log     *eventlog.Log
	// Entries returns the RPC addresses of all entries with a version of that list.
	Entries func() ([]string, uint64)
	// Authority reports whether it is certain that no other entry has taken over.
	Authority func() bool
	// OnHigherEpoch is called with the epoch when the owner learns that a higher epoch
	// than its own may exist: from an agent, or from a write that the fence rejected.
	OnHigherEpoch func(uint64)
	// OnFencedWrite is called after each successful write under the fence, with the time
	// on Clock at which the write was sent.
	OnFencedWrite func(epoch uint64, sent time.Duration)
	// Clock is a monotonic clock that also advances while the machine is suspended.
	Clock  func() time.Duration
	Decide func(*workflowscheduler.Snapshot) *workflowscheduler.Plan
	Times  Times
	// UnixMillis returns the wall clock time.
	UnixMillis func() int64
	// Evacuation has the limits for starts while the operator has zones evacuated, and
	// EvacuationView returns which zones are, with times on Clock. EvacuationView may be nil if
	// Evacuation is not enabled.
	Evacuation     evacuation.Limits
	EvacuationView func() *evacuation.View
}

// Times are the time limits of the deployment.
type Times struct {
	// Lease is the duration of task leases, counted from an agent's last contact.
	Lease time.Duration
	// StopGrace is the longest time that a task takes to stop. GangWait is how long a
	// member of a gang waits for the others.
	StopGrace, GangWait time.Duration
	// Reclaim is the time within which guaranteed work has to start.
	Reclaim time.Duration
	// JobRetention is how long the rows of ended jobs are kept.
	JobRetention  time.Duration
	RemotePenalty float64
}

// Timing of the owner.
const (
	// tickInterval is the interval of decisions without an event, for changes that
	// depend on time only.
	tickInterval = 100 * time.Millisecond
	// gatherDelay is the delay before a decision, so that reports of the same event are
	// handled together. It grows with the duration of the last decision up to
	// maxGatherDelay, so that decisions use at most half of a CPU.
	gatherDelay    = 2 * time.Millisecond
	maxGatherDelay = 50 * time.Millisecond
	// maxContactAge is how old the last call of an agent may be for its worker to
	// receive starts. Agents call at least every 500 ms.
	maxContactAge = 1200 * time.Millisecond
	// maxClockDrift is the share by which a worker's clock may run slow. leaseSlack
	// covers delays of the owner's own timers.
	maxClockDrift = 0.02
	leaseSlack    = 200 * time.Millisecond
	// gangStartShare is the share of Times.GangWait after which a gang that has not
	// started completely is stopped.
	gangStartShare     = 0.6
	announceTimeout    = 500 * time.Millisecond
	reannounceInterval = 700 * time.Millisecond
	// awaitedReannounceInterval applies while inherited jobs wait for the reports of
	// agents.
	awaitedReannounceInterval = 250 * time.Millisecond
	loadReportInterval        = time.Second
)

// declaredPrior is the prior for run times given the declared ones. Users call these a
// rough estimate, and they vary about as much as the run times within a queue. The
// correlations over 40 days were 0.05 to 0.5.
var declaredPrior = estimate.Prior{Slope: 0.3, Weight: 6}

// Owner schedules the jobs of the deployment during one epoch. It is safe for concurrent
// use.
type Owner struct {
	opts      Options
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu        sync.Mutex
	jobs      map[string]*job
	workers   map[string]*worker
	runtimes  *estimate.Runtimes
	queueWork map[string]average // mean declared work of jobs by queue
	health    *estimate.Health
	// loaded is set once all rows up to the takeover have been read.
	loaded         bool
	lastReannounce time.Time     // when silent agents were last told the owner's address
	lastCycle      time.Duration // when the last decision was made
	// lastLoadReport is when the load was last logged.
	lastLoadReport time.Time
	// lastZoneReport is when the evacuated zones were last logged.
	lastZoneReport time.Time
	stopped        bool
	// adviceInFlight is set while a call for placement advice is in progress.
	adviceInFlight bool
	wakeDecide     chan struct{} // signals decisionLoop
	wakePersist    chan struct{} // signals persistLoop
	// batchLimit limits the rows of the next transaction, after one that the store has
	// refused.
	batchLimit int
	written    chan struct{} // closed and replaced after each successful write
}

// New returns an owner that is inactive until Start is called.
func New(o Options) *Owner {
	o.MaxRowBytes = cmp.Or(o.MaxRowBytes, rowstore.MaxRowBytes)
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		opts: o, startedAt: time.Now(), ctx: ctx, cancel: cancel, jobs: map[string]*job{}, workers: map[string]*worker{},
		queueWork: map[string]average{}, runtimes: estimate.NewRuntimesWithPrior(declaredPrior), health: estimate.NewHealth(),
		wakeDecide: make(chan struct{}, 1), wakePersist: make(chan struct{}, 1), written: make(chan struct{}),
		batchLimit: maxBatchRows,
	}
}

// Start starts the owner's goroutines.
func (o *Owner) Start() {
	takeovers.Add(1)
	o.wg.Go(o.load)
	o.wg.Go(o.decisionLoop)
	o.wg.Go(o.persistLoop)
	o.wg.Go(o.gcLoop)
}

// Stop stops the owner's goroutines and waits for them. No orders are sent afterwards.
func (o *Owner) Stop() {
	o.mu.Lock()
	o.stopped = true
	for _, w := range o.workers {
		w.endPoll()
	}
	o.mu.Unlock()
	o.cancel()
	o.wg.Wait()
}

// now returns the time since New, the clock of all decisions.
func (o *Owner) now() time.Duration { return time.Since(o.startedAt) }

// signal wakes the receiver of c without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// load reads all rows once the mirror has reached the version of the takeover.
func (o *Owner) load() {
	if err := o.opts.Mirror.WaitFor(o.ctx, o.opts.Version); err != nil {
		return // the owner was stopped
	}
	var rows []rowstore.Row
	o.opts.Mirror.Range("", func(r rowstore.Row) bool {
		rows = append(rows, r)
		return true
	})
	o.mu.Lock()
	for _, r := range rows {
		o.observe(r)
	}
	o.loaded = true
	expected := 0
	for _, w := range o.workers {
		if w.awaitingReport {
			expected++
		}
	}
	o.lastReannounce = time.Now()
	agents := o.silentAgents()
	o.mu.Unlock()
	o.opts.Log.Event("owner_loaded", "epoch", o.opts.Epoch, "version", o.opts.Version, "jobs", len(o.jobs), "workersExpected", expected)
	o.announce(agents)
	signal(o.wakeDecide)
	signal(o.wakePersist)
}

// Observe applies changed rows of the table, as reported by the mirror.
func (o *Owner) Observe(rows []rowstore.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return // load will read them from the mirror
	}
	for _, r := range rows {
		o.observe(r)
	}
	signal(o.wakeDecide)
}

// observe applies a row. It skips a row whose handling panics.
func (o *Owner) observe(r rowstore.Row) {
	panicguard.Run(o.opts.Log, "owner_row", func() { o.observeRow(r) })
}

func (o *Owner) observeRow(r rowstore.Row) {
	prefix, name := workflow.SplitKey(r.Key)
	switch prefix {
	case workflow.RecordPrefix, workflow.SpareRecordPrefix:
		o.observeRecord(name, r)
	case workflow.CancelPrefix:
		if j := o.jobs[name]; j != nil && !r.Deleted {
			o.cancelJob(j)
		} else if j == nil && !r.Deleted {
			// The listing may have the cancellation before the record.
			o.jobs[name] = &job{id: name, cancelled: true}
		}
	case workflow.ProgressPrefix:
		o.observeProgress(name, workflow.MainRow, r)
	case workflow.ProgressChunkPrefix:
		if id, chunk, err := workflow.ParseChunkName(name); err != nil {
			o.opts.Log.Event("progress_row_unreadable", "job", name, "version", r.Version, "err", err.Error())
		} else {
			o.observeProgress(id, chunk, r)
		}
	case workflow.WorkerPrefix:
		o.observeWorker(name, r)
	}
}

func (o *Owner) observeRecord(id string, r rowstore.Row) {
	j := o.jobs[id]
	if r.Deleted {
		if j != nil && len(j.runs) == 0 {
			j.record = nil // the job's other rows are removed after its record
		}
		return
	}
	if j != nil && j.record != nil {
		if r.Version < j.recordVersion {
			// The job has two rows. An earlier owner knew it if it could have read one.
			j.recordVersion = r.Version
			j.inherited = j.inherited || r.Version <= o.opts.Version
		}
		return
	}
	rec := &workflow.Record{}
	if err := json.Unmarshal(r.Value, rec); err != nil || rec.Spec.Validate() != nil || rec.ID != id {
		o.opts.Log.Event("job_row_unreadable", "job", id, "version", r.Version)
		return
	}
	if j == nil {
		j = &job{id: id}
		o.jobs[id] = j
	}
	j.setRecord(rec, r.Version, o.now(), r.Version <= o.opts.Version)
	for i := range rec.Spec.Steps {
		o.runtimes.ObserveDeclared(rec.Queue, declaredTime(&rec.Spec.Steps[i]))
	}
	mean := o.queueWork[rec.Queue]
	o.queueWork[rec.Queue] = average{mean.sum + o.declaredWork(j), mean.n + 1}
	if !j.progress.State.Final() {
		o.logJobSeen(j)
	}
	o.completeFromRows(j) // its progress may have been read before its record
}

// stepShape is what the log says of a step of a job.
type stepShape struct {
	Tasks      int   `json:"tasks"`
	CPUMilli   int   `json:"cpuMilli"`
	GPUs       int   `json:"gpus"`
	Gang       bool  `json:"gang,omitempty"`
	SameRack   bool  `json:"sameRack,omitempty"`
	Checkpoint bool  `json:"checkpoint,omitempty"`
	After      []int `json:"after,omitempty"`
	DeclaredMs int64 `json:"declaredMs"`
}

// maxLoggedSteps limits the steps of a job in the log.
const maxLoggedSteps = 16

// logJobSeen logs a job with its terms and its shape, from which "parsleypier logs"
// derives when the job was due and what it was worth.
func (o *Owner) logJobSeen(j *job) {
	steps := j.record.Spec.Steps
	shape := make([]stepShape, 0, min(len(steps), maxLoggedSteps))
	for i := range steps[:min(len(steps), maxLoggedSteps)] {
		s := &steps[i]
		shape = append(shape, stepShape{s.Tasks, s.Need.CPUMilli, s.Need.GPUs, s.Gang, s.SameRack, s.Checkpoint, s.After, s.Estimate.Duration().Milliseconds()})
	}
	terms := o.terms(j)
	value, _, path := o.jobValue(j, 0)
	o.opts.Log.Event("job_seen", "job", j.id, "queue", j.record.Queue, "account", j.record.Account, "steps", len(steps),
		"version", j.recordVersion, "inherited", j.inherited, "cancelled", j.cancelled, "acceptedAtMs", j.record.AcceptedAt,
		"priority", terms.Priority, "stretch", terms.Stretch, "slackMs", terms.Slack.Duration().Milliseconds(), "waveShare", terms.WaveShare,
		"worth", value.Worth, "lateWorth", value.LateWorth, "lateFactor", lateDeadlineFactor, "pathMs", path.Milliseconds(), "shape", shape)
}

// observeProgress applies a row of a job's progress, of a chunk or workflow.MainRow.
func (o *Owner) observeProgress(id string, row int, r rowstore.Row) {
	j := o.jobs[id]
	if r.Deleted {
		if j != nil && r.Version > j.row(row).version {
			j.row(row).version = 0
		}
		if j != nil && j.record == nil && row == workflow.MainRow {
			delete(o.jobs, id)
		}
		return
	}
	if j == nil {
		j = &job{id: id}
		o.jobs[id] = j
	}
	if r.Version <= j.row(row).version {
		return
	}
	p := &workflow.Progress{}
	if err := json.Unmarshal(r.Value, p); err != nil {
		o.opts.Log.Event("progress_row_unreadable", "job", id, "row", row, "version", r.Version)
		return
	}
	j.row(row).version = r.Version
	if j.progress == nil {
		j.progress = &workflow.Progress{}
	}
	j.progress.Merge(p)
	if row == workflow.MainRow {
		j.storedState, j.mainMarked = p.State, mainRowContent{p.Begun, p.State, p.EndedAt}
		j.legacyParts = len(p.Parts) > 0
		j.adoptLegacyParts()
		if before := j.durableGen; j.updateDurable() > before {
			o.releaseEnds()
		}
	}
	o.completeFromRows(j)
}

// completeFromRows applies what follows from the rows of a job that have been read. Those of
// two owners together may decide what neither does.
func (o *Owner) completeFromRows(j *job) {
	if !j.active() {
		return
	}
	if j.progress.CompleteGangs(&j.record.Spec) {
		o.markChanged(j)
	}
	o.finishIfDecided(j)
}

// workerRow is the stored value of a worker's row.
type workerRow struct {
	Addr string `json:"addr"` // address of its agent
	// Listens is the address of the worker itself.
	Listens     string `json:"listens"`
	Incarnation int64  `json:"incarnation"`
	// The description of the worker when the row was written. A later owner needs it for
	// a worker whose agent has restarted and does not know the worker yet.
	Pool     string             `json:"pool,omitempty"`
	Zone     string             `json:"zone,omitempty"`
	Rack     string             `json:"rack,omitempty"`
	Labels   []string           `json:"labels,omitempty"`
	Capacity workflow.Resources `json:"capacity,omitzero"`
}

func (o *Owner) observeWorker(id string, r rowstore.Row) {
	w := o.workers[id]
	if r.Deleted {
		if w != nil && r.Version > w.rowVersion {
			w.rowStored, w.rowVersion = false, r.Version
		}
		return
	}
	var row workerRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		o.opts.Log.Event("worker_row_unreadable", "worker", id, "version", r.Version)
		return
	}
	if w == nil {
		w = newWorker(id)
		w.incarnation, w.addr, w.lastReply = row.Incarnation, row.Addr, time.Now()
		w.info = workflowrpc.Worker{Addr: row.Listens, Pool: row.Pool, Zone: row.Zone, Rack: row.Rack, Labels: row.Labels, Capacity: row.Capacity}
		// A worker that an earlier owner stored may have unknown runs.
		w.awaitingReport = true
		o.workers[id] = w
	}
	if r.Version > w.rowVersion {
		w.rowStored, w.rowVersion, w.rowIncarnation = true, r.Version, row.Incarnation
	}
}

// decisionLoop decides after each signal and at least every tickInterval.
func (o *Owner) decisionLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var took time.Duration // duration of the last decision
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
		case <-o.wakeDecide:
			time.Sleep(max(gatherDelay, min(took, maxGatherDelay)))
			select {
			case <-o.wakeDecide:
			default:
			}
		}
		began := time.Now()
		panicguard.Run(o.opts.Log, "decision", o.decide)
		took = time.Since(began)
	}
}

// decide handles expired leases and runs one scheduling cycle, if the owner has
// authority.
func (o *Owner) decide() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loaded && !o.stopped && o.opts.Authority() {
		began := time.Now()
		o.expireWorkers()
		o.reannounce()
		o.withdrawEvacuated()
		o.resumeHeldOrders()
		o.cycle()
		decisionTime.Add(telemetry.LatencyBucket(time.Since(began)), 1)
	}
}
