package owner

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Intervals of the verification of adopted gangs.
const (
	// verifyWindow is the time after its adoption in which an adopted gang is
	// verified, because its outcome may have been reported to the previous owner.
	// It is longer than an agent's report call lasts.
	verifyWindow = 10 * time.Second
	// verifyInterval is the time between two queries about a gang.
	verifyInterval = 2 * time.Second
	// outcomeWait is how long the owner waits for the outcome of an ended gang.
	outcomeWait = 10 * time.Second
)

// verifyAdoptedGang queries rank 0 about an adopted gang. If the gang has ended,
// its outcome was reported to the previous owner and is in the job's row, or it
// will be reported to this owner.
func (o *Owner) verifyAdoptedGang(g *gang) {
	ctx, cancel := context.WithTimeout(o.ctx, o.cfg.Timing.PrepareTTL/2)
	defer cancel()
	var reply structs.GangReply
	if err := o.cfg.Caller.Call(ctx, g.rank0(), "Agent.Status", o.gangArgs(g), &reply); err != nil {
		return
	}
	if prepared := g.incarnations[0]; prepared != 0 && reply.Incarnation != prepared {
		o.markLost(g, "the agent of rank 0 restarted")
		return
	}
	switch reply.Phase {
	case structs.PhaseFinished, structs.PhaseFailed, structs.PhaseAborted, structs.PhaseNone:
		o.findOutcome(g)
	default:
		o.mu.Lock()
		g.verifiedAt = o.now()
		o.mu.Unlock()
	}
}

// queryMembers queries the other members of a gang whose rank 0 does not answer.
// A member that has ended its part without a result shows that the whole gang
// ends within its lease. An idempotent job is then queued again without waiting
// until the agent of rank 0 is lost, and a claim on a guarantee gets the
// accelerators in time.
func (o *Owner) queryMembers(g *gang) {
	ctx, cancel := context.WithTimeout(o.ctx, o.cfg.Timing.PrepareTTL/2)
	defer cancel()
	o.mu.Lock()
	incarnations := slices.Clone(g.incarnations)
	o.mu.Unlock()
	var ended atomic.Bool
	var calls errgroup.Group
	for rank, m := range g.desc.Members {
		if rank == 0 {
			continue
		}
		calls.Go(func() error {
			var reply structs.GangReply
			if err := o.cfg.Caller.Call(ctx, m.Addr, "Agent.Status", o.gangArgs(g), &reply); err != nil {
				return nil // another member may answer
			}
			restarted := incarnations[rank] != 0 && reply.Incarnation != incarnations[rank]
			if restarted || reply.Phase == structs.PhaseFailed || reply.Phase == structs.PhaseAborted {
				ended.Store(true)
			}
			return nil
		})
	}
	_ = calls.Wait() // no call returns an error
	o.mu.Lock()
	defer o.mu.Unlock()
	g.verifiedAt = o.now()
	if ended.Load() && o.gangs[g.desc.ID] == g && o.rank0Silent(g) {
		o.markLostLocked(g, "rank 0 does not answer, and a member has ended")
	}
}

// findOutcome looks for the outcome of an ended gang in the row of its job, and
// waits for a report for up to outcomeWait.
func (o *Owner) findOutcome(g *gang) {
	row, err := o.cfg.Table.Get(o.ctx, structs.JobRowKey(g.desc.JobID))
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gangs[g.desc.ID] != g {
		return // the outcome was reported meanwhile
	}
	g.verifiedAt = o.now()
	if err == nil && g.job != nil && o.adoptFinalRow(g.job, row) {
		return
	}
	if !g.ended {
		g.ended, g.endedAt = true, o.now()
	}
	if o.now()-g.endedAt > outcomeWait {
		o.markLostLocked(g, "the gang has ended and its outcome is not known")
	}
}

// adoptFinalRow applies the final record of an earlier owner's row, and reports
// whether the row has a final state that differs from the current record. This
// way, rows that the previous owner wrote after this owner had read them are
// found and never overwritten. The caller holds o.mu.
func (o *Owner) adoptFinalRow(j *job, row platformclient.Row) bool {
	var rec structs.Job
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return false
	}
	if !rec.State.Final() || rec.State == structs.JobUnknown || rec.State == j.rec.State {
		return false
	}
	klog.InfoS("Adopted the final record of the previous owner", "job", rec.ID, "state", rec.State, "domain", o.cfg.Domain)
	counters.Add("final_rows_adopted", 1)
	o.updateQueue(j, -1)
	ended, g := j.rec.State.Final(), j.gang
	rec.Spec.Payload = j.rec.Spec.Payload
	j.rec = rec
	j.rowVersion, j.rowVersionUnknown, j.dirty = row.Version, false, false
	if !ended {
		o.endJob(j)
	}
	if g != nil {
		o.removeGang(g)
	}
	j.notifyWaiters()
	return true
}
