package workflowowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// job is a job as the owner knows it. rec is nil while only other rows of the
// job are known.
type job struct {
	id      string
	rec     *workflow.Record
	version uint64
	// inherited jobs may have runs that an earlier owner started.
	inherited bool
	seenAt    time.Duration

	prog        *workflow.Progress
	progVersion uint64
	// gen counts the changes of prog that must become durable, durable is the one
	// that is; stored is the final state that is durable.
	gen, durable uint64
	stored       workflow.State
	cancelled    bool

	attempts map[workflow.TaskID]int
	runs     map[workflow.TaskID]*run
	avoid    map[string]bool // workers on which a run failed
	ready    map[workflow.PartID]time.Duration
	waits    map[workflow.PartID]string // last reason that was logged
	advice   map[workflow.PartID]*advice
	// rejected counts the starts of a step that workers rejected since one began.
	rejected map[workflow.PartID]rejections
}

// rejections delay the next start of a step that workers keep rejecting.
type rejections struct {
	count int
	until time.Duration // on the owner's clock
}

// Constants of rejected starts.
const (
	// freeRejections may come from a worker that has changed meanwhile; the next
	// start follows at once.
	freeRejections = 2
	rejectionPause = 100 * time.Millisecond
	// maxRejectionPause bounds the pauses, which double.
	maxRejectionPause = 5 * time.Second
)

func (r rejections) next(now time.Duration) rejections {
	r.count++
	if r.count > freeRejections {
		r.until = now + min(rejectionPause<<min(r.count-freeRejections-1, 10), maxRejectionPause)
	}
	return r
}

func partOf(t workflow.TaskID) workflow.PartID {
	return workflow.PartID{Occurrence: t.Occurrence, Step: t.Step}
}

func (j *job) fill(rec *workflow.Record, version uint64, now time.Duration, inherited bool) {
	j.rec, j.version, j.seenAt, j.inherited = rec, version, now, inherited
	if j.prog == nil {
		j.prog = &workflow.Progress{}
	}
	j.attempts, j.runs = map[workflow.TaskID]int{}, map[workflow.TaskID]*run{}
	j.advice, j.rejected = map[workflow.PartID]*advice{}, map[workflow.PartID]rejections{}
	j.avoid, j.ready, j.waits = map[string]bool{}, map[workflow.PartID]time.Duration{}, map[workflow.PartID]string{}
}

// active reports whether the job may start tasks.
func (j *job) active() bool {
	return j.rec != nil && !j.cancelled && !j.prog.State.Final()
}

// changed marks the progress as not durable.
func (o *Owner) changed(j *job) {
	j.gen++
	signal(o.dirty)
}

// run is one attempt of a task on a worker.
type run struct {
	id     workflow.RunID
	job    *job
	step   *workflow.Step
	worker *worker
	state  workflowrpc.RunState
	// ordered is when it was decided, started when the agent first reported it as
	// running; both on the owner's clock.
	ordered, started time.Duration
	expected         time.Duration
	remote           bool // away from its data or its gang
	guaranteed       bool
	resumed          bool // started from a checkpoint
	ticket           string
	checkpoint       string
	// percent is the progress that the agent reported, percentAt when that was new.
	percent   int
	percentAt time.Duration
	// stopping is the reason for which it is being stopped.
	stopping string
}

// firstAttempt returns the number of the first attempt of an owner for a job.
// Attempts of earlier owners may not be known to it; epochs keep them apart.
func (o *Owner) firstAttempt(j *job) int {
	if !j.inherited {
		return 1
	}
	return int(o.o.Epoch)*attemptsPerEpoch + 1
}

// attemptsPerEpoch is above the attempts that one owner makes of a task.
const attemptsPerEpoch = 1000

// nextAttempt returns the number of the next attempt of a group's tasks.
func (o *Owner) nextAttempt(j *job, tasks []workflow.TaskID) int {
	n := o.firstAttempt(j)
	for _, t := range tasks {
		n = max(n, j.attempts[t]+1)
	}
	return n
}

// endRun removes a run that has ended and stops the rest of its gang.
func (o *Owner) endRun(r *run, kind workflow.EndKind, why string) {
	if r.job.runs[r.id.Task] == r {
		delete(r.job.runs, r.id.Task)
	}
	delete(r.worker.runs, r.id)
	runEnds.Add(string(kind), 1)
	o.o.Log.Event("run_ended", "job", r.id.Task.Job, "run", r.id.String(), "worker", r.worker.id, "how", string(kind),
		"why", cmp.Or(why, r.stopping), "tookMs", (o.now() - cmp.Or(r.started, r.ordered)).Milliseconds(),
		"expectedMs", r.expected.Milliseconds(), "percent", r.percent)
	if r.step.Gang && kind != workflow.EndDone {
		for _, other := range o.gang(r) {
			o.stopRun(other, "gang")
		}
	}
	signal(o.kick)
}

// gang returns the other runs of a gang's attempt.
func (o *Owner) gang(r *run) []*run {
	var out []*run
	for t, other := range r.job.runs {
		if other != r && t.Step == r.id.Task.Step && t.Occurrence == r.id.Task.Occurrence && other.id.Attempt == r.id.Attempt {
			out = append(out, other)
		}
	}
	return out
}

