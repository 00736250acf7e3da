package structs

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/rpc"
)

// Fence is a fencing token: the owner's epoch in the upper 32 bits and a counter
// in the lower 32 bits. Tokens of a domain increase over time. An agent refuses
// to reserve an accelerator that it has reserved for a higher token before.
//
// Two other things are called fence: membership.Term.Fence is a precondition of row
// writes, and the Fence call to a worker stops the tasks of earlier incarnations of
// its agent.
type Fence uint64

// NewFence returns the token that consists of epoch and counter.
func NewFence(epoch uint32, counter uint32) Fence { return Fence(epoch)<<32 | Fence(counter) }

// Epoch returns the epoch of the owner that issued the token.
func (f Fence) Epoch() uint32 { return uint32(f >> 32) }

// Gang describes one attempt to run a job: the members that run its tasks, and
// what each task needs.
type Gang struct {
	ID      string // <job ID>/<attempt>/<fencing token in hex>
	JobID   string
	Account string
	Kind    string
	Attempt int
	Fence   Fence
	Domain  string
	Members []Member
	// CoresMilli and MemoryMB are needed on each worker.
	CoresMilli, MemoryMB       int
	Idempotent, Checkpointable bool
	// Payload is the input of every task. Checkpoint is set if the tasks resume
	// from an earlier attempt.
	Payload    []byte
	Checkpoint []byte
	// ResultBytes is the maximum size of the result.
	ResultBytes int
}

// Member is one agent of a gang; its index in Gang.Members is its rank.
type Member struct {
	AgentID string
	// Addr is the agent's RPC address.
	Addr string
	// Accelerators has bit i set for accelerator i of the worker.
	Accelerators uint64
}

// PrepareArgs asks an agent to reserve resources for a member of a gang.
type PrepareArgs struct {
	rpc.Header
	Gang Gang
	Rank int
	// TTL is the time after which the reservation expires unless it is committed.
	TTL time.Duration
}

// GangArgs identifies the gang for Agent.Commit, Arm, Release, Abort, Stop and
// AckResult.
type GangArgs struct {
	rpc.Header
	GangID string
	Fence  Fence
	// Epoch is the epoch of the caller if it is an owner. The agent refuses an
	// epoch lower than one it has seen; 0 is not checked.
	Epoch uint32
}

// GangPhase is the state of a gang at an agent.
type GangPhase string

// The phases of a gang.
const (
	PhaseNone      GangPhase = "none"      // the agent does not know the gang
	PhasePrepared  GangPhase = "prepared"  // reserved; expires after the TTL
	PhaseCommitted GangPhase = "committed" // rank 0 is arming the members
	PhaseArmed     GangPhase = "armed"     // held under the gang lease, not started
	PhaseReleased  GangPhase = "released"  // members may start their tasks
	PhaseFinished  GangPhase = "finished"  // ended with a result
	PhaseFailed    GangPhase = "failed"    // ended without a result
	PhaseAborted   GangPhase = "aborted"   // tombstone: never started and never will
)

// GangReply returns the phase of the gang at the agent after the call.
type GangReply struct {
	rpc.Reply
	Phase GangPhase
	// Incarnation is the incarnation of the agent.
	Incarnation int64
}

// BeatArgs is the periodic call from a member to rank 0 that renews the member's
// gang lease.
type BeatArgs struct {
	rpc.Header
	// GangID may be empty, because Fence identifies the gang too, in fewer bytes.
	GangID string
	Fence  Fence
	Rank   int
	// TaskState is the final state of the member's task; empty until the task ends.
	TaskState TaskState
}

// SetHeader sets the header of the request. It omits the budget, because the call
// is answered at once.
func (a *BeatArgs) SetHeader(h rpc.Header) {
	h.Budget = 0
	a.Header = h
}

// BeatReply tells the member the phase of the gang at rank 0.
type BeatReply struct {
	rpc.Reply
	Phase GangPhase
}

// PreemptArgs asks rank 0 to checkpoint and stop the gang.
type PreemptArgs struct {
	rpc.Header
	GangID string
	Fence  Fence
	// Epoch is the epoch of the owner, as in GangArgs.
	Epoch uint32
	// Grace is the time after which the tasks are stopped by force.
	Grace time.Duration
	// Checkpoint asks for a checkpoint before the stop. If it is false, the gang is
	// stopped at once.
	Checkpoint bool
}

// PreemptReply returns the outcome of a preemption.
type PreemptReply struct {
	rpc.Reply
	Phase GangPhase
	// Checkpoint is the data of the checkpoint, if one was taken.
	Checkpoint []byte
	// Stopped is set if all tasks of the gang are confirmed to have stopped.
	Stopped bool
}

// TaskState is the state of a task at a worker.
type TaskState string

// The task states.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// GangReport describes a gang that an agent knows, for AnnounceArgs.
type GangReport struct {
	Gang  Gang // without Payload and Checkpoint
	Rank  int
	Phase GangPhase
	// RunningFor is the time since the gang was released, that is, allowed to start
	// its tasks; 0 if it was not.
	RunningFor time.Duration
}

// GangOutcome is the report of rank 0 to the owner when a gang has ended.
type GangOutcome struct {
	Gang Gang // without Payload and Checkpoint
	// Phase is PhaseFinished, PhaseFailed or PhaseAborted.
	Phase GangPhase
	// Result is set if Phase is PhaseFinished.
	Result *Result
	// FailedWorker and Message describe a failure.
	FailedWorker string
	Message      string
	// WorkerFault is set if a member was lost, as opposed to a task that failed.
	WorkerFault bool
	// Ran is the time from the release of the gang, which lets its tasks start, to its
	// end.
	Ran time.Duration
	// Preempted is set if Agent.Preempt ended the gang. Checkpoint and Stopped then
	// repeat the fields of PreemptReply, because that reply can be lost.
	Preempted  bool
	Checkpoint []byte
	Stopped    bool
}
