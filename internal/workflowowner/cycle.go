package workflowowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

// Parameters of the snapshot.
const (
	// coresPerGPU is the number of cores that a GPU counts as, by the users' definition
	// of the size of work.
	coresPerGPU = 8
	// The worth of a job by the priority of its queue; priorities above 2 count as 2. Work
	// that may preempt other work is worth more to its users.
	worthPriority0 = 4.0
	worthPriority1 = 3.0
	worthPriority2 = 1.0
	// lateWorthShare is the share of its worth that a late job still has, up to
	// lateDeadlineFactor times the time within which it is on time.
	lateWorthShare     = 0.25
	lateDeadlineFactor = 3.0
	// fixedWorthShare is the share of a job's worth that does not depend on its size,
	// maxSizeFactor the limit of the factor for its size. minAverageJobs is the number
	// of jobs of a queue from which their mean size is used.
	fixedWorthShare = 0.3
	maxSizeFactor   = 4.0
	minAverageJobs  = 5
	// defaultEstimate is the run time that is assumed for a step without an estimate.
	defaultEstimate = 3 * time.Second
)

// group is the job and step of a group in the snapshot.
type group struct {
	job    *job
	stepID workflow.StepID
}

// cycle makes one decision and carries it out.
func (o *Owner) cycle() {
	o.stopIncompleteGangs()
	o.proveRuns()
	sinceLastCycle := min(o.now()-o.lastCycle, 2*tickInterval)
	o.lastCycle = o.now()
	snap, groups := o.snapshot()
	o.reportLoad(snap)
	o.startAdviceCall(snap, groups)
	plan := o.opts.Decide(snap)
	o.reportZones(snap, plan)
	for _, s := range plan.Stops {
		reason := "worker leaves"
		if s.ForGroup != workflowscheduler.NoGroup {
			reason = "preempted for " + groups[s.ForGroup].job.id
		}
		if w := o.workerOf(s.Run); w != nil {
			if r := w.runs[s.Run]; r != nil {
				o.stopRun(r, reason)
			}
		}
	}
	o.orderStarts(snap, groups, plan.Starts)
	for i, reason := range plan.Waits {
		g := groups[i]
		if reason == workflowscheduler.WaitsForIdle {
			g.job.isolationWait[g.stepID] += sinceLastCycle
		}
		waiting := waitingTasks{g.stepID, snap.Groups[i].Isolation}
		if g.job.waitReasons[waiting] != string(reason) {
			g.job.waitReasons[waiting] = string(reason)
			waitDecisions.Add(string(reason), 1)
			o.opts.Log.Event("step_waits", "job", g.job.id, "occurrence", g.stepID.Occurrence, "step", g.stepID.Step, "reason", string(reason),
				"tasks", len(snap.Groups[i].Tasks), "gpus", snap.Groups[i].Need.GPUs, "guaranteed", snap.Groups[i].Guaranteed,
				"isolation", int(snap.Groups[i].Isolation), "readyMs", (o.now() - snap.Groups[i].ReadyAt).Milliseconds())
		}
	}
}

// reportLoad logs the use of the workers, at most once per loadReportInterval.
func (o *Owner) reportLoad(snap *workflowscheduler.Snapshot) {
	if time.Since(o.lastLoadReport) < loadReportInterval {
		return
	}
	o.lastLoadReport = time.Now()
	total, free, usable, tasks, wanted := 0, 0, 0, 0, 0
	for _, w := range snap.Workers {
		total += w.Capacity.GPUs
		if w.Usable {
			usable++
			free += w.Free.GPUs
		}
	}
	for _, g := range snap.Groups {
		tasks += len(g.Tasks)
		wanted += len(g.Tasks) * g.Need.GPUs
	}
	o.opts.Log.Event("load", "workers", len(snap.Workers), "usable", usable, "gpus", total, "freeGPUs", free,
		"runs", len(snap.Running), "groupsWaiting", len(snap.Groups), "tasksWaiting", tasks, "gpusWanted", wanted)
}

