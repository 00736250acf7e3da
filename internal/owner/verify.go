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

// Times of verification.
const (
	// verifyWindow is the time after its adoption in which a gang may still have
	// been reported to the last owner: longer than an agent's report lasts.
	verifyWindow = 10 * time.Second
	// verifyInterval is the time between two questions about a gang.
	verifyInterval = 2 * time.Second
	// outcomeWait is the time for which the report of an ended gang is awaited.
	outcomeWait = 10 * time.Second
)

// verify asks rank 0 about an adopted gang. One that has ended was reported to
// the last owner, whose row tells the outcome, or will be reported here.
func (o *Owner) verify(g *gang) {
	ctx, cancel := context.WithTimeout(o.ctx, o.cfg.Timing.PrepareTTL/2)
	defer cancel()
	var reply structs.GangReply
	if err := o.cfg.Caller.Call(ctx, g.rank0(), "Agent.Status", o.gangArgs(g), &reply); err != nil {
		return
	}
	if known := g.incarnations[0]; known != 0 && reply.Incarnation != known {
		o.lose(g, "the agent of rank 0 restarted")
		return
	}
	switch reply.Phase {
	case structs.PhaseFinished, structs.PhaseFailed, structs.PhaseAborted, structs.PhaseNone:
		o.followEnd(g)
	default:
		o.mu.Lock()
		g.verifiedAt = o.now()
		o.mu.Unlock()
	}
}

// askMembers asks the members of a gang whose rank 0 does not answer. A member
// that has ended its part without the result shows that the whole gang ends within
// its lease: an idempotent job need not wait until the agent of rank 0 is lost, and
// a claim on a guarantee gets the accelerators in time.
func (o *Owner) askMembers(g *gang) {
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
				return nil // the others can tell
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
		o.loseLocked(g, "rank 0 does not answer, and a member has ended")
	}
}

// followEnd looks for the outcome of a gang that has ended: in the row of its
// job or, for a while, in a report.
func (o *Owner) followEnd(g *gang) {
	row, err := o.cfg.Table.Get(o.ctx, structs.RowKey(g.desc.JobID))
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gangs[g.desc.ID] != g {
		return // the report arrived
	}
	g.verifiedAt = o.now()
	if err == nil && g.job != nil && o.adoptFinal(g.job, row) {
		return
	}
	if !g.ended {
		g.ended, g.endedAt = true, o.now()
	}
	if o.now()-g.endedAt > outcomeWait {
		o.loseLocked(g, "the gang has ended and its outcome is not known")
	}
}

// adoptFinal takes over the final record of an earlier owner and reports
// whether the row has one that differs from the present record. Rows that the
// last owner wrote after this one had read them are found so, and are never
// overwritten. The caller holds o.mu.
func (o *Owner) adoptFinal(j *job, row platformclient.Row) bool {
	var rec structs.Job
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return false
	}
	if !rec.State.Final() || rec.State == structs.JobUnknown || rec.State == j.rec.State {
		return false
	}
	klog.InfoS("Record of the last owner adopted", "job", rec.ID, "state", rec.State, "domain", o.cfg.Domain)
	counters.Add("final_rows_adopted", 1)
	o.countWaiting(j, -1)
	ended, g := j.rec.State.Final(), j.gang
	rec.Spec.Payload = j.rec.Spec.Payload
	j.rec = rec
	j.rowVersion, j.rowUnknown, j.dirty = row.Version, false, false
	if !ended {
		o.endJob(j)
	}
	if g != nil {
		o.release(g)
	}
	j.wake()
	return true
}
