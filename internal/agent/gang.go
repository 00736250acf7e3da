package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

// gang is this agent's member of a gang. The fields after accelerators are guarded
// by ledger.mu, except for the channels and the context.
type gang struct {
	spec         structs.Gang
	rank         int
	accelerators uint64

	phase structs.GangPhase
	// expiresAt is the end of the reservation and, once committed, of rank 0's time
	// to decide.
	expiresAt time.Time
	// leaseExpires is the end of the gang lease of a member other than rank 0.
	leaseExpires        time.Time
	releasedAt          time.Time
	reservedResultBytes int64 // reserved in the outbox

	// started is set before the first run request is sent to the worker.
	started bool
	// taskState is empty until the worker has confirmed the start.
	taskState   structs.TaskState
	taskMessage string
	// taskLeaseExpires is when the worker stops the task unless the lease is renewed.
	taskLeaseExpires time.Time

	// endReason is set at most once; all ranks of the gang then stop.
	endReason *endReason

	// Rank 0 only.
	members      []member
	preempting   bool
	preemptReply *structs.PreemptReply

	// span is the trace context of the call of Prepare, at rank 0 of Commit; the
	// gang's calls belong to its trace.
	span        trace.SpanContext
	ctx         context.Context // canceled when the gang ends
	cancel      context.CancelFunc
	calls       sync.WaitGroup // goroutines that use the worker for this gang
	callsClosed bool           // no goroutine may be added to calls
	wake        chan struct{}  // signals a change of taskState, members or endReason
	// decided is closed when rank 0 has released or aborted the gang, reported when
	// rank 0 has put the outcome into the outbox, done when the gang is removed from
	// the ledger.
	decided, reported, done chan struct{}
}

// member is the state of another rank as rank 0 knows it.
type member struct {
	armed bool
	// lastSeen is the last time at which the member is known to have held its lease.
	lastSeen    time.Time
	taskState   structs.TaskState
	taskMessage string
}

// endReason is why a gang ends. At rank 0 there is none if the tasks of all ranks
// finish.
type endReason struct {
	phase       structs.GangPhase // PhaseFailed or PhaseAborted; at ranks above 0 also PhaseFinished
	code        verdict.Code
	message     string
	worker      string // agent ID of the worker that failed
	workerFault bool
	preempted   bool
	checkpoint  []byte
}

func newGang(args *structs.PrepareArgs, expires time.Time) *gang {
	g := &gang{
		spec: args.Gang, rank: args.Rank, accelerators: args.Gang.Members[args.Rank].Accelerators,
		phase: structs.PhasePrepared, expiresAt: expires, wake: make(chan struct{}, 1),
		decided: make(chan struct{}), reported: make(chan struct{}), done: make(chan struct{}),
		span: args.SpanContext(),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	if g.rank == 0 {
		g.members = make([]member, len(g.spec.Members))
	}
	return g
}

// withTrace returns ctx with the gang's trace context.
func (g *gang) withTrace(ctx context.Context) context.Context {
	return trace.ContextWithRemoteSpanContext(ctx, g.span)
}

// withoutData returns the spec without payload and checkpoint.
func (g *gang) withoutData() structs.Gang {
	s := g.spec
	s.Payload, s.Checkpoint = nil, nil
	return s
}

func (g *gang) notify() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// callArgs returns the arguments of a call about the gang to another agent.
func (g *gang) callArgs() *structs.GangArgs {
	return &structs.GangArgs{GangID: g.spec.ID, Fence: g.spec.Fence}
}

// end makes the gang stop for the given reason, unless it is already stopping or
// finished. ledger.mu must be held.
func (g *gang) end(e endReason) {
	if g.endReason != nil || g.phase == structs.PhaseFinished {
		return
	}
	g.endReason = &e
	g.cancel()
	g.notify()
}

// mayRunTask reports whether the task may be started and its lease renewed: the
// gang is released, is not ending, and no gang lease has expired.
func (g *gang) mayRunTask(now time.Time, lease time.Duration) bool {
	return g.phase == structs.PhaseReleased && g.endReason == nil && g.expiredRank(now, lease) < 0
}

// closeCalls cancels the goroutines that call the worker for the gang, lets no
// more be added, and waits for them.
func (l *ledger) closeCalls(g *gang) {
	g.cancel()
	l.mu.Lock()
	g.callsClosed = true
	l.mu.Unlock()
	g.calls.Wait()
}

// expiredRank returns a rank whose gang lease has expired, or -1. Rank 0 checks the
// leases of all armed members, a member only its own.
func (g *gang) expiredRank(now time.Time, lease time.Duration) int {
	if g.rank > 0 {
		if !now.Before(g.leaseExpires) {
			return g.rank
		}
		return -1
	}
	for r := 1; r < len(g.members); r++ {
		if g.members[r].armed && now.Sub(g.members[r].lastSeen) >= lease {
			return r
		}
	}
	return -1
}

func isTerminal(s structs.TaskState) bool { return s != "" && s != structs.TaskRunning }

// taskRequest returns the ID and tokens of the gang's task for a worker call.
func (a *Agent) taskRequest(g *gang) workerclient.TaskRequest {
	return workerclient.TaskRequest{
		ID: g.spec.ID, Tokens: workerclient.Tokens{Incarnation: a.incarnation(), Fence: g.spec.Fence},
	}
}

// splitCheckpoint returns the rank's part of the gang's checkpoint, which is a
// JSON array with one element for each rank.
func splitCheckpoint(spec *structs.Gang, rank int) ([]byte, error) {
	if len(spec.Checkpoint) == 0 {
		return nil, nil
	}
	var parts [][]byte
	if err := json.Unmarshal(spec.Checkpoint, &parts); err != nil {
		return nil, fmt.Errorf("decode checkpoint: %w", err)
	}
	if len(parts) != len(spec.Members) {
		return nil, fmt.Errorf("checkpoint of %d ranks for a gang of %d", len(parts), len(spec.Members))
	}
	return parts[rank], nil
}
