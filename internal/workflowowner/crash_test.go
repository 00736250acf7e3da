package workflowowner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// reportCrash reports that a worker has crashed with runs of the given ages.
func (r *harness) reportCrash(id string, incarnation int64, ages map[workflow.RunID]time.Duration) *workflowrpc.SyncReply {
	return r.report(id, "addr-"+id, incarnation, func(a *workflowrpc.SyncArgs) {
		a.Worker.Gone, a.Worker.End = true, workflowrpc.WorkerCrashed
		for run, age := range ages {
			a.Runs = append(a.Runs, workflowrpc.Run{ID: run, State: workflowrpc.RunRunning, AgeAtCrash: age})
		}
	})
}

// startOn reports an idle worker until it is ordered to start something, and returns the
// runs in the order of the reply.
func (r *harness) startOn(id string) []workflow.RunID {
	r.t.Helper()
	var runs []workflow.RunID
	for _, s := range r.awaitStarts(id, "addr-"+id, 1, 3*time.Second) {
		runs = append(runs, s.ID)
	}
	return runs
}

const otherJob = "5c0e7a21d94b36f9"

// Guards against healthy jobs that are given up because they ran beside a task that
// crashes its workers. Two jobs start together on each worker, and each worker crashes
// until one job has only itself to blame.
func TestNeighbourOfCrashingTaskIsServed(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		r.submit(otherJob, newStep(1))
		runs := r.startOn("w0")
		if len(runs) != 2 {
			t.Fatalf("the first worker got %v, want a run of both jobs", runs)
		}
		r.reportCrash("w0", 1, map[workflow.RunID]time.Duration{runs[0]: 10 * time.Millisecond, runs[1]: 10 * time.Millisecond})
		for n := 1; n < 20; n++ {
			worker := fmt.Sprint("w", n)
			runs := r.startOn(worker)
			if len(runs) == 0 {
				break
			}
			if len(runs) != 1 {
				t.Fatalf("%s got %v, want one suspected run at a time", worker, runs)
			}
			if runs[0].Task.Job == testJob {
				r.reportCrash(worker, 1, map[workflow.RunID]time.Duration{runs[0]: 10 * time.Millisecond})
				continue
			}
			r.report(worker, "addr-"+worker, 1, func(a *workflowrpc.SyncArgs) {
				a.Ends = []workflowrpc.End{{Seq: 1, ID: runs[0], Kind: workflow.EndDone}}
			})
		}
		time.Sleep(time.Second)
		r.owner.mu.Lock()
		defer r.owner.mu.Unlock()
		if state := r.owner.jobs[testJob].progress.State; state != workflow.StateFailed {
			t.Errorf("the job that crashes workers is %q, want failed", state)
		}
		if state := r.owner.jobs[otherJob].progress.State; state != workflow.StateCompleted {
			t.Errorf("its neighbour is %q, want completed", state)
		}
	})
}

// Guards against evidence against a task that had long been running when another one
// started and crashed the worker: five such crashes showed a healthy job as failed.
func TestOlderRunIsNotBlamedBesideYoungOne(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		for n := range 6 {
			worker := fmt.Sprint("w", n)
			runs := r.startOn(worker)
			if len(runs) != 1 || runs[0].Task.Job != testJob {
				t.Fatalf("%s got %v, want the run of the job", worker, runs)
			}
			young := workflow.RunID{Task: workflow.TaskID{Job: otherJob}, Attempt: n + 1}
			r.reportCrash(worker, 1, map[workflow.RunID]time.Duration{runs[0]: 3 * time.Second, young: 10 * time.Millisecond})
		}
		if crashes := r.progress().Parts[0]; crashes != nil && len(crashes.Crashes) > 0 {
			t.Errorf("crashes %+v are recorded, want none", crashes.Crashes)
		}
	})
}

