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

// The stated bounds.
const (
	// UrgentStart bounds the start of a claim on a guarantee.
	UrgentStart = 9700 * time.Millisecond
	// ManifestBound and DrainBound are those of promises 8 and 6.
	ManifestBound = 3 * time.Second
	DrainBound    = 3 * time.Second
	// partialBound is the gang lease of 3 s, within which a gang that lost a
	// member ends, and one second for the stop to be noticed and carried out.
	partialBound = 4 * time.Second
)

// Check checks every promise on a run.
func (r *Run) Check() []Finding {
	return []Finding{
		r.checkGuarantee(), r.checkGangs(), r.checkAnswers(), r.checkNotRun(),
		r.checkAtMostOnce(), r.checkDrain(), r.checkShutdown(), r.checkManifest(),
	}
}

func (r *Run) checkGuarantee() Finding {
	f := Finding{Promise: 1}
	var worst time.Duration
	jobs := r.byJob()
	for _, c := range r.Claims {
		f.Checked++
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
			f.violate("claim %s: started %v after %v, %d of %d ranks; the bound is %v", c.JobID, !first.IsZero(), took, len(ranks), size, c.Bound)
			continue
		}
		worst = max(worst, took)
	}
	if f.Checked > 0 {
		f.Figure = fmt.Sprintf("(slowest claim started after %d ms)", worst.Milliseconds())
	}
	return f
}

// checkGangs checks that accelerators run one task at a time, that finished
// jobs had all their ranks, and that no gang goes on in part.
func (r *Run) checkGangs() Finding {
	f := Finding{Promise: 2}
	f.Violations = append(f.Violations, r.checkOccupancy()...)
	for job, gangs := range r.byJob() {
		for gang, tasks := range gangs {
			f.Checked++
			r.checkPartial(&f, gang, tasks)
			if rec := r.Final[job]; rec != nil && rec.State == structs.JobFinished && rec.GangID == gang {
				finished := map[int]bool{}
				for _, t := range tasks {
					if t.Outcome == string(structs.TaskFinished) {
						finished[t.Rank] = true
					}
				}
				if len(finished) != tasks[0].Size {
					f.violate("gang %s: the job finished with %d of %d ranks finished", gang, len(finished), tasks[0].Size)
				}
			}
		}
	}
	return f
}

// checkPartial adds a violation if a rank went on for longer than partialBound
// without another one.
func (r *Run) checkPartial(f *Finding, gang string, tasks []Task) {
	alone := tasks[0].Start // since when a rank is missing
	whole := map[int]bool{}
	for _, t := range tasks {
		whole[t.Rank] = true
		if t.Start.Before(alone) {
			alone = t.Start
		}
	}
	missing := len(whole) < tasks[0].Size
	if !missing {
		for _, t := range tasks {
			if !t.End.IsZero() && t.Outcome != string(structs.TaskFinished) {
				if end := r.worked(t); !missing || end.Before(alone) {
					alone, missing = end, true
				}
			}
		}
	}
	if !missing {
		return
	}
	for _, t := range tasks {
		since := alone
		if t.Start.After(since) {
			since = t.Start // for example a start that reached a worker when it was thawed
		}
		if ran := r.worked(t).Sub(since); ran > partialBound {
			f.violate("gang %s: rank %d on %s ran for %v without the whole gang (outcome %q)", gang, t.Rank, t.Worker, ran, t.Outcome)
		}
	}
}

// worked returns when a task stopped computing: a frozen worker computes
// nothing, and records the end only when it goes on.
func (r *Run) worked(t Task) time.Time {
	end := t.End
	if end.IsZero() {
		end = time.Now()
	}
	for _, f := range r.Faults {
		stops := f.Kind == Freeze || f.Kind == Kill
		if stops && f.Target == t.Worker && f.From.After(t.Start) && f.From.Before(end) &&
			(f.To.IsZero() || end.Before(f.To.Add(500*time.Millisecond))) {
			end = f.From
		}
	}
	return end
}

