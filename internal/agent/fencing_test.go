package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// clocks are offsets of the agents' clocks. Advancing one without firing the agent's
// timers has the effect of a paused process.
type clocks [8]atomic.Int64

func (s *clocks) pause(i int, d time.Duration) { s[i].Add(int64(d)) }

func (s *clocks) install(i int, c *Config) {
	c.now = func() time.Time { return time.Now().Add(time.Duration(s[i].Load())) }
}

// Guards against a gang that runs after its abort was acknowledged or its
// reservation expired.
func TestAbortedGangNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		aborted, early, expired := c.gang("", 0), c.gang("", 0), c.gang("", 0)
		if err := c.prepare(aborted); err != nil {
			t.Fatal(err)
		}
		if phase, err := c.callGang(aborted, 0, "Abort"); err != nil || phase != structs.PhaseAborted {
			t.Fatalf("abort: %s, %v", phase, err)
		}
		c.callGang(early, 0, "Abort")
		if err := c.prepare(expired); err != nil {
			t.Fatal(err)
		}
		time.Sleep(DefaultPrepareTTL)
		for _, g := range []structs.Gang{aborted, early, expired} {
			if err := c.prepare(g); !verdict.HasCode(err, verdict.CodeTombstoned) {
				t.Errorf("late Prepare: %v", err)
			}
			if _, err := c.callGang(g, 0, "Commit"); err == nil {
				t.Error("late Commit was accepted")
			}
		}
		if _, err := c.callGang(expired, 0, "Commit"); verdict.Of(err) != verdict.NotRun {
			t.Errorf("Commit of an expired reservation: %v", err)
		}
		time.Sleep(time.Second)
		if n := len(c.workers[0].History()); n > 0 {
			t.Errorf("%d events at the worker", n)
		}
		time.Sleep(DefaultTombstoneRetention)
		l := c.agents[0].ledger
		l.mu.Lock()
		defer l.mu.Unlock()
		if n := len(l.tombstones); n > 0 {
			t.Errorf("%d tombstones after their retention", n)
		}
	})
}

// Guards against gangs that an owner prepares, commits or stops after another owner
// has taken over the domain.
func TestStaleOwnerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		prepared, late := c.gang("", 0), c.gang("", 0)
		late.Members[0].Accelerators = 2
		running := c.gang(`{"run_ms":60000}`, 0)
		running.Members[0].Accelerators = 4
		c.startGang(running)
		if err := c.prepare(prepared); err != nil {
			t.Fatal(err)
		}
		c.owner.update(func(o *fakeOwner) { o.owner.EntryID, o.owner.Epoch = "e2", 2 })
		c.eventually("announced to the new owner", func() bool {
			owner, _ := c.agents[0].ownerTracker.current()
			return owner.Epoch == 2
		})
		if _, err := c.callGang(prepared, 0, "Commit"); !verdict.HasCode(err, verdict.CodeStaleEpoch) || verdict.Of(err) != verdict.NotRun {
			t.Errorf("Commit of the old owner: %v", err)
		}
		if err := c.prepare(late); !verdict.HasCode(err, verdict.CodeStaleEpoch) {
			t.Errorf("Prepare of the old owner: %v", err)
		}
		for _, epoch := range []uint32{1, 2} {
			reply := &structs.GangReply{}
			err := c.call(agentAddr(0), "Agent.Stop", &structs.GangArgs{GangID: running.ID, Fence: running.Fence, Epoch: epoch}, reply)
			if stale := verdict.HasCode(err, verdict.CodeStaleEpoch); stale != (epoch == 1) {
				t.Errorf("Stop of epoch %d: %v", epoch, err)
			}
		}
		time.Sleep(5 * time.Second)
		if n := c.taskStarts(0, prepared) + c.taskStarts(0, late); n > 0 {
			t.Errorf("%d tasks of the old owner started", n)
		}
		// The old owner comes back with its lower epoch: the agent ignores it.
		c.owner.update(func(o *fakeOwner) { o.owner.Epoch, o.announcements = 1, nil })
		time.Sleep(10 * time.Second)
		if announcements, _ := c.owner.received(); len(announcements) > 0 {
			t.Errorf("%d announcements to an owner of a lower epoch", len(announcements))
		}
	})
}

// Guards against a late Prepare with a token older than the last one on the
// accelerator. It must be refused even when the gang has no tombstone.
func TestOlderTokenIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		older, newer := c.gang("", 0), c.gang("", 0)
		c.startGang(newer)
		c.awaitOutcome(newer)
		c.checkIdle()
		if err := c.prepare(older); !verdict.HasCode(err, verdict.CodeStaleEpoch) {
			t.Errorf("older token: %v", err)
		}
	})
}

