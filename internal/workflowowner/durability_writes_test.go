package workflowowner

import (
	"context"
	"errors"
	"slices"

	"pgregory.net/rapid"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// commitResult is the answer to a transaction.
type commitResult struct {
	version uint64
	err     error
}

// heldStore is a store whose transactions wait until the test answers them.
type heldStore struct {
	rowstore.Store
	txns    chan rowstore.Txn
	answers chan commitResult
}

func (s *heldStore) Commit(_ context.Context, txn rowstore.Txn) (uint64, error) {
	s.txns <- txn
	r := <-s.answers
	return r.version, r.err
}

// writeInProgress is a call of writeBatch whose transaction waits for an answer.
type writeInProgress struct {
	store *heldStore
	txn   rowstore.Txn
	done  chan struct{} // closed when the call has returned
}

// answer lets the call return.
func (w *writeInProgress) answer(r commitResult) {
	w.store.answers <- r
	<-w.done
}

// limitBatch sets the number of rows in the next transactions.
func (m *durabilityModel) limitBatch(t *rapid.T) {
	m.owner.batchLimit = rapid.SampledFrom([]int{1, 2, 3, maxBatchRows}).Draw(t, "rows")
}

// retryRefused lets the delay pass after which refused rows are sent again.
func (m *durabilityModel) retryRefused() {
	for _, j := range m.owner.jobs {
		j.rewriteAt = 0
	}
}

// beginWrite starts a write if none is in progress, and reports whether there is something to
// write.
func (m *durabilityModel) beginWrite(t *rapid.T) bool {
	if m.write != nil {
		return true
	}
	owner, held := m.owner, m.held
	done := make(chan struct{})
	var err error
	go func() {
		defer close(done)
		_, err = owner.writeBatch()
	}()
	select {
	case txn := <-held.txns:
		m.write = &writeInProgress{held, txn, done}
		m.met["small batch"] = m.met["small batch"] || owner.batchLimit < maxBatchRows
		return true
	case <-done:
		if err != nil {
			t.Fatalf("a write without a transaction failed: %v", err)
		}
		return false
	}
}

// endWrite ends the write in progress in one of the ways in which calls of the store end.
func (m *durabilityModel) endWrite(t *rapid.T) {
	if m.write == nil {
		return
	}
	lost := rowstore.Unavailable(verdict.MayHaveRun, "answer lost")
	var r commitResult
	outcome := rapid.SampledFrom([]string{"applied", "applied", "applied", "not applied", "answer lost", "late", "refused"}).Draw(t, "outcome")
	m.met[outcome] = true
	switch outcome {
	case "applied":
		r.version, r.err = m.store.Commit(context.Background(), m.write.txn)
		var conflict *rowstore.Conflict
		m.met["conflict"] = m.met["conflict"] || errors.As(r.err, &conflict)
		m.met["job ends during the write of a chunk"] = m.met["job ends during the write of a chunk"] || r.err == nil && m.jobEndedDuringWrite()
	case "not applied":
		r.err = rowstore.Unavailable(verdict.NotRun, "out of service")
	case "answer lost":
		_, _ = m.store.Commit(context.Background(), m.write.txn) // its outcome stays unknown
		r.err = lost
	case "late":
		m.late = append(m.late, m.write.txn)
		r.err = lost
	case "refused":
		r.err = verdict.Refuse(verdict.CodeBadRequest, "refused")
	}
	m.write.answer(r)
	m.write = nil
}

// jobEndedDuringWrite reports whether the write in progress has a chunk of a job that has ended
// meanwhile, and whose main row it does not have.
func (m *durabilityModel) jobEndedDuringWrite() bool {
	for _, put := range m.write.txn.Puts {
		prefix, name := workflow.SplitKey(put.Key)
		id, _, err := workflow.ParseChunkName(name)
		if prefix != workflow.ProgressChunkPrefix || err != nil {
			continue
		}
		j := m.owner.jobs[id]
		main := slices.ContainsFunc(m.write.txn.Puts, func(o rowstore.Put) bool { return o.Key == workflow.ProgressKey(id, workflow.MainRow) })
		if j.progress.State.Final() && j.storedState == "" && !main {
			return true
		}
	}
	return false
}

// applyLate applies a transaction whose caller has given up.
func (m *durabilityModel) applyLate(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := drawIndex(t, len(m.late), "late")
	_, _ = m.store.Commit(context.Background(), m.late[i]) // nobody receives its outcome
	m.late = slices.Delete(m.late, i, i+1)
}
