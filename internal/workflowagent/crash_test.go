package workflowagent

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// ageAtCrash returns the reported age of a run, and false if the report does not have the
// run.
func (h *harness) ageAtCrash(id workflow.RunID) (time.Duration, bool) {
	for _, r := range h.owner.lastReport().Runs {
		if r.ID == id {
			return r.AgeAtCrash, true
		}
	}
	return 0, false
}

// crash makes the worker's process end, and waits until the agent has reported it.
func (h *harness) crash() {
	h.worker.mu.Lock()
	h.worker.crashed = true
	h.worker.mu.Unlock()
	time.Sleep(2 * holdWait)
}

// TestCrashReportHasAgesOfRuns guards against crash reports that do not tell a run which
// had just begun from one that had worked on the worker for seconds.
func TestCrashReportHasAgesOfRuns(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(5 * time.Second)
		h.crash()
		if w := h.owner.lastReport().Worker; !w.Gone || w.End != workflowrpc.WorkerCrashed {
			t.Fatalf("reported worker %+v, want one that has crashed", w)
		}
		if age, ok := h.ageAtCrash(testRun(1)); !ok || age < 4*time.Second || age > 7*time.Second {
			t.Errorf("reported age %v, %v, want about 5 s", age, ok)
		}
	})
}

// TestRunOrderedAfterCrashHasNoAge guards against blaming a run for a crash that came
// before it: the owner orders starts until it learns of the crash.
func TestRunOrderedAfterCrashHasNoAge(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.worker.mu.Lock()
		h.worker.crashed = true
		h.worker.mu.Unlock()
		h.orderStart(testRun(1))
		time.Sleep(2 * holdWait)
		if age, ok := h.ageAtCrash(testRun(1)); !ok || age != 0 {
			t.Errorf("reported age %v, %v, want none", age, ok)
		}
	})
}

// TestUnansweredStartBeforeCrashHasAge guards against a start that crashes the worker
// before it answers, and so looks like one that never reached it.
func TestUnansweredStartBeforeCrashHasAge(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.worker.mu.Lock()
		h.worker.lostStartReplies = 1
		h.worker.mu.Unlock()
		h.orderStart(testRun(1))
		time.Sleep(60 * time.Millisecond)
		h.crash()
		if age, ok := h.ageAtCrash(testRun(1)); !ok || age == 0 {
			t.Errorf("reported age %v, %v, want one above 0", age, ok)
		}
	})
}

// TestAnnouncedEndIsNoCrash guards against blaming the tasks of a worker that leaves.
func TestAnnouncedEndIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(h *harness)
	}{
		{"left", func(h *harness) {
			h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
			h.agent.WorkerLeft("w")
			h.crash() // its process ends once the leave is confirmed
		}},
		{"ended while draining", func(h *harness) {
			h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
			h.crash()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				h.orderStart(testRun(1))
				time.Sleep(200 * time.Millisecond)
				c.end(h)
				time.Sleep(100 * time.Millisecond)
				if w := h.owner.lastReport().Worker; !w.Gone || w.End != workflowrpc.WorkerLeft {
					t.Errorf("reported worker %+v, want one that has left", w)
				}
				if age, _ := h.ageAtCrash(testRun(1)); age != 0 {
					t.Errorf("reported age %v, want none", age)
				}
			})
		})
	}
}

// TestCrashIsReportedUntilOwnerHasStoredIt guards against a crash that is lost with the
// owner that learned of it: the next owner has to get the report as well.
func TestCrashIsReportedUntilOwnerHasStoredIt(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(200 * time.Millisecond)
		h.owner.mu.Lock()
		h.owner.reportAgain = true
		h.owner.mu.Unlock()
		h.crash()
		h.owner.mu.Lock()
		h.owner.epoch, h.owner.lastSync = 4, workflowrpc.SyncArgs{} // another owner
		h.owner.mu.Unlock()
		time.Sleep(time.Second)
		if age, ok := h.ageAtCrash(testRun(1)); !ok || age == 0 || !h.owner.lastReport().Worker.Gone {
			t.Errorf("the next owner got the report %+v, want that of the crash", h.owner.lastReport())
		}
		h.owner.mu.Lock()
		h.owner.reportAgain = false
		h.owner.mu.Unlock()
		time.Sleep(time.Second)
		last := h.owner.lastReport().Seq
		time.Sleep(2 * time.Second)
		if h.owner.lastReport().Seq != last {
			t.Error("the agent reports the crash for ever")
		}
	})
}

// TestReplyToEarlierReportDoesNotEndSession guards against the end of a worker that is never
// reported, because the reply to a report from before it arrives first.
func TestReplyToEarlierReportDoesNotEndSession(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		s := newSession(h.agent, workflowrpc.Worker{ID: "other", Incarnation: 1}, "addr", 1)
		s.markGone("a test")
		reply := func(seq uint64, gone bool) bool {
			return s.processResult(t.Context(), syncResult{seq: seq, target: "owner", gone: gone, reply: &workflowrpc.SyncReply{Epoch: 3}})
		}
		if reply(1, false) {
			t.Error("the session ends although the owner has not been told of the end")
		}
		if !reply(2, true) {
			t.Error("the session goes on although the owner has been told of the end")
		}
	})
}
