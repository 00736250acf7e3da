package estimate

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

const (
	// maxOutcomes limits the outcomes kept for a worker, the latest ones.
	maxOutcomes = 16
	// failureWindow is the age above which an outcome no longer counts.
	failureWindow = time.Hour
	// A worker is quarantined after failures of minQuarantineJobs distinct jobs,
	// where each loss of the worker counts as a job, or of minQuarantineKinds
	// distinct kinds.
	minQuarantineJobs  = 3
	minQuarantineKinds = 2
	// minLossInterval is the time after which another lost task counts as
	// another loss of the worker. One loss ends all tasks on the worker and
	// must count only once.
	minLossInterval = 10 * time.Second
	// minFaultWorkers is the number of distinct workers on which a kind or job
	// must fail, without a success in between, to be considered at fault
	// itself.
	minFaultWorkers = 3
	// maxProbeLevel limits how often the probe interval is doubled. The longest
	// interval is 640 s.
	maxProbeLevel = 6
	// probeLevelResetSuccesses is the number of consecutive successes after which
	// the next quarantine starts with the shortest probe interval again.
	probeLevelResetSuccesses = 8
	// maxWorkers and maxSubjects limit the cached entries. The system is designed
	// for 3,400 workers.
	maxWorkers  = 4096
	maxSubjects = 8192
)

// FirstProbeInterval is the time from the first quarantine of a worker to its
// probe, the first task that it may run again. Each failed probe doubles the
// interval, up to 64 times this one.
const FirstProbeInterval = 10 * time.Second

// Health keeps failure statistics by worker, kind and job. It quarantines workers
// on which tasks fail, and does not blame workers for kinds and jobs that fail on
// any worker.
type Health struct {
	workers  lru[string, workerHealth]
	subjects lru[subject, subjectHealth]
}

// subject identifies a kind or, if job is set, a job.
type subject struct {
	name string
	job  bool
}

type subjectHealth struct {
	// failedOn lists the distinct workers with a failure since the last
	// success, at most minFaultWorkers.
	failedOn []string
	atFault  bool
}

// outcome is the end of a task on a worker.
type outcome struct {
	at          time.Duration
	kind, job   string
	failed      bool
	workerFault bool // the worker was lost; the task is not to blame
}

type workerHealth struct {
	outcomes             []outcome // oldest first, at most maxOutcomes
	quarantined          bool
	probeAt              time.Duration
	probeLevel           int // number of doublings of the next probe interval
	consecutiveSuccesses int // since the last failure

	// version is the version of the worker's record, which was changed last at
	// versionAt. recordHasFaults says whether that version has any fault.
	version         uint32
	versionAt       time.Duration
	recordHasFaults bool
	// quarantineDecided is set when this owner has started or ended a quarantine,
	// and imported when it has taken over the record of an earlier owner.
	quarantineDecided, imported bool
}

// NewHealth returns a Health without observations.
func NewHealth() *Health {
	return &Health{
		workers:  newLRU[string, workerHealth](maxWorkers),
		subjects: newLRU[subject, subjectHealth](maxSubjects),
	}
}

// Success records that a task succeeded on the worker. For a gang it is called
// for each of its workers. It clears faults of the kind and the job. A success
// during a probe ends the worker's quarantine.
func (h *Health) Success(now time.Duration, worker, kind, jobID string) {
	h.subjects.remove(subject{name: kind})
	h.subjects.remove(subject{name: jobID, job: true})
	w := h.workers.touch(worker)
	if w.state(now) == structs.WorkerQuarantined {
		// The task was started before the quarantine, so it does not show that the
		// worker has recovered.
		return
	}
	probePassed := w.quarantined
	if probePassed {
		w.quarantined, w.quarantineDecided = false, true
		w.outcomes = w.outcomes[:0]
	}
	w.add(outcome{at: now, kind: kind, job: jobID})
	if w.consecutiveSuccesses++; w.consecutiveSuccesses >= probeLevelResetSuccesses {
		w.probeLevel = 0
	}
	if probePassed || w.recordHasFaults && now-w.versionAt >= successRecordInterval {
		w.newVersion(now)
	}
}

