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

// takeover replaces the owner by the next one, of which no agent knows yet.
func (h *harness) takeover() {
	h.t.Helper()
	h.owner.Stop()
	h.owner.Wait()
	h.owner = h.startOwner(h.owner.cfg.Epoch+1, Timing{})
}

// join announces an agent and sends its heartbeats until the owner stops.
func (h *harness) join(i int, incarnation int64, gangs ...structs.GangReport) {
	h.t.Helper()
	o := h.owner
	h.announce(o, i, incarnation, gangs...)
	h.beats.Go(func() {
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

// plain is an idempotent job that is neither urgent nor inside a guarantee.
func plain(key string) structs.JobSpec {
	s := spec("pair", key)
	s.Account, s.Shape = "b", &structs.Shape{Workers: 1, Accelerators: 1}
	return s
}

// index returns the number of the agent of rank 0.
func index(g structs.Gang) int {
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
	h.expect(h.await(job.ID, 0), structs.JobRunning, verdict.MayHaveRun)
	if row := h.row(job.ID); row.GangID == "" {
		h.t.Fatalf("the row names no gang: %+v", row)
	}
	return job, h.agents.gang(job.ID, 1)
}

// startWithoutRow is start for an owner that is lost before it writes the row,
// and submits the job again to the next one.
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
	time.Sleep(2 * time.Second) // the platform's circuit closes
	if _, err := h.table.Get(context.Background(), structs.RowKey(job.ID)); !verdict.HasCode(err, verdict.CodeNotFound) {
		h.t.Fatalf("the row was written: %v", err)
	}
	return job, h.agents.gang(job.ID, 1)
}

func (h *harness) commits(want int) {
	h.t.Helper()
	if n := h.agents.count("Commit"); n != want {
		h.t.Fatalf("%d commits, want %d", n, want)
	}
}

// Guards against a crash of the new owner, and against a running gang that is
// reported as lost, when a member other than rank 0 announces itself first.
func TestMemberAnnouncesBeforeRank0(t *testing.T) {
	for _, tc := range []struct {
		name string
		// late says that recovery has ended before.
		late bool
	}{{"within recovery", false}, {"after recovery", true}} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", tc.name, idempotent), func(t *testing.T) {
				m := testManifest()
				m.Accounts[0].Guarantee = nil // a gang that cannot be reclaimed takes both workers
				runWith(t, m, func(h *harness) {
					h.agents.handle("Status", unavailable)
					h.agents.handle("Abort", unavailable)
					s := spec("pair", "k")
					s.Account, s.Idempotent = "b", &idempotent
					job, g := h.start(s)
					h.takeover()
					if tc.late {
						time.Sleep(3 * time.Second)
					}
					report := structs.GangReport{Gang: g, Rank: 1, Phase: structs.PhaseReleased, RunningFor: time.Minute}
					h.join(1-index(g), 1, report)
					time.Sleep(4 * time.Second)
					report.Rank = 0
					h.join(index(g), 1, report)
					time.Sleep(20 * time.Second)
					h.expect(h.await(job.ID, 0), structs.JobRunning, verdict.MayHaveRun)
					h.commits(1)
				})
			})
		}
	}
}

// Guards against a list of agents that shrinks while a new owner recovers: the
// next one would not wait for the others.
func TestMembersRowKeepsAwaitedAgents(t *testing.T) {
	run(t, func(h *harness) {
		h.takeover()
		h.join(0, 1)
		time.Sleep(3 * time.Second)
		row, err := h.table.Get(context.Background(), memberKey(testDomain))
		if err != nil || len(decodeMembers(row.Value)) != 2 {
			t.Fatalf("members %s, error %v", row.Value, err)
		}
		time.Sleep(10 * time.Second)
		row, err = h.table.Get(context.Background(), memberKey(testDomain))
		if err != nil || len(decodeMembers(row.Value)) != 1 {
			t.Fatalf("members %s, error %v, after the loss of one", row.Value, err)
		}
	})
}

