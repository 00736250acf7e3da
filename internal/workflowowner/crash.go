package workflowowner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

const (
	// maxLoggedRuns limits the runs of a crashed worker in the log. The newest are logged.
	maxLoggedRuns = 16
	// loggedAgePrecision is the precision of the ages of runs in the reasons of the log.
	loggedAgePrecision = time.Millisecond
	// maxUnstoredCrashes is the number of crashes with which a task may start again before
	// they are stored. What is not stored may be lost with the owner and the agents.
	maxUnstoredCrashes = 1
	// maxIsolationWait is how long a task waits to be kept apart before that is relaxed:
	// first it may start beside other work, and after as long again beside other starts.
	maxIsolationWait = 2 * time.Second
)

// crashedRun is what the log says of a run that a worker may have begun before it crashed.
type crashedRun struct {
	Run   string `json:"run"`
	AgeMs int64  `json:"ageMs"`
}

// recordCrash records the crash of a worker under the tasks that may have caused it, and
// gives up the jobs of tasks that have crashed too many workers. The report may be of an
// earlier incarnation, and may repeat one that is recorded.
func (o *Owner) recordCrash(args *workflowrpc.SyncArgs) {
	if args.Worker.End != workflowrpc.WorkerCrashed {
		return
	}
	w := o.workers[args.Worker.ID]
	current := w != nil && w.incarnation == args.Worker.Incarnation && !w.lost
	var begun []workflowrpc.Run
	for _, report := range args.Runs {
		if current && w.runs[report.ID] != nil {
			w.runs[report.ID].ageAtCrash = report.AgeAtCrash
		}
		if report.AgeAtCrash > 0 {
			begun = append(begun, report)
		}
	}
	suspects, alone := crashSuspects(begun)
	changed := false
	for _, report := range suspects {
		changed = o.recordTaskCrash(report.ID.Task, workflow.Crash{
			Worker: args.Worker.ID, Incarnation: args.Worker.Incarnation, AtStart: atStart(report), Alone: alone,
		}) || changed
	}
	if changed || current { // else it repeats an earlier report
		o.logCrash(args, begun)
	}
}

// crashSuspects returns those of a crashed worker's runs that may have crashed it: the ones
// that had just begun or, if there are none, all. alone reports whether they are of one job.
func crashSuspects(begun []workflowrpc.Run) (suspects []workflowrpc.Run, alone bool) {
	for _, r := range begun {
		if atStart(r) {
			suspects = append(suspects, r)
		}
	}
	if len(suspects) == 0 {
		suspects = begun
	}
	for _, r := range suspects {
		if r.ID.Task.Job != suspects[0].ID.Task.Job {
			return suspects, false
		}
	}
	return suspects, true
}

// logCrash logs the crash of a worker with the runs that it had begun, the newest first.
func (o *Owner) logCrash(args *workflowrpc.SyncArgs, begun []workflowrpc.Run) {
	slices.SortFunc(begun, func(a, b workflowrpc.Run) int {
		return cmp.Or(cmp.Compare(a.AgeAtCrash, b.AgeAtCrash), a.ID.Compare(b.ID))
	})
	newest := make([]crashedRun, 0, min(len(begun), maxLoggedRuns))
	for _, r := range begun[:min(len(begun), maxLoggedRuns)] {
		newest = append(newest, crashedRun{r.ID.String(), r.AgeAtCrash.Milliseconds()})
	}
	o.opts.Log.Event("worker_crashed", "worker", args.Worker.ID, "incarnation", args.Worker.Incarnation, "runs", len(begun), "newest", newest)
}

// atStart reports whether a run had just begun when its worker crashed.
func atStart(r workflowrpc.Run) bool {
	return r.AgeAtCrash > 0 && r.AgeAtCrash < workflow.StartCrashWindow
}

// recordTaskCrash records a crash under one task, and reports whether it is new.
func (o *Owner) recordTaskCrash(t workflow.TaskID, c workflow.Crash) bool {
	j := o.jobs[t.Job]
	if j == nil || !j.active() || !j.record.Spec.HasTask(t) || !j.progress.RecordCrash(&j.record.Spec, t, c) {
		return false
	}
	j.progress.Begun = true
	o.markChanged(j)
	j.crashGen = j.progressGen
	if o.finishIfDecided(j) {
		crashes := j.progress.StepProgress(&j.record.Spec, stepOf(t)).Crashes[t.Index]
		o.opts.Log.Event("job_given_up", "job", j.id, "task", t.String(), "crashes", crashes)
	}
	return true
}

