package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// maxCancelIDs limits the job IDs in one cancellation request.
const maxCancelIDs = 10_000

// cancelJob serves DELETE /v1/jobs/{id}.
func (s *Server) cancelJob(x *exchange) error {
	response, err := s.cancelJobs(x.ctx, structs.CancelRequest{Account: x.account, IDs: []string{x.jobID}})
	if err != nil {
		return err
	}
	if len(response.Cancelled)+len(response.Stopping) > 0 {
		return x.json(http.StatusOK, response)
	}
	if len(response.Unreached) > 0 {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the owner did not answer in time")
	}
	job, err := s.findJob(x)
	if err != nil {
		return err
	}
	if job.State == structs.JobCancelled {
		// An earlier request, or an attempt whose reply was lost, cancelled the job.
		if job.Verdict == verdict.NotRun {
			response.Cancelled = []string{job.ID}
		} else {
			response.Stopping = []string{job.ID}
		}
		return x.json(http.StatusOK, response)
	}
	return verdict.New(job.Verdict, verdict.CodeConflict, "the job is %s", job.State)
}

// cancelBatch serves POST /v1/cancel, which cancels jobs of an account by ID or
// by kind.
func (s *Server) cancelBatch(x *exchange) error {
	body, err := x.readBody()
	if err != nil {
		return err
	}
	var req structs.CancelRequest
	if err := decodeStrict(body, &req); err != nil {
		return err
	}
	if req.Account == "" {
		req.Account = x.account
	}
	if req.Account == "" || x.account != "" && x.account != req.Account {
		return verdict.Invalid("account", "is empty or differs from the header %s", structs.HeaderAccount)
	}
	if len(req.IDs) > maxCancelIDs {
		return verdict.Invalid("ids", "has more than %d jobs", maxCancelIDs)
	}
	for _, id := range req.IDs {
		if structs.AccountOf(id) != req.Account {
			return verdict.Invalid("ids", "%q is not a job of the account", id)
		}
	}
	response, err := s.cancelJobs(x.ctx, req)
	if err != nil {
		return err
	}
	return x.json(http.StatusOK, response)
}

// cancelJobs sends the cancellation to the owners of all domains of the account
// concurrently. A cancellation is idempotent, so failed calls are retried.
func (s *Server) cancelJobs(ctx context.Context, req structs.CancelRequest) (*structs.CancelResponse, error) {
	domains := s.domainsOf(req.Account)
	response := &structs.CancelResponse{Cancelled: []string{}, Stopping: []string{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lastErr error
	for _, domain := range domains {
		wg.Go(func() {
			reply := &structs.CancelReply{}
			err := s.callOwner(ctx, domain, "Domain.Cancel", func(structs.Owner) rpcCall {
				reply = &structs.CancelReply{}
				return rpcCall{&structs.CancelArgs{Domain: domain, Account: req.Account, Kind: req.Kind, IDs: req.IDs}, reply}
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil && !verdict.HasCode(err, verdict.CodeNotFound) {
				lastErr = err
				response.Unreached = append(response.Unreached, domain)
				return
			}
			response.Cancelled = append(response.Cancelled, reply.Cancelled...)
			response.Stopping = append(response.Stopping, reply.Stopping...)
		})
	}
	wg.Wait()
	if lastErr != nil && len(response.Unreached) == len(domains) {
		return nil, verdict.From(lastErr)
	}
	if len(domains) == 0 {
		return nil, verdict.Refuse(verdict.CodeUnavailable, "no manifest is in force yet").WithRetryAfter(time.Second)
	}
	return response, nil
}
