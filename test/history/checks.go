package history

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// Time limits that the system promises.
const (
	// UrgentStartBound limits the time from the submission of a job inside its
	// account's guarantee to its start.
	UrgentStartBound = 9700 * time.Millisecond
	// ManifestBound limits the time from the acceptance of a manifest until it is in
	// force at every process (promise 8).
	ManifestBound = 3 * time.Second
	// DrainBound limits the time from a graceful stop of an agent or entry until it
	// takes no new work (promise 6).
	DrainBound = 3 * time.Second
	// incompleteGangBound limits how long tasks run after their gang lost a member:
	// the gang lease of 3 s, plus 1 s to notice its expiry and stop the tasks.
	incompleteGangBound = 4 * time.Second
)

// Check checks every promise against the recorded run.
func (r *Run) Check() []CheckResult {
	return []CheckResult{
		r.checkGuarantee(), r.checkGangs(), r.checkResponses(), r.checkNotRun(),
		r.checkAtMostOnce(), r.checkDrain(), r.checkShutdown(), r.checkManifest(),
	}
}

// checkGuarantee checks promise 1: every job inside a guarantee started all its ranks,
// over all its gangs (one gang for each attempt), and the first start was within the
// bound.
func (r *Run) checkGuarantee() CheckResult {
	res := CheckResult{Promise: 1}
	var worst time.Duration
	jobs := r.tasksByJob()
	for _, c := range r.Claims {
		res.Checked++
		first, ranks := time.Time{}, map[int]bool{}
		size := 0
		for _, tasks := range jobs[c.JobID] {
			for _, t := range tasks {
				ranks[t.Rank], size = true, t.Size
				if first.IsZero() || t.Start.Before(first) {
					first = t.Start
				}
			}
		}
		took := first.Sub(c.Submitted)
		if first.IsZero() || len(ranks) < size || took > c.Bound {
			res.addViolation("claim %s: started %v after %v, %d of %d ranks; the bound is %v", c.JobID, !first.IsZero(), took, len(ranks), size, c.Bound)
			continue
		}
		worst = max(worst, took)
	}
	if res.Checked > 0 {
		res.Measurement = fmt.Sprintf("(slowest claim started after %d ms)", worst.Milliseconds())
	}
	return res
}

// checkGangs checks promise 2: an accelerator runs one task at a time, all ranks of a
// finished job finished, and no gang keeps running after it lost a member.
func (r *Run) checkGangs() CheckResult {
	res := CheckResult{Promise: 2}
	res.Violations = append(res.Violations, r.checkOccupancy()...)
	for job, gangs := range r.tasksByJob() {
		for gang, tasks := range gangs {
			res.Checked++
			r.checkIncompleteGang(&res, gang, tasks)
			if rec := r.Final[job]; rec != nil && rec.State == structs.JobFinished && rec.GangID == gang {
				finished := map[int]bool{}
				for _, t := range tasks {
					if t.Outcome == string(structs.TaskFinished) {
						finished[t.Rank] = true
					}
				}
				if len(finished) != tasks[0].Size {
					res.addViolation("gang %s: the job finished with %d of %d ranks finished", gang, len(finished), tasks[0].Size)
				}
			}
		}
	}
	return res
}

// checkIncompleteGang adds a violation if a rank ran for longer than
// incompleteGangBound while another rank of its gang was missing.
func (r *Run) checkIncompleteGang(res *CheckResult, gang string, tasks []Task) {
	incompleteSince := tasks[0].Start
	started := map[int]bool{}
	for _, t := range tasks {
		started[t.Rank] = true
		if t.Start.Before(incompleteSince) {
			incompleteSince = t.Start
		}
	}
	missing := len(started) < tasks[0].Size
	if !missing {
		for _, t := range tasks {
			if !t.End.IsZero() && t.Outcome != string(structs.TaskFinished) {
				if end := r.computedUntil(t); !missing || end.Before(incompleteSince) {
					incompleteSince, missing = end, true
				}
			}
		}
	}
	if !missing {
		return
	}
	for _, t := range tasks {
		since := incompleteSince
		if t.Start.After(since) {
			since = t.Start // for example, a frozen worker received the start request when it resumed
		}
		if ran := r.computedUntil(t).Sub(since); ran > incompleteGangBound {
			res.addViolation("gang %s: rank %d on %s ran for %v without the whole gang (outcome %q)", gang, t.Rank, t.Worker, ran, t.Outcome)
		}
	}
}

