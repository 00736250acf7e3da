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

// fakeAdvisor grants tickets for all steps on some workers.
type fakeAdvisor struct {
	mu       sync.Mutex
	allowed  []string
	validity time.Duration
	failures int // number of calls that still fail
	calls    [][]string
	inFlight int
}

func (a *fakeAdvisor) Advise(ctx context.Context, _ string, _ workflow.StepID, workers []string) (Tickets, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inFlight++; a.inFlight > 1 {
		return Tickets{}, errors.New("two calls at once")
	}
	a.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	a.mu.Lock()
	a.inFlight--
	a.calls = append(a.calls, workers)
	if a.failures > 0 {
		a.failures--
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

// asked returns the workers named in each call.
func (a *fakeAdvisor) asked() [][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.calls)
}

// withAdvisor gives the queue placement advice from a.
func withAdvisor(a *fakeAdvisor) func(*harness) {
	return func(r *harness) {
		r.config.advice = &workflow.Advice{Decide: 10, PerWorker: 1, Validity: workflow.Millis(a.validity.Milliseconds())}
		r.advisor = a
	}
}

// awaitStartOn reports idle workers in turn until one is ordered to start something, for
// up to d. It returns that worker and its starts.
func (r *harness) awaitStartOn(d time.Duration, workers ...string) (string, []workflowrpc.Start) {
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

// TestStepStartsOnlyOnWorkersWithTicket guards against starts without a ticket, which
// workers reject, and against asking repeatedly about a worker that may not run the
// step.
func TestStepStartsOnlyOnWorkersWithTicket(t *testing.T) {
	a := &fakeAdvisor{allowed: []string{"w2"}, validity: 3 * time.Second, failures: 1}
	runOwner(t, withAdvisor(a), func(r *harness) {
		r.submit(testJob, newStep(1))
		worker, starts := r.awaitStartOn(5*time.Second, "w1", "w2", "w3")
		if worker != "w2" || len(starts) != 1 || starts[0].Ticket == "" {
			t.Fatalf("started on %q: %+v, want one start with a ticket on w2", worker, starts)
		}
		// The worker rejects the ticket as invalid, so the owner requests another one.
		reject := workflowrpc.Run{ID: starts[0].ID, State: workflowrpc.RunRejected, Reason: workflowrpc.ReasonInvalidTicket}
		r.report("w2", "10.0.0.2:80", 1, func(s *workflowrpc.SyncArgs) { s.Runs = []workflowrpc.Run{reject} })
		worker, again := r.awaitStartOn(5*time.Second, "w1", "w2", "w3")
		if worker != "w2" || len(again) != 1 || again[0].Ticket == starts[0].Ticket {
			t.Fatalf("started on %q with %+v after the ticket %q was rejected, want a start on w2 with a new ticket", worker, again, starts[0].Ticket)
		}
		for i, call := range a.asked()[2:] {
			if slices.Contains(call, "w1") || slices.Contains(call, "w3") {
				t.Errorf("call %d asks again about workers without a grant: %v", i, call)
			}
		}
	})
}

// TestRejectedStartsBackOff guards against a start that workers reject and that is
// ordered again without delay, forever. One job caused 10,000 orders in a day.
func TestRejectedStartsBackOff(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
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
			t.Errorf("%d starts in 20 s, want 5 to 15", rejected)
		}
	})
}

// TestExpiredTicketIsNotUsed guards against orders with a ticket that expires before
// the worker receives it.
func TestExpiredTicketIsNotUsed(t *testing.T) {
	a := &fakeAdvisor{allowed: []string{"w1"}, validity: 2 * time.Second}
	runOwner(t, withAdvisor(a), func(r *harness) {
		r.awaitStartOn(300*time.Millisecond, "w1") // the worker is known, but there is no ticket yet
		r.submit(testJob, newStep(1))
		draining := func(s *workflowrpc.SyncArgs) { s.Worker.Draining = true }
		for range 10 {
			r.report("w1", "10.0.0.1:80", 1, draining)
		}
		worker, starts := r.awaitStartOn(5*time.Second, "w1")
		if worker != "w1" || len(starts) != 1 {
			t.Fatalf("started on %q: %+v, want one start on w1", worker, starts)
		}
		if calls := a.asked(); starts[0].Ticket != fmt.Sprintf("t%d-w1", len(calls)) {
			t.Errorf("ticket %q after %d calls, want that of the last call", starts[0].Ticket, len(calls))
		}
	})
}

// TestAdviceCallsAreLimited guards against calls that name more workers than the placement
// advice service takes, which is 100.
func TestAdviceCallsAreLimited(t *testing.T) {
	a := &fakeAdvisor{}
	runOwner(t, withAdvisor(a), func(r *harness) {
		const workers = 120
		for i := range workers {
			a.allowed = append(a.allowed, fmt.Sprintf("w%03d", i))
		}
		r.submit(testJob, newStep(workers*8))
		for range 10 {
			for _, id := range a.allowed {
				r.report(id, id, 1, func(args *workflowrpc.SyncArgs) { args.Wait = time.Millisecond })
			}
		}
		named := 0
		for _, call := range a.asked() {
			named += len(call)
			if len(call) > 100 {
				t.Errorf("a call names %d workers", len(call))
			}
		}
		if named == 0 {
			t.Error("no call was made")
		}
	})
}
