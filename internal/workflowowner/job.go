package workflowowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// job is the state of a job. record is nil while only other rows of the job have been
// seen.
type job struct {
	id            string
	record        *workflow.Record
	recordVersion uint64
	// inherited jobs may have runs that an earlier owner started.
	inherited bool
	seenAt    time.Duration

	progress *workflow.Progress
	// rows has the rows of the progress that exist or have to be written, by chunk or
	// workflow.MainRow.
	rows map[int]*progressRow
	// mainMarked is what the main row has beside its parts, once it is written.
	mainMarked mainRowContent
	// legacyParts is set while the main row has the parts of a job whose chunks have rows of
	// their own, as an earlier version of this program wrote it.
	legacyParts bool
	// progressGen counts the changes of progress that have to be stored, durableGen is
	// the generation that a new owner would restore. storedState is the final state that is
	// stored.
	progressGen, durableGen uint64
	storedState             workflow.State
	// rewriteAt is when the main row of the ended job is sent again after the store has
	// refused it for good, on the owner's clock.
	rewriteAt time.Duration
	crashGen  uint64 // progressGen of the last crash under the job
	cancelled bool

	// attempts has the highest known attempt number by task, highestAttempt the highest of all.
	attempts       map[workflow.TaskID]int
	highestAttempt int
	// reserved has this owner's reservations of attempt numbers. The members of a gang share one.
	reserved   map[workflow.TaskID]*attemptReservation
	runs       map[workflow.TaskID]*run
	avoid      map[string]bool // workers on which a run of the job failed
	readySince map[workflow.StepID]time.Duration
	// waitingSince is when a step last had tasks that wait, and none that was started since.
	waitingSince map[workflow.StepID]time.Duration
	waitReasons  map[waitingTasks]string // last logged reason
	// isolationWait has the time for which a step has waited, since its last start, only
	// because it has to be kept apart.
	isolationWait map[workflow.StepID]time.Duration
	advice        map[workflow.StepID]*advice
	// rejectedStarts counts, by step, the rejected starts since the last one that
	// succeeded.
	rejectedStarts map[workflow.StepID]rejectionBackoff
}

// waitingTasks are the waiting tasks of a step with the same isolation.
type waitingTasks struct {
	step      workflow.StepID
	isolation workflow.Isolation
}

// rejectionBackoff delays the next start of a step whose starts workers reject.
type rejectionBackoff struct {
	count int
	until time.Duration // on the owner's clock
}

// Parameters of rejectionBackoff.
const (
	// immediateRetries is the number of rejections that are retried without a delay,
	// since the state of the worker may have changed in between.
	immediateRetries = 2
	// minRejectionDelay is the first delay. It doubles with each further rejection.
	minRejectionDelay = 100 * time.Millisecond
	// maxRejectionDelay is the longest delay.
	maxRejectionDelay = 5 * time.Second
)

// increment counts a rejection and sets the time of the next start.
func (r rejectionBackoff) increment(now time.Duration) rejectionBackoff {
	r.count++
	if r.count > immediateRetries {
		r.until = now + min(minRejectionDelay<<min(r.count-immediateRetries-1, 10), maxRejectionDelay)
	}
	return r
}

// stepOf returns the step of a task.
func stepOf(t workflow.TaskID) workflow.StepID {
	return workflow.StepID{Occurrence: t.Occurrence, Step: t.Step}
}

// setRecord sets the record of a job that has none yet.
func (j *job) setRecord(rec *workflow.Record, version uint64, now time.Duration, inherited bool) {
	j.record, j.recordVersion, j.seenAt, j.inherited = rec, version, now, inherited
	if j.progress == nil {
		j.progress = &workflow.Progress{}
	}
	j.attempts, j.runs = map[workflow.TaskID]int{}, map[workflow.TaskID]*run{}
	j.reserved = map[workflow.TaskID]*attemptReservation{}
	j.advice, j.rejectedStarts = map[workflow.StepID]*advice{}, map[workflow.StepID]rejectionBackoff{}
	j.avoid, j.readySince, j.waitReasons = map[string]bool{}, map[workflow.StepID]time.Duration{}, map[waitingTasks]string{}
	j.isolationWait, j.waitingSince = map[workflow.StepID]time.Duration{}, map[workflow.StepID]time.Duration{}
	j.adoptLegacyParts()
}

