package agent

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// trigger acts once, on the nth call of a method to an address.
type trigger struct {
	method, addr string // an empty addr means any
	nth          int    // counts from 1
	// kill is the agent to end at that call, -1 for none.
	kill int
	// lose delivers the call and loses its answer; otherwise the call is lost.
	lose bool
}

// install makes the network act out the trigger.
func (c *cluster) install(tr trigger) {
	var mu sync.Mutex
	seen := 0
	c.net.setFault(func(from, addr, method string) (bool, error) {
		mu.Lock()
		defer mu.Unlock()
		if method != tr.method || tr.addr != "" && addr != tr.addr {
			return false, nil
		}
		if seen++; seen != tr.nth {
			return false, nil
		}
		if tr.kill >= 0 {
			c.net.setDown(agentAddr(tr.kill), true)
			go c.kill(tr.kill)
		}
		if tr.lose {
			return true, nil
		}
		return false, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "lost")
	})
}

// windowCase is one window of the protocol: a fault, and the truth afterwards.
// The numbers are those of docs/gang-protocol.md.
type windowCase struct {
	name string
	trigger
	// notRun says that the coordinator's answers add up to not run. Otherwise
	// phase is the outcome that rank 0 reports; empty if rank 0 is dead.
	notRun bool
	phase  structs.GangPhase
}

var windowCases = []windowCase{
	{"1 Prepare lost", trigger{"Agent.Prepare", agentAddr(1), 1, -1, false}, true, ""},
	{"2 Prepare answer lost", trigger{"Agent.Prepare", agentAddr(1), 1, -1, true}, true, ""},
	{"3 member dies before Prepare", trigger{"Agent.Prepare", agentAddr(1), 1, 1, false}, true, ""},
	{"4 member dies after Prepare", trigger{"Agent.Prepare", agentAddr(1), 1, 1, true}, true, ""},
	{"5 Commit lost", trigger{"Agent.Commit", "", 1, -1, false}, true, ""},
	{"6 Commit answer lost", trigger{"Agent.Commit", "", 1, -1, true}, false, structs.PhaseFinished},
	{"7 rank 0 dies before Commit", trigger{"Agent.Commit", "", 1, 0, false}, false, ""},
	{"8 rank 0 dies after Commit", trigger{"Agent.Arm", "", 1, 0, false}, false, ""},
	{"9 Arm lost", trigger{"Agent.Arm", agentAddr(1), 1, -1, false}, false, structs.PhaseFinished},
	{"10 Arm answer lost", trigger{"Agent.Arm", agentAddr(1), 1, -1, true}, false, structs.PhaseFinished},
	{"11 member dies before Arm", trigger{"Agent.Arm", agentAddr(2), 1, 2, false}, true, structs.PhaseAborted},
	{"12 member dies after Arm", trigger{"Agent.Arm", agentAddr(2), 1, 2, true}, true, structs.PhaseAborted},
	{"13 rank 0 dies after Arm", trigger{"Agent.Arm", agentAddr(2), 1, 0, true}, false, ""},
	{"14 rank 0 dies before Release", trigger{"Agent.Release", "", 1, 0, false}, false, ""},
	{"15 rank 0 dies between Releases", trigger{"Agent.Release", agentAddr(2), 1, 0, true}, false, ""},
	{"16 Release lost", trigger{"Agent.Release", agentAddr(1), 1, -1, false}, false, structs.PhaseFinished},
	{"17 Release answer lost", trigger{"Agent.Release", agentAddr(1), 1, -1, true}, false, structs.PhaseFinished},
	{"18 member dies before Release", trigger{"Agent.Release", agentAddr(1), 1, 1, false}, false, structs.PhaseFailed},
	{"19 member dies after Release", trigger{"Agent.Release", agentAddr(1), 1, 1, true}, false, structs.PhaseFailed},
	{"20 Beat lost", trigger{"Agent.Beat", "", 3, -1, false}, false, structs.PhaseFinished},
	{"21 Beat answer lost", trigger{"Agent.Beat", "", 3, -1, true}, false, structs.PhaseFinished},
	{"22 member dies while it runs", trigger{"Agent.Beat", "", 4, 1, false}, false, structs.PhaseFailed},
	{"23 rank 0 dies while it runs", trigger{"Agent.Beat", "", 4, 0, false}, false, ""},
	{"24 Stop lost", trigger{"Agent.Stop", agentAddr(1), 1, -1, false}, false, structs.PhaseFinished},
	{"25 Stop answer lost", trigger{"Agent.Stop", agentAddr(1), 1, -1, true}, false, structs.PhaseFinished},
	{"26 member dies before Stop", trigger{"Agent.Stop", agentAddr(1), 1, 1, false}, false, structs.PhaseFinished},
	{"27 report lost", trigger{"Domain.GangFinished", "", 1, -1, false}, false, structs.PhaseFinished},
	{"28 report answer lost", trigger{"Domain.GangFinished", "", 1, -1, true}, false, structs.PhaseFinished},
	{"29 rank 0 dies before its report", trigger{"Domain.GangFinished", "", 1, 0, false}, false, ""},
}

