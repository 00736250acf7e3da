package workflowscheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

const second = time.Second

var wholeWorker = workflow.Resources{CPUMilli: 64000, MemoryMB: 262144, GPUs: 8}

// workers returns n idle workers, three to a rack.
func workers(n int) []Worker {
	var out []Worker
	for i := range n {
		rack := fmt.Sprintf("r%d", i/3)
		out = append(out, Worker{ID: fmt.Sprintf("w%02d", i), Rack: rack, Labels: []string{"a", rack}, Capacity: wholeWorker, Free: wholeWorker, Usable: true})
	}
	return out
}

func gpus(n int) workflow.Resources {
	return workflow.Resources{CPUMilli: 5000, MemoryMB: 20000, GPUs: n}
}

// group returns a group of n tasks of one job with 10 s of slack.
func group(job string, n int, need workflow.Resources) Group {
	g := Group{
		Job: job, Need: need, Expected: 2 * second, Chain: 2 * second, Area: float64(n * need.GPUs * 16), Priority: 1,
		Value: Value{OnTime: 12 * second, Late: 36 * second, Worth: 3, LateWorth: 0.75},
	}
	for i := range n {
		g.Tasks = append(g.Tasks, i)
	}
	return g
}

// occupy places a run on a worker of the snapshot.
func occupy(s *Snapshot, worker int, job string, need workflow.Resources, ends time.Duration, edit func(*Running)) {
	w := &s.Workers[worker]
	w.Free = w.Free.Add(need, -1)
	r := Running{
		ID:     workflow.RunID{Task: workflow.TaskID{Job: job, Index: len(s.Running)}, Attempt: 1},
		Worker: w.ID, Need: need, EndsAt: ends, Priority: 2, Redo: 5 * second, Area: 100, Lost: 10,
		Value: Value{OnTime: 60 * second, Late: 180 * second, Worth: 1, LateWorth: 0.25},
	}
	if edit != nil {
		edit(&r)
	}
	s.Running = append(s.Running, r)
}

// claimAgainst lets a claim on a guarantee wait for one of four workers that
// runs of others fill until a time. edit may change the run on worker w.
func claimAgainst(s *Snapshot, until time.Duration, edit func(w int, r *Running)) {
	for w := range 4 {
		occupy(s, w, "x", gpus(8), until, func(r *Running) {
			if edit != nil {
				edit(w, r)
			}
		})
	}
	claim := group("a", 1, gpus(8))
	claim.Guaranteed, claim.Priority = true, 0
	s.Groups = []Group{claim}
}

func placed(p *Plan, g int) []string {
	var out []string
	for _, s := range p.Starts {
		if s.Group == g {
			out = append(out, s.Worker)
		}
	}
	return out
}

func snapshot(n int) *Snapshot {
	return &Snapshot{Workers: workers(n), RemotePenalty: 3, StopGrace: 200 * time.Millisecond, ReclaimIn: 2700 * time.Millisecond}
}

