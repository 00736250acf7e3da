package structs

import (
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/rpc"
)

// Owner identifies the entry that owns a domain.
type Owner struct {
	Domain string `json:"domain"`
	// EntryID is empty if the last owner has given up the domain.
	EntryID string `json:"entryID"`
	// Addr is the entry's RPC address.
	Addr  string `json:"addr"`
	Epoch uint32 `json:"epoch"`
	// Renewal increases each time the owner renews its ownership.
	Renewal uint64 `json:"renewal"`
}

// EntryInfo describes an entry. Its JSON is the value of the table row
// entries/<region>/<id>.
type EntryInfo struct {
	ID       string   `json:"id"`
	RPCAddr  string   `json:"rpcAddr"`
	HTTPAddr string   `json:"httpAddr"`
	Zone     string   `json:"zone"`
	Domains  []string `json:"domains"`
	Renewal  uint64   `json:"renewal"`
}

// AgentInfo describes an agent and its worker.
type AgentInfo struct {
	ID string
	// Addr is the agent's RPC address.
	Addr string
	// Incarnation increases with each start of the agent.
	Incarnation int64
	Domain      string
	Region      string
	Zone        string
	Rack        string
	Class       string
	WorkerCapacity
}

// AnnounceArgs registers an agent with a new owner and carries its whole state.
type AnnounceArgs struct {
	rpc.Header
	Info     AgentInfo
	Draining bool
	// HighestFence is the highest fencing token that the agent has seen.
	HighestFence Fence
	Gangs        []GangReport
	// Outcomes lists the ended gangs whose outcome no owner has acknowledged as
	// durable. The outcomes themselves are sent by GangFinished.
	Outcomes []string
	// Health is the latest health record that an owner sent for the worker; nil if
	// there is none.
	Health *WorkerHealth
}

// WorkerHealth is an owner's record of the failures on a worker. The agent
// keeps it for the next owner. All times are relative to when it was sent.
type WorkerHealth struct {
	// Epoch is the epoch of the owner that made the record. Version numbers the
	// records that this owner made for the worker.
	Epoch, Version uint32
	Quarantined    bool
	// ProbeIn is the time until a quarantined worker may run a probe job.
	ProbeIn time.Duration
	// Level is how many times the next probe interval has been doubled. Successes
	// is the number of successful tasks since the last failure.
	Level, Successes int
	// Outcomes holds the latest task outcomes, oldest first.
	Outcomes []WorkerOutcome
}

// Aged returns a copy of the record with its times advanced by d.
func (h *WorkerHealth) Aged(d time.Duration) *WorkerHealth {
	aged := *h
	aged.ProbeIn = max(h.ProbeIn-d, 0)
	aged.Outcomes = slices.Clone(h.Outcomes)
	for i := range aged.Outcomes {
		aged.Outcomes[i].Age += d
	}
	return &aged
}

// WorkerOutcome is the outcome of one task on a worker.
type WorkerOutcome struct {
	Age                 time.Duration
	Failed, WorkerFault bool
	// Kind and JobID identify the job; they are set for a failure only.
	Kind, JobID string
}

// OwnerChangedArgs tells an agent that its domain has a new owner.
type OwnerChangedArgs struct {
	rpc.Header
	Owner Owner
}

// OwnerChangedReply is the reply to Agent.OwnerChanged.
type OwnerChangedReply struct{ rpc.Reply }

// HeartbeatArgs is an agent's heartbeat to its owner. It carries changes only;
// the owner knows the rest of the agent's state from Announce.
type HeartbeatArgs struct {
	rpc.Header
	// AgentID is empty if Header.From is the agent's ID.
	AgentID     string
	Incarnation int64
	// Epoch is the owner epoch for which the agent last announced itself.
	Epoch    uint32
	Draining bool
	// Usage is set if it differs by more than a tenth from the usage last sent.
	Usage *Usage
	// RelayFailed is the ID of the entry whose relaying of the agent's heartbeats
	// just failed; empty if none did.
	RelayFailed string
	// HealthVersion is the version of the health record that the agent has from
	// this owner; 0 if none.
	HealthVersion uint32
}

