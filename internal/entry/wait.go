package entry

import (
	"context"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

const (
	// recordWriteWait is how long a request waits beyond its wait time for the
	// job's record to become durable. Owners write some records with a delay of
	// 200 ms.
	recordWriteWait = 300 * time.Millisecond
	// maxRecordWriteWaits limits how often a request waits for recordWriteWait.
	maxRecordWriteWaits = 2
	// jobPollWait limits how long one call waits at the owner for a final state.
	jobPollWait = 3 * time.Second
	// jobPollMargin is added to the wait of a call to get its timeout, after which
	// the owner counts as failed.
	jobPollMargin = time.Second
	// recordReadsPerSecond limits the reads of durable records by this entry. The
	// platform serves about 2,000 reads a second for all its clients together.
	recordReadsPerSecond = 500
	recordReadsBurst     = 100
)

// jobWaiter is the state of one request that waits for a job.
type jobWaiter struct {
	id      string
	domains []string
	// sub is set only if the request submitted the job.
	sub *submission
	// job is the last record received, or nil.
	job *structs.Job
	// confirmed says that the last query of the owners returned job.
	confirmed bool
	// err is the error of the last attempt.
	err              error
	failed           failedOwners
	recordWriteWaits int
}

// waitForJob returns the job's record as soon as its state is final, or the
// current record at the time until. If an owner is lost it retries with the next
// owner until ctx ends. An idempotent job that this request submitted is then
// submitted again; any other job is only looked up. The verdict of the error is
// never NotRun.
func (s *Server) waitForJob(ctx context.Context, w *jobWaiter, until time.Time) (*structs.Job, error) {
	ctx, cancel := s.drainContext(ctx)
	defer cancel()
	w.failed = failedOwners{}
	for round := 0; ; round++ {
		wait := min(time.Until(until), jobPollWait)
		unrecorded := w.confirmed && wait <= 0 && !w.job.State.Final() && !w.job.Recorded && w.sub != nil
		if unrecorded && w.recordWriteWaits < maxRecordWriteWaits {
			w.recordWriteWaits++
			wait, unrecorded = recordWriteWait, false
		}
		if unrecorded {
			// After the response no entry would submit the job again if its owner is
			// lost, so the job must not be reported as accepted.
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "the job waits or runs, and its record is not durable yet").
				WithRemedy("ask again with the same job ID, or submit again with the same request key")
		}
		if w.confirmed && (w.job.State.Final() || wait <= 0) {
			return w.job, nil
		}
		if ctx.Err() != nil {
			return s.outcomeAtTimeout(w)
		}
		wasConfirmed := w.confirmed
		w.err = s.queryOwners(ctx, w, max(0, wait))
		if w.confirmed = w.err == nil; w.confirmed {
			round = 0
			continue
		}
		if wasConfirmed && ctx.Err() != nil {
			// ctx ended during the call. The record was confirmed just before it.
			return w.job, nil
		}
		if job, err := s.resubmitOrReadRecord(ctx, w, until); job != nil || err != nil {
			return job, err
		}
		if !w.confirmed && !s.waitForRetry(ctx, w.failed, w.domains, round) {
			return s.outcomeAtTimeout(w)
		}
	}
}

// resubmitOrReadRecord is called when no owner returned the record. An idempotent
// job of this request is submitted again once every owner has replied not_found;
// the owner first looks for a durable record. For any other job, and if the
// resubmission fails, the durable record is read here. The result is nil, nil if
// the outcome is still open.
func (s *Server) resubmitOrReadRecord(ctx context.Context, w *jobWaiter, until time.Time) (*structs.Job, error) {
	notFound := verdict.HasCode(w.err, verdict.CodeNotFound)
	if w.sub != nil && w.sub.idempotent {
		if !notFound {
			// An owner did not reply. Its successor will know whether it has the job,
			// which saves a read of the durable record.
			return nil, nil
		}
		metrics.Add("resubmissions", 1)
		resubmitted, err := w.sub.send(ctx, w.sub, true)
		if err == nil {
			w.setRecord(resubmitted)
			// If the record is final it is queried again, with its result.
			w.confirmed = !resubmitted.State.Final()
			return nil, nil
		}
		w.err = err
	}
	record, err := s.readRecord(ctx, w.id)
	switch {
	case err == nil:
		w.setRecord(record)
		if record.State.Final() || w.sub == nil && time.Until(until) <= 0 {
			return record, nil
		}
	case w.sub == nil && notFound && verdict.HasCode(err, verdict.CodeNotFound):
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "no such job")
	case notFound && (w.sub == nil || !w.sub.idempotent):
		w.err = err
	}
	return nil, nil
}

