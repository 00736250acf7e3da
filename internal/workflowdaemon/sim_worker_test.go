package workflowdaemon

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowagent"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// simRun is a run on a simulated worker.
type simRun struct {
	id             workflow.RunID
	worker         *simWorker
	startedAt      time.Time
	duration       time.Duration
	fails          bool
	startedLate    bool        // by a call that was carried out after its caller had given up
	waitingForGang atomic.Bool // until all other members of its gang have started
	timer          *time.Timer
	stopping       bool
}

// simWorker is a simulated worker. It has one incarnation at a time.
type simWorker struct {
	id         string
	history    *history
	rng        *rand.Rand
	allWorkers func() []*simWorker
	maxLease   time.Duration

	mu           sync.Mutex
	incarnation  int64
	bootedAt     time.Time
	up           bool
	highestFence uint64
	leaseEnd     time.Duration // on the worker's clock
	leaseTimer   *time.Timer
	free         workflow.Resources
	capacity     workflow.Resources
	// capacities has the capacities of this incarnation, the last one in force.
	capacities []simCapacity
	// unguarded workers start runs for which they have no capacity.
	unguarded       bool
	runs            map[workflow.RunID]*simRun
	finishedAttempt map[workflow.TaskID]int // highest attempt that has been stopped or has ended
	unackedEnds     []workflowrpc.End
	ackedSeq        uint64
	// discardable holds the unacknowledged ends that a crash or the end of the leases
	// discards, by sequence number.
	discardable map[uint64]workflowrpc.End
	changed     chan struct{} // closed and replaced when a run ends or the worker stops
	// lostCallShare is the share of calls that get no answer and may be carried out
	// later.
	lostCallShare float64
	failAll       bool // every run that is started fails
	// startTime is how long the worker takes to answer a start.
	startTime time.Duration
	// refusing is set while the machine is up and the worker's process is not, so that the
	// kernel refuses connections.
	refusing bool
	reliable bool // no run fails by itself
	// cut is set while neither calls nor heartbeats pass between the worker and its agent.
	cut bool
	// listLimit is the number of ends in a listing. It is small, so that a simulated outage
	// of the store lasts longer than the ends that a worker lists.
	listLimit int
}

// clock returns the worker's monotonic clock. It starts at 1 s, because agents ignore
// a reading of 0, and runs 1.5% slow.
func (w *simWorker) clock() time.Duration {
	return time.Duration(0.985*float64(time.Since(w.bootedAt))) + time.Second
}

// heartbeat returns what the present incarnation says of itself.
func (w *simWorker) heartbeat() workflowrpc.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	rack := "r" + string(w.id[1]/2)
	return workflowrpc.Worker{ID: w.id, Incarnation: w.incarnation, Pool: "p", Zone: w.zone(), Rack: rack, Labels: []string{"k", rack}, Capacity: w.capacity}
}

// zone returns the availability zone of the worker: there are three, of two workers each.
func (w *simWorker) zone() string { return "z" + string('0'+(w.id[1]-'0')%3) }

func (w *simWorker) boot(now time.Time) {
	w.incarnation, w.bootedAt, w.up, w.refusing = now.UnixMilli(), now, true, false
	w.highestFence, w.leaseEnd, w.ackedSeq = 0, 0, 0
	w.capacity, w.capacities, w.free = simFullCapacity, nil, simFullCapacity
	w.runs, w.finishedAttempt, w.unackedEnds, w.discardable = map[workflow.RunID]*simRun{}, map[workflow.TaskID]int{}, nil, map[uint64]workflowrpc.End{}
	w.changed = make(chan struct{})
}

// crash stops the worker. All its runs and unacknowledged ends are lost.
func (w *simWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	for _, r := range w.runs {
		r.timer.Stop()
		w.history.recordEnd(r, workflow.EndLost)
	}
	for _, e := range w.discardable {
		w.history.discardEnd(e)
	}
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	clear(w.runs)
	clear(w.discardable)
	w.up = false
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *simWorker) reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		w.boot(time.Now())
	}
}

