package owner

import (
	"context"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// TestFinishedGangWithoutResultIsRefused guards against one malformed message that ends the
// owner's process: an outcome that says a gang has finished and has no result.
func TestFinishedGangWithoutResultIsRefused(t *testing.T) {
	withManifest(t, testManifest(), func(h *harness) {
		job := h.submit(jobSpec("order", "k"))
		time.Sleep(time.Second)
		gang := h.agents.gang(job.ID, 1)
		_, err := h.owner.GangFinished(context.Background(), structs.GangOutcome{Gang: gang, Phase: structs.PhaseFinished})
		if !verdict.HasCode(err, verdict.CodeBadRequest) {
			t.Errorf("outcome without a result: %v, want a refusal", err)
		}
		if _, err := h.reportFinished(h.owner, job.ID, 1, "x"); err != nil {
			t.Errorf("the result: %v", err)
		}
		h.expect(h.awaitJob(job.ID, time.Second), structs.JobFinished, verdict.Ran)
	})
}
