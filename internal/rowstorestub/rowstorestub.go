// Package rowstorestub is an in-memory implementation of rowstore.Store, a
// transactional table with a change feed, for tests. It can inject outages, lost
// responses, writes that take effect late, refusal of single processes and loss of
// the feed's history. It refuses and pages as the users' store does, see limits.go.
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

// Faults are the faults that a table injects. They may be changed at any time.
type Faults struct {
	// Down refuses all calls. Silent leaves all calls without a response until
	// their context ends.
	Down, Silent bool
	// DownPartitions and SilentPartitions have the partitions to which reads and writes of
	// rows are refused, or stay without a response until their context ends.
	DownPartitions, SilentPartitions map[string]bool
	// RefusedProcesses has the processes whose calls are refused.
	RefusedProcesses map[string]bool
	// RefusedKeys has the keys of rows whose writes are refused for good.
	RefusedKeys map[string]bool
	// LoseEveryNth = n loses the response to every n-th transaction, which still
	// takes effect, after LateWriteDelay; 0 loses none.
	LoseEveryNth   int
	LateWriteDelay time.Duration
	// Delay is added to every call before it takes effect.
	Delay time.Duration
}

// Table is an in-memory store. It is safe for concurrent use. It holds the rows of
// any number of tables: each row names its table.
type Table struct {
	mu   sync.Mutex
	rows map[rowstore.Ref]rowstore.Row
	// history has all changes since droppedVersion, oldest first, for the feed.
	history []rowstore.Row
	// droppedVersion is the version up to which the history was dropped.
	droppedVersion uint64
	version        uint64
	faults         Faults
	commitCount    int
	refused        int                  // transactions that exceeded a limit
	changed        chan struct{}        // closed and replaced after each change of rows
	tables         map[string]bool      // that have had rows
	writes, reads  callCount            // of the present second
	busyUntil      map[string]time.Time // when each partition has applied its transactions
	// Rates limits the calls; no rate is limited by default. ReadOnly has the tables that
	// only Put may write. Both must be set before use.
	Rates    Rates
	ReadOnly map[string]bool
	// MaxValueBytes limits the values of rows; 0 for the limit of the users' store. It must
	// be set before use.
	MaxValueBytes int
	// Partition returns the partition of a row; nil means a single partition. It
	// must be set before use. Transactions over several partitions are refused.
	Partition func(key string) string
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[rowstore.Ref]rowstore.Row{}, changed: make(chan struct{}), tables: map[string]bool{}, busyUntil: map[string]time.Time{}}
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Refused returns the number of transactions that were refused because they exceeded a
// limit of the store.
func (t *Table) Refused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// DropHistory drops the history, so that feeds from earlier versions fail with
// rowstore.ErrHistoryGone.
func (t *Table) DropHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.droppedVersion = nil, t.version
}

// Put writes a row unconditionally and without faults, as an operator would, and
// returns its version.
func (t *Table) Put(table, key string, value []byte) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.setRow(rowstore.Row{Table: table, Key: key, Value: value, Version: t.version})
	t.notifyFeeds()
	return t.version
}

// Delete removes a row unconditionally and without faults, as an operator would, and returns
// the version of its removal.
func (t *Table) Delete(table, key string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.setRow(rowstore.Row{Table: table, Key: key, Version: t.version, Deleted: true})
	t.notifyFeeds()
	return t.version
}