// maybeLoseCall decides whether a call gets no answer. If so it waits for ctx,
// returns its error, and may carry the call out later. It also loses calls to a
// stopped worker.
func (w *simWorker) maybeLoseCall(ctx context.Context, later func()) error {
	w.mu.Lock()
	up, refusing, cut, lose := w.up, w.refusing, w.cut, w.rng.Float64() < w.lostCallShare
	delay := 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	carriedOut := w.rng.Float64() < 0.7
	w.mu.Unlock()
	if refusing {
		return workflowagent.ErrNotListening
	}
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	if up && !lose {
		return nil
	}
	if up && carriedOut {
		time.AfterFunc(delay, later)
	}
	<-ctx.Done()
	return ctx.Err()
}

// workerConn is a connection to one incarnation of a simWorker.
type workerConn struct {
	worker      *simWorker
	incarnation int64
}

func (c workerConn) Close() {}

func (c workerConn) Start(ctx context.Context, s workflowagent.StartCall) (workflowagent.Answer, error) {
	if err := c.worker.maybeLoseCall(ctx, func() { c.worker.startRun(c.incarnation, s, true) }); err != nil {
		return workflowagent.Answer{}, err
	}
	c.worker.mu.Lock()
	startTime := c.worker.startTime
	c.worker.mu.Unlock()
	defer time.Sleep(startTime)
	return c.worker.startRun(c.worker.currentIncarnation(), s, false)
}

// startRun carries out a Start call. late is set if the caller got no answer.
func (w *simWorker) startRun(incarnation int64, s workflowagent.StartCall, late bool) (workflowagent.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.incarnation != incarnation {
		return workflowagent.Answer{}, workflowagent.ErrOtherIncarnation
	}
	spec := w.history.spec(s.ID.Task.Job)
	a := workflowagent.Answer{Clock: w.clock()}
	need := workflow.Resources{}
	if spec != nil {
		need = spec.Steps[s.ID.Task.Step].Need
	}
	switch {
	case s.Fence < w.highestFence:
		a.Rejected = workflowagent.ReasonStaleFence
	case w.runs[s.ID] != nil:
		w.highestFence = s.Fence
		w.extendLease(s.Deadline)
	case w.finishedAttempt[s.ID.Task] >= s.ID.Attempt:
		a.Rejected = workflowagent.ReasonEnded
	case s.Deadline < w.clock():
		a.Rejected = workflowagent.ReasonDeadlinePassed
	case !w.free.Fits(need) && !w.unguarded:
		a.Rejected = workflowagent.ReasonNoCapacity
	default:
		w.highestFence = s.Fence
		w.launch(s, spec, need, late)
		w.extendLease(s.Deadline)
	}
	return a, nil
}

// launch starts a run. The caller holds mu.
func (w *simWorker) launch(s workflowagent.StartCall, spec *workflow.Spec, need workflow.Resources, late bool) {
	r := &simRun{id: s.ID, worker: w, startedAt: time.Now(), startedLate: late}
	if spec != nil {
		r.duration = spec.Steps[s.ID.Task.Step].Estimate.Duration()
	}
	r.duration = time.Duration(float64(r.duration) * (0.5 + w.rng.Float64()))
	r.fails = w.failAll || w.rng.Float64() < 0.03 && !w.reliable
	w.free = w.free.Add(need, -1)
	w.runs[s.ID] = r
	r.timer = time.AfterFunc(time.Hour, func() {})
	w.history.recordStart(r)
	w.checkCapacity(r)
	if w.history.crashesWorkers(s.ID.Task) {
		time.AfterFunc(simCrashDelay, func() { w.crashByRun(r) })
	}
	if spec != nil && spec.Steps[s.ID.Task.Step].Gang {
		r.waitingForGang.Store(true)
		r.timer = time.AfterFunc(simGangWait, func() { w.finishRun(r, workflow.EndGangIncomplete) })
		go w.startGangIfComplete(r, spec.Steps[s.ID.Task.Step].Tasks)
		return
	}
	w.scheduleEnd(r)
}

