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

// place starts the tasks of a group, or records why they wait and reserves capacity for
// them.
func (p *planner) place(g int) {
	group := &p.snap.Groups[g]
	if len(group.Tasks) == 0 {
		return
	}
	if group.Gang {
		p.placeGang(g)
		return
	}
	p.placeSingles(g)
}

// placement is a number of tasks on a node.
type placement struct {
	node, count int
}

// placeSingles starts as many tasks as fit, on nodes near their data first.
func (p *planner) placeSingles(g int) {
	group := &p.snap.Groups[g]
	left := p.startSingles(g, group.Tasks, true, p.slotsNow)
	if group.DataRack != "" && p.remoteWorthwhile(g) {
		left = p.startSingles(g, left, false, p.slotsNow)
	}
	for len(left) > 0 && p.mayUseReserved(g) {
		rest := p.startSingles(g, left[:1], true, p.slotsIgnoringReservations)
		if len(rest) > 0 {
			break
		}
		left = left[1:]
	}
	if len(left) == 0 {
		return
	}
	p.plan.Waits[g] = p.whyWaiting(g)
	p.preempt(g, len(left))
	if w := p.plan.Waits[g]; w != NeverFits && w != WaitsForZone && w != WaitsForStops && len(p.reservations) < maxReservations && group.Need.GPUs >= largeTaskGPUs {
		p.reserve(g, 1)
	}
}

// startSingles starts as many of the tasks as fit, near the group's data or away from it,
// and returns the others. slots returns how many tasks of the group fit on a node.
func (p *planner) startSingles(g int, left []int, near bool, slots func(g, node int) int) []int {
	group := &p.snap.Groups[g]
	candidates := make([]candidate, len(p.nodes))
	for n := range p.nodes {
		candidates[n] = p.candidate(g, n, near, slots)
	}
	for len(left) > 0 {
		n := bestCandidate(candidates)
		if n < 0 {
			break
		}
		p.start(g, left[0], n, p.duration(group, n, false))
		p.countTask(group, n)
		candidates[n] = p.candidate(g, n, near, slots) // free capacity has changed on this node only
		left = left[1:]
	}
	return left
}

// countTask counts a planned task toward the group's limit of tasks on a worker.
func (p *planner) countTask(group *Group, n int) {
	if group.MaxPerWorker == 0 {
		return
	}
	counts := maps.Clone(group.TasksOnWorker) // the map belongs to the caller
	if counts == nil {
		counts = map[string]int{}
	}
	counts[p.nodes[n].ID]++
	group.TasksOnWorker = counts
	p.capacityVersion++
}

// remoteWorthwhile reports whether tasks should run away from their data now rather than
// wait: if they still complete on time that way, if the deadline is missed by more than
// the extra run time even near the data, or if no eligible node is near the data.
func (p *planner) remoteWorthwhile(g int) bool {
	group := &p.snap.Groups[g]
	if group.DataRack == "" || !p.dataRackEligible(g) {
		return true
	}
	extra := time.Duration(float64(group.Expected) * (p.snap.RemotePenalty - 1))
	return p.snap.Now+group.CriticalPath+extra <= group.Deadline || p.snap.Now+group.CriticalPath > group.Deadline+extra
}

// dataRackEligible reports whether an eligible node is in the rack with the group's
// data.
func (p *planner) dataRackEligible(g int) bool {
	return slices.ContainsFunc(p.racks.named(p.snap.Groups[g].DataRack), func(n int) bool { return p.eligible(g, n) })
}

// candidate rates a node for one more task of a group. Nodes with a lower key are
// preferred: faster ones first, then those on which the task leaves less capacity
// unused, so that whole workers stay free for large tasks.
type candidate struct {
	fits bool
	key  [4]float64
}

// candidate rates node n for the group. A node near its data fits only if near is set,
// another one only if it is not.
func (p *planner) candidate(g, n int, near bool, slots func(g, node int) int) candidate {
	group, w := &p.snap.Groups[g], &p.nodes[n]
	if near == remote(group, w.Rack) || slots(g, n) < 1 {
		return candidate{}
	}
	after := w.Free.Add(group.Need, -1)
	if group.Isolation != workflow.IsolationNone {
		return candidate{true, isolatedKey(w)}
	}
	return candidate{true, [4]float64{w.Slowdown, p.packingCost(n, group.Need, 1), float64(after.GPUs), float64(after.CPUMilli)}}
}

