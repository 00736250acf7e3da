package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// mergeFilter makes concurrent requests for the same job share one submission.
func (s *Server) mergeFilter(next handler) handler {
	return func(x *exchange) error {
		x.submission.send = s.sendMerged
		return next(x)
	}
}

// sendMerged submits the job once for all concurrent requests for it. Requests
// with the same request key but a different job are not merged; the owner refuses
// them.
func (s *Server) sendMerged(ctx context.Context, sub *submission, waits bool) (*structs.Job, error) {
	mergeKey, err := sub.mergeKey(waits)
	if err != nil {
		return nil, err
	}
	if s.backgroundCalls.Load() > int64(2*s.cfg.MaxInFlight) {
		return nil, verdict.Refuse(verdict.CodeOverloaded, "the entry has too many submissions in progress").WithRetryAfter(time.Second)
	}
	for {
		first := false
		submitted := s.submissions.DoChan(mergeKey, func() (any, error) {
			first = true
			return s.submitShared(ctx, sub, waits)
		})
		select {
		case r := <-submitted:
			if r.Err == nil {
				if r.Shared && !first {
					metrics.Add("merges", 1)
				}
				job := *r.Val.(*structs.Job)
				return &job, nil
			}
			// The shared submission ended at the deadline of the request that started
			// it, and the job was not run. This request may have more time.
			if !first && ctx.Err() == nil && verdict.HasCode(r.Err, verdict.CodeUnavailable) && verdict.Of(r.Err) == verdict.NotRun {
				continue
			}
			return nil, r.Err
		case <-s.waitsEnded:
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeDraining, "the entry left before an owner accepted the job")
		case <-ctx.Done():
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no owner accepted the job in time")
		}
	}
}

// submitShared submits the job for all requests that share the submission. It
// continues if the client of the first request disconnects. It ends shortly
// before the deadline of that request, so that the outcome is known when the
// response is written.
func (s *Server) submitShared(ctx context.Context, sub *submission, waits bool) (*structs.Job, error) {
	s.backgroundCalls.Add(1)
	defer s.backgroundCalls.Add(-1)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(s.cfg.SubmitTimeout)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(-replyMargin/2))
	defer cancel()
	ctx, cancelDrain := s.drainContext(ctx)
	defer cancelDrain()
	return s.submit(ctx, sub, waits)
}

// mergeKey identifies submissions that may be shared. Requests that wait and
// requests that do not are kept apart: an owner may accept the job of a waiting
// request before its record is durable.
func (sub *submission) mergeKey(waits bool) (string, error) {
	spec, err := json.Marshal(sub.spec)
	if err != nil {
		return "", verdict.Refuse(verdict.CodeBadRequest, "%v", err)
	}
	sum := sha256.Sum256(spec)
	return fmt.Sprintf("%s/%x/%t", structs.JobID(sub.spec.Account, sub.requestKey), sum, waits), nil
}
