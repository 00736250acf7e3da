// Package history records concurrent runs over the real processes and checks
// the eight promises of docs/design.md on what was recorded.
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

// Op is a submission as its requester saw it.
type Op struct {
	Name  string
	Spec  structs.JobSpec
	JobID string
	// Idempotent is what is in effect, from the kind or the submission.
	Idempotent   bool
	Call, Return time.Time
	// Job is the answer, or nil; Err is the error, or nil.
	Job *structs.Job
	Err *verdict.Error
}

// Verdict is what the requester was told. A job that is not final may run.
func (o *Op) Verdict() verdict.Verdict {
	switch {
	case o.Err != nil:
		return o.Err.Verdict
	case o.Job != nil && o.Job.State.Final():
		return o.Job.Verdict
	}
	return verdict.MayHaveRun
}

// Request is one HTTP request to an entry.
type Request struct {
	Entry        string
	Method, Path string
	Call, Return time.Time
	// Connected says that the entry had accepted a connection for it.
	Connected bool
	Status    int
	Err       error
}

// Apply is an application of a manifest.
type Apply struct {
	Parent       uint64
	Document     string
	Call, Return time.Time
	Version      uint64 // 0 unless accepted
	Err          *verdict.Error
}

// VersionRead is the version of the manifest in force at a process.
type VersionRead struct {
	Process      string
	Call, Return time.Time
	Version      uint64
}

// Task is a task in the history of a worker.
type Task struct {
	Worker, GangID, JobID string
	Rank, Size            int
	Accelerators          []int
	// Resumed says that the task began from a checkpoint.
	Resumed bool
	Start   time.Time
	// End is zero while the task runs.
	End     time.Time
	Outcome string
	seq     [2]int // places of start and end in the worker's history
}

// FaultKind names a kind of fault.
type FaultKind string

// The faults.
const (
	Kill         FaultKind = "kill"
	Freeze       FaultKind = "freeze"
	Terminate    FaultKind = "terminate"
	Cut          FaultKind = "cut"
	CutOneWay    FaultKind = "cut-one-way"
	Slow         FaultKind = "slow"
	Outage       FaultKind = "outage"
	Lost         FaultKind = "lost-answers"
	SlowPlatform FaultKind = "slow-platform"
	FailAll      FaultKind = "worker-fails"
)

// Fault is an injected fault. To is zero while it lasts. For Kill and Terminate,
// To is the time at which the process was started again.
type Fault struct {
	Kind     FaultKind
	Target   string
	Peer     string
	From, To time.Time
	// Table says that a fault of the platform disturbs the table.
	Table bool
	// Seen says that the fault met what it was meant to disturb.
	Seen bool
}

// Tenure is an ownership of the domain as the platform's row names it. It lasts
// until the next one.
type Tenure struct {
	Entry string
	Epoch uint32
	// From is when the row was first seen, Renewed when it last changed.
	From, Renewed time.Time
}

// Lasted reports whether the fault was in force at any time from a to b.
func (f *Fault) Lasted(a, b time.Time) bool {
	return !f.From.After(b) && (f.To.IsZero() || !f.To.Before(a))
}

func (f *Fault) String() string {
	target := f.Target
	if f.Peer != "" {
		target += "-" + f.Peer
	}
	return fmt.Sprintf("%s %s", f.Kind, target)
}

// Claim is a job inside a guarantee that must start within Bound.
type Claim struct {
	JobID     string
	Submitted time.Time
	Bound     time.Duration
}

// Run is what was recorded of a run.
type Run struct {
	Seed     uint64
	Ops      []*Op
	Requests []Request
	Applies  []*Apply
	Reads    []VersionRead
	Tasks    []Task
	Faults   []*Fault
	Claims   []Claim
	// Owners are the ownerships of the domain, in their order.
	Owners []Tenure
	// Cancels counts the cancellations that were answered.
	Cancels int
	// Cancelled are the jobs of which an answer to a cancellation said that they
	// did not run.
	Cancelled []string
	// Final are the records after the faults have ended and all is quiet.
	Final map[string]*structs.Job
	// Accepted are the accepted manifests of the table, by version.
	Accepted map[uint64]string
}

// during reports whether a fault of one of the kinds on the process lasted at
// any time from a to b.
func (r *Run) during(process string, a, b time.Time, kinds ...FaultKind) bool {
	for _, f := range r.Faults {
		if f.Target != process && f.Peer != process {
			continue
		}
		for _, k := range kinds {
			if f.Kind == k && f.Lasted(a, b) {
				return true
			}
		}
	}
	return false
}

// Unseen returns the faults that met nothing.
func (r *Run) Unseen() []string {
	var list []string
	for _, f := range r.Faults {
		if !f.Seen {
			list = append(list, f.String())
		}
	}
	return list
}

// byJob returns the tasks of every job, by gang.
func (r *Run) byJob() map[string]map[string][]Task {
	jobs := map[string]map[string][]Task{}
	for _, t := range r.Tasks {
		if jobs[t.JobID] == nil {
			jobs[t.JobID] = map[string][]Task{}
		}
		jobs[t.JobID][t.GangID] = append(jobs[t.JobID][t.GangID], t)
	}
	return jobs
}

// Runs returns the number of separate runs of a job: gangs that did not
// continue from a checkpoint.
func (r *Run) Runs(jobID string) int {
	n := 0
	for _, tasks := range r.byJob()[jobID] {
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
	return Tasks(name, events), lines.Err()
}

// Tasks pairs the starts and ends in a worker's history. A start of the worker
// ends every task that ran.
func Tasks(name string, events []workerstub.Event) []Task {
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

// Finding is the outcome of the check of a promise.
type Finding struct {
	Promise int
	// Checked counts what the promise was checked on.
	Checked    int
	Violations []string
	// Figure is a measured figure, if there is one.
	Figure string
}

func (f *Finding) violate(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// String returns a line and the violations.
func (f Finding) String() string {
	state := "kept"
	if len(f.Violations) > 0 {
		state = "BROKEN"
	}
	line := fmt.Sprintf("promise %d: %-6s checked %d %s", f.Promise, state, f.Checked, f.Figure)
	return strings.Join(append([]string{line}, f.Violations...), "\n    ")
}
