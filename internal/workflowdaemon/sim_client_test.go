package workflowdaemon

import (
	"context"
	"time"

	"github.com/parsleypier/parsleypier/internal/gateway"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// randomSpec returns a random job of one or two steps.
func (s *sim) randomSpec(rng *lockedRand) workflow.Spec {
	spec := workflow.Spec{Payload: "x"}
	for i := range 1 + rng.IntN(2) {
		step := workflow.Step{
			Tasks: 1 + rng.IntN(4), Estimate: workflow.Millis(500 + rng.IntN(4000)), Checkpoint: rng.IntN(3) == 0,
			Need: workflow.Resources{CPUMilli: 6000, MemoryMB: 20000, GPUs: 1 << rng.IntN(4)}, Gang: rng.IntN(4) == 0,
		}
		if i > 0 {
			step.After = []int{0}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// runClient submits a job as the platform's clients do, cancels it if cancel is
// set, and asks for its state until it has ended.
func (s *sim) runClient(id string, spec workflow.Spec, queue string, cancel bool) {
	s.history.mu.Lock()
	s.history.specs[id] = spec
	s.history.mu.Unlock()
	refused, accepted := true, false
	for range 4 {
		e := s.randomEntry()
		if e == nil {
			s.sleep(300 * time.Millisecond)
			continue
		}
		q := simQueue(queue)
		ctx, end := context.WithTimeout(s.ctx, 2*time.Second)
		err := e.Gateway.Submit(ctx, q, "a", id, spec)
		end()
		if err == nil {
			accepted = true
			break
		}
		refused = refused && verdict.Of(err) == verdict.NotRun
		s.sleep(time.Duration(100+s.rng.IntN(500)) * time.Millisecond)
	}
	if !accepted {
		if refused {
			s.history.mu.Lock()
			s.history.refused[id] = true
			s.history.mu.Unlock()
		}
		return
	}
	if cancel {
		s.sleep(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
		s.cancelJob(id, queue)
	}
	s.followJob(id, queue)
}

func simQueue(name string) *gateway.Queue {
	c, _ := simDecode(nil)
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// cancelJob cancels a job, retrying until an entry confirms the cancellation.
func (s *sim) cancelJob(id, queue string) {
	for s.ctx.Err() == nil {
		if e := s.randomEntry(); e != nil {
			ctx, end := context.WithTimeout(s.ctx, 2*time.Second)
			known, err := e.Gateway.Cancel(ctx, simQueue(queue), id)
			end()
			if err == nil {
				if !known {
					s.addViolation("LOST: cancellation of %s: the job is reported as unknown", id)
				}
				s.history.mu.Lock()
				s.history.cancelled[id] = time.Now()
				s.history.mu.Unlock()
				return
			}
		}
		s.sleep(300 * time.Millisecond)
	}
}

func (s *sim) addViolation(format string, args ...any) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.addViolation(format, args...)
}

// followJob asks for the state of an accepted job until it has ended, and checks
// it.
func (s *sim) followJob(id, queue string) {
	for s.ctx.Err() == nil {
		s.sleep(400 * time.Millisecond)
		e := s.randomEntry()
		if e == nil {
			continue
		}
		ctx, end := context.WithTimeout(s.ctx, time.Second)
		state, known, err := e.Gateway.State(ctx, simQueue(queue), id)
		end()
		if err != nil {
			continue
		}
		if !known {
			s.addViolation("LOST: accepted job %s is reported as unknown", id)
			return
		}
		if state.Final() {
			s.checkFinalState(id, state)
			return
		}
	}
	s.addViolation("LOST: accepted job %s has not ended", id)
}

// checkFinalState checks the reported final state of a job against the task ends
// that the workers recorded.
func (s *sim) checkFinalState(id string, state workflow.State) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	spec := s.history.specs[id]
	_, cancelled := s.history.cancelled[id]
	switch state {
	case workflow.StateCompleted:
		for i := range spec.Steps {
			for n := range spec.Steps[i].Tasks {
				if !s.history.isDone(workflow.TaskID{Job: id, Step: i, Index: n}, nil) {
					s.history.addViolation("MIXED: job %s is reported as completed, but task %d of step %d is not done", id, n, i)
				}
			}
		}
	case workflow.StateFailed:
		most := 0
		for t := range s.history.failed {
			if t.Job == id {
				most = max(most, s.history.failedAttempts(t))
			}
		}
		if most < simMaxAttempts && s.history.mostCrashes(id) < minSimCrashes {
			s.history.addViolation("LOST: job %s is reported as failed after %d failed attempts", id, most)
		}
	case workflow.StateCancelled:
		if !cancelled {
			s.history.addViolation("LOST: job %s is reported as cancelled without a request", id)
		}
	}
}
