package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Time limits of calls from rank 0 to the other members and to its worker.
const (
	memberCallTimeout = 700 * time.Millisecond
	memberRetryDelay  = 50 * time.Millisecond
	maxStopDelay      = 800 * time.Millisecond
	// stopCallTimeout is longer than memberCallTimeout because a member answers
	// Stop only when its worker has confirmed the stop.
	stopCallTimeout = 2 * time.Second
	// resultTimeout limits fetching a result from the worker, retries included.
	resultTimeout = 10 * time.Second
)

// commit marks a prepared gang as committed; from then on rank 0 decides whether
// the gang is released or aborted. startCoordinator is true for the one call that
// must start coordinate. g is nil without an error if the gang has finished or
// failed; phase is then its final phase.
func (l *ledger) commit(args *structs.GangArgs) (g *gang, phase structs.GangPhase, startCoordinator bool, err *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireReservationsAndTombstones()
	if err := l.checkCallerEpoch(args.Epoch); err != nil {
		return nil, structs.PhaseNone, false, err
	}
	g, phase = l.find(args.GangID)
	switch {
	case l.closed:
		return nil, phase, false, verdict.New(verdict.MayHaveRun, verdict.CodeDraining, "agent has stopped")
	case g == nil && phase == structs.PhaseAborted:
		return nil, phase, false, verdict.Refuse(verdict.CodeTombstoned, "gang %s was aborted or its reservation lapsed", args.GangID)
	case g == nil && phase == structs.PhaseNone:
		// An earlier incarnation of this agent may have released the gang.
		l.addTombstone(args.GangID, tombstone{phase: structs.PhaseNone})
		return nil, phase, false, verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "gang %s is unknown here", args.GangID)
	case g == nil || phase != structs.PhasePrepared:
		return g, phase, false, nil
	case g.rank != 0:
		return nil, phase, false, verdict.Invalid("GangID", "agent is rank %d", g.rank)
	}
	if err := l.checkEpoch(g.spec.Fence.Epoch()); err != nil {
		return nil, phase, false, err
	}
	g.phase = structs.PhaseCommitted
	g.expiresAt = l.cfg.now().Add(l.cfg.PrepareTTL)
	return g, g.phase, true, nil
}

// decide releases the gang if arming succeeded, no member has left, and neither the
// time to decide nor a lease has expired; otherwise it aborts the gang. It reports
// whether the gang is released.
func (l *ledger) decide(g *gang) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(g.decided)
	now := l.cfg.now()
	switch {
	case g.endReason != nil:
	case !now.Before(g.expiresAt):
		g.end(endReason{phase: structs.PhaseAborted, code: verdict.CodeLeaseLapsed, message: "not all members confirmed in time"})
	case l.closed:
		g.end(endReason{phase: structs.PhaseAborted, code: verdict.CodeDraining, message: "agent has stopped"})
	case g.expiredRank(now, l.cfg.GangLease) >= 0:
		g.end(endReason{phase: structs.PhaseAborted, code: verdict.CodeLeaseLapsed, message: "the lease of a member lapsed"})
	}
	for r := range g.members {
		if isTerminal(g.members[r].taskState) {
			g.end(endReason{phase: structs.PhaseAborted, code: verdict.CodeLeaseLapsed, message: fmt.Sprintf("rank %d has left", r)})
		}
	}
	if g.endReason != nil {
		g.endReason.phase = structs.PhaseAborted
		g.phase = structs.PhaseAborted
		return false
	}
	g.phase = structs.PhaseReleased
	g.releasedAt = now
	return true
}

// coordinate runs a committed gang at rank 0 until all its ranks have ended.
func (a *Agent) coordinate(g *gang) {
	defer a.ledger.closeCalls(g)
	a.armAll(g)
	released := a.ledger.decide(g)
	if released {
		count("releases")
		klog.InfoS("Gang released", "gangID", g.spec.ID, "size", len(g.spec.Members))
		g.calls.Go(func() { a.startTask(g) })
		for r := 1; r < len(g.members); r++ {
			g.calls.Go(func() { a.releaseMember(g, r) })
		}
		a.awaitGangEnd(g)
	}
	if a.ctx.Err() != nil {
		return
	}
	a.finishGang(g)
}

// armAll arms all other members, and ends the gang if one of them cannot be armed
// before the time to decide is over.
func (a *Agent) armAll(g *gang) {
	ctx, cancel := context.WithDeadline(g.withTrace(g.ctx), g.expiresAt)
	defer cancel()
	var calls sync.WaitGroup
	for r := 1; r < len(g.members); r++ {
		calls.Go(func() {
			if err := a.armMember(ctx, g, r); err != nil {
				a.endGang(g, endReason{
					phase: structs.PhaseAborted, code: err.Code, worker: g.spec.Members[r].AgentID,
					workerFault: err.Code == verdict.CodeUnavailable,
					message:     fmt.Sprintf("arm rank %d: %s", r, err.Message),
				})
			}
		})
	}
	calls.Wait()
}

