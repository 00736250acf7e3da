package workflow

import (
	"encoding/json"
	"errors"
	"iter"
	"slices"
	"strconv"
	"strings"
)

// The progress of a large job does not fit in one row. Its tasks are divided into chunks of
// chunkTasks, in the order of occurrence, step and index, and each chunk has a row of its
// own. The job's main row then has only what Progress has beside Parts. A job with a single
// chunk has it in its main row. Once a job has ended only its main row counts.

// chunkTasks is the number of tasks in a chunk. It must not change: rows with other chunks
// are not replaced.
const chunkTasks = 200

// MainRow stands for the main row of a job's progress where a chunk is expected.
const MainRow = -1

// taskCount returns the number of tasks of one occurrence.
func (s *Spec) taskCount() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Tasks
	}
	return n
}

// TotalTasks returns the number of tasks of all occurrences.
func (s *Spec) TotalTasks() int { return s.taskCount() * s.OccurrenceCount() }

// chunkCount returns the number of chunks.
func (s *Spec) chunkCount() int { return (s.TotalTasks() + chunkTasks - 1) / chunkTasks }

// Chunked reports whether the job's progress has rows beside its main row.
func (s *Spec) Chunked() bool { return s.TotalTasks() > chunkTasks }

// rowOf returns the row with the progress of a task: its chunk or MainRow.
func (s *Spec) rowOf(t TaskID) int {
	if !s.Chunked() {
		return MainRow
	}
	at := t.Occurrence*s.taskCount() + t.Index
	for i := range t.Step {
		at += s.Steps[i].Tasks
	}
	return at / chunkTasks
}

// ProgressKey returns the key of a row of a job's progress, of a chunk or MainRow.
func ProgressKey(job string, row int) string {
	if row == MainRow {
		return ProgressPrefix + job
	}
	return ProgressChunkPrefix + job + "." + strconv.Itoa(row)
}

// ParseChunkName splits the name of a row with ProgressChunkPrefix into the job's ID and the
// chunk.
func ParseChunkName(name string) (job string, chunk int, err error) {
	i := strings.LastIndexByte(name, '.')
	if i < 0 {
		return "", 0, errors.New("no chunk is named")
	}
	chunk, err = strconv.Atoi(name[i+1:])
	if err == nil && chunk < 0 {
		err = errors.New("the chunk is negative")
	}
	return name[:i], chunk, err
}

// changed marks the row of a task as changed.
func (p *Progress) changed(s *Spec, t TaskID) {
	if p.changedRows == nil {
		p.changedRows = map[int]bool{}
	}
	p.changedRows[s.rowOf(t)] = true
}

// MarkAllChanged marks all rows of the parts as changed.
func (p *Progress) MarkAllChanged(s *Spec) {
	for t, part := range p.partsOf(s) {
		for t.Index = range s.Steps[t.Step].Tasks {
			if part.has(t.Index) {
				p.changed(s, t)
			}
		}
	}
}

// CompleteGangs marks all members of a gang as completed if one is. The members' rows are not
// all written at once if they are in several chunks. It reports whether that changes anything.
func (p *Progress) CompleteGangs(s *Spec) bool {
	changed := false
	for t, part := range p.partsOf(s) {
		step := &s.Steps[t.Step]
		member := func(i int) bool { return i >= 0 && i < step.Tasks }
		if step.Gang && len(part.Done) < step.Tasks && slices.ContainsFunc(part.Done, member) {
			p.completeGang(s, t)
			changed = true
		}
	}
	return changed
}

// partsOf iterates over the parts of the spec's steps, each with the first task of its step.
func (p *Progress) partsOf(s *Spec) iter.Seq2[TaskID, *StepProgress] {
	return func(yield func(TaskID, *StepProgress) bool) {
		for key, part := range p.Parts {
			t := TaskID{Occurrence: key / len(s.Steps), Step: key % len(s.Steps)}
			if part != nil && key >= 0 && s.HasTask(t) && !yield(t, part) {
				return
			}
		}
	}
}

