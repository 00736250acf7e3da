package daemon

import (
	"github.com/parsleypier/parsleypier/internal/membership"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// relayService is the RPC service Relay of an entry. It records no trace spans
// because the heartbeats, one a second from each agent, would fill the trace file.
type relayService struct{ relay *membership.Relay }

// Heartbeat handles the heartbeat of an agent.
func (s *relayService) Heartbeat(args *structs.RelayHeartbeatArgs, reply *structs.RelayHeartbeatReply) error {
	return s.relay.Heartbeat(args, reply)
}
