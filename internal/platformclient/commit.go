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
func (b *Batcher) writeBatch(batch []*op) {
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

// commit writes ops in one transaction.
func (b *Batcher) commit(ops []*op) (map[string]uint64, error) {
	txn := Txn{Puts: make([]Put, len(ops))}
	for i, o := range ops {
		txn.Puts[i] = Put{Key: o.key, Value: o.value}
		if o.check != nil {
			txn.Checks = append(txn.Checks, Check{Key: o.key, Version: *o.check})
		}
		if o.fence != nil && !slices.Contains(txn.Checks, *o.fence) {
			txn.Checks = append(txn.Checks, *o.fence)
		}
	}
	metrics.Add(metricBatchTxns, 1)
	metrics.Add(metricBatchRows, int64(len(ops)))
	return b.table.Commit(b.ctx, txn)
}

// markUncertain records that the response to a write of ops was lost.
func (b *Batcher) markUncertain(ops []*op) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, o := range ops {
		if !o.uncertain {
			o.uncertain, o.uncertainSince = true, now
		}
	}
}

// readBack reads the rows whose earlier response was lost and completes those
// that were written. It returns the rows that are still to be written, and
// reachable is false if the platform could not be reached.
func (b *Batcher) readBack(ops []*op) (remaining []*op, reachable bool) {
	for i, o := range ops {
		if !o.uncertain {
			remaining = append(remaining, o)
			continue
		}
		metrics.Add(metricBatchReadBacks, 1)
		row, err := b.table.Get(b.ctx, o.key)
		if err != nil && !verdict.HasCode(err, verdict.CodeNotFound) {
			return append(remaining, ops[i:]...), false
		}
		switch o.resolve(row, err == nil) {
		case written:
			b.complete([]*op{o}, map[string]uint64{o.key: row.Version})
		case notWritten:
			remaining = append(remaining, o)
		case overwrittenByOther:
			b.finish(o, overwrittenError(o, row))
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

// resolve compares the row that was read back with the value and version that o
// should have produced.
func (o *op) resolve(row Row, exists bool) resolution {
	same := exists && bytes.Equal(row.Value, o.value)
	switch {
	case o.check == nil && same, o.check != nil && same && row.Version != *o.check:
		return written
	case o.check == nil, row.Version == *o.check:
		return notWritten
	}
	return overwrittenByOther
}

func overwrittenError(o *op, row Row) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeConflict,
		"row %s has another writer's version %d; the answer to this write was lost", o.key, row.Version)
}

// splitConflict ends the writes whose checks or fences did not hold and returns
// the others, none of which took effect in this transaction.
func (b *Batcher) splitConflict(ops []*op, err error) []*op {
	metrics.Add(metricBatchSplits, 1)
	conflicts := Conflicts(err)
	var remaining, failed []*op
	fenced := 0
	for _, o := range ops {
		switch {
		case o.fenced(conflicts):
			fenced++
			b.finishFenced(o)
		case o.check != nil && slices.ContainsFunc(conflicts, func(c Check) bool { return c.Key == o.key }):
			failed = append(failed, o)
		default:
			remaining = append(remaining, o)
		}
	}
	if len(failed)+fenced == 0 {
		return b.retrySeparately(ops, err)
	}
	for _, o := range failed {
		if !o.uncertain {
			b.finish(o, err)
			continue
		}
		// The conflict may come from an earlier attempt of this same write that
		// took effect late.
		row, err := b.table.Get(b.ctx, o.key)
		switch {
		case err != nil && !verdict.HasCode(err, verdict.CodeNotFound):
			b.requeueOne(o)
		case o.resolve(row, err == nil) == written:
			b.complete([]*op{o}, map[string]uint64{o.key: row.Version})
		default:
			b.finish(o, overwrittenError(o, row))
		}
	}
	return remaining
}

// fenced reports whether the conflicts show that the fence of o does not hold.
// The versions are compared because one transaction may contain writes with
// different versions of the same fence: two successive owners of a domain may run
// in one process.
func (o *op) fenced(conflicts []Check) bool {
	return o.fence != nil && slices.ContainsFunc(conflicts, func(c Check) bool {
		return c.Key == o.fence.Key && c.Version != o.fence.Version
	})
}

// finishFenced ends a write whose fence does not hold. If the response to an
// earlier attempt was lost, that attempt has either taken effect by now or, since
// its fence no longer holds, never will.
func (b *Batcher) finishFenced(o *op) {
	metrics.Add(metricBatchFenced, 1)
	v := verdict.NotRun
	if o.uncertain {
		row, err := b.table.Get(b.ctx, o.key)
		if err != nil && !verdict.HasCode(err, verdict.CodeNotFound) {
			b.requeueOne(o)
			return
		}
		switch o.resolve(row, err == nil) {
		case written:
			b.complete([]*op{o}, map[string]uint64{o.key: row.Version})
			return
		case overwrittenByOther:
			v = verdict.MayHaveRun
		case notWritten:
			if o.check == nil {
				v = verdict.MayHaveRun // it may have been written and then overwritten
			}
		}
	}
	b.finish(o, verdict.New(v, verdict.CodeStaleEpoch, "row %s not written: %s has changed", o.key, o.fence.Key))
}

// retrySeparately handles a transaction that the platform refused without naming
// the keys at fault. A single write fails; several are committed one by one.
func (b *Batcher) retrySeparately(ops []*op, err error) []*op {
	if len(ops) == 1 {
		if len(ops[0].done) > 0 {
			klog.ErrorS(err, "platform refused to write row", "key", ops[0].key)
		}
		b.finish(ops[0], err)
		return nil
	}
	for _, o := range ops {
		b.commitOne(o)
	}
	return nil
}

// commitOne writes o in a transaction of its own.
func (b *Batcher) commitOne(o *op) {
	versions, err := b.commit([]*op{o})
	switch {
	case err == nil:
		b.complete([]*op{o}, versions)
	case verdict.HasCode(err, verdict.CodePlatformUnavailable):
		if verdict.Of(err) != verdict.NotRun {
			b.markUncertain([]*op{o})
		}
		b.requeueOne(o)
	case verdict.HasCode(err, verdict.CodeConflict):
		b.splitConflict([]*op{o}, err)
	default:
		b.retrySeparately([]*op{o}, err)
	}
}

// complete reports success to the callers that wait for ops.
func (b *Batcher) complete(ops []*op, versions map[string]uint64) {
	var done []func()
	b.mu.Lock()
	b.backoff, b.notBefore = 0, time.Time{}
	if b.recovering && len(b.queue) < b.opts.FlushRows {
		b.recovering = false
	}
	for _, o := range ops {
		for _, w := range o.waiters {
			w.result <- writeResult{version: versions[o.key]}
		}
		o.waiters = nil
		done = append(done, o.done...)
		delete(b.inFlightKeys, o.key)
	}
	b.mu.Unlock()
	for _, f := range done {
		f()
	}
}

// finish reports err to the callers that wait for o and allows other writes of
// its key.
func (b *Batcher) finish(o *op, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail(o, err)
	delete(b.inFlightKeys, o.key)
}

// fail reports err to the callers that wait for o. The caller must hold b.mu.
func (b *Batcher) fail(o *op, err error) {
	for _, w := range o.waiters {
		w.result <- writeResult{err: err}
	}
	o.waiters = nil
}

// requeueOne puts o back into the queue while its batch is still in progress.
func (b *Batcher) requeueOne(o *op) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requeueLocked([]*op{o}, nil)
}

