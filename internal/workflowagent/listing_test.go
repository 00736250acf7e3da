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

// endRuns makes the worker end runs 1 to n of the test task as done.
func (w *fakeWorker) endRuns(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range n {
		w.end(testRun(i+1), workflow.EndDone)
	}
}

// reportedState returns the state in which a run is reported; empty if it is not.
func (h *harness) reportedState(id workflow.RunID) workflowrpc.RunState {
	for _, r := range h.owner.lastReport().Runs {
		if r.ID == id {
			return r.State
		}
	}
	return ""
}

// TestTruncatedListingRejectsNoRun guards against a second run of a task that has ended
// behind more ends than the worker lists at a time, while none can be acknowledged.
func TestTruncatedListingRejectsNoRun(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		const runs, limit = 11, 5
		h.worker.mu.Lock()
		h.worker.listLimit = limit
		h.worker.mu.Unlock()
		h.orderStarts(runs)
		time.Sleep(time.Second)
		h.worker.endRuns(runs)
		for noted := 0; noted <= runs; noted += limit {
			h.owner.mu.Lock()
			h.owner.noted = uint64(noted)
			h.owner.mu.Unlock()
			time.Sleep(3 * time.Second)
			for i := range runs {
				if state := h.reportedState(testRun(i + 1)); state == workflowrpc.RunRejected || i >= noted+limit && state != workflowrpc.RunRunning {
					t.Fatalf("%d ends acknowledged: run %d is reported as %q", noted, i+1, state)
				}
			}
		}
		ends := h.owner.lastReport().Ends
		if len(ends) != 1 || ends[0].ID != testRun(runs) {
			t.Errorf("the last ends are reported as %+v, want that of run %d", ends, runs)
		}
	})
}

// TestStartRejectedAsEndedAwaitsItsEnd guards against a second run of a task whose end the
// worker does not list yet: a restarted agent gets the order again, and the worker rejects it
// since the run has ended there. An unanswered start is the same case.
func TestStartRejectedAsEndedAwaitsItsEnd(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		withHarness(t, func(t *testing.T, h *harness) {
			const runs = 4
			h.worker.endRuns(runs)
			h.worker.mu.Lock()
			h.worker.listLimit = 2
			h.worker.stopped[testRun(runs)] = true
			if unanswered {
				h.worker.unansweredCalls = maxStartAttempts + 1
			}
			h.worker.mu.Unlock()
			h.orderStart(testRun(runs))
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				if state := h.reportedState(testRun(runs)); state == workflowrpc.RunRejected {
					t.Fatalf("unanswered %v: the run is reported as rejected before its end was listed", unanswered)
				}
			}
			h.owner.mu.Lock()
			h.owner.noted = 2
			h.owner.mu.Unlock()
			time.Sleep(2 * time.Second)
			if r := h.owner.lastReport(); len(r.Ends) != 2 || r.Ends[1].ID != testRun(runs) || h.reportedState(testRun(runs)) != "" {
				t.Errorf("unanswered %v: reported ends %+v, runs %+v; want the end of the run", unanswered, r.Ends, r.Runs)
			}
		})
	}
}

// TestEndsUnlistedIsReported guards against a new owner that takes the first listing of a
// restarted agent for complete, and starts tasks that have ended behind it.
func TestEndsUnlistedIsReported(t *testing.T) {
	withRestartedAgent(t, "10.0.0.1:80", func(w *fakeWorker) {
		w.endRuns(3)
		w.listLimit = 2
	}, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		if r := h.owner.lastReport(); !r.Worker.EndsUnlisted || len(r.Ends) != 2 {
			t.Fatalf("reported %+v with %d ends, want EndsUnlisted", r.Worker, len(r.Ends))
		}
		h.owner.mu.Lock()
		h.owner.noted = 2
		h.owner.mu.Unlock()
		time.Sleep(2 * time.Second)
		if r := h.owner.lastReport(); r.Worker.EndsUnlisted || len(r.Ends) != 1 {
			t.Errorf("reported %+v with %d ends, want all listed", r.Worker, len(r.Ends))
		}
	})
}

// TestManyStartsAreAnswered guards against starts of a wide step that wait for each other until
// their time limit ends, and are sent again and again.
func TestManyStartsAreAnswered(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		const runs = 300
		h.worker.startTime, h.worker.startTurn = 5*time.Millisecond, make(chan struct{}, 1)
		h.orderStarts(runs)
		time.Sleep(3 * time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if h.worker.starts != runs || len(h.worker.running) != runs || h.worker.lateStarts > 0 {
			t.Errorf("%d start calls for %d of %d runs, and %d that were given up", h.worker.starts, len(h.worker.running), runs, h.worker.lateStarts)
		}
	})
}

// TestRunsShareListings guards against a worker that is kept busy by listings: after the
// restart of its agent during an outage each of many runs waits for a complete one.
func TestRunsShareListings(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		const runs = 300
		h.worker.endRuns(runs)
		h.worker.mu.Lock()
		h.worker.listLimit = 2
		for i := range runs {
			h.worker.stopped[testRun(i+1)] = true
		}
		h.worker.mu.Unlock()
		h.orderStarts(runs)
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		before := h.worker.holds
		h.worker.mu.Unlock()
		time.Sleep(10 * time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if n := h.worker.holds - before; n < 10 || n > 150 {
			t.Errorf("%d listings in 10 s", n)
		}
	})
}
