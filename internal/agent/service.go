package agent

import (
	"context"

	"go.opentelemetry.io/otel/trace"
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// service implements the RPC service Agent.
type service struct{ a *Agent }

// Prepare reserves accelerators and other resources for a gang.
func (s *service) Prepare(args *structs.PrepareArgs, reply *structs.GangReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Agent.Prepare")
	defer end()
	count("prepares")
	phase, err := s.a.ledger.prepare(args)
	return s.setReply(reply, phase, err)
}

// Commit makes rank 0 arm all other members, which replaces the TTL of their
// reservations by the gang lease, and then release the gang, which lets all members
// start their tasks; see structs.GangPhase. It replies when rank 0 has released or
// aborted the gang, or at the caller's deadline.
func (s *service) Commit(args *structs.GangArgs, reply *structs.GangReply) error {
	ctx, end := rpc.StartServerSpan(args.Header, "Agent.Commit")
	defer end()
	count("commits")
	g, phase, startCoordinator, err := s.a.ledger.commit(args)
	if err != nil || g == nil { // g is nil without an error if the gang has ended
		return s.setReply(reply, phase, err)
	}
	if startCoordinator {
		klog.InfoS("Gang committed", "gangID", args.GangID)
		g.span = trace.SpanContextFromContext(ctx)
		s.a.spawn(func() { s.a.coordinate(g) })
	}
	select {
	case <-g.decided:
	case <-ctx.Done():
	}
	phase, err = s.a.ledger.commitResult(g)
	return s.setReply(reply, phase, err)
}

// commitResult returns the phase of a committed gang, and an error if it was
// aborted.
func (l *ledger) commitResult(g *gang) (structs.GangPhase, *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.phase != structs.PhaseAborted {
		return g.phase, nil
	}
	code, message := verdict.CodeTombstoned, "gang was aborted"
	if g.endReason != nil && g.endReason.code != "" {
		code, message = g.endReason.code, g.endReason.message
	}
	return g.phase, verdict.Refuse(code, "%s", message)
}

// Arm replaces the TTL of a reservation by the gang lease. Rank 0 calls it.
func (s *service) Arm(args *structs.GangArgs, reply *structs.GangReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Agent.Arm")
	defer end()
	g, phase, startMember, err := s.a.ledger.arm(args)
	if startMember {
		s.a.spawn(func() { s.a.runMember(g) })
	}
	return s.setReply(reply, phase, err)
}

// Release starts a member's task. Rank 0 calls it.
func (s *service) Release(args *structs.GangArgs, reply *structs.GangReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Agent.Release")
	defer end()
	g, phase, startTask, err := s.a.ledger.release(args)
	if startTask {
		count("releases")
		go s.a.startReleased(g)
	}
	return s.setReply(reply, phase, err)
}

// Beat renews a member's gang lease at rank 0. The other members call it.
func (s *service) Beat(args *structs.BeatArgs, reply *structs.BeatReply) error {
	phase, err := s.a.ledger.receiveBeat(args)
	reply.Phase, reply.Err = phase, err
	return nil
}

// Abort ends a gang that is not committed and leaves a tombstone. A reply of
// PhaseAborted means that the gang has not run here and never will; PhaseNone means
// the same for this incarnation of the agent only. In any other phase the gang is
// left unchanged.
func (s *service) Abort(args *structs.GangArgs, reply *structs.GangReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Agent.Abort")
	defer end()
	phase, err := s.a.ledger.abort(args)
	return s.setReply(reply, phase, err)
}

func (l *ledger) abort(args *structs.GangArgs) (structs.GangPhase, *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireReservationsAndTombstones()
	if err := l.checkCallerEpoch(args.Epoch); err != nil {
		return structs.PhaseNone, err.WithVerdict(verdict.MayHaveRun)
	}
	g, phase := l.find(args.GangID)
	switch {
	case g == nil && phase == structs.PhaseNone:
		l.addTombstone(args.GangID, tombstone{phase: structs.PhaseNone})
	case g != nil && g.phase == structs.PhasePrepared:
		count("aborts")
		l.removeGang(g, structs.PhaseAborted)
		return structs.PhaseAborted, nil
	}
	return phase, nil
}

// Stop ends a gang in any phase. It replies when this agent's task has ended, at
// rank 0 when all ranks have.
func (s *service) Stop(args *structs.GangArgs, reply *structs.GangReply) error {
	ctx, end := rpc.StartServerSpan(args.Header, "Agent.Stop")
	defer end()
	g, phase, err := s.a.ledger.stop(args)
	if err != nil || g == nil {
		return s.setReply(reply, phase, err)
	}
	phase, err = s.a.ledger.waitFor(ctx, g, g.done)
	return s.setReply(reply, phase, err)
}

// stop returns the gang that is now ending and must be waited for. The gang is nil
// if there is nothing to wait for.
func (l *ledger) stop(args *structs.GangArgs) (*gang, structs.GangPhase, *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireReservationsAndTombstones()
	if err := l.checkCallerEpoch(args.Epoch); err != nil {
		return nil, structs.PhaseNone, err.WithVerdict(verdict.MayHaveRun)
	}
	g, phase := l.find(args.GangID)
	if g == nil {
		if phase == structs.PhaseNone {
			l.addTombstone(args.GangID, tombstone{phase: structs.PhaseNone})
		}
		return nil, phase, nil
	}
	switch g.phase {
	case structs.PhasePrepared:
		l.removeGang(g, structs.PhaseAborted)
		return nil, structs.PhaseAborted, nil
	case structs.PhaseCommitted, structs.PhaseArmed:
		g.end(endReason{phase: structs.PhaseAborted, code: verdict.CodeCancelled, message: "stopped before it was released"})
	default:
		phase := structs.PhaseFailed
		if g.rank > 0 && g.taskState == structs.TaskFinished {
			phase = structs.PhaseFinished
		}
		g.end(endReason{phase: phase, code: verdict.CodeCancelled, message: "stopped"})
	}
	return g, g.phase, nil
}

// waitFor waits until event, a channel of the gang, is closed, or ctx ends. It
// returns the gang's phase.
func (l *ledger) waitFor(ctx context.Context, g *gang, event <-chan struct{}) (structs.GangPhase, *verdict.Error) {
	var err *verdict.Error
	select {
	case <-event:
	case <-ctx.Done():
		err = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "gang %s has not ended yet", g.spec.ID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return g.phase, err
}

// Status returns the phase of a gang.
func (s *service) Status(args *structs.GangArgs, reply *structs.GangReply) error {
	l := s.a.ledger
	l.mu.Lock()
	l.expireReservationsAndTombstones()
	_, phase := l.find(args.GangID)
	l.mu.Unlock()
	return s.setReply(reply, phase, nil)
}

// AckResult removes the outcome of a gang, which the owner has made durable. It
// returns the gang's phase.
func (s *service) AckResult(args *structs.GangArgs, reply *structs.GangReply) error {
	s.a.outbox.ack(args.GangID)
	return s.Status(args, reply)
}

// OwnerChanged makes the agent announce itself to a new owner. It replies without
// waiting for that. Errors: stale_epoch if the agent has seen a newer owner.
func (s *service) OwnerChanged(args *structs.OwnerChangedArgs, reply *structs.OwnerChangedReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Agent.OwnerChanged")
	defer end()
	count("owner_changes")
	if err := s.a.ownerChanged(args.Owner); err != nil {
		reply.Err = countRefusal(err)
	}
	return nil
}

// ManifestDelta returns the changes of the manifest since the caller's version.
func (s *service) ManifestDelta(args *structs.ManifestArgs, reply *structs.ManifestReply) error {
	if h := s.a.cfg.Manifest; h != nil {
		reply.Version, reply.Delta = h.Version(), h.Delta(args.Have)
	}
	return nil
}

// DrainArgs are the arguments of Drain.
type DrainArgs struct{ rpc.Header }

// DrainReply is the reply to Drain.
type DrainReply struct{ rpc.Reply }

// Drain makes the agent refuse new gangs. The agent stops when its gangs have ended
// and their outcomes are durable.
func (s *service) Drain(_ *DrainArgs, _ *DrainReply) error {
	s.a.startDrain()
	return nil
}

// setReply fills in a reply and counts a refusal.
func (s *service) setReply(reply *structs.GangReply, phase structs.GangPhase, err *verdict.Error) error {
	reply.Phase, reply.Incarnation = phase, s.a.incarnation()
	if err != nil {
		reply.Err = countRefusal(err)
	}
	return nil
}
