package bench

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/check"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Classes are the size classes of jobs. A large job has at least half of the
// accelerators of the workload's largest shape, a small one has at most one.
var Classes = []string{"small", "medium", "large"}

// starvedWaitRatio is the ratio of wait to run time above which a job counts as
// starved.
const starvedWaitRatio = 20

// Summary is the mean and 95th percentile of a measurement.
type Summary struct{ Mean, P95 float64 }

// Result holds the measurements of one run. Times are in seconds. Completion and
// slowdown cover the jobs that every policy can finish: those without a planned
// cancellation, not poisoned, and with a shape that some worker holds. Those that
// ended in another state than finished are left out, and those that have not
// ended count with their age. Waits and starvation cover all of those jobs.
type Result struct {
	Deployment, Policy, Load string
	Seed                     uint64

	Completion, Slowdown map[string]Summary // by size class, and "all"
	// Bound and BoundP95 are lower bounds of the mean and 95th percentile of the
	// completion times under any policy.
	Bound, BoundP95 float64
	// MaxWaitLarge is the longest wait of a large job, in seconds;
	// MaxWaitRatioLarge is the largest ratio of wait to run time.
	MaxWaitLarge, MaxWaitRatioLarge float64
	// Fragmentation is the share of free accelerators that the largest waiting
	// or guaranteed shape cannot use, averaged over accelerators and time.
	// Stranded is the same amount as a share of all accelerators.
	Fragmentation, Stranded float64
	Utilization             float64
	// Idle and IdleUnusable break the free and the unusable accelerators down by
	// cause, as shares of all accelerators.
	Idle, IdleUnusable [idleCauses]float64
	// LostWork is the work lost to preemptions, as a share of the work of all jobs.
	LostWork float64
	// ReclaimP99 is the 99th percentile of how long claims on guarantees stay
	// open, and Claims is their number. A job that arrives while its account's
	// guarantee covers it opens a claim. The next first start of a job of that
	// account and shape closes the oldest one.
	ReclaimP99 float64
	Claims     int
	Starved    int // jobs whose wait exceeds starvedWaitRatio run times
	// GuaranteeViolations counts decisions after which an unused guarantee no
	// longer fits. OtherViolations counts violations of the other rules of
	// package check, by rule.
	GuaranteeViolations int
	OtherViolations     map[string]int
	PlanErrors          int // parts of plans that contradicted the current state
	Ended               map[structs.JobState]int
	Unfinished          int
	Preemptions         map[structs.PreemptReason]int
	Decisions           int
	DecisionMicros      float64 // mean duration in microseconds
}

// metrics collects the measurements of a run. Fields with the suffix Integral are
// integrals over time in seconds.
type metrics struct {
	busy, total                    int // accelerators in use and in all
	decisions                      int
	decisionTime                   time.Duration
	checkEvery                     int // every nth plan with changes is checked for violations
	planErrors                     int
	lostWork                       float64 // accelerator-seconds
	preemptions                    map[structs.PreemptReason]int
	guaranteeViolations            int
	otherViolations                map[string]int
	largestGuarantee               structs.Shape // by accelerators
	unusable, free                 int           // accelerators, as of the last decision
	lastTime                       time.Duration
	unusableIntegral, freeIntegral float64
	openClaims                     map[claimKey][]time.Duration // opening times of claims, oldest first
	claimWaits                     []float64                    // seconds, of closed claims
	busyIntegral, totalIntegral    float64
	idleByCause, idleIntegral      idleCounts
}

// claimKey identifies the claims that the same jobs can close.
type claimKey struct {
	account string
	shape   structs.Shape
}

// openClaim records a claim on a guarantee. The policy may close it by starting
// any job of the account with the same shape.
func (m *metrics) openClaim(j *Job, now time.Duration) {
	key := claimKey{j.Account, j.Shape}
	m.openClaims[key] = append(m.openClaims[key], now)
}

// closeOldestClaim closes the oldest claim of the job's account and shape and
// records how long it was open.
func (m *metrics) closeOldestClaim(j *Job, now time.Duration) {
	key := claimKey{j.Account, j.Shape}
	if claims := m.openClaims[key]; len(claims) > 0 {
		m.claimWaits = append(m.claimWaits, (now - claims[0]).Seconds())
		m.openClaims[key] = claims[1:]
	}
}

// dropNewestClaim removes the newest claim of the job's account and shape without
// recording it.
func (m *metrics) dropNewestClaim(j *Job) {
	key := claimKey{j.Account, j.Shape}
	if claims := m.openClaims[key]; len(claims) > 0 {
		m.openClaims[key] = claims[:len(claims)-1]
	}
}

