package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerclient"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// faultyWorker is a worker whose calls fail, or whose replies are lost.
type faultyWorker struct {
	*workerstub.Worker
	// fault returns the error of a call. It is called after Run took effect, and
	// before the other calls, which then have no effect.
	fault func(ctx context.Context, method string) error
}

func (w *faultyWorker) Run(ctx context.Context, r *workerclient.RunRequest) error {
	if err := w.Worker.Run(ctx, r); err != nil {
		return err
	}
	return w.fault(ctx, "run")
}

func (w *faultyWorker) Renew(ctx context.Context, r *workerclient.RenewRequest) (*workerclient.RenewReply, error) {
	if err := w.fault(ctx, "renew"); err != nil {
		return nil, err
	}
	return w.Worker.Renew(ctx, r)
}

func (w *faultyWorker) Checkpoint(ctx context.Context, r workerclient.TaskRequest) ([]byte, error) {
	if err := w.fault(ctx, "checkpoint"); err != nil {
		return nil, err
	}
	return w.Worker.Checkpoint(ctx, r)
}

func (w *faultyWorker) Usage(ctx context.Context) (structs.Usage, error) {
	if err := w.fault(ctx, "usage"); err != nil {
		return structs.Usage{}, err
	}
	return w.Worker.Usage(ctx)
}

func (w *faultyWorker) Stop(ctx context.Context, r workerclient.TaskRequest) (workerclient.TaskStatus, error) {
	if err := w.fault(ctx, "stop"); err != nil {
		return workerclient.TaskStatus{}, err
	}
	return w.Worker.Stop(ctx, r)
}

var errCallLost = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "call lost")

// Guards against a task that is started twice, or runs without the agent's
// knowledge, when the worker's reply is lost; and against accelerators that are
// freed before the worker has confirmed the stop.
func TestLostWorkerRepliesDoNotRepeatTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost atomic.Int64
		var failing atomic.Bool
		c := newCluster(t, 1, func(i int, cfg *Config) {
			cfg.Worker = &faultyWorker{cfg.Worker.(*workerstub.Worker), func(_ context.Context, method string) error {
				if method == "run" && lost.Add(1) == 1 || failing.Load() {
					return errCallLost
				}
				return nil
			}}
		})
		g := c.gang(`{"run_ms":1000}`, 0)
		c.startGang(g)
		if out := c.awaitOutcome(g); out.Phase != structs.PhaseFinished || c.taskStarts(0, g) != 1 {
			t.Errorf("outcome %s after %d starts", out.Phase, c.taskStarts(0, g))
		}
		failing.Store(true)
		long := c.gang(`{"run_ms":60000}`, 0)
		c.startGang(long)
		// The start fails and every Stop is lost; the owner must still get an outcome.
		if out := c.awaitOutcome(long); out.Phase != structs.PhaseFailed || !out.WorkerFault || out.Stopped {
			t.Errorf("outcome %+v", out)
		}
		next := c.gang("", 0)
		if err := c.prepare(next); !verdict.HasCode(err, verdict.CodeConflict) {
			t.Errorf("Prepare while the stop is not confirmed: %v", err)
		}
		failing.Store(false)
		c.checkIdle()
		if n := len(c.workers[0].History()); n != 4 {
			t.Errorf("%d events at the worker", n)
		}
	})
}

// Guards against gangs that are accepted for a worker that does not answer.
func TestUnresponsiveWorkerRefusesPrepare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var unresponsive atomic.Bool
		c := newCluster(t, 1, func(i int, cfg *Config) {
			cfg.Worker = &faultyWorker{cfg.Worker.(*workerstub.Worker), func(ctx context.Context, method string) error {
				if unresponsive.Load() {
					<-ctx.Done()
					return errCallLost
				}
				return nil
			}}
		})
		unresponsive.Store(true)
		time.Sleep(8 * time.Second)
		if err := c.prepare(c.gang("", 0)); !verdict.HasCode(err, verdict.CodeQuarantined) {
			t.Errorf("Prepare with an unresponsive worker: %v", err)
		}
		unresponsive.Store(false)
		time.Sleep(3 * time.Second)
		if err := c.prepare(c.gang("", 0)); err != nil {
			t.Errorf("Prepare after the worker answers again: %v", err)
		}
	})
}

