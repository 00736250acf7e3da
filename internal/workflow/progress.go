package workflow

import (
	"maps"
	"slices"
)

// Part is the progress of one step in one occurrence.
type Part struct {
	// Done lists the indexes of the tasks that ended done, ascending.
	Done []int `json:"done,omitempty"`
	// Failed lists the attempts that ended failed by task index, ascending, so
	// that an end which is reported twice counts once. A gang counts at index 0.
	Failed map[int][]int `json:"failed,omitempty"`
	// Checkpoints has the last known token by task index.
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
}

// PartID names a step of an occurrence.
type PartID struct{ Occurrence, Step int }

// Progress is the mutable part of a job: the value of a row that only the owner
// of the deployment writes. All facts in it are permanent, so that two versions
// can be merged.
type Progress struct {
	// Begun says that a task has started at some time.
	Begun bool  `json:"begun,omitempty"`
	State State `json:"state,omitempty"` // empty until the job is final
	// Parts is indexed by occurrence and step, as occurrence*steps + step.
	Parts map[int]*Part `json:"parts,omitempty"`
	// EndedAt is the Unix time in milliseconds of the final state.
	EndedAt int64 `json:"endedAtMs,omitempty"`
}

// Clone returns a deep copy.
func (p *Progress) Clone() *Progress {
	c := *p
	c.Parts = make(map[int]*Part, len(p.Parts))
	for k, v := range p.Parts {
		c.Parts[k] = &Part{Done: slices.Clone(v.Done), Failed: maps.Clone(v.Failed), Checkpoints: maps.Clone(v.Checkpoints)}
		for i, attempts := range v.Failed {
			c.Parts[k].Failed[i] = slices.Clone(attempts)
		}
	}
	return &c
}

// Merge adds the facts of o. Of two final states the one that p has stays.
func (p *Progress) Merge(o *Progress) {
	p.Begun = p.Begun || o.Begun
	if p.State == "" && o.State != "" {
		p.State, p.EndedAt = o.State, o.EndedAt
	}
	for k, v := range o.Parts {
		if v == nil {
			continue // a row of another writer
		}
		part := p.at(k)
		for _, i := range v.Done {
			part.addDone(i)
		}
		for i, n := range v.Failed {
			for _, attempt := range n {
				part.addFailed(i, attempt)
			}
		}
		for i, c := range v.Checkpoints {
			if part.Checkpoints[i] == "" {
				part.setCheckpoint(i, c)
			}
		}
	}
}

func (p *Progress) at(key int) *Part {
	if p.Parts == nil {
		p.Parts = map[int]*Part{}
	}
	if p.Parts[key] == nil {
		p.Parts[key] = &Part{}
	}
	return p.Parts[key]
}

// Part returns the progress of a step, which the caller must not change.
func (p *Progress) Part(s *Spec, id PartID) *Part {
	if part := p.Parts[id.Occurrence*len(s.Steps)+id.Step]; part != nil {
		return part
	}
	return &Part{}
}

func (p *Part) addDone(i int) {
	at, found := slices.BinarySearch(p.Done, i)
	if !found {
		p.Done = slices.Insert(p.Done, at, i)
	}
}

func (p *Part) addFailed(i, attempt int) bool {
	if p.Failed == nil {
		p.Failed = map[int][]int{}
	}
	at, found := slices.BinarySearch(p.Failed[i], attempt)
	if !found {
		p.Failed[i] = slices.Insert(p.Failed[i], at, attempt)
	}
	return !found
}

func (p *Part) setCheckpoint(i int, token string) {
	if p.Checkpoints == nil {
		p.Checkpoints = map[int]string{}
	}
	p.Checkpoints[i] = token
}

// IsDone reports whether task i ended done.
func (p *Part) IsDone(i int) bool {
	_, found := slices.BinarySearch(p.Done, i)
	return found
}

// NoteEnd adds the end of a run of a task and reports whether that changed a
// fact that must be durable before the worker may forget the end.
func (p *Progress) NoteEnd(s *Spec, id RunID, kind EndKind, checkpoint string) bool {
	t := id.Task
	step := &s.Steps[t.Step]
	part := p.at(t.Occurrence*len(s.Steps) + t.Step)
	if checkpoint != "" && step.Checkpoint {
		i := t.Index
		if step.Gang {
			i = 0
		}
		part.setCheckpoint(i, checkpoint)
	}
	if step.Persistent {
		return false
	}
	switch kind {
	case EndDone:
		if part.IsDone(t.Index) {
			return false
		}
		if step.Gang {
			for i := range step.Tasks {
				part.addDone(i)
			}
		} else {
			part.addDone(t.Index)
		}
		return true
	case EndFailed:
		i := t.Index
		if step.Gang {
			i = 0
		}
		return part.addFailed(i, id.Attempt)
	}
	return false
}

// Checkpoint returns the token from which the task resumes, or "".
func (p *Progress) Checkpoint(s *Spec, t TaskID) string {
	i := t.Index
	if s.Steps[t.Step].Gang {
		i = 0
	}
	return p.Part(s, PartID{t.Occurrence, t.Step}).Checkpoints[i]
}

// StepDone reports whether all tasks of a step ended done.
func (p *Progress) StepDone(s *Spec, id PartID) bool {
	return len(p.Part(s, id).Done) == s.Steps[id.Step].Tasks
}

// MayStart reports whether the steps that a step waits for are done.
func (p *Progress) MayStart(s *Spec, id PartID) bool {
	for _, a := range s.Steps[id.Step].After {
		if !p.StepDone(s, PartID{id.Occurrence, a}) {
			return false
		}
	}
	return true
}

// Outcome returns the final state that the facts lead to, or "" if there is
// none yet.
func (p *Progress) Outcome(s *Spec, maxAttempts int) State {
	done := true
	for k := range s.Runs() {
		for i := range s.Steps {
			id := PartID{k, i}
			if s.Steps[i].Persistent {
				done = false
				continue
			}
			for _, n := range p.Part(s, id).Failed {
				if maxAttempts > 0 && len(n) >= maxAttempts {
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

// Shown returns the state that a client sees: the final state, cancelled if the
// job was cancelled before, and otherwise whether a task has started.
func Shown(p *Progress, cancelled bool) State {
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
