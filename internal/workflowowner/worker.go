package workflowowner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// worker is a worker with its agent.
type worker struct {
	id, agent, addr string
	info            workflowrpc.Worker
	incarnation     int64
	fence           uint64

	// row says that the worker's row is stored, rowVersion is its version and
	// rowIncarnation the life that it names.
	row            bool
	rowVersion     uint64
	rowIncarnation int64
	// expected says that the worker has a row of an earlier owner and has not
	// reported in this epoch.
	expected bool
	reported bool
	// lastCall is when the agent last called. lastReply is when it was last
	// answered: leases on the worker lapse after that.
	lastCall, lastReply time.Time
	lost                bool
	// ends is the earliest end of a draining worker on the owner's clock; 0 for
	// one that stays.
	ends      time.Duration
	suspicion suspicion

	runs map[workflow.RunID]*run
	// strangers are runs that the owner does not want, with what they hold.
	strangers map[workflow.RunID]workflow.Resources

	// seq is the number of the agent's newest call, from the process agentFrom.
	seq  uint64
	from string
	poll chan struct{} // closed to end the wait of the newest call

	endsSeen uint64
	pending  []pendingEnd
	noted    uint64
}

// pendingEnd is an end that the worker may forget once gen of the job is durable.
type pendingEnd struct {
	seq uint64
	job *job
	gen uint64
}

func newWorker(id string) *worker {
	return &worker{
		id: id, runs: map[workflow.RunID]*run{}, strangers: map[workflow.RunID]workflow.Resources{}, poll: make(chan struct{}),
	}
}

// member reports whether the stored row names this life of the worker. Only then
// may it receive starts: a later owner takes it from the row which life may run
// something that it has not ordered.
func (w *worker) member() bool { return w.row && w.rowIncarnation == w.incarnation }

// rowOutdated reports whether the stored row has to be written or removed.
func (w *worker) rowOutdated() bool {
	if w.lost {
		return w.row
	}
	return !w.member()
}

// wake ends the wait of the agent's call.
func (w *worker) wake() {
	select {
	case <-w.poll:
	default:
		close(w.poll)
	}
}

// note advances the number up to which ends are durable.
func (w *worker) note() {
	for len(w.pending) > 0 {
		p := w.pending[0]
		if p.job != nil && p.job.durable < p.gen {
			return
		}
		w.noted = p.seq
		w.pending = w.pending[1:]
	}
}

// leaseOver returns the time after the last reply at which nothing can run on a
// worker whose agent is silent: the lease on the slowest clock.
func (o *Owner) leaseOver() time.Duration {
	return time.Duration(float64(o.o.Times.Lease)/(1-clockSlow)) + leaseSlack
}

// suspicion keeps work from a worker whose runs fail. A failed run is the fault
// of its task or of its worker; which one shows when the worker has run others.
type suspicion struct {
	// failed counts the jobs of which runs failed there since the last one that
	// ended done, job is the last of them.
	failed int
	job    string
	until  time.Duration // on the owner's clock
}

// suspicionPauses are the times without starts after the first, second and each
// further job that failed. Runs fail by their own fault once in 50 to 200, so
// that two in a row point to the worker.
var suspicionPauses = []time.Duration{time.Second, 4 * time.Second, 8 * time.Second}

func (s *suspicion) failure(now time.Duration, job string) {
	if job != s.job {
		s.failed++
		s.job = job
	}
	s.until = now + suspicionPauses[min(s.failed, len(suspicionPauses))-1]
}

func (s *suspicion) success() { *s = suspicion{} }

// probing reports whether a worker that failed several jobs gets one task to
// show that it is sound again.
func (s *suspicion) probing() bool { return s.failed > 1 }

// usable reports whether the worker may receive starts; a worker that is not known
// may not.
func (o *Owner) usable(w *worker) bool {
	if w == nil || !w.reported || w.fence != o.o.Epoch || !w.member() || w.info.Draining || w.info.Gone || w.lost || w.info.Silent > 0 {
		return false
	}
	return time.Since(w.lastCall) < freshContact && o.now() >= w.suspicion.until && o.health.State(o.now(), w.id) != structs.WorkerQuarantined
}

// free returns the capacity beside everything that may run on the worker.
func (w *worker) free() workflow.Resources {
	free := w.info.Capacity
	for _, r := range w.runs {
		free = free.Add(r.step.HeldResources(), -1)
	}
	for _, need := range w.strangers {
		free = free.Add(need, -1)
	}
	return free
}

