package workflow

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// gangSpec returns a spec of two single tasks and a gang of three that depends on them.
func gangSpec() *Spec {
	return &Spec{Steps: []Step{{Tasks: 2}, {Tasks: 3, Gang: true, After: []int{0}}}}
}

// newRunID returns the ID of an attempt in occurrence 0 of job "j".
func newRunID(step, index, attempt int) RunID {
	return RunID{Task: TaskID{Job: "j", Step: step, Index: index}, Attempt: attempt}
}

// TestProgressRecordsEnds guards against an end that is counted twice, a gang that
// counts as done in part, and a job outcome that is set too early.
func TestProgressRecordsEnds(t *testing.T) {
	s, p := gangSpec(), &Progress{}
	if p.DependenciesDone(s, StepID{0, 1}) {
		t.Error("the second step may start before the first is done")
	}
	if !p.RecordEnd(s, newRunID(0, 0, 1), EndDone, "") || p.RecordEnd(s, newRunID(0, 0, 1), EndDone, "") {
		t.Error("want a change for the first successful end of a task and none for the second")
	}
	if p.RecordEnd(s, newRunID(0, 1, 1), EndLeaseExpired, "") {
		t.Error("a run whose lease expired adds a result to store")
	}
	if !p.RecordEnd(s, newRunID(0, 1, 2), EndFailed, "") || p.RecordEnd(s, newRunID(0, 1, 2), EndFailed, "") {
		t.Error("want a change for the first report of a failed attempt and none for the second")
	}
	if p.Outcome(s, 2) != "" || p.Outcome(s, 1) != StateFailed {
		t.Errorf("outcome %q after one of two allowed failures", p.Outcome(s, 2))
	}
	p.RecordEnd(s, newRunID(0, 1, 3), EndDone, "")
	if !p.DependenciesDone(s, StepID{0, 1}) || p.Outcome(s, 2) != "" {
		t.Error("want the gang free to start and the job without an outcome")
	}
	// Failures of several members in the same attempt are one failure of the gang.
	p.RecordEnd(s, newRunID(1, 0, 1), EndFailed, "")
	p.RecordEnd(s, newRunID(1, 2, 1), EndFailed, "")
	if p.Outcome(s, 2) != "" {
		t.Error("one failed attempt of a gang counts as two")
	}
	p.RecordEnd(s, newRunID(1, 2, 2), EndDone, "")
	if p.Outcome(s, 2) != StateCompleted {
		t.Errorf("outcome %q after the gang completed", p.Outcome(s, 2))
	}
}

// TestGangSharesCheckpoint checks that all members of a gang resume from the checkpoint
// that one of them reported.
func TestGangSharesCheckpoint(t *testing.T) {
	s := gangSpec()
	s.Steps[1].Checkpoint = true
	p := &Progress{}
	p.RecordEnd(s, newRunID(1, 2, 1), EndStopped, "token")
	for i := range 3 {
		if got := p.Checkpoint(s, TaskID{Job: "j", Step: 1, Index: i}); got != "token" {
			t.Errorf("member %d resumes from %q, want the token of the gang", i, got)
		}
	}
}

// TestMergeKeepsResults guards against results that are lost when two versions of a
// job's progress are merged, and against a merge that depends on the order.
func TestMergeKeepsResults(t *testing.T) {
	s := &Spec{Steps: []Step{{Tasks: 4}, {Tasks: 2, Gang: true}}}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) *Progress {
			p := &Progress{}
			for range rapid.IntRange(0, 8).Draw(t, name) {
				step := rapid.IntRange(0, 1).Draw(t, "step")
				kind := rapid.SampledFrom([]EndKind{EndDone, EndFailed, EndStopped}).Draw(t, "kind")
				p.RecordEnd(s, newRunID(step, rapid.IntRange(0, s.Steps[step].Tasks-1).Draw(t, "task"), rapid.IntRange(1, 3).Draw(t, "attempt")), kind, "")
			}
			return p
		}
		a, b := draw("a"), draw("b")
		ab, ba := a.Clone(), b.Clone()
		ab.Merge(b)
		ba.Merge(a)
		for i := range s.Steps {
			id := StepID{0, i}
			if !reflect.DeepEqual(ab.StepProgress(s, id).Done, ba.StepProgress(s, id).Done) {
				t.Fatalf("merge in either order gives done %v and %v", ab.StepProgress(s, id).Done, ba.StepProgress(s, id).Done)
			}
			for _, p := range []*Progress{a, b} {
				for _, n := range p.StepProgress(s, id).Done {
					if !ab.StepProgress(s, id).IsDone(n) {
						t.Fatalf("task %d of step %d is no longer done after the merge", n, i)
					}
				}
			}
		}
		data, err := json.Marshal(ab)
		back := &Progress{}
		if err != nil || json.Unmarshal(data, back) != nil || back.Outcome(s, 3) != ab.Outcome(s, 3) {
			t.Fatal("the outcome differs after encoding and decoding")
		}
	})
}

// TestValidate guards against accepting jobs that can never complete, that exceed
// the storage limits, or whose number of tasks overflows and exhausts the owner's memory.
func TestValidate(t *testing.T) {
	for name, s := range map[string]Spec{
		"no steps":       {},
		"no tasks":       {Steps: []Step{{}}},
		"later step":     {Steps: []Step{{Tasks: 1, After: []int{0}}}},
		"negative":       {Steps: []Step{{Tasks: 1, Need: Resources{GPUs: -1}}}},
		"too many tasks": {Steps: []Step{{Tasks: MaxTasks + 1}}},
		"no limit":       {Steps: []Step{{Tasks: math.MaxInt}}},
		// The sum of the tasks overflows.
		"two without limit": {Steps: []Step{{Tasks: math.MaxInt}, {Tasks: math.MaxInt}, {Tasks: 3}}},
		"long payload":      {Payload: string(make([]byte, MaxPayloadBytes+1)), Steps: []Step{{Tasks: 1}}},
		"occurrences":       {Steps: []Step{{Tasks: 1}}, Occurrences: -1},
	} {
		if s.Validate() == nil {
			t.Errorf("%s: spec accepted, want an error", name)
		}
	}
	if err := gangSpec().Validate(); err != nil {
		t.Error(err)
	}
}

// FuzzParseTaskID guards against an ID that is parsed as that of another task.
func FuzzParseTaskID(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17")
	f.Add("a.-1.0.0")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseTaskID(s)
		if err != nil {
			return
		}
		if again, err := ParseTaskID(id.String()); err != nil || again != id {
			t.Fatalf("%q is read as %v, then as %v, %v", s, id, again, err)
		}
	})
}
