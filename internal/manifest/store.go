package manifest

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

const (
	currentKey    = "manifest/current"
	historyPrefix = "manifest/history/"
	// MaxHistoryVersions is the number of versions kept in the history. It limits the
	// size of the table: with 12,000 changes a day of 406 KB each, keeping all versions
	// would add 5 GB a day.
	MaxHistoryVersions = 1000
	// resolveTimeout limits the time to learn whether a write whose answer was lost
	// has taken effect.
	resolveTimeout = 5 * time.Second
	resolveBackoff = 100 * time.Millisecond
)

// historyKey returns the row key of a version. Keys sort by version.
func historyKey(version uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, version) }

// Record is the JSON of the rows manifest/current and manifest/history/<version>.
// The current row has no document; the document is in the history row of the version,
// which the same transaction creates. A current row that an earlier release wrote has
// the document too.
type Record struct {
	Version uint64 `json:"version"`
	Parent  uint64 `json:"parent"`
	// Writer is unique to the Apply call that wrote the row.
	Writer string `json:"writer"`
	// AppliedAt is a wall-clock time, for display only.
	AppliedAt time.Time         `json:"appliedAt"`
	Document  *structs.Manifest `json:"document,omitempty"`
}

// Store reads and writes the manifest in the platform's table.
type Store struct {
	Table platformclient.Table
	// Admit checks that the hardware satisfies all guarantees. It returns the number of
	// worker losses that the guarantees of each domain survive, or an error with
	// CodeInadmissible. If Admit is nil, every manifest is admitted.
	Admit func(*structs.Manifest) (marginByDomain map[string]int, err error)
}

// Check validates m and runs Admit. It returns the number of worker losses that the
// guarantees of each domain survive.
func (s *Store) Check(m *structs.Manifest) (marginByDomain map[string]int, err error) {
	if err := Validate(m); err != nil {
		return nil, err
	}
	if s.Admit == nil {
		return nil, nil
	}
	return s.Admit(m)
}

// Apply checks m, stores it as the successor of version m.Parent, and returns it with
// its new version. Errors: *Error, inadmissible, too_large; conflict (NotRun) if m.Parent
// is not the version in force; platform_unavailable (NotRun or MayHaveRun).
func (s *Store) Apply(ctx context.Context, m *structs.Manifest) (*structs.Manifest, error) {
	if _, err := s.Check(m); err != nil {
		return nil, err
	}
	current, row, err := s.current(ctx)
	if err != nil && !verdict.HasCode(err, verdict.CodeNotFound) {
		return nil, verdict.From(err).WithVerdict(verdict.NotRun)
	}
	if current.Version != m.Parent {
		return nil, parentConflict(m.Parent, current.Version)
	}
	next := clone(m)
	next.Version = m.Parent + 1
	record := Record{Version: next.Version, Parent: m.Parent, Writer: ulid.Make().String(), AppliedAt: time.Now().UTC(), Document: next}
	value, err := json.Marshal(record)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeInternal, "encode manifest: %v", err)
	}
	if len(value) > MaxBytes {
		return nil, verdict.Refuse(verdict.CodeTooLarge, "manifest of %d bytes is above the limit of %d bytes", len(value), MaxBytes)
	}
	withoutDocument := record
	withoutDocument.Document = nil
	currentValue, err := json.Marshal(withoutDocument)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeInternal, "encode manifest: %v", err)
	}
	if err := s.commit(ctx, record, currentValue, value, row.Version); err != nil {
		return nil, err
	}
	return next, nil
}

func parentConflict(parent, current uint64) error {
	return verdict.Refuse(verdict.CodeConflict, "parent is version %d, but version %d is in force", parent, current).
		WithRemedy(fmt.Sprintf("rebase the manifest on version %d and set parent to it", current))
}

