package workflowagent

import (
	"context"
	"errors"
	"time"

	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Limits of carrying out orders of the owner.
const (
	// orderTimeout limits one call. The worker is on the same machine and answers
	// within a few milliseconds or not at all.
	orderTimeout = 300 * time.Millisecond
	// startValidity is how long a start call is valid on the worker's clock. It
	// limits how late a worker can carry out a call that it has not answered.
	startValidity = 1500 * time.Millisecond
	// maxStartAttempts limits the calls for one start. Together they last no longer
	// than a gang waits for its members.
	maxStartAttempts = 5
	// maxStartCalls limits the start calls to a worker at a time. More would wait for a
	// connection, and their time limit would end meanwhile.
	maxStartCalls = 16
)

// applyReply carries out the orders in the owner's reply to a call that was sent at
// the given time on the agent's clock. s.mu must be held.
func (s *session) applyReply(ctx context.Context, reply *workflowrpc.SyncReply, sent time.Duration) {
	if reply.Noted > s.ackedEndSeq {
		s.ackedEndSeq = reply.Noted
		for len(s.pendingEnds) > 0 && s.pendingEnds[0].Seq <= s.ackedEndSeq {
			s.pendingEnds = s.pendingEnds[1:]
		}
		signal(s.holdNow)
	}
	for _, id := range reply.Forget {
		if r := s.runs[id]; r != nil && r.state == workflowrpc.RunRejected {
			delete(s.runs, id)
		}
	}
	for _, id := range reply.Stop {
		r := s.runs[id]
		_, ended := s.endedRuns[id]
		if r == nil && !ended {
			// The order to start the run has not arrived, or it went to an earlier
			// process of the agent, which may have passed it on to the worker.
			r = &localRun{state: workflowrpc.RunStarting, startUnanswered: true, stopRequested: true}
			s.runs[id] = r
			go s.rejectRun(ctx, id, r, ReasonNoAnswer)
			continue
		}
		if r == nil || r.stopRequested || r.state == workflowrpc.RunRejected {
			continue
		}
		r.stopRequested = true
		if r.state == workflowrpc.RunRunning {
			go s.stopRun(ctx, id, r)
		}
	}
	if s.zoneEvacuated != reply.ZoneEvacuated {
		s.zoneEvacuated = reply.ZoneEvacuated
		s.agent.opts.Log.Event("zone_evacuated", "worker", s.id, "zone", s.worker.Zone, "evacuated", s.zoneEvacuated, "runs", len(s.runs))
	}
	limits := orderLimits{expires: sent + s.agent.opts.Lease - startValidity}
	if reply.StartWithin > 0 {
		limits.permitted = sent + reply.StartWithin
		limits.expires = min(limits.expires, limits.permitted)
	}
	for _, order := range reply.Start {
		if _, ended := s.endedRuns[order.ID]; ended || s.runs[order.ID] != nil {
			continue
		}
		r := &localRun{state: workflowrpc.RunStarting}
		s.runs[order.ID] = r
		go s.startRun(ctx, order, r, limits)
	}
}

// orderLimits are times on the agent's clock that limit the calls for the starts of a reply.
type orderLimits struct {
	// expires is the time after which no call is made.
	expires time.Duration
	// permitted is the time until which the owner's view of the evacuated zones permits calls;
	// 0 if it does not limit them.
	permitted time.Duration
}

// deadline returns the deadline of a start call that is made now, on the worker's clock, and
// whether the permission shortens it. A call that is late on its way must not be carried out.
// s.mu must be held.
func (s *session) deadline(limits orderLimits, now time.Duration) (deadline time.Duration, shortened bool) {
	deadline = s.workerClock(now) + startValidity
	if limits.permitted == 0 {
		return deadline, false
	}
	limit := s.workerClock(limits.permitted) + evacuation.CallMargin
	return min(deadline, limit), limit < deadline
}

// startRun carries out an order to start a run until the order expires on the agent's
// clock. It expires because the owner assigns the run elsewhere one lease after the
// call that it replied to, and this process may have been paused or suspended
// meanwhile. A call without an answer is repeated; the worker does not start the
// same attempt twice.
func (s *session) startRun(ctx context.Context, order workflowrpc.Start, r *localRun, limits orderLimits) {
	reason := ReasonNoAnswer
	for range maxStartAttempts {
		sent := s.sendStart(ctx, order, r, limits)
		if sent.settled {
			return
		}
		if sent.refused != "" {
			reason = sent.refused
			break
		}
		answer, err := sent.answer, sent.err
		if errors.Is(err, ErrOtherIncarnation) {
			s.markAbsent(err)
			return
		}
		s.mu.Lock()
		if err != nil {
			s.recordFailure(err)
			if sent.first && errors.Is(err, ErrNotListening) {
				r.sentAt = 0 // the call has not reached the worker
			}
			r.startUnanswered = true
			s.mu.Unlock()
			s.agent.opts.Log.Event("start_unanswered", "run", order.ID.String(), "job", order.ID.Task.Job, "worker", s.id, "err", err.Error())
			retry.Sleep(ctx, retry.Jitter(2*retryDelay))
			continue
		}
		s.recordAnswer(answer.Clock)
		if answer.Rejected == "" {
			if r.state == workflowrpc.RunStarting {
				r.state, r.confirmedAt = workflowrpc.RunRunning, time.Now()
			}
			stop := r.stopRequested
			s.mu.Unlock()
			signal(s.reportNow)
			if sent.shortLease && !stop {
				// The next regular renewal may come too late. A failure is recorded there.
				_ = s.hold(ctx, 0)
			}
			if stop {
				s.stopRun(ctx, order.ID, r)
			}
			return
		}
		s.mu.Unlock()
		reason = answer.Rejected
		if reason != ReasonDeadlinePassed {
			break
		}
	}
	s.rejectRun(ctx, order.ID, r, reason)
}

// sentStart is the outcome of sendStart.
type sentStart struct {
	settled bool   // no call is needed: a listing has shown the run, the worker is gone, or ctx has ended
	refused string // why the agent itself does not start the run; empty if it sent a call
	first   bool   // the call was the first one for this run
	// shortLease says that the first lease of the run is shorter than startValidity, so that it
	// has to be renewed at once.
	shortLease bool
	answer     Answer
	err        error
}

// sendStart makes one start call, once less than maxStartCalls are in progress.
func (s *session) sendStart(ctx context.Context, order workflowrpc.Start, r *localRun, limits orderLimits) sentStart {
	select {
	case s.startCalls <- struct{}{}:
	case <-ctx.Done():
		return sentStart{settled: true}
	}
	defer func() { <-s.startCalls }()
	s.mu.Lock()
	now := s.agent.opts.Clock()
	var out sentStart
	switch {
	case r.stopRequested:
		out.refused = ReasonNoAnswer
	case s.worker.Draining:
		out.refused = ReasonDraining
	case s.zoneEvacuated:
		out.refused = workflowrpc.ReasonEvacuated
	case now > limits.expires:
		out.refused = ReasonDeadlinePassed
	case r.state != workflowrpc.RunStarting || s.gone:
		out.settled = true
	}
	if out.refused != "" || out.settled {
		s.mu.Unlock()
		return out
	}
	call := StartCall{
		ID: order.ID, Payload: order.Payload, Checkpoint: order.Checkpoint, Ticket: order.Ticket, Fence: s.confirmedFence,
	}
	call.Deadline, out.shortLease = s.deadline(limits, now)
	s.lastStartSent, r.startSentAt = now, time.Now()
	if out.first = r.sentAt == 0; out.first {
		r.sentAt = now
	}
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	out.answer, out.err = s.api.Start(limited, call)
	return out
}

// rejectRun records that a run did not start, to be reported as rejected. If a start
// call had no answer, the worker may have started the run or may still do so: the
// run is then stopped first. Then, and if the worker rejected the start because the run has
// ended there, a listing of all ends is requested. If a listing has the run or its end, the
// run is not rejected.
func (s *session) rejectRun(ctx context.Context, id workflow.RunID, r *localRun, reason string) {
	s.mu.Lock()
	uncertain := r.startUnanswered
	s.mu.Unlock()
	if uncertain && !s.stopUntilAnswered(ctx, id) {
		return
	}
	if (uncertain || reason == ReasonEnded) && !s.listUntilComplete(ctx, id, r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isStarting(id, r) {
		return
	}
	s.agent.opts.Log.Event("start_rejected", "run", id.String(), "job", id.Task.Job, "worker", s.id, "reason", reason)
	r.state, r.reason = workflowrpc.RunRejected, reason
	s.endedRuns[id] = time.Now()
	signal(s.reportNow)
}

// isStarting reports whether no listing has shown the run or its end. s.mu must be held.
func (s *session) isStarting(id workflow.RunID, r *localRun) bool {
	return s.runs[id] == r && r.state == workflowrpc.RunStarting
}

// stopRun stops a run. The worker lists its end.
func (s *session) stopRun(ctx context.Context, id workflow.RunID, r *localRun) {
	s.mu.Lock()
	if r.state == workflowrpc.RunRunning {
		r.state = workflowrpc.RunStopping
	}
	s.mu.Unlock()
	s.stopUntilAnswered(ctx, id)
}

// listUntilComplete requests listings until one, requested after this call began, has all
// ends that the worker keeps, or one has shown the run or its end. It returns false if the
// worker is gone or ctx ends.
func (s *session) listUntilComplete(ctx context.Context, id workflow.RunID, r *localRun) bool {
	return s.listUntil(ctx, func(began time.Time) bool { return s.completeAsOf.After(began) || !s.isStarting(id, r) })
}

// leaveListTimeout limits the time for which the confirmation of a leave waits for a listing. A
// leave that waits longer than 1 s counts as late.
const leaveListTimeout = 700 * time.Millisecond

// listBeforeLeave requests listings until one, requested after this call began, has all ends
// that the worker keeps.
func (s *session) listBeforeLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveListTimeout)
	defer cancel()
	s.mu.Lock()
	s.leavesPending++
	s.mu.Unlock()
	listed := s.listUntil(ctx, func(began time.Time) bool { return s.completeAsOf.After(began) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavesPending--
	if s.leaveAt != 0 {
		s.leaveAt = s.agent.opts.Clock() // the worker goes on until it has the confirmation
	}
	if !listed {
		s.agent.opts.Log.Event("worker_leave_unlisted", "worker", s.id, "incarnation", s.incarnation, "gone", s.gone)
	}
}

// listUntil requests listings until done returns true for the time at which this call began. It
// returns false if the worker is gone or ctx ends. One request at a time serves all callers.
// done is called with s.mu held.
func (s *session) listUntil(ctx context.Context, done func(began time.Time) bool) bool {
	began := time.Now()
	for ctx.Err() == nil && !s.isGone() {
		s.mu.Lock()
		delay := time.Until(s.listedAt.Add(s.relistPause()))
		s.mu.Unlock()
		if delay <= 0 && s.listing.TryLock() {
			err := s.hold(ctx, 0)
			s.listing.Unlock()
			if errors.Is(err, ErrOtherIncarnation) {
				s.markGone(err.Error())
				return false
			}
			if err != nil {
				delay = retry.Jitter(2 * retryDelay)
			}
		}
		s.mu.Lock()
		ended := done(began)
		s.mu.Unlock()
		if ended {
			return true
		}
		retry.Sleep(ctx, max(delay, minRelistPause))
	}
	return false
}

// relistPause is the time between two requests of listUntilComplete. s.mu must be held.
func (s *session) relistPause() time.Duration {
	if s.completeAsOf.Equal(s.listedAt) {
		return minRelistPause
	}
	return relistDelay // the next ends are listed once these are acknowledged
}

// stopUntilAnswered calls the worker's Stop until the worker accepts it. It returns
// false if the worker is gone or ctx ends.
func (s *session) stopUntilAnswered(ctx context.Context, id workflow.RunID) bool {
	delay := retryDelay
	for ctx.Err() == nil && !s.isGone() {
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		s.mu.Lock()
		fence := s.confirmedFence
		s.mu.Unlock()
		answer, err := s.api.Stop(limited, id, fence)
		cancel()
		if err == nil && answer.Rejected == "" {
			return true
		}
		if errors.Is(err, ErrOtherIncarnation) {
			s.markAbsent(err)
			return false
		}
		if delay == retryDelay {
			s.agent.opts.Log.Event("stop_unanswered", "run", id.String(), "job", id.Task.Job, "worker", s.id, "reason", answer.Rejected)
		}
		retry.Sleep(ctx, retry.Jitter(2*delay))
		delay = min(2*delay, maxRetryDelay)
	}
	return false
}
