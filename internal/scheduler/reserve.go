package scheduler

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Limits of reservations.
const (
	// workersPerReservation is the number of workers for each reservation beyond the
	// first: on n workers, reserveUnplaced adds reservations only until the plan has
	// n/workersPerReservation + 1. With three reservations on 11 workers, so many
	// accelerators were idle that small jobs waited twice as long, and fragmentation
	// did not fall.
	workersPerReservation = 32
	// allowedSlipFactor is the allowed slip as a fraction of the expected run time, and
	// minAllowedSlip its lower limit. A reservation that moves to other cells wastes the
	// accelerators that already became free for it. A promised start that is put off
	// wastes them too: jobs that end before the later start may backfill them.
	allowedSlipFactor = 0.15
	minAllowedSlip    = 5 * time.Minute
)

// allowedSlip returns how much earlier or later the expected start of a reserved job may
// become before its reservation changes. A reservation moves to a place only if the
// job could start there more than allowedSlip earlier. It keeps its promised start as
// long as the expected start is less than allowedSlip later.
func allowedSlip(j *structs.WaitingJob) time.Duration {
	return max(minAllowedSlip, time.Duration(allowedSlipFactor*float64(expectedRunTime(j))))
}

// reserveWaitFactor returns the wait, in multiples of the expected run time, after
// which a job gets a reservation. It falls linearly from 15, if only fragmentation
// counts, to 3, if only completion time counts. It is 6 if completion time weighs three
// times as much as fragmentation, and 12 in the opposite case, in which bursts of small
// jobs wait while accelerators are kept free for reservations. The longest wait of the
// largest job class must stay below 20 expected run times.
func (p *planner) reserveWaitFactor() float64 { return 15 - 12*p.completionWeight }

// gangsOn returns the running gangs with a member on node n.
func (p *planner) gangsOn(n int) []int32 {
	if p.gangsByNode == nil {
		p.gangsByNode = make([][]int32, len(p.state.Nodes))
		for g := range p.snap.Running {
			for _, c := range p.cells(g) {
				p.gangsByNode[c.Node] = append(p.gangsByNode[c.Node], int32(g))
			}
		}
	}
	return p.gangsByNode[n]
}

// gangMask returns the accelerators that gang g uses on node n.
func (p *planner) gangMask(g, n int) uint64 {
	var m uint64
	for _, c := range p.cells(g) {
		if c.Node == n {
			m |= c.Mask
		}
	}
	return m
}

// expectedEnd returns the expected end of gang g. A gang that has run longer than its
// median run time is expected to end halfway between now and its 90th percentile;
// beyond that percentile, after half of the time that it has already run.
func (p *planner) expectedEnd(g int) time.Duration {
	r := &p.snap.Running[g]
	if p.stopping[g] {
		return p.snap.Now + expectedStopTime
	}
	ran := p.snap.Now - r.Started
	median, p90 := r.RunTimeP50, r.RunTimeP90
	if median <= 0 {
		median = r.DeclaredRunTime
	}
	p90 = max(p90, median)
	switch {
	case ran < median:
		return r.Started + median
	case ran < p90:
		return p.snap.Now + (p90-ran)/2 + time.Second
	}
	return p.snap.Now + ran/2 + time.Second
}

// nodeOption is a cell for a member on a node and the earliest time at which it is
// expected to be free.
type nodeOption struct {
	cell packing.Cell
	at   time.Duration
}

// gangEnd is the expected end of a gang.
type gangEnd struct {
	at   time.Duration
	gang int32
}