// computedUntil returns when a task stopped computing. A frozen or killed worker computes
// nothing, but its history shows the end of its tasks only after it runs again. Such a
// task counts as ended when the fault began, if its end is recorded at most 500 ms
// after the worker runs again.
func (r *Run) computedUntil(t Task) time.Time {
	end := t.End
	if end.IsZero() {
		end = time.Now()
	}
	for _, f := range r.Faults {
		stopsWorker := f.Kind == Freeze || f.Kind == Kill
		if stopsWorker && f.Target == t.Worker && f.From.After(t.Start) && f.From.Before(end) &&
			(f.To.IsZero() || end.Before(f.To.Add(500*time.Millisecond))) {
			end = f.From
		}
	}
	return end
}

// checkResponses checks promise 3: every accepted job got a final response, and each
// result is complete and belongs to the requester's job.
func (r *Run) checkResponses() CheckResult {
	res := CheckResult{Promise: 3}
	for _, sub := range r.Submissions {
		res.Checked++
		if sub.Job != nil {
			res.checkResult(sub, sub.Job)
			// While the table is unreachable, two owners can accept different
			// idempotent jobs under one key, and one of the records replaces the
			// other (docs/design.md, section 6).
			if r.Final != nil && (!sub.Idempotent || !r.acceptedWithoutTable(sub)) {
				r.checkRecord(&res, sub, r.Final[sub.JobID])
			}
		}
		if sub.Job == nil {
			continue // refused, or it is not known whether the job was accepted
		}
		if sub.Job.State.Final() && sub.Job.State != structs.JobUnknown {
			continue // the response was final
		}
		if final := r.Final[sub.JobID]; r.Final != nil && (final == nil || !final.State.Final()) {
			res.addViolation("%s: %s was accepted and has no final answer: %+v", sub.Name, sub.JobID, final)
		}
	}
	res.Violations = append(res.Violations, r.checkKeys()...)
	return res
}

// checkRecord checks that the final record of an accepted job belongs to the
// requester's job, and that it says finished if the requester received a result.
// There is one exception (docs/design.md, section 6, step 5): a result that was not
// durable yet can be lost if the owner could not reach the table and the agent that
// held the result was ended later.
func (r *Run) checkRecord(res *CheckResult, sub *Submission, final *structs.Job) {
	if final != nil {
		res.checkResult(sub, final)
	}
	mustBeKept := sub.Job.Result == nil || sub.Job.Result.Durable || !r.acceptedWithoutTable(sub) || !r.agentEndedAfter(sub.Call)
	if mustBeKept && sub.Job.State == structs.JobFinished && (final == nil || final.State != structs.JobFinished) {
		res.addViolation("%s: %s was answered with its result, and its final record is %+v", sub.Name, sub.JobID, final)
	}
}

// agentEndedAfter reports whether any agent was killed or terminated after a time. The
// names of agents begin with "agent", those of entries with "entry".
func (r *Run) agentEndedAfter(after time.Time) bool {
	return slices.ContainsFunc(r.Faults, func(fault *Fault) bool {
		return (fault.Kind == Kill || fault.Kind == Terminate) && fault.Target[0] == 'a' && fault.From.After(after)
	})
}

