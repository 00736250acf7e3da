package workflowowner

import (
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// TestAgentsAreToldOfExpectedWorkers guards against inherited jobs that wait for a worker
// of which a restarted agent does not know, and against a wait that goes on although the
// agent has reported that the worker has ended.
func TestAgentsAreToldOfExpectedWorkers(t *testing.T) {
	runOwner(t, func(r *harness) {
		r.submit(testJob, newStep(1))
		r.putWorkerRow("old", "10.0.0.2:80", 1)
	}, func(r *harness) {
		time.Sleep(awaitedReannounceInterval + tickInterval)
		if told := r.caller.toldWorkers("agent-old"); len(told) != 1 || told[0].ID != "old" || told[0].Incarnation != 1 || told[0].Addr != "10.0.0.2:80" || told[0].Rack != "r" {
			t.Fatalf("the agent is told of %+v, want the worker of the row", told)
		}
		if got := r.awaitStarts("w", "10.0.0.1:80", 1, time.Second); len(got) != 0 {
			t.Fatalf("starts %v while the other worker may run the task", got)
		}
		r.report("old", "10.0.0.2:80", 1, func(args *workflowrpc.SyncArgs) { args.Worker.Gone, args.Fence = true, 0 })
		if got := r.awaitStarts("w", "10.0.0.1:80", 1, time.Second); len(got) != 1 {
			t.Fatalf("starts %v within 1 s after the other worker was gone, want one", got)
		}
	})
}

// TestUnconfirmedWorkerReceivesNoStarts guards against a start on a draining worker: its
// restarted agent does not know its state before its next heartbeat.
func TestUnconfirmedWorkerReceivesNoStarts(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		for range 5 {
			if reply := r.report("w", "10.0.0.1:80", 1, func(args *workflowrpc.SyncArgs) { args.Worker.Unconfirmed = true }); len(reply.Start) > 0 {
				t.Fatalf("starts %v on an unconfirmed worker", reply.Start)
			}
		}
		if got := r.awaitStarts("w", "10.0.0.1:80", 1, time.Second); len(got) != 1 {
			t.Fatalf("starts %v after the worker is confirmed, want one", got)
		}
	})
}

// TestJobWithTwoRowsIsInherited guards against a second run of a task whose job has a spare
// row that an earlier owner could read, and a usual row that was written late.
func TestJobWithTwoRowsIsInherited(t *testing.T) {
	for _, lateFirst := range []bool{false, true} {
		o := busyOwner(t, 0, 0)
		o.opts.Version = 10
		rows := []rowstore.Row{
			{Table: testTable, Key: workflow.SpareRecordPrefix + testJob, Version: 5},
			{Table: testTable, Key: workflow.RecordPrefix + testJob, Version: 15},
		}
		if lateFirst {
			slices.Reverse(rows)
		}
		for _, r := range rows {
			r.Value = (&harness{t: t}).recordRow(testJob, newStep(1)).Value
			o.observe(r)
		}
		if j := o.jobs[testJob]; j == nil || !j.inherited || j.recordVersion != 5 {
			t.Errorf("late row first %v: job %+v, want one that is inherited, of version 5", lateFirst, j)
		}
	}
}

// TestReplacedWorkerIsNotWaitedFor guards against waiting for the leases of a worker
// whose machine has already started a new one. After a power loss of all machines, no
// work ran for 10 s.
func TestReplacedWorkerIsNotWaitedFor(t *testing.T) {
	runOwner(t, func(r *harness) {
		r.submit(testJob, newStep(1))
		r.putWorkerRow("old", "10.0.0.1:80", 1)
	}, func(r *harness) {
		if got := r.awaitStarts("new", "10.0.0.1:80", 2, time.Second); len(got) != 1 {
			t.Fatalf("starts %v within 1 s, want the job's task", got)
		}
	})
}

