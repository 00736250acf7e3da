package check

import (
	"slices"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// checkPreemptions checks that only reclaimable gangs are stopped, that each of them
// is on a worker reserved for the job it makes room for, and that no gang inside its
// account's guarantee is reclaimed.
func (c *checker) checkPreemptions() {
	stopped := map[string]bool{}
	for i := range c.plan.Preemptions {
		p := &c.plan.Preemptions[i]
		g, j := c.gangs[p.GangID], c.waiting[p.ForJob]
		if g == nil || j == nil {
			c.fail(RuleUnknown, "preemption refers to gang %s and job %s, which are not both in the snapshot", p.GangID, p.ForJob)
			continue
		}
		if stopped[p.GangID] || g.Stopping {
			c.fail(RuleDuplicate, "gang %s is stopped twice", p.GangID)
		}
		stopped[p.GangID] = true
		if !g.Reclaimable() {
			c.fail(RulePreemption, "gang %s is not reclaimable", p.GangID)
		}
		c.checkHoldsReserved(g, j, p.Reason)
		if p.Reason == structs.PreemptReclaim && len(c.unitsOfAccount(j.Account)) == 0 {
			c.fail(RulePreemption, "job %s of account %s claims a guarantee that the account does not have", j.ID, j.Account)
		}
	}
	c.checkKeptGuarantees(stopped)
}

// checkHoldsReserved checks that the gang has a member on a worker that the plan reserves
// for the job.
func (c *checker) checkHoldsReserved(g *structs.RunningGang, j *structs.WaitingJob, reason structs.PreemptReason) {
	for i := range c.plan.Reservations {
		r := &c.plan.Reservations[i]
		if r.JobID != j.ID {
			continue
		}
		for _, m := range r.Members {
			if slices.ContainsFunc(g.Members, func(o structs.MemberPlacement) bool { return o.Worker == m.Worker }) {
				return
			}
		}
		c.fail(RulePreemption, "gang %s has no member on the workers reserved for job %s", g.ID, j.ID)
		return
	}
	c.fail(RulePreemption, "gang %s is stopped (%s) for job %s, which has no reservation", g.ID, reason, j.ID)
}

// checkKeptGuarantees checks that after reclaims each account keeps as many running
// gangs of a guaranteed shape as the guarantee covers, or all that it had if fewer.
func (c *checker) checkKeptGuarantees(stopped map[string]bool) {
	reclaims := map[string]bool{}
	for _, p := range c.plan.Preemptions {
		if p.Reason == structs.PreemptReclaim {
			reclaims[p.GangID] = stopped[p.GangID]
		}
	}
	for i := range c.snap.Accounts {
		name := c.snap.Accounts[i].Name
		units := unitsOf(c.snap, i)
		for n, u := range units {
			if slices.Contains(units[:n], u) {
				continue
			}
			covered, before, after := 0, 0, 0
			for _, o := range units {
				if o == u {
					covered++
				}
			}
			for g := range c.snap.Running {
				r := &c.snap.Running[g]
				if r.Account != name || r.Stopping || !usesUnit(u, r.Shape) {
					continue
				}
				before++
				if !reclaims[r.ID] {
					after++
				}
			}
			if after < min(covered, before) {
				c.fail(RulePreemption, "account %s keeps %d gangs of a guaranteed shape; it had %d and %d are guaranteed", name, after, before, covered)
			}
		}
	}
}
