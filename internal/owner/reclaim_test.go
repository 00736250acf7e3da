package owner

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Guards against a claim on a guarantee that waits for a gang whose rank 0 does
// not answer while another gang could be preempted: the agent counts as lost only
// after 10 s.
func TestReclaimWithSilentRank0(t *testing.T) {
	m := testManifest()
	m.Hardware[0].Workers = 4
	withManifest(t, m, func(h *harness) {
		h.announce(h.owner, 2, 1)
		h.announce(h.owner, 3, 1)
		for _, key := range []string{"one", "two"} {
			s := jobSpec("pair", key)
			s.Account = "b"
			h.submit(s)
		}
		time.Sleep(time.Second)
		silent := ""
		h.agents.handle("Preempt", func(args, reply any) error {
			h.agents.mu.Lock()
			rank0 := h.agents.gangs[args.(*structs.PreemptArgs).GangID].Members[0].AgentID
			h.agents.mu.Unlock()
			h.owner.mu.Lock()
			defer h.owner.mu.Unlock()
			if silent == "" {
				silent = rank0
				h.owner.agents[rank0].pausedUntil = h.owner.now() + time.Hour
			}
			if rank0 == silent {
				return unavailable(args, reply)
			}
			*reply.(*structs.PreemptReply) = structs.PreemptReply{Phase: structs.PhaseFailed, Stopped: true}
			return nil
		})
		s := jobSpec("test", "claim")
		s.Shape = &structs.Shape{Workers: 1, Accelerators: 8, Adjacency: structs.AdjacentWorker}
		job := h.submit(s)
		time.Sleep(3 * time.Second)
		if got := h.awaitJob(job.ID, 0); got.State != structs.JobRunning || silent == "" {
			t.Fatalf("the claim is %s; silent worker %q", got.State, silent)
		}
	})
}

// Guards against waiting until the agent of rank 0 is lost before an idempotent
// job is placed again, although a member has ended without a result. Also guards
// against placing the job again while the members run or after the gang has
// finished.
func TestMemberEndsWithoutRank0(t *testing.T) {
	for _, tc := range []struct {
		phase structs.GangPhase
		kind  string
		runs  int
	}{
		{structs.PhaseFailed, "pair", 2},
		{structs.PhaseReleased, "pair", 1},
		{structs.PhaseFinished, "pair", 1},
		{structs.PhaseFailed, "order-pair", 1},
	} {
		t.Run(tc.kind+" "+string(tc.phase), func(t *testing.T) {
			m := testManifest()
			m.Hardware[0].Workers = 4
			nonIdempotent := m.Kinds[3]
			nonIdempotent.Name, nonIdempotent.Idempotent = "order-pair", false
			m.Kinds = append(m.Kinds, nonIdempotent)
			withManifest(t, m, func(h *harness) {
				h.announce(h.owner, 2, 1)
				h.announce(h.owner, 3, 1)
				job := h.submit(jobSpec(tc.kind, "k"))
				time.Sleep(time.Second)
				h.agents.handle("Status", func(_, reply any) error {
					*reply.(*structs.GangReply) = structs.GangReply{Phase: tc.phase, Incarnation: 1}
					return nil
				})
				rank0 := h.agents.gang(job.ID, 1).Members[0].AgentID
				h.owner.mu.Lock()
				h.owner.agents[rank0].pausedUntil = h.owner.now() + time.Hour
				h.owner.mu.Unlock()
				time.Sleep(5 * time.Second)
				h.expectCommits(tc.runs)
			})
		})
	}
}
