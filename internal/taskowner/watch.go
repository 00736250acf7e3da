package taskowner

import (
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/taskplan"
	"github.com/parsleypier/parsleypier/internal/taskrpc"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Constants of the watch on running work.
const (
	// stallMin is the shortest time without progress after which a run counts as
	// stalled: two listings of the worker, which come each second, and what is
	// late of them.
	stallMin = 2600 * time.Millisecond
	// stallShare is the part of the expected run time for which a run may make no
	// progress: a long task moves its percentage less often.
	stallShare = 0.2
	// slowFactor is how many times as slow as on other workers work has to be for a
	// worker to count as slow, slowMinRuns the runs that show it, and slowMinAge the
	// age from which a run's pace is judged.
	slowFactor  = 2.5
	slowMinRuns = 2
	slowMinAge  = 1200 * time.Millisecond
	// moveFactor is how many times longer a run has to go on than a new run
	// elsewhere takes for it to be moved.
	moveFactor = 1.5
	// moveAttempts bounds the attempts of a task that is moved.
	moveAttempts = 2
)

// endStalled stops runs that make no progress, to start them elsewhere.
func (o *Owner) endStalled() {
	now := o.now()
	for _, w := range o.workers {
		for _, r := range w.runs {
			limit := max(stallMin, time.Duration(stallShare*float64(r.expected)))
			if r.state != taskrpc.RunRunning || r.stopping != "" || r.step.Persistent || now-r.moved < limit || o.gangIncomplete(r) {
				continue
			}
			r.job.avoid[w.id] = true
			o.health.Failure(now, w.id, r.job.rec.Queue, r.job.id, true)
			o.stopRun(r, "stalled")
		}
	}
}

// gangIncomplete reports whether a run still waits for the others of its gang.
func (o *Owner) gangIncomplete(r *run) bool {
	if !r.step.Gang {
		return false
	}
	others := o.gang(r)
	return len(others)+1 < r.step.Tasks || slices.ContainsFunc(others, func(other *run) bool { return other.state == taskrpc.RunStarting })
}

// pace returns how many times as long as expected a run takes at its present
// pace; false if that can't be said yet.
func (o *Owner) pace(r *run) (float64, bool) {
	age := o.now() - r.started
	if r.state != taskrpc.RunRunning || r.resumed || r.remote || r.step.Persistent || r.percent < 1 || age < slowMinAge || r.expected <= 0 {
		return 0, false
	}
	// The percentage is of the last listing, up to a second old.
	listed := max(r.moved-r.started, slowMinAge/2)
	return float64(listed) * 100 / float64(r.percent) / float64(r.expected), true
}

// slowdowns returns how many times as slow as usual work is on the workers that
// are slow. Estimates may be off, but equally so on all workers.
func (o *Owner) slowdowns() map[string]float64 {
	byWorker := map[string][]float64{}
	var all []float64
	for _, w := range o.workers {
		for _, r := range w.runs {
			if p, ok := o.pace(r); ok {
				byWorker[w.id] = append(byWorker[w.id], p)
				all = append(all, p)
			}
		}
	}
	usual := median(all)
	out := map[string]float64{}
	if usual <= 0 {
		return out
	}
	for id, paces := range byWorker {
		if factor := median(paces) / usual; len(paces) >= slowMinRuns && len(all) > 2*len(paces) && factor > slowFactor {
			out[id] = factor
		}
	}
	return out
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// moveFromSlow stops runs on slow workers that would end sooner elsewhere.
func (o *Owner) moveFromSlow(snap *taskplan.Snapshot, slow map[string]float64) {
	for id := range slow {
		w := o.workers[id]
		for _, r := range w.runs {
			p, ok := o.pace(r)
			if !ok || r.stopping != "" || r.step.Gang || r.job.attempts[r.id.Task]-o.firstAttempt(r.job)+1 >= moveAttempts {
				continue
			}
			left := time.Duration(p * float64(r.expected) * float64(100-r.percent) / 100)
			again := r.expected + o.o.Times.StopGrace
			if float64(left) > moveFactor*float64(again) && roomElsewhere(snap, slow, r.step.Holds()) {
				r.job.avoid[id] = true
				o.stopRun(r, "slow worker")
			}
		}
	}
}

func roomElsewhere(snap *taskplan.Snapshot, slow map[string]float64, need workflow.Resources) bool {
	for i := range snap.Workers {
		w := &snap.Workers[i]
		if w.Usable && slow[w.ID] == 0 && w.Free.Fits(need) {
			w.Free = w.Free.Add(need, -1) // one place for each run that is moved
			return true
		}
	}
	return false
}
