package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against estimates that do not follow the fallback order, or are based on
// too few observations.
func TestQuantilesFallback(t *testing.T) {
	observe := func(account string, n int, ratio float64) func(*Runtimes) {
		return func(r *Runtimes) {
			for range n {
				r.Observe(account, "proof", "new", time.Minute, scale(time.Minute, ratio))
			}
		}
	}
	for name, c := range map[string]struct {
		observed []func(*Runtimes)
		p50, p90 time.Duration
	}{
		"no observations": {nil, time.Hour, 10 * time.Hour},
		"too few":         {[]func(*Runtimes){observe("a", minSamples-1, 3)}, time.Hour, 10 * time.Hour},
		"own account":     {[]func(*Runtimes){observe("b", 100, 5), observe("a", minSamples, 3)}, 3 * time.Hour, 3 * time.Hour},
		"kind":            {[]func(*Runtimes){observe("b", 8, 0.5), observe("a", 2, 2)}, time.Hour / 2, 2 * time.Hour},
		"old ones slide out": {[]func(*Runtimes){observe("a", 500, 9), observe("a", sampleSize, 1)},
			time.Hour, time.Hour},
		"absurd ratio": {[]func(*Runtimes){observe("a", minSamples, 1e9)}, maxActualToDeclared * time.Hour, maxActualToDeclared * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRuntimes()
			for _, f := range c.observed {
				f(r)
			}
			if p50, p90 := r.Quantiles("a", "proof", time.Hour); !approximatelyEqual(p50, c.p50) || !approximatelyEqual(p90, c.p90) {
				t.Errorf("got %v, %v; want %v, %v", p50, p90, c.p50, c.p90)
			}
		})
	}
}

// approximatelyEqual allows for rounding errors of the logarithms.
func approximatelyEqual(a, b time.Duration) bool { return math.Abs(float64(a-b)) <= 1e-9*float64(b) }

// Guards against estimates that follow declared times which do not predict the
// actual ones, and estimates that ignore declared times which are wrong by a
// constant factor only.
func TestQuantilesWeighDeclaredTimes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]struct {
		actual   func(declared time.Duration) time.Duration
		lo, hi   time.Duration // bounds of the estimates for an hour
		declared time.Duration
	}{
		"constant factor":     {func(d time.Duration) time.Duration { return d / 4 }, 15 * time.Minute, 15 * time.Minute, time.Hour},
		"declared is noise":   {func(time.Duration) time.Duration { return 20 * time.Minute }, 15 * time.Minute, 25 * time.Minute, time.Hour},
		"beyond the sample":   {func(time.Duration) time.Duration { return 20 * time.Minute }, 80 * time.Minute, 5 * time.Hour, 40 * time.Hour},
		"negative relation":   {func(d time.Duration) time.Duration { return 20 * time.Hour / (d / time.Minute) }, time.Minute, 3 * time.Hour, time.Hour},
		"720 times too long":  {func(d time.Duration) time.Duration { return d / 720 }, 2 * time.Minute, 2 * time.Minute, 24 * time.Hour},
		"ten times too short": {func(d time.Duration) time.Duration { return d * 10 }, 10 * time.Hour, 10 * time.Hour, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRuntimes()
			for range sampleSize {
				d := time.Duration(float64(time.Hour) * math.Exp(4*rng.Float64()-2))
				r.Observe("a", "k", "", d, c.actual(d))
			}
			p50, p90 := r.Quantiles("a", "k", c.declared)
			if p50 > p90 || float64(p50) < 0.999*float64(c.lo) || float64(p90) > 1.001*float64(c.hi) {
				t.Errorf("got %v, %v; want within [%v, %v]", p50, p90, c.lo, c.hi)
			}
		})
	}
}

// Guards against a speed that follows the declared times instead of the actual
// ones.
func TestSpeedByClass(t *testing.T) {
	r := NewRuntimes()
	for range 20 {
		r.Observe("a", "scan", "new", time.Minute, time.Minute)
		r.Observe("a", "scan", "old", time.Minute, 2*time.Minute)
		r.Observe("a", "scan", "new", time.Minute, time.Minute)
	}
	for class, want := range map[string]float64{"new": 1, "old": 0.5, "unseen": 1} {
		if got := r.Speed("scan", class); math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", class, got, want)
		}
	}
}

// Guards against quantiles that are out of order or outside the observed range,
// and against memory that grows without bound with the number of accounts.
func TestRuntimesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRuntimes()
		declared := time.Hour
		lo, hi := time.Duration(1<<62), time.Duration(0)
		n := rapid.IntRange(minSamples, 3*sampleSize).Draw(t, "n")
		for range n {
			actual := time.Duration(rapid.Int64Range(int64(time.Minute), int64(100*time.Hour)).Draw(t, "actual"))
			lo, hi = min(lo, actual), max(hi, actual)
			r.Observe("a", "k", "new", declared, actual)
		}
		p50, p90 := r.Quantiles("a", "k", declared)
		if p50 > p90 || p50 < lo-1 || p90 > hi+1 {
			t.Fatalf("p50 %v, p90 %v outside [%v, %v]", p50, p90, lo, hi)
		}
	})
	r := NewRuntimes()
	for i := range 3 * maxEntriesPerCache {
		r.Observe(fmt.Sprint(i), "k", "new", 1, 1)
	}
	if n := r.byAccount.order.Len(); n != maxEntriesPerCache || len(r.byAccount.entries) != n {
		t.Errorf("%d samples kept, want %d", n, maxEntriesPerCache)
	}
}

func BenchmarkQuantiles(b *testing.B) {
	r := NewRuntimes()
	for range sampleSize {
		r.Observe("a", "k", "new", time.Hour, time.Minute)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Quantiles("a", "k", time.Hour)
	}
}