// commit writes current to the row manifest/current and document to the history row of
// the version, provided that manifest/current still has rowVersion. The check that the
// history row does not exist ensures that each version has exactly one writer. After a
// lost answer, the history row therefore shows whose write took effect.
func (s *Store) commit(ctx context.Context, record Record, current, document []byte, rowVersion uint64) error {
	key := historyKey(record.Version)
	txn := platformclient.Txn{
		Checks: []platformclient.Check{{Key: currentKey, Version: rowVersion}, {Key: key}},
		Puts:   []platformclient.Put{{Key: currentKey, Value: current}, {Key: key, Value: document}},
	}
	if record.Version > MaxHistoryVersions {
		txn.Deletes = []string{historyKey(record.Version - MaxHistoryVersions)}
	}
	uncertain := false
	deadline := time.Now().Add(resolveTimeout)
	for {
		_, err := s.Table.Commit(ctx, txn)
		switch {
		case err == nil:
			return nil
		case verdict.HasCode(err, verdict.CodeConflict):
			if !uncertain {
				return parentConflict(record.Parent, s.latest(ctx, record.Version))
			}
		case verdict.Of(err) == verdict.NotRun:
			if !uncertain {
				return err
			}
		default:
			uncertain = true
		}
		// The answer was lost. The history row contains the writer of the version.
		written, err := s.history(ctx, record.Version)
		switch {
		case err == nil && written.Writer == record.Writer:
			return nil
		case err == nil:
			return parentConflict(record.Parent, written.Version)
		}
		if time.Now().After(deadline) || !retry.Sleep(ctx, resolveBackoff) {
			return verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable,
				"answer to the write of version %d was lost: %v", record.Version, err).
				WithRemedy("read the manifest in force before applying again")
		}
	}
}

// history returns the history record of a version. Errors: not_found if there is none.
func (s *Store) history(ctx context.Context, version uint64) (Record, error) {
	row, err := s.Table.Get(ctx, historyKey(version))
	if err != nil {
		return Record{}, err
	}
	return decodeRecord(row)
}

// latest returns the version in force, or atLeast if it cannot be read.
func (s *Store) latest(ctx context.Context, atLeast uint64) uint64 {
	if record, _, err := s.current(ctx); err == nil {
		return max(record.Version, atLeast)
	}
	return atLeast
}

// current returns the record of the version in force and its row. The record has no
// document unless an earlier release wrote the row.
func (s *Store) current(ctx context.Context) (Record, platformclient.Row, error) {
	row, err := s.Table.Get(ctx, currentKey)
	if err != nil {
		return Record{}, platformclient.Row{}, err
	}
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil || record.Version == 0 {
		return Record{}, platformclient.Row{}, verdict.Refuse(verdict.CodeInternal, "row %s names no manifest: %v", row.Key, err)
	}
	return record, row, nil
}

func decodeRecord(row platformclient.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil || record.Document == nil {
		return Record{}, verdict.Refuse(verdict.CodeInternal, "row %s is no manifest record: %v", row.Key, err)
	}
	return record, nil
}

// Load returns the manifest in force according to the table. Errors: not_found if there
// is none, platform_unavailable.
func (s *Store) Load(ctx context.Context) (*structs.Manifest, error) {
	record, _, err := s.current(ctx)
	if err == nil && record.Document == nil {
		record, err = s.history(ctx, record.Version)
	}
	if err != nil {
		return nil, err
	}
	return clone(record.Document), nil
}

// LoadVersion returns the manifest of a version from the history. Errors: not_found if
// the history does not have it, platform_unavailable.
func (s *Store) LoadVersion(ctx context.Context, version uint64) (*structs.Manifest, error) {
	record, err := s.history(ctx, version)
	if verdict.HasCode(err, verdict.CodeNotFound) {
		return nil, verdict.Refuse(verdict.CodeNotFound, "manifest version %d is not kept", version)
	}
	if err != nil {
		return nil, err
	}
	return clone(record.Document), nil
}

// LoadNewer returns the manifest in the table if its version is above have, and nil
// otherwise. It is called often, so it reads no document if there is no newer version,
// and only one document if there is exactly one newer version.
func (s *Store) LoadNewer(ctx context.Context, have uint64) (*structs.Manifest, error) {
	rows, err := s.Table.List(ctx, historyPrefix, historyKey(have), 1)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	next, err := decodeRecord(rows[0])
	if err != nil {
		return nil, err
	}
	current, _, err := s.current(ctx)
	if err == nil && current.Version == next.Version {
		return clone(next.Document), nil
	}
	return s.Load(ctx)
}

// History returns up to limit records of the history, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Record, error) {
	current, _, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	after := uint64(0)
	if limit = min(limit, MaxHistoryVersions); current.Version > uint64(limit) {
		after = current.Version - uint64(limit)
	}
	rows, err := s.Table.List(ctx, historyPrefix, historyKey(after), limit)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		record, err := decodeRecord(rows[i])
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
