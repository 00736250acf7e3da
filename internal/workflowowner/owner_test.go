package workflowowner

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/election"
	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

const (
	testTable = "t"
	testLease = 5 * time.Second
	testJob   = "5c0e7a21d94b36f8"
)

// failingCaller fails all RPC calls. It records the workers of which agents are told.
type failingCaller struct {
	mu   sync.Mutex
	told map[string][]workflowrpc.Worker // by address, the last call
}

func (c *failingCaller) Call(_ context.Context, addr, _ string, args rpc.RequestMessage, _ rpc.ReplyMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := args.(*workflowrpc.OwnerArgs); ok {
		if c.told == nil {
			c.told = map[string][]workflowrpc.Worker{}
		}
		c.told[addr] = a.Workers
	}
	return verdict.Refuse(verdict.CodeUnavailable, "no network")
}

func (c *failingCaller) toldWorkers(addr string) []workflowrpc.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told[addr]
}

type testConfig struct {
	gpus   int
	advice *workflow.Advice
}

func (c testConfig) Terms(string) (workflow.Terms, bool) {
	return workflow.Terms{MaxAttempts: 2, Stretch: 3, Advice: c.advice}, true
}
func (c testConfig) GuaranteedGPUs(string) int { return c.gpus }

// harness runs an owner on a simulated table. The test takes the part of the agents.
type harness struct {
	t            *testing.T
	table        *rowstorestub.Table
	owner        *Owner
	authority    bool
	fencedWrites int
	config       testConfig
	advisor      Advisor
	seq          uint64
	caller       *failingCaller
	zones        *testZones // nil in a deployment without requests to evacuate zones
}

// runOwner starts an owner of epoch 2 in virtual time and runs f. prepare writes rows
// before the takeover.
func runOwner(t *testing.T, prepare func(r *harness), f func(r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &harness{t: t, table: rowstorestub.New(), authority: true, caller: &failingCaller{}}
		r.table.Partition = workflow.Partition
		prepare(r)
		version := r.table.Put(testTable, election.FenceKey, []byte("{}"))
		store := r.table.ClientFor("owner")
		mirror := rowstore.NewMirror(store, testTable, eventlog.Discard(), func(changed []rowstore.Row) {
			if r.owner != nil {
				r.owner.Observe(changed)
			}
		})
		began := time.Now()
		var limits evacuation.Limits
		if r.zones != nil {
			limits, r.zones.owner = testEvacuation, func() *Owner { return r.owner }
		}
		r.owner = New(Options{
			Evacuation: limits, EvacuationView: r.zones.view,
			ID: "owner", Addr: "owner", Epoch: 2, Version: version, Store: store, Mirror: mirror, Table: testTable, MaxRowBytes: r.table.MaxValueBytes,
			Config: r.config, Advisor: r.advisor, Caller: r.caller, Log: eventlog.Discard(), Entries: func() ([]string, uint64) { return nil, 0 },
			Authority: func() bool { return r.authority }, OnHigherEpoch: func(uint64) { r.authority = false },
			OnFencedWrite: func(uint64, time.Duration) { r.fencedWrites++ }, Clock: func() time.Duration { return time.Since(began) },
			Decide: workflowscheduler.Decide, UnixMillis: func() int64 { return time.Now().UnixMilli() },
			Times: Times{Lease: testLease, StopGrace: 200 * time.Millisecond, GangWait: 3 * time.Second, Reclaim: 2700 * time.Millisecond, RemotePenalty: 3, JobRetention: time.Minute},
		})
		go mirror.Run(ctx)
		r.owner.Start()
		time.Sleep(50 * time.Millisecond)
		defer func() {
			r.owner.Stop()
			cancel()
			synctest.Wait()
		}()
		f(r)
	})
}

// submit stores the record of a job.
func (r *harness) submit(id string, steps ...workflow.Step) {
	row := r.recordRow(id, steps...)
	r.table.Put(row.Table, row.Key, row.Value)
}

// recordRow returns the row of a job that was accepted after the takeover.
func (r *harness) recordRow(id string, steps ...workflow.Step) rowstore.Row {
	rec := workflow.Record{ID: id, Queue: "q", Account: "a", Spec: workflow.Spec{Steps: steps}, Terms: workflow.Terms{MaxAttempts: 2, Stretch: 3}}
	value, err := json.Marshal(rec)
	if err != nil {
		r.t.Fatal(err)
	}
	return rowstore.Row{Table: testTable, Key: workflow.RecordPrefix + id, Value: value, Version: 1 << 40}
}

