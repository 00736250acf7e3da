package workflowscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Parameters of preemption.
const (
	// requeueDelay is the assumed time until a stopped task starts again on a busy
	// system.
	requeueDelay = 2 * time.Second
	// redoWeight is the weight of repeated work. Repeated work takes time itself, and it
	// delays other work by as much.
	redoWeight = 2
	// reclaimWaitShare is the share of Snapshot.ReclaimLimit for which guaranteed work waits
	// for capacity to become free. The rest is left for stops, a delayed report and the
	// start.
	reclaimWaitShare = 0.45
)

// mayPreempt reports whether runs may be stopped now for n tasks of a waiting group,
// because it is guaranteed or would otherwise be late. It does not preempt if enough
// capacity becomes free in time without stops.
func (p *planner) mayPreempt(g, n int) bool {
	group := &p.snap.Groups[g]
	if w := p.plan.Waits[g]; w == NeverFits || w == NoWorker || w == WaitsForZone || group.Isolation >= workflow.IsolationWorker {
		return false
	}
	last := group.Deadline - group.CriticalPath
	if group.Guaranteed {
		last = min(last, group.ReadyAt+time.Duration(reclaimWaitShare*float64(p.snap.ReclaimLimit)))
		return p.snap.Now+p.snap.StopGrace >= last || p.earliestFit(g, n) > last
	}
	return group.Priority == 0 && p.snap.Now+p.snap.StopGrace <= last && p.earliestFit(g, n) > last
}

// preempt stops runs for n tasks of a group. Capacity that stopping runs will release
// counts as available, so repeated decisions do not stop more runs than needed. Unless
// the group is guaranteed, the stops must cost less than the group gains by completing
// on time.
func (p *planner) preempt(g, n int) {
	if !p.mayPreempt(g, n) {
		return
	}
	group := &p.snap.Groups[g]
	e := p.newEviction(g)
	if !group.Gang {
		n = min(n, e.maxTasks()) // not a gang: preempt for as many tasks as possible
	}
	if n == 0 || !e.choose(n) {
		return
	}
	e.prune(n)
	if !group.Guaranteed && e.cost() >= group.Worth-group.LateWorth {
		return
	}
	for _, v := range e.chosen {
		for _, i := range e.victims[v].runs {
			p.stop(i, g)
		}
	}
	p.plan.Waits[g] = WaitsForStops
	p.subtractFreed(g, e.placements(n))
}

// eviction selects the runs to stop for a group. Victims are referred to by their index.
type eviction struct {
	planner     *planner
	group       int
	victims     []victim
	chosen      []int
	isChosen    []bool               // by victim
	pendingFree []workflow.Resources // released by stopping runs and chosen victims, by node
	slots       *slotCounts          // tasks that fit, counting pendingFree
	slotsByNode []int                // the same, by node
	// usage lists the victims on each node with the resources that they hold there, the
	// one with the lowest cost per GPU first.
	usage [][]victimUsage
	// cheapest caches the result of cheapestForOneMore by node.
	cheapest []victimSet
}

// victimUsage is the resources that a victim holds on a node.
type victimUsage struct {
	victim    int
	resources workflow.Resources
}

// victimSet is a result of cheapestForOneMore: the victims that free capacity for one
// more task on a node, or nil victims if none do. It is no longer valid once the node's
// capacity has changed.
type victimSet struct {
	valid   bool
	victims []int
	cost    float64
}

// newEviction returns an eviction for group g without chosen victims.
func (p *planner) newEviction(g int) *eviction {
	e := &eviction{planner: p, group: g, pendingFree: p.pendingFree(), victims: p.victims(&p.snap.Groups[g]), cheapest: make([]victimSet, len(p.nodes))}
	e.isChosen = make([]bool, len(e.victims))
	e.slotsByNode = make([]int, len(p.nodes))
	e.slots = p.countSlots(g, func(_, n int) int {
		e.slotsByNode[n] = e.slotsOn(n)
		return e.slotsByNode[n]
	})
	e.usage = make([][]victimUsage, len(p.nodes))
	for v := range e.victims {
		for _, i := range e.victims[v].runs {
			n := p.nodeOfRun[i]
			if n < 0 {
				continue
			}
			if last := len(e.usage[n]) - 1; last < 0 || e.usage[n][last].victim != v {
				e.usage[n] = append(e.usage[n], victimUsage{victim: v})
			}
			u := &e.usage[n][len(e.usage[n])-1]
			u.resources = u.resources.Add(p.snap.Running[i].Need, 1)
		}
	}
	perGPU := func(u victimUsage) float64 { return e.victims[u.victim].cost / max(float64(u.resources.GPUs), 0.5) }
	for n := range e.usage {
		slices.SortStableFunc(e.usage[n], func(a, b victimUsage) int { return cmp.Compare(perGPU(a), perGPU(b)) })
	}
	return e
}

