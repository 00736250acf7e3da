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

// startEstimates counts the outcomes of start estimates. For each job one
// estimate is judged, that is compared with the actual start: the first that was
// computed, for an operator or as a sample.
var startEstimates = new(expvar.Map).Init()

func init() { counters.Set("start_estimates", startEstimates) }

// Keys of startEstimates.
const (
	// startInRange, startEarly and startLate count judged estimates by where the
	// start was relative to the estimated range. A job that still waits after the
	// range counts as late immediately.
	startInRange = "in_range"
	startEarly   = "early"
	startLate    = "late"
	// startWithdrawn counts jobs that ended without a start within the range.
	startWithdrawn = "withdrawn"
	// startUnjudged counts estimates without a range because too few starts had
	// been observed.
	startUnjudged = "unjudged"
)

// startEstimateStats counts the judged estimates of this owner.
type startEstimateStats struct{ judged, inRange int }

// startForecast is the start estimate of a job that will be judged. Times are on
// the owner's clock.
type startForecast struct {
	madeAt time.Duration
	// predictedWait is the waiting time that predictWait returned.
	predictedWait time.Duration
	// earliest and latest bound the start if hasRange is true.
	earliest, latest time.Duration
	hasRange         bool
	// judged is true if the estimate was judged before the job started.
	judged bool
}

// estimateStart returns when a waiting job is expected to start, or why there is
// no estimate. It iterates over the queue and the gangs once. The caller holds
// o.mu.
func (o *Owner) estimateStart(j *job) *structs.StartEstimate {
	e := &structs.StartEstimate{Judged: o.startStats.judged, InRange: o.startStats.inRange}
	predicted, none := o.predictWait(j)
	if none != "" {
		e.None = none
		return e
	}
	low, high, observed, ok := o.startEstimator.Range(j.rec.Spec.Account, j.rec.Spec.Kind, predicted)
	if j.forecast == nil {
		now := o.now()
		j.forecast = &startForecast{madeAt: now, predictedWait: predicted, earliest: now + low, latest: now + high, hasRange: ok}
	}
	if !ok {
		e.None = fmt.Sprintf("too few starts were observed to learn from: %d of %d", observed, estimate.MinObservations)
		return e
	}
	e.EarliestSeconds, e.LatestSeconds = low.Seconds(), high.Seconds()
	return e
}

// predictWait returns a rough prediction of the time until a job starts;
// estimate.StartTimes corrects it by observed waiting times. The model assumes that
// the work of the running gangs and of the jobs ahead in the queue is done one
// after another, each gang's work being its run time weighted by its share of the
// ready capacity. none says why there is no prediction. The caller holds o.mu.
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
	case o.waitReasons[j.rec.ID] == structs.WaitQuota:
		return 0, "the account is at its quota: the end of its own jobs decides, or a change of the manifest"
	case capacity.Accelerators+capacity.CoresMilli == 0:
		return 0, "no worker of the domain is ready"
	case j.reservation != nil:
		return max(j.reservation.Start-now, 0), ""
	}
	work := o.runningWork(now, &capacity)
	medians := map[runTimeKey]float64{}
	median := func(q *job) float64 {
		r := runTimeKey{q.rec.Spec.Account, q.rec.Spec.Kind, q.rec.RunSeconds}
		m, ok := medians[r]
		if !ok {
			p50, _ := o.runtimes.Quantiles(r.account, r.kind, structs.Seconds(r.declared))
			m = p50.Seconds()
			medians[r] = m
		}
		return m
	}
	order := queueOrder(j, median(j), now)
	for _, q := range o.queue {
		if run := median(q); q != j && queueOrder(q, run, now) < order {
			work += resourceShare(&q.rec.Shape, &capacity) * run
		}
	}
	return structs.Seconds(work), ""
}

// runTimeKey identifies jobs that share a learned run time.
type runTimeKey struct {
	account, kind string
	declared      float64
}

// readyCapacity sums the capacity of the workers that can receive work.
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

