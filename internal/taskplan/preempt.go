package taskplan

import (
	"cmp"
	"math"
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
	claimShare = 0.45
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
	x := &eviction{p: p, g: g, soon: p.soonFree(), victims: p.victims(group)}
	if !group.Gang {
		n = min(n, x.most()) // singles: make room for as many as possible
	}
	if n == 0 || !x.makeRoom(n) {
		return
	}
	x.prune(n)
	if !group.Guaranteed && x.cost() >= group.Worth-group.LateWorth {
		return
	}
	for _, v := range x.chosen {
		for _, i := range x.victims[v].runs {
			p.stop(i, g)
		}
	}
	p.plan.Waits[g] = WaitsForStops
	p.holdNow(g, x.spots(n))
}

// eviction chooses the runs that are stopped for a group.
type eviction struct {
	p       *planner
	g       int
	victims []victim
	chosen  []int
	soon    []workflow.Resources // what is given back, by node
}

// spots returns the places that the group's tasks get, or nil.
func (x *eviction) spots(n int) []spot {
	spots, _ := x.p.gangSpots(x.g, n, x.room)
	return spots
}

// room returns how many tasks fit on a node with what is given back.
func (x *eviction) room(g, n int) int {
	group, w := &x.p.s.Groups[g], &x.p.nodes[n]
	if !w.eligible(group) || w.Probe {
		return 0
	}
	count := w.Free.Add(x.soon[n], 1).Count(group.Need)
	if group.MaxPerWorker > 0 {
		count = min(count, group.MaxPerWorker-group.Present[w.ID])
	}
	return max(count, 0)
}

func (x *eviction) cost() float64 {
	sum := 0.0
	for _, v := range x.chosen {
		sum += x.victims[v].cost
	}
	return sum
}

// give adds what a victim's end gives back; sign -1 takes it back.
func (x *eviction) give(v, sign int) {
	for _, i := range x.victims[v].runs {
		r := &x.p.s.Running[i]
		if node, ok := x.p.index[r.Worker]; ok {
			x.soon[node] = x.soon[node].Add(r.Need, sign)
		}
	}
}

// most returns how many tasks would fit if all victims were stopped.
func (x *eviction) most() int {
	for v := range x.victims {
		x.give(v, 1)
	}
	total := 0
	for n := range x.p.nodes {
		total += x.room(x.g, n)
	}
	for v := range x.victims {
		x.give(v, -1)
	}
	return total
}

// makeRoom chooses victims node by node, each time where room for one more task
// costs least, until n tasks fit. For a group that wants one rack it does so in
// the rack where that costs least.
func (x *eviction) makeRoom(n int) bool {
	group := &x.p.s.Groups[x.g]
	if !group.SameRack && group.DataRack == "" {
		return x.fill(n, func(string) bool { return true })
	}
	best, bestCost, before := []int(nil), math.Inf(1), slices.Clone(x.soon)
	for _, rack := range x.p.rackNames() {
		x.chosen = nil
		if (group.DataRack == "" || group.DataRack == rack) && x.fill(n, func(r string) bool { return r == rack }) && x.cost() < bestCost {
			best, bestCost = append([]int{}, x.chosen...), x.cost()
		}
		copy(x.soon, before)
	}
	x.chosen = nil
	if best == nil {
		return x.fill(n, func(string) bool { return true })
	}
	for _, v := range best {
		x.give(v, 1)
	}
	x.chosen = best
	return true
}

func (x *eviction) fill(n int, pass func(rack string) bool) bool {
	for x.spots(n) == nil {
		best, bestCost := []int(nil), math.Inf(1)
		for node := range x.p.nodes {
			if !pass(x.p.nodes[node].Rack) {
				continue
			}
			if set, cost := x.oneMore(node); set != nil && cost < bestCost {
				best, bestCost = set, cost
			}
		}
		if best == nil {
			return false
		}
		for _, v := range best {
			x.give(v, 1)
		}
		x.chosen = append(x.chosen, best...)
	}
	return true
}

// oneMore returns the victims on a node that cost least for room for one more
// task there; nil if there are none.
func (x *eviction) oneMore(node int) (set []int, cost float64) {
	if !x.p.nodes[node].eligible(&x.p.s.Groups[x.g]) {
		return nil, 0
	}
	type candidate struct {
		v    int
		back workflow.Resources
	}
	var here []candidate
	for v := range x.victims {
		if slices.Contains(x.chosen, v) {
			continue
		}
		back := workflow.Resources{}
		for _, i := range x.victims[v].runs {
			if r := &x.p.s.Running[i]; x.p.index[r.Worker] == node {
				back = back.Add(r.Need, 1)
			}
		}
		if back != (workflow.Resources{}) {
			here = append(here, candidate{v, back})
		}
	}
	slices.SortStableFunc(here, func(a, b candidate) int {
		return cmp.Compare(x.victims[a.v].cost/max(float64(a.back.GPUs), 0.5), x.victims[b.v].cost/max(float64(b.back.GPUs), 0.5))
	})
	had, before := x.room(x.g, node), x.soon[node]
	defer func() { x.soon[node] = before }()
	for _, c := range here {
		x.soon[node] = x.soon[node].Add(c.back, 1)
		set = append(set, c.v)
		cost += x.victims[c.v].cost + minStopCost
		if x.room(x.g, node) > had {
			return set, cost
		}
	}
	return nil, 0
}

// prune gives up the victims without which n tasks fit as well, the most costly
// first.
func (x *eviction) prune(n int) {
	slices.SortStableFunc(x.chosen, func(a, b int) int { return cmp.Compare(x.victims[b].cost, x.victims[a].cost) })
	kept := []int{}
	for _, v := range x.chosen {
		x.give(v, -1)
		if x.spots(n) == nil {
			x.give(v, 1)
			kept = append(kept, v)
		}
	}
	x.chosen = kept
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

// victim is a run, or all runs of a gang, which end together.
type victim struct {
	runs []int
	// cost is the worth that a stop loses.
	cost float64
}

// victims lists what may be stopped for the group: for a claim on a guarantee
// all work that has none, otherwise work of lower priority.
func (p *planner) victims(group *Group) []victim {
	return p.units(func(r *Running) bool {
		return !r.Guaranteed && (group.Guaranteed || r.Priority > group.Priority)
	})
}

// units lists what can only be stopped as a whole, a run or all runs of a gang,
// of the runs that pass. Persistent and stopping runs are left out.
func (p *planner) units(pass func(*Running) bool) []victim {
	gangs := map[workflow.RunID]int{}
	var out []victim
	for i := range p.s.Running {
		r := &p.s.Running[i]
		if r.Persistent || r.Stopping || p.stopped[r.ID] || !pass(r) {
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

// minStopCost makes a stop that loses nothing cost something.
const minStopCost = 0.05
