package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Limits of finding and following the owner.
const (
	// maxFailedHeartbeats is the number of consecutive failures after which the
	// owner counts as lost.
	maxFailedHeartbeats = 2
	searchTimeout       = time.Second
	// maxSearchDelay is the longest delay between two searches. It is short because
	// a new owner waits only 1.5 s, by default, for the announcements of its agents.
	maxSearchDelay  = 500 * time.Millisecond
	announceTimeout = time.Second
	// maxEntries limits the number of entry addresses learned from replies.
	maxEntries = 64
)

// ownerTracker records the owner of the agent's domain, the known entries, and what
// was last exchanged with the owner.
type ownerTracker struct {
	mu      sync.Mutex
	owner   structs.Owner
	changed chan struct{} // closed and replaced when owner changes
	seeds   []string
	entries []string
	// reportedUsage is the worker's usage that the owner was last told.
	reportedUsage structs.Usage
	relay         *relayLink
	heartbeatNow  chan struct{} // signals that a heartbeat is to be sent at once
	// health is the last health record of the worker that an owner sent, received at
	// healthReceivedAt; nil if none. The agent stores it for the next owner.
	health           *structs.WorkerHealth
	healthReceivedAt time.Time
	// announcing is the owner to which an announcement is in progress, with an empty
	// address if there is none.
	announcing structs.Owner
	// caller is the newest owner that has called OwnerChanged and to which the agent
	// has not announced itself yet. callCtx is canceled when an owner calls; a call of
	// the owner in announcing cancels it only if the announcement fails.
	caller        structs.Owner
	callCtx       context.Context
	cancelCallCtx context.CancelFunc
}

func newOwnerTracker(seeds []string) *ownerTracker {
	t := &ownerTracker{changed: make(chan struct{}), seeds: seeds, heartbeatNow: make(chan struct{}, 1)}
	t.resetCaller()
	return t
}

// recordCaller records an owner that has called OwnerChanged, unless the agent is
// announced to it already or a newer owner has called.
func (t *ownerTracker) recordCaller(owner structs.Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if owner.Epoch < t.caller.Epoch || owner.Epoch == t.owner.Epoch && owner.Addr == t.owner.Addr {
		return
	}
	t.caller = owner
	if owner.Epoch != t.announcing.Epoch || owner.Addr != t.announcing.Addr {
		t.cancelCallCtx()
	}
}

// beginAnnouncement records that an announcement to the owner is in progress. If that
// owner has called since it was found, its call does not end the announcement.
func (t *ownerTracker) beginAnnouncement(owner structs.Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announcing = owner
	if t.caller.Addr == owner.Addr && t.caller.Epoch == owner.Epoch {
		t.callCtx, t.cancelCallCtx = context.WithCancel(context.Background())
	}
}

// endAnnouncement ends the announcement in progress. An owner that has called
// meanwhile and is not the current one is announced to at once.
func (t *ownerTracker) endAnnouncement() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announcing = structs.Owner{}
	if t.caller.Addr != "" {
		t.cancelCallCtx()
	}
}

// takeCaller returns the recorded caller and clears it. It returns false if there
// is none.
func (t *ownerTracker) takeCaller() (structs.Owner, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner := t.caller
	if owner.Addr == "" {
		return owner, false
	}
	t.resetCaller()
	return owner, true
}

// resetCaller clears the recorded caller and renews callCtx. t.mu must be held,
// except before t is shared.
func (t *ownerTracker) resetCaller() {
	t.caller = structs.Owner{}
	t.callCtx, t.cancelCallCtx = context.WithCancel(context.Background())
}

// callContext returns a context that is canceled when an owner calls OwnerChanged.
func (t *ownerTracker) callContext() context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callCtx
}

// current returns the owner to which the agent is announced, with an empty address
// if there is none, and a channel that is closed when that owner changes.
func (t *ownerTracker) current() (structs.Owner, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owner, t.changed
}

