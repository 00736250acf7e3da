package workflowowner

import (
	"context"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Constants of the removal of old jobs.
const (
	collectInterval = 5 * time.Second
	// collectMargin is added to the time for which an ended job stays known, for
	// clocks of entries that differ.
	collectMargin = 30 * time.Second
	// collectJobs bounds a transaction: a job has up to three rows, each with a
	// condition and a removal.
	collectJobs = 15
)

// collect removes the rows of jobs that ended long ago, until the owner stops.
func (o *Owner) collect() {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
		}
		o.mu.Lock()
		old := o.oldJobs()
		o.mu.Unlock()
		if len(old) > 0 {
			o.remove(old)
		}
	}
}

// oldJobs returns some jobs that need not be known any longer.
func (o *Owner) oldJobs() []string {
	limit := o.o.UnixMillis() - (o.o.Times.Kept + collectMargin).Milliseconds()
	var ids []string
	for id, j := range o.jobs {
		if !j.stored.Final() || j.gen != j.durable || len(j.runs) > 0 || j.prog.EndedAt > limit {
			continue
		}
		if ids = append(ids, id); len(ids) == collectJobs {
			break
		}
	}
	return ids
}

// remove removes the records first: a job whose record is left would run again,
// while other rows without a record mean nothing and are found by the next look.
func (o *Owner) remove(ids []string) {
	records := map[string][]string{} // by partition
	var keys []string
	for _, id := range ids {
		record := workflow.RecordPrefix + id
		records[workflow.Partition(record)] = append(records[workflow.Partition(record)], record)
		keys = append(keys, workflow.CancelPrefix+id, workflow.ProgressPrefix+id)
	}
	for _, part := range records {
		if !o.removeRows(rowstore.Txn{}, part...) {
			return
		}
	}
	if o.removeRows(rowstore.Txn{Checks: []rowstore.Check{o.fence()}}, keys...) {
		o.o.Log.Event("rows_removed", "jobs", len(ids))
	}
}

// removeRows adds the removal of those rows that exist to a transaction, and
// reports whether they are gone.
func (o *Owner) removeRows(txn rowstore.Txn, keys ...string) bool {
	for _, key := range keys {
		if row, ok := o.o.Mirror.Get(key); ok {
			txn.Checks = append(txn.Checks, rowstore.Check{Table: o.o.Table, Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, rowstore.Ref{Table: o.o.Table, Key: row.Key})
		}
	}
	if len(txn.Deletes) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	if _, err := o.o.Store.Commit(ctx, txn); err != nil {
		// The rows are still there at the next look.
		o.o.Log.Event("rows_not_removed", "rows", len(txn.Deletes), "err", err.Error())
		return false
	}
	return true
}
