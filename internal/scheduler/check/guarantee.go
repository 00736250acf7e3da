package check

import (
	"math/bits"
	"slices"
	"sort"
	"strings"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// maxSearchSteps bounds the search for a packing. If the steps run out, the result is
// unknown and no violation is reported.
const maxSearchSteps = 200_000

// unitsOf returns the guaranteed units of account i in the domain, as shapes.
func unitsOf(s *structs.Snapshot, i int) []structs.Shape {
	a := &s.Accounts[i]
	var units []structs.Shape
	for _, g := range a.Guarantee {
		domain := g.Domain
		if domain == "" && len(a.Domains) > 0 {
			domain = a.Domains[0]
		}
		for n := 0; domain == s.Domain && n < max(1, g.Count); n++ {
			units = append(units, g.Shape)
		}
	}
	return units
}

// unitsOfAccount returns the guaranteed units of the named account in the domain.
func (c *checker) unitsOfAccount(account string) []structs.Shape {
	for i := range c.snap.Accounts {
		if c.snap.Accounts[i].Name == account {
			return unitsOf(c.snap, i)
		}
	}
	return nil
}

// usesUnit reports whether a gang of the shape can use the guaranteed unit.
func usesUnit(unit, gang structs.Shape) bool {
	if unit.Workers != gang.Workers || unit.Accelerators != gang.Accelerators ||
		unit.CoresMilli > 0 && gang.CoresMilli > unit.CoresMilli || unit.MemoryMB > 0 && gang.MemoryMB > unit.MemoryMB {
		return false
	}
	allowed := map[structs.Adjacency]string{
		"": "none", structs.AdjacentNone: "none", structs.AdjacentWorker: "none worker",
		structs.AdjacentZone: "none worker zone", structs.AdjacentRack: "none worker zone rack",
	}
	name := string(gang.Adjacency)
	if name == "" {
		name = "none"
	}
	return slices.Contains(strings.Fields(allowed[unit.Adjacency]), name)
}

// gang is a running gang or a placement of the plan.
type gang struct {
	account     string
	shape       structs.Shape
	members     []structs.MemberPlacement
	reclaimable bool
	stopping    bool
	started     int64
}

// checkGuarantees checks that the unused guarantees pack after the plan if they packed
// before it.
func (c *checker) checkGuarantees() {
	before := c.runningGangs()
	if fits, known := c.unusedGuaranteesPack(before); !known || !fits {
		return
	}
	after := before
	for _, pl := range c.plan.Placements {
		if j := c.waiting[pl.JobID]; j != nil {
			after = append(after, gang{
				account: j.Account, shape: j.Shape, members: pl.Members,
				reclaimable: j.Idempotent || j.Checkpointable, started: int64(c.snap.Now),
			})
		}
	}
	if fits, known := c.unusedGuaranteesPack(after); known && !fits {
		c.fail(RuleGuarantee, "the unused guarantees no longer pack after %d placements", len(c.plan.Placements))
	}
}

func (c *checker) runningGangs() []gang {
	var out []gang
	for i := range c.snap.Running {
		g := &c.snap.Running[i]
		out = append(out, gang{
			account: g.Account, shape: g.Shape, members: g.Members,
			reclaimable: g.Reclaimable(), stopping: g.Stopping, started: int64(g.Started),
		})
	}
	return out
}

// workerCapacity is the capacity of a worker for unused guaranteed units.
type workerCapacity struct {
	worker    *structs.Worker
	available uint64 // accelerators that are free, or used by a reclaimable or stopping gang
	// ownGangs lists the non-reclaimable gangs on the worker. Only units of the same
	// account may overlap them.
	ownGangs             []ownGang
	cores, memory, slots int
}

// ownGang is the part of a non-reclaimable gang on one worker.
type ownGang struct {
	account string
	mask    uint64
	shape   structs.Shape
	slots   int
}

// unusedUnit is a guaranteed unit that no gang uses.
type unusedUnit struct {
	account string
	shape   structs.Shape
}

// unusedGuaranteesPack reports whether the unused guarantees pack beside the gangs.
// known is false if the search ran out of steps.
func (c *checker) unusedGuaranteesPack(gangs []gang) (fits, known bool) {
	units, inUse := c.unusedUnits(gangs)
	workers, workersByID := []*workerCapacity{}, map[string]*workerCapacity{}
	for i := range c.snap.Workers {
		w := &c.snap.Workers[i]
		if w.State != structs.WorkerReady {
			continue
		}
		r := &workerCapacity{worker: w, available: lowMask(w.Accelerators), cores: w.CoresMilli - w.CoresUsedMilli, memory: w.MemoryMB - w.MemoryUsedMB, slots: w.Slots - w.SlotsUsed}
		r.available &^= w.Busy
		workers = append(workers, r)
		workersByID[w.ID] = r
	}
	for i, h := range gangs {
		for _, m := range h.members {
			if r := workersByID[m.Worker]; r != nil {
				r.addGang(&gangs[i], m.Accelerators, inUse[i], i >= len(c.snap.Running))
			}
		}
	}
	s := &packingSearch{workers: workers, units: units, steps: maxSearchSteps}
	fits = s.placeUnit(0)
	return fits, fits || s.steps > 0
}

// addGang accounts for the gang's member on the worker. The snapshot's usage already
// includes running gangs; added is set for placements of the plan, which it does not
// include.
func (r *workerCapacity) addGang(h *gang, mask uint64, inUse, added bool) {
	if added {
		r.available &^= mask
		r.cores -= h.shape.CoresMilli
		r.memory -= h.shape.MemoryMB
		r.slots--
	}
	switch {
	case inUse:
	case h.stopping || h.reclaimable:
		r.available |= mask
		r.cores += h.shape.CoresMilli
		r.memory += h.shape.MemoryMB
		r.slots++
	default:
		r.ownGangs = append(r.ownGangs, ownGang{account: h.account, mask: mask, shape: h.shape, slots: 1})
	}
}

// lowMask returns a mask of the n lowest bits.
func lowMask(n int) uint64 {
	var m uint64
	for i := range n {
		m |= 1 << uint(i)
	}
	return m
}

// unusedUnits matches gangs to guaranteed units: non-reclaimable gangs first, then the
// oldest. It returns the units left over and which gangs were matched.
func (c *checker) unusedUnits(gangs []gang) ([]unusedUnit, []bool) {
	var units []unusedUnit
	for i := range c.snap.Accounts {
		for _, u := range unitsOf(c.snap, i) {
			units = append(units, unusedUnit{c.snap.Accounts[i].Name, u})
		}
	}
	idx := make([]int, len(gangs))
	for i := range idx {
		idx[i] = i
	}
	sort.SliceStable(idx, func(a, b int) bool {
		x, y := &gangs[idx[a]], &gangs[idx[b]]
		if x.reclaimable != y.reclaimable {
			return !x.reclaimable
		}
		return x.started < y.started
	})
	inUse := make([]bool, len(gangs))
	for _, i := range idx {
		h := &gangs[i]
		if h.stopping {
			continue
		}
		at := slices.IndexFunc(units, func(u unusedUnit) bool { return u.account == h.account && usesUnit(u.shape, h.shape) })
		if at >= 0 {
			inUse[i] = true
			units = slices.Delete(units, at, at+1)
		}
	}
	sort.SliceStable(units, func(a, b int) bool { return units[a].shape.Total() > units[b].shape.Total() })
	return units, inUse
}

// packingSearch is a depth-first search over all places of all units.
type packingSearch struct {
	workers []*workerCapacity
	units   []unusedUnit
	steps   int
}

// placeUnit places unit n and all units after it.
func (s *packingSearch) placeUnit(n int) bool {
	if n == len(s.units) {
		return true
	}
	return s.placeMember(n, 0, 0, nil)
}

// placeMember places the member of unit n with the given rank on a worker at position
// from or later, then all members and units after it. first is the worker of rank 0.
func (s *packingSearch) placeMember(n, rank, from int, first *workerCapacity) bool {
	u := &s.units[n]
	if rank == u.shape.Workers {
		return s.placeUnit(n + 1)
	}
	for i := from; i < len(s.workers); i++ {
		r := s.workers[i]
		if s.steps--; s.steps <= 0 {
			return false
		}
		if first != nil && !adjacent(u.shape.Adjacency, first.worker, r.worker) {
			continue
		}
		head := first
		if head == nil {
			head = r
		}
		for _, mask := range r.candidateMasks(u) {
			saved := *r
			saved.ownGangs = slices.Clone(r.ownGangs)
			if r.takeMember(u, mask) && s.placeMember(n, rank+1, i+1, head) {
				return true
			}
			*r = saved
		}
	}
	return false
}

// adjacent reports whether members of a gang with adjacency a may be on x and y.
func adjacent(a structs.Adjacency, x, y *structs.Worker) bool {
	switch a {
	case structs.AdjacentRack:
		return x.Region == y.Region && x.Zone == y.Zone && x.Rack == y.Rack
	case structs.AdjacentZone:
		return x.Region == y.Region && x.Zone == y.Zone
	}
	return true
}

// candidateMasks returns the masks of accelerators that a member of the unit can take
// on the worker: available ones and those of its account's own gangs.
func (r *workerCapacity) candidateMasks(u *unusedUnit) []uint64 {
	avail := r.available
	for _, o := range r.ownGangs {
		if o.account == u.account {
			avail |= o.mask
		}
	}
	k := u.shape.Accelerators
	if k == 0 {
		return []uint64{0}
	}
	if !needsConsecutive(u.shape.Adjacency) {
		return anyMask(avail, k, avail&^r.available)
	}
	var out []uint64
	for at := 0; at+k <= 64; at++ {
		if m := lowMask(k) << uint(at); avail&m == m {
			out = append(out, m)
		}
	}
	return out
}

// anyMask returns one mask of k bits of avail, preferably those in own, or nothing if
// there are too few.
func anyMask(avail uint64, k int, own uint64) []uint64 {
	if bits.OnesCount64(avail) < k {
		return nil
	}
	var m uint64
	for _, from := range []uint64{own, avail &^ own} {
		for i := 0; i < 64 && bits.OnesCount64(m) < k; i++ {
			m |= from & (1 << uint(i))
		}
	}
	return []uint64{m}
}

// takeMember takes the capacity for a member of the unit on mask, and reports whether
// it suffices. Resources of the account's own gangs that overlap mask count towards
// the member's.
func (r *workerCapacity) takeMember(u *unusedUnit, mask uint64) bool {
	cores, memory, slots := u.shape.CoresMilli, u.shape.MemoryMB, 1
	for i := range r.ownGangs {
		o := &r.ownGangs[i]
		if o.account == u.account && o.mask&mask != 0 {
			cores -= o.shape.CoresMilli
			memory -= o.shape.MemoryMB
			slots -= o.slots
			o.mask &^= mask
			o.shape.CoresMilli, o.shape.MemoryMB, o.slots = 0, 0, 0
		}
	}
	r.available &^= mask
	r.cores -= max(0, cores)
	r.memory -= max(0, memory)
	r.slots -= max(0, slots)
	return r.cores >= 0 && r.memory >= 0 && r.slots >= 0
}
