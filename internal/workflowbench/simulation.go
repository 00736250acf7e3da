package workflowbench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/estimate"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

// DecideFunc returns a placement plan for a snapshot.
type DecideFunc func(*workflowscheduler.Snapshot) *workflowscheduler.Plan

// Result holds the measurements of a simulated day. A finished job earns its
// value, less if it is late; see Kind.
type Result struct {
	// EarnedShare is the earned value as a share of the value of all jobs;
	// EarnedShareByQueue is the same for each queue.
	EarnedShare        float64
	EarnedShareByQueue map[string]float64
	// EarnedShareBound is what EarnedShare would be if each job had all workers for itself.
	EarnedShareBound float64
	// LostWorkShare is the share of the work that was lost: all work of failed runs,
	// and the work of stopped runs that no checkpoint saved.
	LostWorkShare float64
	// IdleGPUShare is the mean share of free GPUs in decisions with waiting tasks.
	IdleGPUShare float64
}

// Constants of the simulation.
const (
	// tick is the maximum time between two decisions. Other events cause decisions
	// in between.
	tick = 100 * time.Millisecond
	// remotePenalty is the slowdown of a gang that wants one rack but spans several,
	// as in the deployments.
	remotePenalty = 3.0
	// settleTime is the time after the last arrival in which jobs may still end.
	settleTime = 14 * time.Second
	// checkpointInterval is the time between two checkpoints of a task.
	checkpointInterval = time.Second
	// minSpeed and maxSpeed bound the speeds of workers; a speed of 1 runs a task in
	// its run time.
	minSpeed, maxSpeed = 0.8, 1.25
)

// simJob is the state of a job that has arrived. Maps are keyed by task index.
type simJob struct {
	*jobArrival
	id           string
	runs         map[int]*simRun
	ended        map[int]bool
	checkpointed map[int]time.Duration // run time saved in checkpoints
	attempts     map[int]int
	worth        float64 // Kind.Worth, scaled by the size of the job
	done         bool
}

// simRun is a running attempt of a task.
type simRun struct {
	job        *simJob
	task       int
	id         workflow.RunID
	worker     int
	start      time.Duration
	expected   time.Duration // run time expected by the policy
	endsAt     time.Duration // unless it is stopped before
	slowdown   float64
	stopAt     time.Duration // when a requested stop takes effect; 0 for none
	fails      bool
	guaranteed bool
}

// simulation is the state of a simulated day.
type simulation struct {
	load         *Load
	decide       DecideFunc
	now          time.Duration
	workers      []workflowscheduler.Worker
	speed        []float64
	jobs         []*simJob
	runs         []*simRun
	runtimes     *estimate.Runtimes
	queueSizes   map[string][2]float64 // of the arrived jobs, by queue: sum of declared core-seconds, number of jobs
	result       Result
	lostWork     float64    // core-seconds
	totalWork    float64    // core-seconds
	idleGPUShare [2]float64 // sum of shares, number of decisions
}