// Failure records that a task failed on the worker. If the kind or the job is at
// fault, the failure does not count against the worker. workerFault says that the
// worker was lost and the task itself did not fail, so that the failure counts only
// against the worker, and not against the kind and the job.
func (h *Health) Failure(now time.Duration, worker, kind, jobID string, workerFault bool) {
	if !workerFault {
		// Both must be updated, since the same failure may put both the kind
		// and the job at fault.
		kindFault := h.recordSubjectFailure(now, subject{name: kind}, worker)
		jobFault := h.recordSubjectFailure(now, subject{name: jobID, job: true}, worker)
		if kindFault || jobFault {
			return
		}
	}
	w := h.workers.touch(worker)
	probing := w.state(now) == structs.WorkerProbing
	w.consecutiveSuccesses = 0
	w.add(outcome{at: now, kind: kind, job: jobID, failed: true, workerFault: workerFault})
	// probeLevel is kept after a successful probe, so that a worker which
	// alternates between success and failure is probed less and less often.
	// Success resets it after probeLevelResetSuccesses consecutive successes.
	if probing || !w.quarantined && w.needsQuarantine(now) {
		w.quarantined, w.quarantineDecided = true, true
		w.probeAt = now + FirstProbeInterval<<w.probeLevel
		w.probeLevel = min(w.probeLevel+1, maxProbeLevel)
	}
	w.newVersion(now)
}

// State returns WorkerReady, WorkerQuarantined or WorkerProbing.
func (h *Health) State(now time.Duration, worker string) structs.WorkerState {
	if w := h.workers.peek(worker); w != nil {
		return w.state(now)
	}
	return structs.WorkerReady
}

// Failures returns the number of recent failures that count against the worker.
func (h *Health) Failures(now time.Duration, worker string) int {
	n := 0
	if w := h.workers.peek(worker); w != nil {
		for _, o := range w.outcomes {
			if o.failed && now-o.at <= failureWindow {
				n++
			}
		}
	}
	return n
}

// KindOrJobAtFault reports whether the kind or job with this name is at fault because it
// failed on several distinct workers. A later success clears the fault.
func (h *Health) KindOrJobAtFault(name string) bool {
	for _, job := range []bool{false, true} {
		if s := h.subjects.peek(subject{name: name, job: job}); s != nil && s.atFault {
			return true
		}
	}
	return false
}

// Forget deletes the statistics of a worker that has left.
func (h *Health) Forget(worker string) { h.workers.remove(worker) }

// recordSubjectFailure records a failure of a kind or job and reports whether
// it is at fault.
func (h *Health) recordSubjectFailure(now time.Duration, sub subject, worker string) bool {
	s := h.subjects.touch(sub)
	if s.atFault {
		return true
	}
	// A quarantined worker may fail every task, so its failures say nothing about
	// the kind or job.
	if h.State(now, worker) != structs.WorkerReady {
		return false
	}
	for _, w := range s.failedOn {
		if w == worker {
			return false
		}
	}
	s.failedOn = append(s.failedOn, worker)
	if len(s.failedOn) < minFaultWorkers {
		return false
	}
	s.atFault = true
	h.discardFailures(now, sub)
	return true
}

// discardFailures removes the failures of a kind or job that is at fault from the
// records of all workers, and ends the quarantine of those whose other failures do
// not justify it.
func (h *Health) discardFailures(now time.Duration, sub subject) {
	h.workers.each(func(_ string, w *workerHealth) {
		kept := w.outcomes[:0]
		for _, o := range w.outcomes {
			matches := o.kind == sub.name && !sub.job || o.job == sub.name && sub.job
			if !matches || !o.failed || o.workerFault {
				kept = append(kept, o)
			}
		}
		changed := len(kept) < len(w.outcomes)
		clear(w.outcomes[len(kept):])
		w.outcomes = kept
		if changed && w.quarantined && !w.needsQuarantine(now) {
			w.quarantined, w.quarantineDecided = false, true
			w.probeLevel = 0
		}
		if changed {
			w.newVersion(now)
		}
	})
}

func (w *workerHealth) state(now time.Duration) structs.WorkerState {
	switch {
	case !w.quarantined:
		return structs.WorkerReady
	case now < w.probeAt:
		return structs.WorkerQuarantined
	}
	return structs.WorkerProbing
}

func (w *workerHealth) add(o outcome) {
	if len(w.outcomes) == maxOutcomes {
		copy(w.outcomes, w.outcomes[1:])
		w.outcomes = w.outcomes[:maxOutcomes-1]
	}
	w.outcomes = append(w.outcomes, o)
}

// needsQuarantine reports whether the latest outcomes justify a quarantine:
// failures of several kinds or jobs, and more failures than successes.
func (w *workerHealth) needsQuarantine(now time.Duration) bool {
	jobs, kinds := map[string]bool{}, map[string]bool{}
	losses, failures, successes := 0, 0, 0
	lastLoss := now - failureWindow - minLossInterval
	for _, o := range w.outcomes {
		switch {
		case now-o.at > failureWindow:
		case !o.failed:
			successes++
		case o.workerFault:
			if o.at-lastLoss >= minLossInterval {
				losses++
			}
			lastLoss = o.at
			failures++
		default:
			jobs[o.job], kinds[o.kind] = true, true
			failures++
		}
	}
	several := losses+len(jobs) >= minQuarantineJobs || len(kinds) >= minQuarantineKinds
	return several && failures > successes
}
