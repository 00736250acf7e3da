// Package rowstorestub is a small in-process stand-in of the transactional table with a
// change feed: it implements rowstore.Store, with outages, lost answers, writes
// that take effect late, refusal of single processes and dropped history.
package rowstorestub

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Faults are what a table does wrong. They may change at any time.
type Faults struct {
	// Down refuses all calls, Silent leaves them unanswered until their end.
	Down, Silent bool
	// Refused lists the processes that are turned away.
	Refused map[string]bool
	// LoseEvery leaves the answer of each so many-th write out, though it took
	// effect; 0 for none. Late is the delay of their effect.
	LoseEvery int
	Late      time.Duration
	// Delay is the time that an answer takes.
	Delay time.Duration
}

// Table is the table. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[rowstore.Ref]rowstore.Row
	history []rowstore.Row
	// gone is the version up to which the history was dropped.
	gone    uint64
	version uint64
	faults  Faults
	writes  int
	changed chan struct{}
	// Partition assigns rows to partitions; nil for one. It is set before use.
	// Transactions over several partitions are refused.
	Partition func(key string) string
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[rowstore.Ref]rowstore.Row{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// DropHistory makes feeds from earlier versions fail.
func (t *Table) DropHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.gone = nil, t.version
}

// Put writes a row unconditionally, as the operator does.
func (t *Table) Put(table, key string, value []byte) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.set(rowstore.Row{Table: table, Key: key, Value: value, Version: t.version})
	t.wake()
	return t.version
}

func (t *Table) set(r rowstore.Row) {
	if r.Deleted {
		delete(t.rows, rowstore.Ref{Table: r.Table, Key: r.Key})
	} else {
		t.rows[rowstore.Ref{Table: r.Table, Key: r.Key}] = r
	}
	t.history = append(t.history, r)
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// For returns the table as a process sees it.
func (t *Table) For(process string) rowstore.Store { return &client{t, process} }

type client struct {
	t       *Table
	process string
}

// admit applies the faults to a call.
func (c *client) admit(ctx context.Context) error {
	c.t.mu.Lock()
	f := c.t.faults
	c.t.mu.Unlock()
	if f.Silent {
		<-ctx.Done()
		return rowstore.Unavailable(verdict.MayHaveRun, "no answer")
	}
	if f.Down || f.Refused[c.process] {
		return rowstore.Unavailable(verdict.NotRun, "out of service")
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return rowstore.Unavailable(verdict.MayHaveRun, "%v", ctx.Err())
		}
	}
	return nil
}

// Commit implements rowstore.Store.
func (c *client) Commit(ctx context.Context, txn rowstore.Txn) (uint64, error) {
	if err := c.admit(ctx); err != nil {
		return 0, err
	}
	c.t.mu.Lock()
	c.t.writes++
	lose := c.t.faults.LoseEvery > 0 && c.t.writes%c.t.faults.LoseEvery == 0
	late := c.t.faults.Late
	c.t.mu.Unlock()
	if !lose {
		return c.t.apply(txn)
	}
	time.AfterFunc(late, func() {
		// A conflict of a late write is nobody's to see.
		_, _ = c.t.apply(txn)
	})
	select {
	case <-ctx.Done():
	case <-time.After(lostAnswer):
	}
	return 0, rowstore.Unavailable(verdict.MayHaveRun, "answer lost")
}

// lostAnswer is how long a caller waits for an answer that is lost.
const lostAnswer = 200 * time.Millisecond

// onePartition reports whether all rows of a transaction are in one partition.
func (t *Table) onePartition(txn rowstore.Txn) bool {
	if t.Partition == nil {
		return true
	}
	seen := map[string]bool{}
	for _, c := range txn.Checks {
		seen[t.Partition(c.Key)] = true
	}
	for _, p := range txn.Puts {
		seen[t.Partition(p.Key)] = true
	}
	for _, d := range txn.Deletes {
		seen[t.Partition(d.Key)] = true
	}
	return len(seen) <= 1
}

func (t *Table) apply(txn rowstore.Txn) (uint64, error) {
	if !t.onePartition(txn) {
		return 0, verdict.Refuse(verdict.CodeBadRequest, "a transaction over several partitions")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	conflict := &rowstore.Conflict{}
	ok := true
	for _, check := range txn.Checks {
		r, exists := t.rows[rowstore.Ref{Table: check.Table, Key: check.Key}]
		if exists {
			conflict.Rows = append(conflict.Rows, r)
		}
		ok = ok && r.Version == check.Version
	}
	if !ok {
		if version, settled := conflict.Settled(txn); settled {
			return version, nil
		}
		return 0, conflict
	}
	t.version++
	for _, p := range txn.Puts {
		t.set(rowstore.Row{Table: p.Table, Key: p.Key, Value: slices.Clone(p.Value), Version: t.version})
	}
	for _, d := range txn.Deletes {
		t.set(rowstore.Row{Table: d.Table, Key: d.Key, Version: t.version, Deleted: true})
	}
	t.wake()
	return t.version, nil
}

// List implements rowstore.Store.
func (c *client) List(ctx context.Context, table, from string, limit int) (rowstore.Page, error) {
	if err := c.admit(ctx); err != nil {
		return rowstore.Page{}, err
	}
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	page := rowstore.Page{Version: c.t.version}
	for ref, r := range c.t.rows {
		if ref.Table == table && ref.Key >= from {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	return page, nil
}

// Get implements rowstore.Store.
func (c *client) Get(ctx context.Context, table, key string) (rowstore.Row, bool, error) {
	if err := c.admit(ctx); err != nil {
		return rowstore.Row{}, false, err
	}
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	r, ok := c.t.rows[rowstore.Ref{Table: table, Key: key}]
	return r, ok, nil
}

// Feed implements rowstore.Store.
func (c *client) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if err := c.admit(ctx); err != nil {
		return rowstore.Page{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for ended := false; ; {
		c.t.mu.Lock()
		if after < c.t.gone {
			c.t.mu.Unlock()
			return rowstore.Page{}, rowstore.ErrHistoryGone
		}
		page := rowstore.Page{Version: c.t.version}
		for _, r := range c.t.history {
			if r.Version > after && r.Table == table {
				page.Rows = append(page.Rows, r)
			}
		}
		changed := c.t.changed
		c.t.mu.Unlock()
		if len(page.Rows) > 0 || ended {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-ctx.Done():
			return rowstore.Page{}, rowstore.Unavailable(verdict.NotRun, "%v", ctx.Err())
		}
	}
}
