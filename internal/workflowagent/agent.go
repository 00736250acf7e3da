// Package workflowagent implements the agent that runs next to the workers of a machine.
// A run is one attempt of a task on a worker. The owner, which is the elected one of
// the deployment's entries, orders the agent to start and stop runs.
//
// The agent renews the leases of the workers' tasks while the owner is reachable,
// passes its orders on to the workers, and reports which runs are in progress and
// which have ended. It stores nothing durably: a restarted agent reads the state from
// the workers.
package workflowagent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Caller makes RPCs to other processes.
type Caller interface {
	Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error
}

// Options configure an Agent.
type Options struct {
	ID, Addr string
	Caller   Caller
	Log      *eventlog.Log
	// Seeds are the RPC addresses of the entries to contact first.
	Seeds []string
	// FindEntries returns addresses of further entries from another source. It is
	// called when none of the known entries answers, and may return nil.
	FindEntries func(ctx context.Context) []string
	// Connect returns a connection to the incarnation of a worker that serves at an
	// address.
	Connect func(addr, worker string) Worker
	// Lease is the length of the leases of tasks. It counts from the last contact
	// with the owner.
	Lease time.Duration
	// Clock returns the time of a monotonic clock, above 0, that goes on while the
	// machine is suspended. With nil the agent uses one that may not.
	Clock func() time.Duration
}

// Agent keeps a session for each worker that reports to it. It is safe for
// concurrent use.
type Agent struct {
	opts Options

	mu       sync.Mutex
	sessions map[string]*session // by worker ID
	entries  []string
	// entriesVersion is the version of the last list of entries received, or 0 if
	// entries were added to it since.
	entriesVersion uint64
	owner          string
	entryIndex     int       // round-robin index into entries
	highestEpoch   uint64    // highest epoch of an owner that was seen
	lastReply      time.Time // last time an owner or entry replied
	// searching is set while searchEntries runs.
	searching bool
	ctx       context.Context
	wg        sync.WaitGroup
}

// New returns an agent that serves until ctx ends.
func New(ctx context.Context, o Options) *Agent {
	if o.Clock == nil {
		clockStart := time.Now().Add(-time.Second)
		o.Clock = func() time.Duration { return time.Since(clockStart) }
	}
	return &Agent{opts: o, ctx: ctx, sessions: map[string]*session{}, entries: o.Seeds, lastReply: time.Now()}
}

// Wait waits until all sessions have ended. The agent's context must have ended.
func (a *Agent) Wait() { a.wg.Wait() }

// Heartbeat handles a worker's report about itself. seq grows with each report of
// one incarnation, so that a delayed report can be ignored.
func (a *Agent) Heartbeat(w workflowrpc.Worker, addr string, seq uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.sessions[w.ID]
	switch {
	case old == nil || old.isGone() && old.incarnation == w.Incarnation && old.lastHeartbeatSeq() < seq || old.incarnation < w.Incarnation:
		if old != nil {
			old.markGone("a newer incarnation has reported")
		}
		a.startSession(w, addr, seq, old)
		a.opts.Log.Event("worker_found", "worker", w.ID, "incarnation", w.Incarnation, "addr", addr, "draining", w.Draining,
			"cpuMilli", w.Capacity.CPUMilli, "gpus", w.Capacity.GPUs, "rack", w.Rack)
	case old.incarnation == w.Incarnation:
		old.heartbeat(w, seq)
	}
}

// WorkerLeft handles the leave of a worker. It names no incarnation, and may be a late one
// of an earlier incarnation than that of the session.
func (a *Agent) WorkerLeft(worker string) {
	if s := a.session(worker); s != nil {
		s.leaveReceived()
	}
}

// ConfirmLeave handles the leave of a worker, and returns when the leave may be confirmed: the
// worker ends then, and with it the ends that it has not listed. It returns after
// leaveListTimeout at the latest.
func (a *Agent) ConfirmLeave(ctx context.Context, worker string) {
	a.WorkerLeft(worker)
	if s := a.session(worker); s != nil {
		s.listBeforeLeave(ctx)
	}
}

// session returns the session of a worker, or nil if there is none.
func (a *Agent) session(worker string) *session {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sessions[worker]
}

// removeSession removes a session that is over.
func (a *Agent) removeSession(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.id] == s {
		delete(a.sessions, s.id)
	}
}

// SetSeeds adds the entries of changed settings to the known ones.
func (a *Agent) SetSeeds(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addEntries(addrs)
}

// addEntries adds entries that are not known yet. a.mu must be held.
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

// syncTarget returns the address to report to: the owner or, if it is unknown, the
// next entry, which may know it. It returns "" if no entry is known.
func (a *Agent) syncTarget() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owner != "" {
		return a.owner
	}
	if len(a.entries) == 0 {
		return ""
	}
	a.entryIndex++
	return a.entries[a.entryIndex%len(a.entries)]
}

