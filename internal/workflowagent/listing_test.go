package workflowagent

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// TestListingOfSameInstantDoesNotEndRun guards against a second run of a task: a listing that
// was requested in the instant in which the worker confirmed the start may be older than
// the run, and does not show that it has ended (TestSimulationWithWorkerTrouble, seed 118).
func TestListingOfSameInstantDoesNotEndRun(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		confirmed := time.Now()
		for _, c := range []struct {
			name string
			sent time.Time
			want workflowrpc.RunState
		}{
			{"earlier", confirmed.Add(-1), workflowrpc.RunRunning},
			{"same instant", confirmed, workflowrpc.RunRunning},
			{"later", confirmed.Add(1), workflowrpc.RunRejected},
		} {
			s := newSession(h.agent, workflowrpc.Worker{ID: "other", Incarnation: 1}, "addr", 1)
			r := &localRun{state: workflowrpc.RunRunning, confirmedAt: confirmed}
			s.runs = map[workflow.RunID]*localRun{testRun(1): r}
			s.applyListing(Listing{}, c.sent)
			if r.state != c.want {
				t.Errorf("%s: the run is %q, want %q", c.name, r.state, c.want)
			}
		}
	})
}
