package workflowowner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// restoreOwner returns an owner as it is after it has read the rows.
func restoreOwner(table *rowstorestub.Table, epoch uint64) *Owner {
	rows := table.Rows(testTable)
	version := uint64(0)
	for _, r := range rows {
		version = max(version, r.Version)
	}
	o := newLoadedOwner(table.ClientFor("restored"), epoch, version)
	for _, r := range rows {
		o.observeRow(r)
	}
	return o
}

// lostEnd returns what an owner lacks of an end that a worker may have forgotten: empty if
// the result of the end is known, or if nothing of its job starts any more.
func (o *Owner) lostEnd(e workflowrpc.End) string {
	j := o.jobs[e.ID.Task.Job]
	if j == nil || j.record == nil {
		return "its job"
	}
	spec, t := &j.record.Spec, e.ID.Task
	step := &spec.Steps[t.Step]
	if !j.active() || step.Persistent {
		return ""
	}
	progress := j.progress.StepProgress(spec, stepOf(t))
	switch {
	case e.Kind == workflow.EndDone && step.Gang && len(progress.Done) < step.Tasks:
		return fmt.Sprintf("that the gang is done (%d of %d are)", len(progress.Done), step.Tasks)
	case e.Kind == workflow.EndDone && !progress.IsDone(t.Index):
		return "that the task is done"
	case e.Kind == workflow.EndFailed && !progress.IsDone(t.Index):
		if step.Gang {
			t.Index = 0
		}
		if !slices.Contains(progress.Failed[t.Index], e.ID.Attempt) {
			return "that the attempt has failed"
		}
	}
	return ""
}

// checkAcknowledged fails the test if the stored rows lack an end up to the sequence number.
func (r *harness) checkAcknowledged(ends []workflowrpc.End, noted uint64) {
	r.t.Helper()
	restored := restoreOwner(r.table, r.owner.opts.Epoch+1)
	for _, e := range ends {
		if lost := restored.lostEnd(e); e.Seq <= noted && lost != "" {
			r.t.Fatalf("the end %v of %v is acknowledged, and a new owner does not know %s", e.Kind, e.ID, lost)
		}
	}
}

// TestLastEndsOfChunkedJobAreStoredFirst guards against acknowledged ends that are lost with
// the owner: those that ended a job of several chunks while a write of another chunk was under
// way.
func TestLastEndsOfChunkedJobAreStoredFirst(t *testing.T) {
	const perStep = 120
	for _, c := range []struct {
		kind     workflow.EndKind
		attempts int // that decide the job
	}{{workflow.EndDone, 1}, {workflow.EndFailed, 2}} {
		t.Run(string(c.kind), func(t *testing.T) {
			runOwner(t, func(*harness) {}, func(r *harness) {
				step := workflow.Step{Tasks: perStep, Need: workflow.Resources{CPUMilli: 1}, Estimate: 1000}
				r.submit(testJob, step, step)
				first, last := workflow.TaskID{Job: testJob}, workflow.TaskID{Job: testJob, Step: 1, Index: perStep - 1}
				running := map[workflow.TaskID]workflow.RunID{}
				var ends []workflowrpc.End
				end := func(id workflow.RunID, kind workflow.EndKind) {
					ends = append(ends, workflowrpc.End{Seq: uint64(len(ends) + 1), ID: id, Kind: kind})
					delete(running, id.Task)
				}
				noted := uint64(0)
				exchange := func() {
					reply := r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) {
						a.Ends, a.Wait = ends[noted:], 10*time.Millisecond
						for _, id := range running {
							a.Runs = append(a.Runs, workflowrpc.Run{ID: id, State: workflowrpc.RunRunning})
						}
					})
					noted = max(noted, reply.Noted)
					for _, s := range reply.Start {
						running[s.ID.Task] = s.ID
					}
					time.Sleep(10 * time.Millisecond)
				}
				for n := 0; n < 100 && (noted == 0 || noted < uint64(len(ends))); n++ {
					exchange()
					for task, id := range running {
						if task != first && task != last {
							end(id, workflow.EndDone)
						}
					}
				}
				if noted != 2*perStep-2 || len(running) != 2 {
					t.Fatalf("%d ends are acknowledged, %d runs remain; want %d and 2", noted, len(running), 2*perStep-2)
				}
				r.table.SetFaults(rowstorestub.Faults{Delay: 240 * time.Millisecond})
				end(running[first], workflow.EndDone)
				for range 6 {
					exchange()
				}
				id := running[last]
				for range c.attempts {
					end(id, c.kind)
					id.Attempt++
				}
				for n := 0; n < 100 && noted < uint64(len(ends)); n++ {
					exchange()
					r.checkAcknowledged(ends, noted)
				}
				if noted != uint64(len(ends)) {
					t.Errorf("ends are acknowledged up to %d of %d", noted, len(ends))
				}
			})
		})
	}
}

