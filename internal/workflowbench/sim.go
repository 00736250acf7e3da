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

// Decide is a placement decision.
type Decide func(*workflowscheduler.Snapshot) *workflowscheduler.Plan

// Result is what a day earned.
type Result struct {
	// Worth is earned by owed, over all jobs and by queue.
	Worth   float64
	ByQueue map[string]float64
	// Bound is what the jobs would earn if each were alone on the workers.
	Bound float64
	// Thrown is the share of the work that was stopped and not saved.
	Thrown float64
	// Idle is the mean share of free GPUs while tasks waited.
	Idle float64
}

// Constants of a play.
const (
	tick = 100 * time.Millisecond
	// remotePenalty is that of the deployments.
	remotePenalty = 3.0
	// finish is the time after the last arrival in which jobs may still end.
	finish = 14 * time.Second
	// checkpointEvery is how often a task saves its work.
	checkpointEvery = time.Second
	// slowest and fastest bound the speeds of workers.
	slowest, fastest = 0.8, 1.25
)

type simJob struct {
	*arrival
	id    string
	runs  map[int]*simRun
	ended map[int]bool
	saved map[int]time.Duration // work that a checkpoint holds
	tries map[int]int
	worth float64 // by size
	over  bool
}

type simRun struct {
	job      *simJob
	task     int
	id       workflow.RunID
	worker   int
	from     time.Duration
	expected time.Duration
	ends     time.Duration
	slowdown float64
	stopAt   time.Duration // when a stop has taken effect; 0 for none
	fails    bool
	claim    bool
}

type play struct {
	load     *Load
	decide   Decide
	now      time.Duration
	workers  []workflowscheduler.Worker
	speed    []float64
	jobs     []*simJob
	runs     []*simRun
	runtimes *estimate.Runtimes
	mean     map[string][2]float64 // size and number of jobs by queue
	result   Result
	thrown   float64
	worked   float64
	idle     [2]float64
}

// Play plays a seeded day.
func Play(l *Load, seed uint64, decide Decide) Result {
	p := &play{
		load: l, decide: decide, runtimes: estimate.NewRuntimesWithPrior(estimate.Prior{Slope: 0.3, Weight: 6}),
		mean: map[string][2]float64{}, result: Result{ByQueue: map[string]float64{}},
	}
	whole := workflow.Resources{CPUMilli: 64000, MemoryMB: 262144, GPUs: 8}
	for i := range l.Workers {
		rack := fmt.Sprintf("r%d", i%l.Racks)
		p.workers = append(p.workers, workflowscheduler.Worker{ID: fmt.Sprintf("w%03d", i), Rack: rack, Labels: []string{"a", rack}, Capacity: whole, Free: whole, Usable: true, Slowdown: 1})
		p.speed = append(p.speed, slowest+(fastest-slowest)*float64(i*7%l.Workers)/float64(l.Workers))
	}
	coming := l.arrivals(seed)
	sizes := map[string][2]float64{}
	for _, a := range coming {
		s := sizes[a.kind.Queue]
		sizes[a.kind.Queue] = [2]float64{s[0] + a.size(), s[1] + 1}
	}
	alone := 0.0
	owed, earned, total := map[string]float64{}, map[string]float64{}, [2]float64{}
	end := l.Length + finish
	for ; p.now <= end; p.now = p.next(coming) {
		changed := p.finishRuns(earned)
		for len(coming) > 0 && coming[0].at <= p.now {
			a := coming[0]
			coming = coming[1:]
			s := sizes[a.kind.Queue]
			j := &simJob{
				arrival: a, id: fmt.Sprintf("j%05d", len(p.jobs)), runs: map[int]*simRun{}, ended: map[int]bool{}, saved: map[int]time.Duration{},
				tries: map[int]int{}, worth: a.kind.Worth * min(0.3+0.7*a.size()*s[1]/s[0], 4),
			}
			owed[a.kind.Queue] += j.worth
			alone += p.alone(j)
			p.jobs = append(p.jobs, j)
			p.runtimes.Declare(a.kind.Queue, a.declared)
			m := p.mean[a.kind.Queue]
			p.mean[a.kind.Queue] = [2]float64{m[0] + float64(len(a.work))*cores(a.need)*a.declared.Seconds(), m[1] + 1}
			changed = true
		}
		if changed || p.now%tick == 0 {
			p.cycle()
		}
	}
	for q, o := range owed {
		p.result.ByQueue[q] = earned[q] / o
		total[0], total[1] = total[0]+earned[q], total[1]+o
	}
	p.result.Worth, p.result.Bound = total[0]/total[1], alone/total[1]
	p.result.Thrown = p.thrown / max(p.worked, 1)
	p.result.Idle = p.idle[0] / max(p.idle[1], 1)
	return p.result
}

