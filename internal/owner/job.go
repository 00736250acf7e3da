package owner

import (
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// job is the owner's record of a job. Its fields are guarded by Owner.mu.
type job struct {
	rec structs.Job
	// rowVersion is the version of the job's row as last written or read, or 0 if
	// there is no row. rowVersionUnknown is true if the row has to be read before
	// the next conditional write.
	rowVersion        uint64
	rowVersionUnknown bool

	// dirty is true if the record is newer than the row. writerRunning is true
	// while a goroutine writes the row; closing writeNow, if not nil, ends the
	// goroutine's initial delay. storingObject is true while the result or
	// checkpoint is being written to the object store; the job is not placed
	// meanwhile.
	dirty, writerRunning, storingObject bool
	writeNow                            chan struct{}

	// submitted and deadline are on the owner's clock; deadline 0 means none.
	submitted time.Duration
	deadline  time.Duration
	// notBefore delays the next attempt after a refused placement or a failed
	// attempt.
	notBefore time.Duration
	// avoid lists the workers on which an attempt failed.
	avoid       []string
	reservation *structs.Reservation
	// forecast is the start estimate that will be judged, or nil.
	forecast *startForecast
	// gang is the current attempt while it occupies accelerators.
	gang *gang
	// accepting is true while the row that accepts the job is being written.
	accepting bool
	// recovered is true if a new owner read the job from its row.
	recovered       bool
	cancelRequested bool
	// mayBeRunning is true if an attempt of an idempotent job under an earlier
	// owner may still be running on agents that have not announced themselves.
	mayBeRunning bool
	// mayHaveRun is true if an attempt may have run, under this or an earlier
	// owner, including attempts that do not count in rec.Attempt. The verdict is
	// then never NotRun.
	mayHaveRun bool
	checkpoint []byte
	// span is the span of the submission. The spans of each attempt belong to its
	// trace.
	span trace.SpanContext

	// changed is closed and replaced when the record changes.
	changed chan struct{}
}

func newJob(rec structs.Job, now time.Duration) *job {
	return &job{rec: rec, submitted: now, changed: make(chan struct{})}
}

// notifyWaiters wakes the callers that wait for a change of the record.
func (j *job) notifyWaiters() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// queued reports whether the job waits for a placement.
func (j *job) queued() bool {
	return j.rec.State == structs.JobWaiting && j.gang == nil && !j.accepting && !j.storingObject
}

// newRecord returns the record of a new job with the properties of its kind,
// overridden by those of the spec. It returns an error if the manifest does not
// allow the spec.
func newRecord(m *structs.Manifest, domain string, spec structs.JobSpec) (structs.Job, *verdict.Error) {
	if m == nil {
		return structs.Job{}, verdict.Refuse(verdict.CodeUnavailable, "no manifest is in force yet").
			WithRetryAfter(time.Second)
	}
	account, kind := m.Account(spec.Account), m.Kind(spec.Kind)
	if account == nil {
		e := verdict.Refuse(verdict.CodeUnknownAccount, "client account %q is not in manifest version %d", spec.Account, m.Version)
		e.Field = "account"
		return structs.Job{}, e
	}
	if kind == nil {
		e := verdict.Refuse(verdict.CodeUnknownKind, "job kind %q is not in manifest version %d", spec.Kind, m.Version)
		e.Field = "kind"
		return structs.Job{}, e
	}
	rec := structs.Job{
		ID: structs.JobID(spec.Account, spec.RequestKey), Domain: domain, Spec: spec,
		Digest: spec.Digest(), Shape: kind.Shape, RunSeconds: kind.RunSeconds,
		Idempotent: kind.Idempotent, Checkpointable: kind.Checkpointable,
		Urgency: kind.Urgency, MaxAttempts: kind.Attempts,
		State: structs.JobWaiting, Verdict: verdict.NotRun, SubmittedAt: time.Now().UTC(),
	}
	applySpecOverrides(&rec, spec)
	return rec, nil
}

func applySpecOverrides(rec *structs.Job, spec structs.JobSpec) {
	if spec.Shape != nil {
		rec.Shape = *spec.Shape
	}
	if rec.Shape.Adjacency == "" {
		rec.Shape.Adjacency = structs.AdjacentNone
	}
	if spec.RunSeconds > 0 {
		rec.RunSeconds = spec.RunSeconds
	}
	if spec.Idempotent != nil {
		rec.Idempotent = *spec.Idempotent
	}
	if spec.Checkpointable != nil {
		rec.Checkpointable = *spec.Checkpointable
	}
	if rec.MaxAttempts == 0 {
		rec.MaxAttempts = structs.DefaultAttempts
	}
}

// setState changes the state, verdict and error of j and wakes its waiters. If an
// attempt may have run, the verdict NotRun is changed to MayHaveRun, in the error too.
// If j already has the state and verdict, setState does nothing. The caller holds o.mu.
func (o *Owner) setState(j *job, state structs.JobState, v verdict.Verdict, cause *verdict.Error) {
	if j.mayHaveRun && v == verdict.NotRun {
		v = verdict.MayHaveRun
		if cause != nil {
			cause = cause.WithVerdict(v)
		}
	}
	if j.rec.State == state && j.rec.Verdict == v {
		return
	}
	jobsByState.Add(string(state), 1)
	o.updateQueue(j, -1)
	j.rec.State, j.rec.Verdict, j.rec.Error = state, v, cause
	o.updateQueue(j, 1)
	if state.Final() {
		j.rec.EndedAt = time.Now().UTC()
		j.reservation = nil
		o.withdrawForecast(j)
		o.endJob(j)
	}
	j.notifyWaiters()
}

// addJob registers a job that is not known yet. The caller holds o.mu.
func (o *Owner) addJob(j *job) {
	o.jobs[j.rec.ID] = j
	o.payloadBytes += len(j.rec.Spec.Payload)
	o.updateQueue(j, 1)
	jobsByState.Add(string(j.rec.State), 1)
}

// updateQueue adds n, 1 or -1, to the waiting jobs of the account if j waits, and
// adds j to the queue or removes it. The caller holds o.mu.
func (o *Owner) updateQueue(j *job, n int) {
	if j.rec.State != structs.JobWaiting {
		return
	}
	o.waitingByAccount[j.rec.Spec.Account] += n
	if n > 0 {
		o.queue[j.rec.ID] = j
	} else if o.queue[j.rec.ID] == j {
		delete(o.queue, j.rec.ID)
	}
}

// endJob frees the payload and checkpoint of an ended job and enters it into the
// list of ended jobs. The caller holds o.mu.
func (o *Owner) endJob(j *job) {
	o.payloadBytes -= len(j.rec.Spec.Payload)
	j.rec.Spec.Payload = nil
	j.checkpoint = nil
	o.endedJobs.add(j)
	o.evictEnded()
}

// endedList lists ended jobs in the order of their end.
type endedList struct {
	jobs  []*job
	bytes int
}

func resultBytes(j *job) int {
	if j.rec.Result == nil {
		return 0
	}
	return len(j.rec.Result.Data)
}

func (l *endedList) add(j *job) {
	l.jobs = append(l.jobs, j)
	l.bytes += resultBytes(j)
}

// evictEnded removes the oldest ended jobs while the memory limits are exceeded.
// A job whose row is not written yet is kept, because its outcome is stored
// nowhere else. The caller holds o.mu.
func (o *Owner) evictEnded() {
	for len(o.endedJobs.jobs) > maxEndedJobs || o.endedJobs.bytes > maxEndedBytes {
		oldest := o.endedJobs.jobs[0]
		if oldest.dirty || oldest.storingObject {
			return
		}
		o.endedJobs.jobs = o.endedJobs.jobs[1:]
		o.endedJobs.bytes -= resultBytes(oldest)
		if o.jobs[oldest.rec.ID] == oldest {
			delete(o.jobs, oldest.rec.ID)
		}
	}
}
