package workflowscheduler

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
	x := p.newEviction(g)
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
	taken   []bool               // by victim, whether it is chosen
	soon    []workflow.Resources // what is given back, by node
	rooms   *rooms               // with what is given back
	counts  []int                // the same by node
	// held has what the victims hold on each node, the cheapest for a GPU first.
	held [][]holding
	// next is what room for one more task costs, by node; invalid where the node has
	// changed since.
	next []nextVictims
}

// holding is what a victim holds on a node.
type holding struct {
	victim int
	back   workflow.Resources
}

// nextVictims are the victims that cost least for one more task on a node; none if
// there is no such set.
type nextVictims struct {
	valid bool
	set   []int
	cost  float64
}

func (p *planner) newEviction(g int) *eviction {
	x := &eviction{p: p, g: g, soon: p.soonFree(), victims: p.victims(&p.s.Groups[g]), next: make([]nextVictims, len(p.nodes))}
	x.taken = make([]bool, len(x.victims))
	x.counts = make([]int, len(p.nodes))
	x.rooms = p.countRooms(g, func(_, n int) int {
		x.counts[n] = x.count(n)
		return x.counts[n]
	})
	x.held = make([][]holding, len(p.nodes))
	for v := range x.victims {
		for _, i := range x.victims[v].runs {
			n := p.runNode[i]
			if n < 0 {
				continue
			}
			if last := len(x.held[n]) - 1; last < 0 || x.held[n][last].victim != v {
				x.held[n] = append(x.held[n], holding{victim: v})
			}
			h := &x.held[n][len(x.held[n])-1]
			h.back = h.back.Add(p.s.Running[i].Need, 1)
		}
	}
	perGPU := func(h holding) float64 { return x.victims[h.victim].cost / max(float64(h.back.GPUs), 0.5) }
	for n := range x.held {
		slices.SortStableFunc(x.held[n], func(a, b holding) int { return cmp.Compare(perGPU(a), perGPU(b)) })
	}
	return x
}

// count returns how many tasks fit on a node with what is given back.
func (x *eviction) count(n int) int {
	group, w := &x.p.s.Groups[x.g], &x.p.nodes[n]
	if !x.p.eligible(x.g, n) || w.Probe {
		return 0
	}
	count := w.Free.Add(x.soon[n], 1).Count(group.Need)
	if group.MaxPerWorker > 0 {
		count = min(count, group.MaxPerWorker-group.Present[w.ID])
	}
	return max(count, 0)
}

// fits reports whether n tasks fit.
func (x *eviction) fits(n int) bool { return x.p.enough(x.g, n, x.rooms) }

// spots returns the places that the group's tasks get, or nil.
func (x *eviction) spots(n int) []spot {
	spots, _ := x.p.gangSpots(x.g, n, func(_, node int) int { return x.counts[node] })
	return spots
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
	x.taken[v] = sign > 0
	for _, i := range x.victims[v].runs {
		if n := x.p.runNode[i]; n >= 0 {
			x.soon[n] = x.soon[n].Add(x.p.s.Running[i].Need, sign)
			count := x.count(n)
			x.rooms.add(x.p.racks.of[n], count-x.counts[n])
			x.counts[n], x.next[n].valid = count, false
		}
	}
}

// drop takes all chosen victims back.
func (x *eviction) drop() {
	for _, v := range x.chosen {
		x.give(v, -1)
	}
	x.chosen = nil
}

// most returns how many tasks would fit if all victims were stopped.
func (x *eviction) most() int {
	for v := range x.victims {
		x.give(v, 1)
	}
	total := x.rooms.total
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
		return x.fill(n, x.p.racks.all)
	}
	best, bestCost := []int(nil), math.Inf(1)
	for _, rack := range x.p.racks.sorted {
		nodes := x.p.racks.nodes[rack]
		if (group.DataRack == "" || group.DataRack == x.p.nodes[nodes[0]].Rack) && x.fill(n, nodes) && x.cost() < bestCost {
			best, bestCost = append([]int{}, x.chosen...), x.cost()
		}
		x.drop()
	}
	if best == nil {
		return x.fill(n, x.p.racks.all)
	}
	for _, v := range best {
		x.give(v, 1)
	}
	x.chosen = best
	return true
}

// fill chooses victims on some nodes until n tasks fit.
func (x *eviction) fill(n int, nodes []int) bool {
	for !x.fits(n) {
		best, bestCost := []int(nil), math.Inf(1)
		for _, node := range nodes {
			if next := x.oneMore(node); next.set != nil && next.cost < bestCost {
				best, bestCost = next.set, next.cost
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
// task there.
func (x *eviction) oneMore(n int) *nextVictims {
	next := &x.next[n]
	if next.valid {
		return next
	}
	*next = nextVictims{valid: true}
	if !x.p.eligible(x.g, n) {
		return next
	}
	before := x.soon[n]
	defer func() { x.soon[n] = before }()
	var set []int
	cost := 0.0
	for _, h := range x.held[n] {
		if x.taken[h.victim] || h.back == (workflow.Resources{}) {
			continue
		}
		x.soon[n] = x.soon[n].Add(h.back, 1)
		set = append(set, h.victim)
		cost += x.victims[h.victim].cost + minStopCost
		if x.count(n) > x.counts[n] {
			next.set, next.cost = set, cost
			break
		}
	}
	return next
}

// prune gives up the victims without which n tasks fit as well, the most costly
// first.
func (x *eviction) prune(n int) {
	slices.SortStableFunc(x.chosen, func(a, b int) int { return cmp.Compare(x.victims[b].cost, x.victims[a].cost) })
	kept := []int{}
	for _, v := range x.chosen {
		x.give(v, -1)
		if !x.fits(n) {
			x.give(v, 1)
			kept = append(kept, v)
		}
	}
	x.chosen = kept
}

// holdNow keeps the room that is being made from the groups that come later.
func (p *planner) holdNow(g int, spots []spot) {
	p.changes++
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
		cost := p.stopCostOf(i)
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

// stopCostOf returns what a stop of run i loses.
func (p *planner) stopCostOf(i int) float64 {
	if p.costs == nil {
		p.costs = make([]float64, len(p.s.Running))
		for i := range p.s.Running {
			p.costs[i] = p.stopCost(&p.s.Running[i])
		}
	}
	return p.costs[i]
}

// minStopCost makes a stop that loses nothing cost something.
const minStopCost = 0.05