// bestCandidate returns the node with the lowest key, or -1 if the task fits on none.
func bestCandidate(candidates []candidate) int {
	best := -1
	for n := range candidates {
		if candidates[n].fits && (best < 0 || slices.Compare(candidates[n].key[:], candidates[best].key[:]) < 0) {
			best = n
		}
	}
	return best
}

// placeGang starts all tasks of a gang together or none.
func (p *planner) placeGang(g int) {
	group := &p.snap.Groups[g]
	need := len(group.Tasks)
	slots := p.slotsNow
	if p.mayUseReserved(g) {
		slots = p.slotsIgnoringReservations
	}
	placements, spread := p.gangPlacements(g, need, slots)
	if placements != nil {
		slowest := time.Duration(0)
		for _, s := range placements {
			slowest = max(slowest, p.duration(group, s.node, spread))
		}
		i := 0
		for _, s := range placements {
			for range s.count {
				p.start(g, group.Tasks[i], s.node, slowest)
				p.countTask(group, s.node)
				i++
			}
		}
		return
	}
	p.plan.Waits[g] = p.whyWaiting(g)
	p.preempt(g, need)
	if w := p.plan.Waits[g]; w != NeverFits && w != WaitsForZone && w != WaitsForStops && len(p.reservations) < maxReservations {
		p.reserve(g, need)
	}
}

// gangPlacements returns placements for n tasks of a group, or nil if they should wait.
// It prefers the rack with the group's data, then any single rack if the group wants
// one, and then several racks if that is worthwhile. spread is true if the tasks are in
// more than one rack. slots returns how many tasks of the group fit on a node.
func (p *planner) gangPlacements(g, n int, slots func(g, node int) int) (placements []placement, spread bool) {
	group := &p.snap.Groups[g]
	if group.DataRack != "" {
		if placements = p.fill(g, n, slots, p.racks.named(group.DataRack)); placements != nil {
			return placements, false
		}
	}
	if group.SameRack || group.DataRack != "" {
		if group.DataRack == "" || p.remoteWorthwhile(g) {
			if placements = p.fillOneRack(g, n, slots); placements != nil {
				return placements, false
			}
		}
		if !p.spreadWorthwhile(g, n) {
			return nil, false
		}
	}
	placements = p.fill(g, n, slots, p.racks.all)
	return placements, placements != nil && p.racks.countRacks(placements) > 1
}

// fitsIn reports whether gangPlacements finds placements for n tasks, given how many fit
// in each rack.
func (p *planner) fitsIn(g, n int, r *slotCounts) bool {
	group := &p.snap.Groups[g]
	if r.total < n {
		return false
	}
	if group.DataRack != "" && r.inRack(p.racks, group.DataRack) >= n {
		return true
	}
	if group.SameRack || group.DataRack != "" {
		if (group.DataRack == "" || p.remoteWorthwhile(g)) && r.mostInRack() >= n {
			return true
		}
		return p.spreadWorthwhile(g, n)
	}
	return true
}

// fillOneRack returns placements in a single rack, the one with the fewest free GPUs in
// which the tasks fit.
func (p *planner) fillOneRack(g, n int, slots func(g, node int) int) []placement {
	var best []placement
	bestFree := 0
	for _, nodes := range p.racks.nodesOf {
		placements := p.fill(g, n, slots, nodes)
		if placements == nil {
			continue
		}
		free := 0
		for _, i := range nodes {
			free += p.nodes[i].Free.GPUs
		}
		if best == nil || free < bestFree {
			best, bestFree = placements, free
		}
	}
	return best
}

// spreadWorthwhile reports whether a group that wants one rack, or the rack of its data,
// should run elsewhere now. It holds its capacity for several times as long there, so
// this must be worth more than waiting for the rack. If both are worth the same, it runs
// elsewhere if it ends sooner that way and either most capacity is idle, so that it
// takes nothing from other work, or the rack will never be free.
func (p *planner) spreadWorthwhile(g, n int) bool {
	if cached, ok := p.spreadCache[g]; ok && cached.tasks == n && cached.capacityVersion == p.capacityVersion {
		return cached.worthwhile
	}
	worthwhile := p.computeSpreadWorthwhile(g, n)
	p.spreadCache[g] = spreadResult{n, p.capacityVersion, worthwhile}
	return worthwhile
}

