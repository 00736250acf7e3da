package workflowowner

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// failureBackoff delays starts on a worker whose runs fail. A failure may be caused by
// the task or by the worker; further runs on the worker show which.
type failureBackoff struct {
	// failedJobs counts the jobs with failed runs on the worker since the last run there
	// that completed. lastJob is the last of these jobs.
	failedJobs int
	lastJob    string
	// failedAt is the time of the last counted failure and until the end of the pause, both on the
	// owner's clock.
	failedAt, until time.Duration
}

// failurePauses are the times without starts after the first, the second and each
// further job with a failed run. One in 50 to 200 runs fails because of its task, so two
// in a row suggest that the worker is at fault.
var failurePauses = []time.Duration{time.Second, 4 * time.Second, 8 * time.Second}

// recordFailure pauses starts on the worker after a failed run of the job.
func (b *failureBackoff) recordFailure(now time.Duration, job string) {
	if job != b.lastJob {
		b.failedJobs++
		b.lastJob = job
	}
	b.failedAt, b.until = now, now+failurePauses[min(b.failedJobs, len(failurePauses))-1]
}

// pause delays starts on the worker without counting a failure against it.
func (b *failureBackoff) pause(now time.Duration) { b.until = max(b.until, now+failurePauses[0]) }

func (b *failureBackoff) reset() { *b = failureBackoff{} }

// probing reports whether the worker failed several jobs, and so gets one task at a time
// to test whether it is healthy.
func (b *failureBackoff) probing() bool { return b.failedJobs > 1 }

// provenAfter is how long the run of a persistent task, which does not complete, has to be at
// work to show that its worker is healthy.
const provenAfter = time.Second

// proveRuns records the persistent runs that show that their workers are healthy.
func (o *Owner) proveRuns() {
	now := o.now()
	for _, w := range o.workers {
		for _, r := range w.runs {
			if r.proven || !r.step.Persistent || r.startedAt == 0 || now-r.startedAt < provenAfter || w.info.Silent > 0 {
				continue
			}
			r.proven = true
			o.health.Success(now, w.id, r.job.record.Queue, r.job.id)
			if r.orderedAt >= w.backoff.failedAt {
				w.backoff.reset()
			}
		}
	}
}

// proven returns the capacity held by the worker's proven runs.
func (w *worker) proven() workflow.Resources {
	var held workflow.Resources
	for _, r := range w.runs {
		if r.proven {
			held = held.Add(r.step.HeldResources(), 1)
		}
	}
	return held
}
