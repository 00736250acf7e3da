package owner

import (
	"cmp"
	"context"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// maxListedJobs limits the number of jobs in one view.
const maxListedJobs = 1000

// recoveryRetryAfter is the retry delay sent while the owner recovers and does
// not know all its jobs yet.
const recoveryRetryAfter = 500 * time.Millisecond

// Job returns the record of a job, as soon as the job has ended or wait is over.
// Errors: not_found and not_owner, both MayHaveRun because the table may have a
// record of the job.
func (o *Owner) Job(ctx context.Context, id string, wait time.Duration, withResult bool) (structs.Job, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		o.mu.Lock()
		j := o.jobs[id]
		stopped, recovering := o.stopped, o.recovering
		var rec structs.Job
		var changed chan struct{}
		if j != nil {
			rec, changed = j.rec, j.changed
			rec.Recorded = j.rowVersion > 0
			if wait <= 0 && !rec.Recorded && j.writeNow != nil {
				close(j.writeNow) // so that the next call finds the row
				j.writeNow = nil
			}
			if !o.canReportState(j) {
				rec.State, rec.Verdict, rec.Error = structs.JobWaiting, verdict.MayHaveRun, nil
			}
		}
		o.mu.Unlock()
		switch {
		case stopped:
			return structs.Job{}, o.notOwner(verdict.MayHaveRun)
		case j == nil && recovering && wait > 0:
			changed = o.recovered
		case j == nil && recovering:
			return structs.Job{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "domain %q is recovering", o.cfg.Domain).WithRetryAfter(recoveryRetryAfter)
		case j == nil:
			return structs.Job{}, verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "domain %q has no job %q in memory", o.cfg.Domain, id)
		case rec.State.Final() || wait <= 0:
			return o.attachResult(ctx, rec, withResult)
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			wait = 0
		case <-o.ctx.Done():
		}
	}
}

// canReportState reports whether the state of a job may be shown to callers. A
// job that ended as not run is withheld until its row says so: a new owner that
// takes over before then would start it. The caller holds o.mu.
func (o *Owner) canReportState(j *job) bool {
	inRow := j.rowVersion > 0 || j.rowVersionUnknown
	return !j.rec.State.Final() || j.rec.Verdict != verdict.NotRun || !j.dirty || !inRow
}

