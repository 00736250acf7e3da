package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// finalBeatTimeout limits the last Beat of a member, which reports its task's end.
const finalBeatTimeout = 500 * time.Millisecond

// arm replaces the TTL of a reservation by the gang lease. startMember is true for
// the one call that must start runMember.
func (l *ledger) arm(args *structs.GangArgs) (g *gang, phase structs.GangPhase, startMember bool, err *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireReservationsAndTombstones()
	if l.closed {
		return nil, structs.PhaseNone, false, verdict.Refuse(verdict.CodeDraining, "agent has stopped")
	}
	g, err = l.findMember(args)
	if err != nil {
		return nil, structs.PhaseNone, false, err
	}
	switch g.phase {
	case structs.PhasePrepared: // not expired, since expireReservationsAndTombstones was called above
		g.phase = structs.PhaseArmed
		g.leaseExpires = l.cfg.now().Add(l.cfg.GangLease)
		return g, g.phase, true, nil
	default:
		return g, g.phase, false, l.checkLease(g)
	}
}

// release allows an armed member to start its task. startTask is true for the one
// call that must start it.
func (l *ledger) release(args *structs.GangArgs) (g *gang, phase structs.GangPhase, startTask bool, err *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, err = l.findMember(args)
	if err != nil {
		return nil, structs.PhaseNone, false, err
	}
	if err := l.checkLease(g); err != nil {
		return nil, g.phase, false, err
	}
	startTask, err = l.releaseLocked(g)
	return g, g.phase, startTask, err
}

// releaseLocked marks an armed gang as released. It returns true if the caller must
// start the task and then call g.calls.Done. l.mu must be held.
func (l *ledger) releaseLocked(g *gang) (startTask bool, err *verdict.Error) {
	switch {
	case g.callsClosed:
		return false, verdict.Refuse(verdict.CodeDraining, "agent has stopped")
	case g.phase == structs.PhaseArmed:
		g.phase = structs.PhaseReleased
		g.releasedAt = l.cfg.now()
		g.calls.Add(1)
		return true, nil
	case g.phase == structs.PhaseReleased:
		return false, nil
	default:
		return false, verdict.Refuse(verdict.CodeConflict, "gang %s is %s", g.spec.ID, g.phase)
	}
}

// findMember returns a gang in which this agent has a rank other than 0.
func (l *ledger) findMember(args *structs.GangArgs) (*gang, *verdict.Error) {
	g, phase := l.find(args.GangID)
	switch {
	case g == nil && phase == structs.PhaseNone:
		return nil, verdict.Refuse(verdict.CodeNotFound, "gang %s is unknown here", args.GangID)
	case g == nil:
		return nil, verdict.Refuse(verdict.CodeTombstoned, "gang %s has ended here", args.GangID)
	case g.rank == 0:
		return nil, verdict.Invalid("GangID", "agent is rank 0")
	case args.Fence != g.spec.Fence:
		return nil, verdict.Refuse(verdict.CodeStaleEpoch, "token %x is not the gang's %x", uint64(args.Fence), uint64(g.spec.Fence))
	}
	return g, nil
}

// checkLease ends the gang here if a gang lease has expired. It returns an error if
// the gang is ending, for whatever reason.
func (l *ledger) checkLease(g *gang) *verdict.Error {
	if g.endReason == nil && g.expiredRank(l.cfg.now(), l.cfg.GangLease) >= 0 {
		count("lease_lapses")
		phase := structs.PhaseFailed
		if g.phase != structs.PhaseReleased {
			phase = structs.PhaseAborted
		}
		g.end(endReason{phase: phase, code: verdict.CodeLeaseLapsed, message: "the gang lease lapsed"})
	}
	if g.endReason != nil {
		return verdict.Refuse(verdict.CodeLeaseLapsed, "gang %s ends: %s", g.spec.ID, g.endReason.message)
	}
	return nil
}

// runMember runs a member other than rank 0 from Arm until its task has ended.
func (a *Agent) runMember(g *gang) {
	defer a.ledger.closeCalls(g)
	tick := time.NewTicker(a.cfg.BeatInterval)
	defer tick.Stop()
	reported := structs.TaskState("")
	for a.holdsLease(g) {
		if state, ok := a.sendBeat(g); ok {
			reported = state
		}
		// Send the next beat early if the task has changed; leave the loop when the
		// gang ends or its lease expires.
		for beatDue := false; !beatDue; {
			select {
			case <-tick.C:
				beatDue = true
			case <-g.wake:
				state, ending := a.taskAndEnd(g)
				beatDue = ending || state != reported
			case <-time.After(a.leaseRemaining(g)):
				beatDue = true
			case <-a.ctx.Done():
				return
			}
		}
	}
	if !a.stopTask(g) {
		return // the agent has stopped
	}
	a.reportTaskEnd(g)
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	klog.InfoS("Gang member ended", "gangID", g.spec.ID, "rank", g.rank, "phase", g.endReason.phase, "message", g.endReason.message)
	a.ledger.removeGang(g, g.endReason.phase)
}

