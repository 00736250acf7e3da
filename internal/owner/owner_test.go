package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Guards against an agent that forgets a result before it is durable, and against
// a row without the result.
func TestResultDurableBeforeAgentForgets(t *testing.T) {
	withHarness(t, func(h *harness) {
		job := h.submit(jobSpec("test", "k"))
		time.Sleep(time.Second)
		h.expect(h.awaitJob(job.ID, 0), structs.JobRunning, verdict.MayHaveRun)
		if err := h.store.SetFaults(platformstub.Faults{TableDown: true}); err != nil {
			t.Fatal(err)
		}
		if durable, err := h.reportFinished(h.owner, job.ID, 1, "answer"); durable || err != nil {
			t.Fatalf("durable %v during an outage, error %v", durable, err)
		}
		got := h.awaitJob(job.ID, 0)
		h.expect(got, structs.JobFinished, verdict.Ran)
		if string(got.Result.Data) != "answer" || got.Result.Durable {
			t.Fatalf("result %+v", got.Result)
		}
		if err := h.store.SetFaults(platformstub.Faults{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if durable, err := h.reportFinished(h.owner, job.ID, 1, "answer"); !durable || err != nil {
			t.Fatalf("durable %v after the outage, error %v", durable, err)
		}
		row := h.jobRow(job.ID)
		if row.State != structs.JobFinished || string(row.Result.Data) != "answer" {
			t.Fatalf("row %+v", row)
		}
	})
}

func (h *harness) jobRow(id string) structs.Job {
	h.t.Helper()
	row, err := h.table.Get(context.Background(), structs.JobRowKey(id))
	if err != nil {
		h.t.Fatal(err)
	}
	var rec structs.Job
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		h.t.Fatal(err)
	}
	return rec
}

// Guards against running a non-idempotent job twice, and against reporting it as
// not run, when the reply to the commit is lost.
func TestLostCommitReply(t *testing.T) {
	for _, tc := range []struct {
		name    string
		abort   func(args, reply any) error
		state   structs.JobState
		verdict verdict.Verdict
		commits int
	}{
		{"aborted at rank 0: tried again", nil, structs.JobRunning, verdict.MayHaveRun, 2},
		{"released: adopted", func(_, reply any) error {
			*reply.(*structs.GangReply) = structs.GangReply{Phase: structs.PhaseReleased, Incarnation: 1}
			return nil
		}, structs.JobRunning, verdict.MayHaveRun, 1},
		{"restarted agent: may have run", func(_, reply any) error {
			*reply.(*structs.GangReply) = structs.GangReply{Phase: structs.PhaseNone, Incarnation: 2}
			return nil
		}, structs.JobUnknown, verdict.MayHaveRun, 1},
		{"rank 0 out of reach: neither answered nor tried again", unavailable, structs.JobPlacing, verdict.MayHaveRun, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.agents.handle("Commit", func(args, reply any) error {
					h.agents.handle("Commit", nil)
					return unavailable(args, reply)
				})
				if tc.abort != nil {
					h.agents.handle("Abort", tc.abort)
				}
				job := h.submit(jobSpec("order", "k"))
				time.Sleep(20 * time.Second)
				h.expect(h.awaitJob(job.ID, 0), tc.state, tc.verdict)
				if n := h.agents.count("Commit"); n != tc.commits {
					t.Fatalf("%d commits, want %d", n, tc.commits)
				}
			})
		})
	}
}

// Guards against starting a non-idempotent job whose attempt mark is not durable.
func TestNoCommitWithoutAttemptMark(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.agents.handle("Prepare", func(_, reply any) error {
			// The table fails between the acceptance and the attempt mark.
			reply.(*structs.GangReply).Phase = structs.PhasePrepared
			return h.store.SetFaults(platformstub.Faults{TableDown: true})
		})
		job := h.submit(jobSpec("order", "k"))
		time.Sleep(20 * time.Second)
		h.expect(h.awaitJob(job.ID, 0), structs.JobWaiting, verdict.NotRun)
		if n := h.agents.count("Commit"); n != 0 {
			t.Fatalf("%d commits without an attempt mark", n)
		}
		if _, err := h.owner.Submit(context.Background(), jobSpec("order", "k2"), true); verdict.Of(err) != verdict.NotRun || !verdict.HasCode(err, verdict.CodePlatformUnavailable) {
			t.Fatalf("submission during the outage: %v", err)
		}
		if got := h.submit(jobSpec("test", "k3")); got.State != structs.JobWaiting {
			t.Fatalf("idempotent job during the outage: %v", got.State)
		}
	})
}

