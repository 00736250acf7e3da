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
			s.Workers[0].QuietAt = second
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

// Guards against a suspected task that never finds a worker without recent starts, because
// other tasks start on all workers all the time, so that it had to start beside them and
// crashed five workers with all their work instead of three.
func TestWorkersAreKeptClearForSuspectedTasks(t *testing.T) {
	cases := []struct {
		name    string
		suspect Group
		build   func(*Snapshot)
		clear   []string // the workers on which nothing starts
	}{
		{"the worker that is quiet first", isolatedGroup(1, workflow.IsolationStart), func(s *Snapshot) {
			s.Workers[0].QuietAt, s.Workers[1].QuietAt, s.Workers[2].QuietAt = 800*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond
		}, []string{"w01"}},
		{"not one without capacity for the task", isolatedGroup(1, workflow.IsolationStart), func(s *Snapshot) {
			s.Workers[0].QuietAt, s.Workers[1].QuietAt, s.Workers[2].QuietAt = 800*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond
			addRun(s, 1, "x", needGPUs(8), 5*second, nil)
		}, []string{"w01", "w02"}},
		{"the worker that is idle first", isolatedGroup(1, workflow.IsolationWorker), func(s *Snapshot) {
			addRun(s, 0, "x", needGPUs(1), 800*time.Millisecond, nil)
			addRun(s, 1, "x", needGPUs(1), 400*time.Millisecond, nil)
			addRun(s, 2, "x", needGPUs(1), 5*second, nil)
		}, []string{"w01"}},
		{"none that is idle late", isolatedGroup(1, workflow.IsolationWorker), func(s *Snapshot) {
			for w := range s.Workers {
				addRun(s, w, "x", needGPUs(1), 5*second, nil)
			}
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot(3)
			c.build(s)
			busy := newGroup("healthy", 30, needGPUs(1))
			busy.Worth = 100 // it is placed first
			s.Groups = []Group{busy, c.suspect}
			p := Decide(s)
			if starts := startedOn(p, 1); len(starts) > 0 {
				t.Fatalf("the suspected task starts on %v, want that it waits", starts)
			}
			var clear []string
			for _, w := range s.Workers {
				if !slices.Contains(startedOn(p, 0), w.ID) {
					clear = append(clear, w.ID)
				}
			}
			if !slices.Equal(clear, c.clear) {
				t.Errorf("nothing starts on %v, want %v", clear, c.clear)
			}
		})
	}
}

// Guards against suspected tasks that keep all workers clear, so that nothing else starts.
func TestFewWorkersAreKeptClear(t *testing.T) {
	s := newSnapshot(8)
	for w := range s.Workers {
		s.Workers[w].QuietAt = second
	}
	for range 6 {
		s.Groups = append(s.Groups, isolatedGroup(1, workflow.IsolationStart))
	}
	s.Groups = append(s.Groups, newGroup("healthy", 64, needGPUs(1)))
	if started := len(startedOn(Decide(s), 6)); started != 48 {
		t.Errorf("%d healthy tasks start, want 48 on six of eight workers", started)
	}
}