// workerOf returns the worker of a run, or nil if the run is not known.
func (o *Owner) workerOf(id workflow.RunID) *worker {
	if j := o.jobs[id.Task.Job]; j != nil && j.runs != nil {
		if r := j.runs[id.Task]; r != nil && r.id == id {
			return r.worker
		}
	}
	return nil
}

// orderStarts orders the starts of a plan. All tasks of a gang get the same attempt
// number.
func (o *Owner) orderStarts(snap *workflowscheduler.Snapshot, groups []group, starts []workflowscheduler.Start) {
	slices.SortStableFunc(starts, func(a, b workflowscheduler.Start) int { return cmp.Compare(a.Group, b.Group) })
	for len(starts) > 0 {
		n := 1
		for n < len(starts) && starts[n].Group == starts[0].Group {
			n++
		}
		batch := starts[:n]
		starts = starts[n:]
		g := groups[batch[0].Group]
		gang := g.job.record.Spec.Steps[g.stepID.Step].Gang
		var tasks []workflow.TaskID
		for _, s := range batch {
			tasks = append(tasks, g.taskID(s.Task))
		}
		attempt := 0
		if gang {
			attempt = o.nextAttempt(g.job, tasks)
		}
		for i, s := range batch {
			number := attempt
			if !gang {
				number = o.nextAttempt(g.job, tasks[i:i+1])
			}
			o.orderStart(g, tasks[i], number, o.workers[s.Worker], s.Expected, &snap.Groups[s.Group])
		}
	}
}

func (g group) taskID(index int) workflow.TaskID {
	return workflow.TaskID{Job: g.job.id, Occurrence: g.stepID.Occurrence, Step: g.stepID.Step, Index: index}
}

// orderStart registers a run of a task of the snapshot's group from. The next reply to the
// agent carries the order.
func (o *Owner) orderStart(g group, task workflow.TaskID, attempt int, w *worker, expected time.Duration, from *workflowscheduler.Group) {
	j := g.job
	step := &j.record.Spec.Steps[task.Step]
	r := &run{
		id: workflow.RunID{Task: task, Attempt: attempt}, job: j, step: step, worker: w, state: workflowrpc.RunStarting,
		orderedAt: o.now(), expected: expected, guaranteed: from.Guaranteed, isolation: from.Isolation,
		remote:  expected > time.Duration(1.5*float64(o.estimate(j, step))),
		resumed: j.progress.Checkpoint(&j.record.Spec, task) != "", ticket: j.ticket(g.stepID, w),
	}
	j.recordAttempt(task, attempt)
	j.runs[task], w.runs[r.id] = r, r
	delete(j.waitReasons, waitingTasks{g.stepID, from.Isolation})
	delete(j.isolationWait, g.stepID)
	delete(j.waitingSince, g.stepID)
	startWait.Add(telemetry.LatencyBucket(o.now()-j.readySince[g.stepID]), 1)
	o.opts.Log.Event("run_ordered", "job", j.id, "run", r.id.String(), "worker", w.id, "readyMs", (o.now() - j.readySince[g.stepID]).Milliseconds(),
		"expectedMs", expected.Milliseconds(), "isolation", int(from.Isolation), "reportAgeMs", time.Since(w.lastCall).Milliseconds(), "epoch", o.opts.Epoch)
	w.endPoll()
}

