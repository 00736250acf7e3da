package entry

import (
	"context"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// callTimeout limits one call to an owner, so that the request still has time for
// the next owner if this one is frozen.
const callTimeout = 5 * time.Second

// submit submits the job to the owner of one of its domains and returns the
// record. It tries the domains in order and retries until ctx ends.
//
// A job that is not idempotent is not submitted again once an attempt may have
// run; the caller then looks it up. The verdict of the error covers all attempts:
// it is NotRun only if none of them can have run.
func (s *Server) submit(ctx context.Context, sub *submission, waits bool) (*structs.Job, error) {
	failed := failedOwners{}
	combined := verdict.NotRun
	for round := 0; ; round++ {
		lastErr := verdict.Refuse(verdict.CodeUnavailable, "no domain of the account has an owner").WithRetryAfter(time.Second)
		retryable := false
		for _, domain := range sub.domains {
			owner, ok := s.ownerOf(domain)
			if !ok {
				retryable = true
				continue
			}
			job, err := s.submitTo(ctx, owner, domain, sub, waits)
			if err == nil {
				return job, nil
			}
			lastErr = verdict.From(err)
			combined = verdict.Combine(combined, lastErr.Verdict)
			failed[domain] = owner
			switch {
			case combined == verdict.Ran, combined != verdict.NotRun && !sub.idempotent:
				return nil, lastErr.WithVerdict(combined)
			case lastErr.Verdict != verdict.NotRun || retryAtOtherOwner(lastErr.Code):
				retryable = true
			case !retryInOtherDomain(lastErr.Code):
				return nil, lastErr.WithVerdict(combined)
			}
		}
		if !retryable || !s.waitForRetry(ctx, failed, sub.domains, round) {
			return nil, lastErr.WithVerdict(combined)
		}
	}
}

// retryAtOtherOwner reports whether another owner of the domain may accept a call
// that failed with the code.
func retryAtOtherOwner(code verdict.Code) bool {
	switch code {
	case verdict.CodeNotOwner, verdict.CodeUnavailable, verdict.CodeDraining, verdict.CodeStaleEpoch:
		return true
	}
	return false
}

// retryInOtherDomain reports whether another domain may accept a job that was
// refused with the code.
func retryInOtherDomain(code verdict.Code) bool {
	return code == verdict.CodeOverloaded || code == verdict.CodeNeverFits
}

// submitTo makes one attempt to submit the job to an owner.
func (s *Server) submitTo(ctx context.Context, owner structs.Owner, domain string, sub *submission, waits bool) (*structs.Job, error) {
	s.retryBudget.RecordRequest()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// Each call has its own reply value, because net/rpc writes into it even if the
	// reply arrives after the call has timed out.
	reply := &structs.JobReply{}
	args := &structs.SubmitArgs{Domain: domain, Spec: sub.spec, Waits: waits}
	if err := s.cfg.Caller.Call(ctx, owner.Addr, "Domain.Submit", args, reply); err != nil {
		return nil, err
	}
	if id := structs.JobID(sub.spec.Account, sub.requestKey); reply.Job.ID != id {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the owner answered for another job")
	}
	return &reply.Job, nil
}
