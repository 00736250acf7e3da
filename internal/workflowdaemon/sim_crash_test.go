package workflowdaemon

import (
	"testing"
	"time"

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

// stateOf returns the state of a job that an entry reports, or an empty state.
func (s *sim) stateOf(id string) workflow.State {
	e := s.randomEntry()
	if e == nil {
		return ""
	}
	state, _, err := e.Gateway.State(s.ctx, simQueue("batch"), id)
	if err != nil {
		return ""
	}
	return state
}

// Jobs of the tests of crashes.
const (
	crashingJob = "5c0e7a21d94b36f8"
	healthyJob  = "5c0e7a21d94b36f9"
)

var smallTask = workflow.Resources{CPUMilli: 1000, MemoryMB: 100, GPUs: 1}

// submitCrashing submits a job with one task that crashes each worker that starts it.
func (s *sim) submitCrashing() {
	s.t.Helper()
	s.history.addCrashingTask(workflow.TaskID{Job: crashingJob})
	s.mustSubmit(s.randomEntry(), crashingJob, workflow.Spec{Payload: "x", Steps: []workflow.Step{{Tasks: 1, Need: smallTask, Estimate: 1000}}})
}

// Guards against a task that crashes worker after worker, because a run that is lost with
// its worker leaves no trace: all workers of a deployment crashed every 0.4 s until the day
// ended (deadly, andrade-sleeves, seed 3).
func TestCrashingTaskIsGivenUp(t *testing.T) {
	runScenario(t, func(s *sim) {
		s.submitCrashing()
		s.waitForEnd(crashingJob)
		if state := s.stateOf(crashingJob); state != workflow.StateFailed {
			t.Errorf("the job is %q, want failed", state)
		}
	})
}
