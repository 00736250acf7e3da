package workflowowner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// storedState returns the final state that is stored for a job; empty if it has none.
func (r *harness) storedState(id string) workflow.State {
	return r.storedProgress(id).State
}

// TestChangesOfOutageAreStoredWithinLimits guards against a transaction with more entries
// than the store takes: after an outage in which jobs ended and workers started anew, the
// owner stored nothing any more.
func TestChangesOfOutageAreStoredWithinLimits(t *testing.T) {
	const workers, jobs = 60, 80
	runOwner(t, func(r *harness) {}, func(r *harness) {
		runs := map[string][]workflow.RunID{} // by worker
		id := func(i int) string { return fmt.Sprintf("w%02d", i) }
		report := func(i int, incarnation int64, edit func(*workflowrpc.SyncArgs)) *workflowrpc.SyncReply {
			return r.report(id(i), "addr-"+id(i), incarnation, func(a *workflowrpc.SyncArgs) {
				a.Wait = time.Millisecond
				if edit != nil {
					edit(a)
				}
			})
		}
		for i := range workers {
			report(i, 1, nil)
		}
		for i := range jobs {
			r.submit(fmt.Sprintf("%016x", i), workflow.Step{Tasks: 1, Need: workflow.Resources{CPUMilli: 32000, GPUs: 1}, Estimate: 1000})
		}
		for range 10 {
			for i := range workers {
				for _, s := range report(i, 1, nil).Start {
					runs[id(i)] = append(runs[id(i)], s.ID)
				}
			}
		}
		r.table.SetFaults(rowstorestub.Faults{Down: true})
		started := 0
		for i := range workers {
			started += len(runs[id(i)])
			report(i, 1, func(a *workflowrpc.SyncArgs) {
				for n, run := range runs[id(i)] {
					a.Ends = append(a.Ends, workflowrpc.End{Seq: uint64(n + 1), ID: run, Kind: workflow.EndDone})
				}
			})
		}
		if started < jobs {
			t.Fatalf("%d of %d jobs were started before the outage", started, jobs)
		}
		for i := range workers {
			report(i, 2, nil) // started anew
		}
		time.Sleep(time.Second)
		r.table.SetFaults(rowstorestub.Faults{})
		time.Sleep(3 * time.Second)
		stored := 0
		for i := range jobs {
			if r.storedState(fmt.Sprintf("%016x", i)) == workflow.StateCompleted {
				stored++
			}
		}
		if stored != jobs {
			t.Errorf("%d of %d jobs are stored as completed 3 s after the outage", stored, jobs)
		}
		r.submit("aaaaaaaaaaaaaaaa", newStep(1))
		starts := 0
		for range 20 {
			for i := range workers {
				starts += len(report(i, 2, nil).Start)
			}
		}
		if starts == 0 {
			t.Error("no worker that was started anew receives a start")
		}
	})
}

// TestRefusedRowHoldsUpNoOther guards against an owner that stores nothing any more because
// the store refuses one of its rows for good, and against sending that row for ever.
func TestRefusedRowHoldsUpNoOther(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.report(strings.Repeat("w", rowstore.MaxKeyBytes), "b", 1, nil)
		for i := range 40 {
			r.report(fmt.Sprintf("v%02d", i), fmt.Sprintf("v%02d", i), 1, func(a *workflowrpc.SyncArgs) {
				a.Wait, a.Worker.Capacity = time.Millisecond, workflow.Resources{}
			})
		}
		r.submit(testJob, newStep(1))
		got := r.awaitStarts("w", "a", 1, 2*time.Second)
		if len(got) != 1 {
			t.Fatalf("starts %v, want one", got)
		}
		r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) {
			a.Ends = []workflowrpc.End{{Seq: 1, ID: got[0].ID, Kind: workflow.EndDone}}
		})
		time.Sleep(time.Second)
		if s := r.storedState(testJob); s != workflow.StateCompleted {
			t.Errorf("stored state %q, want completed", s)
		}
		before := r.table.Refused()
		time.Sleep(10 * time.Second)
		if n := r.table.Refused() - before; n > 0 || before == 0 {
			t.Errorf("the store refused %d calls for good, and %d more in the next 10 s; want some, and none more", before, n)
		}
	})
}

// TestEndsAreAcknowledgedAfterExpiry guards against ends that are never acknowledged, so that
// the worker lists no later ones: they were not stored when its leases expired.
func TestEndsAreAcknowledgedAfterExpiry(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		r.submit(testJob, newStep(2))
		got := r.awaitStarts("w", "a", 1, time.Second)
		time.Sleep(time.Second)
		r.table.SetFaults(rowstorestub.Faults{Down: true})
		ended := func(a *workflowrpc.SyncArgs) {
			a.Ends = []workflowrpc.End{{Seq: 1, ID: got[0].ID, Kind: workflow.EndDone}}
		}
		r.report("w", "a", 1, ended)
		time.Sleep(2 * testLease) // the agent is cut off
		for range 3 {
			r.report("w", "a", 1, ended)
		}
		r.table.SetFaults(rowstorestub.Faults{})
		time.Sleep(time.Second)
		noted := uint64(0)
		for range 10 {
			noted = r.report("w", "a", 1, ended).Noted
		}
		if noted != 1 {
			t.Errorf("ends are acknowledged up to %d, want 1", noted)
		}
	})
}
