package workflowowner

import (
	"cmp"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// worker is the state of a worker and its agent.
type worker struct {
	id, agent, addr string
	info            workflowrpc.Worker
	incarnation     int64
	fence           uint64

	// rowStored is set while the worker has a row in the store. rowVersion is the row's
	// version, rowIncarnation the incarnation of the worker that it names.
	rowStored      bool
	rowVersion     uint64
	rowIncarnation int64
	// rowRefused is set if the store has refused the row of this incarnation for good.
	rowRefused bool
	// awaitingReport is set for a worker with a row of an earlier owner until its agent has
	// reported all its runs and ends in this epoch.
	awaitingReport bool
	reported       bool
	// lastCall is the time of the agent's last call, lastReply that of the last reply to
	// it. Leases on the worker expire some time after lastReply.
	lastCall, lastReply time.Time
	lost                bool
	// earliestEnd is the earliest time at which a draining worker may end, on the
	// owner's clock; 0 if the worker is not draining.
	earliestEnd time.Duration
	backoff     failureBackoff

	runs map[workflow.RunID]*run
	// unwantedRuns are reported runs that the owner wants stopped and that it does not
	// track, with the resources that they hold.
	unwantedRuns map[workflow.RunID]workflow.Resources

	// callSeq is the sequence number of the newest call, callAgent the agent process
	// that made it.
	callSeq   uint64
	callAgent string
	poll      chan struct{} // closed to end the long poll of the newest call
	// toldEvacuated is what the last reply said of the worker's zone. held is set while orders
	// to start runs are not sent, because the view of the evacuated zones is too old.
	toldEvacuated, held bool

	// lastEndSeq is the sequence number of the last end that was recorded, durableEndSeq
	// that of the last end up to which all are stored.
	lastEndSeq    uint64
	pendingEnds   []pendingEnd
	durableEndSeq uint64
}

// pendingEnd is a reported end that the worker may forget once the job's progress is
// stored up to progressGen.
type pendingEnd struct {
	seq         uint64
	job         *job
	progressGen uint64
}

func newWorker(id string) *worker {
	return &worker{
		id: id, runs: map[workflow.RunID]*run{}, unwantedRuns: map[workflow.RunID]workflow.Resources{}, poll: make(chan struct{}),
	}
}

// rowCurrent reports whether the stored row names the current incarnation of the worker.
// Only then may the worker receive starts, since a later owner learns from the row which
// incarnation may have runs that it does not know.
func (w *worker) rowCurrent() bool { return w.rowStored && w.rowIncarnation == w.incarnation }

// rowOutdated reports whether the stored row has to be written or removed.
func (w *worker) rowOutdated() bool {
	if w.lost {
		return w.rowStored
	}
	return !w.rowCurrent() && !w.rowRefused
}

// endPoll ends the long poll of the agent's call.
func (w *worker) endPoll() {
	select {
	case <-w.poll:
	default:
		close(w.poll)
	}
}

// updateDurableEnds advances durableEndSeq over the pending ends that are stored.
func (w *worker) updateDurableEnds() {
	for len(w.pendingEnds) > 0 {
		p := w.pendingEnds[0]
		if p.job != nil && p.job.durableGen < p.progressGen {
			return
		}
		w.durableEndSeq = p.seq
		w.pendingEnds = w.pendingEnds[1:]
	}
}

// worstCaseLease returns the time after the last reply to a silent agent from which no
// run on its worker can hold a lease: the lease by the slowest permitted clock, plus
// slack.
func (o *Owner) worstCaseLease() time.Duration {
	return time.Duration(float64(o.opts.Times.Lease)/(1-maxClockDrift)) + leaseSlack
}

// usable reports whether the worker may receive starts. It returns false for a nil
// worker.
func (o *Owner) usable(w *worker) bool {
	if w == nil || o.isolates(w) || !w.reported || w.fence != o.opts.Epoch || !w.rowCurrent() || w.info.Draining || w.info.Unconfirmed || w.info.Gone || w.lost || w.info.Silent > 0 {
		return false
	}
	return time.Since(w.lastCall) < maxContactAge && o.now() >= w.backoff.until && o.health.State(o.now(), w.id) != structs.WorkerQuarantined && o.mayPlanStarts(w)
}

// free returns the capacity that is not held by runs that may exist on the worker.
func (w *worker) free() workflow.Resources {
	free := w.info.Capacity
	for _, r := range w.runs {
		free = free.Add(r.step.HeldResources(), -1)
	}
	for _, need := range w.unwantedRuns {
		free = free.Add(need, -1)
	}
	return free
}

// expireWorkers ends all runs on workers whose leases have certainly expired.
func (o *Owner) expireWorkers() {
	for _, w := range o.workers {
		if w.lost || time.Since(w.lastReply) < o.worstCaseLease() {
			continue
		}
		w.lost = true
		o.opts.Log.Event("worker_expired", "worker", w.id, "agent", w.agent, "runs", len(w.runs), "expected", w.awaitingReport,
			"silentMs", time.Since(w.lastReply).Milliseconds())
		o.loseRuns(w, "lease lapsed")
		if w.rowStored {
			signal(o.wakePersist)
		}
	}
}

// expireRuns ends all runs on a worker that does not answer its agent and whose leases
// have expired. It also applies to a worker that has not been fenced with this owner's
// epoch.
func (o *Owner) expireRuns(w *worker) {
	if w.awaitingReport || len(w.runs) > 0 {
		o.opts.Log.Event("worker_expired", "worker", w.id, "agent", w.agent, "runs", len(w.runs), "expected", w.awaitingReport,
			"silentMs", w.info.Silent.Milliseconds())
		o.loseRuns(w, "lease lapsed")
	}
}

// loseRuns ends all runs of an incarnation of a worker that has ended or whose leases
// have expired.
func (o *Owner) loseRuns(w *worker, why string) {
	w.awaitingReport = false
	lostRuns.Add(int64(len(w.runs)))
	for _, r := range w.runs {
		if !r.job.progress.State.Final() {
			r.job.progress.RecordEnd(&r.job.record.Spec, r.id, workflow.EndLost, r.checkpoint)
		}
		o.endRun(r, workflow.EndLost, r.lossReason(why))
	}
	clear(w.unwantedRuns)
	// Ends that are not stored are reported again if the incarnation is back.
	w.pendingEnds, w.lastEndSeq = nil, w.durableEndSeq
	signal(o.wakeDecide)
}

// Sync handles a call of an agent about one worker: it applies the report and replies
// with the orders for the worker. Without orders, it replies after args.Wait.
func (o *Owner) Sync(args *workflowrpc.SyncArgs, reply *workflowrpc.SyncReply) {
	received := o.opts.Clock()
	deadline := time.NewTimer(args.Wait)
	defer deadline.Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	reply.Epoch, reply.Owner = o.opts.Epoch, o.opts.Addr
	if args.Epoch > o.opts.Epoch {
		o.opts.OnHigherEpoch(args.Epoch)
	}
	if args.Epoch > o.opts.Epoch || o.stopped || !o.loaded || !o.opts.Authority() {
		reply.Err = verdict.Refuse(verdict.CodeUnavailable, "the owner of epoch %d is starting, ending or out of touch", o.opts.Epoch)
		return
	}
	reply.ZoneEvacuated = o.zoneEvacuated(args.Worker.Zone)
	if args.Worker.Gone {
		o.syncEnded(args, reply, deadline.C)
		return
	}
	if known := o.workers[args.Worker.ID]; known != nil && args.Worker.Incarnation > known.incarnation && args.Fence != o.opts.Epoch && !args.Worker.Lapsed {
		return // the runs of the earlier incarnation end with the first report that is applied
	}
	wasUsable := o.usable(o.workers[args.Worker.ID])
	w, current := o.acceptCall(args)
	if !current {
		reply.Superseded = w != nil && args.Worker.Incarnation == w.incarnation
		return
	}
	if args.Worker.Lapsed {
		o.expireRuns(w)
	} else if args.Fence != o.opts.Epoch {
		w.lastReply = time.Now()
		return // the agent first has to fence the worker against earlier owners
	}
	rejected := o.applyReport(w, args)
	o.withdrawStarts(w, args)
	o.withdrawUnreported(w, args)
	if wasUsable != o.usable(w) {
		signal(o.wakeDecide)
	}
	for !o.fillOrders(w, args, received, rejected, reply) {
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
		if w.callSeq != args.Seq || w.callAgent != args.Agent || o.workers[args.Worker.ID] != w {
			reply.Superseded = true
			return
		}
		if ended {
			break
		}
		w.renewPoll()
	}
	if o.stopped || !o.opts.Authority() {
		reply.Start, reply.Stop = nil, nil
		reply.Err = verdict.Refuse(verdict.CodeUnavailable, "the owner of epoch %d is out of touch", o.opts.Epoch)
		return
	}
	if addrs, version := o.opts.Entries(); version != args.EntriesVersion {
		reply.Entries, reply.EntriesVersion = addrs, version
	}
	reply.Noted = w.durableEndSeq
	w.toldEvacuated = reply.ZoneEvacuated
	w.lastReply = time.Now()
}

// syncEnded handles the report of an incarnation of a worker that has ended. It waits for
// the store until the deadline. o.mu must be held; it is released while waiting.
func (o *Owner) syncEnded(args *workflowrpc.SyncArgs, reply *workflowrpc.SyncReply, deadline <-chan time.Time) {
	o.recordCrash(args) // also of an earlier incarnation
	if w, current := o.acceptCall(args); current {
		o.applyReport(w, args)
		o.removeWorker(w, cmp.Or(string(args.Worker.End), "gone"))
	}
	reply.ReportAgain = !o.awaitCrashStored(args, deadline)
}

// renewPoll replaces the poll channel if it is closed.
func (w *worker) renewPoll() {
	select {
	case <-w.poll:
		w.poll = make(chan struct{})
	default:
	}
}

// acceptCall returns the worker of a call, which it adds if it is new, and reports
// whether the call is the newest one of the worker's newest incarnation.
func (o *Owner) acceptCall(args *workflowrpc.SyncArgs) (*worker, bool) {
	w := o.workers[args.Worker.ID]
	if w == nil {
		if args.Worker.Gone {
			return nil, false
		}
		w = newWorker(args.Worker.ID)
		w.incarnation, w.lastReply = args.Worker.Incarnation, time.Now()
		o.workers[args.Worker.ID] = w
		signal(o.wakePersist)
	}
	switch {
	case args.Worker.Incarnation < w.incarnation:
		return w, false
	case args.Worker.Incarnation > w.incarnation:
		o.opts.Log.Event("worker_restarted", "worker", w.id, "incarnation", args.Worker.Incarnation, "before", w.incarnation, "runs", len(w.runs))
		o.loseRuns(w, "worker started anew")
		w.incarnation, w.reported, w.lastEndSeq, w.durableEndSeq, w.callSeq, w.backoff = args.Worker.Incarnation, false, 0, 0, 0, failureBackoff{}
		w.rowRefused = false
		signal(o.wakePersist)
	}
	if w.callAgent == args.Agent && args.Seq <= w.callSeq {
		return w, false
	}
	w.callAgent, w.callSeq = args.Agent, args.Seq
	w.endPoll()
	w.poll = make(chan struct{})
	if !args.Worker.Draining {
		w.earliestEnd = 0
	} else if w.earliestEnd == 0 || !w.info.Draining {
		w.earliestEnd = o.now() + args.Worker.Remaining
	}
	w.agent, w.addr, w.info, w.fence = args.From, args.Addr, args.Worker, args.Fence
	w.lastCall = time.Now()
	return w, true
}

// removeWorker marks a worker as ended. Its row is removed later.
func (o *Owner) removeWorker(w *worker, why string) {
	workerEnds.Add(why, 1)
	o.loseRuns(w, why)
	w.lost, w.lastReply = true, time.Now()
	o.opts.Log.Event("worker_removed", "worker", w.id, "why", why)
	signal(o.wakePersist)
}

// removeReplaced removes older workers with the same address as w, which has just
// answered its agent there: two processes cannot listen on one address.
func (o *Owner) removeReplaced(w *worker) {
	for _, other := range o.workers {
		if other != w && other.info.Addr != "" && other.info.Addr == w.info.Addr && other.incarnation < w.incarnation && !other.lost {
			o.opts.Log.Event("worker_replaced", "worker", other.id, "by", w.id)
			o.removeWorker(other, "replaced")
		}
	}
}

// applyReport applies the ends and runs that an agent reports. It returns the IDs of the
// rejected runs, which the agent may forget.
func (o *Owner) applyReport(w *worker, args *workflowrpc.SyncArgs) []workflow.RunID {
	if !w.reported {
		o.opts.Log.Event("worker_reported", "worker", w.id, "agent", args.Agent, "incarnation", w.incarnation, "runs", len(args.Runs), "ends", len(args.Ends),
			"expected", w.awaitingReport, "epoch", o.opts.Epoch)
		o.removeReplaced(w)
	}
	if w.awaitingReport && !args.Worker.EndsUnlisted {
		w.awaitingReport = false
		signal(o.wakeDecide) // inherited jobs may have waited for this report
	}
	w.reported = true
	if args.Worker.Lapsed {
		return nil
	}
	if w.lost {
		w.lost = false
		signal(o.wakePersist)
	}
	for _, e := range args.Ends {
		if e.Seq > w.lastEndSeq {
			o.recordEnd(w, e)
		}
	}
	w.updateDurableEnds()
	var rejected []workflow.RunID
	unwantedBefore := len(w.unwantedRuns)
	clear(w.unwantedRuns)
	for _, report := range args.Runs {
		if report.State == workflowrpc.RunRejected {
			rejected = append(rejected, report.ID)
			if r := w.runs[report.ID]; r != nil {
				o.handleRejection(w, r, report.Reason)
			}
			continue
		}
		r := w.runs[report.ID]
		if r == nil {
			r = o.adopt(w, report)
		}
		if r != nil {
			r.reported = true
			o.updateRun(r, report)
		}
	}
	if len(w.unwantedRuns) < unwantedBefore {
		signal(o.wakeDecide) // capacity has become free
	}
	return rejected
}

// adopt registers a reported run that this owner did not order, but an earlier one did.
// It returns nil if the run is to be stopped.
func (o *Owner) adopt(w *worker, report workflowrpc.Run) *run {
	task := report.ID.Task
	j := o.jobs[task.Job]
	if j == nil || j.record == nil || !j.record.Spec.HasTask(task) {
		w.unwantedRuns[report.ID] = w.info.Capacity // what it holds is not known
		return nil
	}
	step := &j.record.Spec.Steps[task.Step]
	stepID := stepOf(task)
	j.recordAttempt(task, report.ID.Attempt)
	other := j.runs[task]
	if !j.active() || other != nil || j.progress.StepProgress(&j.record.Spec, stepID).IsDone(task.Index) {
		w.unwantedRuns[report.ID] = step.HeldResources()
		return nil
	}
	r := &run{
		id: report.ID, job: j, step: step, worker: w, state: report.State, orderedAt: o.now(), startedAt: o.now(), resumed: true,
		expected: o.estimate(j, step), guaranteed: o.guaranteed(j), checkpoint: report.Checkpoint,
		isolation: j.progress.StepProgress(&j.record.Spec, stepID).Isolation(step, task.Index),
	}
	w.runs[report.ID], j.runs[task] = r, r
	o.opts.Log.Event("run_adopted", "job", j.id, "run", report.ID.String(), "worker", w.id, "percent", report.Percent)
	return r
}

// updateRun applies the reported state of a run.
func (o *Owner) updateRun(r *run, report workflowrpc.Run) {
	now := o.now()
	if report.State != workflowrpc.RunStarting && r.state == workflowrpc.RunStarting {
		r.startedAt = now
		delete(r.job.rejectedStarts, stepOf(r.id.Task))
		startTime.Add(telemetry.LatencyBucket(now-r.orderedAt), 1)
		o.opts.Log.Event("run_started", "job", r.job.id, "run", r.id.String(), "worker", r.worker.id, "afterMs", (now - r.orderedAt).Milliseconds())
		if !r.job.progress.Begun {
			r.job.progress.Begun = true
			o.markChanged(r.job)
		}
	}
	r.state = report.State
	r.checkpoint = cmp.Or(report.Checkpoint, r.checkpoint)
	if report.Percent > r.percent {
		r.percent, r.percentAt = report.Percent, now
	}
}

// handleRejection ends a run whose start the worker rejected.
func (o *Owner) handleRejection(w *worker, r *run, reason string) {
	if r.state != workflowrpc.RunStarting {
		r.job.progress.RecordEnd(&r.job.record.Spec, r.id, workflow.EndLost, r.checkpoint)
	}
	rejectedStarts.Add(reason, 1)
	stepID := stepOf(r.id.Task)
	if reason != workflowrpc.ReasonEvacuated && r.stopReason != stopEvacuated {
		r.job.rejectedStarts[stepID] = r.job.rejectedStarts[stepID].increment(o.now())
	}
	if reason == workflowrpc.ReasonInvalidTicket {
		r.job.dropTicket(stepID, w)
	}
	o.endRun(r, workflow.EndLost, "rejected: "+reason)
}

// maxReplyPayload is the size of the payloads in a reply from which further starts are left
// to the next one. A reply has to arrive before the agent gives up its call.
const maxReplyPayload = 256 << 10

// fillOrders sets the orders in the reply to a call that was received at a time on
// Options.Clock, and reports whether it has to be sent now: because of orders, because ends that
// the call lists have become durable, or because the evacuation of the zone has changed.
func (o *Owner) fillOrders(w *worker, args *workflowrpc.SyncArgs, received time.Duration, rejected []workflow.RunID, reply *workflowrpc.SyncReply) bool {
	reply.Start, reply.Stop, reply.Forget = nil, nil, rejected
	startWithin, maySend := o.startWithin(w, received)
	reply.ZoneEvacuated, w.held = o.evacuated(w), false
	reportedStates := map[workflow.RunID]workflowrpc.RunState{}
	for _, report := range args.Runs {
		reportedStates[report.ID] = report.State
	}
	payload := 0
	for id, r := range w.runs {
		state, ok := reportedStates[id]
		switch {
		case r.stopReason != "" && state != workflowrpc.RunStopping:
			reply.Stop = append(reply.Stop, id)
		case r.stopReason == "" && !ok && !maySend:
			w.held = true
		case r.stopReason == "" && !ok && payload < maxReplyPayload:
			r.sent, reply.StartWithin = true, startWithin
			payload += len(r.job.record.Spec.Payload)
			reply.Start = append(reply.Start, workflowrpc.Start{
				ID: id, Payload: r.job.record.Spec.Payload, Checkpoint: r.job.progress.Checkpoint(&r.job.record.Spec, id.Task), Ticket: r.ticket,
			})
		}
	}
	for id := range w.unwantedRuns {
		if reportedStates[id] != workflowrpc.RunStopping {
			reply.Stop = append(reply.Stop, id)
		}
	}
	return len(reply.Start)+len(reply.Stop)+len(reply.Forget) > 0 || reply.ZoneEvacuated != w.toldEvacuated || w.durableEndSeq > 0 && len(args.Ends) > 0 && w.durableEndSeq >= args.Ends[0].Seq
}
