package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

var tracer = otel.Tracer("github.com/parsleypier/parsleypier/internal/owner")

// Delays before a job is placed again.
const (
	// placementRetryDelay applies after an agent refused a reservation or an
	// attempt failed.
	placementRetryDelay = 100 * time.Millisecond
	// attemptMarkRetryDelay applies after an attempt mark could not be written.
	attemptMarkRetryDelay = time.Second
)

// dispatch runs the phases prepare, attempt mark and commit for a gang. It runs
// in its own goroutine. The owner or the coordinator at rank 0 may be lost at any
// point, see docs/gang-protocol.md.
func (o *Owner) dispatch(g *gang) {
	deadline := time.Now().Add(o.cfg.Timing.PrepareTTL)
	ctx, cancel := context.WithDeadline(trace.ContextWithRemoteSpanContext(o.ctx, g.job.span), deadline)
	defer cancel()
	ctx, span := tracer.Start(ctx, "owner.dispatch", trace.WithAttributes(
		attribute.String("job.id", g.desc.JobID), attribute.String("gang.id", g.desc.ID), attribute.Int("gang.size", len(g.desc.Members))))
	defer span.End()
	if err := o.prepare(ctx, g); err != nil {
		o.abandon(g, placementRetryDelay, err)
		return
	}
	if !g.desc.Idempotent {
		if err := o.writeAttemptMark(ctx, g); err != nil {
			o.abandon(g, attemptMarkRetryDelay, err)
			return
		}
	}
	// The reservations must not expire between the attempt mark and the commit.
	if ctx.Err() != nil || !o.beginCommit(g) {
		o.abandon(g, 0, verdict.Refuse(verdict.CodeLeaseLapsed, "the job ended, or preparing took longer than the reservations last"))
		return
	}
	o.commit(ctx, g)
}

// prepare reserves the gang's resources on every member.
func (o *Owner) prepare(ctx context.Context, g *gang) error {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Timing.PrepareTTL/2)
	defer cancel()
	desc := g.desc
	var err error
	if desc.Payload, desc.Checkpoint, err = o.loadResumeData(ctx, g.job); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for rank, m := range desc.Members {
		group.Go(func() error {
			args := &structs.PrepareArgs{Gang: desc, Rank: rank, TTL: o.cfg.Timing.PrepareTTL}
			var reply structs.GangReply
			err := o.cfg.Caller.Call(ctx, m.Addr, "Agent.Prepare", args, &reply)
			if err != nil {
				o.handlePrepareRefusal(m.AgentID, err)
			}
			return err
		})
	}
	return group.Wait()
}

// gangArgs returns the arguments that identify a gang in a call to an agent.
func (o *Owner) gangArgs(g *gang) *structs.GangArgs {
	return &structs.GangArgs{GangID: g.desc.ID, Fence: g.desc.Fence, Epoch: o.cfg.Epoch}
}

// handlePrepareRefusal updates the record of an agent that refused a reservation.
func (o *Owner) handlePrepareRefusal(agentID string, err error) {
	code := verdict.From(err).Code
	gangOutcomes.Add("prepare_"+string(code), 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[agentID]
	if a == nil {
		return
	}
	switch code {
	case verdict.CodeConflict:
		// The agent has a gang that this owner does not know.
		a.announceRequested = true
		a.pausedUntil = o.now() + o.cfg.Timing.ReconcileInterval
	case verdict.CodeDraining:
		o.setDraining(agentID)
	case verdict.CodeStaleEpoch:
		klog.InfoS("Agent has seen a newer owner", "agent", agentID, "domain", o.cfg.Domain, "epoch", o.cfg.Epoch)
		a.pausedUntil = o.now() + o.cfg.Timing.SuspectAfter
	default:
		a.pausedUntil = o.now() + o.cfg.Timing.ReconcileInterval
	}
}

// writeAttemptMark records the attempt in the job's row before the attempt can
// run, so that no other owner starts a non-idempotent job again.
func (o *Owner) writeAttemptMark(ctx context.Context, g *gang) error {
	ctx, span := tracer.Start(ctx, "owner.mark")
	defer span.End()
	version, err := o.currentVersion(ctx, g.job)
	if err != nil {
		return err
	}
	o.mu.Lock()
	if g.job.rec.State.Final() {
		o.mu.Unlock()
		return verdict.Refuse(verdict.CodeTombstoned, "job %s has ended", g.desc.JobID)
	}
	rec := g.job.rec
	rec.State, rec.Verdict = structs.JobPlacing, verdict.MayHaveRun
	rec.Attempt, rec.GangID, rec.Rank0 = g.desc.Attempt, g.desc.ID, g.rank0()
	rec.Rank0Incarnation = g.incarnations[0]
	o.mu.Unlock()
	next, err := o.writeFenced(ctx, structs.JobRowKey(rec.ID), encodeRow(&rec), version)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		g.job.rowVersionUnknown = true
		gangOutcomes.Add("mark_failed", 1)
		return err
	}
	g.job.rowVersion, g.job.rowVersionUnknown = next, false
	return nil
}