// slotsOn returns how many tasks of the group fit on a node, counting pendingFree.
func (e *eviction) slotsOn(n int) int {
	group, w := &e.planner.snap.Groups[e.group], &e.planner.nodes[n]
	if !e.planner.eligible(e.group, n) || w.Probe {
		return 0
	}
	count := w.Free.Add(e.pendingFree[n], 1).Count(group.Need)
	if group.MaxPerWorker > 0 {
		count = min(count, group.MaxPerWorker-group.TasksOnWorker[w.ID])
	}
	return max(count, 0)
}

// fits reports whether n tasks fit, counting pendingFree.
func (e *eviction) fits(n int) bool { return e.planner.fitsIn(e.group, n, e.slots) }

// placements returns the placements of n tasks of the group, counting pendingFree.
func (e *eviction) placements(n int) []placement {
	placements, _ := e.planner.gangPlacements(e.group, n, func(_, node int) int { return e.slotsByNode[node] })
	return placements
}

// cost returns the summed cost of the chosen victims.
func (e *eviction) cost() float64 {
	sum := 0.0
	for _, v := range e.chosen {
		sum += e.victims[v].cost
	}
	return sum
}

// setChosen adds the resources of victim v to pendingFree if sign is 1, and removes them
// if it is -1. It does not change chosen.
func (e *eviction) setChosen(v, sign int) {
	e.isChosen[v] = sign > 0
	for _, i := range e.victims[v].runs {
		if n := e.planner.nodeOfRun[i]; n >= 0 {
			e.pendingFree[n] = e.pendingFree[n].Add(e.planner.snap.Running[i].Need, sign)
			count := e.slotsOn(n)
			e.slots.add(e.planner.racks.rackOf[n], count-e.slotsByNode[n])
			e.slotsByNode[n], e.cheapest[n].valid = count, false
		}
	}
}

// reset unchooses all chosen victims.
func (e *eviction) reset() {
	for _, v := range e.chosen {
		e.setChosen(v, -1)
	}
	e.chosen = nil
}

// maxTasks returns how many tasks would fit if all victims were stopped.
func (e *eviction) maxTasks() int {
	for v := range e.victims {
		e.setChosen(v, 1)
	}
	total := e.slots.total
	for v := range e.victims {
		e.setChosen(v, -1)
	}
	return total
}

// choose adds victims, each time on the node where one more task costs least, until n
// tasks fit. For a group that wants one rack it uses the rack with the lowest total
// cost, or all nodes if the group fits in no rack. It reports whether the tasks fit.
func (e *eviction) choose(n int) bool {
	group := &e.planner.snap.Groups[e.group]
	if !group.SameRack && group.DataRack == "" {
		return e.chooseOn(n, e.planner.racks.all)
	}
	best, bestCost := []int(nil), math.Inf(1)
	for _, rack := range e.planner.racks.sortedByName {
		nodes := e.planner.racks.nodesOf[rack]
		if (group.DataRack == "" || group.DataRack == e.planner.nodes[nodes[0]].Rack) && e.chooseOn(n, nodes) && e.cost() < bestCost {
			best, bestCost = append([]int{}, e.chosen...), e.cost()
		}
		e.reset()
	}
	if best == nil {
		return e.chooseOn(n, e.planner.racks.all)
	}
	for _, v := range best {
		e.setChosen(v, 1)
	}
	e.chosen = best
	return true
}

// chooseOn adds victims on the given nodes until n tasks fit, and reports whether they
// do.
func (e *eviction) chooseOn(n int, nodes []int) bool {
	for !e.fits(n) {
		best, bestCost := []int(nil), math.Inf(1)
		for _, node := range nodes {
			if next := e.cheapestForOneMore(node); next.victims != nil && next.cost < bestCost {
				best, bestCost = next.victims, next.cost
			}
		}
		if best == nil {
			return false
		}
		for _, v := range best {
			e.setChosen(v, 1)
		}
		e.chosen = append(e.chosen, best...)
	}
	return true
}