// requeue ends a batch and puts its remaining rows back into the queue. If cause
// is not nil, callers whose row was certainly not written receive it instead, and
// their rows are dropped unless they were also enqueued.
func (b *Batcher) requeue(ops []*op, cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlightTxns--
	b.requeueLocked(ops, cause)
	b.wake()
}

// requeueLocked implements requeue and requeueOne. The caller must hold b.mu.
func (b *Batcher) requeueLocked(ops []*op, cause error) {
	if len(ops) == 0 {
		return
	}
	now := time.Now()
	if !now.Before(b.notBefore) {
		b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
		b.notBefore = now.Add(retry.Jitter(b.backoff))
	}
	b.recovering = true
	var back []*op
	for _, o := range ops {
		delete(b.inFlightKeys, o.key)
		switch {
		case cause != nil && !o.uncertain:
			b.fail(o, cause)
		case o.uncertain && now.Sub(o.uncertainSince) >= b.opts.ResolveTimeout:
			b.fail(o, notDurableError(o, "its answer was lost and the row cannot be read"))
		}
		if len(o.waiters)+len(o.done) == 0 {
			continue
		}
		if next := b.lastQueued(o.key); next != nil && o.check == nil && next.check == nil && b.firstQueued(o.key) == next {
			// A newer value was queued in the meantime and replaces this one.
			next.waiters = append(o.waiters, next.waiters...)
			next.done = append(o.done, next.done...)
			continue
		}
		b.queuedBytes += len(o.value)
		back = append(back, o)
	}
	b.queue = append(back, b.queue...)
}

// firstQueued returns the first write of key in the queue, or nil.
func (b *Batcher) firstQueued(key string) *op {
	for _, o := range b.queue {
		if o.key == key {
			return o
		}
	}
	return nil
}
