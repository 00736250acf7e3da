package scheduler

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleypier/parsleypier/internal/scheduler/check"
	"github.com/parsleypier/parsleypier/internal/scheduler/guarantee"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// machine is a domain under arrivals, completions, worker losses, reclaims and
// changes of the manifest.
type machine struct {
	s       *structs.Snapshot
	next    int
	ends    map[string]time.Duration
	specs   map[string]structs.WaitingJob
	pending map[string]int // steps that a claim has waited since the last disturbance
}

var machineShapes = []structs.Shape{
	shape(1, 1, structs.AdjacentNone), shape(1, 2, structs.AdjacentWorker), shape(1, 4, structs.AdjacentWorker),
	shape(1, 8, structs.AdjacentWorker), shape(2, 4, structs.AdjacentRack), shape(2, 2, structs.AdjacentZone),
	shape(1, 3, structs.AdjacentNone), {Workers: 1, CoresMilli: 20000, MemoryMB: 1024}, {Workers: 1, Accelerators: 2, CoresMilli: 30000, MemoryMB: 90 << 10},
}

func newMachine(t *rapid.T) *machine {
	m := &machine{s: fixture(rapid.IntRange(2, 6).Draw(t, "workers")), ends: map[string]time.Duration{}, specs: map[string]structs.WaitingJob{}, pending: map[string]int{}}
	m.s.Weights = structs.Weights{Completion: rapid.Float64Range(0, 3).Draw(t, "completion"), Fragmentation: 1}
	m.manifest(t)
	return m
}

// manifest draws accounts until their guarantees are admitted.
func (m *machine) manifest(t *rapid.T) {
	accounts := []structs.Account{}
	hw := []structs.Hardware{}
	for _, w := range m.s.Workers {
		if w.State == structs.WorkerReady {
			hw = append(hw, structs.Hardware{Domain: "d", Region: w.Region, Zone: w.Zone, Rack: w.Rack, Workers: 1, WorkerCapacity: w.WorkerCapacity})
		}
	}
	for i := range 3 {
		a := structs.Account{Name: fmt.Sprintf("a%d", i), Domains: []string{"d"}, Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight"))}
		for range rapid.IntRange(0, 2).Draw(t, "guarantees") {
			g := structs.Guarantee{Shape: rapid.SampledFrom(machineShapes[1:6]).Draw(t, "shape"), Count: rapid.IntRange(1, 2).Draw(t, "count")}
			a.Guarantee = append(a.Guarantee, g)
			if _, err := guarantee.Admit(&structs.Manifest{Hardware: hw, Accounts: append(slices.Clone(accounts), a)}); err != nil {
				a.Guarantee = a.Guarantee[:len(a.Guarantee)-1]
			}
		}
		if rapid.Bool().Draw(t, "quota") {
			a.Quota.Accelerators = rapid.IntRange(8, 24).Draw(t, "limit")
		}
		accounts = append(accounts, a)
	}
	m.s.Accounts = accounts
	m.disturb()
}

func (m *machine) disturb() { clear(m.pending) }

func (m *machine) arrive(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "arrivals") {
		a := fmt.Sprintf("a%d", rapid.IntRange(0, 2).Draw(t, "account"))
		id := fmt.Sprintf("%s.%06d", a, m.next)
		m.next++
		n := rapid.IntRange(0, len(machineShapes)-1).Draw(t, "shape")
		run := time.Duration(rapid.IntRange(1, 60).Draw(t, "run")) * time.Minute
		j := structs.WaitingJob{
			ID: id, Account: a, Kind: fmt.Sprintf("k%d", n), Shape: machineShapes[n], Submitted: m.s.Now,
			Urgency:  rapid.SampledFrom([]structs.Urgency{structs.Urgent, structs.Standard, structs.Batch}).Draw(t, "urgency"),
			Declared: run, P50: run, P90: 2 * run,
			Idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0, Checkpointable: rapid.Bool().Draw(t, "checkpointable"),
		}
		if rapid.IntRange(0, 5).Draw(t, "hasDeadline") == 0 {
			j.Deadline = m.s.Now + time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline"))*time.Minute
		}
		if rapid.IntRange(0, 7).Draw(t, "hasAvoid") == 0 {
			j.Avoid = []string{m.s.Workers[0].ID}
		}
		m.specs[id] = j
		m.s.Waiting = append(m.s.Waiting, j)
	}
	m.sort()
}

