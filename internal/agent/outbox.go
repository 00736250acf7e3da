package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Limits of reporting outcomes to the owner.
const (
	// outcomeOverhead is the memory in bytes accounted for an outcome in addition to
	// its result and checkpoint.
	outcomeOverhead = 1 << 10
	reportTimeout   = 5 * time.Second
	// A failed report is retried sooner than one that the owner has received but not
	// made durable yet, because the owner acknowledges the latter with AckResult.
	minReportDelay  = 200 * time.Millisecond
	maxReportDelay  = 5 * time.Second
	minDurableDelay = time.Second
	maxDurableDelay = 30 * time.Second
	// ownerChangeMaxDelay is the longest random delay before reporting to a new
	// owner, so that many agents do not report at the same time.
	ownerChangeMaxDelay = 300 * time.Millisecond
	// maxReports limits the number of reports in progress.
	maxReports = 4
)

// outbox holds the outcomes of ended gangs until an owner has made them durable.
// Memory for a result is reserved before its gang can start.
type outbox struct {
	limit       int64
	reportSlots chan struct{}

	mu       sync.Mutex
	used     int64 // bytes of held outcomes and reservations
	outcomes map[string]*heldOutcome
	emptied  chan struct{} // closed while outcomes is empty
}

// heldOutcome is an outcome in the outbox. acked is closed when it is removed.
type heldOutcome struct {
	outcome structs.GangOutcome
	span    trace.SpanContext // of the gang
	bytes   int64
	acked   chan struct{}
}

func newOutbox(limit int64) *outbox {
	o := &outbox{limit: limit, reportSlots: make(chan struct{}, maxReports), outcomes: map[string]*heldOutcome{}, emptied: make(chan struct{})}
	close(o.emptied)
	return o
}

// reservedBytes returns the memory to reserve for a result of at most limit bytes;
// a limit of 0 means MaxResultBytes.
func reservedBytes(limit int) int64 {
	if limit <= 0 {
		limit = structs.MaxResultBytes
	}
	return int64(limit) + outcomeOverhead
}

// reserve reserves n bytes. It fails if the memory is full, even for n = 0.
func (o *outbox) reserve(n int64) *verdict.Error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.used+n > o.limit || o.used >= o.limit {
		return verdict.Refuse(verdict.CodeOverloaded, "result memory is full (%d of %d bytes)", o.used, o.limit).
			WithRetryAfter(time.Second)
	}
	o.used += n
	return nil
}

func (o *outbox) unreserve(n int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.used -= n
}

// add stores an outcome.
func (o *outbox) add(outcome structs.GangOutcome, span trace.SpanContext) *heldOutcome {
	h := &heldOutcome{outcome: outcome, span: span, bytes: int64(len(outcome.Checkpoint)) + outcomeOverhead, acked: make(chan struct{})}
	if outcome.Result != nil {
		h.bytes += int64(len(outcome.Result.Data))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.outcomes) == 0 {
		o.emptied = make(chan struct{})
	}
	o.used += h.bytes
	o.outcomes[outcome.Gang.ID] = h
	counters.Add("results_held", 1)
	counters.Add("result_bytes", h.bytes)
	return h
}

// ack removes an outcome that an owner has made durable.
func (o *outbox) ack(gangID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.outcomes[gangID]
	if h == nil {
		return
	}
	delete(o.outcomes, gangID)
	o.used -= h.bytes
	counters.Add("results_held", -1)
	counters.Add("result_bytes", -h.bytes)
	close(h.acked)
	if len(o.outcomes) == 0 {
		close(o.emptied)
	}
}

// checkpoint returns the checkpoint of a held outcome, if there is one.
func (o *outbox) checkpoint(gangID string) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if h := o.outcomes[gangID]; h != nil {
		return h.outcome.Checkpoint
	}
	return nil
}

// heldGangs returns the IDs of the gangs whose outcomes are held.
func (o *outbox) heldGangs() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []string
	for id := range o.outcomes {
		ids = append(ids, id)
	}
	return ids
}

// whenEmpty returns a channel that is closed once no outcome is held.
func (o *outbox) whenEmpty() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.emptied
}

// deliver stores an outcome and starts reporting it to the owner.
func (a *Agent) deliver(outcome structs.GangOutcome, span trace.SpanContext) {
	h := a.outbox.add(outcome, span)
	klog.InfoS("Gang ended", "gangID", outcome.Gang.ID, "phase", outcome.Phase, "message", outcome.Message, "ran", outcome.Ran)
	a.spawn(func() { a.reportUntilDurable(h) })
}

// reportUntilDurable reports an outcome to the current owner, with retries, until it
// is durable or acknowledged.
func (a *Agent) reportUntilDurable(h *heldOutcome) {
	failDelay, durableDelay := minReportDelay, minDurableDelay
	for {
		owner, changed := a.ownerTracker.current()
		var delay time.Duration
		switch durable, err := a.reportOnce(owner, h); {
		case durable:
			a.outbox.ack(h.outcome.Gang.ID)
			return
		case err != nil:
			delay = failDelay
			failDelay = min(2*failDelay, maxReportDelay)
		default:
			delay = durableDelay
			durableDelay = min(2*durableDelay, maxDurableDelay)
		}
		select {
		case <-h.acked:
			return
		case <-time.After(retry.Jitter(delay)):
		case <-changed:
			if !retry.Sleep(a.ctx, rand.N(ownerChangeMaxDelay)) {
				return
			}
			failDelay, durableDelay = minReportDelay, minDurableDelay
		case <-a.ctx.Done():
			return
		}
	}
}

// reportOnce reports an outcome to the owner once, and returns whether the outcome is
// durable.
func (a *Agent) reportOnce(owner structs.Owner, h *heldOutcome) (durable bool, err error) {
	if owner.Addr == "" {
		return false, verdict.Refuse(verdict.CodeUnavailable, "no owner is known")
	}
	select {
	case a.outbox.reportSlots <- struct{}{}:
	case <-h.acked:
		return true, nil
	case <-a.ctx.Done():
		return false, a.ctx.Err()
	}
	defer func() { <-a.outbox.reportSlots }()
	ctx, cancel := context.WithTimeout(trace.ContextWithRemoteSpanContext(a.ctx, h.span), reportTimeout)
	defer cancel()
	reply := &structs.GangFinishedReply{}
	args := &structs.GangFinishedArgs{AgentID: a.cfg.Info.ID, Outcome: h.outcome}
	if err := a.cfg.Pool.Call(ctx, owner.Addr, "Domain.GangFinished", args, reply); err != nil {
		return false, err
	}
	return reply.Durable, nil
}
