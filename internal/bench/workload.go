// Package bench measures placement policies: a simulation in virtual time feeds a
// policy with arrivals, completions, failures and cancellations from a seeded
// generator. It does not model the network, the store or the agents.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Job is a generated job. A policy sees only the part of it that is in
// structs.WaitingJob; Work, CancelAt and Poison are hidden from policies.
type Job struct {
	ID, Account, Kind string
	Shape             structs.Shape
	Urgency           structs.Urgency
	Arrive            time.Duration
	// Declared is the declared run time. It differs from Work by a factor of up to
	// accountErrorFactor * jobErrorFactor, in either direction.
	Declared time.Duration
	// Work is the actual run time on hardware of speed 1.
	Work time.Duration
	// CancelAt is the time of the cancellation, or 0 for none.
	CancelAt                   time.Duration
	Idempotent, Checkpointable bool
	// Poison means that the job fails on every worker.
	Poison bool
}

// Fault is a worker failure in the interval [At, Until). If Lost, the worker is
// out of service; otherwise every gang that starts on it fails.
type Fault struct {
	At, Until time.Duration
	Worker    int
	Lost      bool
}

// Workload is the input of a run.
type Workload struct {
	Deployment string
	Load       Load
	Seed       uint64
	Horizon    time.Duration // no job arrives after it
	Weights    structs.Weights
	Workers    []structs.Worker
	Accounts   []structs.Account
	Kinds      []structs.Kind
	Jobs       []Job // sorted by arrival
	Faults     []Fault
	// LargeTotal is the number of accelerators from which a job counts as large.
	LargeTotal int
}

// Load is the offered work relative to the capacity of the workers.
type Load struct {
	Name string
	// Mean is the relative load outside of the burst. In the burst, Peak times as
	// many jobs arrive.
	Mean, Peak float64
}

// Loads are the loads for which the policies are measured.
var Loads = []Load{{"0.6", 0.6, 1}, {"0.8", 0.8, 1}, {"0.95", 0.95, 1}, {"burst", 0.6, 3}}

// classSpeeds are the relative speeds of the hardware classes.
var classSpeeds = map[string]float64{"new": 1, "old": 0.6}

const (
	// accountErrorFactor and jobErrorFactor bound the error of declared run times:
	// each account has a bias per job kind, and each job has its own error. Their
	// product is the largest total factor, 10.
	accountErrorFactor = 4.0
	jobErrorFactor     = 2.5
	workLogStdDev      = 0.5              // standard deviation of the logarithm of Work
	poisonShare        = 0.003            // share of poison jobs
	unplaceableShare   = 0.001            // share of jobs with a shape that no worker holds
	cancelWaveShare    = 0.5              // share of the account's recent jobs that a wave cancels
	cancelWaveSpan     = 30 * time.Minute // maximum age of the jobs that a wave cancels
	cancelWaves        = 2
)

// profile describes the workers, accounts and job kinds of a deployment.
type profile struct {
	name     string
	horizon  time.Duration
	weights  structs.Weights
	workers  func() []structs.Worker
	accounts []structs.Account
	shares   []float64 // of the arrivals, one for each account
	kinds    []kindProfile
}

// kindProfile describes the arrivals of a job kind.
type kindProfile struct {
	structs.Kind
	share              float64       // of the accelerator time
	mean               time.Duration // of Work
	shapes             []weightedShape
	batchMin, batchMax int // number of jobs that arrive together
	// cpuOnly is set for kinds without accelerators. Their share is of the core
	// time.
	cpuOnly bool
}

type weightedShape struct {
	shape  structs.Shape
	weight float64
}

// Deployments returns the deployment names that Generate accepts.
func Deployments() []string { return []string{"alwusta", "andrade", "domain42", "domain200"} }

// Generate returns the workload of a deployment; equal arguments give equal
// workloads. With short, the horizon is a quarter as long.
func Generate(deployment string, load Load, seed uint64, short bool) (*Workload, error) {
	var p profile
	switch deployment {
	case "alwusta":
		p = alWusta()
	case "andrade":
		p = andrade()
	case "domain42":
		p = designDomain(42, 4)
	case "domain200":
		p = designDomain(200, 57)
	default:
		return nil, fmt.Errorf("deployment %q is unknown", deployment)
	}
	if short {
		p.horizon /= 4
	}
	g := &generator{profile: p, rng: rand.New(rand.NewPCG(seed, uint64(len(p.name)))), load: load}
	return g.generate(seed), nil
}

type generator struct {
	profile
	rng         *rand.Rand
	load        Load
	w           *Workload
	accountBias map[string]float64 // factor of declared run times, by account and kind
}

func (g *generator) generate(seed uint64) *Workload {
	g.w = &Workload{
		Deployment: g.name, Load: g.load, Seed: seed, Horizon: g.horizon, Weights: g.weights,
		Workers: g.workers(), Accounts: g.accounts,
	}
	g.accountBias = map[string]float64{}
	largest := 0
	for i := range g.kinds {
		k := &g.kinds[i]
		g.w.Kinds = append(g.w.Kinds, k.Kind)
		for _, s := range k.shapes {
			largest = max(largest, s.shape.Total())
		}
		g.addArrivals(k)
	}
	g.w.LargeTotal = (largest + 1) / 2
	slices.SortFunc(g.w.Kinds, func(a, b structs.Kind) int { return compare(a.Name, b.Name) })
	slices.SortStableFunc(g.w.Jobs, func(a, b Job) int { return int(a.Arrive/time.Millisecond - b.Arrive/time.Millisecond) })
	for i := range g.w.Jobs {
		g.w.Jobs[i].ID = fmt.Sprintf("%s.%020d", g.w.Jobs[i].Account, i)
	}
	g.addCancellations()
	g.addFaults()
	return g.w
}

