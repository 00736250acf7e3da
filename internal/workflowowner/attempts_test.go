package workflowowner

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// TestAttemptNumbersAreNotUsedAgain guards against a later owner that uses attempt numbers again, so
// that workers ignore its starts: the owner before it had made more attempts of a task than
// belong to its epoch.
func TestAttemptNumbersAreNotUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name      string
		tasks     int
		gang      bool
		inherited bool
	}{{"single", 1, false, false}, {"gang", 3, true, false}, {"inherited", 1, false, true}} {
		t.Run(c.name, func(t *testing.T) {
			step := workflow.Step{Tasks: c.tasks, Need: workflow.Resources{CPUMilli: 1}, Estimate: 1000, Gang: c.gang, Persistent: true}
			runOwner(t, func(r *harness) {
				if c.inherited {
					row := r.recordRow(testJob, step)
					r.table.Put(testTable, row.Key, row.Value)
				}
			}, func(r *harness) {
				if !c.inherited {
					r.submit(testJob, step)
				}
				var ends []workflowrpc.End
				highest, seq := 0, uint64(0)
				restoredNext := func() int {
					o := restoreOwner(r.table, r.owner.opts.Epoch+1)
					var tasks []workflow.TaskID
					for i := range c.tasks {
						tasks = append(tasks, workflow.TaskID{Job: testJob, Index: i})
					}
					return o.nextAttempt(o.jobs[testJob], tasks)
				}
				exchange := func() {
					reply := r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) { a.Ends, a.Wait = ends, time.Millisecond })
					for len(ends) > 0 && ends[0].Seq <= reply.Noted {
						ends = ends[1:]
					}
					for _, s := range reply.Start {
						seq++
						ends = append(ends, workflowrpc.End{Seq: seq, ID: s.ID, Kind: workflow.EndDone})
						highest = max(highest, s.ID.Attempt)
					}
					time.Sleep(4 * time.Millisecond)
				}
				const attempts = 3*attemptsPerEpoch + 200
				for n := 0; n < 20*attempts && highest < attempts; n++ {
					if n%500 == 0 { // while the store is down, the numbers run out
						r.table.SetFaults(rowstorestub.Faults{Down: n%1500 == 500})
					}
					before := highest
					exchange()
					if highest > before && highest%50 == 0 {
						if next := restoredNext(); next <= highest {
							r.t.Fatalf("attempt %d has been started, and a new owner begins at %d", highest, next)
						}
					}
				}
				if next := restoredNext(); highest < attempts || next <= highest || next > highest+3*attemptsPerEpoch {
					t.Errorf("attempt %d has been started, and a new owner begins at %d", highest, next)
				}
			})
		})
	}
}

// TestOwnerReservesBeforeFirstAttempt guards against an owner that starts beyond the numbers of its
// epoch, after those of an earlier owner, without a trace in the store.
func TestOwnerReservesBeforeFirstAttempt(t *testing.T) {
	const used = 7 * attemptsPerEpoch
	runOwner(t, func(r *harness) {
		row := r.recordRow(testJob, newStep(1))
		r.table.Put(testTable, row.Key, row.Value)
		r.putJSON(workflow.ProgressPrefix+testJob, workflow.Progress{Parts: map[int]*workflow.StepProgress{0: {Attempts: map[int]int{0: used}}}})
	}, func(r *harness) {
		r.table.SetFaults(rowstorestub.Faults{DownPartitions: map[string]bool{"": true}})
		if got := r.awaitStarts("w", "a", 1, time.Second); len(got) > 0 {
			t.Fatalf("starts %v before the reservation is stored", got)
		}
		r.table.SetFaults(rowstorestub.Faults{})
		got := r.awaitStarts("w", "a", 1, 2*time.Second)
		if len(got) != 1 || got[0].ID.Attempt != used+1 {
			t.Fatalf("starts %v, want attempt %d", got, used+1)
		}
		if reserved := r.progress().ReservedAttempts(&workflow.Spec{Steps: []workflow.Step{newStep(1)}}, got[0].ID.Task); reserved <= used {
			t.Errorf("attempts are reserved up to %d", reserved)
		}
	})
}
