package workflowdaemon

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// history records what the workers of a simulation do and checks it against rules:
//   - TWICE: a task runs twice at a time, or again after it is done.
//   - UNASKED: a task starts that was not submitted, was refused or is cancelled.
//   - ORDER: a task starts before the steps that its step depends on are done.
//   - BUDGET: a task starts after it has failed as often as its queue allows, or for the
//     third time after it has crashed three workers.
//   - LOST: an accepted job does not end, or an entry reports a wrong state for
//     it.
//   - LIMIT: a worker gets a start for which it has had no capacity for some time.
//   - EVAC: a task starts in an evacuated zone after the bound.
//   - MIXED: a job is reported as completed before all its tasks are done.
type history struct {
	mu        sync.Mutex
	startedAt time.Time
	specs     map[string]workflow.Spec
	// cancelled is the time at which a job's cancellation was confirmed. refused
	// holds the jobs for which every submission was refused.
	cancelled map[string]time.Time
	refused   map[string]bool
	active    map[workflow.TaskID][]*simRun
	// done holds the tasks that have ended as done. discarded holds those of them
	// whose end may be followed by another start: their worker crashed or its
	// leases expired before the end was acknowledged.
	done      map[workflow.TaskID]bool
	discarded map[workflow.TaskID]bool
	// failed holds the failed runs of each task, or of a gang under index 0. lostFailures
	// holds those whose end nobody can take note of any more: their worker crashed or its
	// leases expired before the end was acknowledged.
	failed       map[workflow.TaskID][]workflow.RunID
	lostFailures map[workflow.RunID]bool
	// crashing has the tasks that crash each worker that starts them, with the number of
	// crashes so far. startsAfterCrashes counts their starts after maxSimCrashes of them.
	crashing           map[workflow.TaskID]int
	startsAfterCrashes map[workflow.TaskID]int
	starts             int
	ends               map[workflow.EndKind]int
	violations         []string
	// zones has the evacuated zones; nil in a deployment without such requests.
	zones *simZones
}

func newHistory() *history {
	return &history{
		startedAt: time.Now(), specs: map[string]workflow.Spec{}, cancelled: map[string]time.Time{}, refused: map[string]bool{},
		active: map[workflow.TaskID][]*simRun{}, done: map[workflow.TaskID]bool{},
		discarded: map[workflow.TaskID]bool{}, failed: map[workflow.TaskID][]workflow.RunID{}, lostFailures: map[workflow.RunID]bool{},
		ends: map[workflow.EndKind]int{}, crashing: map[workflow.TaskID]int{}, startsAfterCrashes: map[workflow.TaskID]int{},
	}
}