// next returns the time of the next event, a tick at the latest.
func (p *play) next(coming []*arrival) time.Duration {
	at := (p.now/tick + 1) * tick
	for _, r := range p.runs {
		at = min(at, max(r.over(), p.now+time.Millisecond))
	}
	if len(coming) > 0 {
		at = min(at, max(coming[0].at, p.now+time.Millisecond))
	}
	return at
}

// over is when the run ends.
func (r *simRun) over() time.Duration {
	if r.stopAt > 0 {
		return min(r.ends, r.stopAt)
	}
	return r.ends
}

func (p *play) finishRuns(earned map[string]float64) bool {
	changed := false
	for _, r := range slices.Clone(p.runs) {
		if r.over() > p.now || !slices.Contains(p.runs, r) {
			continue
		}
		changed = true
		done := r.stopAt == 0 || r.ends <= r.stopAt
		members := []*simRun{r}
		if r.job.gang {
			members = nil
			for _, m := range r.job.runs {
				members = append(members, m)
			}
		}
		for _, m := range members {
			p.end(m, done && !r.fails)
		}
		j := r.job
		if !j.over && len(j.ended) == len(j.work) {
			j.over = true
			earned[j.kind.Queue] += p.earned(j)
		}
	}
	return changed
}

// earned returns the worth of a job that ends now, by its actual work.
func (p *play) earned(j *simJob) float64 {
	return j.earns(p.now - j.at)
}

// alone returns what the job earns if nothing else runs: a gang that wants one
// rack and fits in none runs slower.
func (p *play) alone(j *simJob) float64 {
	took := slices.Max(j.work)
	if j.sameRack {
		room := map[string]int{}
		for _, w := range p.workers {
			room[w.Rack] += w.Capacity.Count(j.need)
		}
		fits := false
		for _, n := range room {
			fits = fits || n >= len(j.work)
		}
		if !fits {
			took = time.Duration(float64(took) * remotePenalty)
		}
	}
	return j.earns(took)
}

func (j *simJob) earns(took time.Duration) float64 {
	objective := time.Duration(j.kind.Stretch*float64(slices.Max(j.work))) + j.kind.Slack
	switch {
	case took <= objective:
		return j.worth
	case took <= 3*objective:
		return j.worth * j.kind.LateWorth / j.kind.Worth
	}
	return 0
}

func (p *play) end(r *simRun, done bool) {
	j := r.job
	p.runs = slices.DeleteFunc(p.runs, func(x *simRun) bool { return x == r })
	delete(j.runs, r.task)
	w := &p.workers[r.worker]
	w.Free = w.Free.Add(j.need, 1)
	work := p.now - r.from
	p.worked += work.Seconds() * cores(j.need)
	if done {
		j.ended[r.task] = true
		if r.task == 0 && j.saved[0] == 0 && r.slowdown < remotePenalty {
			p.runtimes.Observe("", j.kind.Queue, "", j.declared, work)
		}
		return
	}
	lost := work
	if j.saves && !r.fails {
		kept := (time.Duration(float64(work)/r.slowdown) / checkpointEvery) * checkpointEvery
		j.saved[r.task] += kept
		lost = work - time.Duration(float64(kept)*r.slowdown)
	}
	p.thrown += lost.Seconds() * cores(j.need)
}

func (p *play) cycle() {
	snap, jobs := p.snapshot()
	free, all := 0, 0
	for _, w := range p.workers {
		free, all = free+w.Free.GPUs, all+w.Capacity.GPUs
	}
	if len(snap.Groups) > 0 {
		p.idle = [2]float64{p.idle[0] + float64(free)/float64(all), p.idle[1] + 1}
	}
	plan := p.decide(snap)
	for _, s := range plan.Stops {
		for _, r := range p.runs {
			if r.id == s.Run && r.stopAt == 0 {
				r.stopAt = p.now + p.load.StopGrace
			}
		}
	}
	racks := map[int]map[string]bool{}
	index := map[string]int{}
	for i, w := range p.workers {
		index[w.ID] = i
	}
	for _, s := range plan.Starts {
		if racks[s.Group] == nil {
			racks[s.Group] = map[string]bool{}
		}
		racks[s.Group][p.workers[index[s.Worker]].Rack] = true
	}
	for _, s := range plan.Starts {
		p.start(jobs[s.Group], s, index[s.Worker], jobs[s.Group].sameRack && len(racks[s.Group]) > 1, snap.Groups[s.Group].Guaranteed)
	}
	p.alignGangs()
}

