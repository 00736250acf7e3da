package workflowowner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/parsleypier/parsleypier/internal/election"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Limits of the owner's writes.
const (
	// maxBatchRows is the maximum number of rows in a transaction, which the limits of the
	// store reduce further. maxBatchWorkers leaves room for jobs.
	maxBatchRows    = 50
	maxBatchWorkers = 20
	writeTimeout    = 2500 * time.Millisecond
	// writeRetryDelay is the mean delay after a failed write.
	writeRetryDelay = 100 * time.Millisecond
	// refusedRowDelay is the delay before the row of an ended job is sent again that the store
	// has refused for good. A refusal also reduces the batches of other rows for a moment.
	refusedRowDelay = 10 * time.Second
)

// persistLoop writes changes until the owner stops.
func (o *Owner) persistLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wakePersist:
		}
		for o.ctx.Err() == nil {
			more, err := o.writeBatch()
			if err != nil {
				retry.Sleep(o.ctx, retry.Jitter(2*writeRetryDelay))
				continue
			}
			if !more {
				break
			}
		}
	}
}

// workerWrite is the write or the removal of a worker's row in a transaction.
type workerWrite struct {
	worker      *worker
	stored      bool // false if the row is removed
	incarnation int64
}

// batch is a transaction of the owner with the rows of jobs and workers that it writes.
type batch struct {
	txn      rowstore.Txn
	progress []progressWrite
	workers  []workerWrite
}

func (b *batch) rows() int { return len(b.progress) + len(b.workers) }