// awaitCrashStored waits until the crash that an agent reports is stored for all jobs under
// which it happened, and reports whether it is. o.mu must be held; it is released while
// waiting.
func (o *Owner) awaitCrashStored(args *workflowrpc.SyncArgs, deadline <-chan time.Time) bool {
	unstored := func(r workflowrpc.Run) bool {
		j := o.jobs[r.ID.Task.Job]
		return r.AgeAtCrash > 0 && j != nil && !j.crashesStored()
	}
	for slices.ContainsFunc(args.Runs, unstored) {
		written := o.written
		o.mu.Unlock()
		ended := false
		select {
		case <-written:
		case <-deadline:
			ended = true
		case <-o.ctx.Done():
			ended = true
		}
		o.mu.Lock()
		if ended {
			return false
		}
	}
	return true
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

// splitByIsolation splits a group into groups of tasks with the same isolation. A gang has
// the strictest one of its members. Tasks whose crashes have to be stored first are left
// out.
func (o *Owner) splitByIsolation(j *job, g workflowscheduler.Group) []workflowscheduler.Group {
	progress := j.progress.StepProgress(&j.record.Spec, g.ID)
	if len(progress.Crashes) == 0 {
		return []workflowscheduler.Group{g}
	}
	tasks := map[workflow.Isolation][]int{}
	strictest := workflow.IsolationNone
	avoid := maps.Clone(g.Avoid)
	for _, i := range g.Tasks {
		if len(progress.Crashes[i]) > maxUnstoredCrashes && !j.crashesStored() {
			if g.Gang {
				return nil
			}
			continue
		}
		level := progress.Isolation(&j.record.Spec.Steps[g.ID.Step], i)
		strictest = max(strictest, level)
		tasks[level] = append(tasks[level], i)
		for _, c := range progress.Crashes[i] {
			avoid[c.Worker] = true
		}
	}
	if g.Gang {
		tasks = map[workflow.Isolation][]int{strictest: g.Tasks}
	}
	var out []workflowscheduler.Group
	for _, level := range slices.Sorted(maps.Keys(tasks)) {
		part := g
		part.Tasks, part.Isolation = tasks[level], j.possibleIsolation(g.ID, level)
		if level != workflow.IsolationNone {
			part.Avoid = avoid
		}
		out = append(out, part)
	}
	return out
}

// possibleIsolation returns the isolation of a step's waiting tasks. It is relaxed if the
// step has waited long for it: long tasks may occupy all workers, or tasks start on all of
// them all the time.
func (j *job) possibleIsolation(step workflow.StepID, wanted workflow.Isolation) workflow.Isolation {
	switch waited := j.isolationWait[step]; {
	case waited <= maxIsolationWait:
		return wanted
	case waited <= 2*maxIsolationWait:
		return min(wanted, workflow.IsolationStart)
	}
	return workflow.IsolationNone
}

// isolates reports whether a run on the worker is kept apart from other work at present.
func (o *Owner) isolates(w *worker) bool {
	for _, r := range w.runs {
		switch r.isolation {
		case workflow.IsolationStart, workflow.IsolationWorker:
			if o.beganRecently(r) {
				return true
			}
		case workflow.IsolationRun:
			return true
		}
	}
	return false
}

// quietAt returns the time from which no run on the worker is as young as one that may crash
// it.
func (o *Owner) quietAt(w *worker) time.Duration {
	at := time.Duration(0)
	for _, r := range w.runs {
		began := r.startedAt
		if began == 0 {
			began = o.now()
		}
		at = max(at, began+workflow.StartCrashWindow)
	}
	return at
}

// beganRecently reports whether a run has not yet lived for StartCrashWindow, as far as is
// known.
func (o *Owner) beganRecently(r *run) bool {
	return r.startedAt == 0 || o.now()-r.startedAt < workflow.StartCrashWindow
}
