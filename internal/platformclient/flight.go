package platformclient

import (
	"bytes"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// maxCommits limits the transactions that one flight tries, but for those that
// follow a conflict, before its rows go back to the queue.
const maxCommits = 3

// fly writes the rows of one batch.
func (b *Batcher) fly(batch []*op) {
	left := batch
	lost := 0
	for len(left) > 0 && lost < maxCommits {
		var reachable bool
		if left, reachable = b.readBack(left); !reachable || len(left) == 0 {
			break
		}
		versions, err := b.commit(left)
		switch {
		case err == nil:
			b.succeed(left, versions)
			left = nil
		case verdict.HasCode(err, verdict.CodeConflict):
			left = b.splitConflict(left, err)
		case verdict.HasCode(err, verdict.CodePlatformUnavailable) && verdict.Of(err) == verdict.NotRun:
			b.requeue(left, err)
			return
		case verdict.Of(err) == verdict.NotRun:
			left = b.splitRefused(left, err)
		default:
			b.markUncertain(left)
			lost++
		}
	}
	b.requeue(left, nil)
}

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

// readBack learns the fate of the rows whose earlier answer was lost. It
// returns the rows that are still to be written, and false if it could not
// reach the platform.
func (b *Batcher) readBack(ops []*op) (left []*op, reachable bool) {
	for i, o := range ops {
		if !o.uncertain {
			left = append(left, o)
			continue
		}
		metrics.Add(metricBatchReadBacks, 1)
		row, err := b.table.Get(b.ctx, o.key)
		if err != nil && !verdict.HasCode(err, verdict.CodeNotFound) {
			return append(left, ops[i:]...), false
		}
		switch o.fate(row, err == nil) {
		case fateApplied:
			b.succeed([]*op{o}, map[string]uint64{o.key: row.Version})
		case fateOpen:
			left = append(left, o)
		case fateOverwritten:
			b.finish(o, overwritten(o, row))
		}
	}
	return left, true
}

type fate int

const (
	fateOpen        fate = iota // not written so far
	fateApplied                 // written
	fateOverwritten             // another writer changed the row; ours may have been written before
)

// fate compares the row that was read back with what o should have written.
func (o *op) fate(row Row, exists bool) fate {
	same := exists && bytes.Equal(row.Value, o.value)
	switch {
	case o.check == nil && same, o.check != nil && same && row.Version != *o.check:
		return fateApplied
	case o.check == nil, row.Version == *o.check:
		return fateOpen
	}
	return fateOverwritten
}

func overwritten(o *op, row Row) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeConflict,
		"row %s has another writer's version %d; the answer to this write was lost", o.key, row.Version)
}

// splitConflict fails the writes whose checks did not hold and returns the
// others, none of which has taken effect.
func (b *Batcher) splitConflict(ops []*op, err error) []*op {
	metrics.Add(metricBatchSplits, 1)
	conflicts := Conflicts(err)
	var left, failed []*op
	fenced := 0
	for _, o := range ops {
		switch {
		case o.fenced(conflicts):
			fenced++
			b.finishFenced(o)
		case o.check != nil && slices.ContainsFunc(conflicts, func(c Check) bool { return c.Key == o.key }):
			failed = append(failed, o)
		default:
			left = append(left, o)
		}
	}
	if len(failed)+fenced == 0 {
		return b.splitRefused(ops, err)
	}
	for _, o := range failed {
		if !o.uncertain {
			b.finish(o, err)
			continue
		}
		// The conflict may be with this write's own earlier attempt, applied late.
		row, err := b.table.Get(b.ctx, o.key)
		switch {
		case err != nil && !verdict.HasCode(err, verdict.CodeNotFound):
			b.requeueOne(o)
		case o.fate(row, err == nil) == fateApplied:
			b.succeed([]*op{o}, map[string]uint64{o.key: row.Version})
		default:
			b.finish(o, overwritten(o, row))
		}
	}
	return left
}

// fenced reports whether the conflicts show that the fence of o does not hold.
// Two owners of a domain in one process have different versions of one fence.
func (o *op) fenced(conflicts []Check) bool {
	return o.fence != nil && slices.ContainsFunc(conflicts, func(c Check) bool {
		return c.Key == o.fence.Key && c.Version != o.fence.Version
	})
}

