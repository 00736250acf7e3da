package owner

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Guards against reporting a job as not run, or starting it again, when the
// previous owner marked and committed an attempt after the new owner had read the
// row.
func TestAttemptMarkWrittenAfterTakeover(t *testing.T) {
	for _, mode := range []string{"cancelled", "waiting", "reported first"} {
		withHarness(t, func(h *harness) {
			h.agents.handle("Prepare", unavailable) // keeps the job waiting
			job := h.submit(jobSpec("order", "k"))
			time.Sleep(time.Second)
			h.owner.Stop()
			h.owner.Wait()
			h.owner = h.newOwner(2)
			rec := h.jobRow(job.ID)
			rec.State, rec.Verdict, rec.Attempt = structs.JobPlacing, verdict.MayHaveRun, 1
			rec.GangID = job.ID + "/1/1000000ff"
			value, err := json.Marshal(&rec)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := h.table.Commit(context.Background(), platformclient.Txn{Puts: []platformclient.Put{{Key: structs.JobRowKey(job.ID), Value: value}}}); err != nil {
				t.Fatal(err)
			}
			out := structs.GangOutcome{
				Gang: structs.Gang{ID: rec.GangID, JobID: job.ID, Attempt: 1}, Phase: structs.PhaseFinished, Result: structs.NewResult(1, []byte("x")),
			}
			if mode == "reported first" {
				if _, err := h.owner.GangFinished(context.Background(), out); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				h.expect(h.awaitJob(job.ID, 0), structs.JobFinished, verdict.Ran)
				if row := h.jobRow(job.ID); row.State != structs.JobFinished {
					t.Errorf("row says %s", row.State)
				}
				return
			}
			if mode == "cancelled" {
				reply := &structs.CancelReply{}
				service := NewService()
				service.Set(h.owner)
				if err := service.Cancel(&structs.CancelArgs{Domain: testDomain, Account: "a", IDs: []string{job.ID}}, reply); err != nil || len(reply.Cancelled) > 0 {
					t.Errorf("reported as cancelled before it ran: %v, error %v", reply.Cancelled, err)
				}
			} else {
				h.agents.handle("Prepare", nil)
			}
			time.Sleep(10 * time.Second)
			h.expect(h.awaitJob(job.ID, 0), structs.JobUnknown, verdict.MayHaveRun)
			if n := h.agents.count("Commit"); n > 0 {
				t.Errorf("%d commits by the new owner", n)
			}
			if row := h.jobRow(job.ID); row.Verdict != verdict.MayHaveRun {
				t.Errorf("row says %v", row.Verdict)
			}
			durable, err := h.owner.GangFinished(context.Background(), out)
			if !durable || err != nil {
				t.Errorf("late result: durable %v, error %v", durable, err)
			}
			h.expect(h.awaitJob(job.ID, time.Second), structs.JobFinished, verdict.Ran)
		})
	}
}