// TestSilentWorkerDelaysInheritedJobs guards against a second run of a task that may
// still run on a worker which does not report to a new owner, and against waiting
// longer than the worker's lease.
func TestSilentWorkerDelaysInheritedJobs(t *testing.T) {
	runOwner(t, func(r *harness) {
		r.submit(testJob, newStep(1))
		r.putWorkerRow("other", "10.0.0.2:80", 1)
	}, func(r *harness) {
		began := time.Now()
		got := r.awaitStarts("w", "10.0.0.1:80", 1, 20*time.Second)
		waited := time.Since(began)
		if len(got) != 1 || waited < testLease || waited > testLease+time.Second {
			t.Fatalf("starts %v after %v, want one after the lease of %v", got, waited, testLease)
		}
		if got[0].ID.Attempt <= 1 {
			t.Fatalf("attempt %d may have been used by an earlier owner", got[0].ID.Attempt)
		}
	})
}

// TestNewJobsDoNotWaitForSilentWorkers guards against jobs that wait for a silent
// worker although no earlier owner can have started them.
func TestNewJobsDoNotWaitForSilentWorkers(t *testing.T) {
	runOwner(t, func(r *harness) { r.putWorkerRow("other", "10.0.0.2:80", 1) }, func(r *harness) {
		r.submit(testJob, newStep(1))
		if got := r.awaitStarts("w", "10.0.0.1:80", 1, time.Second); len(got) != 1 || got[0].ID.Attempt != 1 {
			t.Fatalf("starts %v within 1 s, want attempt 1", got)
		}
	})
}

// TestRunOfRestartedWorkerIsAdopted guards against a second run of a task that the next
// incarnation of its worker runs: the first call about that one comes before the worker has
// been fenced, and its report is not applied.
func TestRunOfRestartedWorkerIsAdopted(t *testing.T) {
	runOwner(t, func(r *harness) {
		r.submit(testJob, newStep(1))
		r.putWorkerRow("old", "10.0.0.2:80", 1)
	}, func(r *harness) {
		running := func(fence uint64) func(*workflowrpc.SyncArgs) {
			return func(a *workflowrpc.SyncArgs) {
				a.Fence, a.Wait = fence, 10*time.Millisecond
				a.Runs = []workflowrpc.Run{{ID: workflow.RunID{Task: workflow.TaskID{Job: testJob}, Attempt: 1}, State: workflowrpc.RunRunning}}
			}
		}
		r.report("old", "10.0.0.2:80", 2, running(1))
		if got := r.awaitStarts("w", "10.0.0.1:80", 1, 500*time.Millisecond); len(got) != 0 {
			t.Fatalf("starts %v on another worker before the report is applied", got)
		}
		for range 20 {
			r.report("old", "10.0.0.2:80", 2, running(2))
			if got := r.awaitStarts("w", "10.0.0.1:80", 1, 50*time.Millisecond); len(got) != 0 {
				t.Fatalf("starts %v on another worker while the task runs", got)
			}
		}
	})
}

// TestInheritedJobWaitsForUnlistedEnds guards against a second run of a task that has ended
// on a worker behind more ends than it lists at a time: its restarted agent does not know of
// the run, and the new owner neither.
func TestInheritedJobWaitsForUnlistedEnds(t *testing.T) {
	runOwner(t, func(r *harness) {
		r.submit(testJob, newStep(1))
		r.putWorkerRow("old", "10.0.0.2:80", 1)
	}, func(r *harness) {
		unlisted := func(a *workflowrpc.SyncArgs) { a.Worker.EndsUnlisted, a.Wait = true, 10*time.Millisecond }
		for range 20 {
			if reply := r.report("old", "10.0.0.2:80", 1, unlisted); len(reply.Start) > 0 {
				t.Fatalf("starts %v before the worker has listed all ends", reply.Start)
			}
			if got := r.awaitStarts("w", "10.0.0.1:80", 1, 50*time.Millisecond); len(got) != 0 {
				t.Fatalf("starts %v on another worker before all ends are listed", got)
			}
		}
		done := workflowrpc.End{Seq: 1, ID: workflow.RunID{Task: workflow.TaskID{Job: testJob}, Attempt: 1}, Kind: workflow.EndDone}
		r.report("old", "10.0.0.2:80", 1, func(a *workflowrpc.SyncArgs) { a.Ends = []workflowrpc.End{done} })
		time.Sleep(time.Second)
		if s := r.progress().State; s != workflow.StateCompleted {
			t.Errorf("stored state %q after the last end was listed, want completed", s)
		}
	})
}
