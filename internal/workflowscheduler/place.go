package workflowscheduler

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
		if !near && !p.remotePays(g) {
			break
		}
		offers := p.offers(g, near)
		for len(left) > 0 {
			n := best(offers)
			if n < 0 {
				break
			}
			p.start(g, left[0], n, p.duration(group, n, false))
			p.note(group, n)
			offers[n] = p.offer(g, n, near) // the others have not changed
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
	p.changes++
}

// remotePays reports whether a run away from the data is worth its longer time:
// it must still be on time, or no run could be.
func (p *planner) remotePays(g int) bool {
	group := &p.s.Groups[g]
	if group.DataRack == "" || !p.rackExists(g) {
		return true
	}
	extra := time.Duration(float64(group.Expected) * (p.s.RemotePenalty - 1))
	return p.s.Now+group.Chain+extra <= group.OnTime || p.s.Now+group.Chain > group.OnTime+extra
}

// rackExists reports whether a node of the rack with the group's data may run it.
func (p *planner) rackExists(g int) bool {
	return slices.ContainsFunc(p.racks.named(p.s.Groups[g].DataRack), func(n int) bool { return p.eligible(g, n) })
}

// offer is what a node offers to one more task of a group: none if it has no room,
// and otherwise a key that is less for a node on which the task leaves less behind,
// so that whole workers stay free for large tasks.
type offer struct {
	room bool
	key  [4]float64
}

// offers returns the offers of all nodes that are near the group's data, or of all
// that are not.
func (p *planner) offers(g int, near bool) []offer {
	out := make([]offer, len(p.nodes))
	for n := range p.nodes {
		out[n] = p.offer(g, n, near)
	}
	return out
}

func (p *planner) offer(g, n int, near bool) offer {
	group, w := &p.s.Groups[g], &p.nodes[n]
	if near == remote(group, w.Rack) || p.room(g, n) < 1 {
		return offer{}
	}
	after := w.Free.Add(group.Need, -1)
	return offer{true, [4]float64{w.Slowdown, p.packingCost(n, group.Need, 1), float64(after.GPUs), float64(after.CPUMilli)}}
}

// best returns the node with the least key; -1 if none has room.
func best(offers []offer) int {
	at := -1
	for n := range offers {
		if offers[n].room && (at < 0 || slices.Compare(offers[n].key[:], offers[at].key[:]) < 0) {
			at = n
		}
	}
	return at
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
		if spots = p.fill(g, n, room, p.racks.named(group.DataRack)); spots != nil {
			return spots, false
		}
	}
	if group.SameRack || group.DataRack != "" {
		if group.DataRack == "" || p.remotePays(g) {
			if spots = p.oneRack(g, n, room); spots != nil {
				return spots, false
			}
		}
		if !p.spreadPays(g, n) {
			return nil, false
		}
	}
	spots = p.fill(g, n, room, p.racks.all)
	return spots, spots != nil && p.racks.count(spots) > 1
}

// enough reports whether gangSpots finds places for n tasks in rooms.
func (p *planner) enough(g, n int, r *rooms) bool {
	group := &p.s.Groups[g]
	if r.total < n {
		return false
	}
	if group.DataRack != "" && r.inRack(p.racks, group.DataRack) >= n {
		return true
	}
	if group.SameRack || group.DataRack != "" {
		if (group.DataRack == "" || p.remotePays(g)) && r.mostInRack() >= n {
			return true
		}
		return p.spreadPays(g, n)
	}
	return true
}

// oneRack returns places in the rack that is left with the least.
func (p *planner) oneRack(g, n int, room func(g, node int) int) []spot {
	var best []spot
	bestFree := 0
	for _, nodes := range p.racks.nodes {
		spots := p.fill(g, n, room, nodes)
		if spots == nil {
			continue
		}
		free := 0
		for _, i := range nodes {
			free += p.nodes[i].Free.GPUs
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
	if known, ok := p.spreads[g]; ok && known.tasks == n && known.changes == p.changes {
		return known.pays
	}
	pays := p.spreadPaysNow(g, n)
	p.spreads[g] = spreadResult{n, p.changes, pays}
	return pays
}

// spreadResult is whether a group of a number of tasks should be spread, at a count
// of changes.
type spreadResult struct {
	tasks, changes int
	pays           bool
}

func (p *planner) spreadPaysNow(g, n int) bool {
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
		r := p.countRooms(g, func(g, node int) int { return p.roomAt(g, node, times[i]) })
		if group.DataRack != "" {
			return r.inRack(p.racks, group.DataRack) >= n
		}
		return r.mostInRack() >= n
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
	if p.times != nil {
		return p.times
	}
	times := []time.Duration{}
	for i := range p.s.Running {
		if t := p.endOf(&p.s.Running[i]); t < never {
			times = append(times, t)
		}
	}
	slices.Sort(times)
	p.times = slices.Compact(times)
	return p.times
}

// capacity returns how many tasks of the group an empty node holds.
func (p *planner) capacity(g, n int) int {
	group, w := &p.s.Groups[g], &p.nodes[n]
	if !p.eligible(g, n) {
		return 0
	}
	count := w.Capacity.Count(group.Need)
	if group.MaxPerWorker > 0 {
		count = min(count, group.MaxPerWorker)
	}
	return count
}

// fill returns places for n tasks on some nodes, using the sound ones that are left
// with the least first; nil if they do not fit.
func (p *planner) fill(g, n int, room func(g, node int) int, nodes []int) []spot {
	group := &p.s.Groups[g]
	var all []spot
	total := 0
	for _, i := range nodes {
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
		return cmp.Or(compareBool(wa.Probe, wb.Probe), cmp.Compare(wa.Slowdown, wb.Slowdown),
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

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// whyWaiting returns the reason for a group that was not placed whole.
func (p *planner) whyWaiting(g int) Reason {
	group := &p.s.Groups[g]
	capable, free := 0, 0
	usable := false
	for n := range p.nodes {
		capable += p.capacity(g, n)
		if p.eligible(g, n) {
			usable = true
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
	p.changes++
}

// earliest returns the time at which n tasks of a group fit if runs end as
// expected; the latest possible time if they never do.
func (p *planner) earliest(g, n int) time.Duration {
	times := p.endTimes()
	// What is free only grows with time, so that the first time is found by halving.
	first := sort.Search(len(times), func(i int) bool {
		return p.enough(g, n, p.countRooms(g, func(g, node int) int { return p.roomAt(g, node, times[i]) }))
	})
	if first == len(times) {
		return math.MaxInt64
	}
	return times[first]
}

func (p *planner) earliestSpots(g, n int) (time.Duration, []spot) {
	at := p.earliest(g, n)
	if at == math.MaxInt64 {
		return 0, nil
	}
	spots, _ := p.gangSpots(g, n, func(g, node int) int { return p.roomAt(g, node, at) })
	return at, spots
}

// roomAt returns how many tasks of the group fit on a node at a time, beside
// what is reserved.
func (p *planner) roomAt(g, n int, at time.Duration) int {
	group, w := &p.s.Groups[g], &p.nodes[n]
	if !p.eligible(g, n) || w.Probe {
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