func (m *machine) sort() {
	slices.SortFunc(m.s.Waiting, func(a, b structs.WaitingJob) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(m.s.Running, func(a, b structs.RunningGang) int { return cmp.Compare(a.ID, b.ID) })
}

// remove ends the gangs that match and returns their accelerators.
func (m *machine) remove(match func(g *structs.RunningGang) bool, again bool) {
	kept := m.s.Running[:0]
	for _, g := range m.s.Running {
		if !match(&g) {
			kept = append(kept, g)
			continue
		}
		for _, mem := range g.Members {
			for i := range m.s.Workers {
				if w := &m.s.Workers[i]; w.ID == mem.Worker {
					w.Busy &^= mem.Accelerators
					w.CoresUsedMilli -= g.Shape.CoresMilli
					w.MemoryUsedMB -= g.Shape.MemoryMB
					w.SlotsUsed--
				}
			}
		}
		if again {
			m.s.Waiting = append(m.s.Waiting, m.specs[g.JobID])
		}
	}
	m.s.Running = kept
	m.sort()
}

func (m *machine) finish(t *rapid.T) {
	m.s.Now += time.Duration(rapid.IntRange(1, 1200).Draw(t, "seconds")) * time.Second
	m.remove(func(g *structs.RunningGang) bool { return m.ends[g.ID] <= m.s.Now && !g.Stopping }, false)
}

func (m *machine) worker(t *rapid.T) {
	w := &m.s.Workers[rapid.IntRange(0, len(m.s.Workers)-1).Draw(t, "worker")]
	w.State = rapid.SampledFrom([]structs.WorkerState{
		structs.WorkerReady, structs.WorkerReady, structs.WorkerReady, structs.WorkerProbing, structs.WorkerDraining,
		structs.WorkerSuspect, structs.WorkerQuarantined, structs.WorkerLost,
	}).Draw(t, "state")
	if w.State == structs.WorkerLost {
		id := w.ID
		m.remove(func(g *structs.RunningGang) bool {
			return slices.ContainsFunc(g.Members, func(p structs.MemberPlacement) bool { return p.Worker == id })
		}, true)
	}
	m.disturb()
}

// step plans, checks the plan and applies it.
func (m *machine) step(t *rapid.T) {
	m.remove(func(g *structs.RunningGang) bool { return g.Stopping }, true)
	plan := Schedule(m.s)
	if v := check.Plan(m.s, plan); len(v) > 0 {
		t.Fatalf("violations %v\nplan %+v\nsnapshot %+v", v, plan, m.s)
	}
	m.claims(t, plan)
	m.apply(plan)
}

// claims fails if a job that claims an unused guarantee is neither placed nor
// being made room for, or waits for more than a few steps.
func (m *machine) claims(t *rapid.T, plan *structs.Plan) {
	placed := map[string]bool{}
	for _, p := range plan.Placements {
		placed[p.JobID] = true
	}
	for i := range m.s.Waiting {
		j := &m.s.Waiting[i]
		if plan.Waits[j.ID] != structs.WaitReclaim || placed[j.ID] {
			delete(m.pending, j.ID)
			continue
		}
		if m.pending[j.ID]++; m.pending[j.ID] > 3 {
			t.Fatalf("claim %s waits for its victims for %d steps\nplan %+v\nsnapshot %+v", j.ID, m.pending[j.ID], plan, m.s)
		}
	}
}

func (m *machine) apply(plan *structs.Plan) {
	byID := map[string]*structs.WaitingJob{}
	for i := range m.s.Waiting {
		j := &m.s.Waiting[i]
		j.Reserved, j.Preempting = nil, j.Preempting && plan.Waits[j.ID] == structs.WaitReclaim
		byID[j.ID] = j
	}
	for i := range plan.Reservations {
		byID[plan.Reservations[i].JobID].Reserved = &plan.Reservations[i]
	}
	for _, p := range plan.Preemptions {
		byID[p.ForJob].Preempting = true
		for i := range m.s.Running {
			if m.s.Running[i].ID == p.GangID {
				m.s.Running[i].Stopping = true
			}
		}
	}
	gone := map[string]bool{}
	for _, r := range plan.Refusals {
		gone[r.JobID] = true
	}
	for _, p := range plan.Placements {
		gone[p.JobID] = true
		m.launch(byID[p.JobID], &p)
	}
	m.s.Waiting = slices.DeleteFunc(m.s.Waiting, func(j structs.WaitingJob) bool { return gone[j.ID] })
	m.sort()
}

func (m *machine) launch(j *structs.WaitingJob, p *structs.Placement) {
	m.next++
	g := structs.RunningGang{
		ID: fmt.Sprintf("%s/%d", j.ID, m.next), JobID: j.ID, Account: j.Account, Kind: j.Kind, Shape: j.Shape, Urgency: j.Urgency,
		Members: p.Members, Started: m.s.Now, CheckpointedAt: m.s.Now, Declared: j.Declared, P50: j.P50, P90: j.P90,
		Idempotent: j.Idempotent, Checkpointable: j.Checkpointable, Backfilled: p.Backfilled,
	}
	for _, mem := range p.Members {
		for i := range m.s.Workers {
			if w := &m.s.Workers[i]; w.ID == mem.Worker {
				w.Busy |= mem.Accelerators
				w.CoresUsedMilli += j.Shape.CoresMilli
				w.MemoryUsedMB += j.Shape.MemoryMB
				w.SlotsUsed++
			}
		}
	}
	m.ends[g.ID] = m.s.Now + j.P50
	m.s.Running = append(m.s.Running, g)
}

// Guards against plans that break a rule in some reachable state, and against
// reclaims that never end.
func TestStateMachine(t *testing.T) { rapid.Check(t, playMachine) }

// failedMachines are seeds of rapid on which a plan has broken a rule:
//   - 17466224753632383381: a borrowed placement of a gang in one rack, beside a
//     guaranteed one, leaves room in which the unused guarantees no longer pack. Open.
var failedMachines = []string{"17466224753632383381"}

// Guards against the faults of plans that TestStateMachine has found before.
func TestStateMachineSeeds(t *testing.T) {
	const name = "rapid.seed"
	before := flag.Lookup(name).Value.String()
	for _, seed := range failedMachines {
		t.Run("seed-"+seed, func(t *testing.T) {
			if err := flag.Set(name, seed); err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := flag.Set(name, before); err != nil {
					t.Error(err)
				}
			}()
			rapid.Check(t, playMachine)
		})
	}
}

func playMachine(t *rapid.T) {
	m := newMachine(t)
	t.Repeat(map[string]func(*rapid.T){
		"arrive": m.arrive,
		"finish": m.finish,
		"worker": m.worker,
		"manifest": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "change") == 0 {
				m.manifest(t)
			}
		},
		"plan": m.step,
		"":     func(*rapid.T) {},
	})
}
