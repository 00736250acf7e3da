package owner

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

const (
	// missedReportIntervals is the number of heartbeat intervals without a report
	// after which the owner takes back the agents of a relay. The extra quarter
	// of an interval tolerates a slightly late report.
	missedReportIntervals = 2.25
	// relayBarDuration is how long a relay that failed its agents is not assigned
	// to any agent. The row of an entry that died stays valid for 15 s, so the
	// entry is listed until then.
	relayBarDuration = 15 * time.Second
	// linkBarDuration is how long a relay that failed one agent is not assigned
	// to that agent again. Each new attempt over a cut link costs the agent a
	// heartbeat.
	linkBarDuration = time.Minute
)

// relays is the state of the relays that an owner uses. It is guarded by
// Owner.mu.
type relays struct {
	// active is true while heartbeats are relayed because there are enough
	// agents.
	active  bool
	byEntry map[string]*relay // by entry ID
	// checkedAt is when checkRelays last ran.
	checkedAt time.Duration
	// barredUntil maps the entry IDs of relays that are not to be assigned to the
	// time until which this applies.
	barredUntil map[string]time.Duration
}

// relay is an entry that receives heartbeats for the owner.
type relay struct {
	lastSeq      uint64
	lastReportAt time.Duration // when the last report was applied
	// agents maps the agents whose heartbeats the relay receives to their
	// incarnations.
	agents map[string]int64
}

// relayState is the part of an agent's record that concerns relays.
type relayState struct {
	// relayID is the entry ID of the relay assigned to the agent, and reported is
	// true once that relay has reported heartbeats of the agent. Both are zero
	// without a relay.
	relayID  string
	reported bool
	// moveRelay is true if chooseRelay now selects another relay for the agent.
	moveRelay bool
	// lastDirectAt is when the agent last sent a heartbeat to the owner itself.
	lastDirectAt time.Duration
	// avoidRelays maps the entry IDs of relays that failed the agent to the time
	// until which they are not assigned to it.
	avoidRelays map[string]time.Duration
}

// clearRelay removes the assigned relay.
func (r *relayState) clearRelay() { r.relayID, r.reported, r.moveRelay = "", false, false }

func newRelays() relays {
	return relays{byEntry: map[string]*relay{}, barredUntil: map[string]time.Duration{}}
}

// noteDirectHeartbeat records a heartbeat that the agent sent to the owner
// itself, after which reports of its relay no longer count for the agent. failed
// is the entry ID of a relay that the agent could not use, or "". The caller
// holds o.mu.
func (o *Owner) noteDirectHeartbeat(a *agent, failed string) {
	now := o.now()
	a.lastDirectAt = now
	a.clearRelay()
	if failed == "" {
		return
	}
	counters.Add("relay_failures", 1)
	if a.avoidRelays == nil {
		a.avoidRelays = map[string]time.Duration{}
	}
	a.avoidRelays[failed] = now + linkBarDuration
}

// assignRelay chooses the relay of an agent and sets it in the reply. The caller
// holds o.mu.
func (o *Owner) assignRelay(a *agent, reply *structs.HeartbeatReply) {
	a.clearRelay()
	if !o.relays.active {
		return
	}
	if m, ok := o.registry.Member(a.info.ID); !ok || m.Draining {
		// A draining agent reports that to the owner directly.
		return
	}
	if e, ok := o.chooseRelay(a); ok {
		a.relayID = e.ID
		reply.RelayID, reply.RelayAddr = e.ID, e.RPCAddr
		counters.Add("relays_named", 1)
	}
}

// chooseRelay selects a relay by rendezvous hashing among the entries that may
// own the domain, so that few agents move when an entry joins or leaves. The
// caller holds o.mu.
func (o *Owner) chooseRelay(a *agent) (structs.EntryInfo, bool) {
	now := o.now()
	entries, _ := o.cfg.Entries()
	var best structs.EntryInfo
	var highest uint64
	for _, e := range entries {
		if e.RPCAddr == "" || !slices.Contains(e.Domains, o.cfg.Domain) || o.relays.barredUntil[e.ID] > now || a.avoidRelays[e.ID] > now {
			continue
		}
		sum := sha256.Sum256([]byte(e.ID + "\x00" + a.info.ID))
		if h := binary.BigEndian.Uint64(sum[:]); best.ID == "" || h > highest {
			best, highest = e, h
		}
	}
	return best, best.ID != ""
}

// checkRelays enables or disables relays according to the number of agents, and
// takes back the agents of relays that do not report. The caller holds o.mu.
func (o *Owner) checkRelays() {
	if o.cfg.RelayThreshold <= 0 {
		return
	}
	present := 0
	for id := range o.agents {
		if o.registryState(id) != structs.WorkerLost {
			present++
		}
	}
	switch r := &o.relays; {
	case !r.active && present > o.cfg.RelayThreshold:
		r.active = true
		klog.InfoS("Relaying of heartbeats enabled", "domain", o.cfg.Domain, "agents", present)
	case r.active && 4*present < 3*o.cfg.RelayThreshold:
		// The lower threshold for disabling prevents frequent changes.
		r.active = false
		klog.InfoS("Relaying of heartbeats disabled", "domain", o.cfg.Domain, "agents", present)
	}
	now := o.now()
	limit := time.Duration(missedReportIntervals * float64(o.cfg.Timing.HeartbeatInterval))
	// After a pause of this process, reports may be waiting that it has not
	// processed yet, so the pause does not count as silence of the relays.
	paused := max(now-o.relays.checkedAt-2*o.cfg.Timing.ReconcileInterval, 0)
	o.relays.checkedAt = now
	for id, r := range o.relays.byEntry {
		r.lastReportAt = min(r.lastReportAt+paused, now)
		switch {
		case now-r.lastReportAt < limit:
		case len(r.agents) == 0:
			delete(o.relays.byEntry, id) // without agents it sends no reports
		default:
			counters.Add("relays_silent", 1)
			klog.InfoS("Relay stopped reporting", "relay", id, "domain", o.cfg.Domain, "agents", len(r.agents))
			o.barRelay(id)
		}
	}
	for id, until := range o.relays.barredUntil {
		if until <= now {
			delete(o.relays.barredUntil, id)
		}
	}
	for _, a := range o.agents {
		if a.reported {
			e, ok := o.chooseRelay(a)
			a.moveRelay = ok && e.ID != a.relayID
		}
	}
}

