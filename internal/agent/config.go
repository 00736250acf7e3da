// Package agent implements the agent that runs next to each worker. The agent
// decides which gang may use which accelerators of the worker and records this in
// its ledger. It takes part in the gang protocol, and holds the outcomes of ended
// gangs until the owner of its domain has made them durable.
//
// In the gang protocol, the owner reserves accelerators at the agent of each
// member (Prepare), and then asks the agent of rank 0 to start the gang (Commit).
// Rank 0 arms the other members (Arm): their reservations then last as long as the
// gang lease instead of a fixed time. When all are armed in time, rank 0 releases
// the gang, that is, lets all members start their tasks (Release); otherwise it
// aborts the gang. Section 7 of docs/design.md describes the protocol in full.
//
// A Beat is a member's call to rank 0 that renews its lease for one gang. A
// heartbeat is the agent's call to the owner, direct or through a relay, that
// shows that the agent is alive.
package agent

import (
	"context"
	"time"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

// Caller makes RPCs. It is implemented by rpc.Pool.
type Caller interface {
	Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error
}

// Worker is the API of the worker that the agent controls. It is implemented by
// workerclient.Client.
type Worker interface {
	Info(ctx context.Context) (workerclient.Info, error)
	// Fence raises the worker's incarnation, which stops the tasks of earlier
	// incarnations of the agent.
	Fence(ctx context.Context, incarnation int64) error
	Run(ctx context.Context, r *workerclient.RunRequest) error
	Renew(ctx context.Context, r *workerclient.RenewRequest) (*workerclient.RenewReply, error)
	States(ctx context.Context, since uint64, wait time.Duration) (*workerclient.StatesReply, error)
	Checkpoint(ctx context.Context, r workerclient.TaskRequest) ([]byte, error)
	Stop(ctx context.Context, r workerclient.TaskRequest) (workerclient.TaskStatus, error)
	Result(ctx context.Context, r workerclient.TaskRequest, limit int) ([]byte, error)
	Usage(ctx context.Context) (structs.Usage, error)
}

// ManifestHolder stores the manifest in force.
type ManifestHolder interface {
	// Version returns the version of the manifest, 0 if there is none.
	Version() uint64
	// Advance applies the delta and reports whether it led to a newer version.
	Advance(*structs.ManifestDelta) bool
	// Delta returns the changes since the version have, or nil if there are none.
	Delta(have uint64) *structs.ManifestDelta
}

// Default values of Config.
const (
	DefaultHeartbeatInterval  = time.Second
	DefaultGangLease          = 3 * time.Second
	DefaultBeatInterval       = time.Second
	DefaultPrepareTTL         = 2 * time.Second
	DefaultTaskLease          = 3 * time.Second
	DefaultTombstoneRetention = 10 * time.Minute
	DefaultResultMemory       = 64 << 20
)

// Config configures an agent. A zero duration or ResultMemory means its default.
type Config struct {
	// Info describes the agent and its worker. A zero Incarnation means the start
	// time in nanoseconds; a zero capacity is read from the worker.
	Info structs.AgentInfo
	// Entries are the RPC addresses of the entries to contact first.
	Entries []string
	// Server is where the RPC service Agent is registered; nil registers none.
	Server *rpc.Server
	Pool   Caller
	Worker Worker
	// Manifest stores the manifest in force; with nil the agent fetches none.
	Manifest ManifestHolder

	// HeartbeatInterval is the interval of the heartbeats to the owner.
	HeartbeatInterval time.Duration
	// GangLease is how long a member holds its lease after it was armed or sent the
	// last Beat that rank 0 answered. BeatInterval is the time between Beats.
	GangLease    time.Duration
	BeatInterval time.Duration
	// PrepareTTL is the default lifetime of a reservation, and the time from Commit
	// to the decision of rank 0.
	PrepareTTL         time.Duration
	TaskLease          time.Duration
	TombstoneRetention time.Duration
	// ResultMemory limits the memory of held and reserved results, in bytes.
	ResultMemory int64

	// now replaces time.Now in tests.
	now func() time.Time
}

func (c *Config) setDefaults() {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	set(&c.GangLease, DefaultGangLease)
	set(&c.BeatInterval, DefaultBeatInterval)
	set(&c.PrepareTTL, DefaultPrepareTTL)
	set(&c.TaskLease, DefaultTaskLease)
	set(&c.TombstoneRetention, DefaultTombstoneRetention)
	if c.ResultMemory <= 0 {
		c.ResultMemory = DefaultResultMemory
	}
	if c.now == nil {
		c.now = time.Now
	}
}

func (c *Config) check() error {
	switch {
	case c.Info.ID == "":
		return verdict.Invalid("Info.ID", "must be set")
	case c.Info.Domain == "":
		return verdict.Invalid("Info.Domain", "must be set")
	case c.Pool == nil:
		return verdict.Invalid("Pool", "must be set")
	case c.Worker == nil:
		return verdict.Invalid("Worker", "must be set")
	case c.PrepareTTL >= c.GangLease:
		// A member that is armed right after Commit must still hold its lease when
		// rank 0 decides, up to PrepareTTL later.
		return verdict.Invalid("PrepareTTL", "must be below the gang lease")
	}
	return nil
}
