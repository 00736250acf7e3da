package workflowbench

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// kinds are the three kinds of jobs of both deployments: urgent checks that
// printers and benches wait for, large proofs or plans, and wide batches. Widths
// and rates differ by deployment.
func kinds(urgent, large, batch, urgentWidth, largeWidth, batchWidth float64) []Kind {
	return []Kind{
		{
			Queue: "urgent", Priority: 0, Rate: urgent, Width: urgentWidth, WidthSpread: 0.8, MaxWidth: 28, Work: 2500 * time.Millisecond, WorkSpread: 0.5,
			MaxWork: 8 * time.Second, Need: workflow.Resources{CPUMilli: 7500, MemoryMB: 31000}, GPUs: []int{1, 2, 4, 8, 8}, Gang: 1, SameRack: 0.8, Fails: 0.02,
			EstimateError: 0.5, Stretch: 1.5, Slack: 250 * time.Millisecond, Worth: 4, LateWorth: 0.8,
		},
		{
			Queue: "large", Priority: 1, Rate: large, Width: largeWidth, WidthSpread: 0.8, MaxWidth: 45, Work: 6800 * time.Millisecond, WorkSpread: 0.3,
			MaxWork: 11 * time.Second, Need: workflow.Resources{CPUMilli: 26000, MemoryMB: 75000}, GPUs: []int{1, 2, 4, 8, 8}, Gang: 1, SameRack: 0.6, Saves: 0.45,
			Fails: 0.005, EstimateError: 0.5, Stretch: 3, Slack: time.Second, Worth: 3, LateWorth: 0.9,
		},
		{
			Queue: "batch", Priority: 2, Rate: batch, Width: batchWidth, WidthSpread: 0.8, MaxWidth: 180, Work: 6100 * time.Millisecond, WorkSpread: 0.3,
			MaxWork: 11 * time.Second, Need: workflow.Resources{CPUMilli: 5600, MemoryMB: 29000}, GPUs: []int{1}, Saves: 0.45, Fails: 0.005,
			EstimateError: 0.9, Stretch: 3, Slack: 3 * time.Second, Worth: 1, LateWorth: 0.3,
		},
	}
}

// Loads are the patterns of heavy days.
func Loads() []*Load {
	small := func(name string, factor float64, bursts ...Burst) *Load {
		return &Load{
			Name: name, Workers: 11, Racks: 4, Kinds: kinds(0.4*factor, 0.5*factor, 0.27*factor, 3, 2, 9), Bursts: bursts, Length: 34 * time.Second,
			StopGrace: 200 * time.Millisecond, Reclaim: 2700 * time.Millisecond, Accounts: 4, Guaranteed: 8,
		}
	}
	grown := func(name string, factor float64, bursts ...Burst) *Load {
		return &Load{
			Name: name, Workers: 73, Racks: 10, Kinds: kinds(1.85*factor, 1.02*factor, 0.76*factor, 4.7, 7.6, 30), Bursts: bursts, Length: 34 * time.Second,
			StopGrace: 200 * time.Millisecond, Reclaim: 2700 * time.Millisecond, Accounts: 10, Guaranteed: 16,
		}
	}
	large := func(name string, factor float64, bursts ...Burst) *Load {
		return &Load{
			Name: name, Workers: 240, Racks: 20, Kinds: kinds(5.33*factor, 0.624*factor, 0.916*factor, 8, 25, 78), Bursts: bursts, Length: 17 * time.Second,
			StopGrace: 200 * time.Millisecond, Reclaim: 2700 * time.Millisecond, Accounts: 24, Guaranteed: 16,
		}
	}
	return []*Load{
		small("11 workers, usual", 1),
		small("11 workers, urgent burst", 1.1, Burst{"urgent", 4 * time.Second, 6 * time.Second, 3}),
		small("11 workers, large burst", 1.1, Burst{"large", 4 * time.Second, 6 * time.Second, 2.5}),
		grown("73 workers, usual", 0.8),
		grown("73 workers, urgent burst", 1, Burst{"urgent", 2 * time.Second, 5 * time.Second, 1.8}),
		grown("73 workers, large burst", 1, Burst{"large", 2 * time.Second, 4 * time.Second, 2}, Burst{"urgent", 2 * time.Second, 5 * time.Second, 1.5}),
		large("240 workers, urgent burst", 1, Burst{"urgent", 5 * time.Second, 6 * time.Second, 2.1}),
	}
}
