package owner

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Guards against row writes by an owner that was paused, after the next owner has
// read the rows: an attempt mark of a non-idempotent job, the acceptance of one,
// or the delayed first row of an idempotent job. The next owner would not know of
// them.
func TestPausedOwnerWritesNoJobRow(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.agents.handle("Prepare", unavailable) // keeps the job waiting
		job := h.submit(jobSpec("order", "k"))
		time.Sleep(time.Second)
		delayed := h.submit(plainSpec("delayed"))
		old := h.owner
		noticed := uint32(0)
		old.cfg.OnHigherEpoch = func(epoch uint32) { noticed = epoch }
		next := h.startOwner(2, Timing{LostAfter: time.Hour, SuspectAfter: time.Hour})
		time.Sleep(time.Second)
		h.agents.handle("Prepare", nil)
		old.triggerCycle()
		time.Sleep(10 * time.Second)
		if n := h.agents.count("Commit"); n != 1 { // the commit of the idempotent job
			t.Errorf("%d commits by the old owner, want 1", n)
		}
		if row := h.jobRow(job.ID); row.State != structs.JobWaiting || row.GangID != "" {
			t.Errorf("row of the waiting job: %s, gang %q", row.State, row.GangID)
		}
		if _, err := h.table.Get(h.t.Context(), structs.JobRowKey(delayed.ID)); !verdict.HasCode(err, verdict.CodeNotFound) {
			t.Errorf("row of the idempotent job: %v", err)
		}
		_, err := old.Submit(h.t.Context(), jobSpec("order", "late"), false)
		if !verdict.HasCode(err, verdict.CodeNotOwner) || verdict.Of(err) != verdict.NotRun {
			t.Errorf("submission to the old owner: %v", err)
		}
		if noticed != 2 {
			t.Errorf("the old owner noticed epoch %d, want 2", noticed)
		}
		h.owner = next
	})
}

// Guards against an owner that was paused and overwrites the next owner's list of
// agents.
func TestPausedOwnerKeepsMembersRow(t *testing.T) {
	withHarness(t, func(h *harness) {
		old := h.owner
		h.owner = h.newOwner(2)
		h.announce(h.owner, 2, 1)
		time.Sleep(time.Second)
		h.announce(old, 3, 1)
		time.Sleep(time.Second)
		row, err := h.table.Get(h.t.Context(), membersRowKey(testDomain))
		if members := decodeMembersRow(row.Value); err != nil || len(members) != 3 || members["w2"] == "" {
			t.Errorf("members %v, error %v", members, err)
		}
	})
}
