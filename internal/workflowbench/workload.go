// Package workflowbench measures the placement decision for workflows: it plays
// seeded days of arrivals, run times and failures against a decision function in
// virtual time, without network or processes, and reports what users earn.
package workflowbench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Kind is a kind of job.
type Kind struct {
	Queue    string
	Priority int
	// Rate is the mean number of jobs a second.
	Rate float64
	// Width and Work are the means of the tasks of a job and of their run time, both
	// lognormal with a spread; MaxWidth and MaxWork bound them.
	Width, WidthSpread float64
	MaxWidth           int
	Work               time.Duration
	WorkSpread         float64
	MaxWork            time.Duration
	Need               workflow.Resources // without GPUs
	GPUs               []int              // one of them by chance
	// Gang and SameRack are shares of the jobs, the second of the gangs. Saves is the
	// share with checkpoints, Fails that of runs that fail by their own fault.
	Gang, SameRack, Saves, Fails float64
	// EstimateError is the spread of declared run times.
	EstimateError float64
	Stretch       float64
	Slack         time.Duration
	// Worth is that of a job of the mean size, LateWorth that of one that is late.
	Worth, LateWorth float64
}

// Burst multiplies the rate of a queue for a while.
type Burst struct {
	Queue     string
	From, For time.Duration
	Factor    float64
}

// Load is a pattern of a day.
type Load struct {
	Name           string
	Workers, Racks int
	Kinds          []Kind
	Bursts         []Burst
	Length         time.Duration
	StopGrace      time.Duration
	Reclaim        time.Duration
	// Guaranteed are the GPUs that belong to each of the accounts.
	Accounts, Guaranteed int
}

// arrival is a job as it comes.
type arrival struct {
	at       time.Duration
	kind     *Kind
	account  int
	gang     bool
	sameRack bool
	saves    bool
	need     workflow.Resources
	work     []time.Duration // of each task on a sound worker
	declared time.Duration
	fails    []bool // whether the first run of a task fails
}

// size returns the work of a job in core-seconds; a GPU counts as 8 cores.
func (a *arrival) size() float64 {
	sum := 0.0
	for _, w := range a.work {
		sum += cores(a.need) * w.Seconds()
	}
	return sum
}

func cores(r workflow.Resources) float64 { return float64(r.CPUMilli)/1000 + 8*float64(r.GPUs) }

// lognormal returns a value with the mean and the spread of its logarithm.
func lognormal(rnd *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rnd.NormFloat64()-spread*spread/2)
}

// arrivals draws a day.
func (l *Load) arrivals(seed uint64) []*arrival {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var out []*arrival
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < l.Length; at += step {
		for i := range l.Kinds {
			k := &l.Kinds[i]
			rate := k.Rate
			for _, b := range l.Bursts {
				if b.Queue == k.Queue && at >= b.From && at < b.From+b.For {
					rate *= b.Factor
				}
			}
			if rnd.Float64() < rate*step.Seconds() {
				out = append(out, k.draw(rnd, at, rnd.IntN(l.Accounts)))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

func (k *Kind) draw(rnd *rand.Rand, at time.Duration, account int) *arrival {
	a := &arrival{at: at, kind: k, account: account, need: k.Need, gang: rnd.Float64() < k.Gang, saves: rnd.Float64() < k.Saves}
	a.need.GPUs = k.GPUs[rnd.IntN(len(k.GPUs))]
	a.sameRack = a.gang && rnd.Float64() < k.SameRack
	n := min(max(int(lognormal(rnd, k.Width, k.WidthSpread)+0.5), 1), k.MaxWidth)
	mean := min(time.Duration(lognormal(rnd, float64(k.Work), k.WorkSpread)), k.MaxWork)
	for range n {
		w := mean
		if !a.gang {
			w = time.Duration(float64(mean) * math.Exp(0.15*rnd.NormFloat64()))
		}
		a.work = append(a.work, w)
		a.fails = append(a.fails, rnd.Float64() < k.Fails)
	}
	a.declared = time.Duration(float64(mean) * math.Exp(k.EstimateError*rnd.NormFloat64()))
	return a
}
