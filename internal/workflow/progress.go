package workflow

import (
	"maps"
	"slices"
)

// StepProgress is the progress of one step in one occurrence.
type StepProgress struct {
	// Done lists the indexes of the tasks that completed, ascending.
	Done []int `json:"done,omitempty"`
	// Failed lists the failed attempts by task index, ascending, so that a failure that
	// is reported twice counts once. A gang uses index 0.
	Failed map[int][]int `json:"failed,omitempty"`
	// Checkpoints has the last known checkpoint token by task index. A gang uses index
	// 0.
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
	// Crashes lists the workers that crashed under a task, by task index, each once. The
	// members of a gang are counted by themselves.
	Crashes map[int][]Crash `json:"crashes,omitempty"`
	// Attempts has the highest attempt number that an owner has reserved, by task index. A gang
	// uses index 0. Numbers that follow from the owner's epoch need no reservation.
	Attempts map[int]int `json:"attempts,omitempty"`
}

// StepID identifies a step of an occurrence.
type StepID struct{ Occurrence, Step int }

// Progress is the mutable state of a job: the values of rows that only the owner of the
// deployment writes; see EncodeRow. Completed tasks, failed attempts and crashes are only added, never
// removed, so that two versions can be merged.
type Progress struct {
	// Begun is set once any task has started.
	Begun bool  `json:"begun,omitempty"`
	State State `json:"state,omitempty"` // empty until the state is final
	// Parts is the progress by occurrence and step; the key is occurrence*steps + step.
	Parts map[int]*StepProgress `json:"parts,omitempty"`
	// EndedAt is the time of the final state as Unix time in milliseconds.
	EndedAt int64 `json:"endedAtMs,omitempty"`

	changedRows map[int]bool // rows of Parts with changes, see TakeChangedRows
}

// Clone returns a deep copy.
func (p *Progress) Clone() *Progress {
	c := *p
	c.changedRows = maps.Clone(p.changedRows)
	c.Parts = make(map[int]*StepProgress, len(p.Parts))
	for k, v := range p.Parts {
		c.Parts[k] = &StepProgress{Done: slices.Clone(v.Done), Failed: maps.Clone(v.Failed), Checkpoints: maps.Clone(v.Checkpoints), Crashes: maps.Clone(v.Crashes), Attempts: maps.Clone(v.Attempts)}
		for i, crashes := range v.Crashes {
			c.Parts[k].Crashes[i] = slices.Clone(crashes)
		}
		for i, attempts := range v.Failed {
			c.Parts[k].Failed[i] = slices.Clone(attempts)
		}
	}
	return &c
}

// Merge adds the entries of o. If both have a final state, that of p is kept.
func (p *Progress) Merge(o *Progress) {
	p.Begun = p.Begun || o.Begun
	if p.State == "" && o.State != "" {
		p.State, p.EndedAt = o.State, o.EndedAt
	}
	for k, v := range o.Parts {
		if v == nil {
			continue // null in a row that another program wrote
		}
		step := p.partAt(k)
		for _, i := range v.Done {
			step.addDone(i)
		}
		for i, attempts := range v.Failed {
			for _, attempt := range attempts {
				step.addFailed(i, attempt)
			}
		}
		for i, crashes := range v.Crashes {
			for _, c := range crashes {
				step.addCrash(i, c)
			}
		}
		for i, through := range v.Attempts {
			step.reserveAttempts(i, through)
		}
		for i, c := range v.Checkpoints {
			if step.Checkpoints[i] == "" {
				step.setCheckpoint(i, c)
			}
		}
	}
}

// partAt returns the progress with the given key of Parts, which it adds if missing.
func (p *Progress) partAt(key int) *StepProgress {
	if p.Parts == nil {
		p.Parts = map[int]*StepProgress{}
	}
	if p.Parts[key] == nil {
		p.Parts[key] = &StepProgress{}
	}
	return p.Parts[key]
}

// StepProgress returns the progress of a step. The caller must not modify it.
func (p *Progress) StepProgress(s *Spec, id StepID) *StepProgress {
	if part := p.Parts[id.Occurrence*len(s.Steps)+id.Step]; part != nil {
		return part
	}
	return &StepProgress{}
}

// addDone marks task i as completed.
func (p *StepProgress) addDone(i int) {
	at, found := slices.BinarySearch(p.Done, i)
	if !found {
		p.Done = slices.Insert(p.Done, at, i)
	}
}

