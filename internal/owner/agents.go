package owner

import (
	"context"
	"math/bits"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// agent is the owner's record of an agent, in addition to its registry entry. Its
// fields are guarded by Owner.mu.
type agent struct {
	info            structs.AgentInfo
	manifestVersion uint64
	// usage is the last resource usage reported by the worker, measured at
	// usageAt. lastFreedAt is when a gang last gave up resources of the worker.
	usage                structs.Usage
	usageAt, lastFreedAt time.Duration
	// announceRequested makes the reply to the next heartbeat ask the agent to
	// announce itself.
	announceRequested bool
	// pausedUntil is the time until which no work is placed on the worker, set
	// after the agent refused a reservation.
	pausedUntil time.Duration
	// sentEntriesVersion is the version of the entry list last sent to the agent.
	sentEntriesVersion uint64
	// announceAcked is true if the agent has received the reply to its
	// announcement, which a later heartbeat shows.
	announceAcked bool
	// ackedHealthVersion is the version of the worker's health record that the
	// agent has confirmed.
	ackedHealthVersion uint32
	relayState
}

// Announce processes the announcement of an agent, which contains its full state.
func (o *Owner) Announce(args *structs.AnnounceArgs) (structs.HeartbeatReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return structs.HeartbeatReply{}, o.notOwner(verdict.NotRun)
	}
	if args.HighestFence.Epoch() > o.cfg.Epoch {
		o.cfg.OnHigherEpoch(args.HighestFence.Epoch())
		return structs.HeartbeatReply{}, verdict.Refuse(verdict.CodeStaleEpoch, "agent %q has seen epoch %d, this owner has %d", args.Info.ID, args.HighestFence.Epoch(), o.cfg.Epoch)
	}
	id := args.Info.ID
	old := o.agents[id]
	if old != nil && old.info.Incarnation == args.Info.Incarnation && !old.announceAcked && !o.recovering {
		// An agent that announces itself repeatedly does not receive this owner's
		// replies. It must not count as present: its gangs cannot report their
		// outcomes either, and their jobs would wait for as long as the link is
		// cut.
		return o.heartbeatReply(old), nil
	}
	events, err := o.registry.Announce(o.now(), args.Info, args.Draining)
	if err != nil {
		return structs.HeartbeatReply{}, err
	}
	a := &agent{info: args.Info, manifestVersion: args.ManifestVersion}
	o.importHealth(a, args.Health)
	if old != nil {
		a.usage, a.usageAt, a.lastFreedAt = old.usage, old.usageAt, old.lastFreedAt
		a.avoidRelays = old.avoidRelays
	}
	o.agents[id] = a
	delete(o.awaitedAgents, id)
	for i := range args.Gangs {
		o.adoptGang(&args.Gangs[i])
	}
	o.queryRank0At(&args.Info)
	o.applyMembershipEvents(events)
	klog.InfoS("Agent announced", "agent", id, "domain", o.cfg.Domain, "gangs", len(args.Gangs), "incarnation", args.Info.Incarnation)
	o.persistMembersRow()
	o.triggerCycle()
	return o.heartbeatReply(a), nil
}

// Heartbeat processes a heartbeat that an agent sent directly to the owner.
func (o *Owner) Heartbeat(args *structs.HeartbeatArgs) (structs.HeartbeatReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return structs.HeartbeatReply{}, o.notOwner(verdict.NotRun)
	}
	a := o.agents[args.AgentID]
	if a != nil && a.info.Incarnation == args.Incarnation && args.Epoch == o.cfg.Epoch {
		a.announceAcked, a.ackedHealthVersion = true, args.HealthVersion
		o.noteDirectHeartbeat(a, args.RelayFailed)
	}
	if a == nil || a.info.Incarnation != args.Incarnation || args.Epoch != o.cfg.Epoch || a.announceRequested {
		return structs.HeartbeatReply{Epoch: o.cfg.Epoch, Announce: true}, nil
	}
	a.manifestVersion = max(a.manifestVersion, args.ManifestVersion)
	if args.ManifestVersion > o.cfg.Manifests.Version() {
		o.cfg.OnHigherManifest(a.info.Addr, args.ManifestVersion)
	}
	if args.Usage != nil {
		a.usage = *args.Usage
		a.usageAt = o.now() - args.Usage.Lag
	}
	announce, events, err := o.registry.Heartbeat(o.now(), args.AgentID, args.Incarnation, args.Draining)
	if err != nil {
		return structs.HeartbeatReply{}, err
	}
	o.applyMembershipEvents(events)
	if announce {
		return structs.HeartbeatReply{Epoch: o.cfg.Epoch, Announce: true}, nil
	}
	return o.heartbeatReply(a), nil
}