func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf("%.3f s: ", time.Since(h.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// recordStart records a start and checks it against the rules. The caller does not
// hold mu.
func (h *history) recordStart(r *simRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	if h.zones != nil {
		h.zones.checkStart(r)
	}
	t := r.id.Task
	spec, ok := h.specs[t.Job]
	if !ok || h.refused[t.Job] {
		h.addViolation("UNASKED: %s started on %s", r.id, r.worker.id)
		return
	}
	for _, other := range h.active[t] {
		h.addViolation("TWICE: %s started on %s while %s runs on %s", r.id, r.worker.id, other.id, other.worker.id)
	}
	if h.isDone(t, h.discarded) {
		h.addViolation("TWICE: %s started on %s after it was done", r.id, r.worker.id)
	}
	for _, a := range spec.Steps[t.Step].After {
		for i := range spec.Steps[a].Tasks {
			if !h.isDone(workflow.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: a, Index: i}, nil) {
				h.addViolation("ORDER: %s started before step %d was done", r.id, a)
				return
			}
		}
	}
	if unit := h.failureUnit(t); h.failedAttempts(unit) >= simMaxAttempts {
		h.addViolation("BUDGET: %s started after %d failed attempts: %s", r.id, h.failedAttempts(unit), h.describeFailures(unit))
	}
	if n := h.crashing[t]; n >= maxSimCrashes {
		if h.startsAfterCrashes[t]++; h.startsAfterCrashes[t] >= maxStartsAfterCrashes {
			h.addViolation("BUDGET: %s started on %s, the start %d after %d crashes", r.id, r.worker.id, h.startsAfterCrashes[t], maxSimCrashes)
		}
	}
	if at, ok := h.cancelled[t.Job]; ok && !r.startedLate && time.Since(at) > simCancelLimit {
		h.addViolation("UNASKED: %s started %v after its cancellation", r.id, time.Since(at))
	}
	h.active[t] = append(h.active[t], r)
}

// startCount returns the number of starts so far.
func (h *history) startCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

func (h *history) recordEnd(r *simRun, kind workflow.EndKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := r.id.Task
	h.ends[kind]++
	h.active[t] = slices.DeleteFunc(h.active[t], func(o *simRun) bool { return o == r })
	switch kind {
	case workflow.EndDone:
		h.done[t] = true
		delete(h.discarded, t)
	case workflow.EndFailed:
		unit := h.failureUnit(t)
		h.failed[unit] = append(h.failed[unit], r.id)
	}
}

// isDone reports whether a task has ended as done. For a gang, one such end counts
// for all members. Ends in except do not count. The caller holds mu.
func (h *history) isDone(t workflow.TaskID, except map[workflow.TaskID]bool) bool {
	step := &h.specs[t.Job].Steps[t.Step]
	if !step.Gang {
		return h.done[t] && !except[t]
	}
	for i := range step.Tasks {
		t.Index = i
		if h.done[t] && !except[t] {
			return true
		}
	}
	return false
}

// failureUnit returns the ID under which failures of a task are counted: the task's
// own ID, or index 0 of its gang. The caller holds mu.
func (h *history) failureUnit(t workflow.TaskID) workflow.TaskID {
	if spec, ok := h.specs[t.Job]; ok && spec.Steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

// failedAttempts returns the number of failed attempts of a failure unit. The caller holds
// mu.
func (h *history) failedAttempts(unit workflow.TaskID) int {
	attempts := map[int]bool{}
	for _, id := range h.failed[unit] {
		attempts[id.Attempt] = true
	}
	return len(attempts)
}

// describeFailures lists the failed runs of a failure unit, and which of them nobody can take
// note of any more. The caller holds mu.
func (h *history) describeFailures(unit workflow.TaskID) string {
	var out []string
	for _, id := range h.failed[unit] {
		s := id.String()
		if h.lostFailures[id] {
			s += " (end lost)"
		}
		out = append(out, s)
	}
	return strings.Join(out, ", ")
}

// discardEnd marks the end of a run, done or failed, as one that has not been acknowledged
// and will not be: the task may start again.
func (h *history) discardEnd(end workflowrpc.End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch end.Kind {
	case workflow.EndDone:
		h.discarded[end.ID.Task] = true
	case workflow.EndFailed:
		h.lostFailures[end.ID] = true
	}
}

// Limits of the simulated platform.
const (
	simMaxAttempts = 3
	simCancelLimit = 3 * time.Second
	simStopGrace   = 200 * time.Millisecond
	simGangWait    = 3 * time.Second
	simMaxLease    = 6 * time.Second
	// A crashing task may start fewer than maxStartsAfterCrashes times after it has crashed
	// maxSimCrashes workers, and its job may be given up after minSimCrashes.
	minSimCrashes         = 2
	maxSimCrashes         = 3
	maxStartsAfterCrashes = 3
	// simCrashDelay is the time from the start of a crashing task to the crash, simRestart
	// that from the crash until the worker is back.
	simCrashDelay = 10 * time.Millisecond
	simRestart    = 3 * time.Second
)

func (h *history) spec(job string) *workflow.Spec {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.specs[job]; ok {
		return &s
	}
	return nil
}