// TakeChangedRows returns the rows of the parts that have changed since the last call, in
// ascending order.
func (p *Progress) TakeChangedRows() []int {
	rows := make([]int, 0, len(p.changedRows))
	for row := range p.changedRows {
		rows = append(rows, row)
	}
	clear(p.changedRows)
	slices.Sort(rows)
	return rows
}

// has reports whether anything is recorded of task i.
func (p *StepProgress) has(i int) bool {
	return p.IsDone(i) || len(p.Failed[i]) > 0 || p.Checkpoints[i] != "" || len(p.Crashes[i]) > 0 || p.Attempts[i] > 0
}

// EncodeRow returns the value of a row of the progress, of a chunk or MainRow. What is not
// needed any more, of tasks that are done and of a job that has ended, is left out. If the
// value exceeds limit bytes, checkpoints are left out, which costs only work, and then all
// but the last crashes of each task.
func (p *Progress) EncodeRow(s *Spec, row, limit int) ([]byte, error) {
	out := Progress{}
	if row == MainRow {
		out = Progress{Begun: p.Begun, State: p.State, EndedAt: p.EndedAt}
	}
	if row != MainRow || !s.Chunked() && !p.State.Final() {
		out.Parts = p.chunkParts(s, max(row, 0))
	}
	for _, reduce := range []func(*StepProgress){
		func(part *StepProgress) { part.Checkpoints = nil },
		(*StepProgress).dropCrashes,
	} {
		value, err := json.Marshal(&out)
		if err != nil || len(value) <= limit {
			return value, err
		}
		for _, part := range out.Parts {
			reduce(part)
		}
	}
	return json.Marshal(&out)
}

// keptCrashes is the number of crashes of a task that a row has at least.
const keptCrashes = 2

func (p *StepProgress) dropCrashes() {
	for i, crashes := range p.Crashes {
		p.Crashes[i] = crashes[max(0, len(crashes)-keptCrashes):]
	}
}

// chunkParts returns the parts with what counts of the tasks in a chunk. Its maps are new,
// their values are shared.
func (p *Progress) chunkParts(s *Spec, chunk int) map[int]*StepProgress {
	parts := map[int]*StepProgress{}
	perOccurrence := s.taskCount()
	for at, end := chunk*chunkTasks, min((chunk+1)*chunkTasks, s.TotalTasks()); at < end; {
		occurrence, index := at/perOccurrence, at%perOccurrence
		step := 0
		for ; index >= s.Steps[step].Tasks; step++ {
			index -= s.Steps[step].Tasks
		}
		n := min(s.Steps[step].Tasks-index, end-at)
		key := occurrence*len(s.Steps) + step
		if part := p.Parts[key]; part != nil {
			if kept := part.between(index, index+n); kept != nil {
				parts[key] = kept
			}
		}
		at += n
	}
	return parts
}

// between returns what counts of the tasks from index from up to, without, index to; nil if
// that is nothing.
func (p *StepProgress) between(from, to int) *StepProgress {
	first, _ := slices.BinarySearch(p.Done, from)
	last, _ := slices.BinarySearch(p.Done, to)
	out := &StepProgress{Done: p.Done[first:last]}
	any := len(out.Done) > 0
	for i := from; i < to; i++ {
		if !p.has(i) || p.IsDone(i) {
			continue
		}
		any = true
		if attempts := p.Failed[i]; len(attempts) > 0 {
			if out.Failed == nil {
				out.Failed = map[int][]int{}
			}
			out.Failed[i] = attempts
		}
		out.reserveAttempts(i, p.Attempts[i])
		if token := p.Checkpoints[i]; token != "" {
			out.setCheckpoint(i, token)
		}
		if crashes := p.Crashes[i]; len(crashes) > 0 {
			if out.Crashes == nil {
				out.Crashes = map[int][]Crash{}
			}
			out.Crashes[i] = crashes
		}
	}
	if !any {
		return nil
	}
	return out
}
