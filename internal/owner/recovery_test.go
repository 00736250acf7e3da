package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// takeover stops the owner and starts the next one, which no agent knows yet.
func (h *harness) takeover() {
	h.t.Helper()
	h.owner.Stop()
	h.owner.Wait()
	h.owner = h.startOwner(h.owner.cfg.Epoch+1, Timing{})
}

// joinAgent announces an agent and sends its heartbeats until the owner stops.
func (h *harness) joinAgent(i int, incarnation int64, gangs ...structs.GangReport) {
	h.t.Helper()
	o := h.owner
	h.announce(o, i, incarnation, gangs...)
	h.heartbeats.Go(func() {
		for o.ctx.Err() == nil {
			_, err := o.Heartbeat(&structs.HeartbeatArgs{AgentID: fmt.Sprintf("w%d", i), Incarnation: incarnation, Epoch: o.cfg.Epoch})
			if err != nil {
				return
			}
			select {
			case <-time.After(time.Second):
			case <-o.ctx.Done():
			}
		}
	})
}

// plainSpec returns a spec of an idempotent job that is neither urgent nor within
// a guarantee.
func plainSpec(key string) structs.JobSpec {
	s := jobSpec("pair", key)
	s.Account, s.Shape = "b", &structs.Shape{Workers: 1, Accelerators: 1}
	return s
}

// rank0Index returns the index of the agent of rank 0.
func rank0Index(g structs.Gang) int {
	if g.Members[0].AgentID == "w0" {
		return 0
	}
	return 1
}

// start submits a job, and waits until its gang runs and its row is written.
func (h *harness) start(s structs.JobSpec) (structs.Job, structs.Gang) {
	h.t.Helper()
	job := h.submit(s)
	time.Sleep(time.Second)
	h.expect(h.awaitJob(job.ID, 0), structs.JobRunning, verdict.MayHaveRun)
	if row := h.jobRow(job.ID); row.GangID == "" {
		h.t.Fatalf("the row names no gang: %+v", row)
	}
	return job, h.agents.gang(job.ID, 1)
}

// startWithoutRow submits a job and waits until its gang runs. The owner stops
// before it writes the row, so the job has to be submitted again to the next
// owner.
func (h *harness) startWithoutRow(s structs.JobSpec) (structs.Job, structs.Gang) {
	h.t.Helper()
	job := h.submit(s)
	time.Sleep(100 * time.Millisecond)
	for _, down := range []bool{true, false} {
		if err := h.store.SetFaults(platformstub.Faults{TableDown: down}); err != nil {
			h.t.Fatal(err)
		}
		h.owner.Stop()
		h.owner.Wait()
	}
	time.Sleep(2 * time.Second) // the platform client's circuit breaker closes
	if _, err := h.table.Get(context.Background(), structs.JobRowKey(job.ID)); !verdict.HasCode(err, verdict.CodeNotFound) {
		h.t.Fatalf("the row was written: %v", err)
	}
	return job, h.agents.gang(job.ID, 1)
}

func (h *harness) expectCommits(want int) {
	h.t.Helper()
	if n := h.agents.count("Commit"); n != want {
		h.t.Fatalf("%d commits, want %d", n, want)
	}
}

// Guards against a panic of the new owner, and against declaring a running gang
// lost, when a member other than rank 0 announces itself first.
func TestMemberAnnouncesBeforeRank0(t *testing.T) {
	for _, tc := range []struct {
		name string
		// late is true if the member announces itself after recovery.
		late bool
	}{{"within recovery", false}, {"after recovery", true}} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", tc.name, idempotent), func(t *testing.T) {
				m := testManifest()
				m.Accounts[0].Guarantee = nil // so that a non-reclaimable gang can take both workers
				withManifest(t, m, func(h *harness) {
					h.agents.handle("Status", unavailable)
					h.agents.handle("Abort", unavailable)
					s := jobSpec("pair", "k")
					s.Account, s.Idempotent = "b", &idempotent
					job, g := h.start(s)
					h.takeover()
					if tc.late {
						time.Sleep(3 * time.Second)
					}
					report := structs.GangReport{Gang: g, Rank: 1, Phase: structs.PhaseReleased, RunningFor: time.Minute}
					h.joinAgent(1-rank0Index(g), 1, report)
					time.Sleep(4 * time.Second)
					report.Rank = 0
					h.joinAgent(rank0Index(g), 1, report)
					time.Sleep(20 * time.Second)
					h.expect(h.awaitJob(job.ID, 0), structs.JobRunning, verdict.MayHaveRun)
					h.expectCommits(1)
				})
			})
		}
	}
}