// checkResult checks that the result of a finished job is the one that its payload
// produces.
func (res *CheckResult) checkResult(sub *Submission, job *structs.Job) {
	if job.State != structs.JobFinished {
		return
	}
	if job.ID != sub.JobID || job.Result == nil {
		res.addViolation("%s: the answer of %s is for %s, result %v", sub.Name, sub.JobID, job.ID, job.Result != nil)
	} else if !bytes.Equal(job.Result.Data, workerstub.ExpectedResult(sub.Spec.Payload, sub.JobID, job.Shape.Workers)) {
		res.addViolation("%s: the result of %s has %d bytes and is not the expected one", sub.Name, sub.JobID, len(job.Result.Data))
	}
}

// checkNotRun checks promise 4: a job that was reported as not run, in a response, in
// the response to a cancellation or in its record, did not run.
func (r *Run) checkNotRun() CheckResult {
	res := CheckResult{Promise: 4}
	jobs := r.tasksByJob()
	verdicts := map[string]verdict.Verdict{}
	for _, sub := range r.Submissions {
		v := sub.Verdict()
		if earlier, ok := verdicts[sub.JobID]; ok {
			v = verdict.Combine(v, earlier)
		}
		verdicts[sub.JobID] = v
		if sub.Job != nil && sub.Job.State.Final() && sub.Job.Verdict == verdict.NotRun && len(jobs[sub.JobID]) > 0 {
			res.addViolation("%s: the record of %s (%s) said not_run, and the job ran in %d gangs", sub.Name, sub.JobID, sub.Job.State, len(jobs[sub.JobID]))
		}
	}
	for id, v := range verdicts {
		if v == verdict.NotRun {
			res.Checked++
			if len(jobs[id]) > 0 {
				res.addViolation("%s: every answer said not_run, and the job ran in %d gangs", id, len(jobs[id]))
			}
		}
	}
	for _, id := range r.Cancelled {
		res.Checked++
		if len(jobs[id]) > 0 {
			res.addViolation("%s: the answer to its cancellation said not_run, and the job ran in %d gangs", id, len(jobs[id]))
		}
	}
	for id, job := range r.Final {
		if job != nil && job.State.Final() && job.Verdict == verdict.NotRun && len(jobs[id]) > 0 {
			res.addViolation("%s: the final record (%s) says not_run, and the job ran in %d gangs", id, job.State, len(jobs[id]))
		}
	}
	return res
}

// checkAtMostOnce checks promise 5: a non-idempotent job runs at most once. A gang
// that continues from a checkpoint belongs to the same run, provided that no task of
// the earlier gang is still running.
func (r *Run) checkAtMostOnce() CheckResult {
	res := CheckResult{Promise: 5}
	jobs, seen := r.tasksByJob(), map[string]bool{}
	for _, sub := range r.Submissions {
		if sub.Idempotent || seen[sub.JobID] {
			continue
		}
		seen[sub.JobID] = true
		res.Checked++
		if n := r.RunCount(sub.JobID); n > 1 {
			res.addViolation("non-idempotent %s ran %d times", sub.JobID, n)
		}
		var all []Task
		for _, tasks := range jobs[sub.JobID] {
			all = append(all, tasks...)
		}
		slices.SortFunc(all, func(a, b Task) int { return a.Start.Compare(b.Start) })
		for i, a := range all {
			for _, b := range all[i+1:] {
				if a.GangID != b.GangID && r.computedUntil(a).After(b.Start) {
					res.addViolation("non-idempotent %s: gangs %s and %s ran at the same time", sub.JobID, a.GangID, b.GangID)
				}
			}
		}
	}
	return res
}

