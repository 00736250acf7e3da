package workflowagent

import (
	"context"
	"errors"
	"time"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Times of orders.
const (
	// orderTimeout limits one try. The worker is on the same machine and answers
	// within a few milliseconds or not at all.
	orderTimeout = 300 * time.Millisecond
	// startWindow is how long an order to start stays valid on the worker's clock.
	// It bounds how late a worker can carry out one that it left unanswered.
	startWindow = 1500 * time.Millisecond
	// startTries limits the tries of a start; together they last no longer than a
	// gang waits for its members.
	startTries = 5
)

// apply carries out what the owner's reply to a call that was sent at a time on the
// agent's clock asks for. The lock is held.
func (s *session) apply(ctx context.Context, reply *workflowrpc.SyncReply, sent time.Duration) {
	if reply.Noted > s.noted {
		s.noted = reply.Noted
		for len(s.ends) > 0 && s.ends[0].Seq <= s.noted {
			s.ends = s.ends[1:]
		}
		signal(s.wake)
	}
	for _, id := range reply.Forget {
		if r := s.runs[id]; r != nil && r.state == workflowrpc.RunRejected {
			delete(s.runs, id)
		}
	}
	for _, id := range reply.Stop {
		r := s.runs[id]
		_, over := s.over[id]
		if r == nil && !over {
			// The order to start it never came, or went to an earlier process that may
			// have passed it on.
			r = &localRun{state: workflowrpc.RunStarting, uncertain: true, stop: true}
			s.runs[id] = r
			go s.reject(ctx, id, r, ReasonNoAnswer)
			continue
		}
		if r == nil || r.stop || r.state == workflowrpc.RunRejected {
			continue
		}
		r.stop = true
		if r.state == workflowrpc.RunRunning {
			go s.stop(ctx, id, r)
		}
	}
	for _, order := range reply.Start {
		if _, over := s.over[order.ID]; over || s.runs[order.ID] != nil {
			continue
		}
		r := &localRun{state: workflowrpc.RunStarting}
		s.runs[order.ID] = r
		go s.start(ctx, order, r, sent+s.a.o.Lease-startWindow)
	}
}

// start carries out an order to start until it expires on the agent's clock: the
// owner gives the run up a lease after the call that it answered, and this process
// may have been paused or suspended meanwhile. An order that was not answered is
// sent again for the same attempt, which starts nothing twice.
func (s *session) start(ctx context.Context, order workflowrpc.Start, r *localRun, expires time.Duration) {
	reason := ReasonNoAnswer
	for range startTries {
		s.mu.Lock()
		refuse, now := "", s.a.o.Clock()
		switch {
		case r.stop:
			refuse = ReasonNoAnswer
		case s.worker.Draining:
			refuse = ReasonDraining
		case now > expires:
			refuse = ReasonLate
		case r.state != workflowrpc.RunStarting || s.gone:
			s.mu.Unlock()
			return // listed meanwhile
		}
		call := StartCall{
			ID: order.ID, Payload: order.Payload, Checkpoint: order.Checkpoint, Ticket: order.Ticket, Fence: s.fence,
			Deadline: s.workerClock(now) + startWindow,
		}
		s.startsSent = now
		s.mu.Unlock()
		if refuse != "" {
			reason = refuse
			break
		}
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		answer, err := s.api.Start(limited, call)
		cancel()
		if errors.Is(err, ErrOtherIncarnation) {
			s.end(err.Error())
			return
		}
		s.mu.Lock()
		if err != nil {
			r.uncertain = true
			s.mu.Unlock()
			s.a.o.Log.Event("start_unanswered", "run", order.ID.String(), "job", order.ID.Task.Job, "worker", s.id, "err", err.Error())
			retry.Sleep(ctx, retry.Jitter(2*retryPause))
			continue
		}
		s.heard(answer.Clock)
		if answer.Rejected == "" {
			if r.state == workflowrpc.RunStarting {
				r.state, r.answered = workflowrpc.RunRunning, time.Now()
			}
			stop := r.stop
			s.mu.Unlock()
			signal(s.dirty)
			if stop {
				s.stop(ctx, order.ID, r)
			}
			return
		}
		s.mu.Unlock()
		reason = answer.Rejected
		if reason != ReasonLate {
			break
		}
	}
	s.reject(ctx, order.ID, r, reason)
}

// reject reports a run that did not start. While an earlier order may have been
// carried out, or still be, the run is stopped first and looked for afterwards:
// one that is there goes on until its end is listed.
func (s *session) reject(ctx context.Context, id workflow.RunID, r *localRun, reason string) {
	s.mu.Lock()
	uncertain := r.uncertain
	s.mu.Unlock()
	if uncertain && (!s.stopUntilAnswered(ctx, id) || !s.listUntilAnswered(ctx)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.state != workflowrpc.RunStarting {
		return // it ran after all, and its end is listed
	}
	s.a.o.Log.Event("start_rejected", "run", id.String(), "job", id.Task.Job, "worker", s.id, "reason", reason)
	r.state, r.reason = workflowrpc.RunRejected, reason
	s.over[id] = time.Now()
	signal(s.dirty)
}

// stop stops a run; its end is listed by the worker.
func (s *session) stop(ctx context.Context, id workflow.RunID, r *localRun) {
	s.mu.Lock()
	if r.state == workflowrpc.RunRunning {
		r.state = workflowrpc.RunStopping
	}
	s.mu.Unlock()
	s.stopUntilAnswered(ctx, id)
}

// listUntilAnswered takes over a listing that is asked for now.
func (s *session) listUntilAnswered(ctx context.Context) bool {
	for ctx.Err() == nil && !s.isOver() {
		err := s.hold(ctx, 0)
		if err == nil {
			return true
		}
		if errors.Is(err, ErrOtherIncarnation) {
			s.end(err.Error())
			return false
		}
		retry.Sleep(ctx, retry.Jitter(2*retryPause))
	}
	return false
}

func (s *session) stopUntilAnswered(ctx context.Context, id workflow.RunID) bool {
	pause := retryPause
	for ctx.Err() == nil && !s.isOver() {
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		s.mu.Lock()
		fence := s.fence
		s.mu.Unlock()
		answer, err := s.api.Stop(limited, id, fence)
		cancel()
		if err == nil && answer.Rejected == "" {
			return true
		}
		if errors.Is(err, ErrOtherIncarnation) {
			s.end(err.Error())
			return false
		}
		if pause == retryPause {
			s.a.o.Log.Event("stop_unanswered", "run", id.String(), "job", id.Task.Job, "worker", s.id, "reason", answer.Rejected)
		}
		retry.Sleep(ctx, retry.Jitter(2*pause))
		pause = min(2*pause, maxRetryPause)
	}
	return false
}