// heartbeatReply returns the reply to an announcement or a direct heartbeat of an
// agent: what the agent lacks, and the relay for its next heartbeats. The caller
// holds o.mu.
func (o *Owner) heartbeatReply(a *agent) structs.HeartbeatReply {
	reply := structs.HeartbeatReply{Epoch: o.cfg.Epoch, ManifestVersion: o.cfg.Manifests.Version()}
	if entries, version := o.cfg.Entries(); version != a.sentEntriesVersion {
		reply.Entries = entries
		a.sentEntriesVersion = version
	}
	if !o.healthDue(a) {
		o.assignRelay(a, &reply)
		return reply
	}
	// The agent confirms the record with its next heartbeat, which must come
	// directly to the owner.
	a.clearRelay()
	record := o.health.Export(o.now(), a.info.ID)
	record.Epoch = o.cfg.Epoch
	reply.Health = &record
	counters.Add("health_records_sent", 1)
	return reply
}

// healthDue reports whether the agent lacks the current health record of its
// worker. The caller holds o.mu.
func (o *Owner) healthDue(a *agent) bool {
	version := o.health.Version(a.info.ID)
	return version != 0 && version != a.ackedHealthVersion
}

// importHealth imports the worker health record that an agent kept from an
// earlier owner. The caller holds o.mu.
func (o *Owner) importHealth(a *agent, record *structs.WorkerHealth) {
	switch {
	case record == nil || record.Epoch > o.cfg.Epoch:
	case record.Epoch == o.cfg.Epoch:
		a.ackedHealthVersion = record.Version
	case o.health.Import(o.now(), a.info.ID, record):
		counters.Add("health_records_imported", 1)
		if record.Quarantined {
			klog.InfoS("Imported a quarantine from the previous owner", "agent", a.info.ID, "domain", o.cfg.Domain, "probeIn", record.ProbeIn)
		}
	}
}

// adoptGang registers a gang that a member reported in its announcement. The
// caller holds o.mu.
func (o *Owner) adoptGang(r *structs.GangReport) {
	switch r.Phase {
	case structs.PhaseCommitted, structs.PhaseArmed, structs.PhaseReleased:
	default:
		return // reservations expire, and ended gangs are reported by GangFinished
	}
	g := o.gangs[r.Gang.ID]
	if g != nil && g.knownFromRow {
		jobHolds.Add("announced", 1)
		o.removeGang(g) // the report has all members, the row only rank 0
		g = nil
	}
	if g != nil {
		if g.incarnations[r.Rank] == 0 {
			g.incarnations[r.Rank] = o.agents[r.Gang.Members[r.Rank].AgentID].info.Incarnation
		}
		if r.Rank == 0 && g.state == gangUncertain && r.Phase == structs.PhaseReleased {
			o.setRunning(g)
		}
		return
	}
	g = &gang{
		desc: r.Gang, state: gangRunning, account: r.Gang.Account,
		shape:          shapeOf(&r.Gang),
		startedAt:      o.now() - r.RunningFor,
		checkpointedAt: o.now() - r.RunningFor,
		knownSince:     o.now(),
		incarnations:   make([]int64, len(r.Gang.Members)),
		verifyUntil:    o.now() + verifyWindow,
	}
	for i, m := range r.Gang.Members {
		if a := o.agents[m.AgentID]; a != nil {
			g.incarnations[i] = a.info.Incarnation
		}
	}
	if j := o.jobs[r.Gang.JobID]; j != nil {
		o.adoptGangForJob(j, g)
	}
	o.gangs[r.Gang.ID] = g
	counters.Add("gangs_adopted", 1)
}

