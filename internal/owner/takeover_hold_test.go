package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Guards against running an idempotent job twice because the agent of its gang
// announces itself to the next owner after recovery has ended.
func TestLateAnnouncementKeepsRunningGang(t *testing.T) {
	for _, row := range []bool{true, false} {
		t.Run(fmt.Sprintf("row %v", row), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.agents.handle("Status", unavailable)
				var job structs.Job
				var g structs.Gang
				state := structs.JobRunning
				if row {
					job, g = h.start(plainSpec("k"))
				} else {
					job, g = h.startWithoutRow(plainSpec("k"))
					state = structs.JobWaiting
				}
				h.takeover()
				h.joinAgent(1-rank0Index(g), 1)
				if !row {
					h.submit(plainSpec("k"))
				}
				time.Sleep(6 * time.Second)
				h.expect(h.awaitJob(job.ID, 0), state, verdict.MayHaveRun)
				h.joinAgent(rank0Index(g), 1, structs.GangReport{Gang: g, Phase: structs.PhaseReleased, RunningFor: 9 * time.Second})
				time.Sleep(10 * time.Second)
				h.expectCommits(1)
				h.reportFinished(h.owner, job.ID, 1, "answer")
				if got := h.awaitJob(job.ID, 0); got.State != structs.JobFinished || got.Attempt != 1 {
					t.Fatalf("job is %s, attempt %d", got.State, got.Attempt)
				}
			})
		})
	}
}

// Guards against a hold that lasts longer than an agent may be silent, for each
// way in which no reply comes, and against a hold that continues after a reply.
func TestHoldEndsWithLostAgentOrReply(t *testing.T) {
	restarted := func(_, reply any) error {
		*reply.(*structs.GangReply) = structs.GangReply{Phase: structs.PhaseNone, Incarnation: 2}
		return nil
	}
	for _, tc := range []struct {
		name string
		row  bool
		// announced is the incarnation with which the agent of rank 0 announces
		// itself without the gang, or 0 if it does not announce itself.
		announced int64
		status    func(any, any) error
		// The job must be placed again between these times after the takeover.
		from, to time.Duration
	}{
		{"agent of rank 0 died", true, 0, unavailable, 10 * time.Second, 12 * time.Second},
		{"agent of rank 0 died, no row", false, 0, unavailable, 10 * time.Second, 12 * time.Second},
		{"link to rank 0 is cut", true, 1, unavailable, 10 * time.Second, 12 * time.Second},
		{"agent of rank 0 restarted", true, 2, restarted, 0, 3 * time.Second},
		{"agent of rank 0 restarted, no row", false, 2, restarted, 0, 3 * time.Second},
		{"agent of rank 0 restarted, announcement late", true, 0, restarted, 10 * time.Second, 12 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.agents.handle("Status", tc.status)
				var job structs.Job
				var g structs.Gang
				if tc.row {
					job, g = h.start(plainSpec("k"))
				} else {
					job, g = h.startWithoutRow(plainSpec("k"))
				}
				h.takeover()
				h.joinAgent(1-rank0Index(g), 1)
				if tc.announced > 0 {
					h.joinAgent(rank0Index(g), tc.announced)
				}
				if !tc.row {
					h.submit(plainSpec("k"))
				}
				if tc.from > 0 {
					time.Sleep(tc.from - 100*time.Millisecond)
					h.expectCommits(1)
				}
				time.Sleep(tc.to - tc.from)
				h.expectCommits(2)
				h.expect(h.awaitJob(job.ID, 0), structs.JobRunning, verdict.MayHaveRun)
			})
		})
	}
}

// Guards against holding urgent jobs and claims on a guarantee beyond recovery,
// so that they start later than 9.7 s after the job's submission, and against
// placing a job again although rank 0 has replied that it runs.
func TestUrgentWorkIsNotHeld(t *testing.T) {
	claim := jobSpec("pair", "k")
	claim.Shape = &structs.Shape{Workers: 1, Accelerators: 8, Adjacency: structs.AdjacentWorker}
	for _, tc := range []struct {
		name    string
		spec    structs.JobSpec
		row     bool
		status  func(any, any) error
		commits int
	}{
		{"urgent", jobSpec("test", "k"), true, unavailable, 2},
		{"urgent, no row", jobSpec("test", "k"), false, unavailable, 2},
		{"claims a guarantee", claim, true, unavailable, 2},
		{"claims a guarantee, no row", claim, false, unavailable, 2},
		{"urgent, rank 0 answers", jobSpec("test", "k"), true, nil, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.agents.handle("Status", tc.status)
				var g structs.Gang
				if tc.row {
					_, g = h.start(tc.spec)
				} else {
					_, g = h.startWithoutRow(tc.spec)
				}
				h.takeover()
				h.joinAgent(1-rank0Index(g), 1)
				if !tc.row {
					h.submit(tc.spec)
				}
				time.Sleep(3 * time.Second)
				h.expectCommits(tc.commits)
			})
		})
	}
}

// Guards against stopping a running attempt, or dropping its result, because the
// job's row names an earlier attempt.
func TestRowOfEarlierAttemptKeepsLaterAttempt(t *testing.T) {
	for _, answer := range []string{"announced", "finished"} {
		t.Run(answer, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.agents.handle("Status", unavailable)
				job, first := h.start(plainSpec("k"))
				if _, err := h.owner.GangFinished(context.Background(), structs.GangOutcome{
					Gang: first, Phase: structs.PhaseFailed, FailedWorker: first.Members[0].AgentID, Message: "failed",
				}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				second := h.agents.gang(job.ID, 2)
				if row := h.jobRow(job.ID); row.GangID != first.ID || second.ID == "" {
					t.Fatalf("row of gang %q, second gang %q", row.GangID, second.ID)
				}
				h.takeover()
				if answer == "announced" {
					time.Sleep(3 * time.Second) // recovery ends
					h.joinAgent(rank0Index(second), 1, structs.GangReport{Gang: second, Phase: structs.PhaseReleased})
					time.Sleep(10 * time.Second)
					if n := h.agents.count("Preempt"); n != 0 {
						t.Fatalf("%d stops of the running attempt", n)
					}
				} else {
					h.joinAgent(rank0Index(second), 1)
				}
				h.reportFinished(h.owner, job.ID, 2, "answer")
				got := h.awaitJob(job.ID, 0)
				h.expect(got, structs.JobFinished, verdict.Ran)
				if got.Attempt != 2 {
					t.Fatalf("attempt %d", got.Attempt)
				}
			})
		})
	}
}
