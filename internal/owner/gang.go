package owner

import (
	"fmt"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// gangState is the state of a gang as the owner knows it.
type gangState int

const (
	// gangDispatching: the gang is being prepared, its attempt is being marked in
	// the job's row, or it is being committed.
	gangDispatching gangState = iota
	// gangRunning: the gang was committed and has not been reported as ended.
	gangRunning
	// gangUncertain: the reply to the commit was lost, or the gang is known only
	// from its job's row, so it may be running.
	gangUncertain
	// gangExpiring: the gang did not run, but members may keep reservations for
	// it until reservationsExpireAt.
	gangExpiring
)

// gang is an attempt of a job that occupies accelerators, or may occupy them. Its
// fields are guarded by Owner.mu.
type gang struct {
	desc  structs.Gang // without Payload and Checkpoint
	state gangState
	// job is nil if the gang is known only from a member's report.
	job     *job
	account string
	shape   structs.Shape
	// startedAt, checkpointedAt and knownSince are on the owner's clock;
	// knownSince is when this owner learned of the gang.
	startedAt, checkpointedAt, knownSince time.Duration
	// preempting is true while the gang is being preempted, for the job
	// preemptingFor.
	preempting           bool
	preemptingFor        string
	backfilled           bool
	reservationsExpireAt time.Duration
	// knownFromRow is true if the gang is known only from its job's row, which
	// names no member but rank 0. holdUntil is when the owner stops waiting for
	// rank 0 of such a gang to answer.
	knownFromRow bool
	holdUntil    time.Duration
	// incarnations holds the incarnation of each member's agent when it was
	// prepared, or 0 if that is not known.
	incarnations []int64
	// obsolete is true if the job no longer needs the gang and the gang has to be
	// stopped.
	obsolete bool
	// verifyUntil is the time until which an adopted gang is verified at rank 0,
	// and verifiedAt the last verification. ended is true if rank 0 reported the
	// gang as ended, first at endedAt.
	verifyUntil, verifiedAt, endedAt time.Duration
	ended                            bool
	// querying is true while a goroutine calls agents about the gang.
	querying bool
}

// newGang creates the gang of the next attempt of j, with a new fencing token. The
// caller holds o.mu.
func (o *Owner) newGang(j *job, p structs.Placement) *gang {
	fence := structs.NewFence(o.cfg.Epoch, o.fenceSeq.Add(1))
	attempt := j.rec.Attempt + 1
	desc := structs.Gang{
		ID:    fmt.Sprintf("%s/%d/%x", j.rec.ID, attempt, uint64(fence)),
		JobID: j.rec.ID, Account: j.rec.Spec.Account, Kind: j.rec.Spec.Kind,
		Attempt: attempt, Fence: fence, Domain: o.cfg.Domain,
		CoresMilli: j.rec.Shape.CoresMilli, MemoryMB: j.rec.Shape.MemoryMB,
		Idempotent: j.rec.Idempotent, Checkpointable: j.rec.Checkpointable,
		ResultBytes: o.resultLimit(j.rec.Spec.Kind),
	}
	g := &gang{
		state: gangDispatching, job: j, account: j.rec.Spec.Account,
		shape: j.rec.Shape, startedAt: o.now(), backfilled: p.Backfilled,
	}
	g.checkpointedAt, g.knownSince = g.startedAt, g.startedAt
	for _, m := range p.Members {
		a := o.agents[m.Worker]
		desc.Members = append(desc.Members, structs.Member{AgentID: m.Worker, Addr: a.info.Addr, Accelerators: m.Accelerators})
		g.incarnations = append(g.incarnations, a.info.Incarnation)
	}
	g.desc = desc
	return g
}

// resultLimit returns the maximum result size of a job kind in bytes.
func (o *Owner) resultLimit(kind string) int {
	if m := o.cfg.Manifests.Current(); m != nil {
		if k := m.Kind(kind); k != nil && k.ResultBytes > 0 {
			return k.ResultBytes
		}
	}
	return structs.MaxResultBytes
}

// rank0 returns the RPC address of rank 0.
func (g *gang) rank0() string { return g.desc.Members[0].Addr }

// rank0Silent reports whether the agent of rank 0 is suspect or lost. The caller
// holds o.mu.
func (o *Owner) rank0Silent(g *gang) bool {
	s := o.workerState(g.desc.Members[0].AgentID, o.now())
	return s == structs.WorkerSuspect || s == structs.WorkerLost
}

// snapshot returns the scheduler's view of the gang. The caller holds o.mu.
func (g *gang) snapshot(o *Owner) structs.RunningGang {
	r := structs.RunningGang{
		ID: g.desc.ID, JobID: g.desc.JobID, Account: g.account, Kind: g.desc.Kind,
		Shape: g.shape, Started: g.startedAt, CheckpointedAt: g.checkpointedAt,
		Idempotent: g.desc.Idempotent, Checkpointable: g.desc.Checkpointable,
		Stopping: g.preempting || g.state == gangExpiring, Backfilled: g.backfilled,
	}
	if g.state == gangRunning && o.rank0Silent(g) {
		// The gang cannot be stopped before the agent of rank 0 answers again or
		// is lost, which takes longer than a claim on a guarantee may wait. The
		// scheduler has to preempt other gangs.
		r.Stopping, r.Idempotent, r.Checkpointable = false, false, false
	}
	if g.job != nil {
		r.Urgency = g.job.rec.Urgency
		r.DeclaredRunTime = structs.Seconds(g.job.rec.RunSeconds)
	}
	r.RunTimeP50, r.RunTimeP90 = o.runtimes.Quantiles(r.Account, r.Kind, r.DeclaredRunTime)
	for _, m := range g.desc.Members {
		r.Members = append(r.Members, structs.MemberPlacement{Worker: m.AgentID, Accelerators: m.Accelerators})
	}
	return r
}

// removeGang removes a gang and frees its resources. The caller holds o.mu.
func (o *Owner) removeGang(g *gang) {
	delete(o.gangs, g.desc.ID)
	for _, m := range g.desc.Members {
		if a := o.agents[m.AgentID]; a != nil {
			a.lastFreedAt = o.now()
		}
	}
	if g.job != nil && g.job.gang == g {
		g.job.gang = nil
	}
	o.triggerCycle()
}

// keepUntilExpiry keeps the accelerators of a gang that did not run occupied
// until the reservations whose abort was not confirmed have expired. The caller
// holds o.mu.
func (o *Owner) keepUntilExpiry(g *gang) {
	g.state = gangExpiring
	g.reservationsExpireAt = o.now() + o.cfg.Timing.PrepareTTL
	if g.job != nil && g.job.gang == g {
		g.job.gang = nil
	}
}