// snapshot returns the input of a decision, and the job and step of each of its groups.
func (o *Owner) snapshot() (*workflowscheduler.Snapshot, []group) {
	now := o.now()
	snap := &workflowscheduler.Snapshot{
		Now: now, RemotePenalty: o.opts.Times.RemotePenalty, StopGrace: o.opts.Times.StopGrace, ReclaimLimit: o.opts.Times.Reclaim,
	}
	for _, w := range o.workers {
		if !w.reported || w.lost {
			continue
		}
		snap.Workers = append(snap.Workers, workflowscheduler.Worker{
			ID: w.id, Rack: w.info.Rack, Pool: w.info.Pool, Labels: w.info.Labels, Capacity: w.info.Capacity, Free: w.free(),
			Usable: o.usable(w), Evacuated: o.evacuated(w), QuietAt: o.quietAt(w), Slowdown: 1, Probe: w.backoff.probing() || o.health.State(now, w.id) == structs.WorkerProbing, Proven: w.proven(),
		})
		for _, r := range w.runs {
			snap.Running = append(snap.Running, o.snapshotRun(r))
		}
	}
	slices.SortFunc(snap.Workers, func(a, b workflowscheduler.Worker) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(snap.Running, func(a, b workflowscheduler.Running) int { return a.ID.Compare(b.ID) })
	awaitsReports := o.awaitsReports()
	var groups []group
	chargedGPUs := map[string]int{} // guaranteed GPUs in use, by account
	jobs := o.sortedJobs()
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.recordVersion, b.recordVersion) })
	for _, j := range jobs {
		if awaitsReports && j.inherited {
			continue
		}
		guaranteed := o.fitsGuarantee(j, chargedGPUs)
		for _, stepID := range j.stepIDs() {
			g, ok := o.waitingGroup(j, stepID, now)
			if !ok {
				continue
			}
			g.Guaranteed = guaranteed
			for _, part := range o.splitByIsolation(j, g) {
				snap.Groups = append(snap.Groups, part)
				groups = append(groups, group{j, stepID})
			}
		}
	}
	return snap, groups
}

// guaranteed reports whether the account's guarantee covers jobs like this one.
func (o *Owner) guaranteed(j *job) bool {
	return o.terms(j).Priority == 0 && o.opts.Config.GuaranteedGPUs(j.record.Account) > 0
}

// fitsGuarantee adds the largest step of a job to the GPUs charged to its account, and
// reports whether the sum is within the account's guarantee.
func (o *Owner) fitsGuarantee(j *job, chargedGPUs map[string]int) bool {
	if !o.guaranteed(j) {
		return false
	}
	gpus := 0
	for _, s := range j.record.Spec.Steps {
		gpus = max(gpus, s.Need.GPUs*s.Tasks)
	}
	chargedGPUs[j.record.Account] += gpus
	return chargedGPUs[j.record.Account] <= o.opts.Config.GuaranteedGPUs(j.record.Account)
}

// snapshotRun describes a run for the snapshot.
func (o *Owner) snapshotRun(r *run) workflowscheduler.Running {
	now := o.now()
	start := cmp.Or(r.startedAt, r.orderedAt)
	elapsed := now - start
	ends := start + r.expected
	if r.percent >= minExtrapolationPercent {
		// Extrapolate from the time at which the percentage was new.
		at := r.percentAt
		if now-at > stalledAfter {
			at = now
		}
		ends = start + (at-start)*100/time.Duration(r.percent)
	} else if ends < now {
		ends = now + r.expected/4
	}
	lost, redo := elapsed, r.expected
	if r.checkpoint != "" {
		lost = min(lost, checkpointLoss)
		redo = max(ends-now, 0) + checkpointLoss
	}
	value, pathLengths, _ := o.jobValue(r.job, r.id.Task.Occurrence)
	return workflowscheduler.Running{
		ID: r.id, Worker: r.worker.id, Need: r.step.HeldResources(), Gang: r.step.Gang, EndsAt: ends, Priority: o.terms(r.job).Priority,
		Guaranteed: r.guaranteed, Persistent: r.step.Persistent, Stopping: r.stopReason != "",
		LostWork: lost.Seconds() * coreEquivalents(r.step.Need), RerunTime: redo, JobWork: o.declaredWork(r.job), Value: value,
		RemainingPath: slices.Max(pathLengths) - pathLengths[r.id.Task.Step], WorkerEndsAt: r.worker.earliestEnd,
	}
}

