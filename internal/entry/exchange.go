package entry

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// exchange is an HTTP request and its response. The filters and the handler set
// the response, which is written in full after the chain has returned.
type exchange struct {
	ctx     context.Context
	route   string // pattern of the route
	request *http.Request
	writer  http.ResponseWriter
	status  int
	header  http.Header
	body    []byte

	// jobID is the ID of the job that the request refers to, if any.
	jobID string
	// account is the client account that the request names, if any.
	account string
	// wait is how long the client waits for a final state of the job.
	wait time.Duration
	// waitUntil is the end of the wait.
	waitUntil time.Time
	// submission is set only for POST /v1/jobs.
	submission *submission
}

// submission is a job to be submitted.
type submission struct {
	requestKey string
	spec       structs.JobSpec
	// domains are those whose hardware can hold the shape, in the account's order
	// of preference.
	domains    []string
	idempotent bool
	// send submits the job to an owner and returns its record. waits says whether
	// the client waits for a final state.
	send func(ctx context.Context, sub *submission, waits bool) (*structs.Job, error)
}

// handler handles a request. A returned error is written as the response.
type handler func(x *exchange) error

// filter is middleware around a handler.
type filter func(next handler) handler

// chain wraps h in the filters; the first filter runs first.
func chain(h handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// json sets the response to v, encoded as JSON.
func (x *exchange) json(status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	x.header.Set("Content-Type", "application/json")
	x.status, x.body = status, append(body, '\n')
	return nil
}

// fail sets the response to the error.
func (x *exchange) fail(err error) {
	e := verdict.From(err)
	body := structs.ErrorBody{Error: e}
	if x.jobID != "" {
		body.Job = &structs.JobRef{ID: x.jobID}
		if e.Verdict == verdict.MayHaveRun {
			body.Job.State = structs.JobUnknown
		}
		x.header.Set(structs.HeaderJob, x.jobID)
	}
	if e.RetryAfter > 0 {
		x.header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	x.header.Set(structs.HeaderVerdict, e.Verdict.String())
	if x.json(Status(e), body) != nil {
		x.status, x.body = http.StatusInternalServerError, nil
	}
}

// statuses maps error codes to HTTP statuses. See Status for the exception.
var statuses = map[verdict.Code]int{
	verdict.CodeBadRequest:          http.StatusBadRequest,
	verdict.CodeTooLarge:            http.StatusRequestEntityTooLarge,
	verdict.CodeUnknownAccount:      http.StatusForbidden,
	verdict.CodeUnknownKind:         http.StatusUnprocessableEntity,
	verdict.CodeNotFound:            http.StatusNotFound,
	verdict.CodeNeverFits:           http.StatusUnprocessableEntity,
	verdict.CodeOverQuota:           http.StatusUnprocessableEntity,
	verdict.CodeRateLimited:         http.StatusTooManyRequests,
	verdict.CodeOverloaded:          http.StatusServiceUnavailable,
	verdict.CodeDeadline:            http.StatusUnprocessableEntity,
	verdict.CodeKeyReused:           http.StatusConflict,
	verdict.CodeDraining:            http.StatusServiceUnavailable,
	verdict.CodePlatformUnavailable: http.StatusServiceUnavailable,
	verdict.CodeUnavailable:         http.StatusServiceUnavailable,
	verdict.CodeNotOwner:            http.StatusServiceUnavailable,
	verdict.CodeStaleEpoch:          http.StatusServiceUnavailable,
	verdict.CodeStaleVersion:        http.StatusConflict,
	verdict.CodeConflict:            http.StatusConflict,
	verdict.CodeTombstoned:          http.StatusConflict,
	verdict.CodeLeaseLapsed:         http.StatusServiceUnavailable,
	verdict.CodeQuarantined:         http.StatusServiceUnavailable,
	verdict.CodeInadmissible:        http.StatusUnprocessableEntity,
	verdict.CodeTaskFailed:          http.StatusFailedDependency,
	verdict.CodeWorkerLost:          http.StatusBadGateway,
	verdict.CodeCancelled:           http.StatusGone,
	verdict.CodePreempted:           http.StatusServiceUnavailable,
	verdict.CodeInternal:            http.StatusInternalServerError,
}

// Status returns the HTTP status of an error. Many clients retry automatically on
// 503, so it is replaced by 504 unless the verdict is NotRun.
func Status(e *verdict.Error) int {
	status, ok := statuses[e.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	if status == http.StatusServiceUnavailable && e.Verdict != verdict.NotRun {
		return http.StatusGatewayTimeout
	}
	return status
}
