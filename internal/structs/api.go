package structs

import "github.com/parsleypier/parsleypier/internal/verdict"

// HTTP header names of the API.
const (
	HeaderAccount    = "Parsleypier-Account"
	HeaderRequestKey = "Parsleypier-Request-Key"
	HeaderJob        = "Parsleypier-Job"
	HeaderVerdict    = "Parsleypier-Verdict"
	HeaderAttempt    = "Parsleypier-Attempt"
	// HeaderDigest carries the checksum of a result in the format of RFC 9530.
	HeaderDigest = "Repr-Digest"
)

// ErrorBody is the body of an HTTP reply that reports an error.
type ErrorBody struct {
	Error *verdict.Error `json:"error"`
	// Job is set if the request concerns a job.
	Job *JobRef `json:"job,omitempty"`
}

// JobRef identifies a job whose full record is not available.
type JobRef struct {
	ID string `json:"id"`
	// State is JobUnknown if the job may have run.
	State JobState `json:"state,omitempty"`
}

// CancelRequest is the body of POST /v1/cancel. It selects the account's jobs
// by IDs, or by Kind if IDs is empty, or all of them if both are empty.
type CancelRequest struct {
	Account string   `json:"account"`
	Kind    string   `json:"kind,omitempty"`
	IDs     []string `json:"ids,omitempty"`
}

// CancelResponse is the response to POST /v1/cancel.
type CancelResponse struct {
	// Cancelled lists the jobs that were still waiting; they did not run.
	Cancelled []string `json:"cancelled"`
	// Stopping lists the jobs that were running and are being stopped; they may
	// have run.
	Stopping []string `json:"stopping"`
	// Unreached lists the domains whose owner did not answer in time; their jobs
	// may or may not have been cancelled.
	Unreached []string `json:"unreached,omitempty"`
}

// DomainResult is the part of a ViewResponse for one domain.
type DomainResult struct {
	DomainView
	// Error is set if the owner did not answer; the other fields are then empty.
	Error *verdict.Error `json:"error,omitempty"`
}

// ViewResponse is the response to GET /v1/status, /v1/workers, /v1/queue and
// /v1/accounts.
type ViewResponse struct {
	Entry           string         `json:"entry"`
	Draining        bool           `json:"draining"`
	ManifestVersion uint64         `json:"manifestVersion"`
	Entries         []EntryInfo    `json:"entries,omitempty"`
	Domains         []DomainResult `json:"domains"`
}

// ListResponse is the response to GET /v1/jobs.
type ListResponse struct {
	Jobs []Job `json:"jobs"`
	// Unreached lists the domains whose owner did not answer; their jobs are
	// missing from Jobs.
	Unreached []string `json:"unreached,omitempty"`
}

// CheckResponse is the response to a request that checks or applies a manifest.
type CheckResponse struct {
	// Version is the version that was applied; 0 if the manifest was only checked.
	Version uint64 `json:"version,omitempty"`
	Parent  uint64 `json:"parent"`
	// Survives maps each domain to the number of workers that it can lose and
	// still satisfy all guarantees.
	Survives map[string]int `json:"survives"`
}

// HistoryResponse is the response to GET /v1/manifest/history, newest manifest
// first.
type HistoryResponse struct {
	Manifests []Manifest `json:"manifests"`
}
