package workflowbench

import (
	"testing"
)

// Guards against a policy that earns less than a baseline on a day with high load.
// The loads mix urgent gangs of whole workers with batches of many tasks, gangs that
// want one rack, and tasks with many cores and few GPUs.
func TestPolicyEarnsAtLeastBaselines(t *testing.T) {
	for _, l := range Loads() {
		days, policies := 4, Policies()
		if l.Workers > 20 {
			days, policies = 1, policies[3:] // make bench measures all policies
		}
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			results := Compare(l, days, policies)
			own := results[len(results)-1]
			for i, r := range results {
				t.Logf("%-22s earned %.3f, bound %.3f, urgent %.3f, large %.3f, batch %.3f, lost work %.3f, idle %.3f", policies[i].Name, r.EarnedShare, r.EarnedShareBound,
					r.EarnedShareByQueue["urgent"], r.EarnedShareByQueue["large"], r.EarnedShareByQueue["batch"], r.LostWorkShare, r.IdleGPUShare)
				if r.EarnedShare > own.EarnedShare {
					t.Errorf("%s earns a share of %.3f of the value, parsleypier only %.3f", policies[i].Name, r.EarnedShare, own.EarnedShare)
				}
			}
		})
	}
}

// Guards against results that differ between runs with the same seed.
func TestSimulateIsDeterministic(t *testing.T) {
	l := Loads()[0]
	for _, p := range Policies() {
		if a, b := Simulate(l, 3, p.Decide), Simulate(l, 3, p.Decide); a.EarnedShare != b.EarnedShare || a.LostWorkShare != b.LostWorkShare {
			t.Errorf("%s: two runs with the same seed earned %v and %v", p.Name, a.EarnedShare, b.EarnedShare)
		}
	}
}
