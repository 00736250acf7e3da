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

// second shortens the times of the test cases.
const second = time.Second

var wholeWorker = workflow.Resources{CPUMilli: 64000, MemoryMB: 262144, GPUs: 8}

// workers returns n idle workers, three per rack.
func workers(n int) []Worker {
	var out []Worker
	for i := range n {
		rack := fmt.Sprintf("r%d", i/3)
		out = append(out, Worker{ID: fmt.Sprintf("w%02d", i), Rack: rack, Labels: []string{"a", rack}, Capacity: wholeWorker, Free: wholeWorker, Usable: true})
	}
	return out
}

// needGPUs returns the resources of a task with n GPUs.
func needGPUs(n int) workflow.Resources {
	return workflow.Resources{CPUMilli: 5000, MemoryMB: 20000, GPUs: n}
}

// newGroup returns a group of n tasks of one job that is on time with 10 s of slack: its
// critical path is 2 s and its deadline 12 s. The late deadline is three times as late,
// and the late worth a quarter of the worth. The work of a task is 16 core-seconds for
// each GPU: 2 s of a GPU, which counts as 8 cores.
func newGroup(job string, n int, need workflow.Resources) Group {
	g := Group{
		Job: job, Need: need, Expected: 2 * second, CriticalPath: 2 * second, RemainingWork: float64(n * need.GPUs * 16), Priority: 1,
		Value: Value{Deadline: 12 * second, LateDeadline: 36 * second, Worth: 3, LateWorth: 0.75},
	}
	for i := range n {
		g.Tasks = append(g.Tasks, i)
	}
	return g
}

// addRun adds a run to a worker of the snapshot.
func addRun(s *Snapshot, worker int, job string, need workflow.Resources, ends time.Duration, edit func(*Running)) {
	w := &s.Workers[worker]
	w.Free = w.Free.Add(need, -1)
	r := Running{
		ID:     workflow.RunID{Task: workflow.TaskID{Job: job, Index: len(s.Running)}, Attempt: 1},
		Worker: w.ID, Need: need, EndsAt: ends, Priority: 2, RerunTime: 5 * second, JobWork: 100, LostWork: 10,
		Value: Value{Deadline: 60 * second, LateDeadline: 180 * second, Worth: 1, LateWorth: 0.25},
	}
	if edit != nil {
		edit(&r)
	}
	s.Running = append(s.Running, r)
}

// setBlockedClaim sets the groups of the snapshot to a single claim: a guaranteed group of
// one task that needs a whole worker. Other runs occupy the first four workers, which must
// exist and be idle, until the given time. edit may change the run on worker w.
func setBlockedClaim(s *Snapshot, until time.Duration, edit func(w int, r *Running)) {
	for w := range 4 {
		addRun(s, w, "x", needGPUs(8), until, func(r *Running) {
			if edit != nil {
				edit(w, r)
			}
		})
	}
	claim := newGroup("a", 1, needGPUs(8))
	claim.Guaranteed, claim.Priority = true, 0 // the highest priority
	s.Groups = []Group{claim}
}

// startedOn returns the workers on which tasks of group g start.
func startedOn(p *Plan, g int) []string {
	var out []string
	for _, s := range p.Starts {
		if s.Group == g {
			out = append(out, s.Worker)
		}
	}
	return out
}

// newSnapshot returns a snapshot with n idle workers.
func newSnapshot(n int) *Snapshot {
	return &Snapshot{Workers: workers(n), RemotePenalty: 3, StopGrace: 200 * time.Millisecond, ReclaimLimit: 2700 * time.Millisecond}
}

