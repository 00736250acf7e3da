package membership

import (
	"cmp"
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Limits of a Relay.
const (
	DefaultReportInterval = time.Second
	// silentIntervals is the number of intervals without a heartbeat after which an
	// agent is reported as silent. It is above 1 so that a heartbeat which arrives
	// slightly late is not reported as silence.
	silentIntervals = 1.5
	// unacknowledgedIntervals is the number of intervals without an acknowledged
	// report after which the relay sends its agents to the owner. The owner suspects
	// them one interval later.
	unacknowledgedIntervals = 2
	// idleTableExpiry is the time without heartbeats after which a table is dropped.
	// Until then, agents whose heartbeats arrive late still learn that the owner is
	// gone.
	idleTableExpiry = 10 * time.Second
	// maxRelayTables limits the number of owners and epochs that a relay serves at the same time.
	maxRelayTables = 64
)

var relayMetrics = expvar.NewMap("parsleypier_relay")

const (
	metricHeartbeats     = "heartbeats"
	metricRegistrations  = "registrations"
	metricReports        = "reports"
	metricReportFailures = "reportFailures"
	metricFullReports    = "fullReports"
	metricTurned         = "agentsTurned"
	metricTablesDropped  = "tablesDropped"
)

// Caller makes RPCs; it is implemented by rpc.Pool.
type Caller interface {
	Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error
}

// RelayOptions configure a Relay.
type RelayOptions struct {
	Caller Caller
	// Interval is the interval of heartbeats and reports; DefaultReportInterval if 0.
	Interval time.Duration
	// Version returns the manifest version in force.
	Version func() uint64
	// Entries returns the known entries and a version that changes with them.
	Entries func() ([]structs.EntryInfo, uint64)
	// OnAgentVersion and OnOwnerVersion are called with the manifest version of the agent
	// or owner at addr, which may be newer than this process's. They must not block.
	OnAgentVersion, OnOwnerVersion func(addr string, version uint64)
}

// Relay receives heartbeats of agents on behalf of the owners of their domains,
// and sends each owner one report per interval. The owner's registry alone decides
// whether an agent is suspect or lost. A relay makes an agent turn to the owner, that
// is, send its heartbeats to the owner directly, through the Turn field of a
// heartbeat reply. Relay is safe for concurrent use.
type Relay struct {
	options RelayOptions

	mu        sync.Mutex
	tables    map[relayTableKey]*relayTable
	tokens    map[uint64]*relayedAgent
	lastToken uint64 // the last token issued
	// leaveAnnounced means that reports tell the owners that this relay is leaving.
	// leaving means that the owners have been told, and that agents must turn to
	// them.
	leaveAnnounced, leaving bool
}

// relayTableKey identifies an owner in one of its terms.
type relayTableKey struct {
	domain, addr string
	epoch        uint32
}

// relayTable holds the agents that the relay serves for one owner. Relay.mu guards it.
type relayTable struct {
	key    relayTableKey
	agents map[string]*relayedAgent
	// seq is the number of the last report sent, and base that of the last one
	// acknowledged. base is 0 if the next report must list all agents.
	seq, base     uint64
	lastAck       time.Time // when the last acknowledged report was built
	lastHeartbeat time.Time // when the last heartbeat of any agent arrived
	reporting     bool      // a report is in progress
	// ownerGone means that the owner is no longer the owner; ownerReleased, that it
	// wants all agents to send their heartbeats directly.
	ownerGone, ownerReleased bool
}

// relayedAgent is an agent that sends its heartbeats to the relay.
type relayedAgent struct {
	registration    structs.RelayRegistration
	table           *relayTable
	token           uint64
	lastHeartbeat   time.Time
	manifestVersion uint64 // version of the manifest in force at the agent
	entriesVersion  uint64 // version of the known entries that the agent has
	// usage is the usage that the owner has not acknowledged; nil if there is none.
	// It was received at usageAt.
	usage   *structs.Usage
	usageAt time.Time
	// reported means that the owner has acknowledged the agent as alive;
	// turnRequested, that the owner wants the agent to turn to it; turned, that the
	// relay has told the agent to do so.
	reported, turnRequested, turned bool
}

// NewRelay returns a relay that sends no reports until Run is called.
func NewRelay(o RelayOptions) *Relay {
	o.Interval = cmp.Or(o.Interval, DefaultReportInterval)
	// Tokens start at a random number, so that those of an earlier process at the
	// same address do not match.
	return &Relay{options: o, tables: map[relayTableKey]*relayTable{}, tokens: map[uint64]*relayedAgent{}, lastToken: uint64(rand.Uint32()) << 8}
}

// Run sends reports until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(r.options.Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, t := range r.dueTables() {
			wg.Go(func() { r.report(ctx, t) })
		}
	}
}