// shapeOf derives a shape from a gang whose job is not known.
func shapeOf(g *structs.Gang) structs.Shape {
	return structs.Shape{
		Workers: len(g.Members), Accelerators: bits.OnesCount64(g.Members[0].Accelerators),
		Adjacency: structs.AdjacentNone, CoresMilli: g.CoresMilli, MemoryMB: g.MemoryMB,
	}
}

// adoptGangForJob links a reported gang to its job. A gang that the job no longer
// needs is marked obsolete and stopped. A gang of a job in state unknown
// continues without being the current attempt, because its result still counts.
// The caller holds o.mu.
func (o *Owner) adoptGangForJob(j *job, g *gang) {
	o.dropSupersededGang(j, g.desc.Attempt)
	g.job, g.shape = j, j.rec.Shape
	switch {
	case j.gang != nil, j.rec.State.Final() && j.rec.State != structs.JobUnknown, j.rec.Attempt > g.desc.Attempt:
		g.obsolete = true
	case j.rec.State == structs.JobUnknown:
	default:
		o.attachGang(j, g)
	}
}

// attachGang makes a running gang of an earlier owner the current attempt of its
// job. The caller holds o.mu.
func (o *Owner) attachGang(j *job, g *gang) {
	j.gang, j.mayBeRunning = g, false
	j.rec.GangID, j.rec.Attempt = g.desc.ID, g.desc.Attempt
	j.rec.Rank0, j.rec.Rank0Incarnation = g.rank0(), g.incarnations[0]
	o.setState(j, structs.JobRunning, verdict.MayHaveRun, nil)
}

// markGangsLost marks the gangs lost whose rank 0 ran on an earlier incarnation
// of the agent. Gangs of which the agent was another member end when their lease
// expires, and their rank 0 reports that. The caller holds o.mu.
func (o *Owner) markGangsLost(agentID string, incarnation int64, reason string) {
	for _, g := range o.gangs {
		if g.desc.Members[0].AgentID == agentID && g.incarnations[0] != incarnation && g.state != gangExpiring {
			o.markLostLocked(g, reason)
		}
	}
}

// workerState combines the heartbeat state, pauses after refused reservations,
// and the failure statistics. The caller holds o.mu.
func (o *Owner) workerState(id string, now time.Duration) structs.WorkerState {
	state := o.registryState(id)
	if state != structs.WorkerReady {
		return state
	}
	if a := o.agents[id]; a != nil && a.pausedUntil > now {
		return structs.WorkerSuspect
	}
	return o.health.State(now, id)
}

// reconcileLoop handles timeouts and the consequences of lost messages. Each
// round is idempotent.
func (o *Owner) reconcileLoop() {
	tick := time.NewTicker(o.cfg.Timing.ReconcileInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-tick.C:
			o.expireAgents()
			o.expireJobs()
			o.reconcileGangs()
			o.updateForecasts()
		}
	}
}

