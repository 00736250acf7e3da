package workflowagent

import (
	"context"
	"errors"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// ErrOtherIncarnation is returned by a Worker if another incarnation of the worker
// answers at its address.
var ErrOtherIncarnation = errors.New("another incarnation of the worker answers")

// ErrNotListening is returned by a Worker if the kernel of this machine refuses the
// connection because no process listens at the worker's address.
var ErrNotListening = errors.New("no process listens at the worker's address")

// Reasons for which a run is rejected, by the worker or by the agent.
const (
	ReasonStaleFence     = "fence"     // the worker has seen a higher fencing token
	ReasonEnded          = "old"       // the run or a later attempt has ended there
	ReasonDeadlinePassed = "late"      // the deadline has passed on the worker's clock
	ReasonNoCapacity     = "room"      // not enough capacity
	ReasonUnhealthy      = "unhealthy" // the worker accepts no runs at present
	ReasonInvalid        = "invalid"   // the worker does not understand the order
	ReasonDraining       = "draining"  // the worker is draining
	ReasonNoAnswer       = "no_answer" // no start was confirmed, and the run is stopped for certain
	ReasonNotListed      = "vanished"  // the worker lists neither the run nor its end
)

// StartCall is a request to start a run.
type StartCall struct {
	ID         workflow.RunID
	Payload    string
	Checkpoint string
	Ticket     string // permission of the placement advice, empty if none is needed
	Fence      uint64 // fencing token: the epoch of the owner
	// Deadline is the time on the worker's clock after which the worker must reject
	// the start.
	Deadline time.Duration
}

// HoldCall is a request to renew the leases of all runs on the worker, and to list
// them.
type HoldCall struct {
	Fence uint64
	// AckedEndSeq is the Seq up to which the worker may discard ends, because the
	// owner has acknowledged them.
	AckedEndSeq uint64
	// Deadline is the new end of the leases on the worker's clock; 0 renews nothing.
	Deadline time.Duration
	// Wait is how long the worker may wait for the end of a run before it answers.
	Wait time.Duration
}

// Answer has the fields common to all answers of a worker.
type Answer struct {
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration
	// Rejected is the reason why the worker rejected the request, empty if it did
	// not.
	Rejected string
}

// Listing is the answer to a HoldCall.
type Listing struct {
	Answer
	// Incarnation is the incarnation of the worker that answered, 0 if unknown.
	Incarnation int64
	Running     []workflowrpc.Run
	Ended       []workflowrpc.End
	// Truncated is set if the worker may have further ends after the listed ones.
	Truncated bool
}

// Worker is the API of one incarnation of a worker. After an error the request may
// have been carried out, or may be later, unless the error is ErrOtherIncarnation or
// ErrNotListening.
type Worker interface {
	// Start starts a run. Repeating the call for the same run starts it only once.
	Start(ctx context.Context, c StartCall) (Answer, error)
	// Stop stops a run, and prevents a later start of it.
	Stop(ctx context.Context, id workflow.RunID, fence uint64) (Answer, error)
	// Hold renews the leases of all runs and lists the runs.
	Hold(ctx context.Context, c HoldCall) (Listing, error)
	// Close closes the connections.
	Close()
}