// callFailed handles a failed call to addr. If addr is the owner, the owner counts as
// lost. If no entry has answered for some time, it starts a search for entries.
func (a *Agent) callFailed(addr string, err error) {
	a.mu.Lock()
	lost := a.owner == addr && addr != ""
	if lost {
		a.owner = ""
	}
	search := !a.searching && (len(a.entries) == 0 || time.Since(a.lastReply) > entrySearchAfter) && a.opts.FindEntries != nil
	a.searching = a.searching || search
	a.mu.Unlock()
	if lost {
		a.opts.Log.Event("owner_lost", "owner", addr, "err", err.Error())
	}
	if search {
		go a.searchEntries()
	}
}

// searchEntries reads further entries from Options.FindEntries.
func (a *Agent) searchEntries() {
	ctx, cancel := context.WithTimeout(a.ctx, entrySearchAfter)
	defer cancel()
	found := a.opts.FindEntries(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.searching = false
	a.addEntries(found)
	a.opts.Log.Event("entries_searched", "found", len(found), "known", len(a.entries))
}

// entrySearchAfter is the time without a reply from any entry after which the agent
// searches for further entries. It is also the time limit of the search.
const entrySearchAfter = time.Second

// applyOwnerInfo applies the entries, owner and epoch of a reply from addr. fromOwner
// says that the process at addr replied as the owner. It reports whether the reply
// is from the owner with the highest epoch seen.
func (a *Agent) applyOwnerInfo(addr string, reply *workflowrpc.SyncReply, fromOwner bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastReply = time.Now()
	if len(reply.Entries) > 0 {
		a.entries, a.entriesVersion = reply.Entries, reply.EntriesVersion
	}
	if reply.Epoch < a.highestEpoch {
		if a.owner == addr {
			a.owner = ""
		}
		return false
	}
	if !fromOwner {
		if reply.Epoch > a.highestEpoch || a.owner == "" || a.owner == addr {
			a.owner = reply.Owner
			if reply.Owner == addr {
				a.owner = ""
			}
		}
		return false
	}
	a.setOwner(addr, reply.Epoch)
	return true
}

// setOwner sets the owner and tells the sessions if it changed. a.mu must be held.
func (a *Agent) setOwner(addr string, epoch uint64) {
	if a.owner == addr && a.highestEpoch == epoch {
		return
	}
	a.owner, a.highestEpoch = addr, epoch
	a.opts.Log.Event("owner_found", "owner", addr, "epoch", epoch)
	for _, s := range a.sessions {
		s.ownerChanged()
	}
}

// OwnerChanged handles the call of a new owner, which awaits reports on the given workers.
// It returns the highest epoch seen.
func (a *Agent) OwnerChanged(owner string, epoch uint64, workers []workflowrpc.Worker) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch > a.highestEpoch {
		a.setOwner(owner, epoch)
	}
	if epoch == a.highestEpoch {
		for _, w := range workers {
			a.checkWorker(w)
		}
	}
	return a.highestEpoch
}

// checkWorker starts a session for a worker that this process does not know, which the
// owner expects on this machine. The session finds out whether the worker still serves,
// before its next heartbeat, or has ended and will send none. a.mu must be held.
func (a *Agent) checkWorker(w workflowrpc.Worker) {
	if a.sessions[w.ID] != nil || !sameHost(w.Addr, a.opts.Addr) || a.ctx.Err() != nil {
		return
	}
	w.Unconfirmed, w.Draining, w.Gone, w.End = true, false, false, ""
	a.opts.Log.Event("worker_expected", "worker", w.ID, "incarnation", w.Incarnation, "addr", w.Addr)
	a.startSession(w, w.Addr, 0, nil)
}

// sameHost reports whether two addresses are on one machine. Only then does a refused
// connection show that no process listens.
func sameHost(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	return errA == nil && errB == nil && hostA == hostB
}

// startSession starts a session for an incarnation of a worker that serves at addr. earlier
// is the session of the incarnation before, or nil. a.mu must be held.
func (a *Agent) startSession(w workflowrpc.Worker, addr string, seq uint64, earlier *session) {
	s := newSession(a, w, addr, seq)
	if earlier != nil && earlier.incarnation < w.Incarnation {
		s.takeStrayStarts(earlier)
	}
	a.sessions[w.ID] = s
	a.wg.Go(func() { s.run(a.ctx) })
}

func (a *Agent) currentEntriesVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entriesVersion
}

func (a *Agent) currentEpoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.highestEpoch
}

// ExtendLeases renews all leases once more before the agent's process is replaced, so that
// they last until the next process renews them. It returns when the workers have
// answered or ctx ends.
func (a *Agent) ExtendLeases(ctx context.Context) {
	a.mu.Lock()
	sessions := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		sessions = append(sessions, s)
	}
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range sessions {
		wg.Go(func() {
			// With a wait of 0 the worker answers at once.
			if err := s.hold(ctx, 0); err != nil {
				a.opts.Log.Event("lease_not_extended", "worker", s.id, "err", err.Error())
			}
		})
	}
	wg.Wait()
}

// Service is the RPC service of an Agent.
type Service struct{ Agent *Agent }

// OwnerChanged tells the agent of a new owner. The reply has the highest epoch that
// the agent has seen.
func (s *Service) OwnerChanged(args *workflowrpc.OwnerArgs, reply *workflowrpc.OwnerReply) error {
	reply.Epoch = s.Agent.OwnerChanged(args.Owner, args.Epoch, args.Workers)
	return nil
}