// finishFenced ends a write whose fence does not hold. An earlier attempt whose
// answer was lost has taken effect by now or never will.
func (b *Batcher) finishFenced(o *op) {
	metrics.Add(metricBatchFenced, 1)
	v := verdict.NotRun
	if o.uncertain {
		row, err := b.table.Get(b.ctx, o.key)
		if err != nil && !verdict.HasCode(err, verdict.CodeNotFound) {
			b.requeueOne(o)
			return
		}
		switch o.fate(row, err == nil) {
		case fateApplied:
			b.succeed([]*op{o}, map[string]uint64{o.key: row.Version})
			return
		case fateOverwritten:
			v = verdict.MayHaveRun
		case fateOpen:
			if o.check == nil {
				v = verdict.MayHaveRun // it may have been written and replaced
			}
		}
	}
	b.finish(o, verdict.New(v, verdict.CodeStaleEpoch, "row %s not written: %s has changed", o.key, o.fence.Key))
}

// splitRefused is called when a transaction was refused for a reason that no
// key is named for. A single write fails; several are tried one by one.
func (b *Batcher) splitRefused(ops []*op, err error) []*op {
	if len(ops) == 1 {
		if len(ops[0].done) > 0 {
			klog.ErrorS(err, "row refused by the platform", "key", ops[0].key)
		}
		b.finish(ops[0], err)
		return nil
	}
	for _, o := range ops {
		b.flyAlone(o)
	}
	return nil
}

func (b *Batcher) flyAlone(o *op) {
	versions, err := b.commit([]*op{o})
	switch {
	case err == nil:
		b.succeed([]*op{o}, versions)
	case verdict.HasCode(err, verdict.CodePlatformUnavailable):
		if verdict.Of(err) != verdict.NotRun {
			b.markUncertain([]*op{o})
		}
		b.requeueOne(o)
	case verdict.HasCode(err, verdict.CodeConflict):
		b.splitConflict([]*op{o}, err)
	default:
		b.splitRefused([]*op{o}, err)
	}
}

// succeed ends the waits for ops.
func (b *Batcher) succeed(ops []*op, versions map[string]uint64) {
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
		delete(b.flying, o.key)
	}
	b.mu.Unlock()
	for _, f := range done {
		f()
	}
}

// finish ends o with err.
func (b *Batcher) finish(o *op, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail(o, err)
	delete(b.flying, o.key)
}

// fail ends the waits for o with err. The caller holds the lock.
func (b *Batcher) fail(o *op, err error) {
	for _, w := range o.waiters {
		w.result <- writeResult{err: err}
	}
	o.waiters = nil
}

func (b *Batcher) requeueOne(o *op) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requeueLocked([]*op{o}, nil)
}

// requeue ends a flight. The rows that are left go back to the queue, but for
// those of callers that can be told that they were not written, for cause.
func (b *Batcher) requeue(ops []*op, cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flights--
	b.requeueLocked(ops, cause)
	b.wake()
}

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
		delete(b.flying, o.key)
		switch {
		case cause != nil && !o.uncertain:
			b.fail(o, cause)
		case o.uncertain && now.Sub(o.uncertainSince) >= b.opts.ResolveTimeout:
			b.fail(o, notDurable(o, "its answer was lost and the row cannot be read"))
		}
		if len(o.waiters)+len(o.done) == 0 {
			continue
		}
		if next := b.lastQueued(o.key); next != nil && o.check == nil && next.check == nil && b.firstQueued(o.key) == next {
			// A newer value was queued meanwhile; it stands for this one too.
			next.waiters = append(o.waiters, next.waiters...)
			next.done = append(o.done, next.done...)
			continue
		}
		b.bytes += len(o.value)
		back = append(back, o)
	}
	b.queue = append(back, b.queue...)
}

func (b *Batcher) firstQueued(key string) *op {
	for _, o := range b.queue {
		if o.key == key {
			return o
		}
	}
	return nil
}
