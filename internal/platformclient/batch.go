package platformclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Defaults of BatchOptions, and limits of a batch.
const (
	DefaultFlushInterval  = 20 * time.Millisecond
	DefaultFlushRows      = 64
	DefaultMaxQueuedRows  = 8192
	DefaultMaxQueuedBytes = 64 << 20
	DefaultResolveTimeout = 2 * time.Second
	// maxTxnBytes limits the values of one transaction, but for a single row.
	maxTxnBytes = 4 << 20
	// maxValueBytes is the protocol's limit of a row.
	maxValueBytes = 8 << 20
	// maxFlights limits the transactions in progress; one while the platform
	// recovers, so that the rows queued in an outage do not arrive in a burst.
	maxFlights           = 4
	maxFlightsRecovering = 1
	minBackoff           = 50 * time.Millisecond
	maxBackoff           = 2 * time.Second
)

// DefaultEarlyFlushes suits callers that wait for their writes: a
// non-idempotent job is written three times.
const (
	DefaultEarlyFlushes = 3
)

// BatchOptions configure a Batcher. Zero fields mean the defaults.
type BatchOptions struct {
	// FlushInterval is the longest time that a row waits for others.
	FlushInterval time.Duration
	// EarlyFlushes flushes in a row need not wait for the interval, so that a
	// caller is not delayed while little is written. More are allowed only at the
	// rate of one each interval, which limits the platform's load as waiting
	// does. 0 means that every flush waits.
	EarlyFlushes int
	// FlushRows rows are flushed at once; it limits the rows of a transaction.
	FlushRows int
	// MaxQueuedRows and MaxQueuedBytes limit the queue.
	MaxQueuedRows, MaxQueuedBytes int
	// ResolveTimeout limits the time that Write waits to learn the fate of a
	// write whose answer was lost.
	ResolveTimeout time.Duration
}

func (o *BatchOptions) setDefaults() {
	if o.FlushInterval <= 0 {
		o.FlushInterval = DefaultFlushInterval
	}
	if o.FlushRows <= 0 {
		o.FlushRows = DefaultFlushRows
	}
	if o.MaxQueuedRows <= 0 {
		o.MaxQueuedRows = DefaultMaxQueuedRows
	}
	if o.MaxQueuedBytes <= 0 {
		o.MaxQueuedBytes = DefaultMaxQueuedBytes
	}
	if o.ResolveTimeout <= 0 {
		o.ResolveTimeout = DefaultResolveTimeout
	}
}

// Batcher implements Batch. It is safe for concurrent use. Writes of the same
// key take effect in the order in which they were queued.
type Batcher struct {
	table  Table
	opts   BatchOptions
	ctx    context.Context
	cancel context.CancelFunc
	kick   chan struct{}
	ended  chan struct{}

	mu      sync.Mutex
	queue   []*op
	bytes   int             // of the queued values
	flying  map[string]bool // keys of the transactions in progress
	flights int
	closing bool
	// backoff and notBefore delay the repeated writes during an outage.
	backoff    time.Duration
	notBefore  time.Time
	recovering bool
	lastFlush  time.Time
	early      *rate.Limiter
}

var _ Batch = (*Batcher)(nil)

// op is a queued write. It is owned by the queue or by one transaction in
// progress; its waiters are guarded by Batcher.mu.
type op struct {
	key     string
	value   []byte
	check   *uint64
	fence   *Check
	queued  time.Time
	waiters []*waiter
	done    []func()
	// uncertain says that an earlier attempt may have taken effect, since when.
	uncertain      bool
	uncertainSince time.Time
}

type waiter struct{ result chan writeResult }

type writeResult struct {
	version uint64
	err     error
}

// NewBatch returns a batcher that writes to table. The caller must call Close.
func NewBatch(table Table, o BatchOptions) *Batcher {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	b := &Batcher{
		table: table, opts: o, ctx: ctx, cancel: cancel,
		kick: make(chan struct{}, 1), ended: make(chan struct{}), flying: map[string]bool{},
		early: rate.NewLimiter(rate.Every(o.FlushInterval), o.EarlyFlushes),
	}
	go b.run()
	return b
}

