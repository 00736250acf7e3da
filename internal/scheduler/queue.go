package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// jobClass is a set of interchangeable waiting jobs: if one of them finds no place,
// neither do the others.
type jobClass struct {
	account          int
	example          *structs.WaitingJob // the first job of the class
	kind             *structs.Kind
	workerClassCosts map[string]float64 // by worker class; see workerClassCosts
	// jobs has the best job last once ranked is set, and all jobs in descending
	// order of orderKey once sorted is set.
	jobs           []queuedJob
	ranked, sorted bool
	runSeconds     float64 // sum of the jobs' expected run times
	// claimsUnit is set if the account had an unused guaranteed unit for the class
	// when the queue was built.
	claimsUnit bool
	done       bool
}

// queuedJob is the index of a waiting job with its order key; the lowest key goes
// first.
type queuedJob struct {
	job      int32
	orderKey float64
}

// best returns the best job of the class; ok is false if there is none.
func (c *jobClass) best() (e queuedJob, ok bool) {
	if len(c.jobs) == 0 {
		return queuedJob{}, false
	}
	last := len(c.jobs) - 1
	if !c.ranked {
		c.ranked = true
		for i := range c.jobs {
			if goesBefore(c.jobs[i], c.jobs[last]) {
				c.jobs[i], c.jobs[last] = c.jobs[last], c.jobs[i]
			}
		}
	}
	return c.jobs[last], true
}

// pop removes the best job.
func (c *jobClass) pop() {
	c.jobs = c.jobs[:len(c.jobs)-1]
	if !c.sorted {
		// Most classes fail at their first job, so sorting waits until it succeeds.
		c.sorted = true
		slices.SortFunc(c.jobs, func(a, b queuedJob) int {
			return cmp.Or(cmp.Compare(b.orderKey, a.orderKey), cmp.Compare(b.job, a.job))
		})
	}
}

// goesBefore reports whether a precedes b in the queue.
func goesBefore(a, b queuedJob) bool {
	return a.orderKey < b.orderKey || a.orderKey == b.orderKey && a.job < b.job
}

// removeFromQueue removes the class and its jobs from the queue.
func (c *jobClass) removeFromQueue() { c.done, c.jobs = true, nil }

// interchangeable reports whether the jobs belong in one class: none of them finds
// a place unless the other does too. A job with a reservation or with workers to avoid
// is alone in its class.
func interchangeable(a, b *structs.WaitingJob) bool {
	return a.Shape == b.Shape && a.Kind == b.Kind && a.Account == b.Account && a.Urgency == b.Urgency &&
		a.Idempotent == b.Idempotent && a.Checkpointable == b.Checkpointable &&
		len(a.Avoid) == 0 && len(b.Avoid) == 0 && a.Reserved == nil && b.Reserved == nil
}

// buildQueue refuses jobs that can never run or cannot meet their deadline, and
// groups the others into classes.
func (p *planner) buildQueue() {
	index := map[uint64][]int32{}
	for i := range p.snap.Waiting {
		j := &p.snap.Waiting[i]
		if p.refuseMissedDeadline(j) {
			continue
		}
		c := p.jobClassOf(index, j)
		if c >= 0 {
			p.jobClasses[c].jobs = append(p.jobClasses[c].jobs, queuedJob{job: int32(i)})
			p.jobClasses[c].runSeconds += expectedRunTime(j).Seconds()
		}
	}
	kept := p.jobClasses[:0]
	for _, c := range p.jobClasses {
		if p.refuseNeverFits(&c) {
			continue
		}
		kept = append(kept, c)
	}
	p.jobClasses = kept
	p.computeOrderKeys()
}

