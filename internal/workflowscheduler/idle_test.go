package workflowscheduler

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// idleRacks returns a snapshot of three racks in which one worker of each rack is in use
// until the given time, so that two thirds of the cluster are idle and no rack is.
func idleRacks(until time.Duration) *Snapshot {
	s := newSnapshot(9)
	for _, w := range []int{0, 3, 6} {
		addRun(s, w, "x", needGPUs(8), until, nil)
	}
	return s
}

// TestGangStopsWaitingForRackOnIdleCluster guards against gangs that wait for a rack for
// ever because slow runs there always seem to end soon: on trouble-1 of wusta-recell-grown
// three gangs waited 30 s, and the day ended while most workers were idle.
func TestGangStopsWaitingForRackOnIdleCluster(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited time.Duration
		starts int
	}{
		{"waits while that costs less than running spread", 3 * second, 0},
		{"runs spread after it has waited as long as that costs", 5 * second, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := idleRacks(31 * second)
			s.Now = 30 * second
			g := newSameRackGang("a", 3, needGPUs(8))
			g.ReadyAt, g.Deadline, g.LateDeadline = s.Now-c.waited, second, 2*second
			s.Groups = []Group{g}
			if p := Decide(s); len(p.Starts) != c.starts {
				t.Errorf("%d members start, want %d; waits %v", len(p.Starts), c.starts, p.Waits)
			}
		})
	}
}

// TestReservationsYieldOnIdleCluster guards against reserved capacity that keeps other
// work waiting while most of the cluster is idle (the same day: a gang of 8 whole workers
// waited beside 25 of them). Work that takes at most half of what is free does not wait
// longer than idleWaitLimit for it.
func TestReservationsYieldOnIdleCluster(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited time.Duration
		tasks  int
		starts int
	}{
		{"a reservation is kept at first", second, 1, 0},
		{"work that leaves as much again starts", 3 * second, 1, 1},
		{"work that takes most of what is free waits", 3 * second, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := idleRacks(30500 * time.Millisecond)
			s.Now = 30 * second
			for _, w := range []int{1, 4, 7} { // nothing else of 8 GPUs fits there
				addRun(s, w, "y", workflow.Resources{CPUMilli: 2000, MemoryMB: 8000, GPUs: 1}, 100*second, nil)
			}
			wide := newGroup("a", 6, needGPUs(8)) // fits when the first runs end, in all that is left
			wide.Gang, wide.ReadyAt = true, s.Now
			wide.Deadline, wide.LateDeadline, wide.RemainingWork = s.Now+4*second, s.Now+40*second, 1
			s.Groups = []Group{wide}
			small := newGroup("b", c.tasks, needGPUs(8))
			small.Gang, small.ReadyAt = true, s.Now-c.waited
			small.Expected, small.CriticalPath = 50*second, 50*second
			s.Groups = append(s.Groups, small)
			p := Decide(s)
			if p.Waits[0] == "" {
				t.Fatalf("the wide gang starts")
			}
			if got := len(startedOn(p, 1)); got != c.starts {
				t.Errorf("%d members start, want %d; waits %v", got, c.starts, p.Waits)
			}
		})
	}
}