func (p *play) start(j *simJob, s workflowscheduler.Start, worker int, spread, claim bool) {
	j.tries[s.Task]++
	r := &simRun{
		job: j, task: s.Task, worker: worker, from: p.now, expected: s.Expected, slowdown: 1 / p.speed[worker], claim: claim,
		id: workflow.RunID{Task: workflow.TaskID{Job: j.id, Index: s.Task}, Attempt: j.tries[s.Task]}, fails: j.fails[s.Task] && j.tries[s.Task] == 1,
	}
	if spread {
		r.slowdown *= remotePenalty
	}
	left := j.work[s.Task] - j.saved[s.Task]
	if r.fails {
		left /= 2
	}
	r.ends = p.now + max(time.Duration(float64(left)*r.slowdown), time.Millisecond)
	p.workers[worker].Free = p.workers[worker].Free.Add(j.need, -1)
	j.runs[s.Task] = r
	p.runs = append(p.runs, r)
}

// alignGangs lets the members of a gang end together, with the slowest.
func (p *play) alignGangs() {
	for _, j := range p.jobs {
		if !j.gang || j.over {
			continue
		}
		last, failed := time.Duration(0), time.Duration(0)
		for _, r := range j.runs {
			last = max(last, r.ends)
			if r.fails {
				failed = r.ends
			}
		}
		for _, r := range j.runs {
			r.ends = cmp.Or(failed, last)
			r.fails = failed > 0
		}
	}
}

func (p *play) snapshot() (*workflowscheduler.Snapshot, []*simJob) {
	s := &workflowscheduler.Snapshot{Now: p.now, StopGrace: p.load.StopGrace, ReclaimIn: p.load.Reclaim, RemotePenalty: remotePenalty, Workers: slices.Clone(p.workers)}
	claims := make([]int, p.load.Accounts)
	var jobs []*simJob
	for _, j := range p.jobs {
		if j.over {
			continue
		}
		expected, _ := p.runtimes.Quantiles("", j.kind.Queue, j.declared)
		area := float64(len(j.work)) * cores(j.need) * expected.Seconds()
		value := p.value(j, expected)
		claim := false
		if j.kind.Priority == 0 && p.load.Guaranteed > 0 {
			claims[j.account] += j.need.GPUs * len(j.work)
			claim = claims[j.account] <= p.load.Guaranteed
		}
		for _, r := range j.runs {
			s.Running = append(s.Running, p.running(r, area, expected, value))
		}
		if j.gang && len(j.runs) > 0 {
			continue
		}
		g := workflowscheduler.Group{
			Job: j.id, Need: j.need, Gang: j.gang, SameRack: j.sameRack, Expected: expected, Chain: expected, Priority: j.kind.Priority, Since: j.at,
			Value: value, Guaranteed: claim,
		}
		for i := range j.work {
			if j.runs[i] == nil && !j.ended[i] {
				g.Tasks = append(g.Tasks, i)
			}
		}
		if len(g.Tasks) == 0 {
			continue
		}
		g.Area = float64(len(g.Tasks)) * cores(j.need) * expected.Seconds()
		s.Groups, jobs = append(s.Groups, g), append(jobs, j)
	}
	slices.SortFunc(s.Running, func(a, b workflowscheduler.Running) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	return s, jobs
}

// value is the worth of a job as far as the decider can know it.
func (p *play) value(j *simJob, expected time.Duration) workflowscheduler.Value {
	objective := time.Duration(j.kind.Stretch*float64(expected)) + j.kind.Slack
	worth := j.kind.Worth
	if m := p.mean[j.kind.Queue]; m[1] >= 5 {
		worth *= min(0.3+0.7*float64(len(j.work))*cores(j.need)*j.declared.Seconds()*m[1]/m[0], 4)
	}
	return workflowscheduler.Value{OnTime: j.at + objective, Late: j.at + 3*objective, Worth: worth, LateWorth: worth * j.kind.LateWorth / j.kind.Worth}
}

func (p *play) running(r *simRun, area float64, expected time.Duration, value workflowscheduler.Value) workflowscheduler.Running {
	elapsed := p.now - r.from
	ends := r.from + r.expected
	if total := r.ends - r.from; elapsed*10 >= total {
		ends = r.ends // a tenth of the work shows how long the rest takes
	} else if ends < p.now {
		ends = p.now + r.expected/4
	}
	lost, redo := elapsed, expected
	if r.job.saves {
		lost, redo = min(lost, checkpointEvery), max(ends-p.now, 0)+checkpointEvery
	}
	return workflowscheduler.Running{
		ID: r.id, Worker: p.workers[r.worker].ID, Need: r.job.need, Gang: r.job.gang, EndsAt: ends, Priority: r.job.kind.Priority, Guaranteed: r.claim,
		Lost: lost.Seconds() * cores(r.job.need), Area: area, Redo: redo, Value: value, Stopping: r.stopAt > 0,
	}
}