// scheduleEnd sets the timer for the end of a run. The caller holds mu.
func (w *simWorker) scheduleEnd(r *simRun) {
	kind := workflow.EndDone
	if r.fails {
		kind = workflow.EndFailed
	}
	r.timer = time.AfterFunc(r.duration, func() { w.finishRun(r, kind) })
}

// startGangIfComplete starts the work of a gang once all its members have started.
func (w *simWorker) startGangIfComplete(r *simRun, size int) {
	members := w.gangMembers(r)
	if len(members) < size {
		return
	}
	var longest time.Duration
	for _, m := range members {
		m.worker.mu.Lock()
		longest = max(longest, m.duration)
		m.worker.mu.Unlock()
	}
	for _, m := range members {
		m.worker.mu.Lock()
		if m.worker.runs[m.id] == m && m.waitingForGang.CompareAndSwap(true, false) {
			m.timer.Stop()
			m.duration = longest
			m.worker.scheduleEnd(m)
		}
		m.worker.mu.Unlock()
	}
}

// gangMembers returns the runs of the same gang and attempt as r on all workers.
func (w *simWorker) gangMembers(r *simRun) []*simRun {
	var out []*simRun
	for _, other := range w.allWorkers() {
		other.mu.Lock()
		for id, m := range other.runs {
			t := id.Task
			t.Index = r.id.Task.Index
			if t == r.id.Task && id.Attempt == r.id.Attempt {
				out = append(out, m)
			}
		}
		other.mu.Unlock()
	}
	return out
}

// finishRun ends a run. Unless it ended as done, it also ends the other members of
// its gang.
func (w *simWorker) finishRun(r *simRun, kind workflow.EndKind) {
	spec := w.history.spec(r.id.Task.Job)
	gang := spec != nil && spec.Steps[r.id.Task.Step].Gang
	var members []*simRun
	if gang {
		members = w.gangMembers(r)
	}
	if !w.finishMember(r, kind) || !gang || kind == workflow.EndDone || r.waitingForGang.Load() && kind != workflow.EndFailed {
		return
	}
	for _, m := range members {
		if m != r && !m.waitingForGang.Load() {
			m.worker.finishMember(m, workflow.EndGangBroken)
		}
	}
}

// finishMember ends a run. It returns false if the run has ended already.
func (w *simWorker) finishMember(r *simRun, kind workflow.EndKind) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.id] != r || !w.up {
		return false
	}
	r.timer.Stop()
	delete(w.runs, r.id)
	w.finishedAttempt[r.id.Task] = max(w.finishedAttempt[r.id.Task], r.id.Attempt)
	if spec := w.history.spec(r.id.Task.Job); spec != nil {
		w.free = w.free.Add(spec.Steps[r.id.Task.Step].Need, 1)
	}
	seq := w.ackedSeq + uint64(len(w.unackedEnds)) + 1
	end := workflowrpc.End{Seq: seq, ID: r.id, Kind: kind}
	w.unackedEnds = append(w.unackedEnds, end)
	w.discardable[seq] = end
	w.history.recordEnd(r, kind)
	close(w.changed)
	w.changed = make(chan struct{})
	return true
}

func (c workerConn) Stop(ctx context.Context, id workflow.RunID, fence uint64) (workflowagent.Answer, error) {
	if err := c.worker.maybeLoseCall(ctx, func() { c.worker.stopRun(c.incarnation, id, fence) }); err != nil {
		return workflowagent.Answer{}, err
	}
	return c.worker.stopRun(c.worker.currentIncarnation(), id, fence)
}

func (w *simWorker) currentIncarnation() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