// spreadResult is a cached result of computeSpreadWorthwhile for a number of tasks.
type spreadResult struct {
	tasks, capacityVersion int
	worthwhile             bool
}

func (p *planner) computeSpreadWorthwhile(g, n int) bool {
	group := &p.snap.Groups[g]
	extra := time.Duration(float64(group.Expected) * (p.snap.RemotePenalty - 1))
	spread, waiting := p.snap.Now+group.CriticalPath+extra, p.earliestRackFit(g, n)+group.CriticalPath
	if a, b := group.WorthAt(spread), group.WorthAt(waiting); a != b {
		return a > b
	}
	if waiting >= never {
		return true
	}
	return (spread < waiting || p.snap.Now-group.ReadyAt >= extra) && p.mostlyIdle()
}

// mostlyIdle reports whether at most half of the workers' capacity is in use.
func (p *planner) mostlyIdle() bool {
	var free workflow.Resources
	for i := range p.nodes {
		if !p.nodes[i].Evacuated {
			free = free.Add(p.nodes[i].Free, 1)
		}
	}
	return free.Add(free, 1).Fits(p.totalCapacity)
}

// mayUseReserved reports whether a group may take capacity that is reserved for work
// ahead of it: most capacity is idle, the group has waited for idleWaitLimit, and it
// leaves as much as it takes.
func (p *planner) mayUseReserved(g int) bool {
	group := &p.snap.Groups[g]
	if len(p.reservations) == 0 || p.snap.Now-group.ReadyAt < idleWaitLimit || !p.mostlyIdle() {
		return false
	}
	need := 1
	if group.Gang {
		need = len(group.Tasks)
	}
	return p.countSlots(g, p.slotsIgnoringReservations).total >= 2*need
}

