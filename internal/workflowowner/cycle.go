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

// Constants of the snapshot.
const (
	// gpuCores is the number of cores that a GPU counts as, by the users' rule for
	// the size of work.
	gpuCores = 8
	// Worth of a job by the priority of its queue: work that others may be stopped
	// for is worth more to its users.
	worthTop    = 4.0
	worthMiddle = 3.0
	worthLow    = 1.0
	// lateShare is what an answer is worth that is late, lateFactor how many times
	// the objective it may take.
	lateShare  = 0.25
	lateFactor = 3.0
	// worthBase is the part of a job's worth that does not grow with its size,
	// worthMost the most that size multiplies it by. minAverage is the number of
	// jobs of a queue from which their mean size is known.
	worthBase  = 0.3
	worthMost  = 4.0
	minAverage = 5
	// defaultEstimate stands for a step without one.
	defaultEstimate = 3 * time.Second
)

// group is a planned group with what it stands for.
type group struct {
	job  *job
	part workflow.PartID
}

// cycle decides once and carries the decision out.
func (o *Owner) cycle() {
	o.endSplitGangs()
	snap, groups := o.snapshot()
	o.reportLoad(snap)
	o.seekAdvice(snap, groups)
	plan := o.o.Decide(snap)
	for _, s := range plan.Stops {
		why := "worker leaves"
		if s.ForGroup != workflowscheduler.NoGroup {
			why = "preempted for " + groups[s.ForGroup].job.id
		}
		if w := o.workerOf(s.Run); w != nil {
			if r := w.runs[s.Run]; r != nil {
				o.stopRun(r, why)
			}
		}
	}
	o.apply(snap, groups, plan.Starts)
	for i, reason := range plan.Waits {
		g := groups[i]
		if g.job.waits[g.part] != string(reason) {
			g.job.waits[g.part] = string(reason)
			waits.Add(string(reason), 1)
			o.o.Log.Event("step_waits", "job", g.job.id, "occurrence", g.part.Occurrence, "step", g.part.Step, "reason", string(reason),
				"tasks", len(snap.Groups[i].Tasks), "gpus", snap.Groups[i].Need.GPUs, "guaranteed", snap.Groups[i].Guaranteed,
				"readyMs", (o.now() - snap.Groups[i].Since).Milliseconds())
		}
	}
}

// reportLoad logs now and then how much of the workers is in use.
func (o *Owner) reportLoad(snap *workflowscheduler.Snapshot) {
	if time.Since(o.loadReported) < loadInterval {
		return
	}
	o.loadReported = time.Now()
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
	o.o.Log.Event("load", "workers", len(snap.Workers), "usable", usable, "gpus", total, "freeGPUs", free,
		"runs", len(snap.Running), "groupsWaiting", len(snap.Groups), "tasksWaiting", tasks, "gpusWanted", wanted)
}

func (o *Owner) workerOf(id workflow.RunID) *worker {
	if j := o.jobs[id.Task.Job]; j != nil && j.runs != nil {
		if r := j.runs[id.Task]; r != nil && r.id == id {
			return r.worker
		}
	}
	return nil
}

// apply orders the starts of a plan. All tasks of a group get the same attempt.
func (o *Owner) apply(snap *workflowscheduler.Snapshot, groups []group, starts []workflowscheduler.Start) {
	slices.SortStableFunc(starts, func(a, b workflowscheduler.Start) int { return cmp.Compare(a.Group, b.Group) })
	for len(starts) > 0 {
		n := 1
		for n < len(starts) && starts[n].Group == starts[0].Group {
			n++
		}
		batch := starts[:n]
		starts = starts[n:]
		g := groups[batch[0].Group]
		gang := g.job.rec.Spec.Steps[g.part.Step].Gang
		var tasks []workflow.TaskID
		for _, s := range batch {
			tasks = append(tasks, g.task(s.Task))
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
			o.order(g, tasks[i], number, o.workers[s.Worker], s.Expected, snap.Groups[s.Group].Guaranteed)
		}
	}
}

