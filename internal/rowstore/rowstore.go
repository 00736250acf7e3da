// Package rowstore is what the system needs of a transactional table with a
// change feed: conditional writes, reads, a feed, a mirror of a table kept up
// to date by the feed, and calls that go through other processes while the
// store turns this one away.
package rowstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Row is a row of a table.
type Row struct {
	Table string
	Key   string
	Value []byte
	// Version grows with each write of any row; it is never 0.
	Version uint64
	// Deleted marks a row of a feed that no longer exists.
	Deleted bool
}

// Check is a condition: the row has the version, or does not exist if Version is 0.
type Check struct {
	Table, Key string
	Version    uint64
}

// Put writes a row.
type Put struct {
	Table, Key string
	Value      []byte
}

// Ref names a row.
type Ref struct{ Table, Key string }

// Txn is a transaction: all checks hold and all writes take effect, or none. All
// its rows are in one partition; a partition applies its transactions one after
// the other.
// Every row that it writes or removes must be checked; then a transaction can be
// sent again when its answer was lost.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []Ref
}

// Limits of a transaction. A caller splits larger ones.
const (
	MaxTxnEntries = 100
	MaxTxnBytes   = 1 << 20
	MaxRowBytes   = 64 << 10
)

// Conflict says that a check did not hold. The transaction did nothing.
type Conflict struct {
	// Rows are the checked rows that exist, as they are now.
	Rows []Row
}

// Error implements error.
func (c *Conflict) Error() string { return fmt.Sprintf("conflict with %d rows", len(c.Rows)) }

// ErrHistoryGone is returned by Feed if the changes since a version are no
// longer kept: the table has to be read again.
var ErrHistoryGone = errors.New("history of the store is gone")

// Page is a part of a table as of one moment.
type Page struct {
	Rows []Row
	More bool
	// Version is the newest version of the store at that moment.
	Version uint64
}

// Store is the table. Errors other than Conflict and ErrHistoryGone are
// *verdict.Error with the code platform_unavailable (NotRun if a write cannot
// take effect any more, MayHaveRun otherwise) or bad_request.
type Store interface {
	// Commit applies a transaction and returns its version, which is that of
	// every row it wrote.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// List returns rows with keys at or after from, in ascending order. Rows of
	// different partitions may be as of different moments, none of them before the
	// page's version.
	List(ctx context.Context, table, from string, limit int) (Page, error)
	// Get returns a row; false if it does not exist.
	Get(ctx context.Context, table, key string) (Row, bool, error)
	// Feed waits up to wait for rows of the table that changed after a version.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// Settled reports whether a conflict shows that the transaction itself took
// effect before: each row that it wrote has the value that it wrote.
func (c *Conflict) Settled(txn Txn) (uint64, bool) {
	if len(txn.Puts) == 0 {
		return 0, false
	}
	current := map[Ref]Row{}
	for _, r := range c.Rows {
		if !r.Deleted {
			current[Ref{r.Table, r.Key}] = r
		}
	}
	var version uint64
	for _, p := range txn.Puts {
		r, ok := current[Ref{p.Table, p.Key}]
		if !ok || !bytes.Equal(r.Value, p.Value) || version != 0 && r.Version != version {
			return 0, false
		}
		version = r.Version
	}
	return version, true
}

// Unavailable returns the error of a store that did not serve a call.
func Unavailable(v verdict.Verdict, format string, args ...any) *verdict.Error {
	return verdict.New(v, verdict.CodePlatformUnavailable, format, args...)
}
