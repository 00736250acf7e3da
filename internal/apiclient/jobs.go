package apiclient

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

const (
	// pollWait is the wait of each request that Wait sends.
	pollWait = 30 * time.Second
	// pollInterval is the pause between requests of Wait. It limits their rate if
	// the entry responds without waiting.
	pollInterval = 200 * time.Millisecond
)

// Submit submits a job, waits up to wait for a final state and returns the job's
// record. A job without a request key receives a new one.
//
// If the response is lost, an explicitly idempotent job is submitted again with
// the same key through another entry; any other job is only looked up. The
// error is NotRun only if the job cannot have been accepted.
func (c *Client) Submit(ctx context.Context, spec structs.JobSpec, wait time.Duration) (*structs.Job, error) {
	if spec.Account == "" {
		spec.Account = c.account
	}
	if spec.RequestKey == "" {
		spec.RequestKey = ulid.Make().String()
	}
	id := structs.JobID(spec.Account, spec.RequestKey)
	ctx, span := tracer.Start(ctx, "submit", trace.WithAttributes(attribute.String("job.id", id)))
	defer span.End()
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeBadRequest, "%v", err)
	}
	started := time.Now()
	resp, err := c.do(ctx, request{
		method: http.MethodPost, path: "/v1/jobs", query: waitQuery(wait), body: body, wait: wait,
		header:     http.Header{structs.HeaderRequestKey: {spec.RequestKey}, "Content-Type": {"application/json"}},
		repeatable: spec.Idempotent != nil && *spec.Idempotent,
	})
	if e := verdict.From(err); e != nil && e.Verdict == verdict.MayHaveRun && e.Code == verdict.CodeUnavailable && ctx.Err() == nil {
		// A job that is not found may still be accepted: the request may be in
		// transit.
		if job, lookup := c.Job(ctx, id, max(0, wait-time.Since(started))); lookup == nil {
			if job.Digest != "" && job.Digest != spec.Digest() {
				return nil, verdict.Refuse(verdict.CodeKeyReused, "request key %q was used with another job", spec.RequestKey)
			}
			return job, nil
		}
		return nil, e
	}
	return decodeJob(id, resp, err)
}

// waitQuery returns the query of a request that waits, or nil if wait is 0.
func waitQuery(wait time.Duration) url.Values {
	if wait <= 0 {
		return nil
	}
	return url.Values{"wait": {wait.String()}}
}

// decodeJob decodes a job's record and verifies its ID and its result.
func decodeJob(id string, resp *response, err error) (*structs.Job, error) {
	job := &structs.Job{}
	if err := decode(resp, err, job); err != nil {
		return nil, err
	}
	if job.ID != id {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the answer is for the job %q", job.ID)
	}
	if job.State != structs.JobFinished {
		return job, nil
	}
	if job.Result == nil {
		return nil, verdict.New(verdict.Ran, verdict.CodeInternal, "the job has finished, but the answer has no result")
	}
	return job, job.Result.Check()
}

// Job waits up to wait for a final state of a job and returns its record. Errors:
// not_found, unavailable.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (*structs.Job, error) {
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id), query: waitQuery(wait), wait: wait, repeatable: true})
	return decodeJob(id, resp, err)
}

// Wait waits until a job is in a final state and returns its record. It returns
// an error with MayHaveRun if ctx ends first.
func (c *Client) Wait(ctx context.Context, id string) (*structs.Job, error) {
	for {
		wait := pollWait
		if deadline, ok := ctx.Deadline(); ok {
			wait = min(wait, time.Until(deadline))
		}
		job, err := c.Job(ctx, id, wait)
		if err == nil && job.State.Final() {
			return job, nil
		}
		if err != nil && (notFound(err) || !verdict.HasCode(err, verdict.CodeUnavailable)) {
			return nil, err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the job was not final in time: %v", ctx.Err())
		}
	}
}

// Result returns the result of a job after verifying its checksum. Errors:
// conflict (no result yet), not_found, unavailable, and the error of a failed job.
func (c *Client) Result(ctx context.Context, id string) (*structs.Result, error) {
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id) + "/result", repeatable: true})
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(resp.body)
	if want := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"; resp.header.Get(structs.HeaderDigest) != want {
		return nil, verdict.New(verdict.Ran, verdict.CodeInternal, "the result does not match its checksum")
	}
	attempt, _ := strconv.Atoi(resp.header.Get(structs.HeaderAttempt))
	return structs.NewResult(attempt, resp.body), nil
}

// Cancel cancels a job. Errors: conflict (the job has ended), not_found,
// unavailable.
func (c *Client) Cancel(ctx context.Context, id string) (*structs.CancelResponse, error) {
	out := &structs.CancelResponse{}
	resp, err := c.do(ctx, request{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(id), repeatable: true})
	return out, decode(resp, err, out)
}

// CancelJobs cancels several jobs of an account in one request.
func (c *Client) CancelJobs(ctx context.Context, req structs.CancelRequest) (*structs.CancelResponse, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeBadRequest, "%v", err)
	}
	out := &structs.CancelResponse{}
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/cancel", body: body, repeatable: true})
	return out, decode(resp, err, out)
}

// Jobs lists up to limit jobs in a state, or in all if it is empty, of an
// account, or of the client's if it is empty. With a limit of 0 the entry's
// default applies.
func (c *Client) Jobs(ctx context.Context, account string, state structs.JobState, limit int) (*structs.ListResponse, error) {
	q := url.Values{}
	setIfNotEmpty(q, "account", account)
	setIfNotEmpty(q, "state", string(state))
	if limit > 0 {
		q.Set("limit", strconv.Itoa(limit))
	}
	out := &structs.ListResponse{}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/jobs", query: q, repeatable: true})
	return out, decode(resp, err, out)
}

// Explain returns the reason for a job's state and its place in the queue.
func (c *Client) Explain(ctx context.Context, id string) (*structs.ExplainView, error) {
	out := &structs.ExplainView{}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id) + "/explain", repeatable: true})
	return out, decode(resp, err, out)
}

// setIfNotEmpty sets a query parameter unless the value is empty.
func setIfNotEmpty(q url.Values, name, value string) {
	if value != "" {
		q.Set(name, value)
	}
}