// addFailed adds a failed attempt and reports whether it is new.
func (p *StepProgress) addFailed(i, attempt int) bool {
	if p.Failed == nil {
		p.Failed = map[int][]int{}
	}
	at, found := slices.BinarySearch(p.Failed[i], attempt)
	if !found {
		p.Failed[i] = slices.Insert(p.Failed[i], at, attempt)
	}
	return !found
}

func (p *StepProgress) setCheckpoint(i int, token string) {
	if p.Checkpoints == nil {
		p.Checkpoints = map[int]string{}
	}
	p.Checkpoints[i] = token
}

// IsDone reports whether task i has completed.
func (p *StepProgress) IsDone(i int) bool {
	_, found := slices.BinarySearch(p.Done, i)
	return found
}

// MaxCheckpointBytes is the size of the longest checkpoint token that is kept. A task whose
// tokens are longer starts from its last shorter one, or from the beginning.
const MaxCheckpointBytes = 128

// RecordEnd records the end of a run. It reports whether that added a result that must
// be stored before the worker may forget the end.
func (p *Progress) RecordEnd(s *Spec, id RunID, kind EndKind, checkpoint string) bool {
	t := id.Task
	step := &s.Steps[t.Step]
	part := p.partAt(t.Occurrence*len(s.Steps) + t.Step)
	shared := s.sharedTask(t)
	if step.Checkpoint && checkpoint != "" && len(checkpoint) <= MaxCheckpointBytes {
		part.setCheckpoint(shared.Index, checkpoint)
		p.changed(s, shared)
	}
	if step.Persistent {
		return false
	}
	switch kind {
	case EndDone:
		if part.IsDone(t.Index) {
			return false
		}
		if !step.Gang {
			part.addDone(t.Index)
			p.changed(s, t)
			return true
		}
		p.completeGang(s, t)
		return true
	case EndFailed:
		if !part.addFailed(shared.Index, id.Attempt) {
			return false
		}
		p.changed(s, shared)
		return true
	}
	return false
}

// completeGang marks all members of the gang of a task as completed.
func (p *Progress) completeGang(s *Spec, t TaskID) {
	part := p.partAt(t.Occurrence*len(s.Steps) + t.Step)
	for t.Index = range s.Steps[t.Step].Tasks {
		part.addDone(t.Index)
		p.changed(s, t)
	}
}

// Checkpoint returns the token from which the task resumes, or "" if there is none.
func (p *Progress) Checkpoint(s *Spec, t TaskID) string {
	return p.StepProgress(s, StepID{t.Occurrence, t.Step}).Checkpoints[s.sharedTask(t).Index]
}

// StepDone reports whether all tasks of a step have completed.
func (p *Progress) StepDone(s *Spec, id StepID) bool {
	return len(p.StepProgress(s, id).Done) == s.Steps[id.Step].Tasks
}

// DependenciesDone reports whether all steps on which a step depends have completed.
func (p *Progress) DependenciesDone(s *Spec, id StepID) bool {
	for _, dependency := range s.Steps[id.Step].After {
		if !p.StepDone(s, StepID{id.Occurrence, dependency}) {
			return false
		}
	}
	return true
}

// Outcome returns the final state that follows from the recorded ends, or "" if the job
// continues. A task that has failed maxAttempts times fails its job; 0 means no limit. So
// does a task that has crashed too many workers.
func (p *Progress) Outcome(s *Spec, maxAttempts int) State {
	done := true
	for k := range s.OccurrenceCount() {
		for i := range s.Steps {
			id := StepID{k, i}
			if p.StepProgress(s, id).givenUp() {
				return StateFailed
			}
			if s.Steps[i].Persistent {
				done = false
				continue
			}
			for _, attempts := range p.StepProgress(s, id).Failed {
				if maxAttempts > 0 && len(attempts) >= maxAttempts {
					return StateFailed
				}
			}
			done = done && p.StepDone(s, id)
		}
	}
	if done {
		return StateCompleted
	}
	return ""
}

// ClientState returns the state of a job that clients see: its final state if it has
// one, then StateCancelled if cancelled is set, and otherwise whether a task has started.
func ClientState(p *Progress, cancelled bool) State {
	switch {
	case p != nil && p.State != "":
		return p.State
	case cancelled:
		return StateCancelled
	case p != nil && p.Begun:
		return StateRunning
	}
	return StateQueued
}
