package owner

import (
	"context"
	"encoding/json"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// overloadRetryAfter is the retry delay sent with refusals because of overload or
// an unreachable platform.
const overloadRetryAfter = 2 * time.Second

// resubmissionWindow is the time after a takeover in which entries may resubmit
// jobs that the previous owner had accepted without a row. It equals the longest
// wait of a requester, 60 s by default.
const resubmissionWindow = time.Minute

// Submit accepts a job, or returns the existing record under its request key.
// waits is true if the requester waits for the job's end. Errors carry the
// verdict of this submission: NotRun unless the row that accepts the job may have
// been written.
func (o *Owner) Submit(ctx context.Context, spec structs.JobSpec, waits bool) (structs.Job, error) {
	rec, refusal := newRecord(o.cfg.Manifests.Current(), o.cfg.Domain, spec)
	if refusal != nil {
		refusalCounts.Add(string(refusal.Code), 1)
		return structs.Job{}, refusal
	}
	if err := o.awaitAcceptance(ctx, rec.ID); err != nil {
		return structs.Job{}, err
	}
	if found, err := o.existingRecord(&rec); found != nil || err != nil {
		return derefOrZero(found), err
	}
	durable := !rec.Idempotent || !waits
	row, err := o.cfg.Table.Get(ctx, structs.JobRowKey(rec.ID))
	switch {
	case err == nil:
		return o.recordFromRow(&rec, row)
	case verdict.HasCode(err, verdict.CodeNotFound):
	case durable:
		return structs.Job{}, verdict.Refuse(verdict.CodePlatformUnavailable,
			"the job needs a durable record and the platform is out of reach: %v", err).
			WithRetryAfter(overloadRetryAfter)
	}
	j, found, refusal := o.admit(ctx, rec, durable)
	if refusal != nil {
		refusalCounts.Add(string(refusal.Code), 1)
		return structs.Job{}, refusal
	}
	if found {
		return o.Submit(ctx, spec, waits)
	}
	if !durable {
		o.mu.Lock()
		j.rowVersionUnknown = err != nil && !verdict.HasCode(err, verdict.CodeNotFound)
		o.persistAfter(j, writeBehindDelay)
		o.mu.Unlock()
		o.triggerCycle()
		return rec, nil
	}
	return o.accept(ctx, j)
}

func derefOrZero(rec *structs.Job) structs.Job {
	if rec == nil {
		return structs.Job{}
	}
	return *rec
}

// awaitAcceptance waits while another submission under the same key is being made
// durable, because its record is not accepted before that.
func (o *Owner) awaitAcceptance(ctx context.Context, id string) error {
	for {
		o.mu.Lock()
		j := o.jobs[id]
		if j == nil || !j.accepting {
			o.mu.Unlock()
			return nil
		}
		changed := j.changed
		o.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "another submission under the request key is not settled yet")
		}
	}
}

// existingRecord returns the record in memory with the ID of rec, or nil if there
// is none. It returns an error if the record belongs to another job or the owner
// has stopped.
func (o *Owner) existingRecord(rec *structs.Job) (*structs.Job, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return nil, o.notOwner(verdict.NotRun)
	}
	j := o.jobs[rec.ID]
	if j == nil {
		return nil, nil
	}
	if err := checkSameJob(&j.rec, rec); err != nil {
		return nil, err
	}
	found := j.rec
	found.Recorded = j.rowVersion > 0
	return &found, nil
}

// checkSameJob returns a key_reused error if the request key was used with another
// job.
func checkSameJob(have, want *structs.Job) error {
	if have.Digest != "" && have.Digest != want.Digest {
		e := verdict.Refuse(verdict.CodeKeyReused, "request key %q was used with another job", want.Spec.RequestKey)
		e.Field = "requestKey"
		return e.WithRemedy("use a new request key for a new job")
	}
	return nil
}

// notOwner returns the not_owner error for an owner that has stopped or that
// another owner has replaced.
func (o *Owner) notOwner(v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.CodeNotOwner, "this entry does not own domain %q", o.cfg.Domain)
}

// recordFromRow handles a submission whose request key already has a row.
func (o *Owner) recordFromRow(want *structs.Job, row platformclient.Row) (structs.Job, error) {
	var rec structs.Job
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return structs.Job{}, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "row %s: %v", row.Key, err)
	}
	if err := checkSameJob(&rec, want); err != nil {
		return structs.Job{}, err
	}
	rec.Recorded = true
	if rec.State.Final() || rec.Domain != o.cfg.Domain {
		return rec, nil
	}
	// An earlier owner wrote the row, or this one did and the reply was lost.
	adopted := o.adoptRow(rec, row.Version)
	adopted.Recorded = true
	return adopted, nil
}

