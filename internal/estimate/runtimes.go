// Package estimate keeps statistics of attempts, the single runs of jobs. Each job
// belongs to a kind of the manifest and declares its run time. Runtimes estimates
// actual run times and the speed of a kind on a hardware class, StartTimes estimates
// how long jobs wait, and Health determines which workers, kinds and jobs cause
// failures.
//
// It uses no clock, lock or goroutine; the caller passes the time and serialises
// access. Memory is bounded: the least recently updated entries are evicted first.
package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleSize is the number of latest observations that a sample keeps.
	sampleSize = 64
	// minSamples is the number of observations that a sample needs. With fewer,
	// the next more general estimate is used, since the P90 of so few is just
	// their maximum.
	minSamples = 8
	// minFitSamples is the number of observations that are needed to fit a slope.
	// With fewer, actual times are taken as proportional to declared ones, since
	// the slope would be mostly chance.
	minFitSamples = 16
	// minDeclaredVariance is the variance of the logarithms of declared times
	// below which they are taken as equal.
	minDeclaredVariance = 1e-6
	// declaredErrorFactor is the factor by which a declared time may be too short.
	declaredErrorFactor = 10.0
	// maxActualToDeclared limits the ratio of actual to declared time and its
	// inverse, so that one extremely wrong declared time does not overflow a
	// Duration.
	maxActualToDeclared = 1000.0
	// maxEntriesPerCache limits the entries of each cache. The system is designed
	// for 57 accounts; with 64 kinds each that is 3,648 pairs.
	maxEntriesPerCache = 4096
)

// Runtimes estimates run times from the relation of earlier actual run times to
// declared ones.
type Runtimes struct {
	byAccount lru[accountKind, sample]
	byKind    lru[string, sample]
	byClass   lru[kindClass, sample]
	// declared has, by kind, the mean of the logarithms of the declared times of
	// all jobs, whether they ran or not.
	declared lru[string, mean]
	prior    Prior
}

// Prior is the assumption about declared times that is used before enough jobs
// have ended. With the zero value, actual times are taken as proportional to
// declared ones.
type Prior struct {
	// Slope is the slope, from 0 to 1, of the logarithm of the actual time as a
	// function of that of the declared time. If both have the same variance, it
	// is their correlation.
	Slope float64
	// Weight is the number of observations that the prior is worth; 0 means no
	// prior.
	Weight float64
}

// priorDeclaredVariance is the variance that the prior assumes for the logarithm
// of declared times. It is that of times which are a factor of 2 too long or too
// short.
const priorDeclaredVariance = 0.5

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
		byAccount: newLRU[accountKind, sample](maxEntriesPerCache),
		byKind:    newLRU[string, sample](maxEntriesPerCache),
		byClass:   newLRU[kindClass, sample](maxEntriesPerCache),
		declared:  newLRU[string, mean](maxEntriesPerCache),
	}
}

// NewRuntimesWithPrior returns a Runtimes without observations whose estimates
// are shrunk towards the mean of their kind.
func NewRuntimesWithPrior(p Prior) *Runtimes {
	r := NewRuntimes()
	r.prior = p
	return r
}

// ObserveDeclared records the declared time of a job of a kind. It has an effect
// only with a prior: until enough jobs have ended, the estimate for a job lies between its
// own declared time and the mean of those recorded.
func (r *Runtimes) ObserveDeclared(kind string, declared time.Duration) {
	if declared <= 0 {
		return
	}
	m := r.declared.touch(kind)
	m.sum += math.Log(float64(declared))
	m.n++
}

// Observe records a finished attempt that ran on hardware of the class; class is
// empty for a gang on several classes. Attempts that failed or were stopped must
// not be recorded. Times that are not positive are ignored.
func (r *Runtimes) Observe(account, kind, class string, declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(declared), 1/maxActualToDeclared), maxActualToDeclared)
	p := logPoint{declared: math.Log(float64(declared))}
	p.actual = p.declared + math.Log(ratio)
	r.byAccount.touch(accountKind{account, kind}).add(p, r.prior)
	r.byKind.touch(kind).add(p, r.prior)
	if class != "" {
		r.byClass.touch(kindClass{kind, class}).add(p, r.prior)
	}
}