// Each case guards one behaviour of the decision; the name says which.
func TestDecide(t *testing.T) {
	cases := []struct {
		name  string
		build func(*Snapshot)
		check func(*testing.T, *Snapshot, *Plan)
	}{
		{"a gang starts whole or not at all", func(s *Snapshot) {
			g := group("j", 3, gpus(8))
			g.Gang = true
			s.Groups = []Group{g}
			occupy(s, 0, "x", gpus(1), 5*second, nil)
			occupy(s, 1, "x", gpus(1), 5*second, nil)
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 0 || p.Waits[0] != WaitsForRoom {
				t.Errorf("plan %+v, want no start", p)
			}
		}},
		{"small tasks fill workers that are in use", func(s *Snapshot) {
			occupy(s, 2, "x", gpus(4), 5*second, nil)
			s.Groups = []Group{group("j", 4, gpus(1))}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := placed(p, 0); !slices.Equal(got, []string{"w02", "w02", "w02", "w02"}) {
				t.Errorf("placed on %v, want all on the worker in use", got)
			}
		}},
		{"urgent work goes before work with time to spare", func(s *Snapshot) {
			relaxed, urgent := group("a", 4, gpus(8)), group("b", 4, gpus(8))
			relaxed.OnTime, urgent.OnTime = 60*second, 3*second
			s.Groups = []Group{relaxed, urgent}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(placed(p, 1)) != 4 {
				t.Errorf("placed %v of the urgent job", placed(p, 1))
			}
		}},
		{"late work that still has a value goes before work with time to spare", func(s *Snapshot) {
			relaxed, late := group("a", 4, gpus(8)), group("b", 4, gpus(8))
			relaxed.OnTime, relaxed.Late = 600*second, 1800*second
			late.OnTime, late.Late = 1*second, 3*second
			s.Groups = []Group{relaxed, late}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(placed(p, 1)) != 4 {
				t.Errorf("placed %v of the late job", placed(p, 1))
			}
		}},
		{"work without a value any more comes last", func(s *Snapshot) {
			old, fresh := group("a", 4, gpus(8)), group("b", 4, gpus(8))
			old.OnTime, old.Late = -9*second, -second
			s.Groups = []Group{old, fresh}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(placed(p, 1)) != 4 {
				t.Errorf("placed %v of the fresh job", placed(p, 1))
			}
		}},
		{"a single large task gets room kept against small ones (burst of batch beside whole-worker tasks)", func(s *Snapshot) {
			for w := range 4 {
				for range 7 {
					occupy(s, w, "x", gpus(1), 4*second, nil)
				}
				occupy(s, w, "x", gpus(1), second, nil)
			}
			large, small := group("a", 1, gpus(8)), group("b", 8, gpus(1))
			large.OnTime, small.Expected, small.Chain = 7*second, 20*second, 20*second
			small.Worth = 0.01
			s.Groups = []Group{large, small}
			for w := range 4 { // one GPU of each has just become free
				s.Workers[w].Free = s.Workers[w].Free.Add(gpus(1), 1)
				s.Running = slices.DeleteFunc(s.Running, func(r Running) bool { return r.Worker == s.Workers[w].ID && r.EndsAt == second })
			}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := placed(p, 1); len(got) != 3 {
				t.Errorf("%d small tasks start, want those on the three workers that are not kept", len(got))
			}
		}},
		{"work that ends before the kept room is needed may use it", func(s *Snapshot) {
			for w := range 4 {
				occupy(s, w, "x", gpus(7), 30*second, nil)
			}
			large, small := group("a", 1, gpus(8)), group("b", 4, gpus(1))
			large.OnTime, small.Worth = 40*second, 0.01
			s.Groups = []Group{large, small}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := placed(p, 1); len(got) != 4 {
				t.Errorf("%d of 4 short tasks start", len(got))
			}
		}},
		{"a guaranteed claim stops other work when no room becomes free in time", func(s *Snapshot) {
			claimAgainst(s, 20*second, nil)
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 1 || p.Waits[0] != WaitsForStops {
				t.Errorf("plan %+v, want one stop", p)
			}
		}},
		{"a guaranteed claim waits for room that becomes free at once", func(s *Snapshot) {
			claimAgainst(s, 300*time.Millisecond, nil)
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 0 {
				t.Errorf("stops %v, want none", p.Stops)
			}
		}},
		{"stops that are under way are not repeated on other runs", func(s *Snapshot) {
			claimAgainst(s, 20*second, func(w int, r *Running) { r.Stopping = w == 0 })
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 0 || p.Waits[0] != WaitsForStops {
				t.Errorf("plan %+v, want no further stop", p)
			}
		}},
		{"the run that loses least is stopped", func(s *Snapshot) {
			claimAgainst(s, 20*second, func(w int, r *Running) { r.Lost = float64(90 - 20*w) })
		}, func(t *testing.T, s *Snapshot, p *Plan) {
			if len(p.Stops) != 1 || p.Stops[0].Run != s.Running[3].ID {
				t.Errorf("stops %v, want that of the run which has lost least", p.Stops)
			}
		}},
		{"guaranteed runs are not stopped for another claim", func(s *Snapshot) {
			claimAgainst(s, 20*second, func(w int, r *Running) { r.Guaranteed = true })
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 0 {
				t.Errorf("stops %v, want none", p.Stops)
			}
		}},
		{"urgent work does not stop work that is worth more", func(s *Snapshot) {
			for w := range 4 {
				occupy(s, w, "x", gpus(8), 20*second, func(r *Running) {
					r.OnTime, r.Late, r.Worth, r.LateWorth, r.Redo = 21*second, 22*second, 9, 2, 20*second
				})
			}
			urgent := group("a", 1, gpus(8))
			urgent.Priority, urgent.OnTime = 0, 4*second
			s.Groups = []Group{urgent}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 0 {
				t.Errorf("stops %v, want none", p.Stops)
			}
		}},
		{"a gang that wants one rack gets one", func(s *Snapshot) {
			occupy(s, 0, "x", gpus(8), 20*second, nil)
			g := group("a", 3, gpus(8))
			g.Gang, g.SameRack = true, true
			s.Groups = []Group{g}
			s.Workers = append(s.Workers, workers(6)[4:]...)
		}, func(t *testing.T, s *Snapshot, p *Plan) {
			racks := map[string]bool{}
			for _, id := range placed(p, 0) {
				for _, w := range s.Workers {
					if w.ID == id {
						racks[w.Rack] = true
					}
				}
			}
			if len(racks) != 1 {
				t.Errorf("placed on %v in %d racks", placed(p, 0), len(racks))
			}
		}},
		{"a task waits for its data rather than running late elsewhere", func(s *Snapshot) {
			for w := range 3 {
				occupy(s, w, "x", gpus(8), second, nil)
			}
			g := group("a", 1, gpus(8))
			g.DataRack, g.OnTime = "r0", 4*second
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 0 {
				t.Errorf("starts %v away from the data", p.Starts)
			}
		}},
		{"a limit of tasks on a worker holds", func(s *Snapshot) {
			g := group("a", 9, gpus(1))
			g.MaxPerWorker, g.Present = 2, map[string]int{"w00": 1}
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			count := map[string]int{"w00": 1}
			for _, id := range placed(p, 0) {
				if count[id]++; count[id] > 2 {
					t.Errorf("placed on %v", placed(p, 0))
				}
			}
			if len(p.Starts) != 7 {
				t.Errorf("%d starts, want 7", len(p.Starts))
			}
		}},
		{"work runs only on the workers of its pool", func(s *Snapshot) {
			for i := range s.Workers {
				s.Workers[i].Pool = "other"
			}
			s.Workers[1].Pool = "mine"
			g := group("a", 2, gpus(8))
			g.Pool = "mine"
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := placed(p, 0); !slices.Equal(got, []string{"w01"}) {
				t.Errorf("placed on %v", got)
			}
		}},
		{"a required label holds", func(s *Snapshot) {
			s.Workers[3].Labels = []string{"b"}
			g := group("a", 2, gpus(8))
			g.Label = "b"
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := placed(p, 0); !slices.Equal(got, []string{"w03"}) {
				t.Errorf("placed on %v", got)
			}
		}},
		{"workers that may not be used receive nothing", func(s *Snapshot) {
			for i := range s.Workers {
				s.Workers[i].Usable = i == 2
			}
			s.Groups = []Group{group("a", 4, gpus(8))}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := placed(p, 0); !slices.Equal(got, []string{"w02"}) {
				t.Errorf("placed on %v", got)
			}
		}},
		{"a task does not return to the worker where it failed (a worker fails all that it starts)", func(s *Snapshot) {
			for w := range 3 {
				occupy(s, w, "x", gpus(8), second, nil)
			}
			g := group("a", 1, gpus(8))
			g.Avoid = map[string]bool{"w03": true}
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 0 {
				t.Errorf("starts %v", p.Starts)
			}
		}},
		{"a task returns to a worker where it failed if there is no other", func(s *Snapshot) {
			g := group("a", 1, gpus(8))
			g.Avoid = map[string]bool{"w00": true, "w01": true, "w02": true, "w03": true}
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 1 {
				t.Errorf("starts %v, want one", p.Starts)
			}
		}},
		{"a gang larger than all workers never fits", func(s *Snapshot) {
			g := group("a", 9, gpus(8))
			g.Gang = true
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if p.Waits[0] != NeverFits {
				t.Errorf("waits for %q", p.Waits[0])
			}
		}},
		{"a probed worker gets one task", func(s *Snapshot) {
			for i := range s.Workers {
				s.Workers[i].Probe = true
			}
			s.Groups = []Group{group("a", 9, gpus(1))}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 4 {
				t.Errorf("%d starts on four probed workers", len(p.Starts))
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := snapshot(4)
			c.build(s)
			c.check(t, s, Decide(s))
		})
	}
}

// Guards against plans that overfill a worker, split a gang, start a task twice,
// or differ for equal snapshots.
func TestPlansAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := randomSnapshot(rand.New(rand.NewPCG(seed, 7)))
		p := Decide(s)
		free := map[string]workflow.Resources{}
		for _, w := range s.Workers {
			free[w.ID] = w.Free
		}
		count := map[int]map[int]bool{}
		for _, st := range p.Starts {
			g := &s.Groups[st.Group]
			if count[st.Group] == nil {
				count[st.Group] = map[int]bool{}
			}
			if count[st.Group][st.Task] || !slices.Contains(g.Tasks, st.Task) {
				t.Fatalf("task %d of group %d is started twice or does not wait", st.Task, st.Group)
			}
			count[st.Group][st.Task] = true
			if !free[st.Worker].Fits(g.Need) {
				t.Fatalf("worker %s has %+v left for %+v", st.Worker, free[st.Worker], g.Need)
			}
			free[st.Worker] = free[st.Worker].Add(g.Need, -1)
		}
		for g, tasks := range count {
			if s.Groups[g].Gang && len(tasks) != len(s.Groups[g].Tasks) {
				t.Fatalf("%d of the %d members of a gang start", len(tasks), len(s.Groups[g].Tasks))
			}
		}
		stopped := map[workflow.RunID]bool{}
		for _, st := range p.Stops {
			if stopped[st.Run] {
				t.Fatalf("run %s is stopped twice", st.Run)
			}
			stopped[st.Run] = true
		}
		again := Decide(randomSnapshot(rand.New(rand.NewPCG(seed, 7))))
		if !slices.Equal(p.Starts, again.Starts) || !slices.Equal(p.Stops, again.Stops) {
			t.Fatal("equal snapshots lead to different plans")
		}
	})
}