// coordinate does what an owner does for one gang that waits for the answer to
// Commit for the given time, and returns the verdict.
func (c *cluster) coordinate(g structs.Gang, wait time.Duration) verdict.Verdict {
	if err := c.prepare(g); err != nil {
		for r := range g.Members {
			c.send(g, r, "Abort")
		}
		return verdict.NotRun // Commit was not sent
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	args := &structs.GangArgs{GangID: g.ID, Fence: g.Fence}
	err := node{c.net, ownerAddr}.Call(ctx, g.Members[0].Addr, "Agent.Commit", args, &structs.GangReply{})
	if err == nil {
		return verdict.MayHaveRun
	}
	if verdict.Of(err) == verdict.NotRun {
		return verdict.NotRun
	}
	if phase, err := c.send(g, 0, "Abort"); err == nil && phase == structs.PhaseAborted {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// Guards against a window of the protocol in which a gang runs partially or
// twice, "not run" is untrue, an outcome is lost, or accelerators stay held.
func TestWindows(t *testing.T) {
	for _, tc := range windowCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, nil)
				c.install(tc.trigger)
				g := c.gang(`{"run_ms":3500}`, 0, 1, 2)
				got := c.coordinate(g, rpc.DefaultTimeout)
				if (got == verdict.NotRun) != tc.notRun {
					t.Errorf("verdict %s", got)
				}
				if tc.phase != "" {
					if out := c.await(g); out.Phase != tc.phase {
						t.Errorf("outcome %s: %s", out.Phase, out.Message)
					}
				}
				// A gang has ended whole two leases after any fault.
				time.Sleep(3500*time.Millisecond + DefaultGangLease + DefaultTaskLease + 2*time.Second)
				c.checkIdle()
				c.checkWhole(g, got, tc.phase)
			})
		})
	}
}

// checkWhole checks the workers' histories of a gang that has ended.
func (c *cluster) checkWhole(g structs.Gang, v verdict.Verdict, phase structs.GangPhase) {
	c.t.Helper()
	finished, stopped := 0, time.Duration(0)
	var firstEnd, lastEnd int64
	for i := range c.workers {
		starts := c.starts(i, g)
		if starts > 1 {
			c.t.Errorf("%s started %d times at worker %d", g.ID, starts, i)
		}
		if starts > 0 && v == verdict.NotRun {
			c.t.Errorf("%s was not run, and started at worker %d", g.ID, i)
		}
		for _, e := range c.workers[i].History() {
			if e.GangID != g.ID || e.Event != workerstub.EventEnd {
				continue
			}
			starts--
			if e.Outcome == string(structs.TaskFinished) {
				finished++
				continue
			}
			if firstEnd == 0 || e.TimeNS < firstEnd {
				firstEnd = e.TimeNS
			}
			lastEnd = max(lastEnd, e.TimeNS)
		}
		if starts != 0 {
			c.t.Errorf("%s still runs at worker %d", g.ID, i)
		}
	}
	if phase == structs.PhaseFinished && finished != len(g.Members) {
		c.t.Errorf("%s: %d of %d ranks finished", g.ID, finished, len(g.Members))
	}
	if stopped = time.Duration(lastEnd - firstEnd); stopped > DefaultGangLease+DefaultTaskLease {
		c.t.Errorf("%s ran on for %v after its first rank had stopped", g.ID, stopped)
	}
}