// Quantiles estimates the median and the 90th percentile of a job's run time
// from the account's jobs of the kind. If too few have ended, it uses all jobs
// of the kind. If those are too few as well, the median is the declared time,
// and the 90th percentile is declaredErrorFactor times that.
func (r *Runtimes) Quantiles(account, kind string, declared time.Duration) (p50, p90 time.Duration) {
	s := r.byAccount.peek(accountKind{account, kind})
	if !s.usable() {
		s = r.byKind.peek(kind)
	}
	if !s.usable() {
		declared = r.priorEstimate(kind, declared)
		return declared, scale(declared, declaredErrorFactor)
	}
	if declared <= 0 {
		return declared, declared
	}
	predicted := s.predict(math.Log(float64(declared)))
	return fromLog(predicted + s.p50), fromLog(predicted + s.p90)
}

// priorEstimate returns the estimate for a kind of which too few jobs have ended.
func (r *Runtimes) priorEstimate(kind string, declared time.Duration) time.Duration {
	m := r.declared.peek(kind)
	if r.prior.Weight == 0 || m == nil || declared <= 0 {
		return declared
	}
	meanLog := m.sum / m.n
	return fromLog(meanLog + r.prior.Slope*(math.Log(float64(declared))-meanLog))
}

// Speed returns the speed of the kind on the hardware class relative to its median
// over all classes; 2 means half the run time. It is 1 if too few attempts were
// observed.
func (r *Runtimes) Speed(kind, class string) float64 {
	all, one := r.byKind.peek(kind), r.byClass.peek(kindClass{kind, class})
	if !all.usable() || !one.usable() {
		return 1
	}
	// Both are evaluated at the kind's mean declared time, so that a class that
	// runs the longer jobs does not appear slow.
	return math.Exp(all.predict(all.meanDeclared) + all.p50 - one.predict(all.meanDeclared) - one.p50)
}

// fromLog returns the Duration whose natural logarithm, in nanoseconds, is x.
func fromLog(x float64) time.Duration {
	if v := math.Round(math.Exp(x)); v < math.MaxInt64 {
		return time.Duration(v)
	}
	return math.MaxInt64
}

// scale returns d multiplied by factor, limited to the largest Duration.
func scale(d time.Duration, factor float64) time.Duration {
	if v := float64(d) * factor; v < math.MaxInt64 {
		return time.Duration(v)
	}
	return math.MaxInt64
}

// logPoint is an observation: the natural logarithms of the declared and the
// actual time in nanoseconds.
type logPoint struct{ declared, actual float64 }

// sample is a sliding window of observations with a line fitted through them.
// If declared times do not predict the actual ones, its slope is near 0 and the
// estimate depends on the actual times only; if they are wrong by a constant
// factor, the slope is near 1.
type sample struct {
	points []logPoint
	next   int // index of the oldest point once the window is full

	slope float64
	// hasPrior is set if a prior contributes to the slope.
	hasPrior                 bool
	meanDeclared, meanActual float64
	minDeclared, maxDeclared float64
	// p10, p50 and p90 are the quantiles of the points' distances above the line.
	p10, p50, p90 float64
}

func (s *sample) usable() bool { return s != nil && len(s.points) >= minSamples }

// add adds an observation. It fits the line at once because the line is read, for
// every waiting job in each scheduling cycle, far more often than it changes.
func (s *sample) add(p logPoint, prior Prior) {
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

// fit computes the least-squares line. Its slope is limited to between 0 and 1, so
// that a longer declared time never gives a shorter estimate.
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
	s.hasPrior = prior.Weight > 0
	switch priorSum := prior.Weight * priorDeclaredVariance; {
	case priorSum > 0:
		s.slope = min(max((covariance+prior.Slope*priorSum)/(variance+priorSum), 0), 1)
	case len(s.points) >= minFitSamples && variance > minDeclaredVariance*n:
		s.slope = min(max(covariance/variance, 0), 1)
	default:
		s.slope = 1
	}
}

// predict returns the value of the line at the logarithm of a declared time.
// Outside the range of observed declared times the actual time is extrapolated in
// proportion to the declared one, unless there is a prior, which assumes that
// declared times are mostly chance.
func (s *sample) predict(declared float64) float64 {
	if s.hasPrior {
		return s.meanActual + s.slope*(declared-s.meanDeclared)
	}
	clamped := min(max(declared, s.minDeclared), s.maxDeclared)
	return s.meanActual + s.slope*(clamped-s.meanDeclared) + declared - clamped
}

// quantile returns the nearest-rank quantile of a sorted, non-empty slice.
func quantile(sorted []float64, q float64) float64 {
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
