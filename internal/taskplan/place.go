package taskplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// place starts a group's tasks, or keeps room for them and says why they wait.
func (p *planner) place(g int) {
	group := &p.s.Groups[g]
	if len(group.Tasks) == 0 {
		return
	}
	if group.Gang {
		p.placeGang(g)
		return
	}
	p.placeSingles(g)
}

// spot is a node with the number of tasks that it takes.
type spot struct {
	node, count int
}

// placeSingles starts as many tasks as fit, near their data first.
func (p *planner) placeSingles(g int) {
	group := &p.s.Groups[g]
	left := group.Tasks
	for _, near := range []bool{true, false} {
		if !near && !p.remotePays(group) {
			break
		}
		for len(left) > 0 {
			n := p.bestNode(g, near)
			if n < 0 {
				break
			}
			p.start(g, left[0], n, p.duration(group, n, false))
			p.note(group, n)
			left = left[1:]
		}
		if group.DataRack == "" {
			break
		}
	}
	if len(left) == 0 {
		return
	}
	p.plan.Waits[g] = p.whyWaiting(g)
	p.preempt(g, len(left))
	if w := p.plan.Waits[g]; w != NeverFits && w != WaitsForStops && len(p.held) < maxReservations && group.Need.GPUs >= largeTask {
		p.reserve(g, 1)
	}
}

// note counts a planned task against the limit of tasks on a worker.
func (p *planner) note(group *Group, n int) {
	if group.MaxPerWorker == 0 {
		return
	}
	present := maps.Clone(group.Present) // the caller's map is not changed
	if present == nil {
		present = map[string]int{}
	}
	present[p.nodes[n].ID]++
	group.Present = present
}

// remotePays reports whether a run away from the data is worth its longer time:
// it must still be on time, or no run could be.
func (p *planner) remotePays(g *Group) bool {
	if g.DataRack == "" || !p.rackExists(g) {
		return true
	}
	extra := time.Duration(float64(g.Expected) * (p.s.RemotePenalty - 1))
	return p.s.Now+g.Chain+extra <= g.OnTime || p.s.Now+g.Chain > g.OnTime+extra
}

func (p *planner) rackExists(g *Group) bool {
	return slices.ContainsFunc(p.nodes, func(n node) bool { return n.Rack == g.DataRack && n.eligible(g) })
}

// bestNode returns the node on which a task leaves the least behind, so that
// whole workers stay free for large tasks; -1 if none has room.
func (p *planner) bestNode(g int, near bool) int {
	group := &p.s.Groups[g]
	best, bestKey := -1, [4]float64{}
	for n := range p.nodes {
		w := &p.nodes[n]
		if near == remote(group, w.Rack) || p.room(g, n) < 1 {
			continue
		}
		after := w.Free.Add(group.Need, -1)
		key := [4]float64{w.Slowdown, p.packingCost(n, group.Need, 1), float64(after.GPUs), float64(after.CPUMilli)}
		if best < 0 || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = n, key
		}
	}
	return best
}

// placeGang starts all tasks of a gang together or none.
func (p *planner) placeGang(g int) {
	group := &p.s.Groups[g]
	need := len(group.Tasks)
	spots, spread := p.gangSpots(g, need, p.room)
	if spots != nil {
		slowest := time.Duration(0)
		for _, s := range spots {
			slowest = max(slowest, p.duration(group, s.node, spread))
		}
		i := 0
		for _, s := range spots {
			for range s.count {
				p.start(g, group.Tasks[i], s.node, slowest)
				p.note(group, s.node)
				i++
			}
		}
		return
	}
	p.plan.Waits[g] = p.whyWaiting(g)
	p.preempt(g, need)
	if w := p.plan.Waits[g]; w != NeverFits && w != WaitsForStops && len(p.held) < maxReservations {
		p.reserve(g, need)
	}
}