// armMember calls Arm at a member, with retries while its agent is unavailable.
func (a *Agent) armMember(ctx context.Context, g *gang, r int) *verdict.Error {
	for {
		sent := a.cfg.now()
		err := a.callMember(ctx, g.spec.Members[r].Addr, "Agent.Arm", g.callArgs(), memberCallTimeout)
		if err == nil {
			a.ledger.mu.Lock()
			g.members[r].armed = true
			if sent.After(g.members[r].lastSeen) {
				g.members[r].lastSeen = sent
			}
			a.ledger.mu.Unlock()
			return nil
		}
		e := verdict.From(err)
		if e.Code != verdict.CodeUnavailable || !retry.Sleep(ctx, memberRetryDelay) {
			return e
		}
	}
}

// releaseMember tells a member to start its task. If Release is lost, the reply to
// the member's next Beat starts it.
func (a *Agent) releaseMember(g *gang, r int) {
	for {
		err := a.callMember(g.withTrace(g.ctx), g.spec.Members[r].Addr, "Agent.Release", g.callArgs(), memberCallTimeout)
		if err == nil {
			return
		}
		if e := verdict.From(err); e.Code != verdict.CodeUnavailable {
			a.endGang(g, endReason{
				phase: structs.PhaseFailed, code: verdict.CodeWorkerLost, worker: g.spec.Members[r].AgentID, workerFault: true,
				message: fmt.Sprintf("release rank %d: %s", r, e.Message),
			})
			return
		}
		if !retry.Sleep(g.ctx, memberRetryDelay) {
			return
		}
	}
}

func (a *Agent) callMember(ctx context.Context, addr, method string, args *structs.GangArgs, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return a.cfg.Pool.Call(ctx, addr, method, args, &structs.GangReply{})
}

// endGang is gang.end for callers that do not hold ledger.mu.
func (a *Agent) endGang(g *gang, e endReason) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	g.end(e)
}

// awaitGangEnd waits until the gang has finished or must end, or the agent stops.
func (a *Agent) awaitGangEnd(g *gang) {
	tick := time.NewTicker(a.cfg.BeatInterval / 2)
	defer tick.Stop()
	for !a.ledger.checkGangEnd(g) {
		select {
		case <-tick.C:
		case <-g.wake:
		case <-a.ctx.Done():
			return
		}
	}
}

// checkGangEnd checks the leases and tasks of a released gang. It reports whether
// the gang has finished or must end.
func (l *ledger) checkGangEnd(g *gang) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.endReason != nil {
		return true
	}
	if r := g.expiredRank(l.cfg.now(), l.cfg.GangLease); r >= 0 {
		count("lease_lapses")
		g.end(endReason{
			phase: structs.PhaseFailed, code: verdict.CodeWorkerLost, worker: g.spec.Members[r].AgentID, workerFault: true,
			message: fmt.Sprintf("the lease of rank %d lapsed", r),
		})
		return true
	}
	all := true
	for r := range g.members {
		state, message := g.members[r].taskState, g.members[r].taskMessage
		if r == 0 {
			state, message = g.taskState, g.taskMessage
		}
		switch state {
		case structs.TaskFailed, structs.TaskStopped:
			g.end(endReason{
				phase: structs.PhaseFailed, code: verdict.CodeTaskFailed, worker: g.spec.Members[r].AgentID,
				workerFault: state == structs.TaskStopped,
				message:     fmt.Sprintf("task of rank %d %s: %s", r, state, message),
			})
			return true
		case structs.TaskFinished:
		default:
			all = false
		}
	}
	if all {
		g.phase = structs.PhaseFinished
	}
	return all
}

