package taskplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Constants of preemption.
const (
	// requeueDelay is how long a stopped task is taken to wait until it starts
	// again, on a busy system.
	requeueDelay = 2 * time.Second
	// redoWeight is the weight of work that is done again: it costs its own time,
	// and that of the work which waits meanwhile.
	redoWeight = 2
	// claimShare is the part of the time for a claim on a guarantee that is spent
	// waiting for room; the rest is for stops, a late report and the start.
	claimShare = 0.3
)

// mayPreempt reports whether runs should be stopped for a waiting group now:
// because it claims a guarantee, or because it would otherwise be late. Room that
// becomes free in time by itself is waited for.
func (p *planner) mayPreempt(g, n int) bool {
	group := &p.s.Groups[g]
	if w := p.plan.Waits[g]; w == NeverFits || w == NoWorker {
		return false
	}
	last := group.OnTime - group.Chain
	if group.Guaranteed {
		last = min(last, group.Since+time.Duration(claimShare*float64(p.s.ReclaimIn)))
		return p.s.Now+p.s.StopGrace >= last || p.earliest(g, n) > last
	}
	return group.Priority == 0 && p.s.Now+p.s.StopGrace <= last && p.earliest(g, n) > last
}

// preempt stops runs for n tasks of a group. Capacity that is already being
// given back counts, so that no cycle stops more than is needed. Without a claim
// on a guarantee, what is lost must be worth less than what is gained.
func (p *planner) preempt(g, n int) {
	if !p.mayPreempt(g, n) {
		return
	}
	group := &p.s.Groups[g]
	victims := p.victims(group)
	soon := p.soonFree()
	var chosen []int
	cost := 0.0
	gained := func(node int) workflow.Resources { return soon[node] }
	for n > 0 {
		if spots, _ := p.gangSpots(g, n, p.roomWith(gained)); spots != nil {
			if !group.Guaranteed && cost >= group.Worth-group.LateWorth {
				return
			}
			for _, v := range chosen {
				for _, i := range victims[v].runs {
					p.stop(i, g)
				}
			}
			p.plan.Waits[g] = WaitsForStops
			p.holdNow(g, spots)
			return
		}
		v := p.nextVictim(group, victims, chosen, soon)
		if v < 0 {
			if group.Gang || n == 1 {
				return
			}
			n-- // singles: make room for as many as possible
			continue
		}
		chosen = append(chosen, v)
		cost += victims[v].cost
		for _, i := range victims[v].runs {
			r := &p.s.Running[i]
			if node, ok := p.index[r.Worker]; ok {
				soon[node] = soon[node].Add(r.Need, 1)
			}
		}
	}
}

// holdNow keeps the room that is being made from the groups that come later.
func (p *planner) holdNow(g int, spots []spot) {
	for _, s := range spots {
		p.nodes[s.node].Free = p.nodes[s.node].Free.Add(p.s.Groups[g].Need, -s.count)
	}
}

func (p *planner) stop(i, g int) {
	id := p.s.Running[i].ID
	if !p.stopped[id] {
		p.stopped[id] = true
		p.plan.Stops = append(p.plan.Stops, Stop{Run: id, For: g})
	}
}

// soonFree returns what runs that are being stopped give back, by node.
func (p *planner) soonFree() []workflow.Resources {
	soon := make([]workflow.Resources, len(p.nodes))
	for n, running := range p.endings {
		for _, i := range running {
			if r := &p.s.Running[i]; r.Stopping || p.stopped[r.ID] {
				soon[n] = soon[n].Add(r.Need, 1)
			}
		}
	}
	return soon
}

// roomWith returns a function that counts the tasks which fit beside what runs
// once more capacity is given back.
func (p *planner) roomWith(more func(node int) workflow.Resources) func(g, n int) int {
	return func(g, n int) int {
		group, w := &p.s.Groups[g], &p.nodes[n]
		if !w.eligible(group) || w.Probe {
			return 0
		}
		count := w.Free.Add(more(n), 1).Count(group.Need)
		if group.MaxPerWorker > 0 {
			count = min(count, group.MaxPerWorker-group.Present[w.ID])
		}
		return max(count, 0)
	}
}

// victim is a run, or all runs of a gang, which end together.
type victim struct {
	runs []int
	// cost is the worth that a stop loses.
	cost float64
}

// victims lists what may be stopped for the group: for a claim on a guarantee
// all work that has none, otherwise work of lower priority.
func (p *planner) victims(group *Group) []victim {
	gangs := map[workflow.RunID]int{}
	var out []victim
	for i := range p.s.Running {
		r := &p.s.Running[i]
		if r.Guaranteed || r.Persistent || r.Stopping || p.stopped[r.ID] || !group.Guaranteed && r.Priority <= group.Priority {
			continue
		}
		cost := p.stopCost(r)
		if r.Gang {
			key := r.ID
			key.Task.Index = 0
			if at, ok := gangs[key]; ok {
				out[at].runs = append(out[at].runs, i)
				out[at].cost = max(out[at].cost, cost)
				continue
			}
			gangs[key] = len(out)
		}
		out = append(out, victim{runs: []int{i}, cost: cost})
	}
	return out
}

// stopCost returns what a stop of the run loses: the worth of its job if that
// then ends later, and the work that has to be done again at the worth of the
// job's work.
func (p *planner) stopCost(r *Running) float64 {
	again := p.s.Now + p.s.StopGrace + requeueDelay + r.Redo + r.Rest
	cost := r.At(p.endOf(r)+r.Rest) - r.At(again)
	return max(cost, 0) + redoWeight*r.Worth*r.Lost/max(r.Area, 1)
}

// nextVictim returns the victim that costs least for the capacity that it gives
// back where the group may run; -1 if there is none.
func (p *planner) nextVictim(group *Group, victims []victim, chosen []int, soon []workflow.Resources) int {
	best, bestCost := -1, 0.0
	for v := range victims {
		if slices.Contains(chosen, v) {
			continue
		}
		useful := 0.0
		for _, i := range victims[v].runs {
			r := &p.s.Running[i]
			n, ok := p.index[r.Worker]
			if !ok || !p.nodes[n].eligible(group) {
				continue
			}
			before := p.nodes[n].Free.Add(soon[n], 1)
			useful += missing(before, group.Need, r.Need)
		}
		if useful <= 0 {
			continue
		}
		if cost := (victims[v].cost + minStopCost) / useful; best < 0 || cmp.Less(cost, bestCost) {
			best, bestCost = v, cost
		}
	}
	return best
}

// minStopCost makes a stop that loses nothing cost something.
const minStopCost = 0.05

// missing returns how much of what a node lacks for one more task a run would
// give back, as a share of the need.
func missing(free, need, back workflow.Resources) float64 {
	share := func(free, need, back int) float64 {
		if need == 0 {
			return 0
		}
		lacks := need - max(free, 0)%need
		return float64(min(lacks, back)) / float64(need)
	}
	return share(free.GPUs, need.GPUs, back.GPUs) + 0.1*share(free.CPUMilli, need.CPUMilli, back.CPUMilli) +
		0.1*share(free.MemoryMB, need.MemoryMB, back.MemoryMB)
}
