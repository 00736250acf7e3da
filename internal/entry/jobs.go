package entry

import (
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// submitJob serves POST /v1/jobs: it submits the job and returns its record as soon
// as its state is final, or the current record when the wait ends.
func (s *Server) submitJob(x *exchange) error {
	sub := x.submission
	waiter := &jobWaiter{id: x.jobID, sub: sub, domains: sub.domains}
	job, err := sub.send(x.ctx, sub, x.wait > 0)
	if err != nil {
		if e := verdict.From(err); e.Verdict == verdict.NotRun || sub.idempotent {
			return e
		}
		// The job may have been accepted. It is not idempotent, so it is looked up and
		// not submitted again.
		waiter.err = err
		metrics.Add("lookups", 1)
	} else {
		waiter.setRecord(job)
		// If the record is final it is queried again, with its result.
		waiter.confirmed = !job.State.Final()
	}
	job, err = s.waitForJob(x.ctx, waiter, x.waitUntil)
	if err != nil {
		return err
	}
	if requestKeyReused(sub, job) {
		return fieldError("requestKey", verdict.CodeKeyReused, "the key was used with another job")
	}
	return x.job(job)
}

// requestKeyReused reports whether the record belongs to a different job that was
// submitted under the same request key. The owner refuses such a submission, but
// a job that was looked up after a lost reply must be compared here.
func requestKeyReused(sub *submission, job *structs.Job) bool {
	return job.Digest != "" && job.Digest != sub.spec.Digest() || job.Spec.Kind != "" && job.Spec.Kind != sub.spec.Kind ||
		job.Spec.Payload != nil && string(job.Spec.Payload) != string(sub.spec.Payload)
}

// job sets the response to the record, without the payload.
func (x *exchange) job(job *structs.Job) error {
	status := http.StatusOK
	if !job.State.Final() {
		status = http.StatusAccepted
		x.header.Set("Retry-After", "1")
	}
	if job.State == structs.JobFinished {
		job.Verdict = verdict.Ran
	}
	x.header.Set(structs.HeaderJob, job.ID)
	x.header.Set(structs.HeaderVerdict, job.Verdict.String())
	return x.json(status, withoutPayload(*job))
}

func withoutPayload(job structs.Job) structs.Job {
	job.Spec.Payload = nil
	return job
}

// domainsOf returns the domains in which the account may have jobs: those of the
// account, or all if the account was removed from the manifest.
func (s *Server) domainsOf(account string) []string {
	m := s.cfg.Manifests.Current()
	if m == nil {
		return nil
	}
	if a := m.Account(account); a != nil && len(a.Domains) > 0 {
		return a.Domains
	}
	return allDomains(m)
}

// allDomains returns the domains in which the manifest declares hardware.
func allDomains(m *structs.Manifest) []string {
	var domains []string
	seen := map[string]bool{}
	for i := range m.Hardware {
		if d := m.Hardware[i].Domain; !seen[d] {
			seen[d] = true
			domains = append(domains, d)
		}
	}
	return domains
}

// findJob returns the record of the job that the request names.
func (s *Server) findJob(x *exchange) (*structs.Job, error) {
	waiter := &jobWaiter{id: x.jobID, domains: s.domainsOf(x.account)}
	return s.waitForJob(x.ctx, waiter, x.waitUntil)
}

// showJob serves GET /v1/jobs/{id}.
func (s *Server) showJob(x *exchange) error {
	job, err := s.findJob(x)
	if err != nil {
		return err
	}
	return x.job(job)
}

// showResult serves GET /v1/jobs/{id}/result: the bytes of the result. Their length
// and checksum were verified by waitForJob.
func (s *Server) showResult(x *exchange) error {
	job, err := s.findJob(x)
	if err != nil {
		return err
	}
	if job.State != structs.JobFinished {
		if job.Error != nil && job.State.Final() {
			return job.Error.WithVerdict(job.Verdict)
		}
		return verdict.New(job.Verdict, verdict.CodeConflict, "the job has no result: it is %s", job.State).WithRetryAfter(time.Second)
	}
	sum, err := hex.DecodeString(job.Result.SHA256)
	if err != nil {
		return verdict.New(verdict.Ran, verdict.CodeInternal, "the result's checksum is malformed")
	}
	x.header.Set("Content-Type", "application/octet-stream")
	x.header.Set(structs.HeaderJob, job.ID)
	x.header.Set(structs.HeaderVerdict, verdict.Ran.String())
	x.header.Set(structs.HeaderAttempt, strconv.Itoa(job.Result.Attempt))
	x.header.Set(structs.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum)+":")
	x.body = job.Result.Data
	return nil
}
