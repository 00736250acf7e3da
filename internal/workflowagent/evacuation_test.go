package workflowagent

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// setZone sets what the owner says of the zone and of the time for starts.
func (h *harness) setZone(evacuated bool, startWithin time.Duration) {
	h.owner.mu.Lock()
	defer h.owner.mu.Unlock()
	h.owner.zoneEvacuated, h.owner.startWithin = evacuated, startWithin
}

// arrived returns the start calls that the worker has received.
func (h *harness) arrived() []arrivedStart {
	h.worker.mu.Lock()
	defer h.worker.mu.Unlock()
	return h.worker.startCalls
}

// Guards against an agent that calls its worker later than the margin of the limit allows for.
func TestCallFitsMargin(t *testing.T) {
	if orderTimeout > evacuation.CallMargin {
		t.Errorf("a call lasts up to %v, the margin is %v", orderTimeout, evacuation.CallMargin)
	}
}

// Guards against a start after the time that the owner has permitted, because its process was
// paused, its machine suspended or the reply late: the limit counts from when the agent sent its
// call.
func TestLateOrderExpires(t *testing.T) {
	const within = 2 * time.Second
	for name, delay := range map[string]func(h *harness){
		"reply late": func(h *harness) { h.owner.replyDelay = within + 100*time.Millisecond },
		"machine suspended": func(h *harness) {
			h.owner.replyDelay = time.Second
			time.AfterFunc(600*time.Millisecond, func() { h.suspend(within) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				h.owner.mu.Lock()
				delay(h)
				h.owner.mu.Unlock()
				h.setZone(false, within)
				h.orderStart(testRun(1))
				time.Sleep(within + time.Second)
				if n := len(h.arrived()); n > 0 {
					t.Errorf("%d start calls after the order has expired", n)
				}
			})
		})
	}
}

// Guards against a repeated call for a start that is made after the permitted time, and against
// one that the worker carries out after it.
func TestUnansweredStartEndsWithPermission(t *testing.T) {
	const within = 700 * time.Millisecond
	withHarness(t, func(t *testing.T, h *harness) {
		h.worker.mu.Lock()
		h.worker.unansweredCalls = 1000
		h.worker.mu.Unlock()
		h.setZone(false, within)
		ordered := time.Now()
		h.orderStart(testRun(1))
		time.Sleep(4 * time.Second)
		calls := h.arrived()
		if len(calls) < 2 {
			t.Errorf("%d start calls, want a repetition", len(calls))
		}
		limit := ordered.Add(syncWait + within) // the call that the order answers was sent by then
		for _, c := range calls {
			if c.at.After(limit) {
				t.Errorf("a call %v after the order", c.at.Sub(ordered))
			}
			if latest := h.worker.clockStart.Add(c.Deadline - time.Second); latest.After(limit.Add(evacuation.CallMargin)) {
				t.Errorf("the worker may carry out a call %v after the order", latest.Sub(ordered))
			}
		}
	})
}

// Guards against a run that is lost because its first lease is as short as the permitted time.
func TestShortPermissionRenewsLease(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.setZone(false, 600*time.Millisecond)
		h.orderStart(testRun(1))
		holds := 0
		for len(h.arrived()) == 0 {
			h.worker.mu.Lock()
			holds = h.worker.holds
			h.worker.mu.Unlock()
			time.Sleep(time.Millisecond)
		}
		call := h.arrived()[0]
		if lease := call.Deadline - time.Second - call.at.Sub(h.worker.clockStart); lease >= startValidity {
			t.Fatalf("the first lease lasts %v, which the test wants short", lease)
		}
		time.Sleep(100 * time.Millisecond)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if h.worker.holds == holds {
			t.Error("the lease was not renewed within 100ms")
		}
	})
}

// Guards against starts that an agent has not made yet when it learns of the evacuation, and
// against a zone that stays closed after the withdrawal.
func TestAgentMakesNoStartInEvacuatedZone(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		const orders = 3 * maxStartCalls
		h.worker.mu.Lock()
		h.worker.startTime, h.worker.startTurn = 10*time.Millisecond, make(chan struct{}, 1)
		h.worker.mu.Unlock()
		h.setZone(false, 4*time.Second)
		h.orderStarts(orders)
		time.Sleep(100 * time.Millisecond) // some calls are made, the others wait for a turn
		h.setZone(true, 0)
		time.Sleep(60 * time.Millisecond)
		before := len(h.arrived())
		if before == 0 || before >= orders {
			t.Fatalf("%d start calls before the agent was told", before)
		}
		time.Sleep(3 * time.Second)
		if n := len(h.arrived()); n > before+maxStartCalls {
			t.Errorf("%d start calls after the agent was told", n-before)
		}
		refused := 0
		for _, r := range h.owner.lastReport().Runs {
			if r.State == workflowrpc.RunRejected && r.Reason == workflowrpc.ReasonEvacuated {
				refused++
			}
		}
		if refused == 0 {
			t.Error("the agent reports no start as refused because of the evacuation")
		}
		h.setZone(false, 4*time.Second)
		h.orderStart(testRun(1000))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if !h.worker.running[testRun(1000)] {
			t.Error("nothing is started after the withdrawal")
		}
	})
}