// Guards against running a duplicate request as a second job, and against a
// request key that returns the record of another job.
func TestRequestKeyIdentifiesOneJob(t *testing.T) {
	withHarness(t, func(h *harness) {
		first := h.submit(jobSpec("order", "k"))
		if again := h.submit(jobSpec("order", "k")); again.ID != first.ID {
			t.Fatalf("duplicate has ID %s", again.ID)
		}
		if _, err := h.owner.Submit(context.Background(), jobSpec("test", "k"), true); !verdict.HasCode(err, verdict.CodeKeyReused) {
			t.Fatalf("reused key: %v", err)
		}
		time.Sleep(time.Second)
		if n := h.agents.count("Commit"); n != 1 {
			t.Fatalf("%d commits", n)
		}
		// The next owner finds the request key in the row.
		h.reportFinished(h.owner, first.ID, 1, "x")
		h.owner.Stop()
		h.owner.Wait()
		h.owner = h.newOwner(2)
		if again := h.submit(jobSpec("order", "k")); again.State != structs.JobFinished || string(again.Result.Data) != "x" {
			t.Fatalf("duplicate at the next owner: %+v", again)
		}
	})
}

// Guards against an owner that was paused and overwrites the record of a newer
// owner.
func TestPausedOwnerDoesNotOverwrite(t *testing.T) {
	withHarness(t, func(h *harness) {
		job := h.submit(jobSpec("test", "k"))
		time.Sleep(time.Second)
		old := h.owner
		h.announcedGangs = []structs.GangReport{{Gang: h.agents.gang(job.ID, 1), Phase: structs.PhaseReleased}}
		h.owner = h.newOwner(2)
		if durable, err := h.reportFinished(h.owner, job.ID, 1, "answer"); !durable || err != nil {
			t.Fatalf("durable %v, error %v", durable, err)
		}
		old.mu.Lock()
		old.jobs[job.ID].rec.Preemptions = 7
		old.persist(old.jobs[job.ID])
		old.mu.Unlock()
		time.Sleep(10 * time.Second)
		if row := h.jobRow(job.ID); row.State != structs.JobFinished || row.Preemptions != 0 {
			t.Fatalf("row was overwritten: %+v", row)
		}
	})
}

// Guards against an owner that was disconnected from the table and creates the
// first row of a job after a newer owner has read the rows: no owner would run
// the job.
func TestDisconnectedOwnerCreatesNoRow(t *testing.T) {
	withHarness(t, func(h *harness) {
		if err := h.store.SetFaults(platformstub.Faults{TableDown: true}); err != nil {
			t.Fatal(err)
		}
		job := h.submit(jobSpec("test", "k"))
		time.Sleep(time.Second)
		if err := h.store.SetFaults(platformstub.Faults{}); err != nil {
			t.Fatal(err)
		}
		h.owner = h.newOwner(2)
		time.Sleep(10 * time.Second)
		if row, err := h.table.Get(t.Context(), structs.JobRowKey(job.ID)); !verdict.HasCode(err, verdict.CodeNotFound) {
			t.Fatalf("row %s, error %v", row.Value, err)
		}
	})
}

