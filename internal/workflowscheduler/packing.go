package workflowscheduler

import (
	"math"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// openCost is what it costs to put the first task on an idle worker, in GPUs.
const openCost = 4.0 // half of a worker

// packingCost returns, for each of count more tasks on a node, by how many GPUs
// the node's stranded GPUs grow, and openCost if the node is idle. Tasks with many
// cores and few GPUs thus go where tasks with many GPUs run, and the other way
// round, and whole workers stay free.
func (p *planner) packingCost(n int, need workflow.Resources, count int) float64 {
	w := &p.nodes[n]
	cost := p.stranded(w.Free.Add(need, -count)) - p.stranded(w.Free)
	if w.Free == w.Capacity {
		cost += openCost
	}
	return math.Round(4*cost/float64(count)) / 4
}

// stranded returns the free GPUs that lack cores or memory of the usual size.
func (p *planner) stranded(free workflow.Resources) float64 {
	usable := float64(free.GPUs)
	if p.perGPU[0] > 0 {
		usable = min(usable, float64(free.CPUMilli)/p.perGPU[0])
	}
	if p.perGPU[1] > 0 {
		usable = min(usable, float64(free.MemoryMB)/p.perGPU[1])
	}
	return float64(free.GPUs) - max(usable, 0)
}

// measureDemand sets what tasks want for each GPU, over all that run or wait.
func (p *planner) measureDemand() {
	var sum workflow.Resources
	for i := range p.s.Running {
		sum = sum.Add(p.s.Running[i].Need, 1)
	}
	for i := range p.s.Groups {
		sum = sum.Add(p.s.Groups[i].Need, len(p.s.Groups[i].Tasks))
	}
	if sum.GPUs > 0 {
		p.perGPU = [2]float64{float64(sum.CPUMilli) / float64(sum.GPUs), float64(sum.MemoryMB) / float64(sum.GPUs)}
	}
}
