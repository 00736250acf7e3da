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

// Times and limits of a Mirror.
const (
	// feedWait is how long a feed call waits for a change. A connection that stops
	// delivering data is detected after feedWait plus the client's own timeout. The
	// sum must stay below the 2 s within which a configuration takes effect.
	feedWait = 800 * time.Millisecond
	// feedGrace is how long after feedWait a healthy store answers a feed call at
	// the latest.
	feedGrace = 250 * time.Millisecond
	// lostGrace is how long after feedWait even a store that is 80 times as slow as
	// usual answers at the latest.
	lostGrace = time.Second
	// defaultRetryDelay is the longest delay after a failed call; with jitter it is as short
	// as half of it.
	defaultRetryDelay = 200 * time.Millisecond
	// callTimeout limits a feed call, or a full read of the table, including retries.
	callTimeout = 3 * time.Second
	// refreshTimeout limits a call of Refresh. Large rows take a second on a slow link.
	refreshTimeout = 2 * time.Second
	// listPage is the number of rows per page of a full read.
	listPage = 500
)

// Mirror is a copy of a table that is kept up to date through the feed. It is safe
// for concurrent use.
type Mirror struct {
	store Store
	table string
	log   *eventlog.Log
	// onChange receives changed rows: from Run, in the order of the feed, and from
	// RecordRow, in the goroutine of its caller.
	onChange func([]Row)
	// Pace returns how long to pause after an answer with changes, so that the next
	// answer has more of them; nil for no pause. It must be set before Run.
	Pace func() time.Duration
	// Clock is the monotonic clock for Age. It should keep running while the machine
	// is suspended if Age must include that time. It must be set before Run.
	Clock func() time.Duration
	// RetryDelay is the longest delay after a failed call; with jitter it is as short as
	// half of it. It must be set before Run.
	RetryDelay time.Duration
	// ReloadAfterFailure makes the mirror read the table after a failed call, and not the
	// changes since then. That is less if rows are large and change often, since the feed
	// has each version of a row. It must be set before Run.
	ReloadAfterFailure bool
	// OnCurrent is called after each successful call, once onChange has received its
	// changes, with the time on Clock at which the call began; nil for nothing. It must be
	// set before Run.
	OnCurrent func(at time.Duration)
	// OnRead is called with what each successful call has read, before the feed continues
	// after it; nil for nothing. It must be set before Run.
	OnRead func(Read)

	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	loaded  bool
	// call is the call of Run that is in progress.
	call feedCall
	// unanswered has the reads in progress: when each began, on Clock, and from when it is
	// overdue. unansweredAt is when the newest read began that has failed.
	unanswered   map[*pendingRead]bool
	unansweredAt time.Duration
	hasFailed    bool
	currentAsOf  time.Duration // start of the last call that succeeded, on Clock
	// answeredAt is when that call was answered.
	answeredAt time.Time
	failing    bool          // the last call failed
	advanced   chan struct{} // closed and replaced after each successful call
}

// feedCall is a call in progress: when it began, how long the store may wait before it
// answers, and what ends it.
type feedCall struct {
	began  time.Time
	wait   time.Duration
	cancel context.CancelCauseFunc
}

// Read is what a call of a Mirror has read.
type Read struct {
	// Rows are the rows of the table if Complete is set, and otherwise those that changed
	// after the version After. Version is that up to which they have all changes.
	Rows           []Row
	Complete       bool
	After, Version uint64
	// Began is when the call began, on Mirror.Clock.
	Began time.Duration
}

// pendingRead is a read in progress.
type pendingRead struct{ began, overdueAt time.Duration }

// errGivenUp is the cause with which Refresh ends an overdue call of Run.
var errGivenUp = errors.New("another call was answered first")

// NewMirror returns an empty mirror; Run fills it. onChange may be nil.
func NewMirror(store Store, table string, log *eventlog.Log, onChange func([]Row)) *Mirror {
	if onChange == nil {
		onChange = func([]Row) {}
	}
	started := time.Now()
	return &Mirror{
		store: store, table: table, log: log, onChange: onChange, rows: map[string]Row{}, advanced: make(chan struct{}), unanswered: map[*pendingRead]bool{},
		Clock: func() time.Duration { return time.Since(started) }, RetryDelay: defaultRetryDelay,
	}
}

