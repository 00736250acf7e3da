package bench

import (
	"fmt"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// gpuWorkers returns the 11 workers of a small deployment: racks of three,
// three, three and two workers in three zones. The first rack has old hardware.
func gpuWorkers() []structs.Worker {
	var out []structs.Worker
	for i := range 11 {
		class := "new"
		if i < 3 {
			class = "old"
		}
		out = append(out, structs.Worker{
			ID: fmt.Sprintf("w%02d", i), Domain: "d", Region: "r", Zone: fmt.Sprint("z", (i/3)%3), Rack: fmt.Sprint("k", i/3), Class: class,
			State: structs.WorkerReady,
			WorkerCapacity: structs.WorkerCapacity{
				Accelerators: 8, CoresMilli: 64000, MemoryMB: 256 << 10, Slots: 8, Connections: 64,
			},
		})
	}
	return out
}

func shape(workers, accelerators int, adjacency structs.Adjacency) structs.Shape {
	return structs.Shape{Workers: workers, Accelerators: accelerators, Adjacency: adjacency, CoresMilli: 1000, MemoryMB: 1024}
}

func guarantee(count int, s structs.Shape) structs.Guarantee {
	return structs.Guarantee{Domain: "d", Shape: s, Count: count}
}

func account(name string, g ...structs.Guarantee) structs.Account {
	return structs.Account{Name: name, Domains: []string{"d"}, Guarantee: g, Weight: 1}
}

var single = shape(1, 1, structs.AdjacentNone)

// alWusta is the workload of a business that recells battery packs: bursts of short
// diagnostics, rebuild plans that must not run twice, and long capacity analyses.
func alWusta() profile {
	w := structs.AdjacentWorker
	return profile{
		name: "alwusta", horizon: 8 * time.Hour, weights: structs.Weights{Completion: 3, Fragmentation: 1}, workers: gpuWorkers,
		accounts: []structs.Account{
			// 72 of 88 accelerators are guaranteed.
			account("bayan", guarantee(3, shape(1, 8, w)), guarantee(3, single)),
			account("dhofar", guarantee(2, shape(1, 8, w)), guarantee(1, shape(1, 4, w)), guarantee(3, single)),
			account("matrah", guarantee(1, shape(1, 8, w)), guarantee(1, shape(1, 4, w)), guarantee(3, single)),
			account("ruwi", guarantee(1, shape(1, 4, w)), guarantee(3, single)),
		},
		shares: []float64{0.4, 0.3, 0.2, 0.1},
		kinds: []kindProfile{
			{
				Kind:  structs.Kind{Name: "diagnostic", Urgency: structs.Urgent, Idempotent: true, Shape: single, RunSeconds: 30},
				share: 0.1, mean: 30 * time.Second, batchMin: 4, batchMax: 40, shapes: []weightedShape{{single, 1}},
			},
			{
				Kind:  structs.Kind{Name: "rebuild", Urgency: structs.Urgent, Shape: single, RunSeconds: 60},
				share: 0.1, mean: time.Minute, batchMin: 1, batchMax: 6, shapes: []weightedShape{{single, 1}},
			},
			{
				Kind: structs.Kind{
					Name: "capacity", Urgency: structs.Standard, Idempotent: true, Checkpointable: true, Shape: shape(1, 4, w), RunSeconds: 1500,
				},
				share: 0.8, mean: 25 * time.Minute, batchMin: 1, batchMax: 3, shapes: []weightedShape{
					{shape(1, 2, w), 0.25}, {shape(1, 4, w), 0.35}, {shape(1, 8, w), 0.25},
					{shape(2, 8, structs.AdjacentRack), 0.1}, {shape(3, 8, structs.AdjacentRack), 0.05},
				},
			},
		},
	}
}

// andrade is the workload of a designer of book covers: long proofs on 8 to 24
// accelerators, urgent die-line checks that a printing press waits for, and
// batches of spine-text renders.
func andrade() profile {
	w, r := structs.AdjacentWorker, structs.AdjacentRack
	return profile{
		name: "andrade", horizon: 8 * time.Hour, weights: structs.Weights{Completion: 1, Fragmentation: 3}, workers: gpuWorkers,
		accounts: []structs.Account{
			// 64 of 88 accelerators are guaranteed.
			account("carmen", guarantee(1, shape(2, 8, r)), guarantee(1, shape(1, 8, w)), guarantee(2, single)),
			account("ibarra", guarantee(2, shape(1, 8, w)), guarantee(2, single)),
			account("llano", guarantee(1, shape(1, 8, w)), guarantee(1, shape(1, 4, w)), guarantee(2, single)),
			account("mitad", guarantee(1, shape(1, 4, w)), guarantee(2, single)),
		},
		shares: []float64{0.35, 0.35, 0.2, 0.1},
		kinds: []kindProfile{
			{
				Kind: structs.Kind{
					Name: "proof", Urgency: structs.Standard, Idempotent: true, Checkpointable: true, Shape: shape(1, 8, w), RunSeconds: 2400,
				},
				share: 0.65, mean: 40 * time.Minute, batchMin: 1, batchMax: 3,
				shapes: []weightedShape{{shape(1, 8, w), 0.5}, {shape(2, 8, r), 0.3}, {shape(3, 8, r), 0.2}},
			},
			{
				Kind:  structs.Kind{Name: "dieline", Urgency: structs.Urgent, Idempotent: true, Shape: single, RunSeconds: 30},
				share: 0.05, mean: 30 * time.Second, batchMin: 1, batchMax: 4, shapes: []weightedShape{{single, 1}},
			},
			{
				Kind:  structs.Kind{Name: "spine", Urgency: structs.Batch, Idempotent: true, Shape: single, RunSeconds: 120},
				share: 0.3, mean: 2 * time.Minute, batchMin: 100, batchMax: 400, shapes: []weightedShape{{single, 1}},
			},
		},
	}
}

// designDomain is a domain of the kind that the scheduler is designed for: about 1.1
// accelerators per worker, gangs of up to 64 workers, mostly tasks without
// accelerators, and jobs that run for hours.
func designDomain(workers, accounts int) profile {
	p := profile{
		name: fmt.Sprint("domain", workers), horizon: 32 * time.Hour, weights: structs.Weights{Completion: 1, Fragmentation: 1},
		workers: func() []structs.Worker { return sparseWorkers(workers) },
	}
	if workers >= 200 {
		p.horizon = 12 * time.Hour // simulating a full day takes minutes
	}
	none := structs.AdjacentNone
	for i := range accounts {
		size := 2
		if i < 3 {
			size = workers / 10
		}
		p.accounts = append(p.accounts, account(fmt.Sprintf("team%02d", i), guarantee(1, shape(size, 1, none))))
		p.shares = append(p.shares, 1/float64(accounts))
	}
	gangs := []weightedShape{{single, 0.5}, {shape(4, 1, none), 0.25}, {shape(8, 1, none), 0.15}, {shape(16, 1, structs.AdjacentZone), 0.1}}
	if workers >= 128 {
		gangs = append(gangs, weightedShape{shape(64, 1, none), 0.03})
	}
	cpu := func(n int) structs.Shape { return structs.Shape{Workers: n, CoresMilli: 4000, MemoryMB: 8 << 10} }
	p.kinds = []kindProfile{
		{
			Kind: structs.Kind{
				Name: "train", Urgency: structs.Standard, Idempotent: true, Checkpointable: true, Shape: gangs[1].shape, RunSeconds: 7200,
			},
			share: 1, mean: 2 * time.Hour, batchMin: 1, batchMax: 2, shapes: gangs,
		},
		{
			Kind: structs.Kind{
				Name: "prepare", Urgency: structs.Batch, Idempotent: true, Checkpointable: true, Shape: cpu(4), RunSeconds: 5400,
			},
			share: 0.7, mean: 90 * time.Minute, batchMin: 1, batchMax: 4, cpuOnly: true,
			shapes: []weightedShape{{cpu(1), 0.3}, {cpu(8), 0.4}, {cpu(24), 0.3}},
		},
	}
	return p
}

// sparseWorkers returns n workers with one accelerator, or two for every tenth.
// Every fourth worker has old hardware.
func sparseWorkers(n int) []structs.Worker {
	var out []structs.Worker
	for i := range n {
		accelerators, class := 1, "new"
		if i%10 == 0 {
			accelerators = 2
		}
		if i%4 == 3 {
			class = "old"
		}
		out = append(out, structs.Worker{
			ID: fmt.Sprintf("w%04d", i), Domain: "d", Region: "r", Zone: "z", Rack: fmt.Sprintf("k%03d", i/14), Class: class,
			State: structs.WorkerReady,
			WorkerCapacity: structs.WorkerCapacity{
				Accelerators: accelerators, CoresMilli: 64000, MemoryMB: 256 << 10, Slots: 32, Connections: 64,
			},
		})
	}
	return out
}