// recall tells the agents of silent workers again who the owner is: a restarted
// agent may know no entry.
func (o *Owner) recall() {
	if time.Since(o.recalled) < recallInterval {
		return
	}
	o.recalled = time.Now()
	var addrs []string
	for _, w := range o.workers {
		if w.addr != "" && !w.lost && time.Since(w.lastCall) > freshContact {
			addrs = append(addrs, w.addr)
		}
	}
	if len(addrs) > 0 {
		o.wg.Go(func() { o.announce(addrs) })
	}
}

// expire ends runs on workers whose leases have lapsed for certain.
func (o *Owner) expire() {
	for _, w := range o.workers {
		if w.lost || time.Since(w.lastReply) < o.leaseOver() {
			continue
		}
		w.lost = true
		o.o.Log.Event("worker_expired", "worker", w.id, "agent", w.agent, "runs", len(w.runs), "expected", w.expected,
			"silentMs", time.Since(w.lastReply).Milliseconds())
		o.loseRuns(w, "lease lapsed")
		if w.row {
			signal(o.dirty)
		}
	}
}

// lapse ends all runs on a worker that does not answer its agent and whose
// leases have run out. The worker need not have seen this owner's epoch.
func (o *Owner) lapse(w *worker) {
	if w.expected || len(w.runs) > 0 {
		o.o.Log.Event("worker_expired", "worker", w.id, "agent", w.agent, "runs", len(w.runs), "expected", w.expected,
			"silentMs", w.info.Silent.Milliseconds())
		o.loseRuns(w, "lease lapsed")
	}
}

// loseRuns ends all runs of a life of a worker that is over.
func (o *Owner) loseRuns(w *worker, why string) {
	w.expected = false
	lostRuns.Add(int64(len(w.runs)))
	for _, r := range w.runs {
		if !r.job.prog.State.Final() {
			r.job.prog.RecordEnd(&r.job.rec.Spec, r.id, workflow.EndLost, r.checkpoint)
		}
		o.endRun(r, workflow.EndLost, why)
	}
	clear(w.strangers)
	w.pending = nil
	signal(o.kick)
}

// uncertain reports whether an earlier owner's runs may still run on a worker
// that has not reported.
func (o *Owner) uncertain() bool {
	for _, w := range o.workers {
		if w.expected && !w.lost {
			return true
		}
	}
	return false
}

// announce tells agents of the new owner, so that they need not search for it.
func (o *Owner) announce(addrs []string) {
	slices.Sort(addrs)
	var wg sync.WaitGroup
	for _, addr := range slices.Compact(addrs) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(o.ctx, announceLimit)
			defer cancel()
			reply := &workflowrpc.OwnerReply{}
			args := &workflowrpc.OwnerArgs{Owner: o.o.Addr, Epoch: o.o.Epoch}
			if err := o.o.Caller.Call(ctx, addr, workflowrpc.MethodOwnerChanged, args, reply); err != nil {
				// The agent searches for the owner itself.
				o.o.Log.Event("announce_failed", "agent", addr, "err", err.Error())
			} else if reply.Epoch > o.o.Epoch {
				o.o.NoticeEpoch(reply.Epoch)
			}
		})
	}
	wg.Wait()
}

// Sync serves a call of an agent.
func (o *Owner) Sync(args *workflowrpc.SyncArgs, reply *workflowrpc.SyncReply) {
	deadline := time.NewTimer(args.Wait)
	defer deadline.Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	reply.Epoch, reply.Owner = o.o.Epoch, o.o.Addr
	if args.Epoch > o.o.Epoch {
		o.o.NoticeEpoch(args.Epoch)
	}
	if args.Epoch > o.o.Epoch || o.stopped || !o.loaded || !o.o.Authority() {
		reply.Err = verdict.Refuse(verdict.CodeUnavailable, "the owner of epoch %d is starting, ending or out of touch", o.o.Epoch)
		return
	}
	was := o.usable(o.workers[args.Worker.ID])
	w, current := o.accept(args)
	if !current {
		reply.Superseded = w != nil && args.Worker.Incarnation == w.incarnation
		return
	}
	if args.Worker.Lapsed {
		o.lapse(w)
	} else if args.Fence != o.o.Epoch && !args.Worker.Gone {
		w.lastReply = time.Now()
		return // the agent makes the worker refuse earlier owners first
	}
	rejected := o.report(w, args)
	if was != o.usable(w) {
		signal(o.kick)
	}
	if args.Worker.Gone {
		o.removeWorker(w, "gone")
		return
	}
	for !o.orders(w, args, rejected, reply) {
		poll := w.poll
		o.mu.Unlock()
		ended := false
		select {
		case <-poll:
		case <-deadline.C:
			ended = true
		case <-o.ctx.Done():
			ended = true
		}
		o.mu.Lock()
		if w.seq != args.Seq || w.from != args.Agent || o.workers[args.Worker.ID] != w {
			reply.Superseded = true
			return
		}
		if ended {
			break
		}
		w.renewPoll()
	}
	if o.stopped || !o.o.Authority() {
		reply.Start, reply.Stop = nil, nil
		reply.Err = verdict.Refuse(verdict.CodeUnavailable, "the owner of epoch %d is out of touch", o.o.Epoch)
		return
	}
	if addrs, version := o.o.Entries(); version != args.EntriesVersion {
		reply.Entries, reply.EntriesVersion = addrs, version
	}
	reply.Noted = w.noted
	w.lastReply = time.Now()
}

