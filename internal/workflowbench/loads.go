package workflowbench

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// kinds returns the three kinds of jobs that both deployments have: urgent checks
// that a press or a workbench waits for, large proofs or plans, and batches of many
// tasks. Arrival rates and mean numbers of tasks differ by deployment.
func kinds(urgentRate, largeRate, batchRate, urgentTasks, largeTasks, batchTasks float64) []Kind {
	return []Kind{
		{
			Queue: "urgent", Priority: 0, Rate: urgentRate, MeanTasks: urgentTasks, TasksLogStdDev: 0.8, MaxTasks: 28, RunTime: 2500 * time.Millisecond, RunTimeLogStdDev: 0.5,
			MaxRunTime: 8 * time.Second, Need: workflow.Resources{CPUMilli: 7500, MemoryMB: 31000}, GPUs: []int{1, 2, 4, 8, 8}, GangShare: 1, SameRackShare: 0.8, FailureShare: 0.02,
			EstimateLogStdDev: 0.5, Stretch: 1.5, Slack: 250 * time.Millisecond, Worth: 4, LateWorth: 0.8,
		},
		{
			Queue: "large", Priority: 1, Rate: largeRate, MeanTasks: largeTasks, TasksLogStdDev: 0.8, MaxTasks: 45, RunTime: 6800 * time.Millisecond, RunTimeLogStdDev: 0.3,
			MaxRunTime: 11 * time.Second, Need: workflow.Resources{CPUMilli: 26000, MemoryMB: 75000}, GPUs: []int{1, 2, 4, 8, 8}, GangShare: 1, SameRackShare: 0.6, CheckpointShare: 0.45,
			FailureShare: 0.005, EstimateLogStdDev: 0.5, Stretch: 3, Slack: time.Second, Worth: 3, LateWorth: 0.9,
		},
		{
			Queue: "batch", Priority: 2, Rate: batchRate, MeanTasks: batchTasks, TasksLogStdDev: 0.8, MaxTasks: 180, RunTime: 6100 * time.Millisecond, RunTimeLogStdDev: 0.3,
			MaxRunTime: 11 * time.Second, Need: workflow.Resources{CPUMilli: 5600, MemoryMB: 29000}, GPUs: []int{1}, CheckpointShare: 0.45, FailureShare: 0.005,
			EstimateLogStdDev: 0.9, Stretch: 3, Slack: 3 * time.Second, Worth: 1, LateWorth: 0.3,
		},
	}
}

// Loads returns the loads for which the policies are measured.
func Loads() []*Load {
	small := func(name string, factor float64, bursts ...Burst) *Load {
		return &Load{
			Name: name, Workers: 11, Racks: 4, Kinds: kinds(0.4*factor, 0.5*factor, 0.27*factor, 3, 2, 9), Bursts: bursts, ArrivalPeriod: 34 * time.Second,
			StopGrace: 200 * time.Millisecond, ReclaimLimit: 2700 * time.Millisecond, Accounts: 4, GuaranteedGPUs: 8,
		}
	}
	medium := func(name string, factor float64, bursts ...Burst) *Load {
		return &Load{
			Name: name, Workers: 73, Racks: 10, Kinds: kinds(1.85*factor, 1.02*factor, 0.76*factor, 4.7, 7.6, 30), Bursts: bursts, ArrivalPeriod: 34 * time.Second,
			StopGrace: 200 * time.Millisecond, ReclaimLimit: 2700 * time.Millisecond, Accounts: 10, GuaranteedGPUs: 16,
		}
	}
	large := func(name string, factor float64, bursts ...Burst) *Load {
		return &Load{
			Name: name, Workers: 240, Racks: 20, Kinds: kinds(5.33*factor, 0.624*factor, 0.916*factor, 8, 25, 78), Bursts: bursts, ArrivalPeriod: 17 * time.Second,
			StopGrace: 200 * time.Millisecond, ReclaimLimit: 2700 * time.Millisecond, Accounts: 24, GuaranteedGPUs: 16,
		}
	}
	return []*Load{
		small("11 workers, usual", 1),
		small("11 workers, urgent burst", 1.1, Burst{"urgent", 4 * time.Second, 6 * time.Second, 3}),
		small("11 workers, large burst", 1.1, Burst{"large", 4 * time.Second, 6 * time.Second, 2.5}),
		medium("73 workers, usual", 0.8),
		medium("73 workers, urgent burst", 1, Burst{"urgent", 2 * time.Second, 5 * time.Second, 1.8}),
		medium("73 workers, large burst", 1, Burst{"large", 2 * time.Second, 4 * time.Second, 2}, Burst{"urgent", 2 * time.Second, 5 * time.Second, 1.5}),
		large("240 workers, urgent burst", 1, Burst{"urgent", 5 * time.Second, 6 * time.Second, 2.1}),
	}
}