// putWorkerRow stores a worker's row.
func (r *harness) putWorkerRow(id, listens string, incarnation int64) {
	value, err := json.Marshal(workerRow{Addr: "agent-" + id, Listens: listens, Incarnation: incarnation, Rack: "r"})
	if err != nil {
		r.t.Fatal(err)
	}
	r.table.Put(testTable, workflow.WorkerPrefix+id, value)
}

// report makes an agent's call for a worker and returns the reply.
func (r *harness) report(id, listens string, incarnation int64, edit func(*workflowrpc.SyncArgs)) *workflowrpc.SyncReply {
	r.seq++
	args := &workflowrpc.SyncArgs{
		Agent: "agent-" + id, Addr: "agent-" + id, Seq: r.seq, Epoch: 2, Fence: 2, Wait: 300 * time.Millisecond,
		Worker: workflowrpc.Worker{ID: id, Incarnation: incarnation, Addr: listens, Rack: "r", Capacity: workflow.Resources{CPUMilli: 64000, MemoryMB: 1 << 18, GPUs: 8}},
	}
	if edit != nil {
		edit(args)
	}
	reply := &workflowrpc.SyncReply{}
	r.owner.Sync(args, reply)
	return reply
}

// awaitStarts reports an idle worker until it is ordered to start something, for up to
// d.
func (r *harness) awaitStarts(id, listens string, incarnation int64, d time.Duration) []workflowrpc.Start {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		if reply := r.report(id, listens, incarnation, nil); len(reply.Start) > 0 {
			return reply.Start
		}
	}
	return nil
}

// newStep returns a step of small tasks that run for 1 s.
func newStep(tasks int) workflow.Step {
	return workflow.Step{Tasks: tasks, Need: workflow.Resources{CPUMilli: 1000, MemoryMB: 100, GPUs: 1}, Estimate: 1000}
}

// progress returns the stored progress of testJob.
func (r *harness) progress() *workflow.Progress { return r.storedProgress(testJob) }

// storedProgress returns the stored progress of a job.
func (r *harness) storedProgress(id string) *workflow.Progress {
	row, ok, err := r.table.ClientFor("test").Get(r.t.Context(), testTable, workflow.ProgressPrefix+id)
	p := &workflow.Progress{}
	if err != nil || ok && json.Unmarshal(row.Value, p) != nil {
		r.t.Fatalf("cannot read the stored progress: %v", err)
	}
	return p
}

// TestEndIsAcknowledgedWhenDurable checks that an end is acknowledged, so that the worker
// may forget it, only once it is stored.
func TestEndIsAcknowledgedWhenDurable(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		got := r.awaitStarts("w", "a", 1, time.Second)
		if len(got) != 1 {
			t.Fatal("the task was not started")
		}
		time.Sleep(time.Second)
		r.table.SetFaults(rowstorestub.Faults{Down: true})
		ended := func(a *workflowrpc.SyncArgs) {
			a.Ends = []workflowrpc.End{{Seq: 1, ID: got[0].ID, Kind: workflow.EndDone}}
		}
		for range 5 {
			if reply := r.report("w", "a", 1, ended); reply.Noted != 0 {
				t.Fatal("the end was acknowledged while the store was unavailable")
			}
		}
		r.table.SetFaults(rowstorestub.Faults{})
		for range 10 {
			r.report("w", "a", 1, ended)
		}
		if reply := r.report("w", "a", 1, ended); reply.Noted != 1 || r.progress().State != workflow.StateCompleted {
			t.Fatalf("acknowledged ends up to %d, stored state %q; want 1 and completed", reply.Noted, r.progress().State)
		}
	})
}

// TestFormerOwnerWritesNothing guards against writes of an owner that was replaced and
// has not noticed it yet.
func TestFormerOwnerWritesNothing(t *testing.T) {
	runOwner(t, func(r *harness) { r.submit(testJob, newStep(1)) }, func(r *harness) {
		got := r.awaitStarts("w", "a", 1, time.Second)
		time.Sleep(time.Second)
		r.table.Put(testTable, election.FenceKey, []byte(`{"epoch":3}`))
		r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) {
			a.Ends = []workflowrpc.End{{Seq: 1, ID: got[0].ID, Kind: workflow.EndDone}}
		})
		time.Sleep(time.Second)
		if r.progress().State != "" || r.authority {
			t.Fatalf("a former owner stored the state %q; it still has authority: %v", r.progress().State, r.authority)
		}
	})
}

