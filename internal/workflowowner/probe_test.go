package workflowowner

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// persistentWorker reports a worker whose runs stay at work unless the test ends them.
type persistentWorker struct {
	r       *harness
	seq     uint64
	ends    []workflowrpc.End
	running map[workflow.RunID]bool
	failing bool
}

// exchange makes calls for a time.
func (w *persistentWorker) exchange(d time.Duration) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		reply := w.r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) {
			a.Ends, a.Wait = w.ends, 20*time.Millisecond
			for id := range w.running {
				a.Runs = append(a.Runs, workflowrpc.Run{ID: id, State: workflowrpc.RunRunning, Percent: 100})
			}
		})
		for len(w.ends) > 0 && w.ends[0].Seq <= reply.Noted {
			w.ends = w.ends[1:]
		}
		for _, s := range reply.Start {
			w.running[s.ID] = true
			if w.failing {
				w.end(s.ID, workflow.EndFailed)
			}
		}
	}
}

func (w *persistentWorker) end(id workflow.RunID, kind workflow.EndKind) {
	delete(w.running, id)
	w.seq++
	w.ends = append(w.ends, workflowrpc.End{Seq: w.seq, ID: id, Kind: kind})
}

// failAll ends all runs as failed.
func (w *persistentWorker) failAll() {
	for id := range w.running {
		w.end(id, workflow.EndFailed)
	}
}

// submitPersistent stores a job of one persistent task, by its queue.
func (r *harness) submitPersistent(id, queue string) {
	step := newStep(1)
	step.Persistent = true
	r.putJSON(workflow.RecordPrefix+id, workflow.Record{ID: id, Queue: queue, Account: "a", Spec: workflow.Spec{Steps: []workflow.Step{step}}})
}

// TestPersistentTasksReturnToRecoveredWorker guards against a worker that gets a single task for good
// after it was quarantined: its probe is a persistent task, which never completes.
func TestPersistentTasksReturnToRecoveredWorker(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		w := &persistentWorker{r: r, running: map[workflow.RunID]bool{}, failing: true}
		r.submitPersistent(testJob, "q")
		r.submitPersistent(otherJob, "q2")
		w.exchange(time.Second)
		if w.seq < 2 {
			r.t.Fatalf("%d runs have failed, want both", w.seq)
		}
		w.failing = false
		w.exchange(12500 * time.Millisecond)
		if len(w.running) != 2 {
			r.t.Errorf("%d of 2 persistent tasks run 12.5 s after the worker recovered", len(w.running))
		}
	})
}

// TestProbedWorkerWithPersistentTask guards against a quarantined worker that gets no other task because
// a persistent one is at work there.
func TestProbedWorkerWithPersistentTask(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		w := &persistentWorker{r: r, running: map[workflow.RunID]bool{}}
		r.submitPersistent(testJob, "q")
		w.exchange(3 * time.Second)
		w.failing = true
		r.submitPersistent(otherJob, "q2")
		r.submitPersistent("5c0e7a21d94b36fa", "q3")
		w.exchange(2 * time.Second)
		w.failing = false
		w.exchange(13 * time.Second)
		if len(w.running) != 3 {
			r.t.Errorf("%d of 3 persistent tasks run 13 s after the worker recovered", len(w.running))
		}
	})
}

// TestFailuresOfPersistentTasksDoNotQuarantine guards against a healthy worker that gets no work for
// seconds because persistent tasks, which may fail at any time, have failed there.
func TestFailuresOfPersistentTasksDoNotQuarantine(t *testing.T) {
	runOwner(t, func(*harness) {}, func(r *harness) {
		w := &persistentWorker{r: r, running: map[workflow.RunID]bool{}}
		for i, id := range []string{testJob, otherJob, "5c0e7a21d94b36fa"} {
			r.submitPersistent(id, string(rune('q'+i)))
		}
		for n := range 5 {
			w.exchange(4 * time.Second)
			if len(w.running) != 3 {
				r.t.Fatalf("%d of 3 persistent tasks run 4 s after failure %d of all", len(w.running), n)
			}
			w.failAll()
		}
	})
}