// setRecord sets the last known record, and restricts further queries to its
// domain.
func (w *jobWaiter) setRecord(job *structs.Job) {
	w.job = job
	if job.Domain != "" {
		w.domains = []string{job.Domain}
	}
}

// outcomeAtTimeout returns what can be said of the job when the request's time is
// over: the record if it is up to date or the request only asked for it, or else an
// error that says that the outcome is not known.
func (s *Server) outcomeAtTimeout(w *jobWaiter) (*structs.Job, error) {
	if w.confirmed || w.sub == nil && w.job != nil {
		return w.job, nil
	}
	e := verdict.From(w.err)
	if e == nil {
		e = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the owner did not answer in time")
	}
	if e.Verdict == verdict.NotRun {
		// The last attempt was refused, but an earlier one was accepted or its reply
		// was lost.
		e = e.WithVerdict(verdict.MayHaveRun)
	}
	if e.Code == verdict.CodeInternal {
		return nil, e
	}
	c := *e
	c.Code = verdict.CodeUnavailable
	c.Message = "the outcome of the job is not known: " + e.Message
	c.Remedy = "ask again with the same job ID, or submit again with the same request key"
	return nil, &c
}

// queryOwners queries the owners of the domains for the record, one after the
// other. The error has the code not_found only if every owner replied not_found.
func (s *Server) queryOwners(ctx context.Context, w *jobWaiter, wait time.Duration) error {
	var lastErr error
	for _, domain := range w.domains {
		owner, ok := s.ownerOf(domain)
		if !ok {
			lastErr = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the domain %s has no owner", domain)
			continue
		}
		job, err := s.queryOwner(ctx, owner, domain, w.id, wait)
		if err == nil {
			w.setRecord(job)
			w.domains = []string{domain}
			return nil
		}
		w.failed[domain] = owner
		if !verdict.HasCode(err, verdict.CodeNotFound) {
			lastErr = err
		}
	}
	if lastErr != nil {
		return lastErr
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "no owner has the job %s", w.id)
}

// queryOwner calls one owner, which replies when the job's state is final or wait
// has passed.
func (s *Server) queryOwner(ctx context.Context, owner structs.Owner, domain, id string, wait time.Duration) (*structs.Job, error) {
	s.retryBudget.RecordRequest()
	ctx, cancel := context.WithTimeout(ctx, wait+jobPollMargin)
	defer cancel()
	reply := &structs.JobReply{}
	args := &structs.JobArgs{Domain: domain, ID: id, Wait: wait, WithResult: true}
	if err := s.cfg.Caller.Call(ctx, owner.Addr, "Domain.Job", args, reply); err != nil {
		return nil, err
	}
	return &reply.Job, s.completeResult(ctx, id, &reply.Job)
}

// readRecord reads and verifies the durable record.
func (s *Server) readRecord(ctx context.Context, id string) (*structs.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.recordReadLimiter.Wait(ctx); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded, "too many reads of job records: %v", err)
	}
	job, err := s.cfg.Records.Job(ctx, id)
	if err != nil {
		return nil, err
	}
	return job, checkRecord(id, job)
}

// completeResult verifies an owner's reply. If the owner does not hold the result
// in memory, it is taken from the durable record.
func (s *Server) completeResult(ctx context.Context, id string, job *structs.Job) error {
	if job.ID == id && job.Result != nil && job.Result.Data == nil && job.Result.Length > 0 && job.Result.Object != "" {
		record, err := s.readRecord(ctx, id)
		if err != nil {
			return verdict.From(err).WithVerdict(verdict.Ran)
		}
		if record.Result != nil && record.Result.SHA256 == job.Result.SHA256 {
			job.Result = record.Result
		}
	}
	return checkRecord(id, job)
}

// checkRecord verifies that the record belongs to the job and that the result of
// a finished job is complete, by its length and checksum.
func checkRecord(id string, job *structs.Job) error {
	if job.ID != id {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the answer is for another job")
	}
	if job.State != structs.JobFinished {
		return nil
	}
	if job.Result == nil {
		return verdict.New(verdict.Ran, verdict.CodeInternal, "the job has finished, but the answer has no result")
	}
	return job.Result.Check()
}
