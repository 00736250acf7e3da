// Package memlimit bounds the memory and the connections that a process holds for those
// who call it. A Budget divides them among the listeners of the process; each connection
// has a Grant, to which it adds before it uses memory. If there is no room, connections
// that make no progress are closed, those that hold most first, and else the request is
// refused. docs/design/memory-budget.md describes what is counted where.
package memlimit

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Amount is an amount of memory and of connections.
type Amount struct {
	Bytes int64
	Conns int
}

func (a Amount) plus(b Amount) Amount  { return Amount{a.Bytes + b.Bytes, a.Conns + b.Conns} }
func (a Amount) minus(b Amount) Amount { return Amount{a.Bytes - b.Bytes, a.Conns - b.Conns} }
func (a Amount) max(b Amount) Amount {
	return Amount{max(a.Bytes, b.Bytes), max(a.Conns, b.Conns)}
}

// covers reports whether b fits into a.
func (a Amount) covers(b Amount) bool { return a.Bytes >= b.Bytes && a.Conns >= b.Conns }

// ErrExhausted means that there is no room and that no connection can be closed to make
// some. Nothing was done; the client may send its request again.
var ErrExhausted = errors.New("memlimit: the budget is exhausted")

// ErrEvicted means that the connection is closed to make room for others.
var ErrEvicted = errors.New("memlimit: the connection is closed to make room")

const (
	// maxWaiters limits the requests of a share that wait for closed connections to give
	// back what they hold.
	maxWaiters = 64
	// waitTimeout limits that wait. Closed connections give back their memory within
	// milliseconds, unless the process gets no processor time.
	waitTimeout = time.Second
	// largeBytes is the size above which a grant is large. Large grants leave
	// 1/smallFraction of a share to small ones, so that ordinary requests find room while
	// others send large ones.
	largeBytes    = 64 << 10
	smallFraction = 4
	// headroomFraction: 1/headroomFraction of a share is freed beyond what is needed, from
	// connections that have stalled, so that not every request has to look for victims.
	headroomFraction = 16
	// searchPause is the time for which no victims are looked for after none were found.
	searchPause = 20 * time.Millisecond
)

// Budget is the memory and the connections of a process that its listeners may use. It is
// safe for concurrent use.
type Budget struct {
	clock func() time.Duration

	mu     sync.Mutex
	limit  Amount
	shares []*Share
}

// NewBudget returns a budget without shares.
func NewBudget(limit Amount) *Budget {
	started := time.Now()
	return &Budget{limit: limit, clock: func() time.Duration { return time.Since(started) }}
}

// Share is the part of a budget that one listener uses. What is guaranteed to it can always
// be used; others borrow what it does not use, and give it back on demand.
type Share struct {
	Name   string
	budget *Budget
	// The following are protected by budget.mu.
	guaranteed Amount
	used       Amount
	// leaving is the part of used that evicted connections will give back.
	leaving Amount
	grants  []*Grant
	clients map[string]*client
	waiters []*waiter
	// searchAfter is the time before which no victims are looked for.
	searchAfter time.Duration

	counters counters
}

// client is one address or account whose connections are counted together.
type client struct {
	bytes  int64
	grants int
}

// Share adds a share to the budget. The sum of what is guaranteed must not exceed the
// limit.
func (b *Budget) Share(name string, guaranteed Amount) *Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &Share{Name: name, budget: b, guaranteed: guaranteed, clients: map[string]*client{}}
	b.shares = append(b.shares, s)
	return s
}

// Grant is what one connection holds of a share.
type Grant struct {
	share *Share
	// evict closes the connection. It is called once at most, without locks, and must not
	// block.
	evict func()

	phase atomic.Int32
	// progressAt is the time of the last change of the phase or of enough progress, on the
	// clock of the budget.
	progressAt atomic.Int64
	// seasoned is set once a request of the connection was served.
	seasoned atomic.Bool

	// The following are protected by budget.mu.
	held    Amount
	client  *client
	name    string // of the client
	index   int    // in share.grants
	evicted bool
	closed  bool
}

// waiter is a request for more that waits until evicted connections have left.
type waiter struct {
	grant *Grant
	need  Amount
	// done is closed once the request is granted, or its connection is closed.
	done chan struct{}
}

// Open returns a grant for a new connection of the named client that holds the given
// bytes. It waits for connections that it evicts. The caller must call Close.
func (s *Share) Open(client string, bytes int64, evict func()) (*Grant, error) {
	g := &Grant{share: s, evict: evict, name: client}
	g.progressAt.Store(int64(s.budget.clock()))
	if err := g.acquire(Amount{bytes, 1}); err != nil {
		s.counters.refusedConns.Add(1)
		return nil, err
	}
	return g, nil
}

// Add adds bytes to what the connection holds. It waits for connections that it evicts.
// After ErrExhausted the connection holds what it held before.
func (g *Grant) Add(bytes int64) error {
	if err := g.acquire(Amount{Bytes: bytes}); err != nil {
		g.share.counters.refusedRequests.Add(1)
		return err
	}
	return nil
}

