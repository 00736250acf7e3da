package taskowner

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
		if j.rec == nil || !j.stored.Final() || j.gen != j.durable || len(j.runs) > 0 || j.prog.EndedAt > limit {
			continue
		}
		if ids = append(ids, id); len(ids) == collectJobs {
			break
		}
	}
	return ids
}

func (o *Owner) remove(ids []string) {
	txn := rowstore.Txn{Checks: []rowstore.Check{o.fence()}}
	for _, id := range ids {
		for _, prefix := range []string{workflow.RecordPrefix, workflow.CancelPrefix, workflow.ProgressPrefix} {
			if row, ok := o.o.Mirror.Get(prefix + id); ok {
				txn.Checks = append(txn.Checks, rowstore.Check{Table: o.o.Table, Key: row.Key, Version: row.Version})
				txn.Deletes = append(txn.Deletes, rowstore.Ref{Table: o.o.Table, Key: row.Key})
			}
		}
	}
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	if _, err := o.o.Store.Commit(ctx, txn); err != nil {
		// The rows are still there at the next look.
		o.o.Log.Event("rows_not_removed", "jobs", len(ids), "err", err.Error())
		return
	}
	o.o.Log.Event("rows_removed", "jobs", len(ids))
}