// writeBatch writes one transaction and reports whether there may be more to write.
func (o *Owner) writeBatch() (bool, error) {
	o.mu.Lock()
	if !o.loaded {
		o.mu.Unlock()
		return false, nil
	}
	b := o.nextBatch()
	clock := o.opts.Clock()
	o.mu.Unlock()
	if b.rows() == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	sent := time.Now()
	version, err := o.opts.Store.Commit(ctx, b.txn)
	writeLatency.Add(telemetry.LatencyBucket(time.Since(sent)), 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	var conflict *rowstore.Conflict
	switch {
	case errors.As(err, &conflict):
		o.opts.Log.Event("write_conflict", "progress", len(b.progress), "workers", len(b.workers), "rows", len(conflict.Rows))
		o.resolveConflict(b.txn, conflict)
		return o.opts.Authority(), nil
	case rowstore.RefusedForGood(err):
		o.handleRefusal(b, err)
		return true, nil
	case err != nil:
		o.opts.Log.Event("write_failed", "progress", len(b.progress), "workers", len(b.workers), "err", err.Error(),
			"verdict", verdict.Of(err).String(), "afterMs", time.Since(sent).Milliseconds())
		return true, err
	}
	o.opts.OnFencedWrite(o.opts.Epoch, clock)
	o.batchLimit = min(2*o.batchLimit, maxBatchRows)
	for _, wr := range b.progress {
		wr.job.row(wr.row).version = version
		if wr.row == workflow.MainRow {
			wr.job.storedState = wr.state
		}
		o.recordDurable(wr)
	}
	for _, wr := range b.workers {
		w := wr.worker
		w.rowStored, w.rowVersion, w.rowIncarnation = wr.stored, version, wr.incarnation
		o.opts.Log.Event("worker_row_written", "worker", w.id, "member", w.rowStored, "incarnation", w.rowIncarnation, "version", version)
		if !w.rowStored && w.lost {
			delete(o.workers, w.id)
		}
		signal(o.wakeDecide)
	}
	o.releaseEnds()
	return true, nil
}

// recordDurable applies that a row of a job's progress is stored up to a generation.
func (o *Owner) recordDurable(wr progressWrite) {
	if !wr.job.crashesStored() {
		signal(o.wakeDecide) // tasks may have waited for this write
	}
	wr.stored()
	wr.job.updateDurable()
}

// releaseEnds lets the workers forget the ends that have become durable, and wakes calls
// that wait for a write.
func (o *Owner) releaseEnds() {
	close(o.written)
	o.written = make(chan struct{})
	for _, w := range o.workers {
		if before := w.durableEndSeq; len(w.pendingEnds) > 0 {
			if w.updateDurableEnds(); w.durableEndSeq > before {
				w.endPoll()
			}
		}
	}
}

// handleRefusal handles a transaction that the store has refused for what it contains.
// Smaller ones follow, until the item is found that the store does not take. That one is
// not sent again unchanged, or only after a delay, so that it holds up no other.
func (o *Owner) handleRefusal(b batch, err error) {
	o.opts.Log.Event("write_refused", "progress", len(b.progress), "workers", len(b.workers), "entries", b.txn.Entries(), "bytes", b.txn.Size(), "err", err.Error())
	refusedWrites.Add(1)
	if b.rows() > 1 {
		o.batchLimit = b.rows() / 2
		return
	}
	for _, wr := range b.workers {
		o.opts.Log.Event("worker_row_refused", "worker", wr.worker.id, "incarnation", wr.incarnation)
		if wr.worker.lost {
			delete(o.workers, wr.worker.id)
		}
		wr.worker.rowRefused = wr.worker.incarnation == wr.incarnation
	}
	for _, wr := range b.progress {
		o.opts.Log.Event("progress_refused", "job", wr.job.id, "row", wr.row, "state", string(wr.state))
		if !wr.state.Final() {
			o.finish(wr.job, workflow.StateFailed) // the row of an ended job is the smallest one
			continue
		}
		// The ends of the job stay unacknowledged: without them a new owner would start its
		// tasks again.
		wr.job.rewriteAt = o.now() + refusedRowDelay
		time.AfterFunc(refusedRowDelay, func() { signal(o.wakePersist) })
	}
}

// row returns the value of the worker's row.
func (w *worker) row() workerRow {
	return workerRow{
		Addr: w.addr, Listens: w.info.Addr, Incarnation: w.incarnation,
		Pool: w.info.Pool, Zone: w.info.Zone, Rack: w.info.Rack, Labels: w.info.Labels, Capacity: w.info.Capacity,
	}
}

// fence returns a check that fails if another entry has taken over.
func (o *Owner) fence() rowstore.Check {
	return rowstore.Check{Table: o.opts.Table, Key: election.FenceKey, Version: o.opts.Version}
}

// nextBatch returns the next transaction. It has as many rows as the limits
// of the store allow; the order of the maps gives each of them its turn.
func (o *Owner) nextBatch() batch {
	b := batch{txn: rowstore.Txn{Checks: []rowstore.Check{o.fence()}}}
	add := func(entries rowstore.Txn) bool {
		if b.rows() == o.batchLimit {
			return false
		}
		if b.rows() == 0 {
			entries.Checks = append(entries.Checks, b.txn.Checks...)
			b.txn = entries
			return true
		}
		return b.txn.Append(entries)
	}
	for _, w := range o.workers {
		if len(b.workers) == maxBatchWorkers {
			break
		}
		if !w.rowOutdated() {
			continue
		}
		if !add(o.workerEntries(w)) {
			return b
		}
		b.workers = append(b.workers, workerWrite{w, !w.lost, w.incarnation})
	}
	for _, j := range o.jobs {
		if j.progressGen == j.durableGen || j.record == nil || o.now() < j.rewriteAt {
			continue
		}
		for _, row := range j.unstoredRows() {
			entries, err := o.progressEntries(j, row)
			if err != nil {
				o.opts.Log.Event("progress_unwritable", "job", j.id, "row", row, "err", err.Error())
				continue
			}
			if !add(entries) {
				return b
			}
			b.progress = append(b.progress, progressWrite{j, row, j.progressGen, j.progress.State})
		}
	}
	return b
}

// workerEntries returns the entries that write or remove a worker's row.
func (o *Owner) workerEntries(w *worker) rowstore.Txn {
	var txn rowstore.Txn
	key := workflow.WorkerPrefix + w.id
	version := w.rowVersion
	if !w.rowStored {
		version = 0
	}
	txn.Checks = append(txn.Checks, rowstore.Check{Table: o.opts.Table, Key: key, Version: version})
	if w.lost {
		txn.Deletes = append(txn.Deletes, rowstore.Ref{Table: o.opts.Table, Key: key})
	} else if value, err := json.Marshal(w.row()); err == nil {
		txn.Puts = append(txn.Puts, rowstore.Put{Table: o.opts.Table, Key: key, Value: value})
	}
	return txn
}

// resolveConflict applies the rows because of which a transaction failed.
func (o *Owner) resolveConflict(txn rowstore.Txn, conflict *rowstore.Conflict) {
	current := map[string]rowstore.Row{}
	for _, r := range conflict.Rows {
		if !r.Deleted {
			current[r.Key] = r
		}
	}
	for _, c := range txn.Checks {
		r, exists := current[c.Key]
		if exists && r.Version == c.Version || !exists && c.Version == 0 {
			continue
		}
		if c.Key == election.FenceKey {
			o.opts.Log.Event("write_fenced", "epoch", o.opts.Epoch)
			o.opts.OnHigherEpoch(o.opts.Epoch + 1)
			return
		}
		prefix, name := workflow.SplitKey(c.Key)
		switch prefix {
		case workflow.ProgressPrefix:
			o.resolveProgressConflict(name, workflow.MainRow, r, exists)
		case workflow.ProgressChunkPrefix:
			if id, chunk, err := workflow.ParseChunkName(name); err == nil {
				o.resolveProgressConflict(id, chunk, r, exists)
			}
		case workflow.CancelPrefix:
			if j := o.jobs[name]; j != nil && exists {
				j.cancelled = false
				o.cancelJob(j)
			}
		case workflow.WorkerPrefix:
			if w := o.workers[name]; w != nil {
				w.rowStored, w.rowVersion, w.rowIncarnation = exists, r.Version, 0
				var row workerRow
				if exists && json.Unmarshal(r.Value, &row) == nil {
					w.rowIncarnation = row.Incarnation // if it is unreadable, the row is written again
				}
			}
		}
	}
}
