package workflowscheduler

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// newSameRackGang returns a gang that wants one rack.
func newSameRackGang(job string, n int, need workflow.Resources) Group {
	g := newGroup(job, n, need)
	g.Gang, g.SameRack = true, true
	return g
}

// TestGangWaitsForRackOrSpreads checks that a gang of whole workers that wants one rack
// is spread over several only if that is worth more than waiting. Each rack has a worker
// in use. A spread gang runs three times as long and holds its workers for all of that
// time.
func TestGangWaitsForRackOrSpreads(t *testing.T) {
	for _, c := range []struct {
		name   string
		freeAt time.Duration // of the workers in use
		onTime time.Duration // of the gang, which runs 2 s in one rack and 6 s spread
		starts int
	}{
		{"a rack is free in time", 3 * second, 6500 * time.Millisecond, 0},
		{"a rack is free too late, spread is on time", 8 * second, 6500 * time.Millisecond, 3},
		{"late either way", 8 * second, 5 * second, 0},
		{"worth nothing any more, and the rack never free", never, -20 * second, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Snapshot{Workers: workers(6), RemotePenalty: 3}
			for _, w := range []int{0, 3} {
				addRun(s, w, "x", needGPUs(8), c.freeAt, func(r *Running) { r.Persistent = c.freeAt == never })
			}
			for _, w := range []int{1, 2, 4, 5} { // most cores are in use, so the workers do not count as idle
				addRun(s, w, "y", workflow.Resources{CPUMilli: 59000}, 40*second, nil)
			}
			g := newSameRackGang("a", 3, needGPUs(8))
			g.Deadline, g.LateDeadline = c.onTime, c.onTime+min(3*max(c.onTime, 0), 50*second)
			s.Groups = []Group{g}
			if p := Decide(s); len(p.Starts) != c.starts {
				t.Fatalf("starts %v, want %d; waits %v", p.Starts, c.starts, p.Waits)
			}
		})
	}
}

// TestGangTooLargeForAnyRackIsPlacedLast guards against placing a gang that fits in no
// rack before work that can be on time. Such a gang holds capacity three times as long
// and is late anyway.
func TestGangTooLargeForAnyRackIsPlacedLast(t *testing.T) {
	s := &Snapshot{Workers: workers(6), RemotePenalty: 3}
	wide := newSameRackGang("a", 5, needGPUs(8))
	wide.Deadline, wide.LateDeadline = 5*second, 20*second
	small := newGroup("b", 6, needGPUs(8))
	small.Gang = true
	s.Groups = []Group{wide, small}
	p := Decide(s)
	if len(startedOn(p, 1)) != 6 || len(startedOn(p, 0)) != 0 {
		t.Fatalf("starts %v", p.Starts)
	}
	s.Groups = []Group{wide}
	if p = Decide(s); len(startedOn(p, 0)) != 5 || p.Starts[0].Expected != 6*second {
		t.Fatalf("without other work: starts %v", p.Starts)
	}
}

// Tasks with many cores and few GPUs run beside tasks with few cores and many GPUs. Two
// of the former on one worker would leave GPUs that no task can use.
func TestPackingAvoidsStrandedGPUs(t *testing.T) {
	cores := func(n, gpus int) workflow.Resources {
		return workflow.Resources{CPUMilli: n * 1000, MemoryMB: 30000, GPUs: gpus}
	}
	type use struct {
		worker int
		need   workflow.Resources
	}
	for _, c := range []struct {
		name string
		used []use
		task workflow.Resources
		want string
	}{
		{"the last cores are not used while GPUs are left", []use{{0, cores(34, 3)}, {1, cores(2, 2)}, {2, cores(8, 8)}}, cores(26, 1), "w01"},
		{"many cores go beside many GPUs", []use{{0, cores(26, 1)}, {1, cores(26, 4)}}, cores(26, 1), "w01"},
		{"many GPUs go where cores are used up", []use{{0, cores(26, 1)}, {0, cores(26, 1)}, {1, cores(8, 2)}}, cores(8, 4), "w00"},
		{"whole workers stay free", []use{{2, cores(26, 2)}}, cores(26, 1), "w02"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Snapshot{Workers: workers(3), RemotePenalty: 3}
			for _, u := range c.used {
				addRun(s, u.worker, "x", u.need, 9*second, nil)
			}
			s.Groups = []Group{newGroup("a", 1, c.task)}
			if got := startedOn(Decide(s), 0); len(got) != 1 || got[0] != c.want {
				t.Errorf("placed on %v, want %s", got, c.want)
			}
		})
	}
}

// TestLateGangSpreadsOverIdleWorkers guards against a late gang that waits for a rack
// while most workers are idle. Users check at the end of the day that each accepted job
// has completed.
func TestLateGangSpreadsOverIdleWorkers(t *testing.T) {
	s := &Snapshot{Workers: workers(9), RemotePenalty: 3}
	for _, w := range []int{0, 3, 6} {
		addRun(s, w, "x", needGPUs(8), 30*second, nil)
	}
	g := newSameRackGang("a", 3, needGPUs(8))
	g.Deadline, g.LateDeadline = second, 60*second
	s.Groups = []Group{g}
	if p := Decide(s); len(p.Starts) != 3 {
		t.Fatalf("starts %v, waits %v", p.Starts, p.Waits)
	}
}

// TestGangUsesAvoidedWorkersWhenNeeded guards against a gang that waits forever because
// its members failed on workers without which it does not fit, although all of them are
// healthy and idle (found by simulation, seed 3011).
func TestGangUsesAvoidedWorkersWhenNeeded(t *testing.T) {
	s := newSnapshot(6)
	g := newGroup("j", 4, needGPUs(8))
	g.Gang, g.Avoid = true, map[string]bool{"w00": true, "w03": true, "w05": true}
	s.Groups = []Group{g}
	if p := Decide(s); len(p.Starts) != 4 {
		t.Errorf("%d members start, waits %v; want all 4", len(p.Starts), p.Waits)
	}
	s.Groups[0].Tasks = s.Groups[0].Tasks[:3]
	for _, st := range Decide(s).Starts {
		if g.Avoid[st.Worker] {
			t.Errorf("a member starts on %s, where the gang failed, although other workers are free", st.Worker)
		}
	}
}

// TestGangUsesProbedWorkersLast guards against large gangs that use a worker which has
// just failed several jobs although healthy workers are free: the failure of one member
// ends the whole gang. In this load 16 to 24 of 240 workers failed everything that they
// started (wusta-recell-large, scale-2).
func TestGangUsesProbedWorkersLast(t *testing.T) {
	s := newSnapshot(6)
	for _, w := range []int{0, 1, 3} {
		s.Workers[w].Probe = true
	}
	g := newGroup("j", 3, needGPUs(8))
	g.Gang = true
	s.Groups = []Group{g}
	for _, st := range Decide(s).Starts {
		if st.Worker == "w00" || st.Worker == "w01" || st.Worker == "w03" {
			t.Errorf("a member starts on %s, which is probed, while healthy workers are free", st.Worker)
		}
	}
	s.Groups[0].Tasks = []int{0, 1, 2, 3}
	if p := Decide(s); len(p.Starts) != 4 {
		t.Errorf("%d members start, want all 4: the gang needs a probed worker", len(p.Starts))
	}
}