const (
	// minExtrapolationPercent is the progress from which the end of a run is
	// extrapolated.
	minExtrapolationPercent = 10
	// stalledAfter is the age of the last progress from which a run counts as stalled.
	// Agents poll workers every second and report at most 0.5 s later.
	stalledAfter = 2500 * time.Millisecond
	// checkpointLoss is the work that a stop discards of a run with checkpoints, as the
	// run time since its last checkpoint.
	checkpointLoss = time.Second
)

// coreEquivalents returns the resources as a number of cores, for the size of work.
func coreEquivalents(need workflow.Resources) float64 {
	return float64(need.CPUMilli)/1000 + coresPerGPU*float64(need.GPUs)
}

// waitingGroup returns the group of a step's tasks that may start, and false if there
// are none.
func (o *Owner) waitingGroup(j *job, stepID workflow.StepID, now time.Duration) (workflowscheduler.Group, bool) {
	spec := &j.record.Spec
	step := &spec.Steps[stepID.Step]
	progress := j.progress.StepProgress(spec, stepID)
	if due := spec.DueAt(stepID.Occurrence); due > o.opts.UnixMillis() || now < j.rejectedStarts[stepID].until || !j.progress.DependenciesDone(spec, stepID) || len(progress.Done) == step.Tasks {
		return workflowscheduler.Group{}, false
	}
	g := workflowscheduler.Group{
		Job: j.id, ID: stepID, Need: step.HeldResources(), Gang: step.Gang, SameRack: step.SameRack, DataRack: step.DataRack, Label: step.Label, Pool: j.record.Pool,
		MaxPerWorker: step.MaxPerWorker, Avoid: j.avoid, Persistent: step.Persistent,
	}
	scarce := o.attemptsScarce(j, progress)
	var gang []workflow.TaskID
	for i := range step.Tasks {
		task := workflow.TaskID{Job: j.id, Occurrence: stepID.Occurrence, Step: stepID.Step, Index: i}
		if r := j.runs[task]; r != nil {
			if step.Gang {
				return g, false // some runs of an earlier attempt have not ended
			}
			if step.MaxPerWorker > 0 {
				if g.TasksOnWorker == nil {
					g.TasksOnWorker = map[string]int{}
				}
				g.TasksOnWorker[r.worker.id]++
			}
			continue
		}
		if progress.IsDone(i) || scarce && !step.Gang && !o.attemptUsable(j, []workflow.TaskID{task}) {
			continue
		}
		g.Tasks = append(g.Tasks, i)
		if scarce && step.Gang {
			gang = append(gang, task)
		}
	}
	if len(g.Tasks) == 0 || len(gang) > 0 && !o.attemptUsable(j, gang) {
		return g, false
	}
	if j.readySince[stepID] == 0 {
		j.readySince[stepID] = max(now, 1)
	}
	g.ReadyAt = j.readySince[stepID]
	if j.waitingSince[stepID] == 0 {
		j.waitingSince[stepID] = max(now, 1)
	}
	g.WaitedFor = now - j.waitingSince[stepID]
	g.Allowed = o.allowedWorkers(j, stepID)
	o.setGroupValue(j, step, &g)
	return g, true
}

// jobValue returns the value of an occurrence of a job, the longest path up to the end
// of each step, and the critical path of the occurrence.
func (o *Owner) jobValue(j *job, occurrence int) (workflowscheduler.Value, []time.Duration, time.Duration) {
	terms := o.terms(j)
	spec := &j.record.Spec
	pathLengths := make([]time.Duration, len(spec.Steps))
	var criticalPath time.Duration
	for i := range spec.Steps {
		before := time.Duration(0)
		for _, dependency := range spec.Steps[i].After {
			before = max(before, pathLengths[dependency])
		}
		pathLengths[i] = before + o.estimate(j, &spec.Steps[i])
		criticalPath = max(criticalPath, pathLengths[i])
	}
	objective := time.Duration(max(1, terms.Stretch)*float64(criticalPath)) + terms.Slack.Duration()
	since := o.acceptedAt(j)
	if due := spec.DueAt(occurrence); due > 0 {
		since = o.now() - time.Duration(o.opts.UnixMillis()-due)*time.Millisecond
	}
	worth := [3]float64{worthPriority0, worthPriority1, worthPriority2}[min(max(terms.Priority, 0), 2)]
	if mean := o.queueWork[j.record.Queue].mean(); mean > 0 {
		worth *= min(fixedWorthShare+(1-fixedWorthShare)*o.declaredWork(j)/mean, maxSizeFactor)
	}
	return workflowscheduler.Value{
		Deadline: since + objective, LateDeadline: since + time.Duration(lateDeadlineFactor*float64(objective)), Worth: worth, LateWorth: lateWorthShare * worth,
	}, pathLengths, criticalPath
}

