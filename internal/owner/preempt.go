package owner

import (
	"context"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// preemptReplyMargin is the time beyond the grace period for which the owner
// waits for the reply of rank 0.
const preemptReplyMargin = time.Second

// applyPreemption starts to preempt a running gang. The caller holds o.mu.
func (o *Owner) applyPreemption(p structs.Preemption) {
	g := o.gangs[p.GangID]
	if g == nil || g.state != gangRunning || g.preempting {
		return
	}
	g.preempting, g.preemptingFor = true, p.ForJob
	preemptionCounts.Add(string(p.Reason), 1)
	klog.InfoS("Gang preempted", "gang", g.desc.ID, "for", p.ForJob, "reason", p.Reason)
	o.runAsync(func() { o.preempt(g) })
}

// preempt checkpoints and stops a gang. It retries until rank 0 confirms that the
// gang has stopped, or the gang is gone because its agent was lost.
func (o *Owner) preempt(g *gang) {
	grace := o.cfg.Timing.PreemptGrace
	for o.ctx.Err() == nil {
		reply, err := o.callPreempt(g, grace)
		if err == nil && (reply.Stopped || phaseEnded(reply.Phase)) {
			o.applyPreemptReply(g, reply)
			return
		}
		o.mu.Lock()
		gone := o.gangs[g.desc.ID] != g
		o.mu.Unlock()
		if gone {
			return
		}
		grace = 0 // the grace period was used by the first call
		select {
		case <-o.ctx.Done():
		case <-time.After(retry.Jitter(o.cfg.Timing.ReconcileInterval)):
		}
	}
}

// phaseEnded reports whether a gang in phase p no longer runs.
func phaseEnded(p structs.GangPhase) bool {
	return p == structs.PhaseFinished || p == structs.PhaseFailed || p == structs.PhaseAborted || p == structs.PhaseNone
}

// callPreempt asks rank 0 to stop the gang within the grace time. With a grace
// time, a gang that supports it is checkpointed first.
func (o *Owner) callPreempt(g *gang, grace time.Duration) (*structs.PreemptReply, error) {
	ctx, cancel := context.WithTimeout(o.ctx, grace+preemptReplyMargin)
	defer cancel()
	args := &structs.PreemptArgs{
		GangID: g.desc.ID, Fence: g.desc.Fence, Epoch: o.cfg.Epoch, Grace: grace,
		Checkpoint: g.desc.Checkpointable && grace > 0,
	}
	reply := &structs.PreemptReply{}
	err := o.cfg.Caller.Call(ctx, g.rank0(), "Agent.Preempt", args, reply)
	return reply, err
}

// applyPreemptReply handles the confirmed stop of a preempted gang: its job is
// queued again, or ended if it can be neither resumed nor repeated.
func (o *Owner) applyPreemptReply(g *gang, reply *structs.PreemptReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gangs[g.desc.ID] != g {
		return // the outcome arrived first
	}
	if reply.Phase == structs.PhaseFinished {
		g.preempting = false // it finished before the stop; its outcome will be reported
		return
	}
	// The job of a gang that the previous owner placed may not be known here, if
	// its row was not written yet. The entry whose requester waits submits it
	// again.
	isCurrent := g.job != nil && g.job.gang == g
	o.removeGang(g)
	if isCurrent {
		o.requeuePreempted(g.job, g.desc.Attempt, reply.Checkpoint)
	}
}

// requeuePreempted queues the job of a preempted gang again, or ends it if it can
// be neither resumed nor repeated. The caller holds o.mu.
func (o *Owner) requeuePreempted(j *job, attempt int, checkpoint []byte) {
	if j.rec.State.Final() {
		return
	}
	j.rec.Preemptions++
	if len(checkpoint) > 0 {
		j.checkpoint = checkpoint
	}
	switch {
	case j.cancelRequested:
		o.finishCancel(j, verdict.MayHaveRun)
	case j.rec.Idempotent:
		j.rec.Attempt = attempt - 1 // a preempted attempt does not count
		o.requeueAfterRun(j)
	case len(checkpoint) > 0:
		j.storingObject = true // not placed until the checkpoint is stored, so that a next owner can resume the job too
		o.requeueAfterRun(j)
		o.runAsync(func() { o.storeCheckpoint(j, attempt) })
	default:
		cause := verdict.New(verdict.MayHaveRun, verdict.CodePreempted, "stopped for a guarantee, without a checkpoint to resume from")
		o.setState(j, structs.JobUnknown, verdict.MayHaveRun, cause)
		o.persist(j)
	}
}

// storeCheckpoint writes the checkpoint of a non-idempotent job to the object
// store, and then the row.
func (o *Owner) storeCheckpoint(j *job, attempt int) {
	o.mu.Lock()
	data := j.checkpoint
	o.mu.Unlock()
	name := "checkpoints/" + j.rec.ID + "/" + formatInt(attempt)
	if !o.storeObject(name, data) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	j.storingObject = false
	j.rec.Checkpoint = name
	o.persist(j)
	o.triggerCycle()
}

// loadResumeData returns the payload of a job and the checkpoint that it resumes
// from. A non-idempotent job that has run is never started again without a
// checkpoint.
func (o *Owner) loadResumeData(ctx context.Context, j *job) (payload, checkpoint []byte, err error) {
	o.mu.Lock()
	payload, checkpoint = j.rec.Spec.Payload, j.checkpoint
	name, hasRun := j.rec.Checkpoint, j.rec.Attempt > 0
	o.mu.Unlock()
	if j.rec.Idempotent || !hasRun || len(checkpoint) > 0 {
		return payload, checkpoint, nil
	}
	if name == "" {
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.CodePreempted, "the job has run and has no checkpoint")
	}
	checkpoint, err = o.cfg.Objects.GetObject(ctx, name)
	if err != nil {
		return nil, nil, err
	}
	o.mu.Lock()
	j.checkpoint = checkpoint
	o.mu.Unlock()
	return payload, checkpoint, nil
}

