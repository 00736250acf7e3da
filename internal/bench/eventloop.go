package bench

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/estimate"
	"github.com/parsleypier/parsleypier/internal/scheduler/check"
	"github.com/parsleypier/parsleypier/internal/structs"
)

const (
	// minDecisionInterval is the minimum time between two decisions.
	minDecisionInterval = 200 * time.Millisecond
	// maxDecisionInterval is the maximum time between two decisions while jobs wait.
	maxDecisionInterval = 30 * time.Second
	// stopTime is how long a preempted gang without checkpoints takes to stop.
	stopTime = 200 * time.Millisecond
	// restoreTime is how long a gang takes to restore a checkpoint.
	restoreTime = 10 * time.Second
	// failAfter is how long a gang runs before it fails.
	failAfter = 5 * time.Second
	// maxAttempts is the number of failures after which an idempotent job ends.
	maxAttempts = structs.DefaultAttempts
	// maxHorizons limits a run to this multiple of the workload's horizon. Jobs
	// that have not ended by then count as unfinished.
	maxHorizons = 4
	// urgentStart is passed to the policy as Snapshot.UrgentStart.
	urgentStart = 9700 * time.Millisecond
)

type eventKind uint8

const (
	evArrive eventKind = iota
	evCancel
	evEnd       // a gang succeeds or fails
	evStopped   // a preempted gang has stopped
	evFault     // a worker is lost or starts to fail its gangs
	evRepair    // a fault ends
	evDecide    // the policy decides
	evIdleCheck // decide if maxDecisionInterval has passed
)

// event is something that happens at a point of virtual time.
type event struct {
	at   time.Duration
	kind eventKind
	// index identifies the job or fault. attempt identifies the job's gang, so
	// that events of its earlier gangs can be ignored.
	index, attempt int
}

// eventHeap implements heap.Interface, ordered by time, then kind, then index.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].kind < h[j].kind || h[i].kind == h[j].kind && h[i].index < h[j].index
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// jobRecord is the simulated state of a job.
type jobRecord struct {
	job   *Job
	state structs.JobState
	// checkpointedWork is the work saved in a checkpoint, as run time at speed 1.
	checkpointedWork  time.Duration
	waitSince, waited time.Duration
	firstStart, ended time.Duration // firstStart is -1 before the first start
	restoreDelay      time.Duration // of the current gang
	attempt           int           // number of gangs started
	failures          int
	avoid             []string // workers on which the job failed
	gang              structs.RunningGang
	workers           []int   // indexes of the gang's workers
	speed             float64 // of the slowest of the gang's workers
	failingWorker     int     // index of the worker on which the gang fails, or -1
	hasClaim          bool    // the job opened a claim on a guarantee; see Result.ReclaimP99
	preemptedFor      string  // ID of the job for which the gang is being stopped
	endCount          int     // how often the job got a final state; must be 1 at most
	reservation       *structs.Reservation
}

// eventLoop simulates a workload in virtual time.
type eventLoop struct {
	w                *Workload
	policy           Policy
	now              time.Duration
	events           eventHeap
	records          []jobRecord
	jobIndex         map[string]int
	waiting          []int // job indexes, sorted by job ID
	running          []int // job indexes, sorted by job ID
	workers          []structs.Worker
	workerIndex      map[string]int
	activeFault      []int // index of each worker's active fault, or -1
	runtimes         *estimate.Runtimes
	health           *estimate.Health
	lastDecision     time.Duration
	decisionPending  bool // an evDecide event is queued
	idleCheckPending bool // an evIdleCheck event is queued
	metrics          metrics
	plansWithChanges int
}

// Run simulates the workload under the policy and returns the measurements.
func Run(w *Workload, policy Policy) Result {
	l := newEventLoop(w, policy)
	l.run()
	return l.metrics.result(l)
}

func newEventLoop(w *Workload, policy Policy) *eventLoop {
	l := &eventLoop{
		w: w, policy: policy, jobIndex: map[string]int{}, workerIndex: map[string]int{},
		workers: slices.Clone(w.Workers), runtimes: estimate.NewRuntimes(), health: estimate.NewHealth(),
		lastDecision: -minDecisionInterval, metrics: newMetrics(w),
	}
	for i := range w.Jobs {
		l.records = append(l.records, jobRecord{job: &w.Jobs[i], state: structs.JobPlacing, firstStart: -1})
		l.jobIndex[w.Jobs[i].ID] = i
		heap.Push(&l.events, event{at: w.Jobs[i].Arrive, kind: evArrive, index: i})
		if w.Jobs[i].CancelAt > 0 {
			heap.Push(&l.events, event{at: w.Jobs[i].CancelAt, kind: evCancel, index: i})
		}
	}
	for i, f := range w.Faults {
		heap.Push(&l.events, event{at: f.At, kind: evFault, index: i})
		heap.Push(&l.events, event{at: f.Until, kind: evRepair, index: i})
	}
	l.activeFault = make([]int, len(l.workers))
	for i := range l.workers {
		l.workerIndex[l.workers[i].ID] = i
		l.activeFault[i] = -1
	}
	return l
}

