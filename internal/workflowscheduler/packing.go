package workflowscheduler

import (
	"math"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// idleWorkerCostGPUs is the packing cost of placing the first task on an idle worker, in
// GPUs.
const idleWorkerCostGPUs = 4.0 // half of a worker

// packingCost returns by how many GPUs the stranded GPUs of a node grow for each of
// count more tasks, plus a share of idleWorkerCostGPUs if the node is idle. This places
// tasks with many cores and few GPUs beside tasks with few cores and many GPUs, and
// keeps whole workers free. The result is rounded to quarters of a GPU.
func (p *planner) packingCost(n int, need workflow.Resources, count int) float64 {
	w := &p.nodes[n]
	cost := p.strandedGPUs(w.Free.Add(need, -count)) - p.strandedGPUs(w.Free)
	if w.Free == w.Capacity {
		cost += idleWorkerCostGPUs
	}
	return math.Round(4*cost/float64(count)) / 4
}

// strandedGPUs returns the number of GPUs that average tasks cannot use with the given
// free capacity, because cores or memory run out first.
func (p *planner) strandedGPUs(free workflow.Resources) float64 {
	usable := float64(free.GPUs)
	if p.demandPerGPU[0] > 0 {
		usable = min(usable, float64(free.CPUMilli)/p.demandPerGPU[0])
	}
	if p.demandPerGPU[1] > 0 {
		usable = min(usable, float64(free.MemoryMB)/p.demandPerGPU[1])
	}
	return float64(free.GPUs) - max(usable, 0)
}

// measureDemand sets demandPerGPU from all running and waiting tasks.
func (p *planner) measureDemand() {
	var sum workflow.Resources
	for i := range p.snap.Running {
		sum = sum.Add(p.snap.Running[i].Need, 1)
	}
	for i := range p.snap.Groups {
		sum = sum.Add(p.snap.Groups[i].Need, len(p.snap.Groups[i].Tasks))
	}
	if sum.GPUs > 0 {
		p.demandPerGPU = [2]float64{float64(sum.CPUMilli) / float64(sum.GPUs), float64(sum.MemoryMB) / float64(sum.GPUs)}
	}
}
