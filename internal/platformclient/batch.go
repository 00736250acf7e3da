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
	// maxTxnBytes limits the total size of the values of one transaction. A single
	// row may be larger.
	maxTxnBytes = 4 << 20
	// maxValueBytes is the protocol's limit on the value of a row.
	maxValueBytes = 8 << 20
	// maxInFlightTxns and maxInFlightTxnsRecovering limit the transactions in
	// progress, the latter while the platform recovers, so that the rows queued
	// during an outage do not reach it in a burst.
	maxInFlightTxns           = 4
	maxInFlightTxnsRecovering = 1
	// minBackoff and maxBackoff limit Batcher.backoff, which starts at minBackoff and
	// doubles with each failed retry. maxBackoff is also the retry-after of the error
	// for a full queue.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// DefaultEarlyFlushes is the value of BatchOptions.EarlyFlushes for a batcher whose
// callers wait for their writes. It covers the three writes of a non-idempotent job.
// It has to be set explicitly, because 0 means no early flushes.
const (
	DefaultEarlyFlushes = 3
)

// BatchOptions configure a Batcher. A zero field other than EarlyFlushes means
// the default. A flush is the start of a transaction with the next queued rows.
type BatchOptions struct {
	// FlushInterval is the longest time that a row waits to share a transaction
	// with others.
	FlushInterval time.Duration
	// EarlyFlushes is the number of consecutive flushes that need not wait for
	// the interval, so that a caller is not delayed while little is written.
	// Further early flushes are limited to one in each interval, so that the
	// platform receives no more transactions than if every flush waited. 0 means
	// that every flush waits.
	EarlyFlushes int
	// FlushRows is the number of rows that are flushed without waiting. It is also
	// the limit on the rows of a transaction.
	FlushRows int
	// MaxQueuedRows and MaxQueuedBytes limit the queue.
	MaxQueuedRows, MaxQueuedBytes int
	// ResolveTimeout limits how long Write tries to learn whether a write whose
	// response was lost has taken effect.
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
	table   Table
	opts    BatchOptions
	ctx     context.Context
	cancel  context.CancelFunc
	wakeup  chan struct{}
	stopped chan struct{}

	mu           sync.Mutex
	queue        []*queuedWrite
	queuedBytes  int             // total size of the queued values
	inFlightKeys map[string]bool // keys of the transactions in progress
	inFlightTxns int             // transactions in progress
	closing      bool
	// During an outage, backoff is the upper limit of the random delay before the
	// next retry, and notBefore is when the next attempt may start. recovering is set
	// by a failure, and cleared when a transaction succeeds while fewer than FlushRows
	// rows are queued.
	backoff      time.Duration
	notBefore    time.Time
	recovering   bool
	lastFlush    time.Time
	earlyFlushes *rate.Limiter
}

var _ Batch = (*Batcher)(nil)

// queuedWrite is a write of one row. It belongs either to the queue or to one
// transaction in progress; its waiters are guarded by Batcher.mu.
type queuedWrite struct {
	key      string
	value    []byte
	check    *uint64
	fence    *Check
	queuedAt time.Time
	waiters  []*waiter
	done     []func()
	// uncertain is set, with its time, when the response to an attempt was lost:
	// the write may have taken effect.
	uncertain      bool
	uncertainSince time.Time
}

// waiter is a call of Write that waits for its result.
type waiter struct{ result chan writeResult }

type writeResult struct {
	version uint64
	err     error
}

// NewBatcher starts a batcher that writes to table. The caller must call Close.
func NewBatcher(table Table, o BatchOptions) *Batcher {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	b := &Batcher{
		table: table, opts: o, ctx: ctx, cancel: cancel,
		wakeup: make(chan struct{}, 1), stopped: make(chan struct{}), inFlightKeys: map[string]bool{},
		earlyFlushes: rate.NewLimiter(rate.Every(o.FlushInterval), o.EarlyFlushes),
	}
	go b.run()
	return b
}