func randomSnapshot(rng *rand.Rand) *Snapshot {
	s := snapshot(1 + rng.IntN(12))
	for i := range rng.IntN(30) {
		w, need := rng.IntN(len(s.Workers)), gpus(1<<rng.IntN(4))
		if s.Workers[w].Free.Fits(need) {
			occupy(s, w, fmt.Sprintf("r%d", i), need, time.Duration(rng.IntN(10))*second, func(r *Running) {
				r.Stopping, r.Guaranteed, r.Gang = rng.IntN(6) == 0, rng.IntN(4) == 0, rng.IntN(4) == 0
			})
		}
	}
	for i := range rng.IntN(20) {
		g := group(fmt.Sprintf("g%02d", i), 1+rng.IntN(8), gpus(1<<rng.IntN(4)))
		g.Gang, g.SameRack, g.Guaranteed = rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(5) == 0
		g.Priority = rng.IntN(3)
		g.OnTime = time.Duration(rng.IntN(20)) * second
		if rng.IntN(4) == 0 {
			g.DataRack = "r0"
		}
		s.Groups = append(s.Groups, g)
	}
	return s
}

// BenchmarkDecide measures a decision at the grown size: 73 workers, 60 waiting
// groups and 500 runs.
func BenchmarkDecide(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := snapshot(73)
	for i := range 500 {
		if w := rng.IntN(len(s.Workers)); s.Workers[w].Free.Fits(gpus(1)) {
			occupy(s, w, fmt.Sprintf("r%d", i), gpus(1), time.Duration(rng.IntN(10000))*time.Millisecond, nil)
		}
	}
	for i := range 60 {
		g := group(fmt.Sprintf("g%02d", i), 1+rng.IntN(8), gpus(1<<rng.IntN(4)))
		g.Gang = rng.IntN(3) == 0
		s.Groups = append(s.Groups, g)
	}
	for b.Loop() {
		Decide(s)
	}
}