// stopRun orders a run to stop. It holds its capacity until its end is known.
func (o *Owner) stopRun(r *run, reason string) {
	if r.stopping != "" {
		return
	}
	r.stopping = reason
	stopsMade.Add(1)
	o.o.Log.Event("run_stopping", "job", r.id.Task.Job, "run", r.id.String(), "worker", r.worker.id, "reason", reason, "percent", r.percent)
	r.worker.wake()
}

func (o *Owner) cancelJob(j *job) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	if j.rec == nil {
		return
	}
	o.o.Log.Event("job_cancelled", "job", j.id, "runs", len(j.runs))
	if j.stored == "" {
		j.prog.State = "" // an end that is not stored yet gives way
	}
	for _, r := range j.runs {
		o.stopRun(r, "cancelled")
	}
	o.finish(j, workflow.StateCancelled)
}

// finish gives a job its final state.
func (o *Owner) finish(j *job, state workflow.State) {
	if j.rec == nil || j.prog.State.Final() {
		return
	}
	j.prog.State, j.prog.EndedAt = state, o.o.UnixMillis()
	o.changed(j)
	jobEnds.Add(string(state), 1)
	jobTime.Add(telemetry.Bucket(time.Duration(j.prog.EndedAt-j.rec.AcceptedAt)*time.Millisecond), 1)
	o.o.Log.Event("job_ended", "job", j.id, "queue", j.rec.Queue, "state", string(state), "sinceAcceptedMs", j.prog.EndedAt-j.rec.AcceptedAt)
	for _, r := range j.runs {
		if state != workflow.StateCompleted || !r.step.Gang {
			o.stopRun(r, "job "+string(state))
		}
	}
}

// noteEnd takes over an end that a worker lists.
func (o *Owner) noteEnd(w *worker, e workflowrpc.End) {
	w.endsSeen = e.Seq
	j := o.jobs[e.ID.Task.Job]
	if j == nil || j.rec == nil || !j.rec.Spec.HasTask(e.ID.Task) {
		o.o.Log.Event("end_unknown", "worker", w.id, "run", e.ID.String(), "how", string(e.Kind))
		w.pending = append(w.pending, pendingEnd{seq: e.Seq})
		return
	}
	j.attempts[e.ID.Task] = max(j.attempts[e.ID.Task], e.ID.Attempt)
	final := j.prog.State.Final()
	if !final && j.prog.RecordEnd(&j.rec.Spec, e.ID, e.Kind, e.Checkpoint) {
		if !j.prog.Begun {
			j.prog.Begun = true
		}
		o.changed(j)
	}
	w.pending = append(w.pending, pendingEnd{e.Seq, j, j.gen})
	signal(o.kick)
	r := w.runs[e.ID]
	o.learn(w, j, r, e)
	if r != nil {
		o.endRun(r, e.Kind, "")
	}
	if final {
		return
	}
	if state := j.prog.Outcome(&j.rec.Spec, o.terms(j).MaxAttempts); state != "" {
		o.finish(j, state)
	} else if e.Kind == workflow.EndDone {
		o.stopCopies(j, e.ID)
	}
}

// stopCopies stops other runs of a task that is done.
func (o *Owner) stopCopies(j *job, id workflow.RunID) {
	if r := j.runs[id.Task]; r != nil && r.id != id && !r.step.Gang {
		o.stopRun(r, "done elsewhere")
	}
}

// learn updates what is known of run times and of the health of the worker.
func (o *Owner) learn(w *worker, j *job, r *run, e workflowrpc.End) {
	now := o.now()
	switch e.Kind {
	case workflow.EndDone:
		o.health.Success(now, w.id, j.rec.Queue, j.id)
		w.suspicion.success()
		// One task stands for its step: the others have the same declared time.
		if r != nil && r.started > 0 && e.ID.Task.Index == 0 && !r.resumed && !r.remote && !r.step.Persistent {
			o.runtimes.Observe("", j.rec.Queue, "", declaredTime(r.step), now-r.started)
		}
	case workflow.EndFailed:
		j.avoid[w.id] = true
		o.health.Failure(now, w.id, j.rec.Queue, j.id, false)
		w.suspicion.failure(now, j.id)
	}
}

// terms returns the terms in force for a job.
func (o *Owner) terms(j *job) workflow.Terms {
	if t, ok := o.o.Config.Terms(j.rec.Queue); ok {
		return t
	}
	return j.rec.Terms
}

// parts lists the steps of all occurrences in order.
func (j *job) parts() []workflow.PartID {
	ids := make([]workflow.PartID, 0, len(j.rec.Spec.Steps)*j.rec.Spec.OccurrenceCount())
	for k := range j.rec.Spec.OccurrenceCount() {
		for i := range j.rec.Spec.Steps {
			ids = append(ids, workflow.PartID{Occurrence: k, Step: i})
		}
	}
	return ids
}

// sortedJobs returns the jobs by ID, so that equal states lead to equal decisions.
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