// computeOrderKeys sets the order key of each queued job. A job counts with the
// mean expected run time of its kind unless its own is far from it: declared times
// are too uncertain to decide the order among jobs of one kind.
func (p *planner) computeOrderKeys() {
	sums := map[*structs.Kind]*runTimeSum{}
	for k := range p.jobClasses {
		c := &p.jobClasses[k]
		s := sums[c.kind]
		if s == nil {
			s = &runTimeSum{}
			sums[c.kind] = s
		}
		s.seconds += c.runSeconds
		s.jobs += len(c.jobs)
	}
	for k := range p.jobClasses {
		c := &p.jobClasses[k]
		s := sums[c.kind]
		mean := max(s.seconds/float64(s.jobs), 0.1)
		for n := range c.jobs {
			e := &c.jobs[n]
			j := &p.snap.Waiting[e.job]
			e.orderKey = p.orderKey(j, smoothRunTime(expectedRunTime(j).Seconds(), mean), c.claimsUnit)
		}
	}
}

// runTimeSum accumulates the expected run times of the jobs of a kind.
type runTimeSum struct {
	seconds float64
	jobs    int
}

// similarRunTimeFactor is the ratio of run times up to which they count as equal.
const similarRunTimeFactor = 3

// smoothRunTime returns mean if run is within similarRunTimeFactor of it, else run, at
// least 0.1 s so that orderKey takes no logarithm of 0. Both are in seconds.
func smoothRunTime(run, mean float64) float64 {
	if run > mean*similarRunTimeFactor || run < mean/similarRunTimeFactor {
		return max(run, 0.1)
	}
	return mean
}

// jobClassOf returns the index of the job's class and creates the class if needed.
// It returns -1 if the account is unknown. index maps a hash of the job's
// properties to the classes that share it.
func (p *planner) jobClassOf(index map[uint64][]int32, j *structs.WaitingJob) int {
	key := uint64(len(j.Kind)) ^ uint64(j.Shape.Workers)<<8 ^ uint64(j.Shape.Accelerators)<<16 ^ uint64(len(j.Account))<<24 ^ uint64(j.Shape.CoresMilli)<<32
	if j.Kind != "" {
		key ^= uint64(j.Kind[0])<<40 ^ uint64(j.Kind[len(j.Kind)-1])<<48
	}
	if j.Account != "" {
		key ^= uint64(j.Account[0]) << 56
	}
	for _, c := range index[key] {
		if interchangeable(p.jobClasses[c].example, j) {
			return int(c)
		}
	}
	a := p.accountIndex(j.Account)
	if a < 0 {
		p.plan.WaitReasons[j.ID] = structs.WaitNoCapacity
		return -1
	}
	p.jobClasses = append(p.jobClasses, jobClass{account: a, example: j, kind: p.kind(j.Kind), claimsUnit: p.ledger.HasUnusedUnit(a, j.Shape)})
	index[key] = append(index[key], int32(len(p.jobClasses)-1))
	return len(p.jobClasses) - 1
}

// deadlineRunFraction is the fraction of the expected run time that must fit before
// the deadline. Run times are often far below their estimate, so requiring all
// of it would refuse jobs that can still meet their deadline.
const deadlineRunFraction = 0.5

// refuseMissedDeadline refuses a job whose deadline has passed or cannot be met. It
// reports whether the job was refused.
func (p *planner) refuseMissedDeadline(j *structs.WaitingJob) bool {
	if j.Deadline == 0 {
		return false
	}
	need := time.Duration(float64(expectedRunTime(j)) * deadlineRunFraction)
	if p.snap.Now+need <= j.Deadline {
		return false
	}
	p.plan.Refusals = append(p.plan.Refusals, structs.Refusal{
		JobID: j.ID, Reason: structs.DeadlineMissed,
		Detail: fmt.Sprintf("%.1f s are left until the deadline; the job needs at least %.1f s", (j.Deadline - p.snap.Now).Seconds(), need.Seconds()),
	})
	return true
}

