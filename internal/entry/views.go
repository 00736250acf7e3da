package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Default and maximum of the query parameter limit of GET /v1/jobs.
const (
	defaultListLimit = 100
	maxListLimit     = 1000
)

// viewTimeout limits the calls for a view, so that a lost owner does not delay the
// response of the others.
const viewTimeout = 3 * time.Second

// rpcCall holds the arguments and the reply of one RPC call.
type rpcCall struct {
	args  rpc.RequestMessage
	reply rpc.ReplyMessage
}

// callOwner calls an idempotent method at the owner of the domain. If the owner is
// lost it retries with the next one until ctx ends. build returns the arguments
// and a new reply for each attempt.
func (s *Server) callOwner(ctx context.Context, domain, method string, build func(structs.Owner) rpcCall) error {
	failed := failedOwners{}
	for round := 0; ; round++ {
		var err error = verdict.Refuse(verdict.CodeUnavailable, "the domain %s has no owner", domain)
		if owner, ok := s.ownerOf(domain); ok {
			s.retryBudget.RecordRequest()
			call := build(owner)
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err = s.cfg.Caller.Call(callCtx, owner.Addr, method, call.args, call.reply)
			cancel()
			if err == nil || !retryAtOtherOwner(verdict.From(err).Code) {
				return err
			}
			failed[domain] = owner
		}
		if !s.waitForRetry(ctx, failed, []string{domain}, round) {
			return err
		}
	}
}

// viewDomains calls the owners of the domains concurrently. The result has an
// element for each domain, with an error if its owner did not reply.
func (s *Server) viewDomains(ctx context.Context, domains []string, args structs.ViewArgs) []structs.DomainResult {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	results := make([]structs.DomainResult, len(domains))
	var wg sync.WaitGroup
	for i, domain := range domains {
		wg.Go(func() {
			var reply *structs.ViewReply
			err := s.callOwner(ctx, domain, "Domain.View", func(structs.Owner) rpcCall {
				domainArgs := args
				domainArgs.Domain, reply = domain, &structs.ViewReply{}
				return rpcCall{&domainArgs, reply}
			})
			if err != nil {
				results[i] = structs.DomainResult{DomainView: structs.DomainView{Domain: domain}, Error: verdict.From(err)}
				return
			}
			results[i].DomainView = reply.View
		})
	}
	wg.Wait()
	return results
}

// showView serves GET /v1/workers, /v1/queue, /v1/accounts and /v1/status, depending
// on name.
func (s *Server) showView(name string) handler {
	return func(x *exchange) error {
		m := s.cfg.Manifests.Current()
		if m == nil {
			return verdict.Refuse(verdict.CodeUnavailable, "no manifest is in force yet")
		}
		domains := allDomains(m)
		if d := x.request.URL.Query().Get("domain"); d != "" {
			if !slices.Contains(domains, d) {
				return verdict.Refuse(verdict.CodeNotFound, "no hardware is declared in the domain %q", d)
			}
			domains = []string{d}
		}
		response := structs.ViewResponse{Entry: s.cfg.ID, Draining: s.draining.Load(), ManifestVersion: m.Version}
		response.Domains = s.viewDomains(x.ctx, domains, structs.ViewArgs{})
		if name == "status" {
			response.Entries = s.cfg.Owners.Entries()
		}
		for i := range response.Domains {
			trimView(&response.Domains[i], name)
		}
		return x.json(http.StatusOK, response)
	}
}

// trimView removes the parts of a domain's view that the named view does not show.
func trimView(d *structs.DomainResult, name string) {
	d.Jobs, d.Explain = nil, nil
	if name != "workers" && name != "status" {
		d.Workers = nil
	}
	if name != "queue" && name != "status" {
		d.Queue = nil
	}
	if name != "accounts" && name != "status" {
		d.Accounts = nil
	}
}

// listJobs serves GET /v1/jobs.
func (s *Server) listJobs(x *exchange) error {
	q := x.request.URL.Query()
	account := q.Get("account")
	if x.account != "" && account != "" && account != x.account {
		return verdict.Invalid("account", "differs from the header %s", structs.HeaderAccount)
	}
	if account == "" {
		account = x.account
	}
	limit := defaultListLimit
	if v := q.Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxListLimit {
			return verdict.Invalid("limit", "is not between 1 and %d", maxListLimit)
		}
		limit = n
	}
	response := structs.ListResponse{Jobs: []structs.Job{}}
	args := structs.ViewArgs{Account: account, State: structs.JobState(q.Get("state")), Limit: limit}
	for _, d := range s.viewDomains(x.ctx, s.domainsOf(account), args) {
		if d.Error != nil {
			response.Unreached = append(response.Unreached, d.Domain)
		}
		for _, job := range d.Jobs {
			if len(response.Jobs) < limit {
				job.Result = withoutResultData(job.Result)
				response.Jobs = append(response.Jobs, withoutPayload(job))
			}
		}
	}
	return x.json(http.StatusOK, response)
}

func withoutResultData(r *structs.Result) *structs.Result {
	if r == nil {
		return nil
	}
	c := *r
	c.Data = nil
	return &c
}

// explainJob serves GET /v1/jobs/{id}/explain. If no owner has the job it returns
// the durable record.
func (s *Server) explainJob(x *exchange) error {
	var lastErr *verdict.Error
	for _, d := range s.viewDomains(x.ctx, s.domainsOf(x.account), structs.ViewArgs{JobID: x.jobID}) {
		if d.Explain != nil && d.Explain.Job.ID == x.jobID {
			e := *d.Explain
			e.Job = withoutPayload(e.Job)
			e.Job.Result = withoutResultData(e.Job.Result)
			return x.json(http.StatusOK, e)
		}
		if d.Error != nil && d.Error.Code != verdict.CodeNotFound {
			lastErr = d.Error
		}
	}
	if lastErr != nil {
		return lastErr.WithVerdict(verdict.MayHaveRun)
	}
	job, err := s.readRecord(x.ctx, x.jobID)
	if err != nil {
		return verdict.From(err).WithVerdict(verdict.MayHaveRun)
	}
	job.Result = withoutResultData(job.Result)
	return x.json(http.StatusOK, structs.ExplainView{Job: withoutPayload(*job), Detail: "no owner has the job; this is its durable record"})
}