// awaitReportable waits until the ended states of cancelled jobs may be reported.
// It returns those that are recorded as not run, and separately those that are
// not recorded when ctx ends or may have run under an earlier owner.
func (o *Owner) awaitReportable(ctx context.Context, ids []string) (recorded, unresolved []string) {
	for _, id := range ids {
		for {
			o.mu.Lock()
			j := o.jobs[id]
			done, stopped := j == nil || o.canReportState(j), o.stopped
			ran := j != nil && j.rec.Verdict != verdict.NotRun
			var changed chan struct{}
			if j != nil {
				changed = j.changed
			}
			o.mu.Unlock()
			if done && !stopped && !ran {
				recorded = append(recorded, id)
				break
			}
			if stopped || ran || ctx.Err() != nil {
				unresolved = append(unresolved, id)
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
	return recorded, unresolved
}

// attachResult returns rec without the payload, and with the data of the result if
// includeData is set. It reads a large result from the object store.
func (o *Owner) attachResult(ctx context.Context, rec structs.Job, includeData bool) (structs.Job, error) {
	rec.Spec.Payload = nil
	if rec.Result == nil {
		return rec, nil
	}
	r := *rec.Result
	rec.Result = &r
	if !includeData {
		r.Data = nil
		return rec, nil
	}
	if r.Data == nil && r.Object != "" {
		data, err := o.cfg.Objects.GetObject(ctx, r.Object)
		if err != nil {
			return structs.Job{}, verdict.From(err).WithVerdict(verdict.Ran)
		}
		r.Data = data
	}
	return rec, r.Check()
}

// View returns the state of the domain for operators.
func (o *Owner) View(args *structs.ViewArgs) (structs.DomainView, error) {
	m := o.cfg.Manifests.Current()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return structs.DomainView{}, o.notOwner(verdict.NotRun)
	}
	v := structs.DomainView{
		Domain:          o.cfg.Domain,
		Owner:           structs.Owner{Domain: o.cfg.Domain, EntryID: o.cfg.EntryID, Addr: o.cfg.Addr, Epoch: o.cfg.Epoch},
		Recovering:      o.recovering,
		ManifestVersion: o.cfg.Manifests.Version(),
		PlatformState:   string(o.cfg.Health()),
		Workers:         o.workerViews(),
		Queue:           o.queueViews(),
		Accounts:        o.accountViews(m),
	}
	if args.Limit > 0 {
		v.Jobs = o.listJobs(args)
	}
	if args.JobID != "" {
		v.Explain = o.explain(args.JobID, v.Queue)
	}
	return v, nil
}

// workerViews describes the known workers. The caller holds o.mu.
func (o *Owner) workerViews() []structs.WorkerView {
	now := o.now()
	views := make([]structs.WorkerView, 0, len(o.agents))
	for _, w := range o.workerSnapshots() {
		a := o.agents[w.ID]
		view := structs.WorkerView{
			ID: w.ID, Zone: w.Zone, Rack: w.Rack, Class: w.Class, State: w.State,
			Accelerators: make([]string, w.Accelerators), SlotsUsed: w.SlotsUsed, Slots: w.Slots,
			HeartbeatAgeMS:  o.heartbeatAge(w.ID, now).Milliseconds(),
			ManifestVersion: a.manifestVersion, Failures: o.health.Failures(now, w.ID),
		}
		for _, g := range o.gangs {
			for _, member := range g.desc.Members {
				if member.AgentID == w.ID {
					fillAccelerators(view.Accelerators, member.Accelerators, g.desc.ID)
				}
			}
		}
		views = append(views, view)
	}
	return views
}

// fillAccelerators sets the entries of the accelerators in mask to gangID.
func fillAccelerators(names []string, mask uint64, gangID string) {
	for ; mask != 0; mask &= mask - 1 {
		if i := bits.TrailingZeros64(mask); i < len(names) {
			names[i] = gangID
		}
	}
}

// queueViews describes the waiting jobs, those that have waited longest first. The
// caller holds o.mu.
func (o *Owner) queueViews() []structs.QueueView {
	now := o.now()
	queue := []structs.QueueView{}
	shared := o.sharedReasons()
	for _, j := range o.queue {
		queue = append(queue, structs.QueueView{
			ID: j.rec.ID, Account: j.rec.Spec.Account, Kind: j.rec.Spec.Kind, Shape: j.rec.Shape,
			WaitSeconds: (now - j.submitted).Seconds(), Reason: o.waitReason(j, shared), Reserved: j.reservation != nil,
		})
	}
	slices.SortFunc(queue, func(a, b structs.QueueView) int {
		return cmp.Or(cmp.Compare(b.WaitSeconds, a.WaitSeconds), cmp.Compare(a.ID, b.ID))
	})
	return queue
}

// jobClass identifies jobs that the scheduler treats alike.
type jobClass struct {
	account, kind string
	shape         structs.Shape
}

func classOf(j *job) jobClass {
	return jobClass{j.rec.Spec.Account, j.rec.Spec.Kind, j.rec.Shape}
}

// sharedReasons returns the wait reasons of the last cycle by job class. The
// scheduler does not consider a job behind an equal one that did not fit, so that
// job shares the other's reason. The caller holds o.mu.
func (o *Owner) sharedReasons() map[jobClass]structs.WaitReason {
	shared := map[jobClass]structs.WaitReason{}
	for id, reason := range o.waitReasons {
		if j := o.jobs[id]; j != nil {
			shared[classOf(j)] = reason
		}
	}
	return shared
}

// waitReason returns why a job waits. The caller holds o.mu.
func (o *Owner) waitReason(j *job, shared map[jobClass]structs.WaitReason) structs.WaitReason {
	switch {
	case o.recovering, o.isHeld(j) && o.waitReasons[j.rec.ID] == "":
		return structs.WaitRecovery
	case !j.rec.Idempotent && o.cfg.Health() == platformclient.HealthDown:
		return structs.WaitPlatform
	case o.waitReasons[j.rec.ID] != "":
		return o.waitReasons[j.rec.ID]
	default:
		return shared[classOf(j)]
	}
}

// accountViews describes the accounts whose jobs may run in the domain. The caller
// holds o.mu.
func (o *Owner) accountViews(m *structs.Manifest) []structs.AccountView {
	views := []structs.AccountView{}
	if m == nil {
		return views
	}
	used, running := map[string]int{}, map[string]int{}
	for _, g := range o.gangs {
		running[g.account]++
		for _, member := range g.desc.Members {
			used[g.account] += bits.OnesCount64(member.Accelerators)
		}
	}
	for _, a := range m.Accounts {
		if !slices.Contains(a.Domains, o.cfg.Domain) {
			continue
		}
		v := structs.AccountView{Name: a.Name, Used: used[a.Name], Running: running[a.Name], Waiting: o.waitingByAccount[a.Name]}
		for _, g := range a.Guarantee {
			if cmp.Or(g.Domain, a.Domains[0]) == o.cfg.Domain {
				v.Guaranteed += g.Shape.Total() * max(g.Count, 1)
			}
		}
		v.Borrowed = max(v.Used-v.Guaranteed, 0)
		views = append(views, v)
	}
	return views
}

// listJobs returns the selected jobs, newest first, without payloads and result
// data. The caller holds o.mu.
func (o *Owner) listJobs(args *structs.ViewArgs) []structs.Job {
	var jobs []structs.Job
	for _, j := range o.jobs {
		if (args.Account == "" || j.rec.Spec.Account == args.Account) && (args.State == "" || j.rec.State == args.State) {
			rec := j.rec
			rec.Spec.Payload = nil
			if rec.Result != nil {
				r := *rec.Result
				r.Data = nil
				rec.Result = &r
			}
			jobs = append(jobs, rec)
		}
	}
	slices.SortFunc(jobs, func(a, b structs.Job) int {
		return cmp.Or(b.SubmittedAt.Compare(a.SubmittedAt), cmp.Compare(a.ID, b.ID))
	})
	return jobs[:min(len(jobs), args.Limit, maxListedJobs)]
}

// explain describes the state of a job and why it waits, or returns nil if the
// job is not known. The caller holds o.mu.
func (o *Owner) explain(id string, queue []structs.QueueView) *structs.ExplainView {
	j := o.jobs[id]
	if j == nil {
		return nil
	}
	e := &structs.ExplainView{Job: j.rec, Reservation: j.reservation}
	e.Job.Spec.Payload = nil
	e.Job.Result = nil
	switch {
	case j.accepting:
		e.Detail = "its record is being written"
	case j.rec.State == structs.JobWaiting:
		e.Reason = o.waitReason(j, o.sharedReasons())
		e.Position = 1 + slices.IndexFunc(queue, func(q structs.QueueView) bool { return q.ID == id })
		e.Start = o.estimateStart(j)
		p50, p90 := o.runtimes.Quantiles(j.rec.Spec.Account, j.rec.Spec.Kind, structs.Seconds(j.rec.RunSeconds))
		e.Detail = fmt.Sprintf("declared %.1f s, learned p50 %.1f s, p90 %.1f s, %d preemptions, avoids %v", j.rec.RunSeconds, p50.Seconds(), p90.Seconds(), j.rec.Preemptions, j.avoid)
	case j.gang != nil:
		e.Detail = fmt.Sprintf("gang %s on %d workers", j.gang.desc.ID, len(j.gang.desc.Members))
	}
	return e
}