// minRemainingFraction is the smallest fraction of its median run time that a
// running gang is assumed to still need, however long it has run.
const minRemainingFraction = 0.25

// runningWork returns the remaining work of the running gangs, in seconds of the
// whole capacity.
func (o *Owner) runningWork(now time.Duration, capacity *structs.WorkerCapacity) float64 {
	work := 0.0
	for _, g := range o.gangs {
		declared := time.Duration(0)
		if g.job != nil {
			declared = structs.Seconds(g.job.rec.RunSeconds)
		}
		p50, _ := o.runtimes.Quantiles(g.account, g.desc.Kind, declared)
		left := max(p50.Seconds()-(now-g.startedAt).Seconds(), minRemainingFraction*p50.Seconds())
		work += resourceShare(&g.shape, capacity) * left
	}
	return work
}

// resourceShare returns the largest fraction of any resource that the shape
// needs.
func resourceShare(s *structs.Shape, c *structs.WorkerCapacity) float64 {
	part := func(need, have int) float64 {
		if have == 0 {
			return 0
		}
		return min(float64(need*s.Workers)/float64(have), 1)
	}
	return max(part(s.Accelerators, c.Accelerators), part(s.CoresMilli, c.CoresMilli), part(s.MemoryMB, c.MemoryMB))
}

// queueOrder returns a sort key for the queue order that the model assumes,
// lowest first: urgent jobs, then jobs that are short or have waited long. run is
// the median run time of the job in seconds.
func queueOrder(j *job, run float64, now time.Duration) float64 {
	// A median of 0 would put the job first, or give 0/0 if it was just submitted.
	run = max(run, 0.1)
	order := run * run / (run + (now - j.submitted).Seconds())
	if j.rec.Urgency == structs.Urgent {
		return order - math.MaxInt32 // lower than the key of any other job
	}
	return order
}

// updateForecasts judges the estimates whose range has passed, and estimates one
// more waiting job, so that the estimator gets observations when no operator asks
// for estimates. The reconcile loop calls it.
func (o *Owner) updateForecasts() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	var sample *job
	candidates := 0
	for _, j := range o.queue {
		switch f := j.forecast; {
		case f == nil && j.queued():
			// Reservoir sampling: each candidate is equally likely.
			if candidates++; rand.IntN(candidates) == 0 {
				sample = j
			}
		case f != nil && f.hasRange && !f.judged && now > f.latest:
			o.judgeForecast(j, now)
			f.judged = true
		}
	}
	if sample != nil {
		o.estimateStart(sample)
	}
}

// judgeForecastAtStart judges the estimate of a job whose gang is prepared on all
// members. A placement that an agent refused does not count as a start. The
// caller holds o.mu.
func (o *Owner) judgeForecastAtStart(j *job) {
	if j.forecast != nil && !j.forecast.judged {
		o.judgeForecast(j, o.now())
	}
	j.forecast = nil
}

// withdrawForecast drops the estimate of a job that ended without a start. The
// caller holds o.mu.
func (o *Owner) withdrawForecast(j *job) {
	if j.forecast != nil && !j.forecast.judged {
		startEstimates.Add(startWithdrawn, 1)
	}
	j.forecast = nil
}

// judgeForecast compares the estimate of a job with now, the time at which the
// job starts or has waited beyond the range. The caller holds o.mu.
func (o *Owner) judgeForecast(j *job, now time.Duration) {
	f := j.forecast
	o.startEstimator.Observe(j.rec.Spec.Account, j.rec.Spec.Kind, f.predictedWait, now-f.madeAt)
	if !f.hasRange {
		startEstimates.Add(startUnjudged, 1)
		return
	}
	o.startStats.judged++
	early, late := now < f.earliest, now > f.latest
	o.startEstimator.AdjustRange(early, late)
	switch {
	case early:
		startEstimates.Add(startEarly, 1)
	case late:
		startEstimates.Add(startLate, 1)
	default:
		o.startStats.inRange++
		startEstimates.Add(startInRange, 1)
	}
}
