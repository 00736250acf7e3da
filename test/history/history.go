// Package history drives a deployment of real processes with concurrent requests and
// faults, records what happens, and checks the record against the eight promises of
// docs/design.md:
//
//  1. A job inside its account's guarantee starts within a bound.
//  2. A gang runs completely or not at all, and an accelerator runs one task at a time.
//  3. Every accepted job gets a final response with its own, complete result.
//  4. A job that is reported as not run did not run.
//  5. A non-idempotent job runs at most once.
//  6. A draining agent or entry takes no new work after a bound.
//  7. A graceful shutdown of an entry cuts off no request in progress.
//  8. An accepted manifest is in force everywhere within a bound and is never lost.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// Submission is a submitted job with the response that its requester received.
type Submission struct {
	Name  string
	Spec  structs.JobSpec
	JobID string
	// Idempotent is the setting in effect: that of the kind, unless Spec overrides it.
	Idempotent   bool
	Call, Return time.Time
	// Job is the record in the response, or nil. Err is the error in the response, or
	// nil.
	Job *structs.Job
	Err *verdict.Error
}

// Verdict returns the verdict that the requester received. For a job that is not in a
// final state this is MayHaveRun, as it may still run.
func (sub *Submission) Verdict() verdict.Verdict {
	switch {
	case sub.Err != nil:
		return sub.Err.Verdict
	case sub.Job != nil && sub.Job.State.Final():
		return sub.Job.Verdict
	}
	return verdict.MayHaveRun
}

// Request is one HTTP request to an entry.
type Request struct {
	Entry        string
	Method, Path string
	Call, Return time.Time
	// Connected says that the request had a connection to the entry.
	Connected bool
	Status    int
	Err       error
}

// Apply is one attempt to apply a manifest.
type Apply struct {
	Parent       uint64
	Document     string
	Call, Return time.Time
	Version      uint64 // 0 unless accepted
	Err          *verdict.Error
}

// VersionRead is one reading of the manifest version in force at a process.
type VersionRead struct {
	Process      string
	Call, Return time.Time
	Version      uint64
}

// Task is a task that a worker ran, taken from its history.
type Task struct {
	Worker, GangID, JobID string
	Rank, Size            int
	Accelerators          []int
	// Resumed says that the task continued from a checkpoint.
	Resumed bool
	Start   time.Time
	// End is zero while the task runs.
	End     time.Time
	Outcome string
	seq     [2]int // positions of the start and end events in the worker's history
}

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	Kill         FaultKind = "kill"
	Freeze       FaultKind = "freeze"
	Terminate    FaultKind = "terminate"
	Cut          FaultKind = "cut"
	CutOneWay    FaultKind = "cut-one-way"
	Slow         FaultKind = "slow"
	Outage       FaultKind = "outage"
	LostAnswers  FaultKind = "lost-answers"
	SlowPlatform FaultKind = "slow-platform"
	FailAll      FaultKind = "worker-fails"
)

// Fault is an injected fault. To is zero while the fault is active. For Kill and
// Terminate, To is the time at which the process was started again.
type Fault struct {
	Kind     FaultKind
	Target   string
	Peer     string
	From, To time.Time
	// AffectsTable says that a platform fault disturbs access to the table.
	AffectsTable bool
	// TookEffect says that the fault disturbed something, for example that a cut link
	// blocked a write.
	TookEffect bool
}

// Ownership is the time during which one entry owned the domain, according to the
// owner's row in the platform's table. It lasts until the next one.
type Ownership struct {
	Entry string
	Epoch uint32
	// From is when the row was first seen; Renewed is when its last renewal was seen.
	From, Renewed time.Time
}

// ActiveBetween reports whether the fault was active at any time from a to b.
func (f *Fault) ActiveBetween(a, b time.Time) bool {
	return !f.From.After(b) && (f.To.IsZero() || !f.To.Before(a))
}

func (f *Fault) String() string {
	target := f.Target
	if f.Peer != "" {
		target += "-" + f.Peer
	}
	return fmt.Sprintf("%s %s", f.Kind, target)
}

// Claim is a job inside its account's guarantee, which must start within Bound of
// its submission.
type Claim struct {
	JobID     string
	Submitted time.Time
	Bound     time.Duration
}

