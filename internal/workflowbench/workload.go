// Package workflowbench measures placement policies for workflows. It simulates
// seeded days of arrivals, run times and failures in virtual time, without network
// or processes, and reports which share of the value of the jobs is earned.
package workflowbench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Kind describes the jobs of a queue.
type Kind struct {
	Queue    string
	Priority int
	// Rate is the mean number of arrivals per second.
	Rate float64
	// MeanTasks and RunTime are the means of the number of tasks of a job and of
	// their run time. Both are lognormal; MaxTasks and MaxRunTime bound them, and
	// the LogStdDev fields are the standard deviations of their logarithms.
	MeanTasks, TasksLogStdDev float64
	MaxTasks                  int
	RunTime                   time.Duration
	RunTimeLogStdDev          float64
	MaxRunTime                time.Duration
	Need                      workflow.Resources // of each task, without GPUs
	GPUs                      []int              // each job gets one of them at random
	// GangShare is the share of jobs that are gangs, SameRackShare the share of
	// these that want one rack, and CheckpointShare the share of jobs with
	// checkpoints. FailureShare is the share of tasks whose first run fails.
	GangShare, SameRackShare, CheckpointShare, FailureShare float64
	// EstimateLogStdDev is the error of declared run times, as a standard deviation
	// of the logarithm.
	EstimateLogStdDev float64
	// Stretch times the longest run time of a job, plus Slack, is its objective: the
	// time within which it should end.
	Stretch float64
	Slack   time.Duration
	// Worth is the value of a job of mean size that meets the objective. LateWorth
	// is its value if it ends later, but within three times the objective. After
	// that it has no value.
	Worth, LateWorth float64
}

// Burst multiplies the arrival rate of a queue in an interval.
type Burst struct {
	Queue          string
	From, Duration time.Duration
	Factor         float64
}

// Load describes the workers and the arrivals of a day.
type Load struct {
	Name           string
	Workers, Racks int
	Kinds          []Kind
	Bursts         []Burst
	ArrivalPeriod  time.Duration // time in which jobs arrive
	StopGrace      time.Duration // time from the order to stop a run to its end
	ReclaimLimit   time.Duration // maximum wait of guaranteed jobs, as known to the policies
	// GuaranteedGPUs is the number of GPUs guaranteed to each account, for its
	// urgent jobs.
	Accounts, GuaranteedGPUs int
}

// jobArrival is a generated job.
type jobArrival struct {
	at          time.Duration
	kind        *Kind
	account     int
	gang        bool
	sameRack    bool
	checkpoints bool
	need        workflow.Resources
	runTimes    []time.Duration // of each task, on a worker of speed 1
	declared    time.Duration
	fails       []bool // whether the first run of a task fails
}

// coreSeconds returns the work of a job in core-seconds.
func (a *jobArrival) coreSeconds() float64 {
	sum := 0.0
	for _, w := range a.runTimes {
		sum += coreEquivalents(a.need) * w.Seconds()
	}
	return sum
}

// coreEquivalents returns the size of resources in cores; a GPU counts as 8 cores.
func coreEquivalents(r workflow.Resources) float64 {
	return float64(r.CPUMilli)/1000 + 8*float64(r.GPUs)
}

// lognormal returns a lognormal value with the given mean and standard deviation of
// its logarithm.
func lognormal(rnd *rand.Rand, mean, logStdDev float64) float64 {
	return mean * math.Exp(logStdDev*rnd.NormFloat64()-logStdDev*logStdDev/2)
}

// drawArrivals returns the jobs of a day, sorted by arrival.
func (l *Load) drawArrivals(seed uint64) []*jobArrival {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var out []*jobArrival
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < l.ArrivalPeriod; at += step {
		for i := range l.Kinds {
			k := &l.Kinds[i]
			rate := k.Rate
			for _, b := range l.Bursts {
				if b.Queue == k.Queue && at >= b.From && at < b.From+b.Duration {
					rate *= b.Factor
				}
			}
			if rnd.Float64() < rate*step.Seconds() {
				out = append(out, k.drawJob(rnd, at, rnd.IntN(l.Accounts)))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *jobArrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// drawJob returns a random job of the kind.
func (k *Kind) drawJob(rnd *rand.Rand, at time.Duration, account int) *jobArrival {
	a := &jobArrival{at: at, kind: k, account: account, need: k.Need, gang: rnd.Float64() < k.GangShare, checkpoints: rnd.Float64() < k.CheckpointShare}
	a.need.GPUs = k.GPUs[rnd.IntN(len(k.GPUs))]
	a.sameRack = a.gang && rnd.Float64() < k.SameRackShare
	n := min(max(int(lognormal(rnd, k.MeanTasks, k.TasksLogStdDev)+0.5), 1), k.MaxTasks)
	mean := min(time.Duration(lognormal(rnd, float64(k.RunTime), k.RunTimeLogStdDev)), k.MaxRunTime)
	for range n {
		w := mean
		if !a.gang {
			// The members of a gang run equally long; independent tasks vary by about 15 %.
			w = time.Duration(float64(mean) * math.Exp(0.15*rnd.NormFloat64()))
		}
		a.runTimes = append(a.runTimes, w)
		a.fails = append(a.fails, rnd.Float64() < k.FailureShare)
	}
	a.declared = time.Duration(float64(mean) * math.Exp(k.EstimateLogStdDev*rnd.NormFloat64()))
	return a
}
