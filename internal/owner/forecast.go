package owner

import (
	"expvar"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/parsleypier/parsleypier/internal/estimate"
	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// startEstimates counts what became of the estimates of starts. One estimate of
// a job is judged: the first that was computed, for an operator or as a sample.
var startEstimates = new(expvar.Map).Init()

func init() { counters.Set("start_estimates", startEstimates) }

// Keys of startEstimates.
const (
	// startInRange, startEarly and startLate are judged estimates. A job that
	// still waits after the range counts as late at once.
	startInRange = "in_range"
	startEarly   = "early"
	startLate    = "late"
	// startWithdrawn jobs ended without a start within the range.
	startWithdrawn = "withdrawn"
	// startUnjudged had no range yet: too few starts had been observed.
	startUnjudged = "unjudged"
)

// startRecord is the number of judged estimates of this owner.
type startRecord struct{ judged, inRange int }

// forecast is the estimate of a job that is judged. Times are on the owner's clock.
type forecast struct {
	at time.Duration
	// predicted is the model's wait.
	predicted time.Duration
	// low and high bound the start if ranged is true.
	low, high time.Duration
	ranged    bool
	// settled says that it was counted before the job started.
	settled bool
}

// estimateStart returns when a waiting job is expected to start, or why that
// cannot be said. It visits the queue and the gangs once. The caller holds o.mu.
func (o *Owner) estimateStart(j *job) *structs.StartEstimate {
	e := &structs.StartEstimate{Judged: o.starts.judged, InRange: o.starts.inRange}
	predicted, none := o.predictWait(j)
	if none != "" {
		e.None = none
		return e
	}
	low, high, observed, ok := o.startTimes.Range(j.rec.Spec.Account, j.rec.Spec.Kind, predicted)
	if j.forecast == nil {
		now := o.now()
		j.forecast = &forecast{at: now, predicted: predicted, low: now + low, high: now + high, ranged: ok}
	}
	if !ok {
		e.None = fmt.Sprintf("too few starts were observed to learn from: %d of %d", observed, estimate.Needed)
		return e
	}
	e.EarliestSeconds, e.LatestSeconds = low.Seconds(), high.Seconds()
	return e
}

// predictWait is a rough model of the time until a job starts, which Starts
// corrects by experience: the work of the running gangs and of the jobs ahead,
// as shares of what the ready workers have, is done one after another. none says
// why there is no prediction. The caller holds o.mu.
func (o *Owner) predictWait(j *job) (wait time.Duration, none string) {
	now := o.now()
	capacity := o.readyCapacity(now)
	switch {
	case o.recovering:
		return 0, "the owner of the domain is recovering"
	case !j.queued():
		return 0, "the job is not in the queue yet"
	case !j.rec.Idempotent && o.cfg.Health() == platformclient.HealthDown:
		return 0, "the platform is out of reach, and nobody knows for how long"
	case o.waits[j.rec.ID] == structs.WaitQuota:
		return 0, "the account is at its quota: the end of its own jobs decides, or a change of the manifest"
	case capacity.Accelerators+capacity.CoresMilli == 0:
		return 0, "no worker of the domain is ready"
	case j.reserved != nil:
		return max(j.reserved.Start-now, 0), ""
	}
	work := o.runningWork(now, &capacity)
	medians := map[jobRun]float64{}
	median := func(q *job) float64 {
		r := jobRun{q.rec.Spec.Account, q.rec.Spec.Kind, q.rec.RunSeconds}
		m, ok := medians[r]
		if !ok {
			p50, _ := o.runtimes.Quantiles(r.account, r.kind, structs.Seconds(r.declared))
			m = p50.Seconds()
			medians[r] = m
		}
		return m
	}
	place := placeOf(j, median(j), now)
	for _, q := range o.queue {
		if run := median(q); q != j && placeOf(q, run, now) < place {
			work += share(&q.rec.Shape, &capacity) * run
		}
	}
	return structs.Seconds(work), ""
}

// jobRun names jobs with the same learned run time.
type jobRun struct {
	account, kind string
	declared      float64
}

// readyCapacity sums what the workers that receive work have.
func (o *Owner) readyCapacity(now time.Duration) structs.WorkerCapacity {
	var sum structs.WorkerCapacity
	for id, a := range o.agents {
		if o.workerState(id, now) == structs.WorkerReady {
			sum.Accelerators += a.info.Accelerators
			sum.CoresMilli += a.info.CoresMilli
			sum.MemoryMB += a.info.MemoryMB
		}
	}
	return sum
}

// minRemaining is the part of its median run time that a gang is taken to need
// still when it has run for longer.
const minRemaining = 0.25

// runningWork returns the work that the running gangs still have, in seconds of
// the whole capacity.
func (o *Owner) runningWork(now time.Duration, capacity *structs.WorkerCapacity) float64 {
	work := 0.0
	for _, g := range o.gangs {
		declared := time.Duration(0)
		if g.job != nil {
			declared = structs.Seconds(g.job.rec.RunSeconds)
		}
		p50, _ := o.runtimes.Quantiles(g.account, g.desc.Kind, declared)
		left := max(p50.Seconds()-(now-g.started).Seconds(), minRemaining*p50.Seconds())
		work += share(&g.shape, capacity) * left
	}
	return work
}

// share returns the largest part of a resource that the shape needs.
func share(s *structs.Shape, c *structs.WorkerCapacity) float64 {
	part := func(need, have int) float64 {
		if have == 0 {
			return 0
		}
		return min(float64(need*s.Workers)/float64(have), 1)
	}
	return max(part(s.Accelerators, c.Accelerators), part(s.CoresMilli, c.CoresMilli), part(s.MemoryMB, c.MemoryMB))
}

// placeOf returns the place of a job in the order that the model assumes, lower
// first: urgent jobs, then short ones and those that have waited long. run is
// its median run time in seconds.
func placeOf(j *job, run float64, now time.Duration) float64 {
	run = max(run, 0.1)
	place := run * run / (run + (now - j.submitted).Seconds())
	if j.rec.Urgency == structs.Urgent {
		return place - math.MaxInt32
	}
	return place
}

// forecastRound judges the estimates whose range has passed, and estimates one
// more waiting job, so that there is something to learn from when no operator
// asks. It runs in the reconcile controller.
func (o *Owner) forecastRound() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	var sample *job
	open := 0
	for _, j := range o.queue {
		switch f := j.forecast; {
		case f == nil && j.queued():
			// Each of them is as likely as the others.
			if open++; rand.IntN(open) == 0 {
				sample = j
			}
		case f != nil && f.ranged && !f.settled && now > f.high:
			o.judge(j, now)
			f.settled = true
		}
	}
	if sample != nil {
		o.estimateStart(sample)
	}
}

