package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against estimates that follow wrong declared run times, on which urgency,
// reservations and preemption would then be based. The prior must lower the error
// of the estimates for queues whose declared times are wrong by a factor of two or
// three, and keep it low where they are nearly right.
func TestPriorReducesEstimateError(t *testing.T) {
	for _, c := range []struct {
		name          string
		spread, error float64 // standard deviations of the logarithms
		limit         float64 // of the root mean square error of the estimates
	}{
		{"declared off by two times", 0.5, 0.7, 0.5},
		{"declared off by three times", 0.5, 1.0, 0.55},
		{"declared off by a little", 0.5, 0.1, 0.35},
	} {
		t.Run(c.name, func(t *testing.T) {
			squaredWithPrior, squaredWithout := 0.0, 0.0
			const days, jobs = 40, 40
			for day := range uint64(days) {
				rnd := rand.New(rand.NewPCG(day, 1))
				withPrior, without := NewRuntimesWithPrior(Prior{Slope: 0.3, Weight: 6}), NewRuntimes()
				for range jobs {
					actual := math.Exp(math.Log(2.5e9) + c.spread*rnd.NormFloat64())
					declared := time.Duration(actual * math.Exp(c.error*rnd.NormFloat64()))
					withPrior.ObserveDeclared("k", declared)
					for r, sum := range map[*Runtimes]*float64{withPrior: &squaredWithPrior, without: &squaredWithout} {
						p50, _ := r.Quantiles("", "k", declared)
						e := math.Log(float64(p50) / actual)
						*sum += e * e / (days * jobs)
						r.Observe("", "k", "", declared, time.Duration(actual))
					}
				}
			}
			if got := math.Sqrt(squaredWithPrior); got > c.limit {
				t.Errorf("root mean square error %.2f, limit %.2f; without a prior %.2f", got, c.limit, math.Sqrt(squaredWithout))
			}
		})
	}
}

// The mean of the declared times must not be used before there is one.
func TestPriorWithoutDeclaredTimes(t *testing.T) {
	r := NewRuntimesWithPrior(Prior{Slope: 0.3, Weight: 6})
	if p50, _ := r.Quantiles("", "k", time.Second); p50 != time.Second {
		t.Errorf("estimate %v, want the declared time", p50)
	}
}