func (w *worker) renewPoll() {
	select {
	case <-w.poll:
		w.poll = make(chan struct{})
	default:
	}
}

// accept finds the worker of a call, and reports whether the call is the newest
// of the worker's newest life.
func (o *Owner) accept(args *workflowrpc.SyncArgs) (*worker, bool) {
	w := o.workers[args.Worker.ID]
	if w == nil {
		if args.Worker.Gone {
			return nil, false
		}
		w = newWorker(args.Worker.ID)
		w.incarnation, w.lastReply = args.Worker.Incarnation, time.Now()
		o.workers[args.Worker.ID] = w
		signal(o.dirty)
	}
	switch {
	case args.Worker.Incarnation < w.incarnation:
		return w, false
	case args.Worker.Incarnation > w.incarnation:
		o.o.Log.Event("worker_restarted", "worker", w.id, "incarnation", args.Worker.Incarnation, "before", w.incarnation, "runs", len(w.runs))
		o.loseRuns(w, "worker started anew")
		w.incarnation, w.reported, w.endsSeen, w.noted, w.seq, w.suspicion = args.Worker.Incarnation, false, 0, 0, 0, suspicion{}
		signal(o.dirty)
	}
	if w.from == args.Agent && args.Seq <= w.seq {
		return w, false
	}
	w.from, w.seq = args.Agent, args.Seq
	w.wake()
	w.poll = make(chan struct{})
	if !args.Worker.Draining {
		w.ends = 0
	} else if w.ends == 0 || !w.info.Draining {
		w.ends = o.now() + args.Worker.Remaining
	}
	w.agent, w.addr, w.info, w.fence = args.From, args.Addr, args.Worker, args.Fence
	w.lastCall = time.Now()
	return w, true
}

// removeWorker forgets a worker on which nothing runs any more.
func (o *Owner) removeWorker(w *worker, why string) {
	o.loseRuns(w, why)
	w.lost, w.lastReply = true, time.Now()
	o.o.Log.Event("worker_removed", "worker", w.id, "why", why)
	signal(o.dirty)
}

// replaced removes the workers that listened before at the address of a worker
// which has answered its agent there: two processes cannot.
func (o *Owner) replaced(w *worker) {
	for _, other := range o.workers {
		if other != w && other.info.Addr != "" && other.info.Addr == w.info.Addr && other.incarnation < w.incarnation && !other.lost {
			o.removeWorker(other, "replaced by "+w.id)
		}
	}
}

// report takes over what an agent says of a worker, and returns the rejected
// runs that it may forget.
func (o *Owner) report(w *worker, args *workflowrpc.SyncArgs) []workflow.RunID {
	if !w.reported {
		o.o.Log.Event("worker_reported", "worker", w.id, "agent", args.Agent, "incarnation", w.incarnation, "runs", len(args.Runs), "ends", len(args.Ends),
			"expected", w.expected, "epoch", o.o.Epoch)
		o.replaced(w)
	}
	if w.expected {
		signal(o.kick) // inherited jobs may no longer have to wait for it
	}
	w.reported, w.expected = true, false
	if args.Worker.Lapsed {
		return nil
	}
	if w.lost {
		w.lost = false
		signal(o.dirty)
	}
	for _, e := range args.Ends {
		if e.Seq > w.endsSeen {
			o.noteEnd(w, e)
		}
	}
	w.note()
	var rejected []workflow.RunID
	strangers := len(w.strangers)
	clear(w.strangers)
	for _, rep := range args.Runs {
		if rep.State == workflowrpc.RunRejected {
			rejected = append(rejected, rep.ID)
			if r := w.runs[rep.ID]; r != nil {
				o.rejected(w, r, rep.Reason)
			}
			continue
		}
		r := w.runs[rep.ID]
		if r == nil {
			r = o.adopt(w, rep)
		}
		if r != nil {
			o.update(r, rep)
		}
	}
	if len(w.strangers) < strangers {
		signal(o.kick) // room has become free
	}
	return rejected
}

