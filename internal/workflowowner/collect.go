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
	// gcBatchJobs is the maximum number of jobs that are removed in a round.
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
// removed in a later round. The main rows of the progress are last, since a later round finds
// the jobs by them.
func (o *Owner) removeJobs(ids []string) {
	records := map[string][]string{} // by partition
	var chunks, main []string
	for _, id := range ids {
		for _, prefix := range []string{workflow.RecordPrefix, workflow.SpareRecordPrefix} {
			part := workflow.Partition(prefix + id)
			records[part] = append(records[part], prefix+id)
		}
		chunks = append(chunks, o.chunkKeys(id)...)
		main = append(main, workflow.CancelPrefix+id, workflow.ProgressKey(id, workflow.MainRow))
	}
	for _, part := range records {
		if !o.removeRows(rowstore.Txn{}, part) {
			return
		}
	}
	fenced := rowstore.Txn{Checks: []rowstore.Check{o.fence()}}
	if o.removeRows(fenced, chunks) && o.removeRows(fenced, main) {
		o.opts.Log.Event("rows_removed", "jobs", len(ids))
	}
}

// chunkKeys returns the keys of the rows of a job's progress beside its main row.
func (o *Owner) chunkKeys(id string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var keys []string
	if j := o.jobs[id]; j != nil {
		for row, r := range j.rows {
			if row != workflow.MainRow && r.version > 0 {
				keys = append(keys, workflow.ProgressKey(id, row))
			}
		}
	}
	return keys
}

// removeRows deletes those rows that exist, in transactions with the given checks that each
// keep the limits of the store. It reports whether the rows are gone.
func (o *Owner) removeRows(checks rowstore.Txn, keys []string) bool {
	txn := checks
	for _, key := range keys {
		row, ok := o.opts.Mirror.Get(key)
		if !ok {
			continue
		}
		entries := rowstore.Txn{
			Checks:  []rowstore.Check{{Table: o.opts.Table, Key: row.Key, Version: row.Version}},
			Deletes: []rowstore.Ref{{Table: o.opts.Table, Key: row.Key}},
		}
		if txn.Append(entries) {
			continue
		}
		if !o.commitRemoval(txn) {
			return false
		}
		txn = checks
		txn.Append(entries)
	}
	return len(txn.Deletes) == 0 || o.commitRemoval(txn)
}

func (o *Owner) commitRemoval(txn rowstore.Txn) bool {
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	if _, err := o.opts.Store.Commit(ctx, txn); err != nil {
		// The next round tries again.
		o.opts.Log.Event("rows_not_removed", "rows", len(txn.Deletes), "err", err.Error())
		return false
	}
	return true
}
