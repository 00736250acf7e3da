// Package platformclient is the client of the platform: the external service that
// stores the scheduler's durable state. It has a transactional table of rows and an
// object store. Every call has a deadline. Errors are *verdict.Error values that
// say whether a write may have taken effect.
package platformclient

import "context"

// Row is a row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version increases with each write of the row; it is never 0.
	Version uint64 `json:"version"`
}

// Check is a precondition of a transaction: the row has this version, or does
// not exist if Version is 0.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction. Its writes take effect together, and only if all checks
// hold.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row. Errors: not_found, platform_unavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys start with prefix and sort after
	// the key given as after. Errors: platform_unavailable.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the new versions by key. Errors:
	// conflict (NotRun; a check failed), platform_unavailable (NotRun if the write
	// cannot have taken effect, else MayHaveRun).
	Commit(ctx context.Context, txn Txn) (map[string]uint64, error)
}

// Objects is the object store.
type Objects interface {
	// PutObject stores data under name. It is idempotent.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object after verifying its checksum. Errors: not_found,
	// platform_unavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Write is the write of one row through a Batch.
type Write struct {
	Key   string
	Value []byte
	// Check is the version that the row must have; nil for no condition.
	Check *uint64
	// Fence is a condition on another row, whose version changes when the writer
	// has lost the right to write; nil for no condition.
	Fence *Check
}

// Batch combines the writes of many callers into few transactions.
type Batch interface {
	// Write waits until w is durable and returns the row's new version. If the
	// response to a transaction is lost, the row is read back to learn whether it
	// was written. Errors: conflict (NotRun, or MayHaveRun if a response was lost
	// and the row now has another writer's value), stale_epoch (the fence does not
	// hold), overloaded (NotRun; the queue is full), platform_unavailable (NotRun
	// or MayHaveRun).
	Write(ctx context.Context, w Write) (uint64, error)
	// Enqueue queues an unconditional write, which replaces a queued write of the
	// same key. It is retried until it is durable, and then done is called once. A
	// write whose fence does not hold, or which the platform refuses, is dropped
	// without calling done.
	// Error: overloaded (NotRun; the queue is full).
	Enqueue(w Write, done func()) error
}

// Health is the state of the platform as observed by this process.
type Health string

// States of the platform.
const (
	HealthOK   Health = "ok"
	HealthSlow Health = "slow"
	HealthDown Health = "down"
)
