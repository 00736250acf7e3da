package bench

import (
	"math/bits"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Policy is a named placement policy: Decide returns a plan for a snapshot.
type Policy struct {
	Name   string
	Decide func(*structs.Snapshot) *structs.Plan
}

// Policies returns the baselines and, last, the scheduler's own policy. The
// baselines ignore accounts, guarantees and learned run times.
func Policies() []Policy {
	return []Policy{
		{"first-fit", func(s *structs.Snapshot) *structs.Plan { return newGreedy(s, false).run(false) }},
		{"backfill", func(s *structs.Snapshot) *structs.Plan { return newGreedy(s, false).run(true) }},
		{"best-fit", func(s *structs.Snapshot) *structs.Plan { return newGreedy(s, true).run(false) }},
		{"parsleypier", scheduler.Schedule},
	}
}

// greedy is a baseline policy that places waiting jobs in the order of arrival.
type greedy struct {
	snap    *structs.Snapshot
	nodes   []node              // sorted by worker ID
	bestFit bool                // choose the placement that leaves the least free, instead of the first
	classes map[string][]string // allowed hardware classes by job kind; empty for all
	plan    *structs.Plan
	groups  map[structs.Adjacency][][]int
}

// node is the free capacity of a worker.
type node struct {
	free, all            uint64 // accelerators, one bit each
	cores, memory, slots int
	ready, probing       bool // probing workers accept one idempotent single-worker job
	worker               *structs.Worker
}

func newGreedy(s *structs.Snapshot, best bool) *greedy {
	g := &greedy{snap: s, bestFit: best, classes: map[string][]string{}, plan: &structs.Plan{}, groups: map[structs.Adjacency][][]int{}}
	for i := range s.Workers {
		w := &s.Workers[i]
		all := uint64(1)<<uint(w.Accelerators) - 1
		g.nodes = append(g.nodes, node{
			free: all &^ w.Busy, all: all, cores: w.CoresMilli - w.CoresUsedMilli, memory: w.MemoryMB - w.MemoryUsedMB, slots: w.Slots - w.SlotsUsed,
			ready: w.State == structs.WorkerReady, probing: w.State == structs.WorkerProbing && w.SlotsUsed == 0, worker: w,
		})
	}
	for i := range s.Kinds {
		g.classes[s.Kinds[i].Name] = s.Kinds[i].Classes
	}
	return g
}

// run places the jobs that fit. With backfill, the first job that does not fit
// gets a reservation based on declared run times. A later job starts only if it
// ends before the reservation begins or uses none of its accelerators (EASY
// backfill).
func (g *greedy) run(backfill bool) *structs.Plan {
	order := make([]*structs.WaitingJob, len(g.snap.Waiting))
	for i := range order {
		order[i] = &g.snap.Waiting[i]
	}
	slices.SortStableFunc(order, func(a, b *structs.WaitingJob) int {
		return int(a.Submitted/time.Millisecond - b.Submitted/time.Millisecond)
	})
	// long is set for jobs that would run into the reservation.
	type failure struct {
		shape structs.Shape
		kind  string
		long  bool
	}
	failed := map[failure]bool{}
	var reserved []structs.MemberPlacement
	var start time.Duration
	for _, j := range order {
		// Free capacity only shrinks during a decision, so a shape that did not
		// fit once cannot fit later.
		long := reserved != nil && g.snap.Now+j.DeclaredRunTime > start
		f := failure{j.Shape, j.Kind, long}
		if failed[f] && len(j.Avoid) == 0 {
			continue
		}
		var members []structs.MemberPlacement
		if long {
			members = g.withReserved(reserved, j, func() []structs.MemberPlacement { return g.find(j) })
		} else {
			members = g.find(j)
		}
		switch {
		case members != nil:
			g.place(members, j)
		case !g.fitsEmptyDomain(j):
			g.plan.Refusals = append(g.plan.Refusals, structs.Refusal{JobID: j.ID, Reason: structs.NeverFits})
		default:
			if backfill && reserved == nil {
				reserved, start = g.reserve(j)
			}
			if len(j.Avoid) == 0 {
				failed[f] = true
			}
		}
	}
	return g.plan
}

// place adds a placement to the plan and marks its resources as in use.
func (g *greedy) place(members []structs.MemberPlacement, j *structs.WaitingJob) {
	probe := false
	for _, m := range members {
		n := g.node(m.Worker)
		probe = probe || n.probing
		n.probing = false
		n.use(m.Accelerators, j.Shape, 1)
	}
	g.plan.Placements = append(g.plan.Placements, structs.Placement{JobID: j.ID, Members: members, Probe: probe})
}

// use takes the resources of one gang member from the free ones, or returns them if
// sign is -1.
func (n *node) use(mask uint64, s structs.Shape, sign int) {
	if sign > 0 {
		n.free &^= mask
	} else {
		n.free |= mask
	}
	n.cores -= sign * s.CoresMilli
	n.memory -= sign * s.MemoryMB
	n.slots -= sign
}

func (g *greedy) node(id string) *node {
	i, ok := slices.BinarySearchFunc(g.nodes, id, func(n node, id string) int { return compare(n.worker.ID, id) })
	if !ok {
		return nil
	}
	return &g.nodes[i]
}

// withReserved calls find with the accelerators of the reserved members marked
// as in use.
func (g *greedy) withReserved(reserved []structs.MemberPlacement, j *structs.WaitingJob, find func() []structs.MemberPlacement) []structs.MemberPlacement {
	saved := slices.Clone(g.nodes)
	for _, m := range reserved {
		g.node(m.Worker).free &^= m.Accelerators
	}
	members := find()
	copy(g.nodes, saved)
	return members
}

// reserve returns where and when the job can start if all gangs end when
// declaredEnd expects them to.
func (g *greedy) reserve(j *structs.WaitingJob) ([]structs.MemberPlacement, time.Duration) {
	type release struct {
		at    time.Duration
		shape structs.Shape
		on    []structs.MemberPlacement
	}
	var ends []release
	for i := range g.snap.Running {
		r := &g.snap.Running[i]
		ends = append(ends, release{declaredEnd(g.snap.Now, r.Started, r.DeclaredRunTime), r.Shape, r.Members})
	}
	for _, pl := range g.plan.Placements {
		for i := range g.snap.Waiting {
			if w := &g.snap.Waiting[i]; w.ID == pl.JobID {
				ends = append(ends, release{g.snap.Now + w.DeclaredRunTime, w.Shape, pl.Members})
			}
		}
	}
	slices.SortStableFunc(ends, func(a, b release) int { return int(a.at/time.Millisecond - b.at/time.Millisecond) })
	saved := slices.Clone(g.nodes)
	defer func() { copy(g.nodes, saved) }()
	for _, e := range ends {
		for _, m := range e.on {
			if n := g.node(m.Worker); n != nil {
				n.use(m.Accelerators, e.shape, -1)
			}
		}
		if members := g.find(j); members != nil {
			return members, e.at
		}
	}
	// The job does not fit even when all gangs have ended, because workers are
	// out of service. Return an empty reservation that never starts.
	return []structs.MemberPlacement{}, 1 << 62
}

// declaredEnd estimates when a gang ends from its declared run time. The estimate
// doubles each time the gang outruns it.
func declaredEnd(now, started, declared time.Duration) time.Duration {
	length := max(declared, time.Second)
	for started+length <= now {
		length *= 2
	}
	return started + length
}

// fitsEmptyDomain reports whether the job fits the domain when nothing runs and
// all workers are ready.
func (g *greedy) fitsEmptyDomain(j *structs.WaitingJob) bool {
	saved := slices.Clone(g.nodes)
	defer func() { copy(g.nodes, saved) }()
	for i := range g.nodes {
		n := &g.nodes[i]
		*n = node{free: n.all, all: n.all, cores: n.worker.CoresMilli, memory: n.worker.MemoryMB, slots: n.worker.Slots, ready: true, worker: n.worker}
	}
	anyWorker := *j
	anyWorker.Avoid = nil
	return g.find(&anyWorker) != nil
}

// adjacencyGroups partitions the workers by rack or zone, as indexes of nodes. A
// gang with the adjacency must stay within one group.
func (g *greedy) adjacencyGroups(a structs.Adjacency) [][]int {
	if cached, ok := g.groups[a]; ok {
		return cached
	}
	index := map[string]int{}
	var out [][]int
	for i := range g.nodes {
		w, key := g.nodes[i].worker, ""
		switch a {
		case structs.AdjacentRack:
			key = w.Region + "/" + w.Zone + "/" + w.Rack
		case structs.AdjacentZone:
			key = w.Region + "/" + w.Zone
		}
		if _, ok := index[key]; !ok {
			index[key] = len(out)
			out = append(out, nil)
		}
		out[index[key]] = append(out[index[key]], i)
	}
	g.groups[a] = out
	return out
}

// find returns a placement for the whole gang, or nil.
func (g *greedy) find(j *structs.WaitingJob) []structs.MemberPlacement {
	var chosen []option
	chosenLeft := 0
	for _, group := range g.adjacencyGroups(j.Shape.Adjacency) {
		var options []option
		for _, i := range group {
			if o, ok := g.fit(i, j); ok {
				options = append(options, o)
			}
			if !g.bestFit && len(options) == j.Shape.Workers {
				return g.members(options)
			}
		}
		if len(options) < j.Shape.Workers {
			continue
		}
		slices.SortStableFunc(options, func(a, b option) int { return a.remaining - b.remaining })
		options = options[:j.Shape.Workers]
		left := 0
		for _, o := range options {
			left += o.remaining
		}
		if chosen == nil || left < chosenLeft {
			chosen, chosenLeft = options, left
		}
	}
	return g.members(chosen)
}

func (g *greedy) members(options []option) []structs.MemberPlacement {
	var out []structs.MemberPlacement
	for _, o := range options {
		out = append(out, structs.MemberPlacement{Worker: g.nodes[o.node].worker.ID, Accelerators: o.mask})
	}
	return out
}

// option is a possible placement of one gang member. Best fit prefers options with a
// low remaining value, which fit computes from what is free on the worker.
type option struct {
	node      int
	mask      uint64
	remaining int
}

// fit returns the placement of one member of the job on worker i, if there is one.
func (g *greedy) fit(i int, j *structs.WaitingJob) (option, bool) {
	n, s := &g.nodes[i], j.Shape
	if !n.ready && !(n.probing && j.Idempotent && s.Workers == 1) || n.cores < s.CoresMilli || n.memory < s.MemoryMB || n.slots < 1 || slices.Contains(j.Avoid, n.worker.ID) {
		return option{}, false
	}
	if classes := g.classes[j.Kind]; len(classes) > 0 && !slices.Contains(classes, n.worker.Class) {
		return option{}, false
	}
	mask, run, ok := g.chooseAccelerators(n.free, s)
	if !ok {
		return option{}, false
	}
	// Best fit prefers the worker with the fewest free accelerators; a tie goes
	// to the shortest run of consecutive free accelerators.
	return option{i, mask, bits.OnesCount64(n.free)*64 + run}, true
}

// chooseAccelerators picks accelerators among the free ones: from the first run of
// consecutive ones that is long enough, or with bestFit from the shortest such run.
// It returns the length of that run.
func (g *greedy) chooseAccelerators(free uint64, s structs.Shape) (mask uint64, run int, ok bool) {
	k := s.Accelerators
	if k == 0 {
		return 0, 0, true
	}
	if bits.OnesCount64(free) < k {
		return 0, 0, false
	}
	for at := 0; at < 64 && free>>uint(at) != 0; {
		at += bits.TrailingZeros64(free >> uint(at))
		length := bits.TrailingZeros64(^(free >> uint(at)))
		if length >= k && (mask == 0 || g.bestFit && length < run) {
			mask, run = (^uint64(0)>>uint(64-k))<<uint(at), length
			if !g.bestFit {
				return mask, run, true
			}
		}
		at += length
	}
	if mask != 0 {
		return mask, run, true
	}
	if s.Adjacency != structs.AdjacentNone && s.Adjacency != "" {
		return 0, 0, false
	}
	for range k { // without adjacency, any free accelerators
		bit := free & -free
		mask |= bit
		free &^= bit
	}
	return mask, 0, true
}
