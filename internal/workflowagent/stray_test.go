package workflowagent

import (
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// startBehindCut makes the agent send a start during a cut, behind which the worker starts
// anew, so that the next incarnation carries the start out.
func (h *harness) startBehindCut(t *testing.T) {
	t.Helper()
	h.setSilent(true)
	h.orderStart(testRun(1))
	time.Sleep(300 * time.Millisecond)
	h.restart()
	h.setSilent(false)
	for range 100 {
		time.Sleep(10 * time.Millisecond)
		h.worker.mu.Lock()
		running := h.worker.running[testRun(1)]
		h.worker.mu.Unlock()
		if running {
			return
		}
	}
	t.Fatal("the next incarnation has not carried out the start")
}

// TestStartOfNextIncarnationIsReported guards against a second run of a task: a start
// reached the next incarnation of its worker, and the end of the earlier one was reported
// before the run, so that the owner started the task elsewhere.
func TestStartOfNextIncarnationIsReported(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.startBehindCut(t)
		time.Sleep(3 * time.Second)
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 2, Capacity: workflow.Resources{CPUMilli: 64000, GPUs: 8}}, "addr", 1)
		time.Sleep(3 * time.Second)
		h.owner.mu.Lock()
		defer h.owner.mu.Unlock()
		gone := slices.IndexFunc(h.owner.reports, func(r workflowrpc.SyncArgs) bool { return r.Worker.Gone })
		next := slices.IndexFunc(h.owner.reports, func(r workflowrpc.SyncArgs) bool { return r.Worker.Incarnation == 2 })
		if gone < 0 || next < 0 || gone < next {
			t.Fatalf("the end of the earlier incarnation is report %d, the first one of the next is %d", gone, next)
		}
		runs, ends := h.owner.reports[next].Runs, h.owner.reports[next].Ends
		if len(runs) != 1 && len(ends) != 1 {
			t.Errorf("the first report of the next incarnation has the runs %+v and the ends %+v, want one", runs, ends)
		}
		slices.Reverse(h.owner.reports)
		last := slices.IndexFunc(h.owner.reports, func(r workflowrpc.SyncArgs) bool { return r.Worker.Incarnation == 2 })
		if r := h.owner.reports[last]; len(r.Ends) != 1 || r.Ends[0].ID != testRun(1) {
			t.Errorf("the last report is %+v, want one with the end of the run", r)
		}
	})
}

// TestEndBehindCutIsReported guards against the end of a worker that is never reported, since
// the next incarnation under its ID has ended before its first heartbeat.
func TestEndBehindCutIsReported(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.startBehindCut(t)
		h.crash()
		time.Sleep(testLease + time.Second)
		if w := h.owner.lastReport().Worker; !w.Gone || w.Incarnation != 1 {
			t.Errorf("the last report is of %+v, want the end of incarnation 1", w)
		}
	})
}

// TestNextIncarnationKeepsItsEnds guards against a second run of a task that was done: the
// agent acknowledged an end of the next incarnation by the number of an earlier one's.
func TestNextIncarnationKeepsItsEnds(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		h.worker.end(testRun(1), workflow.EndDone)
		h.worker.mu.Unlock()
		h.owner.mu.Lock()
		h.owner.noted, h.owner.startOrders = 1, nil
		h.owner.mu.Unlock()
		time.Sleep(3 * time.Second)
		h.setSilent(true)
		time.Sleep(300 * time.Millisecond)
		h.restart()
		h.worker.mu.Lock()
		h.worker.end(testRun(2), workflow.EndDone)
		h.worker.mu.Unlock()
		h.setSilent(false)
		time.Sleep(3 * time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if h.worker.acked > 0 {
			t.Errorf("ends of the next incarnation are acknowledged up to %d", h.worker.acked)
		}
	})
}
