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
	// writeBatchJobs is the maximum number of jobs, and of workers, in a transaction. A
	// job has up to two checks and one write.
	writeBatchJobs = 30
	writeTimeout   = 2500 * time.Millisecond
	// writeRetryDelay is the mean delay after a failed write.
	writeRetryDelay = 100 * time.Millisecond
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

// jobWrite is the write of a job's progress in a transaction.
type jobWrite struct {
	job         *job
	progressGen uint64
	state       workflow.State
}

// workerWrite is the write or the removal of a worker's row in a transaction.
type workerWrite struct {
	worker      *worker
	stored      bool // false if the row is removed
	incarnation int64
}

// writeBatch writes one transaction and reports whether there may be more to write.
func (o *Owner) writeBatch() (bool, error) {
	o.mu.Lock()
	if !o.loaded {
		o.mu.Unlock()
		return false, nil
	}
	txn, jobs, workers := o.nextBatch()
	if len(txn.Checks) > 0 {
		txn.Checks = append(txn.Checks, o.fence())
	}
	clock := o.opts.Clock()
	o.mu.Unlock()
	if len(txn.Checks) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	sent := time.Now()
	version, err := o.opts.Store.Commit(ctx, txn)
	writeLatency.Add(telemetry.LatencyBucket(time.Since(sent)), 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	var conflict *rowstore.Conflict
	switch {
	case errors.As(err, &conflict):
		o.opts.Log.Event("write_conflict", "jobs", len(jobs), "workers", len(workers), "rows", len(conflict.Rows))
		o.resolveConflict(txn, conflict)
		return o.opts.Authority(), nil
	case err != nil:
		o.opts.Log.Event("write_failed", "jobs", len(jobs), "workers", len(workers), "err", err.Error(),
			"verdict", verdict.Of(err).String(), "afterMs", time.Since(sent).Milliseconds())
		return true, err
	}
	o.opts.OnFencedWrite(o.opts.Epoch, clock)
	close(o.written)
	o.written = make(chan struct{})
	for _, wr := range jobs {
		if !wr.job.crashesStored() {
			signal(o.wakeDecide) // tasks may have waited for this write
		}
		wr.job.progressVersion, wr.job.durableGen, wr.job.storedState = version, wr.progressGen, wr.state
		if wr.state.Final() {
			wr.job.progress.State = wr.state // a cancellation that arrived during the write is too late
		}
	}
	for _, wr := range workers {
		w := wr.worker
		w.rowStored, w.rowVersion, w.rowIncarnation = wr.stored, version, wr.incarnation
		o.opts.Log.Event("worker_row_written", "worker", w.id, "member", w.rowStored, "incarnation", w.rowIncarnation, "version", version)
		if !w.rowStored && w.lost {
			delete(o.workers, w.id)
		}
		signal(o.wakeDecide)
	}
	for _, w := range o.workers {
		if before := w.durableEndSeq; len(w.pendingEnds) > 0 {
			if w.updateDurableEnds(); w.durableEndSeq > before {
				w.endPoll()
			}
		}
	}
	return true, nil
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

// nextBatch returns the next transaction, with the jobs and workers that it writes.
func (o *Owner) nextBatch() (rowstore.Txn, []jobWrite, []workerWrite) {
	var txn rowstore.Txn
	var jobs []jobWrite
	var workers []workerWrite
	for _, w := range o.workers {
		if len(workers) >= writeBatchJobs || !w.rowOutdated() {
			continue
		}
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
		workers = append(workers, workerWrite{w, !w.lost, w.incarnation})
	}
	size := 0
	for _, j := range o.jobs {
		if j.progressGen == j.durableGen || j.record == nil {
			continue
		}
		if len(jobs) >= writeBatchJobs || size > rowstore.MaxTxnBytes/2 {
			break
		}
		value, err := json.Marshal(j.progress)
		if err != nil {
			o.opts.Log.Event("progress_unwritable", "job", j.id, "err", err.Error())
			continue
		}
		size += len(value)
		key := workflow.ProgressPrefix + j.id
		txn.Checks = append(txn.Checks, rowstore.Check{Table: o.opts.Table, Key: key, Version: j.progressVersion})
		if j.progress.State.Final() && j.progress.State != workflow.StateCancelled && j.storedState == "" {
			// Fails if the client was told before that the job is cancelled.
			txn.Checks = append(txn.Checks, rowstore.Check{Table: o.opts.Table, Key: workflow.CancelPrefix + j.id})
		}
		txn.Puts = append(txn.Puts, rowstore.Put{Table: o.opts.Table, Key: key, Value: value})
		jobs = append(jobs, jobWrite{j, j.progressGen, j.progress.State})
	}
	return txn, jobs, workers
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
			if j := o.jobs[name]; j != nil {
				if exists {
					o.observeProgress(name, r)
				} else {
					j.progressVersion = 0
				}
				j.progressGen++
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
