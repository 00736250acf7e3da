package workflowdaemon

import (
	"context"
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

type simRun struct {
	id      workflow.RunID
	w       *simWorker
	begun   time.Time
	work    time.Duration
	fails   bool
	late    bool
	waiting atomic.Bool // for the other members of its gang
	timer   *time.Timer
	ending  bool
}

// simWorker is a worker of a simulation: a machine with one life at a time.
type simWorker struct {
	id      string
	history *history
	rng     *rand.Rand
	all     func() []*simWorker

	mu          sync.Mutex
	incarnation int64
	born        time.Time
	up          bool
	fence       uint64
	until       time.Duration // end of the leases on its clock
	lease       *time.Timer
	room        workflow.Resources
	runs        map[workflow.RunID]*simRun
	over        map[workflow.TaskID]int // highest attempt that was stopped or ended
	ends        []workflowrpc.End
	noted       uint64
	// openDone has the ends done that were not noted, by number.
	openDone map[uint64]workflow.TaskID
	changed  chan struct{}
	// loseShare of the orders is left unanswered and carried out later.
	loseShare float64
	failAll   bool
}

func (w *simWorker) clock() time.Duration {
	return time.Duration(0.985*float64(time.Since(w.born))) + time.Second
}

func (w *simWorker) start(now time.Time) {
	w.incarnation, w.born, w.up = now.UnixMilli(), now, true
	w.fence, w.until, w.noted = 0, 0, 0
	w.room = workflow.Resources{CPUMilli: 64000, MemoryMB: 262144, GPUs: 8}
	w.runs, w.over, w.ends, w.openDone = map[workflow.RunID]*simRun{}, map[workflow.TaskID]int{}, nil, map[uint64]workflow.TaskID{}
	w.changed = make(chan struct{})
}

// crash ends everything on the worker.
func (w *simWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	for _, r := range w.runs {
		r.timer.Stop()
		w.history.ended(r, workflow.EndLost)
	}
	for _, t := range w.openDone {
		w.history.forgotten(t)
	}
	if w.lease != nil {
		w.lease.Stop()
	}
	clear(w.runs)
	clear(w.openDone)
	w.up = false
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *simWorker) reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		w.start(time.Now())
	}
}

// lost decides whether an order gets no answer, and carries it out later.
func (w *simWorker) lost(ctx context.Context, later func()) error {
	w.mu.Lock()
	up, lose := w.up, w.rng.Float64() < w.loseShare
	delay := 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	carriedOut := w.rng.Float64() < 0.7
	w.mu.Unlock()
	if up && !lose {
		return nil
	}
	if up && carriedOut {
		time.AfterFunc(delay, later)
	}
	<-ctx.Done()
	return ctx.Err()
}

// conn is a connection to one life of a simWorker.
type conn struct {
	w           *simWorker
	incarnation int64
}

func (c conn) Close() {}

func (c conn) Start(ctx context.Context, s workflowagent.StartCall) (workflowagent.Answer, error) {
	if err := c.w.lost(ctx, func() { c.w.order(c.incarnation, s, true) }); err != nil {
		return workflowagent.Answer{}, err
	}
	return c.w.order(c.incarnation, s, false)
}

func (w *simWorker) order(incarnation int64, s workflowagent.StartCall, late bool) (workflowagent.Answer, error) {
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
	case s.Fence < w.fence:
		a.Rejected = workflowagent.ReasonFence
	case w.runs[s.ID] != nil:
		w.fence = s.Fence
		w.extend(s.Deadline)
	case w.over[s.ID.Task] >= s.ID.Attempt:
		a.Rejected = workflowagent.ReasonOld
	case s.Deadline < w.clock():
		a.Rejected = workflowagent.ReasonLate
	case !w.room.Fits(need):
		a.Rejected = workflowagent.ReasonRoom
	default:
		w.fence = s.Fence
		w.begin(s, spec, need, late)
		w.extend(s.Deadline)
	}
	return a, nil
}

func (w *simWorker) begin(s workflowagent.StartCall, spec *workflow.Spec, need workflow.Resources, late bool) {
	r := &simRun{id: s.ID, w: w, begun: time.Now(), late: late}
	if spec != nil {
		r.work = spec.Steps[s.ID.Task.Step].Estimate.Duration()
	}
	r.work = time.Duration(float64(r.work) * (0.5 + w.rng.Float64()))
	r.fails = w.failAll || w.rng.Float64() < 0.03
	w.room = w.room.Add(need, -1)
	w.runs[s.ID] = r
	r.timer = time.AfterFunc(time.Hour, func() {})
	w.history.started(r)
	if spec != nil && spec.Steps[s.ID.Task.Step].Gang {
		r.waiting.Store(true)
		r.timer = time.AfterFunc(simGangWait, func() { w.finish(r, workflow.EndAlone) })
		go w.gather(r, spec.Steps[s.ID.Task.Step].Tasks)
		return
	}
	w.work(r)
}

// work sets the end of a run; the lock is held.
func (w *simWorker) work(r *simRun) {
	kind := workflow.EndDone
	if r.fails {
		kind = workflow.EndFailed
	}
	r.timer = time.AfterFunc(r.work, func() { w.finish(r, kind) })
}

// gather starts the work of a gang once all its members are there.
func (w *simWorker) gather(r *simRun, size int) {
	members := w.gang(r)
	if len(members) < size {
		return
	}
	var work time.Duration
	for _, m := range members {
		m.w.mu.Lock()
		work = max(work, m.work)
		m.w.mu.Unlock()
	}
	for _, m := range members {
		m.w.mu.Lock()
		if m.w.runs[m.id] == m && m.waiting.CompareAndSwap(true, false) {
			m.timer.Stop()
			m.work = work
			m.w.work(m)
		}
		m.w.mu.Unlock()
	}
}