// run handles events until none is left or maxHorizons is reached.
func (l *eventLoop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		if e.at > maxHorizons*l.w.Horizon {
			break
		}
		l.metrics.advance(l, e.at)
		l.now = e.at
		l.handle(e)
		l.scheduleDecision(e)
	}
}

func (l *eventLoop) handle(e event) {
	switch e.kind {
	case evArrive:
		r := &l.records[e.index]
		if r.hasClaim = l.coveredByGuarantee(r.job); r.hasClaim {
			l.metrics.openClaim(r.job, l.now)
		}
		l.enqueue(e.index)
	case evCancel:
		l.cancel(e.index)
	case evEnd:
		if l.isCurrent(e) {
			l.gangEnded(e.index)
		}
	case evStopped:
		if l.isCurrent(e) {
			l.gangStopped(e.index)
		}
	case evFault:
		l.startFault(e.index)
	case evRepair:
		l.activeFault[l.w.Faults[e.index].Worker] = -1
	case evDecide:
		l.decisionPending = false
		l.decide()
	case evIdleCheck:
		l.idleCheckPending = false
		if l.now-l.lastDecision >= maxDecisionInterval {
			l.decide()
		}
	}
}

// isCurrent reports whether the event belongs to the job's current gang.
func (l *eventLoop) isCurrent(e event) bool {
	r := &l.records[e.index]
	return r.state == structs.JobRunning && r.attempt == e.attempt
}

// scheduleDecision queues the decision that follows an event, and a check that
// decides after maxDecisionInterval without a decision.
func (l *eventLoop) scheduleDecision(e event) {
	if len(l.waiting) == 0 {
		return
	}
	if !l.idleCheckPending {
		l.idleCheckPending = true
		heap.Push(&l.events, event{at: max(l.lastDecision+maxDecisionInterval, l.now+minDecisionInterval), kind: evIdleCheck})
	}
	if !l.decisionPending && e.kind != evDecide && e.kind != evIdleCheck {
		l.decisionPending = true
		heap.Push(&l.events, event{at: max(l.now, l.lastDecision+minDecisionInterval), kind: evDecide})
	}
}

// enqueue puts the job in the waiting list.
func (l *eventLoop) enqueue(i int) {
	r := &l.records[i]
	r.state, r.waitSince = structs.JobWaiting, l.now
	l.waiting = insertSorted(l.waiting, i, l.jobID)
}

func (l *eventLoop) jobID(i int) string { return l.records[i].job.ID }

// end gives the job its final state.
func (l *eventLoop) end(i int, state structs.JobState) {
	r := &l.records[i]
	if r.hasClaim && r.firstStart < 0 {
		l.metrics.dropNewestClaim(r.job)
	}
	if r.state == structs.JobWaiting {
		r.waited += l.now - r.waitSince
		l.waiting = removeSorted(l.waiting, i, l.jobID)
	}
	r.state, r.ended = state, l.now
	r.endCount++
}

func (l *eventLoop) cancel(i int) {
	switch l.records[i].state {
	case structs.JobRunning:
		l.release(i)
		l.end(i, structs.JobCancelled)
	case structs.JobWaiting:
		l.end(i, structs.JobCancelled)
	}
}

// decide builds the snapshot, asks the policy and applies its plan.
func (l *eventLoop) decide() {
	if len(l.waiting) == 0 {
		return
	}
	l.lastDecision = l.now
	s := l.snapshot()
	started := time.Now()
	plan := l.policy.Decide(s)
	l.metrics.decisions++
	l.metrics.decisionTime += time.Since(started)
	if len(plan.Placements)+len(plan.Preemptions)+len(plan.Refusals) > 0 {
		l.plansWithChanges++
		if l.plansWithChanges%l.metrics.checkEvery == 0 {
			l.metrics.countViolations(check.Plan(s, plan))
		}
	}
	l.apply(plan)
	l.metrics.measureFragmentation(l)
	l.metrics.attributeIdle(l, plan)
}