// Guards against a list of agents that shrinks while a new owner recovers: the
// owner after it would not wait for the missing agents.
func TestMembersRowKeepsAwaitedAgents(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.takeover()
		h.joinAgent(0, 1)
		time.Sleep(3 * time.Second)
		row, err := h.table.Get(context.Background(), membersRowKey(testDomain))
		if err != nil || len(decodeMembersRow(row.Value)) != 2 {
			t.Fatalf("members %s, error %v", row.Value, err)
		}
		time.Sleep(10 * time.Second)
		row, err = h.table.Get(context.Background(), membersRowKey(testDomain))
		if err != nil || len(decodeMembersRow(row.Value)) != 1 {
			t.Fatalf("members %s, error %v, after the loss of one", row.Value, err)
		}
	})
}

// Guards against a takeover that waits for agents that have drained and left, and
// against one that does not wait for an agent that was cut off.
func TestMembersRowLeavesOutDrainedAgents(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.takeover()
		h.joinAgent(0, 1)
		h.announce(h.owner, 1, 1)
		h.owner.mu.Lock()
		h.owner.setDraining("w1")
		h.owner.mu.Unlock()
		h.announce(h.owner, 2, 1)
		members := func() map[string]string {
			row, err := h.table.Get(context.Background(), membersRowKey(testDomain))
			if err != nil {
				t.Fatal(err)
			}
			return decodeMembersRow(row.Value)
		}
		time.Sleep(9 * time.Second)
		if m := members(); len(m) != 3 {
			t.Fatalf("members %v before the loss", m)
		}
		time.Sleep(3 * time.Second)
		if m := members(); len(m) != 2 || m["w0"] == "" || m["w2"] == "" {
			t.Fatalf("members %v after the loss", m)
		}
	})
}

// Guards against agents that are not notified of a new owner and announce
// themselves only after its recovery, and against notifying all of them at once.
func TestNewOwnerNotifiesAgents(t *testing.T) {
	const agents = 40
	withHarness(t, func(h *harness) {
		for i := range agents {
			h.announce(h.owner, i, 1)
		}
		time.Sleep(time.Second)
		var active, maxActive, notified atomic.Int32
		h.agents.handle("OwnerChanged", func(args, _ any) error {
			owner := args.(*structs.OwnerChangedArgs).Owner
			if want := (structs.Owner{Domain: testDomain, EntryID: "e", Addr: "owner", Epoch: 2}); owner != want {
				t.Errorf("notified of owner %+v", owner)
			}
			maxActive.Store(max(maxActive.Load(), active.Add(1)))
			time.Sleep(100 * time.Millisecond)
			active.Add(-1)
			notified.Add(1)
			return nil
		})
		h.takeover()
		time.Sleep(time.Second)
		if notified.Load() != agents || maxActive.Load() != maxConcurrentNotifications {
			t.Fatalf("%d agents called, %d at a time", notified.Load(), maxActive.Load())
		}
	})
}

// Guards against a new owner that does not wait for the agents in a row that an
// earlier version wrote, or drops them from the row.
func TestMembersRowWithoutAddresses(t *testing.T) {
	withHarness(t, func(h *harness) {
		put := platformclient.Put{Key: membersRowKey(testDomain), Value: []byte(`{"agents":["w0","w1"]}`)}
		if _, err := h.table.Commit(context.Background(), platformclient.Txn{Puts: []platformclient.Put{put}}); err != nil {
			t.Fatal(err)
		}
		h.takeover()
		time.Sleep(500 * time.Millisecond)
		h.joinAgent(0, 1)
		time.Sleep(500 * time.Millisecond)
		view, err := h.owner.View(&structs.ViewArgs{})
		if err != nil || !view.Recovering {
			t.Fatalf("recovering %v, error %v, before all agents announced themselves", view.Recovering, err)
		}
		if n := h.agents.count("OwnerChanged"); n != 0 {
			t.Fatalf("%d calls without an address", n)
		}
		row, err := h.table.Get(context.Background(), membersRowKey(testDomain))
		if got := decodeMembersRow(row.Value); err != nil || len(got) != 2 || got["w0"] != "agent0" || got["w1"] != "" {
			t.Fatalf("members %s, error %v", row.Value, err)
		}
	})
}