// gangSpots returns places for n tasks: in one rack if the gang wants that, near
// its data if it has some, and spread otherwise if that pays. spread says that a
// gang which wants one rack gets several.
func (p *planner) gangSpots(g, n int, room func(g, node int) int) (spots []spot, spread bool) {
	group := &p.s.Groups[g]
	if group.DataRack != "" {
		if spots = p.fill(g, n, room, func(rack string) bool { return rack == group.DataRack }); spots != nil {
			return spots, false
		}
	}
	if group.SameRack || group.DataRack != "" {
		if group.DataRack == "" || p.remotePays(group) {
			if spots = p.oneRack(g, n, room); spots != nil {
				return spots, false
			}
		}
		if !p.spreadPays(g, n) {
			return nil, false
		}
	}
	spots = p.fill(g, n, room, func(string) bool { return true })
	return spots, spots != nil && p.racks(spots) > 1
}

// rackNames lists the racks of all nodes.
func (p *planner) rackNames() []string {
	var names []string
	for i := range p.nodes {
		names = append(names, p.nodes[i].Rack)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (p *planner) racks(spots []spot) int {
	seen := map[string]bool{}
	for _, s := range spots {
		seen[p.nodes[s.node].Rack] = true
	}
	return len(seen)
}

// oneRack returns places in the rack that is left with the least.
func (p *planner) oneRack(g, n int, room func(g, node int) int) []spot {
	var best []spot
	bestFree := 0
	seen := map[string]bool{}
	for i := range p.nodes {
		rack := p.nodes[i].Rack
		if seen[rack] {
			continue
		}
		seen[rack] = true
		spots := p.fill(g, n, room, func(r string) bool { return r == rack })
		if spots == nil {
			continue
		}
		free := 0
		for j := range p.nodes {
			if p.nodes[j].Rack == rack {
				free += p.nodes[j].Free.GPUs
			}
		}
		if best == nil || free < bestFree {
			best, bestFree = spots, free
		}
	}
	return best
}

// spreadPays reports whether a gang that wants one rack, or that of its data,
// should run elsewhere now. That must be worth more than to wait for the rack,
// since it holds its room for several times as long, unless most room is idle and
// the gang ends sooner: then it takes nothing from others, and a rack that never
// comes free does not keep it waiting.
func (p *planner) spreadPays(g, n int) bool {
	group := &p.s.Groups[g]
	extra := time.Duration(float64(group.Expected) * (p.s.RemotePenalty - 1))
	spread, waiting := p.s.Now+group.Chain+extra, p.rackFree(g, n)+group.Chain
	if a, b := group.At(spread), group.At(waiting); a != b {
		return a > b
	}
	return spread < waiting && (p.mostlyIdle() || waiting >= never)
}

// mostlyIdle reports whether under half of the workers' capacity is in use.
func (p *planner) mostlyIdle() bool {
	var free workflow.Resources
	for i := range p.nodes {
		free = free.Add(p.nodes[i].Free, 1)
	}
	return free.Add(free, 1).Fits(p.total)
}

// rackFree returns the time at which n tasks of a group fit in one rack, that of
// its data if it has some, if runs end as expected.
func (p *planner) rackFree(g, n int) time.Duration {
	group := &p.s.Groups[g]
	times := p.endTimes()
	first := sort.Search(len(times), func(i int) bool {
		room := func(g, node int) int { return p.roomAt(g, node, times[i]) }
		if group.DataRack != "" {
			return p.fill(g, n, room, func(rack string) bool { return rack == group.DataRack }) != nil
		}
		return p.oneRack(g, n, room) != nil
	})
	if first == len(times) {
		return never
	}
	return times[first]
}

// never is later than any time of a day, with room for sums.
const never = math.MaxInt64 / 4

// endTimes lists the times at which runs are expected to end, ascending.
func (p *planner) endTimes() []time.Duration {
	var times []time.Duration
	for i := range p.s.Running {
		if t := p.endOf(&p.s.Running[i]); t < never {
			times = append(times, t)
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// capacity returns how many tasks of the group an empty node holds.
func (p *planner) capacity(g, n int) int {
	group, w := &p.s.Groups[g], &p.nodes[n]
	if !w.eligible(group) {
		return 0
	}
	count := w.Capacity.Count(group.Need)
	if group.MaxPerWorker > 0 {
		count = min(count, group.MaxPerWorker)
	}
	return count
}

// fill returns places for n tasks on nodes of the racks that pass, using the
// sound nodes that are left with the least first; nil if they do not fit.
func (p *planner) fill(g, n int, room func(g, node int) int, pass func(rack string) bool) []spot {
	group := &p.s.Groups[g]
	var all []spot
	total := 0
	for i := range p.nodes {
		if !pass(p.nodes[i].Rack) {
			continue
		}
		if c := room(g, i); c > 0 {
			all = append(all, spot{i, c})
			total += c
		}
	}
	if total < n {
		return nil
	}
	slices.SortStableFunc(all, func(a, b spot) int {
		wa, wb := &p.nodes[a.node], &p.nodes[b.node]
		left := func(w *node, c int) int { return w.Free.Add(group.Need, -min(c, n)).GPUs }
		return cmp.Or(cmp.Compare(wa.Slowdown, wb.Slowdown),
			cmp.Compare(p.packingCost(a.node, group.Need, min(a.count, n)), p.packingCost(b.node, group.Need, min(b.count, n))),
			cmp.Compare(left(wa, a.count), left(wb, b.count)), cmp.Compare(b.count, a.count),
			cmp.Compare(wa.Free.CPUMilli, wb.Free.CPUMilli), cmp.Compare(wa.ID, wb.ID))
	})
	var out []spot
	for _, s := range all {
		s.count = min(s.count, n)
		out = append(out, s)
		if n -= s.count; n == 0 {
			break
		}
	}
	return out
}

// whyWaiting returns the reason for a group that was not placed whole.
func (p *planner) whyWaiting(g int) Reason {
	group := &p.s.Groups[g]
	capable, free := 0, 0
	usable := false
	for n := range p.nodes {
		usable = usable || p.nodes[n].eligible(group)
		capable += p.capacity(g, n)
		if p.nodes[n].eligible(group) {
			free += p.nodes[n].Free.Count(group.Need)
		}
	}
	need := 1
	if group.Gang {
		need = len(group.Tasks)
	}
	switch {
	case !usable:
		return NoWorker
	case capable < need:
		return NeverFits
	case free < need:
		return WaitsForRoom
	case group.SameRack || group.DataRack != "":
		return WaitsForRack
	}
	return WaitsForReserved
}

// reserve keeps room for a gang at the earliest time at which it fits, so that
// smaller work does not take each place that becomes free.
func (p *planner) reserve(g, n int) {
	at, spots := p.earliestSpots(g, n)
	if spots == nil {
		return
	}
	r := reservation{at: at, amount: map[int]workflow.Resources{}}
	for _, s := range spots {
		r.amount[s.node] = workflow.Resources{}.Add(p.s.Groups[g].Need, s.count)
	}
	p.held = append(p.held, r)
}

// earliest returns the time at which n tasks of a group fit if runs end as
// expected; the latest possible time if they never do.
func (p *planner) earliest(g, n int) time.Duration {
	at, spots := p.earliestSpots(g, n)
	if spots == nil {
		return math.MaxInt64
	}
	return at
}

func (p *planner) earliestSpots(g, n int) (time.Duration, []spot) {
	times := p.endTimes()
	spotsAt := func(i int) []spot {
		spots, _ := p.gangSpots(g, n, func(g, node int) int { return p.roomAt(g, node, times[i]) })
		return spots
	}
	// What is free only grows with time, so that the first time is found by halving.
	first := sort.Search(len(times), func(i int) bool { return spotsAt(i) != nil })
	if first == len(times) {
		return 0, nil
	}
	return times[first], spotsAt(first)
}

// roomAt returns how many tasks of the group fit on a node at a time, beside
// what is reserved.
func (p *planner) roomAt(g, n int, at time.Duration) int {
	group, w := &p.s.Groups[g], &p.nodes[n]
	if !w.eligible(group) || w.Probe {
		return 0
	}
	free := p.freeAt(n, at)
	for _, r := range p.held {
		free = free.Add(r.amount[n], -1)
	}
	count := free.Count(group.Need)
	if group.MaxPerWorker > 0 {
		count = min(count, group.MaxPerWorker-group.Present[w.ID])
	}
	return max(count, 0)
}
