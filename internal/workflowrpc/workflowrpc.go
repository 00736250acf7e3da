// Package workflowrpc has the messages between agents, entries and the owner of a
// deployment whose jobs are workflows.
package workflowrpc

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Methods.
const (
	MethodSync         = "Tasks.Sync"
	MethodOwnerChanged = "Agent.OwnerChanged"
	MethodConfirm      = "Peer.Confirm"
	MethodStore        = "Peer.Store"
	MethodConfig       = "Peer.Config"
)

// Worker is a worker as its agent knows it.
type Worker struct {
	ID string
	// Incarnation tells two lives of a worker apart; it grows.
	Incarnation int64
	Pool        string
	Zone        string
	// Addr is where the worker listens; one life of a worker at a time does.
	Addr     string
	Rack     string
	Labels   []string
	Capacity workflow.Resources
	// Draining workers receive no starts. They end no sooner than Remaining after
	// the report.
	Draining  bool
	Remaining time.Duration
	// Gone says that this life of the worker is over: nothing runs on it.
	Gone bool
	// Silent is the time since the worker last answered its agent.
	Silent time.Duration
	// Lapsed says that all leases on the silent worker have run out for certain.
	Lapsed bool
}

// RunState is the state of a run at its agent.
type RunState string

// The states.
const (
	RunStarting RunState = "starting" // ordered, no answer yet
	RunRunning  RunState = "running"
	RunRejected RunState = "rejected" // did not start and will not
	RunStopping RunState = "stopping"
)

// ReasonTicket is the reason of a run that was rejected because its ticket of the
// placement advice is missing or no longer valid.
const ReasonTicket = "ticket"

// Run is a run at an agent.
type Run struct {
	ID    workflow.RunID
	State RunState
	// Reason says why the worker rejected it.
	Reason     string
	Checkpoint string
	// Percent is the progress of the task.
	Percent int
}

// End is the end of a run as the worker lists it.
type End struct {
	// Seq counts the ends of one life of the worker from 1.
	Seq        uint64
	ID         workflow.RunID
	Kind       workflow.EndKind
	Checkpoint string
}

// SyncArgs is everything that an agent knows of one worker.
type SyncArgs struct {
	rpc.Header
	Agent, Addr string
	// Seq counts the calls for one life of the worker. A newer call ends the wait
	// of an older one.
	Seq    uint64
	Worker Worker
	// Epoch is the highest one that the agent has seen, Fence the highest one that
	// the worker has confirmed.
	Epoch, Fence uint64
	Runs         []Run
	Ends         []End
	// EntriesVersion is that of the list of entries that the agent has.
	EntriesVersion uint64
	// Wait is how long the owner may wait for orders before it replies.
	Wait time.Duration
}

// Start orders a run.
type Start struct {
	ID         workflow.RunID
	Payload    string
	Checkpoint string
	// Ticket is the placement advice's permission; empty if none is needed.
	Ticket string
}

// SyncReply is what the owner wants of a worker. Err has the code not_owner if
// the receiver is not the owner.
type SyncReply struct {
	rpc.Reply
	// Owner is the RPC address of the owner as far as the receiver knows.
	Owner string
	Epoch uint64
	// Entries are the RPC addresses of all entries; empty if the agent has them.
	Entries        []string
	EntriesVersion uint64
	// Superseded says that a newer call of the agent was received; the reply has
	// nothing else.
	Superseded bool
	Start      []Start
	Stop       []workflow.RunID
	// Forget lists rejected runs that the owner has taken note of.
	Forget []workflow.RunID
	// Noted is the number up to which ends are durable.
	Noted uint64
}

// OwnerArgs names the owner.
type OwnerArgs struct {
	rpc.Header
	Owner string
	Epoch uint64
}

// OwnerReply has the epoch that the agent follows.
type OwnerReply struct {
	rpc.Reply
	Epoch uint64
}

// ConfirmArgs asks an entry not to take over.
type ConfirmArgs struct {
	rpc.Header
	Epoch uint64
	// After is the version of the store up to which the owner knows all that the
	// entry knows.
	After uint64
}

// ConfirmReply says whether it promised.
type ConfirmReply struct {
	rpc.Reply
	Promised bool
	Epoch    uint64
	// Rows are those that the entry knows and that are newer than After, oldest
	// first, if it promised. More says that there are others.
	Rows []rowstore.Row
	More bool
}

// StoreArgs is a call of the store for a process that the store turns away.
type StoreArgs struct {
	rpc.Header
	Call rowstore.Call
}

// StoreReply has the store's answer.
type StoreReply struct {
	rpc.Reply
	Answer rowstore.Answer
}

// ConfigArgs asks for the configuration in force.
type ConfigArgs struct {
	rpc.Header
}

// ConfigReply has it as the operator wrote it; no Document if none is known.
type ConfigReply struct {
	rpc.Reply
	Document []byte
	Version  uint64
}