func newMetrics(w *Workload) metrics {
	m := metrics{
		checkEvery: 1, preemptions: map[structs.PreemptReason]int{}, otherViolations: map[string]int{}, openClaims: map[claimKey][]time.Duration{},
	}
	if len(w.Workers) > 50 {
		m.checkEvery = 5 // checking a plan for 200 workers takes milliseconds
	}
	for i := range w.Workers {
		m.total += w.Workers[i].Accelerators
	}
	for i := range w.Accounts {
		for _, g := range w.Accounts[i].Guarantee {
			if g.Shape.Total() > m.largestGuarantee.Total() {
				m.largestGuarantee = g.Shape
			}
		}
	}
	return m
}

func (m *metrics) countViolations(found []check.Violation) {
	broken := false
	for _, v := range found {
		if v.Rule == check.RuleGuarantee {
			broken = true
		} else {
			m.otherViolations[v.Rule]++
		}
	}
	if broken {
		m.guaranteeViolations++
	}
}

// advance adds the time up to now to the integrals. They end at the horizon,
// because the time after it, when the queue empties, would favour slow policies.
func (m *metrics) advance(l *eventLoop, now time.Duration) {
	dt := (min(now, l.w.Horizon) - m.lastTime).Seconds()
	if dt <= 0 {
		return
	}
	m.lastTime = min(now, l.w.Horizon)
	m.unusableIntegral += dt * float64(m.unusable)
	m.freeIntegral += dt * float64(m.free)
	m.busyIntegral += dt * float64(m.busy)
	m.totalIntegral += dt * float64(m.total)
	for c := range idleCauses {
		m.idleIntegral.free[c] += dt * m.idleByCause.free[c]
		m.idleIntegral.unusable[c] += dt * m.idleByCause.unusable[c]
	}
}

// measureFragmentation counts the free and the unusable accelerators after a
// decision.
func (m *metrics) measureFragmentation(l *eventLoop) {
	target := m.largestGuarantee
	for _, i := range l.waiting {
		if s := l.records[i].job.Shape; s.Total() > target.Total() {
			target = s
		}
	}
	m.free = 0
	masks := make([]uint64, len(l.workers))
	for i := range l.workers {
		if l.workerState(i) == structs.WorkerReady {
			w := &l.workers[i]
			masks[i] = ^w.Busy & (1<<uint(w.Accelerators) - 1)
			m.free += bits.OnesCount64(masks[i])
		}
	}
	m.unusable = m.free - maxConcurrentGangs(l.workers, masks, target)*target.Total()
}

// maxConcurrentGangs returns how many gangs of the shape fit into the free
// accelerators at the same time.
func maxConcurrentGangs(workers []structs.Worker, free []uint64, s structs.Shape) int {
	groups := map[string][]int{}
	for i := range workers {
		key := ""
		switch s.Adjacency {
		case structs.AdjacentRack:
			key = workers[i].Zone + "/" + workers[i].Rack
		case structs.AdjacentZone:
			key = workers[i].Zone
		}
		n := bits.OnesCount64(free[i]) / max(1, s.Accelerators)
		if s.Adjacency != structs.AdjacentNone && s.Adjacency != "" {
			n = 0
			for run := free[i]; run != 0; {
				run >>= uint(bits.TrailingZeros64(run))
				length := bits.TrailingZeros64(^run)
				n += length / max(1, s.Accelerators)
				run >>= uint(length)
			}
		}
		groups[key] = append(groups[key], n)
	}
	sum := 0
	for _, blocks := range groups {
		total := 0
		for _, n := range blocks {
			total += n
		}
		for c := total / s.Workers; c > 0; c-- {
			usable := 0
			for _, n := range blocks {
				usable += min(n, c) // each gang uses a worker at most once
			}
			if usable >= c*s.Workers {
				sum += c
				break
			}
		}
	}
	return sum
}

