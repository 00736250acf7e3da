package owner

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Service implements the RPC service Domain. It passes each call to the owner of
// the domain, if this entry owns it.
type Service struct {
	mu     sync.RWMutex
	owners map[string]*Owner
}

// NewService returns a service without owners.
func NewService() *Service { return &Service{owners: map[string]*Owner{}} }

// Set registers o as the owner of its domain and returns the previously
// registered owner, or nil.
func (s *Service) Set(o *Owner) *Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.owners[o.cfg.Domain]
	s.owners[o.cfg.Domain] = o
	return old
}

// Remove unregisters the owner of a domain and returns it, or nil. It does not
// stop the owner.
func (s *Service) Remove(domain string) *Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.owners[domain]
	delete(s.owners, domain)
	return old
}

// Owners returns the registered owners.
func (s *Service) Owners() []*Owner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	owners := make([]*Owner, 0, len(s.owners))
	for _, o := range s.owners {
		owners = append(owners, o)
	}
	return owners
}

// owner returns the owner of a domain, or a not_owner error with the verdict v.
func (s *Service) owner(domain string, v verdict.Verdict) (*Owner, *verdict.Error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if o := s.owners[domain]; o != nil {
		return o, nil
	}
	return nil, verdict.New(v, verdict.CodeNotOwner, "this entry does not own domain %q", domain)
}

// ownerOfAgent returns the owner with which the agent is registered, or a
// not_owner error with the verdict NotRun.
func (s *Service) ownerOfAgent(id string) (*Owner, *verdict.Error) {
	for _, o := range s.Owners() {
		o.mu.Lock()
		_, registered := o.agents[id]
		o.mu.Unlock()
		if registered {
			return o, nil
		}
	}
	return nil, verdict.Refuse(verdict.CodeNotOwner, "this entry owns no domain of agent %q", id)
}

// Submit accepts a job.
func (s *Service) Submit(args *structs.SubmitArgs, reply *structs.JobReply) error {
	ctx, end := rpc.StartServerSpan(args.Header, "Domain.Submit")
	defer end()
	id := structs.JobID(args.Spec.Account, args.Spec.RequestKey)
	trace.SpanFromContext(ctx).SetAttributes(attribute.String("job.id", id))
	o, refusal := s.owner(args.Domain, verdict.NotRun)
	if refusal != nil {
		reply.Err = refusal
		return nil
	}
	job, err := o.Submit(ctx, args.Spec, args.Waits)
	job.Spec.Payload = nil
	reply.Job, reply.Err = job, verdict.From(err)
	return nil
}

// Job returns the record of a job, as soon as the job has ended or the wait is
// over.
func (s *Service) Job(args *structs.JobArgs, reply *structs.JobReply) error {
	ctx, end := rpc.StartServerSpan(args.Header, "Domain.Job")
	defer end()
	trace.SpanFromContext(ctx).SetAttributes(attribute.String("job.id", args.ID))
	o, refusal := s.owner(args.Domain, verdict.MayHaveRun)
	if refusal != nil {
		reply.Err = refusal
		return nil
	}
	job, err := o.Job(ctx, args.ID, args.Wait, args.WithResult)
	reply.Job, reply.Err = job, verdict.From(err)
	return nil
}

// cancelWait limits the wait for the rows of cancelled jobs. Jobs whose rows are
// not written by then are reported as stopping.
const cancelWait = time.Second

// Cancel cancels jobs.
func (s *Service) Cancel(args *structs.CancelArgs, reply *structs.CancelReply) error {
	ctx, end := rpc.StartServerSpan(args.Header, "Domain.Cancel")
	defer end()
	o, refusal := s.owner(args.Domain, verdict.MayHaveRun)
	if refusal != nil {
		reply.Err = refusal
		return nil
	}
	cancelled, stopping, err := o.Cancel(args)
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()
	cancelled, unresolved := o.awaitReportable(ctx, cancelled)
	stopping = append(stopping, unresolved...)
	reply.Cancelled, reply.Stopping, reply.Err = cancelled, stopping, verdict.From(err)
	return nil
}

// View returns the owner's view of a domain.
func (s *Service) View(args *structs.ViewArgs, reply *structs.ViewReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Domain.View")
	defer end()
	o, refusal := s.owner(args.Domain, verdict.NotRun)
	if refusal != nil {
		reply.Err = refusal
		return nil
	}
	view, err := o.View(args)
	reply.View, reply.Err = view, verdict.From(err)
	return nil
}

// Announce processes the announcement of an agent.
func (s *Service) Announce(args *structs.AnnounceArgs, reply *structs.HeartbeatReply) error {
	_, end := rpc.StartServerSpan(args.Header, "Domain.Announce")
	defer end()
	o, refusal := s.owner(args.Info.Domain, verdict.NotRun)
	if refusal != nil {
		reply.Err = refusal
		return nil
	}
	r, err := o.Announce(args)
	*reply = r
	reply.Err = verdict.From(err)
	return nil
}

// Heartbeat processes the heartbeat of an agent. It creates no span, because one
// heartbeat a second from each agent would fill the trace.
func (s *Service) Heartbeat(args *structs.HeartbeatArgs, reply *structs.HeartbeatReply) error {
	if args.AgentID == "" {
		args.AgentID = args.From
	}
	o, refusal := s.ownerOfAgent(args.AgentID)
	if refusal != nil {
		reply.Err = refusal
		return nil
	}
	r, err := o.Heartbeat(args)
	*reply = r
	reply.Err = verdict.From(err)
	return nil
}

// GangFinished processes the outcome of a gang.
func (s *Service) GangFinished(args *structs.GangFinishedArgs, reply *structs.GangFinishedReply) error {
	ctx, end := rpc.StartServerSpan(args.Header, "Domain.GangFinished")
	defer end()
	trace.SpanFromContext(ctx).SetAttributes(attribute.String("job.id", args.Outcome.Gang.JobID))
	o, refusal := s.owner(args.Outcome.Gang.Domain, verdict.NotRun)
	if refusal != nil {
		reply.Err = refusal
		return nil
	}
	durable, err := o.GangFinished(ctx, args.Outcome)
	reply.Durable, reply.Err = durable, verdict.From(err)
	return nil
}
