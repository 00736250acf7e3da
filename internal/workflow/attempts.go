package workflow

// ReserveAttempts records that attempts of a task up to a number may be used, so that no other
// owner uses these numbers.
func (p *Progress) ReserveAttempts(s *Spec, t TaskID, through int) {
	t = s.sharedTask(t)
	if p.partAt(t.Occurrence*len(s.Steps)+t.Step).reserveAttempts(t.Index, through) {
		p.changed(s, t)
	}
}

// ReservedAttempts returns the highest reserved attempt number of a task, or 0 if there is none.
func (p *Progress) ReservedAttempts(s *Spec, t TaskID) int {
	return p.StepProgress(s, StepID{t.Occurrence, t.Step}).Attempts[s.sharedTask(t).Index]
}

// reserveAttempts reports whether that raises the highest reserved number of task i.
func (p *StepProgress) reserveAttempts(i, through int) bool {
	if through <= p.Attempts[i] {
		return false
	}
	if p.Attempts == nil {
		p.Attempts = map[int]int{}
	}
	p.Attempts[i] = through
	return true
}

// sharedTask returns the task under which results that the members of a gang share are
// recorded; t itself if its step is no gang.
func (s *Spec) sharedTask(t TaskID) TaskID {
	if s.Steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}