// Guards against task failures that are reported as worker faults, and against a
// gang of which some ranks run on after one has failed.
func TestTaskFailureEndsGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		c.workers[2].SetMode(workerstub.Mode{FailAll: true})
		for _, tc := range []struct {
			payload string
			agents  []int
			failed  string
		}{
			{`{"run_ms":300}`, []int{0, 1, 2}, "a2"},
			{`{"run_ms":300}`, []int{2}, "a2"},
			{`{"run_ms":300,"exit_rank":1}`, []int{0, 1}, "a1"},
		} {
			g := c.gang(tc.payload, tc.agents...)
			c.startGang(g)
			out := c.awaitOutcome(g)
			if out.Phase != structs.PhaseFailed || out.WorkerFault || out.FailedWorker != tc.failed || out.Result != nil {
				t.Errorf("outcome %+v", out)
			}
			c.checkIdle()
		}
	})
}

// Guards against unbounded result memory, and against results that are dropped
// before they are durable.
func TestResultMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, func(_ int, cfg *Config) { cfg.ResultMemory = 10 << 10 })
		c.owner.update(func(o *fakeOwner) { o.durable = false })
		g := c.gang(`{"run_ms":10,"result_bytes":5000}`, 0)
		g.ResultBytes = 5000
		c.startGang(g)
		c.awaitOutcome(g)
		c.eventually("gang left the ledger", func() bool { return c.agents[0].ledger.anyGang() == nil })
		next := c.gang(`{"run_ms":10,"result_bytes":5000}`, 0)
		next.ResultBytes = 5000
		if err := c.prepare(next); !verdict.HasCode(err, verdict.CodeOverloaded) {
			t.Errorf("Prepare with full memory: %v", err)
		}
		time.Sleep(2 * time.Minute)
		if _, reports := c.owner.received(); len(reports) < 4 || len(reports) > 15 {
			t.Errorf("%d reports in two minutes", len(reports))
		}
		if _, err := c.callGang(g, 0, "AckResult"); err != nil {
			t.Fatal(err)
		}
		if err := c.prepare(next); err != nil {
			t.Errorf("Prepare after AckResult: %v", err)
		}
		c.owner.update(func(o *fakeOwner) { o.durable = true })
		c.checkIdle()
	})
}

// Guards against a result that is lost, or a gang that is ended, because the owner
// is gone; and against a new owner that is not told of gangs and results.
func TestGangsAndResultsSurviveOwnerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		short, long := c.gang(`{"run_ms":2000}`, 0, 1), c.gang(`{"run_ms":60000}`, 0, 1)
		for i := range long.Members {
			long.Members[i].Accelerators = 6
		}
		c.startGang(short)
		c.startGang(long)
		c.net.setDown(ownerAddr, true)
		time.Sleep(10 * time.Second)
		c.owner.update(func(o *fakeOwner) { o.owner.EntryID, o.owner.Epoch, o.announcements = "e2", 2, nil })
		c.net.setDown(ownerAddr, false)
		start := time.Now()
		if out := c.awaitOutcome(short); out.Phase != structs.PhaseFinished {
			t.Errorf("outcome %s", out.Phase)
		}
		c.eventually("both agents announced", func() bool {
			announcements, _ := c.owner.received()
			return len(announcements) == 2
		})
		if d := time.Since(start); d > 2*time.Second {
			t.Errorf("announced after %v, want at most 2s, which a new owner waits", d)
		}
		announcements, _ := c.owner.received()
		for _, args := range announcements {
			if len(args.Gangs) != 1 || args.Gangs[0].Phase != structs.PhaseReleased || args.HighestFence != long.Fence {
				t.Errorf("announced %+v", args)
			}
			if args.Gangs[0].Rank == 0 && (len(args.Outcomes) != 1 || args.Outcomes[0] != short.ID) {
				t.Errorf("announced outcomes %v", args.Outcomes)
			}
		}
		if phase, err := c.callGang(long, 0, "Stop"); err != nil || phase != structs.PhaseFailed {
			t.Errorf("stop: %s, %v", phase, err)
		}
		c.checkIdle()
		c.checkAllOrNothing(long, verdict.MayHaveRun, "")
	})
}

// Guards against a drain that interrupts running gangs, loses a result, or accepts
// new gangs.
func TestDrainFinishesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		g, late := c.gang(`{"run_ms":20000}`, 0), c.gang("", 0)
		late.Members[0].Accelerators = 2
		c.startGang(g)
		start := time.Now()
		go c.call(agentAddr(0), "Agent.Drain", &DrainArgs{}, &DrainReply{})
		c.eventually("owner told", func() bool {
			c.owner.mu.Lock()
			defer c.owner.mu.Unlock()
			n := len(c.owner.heartbeats)
			return n > 0 && c.owner.heartbeats[n-1].Draining
		})
		if d := time.Since(start); d > 100*time.Millisecond {
			t.Errorf("owner told after %v", d)
		}
		if err := c.prepare(late); !verdict.HasCode(err, verdict.CodeDraining) {
			t.Errorf("Prepare while draining: %v", err)
		}
		c.agents[0].Drain(context.Background())
		if out := c.owner.outcome(g.ID); out == nil || out.Phase != structs.PhaseFinished {
			t.Errorf("outcome %+v", out)
		}
		<-c.runs[0].done
		if err := c.runs[0].err; err != nil {
			t.Errorf("Run returned %v", err)
		}
	})
}

