package workflowowner

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// submitLarge stores the record of a job of many small tasks with checkpoints.
func (r *harness) submitLarge(tasks, occurrences int) *workflow.Spec {
	step := workflow.Step{Tasks: tasks, Need: workflow.Resources{CPUMilli: 1}, Estimate: 1000, Checkpoint: true}
	rec := workflow.Record{
		ID: testJob, Queue: "q", Account: "a", Spec: workflow.Spec{Steps: []workflow.Step{step}, Occurrences: occurrences},
		Terms: workflow.Terms{MaxAttempts: 2, Stretch: 3},
	}
	r.putJSON(workflow.RecordPrefix+testJob, rec)
	return &rec.Spec
}

func (r *harness) putJSON(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		r.t.Fatal(err)
	}
	r.table.Put(testTable, key, value)
}

// rows returns the stored rows whose keys begin with prefix.
func (r *harness) rows(prefix string) []rowstore.Row {
	var out []rowstore.Row
	for from, more := prefix, true; more; {
		page, err := r.table.ClientFor("test").List(r.t.Context(), testTable, from, 500)
		if err != nil {
			r.t.Fatal(err)
		}
		for _, row := range page.Rows {
			if strings.HasPrefix(row.Key, prefix) {
				out = append(out, row)
			}
			from = row.Key + "\x00"
		}
		more = page.More
	}
	return out
}

// storedParts returns the stored progress of testJob from all its rows.
func (r *harness) storedParts() *workflow.Progress {
	p := &workflow.Progress{}
	for _, prefix := range []string{workflow.ProgressPrefix, workflow.ProgressChunkPrefix} {
		for _, row := range r.rows(prefix + testJob) {
			part := &workflow.Progress{}
			if err := json.Unmarshal(row.Value, part); err != nil {
				r.t.Fatal(err)
			}
			p.Merge(part)
		}
	}
	return p
}

// testEndsPerCall is the number of runs that a testWorker ends between two calls.
const testEndsPerCall = 700

// testWorker reports its runs and ends to the owner like an agent.
type testWorker struct {
	r       *harness
	id      string
	lastSeq uint64
	ends    []workflowrpc.End
	runs    []workflowrpc.Start // that run, oldest first
	starts  map[workflow.TaskID]int
	end     func(workflowrpc.Start) (workflow.EndKind, string) // how a run ends
}

// exchange ends the oldest runs, makes one call and starts what the owner orders.
func (w *testWorker) exchange() {
	for _, s := range w.runs[:min(len(w.runs), testEndsPerCall)] {
		kind, checkpoint := w.end(s)
		w.lastSeq++
		w.ends = append(w.ends, workflowrpc.End{Seq: w.lastSeq, ID: s.ID, Kind: kind, Checkpoint: checkpoint})
	}
	w.runs = w.runs[min(len(w.runs), testEndsPerCall):]
	reply := w.r.report(w.id, w.id, 1, func(a *workflowrpc.SyncArgs) {
		a.Ends, a.Wait = w.ends, 10*time.Millisecond
		for _, s := range w.runs {
			a.Runs = append(a.Runs, workflowrpc.Run{ID: s.ID, State: workflowrpc.RunRunning})
		}
	})
	for len(w.ends) > 0 && w.ends[0].Seq <= reply.Noted {
		w.ends = w.ends[1:]
	}
	for _, s := range reply.Start {
		w.starts[s.ID.Task]++
		if s.ID.Task.Job == testJob {
			w.runs = append(w.runs, s)
		} else {
			w.runs = slices.Insert(w.runs, 0, s)
		}
	}
	time.Sleep(20 * time.Millisecond)
}

func (r *harness) newTestWorker(id string, end func(workflowrpc.Start) (workflow.EndKind, string)) *testWorker {
	return &testWorker{r: r, id: id, starts: map[workflow.TaskID]int{}, end: end}
}

// stopOnce ends the first run of each task of testJob as stopped with a checkpoint, others as
// done.
func stopOnce(s workflowrpc.Start) (workflow.EndKind, string) {
	if s.Checkpoint == "" && s.ID.Task.Job == testJob {
		return workflow.EndStopped, fmt.Sprintf("%016x", s.ID.Task.Index)
	}
	return workflow.EndDone, s.Checkpoint
}

