package workflowscheduler

import "github.com/parsleypier/parsleypier/internal/workflow"

// admits reports whether a task of the group may start on the node now, as far as tasks are
// kept apart because they may crash their worker.
func (n *node) admits(g *Group) bool {
	switch {
	case n.isolated:
		return false
	case g.Isolation >= workflow.IsolationWorker:
		return n.Free == n.Capacity
	case g.Isolation == workflow.IsolationStart:
		return !n.RecentStart
	}
	return true
}

// isolatedKey rates a node for a task that may crash it, see candidate: the one with the
// least work to lose comes first.
func isolatedKey(n *node) [4]float64 {
	used := n.Capacity.Add(n.Free, -1)
	return [4]float64{float64(used.GPUs), float64(used.CPUMilli), n.Slowdown}
}
