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
	if s.failedSince == 0 && !errors.Is(err, context.Canceled) {
		s.failedSince = s.agent.opts.Clock()
	}
}

// recordEnd sets how and when the worker ended. s.mu must be held.
func (s *session) recordEnd(announced bool) {
	s.endedAt = s.failedSince
	if s.endedAt == 0 {
		s.endedAt = s.agent.opts.Clock()
	}
	switch {
	case announced || s.worker.Draining:
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