// checkAnswers checks that every accepted job got a final answer, and that each
// result is whole and the requester's own.
func (r *Run) checkAnswers() Finding {
	f := Finding{Promise: 3}
	for _, o := range r.Ops {
		f.Checked++
		if o.Job != nil {
			f.checkResult(o, o.Job)
			// docs/design.md, section 6: without the table, two owners can accept
			// different idempotent jobs under one key; one record stays.
			if r.Final != nil && (!o.Idempotent || !r.withoutTable(o)) {
				r.checkRecord(&f, o, r.Final[o.JobID])
			}
		}
		if o.Job == nil {
			continue // refused, or the answer is open
		}
		if o.Job.State.Final() && o.Job.State != structs.JobUnknown {
			continue // it was answered
		}
		if final := r.Final[o.JobID]; r.Final != nil && (final == nil || !final.State.Final()) {
			f.violate("%s: %s was accepted and has no final answer: %+v", o.Name, o.JobID, final)
		}
	}
	f.Violations = append(f.Violations, r.checkKeys()...)
	return f
}

// checkRecord checks that the final record of an accepted job is that of the
// requester's job, and that it confirms an answer with a result. A result that
// was not durable yet can be lost (docs/design.md, section 6, step 5) if its
// owner was without the table and an agent, which held it, ended after that.
func (r *Run) checkRecord(f *Finding, o *Op, final *structs.Job) {
	if final != nil {
		f.checkResult(o, final)
	}
	held := o.Job.Result == nil || o.Job.Result.Durable || !r.withoutTable(o) || !r.agentEnded(o.Call)
	if held && o.Job.State == structs.JobFinished && (final == nil || final.State != structs.JobFinished) {
		f.violate("%s: %s was answered with its result, and its final record is %+v", o.Name, o.JobID, final)
	}
}

// agentEnded reports whether an agent was ended after a time.
func (r *Run) agentEnded(after time.Time) bool {
	return slices.ContainsFunc(r.Faults, func(d *Fault) bool {
		return (d.Kind == Kill || d.Kind == Terminate) && d.Target[0] == 'a' && d.From.After(after)
	})
}

// checkResult checks that the result is the one that the submitted payload gives.
func (f *Finding) checkResult(o *Op, job *structs.Job) {
	if job.State != structs.JobFinished {
		return
	}
	if job.ID != o.JobID || job.Result == nil {
		f.violate("%s: the answer of %s is for %s, result %v", o.Name, o.JobID, job.ID, job.Result != nil)
	} else if !bytes.Equal(job.Result.Data, workerstub.ExpectedResult(o.Spec.Payload, o.JobID, job.Shape.Workers)) {
		f.violate("%s: the result of %s has %d bytes and is not the expected one", o.Name, o.JobID, len(job.Result.Data))
	}
}

func (r *Run) checkNotRun() Finding {
	f := Finding{Promise: 4}
	jobs := r.byJob()
	told := map[string]verdict.Verdict{}
	for _, o := range r.Ops {
		v := o.Verdict()
		if seen, ok := told[o.JobID]; ok {
			v = verdict.Combine(v, seen)
		}
		told[o.JobID] = v
		if o.Job != nil && o.Job.State.Final() && o.Job.Verdict == verdict.NotRun && len(jobs[o.JobID]) > 0 {
			f.violate("%s: the record of %s (%s) said not_run, and the job ran in %d gangs", o.Name, o.JobID, o.Job.State, len(jobs[o.JobID]))
		}
	}
	for id, v := range told {
		if v == verdict.NotRun {
			f.Checked++
			if len(jobs[id]) > 0 {
				f.violate("%s: every answer said not_run, and the job ran in %d gangs", id, len(jobs[id]))
			}
		}
	}
	for _, id := range r.Cancelled {
		f.Checked++
		if len(jobs[id]) > 0 {
			f.violate("%s: the answer to its cancellation said not_run, and the job ran in %d gangs", id, len(jobs[id]))
		}
	}
	for id, job := range r.Final {
		if job != nil && job.State.Final() && job.Verdict == verdict.NotRun && len(jobs[id]) > 0 {
			f.violate("%s: the final record (%s) says not_run, and the job ran in %d gangs", id, job.State, len(jobs[id]))
		}
	}
	return f
}

// checkAtMostOnce counts gangs of non-idempotent jobs. A gang that continues
// from a checkpoint is the same run if nothing of the earlier gang goes on.
func (r *Run) checkAtMostOnce() Finding {
	f := Finding{Promise: 5}
	jobs, seen := r.byJob(), map[string]bool{}
	for _, o := range r.Ops {
		if o.Idempotent || seen[o.JobID] {
			continue
		}
		seen[o.JobID] = true
		f.Checked++
		if n := r.Runs(o.JobID); n > 1 {
			f.violate("non-idempotent %s ran %d times", o.JobID, n)
		}
		var all []Task
		for _, tasks := range jobs[o.JobID] {
			all = append(all, tasks...)
		}
		slices.SortFunc(all, func(a, b Task) int { return a.Start.Compare(b.Start) })
		for i, a := range all {
			for _, b := range all[i+1:] {
				if a.GangID != b.GangID && r.worked(a).After(b.Start) {
					f.violate("non-idempotent %s: gangs %s and %s ran at the same time", o.JobID, a.GangID, b.GangID)
				}
			}
		}
	}
	return f
}

