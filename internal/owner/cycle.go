package owner

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// runSchedulingCycle takes a snapshot, schedules on it without holding o.mu, and
// applies the part of the plan that still fits.
func (o *Owner) runSchedulingCycle() {
	m := o.cfg.Manifests.Current()
	if m == nil {
		return
	}
	o.mu.Lock()
	if o.stopped || o.draining || o.recovering {
		o.mu.Unlock()
		return
	}
	o.refuseUnlistedJobs(m)
	snapshot := o.snapshot(m)
	o.mu.Unlock()
	if len(snapshot.Waiting) == 0 {
		return
	}
	started := time.Now()
	plan := o.cfg.Schedule(snapshot)
	counters.Add("cycles", 1)
	counters.Add("cycle_ns", int64(time.Since(started)))
	o.apply(plan)
}

// refuseUnlistedJobs refuses waiting jobs whose account or kind was removed from
// the manifest. The caller holds o.mu.
func (o *Owner) refuseUnlistedJobs(m *structs.Manifest) {
	for _, j := range o.queue {
		if !j.queued() {
			continue
		}
		switch {
		case m.Account(j.rec.Spec.Account) == nil:
			o.refuse(j, verdict.Refuse(verdict.CodeUnknownAccount, "client account %q left the manifest in version %d or before", j.rec.Spec.Account, m.Version))
		case m.Kind(j.rec.Spec.Kind) == nil:
			o.refuse(j, verdict.Refuse(verdict.CodeUnknownKind, "job kind %q left the manifest in version %d or before", j.rec.Spec.Kind, m.Version))
		}
	}
}

// refuse ends a waiting job. The job becomes refused if it has never run, and
// failed if an earlier attempt may have run. The caller holds o.mu.
func (o *Owner) refuse(j *job, cause *verdict.Error) {
	refusalCounts.Add(string(cause.Code), 1)
	state := structs.JobRefused
	if j.mayHaveRun {
		state = structs.JobFailed
	}
	o.setState(j, state, verdict.NotRun, cause)
	o.persist(j)
}

