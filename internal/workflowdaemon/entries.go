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

// Constants of the order in which entries stand for election.
const (
	// preferredCandidates is the number of entries that take a free row without a
	// delay of nonPreferredDelay: enough for one in each of several availability zones.
	preferredCandidates = 5
	// candidateInterval is the delay of each candidate after the one before it, so that
	// they do not all write the row at once. It is above the time of a write.
	candidateInterval = 50 * time.Millisecond
	// nonPreferredDelay is how long the other entries leave a free row to the preferred
	// ones, which notice it through the feed and write it within 0.2 s.
	nonPreferredDelay = 600 * time.Millisecond
)

// entryRow is the value of an entry's row.
type entryRow struct {
	Addr string `json:"addr"`
	Zone string `json:"zone,omitempty"`
	// MilliCores is the processor time that the entry's VM gives it, in thousandths
	// of a core.
	MilliCores int `json:"milliCores,omitempty"`
}

// entrySet is what the rows say of the entries. It is safe for concurrent use.
type entrySet struct {
	log *eventlog.Log

	mu   sync.Mutex
	rows map[string]entryRow // by ID
	// places, addrs and version follow from rows; nil and 0 until they are needed.
	positions map[string]int
	addrs     []string
	version   uint64
}

func newEntrySet(log *eventlog.Log) *entrySet {
	return &entrySet{log: log, rows: map[string]entryRow{}}
}

// observe takes over a changed row. One that is unreadable names no entry.
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

// others returns the RPC addresses of all entries but one by ID. An entry that
// replaced it at its address is left out as well.
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

// all returns the RPC addresses of all entries in order, and a version that tells
// two such lists apart. The list must not be changed.
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

// place returns the place of an entry in the order of candidates, from 0; the
// place after all others if it has no row. Entries with the most processor time
// come first, among equals the first ones of all availability zones.
func (s *entrySet) position(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.positions == nil {
		s.computePositions()
	}
	if at, ok := s.positions[id]; ok {
		return at
	}
	return len(s.positions)
}

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
	inZone, nth := map[group]int{}, map[string]int{} // entries before it of its size and zone
	for _, id := range ids {
		g := group{s.rows[id].Zone, s.rows[id].MilliCores}
		nth[id] = inZone[g]
		inZone[g]++
	}
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.rows[b].MilliCores, s.rows[a].MilliCores), cmp.Compare(nth[a], nth[b]))
	})
	s.positions = make(map[string]int, len(ids))
	for i, id := range ids {
		s.positions[id] = i
	}
}

// takeoverDelay returns how long the candidate at a place leaves a free row to
// those before it.
func takeoverDelay(place int) time.Duration {
	if place < preferredCandidates {
		return time.Duration(place) * candidateInterval
	}
	return nonPreferredDelay + time.Duration(place-preferredCandidates)*candidateInterval
}

// stronger reports whether one of the given entries should own in place of the
// entry id: a preferred candidate with at least largerEntryFactor times its processor
// time.
func (s *entrySet) hasLargerCandidate(id string, others func(id string) bool) bool {
	if s.position(id) < preferredCandidates {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, place := range s.positions {
		if place < preferredCandidates && s.rows[other].MilliCores >= largerEntryFactor*s.rows[id].MilliCores && others(other) {
			return true
		}
	}
	return false
}

// largerEntryFactor is the ratio of processor time from which a change of owner, which
// delays starts of inherited work, pays.
const largerEntryFactor = 2