// Write implements Batch.
func (b *Batcher) Write(ctx context.Context, w Write) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, verdict.Refuse(verdict.CodePlatformUnavailable, "write %s: %v", w.Key, err)
	}
	// A transaction may contain the rows of many traces, so this span covers only
	// the time that the row waits.
	ctx, span := telemetry.StartChildSpan(ctx, tracer, "platform write "+w.Key, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	wait := &waiter{result: make(chan writeResult, 1)}
	q, err := b.add(w, wait, nil)
	if err != nil {
		return 0, err
	}
	select {
	case r := <-wait.result:
		return r.version, r.err
	case <-ctx.Done():
		return b.stopWaiting(q, wait, ctx.Err())
	}
}

// stopWaiting removes w from q because the caller's context ended. It returns
// the result if there is one by now, and else an error whose verdict is NotRun
// if the value cannot have been written and will not be.
func (b *Batcher) stopWaiting(q *queuedWrite, w *waiter, cause error) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case r := <-w.result:
		return r.version, r.err
	default:
	}
	q.waiters = slices.DeleteFunc(q.waiters, func(x *waiter) bool { return x == w })
	v := verdict.MayHaveRun
	i := slices.Index(b.queue, q)
	if i >= 0 && !q.uncertain {
		v = verdict.NotRun
		if len(q.waiters)+len(q.done) > 0 {
			// A write of another caller was merged into this one, so this value
			// may still be written.
			v = verdict.MayHaveRun
		}
	}
	if i >= 0 && len(q.waiters)+len(q.done) == 0 {
		b.removeAt(i)
	}
	return 0, verdict.New(v, verdict.CodePlatformUnavailable, "write %s: %v", q.key, cause)
}

// Enqueue implements Batch. done may be nil; it is called without holding locks.
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
	return len(b.queue) + len(b.inFlightKeys)
}

func (b *Batcher) add(w Write, wait *waiter, done func()) (*queuedWrite, error) {
	if w.Key == "" || len(w.Value) > maxValueBytes {
		return nil, verdict.Refuse(verdict.CodeTooLarge, "row %q of %d bytes: no key, or above the limit of %d bytes", w.Key, len(w.Value), maxValueBytes)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closing {
		return nil, verdict.Refuse(verdict.CodeDraining, "write %s: batch is closed", w.Key)
	}
	q := b.lastQueued(w.Key)
	if q != nil && q.check == nil && w.Check == nil {
		metrics.Add(metricBatchCoalesced, 1)
		b.queuedBytes += len(w.Value) - len(q.value)
		q.value, q.fence = w.Value, w.Fence
	} else {
		if len(b.queue)+len(b.inFlightKeys) >= b.opts.MaxQueuedRows || b.queuedBytes+len(w.Value) > b.opts.MaxQueuedBytes {
			metrics.Add(metricBatchOverloaded, 1)
			return nil, verdict.Refuse(verdict.CodeOverloaded, "%d rows wait for the platform", len(b.queue)).WithRetryAfter(maxBackoff)
		}
		q = &queuedWrite{key: w.Key, value: w.Value, check: w.Check, fence: w.Fence, queuedAt: time.Now()}
		b.queue = append(b.queue, q)
		b.queuedBytes += len(w.Value)
	}
	if wait != nil {
		q.waiters = append(q.waiters, wait)
	}
	if done != nil {
		q.done = append(q.done, done)
	}
	// During an outage the run loop already has a timer for the queued rows.
	// Waking it for each new row would make it scan thousands of rows each time,
	// which costs several milliseconds a second.
	if wait != nil || len(b.queue) == 1 || !time.Now().Before(b.notBefore) {
		b.wake()
	}
	return q, nil
}

// lastQueued returns the last write of key in the queue, or nil. Writes in
// progress are not in the queue.
func (b *Batcher) lastQueued(key string) *queuedWrite {
	for _, q := range slices.Backward(b.queue) {
		if q.key == key {
			return q
		}
	}
	return nil
}

func (b *Batcher) removeAt(i int) {
	b.queuedBytes -= len(b.queue[i].value)
	b.queue = slices.Delete(b.queue, i, i+1)
}

func (b *Batcher) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// Close rejects further writes, flushes the queue and waits until it is empty or
// ctx ends. It returns an error with MayHaveRun if rows were not written.
func (b *Batcher) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closing = true
	b.mu.Unlock()
	b.wake()
	var err error
	select {
	case <-b.stopped:
	case <-ctx.Done():
		err = verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "%d rows not written: %v", b.Queued(), ctx.Err())
	}
	b.cancel()
	<-b.stopped
	return err
}