// checkDrain checks promise 6: once DrainBound has passed after a SIGTERM, the worker
// of the agent starts no task, and the entry accepts no job.
func (r *Run) checkDrain() CheckResult {
	res := CheckResult{Promise: 6}
	var latest time.Duration
	for _, fault := range r.Faults {
		if fault.Kind != Terminate {
			continue
		}
		res.Checked++
		// after returns how long after the start of the fault t is, or 0 if the fault was
		// not active at t.
		after := func(t time.Time) time.Duration {
			if t.After(fault.From) && (fault.To.IsZero() || t.Before(fault.To)) {
				return t.Sub(fault.From)
			}
			return 0
		}
		for _, t := range r.Tasks {
			if "worker"+numberSuffix(t.Worker) != "worker"+numberSuffix(fault.Target) || fault.Target[0] != 'a' {
				continue
			}
			late := after(t.Start)
			if latest = max(latest, late); late > DrainBound {
				res.addViolation("task of %s started on %s %v after %s began to shut down", t.JobID, t.Worker, late, fault.Target)
			}
		}
		for _, q := range r.Requests {
			if q.Entry == fault.Target && q.Path == "/v1/jobs" && q.Method == "POST" && after(q.Call) > DrainBound && q.Status/100 == 2 {
				res.addViolation("%s accepted a job %v after it began to shut down", fault.Target, after(q.Call))
			}
		}
	}
	if res.Checked > 0 {
		res.Measurement = fmt.Sprintf("(last start on a leaving worker after %d ms)", latest.Milliseconds())
	}
	return res
}

// numberSuffix returns the number at the end of a process name.
func numberSuffix(name string) string {
	for i, c := range name {
		if c >= '0' && c <= '9' {
			return name[i:]
		}
	}
	return ""
}

// checkShutdown checks promise 7: an entry that shuts down gracefully completes the
// requests in progress. A request that had no connection was not in progress.
func (r *Run) checkShutdown() CheckResult {
	res := CheckResult{Promise: 7}
	for _, fault := range r.Faults {
		if fault.Kind != Terminate || fault.Target[0] != 'e' {
			continue
		}
		for _, q := range r.Requests {
			if q.Entry != fault.Target || q.Call.After(fault.From) && !fault.To.IsZero() && q.Call.After(fault.To) || q.Return.Before(fault.From) {
				continue
			}
			res.Checked++
			if q.Err != nil && q.Connected && !r.faultDuring(q.Entry, q.Call, q.Return, Kill, Freeze) {
				res.addViolation("%s %s through %s, sent %v after its shutdown began, was cut off: %v", q.Method, q.Path, q.Entry, q.Call.Sub(fault.From), q.Err)
			}
		}
	}
	return res
}

// checkManifest checks promise 8: the manifest version at a process never decreases,
// and an accepted version is in force at every running process within ManifestBound.
func (r *Run) checkManifest() CheckResult {
	res := CheckResult{Promise: 8, Violations: r.checkRegister()}
	newest := map[string]uint64{}
	var worst time.Duration
	reads := slices.Clone(r.Reads)
	slices.SortFunc(reads, func(a, b VersionRead) int { return a.Call.Compare(b.Call) })
	for _, v := range reads {
		res.Checked++
		if v.Version != 0 && v.Version < newest[v.Process] {
			res.addViolation("%s went from version %d back to %d", v.Process, newest[v.Process], v.Version)
		}
		newest[v.Process] = max(newest[v.Process], v.Version)
		for _, a := range r.Applies {
			late := v.Call.Sub(a.Return)
			if a.Version == 0 || v.Version >= a.Version || late <= 0 {
				continue
			}
			// A process that does not run receives the version when it runs again.
			if r.faultDuring(v.Process, a.Return, v.Call.Add(-ManifestBound), Kill, Terminate, Freeze) ||
				r.faultDuring(v.Process, v.Call.Add(-ManifestBound), v.Return, Kill, Terminate, Freeze) {
				continue
			}
			if worst = max(worst, late); late > ManifestBound {
				res.addViolation("%s had version %d in force %v after version %d was accepted", v.Process, v.Version, late, a.Version)
			}
		}
	}
	if res.Checked > 0 {
		res.Measurement = fmt.Sprintf("(an older version was last seen %d ms after acceptance)", worst.Milliseconds())
	}
	return res
}
