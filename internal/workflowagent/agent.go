// Package workflowagent runs beside workers. It keeps the leases of their tasks
// while the owner of the deployment is in touch, carries the owner's orders to
// them, and reports what runs and what has ended. It keeps nothing that lasts: a
// restarted agent learns everything from the worker.
package workflowagent

import (
	"context"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Caller calls other processes.
type Caller interface {
	Call(ctx context.Context, addr, method string, args rpc.Headed, reply rpc.Failer) error
}

// Options configure an Agent.
type Options struct {
	ID, Addr string
	Caller   Caller
	Log      *eventlog.Log
	// Seeds are RPC addresses of entries.
	Seeds []string
	// MoreEntries reads the addresses of entries elsewhere when none of the known
	// ones answers; it may return nil.
	MoreEntries func(ctx context.Context) []string
	// Connect returns the connection to a life of a worker at an address.
	Connect func(addr, worker string) Worker
	// Lease is the length of the leases of tasks, from the last contact with the
	// owner.
	Lease time.Duration
	// Clock is a steady clock above 0 that counts suspensions; nil for one that does
	// not.
	Clock func() time.Duration
}

// Agent is an agent. It is safe for concurrent use.
type Agent struct {
	o Options

	mu       sync.Mutex
	sessions map[string]*session // by worker
	entries  []string
	// entriesVersion is that of the last list of entries received; 0 if the list
	// has been added to since.
	entriesVersion uint64
	owner          string
	next           int    // entry to ask next
	epoch          uint64 // highest seen
	reached        time.Time
	// searching says that entries are being looked for elsewhere.
	searching bool
	ctx       context.Context
	wg        sync.WaitGroup
}

// New returns an agent that serves until ctx ends.
func New(ctx context.Context, o Options) *Agent {
	if o.Clock == nil {
		begun := time.Now().Add(-time.Second)
		o.Clock = func() time.Duration { return time.Since(begun) }
	}
	return &Agent{o: o, ctx: ctx, sessions: map[string]*session{}, entries: o.Seeds, reached: time.Now()}
}

// Wait waits until all sessions have ended, after the end of the agent's context.
func (a *Agent) Wait() { a.wg.Wait() }

// Heartbeat takes note of a worker's own report. seq grows with each report of
// one life, so that one that was delayed is recognised.
func (a *Agent) Heartbeat(w workflowrpc.Worker, addr string, seq uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.sessions[w.ID]
	switch {
	case old == nil || old.isOver() && old.incarnation == w.Incarnation && old.lastBeat() < seq || old.incarnation < w.Incarnation:
		if old != nil {
			old.end("a newer incarnation has reported")
		}
		s := newSession(a, w, addr, seq)
		a.sessions[w.ID] = s
		a.o.Log.Event("worker_found", "worker", w.ID, "incarnation", w.Incarnation, "addr", addr, "draining", w.Draining,
			"cpuMilli", w.Capacity.CPUMilli, "gpus", w.Capacity.GPUs, "rack", w.Rack)
		a.wg.Go(func() { s.run(a.ctx) })
	case old.incarnation == w.Incarnation:
		old.beat(w, seq)
	}
}

// Left takes note that a worker has ended.
func (a *Agent) Left(worker string) {
	a.mu.Lock()
	s := a.sessions[worker]
	a.mu.Unlock()
	if s != nil {
		s.end("the worker has left")
	}
}

// forget removes a session that has ended and was reported.
func (a *Agent) forget(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.id] == s {
		delete(a.sessions, s.id)
	}
}

// SetSeeds adds entries from changed settings.
func (a *Agent) SetSeeds(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addEntries(addrs)
}

func (a *Agent) addEntries(addrs []string) {
	known := map[string]bool{}
	for _, e := range a.entries {
		known[e] = true
	}
	for _, e := range addrs {
		if !known[e] {
			a.entries, a.entriesVersion = append(a.entries, e), 0
		}
	}
}

// target returns the address to report to: the owner, or an entry that may know
// it.
func (a *Agent) target() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owner != "" {
		return a.owner
	}
	if len(a.entries) == 0 {
		return ""
	}
	a.next++
	return a.entries[a.next%len(a.entries)]
}

// unreached forgets the owner if it was addr.
func (a *Agent) unreached(addr string, err error) {
	a.mu.Lock()
	lost := a.owner == addr && addr != ""
	if lost {
		a.owner = ""
	}
	search := !a.searching && (len(a.entries) == 0 || time.Since(a.reached) > searchAfter) && a.o.MoreEntries != nil
	a.searching = a.searching || search
	a.mu.Unlock()
	if lost {
		a.o.Log.Event("owner_lost", "owner", addr, "err", err.Error())
	}
	if search {
		go a.search()
	}
}

// search looks for entries elsewhere.
func (a *Agent) search() {
	ctx, cancel := context.WithTimeout(a.ctx, searchAfter)
	defer cancel()
	found := a.o.MoreEntries(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.searching = false
	a.addEntries(found)
	a.o.Log.Event("entries_searched", "found", len(found), "known", len(a.entries))
}

// searchAfter is the time without an answer of any entry after which the agent
// looks for entries elsewhere. It also limits that look.
const searchAfter = time.Second

// follow takes over what a reply says of the owner and reports whether the
// reply is from the newest one.
func (a *Agent) follow(addr string, reply *workflowrpc.SyncReply, fromOwner bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reached = time.Now()
	if len(reply.Entries) > 0 {
		a.entries, a.entriesVersion = reply.Entries, reply.EntriesVersion
	}
	if reply.Epoch < a.epoch {
		if a.owner == addr {
			a.owner = ""
		}
		return false
	}
	if !fromOwner {
		if reply.Epoch > a.epoch || a.owner == "" || a.owner == addr {
			a.owner = reply.Owner
			if reply.Owner == addr {
				a.owner = ""
			}
		}
		return false
	}
	a.adopt(addr, reply.Epoch)
	return true
}

// adopt sets the owner. It is called with the lock held.
func (a *Agent) adopt(addr string, epoch uint64) {
	if a.owner == addr && a.epoch == epoch {
		return
	}
	a.owner, a.epoch = addr, epoch
	a.o.Log.Event("owner_found", "owner", addr, "epoch", epoch)
	for _, s := range a.sessions {
		s.ownerChanged()
	}
}

// OwnerChanged takes note of a new owner that calls the agent.
func (a *Agent) OwnerChanged(owner string, epoch uint64) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch > a.epoch {
		a.adopt(owner, epoch)
	}
	return a.epoch
}

func (a *Agent) knownEntries() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entriesVersion
}

func (a *Agent) currentEpoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// Extend renews all leases once more, for the time in which the next process
// takes this one's place. It returns when the workers have answered or ctx ends.
func (a *Agent) Extend(ctx context.Context) {
	a.mu.Lock()
	sessions := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		sessions = append(sessions, s)
	}
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range sessions {
		wg.Go(func() {
			if err := s.hold(ctx, 0); err != nil {
				a.o.Log.Event("lease_not_extended", "worker", s.id, "err", err.Error())
			}
		})
	}
	wg.Wait()
}

// Service is the RPC service of an agent.
type Service struct{ Agent *Agent }

// OwnerChanged names a new owner.
func (s *Service) OwnerChanged(args *workflowrpc.OwnerArgs, reply *workflowrpc.OwnerReply) error {
	reply.Epoch = s.Agent.OwnerChanged(args.Owner, args.Epoch)
	return nil
}