// TestCancellationWinsOverUnstoredEnd guards against a job that completes after its
// cancellation was confirmed to the client.
func TestCancellationWinsOverUnstoredEnd(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		got := r.awaitStarts("w", "a", 1, time.Second)
		r.table.Put(testTable, workflow.CancelPrefix+testJob, []byte("{}"))
		r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) {
			a.Ends = []workflowrpc.End{{Seq: 1, ID: got[0].ID, Kind: workflow.EndDone}}
		})
		time.Sleep(time.Second)
		if s := r.progress().State; s != workflow.StateCancelled {
			t.Fatalf("stored state %q, want cancelled", s)
		}
	})
}

// TestUnfencedWorkerReceivesNoStarts guards against orders to a worker that still
// accepts orders of an earlier owner.
func TestUnfencedWorkerReceivesNoStarts(t *testing.T) {
	runOwner(t, func(r *harness) { r.submit(testJob, newStep(1)) }, func(r *harness) {
		for range 10 {
			reply := r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) { a.Fence = 1 })
			if len(reply.Start) > 0 {
				t.Fatalf("starts %v on a worker fenced for an earlier epoch", reply.Start)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestFailedRunsAreBounded guards against counting a failed run twice when it is
// reported again, and against more attempts than the queue's terms allow.
func TestFailedRunsAreBounded(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		var ends []workflowrpc.End
		attempts := 0
		for range 100 { // 5 s; the worker receives no starts for 1 s after a failure
			reply := r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) { a.Ends = ends })
			for _, s := range reply.Start {
				attempts++
				ends = append(ends, workflowrpc.End{Seq: uint64(len(ends) + 1), ID: s.ID, Kind: workflow.EndFailed})
			}
			time.Sleep(50 * time.Millisecond)
		}
		if attempts != 2 || r.progress().State != workflow.StateFailed {
			t.Fatalf("%d attempts, stored state %q, want 2 and failed", attempts, r.progress().State)
		}
	})
}

// TestFailedTaskGoesToAnotherWorker guards against a job that uses up its attempts
// within 0.1 s on one worker that fails everything, although others are healthy
// (wusta-recell scale-2, seed 7932).
func TestFailedTaskGoesToAnotherWorker(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		first := r.awaitStarts("bad", "a", 1, time.Second)
		failed := func(a *workflowrpc.SyncArgs) {
			a.Ends = []workflowrpc.End{{Seq: 1, ID: first[0].ID, Kind: workflow.EndFailed}}
		}
		r.report("good", "b", 1, nil)
		for range 10 {
			if reply := r.report("bad", "a", 1, failed); len(reply.Start) > 0 {
				t.Fatalf("starts %v on the worker where it failed", reply.Start)
			}
			time.Sleep(20 * time.Millisecond)
			r.submit("5c0e7a21d94b36f9", newStep(1)) // other jobs avoid the worker for a while as well
		}
		if got := r.awaitStarts("good", "b", 1, time.Second); len(got) == 0 {
			t.Error("nothing starts on the healthy worker")
		}
	})
}

// TestOldJobsAreRemoved guards against rows of ended jobs that are never removed, and
// against removing a job while clients may still ask for its state.
func TestOldJobsAreRemoved(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		r.table.Put(testTable, workflow.SpareRecordPrefix+testJob, r.recordRow(testJob, newStep(1)).Value)
		got := r.awaitStarts("w", "a", 1, time.Second)
		r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) {
			a.Ends = []workflowrpc.End{{Seq: 1, ID: got[0].ID, Kind: workflow.EndDone}}
		})
		stored := func() bool {
			_, usual, err := r.table.ClientFor("test").Get(r.t.Context(), testTable, workflow.RecordPrefix+testJob)
			_, spare, err2 := r.table.ClientFor("test").Get(r.t.Context(), testTable, workflow.SpareRecordPrefix+testJob)
			if usual != spare {
				t.Error("only one of the two rows is stored")
			}
			return usual && err == nil && err2 == nil
		}
		time.Sleep(time.Minute)
		if !stored() {
			t.Error("the job was removed before its retention time was over")
		}
		time.Sleep(time.Minute)
		if stored() {
			t.Error("the job is still stored a minute after its retention time")
		}
	})
}

