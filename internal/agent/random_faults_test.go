package agent

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// randomSeeds is the number of seeds that TestRandomFaults runs.
const randomSeeds = 12

// Guards against faults in combination, beyond the single ones of
// TestProtocolFaults: requests and replies lost or delayed, agents killed and
// restarted, with many gangs at a time.
func TestRandomFaults(t *testing.T) {
	const gangs = 30
	finished := 0
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { finished += runRandomFaults(t, gangs, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
	// With faults so frequent that nothing finishes, the test would check little.
	if finished < gangs*randomSeeds/20 {
		t.Errorf("only %d of %d gangs finished", finished, gangs*randomSeeds)
	}
}

// runRandomFaults returns the number of gangs that finished.
func runRandomFaults(t *testing.T, gangs int, rng *rand.Rand) (finished int) {
	const agents = 4
	c := newCluster(t, agents, nil)
	var mu sync.Mutex // guards rng
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	c.net.setFault(func(_, _, _ string) (bool, error) { return randomFault(random(100)) })
	verdicts := make([]verdict.Verdict, gangs)
	specs := make([]structs.Gang, gangs)
	var owners sync.WaitGroup
	for i := range gangs {
		mu.Lock()
		members := rng.Perm(agents)[:1+rng.IntN(agents)]
		g := c.gang(fmt.Sprintf(`{"run_ms":%d,"result_bytes":100}`, 100+rng.IntN(6000)), members...)
		for r := range g.Members {
			g.Members[r].Accelerators = 1 << rng.IntN(3)
		}
		mu.Unlock()
		specs[i] = g
		owners.Go(func() {
			time.Sleep(time.Duration(random(20_000)) * time.Millisecond)
			verdicts[i] = c.commitAsOwner(g, time.Duration(1+random(3000))*time.Millisecond)
		})
	}
	for range 4 {
		time.Sleep(time.Duration(random(6000)) * time.Millisecond)
		i := random(agents)
		c.kill(i)
		time.Sleep(time.Duration(random(4000)) * time.Millisecond)
		c.start(i, nil)
	}
	owners.Wait()
	c.net.setFault(nil)
	time.Sleep(30 * time.Second)
	c.checkIdle()
	return c.checkAllGangs(specs, verdicts)
}

// randomFault loses 3% of requests and 3% of replies, and delays 3% of requests.
// percent is a random number below 100.
func randomFault(percent int) (lose bool, err error) {
	switch {
	case percent >= 9:
		return false, nil
	case percent < 3:
		return false, errCallLost
	case percent < 6:
		return true, nil
	}
	time.Sleep(time.Duration(percent) * 200 * time.Millisecond)
	return false, nil
}

// checkAllGangs checks all gangs and returns the number of those that finished.
func (c *cluster) checkAllGangs(specs []structs.Gang, verdicts []verdict.Verdict) (finished int) {
	for i, g := range specs {
		phase := structs.GangPhase("")
		if out := c.owner.outcome(g.ID); out != nil {
			phase = out.Phase
			if phase == structs.PhaseFinished {
				finished++
				if !bytes.Equal(out.Result.Data, workerstub.ExpectedResult(g.Payload, g.JobID, len(g.Members))) {
					c.t.Errorf("%s: wrong result", g.ID)
				}
			}
			// The worker refuses accelerators that its agent has freed too early.
			if strings.Contains(out.Message, "in use") {
				c.t.Errorf("%s: %s", g.ID, out.Message)
			}
			if verdicts[i] == verdict.NotRun && phase != structs.PhaseAborted {
				c.t.Errorf("%s: verdict is not run, phase is %s", g.ID, phase)
			}
		}
		c.checkAllOrNothing(g, verdicts[i], phase)
	}
	return finished
}
