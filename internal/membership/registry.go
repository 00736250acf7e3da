package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Defaults of RegistryOptions.
const (
	DefaultSuspectAfter = 3 * time.Second
	DefaultLostAfter    = 10 * time.Second
	DefaultForgetAfter  = time.Hour
	// DefaultMaxAgents exceeds the number of workers of all domains together at the
	// size that the system is designed for.
	DefaultMaxAgents = 10_000
	// DefaultMaxTickGap is the longest expected time between two calls of Tick. A
	// longer gap means that this process was paused.
	DefaultMaxTickGap = time.Second
)

// RegistryOptions configure a Registry. Fields that are 0 get the defaults.
type RegistryOptions struct {
	// SuspectAfter and LostAfter are the times without a heartbeat after which an
	// agent is suspect and lost.
	SuspectAfter, LostAfter time.Duration
	// ForgetAfter is how long a lost agent is kept before it is removed.
	ForgetAfter time.Duration
	MaxAgents   int
	MaxTickGap  time.Duration
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	// AgentJoined: an unknown agent, or one that was forgotten or had left,
	// announced itself.
	AgentJoined EventKind = "joined"
	// AgentRestarted: a known agent announced itself with a higher incarnation. The
	// tasks of the earlier incarnation have stopped.
	AgentRestarted EventKind = "restarted"
	// AgentReturned: a lost agent announced itself with the same incarnation.
	AgentReturned  EventKind = "returned"
	AgentSuspected EventKind = "suspected"
	// AgentHealed: a heartbeat or announcement of a suspect agent arrived.
	AgentHealed    EventKind = "healed"
	AgentLost      EventKind = "lost"
	AgentDraining  EventKind = "draining"
	AgentLeft      EventKind = "left"
	AgentForgotten EventKind = "forgotten"
)

// Event is a change of an agent's state.
type Event struct {
	Kind        EventKind
	AgentID     string
	Incarnation int64
}

// Member is the registry's view of an agent.
type Member struct {
	Info structs.AgentInfo
	// Draining is set once the agent has declared it, and stays set until the
	// agent restarts.
	Draining bool
	// LastSeen is when the last announcement or heartbeat arrived, as time since the
	// registry's origin. Tick moves it forward after a pause of this process.
	LastSeen      time.Duration
	suspect, lost bool
}

// State returns the agent's state as the scheduler uses it: lost, suspect,
// draining or ready.
func (m *Member) State() structs.WorkerState {
	switch {
	case m.lost:
		return structs.WorkerLost
	case m.suspect:
		return structs.WorkerSuspect
	case m.Draining:
		return structs.WorkerDraining
	}
	return structs.WorkerReady
}

// Registry tracks the agents of one domain. It has no clock, goroutine or lock:
// every call passes the monotonic time since an arbitrary origin, and the caller
// serializes the calls. Events are returned in the order in which they happened.
type Registry struct {
	options  RegistryOptions
	members  map[string]*Member
	lastTick time.Duration
	ticked   bool
}

// NewRegistry returns a registry without agents.
func NewRegistry(o RegistryOptions) *Registry {
	o.SuspectAfter = cmp.Or(o.SuspectAfter, DefaultSuspectAfter)
	o.LostAfter = cmp.Or(o.LostAfter, DefaultLostAfter)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, DefaultForgetAfter)
	o.MaxAgents = cmp.Or(o.MaxAgents, DefaultMaxAgents)
	o.MaxTickGap = cmp.Or(o.MaxTickGap, DefaultMaxTickGap)
	return &Registry{options: o, members: map[string]*Member{}}
}

// Announce records an agent that reported its complete state. Errors, all NotRun:
// stale_epoch if a higher incarnation is known; overloaded if the registry is
// full and no lost agent can be removed.
func (r *Registry) Announce(now time.Duration, info structs.AgentInfo, draining bool) ([]Event, error) {
	old := r.members[info.ID]
	if old != nil && info.Incarnation < old.Info.Incarnation {
		return nil, staleIncarnation(info.ID, info.Incarnation, old.Info.Incarnation)
	}
	var events []Event
	if old == nil && len(r.members) >= r.options.MaxAgents {
		forgotten, ok := r.forgetOldest()
		if !ok {
			return nil, verdict.Refuse(verdict.CodeOverloaded, "%d agents are known", len(r.members))
		}
		events = append(events, forgotten)
	}
	m := &Member{Info: info, LastSeen: now}
	event := func(kind EventKind) {
		events = append(events, Event{Kind: kind, AgentID: info.ID, Incarnation: info.Incarnation})
	}
	switch {
	case old == nil:
		event(AgentJoined)
	case info.Incarnation > old.Info.Incarnation:
		event(AgentRestarted)
	case old.lost:
		m.Draining = old.Draining
		event(AgentReturned)
	default:
		m.Draining = old.Draining
		if old.suspect {
			event(AgentHealed)
		}
	}
	r.members[info.ID] = m
	if draining && !m.Draining {
		m.Draining = true
		event(AgentDraining)
	}
	return events, nil
}