func (g group) task(index int) workflow.TaskID {
	return workflow.TaskID{Job: g.job.id, Occurrence: g.part.Occurrence, Step: g.part.Step, Index: index}
}

// order registers a run; the reply to the agent's call carries it.
func (o *Owner) order(g group, task workflow.TaskID, attempt int, w *worker, expected time.Duration, guaranteed bool) {
	j := g.job
	step := &j.rec.Spec.Steps[task.Step]
	r := &run{
		id: workflow.RunID{Task: task, Attempt: attempt}, job: j, step: step, worker: w, state: workflowrpc.RunStarting,
		ordered: o.now(), expected: expected, guaranteed: guaranteed,
		remote:  expected > time.Duration(1.5*float64(o.estimate(j, step))),
		resumed: j.prog.Checkpoint(&j.rec.Spec, task) != "", ticket: j.ticket(g.part, w),
	}
	j.attempts[task] = attempt
	j.runs[task], w.runs[r.id] = r, r
	delete(j.waits, g.part)
	startWait.Add(telemetry.Bucket(o.now()-j.ready[g.part]), 1)
	o.o.Log.Event("run_ordered", "job", j.id, "run", r.id.String(), "worker", w.id, "readyMs", (o.now() - j.ready[g.part]).Milliseconds(),
		"expectedMs", expected.Milliseconds(), "reportAgeMs", time.Since(w.lastCall).Milliseconds(), "epoch", o.o.Epoch)
	w.wake()
}

// snapshot returns what the decision depends on.
func (o *Owner) snapshot() (*workflowscheduler.Snapshot, []group) {
	now := o.now()
	snap := &workflowscheduler.Snapshot{
		Now: now, RemotePenalty: o.o.Times.RemotePenalty, StopGrace: o.o.Times.StopGrace, ReclaimIn: o.o.Times.Reclaim,
	}
	for _, w := range o.workers {
		if !w.reported || w.lost {
			continue
		}
		snap.Workers = append(snap.Workers, workflowscheduler.Worker{
			ID: w.id, Rack: w.info.Rack, Pool: w.info.Pool, Labels: w.info.Labels, Capacity: w.info.Capacity, Free: w.free(),
			Usable: o.usable(w), Slowdown: 1, Probe: w.suspicion.probing() || o.health.State(now, w.id) == structs.WorkerProbing,
		})
		for _, r := range w.runs {
			snap.Running = append(snap.Running, o.running(r))
		}
	}
	slices.SortFunc(snap.Workers, func(a, b workflowscheduler.Worker) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(snap.Running, func(a, b workflowscheduler.Running) int { return a.ID.Compare(b.ID) })
	uncertain := o.uncertain()
	var groups []group
	claims := map[string]int{} // GPUs of guaranteed work by account
	jobs := o.sortedJobs()
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.version, b.version) })
	for _, j := range jobs {
		if uncertain && j.inherited {
			continue
		}
		claim := o.claims(j, claims)
		for _, part := range j.parts() {
			if g, ok := o.waiting(j, part, now); ok {
				g.Guaranteed = claim
				snap.Groups = append(snap.Groups, g)
				groups = append(groups, group{j, part})
			}
		}
	}
	return snap, groups
}

// guaranteed reports whether a job is of the work that its account's guarantee
// is for.
func (o *Owner) guaranteed(j *job) bool {
	return o.terms(j).Priority == 0 && o.o.Config.GuaranteedGPUs(j.rec.Account) > 0
}

// claims reports whether a job fits in what is left of its account's guarantee,
// and charges it.
func (o *Owner) claims(j *job, claims map[string]int) bool {
	if !o.guaranteed(j) {
		return false
	}
	gpus := 0
	for _, s := range j.rec.Spec.Steps {
		gpus = max(gpus, s.Need.GPUs*s.Tasks)
	}
	claims[j.rec.Account] += gpus
	return claims[j.rec.Account] <= o.o.Config.GuaranteedGPUs(j.rec.Account)
}

