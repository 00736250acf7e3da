package agent

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// Guards against a gang whose requester does not get the whole answer, and
// against accelerators that stay held after the end.
func TestGangRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{1, 3, structs.MaxGangWorkers} {
			c := newCluster(t, size, nil)
			var agents []int
			for i := range size {
				agents = append(agents, i)
			}
			g := c.gang(`{"run_ms":4000,"result_bytes":1000}`, agents...)
			c.run(g)
			out := c.await(g)
			if out.Phase != structs.PhaseFinished || out.Result == nil || out.Result.Check() != nil {
				t.Fatalf("outcome %+v", out)
			}
			if want := workerstub.ExpectedResult(g.Payload, g.JobID, size); !bytes.Equal(out.Result.Data, want) {
				t.Errorf("size %d: result differs", size)
			}
			c.checkIdle()
			for i := range size {
				if n := c.starts(i, g); n != 1 {
					t.Errorf("rank %d started %d times", i, n)
				}
			}
			if size == 1 && c.net.called("Agent.Arm")+c.net.called("Agent.Beat") > 0 {
				t.Error("a gang of one worker called a member")
			}
			c.close()
		}
	})
}
