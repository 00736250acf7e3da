package bench

import (
	"cmp"
	"context"
	"slices"

	"golang.org/x/sync/errgroup"
)

// Matrix is the set of runs for all combinations of deployments, loads, seeds
// and policies.
type Matrix struct {
	Deployments []string
	Loads       []Load
	Seeds       []uint64
	Policies    []Policy
	Short       bool
	Parallel    int // runs at a time
}

// Run executes all runs, with the same arrivals for each policy. The results are
// ordered by deployment, load, policy and seed, in the order of the fields.
func (x *Matrix) Run(ctx context.Context) ([]Result, error) {
	type cell struct{ deployment, load, policy, seed int }
	var cells []cell
	for d := range x.Deployments {
		for l := range x.Loads {
			for p := range x.Policies {
				for s := range x.Seeds {
					cells = append(cells, cell{d, l, p, s})
				}
			}
		}
	}
	results := make([]Result, len(cells))
	order := make([]int, len(cells))
	for i := range order {
		order[i] = i
	}
	// The longest runs start first, so that the others can fill the remaining
	// parallelism at the end.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(cells[b].policy, cells[a].policy), cmp.Compare(cells[b].load, cells[a].load))
	})
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, x.Parallel))
	for _, i := range order {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			c := cells[i]
			w, err := Generate(x.Deployments[c.deployment], x.Loads[c.load], x.Seeds[c.seed], x.Short)
			if err != nil {
				return err
			}
			results[i] = Run(w, x.Policies[c.policy])
			return nil
		})
	}
	return results, group.Wait()
}