// capacity returns the number of accelerators or cores, weighted by speed.
func (g *generator) capacity(cores bool) float64 {
	sum := 0.0
	for i := range g.w.Workers {
		n := float64(g.w.Workers[i].Accelerators)
		if cores {
			n = float64(g.w.Workers[i].CoresMilli) / 1000
		}
		sum += n * classSpeeds[g.w.Workers[i].Class]
	}
	return sum
}

// addArrivals generates the jobs of a kind. Batches arrive as a Poisson process with
// a burst in the middle eighth of the horizon.
func (g *generator) addArrivals(k *kindProfile) {
	size, weights := 0.0, 0.0
	for _, s := range k.shapes {
		n := float64(s.shape.Total())
		if k.cpuOnly {
			n = float64(s.shape.Workers*s.shape.CoresMilli) / 1000
		}
		size += s.weight * n
		weights += s.weight
	}
	batch := float64(k.batchMin+k.batchMax) / 2
	perSecond := g.load.Mean * k.share * g.capacity(k.cpuOnly) / (size / weights * k.mean.Seconds()) / batch
	burstFrom, burstTo := g.horizon*7/16, g.horizon*9/16
	for t := 0.0; ; {
		t += g.rng.ExpFloat64() / (perSecond * g.load.Peak)
		at := structs.Seconds(t)
		if at >= g.horizon {
			return
		}
		if (at < burstFrom || at >= burstTo) && g.rng.Float64() >= 1/g.load.Peak {
			continue
		}
		account := g.drawAccount()
		for range k.batchMin + g.rng.IntN(k.batchMax-k.batchMin+1) {
			g.w.Jobs = append(g.w.Jobs, g.drawJob(k, account, at, weights))
		}
	}
}

// drawAccount returns a random account, weighted by the accounts' shares.
func (g *generator) drawAccount() string {
	x := g.rng.Float64()
	for i, s := range g.shares {
		if x -= s; x < 0 {
			return g.w.Accounts[i].Name
		}
	}
	return g.w.Accounts[len(g.shares)-1].Name
}

// drawJob returns a random job of the kind. weights is the sum of the weights of the
// kind's shapes.
func (g *generator) drawJob(k *kindProfile, account string, at time.Duration, weights float64) Job {
	x := g.rng.Float64() * weights
	shape := k.shapes[0].shape
	for _, s := range k.shapes {
		shape = s.shape
		if x -= s.weight; x < 0 {
			break
		}
	}
	if g.rng.Float64() < unplaceableShare {
		shape.Workers, shape.Accelerators = 1, 64
	}
	factor := math.Exp(g.rng.NormFloat64()*workLogStdDev - workLogStdDev*workLogStdDev/2)
	work := time.Duration(float64(k.mean) * min(max(factor, 0.1), 5))
	key := account + "/" + k.Name
	if g.accountBias[key] == 0 {
		g.accountBias[key] = g.logUniform(accountErrorFactor)
	}
	return Job{
		Account: account, Kind: k.Name, Shape: shape, Urgency: k.Urgency, Arrive: at, Work: work,
		Declared:   time.Duration(float64(work) * g.accountBias[key] * g.logUniform(jobErrorFactor)),
		Idempotent: k.Idempotent, Checkpointable: k.Checkpointable, Poison: g.rng.Float64() < poisonShare,
	}
}

// logUniform returns a log-uniform value between 1/factor and factor.
func (g *generator) logUniform(factor float64) float64 {
	return math.Exp((2*g.rng.Float64() - 1) * math.Log(factor))
}

// addCancellations generates waves in which an account cancels many of its recent
// jobs at once.
func (g *generator) addCancellations() {
	for range cancelWaves {
		at := time.Duration(g.rng.Float64() * float64(g.horizon))
		account := g.drawAccount()
		for i := range g.w.Jobs {
			j := &g.w.Jobs[i]
			if j.Account == account && j.Arrive <= at && j.Arrive > at-cancelWaveSpan && g.rng.Float64() < cancelWaveShare {
				j.CancelAt = at + time.Second
			}
		}
	}
}

// addFaults generates one fault for each of a tenth of the workers, at least two.
// Every other of these workers is lost; the rest fail their gangs.
func (g *generator) addFaults() {
	n := max(2, len(g.w.Workers)/10)
	for i, worker := range g.rng.Perm(len(g.w.Workers))[:n] {
		at := time.Duration(g.rng.Float64() * 0.8 * float64(g.horizon))
		length := g.horizon/40 + time.Duration(g.rng.Float64()*float64(g.horizon)/20)
		g.w.Faults = append(g.w.Faults, Fault{At: at, Until: at + length, Worker: worker, Lost: i%2 == 0})
	}
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
