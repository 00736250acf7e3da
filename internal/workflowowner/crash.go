package workflowowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// maxLoggedRuns limits the runs of a crashed worker in the log. The newest are logged.
const maxLoggedRuns = 16

// loggedAgePrecision is the precision of the ages of runs in the reasons of the log.
const loggedAgePrecision = time.Millisecond

// crashedRun is what the log says of a run that a worker may have begun before it crashed.
type crashedRun struct {
	Run   string `json:"run"`
	AgeMs int64  `json:"ageMs"`
}

// logCrash logs the crash of a worker with the runs on it and their ages, the newest first:
// if a task has crashed the worker, it is probably the newest.
func (o *Owner) logCrash(w *worker, args *workflowrpc.SyncArgs) {
	if args.Worker.End != workflowrpc.WorkerCrashed {
		return
	}
	var begun []workflowrpc.Run
	for _, report := range args.Runs {
		if r := w.runs[report.ID]; r != nil {
			r.ageAtCrash = report.AgeAtCrash
		}
		if report.AgeAtCrash > 0 {
			begun = append(begun, report)
		}
	}
	slices.SortFunc(begun, func(a, b workflowrpc.Run) int {
		return cmp.Or(cmp.Compare(a.AgeAtCrash, b.AgeAtCrash), a.ID.Compare(b.ID))
	})
	logged := make([]crashedRun, 0, min(len(begun), maxLoggedRuns))
	for _, r := range begun[:min(len(begun), maxLoggedRuns)] {
		logged = append(logged, crashedRun{r.ID.String(), r.AgeAtCrash.Milliseconds()})
	}
	o.opts.Log.Event("worker_crashed", "worker", w.id, "incarnation", w.incarnation, "runs", len(begun), "newest", logged)
}

// lossReason says why a run was lost. why is how its worker ended.
func (r *run) lossReason(why string) string {
	switch {
	case why != string(workflowrpc.WorkerCrashed):
		return why
	case r.ageAtCrash == 0:
		return "worker crashed before the start"
	}
	return "worker crashed " + r.ageAtCrash.Round(loggedAgePrecision).String() + " after the start"
}
