package workflowscheduler

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// keptClearShare is the share of the workers that are kept clear for isolated tasks at the
// same time. At least one may be.
const keptClearShare = 0.25

// admits reports whether a task of the group may start on node n now, as far as tasks are
// kept apart because they may crash their worker.
func (p *planner) admits(g, n int) bool {
	node := &p.nodes[n]
	if node.isolated || node.keptClear && node.keptClearFor != g {
		return false
	}
	switch p.snap.Groups[g].Isolation {
	case workflow.IsolationNone:
		return true
	case workflow.IsolationStart:
		return node.QuietAt <= p.snap.Now
	}
	return node.Free == node.Capacity
}

// keepWorkersClear keeps other starts away from some workers, so that groups whose tasks
// are kept apart find one soon: where tasks start all the time, there would be none. It
// must be called before groups are placed.
func (p *planner) keepWorkersClear() {
	served := 0
	for n := range p.nodes {
		if !p.nodes[n].Evacuated {
			served++
		}
	}
	left := max(1, int(keptClearShare*float64(served)))
	for _, g := range p.groupOrder {
		if left == 0 {
			return
		}
		group := &p.snap.Groups[g]
		if group.Isolation == workflow.IsolationNone || group.Gang || len(group.Tasks) == 0 {
			continue // a gang needs several workers
		}
		if n, found := p.nextClearNode(g); found {
			p.nodes[n].keptClear, p.nodes[n].keptClearFor = true, g
			left--
		}
	}
}

// nextClearNode returns the node on which a task of the group can start first, among those
// that have capacity for it now or, if it needs an idle worker, that will be idle soon. It
// returns false if there is none, or if a task can start at once.
func (p *planner) nextClearNode(g int) (node int, found bool) {
	group := &p.snap.Groups[g]
	first := time.Duration(never)
	for n := range p.nodes {
		if !p.eligible(g, n) || p.nodes[n].Probe || p.nodes[n].keptClear {
			continue
		}
		if p.slotsIgnoringReservations(g, n) > 0 {
			return 0, false
		}
		at := p.nodes[n].QuietAt
		if group.Isolation > workflow.IsolationStart {
			if at = p.idleAt(n); at > p.snap.Now+maxIdleWait {
				continue
			}
		} else if !p.nodes[n].Free.Fits(group.Need) {
			continue
		}
		if at < first {
			node, first, found = n, at, true
		}
	}
	return node, found
}

// maxIdleWait is how long a worker is kept clear until the runs there have ended.
const maxIdleWait = time.Second

// idleAt returns when the last run on a node is expected to end.
func (p *planner) idleAt(n int) time.Duration {
	last := p.snap.Now
	for _, i := range p.runsByNode[n] {
		last = max(last, p.expectedEnd(&p.snap.Running[i]))
	}
	return last
}

// isolatedKey rates a node for a task that may crash it, see candidate: the one with the
// least work to lose comes first.
func isolatedKey(n *node) [4]float64 {
	used := n.Capacity.Add(n.Free, -1)
	return [4]float64{float64(used.GPUs), float64(used.CPUMilli), n.Slowdown}
}
