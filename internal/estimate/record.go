package estimate

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// successRecordInterval is the shortest time between two versions of a worker's
// record that differ only by successes. Successes matter little, while a record of
// 16 outcomes takes up to 1 KB.
const successRecordInterval = 10 * time.Second

// Version returns the version of a worker's record. It is 0 until this owner has
// observed something worth recording.
func (h *Health) Version(worker string) uint32 {
	if w := h.workers.peek(worker); w != nil {
		return w.version
	}
	return 0
}

// Export returns the record of a worker for the next owner. Times in it are
// relative to now. Its size is bounded, since it has at most 16 outcomes.
func (h *Health) Export(now time.Duration, worker string) structs.WorkerHealth {
	w := h.workers.peek(worker)
	if w == nil {
		return structs.WorkerHealth{}
	}
	r := structs.WorkerHealth{Version: w.version, Quarantined: w.quarantined, Level: w.probeLevel, Successes: w.consecutiveSuccesses}
	if w.quarantined {
		r.ProbeIn = max(w.probeAt-now, 0)
	}
	for _, o := range w.outcomes {
		out := structs.WorkerOutcome{Age: now - o.at, Failed: o.failed, WorkerFault: o.workerFault}
		if o.failed {
			out.Kind, out.JobID = o.kind, o.job
		}
		r.Outcomes = append(r.Outcomes, out)
	}
	return r
}

// Import merges the record of an earlier owner, once for each worker, and reports
// whether it did. The imported outcomes precede those of this owner. If this owner
// has already started or ended a quarantine of the worker, that newer decision
// stands.
func (h *Health) Import(now time.Duration, worker string, r *structs.WorkerHealth) bool {
	w := h.workers.touch(worker)
	if w.imported {
		return false
	}
	w.imported = true
	observed := w.outcomes
	w.outcomes = nil
	for _, o := range r.Outcomes {
		w.outcomes = append(w.outcomes, outcome{
			at: now - max(o.Age, 0), kind: o.Kind, job: o.JobID, failed: o.Failed, workerFault: o.WorkerFault,
		})
	}
	if w.quarantineDecided {
		// The imported outcomes must not count again for a quarantine that this
		// owner has decided on since.
		w.outcomes = nil
	}
	w.outcomes = append(w.outcomes, observed...)
	slices.SortStableFunc(w.outcomes, func(a, b outcome) int { return cmp.Compare(a.at, b.at) })
	w.outcomes = w.outcomes[max(0, len(w.outcomes)-maxOutcomes):]
	if w.quarantineDecided {
		return true
	}
	w.probeLevel = min(max(r.Level, 0), maxProbeLevel)
	if !slices.ContainsFunc(observed, func(o outcome) bool { return o.failed }) {
		w.consecutiveSuccesses += max(r.Successes, 0)
	}
	if r.Quarantined {
		w.quarantined = true
		w.probeAt = now + min(max(r.ProbeIn, 0), FirstProbeInterval<<maxProbeLevel)
	}
	w.recordHasFaults = w.hasFaults()
	return true
}

// hasFaults reports whether anything in the record counts against the worker: a
// quarantine, a probe level above 0 or a failure.
func (w *workerHealth) hasFaults() bool {
	return w.quarantined || w.probeLevel > 0 || slices.ContainsFunc(w.outcomes, func(o outcome) bool { return o.failed })
}

// newVersion starts a new version of the record. After a version without faults,
// there is no other until the next failure.
func (w *workerHealth) newVersion(now time.Duration) {
	w.version++
	w.versionAt = now
	w.recordHasFaults = w.hasFaults()
}