// snapshot returns the policy's view of the current state.
func (l *eventLoop) snapshot() *structs.Snapshot {
	s := &structs.Snapshot{
		Now: l.now, Domain: "d", Weights: l.w.Weights, Accounts: l.w.Accounts, Kinds: l.w.Kinds, UrgentStart: urgentStart,
		Workers: slices.Clone(l.workers), Speeds: map[string]map[string]float64{},
		Waiting: make([]structs.WaitingJob, len(l.waiting)), Running: make([]structs.RunningGang, len(l.running)),
	}
	for i := range s.Workers {
		s.Workers[i].State = l.workerState(i)
	}
	for i := range l.w.Kinds {
		kind := l.w.Kinds[i].Name
		s.Speeds[kind] = map[string]float64{}
		for class := range classSpeeds {
			s.Speeds[kind][class] = l.runtimes.Speed(kind, class)
		}
	}
	claimants := map[string]bool{}
	for k, i := range l.running {
		r := &l.records[i]
		s.Running[k] = r.gang
		s.Running[k].RunTimeP50, s.Running[k].RunTimeP90 = l.remainingQuantiles(r)
		if r.gang.Stopping {
			claimants[r.preemptedFor] = true
		}
	}
	for k, i := range l.waiting {
		r, j := &l.records[i], l.records[i].job
		w := structs.WaitingJob{
			ID: j.ID, Account: j.Account, Kind: j.Kind, Shape: j.Shape, Urgency: j.Urgency, Submitted: j.Arrive, DeclaredRunTime: j.Declared,
			Idempotent: j.Idempotent, Checkpointable: j.Checkpointable, Avoid: r.avoid, Reserved: r.reservation, Preempting: claimants[j.ID],
		}
		w.RunTimeP50, w.RunTimeP90 = l.remainingQuantiles(r)
		s.Waiting[k] = w
	}
	return s
}

// remainingQuantiles estimates the run time that the job still needs after its
// last checkpoint.
func (l *eventLoop) remainingQuantiles(r *jobRecord) (p50, p90 time.Duration) {
	p50, p90 = l.runtimes.Quantiles(r.job.Account, r.job.Kind, r.job.Declared)
	return max(p50-r.checkpointedWork, p50/10), max(p90-r.checkpointedWork, p90/10)
}

// workerState returns the state of a worker as the scheduler would see it: lost, or
// judged by the failures of its gangs.
func (l *eventLoop) workerState(worker int) structs.WorkerState {
	if f := l.activeFault[worker]; f >= 0 && l.w.Faults[f].Lost {
		return structs.WorkerLost
	}
	return l.health.State(l.now, l.workers[worker].ID)
}

// coveredByGuarantee reports whether the account's guarantee covers the job in
// addition to all jobs that the account has waiting and running. Such a job must
// start soon.
func (l *eventLoop) coveredByGuarantee(j *Job) bool {
	total, same := 0, 0
	for i := range l.w.Accounts {
		if a := &l.w.Accounts[i]; a.Name == j.Account {
			for _, g := range a.Guarantee {
				total += g.Shape.Total() * g.Count
				if g.Shape == j.Shape {
					same += g.Count
				}
			}
		}
	}
	for _, list := range [][]int{l.waiting, l.running} {
		for _, i := range list {
			if o := l.records[i].job; o.Account == j.Account {
				total -= o.Shape.Total()
				if o.Shape == j.Shape {
					same--
				}
			}
		}
	}
	if same < 1 || total < j.Shape.Total() {
		return false
	}
	for i := range l.workers {
		if l.workerState(i) != structs.WorkerReady {
			return false // without all workers, the guarantee may not be available
		}
	}
	return true
}

// insertSorted inserts an index into a list sorted by key.
func insertSorted(list []int, i int, key func(int) string) []int {
	at, _ := slices.BinarySearchFunc(list, key(i), func(e int, k string) int { return compare(key(e), k) })
	return slices.Insert(list, at, i)
}

// removeSorted removes an index from a list sorted by key; it panics if the index
// is missing.
func removeSorted(list []int, i int, key func(int) string) []int {
	at, ok := slices.BinarySearchFunc(list, key(i), func(e int, k string) int { return compare(key(e), k) })
	if !ok {
		panic(fmt.Sprintf("bench: job %s is not in the list", key(i)))
	}
	return slices.Delete(list, at, at+1)
}
