package estimate

import (
	"math"
	"time"
)

// minDistinctWait is the shortest wait that is distinguished; shorter ones
// count as this long. Differences below it do not matter to users, but would
// make the ranges wide on the logarithmic scale: a job that starts at once
// waits for milliseconds, the next one for minutes.
const minDistinctWait = time.Second

// StartTimes estimates, from the relation of earlier actual waits to predicted ones,
// how long jobs wait. The predictions come from a rough model; what the model leaves
// out, such as shares and guarantees, is corrected by this relation.
type StartTimes struct {
	byAccount lru[accountKind, sample]
	all       sample
	// lowFactor and highFactor multiply the distance from the median to the lower
	// and the upper end of a range.
	lowFactor, highFactor float64
}

// Settings of the ranges. The waits of jobs that are submitted together are
// similar, so the quantiles of the latest waits are too close together.
// Therefore the ranges are adjusted: a start beyond an end of its range
// multiplies the factor of that end by
// exp(rangeFactorStep * (1 - targetBeyondEnd)), and any other start multiplies
// it by exp(-rangeFactorStep * targetBeyondEnd). In the long run the fraction
// targetBeyondEnd of the starts lies beyond each end.
const (
	// initialRangeFactor is above 1 so that ranges from few observations are wide.
	initialRangeFactor = 1.5
	rangeFactorStep    = 0.1
	targetBeyondEnd    = 0.1
	minRangeFactor     = 0.5
	maxRangeFactor     = 8
	// minLogSpread is the shortest distance from the median to an end before the
	// factor is applied, in natural logarithms.
	minLogSpread = 0.05
)

// adjustFactor adjusts the factor of one end of the ranges after a start, which
// was beyond this end or not.
func adjustFactor(factor *float64, beyond bool) {
	step := -targetBeyondEnd
	if beyond {
		step = 1 - targetBeyondEnd
	}
	*factor = min(max(*factor*math.Exp(rangeFactorStep*step), minRangeFactor), maxRangeFactor)
}

// AdjustRange adjusts later ranges after a start that was before its range
// (early), after it (late) or within it.
func (s *StartTimes) AdjustRange(early, late bool) {
	adjustFactor(&s.lowFactor, early)
	adjustFactor(&s.highFactor, late)
}

// NewStartTimes returns a StartTimes without observations.
func NewStartTimes() *StartTimes {
	return &StartTimes{byAccount: newLRU[accountKind, sample](maxEntriesPerCache), lowFactor: initialRangeFactor, highFactor: initialRangeFactor}
}

// Observe records that a job for which a wait of predicted was computed started a
// time of actual later or, if it still waits, had not started by then.
func (s *StartTimes) Observe(account, kind string, predicted, actual time.Duration) {
	p := logPoint{declared: logWait(predicted), actual: logWait(actual)}
	s.byAccount.touch(accountKind{account, kind}).add(p, Prior{})
	s.all.add(p, Prior{})
}

// Range returns the range of waits that is expected to contain eight starts in
// ten. It is based on the account's jobs of the kind or, if too few of those
// have started, on all jobs. ok is false if these are too few as well; observed
// is then the number of starts, of which MinObservations are required.
func (s *StartTimes) Range(account, kind string, predicted time.Duration) (low, high time.Duration, observed int, ok bool) {
	waits := s.byAccount.peek(accountKind{account, kind})
	if !waits.usable() {
		waits = &s.all
	}
	if !waits.usable() {
		return 0, 0, len(waits.points), false
	}
	median := waits.predict(logWait(predicted)) + waits.p50
	if low = fromLog(median - s.lowFactor*max(waits.p50-waits.p10, minLogSpread)); low <= minDistinctWait {
		low = 0
	}
	high = fromLog(median + s.highFactor*max(waits.p90-waits.p50, minLogSpread))
	return low, high, len(waits.points), true
}

// MinObservations is the number of starts that Range requires.
const MinObservations = minSamples

// logWait returns the logarithm of a wait, which counts as at least
// minDistinctWait.
func logWait(d time.Duration) float64 { return math.Log(float64(max(d, minDistinctWait))) }
