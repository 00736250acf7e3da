// Package workflow defines jobs that consist of steps of tasks, and the rules for them:
// which tasks may start, what the end of a run changes, and which state a job has. It is
// pure, without clock or network.
package workflow

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources are the resources that a task needs or a worker has.
type Resources struct {
	// CPUMilli is in thousandths of a core, like CoresMilli and MilliCores elsewhere.
	// MemoryMB is in MiB, despite its name.
	CPUMilli int `json:"cpuMilli,omitempty"`
	MemoryMB int `json:"memoryMB,omitempty"`
	GPUs     int `json:"gpus,omitempty"`
}

// Add returns r + n times o.
func (r Resources) Add(o Resources, n int) Resources {
	return Resources{r.CPUMilli + n*o.CPUMilli, r.MemoryMB + n*o.MemoryMB, r.GPUs + n*o.GPUs}
}

// Fits reports whether o fits in r.
func (r Resources) Fits(o Resources) bool {
	return o.CPUMilli <= r.CPUMilli && o.MemoryMB <= r.MemoryMB && o.GPUs <= r.GPUs
}

// Count returns how many times o fits in r. The result is 1<<20 if o is zero.
func (r Resources) Count(o Resources) int {
	n := 1 << 20
	for _, p := range [3][2]int{{r.CPUMilli, o.CPUMilli}, {r.MemoryMB, o.MemoryMB}, {r.GPUs, o.GPUs}} {
		if p[1] > 0 {
			n = min(n, max(p[0], 0)/p[1])
		}
	}
	return n
}

// Step is a set of identical tasks.
type Step struct {
	Tasks    int       `json:"tasks"`
	Need     Resources `json:"need"`
	Estimate Millis    `json:"estimateMs,omitempty"`
	// After lists the indexes of earlier steps that must have completed before this one
	// starts.
	After []int `json:"after,omitempty"`
	// Gang tasks only run all together, and the end of one before completion ends all.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks run slower if they are spread over several racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Checkpoint tasks can resume from a token that the worker returned.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Label is a label that the worker must have; empty for any.
	Label string `json:"label,omitempty"`
	// DataRack is the rack in which the tasks run at full speed; empty for any.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on a worker; 0 for no limit.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Speculative tasks may have several runs at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// Persistent tasks run until the job is cancelled.
	Persistent bool `json:"persistent,omitempty"`
	// MaxUnavailable limits how many persistent tasks the system itself may take down at
	// the same time.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
	// Image names the program of the tasks. Tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// Target is the limit for the tail response time of a persistent task; 0 for none.
	Target Millis `json:"targetMs,omitempty"`
	// Filler tasks use only CPU time that other tasks leave idle.
	Filler bool `json:"filler,omitempty"`
}

// HeldResources returns the capacity that a task of the step reserves on a worker.
// Filler tasks reserve no CPU, since they use only idle CPU time.
func (s *Step) HeldResources() Resources {
	if s.Filler {
		return Resources{MemoryMB: s.Need.MemoryMB, GPUs: s.Need.GPUs}
	}
	return s.Need
}

// Millis is a duration or a Unix time in milliseconds, as stored in rows.
type Millis int64

// Duration returns m as a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Spec is a job as submitted by its client.
type Spec struct {
	// Payload is passed to each task unchanged.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is how many times the steps run, on a schedule; 0 means once,
	// immediately.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstAt is the Unix time of occurrence 0, Interval the time between two
	// occurrences.
	FirstAt  Millis `json:"firstAtMs,omitempty"`
	Interval Millis `json:"intervalMs,omitempty"`
}

// Limits on a spec.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 100
	MaxTasks        = 10_000
	MaxOccurrences  = 1000
	// MaxTotalTasks limits the tasks of all occurrences of a job that is accepted. The
	// memory of each entry limits how large the progress of a job may be.
	MaxTotalTasks = 100_000
)

// maxValue limits resources and times, so that sums and products of them do not overflow.
const maxValue = 1 << 40

// CheckSize returns an error if the job could not be kept or is larger than anything that can
// be planned. Unlike Validate, it applies only to jobs that are submitted: larger ones may
// have been accepted before.
func (s *Spec) CheckSize() error {
	for i := range s.Steps {
		st := &s.Steps[i]
		if max(int64(st.Need.CPUMilli), int64(st.Need.MemoryMB), int64(st.Need.GPUs), int64(st.Estimate), int64(st.Target)) > maxValue {
			return fmt.Errorf("step %d has a value above %d", i, int64(maxValue))
		}
	}
	if s.Interval > maxValue || s.FirstAt > 4*maxValue || s.FirstAt < -maxValue {
		return errors.New("the first time or the interval is out of range")
	}
	if n := s.TotalTasks(); n > MaxTotalTasks {
		return fmt.Errorf("job has %d tasks in %d occurrences, at most %d are allowed", n, s.OccurrenceCount(), MaxTotalTasks)
	}
	return nil
}