// TestProgressOfLargeJobIsStored guards against a job whose progress outgrows a row of the
// store: the owner then stored nothing any more, of no job.
func TestProgressOfLargeJobIsStored(t *testing.T) {
	for _, c := range []struct{ tasks, occurrences, maxRowBytes int }{{470, 8, 0}, {workflow.MaxTasks, 1, 0}, {470, 8, 4 << 10}} {
		runOwner(t, func(r *harness) { r.table.MaxValueBytes = c.maxRowBytes }, func(r *harness) {
			spec := r.submitLarge(c.tasks, c.occurrences)
			w := r.newTestWorker("w", stopOnce)
			for n := 0; n < 400 && r.storedState(testJob) == ""; n++ {
				w.exchange()
				if n == 2 {
					r.putJSON(workflow.RecordPrefix+"aaaaaaaaaaaaaaaa", workflow.Record{ID: "aaaaaaaaaaaaaaaa", Queue: "q", Account: "a", Spec: workflow.Spec{Steps: []workflow.Step{newStep(1)}}})
				}
			}
			if s := r.storedState("aaaaaaaaaaaaaaaa"); s != workflow.StateCompleted {
				t.Errorf("%d tasks: a small job beside the large one is stored as %q", spec.TotalTasks(), s)
			}
			if s := r.storedState(testJob); s != workflow.StateCompleted || r.table.Refused() > 0 {
				t.Errorf("%d tasks: stored state %q, want completed; %d calls were refused", spec.TotalTasks(), s, r.table.Refused())
			}
			for range 20 {
				w.exchange()
			}
			if len(w.ends) > 0 {
				t.Errorf("%d tasks: %d ends are not acknowledged", spec.TotalTasks(), len(w.ends))
			}
			r.submit("bbbbbbbbbbbbbbbb", newStep(1))
			time.Sleep(time.Second)
			started := len(w.starts)
			for range 5 {
				w.exchange()
			}
			if len(w.starts) != started+1 {
				t.Errorf("%d tasks: a later job is not started", spec.TotalTasks())
			}
		})
	}
}

// TestNewOwnerReadsRowsOfLargeJob guards against tasks of a large job that run again, or from
// the beginning, after a takeover: with the rows of this version, and with the single row of
// the one before.
func TestNewOwnerReadsRowsOfLargeJob(t *testing.T) {
	const tasks, done, saved = 470, 250, 300
	for _, legacy := range []bool{false, true} {
		p := &workflow.Progress{Begun: true}
		runOwner(t, func(r *harness) {
			spec := r.submitLarge(tasks, 0)
			for i := range saved {
				kind := workflow.EndStopped
				if i < done {
					kind = workflow.EndDone
				}
				p.RecordEnd(spec, workflow.RunID{Task: workflow.TaskID{Job: testJob, Index: i}, Attempt: 1}, kind, "saved")
			}
			if legacy {
				r.putJSON(workflow.ProgressPrefix+testJob, p)
				return
			}
			for _, row := range append(p.TakeChangedRows(), workflow.MainRow) {
				value, err := p.EncodeRow(spec, row, rowstore.MaxRowBytes)
				if err != nil {
					t.Fatal(err)
				}
				r.table.Put(testTable, workflow.ProgressKey(testJob, row), value)
			}
		}, func(r *harness) {
			resumed := 0
			w := r.newTestWorker("w", func(s workflowrpc.Start) (workflow.EndKind, string) {
				if s.Checkpoint != "" {
					resumed++
				}
				if s.ID.Task.Index == tasks-1 {
					return workflow.EndStopped, "" // so that the job goes on
				}
				return workflow.EndDone, ""
			})
			for range 30 {
				w.exchange()
			}
			time.Sleep(time.Second)
			for i := range done {
				if n := w.starts[workflow.TaskID{Job: testJob, Index: i}]; n > 0 {
					t.Fatalf("legacy %v: task %d, which was done, was started", legacy, i)
				}
			}
			if len(w.starts) != tasks-done || resumed != saved-done {
				t.Errorf("legacy %v: %d tasks were started, %d with a checkpoint; want %d, %d", legacy, len(w.starts), resumed, tasks-done, saved-done)
			}
			stored := r.storedParts()
			if n := len(stored.StepProgress(&workflow.Spec{Steps: []workflow.Step{{Tasks: tasks}}}, workflow.StepID{}).Done); n != tasks-1 {
				t.Errorf("legacy %v: %d tasks are stored as done, want %d", legacy, n, tasks-1)
			}
			if chunks, main := len(r.rows(workflow.ProgressChunkPrefix)), r.progress(); chunks != 3 || len(main.Parts) > 0 || !main.Begun {
				t.Errorf("legacy %v: %d rows of chunks and the main row %+v; want 3 and one without parts", legacy, chunks, main)
			}
		})
	}
}

