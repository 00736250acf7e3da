package workflowdaemon

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Constants of the order in which entries try to become owner.
const (
	// preferredCandidates is the number of entries that may take a free owner row
	// before nonPreferredDelay has passed. It is enough for one in each of several
	// availability zones.
	preferredCandidates = 5
	// candidateInterval is the delay of each candidate after the one before it, so
	// that they do not all write the owner row at once. It is longer than a write
	// takes.
	candidateInterval = 50 * time.Millisecond
	// nonPreferredDelay is the time for which the other entries leave a free owner
	// row to the preferred ones. Those learn from the feed, the store's long poll for
	// changed rows, that the row is free, and write it within 0.2 s.
	nonPreferredDelay = 600 * time.Millisecond
)

// entryRow is the value of an entry's row.
type entryRow struct {
	Addr string `json:"addr"`
	Zone string `json:"zone,omitempty"`
	// MilliCores is the processor time that the machine gives the entry, in thousandths
	// of a core.
	MilliCores int `json:"milliCores,omitempty"`
}

// entrySet is the set of entries that have a row in the table. It is safe for
// concurrent use.
type entrySet struct {
	log *eventlog.Log

	mu   sync.Mutex
	rows map[string]entryRow // by ID
	// positions, addrs and version are derived from rows. They are nil and 0 until
	// they are computed.
	positions map[string]int
	addrs     []string
	version   uint64
}

func newEntrySet(log *eventlog.Log) *entrySet {
	return &entrySet{log: log, rows: map[string]entryRow{}}
}

// applyRow updates the set from a changed row. An entry with an unreadable row is
// removed from the set.
func (s *entrySet) applyRow(r rowstore.Row) {
	id := strings.TrimPrefix(r.Key, workflow.EntryPrefix)
	var row entryRow
	ok := !r.Deleted
	if err := json.Unmarshal(r.Value, &row); ok && (err != nil || row.Addr == "") {
		s.log.Event("entry_row_unreadable", "entry", id, "version", r.Version)
		ok = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions, s.addrs, s.version = nil, nil, 0
	if ok {
		s.rows[id] = row
	} else {
		delete(s.rows, id)
	}
}

// addrsExcept returns the RPC addresses of the other entries by ID: without the
// caller's own ID and address. A row of another ID with the caller's address was
// left by an earlier process at this address.
func (s *entrySet) addrsExcept(id, addr string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]string, len(s.rows))
	for other, row := range s.rows {
		if other != id && row.Addr != addr {
			out[other] = row.Addr
		}
	}
	return out
}

// sortedAddrs returns the RPC addresses of all entries, sorted, and a version that
// differs if the list differs. The caller must not modify the list.
func (s *entrySet) sortedAddrs() ([]string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == 0 {
		for _, row := range s.rows {
			s.addrs = append(s.addrs, row.Addr)
		}
		slices.Sort(s.addrs)
		h := fnv.New64a()
		for _, addr := range s.addrs {
			// A hash never returns an error.
			_, _ = h.Write(append([]byte(addr), 0))
		}
		s.version = max(h.Sum64(), 1)
	}
	return s.addrs, s.version
}

// position returns an entry's position in the order of candidates, from 0. An entry
// without a row comes after all others. Entries with more processor time come
// first; among entries with equal processor time the zones take turns.
func (s *entrySet) position(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.positions == nil {
		s.computePositions()
	}
	if position, ok := s.positions[id]; ok {
		return position
	}
	return len(s.positions)
}

// computePositions sets s.positions to the order that position describes. The
// caller holds mu.
func (s *entrySet) computePositions() {
	ids := make([]string, 0, len(s.rows))
	for id := range s.rows {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.rows[b].MilliCores, s.rows[a].MilliCores), cmp.Compare(a, b))
	})
	type group struct {
		zone       string
		milliCores int
	}
	// indexInZone is the number of entries before this one with the same processor
	// time and zone, and seen the number counted so far.
	seen, indexInZone := map[group]int{}, map[string]int{}
	for _, id := range ids {
		g := group{s.rows[id].Zone, s.rows[id].MilliCores}
		indexInZone[id] = seen[g]
		seen[g]++
	}
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.rows[b].MilliCores, s.rows[a].MilliCores), cmp.Compare(indexInZone[a], indexInZone[b]))
	})
	s.positions = make(map[string]int, len(ids))
	for i, id := range ids {
		s.positions[id] = i
	}
}

// takeoverDelay returns how long the candidate at a position leaves a free owner
// row to the candidates before it.
func takeoverDelay(position int) time.Duration {
	if position < preferredCandidates {
		return time.Duration(position) * candidateInterval
	}
	return nonPreferredDelay + time.Duration(position-preferredCandidates)*candidateInterval
}

// hasLargerCandidate reports whether another entry should own in place of the entry
// id: a preferred candidate that has at least largerEntryFactor times its processor
// time and for which available returns true. It is false if id is itself a
// preferred candidate.
func (s *entrySet) hasLargerCandidate(id string, available func(id string) bool) bool {
	if s.position(id) < preferredCandidates {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, position := range s.positions {
		if position < preferredCandidates && s.rows[other].MilliCores >= largerEntryFactor*s.rows[id].MilliCores && available(other) {
			return true
		}
	}
	return false
}

// largerEntryFactor is the ratio of processor time from which a change of owner is
// worth its cost: it delays starts of the work that the next owner recovers.
const largerEntryFactor = 2
