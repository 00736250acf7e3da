package agent

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// DefaultGrace is the time for checkpoints in a preemption without a grace time.
const DefaultGrace = 3 * time.Second

// Preempt takes a checkpoint of all ranks if asked to, and stops them at the latest
// when the grace time is over. At rank 0 it replies when the gang has ended; a
// repeated call returns the same reply. At any other rank, where rank 0 calls it, it
// only takes the checkpoint and suspends the task.
func (s *service) Preempt(args *structs.PreemptArgs, reply *structs.PreemptReply) error {
	ctx, end := rpc.StartServerSpan(args.Header, "Agent.Preempt")
	defer end()
	g, endedReply, startPreemption, err := s.a.ledger.preempt(args)
	switch {
	case err != nil:
		reply.Err = countRefusal(err)
		return nil
	case g == nil:
		*reply = *endedReply
		reply.Checkpoint = s.a.outbox.checkpoint(args.GangID)
		return nil
	case g.rank > 0:
		data, err := s.a.checkpoint(ctx, g)
		reply.Phase, reply.Checkpoint = structs.PhaseReleased, data
		reply.Err = verdict.From(err)
		return nil
	}
	if startPreemption {
		klog.InfoS("Gang preempted", "gangID", args.GangID, "grace", args.Grace, "checkpoint", args.Checkpoint)
		s.a.spawn(func() { s.a.preemptGang(g, args.Grace, args.Checkpoint) })
	}
	phase, err := s.a.ledger.waitFor(ctx, g, g.reported)
	if err != nil {
		reply.Phase, reply.Err = phase, err
		return nil
	}
	s.a.ledger.mu.Lock()
	defer s.a.ledger.mu.Unlock()
	*reply = preemptReply(phase, g.preemptReply)
	return nil
}

// preemptReply returns the reply to Preempt of a gang that has ended in a phase. kept
// is the reply of its preemption, nil if it was not preempted.
func preemptReply(phase structs.GangPhase, kept *structs.PreemptReply) structs.PreemptReply {
	if kept != nil {
		return *kept
	}
	// Every task of a finished or aborted gang has ended.
	return structs.PreemptReply{Phase: phase, Stopped: phase == structs.PhaseFinished || phase == structs.PhaseAborted}
}

// preempt returns the gang to preempt, or the reply if the gang has ended or is
// unknown. startPreemption is true for the one call that must run preemptGang.
func (l *ledger) preempt(args *structs.PreemptArgs) (g *gang, endedReply *structs.PreemptReply, startPreemption bool, err *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireReservationsAndTombstones()
	if err := l.checkCallerEpoch(args.Epoch); err != nil {
		return nil, nil, false, err.WithVerdict(verdict.MayHaveRun)
	}
	g, phase := l.find(args.GangID)
	if g == nil {
		r := preemptReply(phase, l.tombstones[args.GangID].preemptReply)
		return nil, &r, false, nil
	}
	switch {
	case g.phase == structs.PhasePrepared, g.phase == structs.PhaseArmed:
		return nil, nil, false, verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "gang %s is %s", args.GangID, g.phase)
	case g.rank > 0:
		if err := l.checkLease(g); err != nil {
			return nil, nil, false, err.WithVerdict(verdict.MayHaveRun)
		}
		return g, nil, false, nil
	}
	startPreemption = !g.preempting && g.endReason == nil
	g.preempting = true
	return g, nil, startPreemption, nil
}

// preemptGang takes a checkpoint if wantCheckpoint is set, within the grace time, and
// ends the gang.
func (a *Agent) preemptGang(g *gang, grace time.Duration, wantCheckpoint bool) {
	if grace <= 0 {
		grace = DefaultGrace
	}
	ctx, cancel := context.WithTimeout(g.withTrace(a.ctx), grace)
	defer cancel()
	select {
	case <-g.decided:
	case <-ctx.Done():
	}
	e := endReason{phase: structs.PhaseFailed, code: verdict.CodePreempted, message: "preempted", preempted: true}
	if wantCheckpoint {
		data, err := a.checkpointAll(ctx, g)
		if err != nil {
			e.message = "preempted without a checkpoint: " + err.Error()
		}
		e.checkpoint = data
	}
	a.endGang(g, e)
}

// checkpointAll returns the gang's checkpoint, a JSON array with the checkpoints of
// all ranks. If one rank fails it returns an error.
func (a *Agent) checkpointAll(ctx context.Context, g *gang) ([]byte, error) {
	parts := make([][]byte, len(g.members))
	errs := make([]error, len(g.members))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// If the gang ends meanwhile, the checkpoint is of no use.
	stop := context.AfterFunc(g.ctx, cancel)
	defer stop()
	var calls sync.WaitGroup
	for r := range parts {
		calls.Go(func() {
			if r == 0 {
				parts[r], errs[r] = a.checkpoint(ctx, g)
			} else {
				parts[r], errs[r] = a.checkpointMember(ctx, g, r)
			}
			if errs[r] != nil {
				cancel()
			}
		})
	}
	calls.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return json.Marshal(parts)
}

// checkpoint takes a checkpoint of this agent's task and suspends the task. It
// retries until ctx ends.
func (a *Agent) checkpoint(ctx context.Context, g *gang) ([]byte, error) {
	r := a.taskRequest(g)
	r.Hold = true
	for {
		try, cancel := context.WithTimeout(ctx, workerCallTimeout)
		data, err := a.cfg.Worker.Checkpoint(try, r)
		cancel()
		// not_found: the task has not started yet.
		again := verdict.HasCode(err, verdict.CodeUnavailable) || verdict.HasCode(err, verdict.CodeNotFound)
		if !again || !retry.Sleep(ctx, memberRetryDelay) {
			return data, err
		}
	}
}

// checkpointMember gets the checkpoint of another rank from its agent. It retries
// until ctx ends.
func (a *Agent) checkpointMember(ctx context.Context, g *gang, r int) ([]byte, error) {
	for {
		try, cancel := context.WithTimeout(ctx, stopCallTimeout)
		reply := &structs.PreemptReply{}
		args := &structs.PreemptArgs{GangID: g.spec.ID, Fence: g.spec.Fence, Checkpoint: true}
		err := a.cfg.Pool.Call(try, g.spec.Members[r].Addr, "Agent.Preempt", args, reply)
		cancel()
		if err == nil && reply.Phase != structs.PhaseReleased {
			return nil, verdict.New(verdict.Ran, verdict.CodeConflict, "rank %d is %s", r, reply.Phase)
		}
		// conflict: Release has not reached the member yet.
		again := verdict.HasCode(err, verdict.CodeUnavailable) || verdict.HasCode(err, verdict.CodeConflict)
		if !again || !retry.Sleep(ctx, memberRetryDelay) {
			return reply.Checkpoint, err
		}
	}
}