// TestChunkOfFormerOwnerIsMerged guards against a result that is lost when a former owner has
// written a row of a large job that the present one writes as well.
func TestChunkOfFormerOwnerIsMerged(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		spec := r.submitLarge(470, 0)
		former := &workflow.Progress{}
		former.RecordEnd(spec, workflow.RunID{Task: workflow.TaskID{Job: testJob, Index: 469}, Attempt: 1}, workflow.EndDone, "")
		w := r.newTestWorker("w", func(s workflowrpc.Start) (workflow.EndKind, string) {
			if s.ID.Task.Index == 469 {
				return workflow.EndStopped, ""
			}
			return workflow.EndDone, ""
		})
		w.exchange()
		w.exchange()
		row := former.TakeChangedRows()[0]
		value, err := former.EncodeRow(spec, row, rowstore.MaxRowBytes)
		if err != nil {
			t.Fatal(err)
		}
		r.table.Put(testTable, workflow.ProgressKey(testJob, row), value)
		for range 30 {
			w.exchange()
		}
		if s := r.storedState(testJob); s != workflow.StateCompleted {
			t.Errorf("stored state %q, want completed with the result of the former owner", s)
		}
	})
}

// TestRowsOfLargeJobAreRemoved guards against rows of ended jobs that are never removed.
func TestRowsOfLargeJobAreRemoved(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		r.submitLarge(workflow.MaxTasks, 2)
		w := r.newTestWorker("w", stopOnce)
		for range 100 {
			w.exchange()
		}
		if n := len(r.rows(workflow.ProgressChunkPrefix)); n < 50 {
			t.Fatalf("the job has only %d rows of chunks, %d tasks started, state %q", n, len(w.starts), r.storedState(testJob))
		}
		time.Sleep(time.Minute + gcClockMargin + 5*gcInterval)
		for _, prefix := range []string{workflow.RecordPrefix, workflow.ProgressPrefix, workflow.ProgressChunkPrefix} {
			if rows := r.rows(prefix); len(rows) > 0 {
				t.Errorf("%d rows with the prefix %s are left", len(rows), prefix)
			}
		}
	})
}

// TestStartsInReplyAreLimited guards against a reply with the starts of a wide step that is so
// large that the agent gives up the call, each time.
func TestStartsInReplyAreLimited(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		const tasks = 670
		step := workflow.Step{Tasks: tasks, Need: workflow.Resources{CPUMilli: 50}, Estimate: 1000}
		r.putJSON(workflow.RecordPrefix+testJob, workflow.Record{
			ID: testJob, Queue: "q", Account: "a", Terms: workflow.Terms{MaxAttempts: 2, Stretch: 3},
			Spec: workflow.Spec{Payload: strings.Repeat("x", workflow.MaxPayloadBytes), Steps: []workflow.Step{step}},
		})
		started := map[workflow.RunID]bool{}
		for range 50 {
			reply := r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) {
				for id := range started {
					a.Runs = append(a.Runs, workflowrpc.Run{ID: id, State: workflowrpc.RunRunning})
				}
			})
			size := 0
			for _, s := range reply.Start {
				size += len(s.Payload)
				started[s.ID] = true
			}
			if size > maxReplyPayload+workflow.MaxPayloadBytes {
				t.Fatalf("a reply has payloads of %d bytes", size)
			}
		}
		if len(started) != tasks {
			t.Errorf("%d of %d tasks were started", len(started), tasks)
		}
	})
}