// Run keeps the mirror up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.step(ctx); err != nil {
			m.recordFailure(err)
			retry.Sleep(ctx, retry.Jitter(m.RetryDelay))
		}
	}
}

// step reads the table, or waits for its next changes. After a failure it does not wait, to
// find out at once whether the store answers.
func (m *Mirror) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	callCtx, cancelCall := context.WithCancelCause(ctx)
	defer cancelCall(nil)
	m.mu.Lock()
	wait := feedWait
	if m.failing || !m.loaded {
		wait = 0
	}
	m.call = feedCall{began: time.Now(), wait: wait, cancel: cancelCall}
	m.mu.Unlock()
	changed, err := m.read(callCtx, wait)
	m.mu.Lock()
	m.call = feedCall{}
	m.mu.Unlock()
	if err != nil && errors.Is(context.Cause(callCtx), errGivenUp) {
		return nil
	}
	if err == nil && changed && m.Pace != nil {
		retry.Sleep(ctx, m.Pace())
	}
	return err
}

// read reads the table if it has not been loaded, or else its changes, for which the store
// may wait. It reports whether the feed had changes.
func (m *Mirror) read(ctx context.Context, wait time.Duration) (changed bool, err error) {
	m.mu.Lock()
	load, version := !m.loaded || m.failing && m.ReloadAfterFailure, m.version
	m.mu.Unlock()
	started := m.Clock()
	defer m.trackRead(ctx, started, wait)(&err)
	if load {
		return false, m.load(ctx, started)
	}
	page, err := m.store.Feed(ctx, m.table, version, wait)
	if errors.Is(err, ErrHistoryGone) {
		m.log.Event("store_history_gone", "table", m.table, "afterVersion", version)
		return false, m.load(ctx, started)
	}
	if err != nil {
		return false, err
	}
	m.apply(Read{Rows: page.Rows, After: version, Version: page.Version, Began: started})
	return len(page.Rows) > 0, nil
}

// trackRead records a read in progress. The function that it returns records its end.
func (m *Mirror) trackRead(ctx context.Context, began, wait time.Duration) func(err *error) {
	r := &pendingRead{began, began + wait + feedGrace}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unanswered[r] = true
	return func(err *error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.unanswered, r)
		// A call that was ended from here says nothing about the store.
		if *err != nil && !errors.Is(context.Cause(ctx), errGivenUp) && !errors.Is(context.Cause(ctx), context.Canceled) {
			m.unansweredAt, m.hasFailed = max(m.unansweredAt, began), true
		}
	}
}

// UnansweredAsOf returns when the newest read began that has failed or is overdue, on Clock;
// false if there was none. The store did not answer this process then.
func (m *Mirror) UnansweredAsOf() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.unansweredAt, m.hasFailed
	for r := range m.unanswered {
		if m.Clock() > r.overdueAt && (!ok || r.began > at) {
			at, ok = r.began, true
		}
	}
	return at, ok
}

// SkipTo makes the feed continue after a version. The caller has the changes up to it that
// matter to it from elsewhere; the mirror's rows lack them.
func (m *Mirror) SkipTo(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded {
		m.version = max(m.version, version)
	}
}

// Overdue reports whether the call in progress has lasted longer than a healthy store
// takes to answer it.
func (m *Mirror) Overdue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.call.overdue()
}

func (c feedCall) overdue() bool { return c.cancel != nil && time.Since(c.began) > c.wait+feedGrace }

// Refresh reads the table, or its changes, without waiting for any. It serves to find out
// what a call that is overdue does not tell. If it succeeds, a call of Run that is overdue
// by then is given up, so that Run waits for changes on a connection that works.
func (m *Mirror) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if _, err := m.read(ctx, 0); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.call.overdue() {
		m.call.cancel(errGivenUp)
	}
	return nil
}

