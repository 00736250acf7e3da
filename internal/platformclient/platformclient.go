// Package platformclient is the client of the platform's table service and object
// store. Every call has a deadline and ends in a *verdict.Error that says
// whether a write may have taken effect.
package platformclient

import "context"

// Row is a row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with each write of the row; it is never 0.
	Version uint64 `json:"version"`
}

// Check is a condition of a transaction: the row has the version, or does not
// exist if Version is 0.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction: all checks hold and all writes take effect, or none.
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
	// the key after. Errors: platform_unavailable.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the new versions by key. Errors:
	// conflict (NotRun; a check failed), platform_unavailable with NotRun if the
	// write cannot have taken effect and with MayHaveRun otherwise.
	Commit(ctx context.Context, txn Txn) (map[string]uint64, error)
}

// Objects is the object store.
type Objects interface {
	// PutObject stores data under name. Storing the same data again is harmless.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object whose checksum was verified. Errors:
	// not_found, platform_unavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Write is one row for a Batch.
type Write struct {
	Key   string
	Value []byte
	// Check is the condition on the row's version; nil for none.
	Check *uint64
	// Fence is a condition on another row, which changes when the writer has lost
	// the right to write; nil for none.
	Fence *Check
}

// Batch gathers writes from many callers into few transactions.
type Batch interface {
	// Write waits until w is durable and returns the row's new version. A lost
	// answer is resolved by reading the row back. Errors: conflict (NotRun),
	// stale_epoch (the fence does not hold), overloaded (NotRun; the queue is
	// full), platform_unavailable (NotRun or MayHaveRun).
	Write(ctx context.Context, w Write) (uint64, error)
	// Enqueue queues an unconditional write that replaces a queued write of the
	// same key. It is repeated until it is durable; done is then called once. It
	// is dropped if its fence does not hold.
	// Error: overloaded (NotRun; the queue is full).
	Enqueue(w Write, done func()) error
}

// Health is the state of the platform as this process sees it.
type Health string

// The states.
const (
	HealthOK   Health = "ok"
	HealthSlow Health = "slow"
	HealthDown Health = "down"
)