// reportTaskEnd tells rank 0 that the member's task has ended, so that rank 0 does
// not have to wait until the member's lease expires.
func (a *Agent) reportTaskEnd(g *gang) {
	state, _ := a.taskAndEnd(g)
	if !isTerminal(state) {
		state = structs.TaskStopped
	}
	ctx, cancel := context.WithTimeout(a.ctx, finalBeatTimeout)
	defer cancel()
	args := &structs.BeatArgs{Fence: g.spec.Fence, Rank: g.rank, TaskState: state}
	// If the call fails, rank 0 ends the gang when the member's lease expires.
	_ = a.cfg.Pool.Call(ctx, g.spec.Members[0].Addr, "Agent.Beat", args, &structs.BeatReply{})
}

// holdsLease reports whether the member's gang lease is valid and the gang is not
// ending.
func (a *Agent) holdsLease(g *gang) bool {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return a.ledger.checkLease(g) == nil
}

func (a *Agent) leaseRemaining(g *gang) time.Duration {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return g.leaseExpires.Sub(a.cfg.now())
}

// taskAndEnd returns the state of the gang's task, and whether the gang is ending.
func (a *Agent) taskAndEnd(g *gang) (state structs.TaskState, ending bool) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return g.taskState, g.endReason != nil
}

// sendBeat renews the gang lease at rank 0 and applies the gang's phase from the
// reply. It returns the task state that was reported, and whether rank 0 replied.
func (a *Agent) sendBeat(g *gang) (structs.TaskState, bool) {
	state, _ := a.taskAndEnd(g)
	sent := a.cfg.now()
	ctx, cancel := context.WithTimeout(g.ctx, min(a.cfg.BeatInterval, max(a.leaseRemaining(g), time.Millisecond)))
	defer cancel()
	reply := &structs.BeatReply{}
	args := &structs.BeatArgs{Fence: g.spec.Fence, Rank: g.rank}
	if isTerminal(state) {
		args.TaskState = state
	}
	if err := a.cfg.Pool.Call(ctx, g.spec.Members[0].Addr, "Agent.Beat", args, reply); err != nil {
		return "", false
	}
	if a.ledger.applyBeatReply(g, sent, reply.Phase) {
		go a.startReleased(g)
	}
	return state, true
}

// applyBeatReply applies the gang's phase in the reply to a Beat that was sent at the
// given time. It reports whether the task must be started because Release was lost.
func (l *ledger) applyBeatReply(g *gang, sent time.Time, phase structs.GangPhase) (startTask bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checkLease(g) != nil {
		return false
	}
	switch phase {
	case structs.PhaseCommitted, structs.PhaseReleased:
		g.leaseExpires = sent.Add(l.cfg.GangLease)
		if phase == structs.PhaseReleased {
			startTask, _ = l.releaseLocked(g)
		}
	case structs.PhaseFinished:
		g.end(endReason{phase: structs.PhaseFinished, message: "gang has finished"})
	default:
		end := structs.PhaseFailed
		if g.phase != structs.PhaseReleased {
			end = structs.PhaseAborted
		}
		g.end(endReason{phase: end, message: "rank 0 says " + string(phase)})
	}
	return startTask
}

// receiveBeat handles a member's Beat at rank 0. It returns the gang's phase.
func (l *ledger) receiveBeat(args *structs.BeatArgs) (structs.GangPhase, *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, phase := l.find(l.idByFence[args.Fence])
	if g == nil {
		return phase, nil
	}
	if g.rank != 0 || args.Rank <= 0 || args.Rank >= len(g.members) || args.GangID != "" && args.GangID != g.spec.ID {
		return structs.PhaseNone, verdict.Invalid("Rank", "gang %s has no such member here", g.spec.ID)
	}
	if g.endReason != nil {
		return g.endReason.phase, nil
	}
	m := &g.members[args.Rank]
	now := l.cfg.now()
	// The member's lease has expired: a late Beat does not renew it.
	if m.armed && now.Sub(m.lastSeen) >= l.cfg.GangLease {
		g.notify()
		return structs.PhaseFailed, nil
	}
	m.lastSeen = now
	if args.TaskState != m.taskState {
		m.taskState = args.TaskState
		g.notify()
	}
	return g.phase, nil
}
