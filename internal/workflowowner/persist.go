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

// Bounds of the owner's writes.
const (
	// writeJobs is the number of jobs in a transaction: each has two conditions and
	// one write.
	writeJobs    = 30
	writeTimeout = 2500 * time.Millisecond
	// writePause is the mean delay after a write that the store did not serve.
	writePause = 100 * time.Millisecond
)

// persist writes what has changed until the owner stops.
func (o *Owner) persist() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.dirty:
		}
		for o.ctx.Err() == nil {
			more, err := o.write()
			if err != nil {
				retry.Sleep(o.ctx, retry.Jitter(2*writePause))
				continue
			}
			if !more {
				break
			}
		}
	}
}

// written is a job in a transaction.
type written struct {
	job   *job
	gen   uint64
	state workflow.State
}

// writtenWorker is a worker's row in a transaction.
type writtenWorker struct {
	worker      *worker
	member      bool // false for a row that is removed
	incarnation int64
}

// write writes one batch and reports whether there may be more to write.
func (o *Owner) write() (bool, error) {
	o.mu.Lock()
	if !o.loaded {
		o.mu.Unlock()
		return false, nil
	}
	txn, jobs, workers := o.batch()
	if len(txn.Checks) > 0 {
		txn.Checks = append(txn.Checks, o.fence())
	}
	clock := o.o.Clock()
	o.mu.Unlock()
	if len(txn.Checks) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	sent := time.Now()
	version, err := o.o.Store.Commit(ctx, txn)
	writeWait.Add(telemetry.Bucket(time.Since(sent)), 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	var conflict *rowstore.Conflict
	switch {
	case errors.As(err, &conflict):
		o.o.Log.Event("write_conflict", "jobs", len(jobs), "workers", len(workers), "rows", len(conflict.Rows))
		o.resolve(txn, conflict)
		return o.o.Authority(), nil
	case err != nil:
		o.o.Log.Event("write_failed", "jobs", len(jobs), "workers", len(workers), "err", err.Error(),
			"verdict", verdict.Of(err).String(), "afterMs", time.Since(sent).Milliseconds())
		return true, err
	}
	o.o.NoteFenced(o.o.Epoch, clock)
	for _, wr := range jobs {
		wr.job.progVersion, wr.job.durable, wr.job.stored = version, wr.gen, wr.state
		if wr.state.Final() {
			wr.job.prog.State = wr.state // a cancellation that came meanwhile is too late
		}
	}
	for _, wr := range workers {
		w := wr.worker
		w.row, w.rowVersion, w.rowIncarnation = wr.member, version, wr.incarnation
		o.o.Log.Event("worker_row_written", "worker", w.id, "member", w.row, "incarnation", w.rowIncarnation, "version", version)
		if !w.row && w.lost {
			delete(o.workers, w.id)
		}
		signal(o.kick)
	}
	for _, w := range o.workers {
		if before := w.noted; len(w.pending) > 0 {
			if w.note(); w.noted > before {
				w.wake()
			}
		}
	}
	return true, nil
}

// fence returns the condition that no other entry has taken over.
func (o *Owner) fence() rowstore.Check {
	return rowstore.Check{Table: o.o.Table, Key: election.FenceKey, Version: o.o.Version}
}

// batch returns the next transaction, with what it writes.
func (o *Owner) batch() (rowstore.Txn, []written, []writtenWorker) {
	var txn rowstore.Txn
	var jobs []written
	var workers []writtenWorker
	for _, w := range o.workers {
		if len(workers) >= writeJobs || !w.rowOutdated() {
			continue
		}
		key := workflow.WorkerPrefix + w.id
		version := w.rowVersion
		if !w.row {
			version = 0
		}
		txn.Checks = append(txn.Checks, rowstore.Check{Table: o.o.Table, Key: key, Version: version})
		if w.lost {
			txn.Deletes = append(txn.Deletes, rowstore.Ref{Table: o.o.Table, Key: key})
		} else if value, err := json.Marshal(workerRow{w.addr, w.info.Addr, w.incarnation}); err == nil {
			txn.Puts = append(txn.Puts, rowstore.Put{Table: o.o.Table, Key: key, Value: value})
		}
		workers = append(workers, writtenWorker{w, !w.lost, w.incarnation})
	}
	size := 0
	for _, j := range o.jobs {
		if j.gen == j.durable || j.rec == nil {
			continue
		}
		if len(jobs) >= writeJobs || size > rowstore.MaxTxnBytes/2 {
			break
		}
		value, err := json.Marshal(j.prog)
		if err != nil {
			o.o.Log.Event("progress_unwritable", "job", j.id, "err", err.Error())
			continue
		}
		size += len(value)
		key := workflow.ProgressPrefix + j.id
		txn.Checks = append(txn.Checks, rowstore.Check{Table: o.o.Table, Key: key, Version: j.progVersion})
		if j.prog.State.Final() && j.prog.State != workflow.StateCancelled && j.stored == "" {
			// A cancellation that was confirmed first wins.
			txn.Checks = append(txn.Checks, rowstore.Check{Table: o.o.Table, Key: workflow.CancelPrefix + j.id})
		}
		txn.Puts = append(txn.Puts, rowstore.Put{Table: o.o.Table, Key: key, Value: value})
		jobs = append(jobs, written{j, j.gen, j.prog.State})
	}
	return txn, jobs, workers
}

// resolve takes over the rows that a transaction conflicted with.
func (o *Owner) resolve(txn rowstore.Txn, conflict *rowstore.Conflict) {
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
			o.o.Log.Event("write_fenced", "epoch", o.o.Epoch)
			o.o.NoticeEpoch(o.o.Epoch + 1)
			return
		}
		prefix, name := workflow.CutKey(c.Key)
		switch prefix {
		case workflow.ProgressPrefix:
			if j := o.jobs[name]; j != nil {
				if exists {
					o.observeProgress(name, r)
				} else {
					j.progVersion = 0
				}
				j.gen++
			}
		case workflow.CancelPrefix:
			if j := o.jobs[name]; j != nil && exists {
				j.cancelled = false
				o.cancelJob(j)
			}
		case workflow.WorkerPrefix:
			if w := o.workers[name]; w != nil {
				w.row, w.rowVersion, w.rowIncarnation = exists, r.Version, 0
				var row workerRow
				if exists && json.Unmarshal(r.Value, &row) == nil {
					w.rowIncarnation = row.Incarnation // an unreadable row names no life and is written anew
				}
			}
		}
	}
}