// Leave tells the owners that this relay is leaving, and then makes all agents
// turn to them. In the opposite order, an owner could assign this relay to an
// agent again; the agent would count that as a failure, and would then avoid the
// entry that replaces this one.
func (r *Relay) Leave(ctx context.Context) {
	r.mu.Lock()
	r.leaveAnnounced = true
	var tables []*relayTable
	for _, t := range r.tables {
		tables = append(tables, t)
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, t := range tables {
		wg.Go(func() { r.report(ctx, t) })
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Heartbeat handles the RPC Relay.Heartbeat.
func (r *Relay) Heartbeat(args *structs.RelayHeartbeatArgs, reply *structs.RelayHeartbeatReply) error {
	now, version := time.Now(), r.options.Version()
	relayMetrics.Add(metricHeartbeats, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.tokens[args.Token]
	if args.Register != nil {
		if a = r.register(*args.Register, now); a == nil {
			reply.Turn = structs.RedirectRelayFailed
			return nil
		}
		reply.Token = a.token
	}
	if a == nil || a.turned {
		reply.Turn = structs.RedirectReleased
		return nil
	}
	a.lastHeartbeat, a.table.lastHeartbeat, a.manifestVersion = now, now, args.ManifestVersion
	if args.Usage != nil {
		a.usage, a.usageAt = args.Usage, now
	}
	if reply.Turn = r.turnReason(a, now); reply.Turn != structs.RedirectNone {
		a.turned = true
		relayMetrics.Add(metricTurned, 1)
		return nil
	}
	if args.ManifestVersion < version {
		reply.ManifestVersion = version
	} else if args.ManifestVersion > version {
		r.options.OnAgentVersion(a.registration.Addr, args.ManifestVersion)
	}
	if entries, v := r.options.Entries(); v != a.entriesVersion {
		reply.Entries, a.entriesVersion = entries, v
	}
	return nil
}

// turnReason returns why an agent must turn to the owner; RedirectNone if it stays. The
// caller holds r.mu.
func (r *Relay) turnReason(a *relayedAgent, now time.Time) structs.RedirectReason {
	t := a.table
	switch {
	case t.ownerGone:
		return structs.RedirectOwnerGone
	case now.Sub(t.lastAck) >= unacknowledgedIntervals*r.options.Interval:
		return structs.RedirectRelayFailed
	case r.leaving, t.ownerReleased, a.turnRequested:
		return structs.RedirectReleased
	}
	return structs.RedirectNone
}

// register adds an agent. It returns nil if the relay is leaving or full, or if a
// higher incarnation of the agent is registered. The caller holds r.mu.
func (r *Relay) register(reg structs.RelayRegistration, now time.Time) *relayedAgent {
	key := relayTableKey{reg.Owner.Domain, reg.Owner.Addr, reg.Owner.Epoch}
	t := r.tables[key]
	if r.leaving || len(r.tokens) >= DefaultMaxAgents || t == nil && len(r.tables) >= maxRelayTables {
		return nil
	}
	if t == nil {
		t = &relayTable{key: key, agents: map[string]*relayedAgent{}, lastAck: now, seq: uint64(now.UnixNano())}
		r.tables[key] = t
	}
	old := t.agents[reg.AgentID]
	if old != nil {
		if old.registration.Incarnation > reg.Incarnation {
			return nil
		}
		delete(r.tokens, old.token)
	}
	if len(t.agents) == 0 && !t.ownerGone {
		// No reports were due while the table had no agents, and the owner may have
		// released the agents that it had before.
		t.lastAck, t.ownerReleased = now, false
	}
	r.lastToken++
	a := &relayedAgent{registration: reg, table: t, token: r.lastToken, lastHeartbeat: now}
	_, a.entriesVersion = r.options.Entries() // the owner has sent them to the agent
	t.agents[reg.AgentID], r.tokens[a.token] = a, a
	relayMetrics.Add(metricRegistrations, 1)
	return a
}

// dueTables returns the tables to report, and drops the idle ones.
func (r *Relay) dueTables() []*relayTable {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*relayTable
	for key, t := range r.tables {
		switch {
		case now.Sub(t.lastHeartbeat) >= idleTableExpiry:
			r.drop(key, t)
		case !t.ownerGone && !t.reporting && len(t.agents) > 0:
			due = append(due, t)
		}
	}
	return due
}

// drop removes a table and the tokens of its agents. The caller holds r.mu.
func (r *Relay) drop(key relayTableKey, t *relayTable) {
	for _, a := range t.agents {
		delete(r.tokens, a.token)
	}
	delete(r.tables, key)
	relayMetrics.Add(metricTablesDropped, 1)
	klog.InfoS("Relay table dropped", "domain", key.domain, "epoch", key.epoch, "gone", t.ownerGone)
}

// report sends one report and handles the reply.
func (r *Relay) report(ctx context.Context, t *relayTable) {
	r.mu.Lock()
	now := time.Now()
	t.reporting = true
	args, sent := r.buildReport(t, now)
	r.mu.Unlock()
	relayMetrics.Add(metricReports, 1)
	ctx, cancel := context.WithTimeout(ctx, r.options.Interval)
	defer cancel()
	reply := &structs.RelayReportReply{}
	err := r.options.Caller.Call(ctx, t.key.addr, "Domain.RelayReport", args, reply)
	r.mu.Lock()
	defer r.mu.Unlock()
	t.reporting = false
	switch {
	case verdict.HasCode(err, verdict.CodeNotOwner) || verdict.HasCode(err, verdict.CodeStaleEpoch):
		t.ownerGone = true
		klog.InfoS("Relay report rejected: the owner has lost the domain", "domain", t.key.domain, "epoch", t.key.epoch, "agents", len(t.agents), "err", err)
	case err != nil:
		// The owner may or may not have applied the report, so the next one is full.
		t.base = 0
		relayMetrics.Add(metricReportFailures, 1)
	case reply.Full:
		t.base, t.lastAck = 0, now
	default:
		t.base, t.lastAck, t.ownerReleased = args.Seq, now, reply.Release
		r.acknowledge(t, sent)
		for _, id := range reply.Turn {
			if a := t.agents[id]; a != nil && a.lastHeartbeat.Before(now) {
				a.turnRequested = true
			}
		}
		r.options.OnOwnerVersion(t.key.addr, reply.ManifestVersion)
	}
}

// reportedAgent is the state of an agent that was sent in a report.
type reportedAgent struct {
	agent         *relayedAgent
	silent        bool
	usage         *structs.Usage
	lastHeartbeat time.Time
}

// buildReport builds the next report of a table: all agents if base is 0, otherwise
// those that changed since the report base. The caller holds r.mu.
func (r *Relay) buildReport(t *relayTable, now time.Time) (*structs.RelayReportArgs, []reportedAgent) {
	t.seq++
	args := &structs.RelayReportArgs{Domain: t.key.domain, Epoch: t.key.epoch, Seq: t.seq, Base: t.base, Leaving: r.leaveAnnounced}
	if t.base == 0 {
		relayMetrics.Add(metricFullReports, 1)
	}
	limit := time.Duration(silentIntervals * float64(r.options.Interval))
	var sent []reportedAgent
	first := true
	for id, a := range t.agents {
		age := now.Sub(a.lastHeartbeat)
		silent := a.turned || age >= limit
		if !silent && (first || a.manifestVersion < args.MinManifest) {
			args.MinManifest, first = a.manifestVersion, false
		}
		switch {
		case silent:
			args.Silent = append(args.Silent, structs.RelaySilent{ID: id, Age: age})
		case t.base == 0 || !a.reported || a.usage != nil:
			alive := structs.RelayAlive{ID: id, Incarnation: a.registration.Incarnation}
			if a.usage != nil {
				u := *a.usage
				u.Lag += now.Sub(a.usageAt)
				alive.Usage = &u
			}
			args.Alive = append(args.Alive, alive)
		default:
			continue
		}
		sent = append(sent, reportedAgent{a, silent, a.usage, a.lastHeartbeat})
	}
	return args, sent
}

// acknowledge records what the owner knows from a report that it has acknowledged. The caller holds r.mu.
func (r *Relay) acknowledge(t *relayTable, sent []reportedAgent) {
	for _, s := range sent {
		a := s.agent
		if t.agents[a.registration.AgentID] != a {
			// The agent registered again while the report was in progress.
			continue
		}
		switch {
		case !s.silent:
			a.reported = true
			if a.usage == s.usage {
				a.usage = nil
			}
		case a.turned || a.lastHeartbeat.Equal(s.lastHeartbeat):
			delete(t.agents, a.registration.AgentID)
			delete(r.tokens, a.token)
		default:
			a.reported = false // a heartbeat arrived while the report was in progress
		}
	}
}
