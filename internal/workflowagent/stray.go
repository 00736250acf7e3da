package workflowagent

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// A worker may start again under the ID that it had, so that calls meant for one incarnation
// reach the next. A stray start is one that the next incarnation may have carried out: it was
// sent after the last listing of the session's incarnation, and after the last sign that no
// process listened under the ID. The session of the next incarnation takes the runs over, and
// the end of the earlier one is reported after them: otherwise the owner would start their
// tasks elsewhere while they run.

// hasStrayStarts reports whether any start may have strayed. s.mu must be held.
func (s *session) hasStrayStarts() bool {
	for _, r := range s.runs {
		if s.isStray(r) {
			return true
		}
	}
	return false
}

func (s *session) isStray(r *localRun) bool {
	return !r.startSentAt.IsZero() && r.state != workflowrpc.RunRejected && !r.startSentAt.Before(s.listedAt) && r.startSentAt.After(s.absentAt)
}

// takeStrayStarts makes s, the session of the next incarnation, take over the stray starts of
// an earlier one. It must be called before s is shared.
func (s *session) takeStrayStarts(earlier *session) {
	earlier.mu.Lock()
	defer earlier.mu.Unlock()
	s.earlier, s.strays = earlier, map[workflow.RunID]*localRun{}
	for id, r := range earlier.runs {
		if earlier.isStray(r) {
			s.strays[id] = &localRun{state: workflowrpc.RunStarting, startUnanswered: true, stopRequested: true}
		}
	}
	maps.Copy(s.runs, s.strays)
	if len(s.strays) > 0 {
		s.agent.opts.Log.Event("starts_strayed", "worker", s.id, "incarnation", s.incarnation, "before", earlier.incarnation, "runs", len(s.strays))
	}
}

// awaitsStrayStarts reports whether the end of this incarnation must not be reported yet. It
// may be once the next session has reported, or all leases on the next incarnation have
// expired that the calls of this session may have renewed. s.mu must be held.
func (s *session) awaitsStrayStarts() bool {
	return !s.straysReported && s.hasStrayStarts() && s.agent.opts.Clock() < s.goneAt+s.longestLease()
}

// longestLease is the time on the agent's clock in which all leases end, even if the worker's
// clock is as slow as allowed.
func (s *session) longestLease() time.Duration {
	return time.Duration(float64(s.agent.opts.Lease)/(1-maxClockSlowness)) + timerSlack
}

// settleStrayStarts lets the end of the incarnation be reported, since a later session has
// reported what has become of its stray starts.
func (s *session) settleStrayStarts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.straysReported {
		s.straysReported = true
		signal(s.reportNow)
	}
}

// errStartedAnew is the error of a call that the next incarnation under the same ID answered.
var errStartedAnew = fmt.Errorf("%w under the same ID", ErrOtherIncarnation)

// recordAbsence records that a call has met no process under the worker's ID: none listened,
// or one under another ID. s.mu must be held.
func (s *session) recordAbsence(err error) {
	if errors.Is(err, ErrNotListening) || errors.Is(err, ErrOtherIncarnation) && !errors.Is(err, errStartedAnew) {
		s.absentAt = time.Now()
	}
}

// markAbsent records that a process under another ID has answered a call.
func (s *session) markAbsent(err error) {
	s.mu.Lock()
	s.recordAbsence(err)
	s.mu.Unlock()
	s.markGone(err.Error())
}
