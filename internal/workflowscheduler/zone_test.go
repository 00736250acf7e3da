package workflowscheduler

import (
	"slices"
	"testing"
)

// evacuateWorkers marks workers as those of an evacuated zone.
func evacuateWorkers(s *Snapshot, workers ...int) {
	for _, i := range workers {
		s.Workers[i].Usable, s.Workers[i].Evacuated = false, true
	}
}

// TestEvacuatedZone checks what the decision does with workers of an evacuated zone. The snapshots
// have six workers in two racks.
func TestEvacuatedZone(t *testing.T) {
	for _, c := range []struct {
		name  string
		build func(*Snapshot)
		check func(*testing.T, *Plan)
	}{
		{"waiting work starts in other zones", func(s *Snapshot) {
			s.Groups = []Group{newGroup("j", 3, needGPUs(8))}
			evacuateWorkers(s, 0, 1, 2)
		}, func(t *testing.T, p *Plan) {
			if on := startedOn(p, 0); len(on) != 3 || slices.ContainsFunc(on, func(w string) bool { return w < "w03" }) {
				t.Errorf("starts on %v", on)
			}
		}},
		{"work that only the zone can run waits for it", func(s *Snapshot) {
			g := newGroup("j", 1, needGPUs(1))
			g.Label = "r0"
			s.Groups = []Group{g}
			evacuateWorkers(s, 0, 1, 2)
		}, func(t *testing.T, p *Plan) {
			if len(p.Starts) > 0 || p.Waits[0] != WaitsForZone {
				t.Errorf("starts %v, waits %v", p.Starts, p.Waits)
			}
		}},
		{"a gang that is too large without the zone waits for it", func(s *Snapshot) {
			g := newGroup("j", 5, needGPUs(8))
			g.Gang = true
			s.Groups = []Group{g}
			evacuateWorkers(s, 0, 1, 2)
		}, func(t *testing.T, p *Plan) {
			if len(p.Starts) > 0 || p.Waits[0] != WaitsForZone {
				t.Errorf("starts %v, waits %v", p.Starts, p.Waits)
			}
		}},
		{"work that fits nowhere does not wait for the zone", func(s *Snapshot) {
			g := newGroup("j", 7, needGPUs(8))
			g.Gang = true
			s.Groups = []Group{g}
			evacuateWorkers(s, 0, 1, 2)
		}, func(t *testing.T, p *Plan) {
			if p.Waits[0] != NeverFits {
				t.Errorf("waits %v", p.Waits)
			}
		}},
		{"work that waits for capacity in other zones does not wait for the zone", func(s *Snapshot) {
			for w := 3; w < 6; w++ {
				addRun(s, w, "x", needGPUs(8), 5*second, nil)
			}
			s.Groups = []Group{newGroup("j", 1, needGPUs(8))}
			evacuateWorkers(s, 0, 1, 2)
		}, func(t *testing.T, p *Plan) {
			if len(p.Starts) > 0 || p.Waits[0] != WaitsForCapacity {
				t.Errorf("starts %v, waits %v", p.Starts, p.Waits)
			}
		}},
		{"a guarantee is reclaimed elsewhere, and nothing is stopped in the zone", func(s *Snapshot) {
			for w := range 6 {
				addRun(s, w, "x", needGPUs(8), 60*second, nil)
			}
			claim := newGroup("a", 1, needGPUs(8))
			claim.Guaranteed, claim.Priority = true, 0
			s.Now = 20 * second
			s.Groups = []Group{claim}
			evacuateWorkers(s, 0, 1, 2)
		}, func(t *testing.T, p *Plan) {
			if len(p.Stops) != 1 || p.Stops[0].Run.Task.Index < 3 {
				t.Errorf("stops %v, want one in the other zone", p.Stops)
			}
		}},
		{"no capacity is reserved in the zone", func(s *Snapshot) {
			addRun(s, 0, "x", needGPUs(8), second, nil)
			for w := 1; w < 6; w++ {
				addRun(s, w, "x", needGPUs(8), 30*second, nil)
			}
			evacuateWorkers(s, 0, 1, 2)
			large, small := newGroup("large", 1, needGPUs(8)), newGroup("small", 1, needGPUs(1))
			s.Workers[5].Free = needGPUs(1)
			large.Worth = 100
			s.Groups = []Group{large, small}
		}, func(t *testing.T, p *Plan) {
			if on := startedOn(p, 1); !slices.Equal(on, []string{"w05"}) {
				t.Errorf("the small task starts on %v", on)
			}
		}},
		{"idle workers of the zone do not count as idle capacity", func(s *Snapshot) {
			// The small task may take what is kept for the large one only where most capacity is idle.
			s.Now = 5 * second
			addRun(s, 3, "x", needGPUs(8), 60*second, nil)
			addRun(s, 4, "x", needGPUs(8), 60*second, nil)
			addRun(s, 5, "x", needGPUs(4), 7*second, nil)
			s.Groups = reservedAndSmall("w05", 1)
			evacuateWorkers(s, 0, 1, 2)
		}, func(t *testing.T, p *Plan) {
			if len(p.Starts) > 0 || p.Waits[1] != WaitsForReserved {
				t.Errorf("starts %v, waits %v", p.Starts, p.Waits)
			}
		}},
		{"idle capacity is a share of that of the other zones", func(s *Snapshot) {
			s.Now = 5 * second
			addRun(s, 4, "x", needGPUs(8), 7*second, nil)
			addRun(s, 5, "x", needGPUs(2), 60*second, nil)
			s.Groups = reservedAndSmall("w03", 2)
			evacuateWorkers(s, 0, 1, 2)
		}, func(t *testing.T, p *Plan) {
			if on := startedOn(p, 1); !slices.Equal(on, []string{"w03"}) {
				t.Errorf("starts %v, waits %v", p.Starts, p.Waits)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot(6)
			c.build(s)
			c.check(t, Decide(s))
		})
	}
}

// reservedAndSmall returns a gang of n tasks of whole workers, for which capacity is reserved, and
// a small task that runs for long on one worker only and has waited since time 0.
func reservedAndSmall(worker string, n int) []Group {
	large, small := newGroup("large", n, needGPUs(8)), newGroup("small", 1, needGPUs(1))
	large.Gang, large.Worth = true, 1000
	small.Allowed, small.Expected = map[string]bool{worker: true}, 20*second
	return []Group{large, small}
}