// TestEndsOfRefusedJobStayUnacknowledged guards against an end that is acknowledged although the
// store refuses the row of its job, so that the next owner starts the task again.
func TestEndsOfRefusedJobStayUnacknowledged(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		got := r.awaitStarts("w", "a", 1, time.Second)
		time.Sleep(time.Second)
		r.table.SetFaults(rowstorestub.Faults{RefusedKeys: map[string]bool{workflow.ProgressPrefix + testJob: true}})
		ends := []workflowrpc.End{{Seq: 1, ID: got[0].ID, Kind: workflow.EndDone}}
		report := func() uint64 {
			return r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) { a.Ends = ends }).Noted
		}
		for range 50 {
			r.checkAcknowledged(ends, report())
		}
		r.submit(otherJob, newStep(1))
		other := r.awaitStarts("v", "b", 1, time.Second)
		if len(other) != 1 {
			t.Fatalf("starts %v beside the refused row, want one", other)
		}
		noted := uint64(0)
		for range 5 {
			noted = r.report("v", "b", 1, func(a *workflowrpc.SyncArgs) {
				a.Ends = []workflowrpc.End{{Seq: 1, ID: other[0].ID, Kind: workflow.EndDone}}
			}).Noted
		}
		if noted != 1 {
			t.Error("the end of another job on another worker is not acknowledged")
		}
		if n := r.table.Refused(); n == 0 || n > 10 {
			t.Errorf("the store refused %d calls within 20 s, want some, up to 10", n)
		}
		r.table.SetFaults(rowstorestub.Faults{})
		time.Sleep(refusedRowDelay)
		if noted := report(); noted != 1 {
			t.Errorf("ends are acknowledged up to %d once the store takes the row, want 1", noted)
		}
		r.checkAcknowledged(ends, 1)
	})
}

// TestGangInTwoRowsIsDone guards against the start of a part of a gang after the gang was done:
// an owner that was replaced had written only one of the rows with its members.
func TestGangInTwoRowsIsDone(t *testing.T) {
	for _, recordLast := range []bool{false, true} {
		runOwner(t, func(r *harness) {
			plain := workflow.Step{Tasks: 190, Need: workflow.Resources{CPUMilli: 1}, Estimate: 1000}
			gang := workflow.Step{Tasks: 20, Need: workflow.Resources{CPUMilli: 1}, Estimate: 1000, Gang: true}
			spec := &workflow.Spec{Steps: []workflow.Step{plain, gang}}
			progress := &workflow.Progress{Begun: true}
			for i := range plain.Tasks {
				progress.RecordEnd(spec, workflow.RunID{Task: workflow.TaskID{Job: testJob, Index: i}, Attempt: 1}, workflow.EndDone, "")
			}
			progress.RecordEnd(spec, workflow.RunID{Task: workflow.TaskID{Job: testJob, Step: 1}, Attempt: 1}, workflow.EndDone, "")
			rows := progress.TakeChangedRows()
			if len(rows) != 2 {
				t.Fatalf("the progress has %d rows of chunks, want 2", len(rows))
			}
			value, err := progress.EncodeRow(spec, rows[0], rowstore.MaxRowBytes)
			if err != nil {
				t.Fatal(err)
			}
			r.table.Put(testTable, workflow.ProgressKey(testJob, rows[0]), value)
			record := r.recordRow(testJob, spec.Steps...)
			if recordLast { // in the order in which rows are read
				record.Key = workflow.SpareRecordPrefix + testJob
			}
			r.table.Put(testTable, record.Key, record.Value)
		}, func(r *harness) {
			if got := r.awaitStarts("w", "a", 1, time.Second); len(got) > 0 {
				t.Errorf("starts %v, want none", got)
			}
			if s := r.storedState(testJob); s != workflow.StateCompleted {
				t.Errorf("stored state %q, want completed", s)
			}
		})
	}
}