// snapshot returns the scheduler's input. It leaves out queued jobs before their
// notBefore, and held jobs (see isHeld) unless newHoldExemption exempts them. While the
// platform is down it also leaves out non-idempotent jobs, since the attempt mark, the
// row that records an attempt before it starts, could not be written; idempotent jobs
// are placed all the same, since running one twice does no harm. The caller holds o.mu.
func (o *Owner) snapshot(m *structs.Manifest) *structs.Snapshot {
	s := &structs.Snapshot{
		Now: o.now(), Domain: o.cfg.Domain, Weights: m.Weights, Kinds: m.Kinds,
		UrgentStart: structs.Seconds(cmp.Or(m.Limits.UrgentStartSeconds, structs.DefaultUrgentStartSeconds)),
	}
	for _, a := range m.Accounts {
		if slices.Contains(a.Domains, o.cfg.Domain) {
			s.Accounts = append(s.Accounts, a)
		}
	}
	slices.SortFunc(s.Accounts, func(a, b structs.Account) int { return cmp.Compare(a.Name, b.Name) })
	s.Workers = append(o.workerSnapshots(), o.missingWorkers(m)...)
	slices.SortFunc(s.Workers, func(a, b structs.Worker) int { return cmp.Compare(a.ID, b.ID) })
	s.Speeds = o.speeds(m.Kinds, s.Workers)
	preempting := map[string]bool{}
	for _, g := range o.gangs {
		s.Running = append(s.Running, g.snapshot(o))
		if g.preempting && !o.rank0Silent(g) {
			preempting[g.preemptingFor] = true
		}
	}
	slices.SortFunc(s.Running, func(a, b structs.RunningGang) int { return cmp.Compare(a.ID, b.ID) })
	platformDown := o.cfg.Health() == platformclient.HealthDown
	exempt := func(*job) bool { return true }
	if len(o.awaitedAgents) > 0 {
		exempt = o.newHoldExemption(m)
	}
	for _, j := range o.queue {
		if !j.queued() || j.notBefore > s.Now {
			continue
		}
		if platformDown && !j.rec.Idempotent {
			continue // the attempt mark could not be written
		}
		if o.isHeld(j) && !exempt(j) {
			continue
		}
		w := o.waitingSnapshot(j)
		w.Preempting = preempting[w.ID]
		s.Waiting = append(s.Waiting, w)
	}
	slices.SortFunc(s.Waiting, func(a, b structs.WaitingJob) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// speeds returns the learned speed of each kind on each worker class. The caller
// holds o.mu.
func (o *Owner) speeds(kinds []structs.Kind, workers []structs.Worker) map[string]map[string]float64 {
	classes := map[string]bool{}
	for i := range workers {
		classes[workers[i].Class] = true
	}
	speeds := make(map[string]map[string]float64, len(kinds))
	for _, k := range kinds {
		speeds[k.Name] = make(map[string]float64, len(classes))
		for class := range classes {
			speeds[k.Name][class] = o.runtimes.Speed(k.Name, class)
		}
	}
	return speeds
}

// waitingSnapshot returns the scheduler's view of a waiting job. The caller holds
// o.mu.
func (o *Owner) waitingSnapshot(j *job) structs.WaitingJob {
	w := structs.WaitingJob{
		ID: j.rec.ID, Account: j.rec.Spec.Account, Kind: j.rec.Spec.Kind,
		Shape: j.rec.Shape, Urgency: j.rec.Urgency, Submitted: j.submitted,
		Deadline: j.deadline, DeclaredRunTime: structs.Seconds(j.rec.RunSeconds),
		Idempotent: j.rec.Idempotent, Checkpointable: j.rec.Checkpointable,
		Avoid: j.avoid, Reserved: j.reservation,
	}
	w.RunTimeP50, w.RunTimeP90 = o.runtimes.Quantiles(w.Account, w.Kind, w.DeclaredRunTime)
	return w
}

// workerSnapshots returns the known workers with the resources that gangs use.
// The caller holds o.mu.
func (o *Owner) workerSnapshots() []structs.Worker {
	now := o.now()
	workers := make([]structs.Worker, 0, len(o.agents))
	index := make(map[string]int, len(o.agents))
	ids := make([]string, 0, len(o.agents))
	for id := range o.agents {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		info := o.agents[id].info
		index[id] = len(workers)
		workers = append(workers, structs.Worker{
			ID: id, Domain: info.Domain, Region: info.Region, Zone: info.Zone,
			Rack: info.Rack, Class: info.Class, State: o.workerState(id, now),
			WorkerCapacity: info.WorkerCapacity,
		})
	}
	for _, g := range o.gangs {
		for _, m := range g.desc.Members {
			if i, ok := index[m.AgentID]; ok {
				w := &workers[i]
				w.Busy |= m.Accelerators
				w.CoresUsedMilli += g.desc.CoresMilli
				w.MemoryUsedMB += g.desc.MemoryMB
				w.SlotsUsed++
			}
		}
	}
	for i := range workers {
		o.agents[workers[i].ID].addUsage(&workers[i])
	}
	return workers
}

// addUsage raises the resources that the gangs declared to those that the worker
// reports as used, because declared sizes are often too low. It ignores a report
// older than lastFreedAt, because it may include resources that are free now.
func (a *agent) addUsage(w *structs.Worker) {
	if a.usageAt <= a.lastFreedAt || w.SlotsUsed == 0 {
		return
	}
	w.CoresUsedMilli = max(w.CoresUsedMilli, min(a.usage.CoresMilli, w.CoresMilli))
	w.MemoryUsedMB = max(w.MemoryUsedMB, min(a.usage.MemoryMB, w.MemoryMB))
}

// missingWorkers returns the workers that the manifest declares and whose agents
// are not known, in state lost. A shape that fits only on them then waits instead
// of being refused as one that never fits. The caller holds o.mu.
func (o *Owner) missingWorkers(m *structs.Manifest) []structs.Worker {
	type location struct{ zone, rack, class string }
	known := map[location]int{}
	for _, a := range o.agents {
		known[location{a.info.Zone, a.info.Rack, a.info.Class}]++
	}
	var missing []structs.Worker
	for _, h := range m.Hardware {
		p := location{h.Zone, h.Rack, h.Class}
		if h.Domain != o.cfg.Domain {
			continue
		}
		for i := known[p]; i < h.Workers; i++ {
			missing = append(missing, structs.Worker{
				ID:     fmt.Sprintf("missing/%s/%s/%s/%d", h.Zone, h.Rack, h.Class, i),
				Domain: h.Domain, Region: h.Region, Zone: h.Zone, Rack: h.Rack, Class: h.Class,
				State: structs.WorkerLost, WorkerCapacity: h.WorkerCapacity,
			})
		}
		known[p] = max(0, known[p]-h.Workers)
	}
	return missing
}

// apply executes a plan. Each part is checked against the current state, which
// may have changed since the snapshot; a part that no longer fits is left to the
// next cycle.
func (o *Owner) apply(plan *structs.Plan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped || o.draining {
		return
	}
	o.waitReasons = plan.WaitReasons
	for _, r := range plan.Refusals {
		o.applyRefusal(r)
	}
	reserved := make(map[string]*structs.Reservation, len(plan.Reservations))
	for i := range plan.Reservations {
		reserved[plan.Reservations[i].JobID] = &plan.Reservations[i]
	}
	for id, j := range o.queue {
		if j.queued() {
			j.reservation = reserved[id]
		}
	}
	for _, p := range plan.Preemptions {
		o.applyPreemption(p)
	}
	for _, p := range plan.Placements {
		o.applyPlacement(p)
	}
}

// applyRefusal ends a waiting job that the plan refuses. The caller holds o.mu.
func (o *Owner) applyRefusal(r structs.Refusal) {
	j := o.jobs[r.JobID]
	if j == nil || !j.queued() {
		return
	}
	code := verdict.CodeNeverFits
	if r.Reason == structs.DeadlineMissed {
		code = verdict.CodeDeadline
	}
	if r.Reason == structs.WaitQuota {
		code = verdict.CodeOverQuota
	}
	// A job with an earlier attempt, for example one that was preempted, has run
	// in part.
	cause := verdict.Refuse(code, "%s", cmp.Or(r.Detail, string(r.Reason)))
	if j.rec.Attempt > 0 {
		cause = cause.WithVerdict(verdict.MayHaveRun)
		refusalCounts.Add(string(code), 1)
		o.setState(j, structs.JobFailed, verdict.MayHaveRun, cause)
		o.persist(j)
		return
	}
	o.refuse(j, cause)
}

// applyPlacement creates the gang of a placement that still fits, and starts to
// dispatch it. The caller holds o.mu.
func (o *Owner) applyPlacement(p structs.Placement) {
	j := o.jobs[p.JobID]
	if j == nil || !j.queued() || !o.stillFits(p, j) {
		counters.Add("placements_stale", 1)
		return
	}
	g := o.newGang(j, p)
	o.gangs[g.desc.ID] = g
	j.gang = g
	counters.Add("placements", 1)
	if wait := o.now() - j.submitted; wait > 0 {
		counters.Add("wait_ns", int64(wait))
	}
	o.setState(j, structs.JobPlacing, j.rec.Verdict, nil)
	o.runAsync(func() { o.dispatch(g) })
}

// stillFits reports whether a placement has all members of the gang, each with the
// right number of accelerators, on workers that are known, ready or probing, and on
// accelerators that are not in use now. It does not check cores, memory and slots. The
// caller holds o.mu.
func (o *Owner) stillFits(p structs.Placement, j *job) bool {
	if len(p.Members) != j.rec.Shape.Workers {
		klog.InfoS("Plan places only part of a gang", "job", p.JobID, "members", len(p.Members))
		return false
	}
	now := o.now()
	for _, m := range p.Members {
		a := o.agents[m.Worker]
		if a == nil || bits.OnesCount64(m.Accelerators) != j.rec.Shape.Accelerators {
			return false
		}
		if s := o.workerState(m.Worker, now); s != structs.WorkerReady && s != structs.WorkerProbing {
			return false
		}
		if o.busyAccelerators(m.Worker)&m.Accelerators != 0 {
			return false
		}
	}
	return true
}

// busyAccelerators returns the accelerators of a worker that gangs occupy. The
// caller holds o.mu.
func (o *Owner) busyAccelerators(worker string) uint64 {
	var busy uint64
	for _, g := range o.gangs {
		for _, m := range g.desc.Members {
			if m.AgentID == worker {
				busy |= m.Accelerators
			}
		}
	}
	return busy
}
