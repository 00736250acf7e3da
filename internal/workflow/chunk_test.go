package workflow

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const testRowLimit = 64 << 10

// stored returns what is read back from all rows of a progress.
func stored(t interface{ Fatal(...any) }, s *Spec, p *Progress) *Progress {
	back := &Progress{}
	rows := []int{MainRow}
	if s.Chunked() {
		for chunk := range s.chunkCount() {
			rows = append(rows, chunk)
		}
	}
	for _, row := range rows {
		value, err := p.EncodeRow(s, row, testRowLimit)
		if err != nil {
			t.Fatal(err)
		}
		if len(value) > testRowLimit {
			t.Fatal(fmt.Sprintf("row %d has %d bytes", row, len(value)))
		}
		part := &Progress{}
		if err := json.Unmarshal(value, part); err != nil {
			t.Fatal(err)
		}
		back.Merge(part)
	}
	return back
}

// TestRowsKeepProgress guards against results that are lost when the progress of a job is
// divided into rows, and against changes of rows that are not marked.
func TestRowsKeepProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Spec{Occurrences: rapid.IntRange(0, 4).Draw(t, "occurrences")}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			s.Steps = append(s.Steps, Step{Tasks: rapid.IntRange(1, 450).Draw(t, "tasks"), Gang: rapid.Bool().Draw(t, "gang"), Checkpoint: true})
		}
		p := &Progress{Begun: true}
		marked := map[int]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "ends") {
			step := rapid.IntRange(0, len(s.Steps)-1).Draw(t, "step")
			id := RunID{
				Task: TaskID{
					Job: "j", Occurrence: rapid.IntRange(0, s.OccurrenceCount()-1).Draw(t, "occurrence"), Step: step,
					Index: rapid.IntRange(0, s.Steps[step].Tasks-1).Draw(t, "index"),
				},
				Attempt: rapid.IntRange(1, 3).Draw(t, "attempt"),
			}
			before := rowValues(t, s, p)
			if rapid.IntRange(0, 4).Draw(t, "crash") == 0 {
				p.RecordCrash(s, id.Task, Crash{Worker: "w", Incarnation: int64(id.Attempt)})
			} else {
				p.RecordEnd(s, id, rapid.SampledFrom([]EndKind{EndDone, EndFailed, EndStopped, EndLost}).Draw(t, "kind"), "token")
			}
			for _, row := range p.TakeChangedRows() {
				marked[row] = true
			}
			for row, value := range rowValues(t, s, p) {
				if value != before[row] && !marked[row] {
					t.Fatalf("row %d has changed and is not marked", row)
				}
			}
			clear(marked)
		}
		back := stored(t, s, p)
		for k := range s.OccurrenceCount() {
			for i := range s.Steps {
				id := StepID{k, i}
				was, is := p.StepProgress(s, id), back.StepProgress(s, id)
				if len(was.Done) != len(is.Done) || len(was.Done) > 0 && !reflect.DeepEqual(was.Done, is.Done) {
					t.Fatalf("step %v: done %v is read back as %v", id, was.Done, is.Done)
				}
				for n := range s.Steps[i].Tasks {
					if was.IsDone(n) {
						continue
					}
					if fmt.Sprint(was.Failed[n], was.Checkpoints[n], was.Crashes[n]) != fmt.Sprint(is.Failed[n], is.Checkpoints[n], is.Crashes[n]) {
						t.Fatalf("step %v: task %d is read back with other attempts, checkpoint or crashes", id, n)
					}
				}
			}
		}
		if p.Outcome(s, 4) != back.Outcome(s, 4) {
			t.Fatalf("outcome %q is read back as %q", p.Outcome(s, 4), back.Outcome(s, 4))
		}
	})
}

func rowValues(t *rapid.T, s *Spec, p *Progress) map[int]string {
	out := map[int]string{}
	for row := MainRow; row < s.chunkCount(); row++ {
		value, err := p.EncodeRow(s, row, testRowLimit)
		if err != nil {
			t.Fatal(err)
		}
		out[row] = string(value)
	}
	if !s.Chunked() {
		delete(out, 0) // it is in the main row
	}
	return out
}

// TestLargestProgressFitsInRows guards against a row that the store refuses for good: each
// task has failed, crashed workers and left a long checkpoint.
func TestLargestProgressFitsInRows(t *testing.T) {
	s := &Spec{Occurrences: MaxTotalTasks / MaxTasks, Steps: []Step{{Tasks: MaxTasks, Checkpoint: true}}}
	if err := s.CheckSize(); err != nil {
		t.Fatal(err)
	}
	p := &Progress{Begun: true}
	for k := range 2 {
		for i := range s.Steps[0].Tasks {
			task := TaskID{Job: "j", Occurrence: k, Index: i}
			for attempt := range 10 {
				p.RecordEnd(s, RunID{task, 4_000_000 + attempt}, EndFailed, strings.Repeat("c", MaxCheckpointBytes))
			}
			for n := range 6 {
				p.RecordCrash(s, task, Crash{Worker: fmt.Sprintf("i-%010d", n), Incarnation: 1_796_499_357_001, AtStart: true, Alone: true})
			}
		}
	}
	for _, row := range p.TakeChangedRows() {
		value, err := p.EncodeRow(s, row, testRowLimit)
		if err != nil || len(value) > testRowLimit {
			t.Fatalf("row %d has %d bytes, err %v", row, len(value), err)
		}
		back := &Progress{}
		if err := json.Unmarshal(value, back); err != nil || len(back.Parts) == 0 {
			t.Fatal(row, err)
		}
	}
}