// gang returns the members of a run's attempt on all workers.
func (w *simWorker) gang(r *simRun) []*simRun {
	var out []*simRun
	for _, other := range w.all() {
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

// finish ends a run and, if it is no end done, the rest of its gang.
func (w *simWorker) finish(r *simRun, kind workflow.EndKind) {
	spec := w.history.spec(r.id.Task.Job)
	gang := spec != nil && spec.Steps[r.id.Task.Step].Gang
	var members []*simRun
	if gang {
		members = w.gang(r)
	}
	if !w.finishOne(r, kind) || !gang || kind == workflow.EndDone || r.waiting.Load() && kind != workflow.EndFailed {
		return
	}
	for _, m := range members {
		if m != r && !m.waiting.Load() {
			m.w.finishOne(m, workflow.EndBroken)
		}
	}
}

func (w *simWorker) finishOne(r *simRun, kind workflow.EndKind) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.id] != r || !w.up {
		return false
	}
	r.timer.Stop()
	delete(w.runs, r.id)
	w.over[r.id.Task] = max(w.over[r.id.Task], r.id.Attempt)
	if spec := w.history.spec(r.id.Task.Job); spec != nil {
		w.room = w.room.Add(spec.Steps[r.id.Task.Step].Need, 1)
	}
	seq := w.noted + uint64(len(w.ends)) + 1
	w.ends = append(w.ends, workflowrpc.End{Seq: seq, ID: r.id, Kind: kind})
	if kind == workflow.EndDone {
		w.openDone[seq] = r.id.Task
	}
	w.history.ended(r, kind)
	close(w.changed)
	w.changed = make(chan struct{})
	return true
}

func (c conn) Stop(ctx context.Context, id workflow.RunID, fence uint64) (workflowagent.Answer, error) {
	if err := c.w.lost(ctx, func() { c.w.stop(c.incarnation, id, fence) }); err != nil {
		return workflowagent.Answer{}, err
	}
	return c.w.stop(c.incarnation, id, fence)
}

func (w *simWorker) stop(incarnation int64, id workflow.RunID, fence uint64) (workflowagent.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.incarnation != incarnation {
		return workflowagent.Answer{}, workflowagent.ErrOtherIncarnation
	}
	if fence < w.fence {
		return workflowagent.Answer{Clock: w.clock(), Rejected: workflowagent.ReasonFence}, nil
	}
	w.fence = fence
	if r := w.runs[id]; r != nil && !r.ending {
		r.ending = true
		time.AfterFunc(simStopGrace, func() { w.finish(r, workflow.EndStopped) })
	}
	w.over[id.Task] = max(w.over[id.Task], id.Attempt)
	return workflowagent.Answer{Clock: w.clock()}, nil
}

// extend renews the leases; the lock is held.
func (w *simWorker) extend(deadline time.Duration) {
	deadline = min(deadline, w.clock()+simMaxLease)
	if deadline <= w.until {
		return
	}
	w.until = deadline
	if w.lease != nil {
		w.lease.Stop()
	}
	incarnation := w.incarnation
	w.lease = time.AfterFunc(time.Duration(float64(deadline-w.clock())/0.985)+time.Millisecond, func() { w.lapse(incarnation) })
}

func (w *simWorker) lapse(incarnation int64) {
	w.mu.Lock()
	if w.incarnation != incarnation || !w.up || w.clock() < w.until {
		w.mu.Unlock()
		return
	}
	runs := slices.Collect(maps.Values(w.runs))
	for _, t := range w.openDone {
		w.history.forgotten(t)
	}
	clear(w.openDone)
	w.mu.Unlock()
	for _, r := range runs {
		w.finish(r, workflow.EndLapsed)
	}
}

func (c conn) Hold(ctx context.Context, h workflowagent.HoldCall) (workflowagent.Listing, error) {
	w := c.w
	if err := w.lost(ctx, func() { w.renew(c.incarnation, h) }); err != nil {
		return workflowagent.Listing{}, err
	}
	if !w.renew(c.incarnation, h) {
		return workflowagent.Listing{}, workflowagent.ErrOtherIncarnation
	}
	w.mu.Lock()
	changed, any := w.changed, len(w.ends) > 0
	w.mu.Unlock()
	if h.Wait > 0 && !any {
		select {
		case <-changed:
		case <-time.After(h.Wait):
		case <-ctx.Done():
			return workflowagent.Listing{}, ctx.Err()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l := workflowagent.Listing{Answer: workflowagent.Answer{Clock: w.clock()}, Incarnation: w.incarnation, Ended: slices.Clone(w.ends)}
	if w.incarnation != c.incarnation || !w.up {
		return workflowagent.Listing{}, workflowagent.ErrOtherIncarnation
	}
	if h.Fence < w.fence {
		l.Rejected = workflowagent.ReasonFence
	}
	for id, r := range w.runs {
		percent := int(100 * time.Since(r.begun) / max(r.work, 1))
		l.Running = append(l.Running, workflowrpc.Run{ID: id, State: workflowrpc.RunRunning, Percent: min(percent, 99)})
	}
	return l, nil
}

// renew carries a hold out; false if another life of the worker answers.
func (w *simWorker) renew(incarnation int64, h workflowagent.HoldCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation || !w.up {
		return false
	}
	if h.Fence < w.fence {
		return true
	}
	w.fence = h.Fence
	for len(w.ends) > 0 && w.ends[0].Seq <= h.Noted {
		delete(w.openDone, w.ends[0].Seq)
		w.noted = w.ends[0].Seq
		w.ends = w.ends[1:]
	}
	if h.Deadline > 0 {
		w.extend(h.Deadline)
	}
	return true
}
