package workflowagent

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// TestLateLeaveDoesNotEndRunningWorker guards against a second run of a task: a leave that an
// earlier incarnation sent arrives while the present one runs the task, drains or not.
func TestLateLeaveDoesNotEndRunningWorker(t *testing.T) {
	for _, draining := range []bool{false, true} {
		withHarness(t, func(t *testing.T, h *harness) {
			h.orderStart(testRun(1))
			time.Sleep(time.Second)
			if draining {
				h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
				time.Sleep(100 * time.Millisecond)
			}
			h.agent.WorkerLeft("w")
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				if r := h.owner.lastReport(); r.Worker.Gone || len(r.Runs) != 1 || r.Runs[0].State != workflowrpc.RunRunning {
					t.Fatalf("draining %v: after the leave of an earlier incarnation the report is %+v, runs %+v", draining, r.Worker, r.Runs)
				}
			}
		})
	}
}

// TestLeftWorkerIsReportedAtOnce guards against tasks that wait for the end of the leases of
// a worker that has left.
func TestLeftWorkerIsReportedAtOnce(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
		h.agent.WorkerLeft("w")
		h.worker.exit() // once the leave is confirmed
		time.Sleep(500 * time.Millisecond)
		if w := h.owner.lastReport().Worker; !w.Gone || w.End != workflowrpc.WorkerLeft {
			t.Errorf("reported worker %+v, want one that has left", w)
		}
	})
}

// TestLateLeaveDoesNotExcuseCrash guards against a task that crashes worker after worker: a
// leave of an earlier incarnation made the crash of the present one look like a planned end.
func TestLateLeaveDoesNotExcuseCrash(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.agent.WorkerLeft("w")
		h.crash()
		if w := h.owner.lastReport().Worker; !w.Gone || w.End != workflowrpc.WorkerCrashed {
			t.Errorf("reported worker %+v, want one that has crashed", w)
		}
	})
}

// TestEndBeforeLeaveIsReported guards against a second run of a task that was done just before
// its worker left: the listing with its end is still on its way when the leave arrives.
func TestEndBeforeLeaveIsReported(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(holdWait + holdWait/2)
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
		h.worker.mu.Lock()
		h.worker.end(testRun(1), workflow.EndDone)
		h.worker.crashed = true // calls in progress are still answered
		h.worker.mu.Unlock()
		h.agent.WorkerLeft("w")
		time.Sleep(2 * holdWait)
		r := h.owner.lastReport()
		if !r.Worker.Gone || len(r.Ends) != 1 || r.Ends[0].ID != testRun(1) {
			t.Errorf("reported worker %+v with ends %+v, want one that has left, and the end", r.Worker, r.Ends)
		}
	})
}

// TestLeaveIsConfirmedAfterListing guards against a second run of a task that is done when its
// worker leaves: the worker ends as soon as its leave is confirmed, and the agent, which waits
// between two listings, has not seen the end yet.
func TestLeaveIsConfirmedAfterListing(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		other := workflow.RunID{Task: workflow.TaskID{Job: testRun(1).Task.Job, Index: 1}, Attempt: 1}
		h.orderStart(other)
		time.Sleep(time.Second)
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
		h.worker.mu.Lock()
		h.worker.end(other, workflow.EndDone) // the owner has not acknowledged it
		h.worker.mu.Unlock()
		time.Sleep(holdWait + relistDelay/2)
		h.worker.mu.Lock()
		h.worker.end(testRun(1), workflow.EndDone)
		h.worker.mu.Unlock()
		h.agent.ConfirmLeave(t.Context(), "w")
		h.worker.exit()
		time.Sleep(2 * holdWait)
		r := h.owner.lastReport()
		if !r.Worker.Gone || r.Worker.End != workflowrpc.WorkerLeft || len(r.Ends) != 2 {
			t.Errorf("reported worker %+v with ends %+v, want one that has left, and two ends", r.Worker, r.Ends)
		}
	})
}

// TestLeaveOfSilentWorkerIsConfirmed guards against a leave that is never confirmed, since the
// worker does not answer.
func TestLeaveOfSilentWorkerIsConfirmed(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.setSilent(true)
		began := time.Now()
		h.agent.ConfirmLeave(t.Context(), "w")
		if took := time.Since(began); took > time.Second {
			t.Errorf("the leave was confirmed after %v, want 1s at most", took)
		}
	})
}

// TestSlowListingDoesNotMakeLeaveLate guards against tasks that wait for the end of a worker to
// be certain: its ends take several listings, so that it answers long after its leave, which must
// not count as that of an earlier incarnation.
func TestSlowListingDoesNotMakeLeaveLate(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.worker.mu.Lock()
		h.worker.listLimit = 1
		for i := range 4 {
			h.worker.end(workflow.RunID{Task: workflow.TaskID{Job: testRun(1).Task.Job, Index: i}, Attempt: 1}, workflow.EndDone)
		}
		h.worker.mu.Unlock()
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
		time.Sleep(holdWait)
		go func() {
			for i := range 4 {
				time.Sleep(150 * time.Millisecond)
				h.owner.mu.Lock()
				h.owner.noted = uint64(i + 1)
				h.owner.mu.Unlock()
			}
		}()
		h.agent.ConfirmLeave(t.Context(), "w")
		session := h.agent.session("w")
		session.mu.Lock()
		defer session.mu.Unlock()
		if !session.leftRecently() {
			t.Error("the leave counts as a late one when it is confirmed")
		}
	})
}
