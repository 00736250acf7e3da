package workflowowner

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// TestJobReturnsToWorkerWhereItFailed guards against a job that waits for good for workers that
// persistent tasks occupy, while the worker on which it once failed is empty.
func TestJobReturnsToWorkerWhereItFailed(t *testing.T) {
	for _, c := range []struct {
		name       string
		persistent bool
		limit      time.Duration
	}{{"ordinary", false, 12 * time.Second}, {"persistent", true, 6 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			runOwner(t, func(*harness) {}, func(r *harness) {
				persistent := workflow.Step{Tasks: 1, Need: workflow.Resources{CPUMilli: 40000}, Estimate: 1000, Persistent: true}
				r.submit(otherJob, persistent)
				busy := r.awaitStarts("full", "a", 1, time.Second)
				step := workflow.Step{Tasks: 1, Need: workflow.Resources{CPUMilli: 25000}, Estimate: 1000, Persistent: c.persistent}
				r.submit(testJob, step)
				full := func() {
					reply := r.report("full", "a", 1, func(a *workflowrpc.SyncArgs) {
						a.Wait = 20 * time.Millisecond
						for _, s := range busy {
							a.Runs = append(a.Runs, workflowrpc.Run{ID: s.ID, State: workflowrpc.RunRunning, Percent: 100})
						}
					})
					if len(reply.Start) > 0 {
						r.t.Fatalf("starts %v on the worker without capacity", reply.Start)
					}
				}
				first := r.awaitStarts("empty", "b", 1, time.Second)
				if len(busy) != 1 || len(first) != 1 {
					r.t.Fatalf("starts %v and %v, want one each", busy, first)
				}
				failed := time.Now()
				var again time.Duration
				for time.Since(failed) < 20*time.Second && again == 0 {
					full()
					reply := r.report("empty", "b", 1, func(a *workflowrpc.SyncArgs) {
						a.Ends, a.Wait = []workflowrpc.End{{Seq: 1, ID: first[0].ID, Kind: workflow.EndFailed}}, 20*time.Millisecond
					})
					if len(reply.Start) > 0 {
						again = time.Since(failed)
					}
					time.Sleep(20 * time.Millisecond)
				}
				if again == 0 || again > c.limit {
					r.t.Errorf("started again after %v, want within %v", again, c.limit)
				}
			})
		})
	}
}
