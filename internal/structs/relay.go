package structs

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/rpc"
)

// A relay is an entry that receives the heartbeats of agents on behalf of the
// owner of their domain and sends the owner a summary of them.

// RelayHeartbeatArgs is an agent's heartbeat to its relay.
type RelayHeartbeatArgs struct {
	rpc.Header
	// Token is the token that the relay returned for Register. It stands for the
	// agent, its incarnation and the owner, which would double the size of a
	// heartbeat.
	Token uint64
	// Register is set in the first heartbeat to a relay.
	Register *RelayRegistration
	// Usage is set if it differs by more than a tenth from the usage last sent.
	Usage *Usage
}

// SetHeader sets the header of the request. It omits the caller's name, which the
// token stands for, and the budget, because the call is answered at once.
func (a *RelayHeartbeatArgs) SetHeader(h rpc.Header) {
	h.Budget, h.From = 0, ""
	a.Header = h
}

// RelayRegistration tells a relay which agent sends it heartbeats and which owner
// they are for.
type RelayRegistration struct {
	AgentID string
	// Addr is the agent's RPC address.
	Addr        string
	Incarnation int64
	Owner       Owner
}

// RedirectReason says why a relay sends an agent back to the owner, to which the agent
// must then send its next heartbeats.
type RedirectReason uint8

// The reasons why an agent must leave its relay.
const (
	// RedirectNone means that the agent keeps using the relay.
	RedirectNone RedirectReason = iota
	// RedirectReleased means that the owner asked for the agent's heartbeats, that the
	// relay does not know the agent, or that the relay is shutting down.
	RedirectReleased
	// RedirectRelayFailed means that the relay cannot reach the owner or refuses the
	// registration, for example because it is full.
	RedirectRelayFailed
	// RedirectOwnerGone means that the owner in the registration no longer owns the
	// domain or has a newer epoch.
	RedirectOwnerGone
)

// RelayHeartbeatReply is the reply to Relay.Heartbeat.
type RelayHeartbeatReply struct {
	rpc.Reply
	// Token is set in the reply to a heartbeat with Register.
	Token uint64
	Turn  RedirectReason
	// ManifestVersion is the version in force at the relay if it is newer than
	// the agent's.
	ManifestVersion uint64
	// Entries lists all entries. It is set if the list has changed since the last
	// heartbeat.
	Entries []EntryInfo
}

// RelayReportArgs is a relay's report of the agents' heartbeats to the owner. The
// reports are incremental: an agent counts as alive from the report that lists it
// in Alive until one lists it in Silent.
type RelayReportArgs struct {
	rpc.Header
	Domain string
	Epoch  uint32
	// Seq increases with each report. Base is the Seq of the report on which this
	// one builds; 0 means that this is a full report.
	Seq, Base uint64
	// Alive lists the agents that are new or have changed since the base report.
	Alive []RelayAlive
	// Silent lists the agents without a heartbeat for more than one interval, and
	// those that have switched to the owner.
	Silent []RelaySilent
	// MinManifest is the lowest manifest version in force at the live agents.
	MinManifest uint64
	// Leaving is set if the relay is shutting down.
	Leaving bool
}

// RelayAlive is an agent whose heartbeats a relay receives.
type RelayAlive struct {
	ID          string
	Incarnation int64
	// Usage is set if it has changed.
	Usage *Usage
}

// RelaySilent is an agent whose heartbeats a relay no longer receives.
type RelaySilent struct {
	ID string
	// Age is the time since its last heartbeat.
	Age time.Duration
}

// RelayReportReply is the reply to Domain.RelayReport.
type RelayReportReply struct {
	rpc.Reply
	// ManifestVersion is the version in force at the owner.
	ManifestVersion uint64
	// Full asks for a full report, because the owner has not applied this one.
	Full bool
	// Release asks the relay to give up all agents, that is, to send them back to
	// the owner; Turn lists the IDs of single agents to send back.
	Release bool
	Turn    []string
}
