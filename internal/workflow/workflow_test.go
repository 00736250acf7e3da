package workflow

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func gangSpec() *Spec {
	return &Spec{Steps: []Step{{Tasks: 2}, {Tasks: 3, Gang: true, After: []int{0}}}}
}

func run(step, index, attempt int) RunID {
	return RunID{Task: TaskID{Job: "j", Step: step, Index: index}, Attempt: attempt}
}

// Guards against an end that is counted twice, a gang that is done in part, and
// an outcome that comes too early.
func TestProgress(t *testing.T) {
	s, p := gangSpec(), &Progress{}
	if p.MayStart(s, PartID{0, 1}) {
		t.Error("the second step may start at once")
	}
	if !p.NoteEnd(s, run(0, 0, 1), EndDone, "") || p.NoteEnd(s, run(0, 0, 1), EndDone, "") {
		t.Error("a first end done changes something, a second does not")
	}
	if p.NoteEnd(s, run(0, 1, 1), EndLapsed, "") {
		t.Error("a lapsed run is no fact to keep")
	}
	if !p.NoteEnd(s, run(0, 1, 2), EndFailed, "") || p.NoteEnd(s, run(0, 1, 2), EndFailed, "") {
		t.Error("a failed attempt counts once")
	}
	if p.Outcome(s, 2) != "" || p.Outcome(s, 1) != StateFailed {
		t.Errorf("outcome %q after one failed run of two", p.Outcome(s, 2))
	}
	p.NoteEnd(s, run(0, 1, 3), EndDone, "")
	if !p.MayStart(s, PartID{0, 1}) || p.Outcome(s, 2) != "" {
		t.Error("the gang may start, and the job has not ended")
	}
	// Several members of one attempt that fail are one failed run of the gang.
	p.NoteEnd(s, run(1, 0, 1), EndFailed, "")
	p.NoteEnd(s, run(1, 2, 1), EndFailed, "")
	if p.Outcome(s, 2) != "" {
		t.Error("one failed attempt of a gang counts as two")
	}
	p.NoteEnd(s, run(1, 2, 2), EndDone, "")
	if p.Outcome(s, 2) != StateCompleted {
		t.Errorf("outcome %q after the gang ended done", p.Outcome(s, 2))
	}
}

// Guards against a checkpoint of a gang that only one member resumes from.
func TestCheckpointOfGang(t *testing.T) {
	s := gangSpec()
	s.Steps[1].Checkpoint = true
	p := &Progress{}
	p.NoteEnd(s, run(1, 2, 1), EndStopped, "token")
	for i := range 3 {
		if got := p.Checkpoint(s, TaskID{Job: "j", Step: 1, Index: i}); got != "token" {
			t.Errorf("member %d resumes from %q", i, got)
		}
	}
}

// Guards against facts that are lost when two versions of a job's progress meet,
// and against a merge that depends on the order.
func TestMergeKeepsFacts(t *testing.T) {
	s := &Spec{Steps: []Step{{Tasks: 4}, {Tasks: 2, Gang: true}}}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) *Progress {
			p := &Progress{}
			for range rapid.IntRange(0, 8).Draw(t, name) {
				step := rapid.IntRange(0, 1).Draw(t, "step")
				kind := rapid.SampledFrom([]EndKind{EndDone, EndFailed, EndStopped}).Draw(t, "kind")
				p.NoteEnd(s, run(step, rapid.IntRange(0, s.Steps[step].Tasks-1).Draw(t, "task"), rapid.IntRange(1, 3).Draw(t, "attempt")), kind, "")
			}
			return p
		}
		a, b := draw("a"), draw("b")
		ab, ba := a.Clone(), b.Clone()
		ab.Merge(b)
		ba.Merge(a)
		for i := range s.Steps {
			id := PartID{0, i}
			if !reflect.DeepEqual(ab.Part(s, id).Done, ba.Part(s, id).Done) {
				t.Fatalf("done %v or %v", ab.Part(s, id).Done, ba.Part(s, id).Done)
			}
			for _, p := range []*Progress{a, b} {
				for _, n := range p.Part(s, id).Done {
					if !ab.Part(s, id).IsDone(n) {
						t.Fatalf("task %d of step %d is no longer done", n, i)
					}
				}
			}
		}
		data, err := json.Marshal(ab)
		back := &Progress{}
		if err != nil || json.Unmarshal(data, back) != nil || back.Outcome(s, 3) != ab.Outcome(s, 3) {
			t.Fatal("the stored form differs")
		}
	})
}

// Guards against jobs that no decision could ever end, or that are larger than
// what is stored.
func TestValidate(t *testing.T) {
	for name, s := range map[string]Spec{
		"no steps":       {},
		"no tasks":       {Steps: []Step{{}}},
		"later step":     {Steps: []Step{{Tasks: 1, After: []int{0}}}},
		"negative":       {Steps: []Step{{Tasks: 1, Need: Resources{GPUs: -1}}}},
		"too many tasks": {Steps: []Step{{Tasks: MaxTasks + 1}}},
		"long payload":   {Payload: string(make([]byte, MaxPayloadBytes+1)), Steps: []Step{{Tasks: 1}}},
		"occurrences":    {Steps: []Step{{Tasks: 1}}, Occurrences: -1},
	} {
		if s.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if err := gangSpec().Validate(); err != nil {
		t.Error(err)
	}
}

// FuzzParseTaskID guards against names that are read as another task.
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