// Run is everything that was recorded during one test run.
type Run struct {
	Seed        uint64
	Submissions []*Submission
	Requests    []Request
	Applies     []*Apply
	Reads       []VersionRead
	Tasks       []Task
	Faults      []*Fault
	Claims      []Claim
	// Ownerships are the ownerships of the domain in the order of time.
	Ownerships []Ownership
	// Cancels counts the cancellation requests that succeeded.
	Cancels int
	// Cancelled are the IDs of the jobs that a cancellation reported as not run.
	Cancelled []string
	// Final holds the job records by job ID, read after all faults had ended.
	Final map[string]*structs.Job
	// Accepted holds the deployment names of the accepted manifests in the table, by
	// version.
	Accepted map[uint64]string
}

// faultDuring reports whether a fault of one of the kinds was active on the process at
// any time from a to b.
func (r *Run) faultDuring(process string, a, b time.Time, kinds ...FaultKind) bool {
	for _, f := range r.Faults {
		if f.Target != process && f.Peer != process {
			continue
		}
		for _, k := range kinds {
			if f.Kind == k && f.ActiveBetween(a, b) {
				return true
			}
		}
	}
	return false
}

// IneffectiveFaults lists the faults that disturbed nothing. A run with such faults
// proves less than it seems to.
func (r *Run) IneffectiveFaults() []string {
	var list []string
	for _, f := range r.Faults {
		if !f.TookEffect {
			list = append(list, f.String())
		}
	}
	return list
}

// tasksByJob returns the tasks by job ID and gang ID.
func (r *Run) tasksByJob() map[string]map[string][]Task {
	jobs := map[string]map[string][]Task{}
	for _, t := range r.Tasks {
		if jobs[t.JobID] == nil {
			jobs[t.JobID] = map[string][]Task{}
		}
		jobs[t.JobID][t.GangID] = append(jobs[t.JobID][t.GangID], t)
	}
	return jobs
}

// RunCount returns the number of separate runs of a job. A gang that continued from a
// checkpoint is not a separate run.
func (r *Run) RunCount(jobID string) int {
	n := 0
	for _, tasks := range r.tasksByJob()[jobID] {
		if !tasks[0].Resumed {
			n++
		}
	}
	return n
}

// ReadTasks reads the tasks in a worker's history file.
func ReadTasks(name, file string) ([]Task, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var events []workerstub.Event
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e workerstub.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		events = append(events, e)
	}
	return TasksFromEvents(name, events), lines.Err()
}

// TasksFromEvents pairs the start and end events in a worker's history. When the
// worker itself restarts, the tasks that were running end as lost.
func TasksFromEvents(name string, events []workerstub.Event) []Task {
	var tasks []Task
	running := map[string]int{}
	end := func(id, outcome string, at time.Time, seq int) {
		if i, ok := running[id]; ok {
			tasks[i].End, tasks[i].Outcome, tasks[i].seq[1] = at, outcome, seq
			delete(running, id)
		}
	}
	for seq, e := range events {
		at := time.Unix(0, e.TimeNS)
		switch e.Event {
		case workerstub.EventStart:
			running[e.ID] = len(tasks)
			tasks = append(tasks, Task{
				Worker: name, GangID: e.GangID, JobID: e.JobID, Rank: e.Rank, Size: e.Size, Accelerators: e.Accelerators,
				Resumed: e.Resumed, Start: at, seq: [2]int{seq, len(events)},
			})
		case workerstub.EventEnd:
			end(e.ID, e.Outcome, at, seq)
		case workerstub.EventBoot:
			for id := range running {
				end(id, "lost", at, seq)
			}
		}
	}
	return tasks
}

// CheckResult is the outcome of checking one promise.
type CheckResult struct {
	Promise int
	// Checked counts the items that were checked, for example jobs or requests.
	Checked    int
	Violations []string
	// Measurement is a text with a measured value, or "".
	Measurement string
}

func (res *CheckResult) addViolation(format string, args ...any) {
	res.Violations = append(res.Violations, fmt.Sprintf(format, args...))
}

// String returns one summary line, followed by one line per violation.
func (res CheckResult) String() string {
	state := "kept"
	if len(res.Violations) > 0 {
		state = "BROKEN"
	}
	line := fmt.Sprintf("promise %d: %-6s checked %d %s", res.Promise, state, res.Checked, res.Measurement)
	return strings.Join(append([]string{line}, res.Violations...), "\n    ")
}