// Guards against blaming tasks for workers that end for another reason: the worker leaves,
// its machine is lost, or it crashes before the start reaches it.
func TestOtherEndsOfWorkersAreNoEvidence(t *testing.T) {
	for _, c := range []struct {
		name string
		end  workflowrpc.WorkerEnd
		age  time.Duration
	}{
		{"left", workflowrpc.WorkerLeft, 0},
		{"vanished", workflowrpc.WorkerVanished, 0},
		{"crashed before the start", workflowrpc.WorkerCrashed, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runOwner(t, func(r *harness) {}, func(r *harness) {
				r.submit(testJob, newStep(1))
				for n := range 8 {
					worker := fmt.Sprint("w", n)
					runs := r.startOn(worker)
					if len(runs) != 1 {
						t.Fatalf("%s got %v, want the run of the job", worker, runs)
					}
					r.report(worker, "addr-"+worker, 1, func(a *workflowrpc.SyncArgs) {
						a.Worker.Gone, a.Worker.End = true, c.end
						a.Runs = []workflowrpc.Run{{ID: runs[0], State: workflowrpc.RunStarting, AgeAtCrash: c.age}}
					})
				}
			})
		})
	}
}

// Guards against an owner that forgets the crashes under its predecessors: each takeover
// then allows as many again.
func TestNewOwnerCountsEarlierCrashes(t *testing.T) {
	crash := func(worker string) workflow.Crash {
		return workflow.Crash{Worker: worker, Incarnation: 1, AtStart: true, Alone: true}
	}
	runOwner(t, func(r *harness) {
		r.submit(testJob, newStep(1))
		r.putProgress(testJob, crash("a"), crash("b"))
		r.submit(otherJob, newStep(1))
		r.putProgress(otherJob, crash("a"), crash("b"), crash("c"))
	}, func(r *harness) {
		runs := r.startOn("w0")
		if len(runs) != 1 || runs[0].Task.Job != testJob {
			t.Fatalf("started %v, want only the job with two crashes", runs)
		}
		r.reportCrash("w0", 1, map[workflow.RunID]time.Duration{runs[0]: 10 * time.Millisecond})
		if runs := r.startOn("w1"); len(runs) > 0 {
			t.Errorf("started %v after the third crash", runs)
		}
	})
}

// Guards against a crash that is forgotten because the worker's next incarnation reports
// first.
func TestCrashOfEarlierIncarnationCounts(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		for n := range int64(3) {
			starts := r.awaitStarts("w", "a", n+1, 3*time.Second)
			if len(starts) != 1 {
				t.Fatalf("start %d: got %v, want the run of the job", n+1, starts)
			}
			r.report("w", "a", n+2, nil)
			r.reportCrash("w", n+1, map[workflow.RunID]time.Duration{starts[0].ID: 10 * time.Millisecond})
		}
		r.owner.mu.Lock()
		defer r.owner.mu.Unlock()
		if state := r.owner.jobs[testJob].progress.State; state != workflow.StateFailed {
			t.Errorf("the job is %q after the third crash, want failed", state)
		}
	})
}

// Guards against a crash that is forgotten with its owner: the agent must repeat its report
// until the crash is stored.
func TestCrashIsReportedUntilStored(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		runs := r.startOn("w0")
		if len(runs) != 1 {
			t.Fatalf("got %v, want the run of the job", runs)
		}
		crash := map[workflow.RunID]time.Duration{runs[0]: 10 * time.Millisecond}
		r.table.SetFaults(rowstorestub.Faults{Down: true})
		for range 5 {
			if reply := r.reportCrash("w0", 1, crash); !reply.ReportAgain {
				t.Fatal("the agent may forget a crash while the store is down")
			}
		}
		r.table.SetFaults(rowstorestub.Faults{})
		again := 0
		for r.reportCrash("w0", 1, crash).ReportAgain {
			if again++; again > 20 {
				t.Fatal("the agent has to report the crash for ever")
			}
		}
		if got := r.progress().Parts[0].Crashes[0]; len(got) != 1 {
			t.Errorf("stored crashes %+v, want one", got)
		}
	})
}