// earliestRackFit returns the time at which n tasks of a group fit in one rack, or in
// the rack of its data if it has one, assuming that runs end as expected. It returns
// never if they do not fit at any time.
func (p *planner) earliestRackFit(g, n int) time.Duration {
	group := &p.snap.Groups[g]
	times := p.endTimes()
	first := sort.Search(len(times), func(i int) bool {
		r := p.countSlots(g, func(g, node int) int { return p.slotsAt(g, node, times[i]) })
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

// never is later than any real time, and small enough that adding durations does not
// overflow.
const never = math.MaxInt64 / 4

// endTimes returns the expected end times of runs, ascending and without duplicates.
func (p *planner) endTimes() []time.Duration {
	if p.runEndTimes != nil {
		return p.runEndTimes
	}
	times := []time.Duration{}
	for i := range p.snap.Running {
		if t := p.expectedEnd(&p.snap.Running[i]); t < never {
			times = append(times, t)
		}
	}
	slices.Sort(times)
	p.runEndTimes = slices.Compact(times)
	return p.runEndTimes
}

// slotsWhenEmpty returns how many tasks of the group an empty node holds.
func (p *planner) slotsWhenEmpty(g, n int) int {
	group, w := &p.snap.Groups[g], &p.nodes[n]
	if !p.eligible(g, n) {
		return 0
	}
	return group.slotsWhenEmpty(w)
}

// slotsIfReturned returns how many tasks of the group node n would hold when empty if its zone
// was not evacuated; 0 if it is not evacuated.
func (p *planner) slotsIfReturned(g, n int) int {
	group, w := &p.snap.Groups[g], &p.nodes[n]
	if !w.Evacuated || !w.suits(group) {
		return 0
	}
	return group.slotsWhenEmpty(w)
}

// slotsWhenEmpty returns how many tasks of the group the worker holds when empty.
func (g *Group) slotsWhenEmpty(w *node) int {
	count := w.Capacity.Count(g.Need)
	if g.MaxPerWorker > 0 {
		count = min(count, g.MaxPerWorker)
	}
	return count
}

// fill returns placements for n tasks on the given nodes, or nil if they do not fit. It
// prefers healthy and fast nodes, and then those with the least capacity left over.
func (p *planner) fill(g, n int, slots func(g, node int) int, nodes []int) []placement {
	group := &p.snap.Groups[g]
	var all []placement
	total := 0
	for _, i := range nodes {
		if c := slots(g, i); c > 0 {
			all = append(all, placement{i, c})
			total += c
		}
	}
	if total < n {
		return nil
	}
	slices.SortStableFunc(all, func(a, b placement) int {
		wa, wb := &p.nodes[a.node], &p.nodes[b.node]
		left := func(w *node, c int) int { return w.Free.Add(group.Need, -min(c, n)).GPUs }
		return cmp.Or(compareBool(wa.Probe, wb.Probe), cmp.Compare(wa.Slowdown, wb.Slowdown),
			cmp.Compare(p.packingCost(a.node, group.Need, min(a.count, n)), p.packingCost(b.node, group.Need, min(b.count, n))),
			cmp.Compare(left(wa, a.count), left(wb, b.count)), cmp.Compare(b.count, a.count),
			cmp.Compare(wa.Free.CPUMilli, wb.Free.CPUMilli), cmp.Compare(wa.ID, wb.ID))
	})
	var out []placement
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

// whyWaiting returns why tasks of the group could not be placed.
func (p *planner) whyWaiting(g int) Reason {
	group := &p.snap.Groups[g]
	capable, free, evacuated := 0, 0, 0
	usable := false
	for n := range p.nodes {
		capable += p.slotsWhenEmpty(g, n)
		evacuated += p.slotsIfReturned(g, n)
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
	case capable < need && evacuated > 0 && capable+evacuated >= need:
		return WaitsForZone
	case !usable:
		return NoWorker
	case capable < need:
		return NeverFits
	case free < need:
		return WaitsForCapacity
	case group.Isolation != workflow.IsolationNone:
		return WaitsForIdle
	case group.SameRack || group.DataRack != "":
		return WaitsForRack
	}
	return WaitsForReserved
}

// reserve reserves capacity for n tasks of a group at the earliest time at which they
// fit, so that smaller tasks do not keep taking the capacity as it becomes free.
func (p *planner) reserve(g, n int) {
	at, placements := p.earliestPlacements(g, n)
	if placements == nil {
		return
	}
	r := reservation{at: at, amount: map[int]workflow.Resources{}}
	for _, s := range placements {
		r.amount[s.node] = workflow.Resources{}.Add(p.snap.Groups[g].Need, s.count)
	}
	p.reservations = append(p.reservations, r)
	p.capacityVersion++
}

// earliestFit returns the time at which n tasks of a group fit, assuming that runs end
// as expected; math.MaxInt64 if they never do.
func (p *planner) earliestFit(g, n int) time.Duration {
	times := p.endTimes()
	// Free capacity only grows with time, so binary search finds the earliest time.
	first := sort.Search(len(times), func(i int) bool {
		return p.fitsIn(g, n, p.countSlots(g, func(g, node int) int { return p.slotsAt(g, node, times[i]) }))
	})
	if first == len(times) {
		return math.MaxInt64
	}
	return times[first]
}

// earliestPlacements returns the time of earliestFit with the placements at that time,
// or no placements if the tasks never fit.
func (p *planner) earliestPlacements(g, n int) (time.Duration, []placement) {
	at := p.earliestFit(g, n)
	if at == math.MaxInt64 {
		return 0, nil
	}
	placements, _ := p.gangPlacements(g, n, func(g, node int) int { return p.slotsAt(g, node, at) })
	return at, placements
}

// slotsAt returns how many tasks of the group fit on a node at a time, outside of all
// reservations.
func (p *planner) slotsAt(g, n int, at time.Duration) int {
	group, w := &p.snap.Groups[g], &p.nodes[n]
	if !p.eligible(g, n) || w.Probe {
		return 0
	}
	free := p.freeAt(n, at)
	if group.Isolation >= workflow.IsolationWorker && free != w.Capacity {
		return 0
	}
	for _, r := range p.reservations {
		free = free.Add(r.amount[n], -1)
	}
	count := free.Count(group.Need)
	if group.MaxPerWorker > 0 {
		count = min(count, group.MaxPerWorker-group.TasksOnWorker[w.ID])
	}
	return max(count, 0)
}