// Guards against an agent that starts or continues a gang after a pause of its
// process in which the reservation or a lease expired.
func TestPausedAgentRespectsLeases(t *testing.T) {
	const pastTTL, pastLease = DefaultPrepareTTL + DefaultGangLease/6, DefaultGangLease + time.Second
	cases := []struct {
		name   string
		method string // the pause is right before the nth call of this method to addr
		addr   string
		nth    int
		paused int // agent
		pause  time.Duration
		starts bool // a task may have started
	}{
		{"member between Prepare and Arm", "Agent.Arm", agentAddr(1), 1, 1, pastTTL, false},
		{"rank 0 between Prepare and Commit", "Agent.Commit", agentAddr(0), 1, 0, pastTTL, false},
		{"rank 0 while it arms, past the TTL", "Agent.Arm", agentAddr(1), 1, 0, pastTTL, false},
		{"rank 0 while it arms, past the lease", "Agent.Arm", agentAddr(1), 1, 0, pastLease, false},
		{"member between Arm and Release", "Agent.Release", agentAddr(1), 1, 1, pastLease, true},
		{"member while it runs", "Agent.Beat", agentAddr(0), 4, 1, pastLease, true},
		{"rank 0 while it runs", "Agent.Beat", agentAddr(0), 4, 0, pastLease, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var skew clocks
				c := newCluster(t, 2, skew.install)
				var calls atomic.Int64
				c.net.setFault(func(_, addr, method string) (bool, error) {
					if method == tc.method && addr == tc.addr && calls.Add(1) == int64(tc.nth) {
						skew.pause(tc.paused, tc.pause)
					}
					if tc.method == "Agent.Release" && method == "Agent.Beat" {
						// The reply to a Beat could start the task before the pause.
						return false, errCallLost
					}
					return false, nil
				})
				g := c.gang(`{"run_ms":20000}`, 0, 1)
				v := c.commitAsOwner(g, rpc.DefaultTimeout)
				if (v == verdict.NotRun) == tc.starts {
					t.Errorf("verdict %s", v)
				}
				time.Sleep(DefaultGangLease + DefaultTaskLease + time.Second)
				c.checkIdle()
				c.checkAllOrNothing(g, v, "")
				if tc.method == "Agent.Release" && c.taskStarts(1, g) > 0 {
					t.Error("a member started after its lease had expired")
				}
				if tc.starts && c.awaitOutcome(g).Phase != structs.PhaseFailed {
					t.Error("the gang did not end as failed")
				}
			})
		})
	}
}

// Guards against an accelerator that is held by two gangs when Prepare, Abort and
// expiry run concurrently. Data races are left to the race detector.
func TestConcurrentPreparesDoNotOverlap(t *testing.T) {
	cfg := Config{Info: structs.AgentInfo{ID: "a0", Domain: "d"}}
	cfg.setDefaults()
	cfg.PrepareTTL = 2 * time.Millisecond
	cfg.Info.WorkerCapacity = structs.WorkerCapacity{Accelerators: 8, CoresMilli: 8000, MemoryMB: 8000, Slots: 8}
	l := newLedger(&cfg, newOutbox(cfg.ResultMemory))
	l.setNotReady("")
	var counter atomic.Uint32
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 3000 {
				n := counter.Add(1)
				g := structs.Gang{
					ID: fmt.Sprint("g", n), Fence: structs.NewFence(1+n/4000, n), Domain: "d", CoresMilli: 1000,
					Members: []structs.Member{{AgentID: "a0", Accelerators: rand.Uint64N(256)}},
				}
				l.prepare(&structs.PrepareArgs{Gang: g, TTL: time.Duration(rand.N(2)+1) * time.Millisecond})
				if rand.N(2) == 0 {
					l.abort(&structs.GangArgs{GangID: g.ID})
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for checking := true; checking; {
		select {
		case <-done:
			checking = false
		default:
		}
		l.mu.Lock()
		var busy uint64
		cores := 0
		for _, g := range l.gangs {
			if busy&g.accelerators != 0 {
				t.Errorf("accelerators %x are held twice", busy&g.accelerators)
			}
			busy |= g.accelerators
			cores += g.spec.CoresMilli
		}
		if cores > cfg.Info.CoresMilli || len(l.gangs) > cfg.Info.Slots {
			t.Errorf("%d gangs with %d cores", len(l.gangs), cores)
		}
		l.mu.Unlock()
	}
	time.Sleep(3 * time.Millisecond)
	l.mu.Lock()
	l.expireReservationsAndTombstones()
	l.mu.Unlock()
	if l.outbox.used != 0 || len(l.gangs) != 0 {
		t.Errorf("%d gangs and %d bytes stay reserved", len(l.gangs), l.outbox.used)
	}
}

// Guards against a restarted agent that reports a gang as not run although the
// earlier process has run it, and against tasks of that process that run on
// after the new one has fenced the worker.
func TestRestartedAgentFencesTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		g := c.gang(`{"run_ms":60000}`, 0)
		c.startGang(g)
		time.Sleep(100 * time.Millisecond)
		before := c.agents[0].incarnation()
		c.kill(0)
		c.start(0, func(_ int, cfg *Config) { cfg.Info.Incarnation = 7 }) // as if the clock had been set back
		if now := c.agents[0].incarnation(); now <= before {
			t.Errorf("incarnation %d after %d", now, before)
		}
		if h := c.workers[0].History(); len(h) != 2 || h[1].Message != "fenced" {
			t.Errorf("history %+v", h)
		}
		announcements, _ := c.owner.received()
		if last := announcements[len(announcements)-1]; last.HighestFence != g.Fence {
			t.Errorf("announced token %x after %x", last.HighestFence, g.Fence)
		}
		for range 2 { // the first calls must not change the replies to the second
			if phase, err := c.callGang(g, 0, "Abort"); err != nil || phase != structs.PhaseNone {
				t.Errorf("Abort: %s, %v", phase, err)
			}
			if _, err := c.callGang(g, 0, "Commit"); verdict.Of(err) != verdict.MayHaveRun {
				t.Errorf("Commit: %v", err)
			}
		}
	})
}

// Guards against an agent that goes on serving a worker that a newer agent has
// fenced.
func TestSupersededAgentStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		c.startGang(c.gang(`{"run_ms":60000}`, 0))
		if err := c.workers[0].Fence(context.Background(), c.agents[0].incarnation()+1); err != nil {
			t.Fatal(err)
		}
		<-c.runs[0].done
		if err := c.runs[0].err; !verdict.HasCode(err, verdict.CodeStaleEpoch) {
			t.Errorf("Run returned %v", err)
		}
	})
}
