// Package platformstub is an in-memory implementation of the platform for tests: a
// linearizable table and an object store, with fault injection. The protocol is
// described in docs/api-platform.md.
package platformstub

import (
	"slices"
	"sort"
	"strings"

	"github.com/parsleypier/parsleypier/internal/platformclient"
)

// Limits of the history. The oldest transactions are dropped first.
const (
	maxHistory      = 10_000
	maxHistoryBytes = 16 << 20
)

// Record is a committed transaction.
type Record struct {
	Seq uint64 `json:"seq"`
	platformclient.Txn
	// Lost says that an injected fault suppressed the response.
	Lost bool `json:"lost,omitempty"`
}

// size returns the total size of the written values in bytes.
func (r *Record) size() int {
	n := 0
	for _, p := range r.Puts {
		n += len(p.Value)
	}
	return n
}

// contents has the rows of the table, the objects and the history. Its users must
// hold Server.mu.
type contents struct {
	seq          uint64
	rows         map[string]platformclient.Row
	keys         []string // sorted
	objects      map[string][]byte
	history      []Record
	historyBytes int
}

func newContents() *contents {
	return &contents{rows: map[string]platformclient.Row{}, objects: map[string][]byte{}}
}

// commit applies txn and returns the new versions by key, or returns the checks
// that failed, with the rows' current versions.
func (s *contents) commit(txn platformclient.Txn, lost bool) (map[string]uint64, []platformclient.Check) {
	var conflicts []platformclient.Check
	for _, c := range txn.Checks {
		if current := s.rows[c.Key].Version; current != c.Version {
			conflicts = append(conflicts, platformclient.Check{Key: c.Key, Version: current})
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	versions := make(map[string]uint64, len(txn.Puts))
	if len(txn.Puts)+len(txn.Deletes) == 0 {
		return versions, nil
	}
	s.seq++
	for _, p := range txn.Puts {
		if _, ok := s.rows[p.Key]; !ok {
			i, _ := slices.BinarySearch(s.keys, p.Key)
			s.keys = slices.Insert(s.keys, i, p.Key)
		}
		s.rows[p.Key] = platformclient.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: s.seq}
		versions[p.Key] = s.seq
	}
	for _, key := range txn.Deletes {
		if i, ok := slices.BinarySearch(s.keys, key); ok {
			s.keys = slices.Delete(s.keys, i, i+1)
			delete(s.rows, key)
		}
	}
	s.record(Record{Seq: s.seq, Txn: txn, Lost: lost})
	return versions, nil
}

func (s *contents) record(r Record) {
	s.history = append(s.history, r)
	s.historyBytes += r.size()
	for len(s.history) > maxHistory || s.historyBytes > maxHistoryBytes {
		s.historyBytes -= s.history[0].size()
		s.history = s.history[1:]
	}
}

// list returns up to limit rows, and whether there are more. The total size of the
// values is at most maxListBytes, unless the first row alone is larger.
func (s *contents) list(prefix, after string, limit int) ([]platformclient.Row, bool) {
	from := sort.Search(len(s.keys), func(i int) bool { return s.keys[i] >= prefix && s.keys[i] > after })
	rows := []platformclient.Row{}
	size := 0
	for _, key := range s.keys[from:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		row := s.rows[key]
		size += len(row.Value)
		if len(rows) == limit || len(rows) > 0 && size > maxListBytes {
			return rows, true
		}
		rows = append(rows, row)
	}
	return rows, false
}