// barRelay takes back the agents of a relay and does not assign the relay to any
// agent for relayBarDuration. The caller holds o.mu.
func (o *Owner) barRelay(id string) {
	o.relays.barredUntil[id] = o.now() + relayBarDuration
	o.dropRelay(id)
}

// dropRelay takes back the agents of a relay. The caller holds o.mu.
func (o *Owner) dropRelay(id string) {
	delete(o.relays.byEntry, id)
	for _, a := range o.agents {
		if a.relayID == id {
			a.clearRelay()
		}
	}
}

// RelayReport processes a relay's report on the agents whose heartbeats it
// receives.
func (o *Owner) RelayReport(args *structs.RelayReportArgs) (structs.RelayReportReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := structs.RelayReportReply{ManifestVersion: o.cfg.Manifests.Version()}
	id, now := args.From, o.now()
	switch {
	case o.stopped:
		return reply, o.notOwner(verdict.NotRun)
	case args.Epoch != o.cfg.Epoch:
		counters.Add("relay_reports_stale", 1)
		return reply, verdict.Refuse(verdict.CodeStaleEpoch, "report of epoch %d, this owner has %d", args.Epoch, o.cfg.Epoch)
	case args.Leaving:
		o.barRelay(id)
		return reply, nil
	case !o.relays.active:
		o.dropRelay(id)
		reply.Release = true
		return reply, nil
	case o.relays.barredUntil[id] > now:
		reply.Release = true
		return reply, nil
	}
	r := o.relays.byEntry[id]
	switch {
	case args.Base == 0 && (r == nil || args.Seq > r.lastSeq):
		r = &relay{agents: map[string]int64{}}
		o.relays.byEntry[id] = r
	case r == nil || args.Base != r.lastSeq:
		counters.Add("relay_reports_refused", 1)
		reply.Full = true
		return reply, nil
	}
	r.lastSeq, r.lastReportAt = args.Seq, now
	counters.Add("relay_reports", 1)
	o.applyAlive(id, r, args.Alive)
	o.applySilent(id, r, args.Silent)
	reply.Turn = o.renewRelayedAgents(id, r, args.MinManifest)
	return reply, nil
}

// applyAlive applies the agents of a report that are new or changed. The caller
// holds o.mu.
func (o *Owner) applyAlive(id string, r *relay, alive []structs.RelayAlive) {
	for _, n := range alive {
		r.agents[n.ID] = n.Incarnation
		a := o.agents[n.ID]
		if a == nil || a.relayID != id || a.info.Incarnation != n.Incarnation {
			continue
		}
		// The agent learned of its relay from the reply to its announcement or to
		// a heartbeat, so it has received that reply.
		a.reported, a.announceAcked = true, true
		if n.Usage != nil {
			a.usage, a.usageAt = *n.Usage, o.now()-n.Usage.Lag
		}
	}
}

// applySilent sets the last heartbeat of silent agents back to when the relay
// received it, so that they become suspect as early as without a relay. The
// caller holds o.mu.
func (o *Owner) applySilent(id string, r *relay, silent []structs.RelaySilent) {
	for _, s := range silent {
		delete(r.agents, s.ID)
		if a := o.agents[s.ID]; a != nil && a.relayID == id && a.reported {
			a.reported = false
			o.registry.LowerLastSeen(s.ID, max(a.lastDirectAt, o.now()-s.Age))
		}
	}
}

// renewRelayedAgents renews the agents of a relay, and returns those that must
// send their heartbeats to the owner again. The caller holds o.mu.
func (o *Owner) renewRelayedAgents(id string, r *relay, manifest uint64) (turn []string) {
	for agentID, incarnation := range r.agents {
		a := o.agents[agentID]
		if a == nil || a.relayID != id || a.info.Incarnation != incarnation {
			turn = append(turn, agentID)
			continue
		}
		a.manifestVersion = max(a.manifestVersion, manifest)
		announce, events, err := o.registry.Heartbeat(o.now(), agentID, incarnation, false)
		if announce || err != nil || a.moveRelay || o.needsDirectHeartbeat(a) {
			turn = append(turn, agentID)
		}
		o.applyMembershipEvents(events)
	}
	slices.Sort(turn)
	return turn
}

// needsDirectHeartbeat reports whether the owner has something for the agent that
// only the reply to a direct heartbeat carries. The caller holds o.mu.
func (o *Owner) needsDirectHeartbeat(a *agent) bool { return a.announceRequested || o.healthDue(a) }

// RelayReport processes the report of a relay. It creates no span, because one
// report a second from each relay would fill the trace.
func (s *Service) RelayReport(args *structs.RelayReportArgs, reply *structs.RelayReportReply) error {
	o, refusal := s.owner(args.Domain, verdict.NotRun)
	if refusal != nil {
		reply.Err = refusal
		return nil
	}
	r, err := o.RelayReport(args)
	*reply = r
	reply.Err = verdict.From(err)
	return nil
}
