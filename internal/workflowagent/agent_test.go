package workflowagent

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Guards against tasks that stay assigned forever to a worker that died while its
// agent lives. Seen as a lost task (LOST) in wusta-recell mix, seed 28533931903.
func TestSilentWorkerIsReportedWithExpiredLeases(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		h.worker.silent = true
		lease := h.worker.lease
		left := lease - h.worker.clock()
		h.worker.mu.Unlock()
		time.Sleep(left - 500*time.Millisecond)
		if h.owner.lastReport().Worker.Lapsed {
			t.Fatal("leases are reported as expired before they expire on the worker's clock")
		}
		time.Sleep(4 * time.Second)
		if w := h.owner.lastReport().Worker; !w.Lapsed || w.Silent == 0 {
			t.Fatalf("silent worker is reported as %+v", w)
		}
	})
}

// Guards against tasks that wait for the end of leases although their worker has
// crashed on a machine that is up. Seen in andrade-sleeves-grown scale-1, seed 1.
func TestCrashedWorkerIsGoneBeforeLeasesExpire(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		h.worker.crashed = true
		h.worker.mu.Unlock()
		time.Sleep(2*goneAfterRefused + holdWait)
		if w := h.owner.lastReport().Worker; !w.Gone {
			t.Fatalf("the crashed worker is reported as %+v", w)
		}
	})
}

// Guards against a worker that is reported as gone while it only restarts its
// listener.
func TestBriefConnectionRefusalKeepsWorker(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		for range 20 {
			h.worker.mu.Lock()
			h.worker.crashed = true
			h.worker.mu.Unlock()
			time.Sleep(goneAfterRefused * 2 / 3)
			h.worker.mu.Lock()
			h.worker.crashed = false
			h.worker.mu.Unlock()
			time.Sleep(goneAfterRefused)
		}
		if w := h.owner.lastReport().Worker; w.Gone {
			t.Fatal("the worker is reported as gone")
		}
	})
}

// Guards against a start that is given up, or carried out a second time for the same
// attempt, when the worker leaves calls unanswered.
func TestUnansweredStartIsRepeated(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.worker.mu.Lock()
		h.worker.unansweredCalls = 2
		h.worker.mu.Unlock()
		h.orderStart(testRun(1))
		time.Sleep(2 * time.Second)
		runs := h.owner.lastReport().Runs
		if len(runs) != 1 || runs[0].State != workflowrpc.RunRunning {
			t.Fatalf("reported %+v, want the run", runs)
		}
	})
}

// Guards against a run that is reported as rejected and starts afterwards, because
// the worker carries out an earlier, unanswered call late. The run must be stopped
// before it is reported as rejected.
func TestRejectedStartIsStoppedFirst(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.worker.mu.Lock()
		h.worker.unansweredCalls, h.worker.rejectReason = 1, ReasonNoCapacity
		h.worker.mu.Unlock()
		h.orderStart(testRun(1))
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			if runs := h.owner.lastReport().Runs; len(runs) == 1 && runs[0].State == workflowrpc.RunRejected {
				break
			}
		}
		if runs := h.owner.lastReport().Runs; len(runs) != 1 || runs[0].State != workflowrpc.RunRejected {
			t.Fatalf("reported %+v, want a rejected run", runs)
		}
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if !h.worker.stopped[testRun(1)] {
			t.Fatal("the worker can still start the run that was reported as rejected")
		}
	})
}

// Guards against a run that is reported as rejected while it still runs: its start
// was carried out without an answer, the next call was rejected, and the run goes on
// for a while after its stop. Seen as a task that ran twice (TWICE) in
// andrade-sleeves-grown trouble-3, seed 718669109669.
func TestRunningRunIsNotReportedAsRejected(t *testing.T) {
	stopped := 0
	for phase := range 10 { // of the start relative to the listings; one may show the run before the next call
		withHarness(t, func(t *testing.T, h *harness) {
			time.Sleep(time.Duration(phase) * 100 * time.Millisecond)
			h.worker.mu.Lock()
			h.worker.lostStartReplies, h.worker.rejectReason, h.worker.stopDelay = 1, ReasonUnhealthy, 400*time.Millisecond
			h.worker.mu.Unlock()
			h.orderStart(testRun(1))
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				seen := h.owner.lastReport()
				h.worker.mu.Lock()
				running := h.worker.running[testRun(1)]
				h.worker.mu.Unlock()
				for _, rep := range seen.Runs {
					if rep.State == workflowrpc.RunRejected && running {
						t.Fatalf("phase %d: a run that still runs is reported as rejected", phase)
					}
				}
			}
			if ends := h.owner.lastReport().Ends; len(ends) == 1 && ends[0].Kind == workflow.EndStopped {
				stopped++
			}
		})
	}
	if stopped == 0 {
		t.Error("no phase had a run that was stopped")
	}
}

