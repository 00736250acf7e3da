// Package estimate learns from finished and failed attempts: run-time
// quantiles, the speed of a kind on a hardware class, and which workers, kinds
// and jobs are at fault. It uses no clock, lock or goroutine; the caller
// serialises access. Memory is bounded: the least recently observed subjects
// are forgotten first.
package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleSize is the number of latest observations that a quantile is taken from.
	sampleSize = 64
	// minSamples is the number of observations below which the next more
	// general estimate is used: a P90 of fewer is the maximum of a handful.
	minSamples = 8
	// minFit is the number of observations below which actual times are taken as
	// proportional to declared ones: the slope of fewer is mostly chance.
	minFit = 16
	// minVariance of the logarithm of declared times, below which they are
	// taken as equal.
	minVariance = 1e-6
	// declaredError is the factor by which declared times may be off.
	declaredError = 10.0
	// maxRatio limits an observed ratio, so that a single absurd declared time
	// does not overflow a Duration.
	maxRatio = 1000.0
	// maxSamples limits the number of samples of each sort. The design size
	// has 57 accounts; with 64 kinds each that is 3,648 pairs.
	maxSamples = 4096
)

// Runtimes estimates run times from the relation of actual to declared times.
type Runtimes struct {
	byAccount lru[accountKind, sample]
	byKind    lru[string, sample]
	byClass   lru[kindClass, sample]
	// declared has the declared times of jobs by kind, whether they ran or not.
	declared lru[string, mean]
	prior    Prior
}

// Prior is what is assumed of declared times before enough jobs have ended. The
// zero value takes actual times as proportional to declared ones.
type Prior struct {
	// Slope is the change of the logarithm of the actual time for one of the
	// declared time, 0 to 1. Where both vary alike it is their correlation.
	Slope float64
	// Weight is the number of observations that Slope counts as; 0 for no prior.
	Weight float64
}

// priorVariance is that of the logarithm of a declared time which is off by
// two times either way.
const priorVariance = 0.5

// mean is a running mean.
type mean struct {
	sum float64
	n   float64
}

type accountKind struct{ account, kind string }

type kindClass struct{ kind, class string }

// NewRuntimes returns a Runtimes without observations.
func NewRuntimes() *Runtimes {
	return &Runtimes{
		byAccount: newLRU[accountKind, sample](maxSamples),
		byKind:    newLRU[string, sample](maxSamples),
		byClass:   newLRU[kindClass, sample](maxSamples),
		declared:  newLRU[string, mean](maxSamples),
	}
}

// NewRuntimesWithPrior returns a Runtimes without observations that shrinks
// estimates towards the mean of their kind.
func NewRuntimesWithPrior(p Prior) *Runtimes {
	r := NewRuntimes()
	r.prior = p
	return r
}

// Declare records the declared time of a job of a kind. It only matters with a
// prior: until enough jobs have ended, an estimate lies between its own declared
// time and the mean of these.
func (r *Runtimes) Declare(kind string, declared time.Duration) {
	if declared <= 0 {
		return
	}
	m := r.declared.touch(kind)
	m.sum += math.Log(float64(declared))
	m.n++
}

// Observe records a finished attempt that ran on hardware of the class; class
// is empty for a gang on mixed hardware. An attempt that failed or was stopped
// must not be observed. Times that are not positive are ignored.
func (r *Runtimes) Observe(account, kind, class string, declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(declared), 1/maxRatio), maxRatio)
	p := point{declared: math.Log(float64(declared))}
	p.actual = p.declared + math.Log(ratio)
	r.byAccount.touch(accountKind{account, kind}).add(p, r.prior)
	r.byKind.touch(kind).add(p, r.prior)
	if class != "" {
		r.byClass.touch(kindClass{kind, class}).add(p, r.prior)
	}
}

// Quantiles estimates the median and the 90th percentile of the run time: from
// the account's jobs of the kind, else from all jobs of the kind, else from
// the declared time, which may be off by up to ten times.
func (r *Runtimes) Quantiles(account, kind string, declared time.Duration) (p50, p90 time.Duration) {
	s := r.byAccount.peek(accountKind{account, kind})
	if !s.usable() {
		s = r.byKind.peek(kind)
	}
	if !s.usable() {
		declared = r.assumed(kind, declared)
		return declared, scale(declared, declaredError)
	}
	if declared <= 0 {
		return declared, declared
	}
	centre := s.predict(math.Log(float64(declared)))
	return fromLog(centre + s.p50), fromLog(centre + s.p90)
}