// admit adds the job to the queue if the limits allow. found is true if another
// submission under the key came first.
func (o *Owner) admit(ctx context.Context, rec structs.Job, durable bool) (j *job, found bool, refusal *verdict.Error) {
	m := o.cfg.Manifests.Current()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return nil, false, o.notOwner(verdict.NotRun)
	}
	if o.draining {
		return nil, false, verdict.Refuse(verdict.CodeDraining, "the owner of the domain is leaving").WithRetryAfter(time.Second)
	}
	if o.jobs[rec.ID] != nil {
		return nil, true, nil
	}
	if refusal := o.checkLimits(m, &rec); refusal != nil {
		return nil, false, refusal
	}
	j = newJob(rec, o.now())
	if d := rec.Spec.DeadlineSeconds; d > 0 {
		j.deadline = j.submitted + structs.Seconds(d)
	}
	j.accepting = durable
	// An earlier owner may have started the job before a row was written.
	j.mayBeRunning = rec.Idempotent && o.cfg.Epoch > 1
	j.span = trace.SpanContextFromContext(ctx)
	o.addJob(j)
	if !durable {
		// Within the window this may be a resubmission of a job that an earlier
		// owner started without writing its row.
		if j.mayHaveRun = o.cfg.Epoch > 1 && o.now() < resubmissionWindow; j.mayHaveRun {
			j.rec.Verdict = verdict.MayHaveRun
		}
		o.linkGang(j)
	}
	if o.isHeld(j) && j.gang == nil {
		jobHolds.Add("agents", 1)
	}
	return j, false, nil
}

// checkLimits returns an error if the job exceeds a limit on waiting jobs or
// payloads. The caller holds o.mu.
func (o *Owner) checkLimits(m *structs.Manifest, rec *structs.Job) *verdict.Error {
	limit := m.Limits.MaxWaiting
	if limit == 0 {
		limit = structs.DefaultMaxWaiting
	}
	accountLimit := limit
	if a := m.Account(rec.Spec.Account); a != nil && a.Quota.MaxWaiting > 0 {
		accountLimit = a.Quota.MaxWaiting
	}
	ofAccount := o.waitingByAccount[rec.Spec.Account]
	waiting := 0
	for _, n := range o.waitingByAccount {
		waiting += n
	}
	switch {
	case ofAccount >= accountLimit:
		return verdict.Refuse(verdict.CodeOverloaded, "client account %q has %d waiting jobs, its limit", rec.Spec.Account, ofAccount).WithRetryAfter(overloadRetryAfter)
	case waiting >= limit:
		return verdict.Refuse(verdict.CodeOverloaded, "domain %q has %d waiting jobs, its limit", o.cfg.Domain, waiting).WithRetryAfter(overloadRetryAfter)
	case o.payloadBytes+len(rec.Spec.Payload) > maxPayloadBytes:
		return verdict.Refuse(verdict.CodeOverloaded, "payloads of unfinished jobs exceed %d bytes", maxPayloadBytes).WithRetryAfter(overloadRetryAfter)
	}
	return nil
}

// accept writes the row that makes the job durable, and then lets the job be
// placed.
func (o *Owner) accept(ctx context.Context, j *job) (structs.Job, error) {
	o.mu.Lock()
	value := encodeRow(&j.rec)
	o.mu.Unlock()
	absent := uint64(0)
	version, err := o.writeFenced(ctx, structs.JobRowKey(j.rec.ID), value, absent)
	if verdict.HasCode(err, verdict.CodeConflict) {
		return o.resolveAcceptConflict(ctx, j)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if verdict.HasCode(err, verdict.CodeStaleEpoch) {
		// The entry submits the job again to the next owner.
		e := o.notOwner(verdict.Of(err))
		o.removeJob(j, e)
		return structs.Job{}, e
	}
	if err != nil {
		// Nothing was placed. If the row was written despite the error, the next
		// submission under the key or the next owner adopts it.
		e := verdict.New(verdict.Of(err), verdict.CodePlatformUnavailable, "the record of the job could not be written: %v", err).
			WithRetryAfter(overloadRetryAfter)
		o.removeJob(j, e)
		return structs.Job{}, e
	}
	j.accepting = false
	j.rowVersion = version
	if j.mayBeRunning {
		o.linkGang(j)
	}
	j.notifyWaiters()
	o.triggerCycle()
	accepted := j.rec
	accepted.Recorded = true
	return accepted, nil
}

// resolveAcceptConflict handles a submission whose request key was accepted
// through another entry at the same time.
func (o *Owner) resolveAcceptConflict(ctx context.Context, j *job) (structs.Job, error) {
	o.mu.Lock()
	o.removeJob(j, verdict.Refuse(verdict.CodeConflict, "request key %q was accepted at the same time", j.rec.Spec.RequestKey))
	want := j.rec
	o.mu.Unlock()
	row, err := o.cfg.Table.Get(ctx, structs.JobRowKey(want.ID))
	if err != nil {
		return structs.Job{}, verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "the record under the request key could not be read: %v", err)
	}
	return o.recordFromRow(&want, row)
}

// removeJob removes a job that was not accepted. The caller holds o.mu.
func (o *Owner) removeJob(j *job, cause *verdict.Error) {
	o.updateQueue(j, -1)
	o.payloadBytes -= len(j.rec.Spec.Payload)
	if o.jobs[j.rec.ID] == j {
		delete(o.jobs, j.rec.ID)
	}
	j.rec.State, j.rec.Verdict, j.rec.Error = structs.JobRefused, cause.Verdict, cause
	j.notifyWaiters()
}

// encodeRow encodes the row of a job record. Large results are left out; they are
// in the object store.
func encodeRow(rec *structs.Job) []byte {
	row := *rec
	if row.Result != nil {
		r := *row.Result
		if r.Object != "" {
			r.Data = nil
		}
		r.Durable = true
		row.Result = &r
	}
	data, err := json.Marshal(&row)
	if err != nil {
		return nil // a Job always marshals
	}
	return data
}