// An order to start a run must have no effect if it arrives after the order to stop
// the run.
func TestStopOfUnknownRunPreventsItsStart(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.owner.mu.Lock()
		h.owner.stopOrders = []workflow.RunID{testRun(1)}
		h.owner.mu.Unlock()
		time.Sleep(time.Second)
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if !h.worker.stopped[testRun(1)] || h.worker.running[testRun(1)] {
			t.Fatal("a run was started after it was ordered to stop")
		}
	})
}

// Guards against leases that go on after contact with the owner is lost. The owner
// starts the tasks elsewhere once they must have expired.
func TestLeaseEndsAfterOwnerIsLost(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.owner.mu.Lock()
		h.owner.down = true
		h.owner.mu.Unlock()
		lost := time.Now()
		time.Sleep(3 * time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		end := lost.Add(h.worker.lease - h.worker.clock() + time.Since(lost))
		if after := end.Sub(lost); after > testLease || after < testLease/2 {
			t.Fatalf("the lease ends %v after the owner was lost, want up to %v", after, testLease)
		}
	})
}

// Guards against a start by an agent that was paused for about the length of the
// lease after it received the order. By then the owner has started the run
// elsewhere.
func TestPausedAgentStartsNothing(t *testing.T) {
	for pause, want := range map[time.Duration]int{testLease - startValidity - 100*time.Millisecond: 1, testLease + time.Second: 0} {
		withHarness(t, func(t *testing.T, h *harness) {
			h.owner.mu.Lock()
			h.owner.replyDelay = pause
			h.owner.mu.Unlock()
			h.orderStart(testRun(1))
			time.Sleep(pause / 2)
			h.owner.mu.Lock()
			h.owner.replyDelay = 0
			h.owner.mu.Unlock()
			time.Sleep(pause/2 + 700*time.Millisecond)
			h.worker.mu.Lock()
			defer h.worker.mu.Unlock()
			if got := len(h.worker.running); got != want {
				t.Errorf("%d runs begin after a pause of %v, want %d", got, pause, want)
			}
		})
	}
}

// Time in which the machine is suspended must count. The clock of time.Now does not
// advance during a suspension; still, orders from before it must expire, and leases
// must count from before it.
func TestSuspendedTimeCountsForLeases(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		h.owner.mu.Lock()
		h.owner.replyDelay = 100 * time.Millisecond
		h.owner.mu.Unlock()
		time.Sleep(80 * time.Millisecond)
		h.suspend(testLease - time.Second)
		h.owner.mu.Lock()
		h.owner.down = true
		h.owner.mu.Unlock()
		time.Sleep(3 * time.Second) // the worker answers, the owner does not
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if h.worker.starts > 0 {
			t.Error("an order from before the suspension was carried out")
		}
		if left := h.worker.lease - h.worker.clock(); left > 0 {
			t.Errorf("leases last %v more; for the owner they have expired", left)
		}
	})
}

// Guards against the start of a run on a draining worker.
func TestDrainingWorkerStartsNothing(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if h.worker.starts > 0 {
			t.Fatal("a draining worker was told to start a run")
		}
	})
}

// Guards against a delayed heartbeat that replaces a newer incarnation of a worker
// or revokes its draining state.
func TestLateHeartbeatsAreIgnored(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 3)
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1}, "addr", 2)
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 0}, "addr", 9)
		time.Sleep(time.Second)
		if w := h.owner.lastReport().Worker; !w.Draining || w.Incarnation != 1 {
			t.Fatalf("reported %+v", w)
		}
	})
}

// Guards against a worker that is reported to a new owner as fenced while it still
// accepts orders of an earlier owner.
func TestWorkerIsFencedBeforeItIsReported(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.owner.mu.Lock()
		h.owner.epoch = 7
		h.owner.mu.Unlock()
		time.Sleep(2 * time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if got := h.owner.lastReport().Fence; got != 7 || h.worker.fence != 7 {
			t.Fatalf("reported fence %d, the worker has %d, want 7", got, h.worker.fence)
		}
	})
}
