package workflowowner

import (
	"cmp"
	"slices"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// withdrawStarts stops runs that do not fit on the worker any more because its capacity has
// shrunk since they were ordered, and that the agent does not report yet: a worker that
// does not check its capacity would run them. The newest ones are stopped first.
func (o *Owner) withdrawStarts(w *worker, args *workflowrpc.SyncArgs) {
	free := w.free()
	if free.Fits(workflow.Resources{}) {
		return
	}
	reported := map[workflow.RunID]bool{}
	for _, report := range args.Runs {
		reported[report.ID] = true
	}
	var undelivered []*run
	for _, r := range w.runs {
		if !reported[r.id] && r.stopReason == "" {
			undelivered = append(undelivered, r)
		}
	}
	slices.SortFunc(undelivered, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.orderedAt, a.orderedAt), b.id.Compare(a.id))
	})
	for _, r := range undelivered {
		if free.Fits(workflow.Resources{}) {
			return
		}
		o.stopRun(r, "no capacity left")
		free = free.Add(r.step.HeldResources(), 1)
	}
}