// crashesStored reports whether all known crashes under the job are stored.
func (j *job) crashesStored() bool { return j.durableGen >= j.crashGen }

// active reports whether the job may start tasks.
func (j *job) active() bool {
	return j.record != nil && !j.cancelled && !j.progress.State.Final()
}

// markChanged marks the job's progress as changed since it was stored.
func (o *Owner) markChanged(j *job) {
	j.markRows()
	signal(o.wakePersist)
}

// run is one attempt of a task on a worker.
type run struct {
	id     workflow.RunID
	job    *job
	step   *workflow.Step
	worker *worker
	state  workflowrpc.RunState
	// orderedAt is when the start was ordered, startedAt when the agent first reported
	// the run as running; both are on the owner's clock.
	orderedAt, startedAt time.Duration
	expected             time.Duration
	remote               bool // expected to run slower, away from its data or spread over racks
	guaranteed           bool
	resumed              bool // started from a checkpoint, or taken over from an earlier owner
	ticket               string
	checkpoint           string
	// percent is the last reported progress, percentAt when it last increased.
	percent   int
	percentAt time.Duration
	// isolation is how the run is kept apart from other work on its worker.
	isolation workflow.Isolation
	// ageAtCrash is how long before the crash of the worker the run may have begun; 0 if
	// the worker has not crashed, or cannot have begun the run.
	ageAtCrash time.Duration
	// proven is set once the run of a persistent task has been at work for provenAfter.
	proven bool
	// stopReason is why the run is being stopped; empty if it is not.
	stopReason string
	// sent is set once a reply has carried the order to start the run, and reported once the
	// agent has reported the run.
	sent, reported bool
}

// endRun removes a run that has ended, and stops the rest of its gang if it did not
// complete.
func (o *Owner) endRun(r *run, kind workflow.EndKind, why string) {
	if r.job.runs[r.id.Task] == r {
		delete(r.job.runs, r.id.Task)
	}
	delete(r.worker.runs, r.id)
	runEnds.Add(string(kind), 1)
	o.opts.Log.Event("run_ended", "job", r.id.Task.Job, "run", r.id.String(), "worker", r.worker.id, "how", string(kind),
		"why", cmp.Or(why, r.stopReason), "tookMs", (o.now() - cmp.Or(r.startedAt, r.orderedAt)).Milliseconds(),
		"expectedMs", r.expected.Milliseconds(), "percent", r.percent)
	if r.step.Gang && kind != workflow.EndDone {
		for _, other := range o.gangPeers(r) {
			o.stopRun(other, "gang")
		}
	}
	signal(o.wakeDecide)
}

// gangPeers returns the other runs of the same attempt of a gang.
func (o *Owner) gangPeers(r *run) []*run {
	var out []*run
	for t, other := range r.job.runs {
		if other != r && t.Step == r.id.Task.Step && t.Occurrence == r.id.Task.Occurrence && other.id.Attempt == r.id.Attempt {
			out = append(out, other)
		}
	}
	return out
}

// stopRun orders a run to stop. The run holds its capacity until its end is reported.
func (o *Owner) stopRun(r *run, reason string) {
	if r.stopReason != "" {
		return
	}
	r.stopReason = reason
	stopsOrdered.Add(1)
	o.opts.Log.Event("run_stopping", "job", r.id.Task.Job, "run", r.id.String(), "worker", r.worker.id, "reason", reason, "percent", r.percent)
	r.worker.endPoll()
}

// cancelJob stops the job's runs and sets its state to cancelled.
func (o *Owner) cancelJob(j *job) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	if j.record == nil {
		return
	}
	o.opts.Log.Event("job_cancelled", "job", j.id, "runs", len(j.runs))
	if j.storedState == "" {
		j.progress.State = "" // the cancellation takes precedence over an end that is not stored
	}
	for _, r := range j.runs {
		o.stopRun(r, "cancelled")
	}
	o.finish(j, workflow.StateCancelled)
}