// TestStepOrderAndGangStart guards against a step that starts before the step on which
// it depends has completed, and against a gang that does not start as a whole.
func TestStepOrderAndGangStart(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		second := newStep(3)
		second.After, second.Gang = []int{0}, true
		r.submit(testJob, newStep(2), second)
		first := r.awaitStarts("w", "a", 1, time.Second)
		if len(first) != 2 || first[0].ID.Task.Step != 0 || first[1].ID.Task.Step != 0 {
			t.Fatalf("starts %v, want the two tasks of the first step", first)
		}
		end := func(n int) func(*workflowrpc.SyncArgs) {
			return func(a *workflowrpc.SyncArgs) {
				for i := range n {
					a.Ends = append(a.Ends, workflowrpc.End{Seq: uint64(i + 1), ID: first[i].ID, Kind: workflow.EndDone})
				}
				for i := n; i < 2; i++ {
					a.Runs = append(a.Runs, workflowrpc.Run{ID: first[i].ID, State: workflowrpc.RunRunning})
				}
			}
		}
		if reply := r.report("w", "a", 1, end(1)); len(reply.Start) > 0 {
			t.Fatalf("starts %v while the first step runs", reply.Start)
		}
		var gang []workflowrpc.Start
		for range 10 {
			if reply := r.report("w", "a", 1, end(2)); len(reply.Start) > 0 {
				gang = reply.Start
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if len(gang) != 3 {
			t.Fatalf("starts %v, want the gang of 3", gang)
		}
		for _, s := range gang {
			if s.ID.Attempt != gang[0].ID.Attempt {
				t.Fatalf("members have different attempts: %v", gang)
			}
		}
	})
}

// TestUnknownRunsAreStopped guards against runs of unknown or ended jobs that continue
// forever.
func TestUnknownRunsAreStopped(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		unknown := workflow.RunID{Task: workflow.TaskID{Job: "ffffffffffffffff"}, Attempt: 1}
		reply := r.report("w", "a", 1, func(a *workflowrpc.SyncArgs) {
			a.Runs = []workflowrpc.Run{{ID: unknown, State: workflowrpc.RunRunning}}
		})
		if len(reply.Stop) != 1 || reply.Stop[0] != unknown {
			t.Fatalf("stops %v, want the unknown run", reply.Stop)
		}
	})
}

// TestRunsOfSilentAgentMoveAfterTheLease guards against starting the runs of a silent
// agent elsewhere before the worker's leases have expired.
func TestRunsOfSilentAgentMoveAfterTheLease(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.submit(testJob, newStep(1))
		first := r.awaitStarts("w1", "a", 1, time.Second)
		r.report("w1", "a", 1, func(a *workflowrpc.SyncArgs) {
			a.Runs = []workflowrpc.Run{{ID: first[0].ID, State: workflowrpc.RunRunning}}
		})
		silent := time.Now()
		got := r.awaitStarts("w2", "b", 1, 20*time.Second)
		if after := time.Since(silent); len(got) != 1 || after < testLease {
			t.Fatalf("starts %v after %v, want one after %v", got, after, testLease)
		}
		if got[0].ID.Attempt != first[0].ID.Attempt+1 {
			t.Fatalf("attempt %d follows attempt %d, want the next number", got[0].ID.Attempt, first[0].ID.Attempt)
		}
	})
}

// TestRestartedWorkerWaitsForItsRow guards against a second run of a task after two
// changes of owner. A worker that restarts under its ID must receive work only once its
// row names the new incarnation. Otherwise the next owner takes a report of the new
// incarnation as proof that nothing runs there (TestSimulatedDays, seed 10).
func TestRestartedWorkerWaitsForItsRow(t *testing.T) {
	runOwner(t, func(r *harness) {}, func(r *harness) {
		r.report("w", "a", 1, nil)
		time.Sleep(500 * time.Millisecond)
		r.table.SetFaults(rowstorestub.Faults{Down: true})
		r.report("w", "a", 2, nil)
		r.owner.Observe([]rowstore.Row{r.recordRow(testJob, newStep(1))})
		if got := r.awaitStarts("w", "a", 2, 3*time.Second); len(got) > 0 {
			t.Fatalf("starts %v on an incarnation that no row names", got)
		}
		r.table.SetFaults(rowstorestub.Faults{})
		if got := r.awaitStarts("w", "a", 2, 2*time.Second); len(got) != 1 {
			t.Fatalf("starts %v once the store is available, want the job's task", got)
		}
		row, ok, err := r.table.ClientFor("test").Get(t.Context(), testTable, workflow.WorkerPrefix+"w")
		var value workerRow
		if err != nil || !ok || json.Unmarshal(row.Value, &value) != nil || value.Incarnation != 2 {
			t.Fatalf("the worker's row is %s (%v), want that of incarnation 2", row.Value, err)
		}
	})
}