// Simulate runs the day with the given seed and returns its measurements.
func Simulate(l *Load, seed uint64, decide DecideFunc) Result {
	sim := &simulation{
		load: l, decide: decide, runtimes: estimate.NewRuntimesWithPrior(estimate.Prior{Slope: 0.3, Weight: 6}),
		queueSizes: map[string][2]float64{}, result: Result{EarnedShareByQueue: map[string]float64{}},
	}
	capacity := workflow.Resources{CPUMilli: 64000, MemoryMB: 262144, GPUs: 8}
	for i := range l.Workers {
		rack := fmt.Sprintf("r%d", i%l.Racks)
		sim.workers = append(sim.workers, workflowscheduler.Worker{ID: fmt.Sprintf("w%03d", i), Rack: rack, Labels: []string{"a", rack}, Capacity: capacity, Free: capacity, Usable: true, Slowdown: 1})
		sim.speed = append(sim.speed, minSpeed+(maxSpeed-minSpeed)*float64(i*7%l.Workers)/float64(l.Workers))
	}
	pending := l.drawArrivals(seed)
	sizes := map[string][2]float64{} // by queue: sum of core-seconds, number of jobs
	for _, a := range pending {
		s := sizes[a.kind.Queue]
		sizes[a.kind.Queue] = [2]float64{s[0] + a.coreSeconds(), s[1] + 1}
	}
	aloneWorth := 0.0
	possible, earned, total := map[string]float64{}, map[string]float64{}, [2]float64{} // total: earned, possible
	end := l.ArrivalPeriod + settleTime
	for ; sim.now <= end; sim.now = sim.nextEvent(pending) {
		changed := sim.finishRuns(earned)
		for len(pending) > 0 && pending[0].at <= sim.now {
			a := pending[0]
			pending = pending[1:]
			s := sizes[a.kind.Queue]
			// The value grows with the size of the job relative to the mean of its queue, to
			// at most four times Kind.Worth.
			j := &simJob{
				jobArrival: a, id: fmt.Sprintf("j%05d", len(sim.jobs)), runs: map[int]*simRun{}, ended: map[int]bool{}, checkpointed: map[int]time.Duration{},
				attempts: map[int]int{}, worth: a.kind.Worth * min(0.3+0.7*a.coreSeconds()*s[1]/s[0], 4),
			}
			possible[a.kind.Queue] += j.worth
			aloneWorth += sim.earnedAlone(j)
			sim.jobs = append(sim.jobs, j)
			sim.runtimes.ObserveDeclared(a.kind.Queue, a.declared)
			m := sim.queueSizes[a.kind.Queue]
			sim.queueSizes[a.kind.Queue] = [2]float64{m[0] + float64(len(a.runTimes))*coreEquivalents(a.need)*a.declared.Seconds(), m[1] + 1}
			changed = true
		}
		if changed || sim.now%tick == 0 {
			sim.decideAndApply()
		}
	}
	for q, value := range possible {
		sim.result.EarnedShareByQueue[q] = earned[q] / value
		total[0], total[1] = total[0]+earned[q], total[1]+value
	}
	sim.result.EarnedShare, sim.result.EarnedShareBound = total[0]/total[1], aloneWorth/total[1]
	sim.result.LostWorkShare = sim.lostWork / max(sim.totalWork, 1)
	sim.result.IdleGPUShare = sim.idleGPUShare[0] / max(sim.idleGPUShare[1], 1)
	return sim.result
}

// nextEvent returns the time of the next event, at the latest the next tick.
func (sim *simulation) nextEvent(pending []*jobArrival) time.Duration {
	at := (sim.now/tick + 1) * tick
	for _, r := range sim.runs {
		at = min(at, max(r.endTime(), sim.now+time.Millisecond))
	}
	if len(pending) > 0 {
		at = min(at, max(pending[0].at, sim.now+time.Millisecond))
	}
	return at
}

// endTime returns when the run ends or stops.
func (r *simRun) endTime() time.Duration {
	if r.stopAt > 0 {
		return min(r.endsAt, r.stopAt)
	}
	return r.endsAt
}

// finishRuns ends the runs that are due, adds the value of jobs that end to earned,
// and reports whether any run ended. The runs of a gang end together.
func (sim *simulation) finishRuns(earned map[string]float64) bool {
	changed := false
	for _, r := range slices.Clone(sim.runs) {
		if r.endTime() > sim.now || !slices.Contains(sim.runs, r) {
			continue
		}
		changed = true
		done := r.stopAt == 0 || r.endsAt <= r.stopAt
		members := []*simRun{r}
		if r.job.gang {
			members = nil
			for _, m := range r.job.runs {
				members = append(members, m)
			}
		}
		for _, m := range members {
			sim.endRun(m, done && !r.fails)
		}
		j := r.job
		if !j.done && len(j.ended) == len(j.runTimes) {
			j.done = true
			earned[j.kind.Queue] += sim.earnedNow(j)
		}
	}
	return changed
}

// earnedNow returns the value that a job earns if it ends now.
func (sim *simulation) earnedNow(j *simJob) float64 {
	return j.earnedAfter(sim.now - j.at)
}

// earnedAlone returns the value that the job earns if nothing else runs. A gang that
// wants one rack and fits in none runs slower.
func (sim *simulation) earnedAlone(j *simJob) float64 {
	elapsed := slices.Max(j.runTimes)
	if j.sameRack {
		room := map[string]int{}
		for _, w := range sim.workers {
			room[w.Rack] += w.Capacity.Count(j.need)
		}
		fits := false
		for _, n := range room {
			fits = fits || n >= len(j.runTimes)
		}
		if !fits {
			elapsed = time.Duration(float64(elapsed) * remotePenalty)
		}
	}
	return j.earnedAfter(elapsed)
}