// Guards against a preempted gang that restarts without its checkpoint, a
// checkpoint that lacks a rank, and a reply that reports an unconfirmed stop as
// confirmed.
func TestPreemptedGangResumesFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		g := c.gang(`{"run_ms":10000}`, 0, 1)
		c.startGang(g)
		time.Sleep(6 * time.Second)
		args := &structs.PreemptArgs{GangID: g.ID, Fence: g.Fence, Grace: 3 * time.Second, Checkpoint: true}
		var last structs.PreemptReply
		for range 2 { // the second call is a retry, as after a lost reply
			last = structs.PreemptReply{}
			if err := c.call(agentAddr(0), "Agent.Preempt", args, &last); err != nil {
				t.Fatal(err)
			}
			if last.Phase != structs.PhaseFailed || !last.Stopped {
				t.Errorf("reply %+v", last)
			}
		}
		out := c.awaitOutcome(g)
		if !out.Preempted || !out.Stopped || len(out.Checkpoint) == 0 {
			t.Errorf("outcome %+v", out)
		}
		c.checkIdle()
		c.checkAllOrNothing(g, verdict.MayHaveRun, "")
		rest := c.gang(`{"run_ms":10000}`, 1, 0)
		rest.Checkpoint = out.Checkpoint
		c.startGang(rest)
		start := time.Now()
		if out := c.awaitOutcome(rest); out.Phase != structs.PhaseFinished || time.Since(start) > 4500*time.Millisecond {
			t.Errorf("outcome %s after %v", out.Phase, time.Since(start))
		}
		rest = c.gang("", 0)
		rest.Checkpoint = out.Checkpoint
		if err := c.prepare(rest); !verdict.HasCode(err, verdict.CodeBadRequest) {
			t.Errorf("checkpoint of another size: %v", err)
		}
	})
}

// Guards against a preemption that hangs, or reports a wrong result, when a worker
// does not answer the checkpoint call or a member's agent is unreachable.
func TestPreemptWithoutCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(i int, cfg *Config) {
			if i == 1 {
				cfg.Worker = &faultyWorker{cfg.Worker.(*workerstub.Worker), func(ctx context.Context, method string) error {
					if method == "checkpoint" {
						<-ctx.Done()
						return errCallLost
					}
					return nil
				}}
			}
		})
		for _, tc := range []struct {
			agents  []int
			dead    bool
			stopped bool
		}{{[]int{0, 1}, false, true}, {[]int{0, 2}, true, false}} {
			g := c.gang(`{"run_ms":60000}`, tc.agents...)
			c.startGang(g)
			time.Sleep(time.Second)
			if tc.dead {
				c.kill(2)
			}
			start := time.Now()
			reply := &structs.PreemptReply{}
			args := &structs.PreemptArgs{GangID: g.ID, Fence: g.Fence, Grace: 2 * time.Second, Checkpoint: true}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			err := node{c.net, ownerAddr}.Call(ctx, agentAddr(0), "Agent.Preempt", args, reply)
			cancel()
			if err != nil || reply.Checkpoint != nil || reply.Stopped != tc.stopped || reply.Phase != structs.PhaseFailed {
				t.Errorf("reply %+v, error %v", reply, err)
			}
			if !tc.dead && time.Since(start) > 3*time.Second {
				t.Errorf("forced after %v", time.Since(start))
			}
			c.checkAllOrNothing(g, verdict.MayHaveRun, "")
		}
		c.checkIdle()
	})
}

// Guards against an agent that does not fetch a newer manifest, or does not serve
// it to others.
func TestAgentFetchesNewManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeManifest{}
		c := newCluster(t, 1, func(_ int, cfg *Config) { cfg.Manifest = h })
		c.owner.update(func(o *fakeOwner) { o.manifestVersion = 5 })
		start := time.Now()
		c.eventually("manifest advanced", func() bool { return h.Version() == 5 })
		if d := time.Since(start); d > 2*time.Second {
			t.Errorf("advanced after %v", d)
		}
		reply := &structs.ManifestReply{}
		if err := c.call(agentAddr(0), "Agent.ManifestDelta", &structs.ManifestArgs{Have: 3}, reply); err != nil || reply.Version != 5 || reply.Delta.To != 5 {
			t.Errorf("reply %+v, error %v", reply, err)
		}
	})
}

