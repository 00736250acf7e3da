package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as the platform's pages give them.
const (
	storeMaxEntries = 100
	storeMaxBytes   = 1 << 20
	storeRowBytes   = 64 << 10
	storePageRows   = 500
	storeTxnTime    = 8 * time.Millisecond
	storeReadTime   = 4 * time.Millisecond
	storeRetention  = 20 * time.Second
	storeMaxWait    = 30 * time.Second
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version uint64
}

type change struct {
	at      time.Time
	key     rowKey
	row     storedRow
	deleted bool
}

type wireRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version *uint64 `json:"rowVersion,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

func (w wireRow) id() rowKey { return rowKey{w.Table, w.Part, w.Key} }

// Store is a stand-in of the platform's store. It refuses what the pages say is too much.
type Store struct {
	record *Record

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	version uint64
	history []change
	dropped uint64        // newest version that the history no longer has
	changed chan struct{} // closed and replaced at each transaction
	parts   map[string]*sync.Mutex
	outage  chan struct{} // closed at the end of the outage; nil if there is none
	refused map[string]int
}

// NewStore returns an empty store.
func NewStore(r *Record) *Store {
	return &Store{record: r, rows: map[rowKey]storedRow{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, refused: map[string]int{}}
}

// Handler returns the handler of the store's API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.commit)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.waitOutage(r)
		mux.ServeHTTP(w, r)
	})
}

// Silence makes the store answer nothing and do nothing until the returned function is
// called.
func (s *Store) Silence() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outage := make(chan struct{})
	s.outage = outage
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.outage = nil
		close(outage)
	}
}

// waitOutage drops the channel of a call that comes in an outage, once that or the call is
// over. The call has not been performed.
func (s *Store) waitOutage(r *http.Request) {
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	if outage == nil {
		return
	}
	select {
	case <-outage:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// refuse answers a call that asks for more than the store allows.
func (s *Store) refuse(w http.ResponseWriter, why string) {
	s.mu.Lock()
	first := s.refused[why] == 0
	s.refused[why]++
	s.mu.Unlock()
	if first {
		s.record.Logf("store refuses a transaction (400): %s", why)
	}
	http.Error(w, why, http.StatusBadRequest)
}

// Refused returns the number of refused transactions by reason.
func (s *Store) Refused() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.refused {
		out[k] = v
	}
	return out
}

// Put writes a row as the operator does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rowKey{table, "", key}, value)
	s.announce()
}

func (s *Store) write(k rowKey, value []byte) {
	row := storedRow{value, s.version}
	s.rows[k] = row
	s.history = append(s.history, change{time.Now(), k, row, false})
}

func (s *Store) remove(k rowKey) {
	delete(s.rows, k)
	s.history = append(s.history, change{time.Now(), k, storedRow{nil, s.version}, true})
}

func (s *Store) announce() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeRetention {
		s.dropped = s.history[0].row.version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev, Writes, Remove []wireRow
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, storeMaxBytes)).Decode(&body); err != nil {
		s.refuse(w, "more than 1 MB, or no JSON")
		return
	}
	all := slices.Concat(body.ExpectedRev, body.Writes, body.Remove)
	if len(all) == 0 {
		s.refuse(w, "no entries")
		return
	}
	if len(all) > storeMaxEntries {
		s.refuse(w, "more than 100 entries")
		return
	}
	for _, e := range all {
		switch {
		case e.Part != all[0].Part:
			s.refuse(w, "entries of several parts")
			return
		case len(e.Value) > storeRowBytes:
			s.refuse(w, "a value of more than rowBytes")
			return
		case len(e.Table) > 200 || len(e.Part) > 200 || len(e.Key) > 200:
			s.refuse(w, "a name of more than 200 bytes")
			return
		}
	}
	lock := s.partLock(all[0].Part)
	lock.Lock()
	time.Sleep(storeTxnTime)
	s.mu.Lock()
	status, rows := http.StatusOK, []wireRow{}
	for _, c := range body.ExpectedRev {
		row, ok := s.rows[c.id()]
		if ok {
			rows = append(rows, wireRow{Table: c.Table, Part: c.Part, Key: c.Key, Value: row.value, Version: &row.version})
		}
		if c.Version == nil || ok && *c.Version != row.version || !ok && *c.Version != 0 {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		rows = rows[:0]
		s.version++
		for _, e := range body.Writes {
			s.write(e.id(), e.Value)
		}
		for _, e := range body.Remove {
			s.remove(e.id())
		}
		s.announce()
	}
	version := s.version
	s.mu.Unlock()
	lock.Unlock()
	reply(w, status, rows, false, version)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > storePageRows {
		limit = storePageRows
	}
	from, to := q.Get("from"), q.Get("to")
	s.mu.Lock()
	rows := []wireRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, wireRow{Table: k.table, Part: k.part, Key: k.key, Value: row.value, Version: &row.version})
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value)*4/3 < storeMaxBytes) {
		size += len(rows[n].Value) * 4 / 3
		n++
	}
	reply(w, http.StatusOK, rows[:n], n < len(rows), version)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil || wait < 0 || time.Duration(wait)*time.Millisecond > storeMaxWait {
		http.Error(w, "after or waitMs", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		rows, version, gone, changed := s.changesAfter(q.Get("table"), after)
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || ended {
			s.waitOutage(r)
			reply(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns a table's changes after a version, at most about a page of them, and
// the version from which to go on. s.mu must be held.
func (s *Store) changesAfter(table string, after uint64) (rows []wireRow, version uint64, gone bool, changed chan struct{}) {
	if after < s.dropped {
		return nil, 0, true, nil
	}
	version = s.version
	rows = []wireRow{}
	for _, c := range s.history {
		if c.row.version <= after || c.key.table != table {
			continue
		}
		if len(rows) >= storePageRows && c.row.version != version {
			break
		}
		if len(rows) >= storePageRows-storeMaxEntries {
			version = c.row.version
		}
		v := c.row.version
		rows = append(rows, wireRow{Table: c.key.table, Part: c.key.part, Key: c.key.key, Value: c.row.value, Version: &v, Deleted: c.deleted})
	}
	if len(rows) < storePageRows {
		version = s.version
	}
	return rows, version, false, s.changed
}

func reply(w http.ResponseWriter, status int, rows []wireRow, more bool, version uint64) {
	writeJSON(w, status, map[string]any{"rows": rows, "hasMore": more, "rowVersion": version, "nowMs": time.Now().UnixMilli()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error means that the caller closed the channel.
	_ = json.NewEncoder(w).Encode(body)
}