// adopt registers a run that this owner did not order: one of an earlier owner.
// It returns nil if the run is not wanted.
func (o *Owner) adopt(w *worker, rep workflowrpc.Run) *run {
	task := rep.ID.Task
	j := o.jobs[task.Job]
	if j == nil || j.rec == nil || !j.rec.Spec.HasTask(task) {
		w.strangers[rep.ID] = workflow.Resources{}
		return nil
	}
	step := &j.rec.Spec.Steps[task.Step]
	part := partOf(task)
	j.attempts[task] = max(j.attempts[task], rep.ID.Attempt)
	other := j.runs[task]
	if !j.active() || other != nil || j.prog.StepProgress(&j.rec.Spec, part).IsDone(task.Index) {
		w.strangers[rep.ID] = step.HeldResources()
		return nil
	}
	r := &run{
		id: rep.ID, job: j, step: step, worker: w, state: rep.State, ordered: o.now(), started: o.now(), resumed: true,
		expected: o.estimate(j, step), guaranteed: o.guaranteed(j), checkpoint: rep.Checkpoint,
	}
	w.runs[rep.ID], j.runs[task] = r, r
	o.o.Log.Event("run_adopted", "job", j.id, "run", rep.ID.String(), "worker", w.id, "percent", rep.Percent)
	return r
}

// update takes over what an agent says of a run.
func (o *Owner) update(r *run, rep workflowrpc.Run) {
	now := o.now()
	if rep.State != workflowrpc.RunStarting && r.state == workflowrpc.RunStarting {
		r.started = now
		delete(r.job.rejected, partOf(r.id.Task))
		startTime.Add(telemetry.Bucket(now-r.ordered), 1)
		o.o.Log.Event("run_started", "job", r.job.id, "run", r.id.String(), "worker", r.worker.id, "afterMs", (now - r.ordered).Milliseconds())
		if !r.job.prog.Begun {
			r.job.prog.Begun = true
			o.changed(r.job)
		}
	}
	r.state = rep.State
	r.checkpoint = cmp.Or(rep.Checkpoint, r.checkpoint)
	if rep.Percent > r.percent {
		r.percent, r.percentAt = rep.Percent, now
	}
}

// rejected ends a run that the worker did not start.
func (o *Owner) rejected(w *worker, r *run, reason string) {
	if r.state != workflowrpc.RunStarting {
		r.job.prog.RecordEnd(&r.job.rec.Spec, r.id, workflow.EndLost, r.checkpoint)
	}
	rejects.Add(reason, 1)
	part := partOf(r.id.Task)
	r.job.rejected[part] = r.job.rejected[part].next(o.now())
	if reason == workflowrpc.ReasonTicket {
		r.job.dropTicket(part, w)
	}
	o.endRun(r, workflow.EndLost, "rejected: "+reason)
}

// orders fills the reply with what the worker's agent is to do, and reports
// whether there is anything.
func (o *Owner) orders(w *worker, args *workflowrpc.SyncArgs, rejected []workflow.RunID, reply *workflowrpc.SyncReply) bool {
	reply.Start, reply.Stop, reply.Forget = nil, nil, rejected
	known := map[workflow.RunID]workflowrpc.RunState{}
	for _, rep := range args.Runs {
		known[rep.ID] = rep.State
	}
	for id, r := range w.runs {
		state, ok := known[id]
		switch {
		case r.stopping != "" && state != workflowrpc.RunStopping:
			reply.Stop = append(reply.Stop, id)
		case r.stopping == "" && !ok:
			reply.Start = append(reply.Start, workflowrpc.Start{
				ID: id, Payload: r.job.rec.Spec.Payload, Checkpoint: r.job.prog.Checkpoint(&r.job.rec.Spec, id.Task), Ticket: r.ticket,
			})
		}
	}
	for id := range w.strangers {
		if known[id] != workflowrpc.RunStopping {
			reply.Stop = append(reply.Stop, id)
		}
	}
	return len(reply.Start)+len(reply.Stop)+len(reply.Forget) > 0 || w.noted > 0 && len(args.Ends) > 0 && w.noted >= args.Ends[0].Seq
}
