package workflow

import (
	"slices"
	"time"
)

// A task may crash the workers that start it. Nothing reports which task did, so each
// crash counts as evidence against the tasks that the worker was running: against those
// whose run had just begun, if there are any, or else against all. A suspected task is kept
// apart from other work when it starts again: if the next worker crashes too, no other task
// can be the cause. A task that only ran beside the cause does not crash the next worker.

// StartCrashWindow is the age of a run up to which a crash of its worker counts as a crash
// at its start. It includes the time in which an agent notices a crash.
const StartCrashWindow = time.Second

// Limits of the crashes under a task, from which it is given up: maxStartCrashes at its
// start, or maxCrashes in all, of which minCrashesAlone count against no other job. Workers
// also crash by themselves, but hardly so often just as the same task starts.
// maxSharedStartCrashes at its start are enough if it could not be kept apart.
const (
	maxStartCrashes       = 3
	maxCrashes            = 5
	maxSharedStartCrashes = 5
	minCrashesAlone       = 2
)

// Crash records that a worker crashed while a run of a task was on it.
type Crash struct {
	Worker      string `json:"worker"`
	Incarnation int64  `json:"incarnation"`
	// AtStart is set if the run was younger than StartCrashWindow. If it is not set, there
	// was no such run on the worker.
	AtStart bool `json:"atStart,omitempty"`
	// Alone is set if the crash counts against no other job.
	Alone bool `json:"alone,omitempty"`
}

// Isolation is how a task that may have crashed a worker is kept apart from other work when
// it starts again. Higher values are stricter.
type Isolation int

// Values of Isolation.
const (
	IsolationNone Isolation = iota
	// IsolationStart keeps other starts away from the worker for StartCrashWindow before
	// and after the start.
	IsolationStart
	// IsolationWorker also requires that nothing runs on the worker.
	IsolationWorker
	// IsolationRun also keeps other work away until the run has ended.
	IsolationRun
)

// addCrash adds a crash under task i, or adds to what is known of it. It reports whether
// that changes anything.
func (p *StepProgress) addCrash(i int, c Crash) bool {
	at := slices.IndexFunc(p.Crashes[i], func(o Crash) bool { return o.Worker == c.Worker && o.Incarnation == c.Incarnation })
	if at < 0 {
		if p.Crashes == nil {
			p.Crashes = map[int][]Crash{}
		}
		p.Crashes[i] = append(p.Crashes[i], c)
		return true
	}
	known := &p.Crashes[i][at]
	before := *known
	known.AtStart, known.Alone = known.AtStart || c.AtStart, known.Alone || c.Alone
	return *known != before
}

// countCrashes returns the number of crashes at the start of task i, and how many crashes
// count against its job alone.
func (p *StepProgress) countCrashes(i int) (atStart, alone int) {
	for _, c := range p.Crashes[i] {
		if c.AtStart {
			atStart++
		}
		if c.Alone {
			alone++
		}
	}
	return atStart, alone
}

// crashLimitReached reports whether task i has crashed so many workers that it must not
// start again.
func (p *StepProgress) crashLimitReached(i int) bool {
	atStart, alone := p.countCrashes(i)
	return alone >= minCrashesAlone && (atStart >= maxStartCrashes || len(p.Crashes[i]) >= maxCrashes) || atStart >= maxSharedStartCrashes
}

// Isolation returns how task i of the step has to be kept apart when it starts again. A
// persistent task is never kept apart until its end, which may not come.
func (p *StepProgress) Isolation(s *Step, i int) Isolation {
	atStart, alone := p.countCrashes(i)
	switch {
	case len(p.Crashes[i]) >= maxStartCrashes && !s.Persistent:
		return IsolationRun
	case atStart > 1 || atStart > 0 && alone > 0:
		return IsolationWorker
	case atStart > 0:
		return IsolationStart
	}
	return IsolationNone
}

// RecordCrash records the crash of a worker on which a run of the task was. It reports
// whether that is new. For a persistent task only a crash at its start counts, since it
// outlives many workers.
func (p *Progress) RecordCrash(s *Spec, t TaskID, c Crash) bool {
	if s.Steps[t.Step].Persistent && !c.AtStart {
		return false
	}
	if !p.partAt(t.Occurrence*len(s.Steps)+t.Step).addCrash(t.Index, c) {
		return false
	}
	p.changed(s, t)
	return true
}

// givenUp reports whether a task of the step has reached the limit of crashes.
func (p *StepProgress) givenUp() bool {
	for i := range p.Crashes {
		if p.crashLimitReached(i) {
			return true
		}
	}
	return false
}
