package rowstorestub

import (
	"cmp"
	"context"
	"encoding/base64"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Limits of the users' store. They are not those of package rowstore, which are tested
// against them.
const (
	maxEntries    = 100
	maxCallBytes  = 1_000_000
	maxValueBytes = 65_536
	maxNameBytes  = 200
	maxTables     = 100
	maxPageRows   = 500
	maxPageBytes  = 1_000_000
	// maxQueue is the longest time for which a partition lets a transaction wait.
	maxQueue = time.Second
)

// Rates are the calls per second that a table serves; 0 for no limit.
type Rates struct {
	// PartitionWrites is the rate at which a partition applies transactions, one after the
	// other. Writes and Reads are the rates of calls of all processes together.
	PartitionWrites, Writes, Reads float64
}

// UsersRates are the rates of the users' store.
var UsersRates = Rates{PartitionWrites: 150, Writes: 800, Reads: 2000}

// checkLimits returns an error if the store refuses the transaction for good. t.mu must be
// held.
func (t *Table) checkLimits(txn rowstore.Txn) error {
	entries, size := 0, 0
	var err error
	count := func(table, key string, value []byte, write bool) {
		entries++
		size += len(table) + len(key) + base64.StdEncoding.EncodedLen(len(value))
		switch {
		case len(table) > maxNameBytes || len(key) > maxNameBytes || len(value) > cmp.Or(t.MaxValueBytes, maxValueBytes):
			err = verdict.Refuse(verdict.CodeBadRequest, "row %.40s of table %.40s has %d bytes, its key %d", key, table, len(value), len(key))
		case write && t.faults.RefusedKeys[key]:
			err = verdict.Refuse(verdict.CodeBadRequest, "row %.40s is refused", key)
		case write && t.ReadOnly[table]:
			err = verdict.Refuse(verdict.CodeBadRequest, "table %s is read-only", table)
		case write && !t.tables[table] && len(t.tables) >= maxTables:
			err = verdict.Refuse(verdict.CodeBadRequest, "more than %d tables", maxTables)
		}
	}
	for _, c := range txn.Checks {
		count(c.Table, c.Key, nil, false)
	}
	for _, p := range txn.Puts {
		count(p.Table, p.Key, p.Value, true)
	}
	for _, d := range txn.Deletes {
		count(d.Table, d.Key, nil, true)
	}
	if entries > maxEntries || size > maxCallBytes {
		return verdict.Refuse(verdict.CodeBadRequest, "a transaction of %d entries and %d bytes", entries, size)
	}
	return err
}

// pageEnd returns how many of the rows fit on a page.
func pageEnd(rows []rowstore.Row, limit int) int {
	size := 0
	for i, r := range rows {
		if size += len(r.Key) + base64.StdEncoding.EncodedLen(len(r.Value)); i == min(limit, maxPageRows) || i > 0 && size > maxPageBytes {
			return i
		}
	}
	return len(rows)
}

// overRate is the error of a call beyond a rate. Nothing was done.
func overRate() error { return rowstore.Unavailable(verdict.NotRun, "too many calls") }

// allow reports whether a call keeps a rate, of which second has the calls of the present
// second. t.mu must be held.
func (second *callCount) allow(rate float64) bool {
	if now := time.Now(); now.Sub(second.began) >= time.Second {
		*second = callCount{began: now}
	}
	second.calls++
	return rate == 0 || float64(second.calls) <= rate
}

type callCount struct {
	began time.Time
	calls int
}

// awaitTurn waits until the partition of a transaction applies it. It returns an error if the
// transaction is refused because of a rate.
func (t *Table) awaitTurn(ctx context.Context, txn rowstore.Txn) error {
	part := ""
	if t.Partition != nil && len(txn.Checks) > 0 {
		part = t.Partition(txn.Checks[0].Key)
	}
	t.mu.Lock()
	if !t.writes.allow(t.Rates.Writes) {
		t.mu.Unlock()
		return overRate()
	}
	if t.Rates.PartitionWrites == 0 {
		t.mu.Unlock()
		return nil
	}
	wait := max(0, time.Until(t.busyUntil[part]))
	if wait > maxQueue {
		t.mu.Unlock()
		return overRate()
	}
	took := time.Duration(float64(time.Second) / t.Rates.PartitionWrites)
	t.busyUntil[part] = time.Now().Add(wait + took)
	t.mu.Unlock()
	select {
	case <-time.After(wait + took):
		return nil
	case <-ctx.Done():
		return rowstore.Unavailable(verdict.MayHaveRun, "%v", ctx.Err())
	}
}
