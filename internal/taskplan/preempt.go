package taskplan

import (
	"cmp"
	"slices"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// preempt stops runs for n tasks of a guaranteed group. Capacity that is
// already being given back counts, so that no cycle stops more than is needed.
func (p *planner) preempt(g, n int) {
	group := &p.s.Groups[g]
	if p.plan.Waits[g] == NeverFits || p.plan.Waits[g] == NoWorker {
		return
	}
	victims := p.victims()
	soon := p.soonFree()
	var chosen []int
	gained := func(node int) workflow.Resources { return soon[node] }
	for n > 0 {
		if spots, _ := p.gangSpots(g, n, p.roomWith(gained)); spots != nil {
			for _, v := range chosen {
				for _, i := range victims[v].runs {
					p.stop(i, g)
				}
			}
			p.plan.Waits[g] = WaitsForStops
			p.holdNow(g, spots)
			return
		}
		v := p.nextVictim(group, victims, chosen, soon)
		if v < 0 {
			if group.Gang || n == 1 {
				return
			}
			n-- // singles: make room for as many as possible
			continue
		}
		chosen = append(chosen, v)
		for _, i := range victims[v].runs {
			r := &p.s.Running[i]
			if node, ok := p.index[r.Worker]; ok {
				soon[node] = soon[node].Add(r.Need, 1)
			}
		}
	}
}

// holdNow keeps the room that is being made from the groups that come later.
func (p *planner) holdNow(g int, spots []spot) {
	for _, s := range spots {
		p.nodes[s.node].Free = p.nodes[s.node].Free.Add(p.s.Groups[g].Need, -s.count)
	}
}

func (p *planner) stop(i, g int) {
	id := p.s.Running[i].ID
	if !p.stopped[id] {
		p.stopped[id] = true
		p.plan.Stops = append(p.plan.Stops, Stop{Run: id, For: g})
	}
}

// soonFree returns what runs that are being stopped give back, by node.
func (p *planner) soonFree() []workflow.Resources {
	soon := make([]workflow.Resources, len(p.nodes))
	for n, running := range p.endings {
		for _, i := range running {
			if r := &p.s.Running[i]; r.Stopping || p.stopped[r.ID] {
				soon[n] = soon[n].Add(r.Need, 1)
			}
		}
	}
	return soon
}

// roomWith returns a function that counts the tasks which fit beside what runs
// once more capacity is given back.
func (p *planner) roomWith(more func(node int) workflow.Resources) func(g, n int) int {
	return func(g, n int) int {
		group, w := &p.s.Groups[g], &p.nodes[n]
		if !w.eligible(group) || w.Probe {
			return 0
		}
		count := w.Free.Add(more(n), 1).Count(group.Need)
		if group.MaxPerWorker > 0 {
			count = min(count, group.MaxPerWorker-group.Present[w.ID])
		}
		return max(count, 0)
	}
}

// victim is a run, or all runs of a gang, which end together.
type victim struct {
	runs []int
	lost float64
}

func (p *planner) victims() []victim {
	gangs := map[workflow.RunID]int{}
	var out []victim
	for i := range p.s.Running {
		r := &p.s.Running[i]
		if r.Guaranteed || r.Persistent || r.Stopping || p.stopped[r.ID] {
			continue
		}
		if r.Gang {
			key := r.ID
			key.Task.Index = 0
			if at, ok := gangs[key]; ok {
				out[at].runs = append(out[at].runs, i)
				out[at].lost += r.Lost
				continue
			}
			gangs[key] = len(out)
		}
		out = append(out, victim{runs: []int{i}, lost: r.Lost})
	}
	return out
}

// nextVictim returns the victim that costs least for the capacity that it gives
// back where the group may run; -1 if there is none.
func (p *planner) nextVictim(group *Group, victims []victim, chosen []int, soon []workflow.Resources) int {
	best, bestCost := -1, 0.0
	for v := range victims {
		if slices.Contains(chosen, v) {
			continue
		}
		useful := 0.0
		priority := 0
		for _, i := range victims[v].runs {
			r := &p.s.Running[i]
			priority = max(priority, r.Priority)
			n, ok := p.index[r.Worker]
			if !ok || !p.nodes[n].eligible(group) {
				continue
			}
			before := p.nodes[n].Free.Add(soon[n], 1)
			missing := max(0, group.Need.GPUs-before.GPUs%max(1, group.Need.GPUs))
			useful += float64(min(missing, r.Need.GPUs)) + float64(r.Need.CPUMilli)/1e5
		}
		if useful <= 0 {
			continue
		}
		cost := (victims[v].lost + 0.1) / useful
		if priority > 0 {
			cost /= 1 + float64(priority)
		}
		if best < 0 || cmp.Less(cost, bestCost) {
			best, bestCost = v, cost
		}
	}
	return best
}
