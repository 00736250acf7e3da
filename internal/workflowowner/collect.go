package workflowowner

import (
	"context"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Parameters of the removal of ended jobs.
const (
	gcInterval = 5 * time.Second
	// gcClockMargin is added to the time for which ended jobs are kept, to allow for
	// differences between the clocks of entries.
	gcClockMargin = 30 * time.Second
	// gcBatchJobs is the maximum number of jobs in a transaction, of each of which it has up
	// to two rows, each with a check and a delete.
	gcBatchJobs = 15
)

// gcLoop periodically removes the rows of jobs whose retention time is over, until the
// owner stops.
func (o *Owner) gcLoop() {
	ticker := time.NewTicker(gcInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
		}
		o.mu.Lock()
		expired := o.expiredJobs()
		o.mu.Unlock()
		if len(expired) > 0 {
			o.removeJobs(expired)
		}
	}
}

// expiredJobs returns up to gcBatchJobs jobs whose retention time is over.
func (o *Owner) expiredJobs() []string {
	limit := o.opts.UnixMillis() - (o.opts.Times.JobRetention + gcClockMargin).Milliseconds()
	var ids []string
	for id, j := range o.jobs {
		if !j.storedState.Final() || j.progressGen != j.durableGen || len(j.runs) > 0 || j.progress.EndedAt > limit {
			continue
		}
		if ids = append(ids, id); len(ids) == gcBatchJobs {
			break
		}
	}
	return ids
}

// removeJobs removes the rows of jobs, the records first: a job with a record but no
// progress would run again, while other rows without a record have no effect and are
// removed in a later round.
func (o *Owner) removeJobs(ids []string) {
	records := map[string][]string{} // by partition
	var keys []string
	for _, id := range ids {
		for _, prefix := range []string{workflow.RecordPrefix, workflow.SpareRecordPrefix} {
			part := workflow.Partition(prefix + id)
			records[part] = append(records[part], prefix+id)
		}
		keys = append(keys, workflow.CancelPrefix+id, workflow.ProgressPrefix+id)
	}
	for _, part := range records {
		if !o.removeRows(rowstore.Txn{}, part...) {
			return
		}
	}
	if o.removeRows(rowstore.Txn{Checks: []rowstore.Check{o.fence()}}, keys...) {
		o.opts.Log.Event("rows_removed", "jobs", len(ids))
	}
}

// removeRows adds the deletes of those rows that exist to a transaction and commits it.
// It reports whether the rows are gone.
func (o *Owner) removeRows(txn rowstore.Txn, keys ...string) bool {
	for _, key := range keys {
		if row, ok := o.opts.Mirror.Get(key); ok {
			txn.Checks = append(txn.Checks, rowstore.Check{Table: o.opts.Table, Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, rowstore.Ref{Table: o.opts.Table, Key: row.Key})
		}
	}
	if len(txn.Deletes) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	if _, err := o.opts.Store.Commit(ctx, txn); err != nil {
		// The next round tries again.
		o.opts.Log.Event("rows_not_removed", "rows", len(txn.Deletes), "err", err.Error())
		return false
	}
	return true
}