// cheapestForOneMore returns the victims to stop on a node so that one more task fits
// there, taken in the order of their cost per GPU.
func (e *eviction) cheapestForOneMore(n int) *victimSet {
	next := &e.cheapest[n]
	if next.valid {
		return next
	}
	*next = victimSet{valid: true}
	if !e.planner.eligible(e.group, n) {
		return next
	}
	before := e.pendingFree[n]
	defer func() { e.pendingFree[n] = before }()
	var victims []int
	cost := 0.0
	for _, u := range e.usage[n] {
		if e.isChosen[u.victim] || u.resources == (workflow.Resources{}) {
			continue
		}
		e.pendingFree[n] = e.pendingFree[n].Add(u.resources, 1)
		victims = append(victims, u.victim)
		cost += e.victims[u.victim].cost + minStopCost
		if e.slotsOn(n) > e.slotsByNode[n] {
			next.victims, next.cost = victims, cost
			break
		}
	}
	return next
}

// prune drops chosen victims that are not needed for n tasks, the most expensive first.
func (e *eviction) prune(n int) {
	slices.SortStableFunc(e.chosen, func(a, b int) int { return cmp.Compare(e.victims[b].cost, e.victims[a].cost) })
	kept := []int{}
	for _, v := range e.chosen {
		e.setChosen(v, -1)
		if !e.fits(n) {
			e.setChosen(v, 1)
			kept = append(kept, v)
		}
	}
	e.chosen = kept
}

// subtractFreed subtracts the capacity that is being freed for a group, so that later
// groups do not use it.
func (p *planner) subtractFreed(g int, placements []placement) {
	p.capacityVersion++
	for _, s := range placements {
		p.nodes[s.node].Free = p.nodes[s.node].Free.Add(p.snap.Groups[g].Need, -s.count)
	}
}

// stop plans the stop of run i for group g, or NoGroup, unless it is planned already.
func (p *planner) stop(i, g int) {
	id := p.snap.Running[i].ID
	if !p.stopped[id] {
		p.stopped[id] = true
		p.plan.Stops = append(p.plan.Stops, Stop{Run: id, ForGroup: g})
	}
}

// pendingFree returns the resources that stopping runs will release, by node.
func (p *planner) pendingFree() []workflow.Resources {
	free := make([]workflow.Resources, len(p.nodes))
	for n, running := range p.runsByNode {
		for _, i := range running {
			if r := &p.snap.Running[i]; r.Stopping || p.stopped[r.ID] {
				free[n] = free[n].Add(r.Need, 1)
			}
		}
	}
	return free
}

// victim is a unit of preemption: a run, or all runs of a gang since they end together.
type victim struct {
	runs []int
	// cost is the worth that stopping it loses.
	cost float64
}

// victims lists what may be stopped for the group: for guaranteed work all runs without
// a guarantee, otherwise runs of lower priority.
func (p *planner) victims(group *Group) []victim {
	return p.stoppable(func(r *Running) bool {
		return !r.Guaranteed && (group.Guaranteed || r.Priority > group.Priority)
	})
}

// stoppable returns the runs that match, as units that are stopped whole. It leaves out
// persistent and stopping runs.
func (p *planner) stoppable(match func(*Running) bool) []victim {
	gangs := map[workflow.RunID]int{}
	var out []victim
	for i := range p.snap.Running {
		r := &p.snap.Running[i]
		if r.Persistent || r.Stopping || p.stopped[r.ID] || !match(r) {
			continue
		}
		cost := p.cachedStopCost(i)
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

// stopCost returns the worth that stopping the run loses: the drop in its job's value if
// the job ends later, and the repeated work, priced at the worth per core-second of the
// job.
func (p *planner) stopCost(r *Running) float64 {
	newEnd := p.snap.Now + p.snap.StopGrace + requeueDelay + r.RerunTime + r.RemainingPath
	cost := r.WorthAt(p.expectedEnd(r)+r.RemainingPath) - r.WorthAt(newEnd)
	return max(cost, 0) + redoWeight*r.Worth*r.LostWork/max(r.JobWork, 1)
}

// cachedStopCost returns stopCost of run i.
func (p *planner) cachedStopCost(i int) float64 {
	if p.stopCosts == nil {
		p.stopCosts = make([]float64, len(p.snap.Running))
		for i := range p.snap.Running {
			p.stopCosts[i] = p.stopCost(&p.snap.Running[i])
		}
	}
	return p.stopCosts[i]
}

// minStopCost is added to the cost of each victim when victims are chosen, so that fewer
// stops are preferred among those that lose nothing.
const minStopCost = 0.05