// expectedRunTime returns the estimated median run time of the job, or the declared
// one if there is no estimate.
func expectedRunTime(j *structs.WaitingJob) time.Duration {
	if j.RunTimeP50 > 0 {
		return j.RunTimeP50
	}
	return j.DeclaredRunTime
}

// p90RunTime returns the 90th percentile of the job's run time, at least its
// expected run time.
func p90RunTime(j *structs.WaitingJob) time.Duration { return max(j.RunTimeP90, expectedRunTime(j)) }

// refuseNeverFits refuses the jobs of a class whose shape exceeds the account's quota
// or the domain's hardware. It reports whether they were refused.
func (p *planner) refuseNeverFits(c *jobClass) bool {
	quota := p.snap.Accounts[c.account].Quota.Accelerators
	detail := ""
	switch {
	case quota > 0 && c.example.Shape.Total() > quota:
		detail = fmt.Sprintf("shape needs %d accelerators, above the quota of %d", c.example.Shape.Total(), quota)
	case !p.state.FitsEmpty(p.snap.Workers, c.example.Shape, c.workerClasses()):
		detail = fmt.Sprintf("no hardware of the domain holds %d workers with %d accelerators each", c.example.Shape.Workers, c.example.Shape.Accelerators)
	default:
		return false
	}
	for _, e := range c.jobs {
		p.plan.Refusals = append(p.plan.Refusals, structs.Refusal{
			JobID: p.snap.Waiting[e.job].ID, Reason: structs.NeverFits, Detail: detail,
		})
	}
	return true
}

// workerClasses returns the worker classes suitable for the job class, best first;
// nil means all.
func (c *jobClass) workerClasses() []string {
	if c.kind == nil {
		return nil
	}
	return c.kind.Classes
}

// Tiers of the queue order; the lowest tier goes first.
const (
	tierUrgentClaim = iota
	tierUrgent
	tierAged
	tierDefault
)

// tierOffset is the distance between tiers in the order key; it exceeds every other
// term of the key.
const tierOffset = 1e6

// agedWaitFactor is the wait, in multiples of the expected run time, after which a
// job goes before all jobs that are not urgent.
const agedWaitFactor = 8

// orderKey returns the job's key in the queue order, without the term for its
// account's share; the lowest key goes first. run is the expected run time in
// seconds; claims says that the job claims a guaranteed unit.
func (p *planner) orderKey(j *structs.WaitingJob, run float64, claims bool) float64 {
	wait := max(0, p.snap.Now-j.Submitted).Seconds()
	tier := tierDefault
	switch {
	case j.Urgency == structs.Urgent && claims:
		tier = tierUrgentClaim
	case j.Urgency == structs.Urgent:
		tier = tierUrgent
	case wait > agedWaitFactor*run:
		tier = tierAged
	}
	// Shorter jobs go first. The wait lowers the key, so that long jobs do not starve.
	key := log2(run * run / (run + wait))
	if j.Deadline > 0 {
		// A deadline lowers the key by up to 4, the more the less slack it leaves.
		slack := max(0.1, (j.Deadline-p.snap.Now).Seconds()-run)
		key -= 4 * run / (run + slack)
	}
	return float64(tier)*tierOffset + key
}

// log2 returns the binary logarithm of a positive x with an absolute error of at
// most 0.09. It is monotone and much faster than math.Log2.
func log2(x float64) float64 {
	b := math.Float64bits(x)
	return float64(int64(b)-1023<<52) / (1 << 52)
}

// updateShares computes the relative excess of each account over its weighted fair
// share: 0 at the share, 1 at twice the share.
func (p *planner) updateShares() {
	used, weight := 0, 0.0
	for i := range p.accounts {
		used += p.accounts[i].used
		weight += p.accounts[i].weight
	}
	for i := range p.accounts {
		a := &p.accounts[i]
		a.shareExcess = 0
		if used > 0 {
			a.shareExcess = float64(a.used)/a.weight/(float64(used)/weight) - 1
		}
	}
}