// Guards against a new owner that runs a job with an attempt mark again, or
// reports it as not run, without a reply of rank 0 that says so.
func TestRecoveryResolvesAttemptMarks(t *testing.T) {
	for _, tc := range []struct {
		name    string
		reply   structs.GangReply
		state   structs.JobState
		commits int
	}{
		{"rank 0 aborts: placed again", structs.GangReply{Phase: structs.PhaseAborted, Incarnation: 1}, structs.JobRunning, 2},
		{"rank 0 runs it: adopted", structs.GangReply{Phase: structs.PhaseReleased, Incarnation: 1}, structs.JobRunning, 1},
		{"rank 0 restarted: may have run", structs.GangReply{Phase: structs.PhaseNone, Incarnation: 2}, structs.JobUnknown, 1},
		{"rank 0 has forgotten it: may have run", structs.GangReply{Phase: structs.PhaseNone, Incarnation: 1}, structs.JobUnknown, 1},
		{"rank 0 ended it without a result", structs.GangReply{Phase: structs.PhaseFailed, Incarnation: 1}, structs.JobUnknown, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				job := h.submit(jobSpec("order", "k"))
				time.Sleep(time.Second)
				h.owner.Stop()
				h.owner.Wait()
				for _, method := range []string{"Abort", "Status"} {
					h.agents.handle(method, func(_, reply any) error {
						*reply.(*structs.GangReply) = tc.reply
						return nil
					})
				}
				h.owner = h.newOwner(2)
				time.Sleep(20 * time.Second)
				h.expect(h.awaitJob(job.ID, 0), tc.state, verdict.MayHaveRun)
				if n := h.agents.count("Commit"); n != tc.commits {
					t.Fatalf("%d commits, want %d", n, tc.commits)
				}
			})
		})
	}
}

// Guards against dropping a late result, and against accepting the late result of
// an attempt that has been replaced.
func TestLateOutcomes(t *testing.T) {
	withHarness(t, func(h *harness) {
		order, test := h.submit(jobSpec("order", "o")), h.submit(jobSpec("test", "t"))
		time.Sleep(time.Second)
		h.announce(h.owner, 0, 2)
		h.announce(h.owner, 1, 2)
		time.Sleep(time.Second)
		h.expect(h.awaitJob(order.ID, 0), structs.JobUnknown, verdict.MayHaveRun)
		if got := h.awaitJob(test.ID, 0); got.State != structs.JobRunning || got.Attempt != 2 {
			t.Fatalf("idempotent job after the loss: %s, attempt %d", got.State, got.Attempt)
		}
		h.reportFinished(h.owner, order.ID, 1, "late")
		h.expect(h.awaitJob(order.ID, 0), structs.JobFinished, verdict.Ran)
		h.reportFinished(h.owner, test.ID, 1, "stale")
		h.expect(h.awaitJob(test.ID, 0), structs.JobRunning, verdict.MayHaveRun)
		h.reportFinished(h.owner, test.ID, 2, "fresh")
		if got := h.awaitJob(test.ID, 0); string(got.Result.Data) != "fresh" {
			t.Fatalf("result %q", got.Result.Data)
		}
	})
}

// Guards against a table write for each job when many jobs are cancelled at once.
func TestManyCancellationsBatchWrites(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.agents.handle("Prepare", func(any, any) error { return verdict.Refuse(verdict.CodeConflict, "busy") })
		const jobCount = 500
		for i := range jobCount {
			s := jobSpec("order", fmt.Sprint(i))
			s.Account = "b"
			h.submit(s)
		}
		before := h.store.Counters().Writes
		cancelled, stopping, err := h.owner.Cancel(&structs.CancelArgs{Account: "b"})
		if err != nil || len(cancelled)+len(stopping) != jobCount {
			t.Fatalf("%d cancelled, %d stopping, error %v", len(cancelled), len(stopping), err)
		}
		time.Sleep(10 * time.Second)
		job := h.awaitJob(structs.JobID("b", "7"), 0)
		h.expect(job, structs.JobCancelled, verdict.NotRun)
		if writes := h.store.Counters().Writes - before; writes > jobCount/10 {
			t.Fatalf("%d writes for %d cancellations", writes, jobCount)
		}
	})
}