// finishGang stops the tasks of all ranks, delivers the outcome, and frees what
// rank 0 holds when its task has stopped.
func (a *Agent) finishGang(g *gang) {
	a.ledger.mu.Lock()
	e, releasedAt := g.endReason, g.releasedAt
	if e != nil {
		g.phase = e.phase
	}
	a.ledger.mu.Unlock()
	outcome := structs.GangOutcome{Gang: g.withoutData(), Phase: structs.PhaseFinished}
	if !releasedAt.IsZero() {
		outcome.Ran = a.cfg.now().Sub(releasedAt)
	}
	// The tasks of a finished gang have ended, so the outcome does not wait for the
	// other members.
	confirmed := true
	var stopped <-chan struct{}
	if e == nil {
		a.spawn(func() { a.stopMembers(g) })
		outcome.Result, e = a.fetchResult(g)
		stopped, _ = a.stopOwnTask(g)
	} else {
		confirmed, stopped = a.stopAll(g)
	}
	if a.ctx.Err() != nil {
		return
	}
	if e != nil {
		outcome.Phase, outcome.Message, outcome.FailedWorker, outcome.WorkerFault = e.phase, e.message, e.worker, e.workerFault
		outcome.Preempted, outcome.Checkpoint, outcome.Stopped = e.preempted, e.checkpoint, confirmed
	}
	a.deliver(outcome, g.span)
	a.ledger.mu.Lock()
	g.phase = outcome.Phase
	if outcome.Phase == structs.PhaseAborted {
		count("aborts")
	}
	if e != nil {
		g.preemptReply = &structs.PreemptReply{Phase: outcome.Phase, Checkpoint: outcome.Checkpoint, Stopped: confirmed}
	}
	close(g.reported)
	a.ledger.mu.Unlock()
	select {
	case <-stopped:
		a.ledger.mu.Lock()
		defer a.ledger.mu.Unlock()
		a.ledger.removeGang(g, outcome.Phase)
	case <-a.ctx.Done():
	}
}

// stopAll stops the tasks of all ranks. It reports whether every stop was
// confirmed; where one was not, the leases have expired for certain. stopped is
// closed when the stop of rank 0's task is confirmed.
func (a *Agent) stopAll(g *gang) (confirmed bool, stopped <-chan struct{}) {
	var stops sync.WaitGroup
	members := false
	stops.Go(func() { members = a.stopMembers(g) })
	stopped, own := a.stopOwnTask(g)
	stops.Wait()
	return own && members, stopped
}

// stopOwnTask stops rank 0's task. It returns when the worker has confirmed the
// stop, or else when the task's lease has expired for certain, allowing for a
// renewal that was still in progress. stopped is closed at the confirmation, which
// can come later.
func (a *Agent) stopOwnTask(g *gang) (stopped <-chan struct{}, confirmed bool) {
	done := make(chan struct{})
	a.spawn(func() {
		if a.stopTask(g) {
			close(done)
		}
	})
	select {
	case <-done:
		return done, true
	case <-time.After(a.cfg.TaskLease + a.cfg.TaskLease/renewalsPerLease):
	case <-a.ctx.Done():
	}
	return done, false
}

// stopMembers stops the tasks of all other members. It returns when each has
// confirmed its stop or its leases have expired for certain, and reports whether
// all have confirmed.
func (a *Agent) stopMembers(g *gang) bool {
	all := true
	var mu sync.Mutex
	var calls sync.WaitGroup
	for r := 1; r < len(g.members); r++ {
		calls.Go(func() {
			ok := a.stopMember(g, r)
			mu.Lock()
			defer mu.Unlock()
			all = all && ok
		})
	}
	calls.Wait()
	return all
}

// stopMember calls Stop at a member until the member has confirmed it, or its leases
// have expired for certain. It reports whether the member has confirmed.
func (a *Agent) stopMember(g *gang, r int) bool {
	a.ledger.mu.Lock()
	lastSeen, released := g.members[r].lastSeen, !g.releasedAt.IsZero()
	a.ledger.mu.Unlock()
	wait := time.Duration(0) // no member of an aborted gang has started its task
	if released {
		// If the member's agent is dead, its task ends when first the gang lease and
		// then the task lease at the worker have expired.
		wait = lastSeen.Add(a.cfg.GangLease + a.cfg.TaskLease).Sub(a.cfg.now())
	}
	ctx, cancel := context.WithTimeout(g.withTrace(a.ctx), max(wait, memberCallTimeout))
	defer cancel()
	for delay := memberRetryDelay; ; delay = min(2*delay, maxStopDelay) {
		err := a.callMember(ctx, g.spec.Members[r].Addr, "Agent.Stop", g.callArgs(), stopCallTimeout)
		if err == nil {
			return true
		}
		if !retry.Sleep(ctx, delay) {
			return false
		}
	}
}

// fetchResult gets the result of rank 0's task from the worker.
func (a *Agent) fetchResult(g *gang) (*structs.Result, *endReason) {
	limit := g.spec.ResultBytes
	if limit <= 0 {
		limit = structs.MaxResultBytes
	}
	ctx, cancel := context.WithTimeout(g.withTrace(a.ctx), resultTimeout)
	defer cancel()
	for {
		data, err := a.cfg.Worker.Result(ctx, a.taskRequest(g), limit)
		if err == nil {
			return structs.NewResult(g.spec.Attempt, data), nil
		}
		e := verdict.From(err)
		if e.Code != verdict.CodeUnavailable || !retry.Sleep(ctx, memberRetryDelay) {
			return nil, &endReason{
				phase: structs.PhaseFailed, code: e.Code, message: "fetch result: " + e.Message,
				worker: a.cfg.Info.ID, workerFault: e.Code != verdict.CodeTooLarge,
			}
		}
	}
}