// judgeStart judges the estimate of a job whose gang is prepared. A placement
// that an agent refuses is no start. The caller holds o.mu.
func (o *Owner) judgeStart(j *job) {
	if j.forecast != nil && !j.forecast.settled {
		o.judge(j, o.now())
	}
	j.forecast = nil
}

// withdrawEstimate forgets the estimate of a job that ended without a start. The
// caller holds o.mu.
func (o *Owner) withdrawEstimate(j *job) {
	if j.forecast != nil && !j.forecast.settled {
		startEstimates.Add(startWithdrawn, 1)
	}
	j.forecast = nil
}

// judge counts the estimate of a job that starts, or has not started, at now.
func (o *Owner) judge(j *job, now time.Duration) {
	f := j.forecast
	o.startTimes.Observe(j.rec.Spec.Account, j.rec.Spec.Kind, f.predicted, now-f.at)
	if !f.ranged {
		startEstimates.Add(startUnjudged, 1)
		return
	}
	o.starts.judged++
	early, late := now < f.low, now > f.high
	o.startTimes.Judge(early, late)
	switch {
	case early:
		startEstimates.Add(startEarly, 1)
	case late:
		startEstimates.Add(startLate, 1)
	default:
		o.starts.inRange++
		startEstimates.Add(startInRange, 1)
	}
}
