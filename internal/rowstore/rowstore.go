// Package rowstore defines the interface to a transactional store of tables with a
// change feed. It also has a mirror, which keeps a copy of a table up to date by the
// feed, and a failover, which sends calls through other processes while the store
// refuses calls of this one.
package rowstore

import (
	"bytes"
	"context"
	"encoding/base64"
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
	// Version is that of the store after the last write of the row. It increases with
	// each write of any row and is never 0.
	Version uint64
	// Deleted marks a row in a feed as deleted.
	Deleted bool
}

// Check is a condition of a transaction: the row has the version, or does not exist
// if Version is 0.
type Check struct {
	Table, Key string
	Version    uint64
}

// Put writes a row.
type Put struct {
	Table, Key string
	Value      []byte
}

// Ref identifies a row.
type Ref struct{ Table, Key string }

// Txn is a transaction: either all checks hold and all writes take effect, or none
// does. All its rows must be in one partition, a part of the store that applies its
// transactions one after the other. The implementation of Store assigns rows to
// partitions by their keys.
//
// Every row that it writes or deletes must have a check. A transaction can then be
// sent again safely after its answer was lost.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []Ref
}

// Limits of the store, which refuses for good what exceeds them. MaxTxnBytes limits the
// bytes of the call that sends a transaction, MaxKeyBytes those of a row's key. MaxRowBytes
// limits those of its value where the deployment does not set another limit.
const (
	MaxTxnEntries = 100
	MaxTxnBytes   = 1_000_000
	MaxRowBytes   = 64 << 10
	MaxKeyBytes   = 200
)

// Upper bounds of what an entry adds to the bytes of a call beside its value: for each
// byte of its names, which may be escaped, and for all else.
const (
	nameByteCost = 6
	entryCost    = 160
)

// Entries returns the number of entries, as the store counts them.
func (t *Txn) Entries() int { return len(t.Checks) + len(t.Puts) + len(t.Deletes) }

// Size returns an upper bound of the bytes of the call that sends the transaction.
func (t *Txn) Size() int {
	size := entryCost
	add := func(table, key string, value int) {
		size += entryCost + nameByteCost*(len(table)+len(key)) + base64.StdEncoding.EncodedLen(value)
	}
	for _, c := range t.Checks {
		add(c.Table, c.Key, 0)
	}
	for _, p := range t.Puts {
		add(p.Table, p.Key, len(p.Value))
	}
	for _, d := range t.Deletes {
		add(d.Table, d.Key, 0)
	}
	return size
}

// Append adds the entries of o if the transaction then keeps the limits of one, and
// reports whether it did. An empty transaction takes any o.
func (t *Txn) Append(o Txn) bool {
	if t.Entries() > 0 && (t.Entries()+o.Entries() > MaxTxnEntries || t.Size()+o.Size() > MaxTxnBytes) {
		return false
	}
	t.Checks = append(t.Checks, o.Checks...)
	t.Puts = append(t.Puts, o.Puts...)
	t.Deletes = append(t.Deletes, o.Deletes...)
	return true
}

// RefusedForGood reports whether the store has refused a call for what it contains. It
// would refuse the same call again.
func RefusedForGood(err error) bool { return verdict.HasCode(err, verdict.CodeBadRequest) }

// Conflict is the error of a transaction with a check that did not hold. The
// transaction had no effect.
type Conflict struct {
	// Rows are the current versions of those checked rows that exist.
	Rows []Row
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict with %d rows", len(c.Rows))
}

// ErrHistoryGone is returned by Feed if the store no longer keeps the changes since
// a version. The table must then be read again.
var ErrHistoryGone = errors.New("history of the store is gone")

// Page is a part of a table, or of its changes.
type Page struct {
	Rows []Row
	More bool
	// Version is the newest version of the store when the page was read.
	Version uint64
}

// Store is the interface to the tables. Errors other than Conflict and ErrHistoryGone are
// *verdict.Error with the code platform_unavailable (NotRun if a write cannot
// take effect any more, MayHaveRun otherwise) or bad_request (see RefusedForGood).
type Store interface {
	// Commit applies a transaction and returns its version, which every row that it
	// wrote has.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// List returns rows with keys at or after from, in ascending order. Rows of
	// different partitions may have been read at different times, but all of them at
	// or after the page's version.
	List(ctx context.Context, table, from string, limit int) (Page, error)
	// Get returns a row; false if it does not exist.
	Get(ctx context.Context, table, key string) (Row, bool, error)
	// Feed returns the rows of the table that changed after a version. If there are
	// none, it waits up to wait for a change.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// AlreadyApplied reports whether the conflict shows that an earlier attempt of the
// same transaction took effect: each row that it writes already has the value to be
// written, all with one version. It returns that version.
func (c *Conflict) AlreadyApplied(txn Txn) (uint64, bool) {
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

// Unavailable returns the error of a call that the store did not answer or refused,
// with the code platform_unavailable.
func Unavailable(v verdict.Verdict, format string, args ...any) *verdict.Error {
	return verdict.New(v, verdict.CodePlatformUnavailable, format, args...)
}