func (w *simWorker) stopRun(incarnation int64, id workflow.RunID, fence uint64) (workflowagent.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.incarnation != incarnation {
		return workflowagent.Answer{}, workflowagent.ErrOtherIncarnation
	}
	if fence < w.highestFence {
		return workflowagent.Answer{Clock: w.clock(), Rejected: workflowagent.ReasonStaleFence}, nil
	}
	w.highestFence = fence
	if r := w.runs[id]; r != nil && !r.stopping {
		r.stopping = true
		time.AfterFunc(simStopGrace, func() { w.finishRun(r, workflow.EndStopped) })
	}
	w.finishedAttempt[id.Task] = max(w.finishedAttempt[id.Task], id.Attempt)
	return workflowagent.Answer{Clock: w.clock()}, nil
}

// extendLease extends the leases. The caller holds mu.
func (w *simWorker) extendLease(deadline time.Duration) {
	deadline = min(deadline, w.clock()+w.maxLease)
	if deadline <= w.leaseEnd {
		return
	}
	w.leaseEnd = deadline
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	incarnation := w.incarnation
	w.leaseTimer = time.AfterFunc(time.Duration(float64(deadline-w.clock())/0.985)+time.Millisecond, func() { w.expireLease(incarnation) })
}

// expireLease ends all runs whose lease was not extended in time.
func (w *simWorker) expireLease(incarnation int64) {
	w.mu.Lock()
	if w.incarnation != incarnation || !w.up || w.clock() < w.leaseEnd {
		w.mu.Unlock()
		return
	}
	runs := slices.Collect(maps.Values(w.runs))
	for _, e := range w.discardable {
		w.history.discardEnd(e)
	}
	clear(w.discardable)
	w.mu.Unlock()
	for _, r := range runs {
		w.finishRun(r, workflow.EndLeaseExpired)
	}
}

func (c workerConn) Hold(ctx context.Context, h workflowagent.HoldCall) (workflowagent.Listing, error) {
	w := c.worker
	if err := w.maybeLoseCall(ctx, func() { w.applyHold(c.incarnation, h) }); err != nil {
		return workflowagent.Listing{}, err
	}
	if !w.applyHold(c.worker.currentIncarnation(), h) {
		return workflowagent.Listing{}, workflowagent.ErrOtherIncarnation
	}
	w.mu.Lock()
	changed, hasEnds := w.changed, len(w.unackedEnds) > 0
	w.mu.Unlock()
	if h.Wait > 0 && !hasEnds {
		select {
		case <-changed:
		case <-time.After(h.Wait):
		case <-ctx.Done():
			return workflowagent.Listing{}, ctx.Err()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := min(len(w.unackedEnds), w.listLimit)
	l := workflowagent.Listing{
		Answer: workflowagent.Answer{Clock: w.clock()}, Incarnation: w.incarnation, Ended: slices.Clone(w.unackedEnds[:listed]), Truncated: listed == w.listLimit,
	}
	if w.refusing {
		return workflowagent.Listing{}, errors.New("connection reset")
	}
	if !w.up {
		return workflowagent.Listing{}, workflowagent.ErrOtherIncarnation
	}
	if h.Fence < w.highestFence {
		l.Rejected = workflowagent.ReasonStaleFence
	}
	for id, r := range w.runs {
		percent := int(100 * time.Since(r.startedAt) / max(r.duration, 1))
		l.Running = append(l.Running, workflowrpc.Run{ID: id, State: workflowrpc.RunRunning, Percent: min(percent, 99)})
	}
	return l, nil
}

// applyHold carries out a Hold call. It returns false if the worker is stopped or
// has another incarnation.
func (w *simWorker) applyHold(incarnation int64, h workflowagent.HoldCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation || !w.up {
		return false
	}
	if h.Fence < w.highestFence {
		return true
	}
	w.highestFence = h.Fence
	for len(w.unackedEnds) > 0 && w.unackedEnds[0].Seq <= h.AckedEndSeq {
		delete(w.discardable, w.unackedEnds[0].Seq)
		w.ackedSeq = w.unackedEnds[0].Seq
		w.unackedEnds = w.unackedEnds[1:]
	}
	if h.Deadline > 0 {
		w.extendLease(h.Deadline)
	}
	return true
}
