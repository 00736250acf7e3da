package owner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/membership"
	"github.com/parsleypier/parsleypier/internal/structs"
)

func newRegistry(cfg Config) *membership.Registry {
	return membership.NewRegistry(membership.RegistryOptions{
		SuspectAfter: cfg.Timing.SuspectAfter, LostAfter: cfg.Timing.LostAfter,
		// Tick is called once per ReconcileInterval.
		MaxTickGap: 2 * cfg.Timing.ReconcileInterval,
	})
}

// registryState returns the state of an agent according to its heartbeats. The
// caller holds o.mu.
func (o *Owner) registryState(id string) structs.WorkerState {
	m, ok := o.registry.Member(id)
	if !ok {
		return structs.WorkerLost
	}
	return m.State()
}

// heartbeatAge returns the time since the agent's last heartbeat, or 0 if the
// agent is not known. The caller holds o.mu.
func (o *Owner) heartbeatAge(id string, now time.Duration) time.Duration {
	m, ok := o.registry.Member(id)
	if !ok {
		return 0
	}
	return now - m.LastSeen
}

// setDraining records that an agent refuses new work. The caller holds o.mu.
func (o *Owner) setDraining(id string) {
	a := o.agents[id]
	if a == nil {
		return
	}
	if _, events, err := o.registry.Heartbeat(o.now(), id, a.info.Incarnation, true); err == nil {
		o.applyMembershipEvents(events)
	}
}

// expireAgents updates the states of agents whose heartbeats are missing, ends
// holds for agents of the previous owner, and checks the relays.
func (o *Owner) expireAgents() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyMembershipEvents(o.registry.Tick(o.now()))
	o.expireAwaitedAgents(o.now())
	o.checkRelays()
}

// applyMembershipEvents handles state changes of agents. The caller holds o.mu.
func (o *Owner) applyMembershipEvents(events []membership.Event) {
	for _, e := range events {
		counters.Add("agents_"+string(e.Kind), 1)
		klog.InfoS("Agent changed state", "agent", e.AgentID, "state", e.Kind, "domain", o.cfg.Domain)
		switch e.Kind {
		case membership.AgentRestarted:
			o.markGangsLost(e.AgentID, e.Incarnation, "the agent of rank 0 restarted")
		case membership.AgentLost:
			o.markGangsLost(e.AgentID, 0, "the agent of rank 0 was lost")
			o.persistMembersRow()
		case membership.AgentLeft, membership.AgentForgotten:
			delete(o.agents, e.AgentID)
			o.health.Forget(e.AgentID)
			o.persistMembersRow()
		}
	}
	if len(events) > 0 {
		o.triggerCycle()
	}
}