func (o *Owner) running(r *run) workflowscheduler.Running {
	now := o.now()
	begun := cmp.Or(r.started, r.ordered)
	elapsed := now - begun
	ends := begun + r.expected
	if r.percent >= minPercent {
		// The listing that had the percentage is older than now.
		at := r.percentAt
		if now-at > stalledAfter {
			at = now
		}
		ends = begun + (at-begun)*100/time.Duration(r.percent)
	} else if ends < now {
		ends = now + r.expected/4
	}
	lost, redo := elapsed, r.expected
	if r.checkpoint != "" {
		lost = min(lost, checkpointAge)
		redo = max(ends-now, 0) + checkpointAge
	}
	value, chains, _ := o.value(r.job, r.id.Task.Occurrence)
	return workflowscheduler.Running{
		ID: r.id, Worker: r.worker.id, Need: r.step.HeldResources(), Gang: r.step.Gang, EndsAt: ends, Priority: o.terms(r.job).Priority,
		Guaranteed: r.guaranteed, Persistent: r.step.Persistent, Stopping: r.stopping != "",
		Lost: lost.Seconds() * cores(r.step.Need), Redo: redo, Area: o.area(r.job), Value: value,
		RemainingPath: slices.Max(chains) - chains[r.id.Task.Step], WorkerEndsAt: r.worker.ends,
	}
}

const (
	// minPercent is the progress from which the end of a run is extrapolated.
	minPercent = 10
	// stalledAfter is the age of a percentage from which the run counts as
	// standing still: agents list every second and report at most 0.5 s later.
	stalledAfter = 2500 * time.Millisecond
	// checkpointAge is the work that a stop loses of a run with checkpoints.
	checkpointAge = time.Second
)

// cores returns the size of a need in cores.
func cores(need workflow.Resources) float64 {
	return float64(need.CPUMilli)/1000 + gpuCores*float64(need.GPUs)
}

// waiting returns the group of a step's tasks that may start; false if there are
// none.
func (o *Owner) waiting(j *job, part workflow.PartID, now time.Duration) (workflowscheduler.Group, bool) {
	spec := &j.rec.Spec
	step := &spec.Steps[part.Step]
	progress := j.prog.StepProgress(spec, part)
	if due := spec.DueAt(part.Occurrence); due > o.o.UnixMillis() || now < j.rejected[part].until || !j.prog.DependenciesDone(spec, part) || len(progress.Done) == step.Tasks {
		return workflowscheduler.Group{}, false
	}
	g := workflowscheduler.Group{
		Job: j.id, ID: part, Need: step.HeldResources(), Gang: step.Gang, SameRack: step.SameRack, DataRack: step.DataRack, Label: step.Label, Pool: j.rec.Pool,
		MaxPerWorker: step.MaxPerWorker, Avoid: j.avoid,
	}
	for i := range step.Tasks {
		task := workflow.TaskID{Job: j.id, Occurrence: part.Occurrence, Step: part.Step, Index: i}
		if r := j.runs[task]; r != nil {
			if step.Gang {
				return g, false // an earlier attempt has not ended whole
			}
			if step.MaxPerWorker > 0 {
				if g.TasksOnWorker == nil {
					g.TasksOnWorker = map[string]int{}
				}
				g.TasksOnWorker[r.worker.id]++
			}
			continue
		}
		if !progress.IsDone(i) {
			g.Tasks = append(g.Tasks, i)
		}
	}
	if len(g.Tasks) == 0 {
		return g, false
	}
	if j.ready[part] == 0 {
		j.ready[part] = max(now, 1)
	}
	g.Since = j.ready[part]
	g.Allowed = o.allowed(j, part)
	o.fill(j, step, &g)
	return g, true
}

