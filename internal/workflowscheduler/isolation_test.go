package workflowscheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// isolatedGroup returns a group of n tasks of one GPU that may have crashed a worker.
func isolatedGroup(n int, level workflow.Isolation) Group {
	g := newGroup("suspect", n, needGPUs(1))
	g.Isolation = level
	return g
}

// Guards against healthy tasks that are lost, or come under suspicion, because they start
// beside a task that may crash its worker.
func TestSuspectedTasksAreKeptApart(t *testing.T) {
	cases := []struct {
		name    string
		workers int
		build   func(*Snapshot)
		suspect []string // the workers on which tasks of group 0 start
		waits   Reason
	}{
		{"not beside a task that has just started", 2, func(s *Snapshot) {
			s.Groups = []Group{isolatedGroup(1, workflow.IsolationStart)}
			s.Workers[0].RecentStart = true
		}, []string{"w01"}, ""},
		{"beside older work, on the worker that has least to lose", 3, func(s *Snapshot) {
			s.Groups = []Group{isolatedGroup(1, workflow.IsolationStart)}
			addRun(s, 0, "x", needGPUs(4), 5*second, nil)
			addRun(s, 1, "x", needGPUs(2), 5*second, nil)
			addRun(s, 2, "x", needGPUs(6), 5*second, nil)
		}, []string{"w01"}, ""},
		{"one on each worker", 3, func(s *Snapshot) {
			s.Groups = []Group{isolatedGroup(4, workflow.IsolationStart)}
		}, []string{"w00", "w01", "w02"}, WaitsForIdle},
		{"only on an idle worker after more crashes", 2, func(s *Snapshot) {
			s.Groups = []Group{isolatedGroup(1, workflow.IsolationWorker)}
			addRun(s, 0, "x", needGPUs(1), 5*second, nil)
		}, []string{"w01"}, ""},
		{"waits while no worker is idle", 2, func(s *Snapshot) {
			s.Groups = []Group{isolatedGroup(1, workflow.IsolationWorker)}
			addRun(s, 0, "x", needGPUs(1), 5*second, nil)
			addRun(s, 1, "x", needGPUs(1), 5*second, nil)
		}, nil, WaitsForIdle},
		{"stops no work to get an idle worker", 1, func(s *Snapshot) {
			g := isolatedGroup(1, workflow.IsolationWorker)
			g.Guaranteed, g.Priority = true, 0
			s.Groups = []Group{g}
			s.Now, s.Groups[0].ReadyAt = 10*second, 0
			addRun(s, 0, "x", needGPUs(1), 60*second, nil)
		}, nil, WaitsForIdle},
		{"a gang gets idle workers", 4, func(s *Snapshot) {
			g := isolatedGroup(10, workflow.IsolationWorker)
			g.Gang = true
			s.Groups = []Group{g}
			addRun(s, 1, "x", needGPUs(1), 5*second, nil)
		}, []string{"w00", "w02"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot(c.workers)
			c.build(s)
			p := Decide(s)
			got := startedOn(p, 0)
			slices.Sort(got)
			if got = slices.Compact(got); !slices.Equal(got, c.suspect) {
				t.Errorf("suspected tasks start on %v, want %v", got, c.suspect)
			}
			if p.Waits[0] != c.waits {
				t.Errorf("wait reason %q, want %q", p.Waits[0], c.waits)
			}
			if len(p.Stops) > 0 {
				t.Errorf("runs are stopped: %v", p.Stops)
			}
		})
	}
}

// Guards against a healthy task that starts in the same decision on the worker of a task
// that may crash it.
func TestNothingStartsBesideSuspectedTask(t *testing.T) {
	s := newSnapshot(2)
	suspect := isolatedGroup(1, workflow.IsolationStart)
	suspect.Worth = 100 // it is placed first
	s.Groups = []Group{suspect, newGroup("healthy", 6, needGPUs(1))}
	p := Decide(s)
	on := startedOn(p, 0)
	if len(on) != 1 || len(startedOn(p, 1)) != 6 {
		t.Fatalf("plan %+v, want that all tasks start", p)
	}
	if slices.Contains(startedOn(p, 1), on[0]) {
		t.Errorf("a healthy task starts on %s beside the suspected one", on[0])
	}
}

// Guards against a step that is kept apart for ever: what it waits for is only the end of
// other work, as long as the cluster has free capacity.
func TestSuspectedTaskOfLargeNeedGetsReservation(t *testing.T) {
	s := newSnapshot(1)
	g := newGroup("suspect", 1, needGPUs(8))
	g.Isolation = workflow.IsolationWorker
	s.Groups = []Group{g, newGroup("small", 4, needGPUs(1))}
	s.Groups[0].Worth = 100
	addRun(s, 0, "x", needGPUs(1), second, nil)
	s.Groups[1].Expected = 30 * time.Second
	if p := Decide(s); len(p.Starts) != 0 {
		t.Errorf("starts %v, want none that delay the reservation", p.Starts)
	}
}