// Guards against a preempted non-idempotent job that starts from the beginning.
func TestPreemptedJobResumesOrEnds(t *testing.T) {
	for _, tc := range []struct {
		name       string
		kind       string
		checkpoint string
		state      structs.JobState
	}{
		{"resumes from its checkpoint", "saved-order", "half", structs.JobRunning},
		{"is not started again without one", "saved-order", "", structs.JobUnknown},
		{"idempotent: starts again", "test", "", structs.JobRunning},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.agents.handle("Preempt", func(_, reply any) error {
					r := reply.(*structs.PreemptReply)
					r.Phase, r.Stopped, r.Checkpoint = structs.PhaseFailed, true, []byte(tc.checkpoint)
					return nil
				})
				job := h.submit(jobSpec(tc.kind, "k"))
				time.Sleep(time.Second)
				first := h.agents.gang(job.ID, 1)
				h.owner.mu.Lock()
				h.owner.applyPreemption(structs.Preemption{GangID: first.ID, Reason: structs.PreemptReclaim})
				h.owner.mu.Unlock()
				time.Sleep(5 * time.Second)
				got := h.awaitJob(job.ID, 0)
				h.expect(got, tc.state, verdict.MayHaveRun)
				if tc.state == structs.JobRunning && got.GangID == first.ID {
					t.Fatal("the first gang was not replaced")
				}
				if tc.checkpoint != "" && string(h.agents.gang(job.ID, 2).Checkpoint) != tc.checkpoint {
					t.Fatalf("resumed from %q", h.agents.gang(job.ID, 2).Checkpoint)
				}
			})
		})
	}
}

// Guards against filling up a worker by the declared sizes of its tasks while
// they use more, and against an outdated usage report that blocks a free worker.
func TestReportedUsageLimitsPlacement(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lag   time.Duration
		state structs.JobState
	}{
		{"a fresh report counts", 0, structs.JobWaiting},
		{"one from before the last release does not", time.Minute, structs.JobRunning},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.submit(jobSpec("pair", "hold"))
				time.Sleep(time.Second)
				g := h.agents.gang(structs.JobID("a", "hold"), 1)
				h.reportFinished(h.owner, g.JobID, 1, "x")
				for i := range 2 {
					h.submit(jobSpec("test", fmt.Sprint(i)))
				}
				time.Sleep(time.Second)
				for i := range 2 {
					_, err := h.owner.Heartbeat(&structs.HeartbeatArgs{AgentID: fmt.Sprintf("w%d", i), Incarnation: 1, Epoch: 1,
						Usage: &structs.Usage{MemoryMB: 1 << 18, CoresMilli: 64000, Lag: tc.lag}})
					if err != nil {
						t.Fatal(err)
					}
				}
				s := jobSpec("test", "more")
				s.Shape = &structs.Shape{Workers: 2, Accelerators: 1, CoresMilli: 1000, MemoryMB: 1000}
				job := h.submit(s)
				time.Sleep(time.Second)
				if got := h.awaitJob(job.ID, 0); got.State != tc.state {
					t.Fatalf("job is %s, want %s", got.State, tc.state)
				}
			})
		})
	}
}

// Guards against refusing a job as one that never fits while declared workers
// have not announced themselves, for example after a takeover or the loss of a
// rack.
func TestNeverFitsByDeclaredHardware(t *testing.T) {
	m := testManifest()
	m.Hardware[0].Workers = 3
	withManifest(t, m, func(h *harness) {
		triple := jobSpec("pair", "three")
		triple.Shape = &structs.Shape{Workers: 3, Accelerators: 8}
		h.expect(h.awaitJob(h.submit(triple).ID, 5*time.Second), structs.JobWaiting, verdict.NotRun)
		four := jobSpec("pair", "four")
		four.Shape = &structs.Shape{Workers: 4, Accelerators: 8}
		got := h.awaitJob(h.submit(four).ID, 5*time.Second)
		h.expect(got, structs.JobRefused, verdict.NotRun)
		if got.Error.Code != verdict.CodeNeverFits {
			t.Fatalf("refused with %v", got.Error)
		}
		h.announce(h.owner, 2, 1)
		time.Sleep(time.Second)
		h.expect(h.awaitJob(structs.JobID("a", "three"), 0), structs.JobRunning, verdict.MayHaveRun)
	})
}

