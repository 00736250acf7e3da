package platformclient

import (
	"bytes"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// maxCommitAttempts limits the transactions of one batch whose response is lost
// before its remaining rows go back to the queue.
const maxCommitAttempts = 3

// writeBatch writes the rows of one batch. Rows that could not be written go back
// to the queue.
func (b *Batcher) writeBatch(batch []*queuedWrite) {
	remaining := batch
	lostResponses := 0
	for len(remaining) > 0 && lostResponses < maxCommitAttempts {
		var reachable bool
		if remaining, reachable = b.readBack(remaining); !reachable || len(remaining) == 0 {
			break
		}
		versions, err := b.commit(remaining)
		switch {
		case err == nil:
			b.complete(remaining, versions)
			remaining = nil
		case verdict.HasCode(err, verdict.CodeConflict):
			remaining = b.splitConflict(remaining, err)
		case verdict.HasCode(err, verdict.CodePlatformUnavailable) && verdict.Of(err) == verdict.NotRun:
			b.requeue(remaining, err)
			return
		case verdict.Of(err) == verdict.NotRun:
			remaining = b.retrySeparately(remaining, err)
		default:
			b.markUncertain(remaining)
			lostResponses++
		}
	}
	b.requeue(remaining, nil)
}

// commit sends one transaction with the given writes.
func (b *Batcher) commit(writes []*queuedWrite) (map[string]uint64, error) {
	txn := Txn{Puts: make([]Put, len(writes))}
	for i, q := range writes {
		txn.Puts[i] = Put{Key: q.key, Value: q.value}
		if q.check != nil {
			txn.Checks = append(txn.Checks, Check{Key: q.key, Version: *q.check})
		}
		if q.fence != nil && !slices.Contains(txn.Checks, *q.fence) {
			txn.Checks = append(txn.Checks, *q.fence)
		}
	}
	metrics.Add(metricBatchTxns, 1)
	metrics.Add(metricBatchRows, int64(len(writes)))
	return b.table.Commit(b.ctx, txn)
}

// markUncertain records that the response to a transaction with these writes was
// lost.
func (b *Batcher) markUncertain(writes []*queuedWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, q := range writes {
		if !q.uncertain {
			q.uncertain, q.uncertainSince = true, now
		}
	}
}

// readBack reads the rows whose earlier response was lost and completes those
// that were written. It returns the rows that are still to be written, and
// reachable is false if the platform could not be reached.
func (b *Batcher) readBack(writes []*queuedWrite) (remaining []*queuedWrite, reachable bool) {
	for i, q := range writes {
		if !q.uncertain {
			remaining = append(remaining, q)
			continue
		}
		metrics.Add(metricBatchReadBacks, 1)
		row, err := b.table.Get(b.ctx, q.key)
		if err != nil && !verdict.HasCode(err, verdict.CodeNotFound) {
			return append(remaining, writes[i:]...), false
		}
		switch q.resolve(row, err == nil) {
		case written:
			b.complete([]*queuedWrite{q}, map[string]uint64{q.key: row.Version})
		case notWritten:
			remaining = append(remaining, q)
		case overwrittenByOther:
			b.finish(q, overwrittenError(q, row))
		}
	}
	return remaining, true
}

// resolution says what became of a write whose response was lost.
type resolution int

const (
	notWritten         resolution = iota // not written so far
	written                              // the row has the value of this write
	overwrittenByOther                   // another writer changed the row, possibly after this write took effect
)

// resolve compares the row that was read back with the value and version that q
// should have produced.
func (q *queuedWrite) resolve(row Row, exists bool) resolution {
	same := exists && bytes.Equal(row.Value, q.value)
	switch {
	case q.check == nil && same, q.check != nil && same && row.Version != *q.check:
		return written
	case q.check == nil, row.Version == *q.check:
		return notWritten
	}
	return overwrittenByOther
}

func overwrittenError(q *queuedWrite, row Row) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeConflict,
		"row %s has another writer's version %d; the answer to this write was lost", q.key, row.Version)
}

// splitConflict ends the writes whose checks or fences did not hold and returns
// the others, none of which took effect in this transaction.
func (b *Batcher) splitConflict(writes []*queuedWrite, err error) []*queuedWrite {
	metrics.Add(metricBatchSplits, 1)
	conflicts := Conflicts(err)
	var remaining, failed []*queuedWrite
	fenced := 0
	for _, q := range writes {
		switch {
		case q.fenced(conflicts):
			fenced++
			b.finishFenced(q)
		case q.check != nil && slices.ContainsFunc(conflicts, func(c Check) bool { return c.Key == q.key }):
			failed = append(failed, q)
		default:
			remaining = append(remaining, q)
		}
	}
	if len(failed)+fenced == 0 {
		return b.retrySeparately(writes, err)
	}
	for _, q := range failed {
		if !q.uncertain {
			b.finish(q, err)
			continue
		}
		// The conflict may come from an earlier attempt of this same write that
		// took effect late.
		row, err := b.table.Get(b.ctx, q.key)
		switch {
		case err != nil && !verdict.HasCode(err, verdict.CodeNotFound):
			b.requeueOne(q)
		case q.resolve(row, err == nil) == written:
			b.complete([]*queuedWrite{q}, map[string]uint64{q.key: row.Version})
		default:
			b.finish(q, overwrittenError(q, row))
		}
	}
	return remaining
}

