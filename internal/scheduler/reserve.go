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
	// workersPerReservation bounds the number of reservations by the number of
	// workers. With three reservations on 11 workers, so many accelerators were
	// idle that small jobs waited twice as long, and fragmentation did not fall.
	workersPerReservation = 32
	// allowedSlipFactor is the fraction of the expected run time by which the start
	// may slip before the reservation is reconsidered; minAllowedSlip is the lower
	// limit of the slip. Moving a reservation loses the accelerators that already
	// drained for it. So does a later start, because new work is let in before it.
	allowedSlipFactor = 0.15
	minAllowedSlip    = 5 * time.Minute
)

// allowedSlip returns how much later than promised the reserved start of the job may
// become before the reservation is reconsidered.
func allowedSlip(j *structs.WaitingJob) time.Duration {
	return max(minAllowedSlip, time.Duration(allowedSlipFactor*float64(expectedRunTime(j))))
}

// reserveWaitFactor returns the wait, in multiples of the expected run time, after
// which a job gets a reservation. It is 6 if completion time weighs three times as
// much as fragmentation, and 12 in the opposite case, in which bursts of small jobs
// wait while accelerators drain for reservations. The longest wait of the largest
// job class must stay below 20 expected run times.
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
	median, decile := r.RunTimeP50, r.RunTimeP90
	if median <= 0 {
		median = r.DeclaredRunTime
	}
	decile = max(decile, median)
	switch {
	case ran < median:
		return r.Started + median
	case ran < decile:
		return p.snap.Now + (decile-ran)/2 + time.Second
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
		at := options[len(options)-1].at
		if cells != nil && at >= start {
			continue
		}
		start, cells = at, make([]packing.Cell, 0, len(options))
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
// accelerator, for which no gang is moved and no reservation is made.
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
		if cellsWithMove, at := p.earliestPlace(&req, j); at < start {
			cells, start = cellsWithMove, at
		}
		p.addReservation(i, cells, start, false)
	}
}

// keepReservations renews the reservations of the last plan. A job that can start now
// is placed. A reservation moves if another place becomes free much earlier.
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
		if p.startReserved(c, cells) {
			continue
		}
		req := p.request(c, c.example)
		req.Holds = p.holds
		promised := c.example.Reserved.Start
		if otherCells, at := p.earliestPlace(&req, c.example); otherCells != nil && start-at > allowedSlip(c.example) {
			cells, start = otherCells, at
		} else if start-promised < allowedSlip(c.example) {
			// Keep the promised start if it slipped only a little. A later start
			// would let new work backfill, and the place would never drain.
			start = min(start, promised)
		}
		c.close()
		// start may assume that other gangs are moved. Compare defragmentation with
		// the start that is possible without a move.
		startWithoutMove := start
		if _, at := p.earliestPlace(&req, nil); at > start {
			startWithoutMove = at
		}
		if !p.stopOverruns(i, cells) && p.defragment(c, i, startWithoutMove) {
			p.plan.WaitReasons[c.example.ID] = structs.WaitReclaim
			continue
		}
		p.plan.WaitReasons[c.example.ID] = p.shortageReason(c.example.Shape)
		p.addReservation(i, cells, start, false)
	}
}

// startReserved places the job on its reserved cells if they are free, else anywhere
// it fits, and reports whether it did.
func (p *planner) startReserved(c *jobClass, cells []packing.Cell) bool {
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
	c.close()
	return true
}

// stopOverruns preempts the backfilled gangs on cells reserved for waiting job i that
// have run longer than their 90th percentile, provided that no other gang delays
// the job. It reports whether there are such gangs.
func (p *planner) stopOverruns(i int, cells []packing.Cell) bool {
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