// finish sets the final state of a job and stops its runs.
func (o *Owner) finish(j *job, state workflow.State) {
	if j.record == nil || j.progress.State.Final() {
		return
	}
	j.progress.State, j.progress.EndedAt = state, o.opts.UnixMillis()
	o.markChanged(j)
	jobEnds.Add(string(state), 1)
	jobTime.Add(telemetry.LatencyBucket(time.Duration(j.progress.EndedAt-j.record.AcceptedAt)*time.Millisecond), 1)
	o.opts.Log.Event("job_ended", "job", j.id, "queue", j.record.Queue, "state", string(state), "sinceAcceptedMs", j.progress.EndedAt-j.record.AcceptedAt)
	for _, r := range j.runs {
		if state != workflow.StateCompleted || !r.step.Gang {
			o.stopRun(r, "job "+string(state))
		}
	}
}

// recordEnd applies the end of a run that a worker reports.
func (o *Owner) recordEnd(w *worker, e workflowrpc.End) {
	w.lastEndSeq = e.Seq
	j := o.jobs[e.ID.Task.Job]
	if j == nil || j.record == nil || !j.record.Spec.HasTask(e.ID.Task) {
		o.opts.Log.Event("end_unknown", "worker", w.id, "run", e.ID.String(), "how", string(e.Kind))
		w.pendingEnds = append(w.pendingEnds, pendingEnd{seq: e.Seq})
		return
	}
	j.recordAttempt(e.ID.Task, e.ID.Attempt)
	final := j.progress.State.Final()
	if !final && j.progress.RecordEnd(&j.record.Spec, e.ID, e.Kind, e.Checkpoint) {
		if !j.progress.Begun {
			j.progress.Begun = true
		}
		o.markChanged(j)
	}
	w.pendingEnds = append(w.pendingEnds, pendingEnd{e.Seq, j, j.progressGen})
	signal(o.wakeDecide)
	r := w.runs[e.ID]
	o.updateStatistics(w, j, r, e)
	if r != nil {
		o.endRun(r, e.Kind, "")
	}
	if final {
		return
	}
	if !o.finishIfDecided(j) && e.Kind == workflow.EndDone {
		o.stopOtherRun(j, e.ID)
	}
}

// finishIfDecided finishes a job whose recorded progress decides its final state. It
// reports whether it does.
func (o *Owner) finishIfDecided(j *job) bool {
	state := j.progress.Outcome(&j.record.Spec, o.terms(j).MaxAttempts)
	if state == "" {
		return false
	}
	o.finish(j, state)
	return true
}

// stopOtherRun stops another run of a task that has completed.
func (o *Owner) stopOtherRun(j *job, id workflow.RunID) {
	if r := j.runs[id.Task]; r != nil && r.id != id && !r.step.Gang {
		o.stopRun(r, "done elsewhere")
	}
}

// updateStatistics updates run time estimates and the health of the worker after an end.
func (o *Owner) updateStatistics(w *worker, j *job, r *run, e workflowrpc.End) {
	now := o.now()
	switch e.Kind {
	case workflow.EndDone:
		o.health.Success(now, w.id, j.record.Queue, j.id)
		w.backoff.reset()
		// Only one task per step counts, since all have the same declared run time.
		if r != nil && r.startedAt > 0 && e.ID.Task.Index == 0 && !r.resumed && !r.remote && !r.step.Persistent {
			o.runtimes.Observe("", j.record.Queue, "", declaredTime(r.step), now-r.startedAt)
		}
	case workflow.EndFailed:
		if r != nil && r.proven {
			w.backoff.pause(now) // persistent tasks also fail on healthy workers
			return
		}
		j.avoid[w.id] = true
		o.health.Failure(now, w.id, j.record.Queue, j.id, false)
		w.backoff.recordFailure(now, j.id)
	}
}

// terms returns the configured terms of the job's queue, or else those in its record.
func (o *Owner) terms(j *job) workflow.Terms {
	if t, ok := o.opts.Config.Terms(j.record.Queue); ok {
		return t
	}
	return j.record.Terms
}

// stepIDs lists the steps of all occurrences in order.
func (j *job) stepIDs() []workflow.StepID {
	ids := make([]workflow.StepID, 0, len(j.record.Spec.Steps)*j.record.Spec.OccurrenceCount())
	for k := range j.record.Spec.OccurrenceCount() {
		for i := range j.record.Spec.Steps {
			ids = append(ids, workflow.StepID{Occurrence: k, Step: i})
		}
	}
	return ids
}

// sortedJobs returns the active jobs by ID, so that decisions are deterministic.
func (o *Owner) sortedJobs() []*job {
	out := make([]*job, 0, len(o.jobs))
	for _, j := range o.jobs {
		if j.active() {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}
