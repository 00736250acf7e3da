package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Code identifies a kind of error. Codes are part of the API and do not change.
type Code string

// The error codes.
const (
	CodeBadRequest          Code = "bad_request"          // malformed body, unknown or out-of-range field
	CodeTooLarge            Code = "too_large"            // body, payload or result above its limit
	CodeUnknownAccount      Code = "unknown_account"      // client account not in the manifest in force
	CodeUnknownKind         Code = "unknown_kind"         // job kind not in the manifest in force
	CodeNotFound            Code = "not_found"            // no such job, worker or manifest version
	CodeNeverFits           Code = "never_fits"           // shape does not fit on the declared hardware
	CodeOverQuota           Code = "over_quota"           // shape above the account's quota
	CodeRateLimited         Code = "rate_limited"         // account exceeds its request rate
	CodeOverloaded          Code = "overloaded"           // a bounded queue is full
	CodeDeadline            Code = "deadline"             // deadline passed or cannot be met
	CodeKeyReused           Code = "key_reused"           // request key already used with another job
	CodeDraining            Code = "draining"             // process or target is shutting down
	CodePlatformUnavailable Code = "platform_unavailable" // request needs a durable record and the platform is unavailable
	CodeUnavailable         Code = "unavailable"          // peer cannot be reached
	CodeNotOwner            Code = "not_owner"            // receiver does not own the domain
	CodeStaleEpoch          Code = "stale_epoch"          // epoch or fencing token lower than the highest one seen
	CodeStaleVersion        Code = "stale_version"        // manifest version lower than the one in force
	CodeConflict            Code = "conflict"             // compare-and-set failed, or resource is in use
	CodeTombstoned          Code = "tombstoned"           // gang was aborted
	CodeLeaseLapsed         Code = "lease_lapsed"         // reservation or lease has expired
	CodeQuarantined         Code = "quarantined"          // target is quarantined
	CodeInadmissible        Code = "inadmissible"         // guarantees of the manifest do not fit on its hardware together
	CodeTaskFailed          Code = "task_failed"          // a task of the job failed
	CodeWorkerLost          Code = "worker_lost"          // target lost while the job ran
	CodeCancelled           Code = "cancelled"            // cancelled by the client
	CodePreempted           Code = "preempted"            // stopped to make room for another job
	CodeInternal            Code = "internal"             // bug or unexpected error in the system
)

// Error is the error type of the HTTP API and of all RPCs.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict `json:"verdict"`
	// Code identifies the kind of error.
	Code Code `json:"code"`
	// Field is the path of the invalid field in the request, if there is one.
	Field string `json:"field,omitempty"`
	// Message describes the error.
	Message string `json:"message"`
	// Remedy says what the client can do about it.
	Remedy string `json:"remedy,omitempty"`
	// RetryAfter is the delay after which a retry may succeed; 0 if not known.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s (%s)", e.Code, e.Field, e.Message, e.Verdict)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Verdict)
}

// New returns an Error with a formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Refuse returns an Error with the verdict NotRun.
func Refuse(code Code, format string, args ...any) *Error {
	return New(NotRun, code, format, args...)
}

// Invalid returns an Error with the verdict NotRun and the code CodeBadRequest for
// an invalid value of field.
func Invalid(field, format string, args ...any) *Error {
	e := Refuse(CodeBadRequest, format, args...)
	e.Field = field
	return e
}

// WithRemedy returns a copy of e with the remedy set.
func (e *Error) WithRemedy(remedy string) *Error {
	c := *e
	c.Remedy = remedy
	return &c
}

// WithRetryAfter returns a copy of e with the retry delay set.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithVerdict returns a copy of e with the verdict set to v.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.Verdict = v
	return &c
}

// From returns the *Error that err is or wraps. Any other error becomes an Error
// with the code CodeInternal and the verdict MayHaveRun. From(nil) returns nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, CodeInternal, "%v", err)
}

// Of returns the verdict of the *Error that err is or wraps, and MayHaveRun if
// there is none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// HasCode reports whether err is or wraps an *Error with the code.
func HasCode(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
