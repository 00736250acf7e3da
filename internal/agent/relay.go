package agent

import (
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// relayLink is the relay that the owner assigned to the agent, and the token by
// which the relay knows the agent, 0 before the first heartbeat. A relay is an
// entry that collects heartbeats for the owner.
type relayLink struct {
	id, addr string
	token    uint64
}

// currentRelay returns the relay in use, or nil if heartbeats go to the owner.
func (t *ownerTracker) currentRelay() *relayLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.relay
}

// setRelay sets the relay that the owner's reply names, or none.
func (t *ownerTracker) setRelay(reply *structs.HeartbeatReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relay = nil
	if reply.RelayAddr != "" {
		t.relay = &relayLink{id: reply.RelayID, addr: reply.RelayAddr}
	}
}

// clearRelay makes the next heartbeats go to the owner. It also makes the usage be
// sent again, because the relay may not have passed it on.
func (t *ownerTracker) clearRelay() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relay, t.reportedUsage = nil, structs.Usage{}
}

// manifestSource returns the address from which manifests are fetched: the relay, or
// the owner if there is none.
func (t *ownerTracker) manifestSource(owner structs.Owner) string {
	if relay := t.currentRelay(); relay != nil {
		return relay.addr
	}
	return owner.Addr
}

// sendHeartbeat sends one heartbeat to the relay, if the owner has assigned one. It
// sends it to the owner if there is no relay, the relay fails or turns the agent
// away, or the agent is draining.
func (a *Agent) sendHeartbeat(owner structs.Owner) (*structs.HeartbeatReply, error) {
	relay := a.ownerTracker.currentRelay()
	if relay == nil {
		return a.heartbeatOwner(owner, "")
	}
	if a.isDraining() {
		a.ownerTracker.clearRelay()
		return a.heartbeatOwner(owner, "")
	}
	reply, err := a.heartbeatRelay(owner, relay)
	if err == nil && reply.Turn == structs.RedirectNone {
		return &structs.HeartbeatReply{Epoch: owner.Epoch, ManifestVersion: reply.ManifestVersion, Entries: reply.Entries}, nil
	}
	a.ownerTracker.clearRelay()
	klog.InfoS("Heartbeats no longer go through the relay", "relay", relay.id, "reason", reply.Turn, "err", err)
	failed := ""
	switch {
	case err != nil:
		count("relay_failures")
		failed = relay.id
	case reply.Turn == structs.RedirectOwnerGone:
		return nil, verdict.Refuse(verdict.CodeNotOwner, "relay %s says that the owner is gone", relay.id)
	case reply.Turn == structs.RedirectRelayFailed:
		failed = relay.id
	}
	direct, directErr := a.heartbeatOwner(owner, failed)
	if directErr != nil && err == nil && reply.Turn == structs.RedirectRelayFailed {
		// Neither the relay nor the agent can reach the owner: look for another.
		return nil, verdict.Refuse(verdict.CodeNotOwner, "the owner is out of reach: %v", directErr)
	}
	return direct, directErr
}

// heartbeatOwner sends a heartbeat to the owner, whose reply names the next relay.
// failed is the ID of a relay that has failed, or "".
func (a *Agent) heartbeatOwner(owner structs.Owner, failed string) (*structs.HeartbeatReply, error) {
	reply, err := a.callOwnerHeartbeat(owner, failed)
	if err == nil {
		a.ownerTracker.setRelay(reply)
	}
	return reply, err
}

// heartbeatRelay sends a heartbeat to the relay; the first one registers the agent
// there.
func (a *Agent) heartbeatRelay(owner structs.Owner, relay *relayLink) (*structs.RelayHeartbeatReply, error) {
	usage := a.usageChange()
	args := &structs.RelayHeartbeatArgs{Token: relay.token, Usage: usage}
	if relay.token == 0 {
		args.Register = &structs.RelayRegistration{AgentID: a.cfg.Info.ID, Addr: a.cfg.Info.Addr, Incarnation: a.incarnation(), Owner: owner}
		args.Register.Owner.Renewal = 0
	}
	ctx, cancel := a.contextUntilOwnerCall(a.cfg.HeartbeatInterval)
	defer cancel()
	reply := &structs.RelayHeartbeatReply{}
	err := a.cfg.Pool.Call(ctx, relay.addr, "Relay.Heartbeat", args, reply)
	if err != nil && relay.token == 0 && verdict.Of(err) == verdict.NotRun {
		// The pooled connection may lead to an entry that was replaced since: retry
		// once.
		err = a.cfg.Pool.Call(ctx, relay.addr, "Relay.Heartbeat", args, reply)
	}
	if err != nil {
		return reply, err
	}
	a.ownerTracker.mu.Lock()
	defer a.ownerTracker.mu.Unlock()
	if reply.Token != 0 {
		relay.token = reply.Token
	}
	if usage != nil && reply.Turn == structs.RedirectNone {
		a.ownerTracker.reportedUsage = *usage
	}
	return reply, nil
}

func (a *Agent) isDraining() bool {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return a.ledger.draining
}
