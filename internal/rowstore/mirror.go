package rowstore

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/retry"
)

// Times of a mirror.
const (
	// feedWait is how long a feed call waits for a change. A connection that
	// falls silent is noticed after feedWait and the client's own timeout, which
	// has to stay below the 2 s in which a configuration comes into force.
	feedWait = 800 * time.Millisecond
	// overdue is how much later than its wait a feed call is answered by a store
	// that is well.
	overdue = 250 * time.Millisecond
	// farOverdue is how much later even a store that is 80 times as slow as usual
	// answers.
	farOverdue = time.Second
	// mirrorBackoff is the mean delay after a failed call.
	mirrorBackoff = 100 * time.Millisecond
	// callTimeout limits one call of a mirror with its tries.
	callTimeout = 3 * time.Second
	listPage    = 500
)

// Mirror is a copy of a table that the feed keeps up to date. It is safe for
// concurrent use.
type Mirror struct {
	store Store
	table string
	log   *eventlog.Log
	// onChange receives the rows that changed, in order, from one goroutine.
	onChange func([]Row)
	// Pace returns the pause after an answer with changes, in which more of them
	// gather; nil for none. It is set before Run.
	Pace func() time.Duration
	// Clock is a steady clock for Age, that counts suspensions where it matters. It
	// is set before Run.
	Clock func() time.Duration

	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	loaded  bool
	freshAt time.Duration // start of the last call that succeeded, on Clock
	// answeredAt is when it was answered.
	answeredAt time.Time
	down       bool
	changed    chan struct{} // closed with each advance
}

// NewMirror returns an empty mirror; Run fills it. onChange may be nil.
func NewMirror(store Store, table string, log *eventlog.Log, onChange func([]Row)) *Mirror {
	if onChange == nil {
		onChange = func([]Row) {}
	}
	begun := time.Now()
	return &Mirror{
		store: store, table: table, log: log, onChange: onChange, rows: map[string]Row{}, changed: make(chan struct{}),
		Clock: func() time.Duration { return time.Since(begun) },
	}
}

// Run follows the table until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.step(ctx); err != nil {
			m.failed(err)
			retry.Sleep(ctx, retry.Jitter(2*mirrorBackoff))
		}
	}
}

func (m *Mirror) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	loaded, version := m.loaded, m.version
	m.mu.Unlock()
	started := m.Clock()
	if !loaded {
		return m.load(ctx, started)
	}
	page, err := m.store.Feed(ctx, m.table, version, feedWait)
	if errors.Is(err, ErrHistoryGone) {
		m.log.Event("store_history_gone", "table", m.table, "afterVersion", version)
		return m.load(ctx, started)
	}
	if err != nil {
		return err
	}
	m.apply(page, started, false)
	if len(page.Rows) > 0 && m.Pace != nil {
		retry.Sleep(ctx, m.Pace())
	}
	return nil
}

// load reads the whole table. The version of the first page is where the feed
// goes on: rows that change while later pages are read come again.
func (m *Mirror) load(ctx context.Context, started time.Duration) error {
	all := Page{}
	from := ""
	for {
		page, err := m.store.List(ctx, m.table, from, listPage)
		if err != nil {
			return err
		}
		if all.Version == 0 {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	m.apply(all, started, true)
	return nil
}

// apply takes over rows that are newer than what is known. whole says that rows
// which are not on the page do not exist.
func (m *Mirror) apply(page Page, started time.Duration, whole bool) {
	m.mu.Lock()
	var news []Row
	seen := map[string]bool{}
	for _, r := range page.Rows {
		seen[r.Key] = true
		if old, ok := m.rows[r.Key]; ok && old.Version >= r.Version || !ok && r.Deleted {
			continue
		}
		if r.Deleted {
			delete(m.rows, r.Key)
		} else {
			m.rows[r.Key] = r
		}
		news = append(news, r)
	}
	if whole {
		for key, old := range m.rows {
			if !seen[key] && old.Version <= page.Version {
				delete(m.rows, key)
				news = append(news, Row{Table: m.table, Key: key, Version: page.Version, Deleted: true})
			}
		}
	}
	m.mu.Unlock()
	if len(news) > 0 {
		m.onChange(news)
	}
	m.mu.Lock()
	m.version = max(m.version, page.Version)
	m.loaded, m.freshAt, m.answeredAt = true, started, time.Now()
	regained := m.down
	m.down = false
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	if regained {
		m.log.Event("store_regained", "table", m.table, "version", page.Version)
	}
}

func (m *Mirror) failed(err error) {
	m.mu.Lock()
	lost := !m.down
	m.down = true
	age := m.Clock() - m.freshAt
	m.mu.Unlock()
	if lost {
		m.log.Event("store_lost", "table", m.table, "ageMs", age.Milliseconds(), "err", err.Error())
	}
}

// Get returns a row as the mirror knows it.
func (m *Mirror) Get(key string) (Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[key]
	return r, ok
}

// Note takes over a row that this process has written or read itself, so that
// what it has confirmed is visible here before the feed brings it.
func (m *Mirror) Note(r Row) {
	m.mu.Lock()
	if old, ok := m.rows[r.Key]; ok && old.Version >= r.Version {
		m.mu.Unlock()
		return
	}
	m.rows[r.Key] = r
	m.mu.Unlock()
	m.onChange([]Row{r})
}

// Range calls f for each row whose key begins with prefix, in no order, until
// it returns false. f must not call the mirror.
func (m *Mirror) Range(prefix string, f func(Row) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, r := range m.rows {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix && !f(r) {
			return
		}
	}
}

// After returns the rows that are newer than a version, oldest first and limit at
// most, and whether there are more. Rows that were removed are not among them.
func (m *Mirror) After(version uint64, limit int) (newer []Row, more bool) {
	m.mu.Lock()
	for _, r := range m.rows {
		if r.Version > version {
			newer = append(newer, r)
		}
	}
	m.mu.Unlock()
	slices.SortFunc(newer, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key)) })
	for limit < len(newer) && limit > 0 && newer[limit].Version == newer[limit-1].Version {
		limit++ // rows of one transaction have one version
	}
	if len(newer) > limit {
		return newer[:limit], true
	}
	return newer, false
}

// Version returns the version up to which the mirror knows all changes.
func (m *Mirror) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Age returns how old the mirror's knowledge is; false if it has none yet.
func (m *Mirror) Age() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock() - m.freshAt, m.loaded
}

// InTouch reports whether the store serves this process as far as the mirror can
// tell: the last call was answered, and the one in progress is not overdue.
func (m *Mirror) InTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded && !m.down && time.Since(m.answeredAt) < feedWait+overdue
}

// Lost reports whether the store does not serve this process, nor a peer for it:
// the last call failed, or the one in progress is far beyond its time.
func (m *Mirror) Lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down || m.loaded && time.Since(m.answeredAt) > feedWait+farOverdue
}

// WaitFor waits until the mirror has reached the version. The error is ctx's.
func (m *Mirror) WaitFor(ctx context.Context, version uint64) error {
	for {
		m.mu.Lock()
		reached, changed := m.loaded && m.version >= version, m.changed
		m.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
