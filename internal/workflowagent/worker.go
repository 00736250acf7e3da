package workflowagent

import (
	"context"
	"errors"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// ErrOtherIncarnation is returned by a Worker if another life of the worker answers at
// its address.
var ErrOtherIncarnation = errors.New("another incarnation of the worker answers")

// ErrNotListening is returned by a Worker if this VM's kernel answers that no
// process listens at the worker's address.
var ErrNotListening = errors.New("no process listens at the worker's address")

// Reasons for which a worker rejects an order.
const (
	ReasonFence     = "fence"     // a higher fencing token has been used
	ReasonOld       = "old"       // the run or a later one has ended there
	ReasonLate      = "late"      // the deadline has passed on the worker's clock
	ReasonRoom      = "room"      // not enough capacity
	ReasonUnhealthy = "unhealthy" // the worker takes nothing at present
	ReasonInvalid   = "invalid"   // the worker does not understand the order
	ReasonDraining  = "draining"  // the worker is leaving
	ReasonNoAnswer  = "no_answer" // no answer, and stopped for certain since
	ReasonVanished  = "vanished"  // the worker lists neither the run nor its end
)

// StartCall starts a run.
type StartCall struct {
	ID         workflow.RunID
	Payload    string
	Checkpoint string
	Ticket     string
	Fence      uint64
	// Deadline is the time on the worker's clock after which it must not start.
	Deadline time.Duration
}

// HoldCall renews the leases of everything on the worker and lists it.
type HoldCall struct {
	Fence uint64
	// Noted is the number up to which ends may be forgotten.
	Noted uint64
	// Deadline is the end of the leases on the worker's clock; 0 for no renewal.
	Deadline time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Answer is what every answer of a worker has.
type Answer struct {
	// Clock is the worker's steady clock.
	Clock time.Duration
	// Rejected says why the worker did nothing; empty if it did as told.
	Rejected string
}

// Listing is the answer to a HoldCall.
type Listing struct {
	Answer
	// Incarnation is the life of the worker that answered; 0 if it does not say.
	Incarnation int64
	Running     []workflowrpc.Run
	Ended       []workflowrpc.End
}

// Worker carries orders to one life of a worker. An error says that the order
// may have been carried out, or may be later, unless it is ErrOtherIncarnation
// or ErrNotListening.
type Worker interface {
	Start(ctx context.Context, c StartCall) (Answer, error)
	Stop(ctx context.Context, id workflow.RunID, fence uint64) (Answer, error)
	Hold(ctx context.Context, c HoldCall) (Listing, error)
	// Close ends the connections.
	Close()
}
