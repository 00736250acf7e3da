package workflowagent

import (
	"context"
	"errors"
	"time"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Limits of the calls to the owner.
const (
	// syncWait is how long the owner may hold a call until it has orders. It limits
	// the age of the last contact with the owner, from which leases count.
	syncWait = 500 * time.Millisecond
	// syncTimeout limits a call in addition to its wait.
	syncTimeout = 700 * time.Millisecond
	// syncRetryDelay is the mean delay after a call that failed or reached an entry
	// that is not the owner.
	syncRetryDelay = 100 * time.Millisecond
	// maxSyncCalls limits the concurrent calls of a session.
	maxSyncCalls = 4
)

// syncResult is the result of a call to the owner.
type syncResult struct {
	seq    uint64
	sent   time.Duration // on the agent's clock
	target string
	gone   bool // the call has reported that the worker has ended
	reply  *workflowrpc.SyncReply
	err    error
}

// syncLoop reports to the owner and carries out its orders, until the worker is gone
// and the owner knows it, or ctx ends. A change is reported immediately by a further
// call while the owner still holds an earlier one.
func (s *session) syncLoop(ctx context.Context) {
	results := make(chan syncResult, maxSyncCalls)
	calls := 0
	defer func() {
		for range calls {
			<-results
		}
	}()
	send := true
	for ctx.Err() == nil {
		if send && calls < maxSyncCalls {
			if args, ok := s.nextSyncArgs(); ok {
				calls++
				send = false
				go func() { results <- s.callOwner(ctx, args) }()
			}
		}
		select {
		case <-ctx.Done():
		case <-s.reportNow:
			send = true
		case r := <-results:
			calls--
			if s.processResult(ctx, r) {
				return
			}
			// The owner holds only the newest call. When that one ends, send the next.
			send = send || r.seq == s.lastSyncSeq()
		}
	}
}

func (s *session) lastSyncSeq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncSeq
}

// nextSyncArgs returns the arguments of the next call to the owner. It returns false
// until the worker has listed its runs once, unless the worker is gone, and while the end of
// the worker must not be reported yet.
func (s *session) nextSyncArgs() (*workflowrpc.SyncArgs, bool) {
	epoch, entries := s.agent.currentEpoch(), s.agent.currentEntriesVersion()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed && !s.gone || s.gone && s.awaitsStrayStarts() {
		return nil, false
	}
	s.syncSeq++
	w := s.worker
	w.Gone, w.EndsUnlisted = s.gone, s.completeAsOf.IsZero()
	w.Remaining = max(0, w.Remaining-time.Since(s.heartbeatAt))
	if s.silent {
		w.Silent, w.Lapsed = time.Since(s.lastAnswer), s.leasesExpired()
	}
	args := &workflowrpc.SyncArgs{
		Agent: s.agent.opts.ID, Addr: s.agent.opts.Addr, Seq: s.syncSeq, Worker: w, Epoch: epoch, Fence: s.confirmedFence,
		Ends: append([]workflowrpc.End(nil), s.pendingEnds...), Wait: syncWait, EntriesVersion: entries,
	}
	for id, r := range s.runs {
		run := workflowrpc.Run{ID: id, State: r.state, Reason: r.reason, Checkpoint: r.checkpoint, Percent: r.percent, AgeAtCrash: s.ageAtCrash(r)}
		args.Runs = append(args.Runs, run)
	}
	return args, true
}

// callOwner makes one call to the owner, or to an entry if no owner is known. It
// sleeps before it returns an error.
func (s *session) callOwner(ctx context.Context, args *workflowrpc.SyncArgs) syncResult {
	r := syncResult{seq: args.Seq, gone: args.Worker.Gone, sent: s.agent.opts.Clock(), target: s.agent.syncTarget(), reply: &workflowrpc.SyncReply{}}
	if r.target == "" {
		r.err = errors.New("no entry is known")
		s.agent.callFailed("", r.err)
		retry.Sleep(ctx, retry.Jitter(2*syncRetryDelay))
		return r
	}
	limited, cancel := context.WithTimeout(ctx, args.Wait+syncTimeout)
	defer cancel()
	r.err = s.agent.opts.Caller.Call(limited, r.target, workflowrpc.MethodSync, args, r.reply)
	if r.err != nil && ctx.Err() == nil {
		if verdict.HasCode(r.err, verdict.CodeNotOwner) {
			s.agent.applyOwnerInfo(r.target, r.reply, false)
		} else {
			s.agent.callFailed(r.target, r.err)
		}
		retry.Sleep(ctx, retry.Jitter(2*syncRetryDelay))
	}
	return r
}

// processResult carries out the orders of a reply. It reports whether the session is
// over.
func (s *session) processResult(ctx context.Context, r syncResult) bool {
	if r.err != nil || r.reply.Superseded || !s.agent.applyOwnerInfo(r.target, r.reply, true) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.seq <= s.processedSeq {
		return false
	}
	s.processedSeq = r.seq
	if s.earlier != nil {
		s.earlier.settleStrayStarts()
		s.earlier = nil
	}
	s.ownerContact = max(s.ownerContact, r.sent)
	if s.gone {
		// A call that was sent before the end does not tell the owner of it.
		return r.gone && !r.reply.ReportAgain
	}
	s.applyReply(ctx, r.reply, r.sent)
	return false
}