// TryAdd adds bytes to what the connection holds if that is possible without a wait and without
// closing connections.
func (g *Grant) TryAdd(bytes int64) bool {
	b := g.share.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	need := Amount{Bytes: bytes}
	if g.evicted || g.closed || len(g.share.waiters) > 0 || !b.fits(g.share, g, need) {
		return false
	}
	g.grow(need)
	return true
}

// Release gives back bytes.
func (g *Grant) Release(bytes int64) { g.giveBack(Amount{Bytes: bytes}) }

// Close gives back all that the connection holds. Closing a grant again has no effect.
func (g *Grant) Close() {
	b := g.share.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.shrink(g.held)
	g.share.remove(g)
	b.wake()
}

// Held returns the bytes that the connection holds.
func (g *Grant) Held() int64 {
	b := g.share.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return g.held.Bytes
}

// acquire adds need to what g holds.
func (g *Grant) acquire(need Amount) error {
	s, b := g.share, g.share.budget
	b.mu.Lock()
	if g.evicted || g.closed {
		b.mu.Unlock()
		return ErrEvicted
	}
	if len(s.waiters) == 0 && b.fits(s, g, need) {
		g.grow(need)
		b.mu.Unlock()
		return nil
	}
	victims, ok := b.makeRoom(s, g, need)
	if !ok {
		b.mu.Unlock()
		return ErrExhausted
	}
	w := &waiter{grant: g, need: need, done: make(chan struct{})}
	s.waiters = append(s.waiters, w)
	before := g.phase.Swap(int32(Waiting))
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	s.counters.waits.Add(1)
	return g.wait(w, Phase(before))
}

// wait waits until w is granted.
func (g *Grant) wait(w *waiter, before Phase) error {
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
	s, b := g.share, g.share.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	g.progressAt.Store(int64(b.clock()))
	g.phase.CompareAndSwap(int32(Waiting), int32(before))
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		return ErrExhausted
	}
	if g.closed {
		return ErrEvicted
	}
	return nil
}

// wake grants what now fits to waiters, in their order. The caller holds mu.
func (b *Budget) wake() {
	for _, s := range b.shares {
		s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
			if !w.grant.closed {
				if !b.fits(s, w.grant, w.need) {
					return false
				}
				w.grant.grow(w.need)
			}
			close(w.done)
			return true
		})
	}
}

func (g *Grant) giveBack(a Amount) {
	b := g.share.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !g.closed {
		g.shrink(a)
		b.wake()
	}
}

// grow adds to what g holds. The caller holds mu.
func (g *Grant) grow(a Amount) {
	s := g.share
	if g.held == (Amount{}) {
		s.insert(g)
	}
	g.held, s.used = g.held.plus(a), s.used.plus(a)
	g.client.bytes += a.Bytes
}

// shrink subtracts from what g holds. The caller holds mu.
func (g *Grant) shrink(a Amount) {
	s := g.share
	g.held, s.used = g.held.minus(a), s.used.minus(a)
	if g.client != nil {
		g.client.bytes -= a.Bytes
	}
	if g.evicted {
		s.leaving = s.leaving.minus(a)
	}
}

func (s *Share) insert(g *Grant) {
	g.index = len(s.grants)
	s.grants = append(s.grants, g)
	if s.clients[g.name] == nil {
		s.clients[g.name] = &client{}
	}
	g.client = s.clients[g.name]
	g.client.grants++
}

func (s *Share) remove(g *Grant) {
	if g.client == nil {
		return // never granted
	}
	last := len(s.grants) - 1
	s.grants[g.index] = s.grants[last]
	s.grants[g.index].index = g.index
	s.grants[last] = nil
	s.grants = s.grants[:last]
	if g.client.grants--; g.client.grants == 0 {
		delete(s.clients, g.name)
	}
	g.client = nil
}

// available returns what s may still use. With leaving, what evicted connections will give
// back counts as free. The caller holds mu.
func (b *Budget) available(s *Share, leaving bool) Amount {
	a := b.limit
	for _, t := range b.shares {
		used := t.used
		if leaving {
			used = used.minus(t.leaving)
		}
		if t != s {
			used = used.max(t.guaranteed)
		}
		a = a.minus(used)
	}
	return a
}

// fits reports whether g may add need now. The caller holds mu.
func (b *Budget) fits(s *Share, g *Grant, need Amount) bool {
	return b.available(s, false).covers(need.plus(s.keptForSmall(g, need)))
}

// keptForSmall returns what has to be left to small grants if g adds need.
func (s *Share) keptForSmall(g *Grant, need Amount) Amount {
	if need.Bytes > 0 && g.held.Bytes+need.Bytes > largeBytes {
		return Amount{Bytes: s.guaranteed.Bytes / smallFraction}
	}
	return Amount{}
}
