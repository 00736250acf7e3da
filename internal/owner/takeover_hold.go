package owner

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/scheduler/guarantee"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// After a takeover, jobs that may still be running in gangs of the previous owner
// are held, that is not placed again; see docs/design.md, section 8. A hold ends
// at the latest when an agent that has not announced itself since the takeover
// counts as lost.

// addGangFromRow holds a job for the gang that its row names. Of the gang's
// members only rank 0 is known. The caller holds o.mu.
func (o *Owner) addGangFromRow(j *job) {
	addr := j.rec.Rank0
	g := &gang{
		desc: structs.Gang{
			ID: j.rec.GangID, JobID: j.rec.ID, Attempt: j.rec.Attempt, Account: j.rec.Spec.Account, Kind: j.rec.Spec.Kind,
			Domain: o.cfg.Domain, Idempotent: j.rec.Idempotent, Checkpointable: j.rec.Checkpointable,
			Fence: fenceFromGangID(j.rec.GangID), Members: []structs.Member{{Addr: addr, AgentID: o.agentAt(addr)}},
		},
		state: gangUncertain, job: j, account: j.rec.Spec.Account, shape: j.rec.Shape,
		startedAt: o.now(), knownSince: o.now(), incarnations: []int64{j.rec.Rank0Incarnation},
		knownFromRow: true,
		// A job that becomes known after the other holds have ended is held long
		// enough for one query.
		holdUntil: max(o.cfg.Timing.LostAfter, o.now()+o.cfg.Timing.PrepareTTL),
	}
	j.gang = g
	o.gangs[g.desc.ID] = g
	jobHolds.Add("gangs", 1)
	o.setState(j, structs.JobRunning, verdict.MayHaveRun, nil)
	o.startQuery(g, o.queryUncertainGang)
}

// queryUncertainGang asks rank 0 about a gang that may be running. Idempotent
// gangs known only from a row are queried by Agent.Status; others are aborted
// unless rank 0 has let their tasks start (PhaseReleased).
func (o *Owner) queryUncertainGang(g *gang) {
	if !g.knownFromRow || !g.desc.Idempotent {
		o.resolveCommit(g)
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.cfg.Timing.PrepareTTL/2)
	defer cancel()
	var reply structs.GangReply
	if err := o.cfg.Caller.Call(ctx, g.rank0(), "Agent.Status", o.gangArgs(g), &reply); err != nil {
		return
	}
	if reply.Phase == structs.PhasePrepared {
		return // not committed yet: rank 0 lets it start, or it expires within PrepareTTL
	}
	jobHolds.Add("rank0_answered", 1)
	o.applyRank0Phase(g, reply.Phase, reply.Incarnation)
	o.mu.Lock()
	defer o.mu.Unlock()
	if g.state == gangRunning && o.gangs[g.desc.ID] == g {
		g.job.mayBeRunning = false
		g.verifyUntil = o.now() + verifyWindow
	}
}

// queryRank0At queries an agent that has announced itself about the gangs known
// only from a row whose rank 0 it is. The caller holds o.mu.
func (o *Owner) queryRank0At(info *structs.AgentInfo) {
	for _, g := range o.gangs {
		rank0 := &g.desc.Members[0]
		if !g.knownFromRow || rank0.AgentID != info.ID && rank0.Addr != info.Addr {
			continue
		}
		rank0.AgentID = info.ID
		if g.state == gangUncertain && !g.querying {
			o.startQuery(g, o.queryUncertainGang)
		}
	}
}

// dropSupersededGang removes the gang that a job is held for if a later attempt
// of the job is known, because the earlier one has then ended. The caller holds
// o.mu.
func (o *Owner) dropSupersededGang(j *job, attempt int) {
	if g := j.gang; g != nil && g.knownFromRow && g.desc.Attempt < attempt {
		o.removeGang(g)
		j.rec.GangID, j.rec.Attempt = "", attempt
	}
}

// isHeld reports whether a waiting job may be running on an agent that has
// neither announced itself nor been lost. The caller holds o.mu.
func (o *Owner) isHeld(j *job) bool { return j.mayBeRunning && len(o.awaitedAgents) > 0 }

// newHoldExemption returns a function that reports whether a held job is placed
// as soon as recovery has ended: the job is urgent or claims an unused unit of
// its account's guarantee, which the call then uses up. The caller holds o.mu.
func (o *Owner) newHoldExemption(m *structs.Manifest) func(j *job) bool {
	type unit struct {
		account string
		shape   structs.Shape
		unused  int
	}
	var units []*unit
	if m != nil {
		for i := range m.Accounts {
			a := &m.Accounts[i]
			for k := range a.Guarantee {
				if g := &a.Guarantee[k]; guarantee.DomainOf(a, g) == o.cfg.Domain {
					units = append(units, &unit{a.Name, g.Shape, max(1, g.Count)})
				}
			}
		}
	}
	claim := func(account string, shape structs.Shape) bool {
		i := slices.IndexFunc(units, func(u *unit) bool {
			return u.account == account && u.unused > 0 && guarantee.JobFitsUnit(u.shape, shape)
		})
		if i >= 0 {
			units[i].unused--
		}
		return i >= 0
	}
	for _, g := range o.gangs {
		if g.state != gangExpiring && !(g.knownFromRow && g.state == gangUncertain) {
			claim(g.account, g.shape)
		}
	}
	return func(j *job) bool { return j.rec.Urgency == structs.Urgent || claim(j.rec.Spec.Account, j.rec.Shape) }
}

// requeueExemptJobs queues exempt jobs again whose rank 0 has not answered during
// recovery. The caller holds o.mu.
func (o *Owner) requeueExemptJobs() {
	exempt := o.newHoldExemption(o.cfg.Manifests.Current())
	for _, g := range o.gangs {
		if !g.knownFromRow || g.state != gangUncertain || !g.desc.Idempotent || g.job == nil || g.job.gang != g {
			continue
		}
		if g.desc.Attempt < g.job.rec.MaxAttempts && exempt(g.job) {
			jobHolds.Add("urgent", 1)
			j := g.job
			o.removeGang(g)
			o.requeue(j, 0)
		}
	}
}

// expireAwaitedAgents declares the agents lost that have not announced themselves
// to this owner for as long as an agent may be silent. The caller holds o.mu.
func (o *Owner) expireAwaitedAgents(now time.Duration) {
	if len(o.awaitedAgents) == 0 || now < o.cfg.Timing.LostAfter {
		return
	}
	klog.InfoS("Agents of the previous owner did not announce themselves and are lost", "domain", o.cfg.Domain, "agents", len(o.awaitedAgents))
	counters.Add("agents_not_announced", int64(len(o.awaitedAgents)))
	clear(o.awaitedAgents)
	o.persistMembersRow()
	o.triggerCycle()
}