// Write implements Batch.
func (b *Batcher) Write(ctx context.Context, w Write) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, verdict.Refuse(verdict.CodePlatformUnavailable, "write %s: %v", w.Key, err)
	}
	// The transaction may carry the rows of many traces; this is the row's wait.
	ctx, span := telemetry.StartChild(ctx, tracer, "platform write "+w.Key, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	wait := &waiter{result: make(chan writeResult, 1)}
	o, err := b.add(w, wait, nil)
	if err != nil {
		return 0, err
	}
	select {
	case r := <-wait.result:
		return r.version, r.err
	case <-ctx.Done():
		return b.abandon(o, wait, ctx.Err())
	}
}

// abandon ends the wait of w for o.
func (b *Batcher) abandon(o *op, w *waiter, cause error) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case r := <-w.result:
		return r.version, r.err
	default:
	}
	o.waiters = slices.DeleteFunc(o.waiters, func(x *waiter) bool { return x == w })
	v := verdict.MayHaveRun
	i := slices.Index(b.queue, o)
	if i >= 0 && !o.uncertain {
		v = verdict.NotRun
		if len(o.waiters)+len(o.done) > 0 {
			// The write was replaced or joined by another of the same key,
			// and this value may still be the one that is written.
			v = verdict.MayHaveRun
		}
	}
	if i >= 0 && len(o.waiters)+len(o.done) == 0 {
		b.removeAt(i)
	}
	return 0, verdict.New(v, verdict.CodePlatformUnavailable, "write %s: %v", o.key, cause)
}

// Enqueue implements Batch. done may be nil; it is called without locks held.
func (b *Batcher) Enqueue(w Write, done func()) error {
	if w.Check != nil {
		return verdict.Refuse(verdict.CodeInternal, "conditional write of %s cannot be repeated", w.Key)
	}
	if done == nil {
		done = func() {}
	}
	_, err := b.add(w, nil, done)
	return err
}

// Queued returns the number of rows that are not yet durable.
func (b *Batcher) Queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) + len(b.flying)
}

func (b *Batcher) add(w Write, wait *waiter, done func()) (*op, error) {
	if w.Key == "" || len(w.Value) > maxValueBytes {
		return nil, verdict.Refuse(verdict.CodeTooLarge, "row %q of %d bytes: no key, or above the limit of %d bytes", w.Key, len(w.Value), maxValueBytes)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closing {
		return nil, verdict.Refuse(verdict.CodeDraining, "write %s: batch is closed", w.Key)
	}
	o := b.lastQueued(w.Key)
	if o != nil && o.check == nil && w.Check == nil {
		metrics.Add(metricBatchCoalesced, 1)
		b.bytes += len(w.Value) - len(o.value)
		o.value, o.fence = w.Value, w.Fence
	} else {
		if len(b.queue)+len(b.flying) >= b.opts.MaxQueuedRows || b.bytes+len(w.Value) > b.opts.MaxQueuedBytes {
			metrics.Add(metricBatchOverloaded, 1)
			return nil, verdict.Refuse(verdict.CodeOverloaded, "%d rows wait for the platform", len(b.queue)).WithRetryAfter(maxBackoff)
		}
		o = &op{key: w.Key, value: w.Value, check: w.Check, fence: w.Fence, queued: time.Now()}
		b.queue = append(b.queue, o)
		b.bytes += len(w.Value)
	}
	if wait != nil {
		o.waiters = append(o.waiters, wait)
	}
	if done != nil {
		o.done = append(o.done, done)
	}
	// During an outage the run loop has a timer for the queued rows already; a
	// look at thousands of them for each new row would cost several ms a second.
	if wait != nil || len(b.queue) == 1 || !time.Now().Before(b.notBefore) {
		b.wake()
	}
	return o, nil
}

// lastQueued returns the last queued write of key that is not in progress, or nil.
func (b *Batcher) lastQueued(key string) *op {
	for _, o := range slices.Backward(b.queue) {
		if o.key == key {
			return o
		}
	}
	return nil
}

func (b *Batcher) removeAt(i int) {
	b.bytes -= len(b.queue[i].value)
	b.queue = slices.Delete(b.queue, i, i+1)
}

func (b *Batcher) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// Close refuses further writes, flushes the queue and waits for it until ctx
// ends. It returns an error with MayHaveRun if rows are left.
func (b *Batcher) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closing = true
	b.mu.Unlock()
	b.wake()
	var err error
	select {
	case <-b.ended:
	case <-ctx.Done():
		err = verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "%d rows not written: %v", b.Queued(), ctx.Err())
	}
	b.cancel()
	<-b.ended
	return err
}

