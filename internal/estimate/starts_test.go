package estimate

import (
	"testing"
	"time"
)

// There must be no range from too few starts, and a range must not be based on other
// accounts' jobs when the account has enough of its own.
func TestStartsRangeNeedsObservations(t *testing.T) {
	s := NewStartTimes()
	for i := range MinObservations {
		if _, _, observed, ok := s.Range("a", "proof", time.Minute); ok || observed != i {
			t.Fatalf("after %d starts: %d observed, ok %v", i, observed, ok)
		}
		s.Observe("b", "proof", time.Minute, 10*time.Minute)
	}
	low, high, _, ok := s.Range("a", "proof", time.Minute)
	if !ok || low > 10*time.Minute || high < 10*time.Minute {
		t.Errorf("from another account: %v to %v, %v", low, high, ok)
	}
	for range MinObservations {
		s.Observe("a", "proof", time.Minute, 30*time.Second)
	}
	low, high, _, ok = s.Range("a", "proof", time.Minute)
	if !ok || low > 30*time.Second || high < 30*time.Second || high > time.Minute {
		t.Errorf("from the own account: %v to %v, %v", low, high, ok)
	}
}

// Guards against ranges that stay too narrow or too wide for the observed starts.
func TestStartsJudgeAdjustsRange(t *testing.T) {
	bounds := func(s *StartTimes) (time.Duration, time.Duration) {
		low, high, _, _ := s.Range("a", "proof", time.Hour)
		return low, high
	}
	s := NewStartTimes()
	for i := range 64 {
		s.Observe("a", "proof", time.Hour, time.Hour+time.Duration(i%8)*time.Minute)
	}
	low, high := bounds(s)
	for range 10 {
		s.AdjustRange(false, true)
	}
	if l, h := bounds(s); h <= high || l < low {
		t.Errorf("after late starts: %v to %v, before %v to %v", l, h, low, high)
	}
	for range 1000 {
		s.AdjustRange(false, false)
	}
	if l, h := bounds(s); h >= high || l <= low || l > h {
		t.Errorf("after starts in range: %v to %v, before %v to %v", l, h, low, high)
	}
}

// Guards against ranges that are stretched by differences between waits shorter
// than minDistinctWait, which must not matter.
func TestStartsRangeOfShortWaitsBeginsAtZero(t *testing.T) {
	s := NewStartTimes()
	for i := range 20 {
		s.Observe("a", "proof", 0, time.Duration(i)*time.Millisecond)
	}
	if low, high, _, ok := s.Range("a", "proof", 0); !ok || low != 0 || high > 2*time.Second {
		t.Errorf("%v to %v, %v", low, high, ok)
	}
}
