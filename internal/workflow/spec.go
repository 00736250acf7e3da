// Package workflow holds the types of jobs that consist of steps of tasks, and
// the pure rules on them: which tasks may start, what an end of a run means,
// and which state a job is in. It has no clock and no network.
package workflow

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources are what a task needs or a worker has.
type Resources struct {
	// CPUMilli is in thousandths of a core, MemoryMB in MiB.
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

// Count returns how many times o fits in r; a large number if o is zero.
func (r Resources) Count(o Resources) int {
	n := 1 << 20
	for _, p := range [3][2]int{{r.CPUMilli, o.CPUMilli}, {r.MemoryMB, o.MemoryMB}, {r.GPUs, o.GPUs}} {
		if p[1] > 0 {
			n = min(n, max(p[0], 0)/p[1])
		}
	}
	return n
}

// Step is a set of equal tasks.
type Step struct {
	Tasks    int       `json:"tasks"`
	Need     Resources `json:"need"`
	Estimate Millis    `json:"estimateMs,omitempty"`
	// After lists the indexes of earlier steps whose tasks must all be done.
	After []int `json:"after,omitempty"`
	// Gang tasks run only together and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks run slower if they are spread over several racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Checkpoint tasks can resume from a token that the worker gave.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Label is a label that the worker must have; empty for any.
	Label string `json:"label,omitempty"`
	// DataRack is the rack on which the tasks are not slowed; empty for any.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on a worker; 0 for no limit.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Speculative tasks may have several runs at once.
	Speculative bool `json:"speculative,omitempty"`
	// Persistent tasks run until the job is cancelled.
	Persistent bool `json:"persistent,omitempty"`
	// MaxUnavailable limits the persistent tasks that are away at once by our action.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
	// Image names what the tasks run. Tasks of the same image behave alike.
	Image string `json:"image,omitempty"`
	// Target bounds the tail response time of a persistent task; 0 for none.
	Target Millis `json:"targetMs,omitempty"`
	// Filler tasks use only the processor time that others leave.
	Filler bool `json:"filler,omitempty"`
}

// Holds returns what a task of the step takes of a worker's capacity. Filler
// tasks run on processor time that others leave.
func (s *Step) Holds() Resources {
	if s.Filler {
		return Resources{MemoryMB: s.Need.MemoryMB, GPUs: s.Need.GPUs}
	}
	return s.Need
}

// Millis is a duration in milliseconds, as it stands in rows.
type Millis int64

// Duration returns m as a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Spec is a job as its client submits it.
type Spec struct {
	// Payload is handed to each task unchanged.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is the number of times that the steps run; 0 means once, at once.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstAt is the Unix time of occurrence 0, Interval the time between two.
	FirstAt  Millis `json:"firstAtMs,omitempty"`
	Interval Millis `json:"intervalMs,omitempty"`
}

// Limits of a spec.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 100
	MaxTasks        = 10_000
	MaxOccurrences  = 1000
)

// Validate returns an error that names the first fault.
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
		if st.Tasks < 1 {
			return fmt.Errorf("step %d has no tasks", i)
		}
		if st.Need.CPUMilli < 0 || st.Need.MemoryMB < 0 || st.Need.GPUs < 0 || st.Estimate < 0 ||
			st.MaxPerWorker < 0 || st.MaxUnavailable < 0 || st.Target < 0 {
			return fmt.Errorf("step %d has a negative value", i)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d waits for step %d, which is not an earlier one", i, a)
			}
		}
		tasks += st.Tasks
	}
	if tasks > MaxTasks {
		return fmt.Errorf("job has %d tasks, at most %d are allowed", tasks, MaxTasks)
	}
	return nil
}

// Runs returns how many times the steps run.
func (s *Spec) Runs() int { return max(1, s.Occurrences) }

// DueAt returns the Unix time in milliseconds at which occurrence k may start;
// 0 if it may start at once.
func (s *Spec) DueAt(k int) int64 {
	if s.Occurrences == 0 {
		return 0
	}
	return int64(s.FirstAt) + int64(k)*int64(s.Interval)
}

// TaskID names a task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads the form that String returns.
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

// RunID names one attempt of a task.
type RunID struct {
	Task    TaskID
	Attempt int
}

// String returns the form TASK#ATTEMPT.
func (r RunID) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Attempt) }

// Compare orders runs by job, occurrence, step, index and attempt.
func (r RunID) Compare(o RunID) int {
	if c := strings.Compare(r.Task.Job, o.Task.Job); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(r.Task.Occurrence, o.Task.Occurrence), cmp.Compare(r.Task.Step, o.Task.Step),
		cmp.Compare(r.Task.Index, o.Task.Index), cmp.Compare(r.Attempt, o.Attempt))
}

// EndKind says how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"  // by its own fault or the worker's
	EndStopped EndKind = "stopped" // by an order
	EndLapsed  EndKind = "lapsed"  // its lease ran out
	EndBroken  EndKind = "broken"  // another member of its gang ended
	EndAlone   EndKind = "alone"   // other members of its gang did not come
	// EndLost is set by the owner for a run whose worker ended or was silent for
	// longer than its lease.
	EndLost EndKind = "lost"
)

// State is the state of a job as clients see it.
type State string

// The states.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state does not change any more.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Record is a job as it was accepted: the value of its row, which never changes.
type Record struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"`
	Account string `json:"account"`
	// Pool names the workers that run the job.
	Pool string `json:"pool"`
	Spec Spec   `json:"spec"`
	// Terms are the queue's terms at acceptance. They apply when the queue is no
	// longer configured.
	Terms Terms `json:"terms"`
	// AcceptedAt is the Unix time in milliseconds on the entry's clock.
	AcceptedAt int64 `json:"acceptedAtMs"`
}

// Terms are what a queue says of its jobs.
type Terms struct {
	// Priority 0 comes first and may preempt others.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int `json:"maxAttempts"`
	// Stretch times the longest chain of work, plus Slack, is the time within
	// which a job is on time.
	Stretch float64 `json:"stretch,omitempty"`
	Slack   Millis  `json:"slackMs,omitempty"`
	// Advice says that only the placement advice knows which workers may run a
	// step; nil if all of the pool may.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice is what a queue says of its placement advice: an answer takes Decide and
// PerWorker for each worker that is named, and its tickets are valid for Validity.
type Advice struct {
	Decide    Millis `json:"decideMs,omitempty"`
	PerWorker Millis `json:"perWorkerMs,omitempty"`
	Validity  Millis `json:"validityMs,omitempty"`
}