// load reads the whole table. The feed continues at the version of the first page,
// so that changes made while later pages are read are not missed.
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
	m.apply(Read{Rows: all.Rows, Complete: true, Version: all.Version, Began: started})
	return nil
}

// apply stores the rows that are newer than the known ones. Rows that are not on a complete
// read have been deleted.
func (m *Mirror) apply(page Read) {
	m.mu.Lock()
	var updates []Row
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
		updates = append(updates, r)
	}
	if page.Complete {
		for key, old := range m.rows {
			if !seen[key] && old.Version <= page.Version {
				delete(m.rows, key)
				updates = append(updates, Row{Table: m.table, Key: key, Version: page.Version, Deleted: true})
			}
		}
	}
	m.mu.Unlock()
	if len(updates) > 0 {
		m.onChange(updates)
	}
	if m.OnRead != nil {
		m.OnRead(page)
	}
	m.mu.Lock()
	m.version = max(m.version, page.Version)
	m.loaded, m.currentAsOf, m.answeredAt = true, page.Began, time.Now()
	regained := m.failing
	m.failing = false
	close(m.advanced)
	m.advanced = make(chan struct{})
	m.mu.Unlock()
	if m.OnCurrent != nil {
		m.OnCurrent(page.Began)
	}
	if regained {
		m.log.Event("store_regained", "table", m.table, "version", page.Version)
	}
}

// recordFailure records that a call failed.
func (m *Mirror) recordFailure(err error) {
	m.mu.Lock()
	lost := !m.failing
	m.failing = true
	age := m.Clock() - m.currentAsOf
	m.mu.Unlock()
	if lost {
		m.log.Event("store_lost", "table", m.table, "ageMs", age.Milliseconds(), "err", err.Error())
	}
}

// Get returns the mirror's version of a row.
func (m *Mirror) Get(key string) (Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[key]
	return r, ok
}

// RecordRow stores a row that this process has written or read itself, so that the
// mirror has it before the feed delivers it.
func (m *Mirror) RecordRow(r Row) {
	m.mu.Lock()
	if old, ok := m.rows[r.Key]; ok && old.Version >= r.Version {
		m.mu.Unlock()
		return
	}
	m.rows[r.Key] = r
	m.mu.Unlock()
	m.onChange([]Row{r})
}

// Range calls f for each row whose key begins with prefix, in no particular order,
// until f returns false. f must not call methods of the mirror.
func (m *Mirror) Range(prefix string, f func(Row) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, r := range m.rows {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix && !f(r) {
			return
		}
	}
}

// After returns the rows that are newer than a version, oldest first, and whether
// there are more. It returns about limit rows at most: it does not split the rows of
// a transaction. Deleted rows are not included.
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
		limit++ // the rows of a transaction have the same version
	}
	if len(newer) > limit {
		return newer[:limit], true
	}
	return newer, false
}

// Version returns the version up to which the mirror has all changes.
func (m *Mirror) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Age returns the time since the mirror was certainly up to date; false if it has
// not been loaded yet.
func (m *Mirror) Age() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock() - m.currentAsOf, m.loaded
}

// StoreResponding reports whether the store appears to answer this process: the last
// call was answered, and the one in progress has not exceeded feedWait plus
// feedGrace.
func (m *Mirror) StoreResponding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded && !m.failing && time.Since(m.answeredAt) < feedWait+feedGrace
}

// StoreLost reports whether the store appears to answer this process neither directly nor
// through peers: the last call failed, or the one in progress has exceeded feedWait
// plus lostGrace.
func (m *Mirror) StoreLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failing || m.loaded && time.Since(m.answeredAt) > feedWait+lostGrace
}

// WaitFor waits until the mirror has reached the version. It returns the error of ctx
// if ctx ends first.
func (m *Mirror) WaitFor(ctx context.Context, version uint64) error {
	for {
		m.mu.Lock()
		reached, advanced := m.loaded && m.version >= version, m.advanced
		m.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
