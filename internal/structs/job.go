package structs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// JobSpec is a job as the client submits it.
type JobSpec struct {
	Account string `json:"account"`
	Kind    string `json:"kind"`
	// RequestKey identifies the request within the account. Requests with the same
	// key are one job. An entry generates a key for a request without one.
	RequestKey string `json:"requestKey,omitempty"`
	// Shape defaults to the kind's shape if nil.
	Shape *Shape `json:"shape,omitempty"`
	// RunSeconds is the declared run time; 0 means the kind's run time.
	RunSeconds float64 `json:"runSeconds,omitempty"`
	// DeadlineSeconds is the time after submission at which the result is of no
	// more use; 0 means no deadline.
	DeadlineSeconds float64 `json:"deadlineSeconds,omitempty"`
	// Idempotent and Checkpointable default to the kind's values if nil.
	Idempotent     *bool `json:"idempotent,omitempty"`
	Checkpointable *bool `json:"checkpointable,omitempty"`
	// Payload is passed to the tasks unchanged.
	Payload []byte `json:"payload,omitempty"`
}

// JobID returns the ID of the job that account submits with the request key:
// <account>.<hash of account and key>.
func JobID(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return account + "." + hex.EncodeToString(sum[:10])
}

// Digest returns a checksum of all fields of the spec.
func (s *JobSpec) Digest() string {
	data, err := json.Marshal(s)
	if err != nil {
		return "" // cannot happen: all fields of a JobSpec can be marshaled
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// JobRowKey returns the table key of the job's row.
func JobRowKey(id string) string { return "jobs/" + AccountOf(id) + "/" + id }

// AccountOf returns the account in a job ID, or "" if id is malformed.
func AccountOf(id string) string {
	i := strings.LastIndexByte(id, '.')
	if i < 0 || len(id)-i-1 != 20 { // JobID writes 10 bytes of the hash in hex
		return ""
	}
	return id[:i]
}

// JobState is the state of a job.
type JobState string

// The job states.
const (
	JobWaiting   JobState = "waiting"
	JobPlacing   JobState = "placing"
	JobRunning   JobState = "running"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobRefused   JobState = "refused"
	JobCancelled JobState = "cancelled"
	// JobUnknown means that the job may have run and its result is not known.
	JobUnknown JobState = "unknown"
)

// Final reports whether a client that waits for the job gets its reply in this
// state. JobUnknown is included, although such a job can still become finished.
func (s JobState) Final() bool {
	switch s {
	case JobFinished, JobFailed, JobRefused, JobCancelled, JobUnknown:
		return true
	}
	return false
}

// Job is the record of a job. Its JSON is the value of the job's table row.
type Job struct {
	ID     string  `json:"id"`
	Domain string  `json:"domain"`
	Spec   JobSpec `json:"spec"`
	// Shape, RunSeconds, Idempotent, Checkpointable and Urgency are the effective
	// values, taken from the spec and the kind at submission.
	Shape          Shape   `json:"shape"`
	RunSeconds     float64 `json:"runSeconds"`
	Idempotent     bool    `json:"idempotent"`
	Checkpointable bool    `json:"checkpointable"`
	Urgency        Urgency `json:"urgency"`
	MaxAttempts    int     `json:"maxAttempts"`

	State   JobState        `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	// Attempt counts from 1; it is 0 before the first attempt.
	Attempt int    `json:"attempt"`
	GangID  string `json:"gangID,omitempty"`
	// Rank0 is the RPC address of the agent of rank 0 in the current attempt, and
	// Rank0Incarnation the incarnation that this agent had when it was prepared.
	Rank0            string `json:"rank0,omitempty"`
	Rank0Incarnation int64  `json:"rank0Incarnation,omitempty"`
	// Digest is the checksum of the spec; it is kept when the payload is removed.
	Digest string         `json:"digest,omitempty"`
	Error  *verdict.Error `json:"error,omitempty"`
	Result *Result        `json:"result,omitempty"`
	// SubmittedAt, StartedAt and EndedAt are wall-clock times. A new owner derives
	// the waiting time and the deadline from SubmittedAt, and the end of the row's
	// retention from EndedAt; otherwise they are for display.
	SubmittedAt time.Time `json:"submittedAt,omitzero"`
	StartedAt   time.Time `json:"startedAt,omitzero"`
	EndedAt     time.Time `json:"endedAt,omitzero"`
	// Checkpoint is the object name of the last checkpoint, if there is one.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Preemptions counts how often the job was preempted.
	Preemptions int `json:"preemptions,omitempty"`
	// Recorded tells an entry that the owner has written the job's row. It is sent
	// by RPC only and not stored.
	Recorded bool `json:"-"`
}

// Result is the result of a job.
type Result struct {
	Attempt int `json:"attempt"`
	// Length is in bytes.
	Length int    `json:"length"`
	SHA256 string `json:"sha256"`
	// Data is the whole result, or nil if it is in the object store only.
	Data []byte `json:"data,omitempty"`
	// Object is the name of the object that stores a result larger than
	// MaxInlineResultBytes.
	Object string `json:"object,omitempty"`
	// Durable is set once the result is in the table or the object store.
	Durable bool `json:"durable"`
}

// NewResult returns the result of an attempt, with length and checksum set.
func NewResult(attempt int, data []byte) *Result {
	sum := sha256.Sum256(data)
	return &Result{Attempt: attempt, Length: len(data), SHA256: hex.EncodeToString(sum[:]), Data: data}
}

// Check returns an error if Data does not match Length and SHA256.
func (r *Result) Check() error {
	sum := sha256.Sum256(r.Data)
	if len(r.Data) != r.Length || hex.EncodeToString(sum[:]) != r.SHA256 {
		return verdict.New(verdict.Ran, verdict.CodeInternal, "result of %d bytes does not match its length %d or checksum", len(r.Data), r.Length)
	}
	return nil
}