// checkDrain checks that a leaving agent's worker starts nothing, and that a
// leaving entry accepts nothing, after the bound.
func (r *Run) checkDrain() Finding {
	f := Finding{Promise: 6}
	var latest time.Duration
	for _, d := range r.Faults {
		if d.Kind != Terminate {
			continue
		}
		f.Checked++
		after := func(t time.Time) time.Duration {
			if t.After(d.From) && (d.To.IsZero() || t.Before(d.To)) {
				return t.Sub(d.From)
			}
			return 0
		}
		for _, t := range r.Tasks {
			if "worker"+suffix(t.Worker) != "worker"+suffix(d.Target) || d.Target[0] != 'a' {
				continue
			}
			late := after(t.Start)
			if latest = max(latest, late); late > DrainBound {
				f.violate("task of %s started on %s %v after %s was told to leave", t.JobID, t.Worker, late, d.Target)
			}
		}
		for _, q := range r.Requests {
			if q.Entry == d.Target && q.Path == "/v1/jobs" && q.Method == "POST" && after(q.Call) > DrainBound && q.Status/100 == 2 {
				f.violate("%s accepted a job %v after it was told to leave", d.Target, after(q.Call))
			}
		}
	}
	if f.Checked > 0 {
		f.Figure = fmt.Sprintf("(last start on a leaving worker after %d ms)", latest.Milliseconds())
	}
	return f
}

func suffix(name string) string {
	for i, c := range name {
		if c >= '0' && c <= '9' {
			return name[i:]
		}
	}
	return ""
}

// checkShutdown checks that no request through an entry that shut down
// gracefully was cut off. A request that had no connection was not in progress.
func (r *Run) checkShutdown() Finding {
	f := Finding{Promise: 7}
	for _, d := range r.Faults {
		if d.Kind != Terminate || d.Target[0] != 'e' {
			continue
		}
		for _, q := range r.Requests {
			if q.Entry != d.Target || q.Call.After(d.From) && !d.To.IsZero() && q.Call.After(d.To) || q.Return.Before(d.From) {
				continue
			}
			f.Checked++
			if q.Err != nil && q.Connected && !r.during(q.Entry, q.Call, q.Return, Kill, Freeze) {
				f.violate("%s %s through %s, sent %v after its shutdown began, was cut off: %v", q.Method, q.Path, q.Entry, q.Call.Sub(d.From), q.Err)
			}
		}
	}
	return f
}

// checkManifest checks that versions never fall at a process and that an
// accepted version is in force within the bound at every process that runs.
func (r *Run) checkManifest() Finding {
	f := Finding{Promise: 8, Violations: r.checkRegister()}
	newest := map[string]uint64{}
	var worst time.Duration
	reads := slices.Clone(r.Reads)
	slices.SortFunc(reads, func(a, b VersionRead) int { return a.Call.Compare(b.Call) })
	for _, v := range reads {
		f.Checked++
		if v.Version != 0 && v.Version < newest[v.Process] {
			f.violate("%s went from version %d back to %d", v.Process, newest[v.Process], v.Version)
		}
		newest[v.Process] = max(newest[v.Process], v.Version)
		for _, a := range r.Applies {
			late := v.Call.Sub(a.Return)
			if a.Version == 0 || v.Version >= a.Version || late <= 0 {
				continue
			}
			// A process that does not run is told when it runs again.
			if r.during(v.Process, a.Return, v.Call.Add(-ManifestBound), Kill, Terminate, Freeze) ||
				r.during(v.Process, v.Call.Add(-ManifestBound), v.Return, Kill, Terminate, Freeze) {
				continue
			}
			if worst = max(worst, late); late > ManifestBound {
				f.violate("%s had version %d in force %v after version %d was accepted", v.Process, v.Version, late, a.Version)
			}
		}
	}
	if f.Checked > 0 {
		f.Figure = fmt.Sprintf("(an older version was last seen %d ms after acceptance)", worst.Milliseconds())
	}
	return f
}
