package workflowowner

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// withCapacity returns an edit of a report that sets the worker's GPUs and its runs.
func withCapacity(gpus int, runs ...workflowrpc.Run) func(*workflowrpc.SyncArgs) {
	return func(a *workflowrpc.SyncArgs) { a.Worker.Capacity.GPUs, a.Runs = gpus, runs }
}

// Guards against more work than a worker has capacity for, after its capacity has shrunk: a
// worker that does not check its capacity runs whatever it is told to. What is being
// stopped holds capacity as well.
func TestShrunkWorkerGetsNoMoreThanItsCapacity(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(2))
		starts := r.awaitStarts("w", "a", 1, time.Second)
		if len(starts) != 2 {
			t.Fatalf("got %v, want both tasks", starts)
		}
		running := []workflowrpc.Run{{ID: starts[0].ID, State: workflowrpc.RunRunning}, {ID: starts[1].ID, State: workflowrpc.RunStopping}}
		r.report("w", "a", 1, withCapacity(2, running...))
		r.submit(otherJob, newStep(2))
		for range 10 {
			if reply := r.report("w", "a", 1, withCapacity(2, running...)); len(reply.Start) > 0 {
				t.Fatalf("started %v on a worker without free capacity", reply.Start)
			}
		}
		if reply := r.report("w", "a", 1, withCapacity(3, running...)); len(reply.Start) != 1 {
			t.Errorf("started %v after the capacity has grown by one GPU, want one task", reply.Start)
		}
	})
}

// Guards against a start that was ordered for a larger capacity and reaches the worker
// after it has shrunk, because the agent was out of touch in between.
func TestUndeliveredStartsAreWithdrawnFromShrunkWorker(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(4))
		if starts := r.awaitStarts("w", "a", 1, time.Second); len(starts) != 4 {
			t.Fatalf("got %v, want all tasks", starts)
		}
		reply := r.report("w", "a", 1, withCapacity(1)) // the first reply has not arrived
		if len(reply.Start) > 1 || len(reply.Stop) != 4-len(reply.Start) {
			t.Errorf("start %v and stop %v, want at most one start and the others withdrawn", reply.Start, reply.Stop)
		}
	})
}

// Guards against an owner that takes the capacity of a worker from its stored row, which is
// as old as the worker, and against runs that hold nothing because their job is unknown.
func TestNewOwnerUsesReportedCapacityAndRuns(t *testing.T) {
	unknown := workflowrpc.Run{ID: workflow.RunID{Task: workflow.TaskID{Job: "00000000000000aa"}, Attempt: 1}, State: workflowrpc.RunStopping}
	runOwner(t, func(r *harness) { r.putWorkerRow("w", "a", 1) }, func(r *harness) {
		r.submit(testJob, newStep(4))
		for range 10 {
			if reply := r.report("w", "a", 1, withCapacity(3, unknown)); len(reply.Start) > 0 {
				t.Fatalf("started %v beside a run that may hold the whole worker", reply.Start)
			}
		}
		if starts := r.report("w", "a", 1, withCapacity(3)).Start; len(starts) != 3 {
			t.Errorf("started %v, want as many tasks as the worker has GPUs", starts)
		}
	})
}