func staleIncarnation(id string, got, known int64) *verdict.Error {
	return verdict.Refuse(verdict.CodeStaleEpoch, "agent %s: incarnation %d, but %d is known", id, got, known)
}

// Heartbeat records a heartbeat. announce is set if the agent must announce
// itself, because it is unknown, has restarted or was lost. Error: stale_epoch
// (NotRun) if a higher incarnation is known.
func (r *Registry) Heartbeat(now time.Duration, id string, incarnation int64, draining bool) (announce bool, events []Event, err error) {
	m := r.members[id]
	switch {
	case m == nil || incarnation > m.Info.Incarnation:
		return true, nil, nil
	case incarnation < m.Info.Incarnation:
		return false, nil, staleIncarnation(id, incarnation, m.Info.Incarnation)
	case m.lost:
		return true, nil, nil
	}
	m.LastSeen = max(m.LastSeen, now)
	if m.suspect {
		m.suspect = false
		events = append(events, Event{AgentHealed, id, incarnation})
	}
	if draining && !m.Draining {
		m.Draining = true
		events = append(events, Event{AgentDraining, id, incarnation})
	}
	return false, events, nil
}

// LowerLastSeen lowers the LastSeen of an agent to the time at which a relay received
// its last heartbeat.
func (r *Registry) LowerLastSeen(id string, lastSeen time.Duration) {
	if m := r.members[id]; m != nil {
		m.LastSeen = min(m.LastSeen, lastSeen)
	}
}

// Leave removes an agent that has drained. It has no effect if a higher
// incarnation is known.
func (r *Registry) Leave(id string, incarnation int64) []Event {
	m := r.members[id]
	if m == nil || incarnation < m.Info.Incarnation {
		return nil
	}
	delete(r.members, id)
	return []Event{{AgentLeft, id, incarnation}}
}

// Tick updates the states of agents that send no heartbeats. It must be called at
// least every MaxTickGap. A longer gap between two calls means that this process
// was paused; the excess does not count as silence, because heartbeats may have
// arrived that have not been handled yet.
func (r *Registry) Tick(now time.Duration) []Event {
	if gap := now - r.lastTick; r.ticked && gap > r.options.MaxTickGap {
		for _, m := range r.members {
			m.LastSeen = min(m.LastSeen+gap-r.options.MaxTickGap, now)
		}
	}
	r.lastTick, r.ticked = now, true
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[id]
		silent := now - m.LastSeen
		if silent >= r.options.SuspectAfter && !m.suspect && !m.lost {
			m.suspect = true
			events = append(events, Event{AgentSuspected, id, m.Info.Incarnation})
		}
		if silent >= r.options.LostAfter && !m.lost {
			m.lost = true
			events = append(events, Event{AgentLost, id, m.Info.Incarnation})
		}
		if m.lost && silent >= r.options.LostAfter+r.options.ForgetAfter {
			delete(r.members, id)
			events = append(events, Event{AgentForgotten, id, m.Info.Incarnation})
		}
	}
	return events
}

// forgetOldest removes the lost agent with the oldest LastSeen; false if no agent
// is lost.
func (r *Registry) forgetOldest() (Event, bool) {
	var oldest *Member
	for _, m := range r.members {
		if m.lost && (oldest == nil || m.LastSeen < oldest.LastSeen || m.LastSeen == oldest.LastSeen && m.Info.ID < oldest.Info.ID) {
			oldest = m
		}
	}
	if oldest == nil {
		return Event{}, false
	}
	delete(r.members, oldest.Info.ID)
	return Event{AgentForgotten, oldest.Info.ID, oldest.Info.Incarnation}, true
}

// Member returns the agent with the ID.
func (r *Registry) Member(id string) (Member, bool) {
	m := r.members[id]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Members returns all agents including lost ones, sorted by ID.
func (r *Registry) Members() []Member {
	list := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, *m)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Info.ID, b.Info.ID) })
	return list
}