// earliestPlace returns the place where the shape can start first, and the expected
// start. If moveFor is set, gangs outside their guarantee that may be moved for
// that job count as stopping now.
func (p *planner) earliestPlace(req *packing.Request, moveFor *structs.WaitingJob) ([]packing.Cell, time.Duration) {
	groups := p.state.Groups(req.Shape.Adjacency)
	if groups == nil {
		groups = [][]int32{p.allNodeIndexes()}
	}
	var cells []packing.Cell
	var start time.Duration
	var options []nodeOption
	for _, g := range groups {
		options = options[:0]
		for _, n := range g {
			if o, ok := p.earliestOnNode(req, int(n), moveFor); ok {
				options = append(options, o)
			}
		}
		if len(options) < req.Shape.Workers {
			continue
		}
		slices.SortStableFunc(options, func(a, b nodeOption) int { return cmp.Compare(a.at, b.at) })
		options = options[:req.Shape.Workers]
		groupStart := options[len(options)-1].at
		if cells != nil && groupStart >= start {
			continue
		}
		start, cells = groupStart, make([]packing.Cell, 0, len(options))
		for _, o := range options {
			cells = append(cells, o.cell)
		}
	}
	return cells, start
}

func (p *planner) allNodeIndexes() []int32 {
	if p.nodeIndexes == nil {
		p.nodeIndexes = make([]int32, len(p.state.Nodes))
		for i := range p.nodeIndexes {
			p.nodeIndexes[i] = int32(i)
		}
	}
	return p.nodeIndexes
}

// earliestOnNode releases the node's gangs in the order of their expected ends until a
// member fits.
func (p *planner) earliestOnNode(req *packing.Request, n int, moveFor *structs.WaitingJob) (nodeOption, bool) {
	node := p.state.Nodes[n]
	if node.State != structs.WorkerReady || !packing.Suits(req.Classes, node.Class) || slices.Contains(req.Avoid, node.ID) {
		return nodeOption{}, false
	}
	var held packing.Hold
	if req.Holds != nil {
		held = req.Holds[n]
	}
	ends := p.gangEnds[:0]
	for _, g := range p.gangsOn(n) {
		end := p.snap.Now + expectedStopTime
		if moveFor == nil || !p.movableFor(int(g), moveFor) || p.insideGuarantee(int(g)) {
			end = p.expectedEnd(int(g))
		}
		ends = append(ends, gangEnd{end, g})
	}
	p.gangEnds = ends
	slices.SortFunc(ends, func(a, b gangEnd) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.gang, b.gang)) })
	at := p.snap.Now
	for i := 0; ; i++ {
		if mask, ok := memberMask(&node, &held, req.Shape); ok {
			return nodeOption{packing.Cell{Node: n, Mask: mask}, at}, true
		}
		if i == len(ends) {
			return nodeOption{}, false
		}
		g := int(ends[i].gang)
		at = max(at, ends[i].at)
		s := p.snap.Running[g].Shape
		node.Free |= p.gangMask(g, n) & node.All
		node.Cores += s.CoresMilli
		node.Memory += s.MemoryMB
		node.Slots++
	}
}

// memberMask returns the accelerators that a member of the shape takes on the node;
// ok is false if it does not fit beside the hold.
func memberMask(n *packing.Node, h *packing.Hold, s structs.Shape) (uint64, bool) {
	if n.Cores-h.Cores < s.CoresMilli || n.Memory-h.Memory < s.MemoryMB || n.Slots-h.Slots < 1 {
		return 0, false
	}
	free := n.Free &^ h.Mask
	if !packing.CanTake(free, s.Accelerators, packing.Consecutive(s.Adjacency)) {
		return 0, false
	}
	if !packing.Consecutive(s.Adjacency) || s.Accelerators == 0 {
		return packing.Lowest(free, s.Accelerators), true
	}
	starts := packing.Starts(free, s.Accelerators)
	return packing.AllMask(s.Accelerators) << uint(bits.TrailingZeros64(starts)), true
}

