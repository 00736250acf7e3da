package workflowowner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowagent"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// fakeAdvisor lets some workers run all steps.
type fakeAdvisor struct {
	mu       sync.Mutex
	allowed  []string
	validity time.Duration
	fail     int // calls that fail
	calls    [][]string
	open     int
}

func (a *fakeAdvisor) Advise(ctx context.Context, _ string, _ workflow.PartID, workers []string) (Tickets, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open++; a.open > 1 {
		return Tickets{}, errors.New("two calls at once")
	}
	a.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	a.mu.Lock()
	a.open--
	a.calls = append(a.calls, workers)
	if a.fail > 0 {
		a.fail--
		return Tickets{}, errors.New("busy")
	}
	t := Tickets{ByWorker: map[string]string{}, Validity: a.validity}
	for _, w := range workers {
		if slices.Contains(a.allowed, w) {
			t.ByWorker[w] = fmt.Sprintf("t%d-%s", len(a.calls), w)
		}
	}
	return t, nil
}

func (a *fakeAdvisor) asked() [][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.calls)
}

// advised is a deployment whose queue has placement advice.
func advised(a *fakeAdvisor) func(*rig) {
	return func(r *rig) {
		r.config.advice = &workflow.Advice{Decide: 10, PerWorker: 1, Validity: workflow.Millis(a.validity.Milliseconds())}
		r.advisor = a
	}
}

// startOn reports idle workers in turn until one is told to start something.
func (r *rig) startOn(d time.Duration, workers ...string) (string, []workflowrpc.Start) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		for i, w := range workers {
			reply := r.report(w, fmt.Sprintf("10.0.0.%d:80", i+1), 1, func(a *workflowrpc.SyncArgs) { a.Wait = 20 * time.Millisecond })
			if len(reply.Start) > 0 {
				return w, reply.Start
			}
		}
	}
	return "", nil
}

// Guards against starts without a ticket, which workers reject, and against a
// worker that is asked about again and again though it may not run the step.
func TestAdvisedStepRunsWhereItMay(t *testing.T) {
	a := &fakeAdvisor{allowed: []string{"w2"}, validity: 3 * time.Second, fail: 1}
	play(t, advised(a), func(r *rig) {
		r.accept(testJob, step(1))
		worker, starts := r.startOn(5*time.Second, "w1", "w2", "w3")
		if worker != "w2" || len(starts) != 1 || starts[0].Ticket == "" {
			t.Fatalf("started on %q: %+v", worker, starts)
		}
		// The worker says that the ticket is not valid: another one is asked for.
		reject := workflowrpc.Run{ID: starts[0].ID, State: workflowrpc.RunRejected, Reason: workflowrpc.ReasonTicket}
		r.report("w2", "10.0.0.2:80", 1, func(s *workflowrpc.SyncArgs) { s.Runs = []workflowrpc.Run{reject} })
		worker, again := r.startOn(5*time.Second, "w1", "w2", "w3")
		if worker != "w2" || len(again) != 1 || again[0].Ticket == starts[0].Ticket {
			t.Fatalf("started on %q with %+v after the ticket %q was rejected", worker, again, starts[0].Ticket)
		}
		for i, call := range a.asked()[2:] {
			if slices.Contains(call, "w1") || slices.Contains(call, "w3") {
				t.Errorf("call %d names workers that were not granted: %v", i, call)
			}
		}
	})
}

// Guards against a start that is ordered again at once, without end, on workers
// that reject it: 10,000 orders in a day for one job.
func TestRejectedStartsSlowDown(t *testing.T) {
	play(t, func(*rig) {}, func(r *rig) {
		r.accept(testJob, step(1))
		rejected := 0
		var runs []workflowrpc.Run
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
			reply := r.report("w1", "10.0.0.1:80", 1, func(a *workflowrpc.SyncArgs) { a.Runs, a.Wait = runs, 20*time.Millisecond })
			runs = nil
			for _, s := range reply.Start {
				runs = append(runs, workflowrpc.Run{ID: s.ID, State: workflowrpc.RunRejected, Reason: workflowagent.ReasonInvalid})
				rejected++
			}
		}
		if rejected < 5 || rejected > 15 {
			t.Errorf("%d starts in 20 s, want a few", rejected)
		}
	})
}

// Guards against orders with a ticket that has run out on the way.
func TestExpiredTicketIsNotUsed(t *testing.T) {
	a := &fakeAdvisor{allowed: []string{"w1"}, validity: 2 * time.Second}
	play(t, advised(a), func(r *rig) {
		r.startOn(300*time.Millisecond, "w1") // the worker is known, and has a ticket for nothing yet
		r.accept(testJob, step(1))
		busy := func(s *workflowrpc.SyncArgs) { s.Worker.Draining = true }
		for range 10 {
			r.report("w1", "10.0.0.1:80", 1, busy)
		}
		worker, starts := r.startOn(5*time.Second, "w1")
		if worker != "w1" || len(starts) != 1 {
			t.Fatalf("started on %q: %+v", worker, starts)
		}
		if calls := a.asked(); starts[0].Ticket != fmt.Sprintf("t%d-w1", len(calls)) {
			t.Errorf("ticket %q of %d calls, want the last one", starts[0].Ticket, len(calls))
		}
	})
}