// currentVersion returns the version of the job's row. It reads the row if the
// outcome of the last write is not known. While this owner holds the domain
// nobody else writes the row; a write by a newer owner makes the next conditional
// write fail.
func (o *Owner) currentVersion(ctx context.Context, j *job) (uint64, error) {
	o.mu.Lock()
	version, unknown := j.rowVersion, j.rowVersionUnknown
	o.mu.Unlock()
	if !unknown {
		return version, nil
	}
	row, err := o.cfg.Table.Get(ctx, structs.JobRowKey(j.rec.ID))
	if verdict.HasCode(err, verdict.CodeNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.adoptFinalRow(j, row) {
		return 0, verdict.Refuse(verdict.CodeTombstoned, "job %s has ended under an earlier owner", j.rec.ID)
	}
	o.adoptAttemptMark(j, row)
	return row.Version, nil
}

// beginCommit records that the job may run from now on. It returns false if the
// job must not run any more.
func (o *Owner) beginCommit(g *gang) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := g.job
	if o.stopped || j.gang != g || j.cancelRequested || j.rec.State.Final() {
		return false
	}
	j.rec.Attempt, j.rec.GangID, j.rec.Rank0 = g.desc.Attempt, g.desc.ID, g.rank0()
	j.rec.Rank0Incarnation = g.incarnations[0]
	o.judgeForecastAtStart(j)
	o.setState(j, structs.JobPlacing, verdict.MayHaveRun, nil)
	return true
}

// abandon ends a gang that was not committed, so the job did not run. The job is
// placed again after delay.
func (o *Owner) abandon(g *gang, delay time.Duration, cause error) {
	confirmed := o.abortAll(g)
	o.mu.Lock()
	defer o.mu.Unlock()
	gangOutcomes.Add("abandoned", 1)
	klog.V(2).InfoS("Gang abandoned before commit", "gang", g.desc.ID, "err", cause)
	j := g.job
	current := j.gang == g
	if confirmed {
		o.removeGang(g)
	} else {
		o.keepUntilExpiry(g)
	}
	if !current || j.rec.State.Final() {
		return
	}
	if j.cancelRequested {
		o.finishCancel(j, j.rec.Verdict)
		return
	}
	j.notBefore = o.now() + delay
	o.setState(j, structs.JobWaiting, j.rec.Verdict, nil)
}

// abortAll asks every member to give up its reservation, and reports whether all
// have confirmed.
func (o *Owner) abortAll(g *gang) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), o.cfg.Timing.PrepareTTL/4)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, m := range g.desc.Members {
		group.Go(func() error {
			var reply structs.GangReply
			return o.cfg.Caller.Call(ctx, m.Addr, "Agent.Abort", o.gangArgs(g), &reply)
		})
	}
	return group.Wait() == nil
}