// expectedStart returns when the cells are expected to be free for the job; ok is
// false if the job cannot use them at all.
func (p *planner) expectedStart(j *structs.WaitingJob, cells []packing.Cell) (start time.Duration, ok bool) {
	if len(cells) != j.Shape.Workers {
		return 0, false
	}
	start = p.snap.Now
	for _, c := range cells {
		n := &p.state.Nodes[c.Node]
		if n.State != structs.WorkerReady || slices.Contains(j.Avoid, n.ID) || p.holds != nil && p.holds[c.Node].Mask&c.Mask != 0 {
			return 0, false
		}
		for _, g := range p.gangsOn(c.Node) {
			if p.gangMask(int(g), c.Node)&c.Mask != 0 || !hasRoom(n, j.Shape) {
				start = max(start, p.expectedEnd(int(g)))
			}
		}
	}
	return start, true
}

// hasRoom reports whether the node has the cores, memory and slots for a member.
func hasRoom(n *packing.Node, s structs.Shape) bool {
	return n.Cores >= s.CoresMilli && n.Memory >= s.MemoryMB && n.Slots >= 1
}

// unplacedJob is a waiting job that found no place, with its class. Both are indexes.
type unplacedJob struct {
	classIndex, jobIndex int
	priority             float64
}

// reservationPriority orders the jobs that found no place; higher values go first. It
// grows with the wait and the size of the job, and is 0 for jobs of at most one
// accelerator, for which no gang is moved and no reservation is made. Run times count as
// at least 0.1 s, which prevents a division by 0.
func (p *planner) reservationPriority(j *structs.WaitingJob) float64 {
	if j.Shape.Total() < 2 {
		return 0
	}
	wait, run := (p.snap.Now - j.Submitted).Seconds(), max(expectedRunTime(j).Seconds(), 0.1)
	return (1 + wait/run) * float64(j.Shape.Total())
}

// reservationDue reports whether the job has waited long enough for a reservation.
func (p *planner) reservationDue(j *structs.WaitingJob) bool {
	return (p.snap.Now - j.Submitted).Seconds() > p.reserveWaitFactor()*expectedRunTime(j).Seconds()
}

// reserveUnplaced makes room for the jobs that found no place, by priority: it moves
// smaller gangs if the gain exceeds the cost, and otherwise reserves a place for
// jobs that are due.
func (p *planner) reserveUnplaced() {
	slices.SortStableFunc(p.unplaced, func(a, b unplacedJob) int { return cmp.Compare(b.priority, a.priority) })
	// The gain and cost of a move depend on the shape, so only one job of each shape
	// is considered.
	var consideredShapes []structs.Shape
	for _, cand := range p.unplaced {
		c, i := &p.jobClasses[cand.classIndex], cand.jobIndex
		j := &p.snap.Waiting[i]
		due := p.reservationDue(j) && len(p.reservations) <= len(p.state.Nodes)/workersPerReservation
		if !due && (p.defragmented || slices.Contains(consideredShapes, j.Shape)) {
			continue
		}
		consideredShapes = append(consideredShapes, j.Shape)
		req := p.request(c, j)
		req.Holds = p.holds
		if !j.Idempotent && !j.Checkpointable && !p.ledger.Empty() {
			req.Holds = p.withOtherBlocks(p.holds, c.account)
		}
		cells, start := p.earliestPlace(&req, nil)
		if cells == nil {
			continue
		}
		if p.defragment(c, i, start) {
			p.plan.WaitReasons[j.ID] = structs.WaitReclaim
			continue
		}
		if !due {
			continue
		}
		if cellsWithMove, startWithMove := p.earliestPlace(&req, j); startWithMove < start {
			cells, start = cellsWithMove, startWithMove
		}
		p.addReservation(i, cells, start, false) // no victims are being stopped for it
	}
}