// value returns what a job's occurrence is worth and until when, the longest
// chain of work up to the end of each step, and the chain of the whole.
func (o *Owner) value(j *job, occurrence int) (workflowscheduler.Value, []time.Duration, time.Duration) {
	terms := o.terms(j)
	spec := &j.rec.Spec
	chains := make([]time.Duration, len(spec.Steps))
	var whole time.Duration
	for i := range spec.Steps {
		before := time.Duration(0)
		for _, a := range spec.Steps[i].After {
			before = max(before, chains[a])
		}
		chains[i] = before + o.estimate(j, &spec.Steps[i])
		whole = max(whole, chains[i])
	}
	objective := time.Duration(max(1, terms.Stretch)*float64(whole)) + terms.Slack.Duration()
	since := o.acceptedAt(j)
	if due := spec.DueAt(occurrence); due > 0 {
		since = o.now() - time.Duration(o.o.UnixMillis()-due)*time.Millisecond
	}
	worth := [3]float64{worthTop, worthMiddle, worthLow}[min(max(terms.Priority, 0), 2)]
	if mean := o.areas[j.rec.Queue].mean(); mean > 0 {
		worth *= min(worthBase+(1-worthBase)*o.area(j)/mean, worthMost)
	}
	return workflowscheduler.Value{
		OnTime: since + objective, Late: since + time.Duration(lateFactor*float64(objective)), Worth: worth, LateWorth: lateShare * worth,
	}, chains, whole
}

// fill sets what a group is worth, and how much work its job still has.
func (o *Owner) fill(j *job, step *workflow.Step, g *workflowscheduler.Group) {
	spec := &j.rec.Spec
	g.Priority = o.terms(j).Priority
	g.Expected = o.estimate(j, step)
	value, chains, whole := o.value(j, g.ID.Occurrence)
	g.Value = value
	g.Chain = max(whole-chains[g.ID.Step]+g.Expected, g.Expected)
	for i := range spec.Steps {
		if open := spec.Steps[i].Tasks - len(j.prog.StepProgress(spec, workflow.PartID{Occurrence: g.ID.Occurrence, Step: i}).Done); open > 0 {
			g.Area += float64(open) * cores(spec.Steps[i].Need) * o.estimate(j, &spec.Steps[i]).Seconds()
		}
	}
}

// area returns the declared work of a job in core-seconds.
func (o *Owner) area(j *job) float64 {
	area := 0.0
	for i := range j.rec.Spec.Steps {
		s := &j.rec.Spec.Steps[i]
		area += float64(s.Tasks) * cores(s.Need) * declaredTime(s).Seconds()
	}
	return area
}

// average is a running mean.
type average struct {
	sum float64
	n   int
}

func (a average) mean() float64 {
	if a.n < minAverage {
		return 0
	}
	return a.sum / float64(a.n)
}

// acceptedAt returns when a job was accepted on the owner's clock.
func (o *Owner) acceptedAt(j *job) time.Duration {
	age := time.Duration(o.o.UnixMillis()-j.rec.AcceptedAt) * time.Millisecond
	if !j.inherited || age < 0 || age > o.o.Times.Kept {
		return j.seenAt
	}
	return o.now() - age
}

// estimate returns the expected run time of a step's tasks. The accounts of a
// queue send the same kind of work, so that all of them are learned from.
func (o *Owner) estimate(j *job, step *workflow.Step) time.Duration {
	p50, _ := o.runtimes.Quantiles("", j.rec.Queue, declaredTime(step))
	return p50
}

func declaredTime(step *workflow.Step) time.Duration {
	return cmp.Or(step.Estimate.Duration(), defaultEstimate)
}

// endSplitGangs stops gangs of which a member has not started while the others
// wait for it, before they end by themselves.
func (o *Owner) endSplitGangs() {
	limit := time.Duration(gangStartShare * float64(o.o.Times.GangWait))
	now := o.now()
	for _, w := range o.workers {
		for _, r := range w.runs {
			if r.step.Gang && r.state == workflowrpc.RunStarting && r.stopping == "" && now-r.ordered > limit {
				for _, other := range o.gang(r) {
					o.stopRun(other, "gang did not start whole")
				}
				o.stopRun(r, "did not start in time")
			}
		}
	}
}