// TestLongCheckpointIsNotKept guards against tokens so long that the rows of a job cannot
// hold one for each task.
func TestLongCheckpointIsNotKept(t *testing.T) {
	s := &Spec{Steps: []Step{{Tasks: 1, Checkpoint: true}}}
	p := &Progress{}
	p.RecordEnd(s, newRunID(0, 0, 1), EndStopped, "token")
	p.RecordEnd(s, newRunID(0, 0, 2), EndStopped, strings.Repeat("c", MaxCheckpointBytes+1))
	if got := p.Checkpoint(s, TaskID{Job: "j"}); got != "token" {
		t.Errorf("checkpoint of %d bytes, want the earlier one", len(got))
	}
}

// TestCheckSize guards against a job that is accepted and whose progress cannot be kept.
func TestCheckSize(t *testing.T) {
	for _, c := range []struct {
		name string
		spec Spec
		ok   bool
	}{
		{"at the limit", Spec{Occurrences: MaxTotalTasks / MaxTasks, Steps: []Step{{Tasks: MaxTasks}}}, true},
		{"above the limit", Spec{Occurrences: MaxTotalTasks/MaxTasks + 1, Steps: []Step{{Tasks: MaxTasks}}}, false},
		{"many occurrences of many steps", Spec{Occurrences: MaxOccurrences, Steps: make([]Step, MaxSteps)}, false},
		{"more memory than can be added up", Spec{Steps: []Step{{Need: Resources{MemoryMB: math.MaxInt}}}}, false},
		{"estimate above the longest duration", Spec{Steps: []Step{{Estimate: math.MaxInt64}}}, false},
		{"interval above the longest duration", Spec{Steps: []Step{{}}, Occurrences: 2, Interval: math.MaxInt64}, false},
		{"first time of today", Spec{Steps: []Step{{}}, Occurrences: 2, FirstAt: 1_796_499_357_001, Interval: 1000}, true},
	} {
		for i := range c.spec.Steps {
			c.spec.Steps[i].Tasks = max(c.spec.Steps[i].Tasks, 2)
		}
		if err := c.spec.CheckSize(); (err == nil) != c.ok {
			t.Errorf("%s: error %v, want ok %v", c.name, err, c.ok)
		}
	}
}

// TestMalformedPartsAreLeftOut guards against rows of another writer with steps and tasks that
// the job does not have: no row may be marked or written for them.
func TestMalformedPartsAreLeftOut(t *testing.T) {
	s := &Spec{Steps: []Step{{Tasks: 470}}}
	p, foreign := &Progress{}, &Progress{}
	if err := json.Unmarshal([]byte(`{"parts":{"0":{"done":[500,-1,3],"failed":{"900":[1],"4":null}},"7":{"done":[0]},"-7":{"done":[9]},"1":null}}`), foreign); err != nil {
		t.Fatal(err)
	}
	p.Merge(foreign)
	p.MarkAllChanged(s)
	if rows := p.TakeChangedRows(); !reflect.DeepEqual(rows, []int{0}) {
		t.Errorf("rows %v are marked, want the first chunk", rows)
	}
	value, err := p.EncodeRow(s, 0, testRowLimit)
	if err != nil || string(value) != `{"parts":{"0":{"done":[3]}}}` {
		t.Errorf("row %s, err %v; want only task 3", value, err)
	}
}

// TestCompleteGangs guards against a gang that counts as completed because of a row that names
// members it does not have.
func TestCompleteGangs(t *testing.T) {
	spec := &Spec{Steps: []Step{{Tasks: 3, Gang: true}, {Tasks: 3}}}
	for _, c := range []struct {
		done []int
		want int
	}{{nil, 0}, {[]int{1}, 3}, {[]int{0, 1, 2}, 3}, {[]int{7}, 1}, {[]int{-1}, 1}} {
		p := &Progress{Parts: map[int]*StepProgress{0: {Done: c.done}, 1: {Done: []int{0}}, 9: {Done: []int{0}}, -1: {Done: []int{0}}, 2: nil}}
		changed := p.CompleteGangs(spec)
		if n := len(p.Parts[0].Done); n != c.want || changed != (n != len(c.done)) || len(p.Parts[1].Done) != 1 {
			t.Errorf("done %v: %d members are done, changed %v, and %d of the other step; want %d and 1", c.done, n, changed, len(p.Parts[1].Done), c.want)
		}
	}
}