// assumed returns the estimate for a kind of which too few jobs have ended.
func (r *Runtimes) assumed(kind string, declared time.Duration) time.Duration {
	m := r.declared.peek(kind)
	if r.prior.Weight == 0 || m == nil || declared <= 0 {
		return declared
	}
	centre := m.sum / m.n
	return fromLog(centre + r.prior.Slope*(math.Log(float64(declared))-centre))
}

// Speed returns how fast the kind runs on the hardware class relative to its
// median over all classes: 2 means in half the time. It is 1 while too few
// attempts were observed.
func (r *Runtimes) Speed(kind, class string) float64 {
	all, one := r.byKind.peek(kind), r.byClass.peek(kindClass{kind, class})
	if !all.usable() || !one.usable() {
		return 1
	}
	// Both are taken at the kind's mean, so that a class which is given the long
	// jobs does not look slow.
	return math.Exp(all.predict(all.meanDeclared) + all.p50 - one.predict(all.meanDeclared) - one.p50)
}

// fromLog returns the Duration of which x is the natural logarithm.
func fromLog(x float64) time.Duration {
	if v := math.Round(math.Exp(x)); v < math.MaxInt64 {
		return time.Duration(v)
	}
	return math.MaxInt64
}

func scale(d time.Duration, factor float64) time.Duration {
	if v := float64(d) * factor; v < math.MaxInt64 {
		return time.Duration(v)
	}
	return math.MaxInt64
}

// point is an observation, in natural logarithms of nanoseconds.
type point struct{ declared, actual float64 }

// sample is a sliding window of observations with a line through them: where
// declared times say nothing its slope is near 0 and the estimate is that of
// the actual times; where they are off by a constant factor it is near 1.
type sample struct {
	points []point
	next   int

	slope float64
	// shrunk says that the slope is from a prior as well.
	shrunk                   bool
	meanDeclared, meanActual float64
	minDeclared, maxDeclared float64
	// p10, p50 and p90 are the quantiles of the distance above the line.
	p10, p50, p90 float64
}

func (s *sample) usable() bool { return s != nil && len(s.points) >= minSamples }

// add fits the line at once, since it is read far more often, for every
// waiting job in each cycle, than it changes.
func (s *sample) add(p point, prior Prior) {
	if len(s.points) < sampleSize {
		s.points = append(s.points, p)
	} else {
		s.points[s.next] = p
		s.next = (s.next + 1) % sampleSize
	}
	s.fit(prior)
	var buf [sampleSize]float64
	distances := buf[:0]
	for _, q := range s.points {
		distances = append(distances, q.actual-s.predict(q.declared))
	}
	slices.Sort(distances)
	s.p10 = quantile(distances, 0.1)
	s.p50 = quantile(distances, 0.5)
	s.p90 = quantile(distances, 0.9)
}

// fit computes the line of least squares. Its slope is kept within 0 and 1: a
// longer declared time never means a shorter run.
func (s *sample) fit(prior Prior) {
	n := float64(len(s.points))
	s.meanDeclared, s.meanActual = 0, 0
	s.minDeclared, s.maxDeclared = math.Inf(1), math.Inf(-1)
	for _, p := range s.points {
		s.meanDeclared += p.declared / n
		s.meanActual += p.actual / n
		s.minDeclared, s.maxDeclared = min(s.minDeclared, p.declared), max(s.maxDeclared, p.declared)
	}
	var covariance, variance float64
	for _, p := range s.points {
		covariance += (p.declared - s.meanDeclared) * (p.actual - s.meanActual)
		variance += (p.declared - s.meanDeclared) * (p.declared - s.meanDeclared)
	}
	s.shrunk = prior.Weight > 0
	switch known := prior.Weight * priorVariance; {
	case known > 0:
		s.slope = min(max((covariance+prior.Slope*known)/(variance+known), 0), 1)
	case len(s.points) >= minFit && variance > minVariance*n:
		s.slope = min(max(covariance/variance, 0), 1)
	default:
		s.slope = 1
	}
}

// predict returns the line at a declared time. Beyond what was observed it
// goes on in proportion to the declared time, unless a prior says that declared
// times are mostly chance.
func (s *sample) predict(declared float64) float64 {
	if s.shrunk {
		return s.meanActual + s.slope*(declared-s.meanDeclared)
	}
	inside := min(max(declared, s.minDeclared), s.maxDeclared)
	return s.meanActual + s.slope*(inside-s.meanDeclared) + declared - inside
}

// quantile returns the nearest-rank quantile of a sorted, non-empty slice.
func quantile(sorted []float64, q float64) float64 {
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
