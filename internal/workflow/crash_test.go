package workflow

import (
	"fmt"
	"testing"
)

// crashesOf returns crashes of different workers, one for each letter: "a" at the start of
// the run and alone, "s" at the start beside a run of another job that had just begun, "l"
// later beside other jobs, "m" later and alone on the worker.
func crashesOf(kinds string) []Crash {
	var out []Crash
	for i, k := range kinds {
		out = append(out, Crash{Worker: fmt.Sprint("w", i), Incarnation: 1, AtStart: k == 'a' || k == 's', Alone: k == 'a' || k == 'm'})
	}
	return out
}

// Guards against a task that crashes workers without end, and against giving up or
// isolating a task that only was on workers that crashed.
func TestCrashesDecideIsolationAndLimit(t *testing.T) {
	cases := []struct {
		name, crashes string
		persistent    bool
		isolation     Isolation
		givenUp       bool
	}{
		{"no crash", "", false, IsolationNone, false},
		{"beside a crash, long after its start", "l", false, IsolationNone, false},
		{"beside two crashes, long after its start", "ll", false, IsolationNone, false},
		{"started together with another job's task", "s", false, IsolationStart, false},
		{"started alone", "a", false, IsolationWorker, false},
		{"twice beside the cause", "ss", false, IsolationWorker, false},
		{"three times beside the cause", "sss", false, IsolationRun, false},
		{"once beside others, once alone", "sa", false, IsolationWorker, false},
		{"the cause, at first beside others", "saa", false, IsolationRun, true},
		{"the cause, always alone", "aaa", false, IsolationRun, true},
		{"five times beside the cause", "sssss", false, IsolationRun, true},
		{"beside many crashes, long after its start", "llllllll", false, IsolationRun, false},
		{"crashes late, first beside others, once alone", "lllm", false, IsolationRun, false},
		{"crashes late, first beside others, twice alone", "lllmm", false, IsolationRun, true},
		{"a persistent task on workers that crash", "llllllll", true, IsolationNone, false},
		{"a persistent task beside the cause", "lllss", true, IsolationWorker, false},
		{"a persistent task that is the cause", "aaa", true, IsolationWorker, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Spec{Steps: []Step{{Tasks: 2, Persistent: c.persistent}}}
			p := &Progress{}
			for _, crash := range crashesOf(c.crashes) {
				if p.RecordCrash(s, TaskID{Job: "j", Index: 1}, crash) != (crash.AtStart || !c.persistent) || p.RecordCrash(s, TaskID{Job: "j", Index: 1}, crash) {
					t.Error("want a change for the first report of a crash and none for the second")
				}
			}
			if got := p.StepProgress(s, StepID{}).Isolation(&s.Steps[0], 1); got != c.isolation {
				t.Errorf("isolation %d, want %d", got, c.isolation)
			}
			if got := p.Outcome(s, 2) == StateFailed; got != c.givenUp {
				t.Errorf("given up %v, want %v", got, c.givenUp)
			}
		})
	}
}

// Guards against a crash that counts twice, or is lost, when the rows of two owners are
// merged.
func TestMergeKeepsEachCrashOnce(t *testing.T) {
	s := &Spec{Steps: []Step{{Tasks: 1}}}
	task := TaskID{Job: "j"}
	a, b := &Progress{}, &Progress{}
	first, second, third := crashesOf("aaa")[0], crashesOf("aaa")[1], crashesOf("aaa")[2]
	a.RecordCrash(s, task, first)
	a.RecordCrash(s, task, Crash{Worker: second.Worker, Incarnation: second.Incarnation})
	b.RecordCrash(s, task, second)
	clone := b.Clone()
	b.RecordCrash(s, task, third)
	if n := len(clone.Parts[0].Crashes[0]); n != 1 {
		t.Fatalf("the clone has %d crashes after a change of the original, want 1", n)
	}
	a.Merge(b)
	if got := a.Parts[0].Crashes[0]; len(got) != 3 || a.Outcome(s, 0) != StateFailed {
		t.Errorf("merged crashes %+v with outcome %q, want three that decide the job", got, a.Outcome(s, 0))
	}
}
