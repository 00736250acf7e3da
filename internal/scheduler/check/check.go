// Package check verifies a plan against its snapshot. It shares no code with the
// planner, so that a fault in the planner cannot hide the same fault here.
package check

import (
	"fmt"
	"math/bits"
	"slices"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Violation is a rule that a plan violates, with the detail.
type Violation struct {
	Rule   string
	Detail string
}

// String returns the rule and the detail.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// The rules.
const (
	RuleUnknown     = "unknown"     // job, gang or worker that is not in the snapshot
	RuleDuplicate   = "twice"       // job or gang that is listed twice
	RuleDoubleUse   = "double_use"  // accelerator used by two gangs
	RuleResources   = "resources"   // cores, memory or slots exceeded
	RuleAdjacency   = "adjacency"   // accelerators or workers not adjacent as required
	RulePartialGang = "partial"     // members or accelerators missing or in excess
	RuleWorkerState = "state"       // worker that must not receive the work
	RuleClass       = "class"       // unsuitable hardware class or avoided worker
	RuleQuota       = "quota"       // quota or borrowing limit exceeded
	RuleGuarantee   = "guarantee"   // unused guarantees pack before the plan but not after it
	RulePreemption  = "preemption"  // gang that must not or need not be stopped
	RuleRefusal     = "refusal"     // refusal of a job that can run, or for an unknown reason
	RuleReservation = "reservation" // reservation that cannot hold its job
)

// workerUsage is the capacity in use on a worker, including placements of the plan.
type workerUsage struct {
	worker               *structs.Worker
	busy                 uint64
	cores, memory, slots int
	probes               int
}

// checker holds a plan, indexes of its snapshot and the violations found so far.
type checker struct {
	snap       *structs.Snapshot
	plan       *structs.Plan
	workers    map[string]*workerUsage
	waiting    map[string]*structs.WaitingJob
	gangs      map[string]*structs.RunningGang
	violations []Violation
}

// Plan returns the violations of the plan.
func Plan(s *structs.Snapshot, p *structs.Plan) []Violation {
	c := &checker{
		snap: s, plan: p, workers: map[string]*workerUsage{}, waiting: map[string]*structs.WaitingJob{}, gangs: map[string]*structs.RunningGang{},
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		c.workers[w.ID] = &workerUsage{worker: w, busy: w.Busy, cores: w.CoresUsedMilli, memory: w.MemoryUsedMB, slots: w.SlotsUsed}
	}
	for i := range s.Waiting {
		c.waiting[s.Waiting[i].ID] = &s.Waiting[i]
	}
	for i := range s.Running {
		c.gangs[s.Running[i].ID] = &s.Running[i]
	}
	c.checkPlacements()
	c.checkQuotas()
	c.checkPreemptions()
	c.checkRefusals()
	c.checkReservations()
	c.checkGuarantees()
	return c.violations
}

func (c *checker) fail(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// checkPlacements checks each placement and counts its usage.
func (c *checker) checkPlacements() {
	seen := map[string]bool{}
	for i := range c.plan.Placements {
		pl := &c.plan.Placements[i]
		j := c.waiting[pl.JobID]
		if j == nil {
			c.fail(RuleUnknown, "placement refers to job %s, which is not in the snapshot", pl.JobID)
			continue
		}
		if seen[pl.JobID] {
			c.fail(RuleDuplicate, "job %s is placed twice", pl.JobID)
		}
		seen[pl.JobID] = true
		c.checkGang(j, pl)
		for _, m := range pl.Members {
			c.checkMember(j, pl, m)
		}
	}
}

// checkGang checks the number of members and the adjacency of their workers.
func (c *checker) checkGang(j *structs.WaitingJob, pl *structs.Placement) {
	if len(pl.Members) != j.Shape.Workers {
		c.fail(RulePartialGang, "job %s has %d members, but its shape has %d workers", j.ID, len(pl.Members), j.Shape.Workers)
	}
	ids, racks, zones := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, m := range pl.Members {
		if ids[m.Worker] {
			c.fail(RulePartialGang, "job %s has two members on worker %s", j.ID, m.Worker)
		}
		ids[m.Worker] = true
		if u := c.workers[m.Worker]; u != nil {
			zone := u.worker.Region + "/" + u.worker.Zone
			zones[zone] = true
			racks[zone+"/"+u.worker.Rack] = true
		}
	}
	if j.Shape.Adjacency == structs.AdjacentRack && len(racks) > 1 {
		c.fail(RuleAdjacency, "job %s must be in one rack but spans %d", j.ID, len(racks))
	}
	if j.Shape.Adjacency == structs.AdjacentZone && len(zones) > 1 {
		c.fail(RuleAdjacency, "job %s must be in one zone but spans %d", j.ID, len(zones))
	}
}

// checkMember checks one member and adds it to the usage of its worker.
func (c *checker) checkMember(j *structs.WaitingJob, pl *structs.Placement, m structs.MemberPlacement) {
	u := c.workers[m.Worker]
	if u == nil {
		c.fail(RuleUnknown, "job %s is placed on worker %s, which is not in the snapshot", j.ID, m.Worker)
		return
	}
	if n := bits.OnesCount64(m.Accelerators); n != j.Shape.Accelerators {
		c.fail(RulePartialGang, "job %s has %d accelerators on worker %s, but its shape has %d", j.ID, n, m.Worker, j.Shape.Accelerators)
	}
	if needsConsecutive(j.Shape.Adjacency) && !isConsecutive(m.Accelerators) {
		c.fail(RuleAdjacency, "job %s has accelerators %#x on worker %s, which are not consecutive", j.ID, m.Accelerators, m.Worker)
	}
	if u.worker.Accelerators < 64 && m.Accelerators>>uint(u.worker.Accelerators) != 0 || m.Accelerators&u.busy != 0 {
		c.fail(RuleDoubleUse, "job %s takes accelerators %#x of worker %s, of which %#x are in use", j.ID, m.Accelerators, m.Worker, m.Accelerators&u.busy)
	}
	u.busy |= m.Accelerators
	u.cores += j.Shape.CoresMilli
	u.memory += j.Shape.MemoryMB
	u.slots++
	if u.cores > u.worker.CoresMilli && j.Shape.CoresMilli > 0 || u.memory > u.worker.MemoryMB && j.Shape.MemoryMB > 0 || u.slots > u.worker.Slots {
		c.fail(RuleResources, "job %s leaves worker %s with %d of %d cores, %d of %d MB, %d of %d slots in use",
			j.ID, m.Worker, u.cores, u.worker.CoresMilli, u.memory, u.worker.MemoryMB, u.slots, u.worker.Slots)
	}
	c.checkWorker(j, pl, u)
}

// checkWorker checks that the worker's state and class allow the placement.
func (c *checker) checkWorker(j *structs.WaitingJob, pl *structs.Placement, u *workerUsage) {
	switch {
	case u.worker.State == structs.WorkerReady:
	case u.worker.State == structs.WorkerProbing:
		u.probes++
		if !pl.Probe || !j.Idempotent || u.worker.SlotsUsed > 0 || u.probes > 1 {
			c.fail(RuleWorkerState, "job %s is not a valid probe for worker %s", j.ID, u.worker.ID)
		}
	default:
		c.fail(RuleWorkerState, "job %s is placed on worker %s, which is %s", j.ID, u.worker.ID, u.worker.State)
	}
	if slices.Contains(j.Avoid, u.worker.ID) {
		c.fail(RuleClass, "job %s is placed on worker %s, which it avoids", j.ID, u.worker.ID)
	}
	for i := range c.snap.Kinds {
		if k := &c.snap.Kinds[i]; k.Name == j.Kind && len(k.Classes) > 0 && !slices.Contains(k.Classes, u.worker.Class) {
			c.fail(RuleClass, "job %s of kind %s is placed on a worker of class %s", j.ID, j.Kind, u.worker.Class)
		}
	}
}

func needsConsecutive(a structs.Adjacency) bool {
	return a == structs.AdjacentWorker || a == structs.AdjacentRack || a == structs.AdjacentZone
}

// isConsecutive reports whether the set bits of mask are consecutive.
func isConsecutive(mask uint64) bool {
	if mask == 0 {
		return true
	}
	return bits.TrailingZeros64(mask)+bits.OnesCount64(mask) == 64-bits.LeadingZeros64(mask)
}

// checkQuotas checks the quota and borrowing limit of each account with placements.
func (c *checker) checkQuotas() {
	for i := range c.snap.Accounts {
		a := &c.snap.Accounts[i]
		used, added := 0, 0
		for g := range c.snap.Running {
			if c.snap.Running[g].Account == a.Name {
				used += c.snap.Running[g].Shape.Total()
			}
		}
		for _, pl := range c.plan.Placements {
			if j := c.waiting[pl.JobID]; j != nil && j.Account == a.Name {
				added += j.Shape.Total()
			}
		}
		if added == 0 {
			continue
		}
		if q := a.Quota.Accelerators; q > 0 && used+added > q {
			c.fail(RuleQuota, "account %s uses %d accelerators, above its quota of %d", a.Name, used+added, q)
		}
		guaranteed := 0
		for _, u := range unitsOf(c.snap, i) {
			guaranteed += u.Total()
		}
		if l := a.Quota.BorrowingLimit; l != nil && used+added > guaranteed+*l {
			c.fail(RuleQuota, "account %s uses %d accelerators, above its guarantee of %d plus its borrowing limit of %d", a.Name, used+added, guaranteed, *l)
		}
	}
}

// checkRefusals checks that refused jobs cannot run and are not placed.
func (c *checker) checkRefusals() {
	for _, r := range c.plan.Refusals {
		j := c.waiting[r.JobID]
		if j == nil {
			c.fail(RuleUnknown, "refusal refers to job %s, which is not in the snapshot", r.JobID)
			continue
		}
		for _, pl := range c.plan.Placements {
			if pl.JobID == r.JobID {
				c.fail(RuleRefusal, "job %s is placed and refused", r.JobID)
			}
		}
		switch r.Reason {
		case structs.DeadlineMissed:
			if j.Deadline == 0 || j.Deadline >= c.snap.Now+max(j.RunTimeP50, j.DeclaredRunTime) {
				c.fail(RuleRefusal, "job %s is refused although it can meet its deadline", r.JobID)
			}
		case structs.NeverFits:
			if c.fitsEmpty(j) {
				c.fail(RuleRefusal, "job %s is refused although it fits on empty hardware", r.JobID)
			}
		default:
			c.fail(RuleRefusal, "job %s is refused for the unknown reason %s", r.JobID, r.Reason)
		}
	}
}

// fitsEmpty reports whether the job fits on the empty hardware and within its account's
// quota.
func (c *checker) fitsEmpty(j *structs.WaitingJob) bool {
	var classes []string
	for i := range c.snap.Kinds {
		if c.snap.Kinds[i].Name == j.Kind {
			classes = c.snap.Kinds[i].Classes
		}
	}
	for i := range c.snap.Accounts {
		a := &c.snap.Accounts[i]
		if a.Name == j.Account && a.Quota.Accelerators > 0 && j.Shape.Total() > a.Quota.Accelerators {
			return false
		}
	}
	count := map[string]int{}
	for i := range c.snap.Workers {
		w := &c.snap.Workers[i]
		if w.Accelerators < j.Shape.Accelerators || w.CoresMilli < j.Shape.CoresMilli || w.MemoryMB < j.Shape.MemoryMB || w.Slots < 1 {
			continue
		}
		if len(classes) > 0 && !slices.Contains(classes, w.Class) {
			continue
		}
		group := ""
		switch j.Shape.Adjacency {
		case structs.AdjacentRack:
			group = w.Region + "/" + w.Zone + "/" + w.Rack
		case structs.AdjacentZone:
			group = w.Region + "/" + w.Zone
		}
		if count[group]++; count[group] >= j.Shape.Workers {
			return true
		}
	}
	return false
}

// checkReservations checks that reservations match the shapes of their jobs.
func (c *checker) checkReservations() {
	seen := map[string]bool{}
	for i := range c.plan.Reservations {
		r := &c.plan.Reservations[i]
		j := c.waiting[r.JobID]
		if j == nil {
			c.fail(RuleUnknown, "reservation refers to job %s, which is not in the snapshot", r.JobID)
			continue
		}
		if seen[r.JobID] {
			c.fail(RuleDuplicate, "job %s has two reservations", r.JobID)
		}
		seen[r.JobID] = true
		for _, pl := range c.plan.Placements {
			if pl.JobID == r.JobID {
				c.fail(RuleReservation, "job %s is placed and has a reservation", r.JobID)
			}
		}
		c.checkGang(j, &structs.Placement{JobID: j.ID, Members: r.Members})
		for _, m := range r.Members {
			if bits.OnesCount64(m.Accelerators) != j.Shape.Accelerators || needsConsecutive(j.Shape.Adjacency) && !isConsecutive(m.Accelerators) {
				c.fail(RuleReservation, "reservation for job %s has accelerators %#x on worker %s, which do not match its shape", j.ID, m.Accelerators, m.Worker)
			}
		}
	}
}