// commit asks rank 0 to start the gang. From here on the job may have run unless
// rank 0 reports that it did not.
func (o *Owner) commit(ctx context.Context, g *gang) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.cfg.Timing.CommitTimeout)
	defer cancel()
	var reply structs.GangReply
	err := o.cfg.Caller.Call(ctx, g.rank0(), "Agent.Commit", o.gangArgs(g), &reply)
	switch {
	case err == nil:
		o.applyRank0Phase(g, reply.Phase, g.incarnations[0])
	case verdict.Of(err) == verdict.NotRun:
		o.applyRank0Phase(g, structs.PhaseAborted, g.incarnations[0])
	default:
		o.mu.Lock()
		g.state = gangUncertain
		o.mu.Unlock()
		gangOutcomes.Add("commit_uncertain", 1)
		o.resolveCommit(g)
	}
}

// resolveCommit aborts a gang at rank 0 when the reply to its commit was lost.
// The phase in the reply to the abort tells whether rank 0 had released the gang,
// that is, let its members start their tasks. Without a reply the gang stays
// uncertain and the reconcile loop tries again.
func (o *Owner) resolveCommit(g *gang) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), o.cfg.Timing.PrepareTTL/2)
	defer cancel()
	var reply structs.GangReply
	err := o.cfg.Caller.Call(ctx, g.rank0(), "Agent.Abort", o.gangArgs(g), &reply)
	if err != nil {
		return
	}
	o.applyRank0Phase(g, reply.Phase, reply.Incarnation)
}

// applyRank0Phase updates a gang according to the phase that rank 0 reported.
func (o *Owner) applyRank0Phase(g *gang, phase structs.GangPhase, incarnation int64) {
	switch {
	case incarnation != 0 && g.incarnations[0] != 0 && incarnation != g.incarnations[0]:
		// A restarted agent cannot know whether its earlier incarnation released
		// the gang.
		o.markLost(g, "the agent of rank 0 restarted")
	case phase == structs.PhaseAborted:
		o.requeueNotReleased(g)
	case phase == structs.PhaseNone:
		// The agent forgets ended gangs after a while, so the gang may have run.
		o.markLost(g, "rank 0 does not know the gang")
	case phase == structs.PhaseFailed || phase == structs.PhaseFinished:
		o.mu.Lock()
		o.setRunning(g)
		o.mu.Unlock()
		o.findOutcome(g)
	default:
		o.mu.Lock()
		defer o.mu.Unlock()
		o.setRunning(g)
	}
}

// setRunning records that a gang runs. The caller holds o.mu.
func (o *Owner) setRunning(g *gang) {
	if o.gangs[g.desc.ID] != g {
		return // the outcome arrived first
	}
	if g.state != gangRunning {
		g.state = gangRunning
		gangOutcomes.Add("running", 1)
	}
	j := g.job
	if j == nil || j.gang != g || j.rec.State.Final() {
		return
	}
	if j.rec.StartedAt.IsZero() {
		j.rec.StartedAt = time.Now().UTC()
	}
	o.setState(j, structs.JobRunning, verdict.MayHaveRun, nil)
	if j.cancelRequested {
		o.runAsync(func() { o.stopGang(g) })
	}
}

// requeueNotReleased handles a gang that rank 0 aborted instead of letting its
// tasks start: this attempt did not run, and the job is placed again.
func (o *Owner) requeueNotReleased(g *gang) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gangs[g.desc.ID] != g {
		return
	}
	gangOutcomes.Add("not_released", 1)
	j := g.job
	current := j != nil && j.gang == g
	// Members other than rank 0 may keep their reservations until these expire.
	o.keepUntilExpiry(g)
	if !current || j.rec.State.Final() {
		return
	}
	j.rec.Attempt, j.rec.GangID = g.desc.Attempt-1, ""
	v := verdict.NotRun
	if j.rec.Attempt > 0 {
		v = verdict.MayHaveRun
	}
	if j.cancelRequested {
		o.finishCancel(j, v)
		return
	}
	j.notBefore = o.now() + placementRetryDelay
	o.setState(j, structs.JobWaiting, v, nil)
}