// setGroupValue sets the value of a group and the remaining work of its job.
func (o *Owner) setGroupValue(j *job, step *workflow.Step, g *workflowscheduler.Group) {
	spec := &j.record.Spec
	g.Priority = o.terms(j).Priority
	g.Expected = o.estimate(j, step)
	value, pathLengths, criticalPath := o.jobValue(j, g.ID.Occurrence)
	g.Value = value
	g.CriticalPath = max(criticalPath-pathLengths[g.ID.Step]+g.Expected, g.Expected)
	for i := range spec.Steps {
		if open := spec.Steps[i].Tasks - len(j.progress.StepProgress(spec, workflow.StepID{Occurrence: g.ID.Occurrence, Step: i}).Done); open > 0 {
			g.RemainingWork += float64(open) * coreEquivalents(spec.Steps[i].Need) * o.estimate(j, &spec.Steps[i]).Seconds()
		}
	}
}

// declaredWork returns the work of a job by its declared run times, in core-seconds.
func (o *Owner) declaredWork(j *job) float64 {
	work := 0.0
	for i := range j.record.Spec.Steps {
		s := &j.record.Spec.Steps[i]
		work += float64(s.Tasks) * coreEquivalents(s.Need) * declaredTime(s).Seconds()
	}
	return work
}

// average is a running mean.
type average struct {
	sum float64
	n   int
}

// mean returns 0 for fewer than minAverageJobs values.
func (a average) mean() float64 {
	if a.n < minAverageJobs {
		return 0
	}
	return a.sum / float64(a.n)
}

// acceptedAt returns the time at which a job was accepted, on the owner's clock. The
// wall clock is used only for inherited jobs, and only if it gives a plausible age.
func (o *Owner) acceptedAt(j *job) time.Duration {
	age := time.Duration(o.opts.UnixMillis()-j.record.AcceptedAt) * time.Millisecond
	if !j.inherited || age < 0 || age > o.opts.Times.JobRetention {
		return j.seenAt
	}
	return o.now() - age
}

// estimate returns the expected run time of a step's tasks. It learns from all accounts
// of a queue, since they submit the same kind of work.
func (o *Owner) estimate(j *job, step *workflow.Step) time.Duration {
	p50, _ := o.runtimes.Quantiles("", j.record.Queue, declaredTime(step))
	return p50
}

// declaredTime returns the declared run time of a step's tasks, or defaultEstimate.
func declaredTime(step *workflow.Step) time.Duration {
	return cmp.Or(step.Estimate.Duration(), defaultEstimate)
}

// stopIncompleteGangs stops gangs of which a member has not started while the others
// wait for it. This frees their capacity before the members give up by themselves.
func (o *Owner) stopIncompleteGangs() {
	limit := time.Duration(gangStartShare * float64(o.opts.Times.GangWait))
	now := o.now()
	for _, w := range o.workers {
		for _, r := range w.runs {
			if r.step.Gang && r.state == workflowrpc.RunStarting && r.stopReason == "" && now-r.orderedAt > limit {
				for _, other := range o.gangPeers(r) {
					o.stopRun(other, "gang did not start whole")
				}
				o.stopRun(r, "did not start in time")
			}
		}
	}
}
