package workflowagent

import (
	"context"
	"errors"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// recordFailure records that a call to the worker has failed. The first failure since the
// last answer is taken as the end of the worker if it turns out to have ended. s.mu must
// be held.
func (s *session) recordFailure(err error) {
	s.recordAbsence(err)
	if s.failedSince == 0 && !errors.Is(err, context.Canceled) {
		s.failedSince = s.agent.opts.Clock()
	}
}

// recordEnd sets how and when the worker ended. s.mu must be held.
func (s *session) recordEnd() {
	s.endedAt = s.failedSince
	if s.endedAt == 0 {
		s.endedAt = s.agent.opts.Clock()
	}
	switch {
	case s.worker.Draining, s.worker.Unconfirmed && s.leftRecently():
		// A worker drains before it leaves. The leave alone may be an earlier incarnation's.
		s.worker.End = workflowrpc.WorkerLeft
	case s.listed:
		s.worker.End = workflowrpc.WorkerCrashed
	default:
		s.worker.End = workflowrpc.WorkerVanished
	}
}

// ageAtCrash returns how long before the crash of the worker a run may have begun, and 0 if
// the worker has not crashed or cannot have begun the run. s.mu must be held.
func (s *session) ageAtCrash(r *localRun) time.Duration {
	if s.worker.End != workflowrpc.WorkerCrashed || r.sentAt == 0 || r.sentAt > s.endedAt || r.state == workflowrpc.RunRejected {
		return 0
	}
	return max(s.endedAt-r.sentAt, 1)
}

// endPollInterval is the interval at which AwaitReportedEnds looks at the sessions.
const endPollInterval = 20 * time.Millisecond

// AwaitReportedEnds waits until the owner has been told of all workers that have ended, and
// until it is clear of each worker that has just left a call unanswered whether it has. An
// agent that is about to be replaced calls it, since the next process does not know what
// ran on them. It returns at once if there are none, and at the latest when ctx ends.
func (a *Agent) AwaitReportedEnds(ctx context.Context) {
	ticker := time.NewTicker(endPollInterval)
	defer ticker.Stop()
	for a.hasUnreportedEnd() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			a.opts.Log.Event("ends_not_reported", "err", ctx.Err().Error())
			return
		}
	}
}

// hasUnreportedEnd reports whether a session is of a worker that has ended, or that may
// have.
func (a *Agent) hasUnreportedEnd() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		if s.isEnding() {
			return true
		}
	}
	return false
}

// isEnding reports whether the worker has ended, has just left a call unanswered, or has
// not answered since a leave.
func (s *session) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone || s.failedSince != 0 && !s.silent || s.leftRecently() && s.lastClockAt <= s.leaveAt
}
