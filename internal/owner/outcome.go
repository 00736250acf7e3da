package owner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// durableWait limits how long GangFinished waits until the outcome is durable.
// The agent repeats the report after that.
const durableWait = 2 * time.Second

// GangFinished processes the outcome of a gang, reported by its rank 0, and
// reports whether the outcome is durable, so that the agent may forget it.
func (o *Owner) GangFinished(ctx context.Context, out structs.GangOutcome) (bool, error) {
	switch {
	case out.Result != nil:
		if err := out.Result.Check(); err != nil {
			return false, err
		}
	case out.Phase == structs.PhaseFinished:
		return false, verdict.New(verdict.MayHaveRun, verdict.CodeBadRequest, "gang %s has finished without a result", out.Gang.ID)
	}
	o.mu.Lock()
	if o.stopped {
		o.mu.Unlock()
		return false, o.notOwner(verdict.MayHaveRun)
	}
	j, known := o.jobs[out.Gang.JobID]
	o.mu.Unlock()
	if !known {
		var err error
		if j, err = o.jobForOutcome(ctx, &out); err != nil || j == nil {
			return err == nil, err
		}
	}
	o.mu.Lock()
	o.applyOutcome(j, &out)
	done := o.outcomeDurable(j)
	changed := j.changed
	o.mu.Unlock()
	if done {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, durableWait)
	defer cancel()
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return false, nil
		}
		o.mu.Lock()
		done, changed = o.outcomeDurable(j), j.changed
		o.mu.Unlock()
		if done {
			return true, nil
		}
	}
}

// outcomeDurable reports whether the outcome of a job is stored, so that its
// agent need not keep it. The caller holds o.mu.
func (o *Owner) outcomeDurable(j *job) bool { return !j.dirty && !j.storingObject }

// applyOutcome ends a gang and either ends its job or queues the job again. It is
// idempotent. The caller holds o.mu.
func (o *Owner) applyOutcome(j *job, out *structs.GangOutcome) {
	o.dropSupersededGang(j, out.Gang.Attempt)
	g := o.gangs[out.Gang.ID]
	isCurrent := g != nil && j.gang == g
	if g != nil {
		o.observeOutcome(g, out)
		o.removeGang(g)
	}
	current := j.rec.GangID == out.Gang.ID || j.rec.GangID == "" && out.Gang.Attempt >= j.rec.Attempt
	switch {
	case j.rec.State == structs.JobFinished, !current && out.Phase != structs.PhaseFinished:
		gangOutcomes.Add("late", 1)
	case !current:
		// A later attempt of the job has been started; only its result counts.
		gangOutcomes.Add("late", 1)
	case out.Phase == structs.PhaseFinished:
		o.finish(j, out)
	case out.Phase == structs.PhaseAborted:
		if isCurrent {
			j.rec.Attempt = g.desc.Attempt - 1
			o.requeue(j, placementRetryDelay)
		}
	case j.rec.State.Final():
	case out.Preempted:
		// The reply to Agent.Preempt carries the same checkpoint, but can be
		// lost.
		o.requeuePreempted(j, out.Gang.Attempt, out.Checkpoint)
	default:
		o.fail(j, out)
	}
}

// observeOutcome updates the run time estimates and the failure statistics. The caller
// holds o.mu.
func (o *Owner) observeOutcome(g *gang, out *structs.GangOutcome) {
	gangOutcomes.Add(string(out.Phase), 1)
	now := o.now()
	if out.Phase == structs.PhaseFinished {
		class := ""
		if a := o.agents[g.desc.Members[0].AgentID]; a != nil {
			class = a.info.Class
		}
		if g.job != nil && g.job.rec.Preemptions == 0 {
			o.runtimes.Observe(g.account, g.desc.Kind, class, structs.Seconds(g.job.rec.RunSeconds), out.Ran)
		}
		for _, m := range g.desc.Members {
			o.health.Success(now, m.AgentID, g.desc.Kind, g.desc.JobID)
		}
		return
	}
	if out.Phase == structs.PhaseFailed && out.FailedWorker != "" && !g.preempting {
		o.health.Failure(now, out.FailedWorker, g.desc.Kind, g.desc.JobID, out.WorkerFault)
	}
}