// requeueAfterRun queues a job again whose last gang ran. The caller holds o.mu.
func (o *Owner) requeueAfterRun(j *job) {
	j.mayHaveRun = true
	o.requeue(j, 0)
}

// stopGang stops a gang whose job was cancelled or no longer needs the gang.
func (o *Owner) stopGang(g *gang) {
	reply, err := o.callPreempt(g, 0)
	if err != nil || !(reply.Stopped || phaseEnded(reply.Phase)) || reply.Phase == structs.PhaseFinished {
		return // the reconcile loop tries again, or the outcome will be reported
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gangs[g.desc.ID] == g {
		o.removeGang(g)
	}
	if j := g.job; j != nil && !g.obsolete && !j.rec.State.Final() {
		o.finishCancel(j, verdict.MayHaveRun)
	}
}

// Cancel cancels jobs of an account. Waiting jobs end as not run; running ones
// are stopped. The rows of many cancelled jobs are written in few transactions.
func (o *Owner) Cancel(args *structs.CancelArgs) (cancelled, stopping []string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return nil, nil, o.notOwner(verdict.NotRun)
	}
	for _, j := range o.cancelTargets(args) {
		if j.rec.State.Final() {
			continue
		}
		j.cancelRequested = true
		if j.queued() {
			o.finishCancel(j, j.rec.Verdict)
			if j.rec.Verdict == verdict.NotRun {
				cancelled = append(cancelled, j.rec.ID)
			} else {
				stopping = append(stopping, j.rec.ID) // an earlier attempt may have run
			}
			continue
		}
		stopping = append(stopping, j.rec.ID)
		if g := j.gang; g != nil && g.state == gangRunning && !g.querying {
			o.startQuery(g, o.stopGang)
		}
	}
	counters.Add("cancelled", int64(len(cancelled)+len(stopping)))
	return cancelled, stopping, nil
}

// cancelTargets returns the jobs that a cancellation selects. The caller holds
// o.mu.
func (o *Owner) cancelTargets(args *structs.CancelArgs) []*job {
	var targets []*job
	if len(args.IDs) > 0 {
		for _, id := range args.IDs {
			if j := o.jobs[id]; j != nil && j.rec.Spec.Account == args.Account {
				targets = append(targets, j)
			}
		}
		return targets
	}
	for _, j := range o.jobs {
		if j.rec.Spec.Account == args.Account && (args.Kind == "" || j.rec.Spec.Kind == args.Kind) {
			targets = append(targets, j)
		}
	}
	return targets
}

// finishCancel ends a cancelled job. The caller holds o.mu.
func (o *Owner) finishCancel(j *job, v verdict.Verdict) {
	o.setState(j, structs.JobCancelled, v, verdict.New(v, verdict.CodeCancelled, "cancelled by the requester"))
	o.persist(j)
}

// fenceFromGangID returns the fencing token in a gang ID, or 0.
func fenceFromGangID(gangID string) structs.Fence {
	i := strings.LastIndexByte(gangID, '/')
	v, err := strconv.ParseUint(gangID[i+1:], 16, 64)
	if err != nil {
		return 0
	}
	return structs.Fence(v)
}
