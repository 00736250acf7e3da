package workflowbench

import (
	"cmp"
	"slices"

	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

// Policy is a named placement policy.
type Policy struct {
	Name   string
	Decide DecideFunc
}

// Policies returns the baselines and, last, the scheduler's own policy.
func Policies() []Policy {
	arrival := func(a, b *workflowscheduler.Group) int { return cmp.Compare(a.ReadyAt, b.ReadyAt) }
	shortest := func(a, b *workflowscheduler.Group) int { return cmp.Compare(a.RemainingWork, b.RemainingWork) }
	priority := func(a, b *workflowscheduler.Group) int { return cmp.Compare(a.Priority, b.Priority) }
	return []Policy{
		{"first come", listPolicy(true, arrival)},
		{"first come, backfill", listPolicy(false, arrival)},
		{"shortest first", listPolicy(false, shortest, arrival)},
		{"priority, backfill", listPolicy(false, priority, arrival)},
		{"parsleypier", workflowscheduler.Decide},
	}
}

// listPolicy returns a policy that places groups in the given order by first fit.
// Gangs start as a whole, and in one rack if they want that and fit in one. With
// strict, the policy stops at the first group that does not fit.
func listPolicy(strict bool, order ...func(a, b *workflowscheduler.Group) int) DecideFunc {
	return func(s *workflowscheduler.Snapshot) *workflowscheduler.Plan {
		plan := &workflowscheduler.Plan{}
		workers := slices.Clone(s.Workers)
		index := make([]int, len(s.Groups))
		for i := range index {
			index[i] = i
		}
		slices.SortStableFunc(index, func(a, b int) int {
			for _, o := range order {
				if c := o(&s.Groups[a], &s.Groups[b]); c != 0 {
					return c
				}
			}
			return 0
		})
		for _, g := range index {
			if !firstFit(plan, workers, g, &s.Groups[g]) && strict {
				break
			}
		}
		return plan
	}
}

// firstFit adds starts for the tasks of a group that fit, for a gang only if all
// fit, and reports whether all did.
func firstFit(plan *workflowscheduler.Plan, workers []workflowscheduler.Worker, g int, group *workflowscheduler.Group) bool {
	racks := []string{""}
	if group.SameRack {
		racks = nil
		for i := range workers {
			if !slices.Contains(racks, workers[i].Rack) {
				racks = append(racks, workers[i].Rack)
			}
		}
		racks = append(racks, "") // if no rack holds the group, use any workers
	}
	for _, rack := range racks {
		left := group.Tasks
		var starts []workflowscheduler.Start
		after := slices.Clone(workers)
		for i := range after {
			w := &after[i]
			for len(left) > 0 && (rack == "" || w.Rack == rack) && w.Free.Fits(group.Need) {
				w.Free = w.Free.Add(group.Need, -1)
				starts = append(starts, workflowscheduler.Start{Group: g, Task: left[0], Worker: w.ID, Expected: group.Expected})
				left = left[1:]
			}
		}
		if len(left) == 0 || !group.Gang {
			plan.Starts = append(plan.Starts, starts...)
			copy(workers, after)
			return len(left) == 0
		}
	}
	return false
}

// Compare simulates the first days of a load for each policy and returns the mean
// results, in the order of the policies.
func Compare(l *Load, days int, policies []Policy) []Result {
	out := make([]Result, len(policies))
	for i, p := range policies {
		sum := Result{EarnedShareByQueue: map[string]float64{}}
		for seed := range uint64(days) {
			r := Simulate(l, seed, p.Decide)
			n := float64(days)
			sum.EarnedShare, sum.EarnedShareBound = sum.EarnedShare+r.EarnedShare/n, sum.EarnedShareBound+r.EarnedShareBound/n
			sum.LostWorkShare, sum.IdleGPUShare = sum.LostWorkShare+r.LostWorkShare/n, sum.IdleGPUShare+r.IdleGPUShare/n
			for q, v := range r.EarnedShareByQueue {
				sum.EarnedShareByQueue[q] += v / n
			}
		}
		out[i] = sum
	}
	return out
}
