package workflowdaemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// crashByRun ends the worker's process because of a run, if it still runs. The worker is
// back after simRestart.
func (w *simWorker) crashByRun(r *simRun) {
	w.mu.Lock()
	running := w.up && w.runs[r.id] == r
	w.mu.Unlock()
	if !running {
		return
	}
	w.history.mu.Lock()
	w.history.crashing[r.id.Task]++
	w.history.mu.Unlock()
	w.crashProcess()
	time.AfterFunc(simRestart, w.reboot)
}

// faultCrashByTask names the crashes of workers by tasks in the counts of faults.
const faultCrashByTask = "worker crashed by a task"

// simCrashingJobs is the number of jobs of which one crashes workers, on average.
const simCrashingJobs = 10

// crashWorkers crashes random workers three times, with their machines up.
func (s *sim) crashWorkers(rng *lockedRand) {
	for range 3 {
		s.sleep(time.Duration(rng.IntN(8000)) * time.Millisecond)
		w := s.workers[rng.IntN(len(s.workers))]
		w.crashProcess()
		time.AfterFunc(simRestart, w.reboot)
	}
}

// crashProcess stops the worker's process, while its machine goes on.
func (w *simWorker) crashProcess() {
	w.crash()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusing = !w.up
}

// crashesWorkers reports whether a task crashes the workers that start it.
func (h *history) crashesWorkers(t workflow.TaskID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.crashing[t]
	return ok
}

// mostCrashes returns the largest number of crashes by one task of a job. The caller holds
// mu.
func (h *history) mostCrashes(job string) int {
	most := 0
	for t, n := range h.crashing {
		if t.Job == job {
			most = max(most, n)
		}
	}
	return most
}

// addCrashingTask makes a task of a job crash each worker that starts it.
func (h *history) addCrashingTask(t workflow.TaskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashing[t] = 0
}

// Jobs of the tests of crashes.
const (
	crashingJob = "5c0e7a21d94b36f8"
)

var smallTask = workflow.Resources{CPUMilli: 1000, MemoryMB: 100, GPUs: 1}

// submitCrashing submits a job with one task that crashes each worker that starts it.
func (s *sim) submitCrashing() {
	s.t.Helper()
	s.history.addCrashingTask(workflow.TaskID{Job: crashingJob})
	s.mustSubmit(s.randomEntry(), crashingJob, workflow.Spec{Payload: "x", Steps: []workflow.Step{{Tasks: 1, Need: smallTask, Estimate: 1000}}})
}

// waitForCrashes waits until the crashing task has crashed n workers.
func (s *sim) waitForCrashes(n int) {
	s.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		s.history.mu.Lock()
		crashes := s.history.mostCrashes(crashingJob)
		s.history.mu.Unlock()
		if crashes >= n {
			return
		}
	}
	s.t.Fatalf("the task has not crashed %d workers", n)
}

// expectState waits for the end of a job and checks its state.
func (s *sim) expectState(id string, want workflow.State) {
	s.t.Helper()
	if state := s.waitForEnd(id); state != want {
		s.t.Errorf("job %s is %q, want %q", id, state, want)
	}
}

// Guards against a task that crashes worker after worker, because a run that is lost with
// its worker leaves no trace: all workers of a deployment crashed every 0.4 s until the day
// ended (deadly, andrade-sleeves, seed 3).
func TestCrashingTaskIsGivenUp(t *testing.T) {
	runScenario(t, func(s *sim) {
		s.submitCrashing()
		s.expectState(crashingJob, workflow.StateFailed)
	})
}

// Guards against a member of a gang that crashes worker after worker. The other members run
// elsewhere, and end because of the crash.
func TestCrashingGangMemberIsGivenUp(t *testing.T) {
	runScenario(t, func(s *sim) {
		s.history.addCrashingTask(workflow.TaskID{Job: crashingJob, Index: 2})
		s.mustSubmit(s.randomEntry(), crashingJob, workflow.Spec{Payload: "x", Steps: []workflow.Step{
			{Tasks: 4, Need: workflow.Resources{CPUMilli: 1000, MemoryMB: 100, GPUs: 8}, Estimate: 1000, Gang: true},
		}})
		s.expectState(crashingJob, workflow.StateFailed)
	})
}

// Guards against healthy jobs that are shown as failed, because they ran beside a task that
// crashes its workers: several times, and together with it from the start.
func TestJobsBesideCrashingTaskAreServed(t *testing.T) {
	runScenario(t, func(s *sim) {
		s.eachWorker(func(w *simWorker) { w.reliable = true })
		for i := range 6 { // few workers are left, so that all start on the same ones
			s.mustSubmit(s.randomEntry(), fmt.Sprintf("%016x", i), workflow.Spec{Payload: "x", Steps: []workflow.Step{{Tasks: 4, Need: smallTask, Estimate: 3000}}})
		}
		s.submitCrashing()
		s.expectState(crashingJob, workflow.StateFailed)
		for i := range 6 {
			s.expectState(fmt.Sprintf("%016x", i), workflow.StateCompleted)
		}
	})
}

// Guards against a task that crashes worker after worker while owners are lost: each owner
// that forgets the crashes under its predecessors allows as many again.
func TestCrashingTaskIsGivenUpAcrossTakeovers(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(s *sim)
	}{
		{"owner killed", func(s *sim) {
			id := s.ownerID()
			s.killEntry(id)
			s.sleep(time.Second)
			s.startEntry(id)
		}},
		{"owner cut off", func(s *sim) {
			id := s.ownerID()
			s.setIsolated(id, true)
			s.sleep(4 * time.Second)
			s.setIsolated(id, false)
		}},
		{"store down", func(s *sim) {
			s.table.SetFaults(rowstorestub.Faults{Down: true})
			s.sleep(3 * time.Second)
			id := s.ownerID()
			s.killEntry(id)
			s.sleep(time.Second)
			s.table.SetFaults(rowstorestub.Faults{})
			s.startEntry(id)
		}},
		{"all processes killed", func(s *sim) {
			for _, id := range []string{"entry0", "entry1", "entry2"} {
				s.killEntry(id)
			}
			for _, w := range s.workers {
				s.killAgent(w.id)
			}
			s.sleep(time.Second)
			for _, id := range []string{"entry0", "entry1", "entry2"} {
				s.startEntry(id)
			}
			for _, w := range s.workers {
				s.startAgent(w.id)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, func(s *sim) {
				s.submitCrashing()
				for n := range 2 {
					s.waitForCrashes(n + 1)
					c.lose(s)
				}
				s.expectState(crashingJob, workflow.StateFailed)
			})
		})
	}
}

// Guards against a crash that is forgotten because the agent is replaced just then: the
// worker has crashed, but its connections have not been refused for long enough to tell, or
// the owner has not answered the report yet (TestSoak, seed 7004).
func TestCrashingTaskIsGivenUpWhileAgentsAreReplaced(t *testing.T) {
	runScenario(t, func(s *sim) {
		s.submitCrashing()
		for n := range maxSimCrashes {
			s.waitForCrashes(n + 1)
			for _, w := range s.workers {
				w.mu.Lock()
				refusing := w.refusing
				w.mu.Unlock()
				if refusing {
					s.endAgent(w.id, (*Agent).Close)
					s.startAgent(w.id)
				}
			}
		}
		s.expectState(crashingJob, workflow.StateFailed)
		s.history.mu.Lock()
		defer s.history.mu.Unlock()
		if n := s.history.mostCrashes(crashingJob); n > maxSimCrashes {
			t.Errorf("the task has crashed %d workers, want %d", n, maxSimCrashes)
		}
	})
}
