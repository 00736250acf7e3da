package workflowagent

import (
	"context"
	"errors"
	"time"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Times of the calls to the owner.
const (
	// syncWait is how long the owner waits for orders; it bounds the age of the
	// owner's contact, from which leases count.
	syncWait = 500 * time.Millisecond
	// syncTimeout limits a call beyond its wait.
	syncTimeout = 700 * time.Millisecond
	// ownerPause is the mean delay after an answer of an entry that is no owner.
	ownerPause = 100 * time.Millisecond
	// maxCalls bounds the calls of a session that are in progress.
	maxCalls = 4
)

type syncResult struct {
	seq    uint64
	sent   time.Duration // on the agent's clock
	target string
	reply  *workflowrpc.SyncReply
	err    error
}

// syncLoop reports to the owner and carries out its replies, until the worker is
// gone and the owner knows it, or ctx ends. A change is reported at once, while
// an earlier call still waits.
func (s *session) syncLoop(ctx context.Context) {
	results := make(chan syncResult, maxCalls)
	calls := 0
	defer func() {
		for range calls {
			<-results
		}
	}()
	send := true
	for ctx.Err() == nil {
		if send && calls < maxCalls {
			if args, ok := s.report(); ok {
				calls++
				send = false
				go func() { results <- s.call(ctx, args) }()
			}
		}
		select {
		case <-ctx.Done():
		case <-s.dirty:
			send = true
		case r := <-results:
			calls--
			if s.process(ctx, r) {
				return
			}
			// Only the newest call waits at the owner; the next one follows it.
			send = send || r.seq == s.lastSeq()
		}
	}
}

func (s *session) lastSeq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncSeq
}

// report returns the arguments of the next call; false while the worker has not
// listed anything, which says nothing about what runs.
func (s *session) report() (*workflowrpc.SyncArgs, bool) {
	epoch, entries := s.a.currentEpoch(), s.a.knownEntries()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed && !s.gone {
		return nil, false
	}
	s.syncSeq++
	w := s.worker
	w.Gone = s.gone
	w.Remaining = max(0, w.Remaining-time.Since(s.beatAt))
	if s.silent {
		w.Silent, w.Lapsed = time.Since(s.answered), s.lapsed()
	}
	args := &workflowrpc.SyncArgs{
		Agent: s.a.o.ID, Addr: s.a.o.Addr, Seq: s.syncSeq, Worker: w, Epoch: epoch, Fence: s.fence,
		Ends: append([]workflowrpc.End(nil), s.ends...), Wait: syncWait, EntriesVersion: entries,
	}
	for id, r := range s.runs {
		run := workflowrpc.Run{ID: id, State: r.state, Reason: r.reason, Checkpoint: r.checkpoint, Percent: r.percent}
		args.Runs = append(args.Runs, run)
	}
	return args, true
}

func (s *session) call(ctx context.Context, args *workflowrpc.SyncArgs) syncResult {
	r := syncResult{seq: args.Seq, sent: s.a.o.Clock(), target: s.a.target(), reply: &workflowrpc.SyncReply{}}
	if r.target == "" {
		r.err = errors.New("no entry is known")
		s.a.unreached("", r.err)
		retry.Sleep(ctx, retry.Jitter(2*ownerPause))
		return r
	}
	limited, cancel := context.WithTimeout(ctx, args.Wait+syncTimeout)
	defer cancel()
	r.err = s.a.o.Caller.Call(limited, r.target, workflowrpc.MethodSync, args, r.reply)
	if r.err != nil && ctx.Err() == nil {
		if verdict.HasCode(r.err, verdict.CodeNotOwner) {
			s.a.follow(r.target, r.reply, false)
		} else {
			s.a.unreached(r.target, r.err)
		}
		retry.Sleep(ctx, retry.Jitter(2*ownerPause))
	}
	return r
}

// process carries out a reply and reports whether the session is over.
func (s *session) process(ctx context.Context, r syncResult) bool {
	if r.err != nil || r.reply.Superseded || !s.a.follow(r.target, r.reply, true) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.seq <= s.processed {
		return false
	}
	s.processed = r.seq
	s.inTouch = max(s.inTouch, r.sent)
	if s.gone {
		return true
	}
	s.apply(ctx, r.reply, r.sent)
	return false
}