// Guards against a waiting job without a wait reason because the scheduler
// considered an equal job ahead of it in its place.
func TestEqualJobsShareTheirReason(t *testing.T) {
	withHarness(t, func(h *harness) {
		for i := range 4 {
			h.submit(jobSpec("pair", fmt.Sprint(i)))
		}
		time.Sleep(time.Second)
		view, err := h.owner.View(&structs.ViewArgs{})
		if err != nil || len(view.Queue) != 3 {
			t.Fatalf("queue %+v, error %v", view.Queue, err)
		}
		for _, q := range view.Queue {
			if q.Reason == "" {
				t.Errorf("job %s waits without a reason", q.ID)
			}
		}
	})
}

// Guards against a job that stays running forever, or loses its result, because
// the previous owner wrote the result after the next owner had read the rows, and
// the agent has forgotten the gang.
func TestRowWrittenAfterTakeover(t *testing.T) {
	for _, kind := range []string{"order", "test"} {
		t.Run(kind, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				job := h.submit(jobSpec(kind, "k"))
				time.Sleep(time.Second)
				old := h.owner
				g := h.agents.gang(job.ID, 1)
				h.announcedGangs = []structs.GangReport{{Gang: g, Phase: structs.PhaseReleased}}
				row := h.jobRow(job.ID)
				h.owner = h.newOwner(2)
				h.expect(h.awaitJob(job.ID, 0), structs.JobRunning, verdict.MayHaveRun)
				row.State, row.Verdict, row.Result = structs.JobFinished, verdict.Ran, structs.NewResult(1, []byte("answer"))
				put := platformclient.Put{Key: structs.JobRowKey(job.ID), Value: encodeRow(&row)}
				if _, err := h.table.Commit(context.Background(), platformclient.Txn{Puts: []platformclient.Put{put}}); err != nil {
					t.Fatal(err)
				}
				h.agents.handle("Status", func(_, reply any) error {
					*reply.(*structs.GangReply) = structs.GangReply{Phase: structs.PhaseFinished, Incarnation: 1}
					return nil
				})
				time.Sleep(30 * time.Second)
				got := h.awaitJob(job.ID, 0)
				h.expect(got, structs.JobFinished, verdict.Ran)
				if string(got.Result.Data) != "answer" || h.jobRow(job.ID).State != structs.JobFinished {
					t.Fatalf("result %+v", got.Result)
				}
				old.Stop()
			})
		})
	}
}

// Guards against a guarantee that cannot be reclaimed after a takeover because
// the new owner does not know the jobs of the borrowing gangs.
func TestReclaimFromUnknownJob(t *testing.T) {
	withHarness(t, func(h *harness) {
		s := jobSpec("pair", "borrow")
		s.Account = "b"
		job := h.submit(s)
		time.Sleep(100 * time.Millisecond) // before its row is written
		old := h.owner
		h.announcedGangs = []structs.GangReport{{Gang: h.agents.gang(job.ID, 1), Phase: structs.PhaseReleased}}
		if err := h.store.SetFaults(platformstub.Faults{TableDown: true}); err != nil {
			t.Fatal(err)
		}
		old.Stop()
		old.Wait()
		if err := h.store.SetFaults(platformstub.Faults{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second) // the platform client's circuit breaker closes
		h.owner = h.newOwner(2)
		claim := jobSpec("test", "claim")
		claim.Shape = &structs.Shape{Workers: 1, Accelerators: 8, Adjacency: structs.AdjacentWorker}
		claimed := h.submit(claim)
		time.Sleep(9700 * time.Millisecond)
		if got := h.awaitJob(claimed.ID, 0); got.State != structs.JobRunning {
			t.Fatalf("claim is %s after 9.7 s", got.State)
		}
	})
}