// SetHeader sets the header of the request. To keep heartbeats small it omits the
// budget, because a heartbeat is answered at once, and an AgentID that repeats From.
func (a *HeartbeatArgs) SetHeader(h rpc.Header) {
	h.Budget = 0
	a.Header = h
	if a.AgentID == h.From {
		a.AgentID = ""
	}
}

// Usage is the resource usage that a worker last reported.
type Usage struct {
	CoresMilli int
	MemoryMB   int
	// Lag is the age of the worker's report.
	Lag time.Duration
}

// HeartbeatReply is the reply to Domain.Announce and Domain.Heartbeat.
type HeartbeatReply struct {
	rpc.Reply
	Epoch uint32
	// Announce asks the agent to announce itself again.
	Announce bool
	// ManifestVersion is the version in force at the owner.
	ManifestVersion uint64
	// Entries lists all entries. It is set in the reply to Announce and if the list
	// has changed since the agent's last heartbeat.
	Entries []EntryInfo
	// RelayID and RelayAddr are the ID and RPC address of the entry that relays the
	// agent's next heartbeats; they are empty if the agent has no relay.
	RelayID, RelayAddr string
	// Health is the current health record of the worker. It is set until the
	// agent's HealthVersion shows that it has this record.
	Health *WorkerHealth
}

// SubmitArgs submits a job to the owner of a domain.
type SubmitArgs struct {
	rpc.Header
	Domain string
	Spec   JobSpec
	// Waits is set if the client waits for the result on its connection to the
	// entry. The entry then resubmits an idempotent job if the owner is lost.
	Waits bool
}

// JobArgs asks the owner for the record of a job.
type JobArgs struct {
	rpc.Header
	Domain string
	ID     string
	// Wait is how long the call waits for a final state; 0 returns at once.
	Wait time.Duration
	// WithResult requests the result data as well.
	WithResult bool
}

// JobReply returns a job record.
type JobReply struct {
	rpc.Reply
	Job Job
}

// CancelArgs cancels jobs of an account, selected by IDs, or by Kind if IDs is
// empty, or all of them if both are empty.
type CancelArgs struct {
	rpc.Header
	Domain  string
	Account string
	Kind    string
	IDs     []string
}

// CancelReply lists the jobs that a cancellation has affected.
type CancelReply struct {
	rpc.Reply
	// Cancelled lists jobs that were waiting and did not run. Stopping lists jobs
	// that were running and are being stopped.
	Cancelled, Stopping []string
}

// GangFinishedArgs reports the outcome of an ended gang to the owner. The agent
// repeats the call until Durable is set in the reply.
type GangFinishedArgs struct {
	rpc.Header
	AgentID string
	Outcome GangOutcome
}

// GangFinishedReply is the reply to Domain.GangFinished.
type GangFinishedReply struct {
	rpc.Reply
	// Durable is set once the outcome is stored; the agent may then delete its copy.
	Durable bool
}

// ViewArgs asks the owner for its view of a domain.
type ViewArgs struct {
	rpc.Header
	Domain string
	// JobID asks for an explanation of this job in DomainView.Explain.
	JobID string
	// Account and State filter DomainView.Jobs, and Limit is its maximum length;
	// with 0 no jobs are listed.
	Account string
	State   JobState
	Limit   int
}

// ViewReply is the owner's view of a domain.
type ViewReply struct {
	rpc.Reply
	View DomainView
}

// DomainView describes a domain for operators.
type DomainView struct {
	Domain          string        `json:"domain"`
	Owner           Owner         `json:"owner"`
	Recovering      bool          `json:"recovering"`
	ManifestVersion uint64        `json:"manifestVersion"`
	Workers         []WorkerView  `json:"workers"`
	Queue           []QueueView   `json:"queue"`
	Accounts        []AccountView `json:"accounts"`
	Jobs            []Job         `json:"jobs,omitempty"`
	Explain         *ExplainView  `json:"explain,omitempty"`
	PlatformState   string        `json:"platformState"` // ok, slow or down
}

