package estimate

import (
	"math"
	"time"
)

// minWait is the shortest wait that is told apart. Shorter ones matter to nobody
// who asks, and would make the ranges wide: a job that starts at once waits for
// milliseconds, one behind it for minutes.
const minWait = time.Second

// Starts learns how long jobs wait from the relation of actual waits to
// predicted ones. The prediction is a rough model; what it leaves out, such as
// shares and guarantees, shows in the relation.
type Starts struct {
	byAccount lru[accountKind, sample]
	all       sample
	// early and late, at first initialWiden, are the factors of the distances between the median and the
	// ends of a range.
	early, late float64
}

// Waits that follow each other in a burst are alike, so that quantiles of the
// latest ones are too close together. Each start beyond an end of its range
// widens that end by widenStep times the part that should lie within, and each
// other start narrows it by widenStep times the part that should not; in the
// long run a tenth of the starts lies beyond each end.
const (
	// initialWiden makes the ranges from a few observations wide.
	initialWiden = 1.5
	widenStep    = 0.1
	beyondEnd    = 0.1
	minWiden     = 0.5
	maxWiden     = 8
	// minSpread is the least distance, as a logarithm, from the median to an end.
	minSpread = 0.05
)

func adapt(factor *float64, beyond bool) {
	step := -beyondEnd
	if beyond {
		step = 1 - beyondEnd
	}
	*factor = min(max(*factor*math.Exp(widenStep*step), minWiden), maxWiden)
}

// Judge adapts later ranges to a start that was before or after its range.
func (s *Starts) Judge(early, late bool) {
	adapt(&s.early, early)
	adapt(&s.late, late)
}

// NewStarts returns a Starts without observations.
func NewStarts() *Starts {
	return &Starts{byAccount: newLRU[accountKind, sample](maxSamples), early: initialWiden, late: initialWiden}
}

// Observe records that a job started (or, if it still waits, that it had not
// started) a time actual after a wait of predicted was computed for it.
func (s *Starts) Observe(account, kind string, predicted, actual time.Duration) {
	p := point{declared: logWait(predicted), actual: logWait(actual)}
	s.byAccount.touch(accountKind{account, kind}).add(p, Prior{})
	s.all.add(p, Prior{})
}

// Range returns the times between which eight starts in ten lie, from the
// account's jobs of the kind, else from all jobs. ok is false while too few
// have started; observed says how many of the Needed have.
func (s *Starts) Range(account, kind string, predicted time.Duration) (low, high time.Duration, observed int, ok bool) {
	use := s.byAccount.peek(accountKind{account, kind})
	if !use.usable() {
		use = &s.all
	}
	if !use.usable() {
		return 0, 0, len(use.points), false
	}
	median := use.predict(logWait(predicted)) + use.p50
	if low = fromLog(median - s.early*max(use.p50-use.p10, minSpread)); low <= minWait {
		low = 0
	}
	high = fromLog(median + s.late*max(use.p90-use.p50, minSpread))
	return low, high, len(use.points), true
}

// Needed is the number of starts below which Range gives nothing.
const Needed = minSamples

func logWait(d time.Duration) float64 { return math.Log(float64(max(d, minWait))) }