// fenced reports whether the conflicts show that the fence of q does not hold.
// The versions are compared because one transaction may contain writes with
// different versions of the same fence: two successive owners of a domain may run
// in one process.
func (q *queuedWrite) fenced(conflicts []Check) bool {
	return q.fence != nil && slices.ContainsFunc(conflicts, func(c Check) bool {
		return c.Key == q.fence.Key && c.Version != q.fence.Version
	})
}

// finishFenced ends a write whose fence does not hold. If the response to an
// earlier attempt was lost, that attempt has either taken effect by now or, since
// its fence no longer holds, never will.
func (b *Batcher) finishFenced(q *queuedWrite) {
	metrics.Add(metricBatchFenced, 1)
	v := verdict.NotRun
	if q.uncertain {
		row, err := b.table.Get(b.ctx, q.key)
		if err != nil && !verdict.HasCode(err, verdict.CodeNotFound) {
			b.requeueOne(q)
			return
		}
		switch q.resolve(row, err == nil) {
		case written:
			b.complete([]*queuedWrite{q}, map[string]uint64{q.key: row.Version})
			return
		case overwrittenByOther:
			v = verdict.MayHaveRun
		case notWritten:
			if q.check == nil {
				v = verdict.MayHaveRun // it may have been written and then overwritten
			}
		}
	}
	b.finish(q, verdict.New(v, verdict.CodeStaleEpoch, "row %s not written: %s has changed", q.key, q.fence.Key))
}

// retrySeparately handles a transaction that the platform refused without naming
// the keys at fault. A single write fails; several are committed one by one.
func (b *Batcher) retrySeparately(writes []*queuedWrite, err error) []*queuedWrite {
	if len(writes) == 1 {
		if len(writes[0].done) > 0 {
			klog.ErrorS(err, "platform refused to write row", "key", writes[0].key)
		}
		b.finish(writes[0], err)
		return nil
	}
	for _, q := range writes {
		b.commitOne(q)
	}
	return nil
}

// commitOne writes q in a transaction of its own.
func (b *Batcher) commitOne(q *queuedWrite) {
	versions, err := b.commit([]*queuedWrite{q})
	switch {
	case err == nil:
		b.complete([]*queuedWrite{q}, versions)
	case verdict.HasCode(err, verdict.CodePlatformUnavailable):
		if verdict.Of(err) != verdict.NotRun {
			b.markUncertain([]*queuedWrite{q})
		}
		b.requeueOne(q)
	case verdict.HasCode(err, verdict.CodeConflict):
		b.splitConflict([]*queuedWrite{q}, err)
	default:
		b.retrySeparately([]*queuedWrite{q}, err)
	}
}

// complete reports success to the callers that wait for the given writes.
func (b *Batcher) complete(writes []*queuedWrite, versions map[string]uint64) {
	var done []func()
	b.mu.Lock()
	b.backoff, b.notBefore = 0, time.Time{}
	if b.recovering && len(b.queue) < b.opts.FlushRows {
		b.recovering = false
	}
	for _, q := range writes {
		for _, w := range q.waiters {
			w.result <- writeResult{version: versions[q.key]}
		}
		q.waiters = nil
		done = append(done, q.done...)
		delete(b.inFlightKeys, q.key)
	}
	b.mu.Unlock()
	for _, f := range done {
		f()
	}
}

// finish reports err to the callers that wait for q and allows other writes of
// its key.
func (b *Batcher) finish(q *queuedWrite, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail(q, err)
	delete(b.inFlightKeys, q.key)
}

// fail reports err to the callers that wait for q. The caller must hold b.mu.
func (b *Batcher) fail(q *queuedWrite, err error) {
	for _, w := range q.waiters {
		w.result <- writeResult{err: err}
	}
	q.waiters = nil
}

// requeueOne puts q back into the queue while its batch is still in progress.
func (b *Batcher) requeueOne(q *queuedWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requeueLocked([]*queuedWrite{q}, nil)
}

// requeue ends a batch and puts its remaining rows back into the queue. If cause
// is not nil, callers whose row was certainly not written receive it instead, and
// their rows are dropped unless they were also enqueued.
func (b *Batcher) requeue(writes []*queuedWrite, cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlightTxns--
	b.requeueLocked(writes, cause)
	b.wake()
}

// requeueLocked implements requeue and requeueOne. The caller must hold b.mu.
func (b *Batcher) requeueLocked(writes []*queuedWrite, cause error) {
	if len(writes) == 0 {
		return
	}
	now := time.Now()
	if !now.Before(b.notBefore) {
		b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
		b.notBefore = now.Add(retry.Jitter(b.backoff))
	}
	b.recovering = true
	var back []*queuedWrite
	for _, q := range writes {
		delete(b.inFlightKeys, q.key)
		switch {
		case cause != nil && !q.uncertain:
			b.fail(q, cause)
		case q.uncertain && now.Sub(q.uncertainSince) >= b.opts.ResolveTimeout:
			b.fail(q, notDurableError(q, "its answer was lost and the row cannot be read"))
		}
		if len(q.waiters)+len(q.done) == 0 {
			continue
		}
		if next := b.lastQueued(q.key); next != nil && q.check == nil && next.check == nil && b.firstQueued(q.key) == next {
			// A newer value was queued in the meantime and replaces this one.
			next.waiters = append(q.waiters, next.waiters...)
			next.done = append(q.done, next.done...)
			continue
		}
		b.queuedBytes += len(q.value)
		back = append(back, q)
	}
	b.queue = append(back, b.queue...)
}

// firstQueued returns the first write of key in the queue, or nil.
func (b *Batcher) firstQueued(key string) *queuedWrite {
	for _, q := range b.queue {
		if q.key == key {
			return q
		}
	}
	return nil
}