// earnedAfter returns the value that the job earns if it ends after the given time.
func (j *simJob) earnedAfter(elapsed time.Duration) float64 {
	objective := time.Duration(j.kind.Stretch*float64(slices.Max(j.runTimes))) + j.kind.Slack
	switch {
	case elapsed <= objective:
		return j.worth
	case elapsed <= 3*objective:
		return j.worth * j.kind.LateWorth / j.kind.Worth
	}
	return 0
}

// endRun removes a run. A run that is not done loses its work since the last
// checkpoint; a failed run loses all work since its start.
func (sim *simulation) endRun(r *simRun, done bool) {
	j := r.job
	sim.runs = slices.DeleteFunc(sim.runs, func(x *simRun) bool { return x == r })
	delete(j.runs, r.task)
	w := &sim.workers[r.worker]
	w.Free = w.Free.Add(j.need, 1)
	work := sim.now - r.start
	sim.totalWork += work.Seconds() * coreEquivalents(j.need)
	if done {
		j.ended[r.task] = true
		if r.task == 0 && j.checkpointed[0] == 0 && r.slowdown < remotePenalty {
			sim.runtimes.Observe("", j.kind.Queue, "", j.declared, work)
		}
		return
	}
	lost := work
	if j.checkpoints && !r.fails {
		kept := (time.Duration(float64(work)/r.slowdown) / checkpointInterval) * checkpointInterval
		j.checkpointed[r.task] += kept
		lost = work - time.Duration(float64(kept)*r.slowdown)
	}
	sim.lostWork += lost.Seconds() * coreEquivalents(j.need)
}

// decideAndApply calls the decision function and applies its plan.
func (sim *simulation) decideAndApply() {
	snap, jobs := sim.snapshot()
	free, all := 0, 0
	for _, w := range sim.workers {
		free, all = free+w.Free.GPUs, all+w.Capacity.GPUs
	}
	if len(snap.Groups) > 0 {
		sim.idleGPUShare = [2]float64{sim.idleGPUShare[0] + float64(free)/float64(all), sim.idleGPUShare[1] + 1}
	}
	plan := sim.decide(snap)
	for _, s := range plan.Stops {
		for _, r := range sim.runs {
			if r.id == s.Run && r.stopAt == 0 {
				r.stopAt = sim.now + sim.load.StopGrace
			}
		}
	}
	racks := map[int]map[string]bool{}
	index := map[string]int{}
	for i, w := range sim.workers {
		index[w.ID] = i
	}
	for _, s := range plan.Starts {
		if racks[s.Group] == nil {
			racks[s.Group] = map[string]bool{}
		}
		racks[s.Group][sim.workers[index[s.Worker]].Rack] = true
	}
	for _, s := range plan.Starts {
		sim.startRun(jobs[s.Group], s, index[s.Worker], jobs[s.Group].sameRack && len(racks[s.Group]) > 1, snap.Groups[s.Group].Guaranteed)
	}
	sim.alignGangs()
}

// startRun starts a task on a worker. acrossRacks slows it down.
func (sim *simulation) startRun(j *simJob, s workflowscheduler.Start, worker int, acrossRacks, guaranteed bool) {
	j.attempts[s.Task]++
	r := &simRun{
		job: j, task: s.Task, worker: worker, start: sim.now, expected: s.Expected, slowdown: 1 / sim.speed[worker], guaranteed: guaranteed,
		id: workflow.RunID{Task: workflow.TaskID{Job: j.id, Index: s.Task}, Attempt: j.attempts[s.Task]}, fails: j.fails[s.Task] && j.attempts[s.Task] == 1,
	}
	if acrossRacks {
		r.slowdown *= remotePenalty
	}
	remaining := j.runTimes[s.Task] - j.checkpointed[s.Task]
	if r.fails {
		remaining /= 2
	}
	r.endsAt = sim.now + max(time.Duration(float64(remaining)*r.slowdown), time.Millisecond)
	sim.workers[worker].Free = sim.workers[worker].Free.Add(j.need, -1)
	j.runs[s.Task] = r
	sim.runs = append(sim.runs, r)
}