// keepReservations places the jobs that have a reservation from the last plan if they
// can start now, and otherwise renews their reservations. A reservation moves if the job
// could start elsewhere more than allowedSlip earlier.
//
// It skips jobs for which victims were being stopped (Preempting), jobs that can claim an
// unused unit of their account, jobs over quota, and reservations whose cells can no
// longer be used. resumePreempting runs earlier and may already have placed some of
// them or renewed their reservations; the rest lose their reservation and stay queued.
//
// A job with a reservation is alone in its class (see interchangeable), so c.example is
// that job.
func (p *planner) keepReservations() {
	for k := range p.jobClasses {
		c := &p.jobClasses[k]
		if c.example.Reserved == nil || len(c.jobs) == 0 || c.example.Preempting || p.ledger.HasUnusedUnit(c.account, c.example.Shape) {
			continue
		}
		i := int(c.jobs[0].job)
		cells := p.toCells(c.example.Reserved.Members)
		start, ok := p.expectedStart(c.example, cells)
		if !ok || !p.withinQuota(c.account, c.example.Shape) {
			continue
		}
		if p.placeReservedJob(c, cells) {
			continue
		}
		req := p.request(c, c.example)
		req.Holds = p.holds
		promised := c.example.Reserved.Start
		if otherCells, otherStart := p.earliestPlace(&req, c.example); otherCells != nil && start-otherStart > allowedSlip(c.example) {
			cells, start = otherCells, otherStart
		} else if start-promised < allowedSlip(c.example) {
			// With a later start, jobs that end before it would backfill the place at
			// each small slip, and the reserved accelerators would never become free.
			start = min(start, promised)
		}
		c.removeFromQueue()
		// start may assume that other gangs are moved. Compare defragmentation with
		// the start that is possible without a move.
		startWithoutMove := start
		if _, earliest := p.earliestPlace(&req, nil); earliest > start {
			startWithoutMove = earliest
		}
		// preemptOverruns may preempt gangs; the job then needs no defragmentation.
		if !p.preemptOverruns(i, cells) && p.defragment(c, i, startWithoutMove) {
			p.plan.WaitReasons[c.example.ID] = structs.WaitReclaim
			continue
		}
		p.plan.WaitReasons[c.example.ID] = p.shortageReason(c.example.Shape)
		// The reservation does not count as preempting, even if preemptOverruns stops
		// gangs for it: a job that claims a guaranteed unit may still take the cells as
		// a last resort (see placeOrReclaim).
		p.addReservation(i, cells, start, false)
	}
}

// placeReservedJob places the job on its reserved cells if they are free, else anywhere
// it fits, and reports whether it did.
func (p *planner) placeReservedJob(c *jobClass, cells []packing.Cell) bool {
	j := c.example
	if !p.cellsFree(j, cells) {
		req := p.request(c, j)
		req.Holds = p.holds
		if cells = p.chooser.Find(p.state, &req); cells == nil {
			return false
		}
	}
	inside, ok := p.ledger.Place(p.change(c.account, j, cells))
	if !ok {
		return false
	}
	p.addPlacement(c.account, j, cells, inside)
	c.removeFromQueue()
	return true
}

// preemptOverruns preempts the backfilled gangs on cells reserved for waiting job i that
// have run longer than their 90th percentile, provided that no other gang delays
// the job. It reports whether there are such gangs.
func (p *planner) preemptOverruns(i int, cells []packing.Cell) bool {
	var overrunning []int32
	for _, c := range cells {
		for _, g := range p.gangsOn(c.Node) {
			if p.gangMask(int(g), c.Node)&c.Mask == 0 || p.stopping[g] {
				continue
			}
			r := &p.snap.Running[g]
			if !r.Backfilled || p.snap.Now <= r.Started+max(r.RunTimeP90, r.RunTimeP50) || !r.Reclaimable() || p.insideGuarantee(int(g)) {
				return false
			}
			overrunning = append(overrunning, g)
		}
	}
	for _, g := range overrunning {
		if p.stopping[g] {
			continue
		}
		p.stopping[g] = true
		p.plan.Preemptions = append(p.plan.Preemptions, structs.Preemption{
			GangID: p.snap.Running[g].ID, ForJob: p.snap.Waiting[i].ID, Reason: structs.PreemptOverrun,
		})
	}
	return len(overrunning) > 0
}