func (b *Batcher) run() {
	defer close(b.ended)
	for {
		b.mu.Lock()
		batch, wait := b.take(time.Now())
		idle := b.closing && len(b.queue) == 0
		stop := (idle || b.ctx.Err() != nil) && b.flights == 0
		b.mu.Unlock()
		if stop {
			b.failAll()
			return
		}
		if len(batch) > 0 {
			go b.fly(batch)
			continue
		}
		timer := time.NewTimer(wait)
		canceled := b.ctx.Done()
		if b.ctx.Err() != nil {
			canceled = nil // waits for the transactions in progress only
		}
		select {
		case <-b.kick:
		case <-timer.C:
		case <-canceled:
		}
		timer.Stop()
	}
}

// failAll ends the waits that are left when the batch is closed.
func (b *Batcher) failAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.queue {
		b.fail(o, notDurable(o, "batch is closed"))
	}
}

func notDurable(o *op, cause string) error {
	v := verdict.NotRun
	if o.uncertain {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.CodePlatformUnavailable, "write %s: %s", o.key, cause)
}

// idleWait is the longest sleep of the run loop; new rows wake it earlier.
const idleWait = time.Minute

// take removes the next transaction's rows from the queue and marks them as in
// progress. It returns none if it is not yet time, and then how long to wait.
// The caller holds the lock.
func (b *Batcher) take(now time.Time) ([]*op, time.Duration) {
	limit := maxFlights
	if b.recovering {
		limit = maxFlightsRecovering
	}
	if len(b.queue) == 0 || b.flights >= limit || b.ctx.Err() != nil {
		return nil, idleWait
	}
	if wait := b.opts.FlushInterval - now.Sub(b.lastFlush); b.recovering && wait > 0 {
		return nil, wait
	}
	batch, due := b.ready(now)
	wait := due.Sub(now)
	if len(batch) == 0 {
		return nil, max(wait, time.Millisecond)
	}
	// A flush that is due takes its share of the early ones as well.
	early := (wait <= 0 || b.flights == 0 && !b.recovering) && b.early.AllowN(now, 1)
	if wait > 0 && !early && len(batch) < b.opts.FlushRows && !b.closing {
		return nil, max(wait, time.Millisecond)
	}
	taken := make(map[*op]bool, len(batch))
	for _, o := range batch {
		taken[o] = true
		b.flying[o.key] = true
		b.bytes -= len(o.value)
	}
	b.queue = slices.DeleteFunc(b.queue, func(o *op) bool { return taken[o] })
	b.flights++
	b.lastFlush = now
	return batch, 0
}

// ready returns the rows that may be written now, in order and one for each
// key, and the time at which they are due or at which a row becomes ready.
func (b *Batcher) ready(now time.Time) ([]*op, time.Time) {
	var batch []*op
	due := now.Add(idleWait)
	seen := map[string]bool{}
	size := 0
	for _, o := range b.queue {
		if b.flying[o.key] || seen[o.key] {
			continue
		}
		seen[o.key] = true
		// During an outage only new writes with a waiter are tried at once.
		if now.Before(b.notBefore) && (len(o.waiters) == 0 || o.uncertain) {
			if b.notBefore.Before(due) {
				due = b.notBefore
			}
			continue
		}
		if len(batch) > 0 && size+len(o.value) > maxTxnBytes {
			return batch, now
		}
		batch = append(batch, o)
		size += len(o.value)
		if t := o.queued.Add(b.opts.FlushInterval); t.Before(due) {
			due = t
		}
		if len(batch) == b.opts.FlushRows {
			break
		}
	}
	return batch, due
}