// alignGangs makes the members of a gang end together: when the slowest ends, or
// when a member fails.
func (sim *simulation) alignGangs() {
	for _, j := range sim.jobs {
		if !j.gang || j.done {
			continue
		}
		last, failed := time.Duration(0), time.Duration(0)
		for _, r := range j.runs {
			last = max(last, r.endsAt)
			if r.fails {
				failed = r.endsAt
			}
		}
		for _, r := range j.runs {
			r.endsAt = cmp.Or(failed, last)
			r.fails = failed > 0
		}
	}
}

// snapshot returns the input of the decision function and the job of each group.
func (sim *simulation) snapshot() (*workflowscheduler.Snapshot, []*simJob) {
	s := &workflowscheduler.Snapshot{Now: sim.now, StopGrace: sim.load.StopGrace, ReclaimLimit: sim.load.ReclaimLimit, RemotePenalty: remotePenalty, Workers: slices.Clone(sim.workers)}
	guaranteedGPUs := make([]int, sim.load.Accounts)
	var jobs []*simJob
	for _, j := range sim.jobs {
		if j.done {
			continue
		}
		expected, _ := sim.runtimes.Quantiles("", j.kind.Queue, j.declared)
		area := float64(len(j.runTimes)) * coreEquivalents(j.need) * expected.Seconds()
		value := sim.estimatedValue(j, expected)
		guaranteed := false
		if j.kind.Priority == 0 && sim.load.GuaranteedGPUs > 0 {
			guaranteedGPUs[j.account] += j.need.GPUs * len(j.runTimes)
			guaranteed = guaranteedGPUs[j.account] <= sim.load.GuaranteedGPUs
		}
		for _, r := range j.runs {
			s.Running = append(s.Running, sim.runningView(r, area, expected, value))
		}
		if j.gang && len(j.runs) > 0 {
			continue
		}
		g := workflowscheduler.Group{
			Job: j.id, Need: j.need, Gang: j.gang, SameRack: j.sameRack, Expected: expected, CriticalPath: expected, Priority: j.kind.Priority, ReadyAt: j.at,
			Value: value, Guaranteed: guaranteed,
		}
		for i := range j.runTimes {
			if j.runs[i] == nil && !j.ended[i] {
				g.Tasks = append(g.Tasks, i)
			}
		}
		if len(g.Tasks) == 0 {
			continue
		}
		g.RemainingWork = float64(len(g.Tasks)) * coreEquivalents(j.need) * expected.Seconds()
		s.Groups, jobs = append(s.Groups, g), append(jobs, j)
	}
	slices.SortFunc(s.Running, func(a, b workflowscheduler.Running) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	return s, jobs
}

// estimatedValue returns the value of a job as the decision function sees it: based
// on expected and declared run times instead of the actual ones.
func (sim *simulation) estimatedValue(j *simJob, expected time.Duration) workflowscheduler.Value {
	objective := time.Duration(j.kind.Stretch*float64(expected)) + j.kind.Slack
	worth := j.kind.Worth
	// Before five jobs of the queue have arrived, the value is not scaled by size.
	if m := sim.queueSizes[j.kind.Queue]; m[1] >= 5 {
		worth *= min(0.3+0.7*float64(len(j.runTimes))*coreEquivalents(j.need)*j.declared.Seconds()*m[1]/m[0], 4)
	}
	return workflowscheduler.Value{Deadline: j.at + objective, LateDeadline: j.at + 3*objective, Worth: worth, LateWorth: worth * j.kind.LateWorth / j.kind.Worth}
}

// runningView returns a run as the decision function sees it.
func (sim *simulation) runningView(r *simRun, area float64, expected time.Duration, value workflowscheduler.Value) workflowscheduler.Running {
	elapsed := sim.now - r.start
	ends := r.start + r.expected
	if total := r.endsAt - r.start; elapsed*10 >= total {
		ends = r.endsAt // after a tenth of the run, its progress shows when it ends
	} else if ends < sim.now {
		ends = sim.now + r.expected/4
	}
	lost, redo := elapsed, expected
	if r.job.checkpoints {
		lost, redo = min(lost, checkpointInterval), max(ends-sim.now, 0)+checkpointInterval
	}
	return workflowscheduler.Running{
		ID: r.id, Worker: sim.workers[r.worker].ID, Need: r.job.need, Gang: r.job.gang, EndsAt: ends, Priority: r.job.kind.Priority, Guaranteed: r.guaranteed,
		LostWork: lost.Seconds() * coreEquivalents(r.job.need), JobWork: area, RerunTime: redo, Value: value, Stopping: r.stopAt > 0,
	}
}