// TestDecide checks one rule of the decision in each case; the case names the rule.
func TestDecide(t *testing.T) {
	cases := []struct {
		name  string
		build func(*Snapshot)
		check func(*testing.T, *Snapshot, *Plan)
	}{
		{"a gang starts whole or not at all", func(s *Snapshot) {
			g := newGroup("j", 3, needGPUs(8))
			g.Gang = true
			s.Groups = []Group{g}
			addRun(s, 0, "x", needGPUs(1), 5*second, nil)
			addRun(s, 1, "x", needGPUs(1), 5*second, nil)
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 0 || p.Waits[0] != WaitsForCapacity {
				t.Errorf("plan %+v, want no start and the wait reason WaitsForCapacity", p)
			}
		}},
		{"small tasks fill workers that are in use", func(s *Snapshot) {
			addRun(s, 2, "x", needGPUs(4), 5*second, nil)
			s.Groups = []Group{newGroup("j", 4, needGPUs(1))}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := startedOn(p, 0); !slices.Equal(got, []string{"w02", "w02", "w02", "w02"}) {
				t.Errorf("placed on %v, want all on the partly used worker", got)
			}
		}},
		{"urgent work goes before work with time to spare", func(s *Snapshot) {
			relaxed, urgent := newGroup("a", 4, needGPUs(8)), newGroup("b", 4, needGPUs(8))
			relaxed.Deadline, urgent.Deadline = 60*second, 3*second
			s.Groups = []Group{relaxed, urgent}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(startedOn(p, 1)) != 4 {
				t.Errorf("urgent job placed on %v, want 4 starts", startedOn(p, 1))
			}
		}},
		{"late work that still has a value goes before work with time to spare", func(s *Snapshot) {
			relaxed, late := newGroup("a", 4, needGPUs(8)), newGroup("b", 4, needGPUs(8))
			relaxed.Deadline, relaxed.LateDeadline = 600*second, 1800*second
			late.Deadline, late.LateDeadline = 1*second, 3*second
			s.Groups = []Group{relaxed, late}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(startedOn(p, 1)) != 4 {
				t.Errorf("late job placed on %v, want 4 starts", startedOn(p, 1))
			}
		}},
		{"work without a value any more comes last", func(s *Snapshot) {
			expired, valid := newGroup("a", 4, needGPUs(8)), newGroup("b", 4, needGPUs(8))
			expired.Deadline, expired.LateDeadline = -9*second, -second
			s.Groups = []Group{expired, valid}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(startedOn(p, 1)) != 4 {
				t.Errorf("job that still has a value placed on %v, want 4 starts", startedOn(p, 1))
			}
		}},
		{"a single large task gets room kept against small ones (burst of batch beside whole-worker tasks)", func(s *Snapshot) {
			for w := range 4 {
				for range 7 {
					addRun(s, w, "x", needGPUs(1), 4*second, nil)
				}
				addRun(s, w, "x", needGPUs(1), second, nil)
			}
			large, small := newGroup("a", 1, needGPUs(8)), newGroup("b", 8, needGPUs(1))
			large.Deadline, small.Expected, small.CriticalPath = 7*second, 20*second, 20*second
			small.Worth = 0.01
			s.Groups = []Group{large, small}
			for w := range 4 { // one GPU of each has just become free
				s.Workers[w].Free = s.Workers[w].Free.Add(needGPUs(1), 1)
				s.Running = slices.DeleteFunc(s.Running, func(r Running) bool { return r.Worker == s.Workers[w].ID && r.EndsAt == second })
			}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := startedOn(p, 1); len(got) != 3 {
				t.Errorf("%d small tasks start, want 3, on the workers that are not reserved", len(got))
			}
		}},
		{"work that ends before the kept room is needed may use it", func(s *Snapshot) {
			for w := range 4 {
				addRun(s, w, "x", needGPUs(7), 30*second, nil)
			}
			large, small := newGroup("a", 1, needGPUs(8)), newGroup("b", 4, needGPUs(1))
			large.Deadline, small.Worth = 40*second, 0.01
			s.Groups = []Group{large, small}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := startedOn(p, 1); len(got) != 4 {
				t.Errorf("%d short tasks start, want 4", len(got))
			}
		}},
		{"a guaranteed claim stops other work when no room becomes free in time", func(s *Snapshot) {
			setBlockedClaim(s, 20*second, nil)
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 1 || p.Waits[0] != WaitsForStops {
				t.Errorf("plan %+v, want one stop", p)
			}
		}},
		{"a guaranteed claim waits for room that becomes free at once", func(s *Snapshot) {
			setBlockedClaim(s, 300*time.Millisecond, nil)
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 0 {
				t.Errorf("stops %v, want none", p.Stops)
			}
		}},
		{"stops that are under way are not repeated on other runs", func(s *Snapshot) {
			setBlockedClaim(s, 20*second, func(w int, r *Running) { r.Stopping = w == 0 })
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 0 || p.Waits[0] != WaitsForStops {
				t.Errorf("plan %+v, want no further stop", p)
			}
		}},
		{"the run that loses least is stopped", func(s *Snapshot) {
			setBlockedClaim(s, 20*second, func(w int, r *Running) { r.LostWork = float64(90 - 20*w) })
		}, func(t *testing.T, s *Snapshot, p *Plan) {
			if len(p.Stops) != 1 || p.Stops[0].Run != s.Running[3].ID {
				t.Errorf("stops %v, want only the run that loses the least work", p.Stops)
			}
		}},
		{"guaranteed runs are not stopped for another claim", func(s *Snapshot) {
			setBlockedClaim(s, 20*second, func(w int, r *Running) { r.Guaranteed = true })
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 0 {
				t.Errorf("stops %v, want none", p.Stops)
			}
		}},
		{"urgent work does not stop work that is worth more", func(s *Snapshot) {
			for w := range 4 {
				addRun(s, w, "x", needGPUs(8), 20*second, func(r *Running) {
					r.Deadline, r.LateDeadline, r.Worth, r.LateWorth, r.RerunTime = 21*second, 22*second, 9, 2, 20*second
				})
			}
			urgent := newGroup("a", 1, needGPUs(8))
			urgent.Priority, urgent.Deadline = 0, 4*second
			s.Groups = []Group{urgent}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Stops) != 0 {
				t.Errorf("stops %v, want none", p.Stops)
			}
		}},
		{"a gang that wants one rack gets one", func(s *Snapshot) {
			addRun(s, 0, "x", needGPUs(8), 20*second, nil)
			g := newGroup("a", 3, needGPUs(8))
			g.Gang, g.SameRack = true, true
			s.Groups = []Group{g}
			s.Workers = append(s.Workers, workers(6)[4:]...)
		}, func(t *testing.T, s *Snapshot, p *Plan) {
			racks := map[string]bool{}
			for _, id := range startedOn(p, 0) {
				for _, w := range s.Workers {
					if w.ID == id {
						racks[w.Rack] = true
					}
				}
			}
			if len(racks) != 1 {
				t.Errorf("placed on %v in %d racks, want 1", startedOn(p, 0), len(racks))
			}
		}},
		{"a task waits for its data rather than running late elsewhere", func(s *Snapshot) {
			for w := range 3 {
				addRun(s, w, "x", needGPUs(8), second, nil)
			}
			g := newGroup("a", 1, needGPUs(8))
			g.DataRack, g.Deadline = "r0", 4*second
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 0 {
				t.Errorf("starts %v, want none away from the data", p.Starts)
			}
		}},
		{"a limit of tasks on a worker holds", func(s *Snapshot) {
			g := newGroup("a", 9, needGPUs(1))
			g.MaxPerWorker, g.TasksOnWorker = 2, map[string]int{"w00": 1}
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			count := map[string]int{"w00": 1}
			for _, id := range startedOn(p, 0) {
				if count[id]++; count[id] > 2 {
					t.Errorf("placed on %v, want at most 2 on a worker", startedOn(p, 0))
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
			g := newGroup("a", 2, needGPUs(8))
			g.Pool = "mine"
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := startedOn(p, 0); !slices.Equal(got, []string{"w01"}) {
				t.Errorf("placed on %v, want the worker of the pool, w01", got)
			}
		}},
		{"a required label holds", func(s *Snapshot) {
			s.Workers[3].Labels = []string{"b"}
			g := newGroup("a", 2, needGPUs(8))
			g.Label = "b"
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := startedOn(p, 0); !slices.Equal(got, []string{"w03"}) {
				t.Errorf("placed on %v, want the worker with the label, w03", got)
			}
		}},
		{"workers that may not be used receive nothing", func(s *Snapshot) {
			for i := range s.Workers {
				s.Workers[i].Usable = i == 2
			}
			s.Groups = []Group{newGroup("a", 4, needGPUs(8))}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := startedOn(p, 0); !slices.Equal(got, []string{"w02"}) {
				t.Errorf("placed on %v, want the usable worker, w02", got)
			}
		}},
		{"a task does not return to the worker where it failed (a worker fails all that it starts)", func(s *Snapshot) {
			for w := range 3 {
				addRun(s, w, "x", needGPUs(8), second, nil)
			}
			g := newGroup("a", 1, needGPUs(8))
			g.Avoid = map[string]bool{"w03": true}
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 0 {
				t.Errorf("starts %v, want none on the worker where the task failed", p.Starts)
			}
		}},
		{"a task returns to a worker where it failed if there is no other", func(s *Snapshot) {
			g := newGroup("a", 1, needGPUs(8))
			g.Avoid = map[string]bool{"w00": true, "w01": true, "w02": true, "w03": true}
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 1 {
				t.Errorf("starts %v, want one", p.Starts)
			}
		}},
		{"a task returns to a worker where it failed if the others are full for good", func(s *Snapshot) {
			for w := range 3 {
				addRun(s, w, "x", needGPUs(8), second, func(r *Running) { r.Persistent = true })
			}
			g := newGroup("a", 1, needGPUs(8))
			g.Avoid, g.WaitedFor = map[string]bool{"w03": true}, avoidLimit
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if got := startedOn(p, 0); !slices.Equal(got, []string{"w03"}) {
				t.Errorf("placed on %v, want the worker where it failed, w03", got)
			}
		}},
		{"a gang larger than all workers never fits", func(s *Snapshot) {
			g := newGroup("a", 9, needGPUs(8))
			g.Gang = true
			s.Groups = []Group{g}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if p.Waits[0] != NeverFits {
				t.Errorf("wait reason %q, want NeverFits", p.Waits[0])
			}
		}},
		{"a probed worker gets one task", func(s *Snapshot) {
			for i := range s.Workers {
				s.Workers[i].Probe = true
			}
			s.Groups = []Group{newGroup("a", 9, needGPUs(1))}
		}, func(t *testing.T, _ *Snapshot, p *Plan) {
			if len(p.Starts) != 4 {
				t.Errorf("%d starts on four probed workers, want 4", len(p.Starts))
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot(4)
			c.build(s)
			c.check(t, s, Decide(s))
		})
	}
}

// TestPlanInvariants checks that plans for random snapshots do not overcommit a worker,
// split a gang or start a task twice, and that equal snapshots lead to equal plans.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := randomSnapshot(rand.New(rand.NewPCG(seed, 7)))
		p := Decide(s)
		free := map[string]workflow.Resources{}
		for _, w := range s.Workers {
			free[w.ID] = w.Free
		}
		started := map[int]map[int]bool{}
		for _, st := range p.Starts {
			g := &s.Groups[st.Group]
			if started[st.Group] == nil {
				started[st.Group] = map[int]bool{}
			}
			if started[st.Group][st.Task] || !slices.Contains(g.Tasks, st.Task) {
				t.Fatalf("task %d of group %d is started twice, or was not waiting", st.Task, st.Group)
			}
			started[st.Group][st.Task] = true
			if !free[st.Worker].Fits(g.Need) {
				t.Fatalf("worker %s has %+v free, but a task that needs %+v starts there", st.Worker, free[st.Worker], g.Need)
			}
			free[st.Worker] = free[st.Worker].Add(g.Need, -1)
		}
		for g, tasks := range started {
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

// randomSnapshot returns a snapshot with up to 12 workers, 30 runs and 20 groups.
func randomSnapshot(rng *rand.Rand) *Snapshot {
	s := newSnapshot(1 + rng.IntN(12))
	for i := range rng.IntN(30) {
		w, need := rng.IntN(len(s.Workers)), needGPUs(1<<rng.IntN(4))
		if s.Workers[w].Free.Fits(need) {
			addRun(s, w, fmt.Sprintf("r%d", i), need, time.Duration(rng.IntN(10))*second, func(r *Running) {
				r.Stopping, r.Guaranteed, r.Gang = rng.IntN(6) == 0, rng.IntN(4) == 0, rng.IntN(4) == 0
			})
		}
	}
	for i := range rng.IntN(20) {
		g := newGroup(fmt.Sprintf("g%02d", i), 1+rng.IntN(8), needGPUs(1<<rng.IntN(4)))
		g.Gang, g.SameRack, g.Guaranteed = rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(5) == 0
		g.Priority = rng.IntN(3)
		g.Deadline = time.Duration(rng.IntN(20)) * second
		if rng.IntN(4) == 0 {
			g.DataRack = "r0"
		}
		s.Groups = append(s.Groups, g)
	}
	return s
}

// BenchmarkDecide measures a decision with 73 workers, 60 waiting groups and up to 500
// runs.
func BenchmarkDecide(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := newSnapshot(73)
	for i := range 500 {
		if w := rng.IntN(len(s.Workers)); s.Workers[w].Free.Fits(needGPUs(1)) {
			addRun(s, w, fmt.Sprintf("r%d", i), needGPUs(1), time.Duration(rng.IntN(10000))*time.Millisecond, nil)
		}
	}
	for i := range 60 {
		g := newGroup(fmt.Sprintf("g%02d", i), 1+rng.IntN(8), needGPUs(1<<rng.IntN(4)))
		g.Gang = rng.IntN(3) == 0
		s.Groups = append(s.Groups, g)
	}
	for b.Loop() {
		Decide(s)
	}
}
