package workflowdaemon

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

var simFullCapacity = workflow.Resources{CPUMilli: 64000, MemoryMB: 262144, GPUs: 8}

const (
	// simCapacityGrace is the time from which a smaller capacity counts: the time for which
	// processes have to be in touch, and one heartbeat.
	simCapacityGrace = 4500 * time.Millisecond
	// faultCapacityShrunk names the changes of capacity in the counts of faults.
	faultCapacityShrunk = "capacity shrunk"
)

// simCapacity is a former capacity of a worker.
type simCapacity struct {
	until    time.Time
	capacity workflow.Resources
}

// setGPUs changes the number of GPUs that the worker has and reports.
func (w *simWorker) setGPUs(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacities = append(w.capacities, simCapacity{time.Now(), w.capacity})
	w.free.GPUs += n - w.capacity.GPUs
	w.capacity.GPUs = n
}

// checkCapacity checks that the worker has, or recently had, capacity for a run that it has
// just started beside the others. The caller holds mu.
func (w *simWorker) checkCapacity(r *simRun) {
	used := w.capacity.Add(w.free, -1)
	limit := w.capacity
	for _, c := range w.capacities {
		if time.Since(c.until) <= simCapacityGrace {
			limit.GPUs = max(limit.GPUs, c.capacity.GPUs)
		}
	}
	if !limit.Fits(used) && !r.startedLate {
		w.history.mu.Lock()
		w.history.addViolation("LIMIT: %s started on %s, which has %d GPUs with %d in use", r.id, w.id, limit.GPUs, used.GPUs)
		w.history.mu.Unlock()
	}
}

// changeCapacities shrinks and restores the capacity of random workers.
func (s *sim) changeCapacities(rng *lockedRand) {
	for range 8 {
		s.sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
		w, gpus := s.workers[rng.IntN(len(s.workers))], 1+rng.IntN(6)
		w.setGPUs(gpus)
		s.mu.Lock()
		s.faultCounts[faultCapacityShrunk]++
		s.mu.Unlock()
		time.AfterFunc(time.Duration(2000+rng.IntN(8000))*time.Millisecond, func() { w.setGPUs(simFullCapacity.GPUs) })
	}
}

// Guards against starts beyond the capacity of workers that have shrunk, by an owner that
// has just taken over: it knows them from rows that are as old as the workers.
func TestNewOwnerRespectsShrunkCapacity(t *testing.T) {
	runScenario(t, func(s *sim) {
		s.eachWorker(func(w *simWorker) { w.unguarded = true })
		for _, w := range s.workers {
			w.setGPUs(2)
		}
		s.sleep(2 * simCapacityGrace)
		s.killEntry(s.ownerID())
		s.mustSubmit(s.randomEntry(), crashingJob, workflow.Spec{Payload: "x", Steps: []workflow.Step{{Tasks: 30, Need: smallTask, Estimate: 2000}}})
		s.waitForEnd(crashingJob)
	})
}

// Guards against starts beyond a capacity that shrank while the agent was out of touch with
// the owner: orders that it has not received must not be carried out afterwards.
func TestOrdersForFormerCapacityAreNotCarriedOut(t *testing.T) {
	runScenario(t, func(s *sim) {
		s.eachWorker(func(w *simWorker) { w.unguarded = true })
		for _, w := range s.workers {
			s.setIsolated("agent-"+w.id, true)
		}
		s.mustSubmit(s.randomEntry(), crashingJob, workflow.Spec{Payload: "x", Steps: []workflow.Step{{Tasks: 48, Need: smallTask, Estimate: 2000}}})
		for _, w := range s.workers {
			w.setGPUs(2)
		}
		s.table.SetFaults(rowstorestub.Faults{Delay: 100 * time.Millisecond})
		s.sleep(simCapacityGrace + 300*time.Millisecond)
		for _, w := range s.workers {
			s.setIsolated("agent-"+w.id, false)
		}
		s.waitForEnd(crashingJob)
	})
}