// Rows returns the rows of a table in ascending order of their keys, at once and without
// faults.
func (t *Table) Rows(table string) []rowstore.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []rowstore.Row
	for ref, r := range t.rows {
		if ref.Table == table {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b rowstore.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (t *Table) setRow(r rowstore.Row) {
	t.tables[r.Table] = true
	if r.Deleted {
		delete(t.rows, rowstore.Ref{Table: r.Table, Key: r.Key})
	} else {
		t.rows[rowstore.Ref{Table: r.Table, Key: r.Key}] = r
	}
	t.history = append(t.history, r)
}

func (t *Table) notifyFeeds() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// ClientFor returns a client of the table for the named process.
func (t *Table) ClientFor(process string) rowstore.Store { return &client{t, process} }

type client struct {
	table   *Table
	process string
}

// applyFaults applies the injected faults to a call, and returns an error if the
// call must not proceed.
func (c *client) applyFaults(ctx context.Context) error {
	c.table.mu.Lock()
	f := c.table.faults
	c.table.mu.Unlock()
	if f.Silent {
		<-ctx.Done()
		return rowstore.Unavailable(verdict.MayHaveRun, "no answer")
	}
	if f.Down || f.RefusedProcesses[c.process] {
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

// applyPartitionFaults returns an error if the call for a row must not proceed.
func (c *client) applyPartitionFaults(ctx context.Context, key string) error {
	if c.table.Partition == nil {
		return nil
	}
	c.table.mu.Lock()
	f := c.table.faults
	c.table.mu.Unlock()
	if f.SilentPartitions[c.table.Partition(key)] {
		<-ctx.Done()
		return rowstore.Unavailable(verdict.MayHaveRun, "no answer")
	}
	if f.DownPartitions[c.table.Partition(key)] {
		return rowstore.Unavailable(verdict.MayHaveRun, "connection reset")
	}
	return nil
}

// Commit implements rowstore.Store.
func (c *client) Commit(ctx context.Context, txn rowstore.Txn) (uint64, error) {
	if err := c.applyFaults(ctx); err != nil {
		return 0, err
	}
	if len(txn.Checks) > 0 {
		if err := c.applyPartitionFaults(ctx, txn.Checks[0].Key); err != nil {
			return 0, err
		}
	}
	if err := c.table.awaitTurn(ctx, txn); err != nil {
		return 0, err
	}
	c.table.mu.Lock()
	c.table.commitCount++
	lose := c.table.faults.LoseEveryNth > 0 && c.table.commitCount%c.table.faults.LoseEveryNth == 0
	late := c.table.faults.LateWriteDelay
	c.table.mu.Unlock()
	if !lose {
		return c.table.apply(txn)
	}
	time.AfterFunc(late, func() {
		// The caller only learns that the response was lost, so a conflict of the
		// late write cannot be reported.
		_, _ = c.table.apply(txn)
	})
	select {
	case <-ctx.Done():
	case <-time.After(lostAnswerTimeout):
	}
	return 0, rowstore.Unavailable(verdict.MayHaveRun, "answer lost")
}

// lostAnswerTimeout is how long a caller waits for a lost response.
const lostAnswerTimeout = 200 * time.Millisecond

// inOnePartition reports whether all rows of a transaction are in one partition.
func (t *Table) inOnePartition(txn rowstore.Txn) bool {
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

// apply commits a transaction unless its checks fail. If they fail because the
// same transaction has already been applied, it reports success.
func (t *Table) apply(txn rowstore.Txn) (uint64, error) {
	if !t.inOnePartition(txn) {
		return 0, verdict.Refuse(verdict.CodeBadRequest, "a transaction over several partitions")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkLimits(txn); err != nil {
		t.refused++
		return 0, err
	}
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
		if version, settled := conflict.AlreadyApplied(txn); settled {
			return version, nil
		}
		return 0, conflict
	}
	t.version++
	for _, p := range txn.Puts {
		t.setRow(rowstore.Row{Table: p.Table, Key: p.Key, Value: slices.Clone(p.Value), Version: t.version})
	}
	for _, d := range txn.Deletes {
		t.setRow(rowstore.Row{Table: d.Table, Key: d.Key, Version: t.version, Deleted: true})
	}
	t.notifyFeeds()
	return t.version, nil
}

// List implements rowstore.Store.
func (c *client) List(ctx context.Context, table, from string, limit int) (rowstore.Page, error) {
	if err := c.applyFaults(ctx); err != nil {
		return rowstore.Page{}, err
	}
	return c.table.list(table, from, limit, func(rowstore.Row) bool { return true })
}

// ListPartition returns rows of one partition like List, for the named process. inPartition
// reports whether a row is in it.
func (t *Table) ListPartition(ctx context.Context, process, table, from string, limit int, inPartition func(rowstore.Row) bool) (rowstore.Page, error) {
	c := client{t, process}
	if err := c.applyFaults(ctx); err != nil {
		return rowstore.Page{}, err
	}
	return t.list(table, from, limit, inPartition)
}

func (t *Table) list(table, from string, limit int, keep func(rowstore.Row) bool) (rowstore.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reads.allow(t.Rates.Reads) {
		return rowstore.Page{}, overRate()
	}
	page := rowstore.Page{Version: t.version}
	for ref, r := range t.rows {
		if ref.Table == table && ref.Key >= from && keep(r) {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Key, b.Key) })
	if end := pageEnd(page.Rows, limit); end < len(page.Rows) {
		page.Rows, page.More = page.Rows[:end], true
	}
	return page, nil
}

// Get implements rowstore.Store.
func (c *client) Get(ctx context.Context, table, key string) (rowstore.Row, bool, error) {
	if err := c.applyFaults(ctx); err != nil {
		return rowstore.Row{}, false, err
	}
	if err := c.applyPartitionFaults(ctx, key); err != nil {
		return rowstore.Row{}, false, err
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if !c.table.reads.allow(c.table.Rates.Reads) {
		return rowstore.Row{}, false, overRate()
	}
	r, ok := c.table.rows[rowstore.Ref{Table: table, Key: key}]
	return r, ok, nil
}

// Feed implements rowstore.Store.
func (c *client) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if err := c.applyFaults(ctx); err != nil {
		return rowstore.Page{}, err
	}
	c.table.mu.Lock()
	allowed := c.table.reads.allow(c.table.Rates.Reads)
	c.table.mu.Unlock()
	if !allowed {
		return rowstore.Page{}, overRate()
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for timedOut := false; ; {
		c.table.mu.Lock()
		if after < c.table.droppedVersion {
			c.table.mu.Unlock()
			return rowstore.Page{}, rowstore.ErrHistoryGone
		}
		page := rowstore.Page{Version: c.table.version}
		for _, r := range c.table.history {
			if r.Version > after && r.Table == table {
				page.Rows = append(page.Rows, r)
			}
		}
		changed := c.table.changed
		c.table.mu.Unlock()
		if len(page.Rows) > 0 || timedOut {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return rowstore.Page{}, rowstore.Unavailable(verdict.NotRun, "%v", ctx.Err())
		}
	}
}