// Guards against a takeover that waits for agents that have drained and left,
// and against one that does not wait for an agent that was cut off.
func TestMembersRowLeavesOutDrainedAgents(t *testing.T) {
	run(t, func(h *harness) {
		h.takeover()
		h.join(0, 1)
		h.announce(h.owner, 1, 1)
		h.owner.mu.Lock()
		h.owner.setDraining("w1")
		h.owner.mu.Unlock()
		h.announce(h.owner, 2, 1)
		members := func() map[string]string {
			row, err := h.table.Get(context.Background(), memberKey(testDomain))
			if err != nil {
				t.Fatal(err)
			}
			return decodeMembers(row.Value)
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

// Guards against agents that are not told of a new owner and announce themselves
// after its recovery, and against calls to all of them at once.
func TestNewOwnerCallsAgents(t *testing.T) {
	const agents = 40
	run(t, func(h *harness) {
		for i := range agents {
			h.announce(h.owner, i, 1)
		}
		time.Sleep(time.Second)
		var now, most, reached atomic.Int32
		h.agents.handle("OwnerChanged", func(args, _ any) error {
			owner := args.(*structs.OwnerChangedArgs).Owner
			if want := (structs.Owner{Domain: testDomain, EntryID: "e", Addr: "owner", Epoch: 2}); owner != want {
				t.Errorf("called with %+v", owner)
			}
			most.Store(max(most.Load(), now.Add(1)))
			time.Sleep(100 * time.Millisecond)
			now.Add(-1)
			reached.Add(1)
			return nil
		})
		h.takeover()
		time.Sleep(time.Second)
		if reached.Load() != agents || most.Load() != callsAtOnce {
			t.Fatalf("%d agents called, %d at a time", reached.Load(), most.Load())
		}
	})
}

// Guards against a new owner that does not wait for the agents in a row that an
// earlier version wrote, or drops them from the row.
func TestMembersRowWithoutAddresses(t *testing.T) {
	run(t, func(h *harness) {
		put := platformclient.Put{Key: memberKey(testDomain), Value: []byte(`{"agents":["w0","w1"]}`)}
		if _, err := h.table.Commit(context.Background(), platformclient.Txn{Puts: []platformclient.Put{put}}); err != nil {
			t.Fatal(err)
		}
		h.takeover()
		time.Sleep(500 * time.Millisecond)
		h.join(0, 1)
		time.Sleep(500 * time.Millisecond)
		view, err := h.owner.View(&structs.ViewArgs{})
		if err != nil || !view.Recovering {
			t.Fatalf("recovering %v, error %v, before all agents announced themselves", view.Recovering, err)
		}
		if n := h.agents.count("OwnerChanged"); n != 0 {
			t.Fatalf("%d calls without an address", n)
		}
		row, err := h.table.Get(context.Background(), memberKey(testDomain))
		if got := decodeMembers(row.Value); err != nil || len(got) != 2 || got["w0"] != "agent0" || got["w1"] != "" {
			t.Fatalf("members %s, error %v", row.Value, err)
		}
	})
}

// beat sends a heartbeat of the first agent and returns the health record in
// the reply.
func (h *harness) beat(version uint32) *structs.WorkerHealth {
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

// Guards against a worker that is in use again after a takeover although the
// last owner had quarantined it, one that is not probed any more, a record that
// is not repeated when its answer is lost, and one that is sent without need.
func TestQuarantineOutlivesItsOwner(t *testing.T) {
	run(t, func(h *harness) {
		if r := h.beat(0); r != nil {
			t.Fatalf("record %+v of a worker without a failure", r)
		}
		for _, kind := range []string{"order", "saved-order"} {
			h.owner.mu.Lock()
			h.owner.health.Failure(h.owner.now(), "w0", kind, "a."+kind, false)
			h.owner.mu.Unlock()
		}
		record := h.beat(0)
		if again := h.beat(0); record == nil || again == nil {
			t.Fatalf("record %+v, after a lost answer %+v", record, again)
		}
		if r := h.beat(record.Version); r != nil {
			t.Fatalf("record %+v for an agent that has it", r)
		}
		h.owner.Stop()
		h.owner.Wait()
		time.Sleep(3 * time.Second)
		h.owner = h.startOwner(2, Timing{Lost: time.Hour, Suspect: time.Hour})
		announce := &structs.AnnounceArgs{Health: record.Aged(3 * time.Second), Info: structs.AgentInfo{
			ID: "w0", Addr: "agent0", Incarnation: 1, Domain: testDomain, Zone: "z", Rack: "r", Class: "new",
			WorkerCapacity: testManifest().Hardware[0].WorkerCapacity,
		}}
		for range 2 { // the answer to the first one is lost
			if reply, err := h.owner.Announce(announce); err != nil || reply.Health != nil {
				t.Fatalf("announcement: %+v, error %v", reply, err)
			}
		}
		if w := h.worker("w0"); w.State != structs.WorkerQuarantined || w.Failures != 2 {
			t.Fatalf("worker is %s with %d failures after the takeover", w.State, w.Failures)
		}
		h.announce(h.owner, 1, 1)
		time.Sleep(3 * time.Second)
		other := plain("other") // takes the other worker
		other.Shape.Accelerators = 8
		h.submit(other)
		time.Sleep(time.Second)
		job := h.submit(plain("k"))
		time.Sleep(time.Second)
		h.expect(h.await(job.ID, 0), structs.JobWaiting, verdict.MayHaveRun)
		time.Sleep(3 * time.Second) // the probe is due
		h.expect(h.await(job.ID, 0), structs.JobRunning, verdict.MayHaveRun)
		h.finished(h.owner, job.ID, 1, "answer")
		if w := h.worker("w0"); w.State != structs.WorkerReady {
			t.Fatalf("worker is %s after a passed probe", w.State)
		}
		if r := h.beat(0); r == nil || r.Quarantined || r.Epoch != 2 {
			t.Fatalf("record %+v after a passed probe", r)
		}
	})
}

// Guards against questions that are refused at once while the owner recovers:
// with many open jobs the retries of their entries exceed the retry budget.
func TestQuestionWaitsForRecovery(t *testing.T) {
	run(t, func(h *harness) {
		h.takeover()
		began := time.Now()
		if _, err := h.owner.Job(context.Background(), "a.unknown", 0, false); !verdict.HasCode(err, verdict.CodeUnavailable) {
			t.Errorf("question that does not wait: %v", err)
		}
		_, err := h.owner.Job(context.Background(), "a.unknown", 5*time.Second, false)
		if took := time.Since(began); !verdict.HasCode(err, verdict.CodeNotFound) || took != defaultRecoveryWait {
			t.Errorf("%v after %v", err, took)
		}
	})
}