func (m *metrics) result(l *eventLoop) Result {
	r := Result{
		Deployment: l.w.Deployment, Policy: l.policy.Name, Load: l.w.Load.Name, Seed: l.w.Seed,
		Fragmentation: ratio(m.unusableIntegral, m.freeIntegral), Stranded: ratio(m.unusableIntegral, m.totalIntegral), Utilization: ratio(m.busyIntegral, m.totalIntegral),
		GuaranteeViolations: m.guaranteeViolations, OtherViolations: m.otherViolations, PlanErrors: m.planErrors, Preemptions: m.preemptions,
		Ended: map[structs.JobState]int{}, Decisions: m.decisions, DecisionMicros: ratio(float64(m.decisionTime.Microseconds()), float64(m.decisions)),
		Completion: map[string]Summary{}, Slowdown: map[string]Summary{},
	}
	r.Bound, r.BoundP95 = lowerBound(l.w)
	completion, slowdown := map[string][]float64{}, map[string][]float64{}
	claims := l.metrics.claimWaits
	for _, open := range l.metrics.openClaims {
		for _, at := range open {
			claims = append(claims, (l.now - at).Seconds())
		}
	}
	work := 0.0
	for i := range l.records {
		rec := &l.records[i]
		if rec.job.Arrive > l.now {
			continue
		}
		work += rec.job.Work.Seconds() * float64(rec.job.Shape.Total())
		r.count(l, rec)
		ended := rec.ended
		if rec.endCount == 0 {
			ended = l.now
		}
		if !finishableByAll(rec.job, l.w) || rec.endCount > 0 && rec.state != structs.JobFinished {
			continue
		}
		c := (ended - rec.job.Arrive).Seconds()
		for _, class := range []string{"all", l.w.sizeClass(rec.job)} {
			completion[class] = append(completion[class], c)
			slowdown[class] = append(slowdown[class], c/rec.job.Work.Seconds())
		}
	}
	for class := range completion {
		r.Completion[class], r.Slowdown[class] = summarize(completion[class]), summarize(slowdown[class])
	}
	r.LostWork = ratio(m.lostWork, work)
	for c := range idleCauses {
		r.Idle[c], r.IdleUnusable[c] = ratio(m.idleIntegral.free[c], m.totalIntegral), ratio(m.idleIntegral.unusable[c], m.totalIntegral)
	}
	r.Claims, r.ReclaimP99 = len(claims), percentile(claims, 0.99)
	return r
}

// count adds the job's final state and its wait to the result.
func (r *Result) count(l *eventLoop, rec *jobRecord) {
	waited := rec.waited
	if rec.endCount == 0 {
		r.Unfinished++
		if rec.state == structs.JobWaiting {
			waited += l.now - rec.waitSince
		}
	} else {
		r.Ended[rec.state]++
	}
	if !finishableByAll(rec.job, l.w) {
		return
	}
	relative := waited.Seconds() / rec.job.Work.Seconds()
	if relative > starvedWaitRatio {
		r.Starved++
	}
	if l.w.sizeClass(rec.job) == "large" {
		r.MaxWaitLarge = max(r.MaxWaitLarge, waited.Seconds())
		r.MaxWaitRatioLarge = max(r.MaxWaitRatioLarge, relative)
	}
}

// finishableByAll reports whether every policy can finish the job.
func finishableByAll(j *Job, w *Workload) bool {
	return j.CancelAt == 0 && !j.Poison && j.Shape.Accelerators <= w.Workers[0].Accelerators
}

func (w *Workload) sizeClass(j *Job) string {
	switch n := j.Shape.Total(); {
	case n >= w.LargeTotal:
		return "large"
	case n <= 1:
		return "small"
	}
	return "medium"
}

// lowerBound returns lower bounds of the mean and 95th percentile of completion
// times, over the jobs that every policy can finish. The mean is the larger of two
// bounds: every job runs alone on the fastest hardware; or the whole capacity is
// one server of divisible speed that runs the jobs by preemptive shortest remaining
// work first.
func lowerBound(w *Workload) (mean, p95 float64) {
	var alone []float64
	type item struct{ arrive, left float64 }
	var items []item
	capacity := 0.0
	for i := range w.Workers {
		capacity += float64(w.Workers[i].Accelerators) * classSpeeds[w.Workers[i].Class]
	}
	for i := range w.Jobs {
		if j := &w.Jobs[i]; finishableByAll(j, w) {
			alone = append(alone, j.Work.Seconds())
			items = append(items, item{j.Arrive.Seconds(), j.Work.Seconds() * float64(j.Shape.Total()) / capacity})
		}
	}
	if len(items) == 0 {
		return 0, 0
	}
	// queue holds the unfinished jobs, the one with the most remaining work first.
	var queue []item
	now, flow := 0.0, 0.0
	for k := 0; k < len(items) || len(queue) > 0; {
		if len(queue) == 0 {
			now = max(now, items[k].arrive)
		}
		for k < len(items) && items[k].arrive <= now {
			at, _ := slices.BinarySearchFunc(queue, items[k], func(a, b item) int { return cmp.Compare(b.left, a.left) })
			queue = slices.Insert(queue, at, items[k])
			k++
		}
		last := &queue[len(queue)-1]
		end := now + last.left
		if k < len(items) && items[k].arrive < end {
			last.left -= items[k].arrive - now
			now = items[k].arrive
			continue
		}
		now = end
		flow += now - last.arrive
		queue = queue[:len(queue)-1]
	}
	return max(summarize(alone).Mean, flow/float64(len(items))), percentile(alone, 0.95)
}

func summarize(v []float64) Summary {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return Summary{Mean: ratio(sum, float64(len(v))), P95: percentile(v, 0.95)}
}

// percentile sorts v and returns its nearest-rank q-quantile, or 0 if v is empty.
func percentile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, max(0, int(math.Ceil(q*float64(len(v))))-1))]
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
