package workflowbench

import (
	"testing"
)

// Guards against a policy that earns less than the usual ones on a heavy day.
// The loads are the patterns: urgent gangs of whole workers beside wide batches,
// gangs that want one rack, and tasks with many cores and few GPUs.
func TestPolicyAgainstTheUsualOnes(t *testing.T) {
	for _, l := range Loads() {
		days, policies := 4, Policies()
		if l.Workers > 20 {
			days, policies = 1, policies[3:] // make bench plays them all
		}
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			results := Compare(l, days, policies)
			ours := results[len(results)-1]
			for i, r := range results {
				t.Logf("%-22s worth %.3f of %.3f, urgent %.3f, large %.3f, batch %.3f, thrown away %.3f, idle %.3f", policies[i].Name, r.Worth, r.Bound,
					r.ByQueue["urgent"], r.ByQueue["large"], r.ByQueue["batch"], r.Thrown, r.Idle)
				if r.Worth > ours.Worth {
					t.Errorf("%s earns %.3f, parsleypier %.3f", policies[i].Name, r.Worth, ours.Worth)
				}
			}
		})
	}
}

// Guards against a measurement that changes from run to run.
func TestPlayIsRepeatable(t *testing.T) {
	l := Loads()[0]
	for _, p := range Policies() {
		if a, b := Play(l, 3, p.Decide), Play(l, 3, p.Decide); a.Worth != b.Worth || a.Thrown != b.Thrown {
			t.Errorf("%s: worth %v and %v", p.Name, a.Worth, b.Worth)
		}
	}
}