// reconcileGangs removes gangs whose reservations have expired and queries the
// agents of gangs whose state is uncertain or has to be verified.
func (o *Owner) reconcileGangs() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	for _, g := range o.gangs {
		switch {
		case g.state == gangExpiring && now >= g.reservationsExpireAt:
			o.removeGang(g)
		case g.state == gangDispatching || g.state == gangExpiring || g.querying:
		case g.knownFromRow && g.desc.Idempotent && g.state == gangUncertain && now >= g.holdUntil:
			jobHolds.Add("expired", 1)
			o.markLostLocked(g, "rank 0 has not answered since the takeover")
		case o.registryState(g.desc.Members[0].AgentID) == structs.WorkerLost && now-g.knownSince > o.cfg.Timing.LostAfter:
			o.markLostLocked(g, "the agent of rank 0 is lost")
		case g.state == gangUncertain:
			o.startQuery(g, o.queryUncertainGang)
		case g.state == gangRunning && g.desc.Idempotent && len(g.desc.Members) > 1 && o.rank0Silent(g) && now-g.verifiedAt > verifyInterval:
			o.startQuery(g, o.queryMembers)
		case (now < g.verifyUntil || g.ended) && now-g.verifiedAt > verifyInterval:
			o.startQuery(g, o.verifyAdoptedGang)
		case g.obsolete || g.job != nil && g.job.cancelRequested:
			o.startQuery(g, o.stopGang)
		}
	}
}

// expireJobs refuses waiting jobs whose deadline has passed. The scheduler does
// not see jobs that wait for the platform, so it cannot refuse them.
func (o *Owner) expireJobs() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	for _, j := range o.jobs {
		if j.queued() && j.deadline > 0 && now > j.deadline {
			o.applyRefusal(structs.Refusal{JobID: j.rec.ID, Reason: structs.DeadlineMissed, Detail: "the deadline passed before the job could start"})
		}
	}
}

// startQuery runs f on g in a goroutine and sets g.querying meanwhile. Callers
// check g.querying so that a gang has one query at a time. The caller holds o.mu.
func (o *Owner) startQuery(g *gang, f func(*gang)) {
	g.querying = true
	o.runAsync(func() {
		f(g)
		o.mu.Lock()
		g.querying = false
		o.mu.Unlock()
	})
}

// memberRow is the value of the row members/<domain>, which lists the agents of
// the domain.
type memberRow struct {
	// Agents lists the agent IDs in order, and Addrs the RPC addresses of the
	// same agents. Rows of earlier versions have no Addrs.
	Agents []string `json:"agents"`
	Addrs  []string `json:"addrs,omitempty"`
}

// loadMembersRow reads the agents that the previous owner knew. It retries until
// it succeeds: without the list, jobs that run on those agents would be placed
// again.
func (o *Owner) loadMembersRow() {
	var members []byte
	for o.ctx.Err() == nil {
		row, err := o.cfg.Table.Get(o.ctx, membersRowKey(o.cfg.Domain))
		if err == nil {
			members = row.Value
			break
		}
		if verdict.HasCode(err, verdict.CodeNotFound) {
			break
		}
		retry.Sleep(o.ctx, retry.Jitter(storeRetryDelay))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.membersRow, o.membersRowLoaded = members, true
	for id, addr := range decodeMembersRow(members) {
		if o.agents[id] == nil {
			o.awaitedAgents[id] = addr
		}
	}
	o.persistMembersRow()
}

// notifyAgents tells the agents of the previous owner about this one, so that
// they announce themselves without searching for it. Each agent is called once;
// an agent that the call does not reach searches for the owner by itself.
func (o *Owner) notifyAgents() {
	o.mu.Lock()
	addrs := make([]string, 0, len(o.awaitedAgents))
	for _, addr := range o.awaitedAgents {
		if addr != "" {
			addrs = append(addrs, addr)
		}
	}
	o.mu.Unlock()
	self := structs.Owner{Domain: o.cfg.Domain, EntryID: o.cfg.EntryID, Addr: o.cfg.Addr, Epoch: o.cfg.Epoch}
	var group errgroup.Group
	group.SetLimit(maxConcurrentNotifications)
	for _, addr := range addrs {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(o.ctx, notifyTimeout)
			defer cancel()
			err := o.cfg.Caller.Call(ctx, addr, "Agent.OwnerChanged", &structs.OwnerChangedArgs{Owner: self}, &structs.OwnerChangedReply{})
			if err != nil {
				agentNotifications.Add(string(verdict.From(err).Code), 1)
				return nil
			}
			agentNotifications.Add("accepted", 1)
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
}

func appendUnique(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}