// Validate returns an error that describes the first invalid value, or nil.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload has %d bytes, at most %d are allowed", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("job has %d steps, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences || s.Interval < 0 {
		return errors.New("occurrences or interval out of range")
	}
	tasks := 0
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Tasks < 1 || st.Tasks > MaxTasks { // their sum must not overflow
			return fmt.Errorf("step %d has %d tasks, 1 to %d are allowed", i, st.Tasks, MaxTasks)
		}
		if st.Need.CPUMilli < 0 || st.Need.MemoryMB < 0 || st.Need.GPUs < 0 || st.Estimate < 0 ||
			st.MaxPerWorker < 0 || st.MaxUnavailable < 0 || st.Target < 0 {
			return fmt.Errorf("step %d has a negative value", i)
		}
		for _, dependency := range st.After {
			if dependency < 0 || dependency >= i {
				return fmt.Errorf("step %d waits for step %d, which is not an earlier one", i, dependency)
			}
		}
		tasks += st.Tasks
	}
	if tasks > MaxTasks {
		return fmt.Errorf("job has %d tasks, at most %d are allowed", tasks, MaxTasks)
	}
	return nil
}

// OccurrenceCount returns how many times the steps run, at least 1.
func (s *Spec) OccurrenceCount() int { return max(1, s.Occurrences) }

// DueAt returns the time from which occurrence k may start, as Unix time in
// milliseconds; 0 if it may start immediately.
func (s *Spec) DueAt(k int) int64 {
	if s.Occurrences == 0 {
		return 0
	}
	return int64(s.FirstAt) + int64(k)*int64(s.Interval)
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task name %q is malformed", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q is malformed", s)
		}
		n[i] = v
	}
	return TaskID{parts[0], n[0], n[1], n[2]}, nil
}

// RunID identifies one attempt of a task.
type RunID struct {
	Task    TaskID
	Attempt int
}

// String returns the ID in the form TASK#ATTEMPT.
func (r RunID) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Attempt) }

// Compare orders runs by job, occurrence, step, index and attempt.
func (r RunID) Compare(o RunID) int {
	if c := strings.Compare(r.Task.Job, o.Task.Job); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(r.Task.Occurrence, o.Task.Occurrence), cmp.Compare(r.Task.Step, o.Task.Step),
		cmp.Compare(r.Task.Index, o.Task.Index), cmp.Compare(r.Attempt, o.Attempt))
}

// EndKind is how a run ended.
type EndKind string

// Values of EndKind.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"  // because of the task or the worker
	EndStopped        EndKind = "stopped" // on request of the owner
	EndLeaseExpired   EndKind = "lapsed"  // its lease expired
	EndGangBroken     EndKind = "broken"  // another member of its gang ended
	EndGangIncomplete EndKind = "alone"   // other members of its gang did not start in time
	// EndLost is set by the owner for a run whose worker ended, was silent for longer
	// than its lease, or rejected the start.
	EndLost EndKind = "lost"
)

// State is the state of a job as clients see it.
type State string

// Values of State.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state is final.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Record is a job as accepted: the value of its row, which never changes.
type Record struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"`
	Account string `json:"account"`
	// Pool names the workers that may run the job.
	Pool string `json:"pool"`
	Spec Spec   `json:"spec"`
	// Terms are the queue's terms at the time of acceptance. They are used if the queue
	// is no longer configured.
	Terms Terms `json:"terms"`
	// AcceptedAt is the time of acceptance as Unix time in milliseconds on the entry's
	// clock.
	AcceptedAt int64 `json:"acceptedAtMs"`
}

// Terms are the scheduling parameters that a queue sets for its jobs.
type Terms struct {
	// Priority 0 is the highest. Its jobs may preempt those of other priorities.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed attempts of a task after which its job fails.
	MaxAttempts int `json:"maxAttempts"`
	// Stretch and Slack define when a job is on time: if it takes at most Stretch times
	// its critical path, plus Slack.
	Stretch float64 `json:"stretch,omitempty"`
	Slack   Millis  `json:"slackMs,omitempty"`
	// WaveShare is the share of the pool's capacity up to which a step's tasks are taken to
	// run at once. A wider step counts as several waves, one after the other, in the
	// critical path to which Stretch applies. 0 means that all steps run at once. The
	// scheduler plans without waves; the account of the logs uses them.
	WaveShare float64 `json:"waveShare,omitempty"`
	// Advice is set if the queue's steps may only run on workers for which the placement
	// advice service has issued a ticket; nil if they may run on all workers of the
	// pool.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice describes the placement advice service of a queue. A call takes Decide plus
// PerWorker for each worker it asks about, and a ticket is valid for Validity.
type Advice struct {
	Decide    Millis `json:"decideMs,omitempty"`
	PerWorker Millis `json:"perWorkerMs,omitempty"`
	Validity  Millis `json:"validityMs,omitempty"`
}