// Guards against a task that crashes more workers than its limit while the store is away,
// since what is not stored is lost with the owner and its agents. A task with one crash
// still starts again: most such tasks only ran beside the cause.
func TestTaskWithUnstoredCrashesWaits(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		for _, id := range []string{"w2", "w3"} { // their rows have to be stored before they get work
			r.report(id, "addr-"+id, 1, func(a *workflowrpc.SyncArgs) { a.Worker.Draining = true })
			time.Sleep(100 * time.Millisecond)
		}
		runs := r.startOn("w1")
		r.table.SetFaults(rowstorestub.Faults{Down: true})
		for _, id := range []string{"w1", "w2"} {
			if len(runs) == 0 {
				runs = r.startOn(id)
			}
			if len(runs) != 1 {
				t.Fatalf("%s got %v, want the run of the job", id, runs)
			}
			r.reportCrash(id, 1, map[workflow.RunID]time.Duration{runs[0]: 10 * time.Millisecond})
			runs = nil
		}
		if runs := r.startOn("w3"); len(runs) > 0 {
			t.Errorf("started %v with two crashes that are not stored", runs)
		}
		r.table.SetFaults(rowstorestub.Faults{})
		if runs := r.startOn("w3"); len(runs) != 1 {
			t.Errorf("started %v once the crashes are stored, want the run of the job", runs)
		}
	})
}

// Guards against a suspected task that waits for ever because no worker is ever idle, or
// because other tasks start on all workers all the time.
func TestWaitOfSuspectedTaskIsBounded(t *testing.T) {
	for _, c := range []struct {
		name     string
		longWork bool // one task runs all the time; otherwise a task starts every 0.3 s
		limit    time.Duration
	}{
		{"long work", true, maxIsolationWait},
		{"frequent starts", false, 2 * maxIsolationWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			runOwner(t, func(r *harness) {
				r.submit(testJob, newStep(1))
				r.putProgress(testJob, workflow.Crash{Worker: "a", Incarnation: 1, AtStart: true, Alone: true})
			}, func(r *harness) {
				step := newStep(1)
				step.Persistent = true
				attempt := 1
				r.submit(otherJob, step)
				time.Sleep(50 * time.Millisecond)
				began := time.Now()
				for time.Since(began) < 10*time.Second {
					reply := r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) {
						a.Runs = []workflowrpc.Run{{ID: workflow.RunID{Task: workflow.TaskID{Job: otherJob}, Attempt: attempt}, State: workflowrpc.RunRunning}}
						for n := 1; n < attempt; n++ {
							a.Ends = append(a.Ends, workflowrpc.End{Seq: uint64(n), ID: workflow.RunID{Task: workflow.TaskID{Job: otherJob}, Attempt: n}, Kind: workflow.EndStopped})
						}
					})
					for _, s := range reply.Start {
						if s.ID.Task.Job != testJob {
							continue
						}
						// The wait is counted from one decision to the next.
						if waited := time.Since(began); waited < c.limit-2*tickInterval || waited > c.limit+time.Second {
							t.Errorf("the task started after %v, want %v", waited, c.limit)
						}
						return
					}
					time.Sleep(10 * time.Millisecond)
					if !c.longWork {
						attempt++
					}
				}
				t.Error("the task did not start")
			})
		})
	}
}

// putProgress stores the progress of a job whose only task was on workers that crashed.
func (r *harness) putProgress(id string, crashes ...workflow.Crash) {
	p := &workflow.Progress{}
	for _, c := range crashes {
		p.RecordCrash(&workflow.Spec{Steps: []workflow.Step{newStep(1)}}, workflow.TaskID{Job: id}, c)
	}
	value, err := json.Marshal(p)
	if err != nil {
		r.t.Fatal(err)
	}
	r.table.Put(testTable, workflow.ProgressPrefix+id, value)
}
