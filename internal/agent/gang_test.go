package agent

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// Guards against an incomplete result of a gang, a task that starts twice, and
// accelerators that stay held after the end.
func TestGangFinishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{1, 3, structs.MaxGangWorkers} {
			c := newCluster(t, size, nil)
			var agents []int
			for i := range size {
				agents = append(agents, i)
			}
			g := c.gang(`{"run_ms":4000,"result_bytes":1000}`, agents...)
			c.startGang(g)
			out := c.awaitOutcome(g)
			if out.Phase != structs.PhaseFinished || out.Result == nil || out.Result.Check() != nil {
				t.Fatalf("outcome %+v", out)
			}
			if want := workerstub.ExpectedResult(g.Payload, g.JobID, size); !bytes.Equal(out.Result.Data, want) {
				t.Errorf("size %d: result differs", size)
			}
			c.checkIdle()
			for i := range size {
				if n := c.taskStarts(i, g); n != 1 {
					t.Errorf("rank %d started %d times", i, n)
				}
			}
			if size == 1 && c.net.callCount("Agent.Arm")+c.net.callCount("Agent.Beat") > 0 {
				t.Error("a gang of one worker called a member")
			}
			c.close()
		}
	})
}
