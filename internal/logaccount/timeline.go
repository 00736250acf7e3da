package logaccount

import (
	"math"
	"slices"
	"time"
)

// cluster is what the log says of the deployment as a whole.
type cluster struct {
	jobs map[string]*jobLog
	// terms lists the takeovers: when the former owner last logged a decision, and when
	// the new one had read all rows.
	terms []term
	// cpuMilli and gpus are the sums over the workers found.
	cpuMilli, gpus int
	last           time.Time // of all events
}

type term struct{ lastDecision, loaded time.Time }

// decisions are the events that only an owner logs.
var decisions = map[string]bool{"load": true, "run_ordered": true, "run_started": true, "run_ended": true, "step_waits": true, "job_ended": true, "job_seen": true}

// read collects the events by job.
func read(l *Log) *cluster {
	l.sort()
	c := &cluster{jobs: map[string]*jobLog{}}
	runs := map[string]*run{}
	workers := map[string]event{}
	lastDecision := map[string]time.Time{} // by process
	owner := ""
	for i := range l.events {
		e := &l.events[i]
		c.last = e.Time
		if decisions[e.Name] {
			lastDecision[e.Process] = e.Time
		}
		switch e.Name {
		case "owner_loaded":
			c.terms = append(c.terms, term{lastDecision[owner], e.Time})
			owner = e.Process
		case "worker_found":
			workers[e.Worker] = *e
		}
		if e.Job == "" {
			continue
		}
		j := c.jobs[e.Job]
		if j == nil {
			j = &jobLog{id: e.Job, lookedAt: map[time.Time]time.Time{}}
			c.jobs[e.Job] = j
		}
		j.apply(e, runs)
		if n := len(c.terms); n > 0 && (e.Name == "run_ordered" || e.Name == "step_waits") {
			if at := c.terms[n-1].loaded; j.lookedAt[at].IsZero() {
				j.lookedAt[at] = e.Time
			}
		}
	}
	for _, w := range workers {
		c.cpuMilli, c.gpus = c.cpuMilli+w.CPUMilli, c.gpus+w.GPUs
	}
	// A worker that started anew is counted once for each life. The sum over the processes'
	// first lives is closer to what was there at a time.
	if lives := len(workers); lives > 0 {
		machines := map[string]bool{}
		for _, w := range workers {
			machines[w.Process] = true
		}
		c.cpuMilli, c.gpus = c.cpuMilli*len(machines)/lives, c.gpus*len(machines)/lives
	}
	return c
}

// apply adds an event to its job.
func (j *jobLog) apply(e *event, runs map[string]*run) {
	switch e.Name {
	case "request":
		j.applyRequest(e)
	case "job_seen":
		if j.seen.IsZero() {
			j.seen, j.terms, j.queue, j.account = e.Time, *e, e.Queue, e.Account
		}
	case "job_ended":
		if j.ended.IsZero() || j.state == "" {
			j.ended, j.state = e.Time, e.State
		}
	case "job_given_up":
		j.givenUp = true
	case "step_waits":
		j.waits = append(j.waits, stepWait{e.Time, e.Step, e.Reason})
	case "run_ordered", "run_adopted":
		if runs[e.Run] == nil {
			r := &run{id: e.Run, worker: e.Worker, ordered: e.Time, expected: time.Duration(e.Expected) * time.Millisecond}
			r.task, r.step = splitRun(e.Run)
			if e.Name == "run_adopted" {
				r.started = e.Time
			}
			runs[e.Run] = r
			j.runs = append(j.runs, r)
		}
	case "run_started":
		if r := runs[e.Run]; r != nil && r.started.IsZero() {
			r.started = e.Time
		}
	case "run_ended":
		if r := runs[e.Run]; r != nil && r.ended.IsZero() {
			r.ended, r.how, r.why, r.percent = e.Time, e.How, e.Why, e.Percent
		}
	}
}

func (j *jobLog) applyRequest(e *event) {
	switch {
	case e.Call == "cancel" && e.Status < 300:
		j.cancelled = true
	case e.Call == "submit":
		if j.submitted.IsZero() {
			j.submitted, j.queue, j.account = e.Time.Add(-time.Duration(e.TookMs)*time.Millisecond), e.Queue, e.Account
		}
		if e.Status < 300 && j.accepted.IsZero() {
			j.accepted = e.Time
		}
		if e.Status >= 300 {
			j.refusal = e.Err
		}
	}
}

// taskTimes returns the run times of the step's tasks that are known: of completed first
// attempts, and extrapolated for first attempts that ended early with some progress.
func (j *jobLog) taskTimes(step int) []time.Duration {
	const minPercent = 15 // below it, an extrapolation is mostly rounding
	var out []time.Duration
	seen := map[string]bool{}
	for _, r := range j.runs {
		if r.step != step || r.started.IsZero() || r.ended.IsZero() {
			continue
		}
		first := !seen[r.task]
		seen[r.task] = true
		took := r.ended.Sub(r.started)
		switch {
		case r.how == "done" && (first || !j.terms.Shape[step].Checkpoint):
			out = append(out, took)
		case first && r.how != "done" && r.percent >= minPercent:
			out = append(out, took*100/time.Duration(r.percent))
		}
	}
	return out
}

// paths returns the longest chain of work of the job by its actual run times, and that
// chain with wide steps counted as several waves.
func (c *cluster) paths(j *jobLog) (chain, allowed time.Duration) {
	ends, inWaves := make([]time.Duration, len(j.terms.Shape)), make([]time.Duration, len(j.terms.Shape))
	for i, s := range j.terms.Shape {
		longest := time.Duration(s.DeclaredMs) * time.Millisecond
		if times := j.taskTimes(i); len(times) > 0 {
			if longest = slices.Max(times); s.Gang {
				longest = slices.Min(times)
			}
		}
		var before, beforeInWaves time.Duration
		for _, a := range s.After {
			if a >= 0 && a < i {
				before, beforeInWaves = max(before, ends[a]), max(beforeInWaves, inWaves[a])
			}
		}
		ends[i] = before + longest
		inWaves[i] = beforeInWaves + time.Duration(c.waves(j, s)*float64(longest))
		chain, allowed = max(chain, ends[i]), max(allowed, inWaves[i])
	}
	return chain, allowed
}

// waves returns in how many waves the tasks of a step are allowed to run.
func (c *cluster) waves(j *jobLog, s stepShape) float64 {
	if j.terms.Waves <= 0 || s.Gang {
		return 1
	}
	slots := math.Inf(1)
	if s.GPUs > 0 {
		slots = float64(c.gpus / s.GPUs)
	}
	if s.CPUMilli > 0 {
		slots = min(slots, float64(c.cpuMilli/s.CPUMilli))
	}
	return max(1, math.Ceil(float64(s.Tasks)/max(1, j.terms.Waves*slots)))
}