type fakeManifest struct{ version atomic.Uint64 }

func (h *fakeManifest) Version() uint64 { return h.version.Load() }
func (h *fakeManifest) Advance(d *structs.ManifestDelta) bool {
	h.version.Store(d.To)
	return true
}
func (h *fakeManifest) Delta(have uint64) *structs.ManifestDelta {
	return &structs.ManifestDelta{From: have, To: h.Version()}
}

// Runs gangs over TCP and HTTP. Guards against differences between the fakes of the
// other tests and real connections, and against an undetected worker restart.
func TestGangOverTCP(t *testing.T) {
	owner, addr := startFakeOwner(t)
	c := &cluster{t: t, owner: owner}
	g := c.gang(`{"run_ms":300,"result_bytes":100000}`)
	pool := rpc.NewPool("", "owner", nil)
	t.Cleanup(pool.Close)
	var firstWorker atomic.Pointer[workerstub.Worker]
	for i, id := range []string{"a0", "a1", "a2"} {
		w := workerstub.New(workerstub.Config{Accelerators: 8, CoresMilli: 64000, MemoryMB: 1 << 18, Slots: 8})
		t.Cleanup(w.Close)
		h := w.Handler()
		if i == 0 {
			firstWorker.Store(w)
			h = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { firstWorker.Load().Handler().ServeHTTP(rw, r) })
		}
		hs := httptest.NewServer(h)
		t.Cleanup(hs.Close)
		g.Members = append(g.Members, structs.Member{AgentID: id, Addr: startTCPAgent(t, id, addr, hs.URL), Accelerators: 3})
	}
	call := func(r int, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
		return pool.Call(context.Background(), g.Members[r].Addr, "Agent."+method, args, reply)
	}
	for r := range g.Members {
		c.eventually("prepared", func() bool {
			return call(r, "Prepare", &structs.PrepareArgs{Gang: g, Rank: r}, &structs.GangReply{}) == nil
		})
	}
	if err := call(0, "Commit", &structs.GangArgs{GangID: g.ID, Fence: g.Fence}, &structs.GangReply{}); err != nil {
		t.Fatal(err)
	}
	out := c.awaitOutcome(g)
	if out.Result == nil || !bytes.Equal(out.Result.Data, workerstub.ExpectedResult(g.Payload, g.JobID, 3)) {
		t.Errorf("outcome %+v", out)
	}
	next := workerstub.New(workerstub.Config{Accelerators: 8, CoresMilli: 64000, MemoryMB: 1 << 18, Slots: 8})
	t.Cleanup(next.Close)
	long := c.gang(`{"run_ms":60000}`)
	long.Members = g.Members[:1]
	c.eventually("prepared", func() bool {
		return call(0, "Prepare", &structs.PrepareArgs{Gang: long}, &structs.GangReply{}) == nil
	})
	if err := call(0, "Commit", &structs.GangArgs{GangID: long.ID, Fence: long.Fence}, &structs.GangReply{}); err != nil {
		t.Fatal(err)
	}
	firstWorker.Swap(next).Close()
	if out := c.awaitOutcome(long); out.Phase != structs.PhaseFailed || !out.WorkerFault {
		t.Errorf("outcome %+v", out)
	}
}

// startFakeOwner serves a fakeOwner over TCP until the test ends, and returns it
// and its address.
func startFakeOwner(t *testing.T) (*fakeOwner, string) {
	owner := &fakeOwner{durable: true}
	server := rpc.NewServer()
	for _, name := range []string{"Peer", "Domain"} {
		if err := server.Register(name, owner); err != nil {
			t.Fatal(err)
		}
	}
	addr, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close(context.Background()) })
	owner.owner = structs.Owner{Domain: "d", EntryID: "e1", Addr: addr, Epoch: 1}
	return owner, addr
}

func startTCPAgent(t *testing.T, id, entry, workerURL string) string {
	server, pool := rpc.NewServer(), rpc.NewPool("", id, nil)
	client := workerclient.New(workerURL, "")
	addr, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a, err := New(Config{
		Info: structs.AgentInfo{ID: id, Addr: addr, Domain: "d"}, Entries: []string{entry},
		Server: server, Pool: pool, Worker: client,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-runResult
		server.Close(context.Background())
		pool.Close()
		client.Close()
	})
	rec := httptest.NewRecorder()
	a.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/debug/vars", nil))
	if !json.Valid(rec.Body.Bytes()) {
		t.Error("/debug/vars is not JSON")
	}
	return addr
}