// setOwner sets the owner to which the agent is announced.
func (t *ownerTracker) setOwner(owner structs.Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.owner.Addr == owner.Addr && t.owner.Epoch == owner.Epoch {
		return
	}
	t.owner = owner
	if owner.Addr != "" && owner.Addr == t.caller.Addr && owner.Epoch == t.caller.Epoch {
		t.resetCaller() // the agent found this owner before its call was handled
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// setEntries replaces the entries learned from replies. The seeds are kept.
func (t *ownerTracker) setEntries(entries []structs.EntryInfo) {
	if len(entries) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = t.entries[:0]
	for _, e := range entries {
		if e.RPCAddr != "" && len(t.entries) < maxEntries {
			t.entries = append(t.entries, e.RPCAddr)
		}
	}
}

// storeHealth stores the worker's health record from an owner, unless it is nil or
// the stored one has a higher epoch.
func (t *ownerTracker) storeHealth(health *structs.WorkerHealth, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if health != nil && (t.health == nil || health.Epoch >= t.health.Epoch) {
		t.health, t.healthReceivedAt = health, now
	}
}

// currentHealth returns the stored health record with its ages as of now, or nil if
// there is none.
func (t *ownerTracker) currentHealth(now time.Time) *structs.WorkerHealth {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.health == nil {
		return nil
	}
	return t.health.Aged(now.Sub(t.healthReceivedAt))
}

// healthVersion returns the version of the stored health record if the owner of the
// epoch sent it, otherwise 0.
func (t *ownerTracker) healthVersion(epoch uint32) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.health == nil || t.health.Epoch != epoch {
		return 0
	}
	return t.health.Version
}

// candidates returns the addresses of the seeds and all known entries, in random
// order without duplicates.
func (t *ownerTracker) candidates() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]bool{}
	var list []string
	for _, addr := range append(append([]string(nil), t.entries...), t.seeds...) {
		if !seen[addr] {
			seen[addr] = true
			list = append(list, addr)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// ownerChanged handles the call of a new owner. It returns stale_epoch if a newer
// owner is known.
func (a *Agent) ownerChanged(owner structs.Owner) *verdict.Error {
	if owner.Domain != a.cfg.Info.Domain || owner.Addr == "" {
		return verdict.Invalid("Owner", "agent is in domain %q", a.cfg.Info.Domain)
	}
	if !a.ledger.observeEpoch(owner.Epoch) {
		return verdict.Refuse(verdict.CodeStaleEpoch, "agent has seen a newer owner than epoch %d", owner.Epoch)
	}
	a.ownerTracker.recordCaller(owner)
	return nil
}

// contextUntilOwnerCall returns a context that ends after d or when a new owner
// calls. An owner or entry that does not answer then cannot delay the announcement
// to the new owner.
func (a *Agent) contextUntilOwnerCall(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(a.ctx, d)
	stop := context.AfterFunc(a.ownerTracker.callContext(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// nextOwner returns the owner that has called, or else asks the entries for one.
func (a *Agent) nextOwner() (structs.Owner, bool) {
	if owner, ok := a.ownerTracker.takeCaller(); ok {
		return owner, a.ledger.observeEpoch(owner.Epoch)
	}
	return a.searchOwner()
}

// followOwner finds the owner, announces the agent to it and sends heartbeats until
// that owner is lost, and so on while the agent runs.
func (a *Agent) followOwner() {
	for a.ctx.Err() == nil {
		owner, ok := a.nextOwner()
		if ok && a.announce(owner) {
			klog.InfoS("Announced to owner", "owner", owner.EntryID, "epoch", owner.Epoch)
			err := a.runHeartbeats(owner)
			if a.ctx.Err() != nil {
				return
			}
			a.ownerTracker.setOwner(structs.Owner{})
			klog.InfoS("Owner lost", "owner", owner.EntryID, "epoch", owner.Epoch, "err", err)
			continue
		}
		ctx, cancel := a.contextUntilOwnerCall(retry.Jitter(maxSearchDelay))
		<-ctx.Done()
		cancel()
	}
}

// searchOwner asks the known entries for the owner until one names an owner whose
// epoch is not lower than the highest seen.
func (a *Agent) searchOwner() (structs.Owner, bool) {
	for _, addr := range a.ownerTracker.candidates() {
		ctx, cancel := a.contextUntilOwnerCall(searchTimeout)
		reply := &structs.OwnerReply{}
		err := a.cfg.Pool.Call(ctx, addr, "Peer.Owner", &structs.OwnerArgs{Domain: a.cfg.Info.Domain}, reply)
		cancel()
		if err != nil {
			continue
		}
		a.ownerTracker.setEntries(reply.Entries)
		if reply.Owner.EntryID != "" && reply.Owner.Addr != "" && a.ledger.observeEpoch(reply.Owner.Epoch) {
			return reply.Owner, true
		}
	}
	return structs.Owner{}, false
}

// announce reports the agent's full state to the owner and reports whether the owner
// accepted it. The caller must have recorded the owner's epoch before: a gang that
// an older owner commits is then either in the report or refused.
func (a *Agent) announce(owner structs.Owner) bool {
	a.ownerTracker.beginAnnouncement(owner)
	defer a.ownerTracker.endAnnouncement()
	gangs, highest, draining := a.ledger.gangReports()
	info := a.Info()
	args := &structs.AnnounceArgs{Info: info, Draining: draining, HighestFence: highest, Gangs: gangs, Outcomes: a.outbox.heldGangs(), Health: a.ownerTracker.currentHealth(time.Now())}
	reply := &structs.HeartbeatReply{}
	ctx, cancel := a.contextUntilOwnerCall(announceTimeout)
	defer cancel()
	if err := a.cfg.Pool.Call(ctx, owner.Addr, "Domain.Announce", args, reply); err != nil {
		return false
	}
	if reply.Epoch != 0 && reply.Epoch != owner.Epoch || !a.ledger.observeEpoch(owner.Epoch) {
		return false
	}
	a.ownerTracker.mu.Lock()
	a.ownerTracker.reportedUsage = structs.Usage{}
	a.ownerTracker.mu.Unlock()
	a.ownerTracker.setRelay(reply)
	a.applyReply(owner, reply)
	a.ownerTracker.setOwner(owner)
	return true
}

// applyReply applies the entries, the health record and the manifest version of an
// owner's reply.
func (a *Agent) applyReply(owner structs.Owner, reply *structs.HeartbeatReply) {
	now := time.Now()
	a.lastOwnerReply.Store(&now)
	a.ownerTracker.setEntries(reply.Entries)
	a.ownerTracker.storeHealth(reply.Health, now)
	a.requestManifest(a.ownerTracker.manifestSource(owner), reply.ManifestVersion)
}

// runHeartbeats sends heartbeats until the owner is lost, and returns the reason.
func (a *Agent) runHeartbeats(owner structs.Owner) error {
	tick := time.NewTicker(a.cfg.HeartbeatInterval)
	defer tick.Stop()
	failures := 0
	for {
		select {
		case <-tick.C:
		case <-a.ownerTracker.heartbeatNow:
		case <-a.ownerTracker.callContext().Done():
			return verdict.Refuse(verdict.CodeNotOwner, "another owner has called")
		case <-a.ctx.Done():
			return a.ctx.Err()
		}
		reply, err := a.sendHeartbeat(owner)
		switch {
		case verdict.HasCode(err, verdict.CodeNotOwner) || verdict.HasCode(err, verdict.CodeStaleEpoch):
			return err
		case err != nil:
			failures++
			if failures >= maxFailedHeartbeats {
				return err
			}
			continue
		case reply.Epoch != owner.Epoch || !a.ledger.observeEpoch(owner.Epoch):
			return verdict.Refuse(verdict.CodeStaleEpoch, "owner answered with epoch %d", reply.Epoch)
		}
		failures = 0
		a.applyReply(owner, reply)
		if reply.Announce && !a.announce(owner) {
			return verdict.Refuse(verdict.CodeUnavailable, "announce failed")
		}
	}
}

// callOwnerHeartbeat calls Domain.Heartbeat. relayFailed is the ID of a relay that
// the agent has given up, or "".
func (a *Agent) callOwnerHeartbeat(owner structs.Owner, relayFailed string) (*structs.HeartbeatReply, error) {
	a.ledger.mu.Lock()
	draining := a.ledger.draining
	a.ledger.mu.Unlock()
	usage := a.usageChange()
	args := &structs.HeartbeatArgs{
		AgentID: a.cfg.Info.ID, Incarnation: a.incarnation(), Epoch: owner.Epoch, Draining: draining, Usage: usage,
		RelayFailed: relayFailed, HealthVersion: a.ownerTracker.healthVersion(owner.Epoch),
	}
	ctx, cancel := a.contextUntilOwnerCall(a.cfg.HeartbeatInterval)
	defer cancel()
	reply := &structs.HeartbeatReply{}
	if err := a.cfg.Pool.Call(ctx, owner.Addr, "Domain.Heartbeat", args, reply); err != nil {
		return nil, err
	}
	if usage != nil {
		a.ownerTracker.mu.Lock()
		a.ownerTracker.reportedUsage = *usage
		a.ownerTracker.mu.Unlock()
	}
	return reply, nil
}

// usageChange returns the worker's usage if it differs by more than a tenth from the
// one last reported, otherwise nil.
func (a *Agent) usageChange() *structs.Usage {
	usage := a.usage.Load()
	if usage == nil {
		return nil
	}
	a.ownerTracker.mu.Lock()
	reported := a.ownerTracker.reportedUsage
	a.ownerTracker.mu.Unlock()
	if differsByTenth(reported.CoresMilli, usage.CoresMilli) || differsByTenth(reported.MemoryMB, usage.MemoryMB) {
		return usage
	}
	return nil
}

// differsByTenth reports whether b differs from a by more than a tenth of a.
func differsByTenth(a, b int) bool {
	d := a - b
	return d*10 > a || -d*10 > a
}

// pollUsage polls the worker's usage. It also detects an unresponsive worker much
// sooner than the long poll of followTasks does.
func (a *Agent) pollUsage() {
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	failures := 0
	for {
		select {
		case <-tick.C:
		case <-a.ctx.Done():
			return
		}
		ctx, cancel := context.WithTimeout(a.ctx, workerCallTimeout)
		usage, err := a.cfg.Worker.Usage(ctx)
		cancel()
		if err == nil {
			failures = 0
			a.usage.Store(&usage)
			a.ledger.clearNotReady(reasonUnresponsive)
		} else if failures++; failures >= maxFailedPolls {
			a.ledger.markUnresponsive()
		}
	}
}
