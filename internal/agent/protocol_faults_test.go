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

// callFault is a fault that happens once, at the nth call of a method to an address.
type callFault struct {
	method, addr string // an empty addr means any
	nth          int    // counts from 1
	// kill is the agent to kill at that call, -1 for none.
	kill int
	// lose delivers the call and loses the reply; otherwise the call is lost.
	lose bool
}

// installFault makes the network inject the fault.
func (c *cluster) installFault(f callFault) {
	var mu sync.Mutex
	seen := 0
	c.net.setFault(func(from, addr, method string) (bool, error) {
		mu.Lock()
		defer mu.Unlock()
		if method != f.method || f.addr != "" && addr != f.addr {
			return false, nil
		}
		if seen++; seen != f.nth {
			return false, nil
		}
		if f.kill >= 0 {
			c.net.setDown(agentAddr(f.kill), true)
			go c.kill(f.kill)
		}
		if f.lose {
			return true, nil
		}
		return false, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "request lost")
	})
}

// faultCase is a fault at one step of the gang protocol, and the expected result.
// The numbers in the names are those of docs/gang-protocol.md.
type faultCase struct {
	name string
	callFault
	// notRun says that the owner must conclude from the replies that the gang did not
	// run.
	notRun bool
	// phase is the phase of the outcome that rank 0 reports, empty if it reports
	// none.
	phase structs.GangPhase
}

var faultCases = []faultCase{
	{"1 Prepare lost", callFault{"Agent.Prepare", agentAddr(1), 1, -1, false}, true, ""},
	{"2 Prepare answer lost", callFault{"Agent.Prepare", agentAddr(1), 1, -1, true}, true, ""},
	{"3 member dies before Prepare", callFault{"Agent.Prepare", agentAddr(1), 1, 1, false}, true, ""},
	{"4 member dies after Prepare", callFault{"Agent.Prepare", agentAddr(1), 1, 1, true}, true, ""},
	{"5 Commit lost", callFault{"Agent.Commit", "", 1, -1, false}, true, ""},
	{"6 Commit answer lost", callFault{"Agent.Commit", "", 1, -1, true}, false, structs.PhaseFinished},
	{"7 rank 0 dies before Commit", callFault{"Agent.Commit", "", 1, 0, false}, false, ""},
	{"8 rank 0 dies after Commit", callFault{"Agent.Arm", "", 1, 0, false}, false, ""},
	{"9 Arm lost", callFault{"Agent.Arm", agentAddr(1), 1, -1, false}, false, structs.PhaseFinished},
	{"10 Arm answer lost", callFault{"Agent.Arm", agentAddr(1), 1, -1, true}, false, structs.PhaseFinished},
	{"11 member dies before Arm", callFault{"Agent.Arm", agentAddr(2), 1, 2, false}, true, structs.PhaseAborted},
	{"12 member dies after Arm", callFault{"Agent.Arm", agentAddr(2), 1, 2, true}, true, structs.PhaseAborted},
	{"13 rank 0 dies after Arm", callFault{"Agent.Arm", agentAddr(2), 1, 0, true}, false, ""},
	{"14 rank 0 dies before Release", callFault{"Agent.Release", "", 1, 0, false}, false, ""},
	{"15 rank 0 dies between Releases", callFault{"Agent.Release", agentAddr(2), 1, 0, true}, false, ""},
	{"16 Release lost", callFault{"Agent.Release", agentAddr(1), 1, -1, false}, false, structs.PhaseFinished},
	{"17 Release answer lost", callFault{"Agent.Release", agentAddr(1), 1, -1, true}, false, structs.PhaseFinished},
	{"18 member dies before Release", callFault{"Agent.Release", agentAddr(1), 1, 1, false}, false, structs.PhaseFailed},
	{"19 member dies after Release", callFault{"Agent.Release", agentAddr(1), 1, 1, true}, false, structs.PhaseFailed},
	{"20 Beat lost", callFault{"Agent.Beat", "", 3, -1, false}, false, structs.PhaseFinished},
	{"21 Beat answer lost", callFault{"Agent.Beat", "", 3, -1, true}, false, structs.PhaseFinished},
	{"22 member dies while it runs", callFault{"Agent.Beat", "", 4, 1, false}, false, structs.PhaseFailed},
	{"23 rank 0 dies while it runs", callFault{"Agent.Beat", "", 4, 0, false}, false, ""},
	{"24 Stop lost", callFault{"Agent.Stop", agentAddr(1), 1, -1, false}, false, structs.PhaseFinished},
	{"25 Stop answer lost", callFault{"Agent.Stop", agentAddr(1), 1, -1, true}, false, structs.PhaseFinished},
	{"26 member dies before Stop", callFault{"Agent.Stop", agentAddr(1), 1, 1, false}, false, structs.PhaseFinished},
	{"27 report lost", callFault{"Domain.GangFinished", "", 1, -1, false}, false, structs.PhaseFinished},
	{"28 report answer lost", callFault{"Domain.GangFinished", "", 1, -1, true}, false, structs.PhaseFinished},
	{"29 rank 0 dies before its report", callFault{"Domain.GangFinished", "", 1, 0, false}, false, ""},
}

// commitAsOwner prepares and commits a gang as an owner does, waiting for the reply
// to Commit for the given time, and returns the owner's verdict.
func (c *cluster) commitAsOwner(g structs.Gang, wait time.Duration) verdict.Verdict {
	if err := c.prepare(g); err != nil {
		for r := range g.Members {
			c.callGang(g, r, "Abort")
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
	if phase, err := c.callGang(g, 0, "Abort"); err == nil && phase == structs.PhaseAborted {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// Guards against a step of the gang protocol at which a single fault makes a gang
// run in part or twice, yields a wrong verdict "not run", loses an outcome, or
// leaves accelerators held.
func TestProtocolFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, nil)
				c.installFault(tc.callFault)
				g := c.gang(`{"run_ms":3500}`, 0, 1, 2)
				got := c.commitAsOwner(g, rpc.DefaultTimeout)
				if (got == verdict.NotRun) != tc.notRun {
					t.Errorf("verdict %s", got)
				}
				if tc.phase != "" {
					if out := c.awaitOutcome(g); out.Phase != tc.phase {
						t.Errorf("outcome %s: %s", out.Phase, out.Message)
					}
				}
				// All ranks have ended two leases after any fault.
				time.Sleep(3500*time.Millisecond + DefaultGangLease + DefaultTaskLease + 2*time.Second)
				c.checkIdle()
				c.checkAllOrNothing(g, got, tc.phase)
			})
		})
	}
}

// checkAllOrNothing checks the workers' histories for a gang that has ended: each
// rank started at most once, none if the verdict is not run, all ranks finished if
// the phase is finished, and otherwise all stopped within two leases.
func (c *cluster) checkAllOrNothing(g structs.Gang, v verdict.Verdict, phase structs.GangPhase) {
	c.t.Helper()
	finished, stopSpread := 0, time.Duration(0)
	var firstEnd, lastEnd int64
	for i := range c.workers {
		starts := c.taskStarts(i, g)
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
	if stopSpread = time.Duration(lastEnd - firstEnd); stopSpread > DefaultGangLease+DefaultTaskLease {
		c.t.Errorf("%s ran on for %v after its first rank had stopped", g.ID, stopSpread)
	}
}