// finish records the result of a job, wakes the callers that wait for it, and
// starts to make it durable. The caller holds o.mu.
func (o *Owner) finish(j *job, out *structs.GangOutcome) {
	result := *out.Result
	result.Attempt = out.Gang.Attempt
	result.Durable = false
	j.rec.Result = &result
	j.rec.Attempt = out.Gang.Attempt
	j.rec.State = structs.JobRunning // so that a job in state unknown becomes finished
	o.setState(j, structs.JobFinished, verdict.Ran, nil)
	if result.Length > structs.MaxInlineResultBytes {
		j.storingObject = true
		o.runAsync(func() { o.storeResult(j) })
		return
	}
	o.persist(j)
}

// storeResult writes a large result to the object store, and then the row. Until
// both are written the agent keeps the result and repeats its report.
func (o *Owner) storeResult(j *job) {
	o.mu.Lock()
	result := *j.rec.Result
	o.mu.Unlock()
	name := "results/" + j.rec.ID + "/" + formatInt(result.Attempt)
	if !o.storeObject(name, result.Data) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	stored := *j.rec.Result
	stored.Object = name
	j.rec.Result = &stored
	j.storingObject = false
	o.persist(j)
}

// fail handles a gang that ended without a result. An idempotent job is placed
// again, avoiding the failed worker, while it has attempts left and the failures
// are not attributed to its kind. The caller holds o.mu.
func (o *Owner) fail(j *job, out *structs.GangOutcome) {
	cause := verdict.New(verdict.Ran, verdict.CodeTaskFailed, "%s", out.Message)
	state := structs.JobFailed
	if out.WorkerFault {
		cause = verdict.New(verdict.MayHaveRun, verdict.CodeWorkerLost, "%s", out.Message)
		state = structs.JobUnknown
	}
	if j.cancelRequested {
		o.finishCancel(j, verdict.MayHaveRun)
		return
	}
	if out.FailedWorker != "" {
		j.avoid = appendUnique(j.avoid, out.FailedWorker)
	}
	if j.rec.Idempotent && j.rec.Attempt < j.rec.MaxAttempts && !o.health.KindOrJobAtFault(j.rec.ID) {
		o.requeue(j, placementRetryDelay)
		return
	}
	if j.rec.Idempotent {
		state = structs.JobFailed
	}
	o.setState(j, state, cause.Verdict, cause)
	o.persist(j)
}

// requeue puts a job back into the queue. The caller holds o.mu.
func (o *Owner) requeue(j *job, delay time.Duration) {
	if j.rec.State.Final() {
		return
	}
	counters.Add("requeues", 1)
	j.gang = nil
	j.rec.GangID = ""
	j.notBefore = o.now() + delay
	v := verdict.NotRun
	if j.rec.Attempt > 0 {
		v, j.mayHaveRun = verdict.MayHaveRun, true
	}
	o.setState(j, structs.JobWaiting, v, nil)
	o.triggerCycle()
}

// markLost ends a gang whose outcome can no longer be learned. An idempotent job
// is tried again while it has attempts left; a non-idempotent one may have run
// and is not tried again.
func (o *Owner) markLost(g *gang, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.markLostLocked(g, reason)
}

// markLostLocked is markLost for callers that hold o.mu.
func (o *Owner) markLostLocked(g *gang, reason string) {
	if o.gangs[g.desc.ID] != g {
		return
	}
	if g.state == gangDispatching {
		return // dispatch notices the loss itself
	}
	klog.InfoS("Gang lost", "gang", g.desc.ID, "reason", reason)
	gangOutcomes.Add("lost", 1)
	j := g.job
	isCurrent := j != nil && j.gang == g
	o.removeGang(g)
	if !isCurrent || j.rec.State.Final() {
		return
	}
	cause := verdict.New(verdict.MayHaveRun, verdict.CodeWorkerLost, "%s", reason)
	switch {
	case j.cancelRequested:
		o.finishCancel(j, verdict.MayHaveRun)
	case j.rec.Idempotent && j.rec.Attempt < j.rec.MaxAttempts:
		o.requeue(j, 0)
	case j.rec.Idempotent:
		o.setState(j, structs.JobFailed, verdict.MayHaveRun, cause)
		o.persist(j)
	default:
		o.setState(j, structs.JobUnknown, verdict.MayHaveRun, cause)
		o.persist(j)
	}
}
