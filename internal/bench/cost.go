package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Cost is the measured cost of one placement decision.
type Cost struct {
	Workers, Waiting int
	Policy           string
	Micros           float64 // median duration in microseconds
	Bytes, Placed    int     // bytes allocated for a decision; jobs placed by it
}

// costSampleTime is how long MeasureCost repeats a decision; it takes at least
// three samples.
const costSampleTime = 200 * time.Millisecond

// MeasureCost measures decisions on a domain with the given numbers of workers
// and waiting jobs, whose accelerators are nearly all in use.
func MeasureCost(p Policy, workers, waiting int) Cost {
	s := busySnapshot(workers, waiting)
	p.Decide(s)
	var took []float64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	placed := 0
	for start := time.Now(); len(took) < 3 || time.Since(start) < costSampleTime; {
		t := time.Now()
		plan := p.Decide(s)
		took = append(took, float64(time.Since(t).Nanoseconds())/1000)
		placed = len(plan.Placements)
	}
	runtime.ReadMemStats(&after)
	return Cost{
		Workers: workers, Waiting: waiting, Policy: p.Name, Micros: percentile(took, 0.5),
		Bytes: int(after.TotalAlloc-before.TotalAlloc) / len(took), Placed: placed,
	}
}

// cpuTasksPerWorker is the number of tasks without accelerators on a worker. The
// scheduler is designed for 52,000 tasks on 3,400 workers.
const cpuTasksPerWorker = 15

// busySnapshot returns a snapshot in which 19 of 20 accelerators are in use. With
// more than 11 workers, most cores are in use too. Otherwise it has the hardware
// and job kinds of Al Wusta.
func busySnapshot(workers, waiting int) *structs.Snapshot {
	p := alWusta()
	switch {
	case workers >= 200:
		p = designDomain(workers, 57)
	case workers > 11:
		p = designDomain(workers, 4)
	}
	rng := rand.New(rand.NewPCG(1, uint64(workers)))
	s := &structs.Snapshot{Now: 24 * time.Hour, Domain: "d", Weights: p.weights, Workers: p.workers(), Accounts: p.accounts, UrgentStart: urgentStart}
	for i := range p.kinds {
		s.Kinds = append(s.Kinds, p.kinds[i].Kind)
	}
	slices.SortFunc(s.Kinds, func(a, b structs.Kind) int { return compare(a.Name, b.Name) })
	for i := range s.Workers {
		w := &s.Workers[i]
		for a := 0; a < w.Accelerators; a++ {
			if rng.IntN(20) > 0 {
				addRunning(s, rng, p.kinds[0].Name, single, structs.MemberPlacement{Worker: w.ID, Accelerators: 1 << uint(a)})
			}
		}
	}
	if workers > 11 {
		fillCores(s, rng)
	}
	slices.SortFunc(s.Running, func(a, b structs.RunningGang) int { return compare(a.ID, b.ID) })
	for i := range waiting {
		k := &p.kinds[rng.IntN(len(p.kinds))]
		name := p.accounts[rng.IntN(len(p.accounts))].Name
		s.Waiting = append(s.Waiting, structs.WaitingJob{
			ID: fmt.Sprintf("%s.%020d", name, i), Account: name, Kind: k.Name, Shape: k.shapes[rng.IntN(len(k.shapes))].shape, Urgency: k.Urgency,
			Submitted: s.Now - time.Duration(rng.IntN(3600))*time.Second, DeclaredRunTime: k.mean, RunTimeP50: k.mean, RunTimeP90: 2 * k.mean,
			Idempotent: k.Idempotent, Checkpointable: k.Checkpointable,
		})
	}
	slices.SortFunc(s.Waiting, func(a, b structs.WaitingJob) int { return compare(a.ID, b.ID) })
	return s
}

// fillCores adds running gangs of eight workers that use cores but no accelerators.
func fillCores(s *structs.Snapshot, rng *rand.Rand) {
	sh := structs.Shape{Workers: 8, CoresMilli: 4000, MemoryMB: 8 << 10}
	for range cpuTasksPerWorker {
		for i := 0; i+8 <= len(s.Workers); i += 8 {
			var members []structs.MemberPlacement
			for k := range 8 {
				members = append(members, structs.MemberPlacement{Worker: s.Workers[i+k].ID})
			}
			addRunning(s, rng, "prepare", sh, members...)
		}
	}
}

// addRunning adds a running gang that started within the last hour.
func addRunning(s *structs.Snapshot, rng *rand.Rand, kind string, sh structs.Shape, members ...structs.MemberPlacement) {
	name := s.Accounts[rng.IntN(len(s.Accounts))].Name
	id := fmt.Sprintf("%s.%020d", name, 1_000_000+len(s.Running))
	started := s.Now - time.Duration(rng.IntN(3600))*time.Second
	for _, m := range members {
		i, _ := slices.BinarySearchFunc(s.Workers, m.Worker, func(w structs.Worker, id string) int { return compare(w.ID, id) })
		w := &s.Workers[i]
		w.Busy |= m.Accelerators
		w.CoresUsedMilli += sh.CoresMilli
		w.MemoryUsedMB += sh.MemoryMB
		w.SlotsUsed++
	}
	s.Running = append(s.Running, structs.RunningGang{
		ID: id, JobID: id, Account: name, Kind: kind, Shape: sh, Urgency: structs.Standard, Members: members,
		Started: started, CheckpointedAt: started, DeclaredRunTime: time.Hour, RunTimeP50: time.Hour, RunTimeP90: 2 * time.Hour, Idempotent: true, Checkpointable: true,
	})
}