// WorkerView describes a worker for operators.
type WorkerView struct {
	ID    string      `json:"id"`
	Zone  string      `json:"zone"`
	Rack  string      `json:"rack"`
	Class string      `json:"class"`
	State WorkerState `json:"state"`
	// Accelerators has the ID of the gang on each accelerator; "" if it is free.
	Accelerators    []string `json:"accelerators"`
	SlotsUsed       int      `json:"slotsUsed"`
	Slots           int      `json:"slots"`
	HeartbeatAgeMS  int64    `json:"heartbeatAgeMS"`
	ManifestVersion uint64   `json:"manifestVersion"`
	Failures        int      `json:"failures"`
}

// QueueView describes a waiting job for operators.
type QueueView struct {
	ID          string     `json:"id"`
	Account     string     `json:"account"`
	Kind        string     `json:"kind"`
	Shape       Shape      `json:"shape"`
	WaitSeconds float64    `json:"waitSeconds"`
	Reason      WaitReason `json:"reason"`
	Reserved    bool       `json:"reserved"`
}

// AccountView describes the use of a domain by a client account for operators.
// Waiting and Running count jobs, the other numbers count accelerators.
type AccountView struct {
	Name       string `json:"name"`
	Guaranteed int    `json:"guaranteed"`
	Used       int    `json:"used"`
	Borrowed   int    `json:"borrowed"`
	Waiting    int    `json:"waiting"`
	Running    int    `json:"running"`
}

// ExplainView explains the state of a job: why it waits and when it may start.
type ExplainView struct {
	Job         Job          `json:"job"`
	Reason      WaitReason   `json:"reason,omitempty"`
	Position    int          `json:"position,omitempty"`
	Reservation *Reservation `json:"reservation,omitempty"`
	Detail      string       `json:"detail,omitempty"`
	// Start estimates when a waiting job will start.
	Start *StartEstimate `json:"start,omitempty"`
}

// StartEstimate says when a waiting job is expected to start, and how accurate
// earlier estimates have been.
type StartEstimate struct {
	// EarliestSeconds and LatestSeconds, in seconds from now, bound the range in
	// which 80% of the starts are expected. They are 0 if None is set.
	EarliestSeconds float64 `json:"earliestSeconds"`
	LatestSeconds   float64 `json:"latestSeconds"`
	// None says why there is no estimate.
	None string `json:"none,omitempty"`
	// Judged is the number of estimates by the current owner that have been
	// compared with the actual start. InRange is how many of those starts were
	// within the estimated range.
	Judged  int `json:"judged"`
	InRange int `json:"inRange"`
}

// OwnerArgs asks an entry for the owner of a domain.
type OwnerArgs struct {
	rpc.Header
	Domain string
}

// OwnerReply returns the owner of the domain and the list of entries.
type OwnerReply struct {
	rpc.Reply
	Owner   Owner
	Entries []EntryInfo
}

// ManifestArgs is used in two ways: Peer.ManifestDelta and Agent.ManifestDelta ask
// for the changes since version Have, and Peer.ManifestChanged sends a newer
// manifest in Delta.
type ManifestArgs struct {
	rpc.Header
	Have  uint64
	Delta *ManifestDelta
}

// ManifestReply returns the changes since ManifestArgs.Have; Delta is nil if there
// are none.
type ManifestReply struct {
	rpc.Reply
	Version uint64
	Delta   *ManifestDelta
}

// ManifestDelta is the difference between two versions of the manifest. Applied
// to version From (0 is the empty manifest) it yields version To. Lists without
// changes are nil.
type ManifestDelta struct {
	From, To   uint64
	Parent     uint64
	APIVersion string
	Deployment string
	Weights    Weights
	Limits     Limits
	// PutAccounts and PutKinds add or replace entries by name; DropAccounts and
	// DropKinds remove them by name.
	PutAccounts  []Account
	DropAccounts []string
	PutKinds     []Kind
	DropKinds    []string
	// Hardware replaces the whole list if HardwareChanged is set.
	HardwareChanged bool
	Hardware        []Hardware
}