// heartbeat sends a heartbeat of the first agent and returns the health record in
// the reply.
func (h *harness) heartbeat(version uint32) *structs.WorkerHealth {
	h.t.Helper()
	reply, err := h.owner.Heartbeat(&structs.HeartbeatArgs{AgentID: "w0", Incarnation: 1, Epoch: h.owner.cfg.Epoch, HealthVersion: version})
	if err != nil || reply.Announce {
		h.t.Fatalf("heartbeat: %+v, error %v", reply, err)
	}
	return reply.Health
}

func (h *harness) worker(id string) structs.WorkerView {
	h.t.Helper()
	view, err := h.owner.View(&structs.ViewArgs{})
	if err != nil {
		h.t.Fatal(err)
	}
	for _, w := range view.Workers {
		if w.ID == id {
			return w
		}
	}
	h.t.Fatalf("worker %s is not known", id)
	return structs.WorkerView{}
}

// Guards against a takeover that loses the quarantine of a worker or its pending
// probe, against a health record that is not sent again when a reply was lost,
// and against one that is sent without need.
func TestQuarantineSurvivesTakeover(t *testing.T) {
	withHarness(t, func(h *harness) {
		if r := h.heartbeat(0); r != nil {
			t.Fatalf("record %+v of a worker without a failure", r)
		}
		for _, kind := range []string{"order", "saved-order"} {
			h.owner.mu.Lock()
			h.owner.health.Failure(h.owner.now(), "w0", kind, "a."+kind, false)
			h.owner.mu.Unlock()
		}
		record := h.heartbeat(0)
		if again := h.heartbeat(0); record == nil || again == nil {
			t.Fatalf("record %+v, after a lost reply %+v", record, again)
		}
		if r := h.heartbeat(record.Version); r != nil {
			t.Fatalf("record %+v for an agent that has it", r)
		}
		h.owner.Stop()
		h.owner.Wait()
		time.Sleep(3 * time.Second)
		h.owner = h.startOwner(2, Timing{LostAfter: time.Hour, SuspectAfter: time.Hour})
		announce := &structs.AnnounceArgs{Health: record.Aged(3 * time.Second), Info: structs.AgentInfo{
			ID: "w0", Addr: "agent0", Incarnation: 1, Domain: testDomain, Zone: "z", Rack: "r", Class: "new",
			WorkerCapacity: testManifest().Hardware[0].WorkerCapacity,
		}}
		for range 2 { // the reply to the first one is lost
			if reply, err := h.owner.Announce(announce); err != nil || reply.Health != nil {
				t.Fatalf("announcement: %+v, error %v", reply, err)
			}
		}
		if w := h.worker("w0"); w.State != structs.WorkerQuarantined || w.Failures != 2 {
			t.Fatalf("worker is %s with %d failures after the takeover", w.State, w.Failures)
		}
		h.announce(h.owner, 1, 1)
		time.Sleep(3 * time.Second)
		other := plainSpec("other") // takes the other worker
		other.Shape.Accelerators = 8
		h.submit(other)
		time.Sleep(time.Second)
		job := h.submit(plainSpec("k"))
		time.Sleep(time.Second)
		h.expect(h.awaitJob(job.ID, 0), structs.JobWaiting, verdict.MayHaveRun)
		time.Sleep(3 * time.Second) // the probe is due
		h.expect(h.awaitJob(job.ID, 0), structs.JobRunning, verdict.MayHaveRun)
		h.reportFinished(h.owner, job.ID, 1, "answer")
		if w := h.worker("w0"); w.State != structs.WorkerReady {
			t.Fatalf("worker is %s after a passed probe", w.State)
		}
		if r := h.heartbeat(0); r == nil || r.Quarantined || r.Epoch != 2 {
			t.Fatalf("record %+v after a passed probe", r)
		}
	})
}

// Guards against job queries that are refused immediately while the owner
// recovers: with many open jobs, the retries of their entries exceed the retry
// budget.
func TestJobQueryWaitsForRecovery(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.takeover()
		began := time.Now()
		if _, err := h.owner.Job(context.Background(), "a.unknown", 0, false); !verdict.HasCode(err, verdict.CodeUnavailable) {
			t.Errorf("query that does not wait: %v", err)
		}
		_, err := h.owner.Job(context.Background(), "a.unknown", 5*time.Second, false)
		if took := time.Since(began); !verdict.HasCode(err, verdict.CodeNotFound) || took != defaultRecoveryWait {
			t.Errorf("%v after %v", err, took)
		}
	})
}