// run starts transactions until the batch is closed and none is in progress.
func (b *Batcher) run() {
	defer close(b.stopped)
	for {
		b.mu.Lock()
		batch, wait := b.takeBatch(time.Now())
		idle := b.closing && len(b.queue) == 0
		stop := (idle || b.ctx.Err() != nil) && b.inFlightTxns == 0
		b.mu.Unlock()
		if stop {
			b.failAll()
			return
		}
		if len(batch) > 0 {
			go b.writeBatch(batch)
			continue
		}
		timer := time.NewTimer(wait)
		canceled := b.ctx.Done()
		if b.ctx.Err() != nil {
			canceled = nil // only the transactions in progress are left to wait for
		}
		select {
		case <-b.wakeup:
		case <-timer.C:
		case <-canceled:
		}
		timer.Stop()
	}
}

// failAll returns an error to all callers that still wait when the batch is
// closed.
func (b *Batcher) failAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.queue {
		b.fail(q, notDurableError(q, "batch is closed"))
	}
}

// notDurableError returns the error for a write that was not confirmed.
func notDurableError(q *queuedWrite, cause string) error {
	v := verdict.NotRun
	if q.uncertain {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.CodePlatformUnavailable, "write %s: %s", q.key, cause)
}

// maxIdleWait is the longest time that the run loop sleeps if no row wakes it.
const maxIdleWait = time.Minute

// takeBatch removes the rows of the next transaction from the queue and marks
// them as in progress. If none is to be started yet, it returns how long to
// wait. The caller must hold b.mu.
func (b *Batcher) takeBatch(now time.Time) ([]*queuedWrite, time.Duration) {
	limit := maxInFlightTxns
	if b.recovering {
		limit = maxInFlightTxnsRecovering
	}
	if len(b.queue) == 0 || b.inFlightTxns >= limit || b.ctx.Err() != nil {
		return nil, maxIdleWait
	}
	if wait := b.opts.FlushInterval - now.Sub(b.lastFlush); b.recovering && wait > 0 {
		return nil, wait
	}
	batch, due := b.selectReady(now)
	wait := due.Sub(now)
	if len(batch) == 0 {
		return nil, max(wait, time.Millisecond)
	}
	// A flush that is due uses up one of the allowed early flushes as well.
	early := (wait <= 0 || b.inFlightTxns == 0 && !b.recovering) && b.earlyFlushes.AllowN(now, 1)
	if wait > 0 && !early && len(batch) < b.opts.FlushRows && !b.closing {
		return nil, max(wait, time.Millisecond)
	}
	taken := make(map[*queuedWrite]bool, len(batch))
	for _, q := range batch {
		taken[q] = true
		b.inFlightKeys[q.key] = true
		b.queuedBytes -= len(q.value)
	}
	b.queue = slices.DeleteFunc(b.queue, func(q *queuedWrite) bool { return taken[q] })
	b.inFlightTxns++
	b.lastFlush = now
	return batch, 0
}

// selectReady returns the rows that may be written now, in order and at most one
// for each key, and the time at which they are due or at which the next row
// becomes ready. The caller must hold b.mu.
func (b *Batcher) selectReady(now time.Time) ([]*queuedWrite, time.Time) {
	var batch []*queuedWrite
	due := now.Add(maxIdleWait)
	seen := map[string]bool{}
	size := 0
	for _, q := range b.queue {
		if b.inFlightKeys[q.key] || seen[q.key] {
			continue
		}
		seen[q.key] = true
		// Before the next retry is due, only writes that a caller waits for and
		// that were not tried yet, or certainly failed, are sent.
		if now.Before(b.notBefore) && (len(q.waiters) == 0 || q.uncertain) {
			if b.notBefore.Before(due) {
				due = b.notBefore
			}
			continue
		}
		if len(batch) > 0 && size+len(q.value) > maxTxnBytes {
			return batch, now
		}
		batch = append(batch, q)
		size += len(q.value)
		if t := q.queuedAt.Add(b.opts.FlushInterval); t.Before(due) {
			due = t
		}
		if len(batch) == b.opts.FlushRows {
			break
		}
	}
	return batch, due
}
