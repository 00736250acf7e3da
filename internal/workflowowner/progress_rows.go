package workflowowner

import (
	"cmp"
	"slices"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// maxJobRows is the maximum number of rows of a job in a transaction, so that a large job
// leaves room for others.
const maxJobRows = 16

// progressRow is the state of a row of a job's progress.
type progressRow struct {
	version uint64 // 0 if the row does not exist
	// changedGen is the generation of the progress that last changed the row. unstoredGen is
	// the first one that may not be stored; 0 if the row is stored.
	changedGen, unstoredGen uint64
}

// mainRowContent is what the main row of a job has beside the parts of its progress.
type mainRowContent struct {
	begun   bool
	state   workflow.State
	endedAt int64
}

// row returns the state of a row, which it adds if missing.
func (j *job) row(row int) *progressRow {
	if j.rows[row] == nil {
		if j.rows == nil {
			j.rows = map[int]*progressRow{}
		}
		j.rows[row] = &progressRow{}
	}
	return j.rows[row]
}

// markRow marks a row as changed by the present generation of the progress.
func (j *job) markRow(row int) {
	r := j.row(row)
	r.changedGen = j.progressGen
	if r.unstoredGen == 0 {
		r.unstoredGen = j.progressGen
	}
}

// markRows begins a generation of the progress and marks the rows that have changed.
func (j *job) markRows() {
	j.progressGen++
	if main := (mainRowContent{j.progress.Begun, j.progress.State, j.progress.EndedAt}); main != j.mainMarked {
		j.mainMarked = main
		j.markRow(workflow.MainRow)
	}
	for _, row := range j.progress.TakeChangedRows() {
		j.markRow(row)
	}
}

// adoptLegacyParts marks all chunks as changed if the main row has their content.
func (j *job) adoptLegacyParts() {
	if !j.legacyParts || j.record == nil {
		return
	}
	if j.legacyParts = j.record.Spec.Chunked() && !j.progress.State.Final(); j.legacyParts {
		j.progress.MarkAllChanged(&j.record.Spec)
		j.markRows()
		j.markRow(workflow.MainRow)
	}
}

// updateDurable advances durableGen, which it returns, to the generation up to which a new
// owner would restore the progress from the store.
func (j *job) updateDurable() uint64 {
	j.durableGen = j.progressGen
	if j.storedState.Final() {
		return j.durableGen // a new owner starts nothing of the job, whatever its other rows lack
	}
	for _, r := range j.rows {
		if r.unstoredGen > 0 {
			j.durableGen = min(j.durableGen, r.unstoredGen-1)
		}
	}
	return j.durableGen
}

// unstoredRows returns the rows that have to be written next, those that have waited
// longest first, up to maxJobRows. Of a job that has ended only the main row is written. A
// main row with the parts of chunks is replaced once these have rows of their own.
func (j *job) unstoredRows() []int {
	final := j.progress.State.Final()
	var rows []int
	for row, r := range j.rows {
		if r.unstoredGen > 0 && (row == workflow.MainRow || !final) {
			rows = append(rows, row)
		}
	}
	if j.legacyParts && len(rows) > 1 {
		rows = slices.DeleteFunc(rows, func(row int) bool { return row == workflow.MainRow })
	}
	slices.SortFunc(rows, func(a, b int) int {
		return cmp.Or(cmp.Compare(j.rows[a].unstoredGen, j.rows[b].unstoredGen), cmp.Compare(a, b))
	})
	return rows[:min(len(rows), maxJobRows)]
}

// progressWrite is the write of a row of a job's progress in a transaction.
type progressWrite struct {
	job   *job
	row   int
	gen   uint64 // generation of the progress in it
	state workflow.State
}

// stored applies that the write has succeeded.
func (wr progressWrite) stored() {
	r := wr.job.row(wr.row)
	r.unstoredGen = 0
	if r.changedGen > wr.gen {
		r.unstoredGen = wr.gen + 1
	}
	if wr.row == workflow.MainRow {
		wr.job.legacyParts = false
		if wr.state.Final() {
			wr.job.progress.State = wr.state // a cancellation that arrived during the write is too late
		}
	}
}

// progressEntries returns the entries that write a row of a job's progress.
func (o *Owner) progressEntries(j *job, row int) (rowstore.Txn, error) {
	var txn rowstore.Txn
	value, err := j.progress.EncodeRow(&j.record.Spec, row, o.opts.MaxRowBytes)
	if err != nil {
		return txn, err
	}
	key := workflow.ProgressKey(j.id, row)
	txn.Checks = append(txn.Checks, rowstore.Check{Table: o.opts.Table, Key: key, Version: j.row(row).version})
	if row == workflow.MainRow && j.progress.State.Final() && j.progress.State != workflow.StateCancelled && j.storedState == "" {
		// Fails if the client was told before that the job is cancelled.
		txn.Checks = append(txn.Checks, rowstore.Check{Table: o.opts.Table, Key: workflow.CancelPrefix + j.id})
	}
	txn.Puts = append(txn.Puts, rowstore.Put{Table: o.opts.Table, Key: key, Value: value})
	return txn, nil
}

// resolveProgressConflict applies the present version of a row of a job's progress, or that
// it does not exist, and marks the row to be written again.
func (o *Owner) resolveProgressConflict(id string, row int, current rowstore.Row, exists bool) {
	j := o.jobs[id]
	if j == nil || j.record == nil {
		return
	}
	if exists {
		o.observeProgress(id, row, current)
	} else {
		j.row(row).version = 0
	}
	j.progressGen++
	j.markRow(row)
}
