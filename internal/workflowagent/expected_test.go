package workflowagent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// withRestartedAgent runs f on virtual time with an agent that no worker has reported to,
// and that a new owner has told of a worker at the given address.
func withRestartedAgent(t *testing.T, listens string, edit func(*fakeWorker), f func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &harness{
			worker: &fakeWorker{clockStart: time.Now(), running: map[workflow.RunID]bool{}, stopped: map[workflow.RunID]bool{}},
			owner:  &fakeOwner{epoch: 3},
		}
		edit(h.worker)
		h.agent = New(ctx, Options{
			ID: "agent", Addr: "10.0.0.1:7100", Caller: h.owner, Log: eventlog.Discard(), Lease: testLease,
			Connect: func(string, string) Worker { return h.worker },
		})
		h.agent.OwnerChanged("owner", 3, []workflowrpc.Worker{{ID: "w", Incarnation: 1, Addr: listens}})
		f(t, h)
		cancel()
		h.agent.Wait()
	})
}

// TestEndedWorkerIsReportedByRestartedAgent guards against jobs that wait for the leases of
// a worker which ended together with its agent, as when all power is lost during a rolling
// replacement of the workers: the new process of the agent never hears of it, and inherited
// jobs waited 10 s (kalstaly-pier, scale-2, seed 1).
func TestEndedWorkerIsReportedByRestartedAgent(t *testing.T) {
	withRestartedAgent(t, "10.0.0.1:80", func(w *fakeWorker) { w.crashed = true }, func(t *testing.T, h *harness) {
		time.Sleep(goneAfterRefused) // some agents are stopped soon after they have restarted
		if w := h.owner.lastReport().Worker; w.ID != "w" || !w.Gone {
			t.Errorf("reported worker %+v, want that w is gone", w)
		}
	})
}

// TestRunningWorkerIsReportedBeforeItsHeartbeat guards against jobs that wait for the next
// heartbeat of a worker after its agent has restarted, and against starts on a worker whose
// state is not known: it may be draining.
func TestRunningWorkerIsReportedBeforeItsHeartbeat(t *testing.T) {
	withRestartedAgent(t, "10.0.0.1:80", func(w *fakeWorker) { w.running[testRun(1)] = true }, func(t *testing.T, h *harness) {
		time.Sleep(200 * time.Millisecond)
		report := h.owner.lastReport()
		if w := report.Worker; w.ID != "w" || !w.Unconfirmed || w.Gone || len(report.Runs) != 1 || report.Fence != 3 {
			t.Fatalf("report %+v, want the run of the unconfirmed worker w under fence 3", report)
		}
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1}, "10.0.0.1:80", 1)
		time.Sleep(200 * time.Millisecond)
		if h.owner.lastReport().Worker.Unconfirmed {
			t.Error("the worker is unconfirmed after its heartbeat")
		}
	})
}

// TestSilentOrRemoteWorkerIsNotReportedAsGone guards against a second run of a task whose
// worker is only out of reach: a refused connection proves nothing on another machine, and
// a worker that does not answer may run on.
func TestSilentOrRemoteWorkerIsNotReportedAsGone(t *testing.T) {
	for _, c := range []struct {
		name, listens string
		edit          func(*fakeWorker)
	}{
		{"on another machine", "10.0.0.2:80", func(w *fakeWorker) { w.crashed = true }},
		{"silent", "10.0.0.1:80", func(w *fakeWorker) { w.silent = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRestartedAgent(t, c.listens, c.edit, func(t *testing.T, h *harness) {
				time.Sleep(testLease)
				if report := h.owner.lastReport(); report.Worker.Gone || report.Worker.Lapsed {
					t.Errorf("report %+v, want none", report)
				}
			})
		})
	}
}
