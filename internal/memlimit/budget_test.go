package memlimit

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// newTestBudget returns a budget whose clock is now.
func newTestBudget(limit Amount, now *time.Duration) *Budget {
	b := NewBudget(limit)
	b.clock = func() time.Duration { return *now }
	return b
}

// model is a budget with the connections that use it. Evicted connections leave at once.
type model struct {
	budget *Budget
	shares []*Share
	now    time.Duration
	open   []*modelConn
	// closings counts the connections that were evicted.
	closings int
}

type modelConn struct {
	grant *Grant
	held  int64
	gone  bool
}

func (m *model) evict(c *modelConn) {
	m.closings++
	c.gone = true
	c.grant.Close()
}

// connect opens a connection of a client.
func (m *model) connect(s *Share, client string, bytes int64) (*modelConn, error) {
	c := &modelConn{held: bytes}
	var err error
	if c.grant, err = s.Open(client, bytes, func() { m.evict(c) }); err != nil {
		return nil, err
	}
	m.open = append(m.open, c)
	return c, nil
}

// alive drops the evicted connections and returns the others.
func (m *model) alive() []*modelConn {
	kept := m.open[:0]
	for _, c := range m.open {
		if !c.gone {
			kept = append(kept, c)
		}
	}
	m.open = kept
	return kept
}

// check fails the test if the budget is exceeded or does not match what the connections hold.
func (m *model) check(t *rapid.T) {
	sum := Amount{}
	for _, c := range m.alive() {
		sum = sum.plus(Amount{c.held, 1})
		if got := c.grant.Held(); got != c.held {
			t.Fatalf("a connection holds %d bytes, want %d", got, c.held)
		}
	}
	used := Amount{}
	for _, s := range m.shares {
		used = used.plus(s.used)
		if s.leaving != (Amount{}) || len(s.waiters) > 0 {
			t.Fatalf("share %s: %+v are leaving and %d wait although no connection is being closed", s.Name, s.leaving, len(s.waiters))
		}
		clients := int64(0)
		for _, c := range s.clients {
			clients += c.bytes
		}
		if clients != s.used.Bytes {
			t.Fatalf("share %s: its clients hold %d bytes, its connections %d", s.Name, clients, s.used.Bytes)
		}
	}
	if used != sum {
		t.Fatalf("%+v are in use, the connections hold %+v", used, sum)
	}
	if !m.budget.limit.covers(used) {
		t.Fatalf("%+v are in use, more than %+v", used, m.budget.limit)
	}
}

// TestBudget guards against a budget that is exceeded, that leaks or gives back twice, that
// closes connections that must not be closed, or more than are needed, and against a share that
// does not get what is guaranteed to it.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		limit := Amount{rapid.Int64Range(20*connBytes, 200*connBytes).Draw(t, "bytes"), rapid.IntRange(5, 60).Draw(t, "conns")}
		m.budget = newTestBudget(limit, &m.now)
		m.shares = []*Share{m.budget.ShareOf("clients", 0.6), m.budget.ShareOf("rpc", 0.2), m.budget.ShareOf("metrics", 0.1)}
		pick := func() *modelConn {
			alive := m.alive()
			if len(alive) == 0 {
				t.Skip("no connections")
			}
			return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "conn")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"connect": func(t *rapid.T) {
				s := m.shares[rapid.IntRange(0, 2).Draw(t, "share")]
				client := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client")
				before := m.closings
				free := m.budget.fits(s, &Grant{share: s}, Amount{connBytes, 1})
				_, err := m.connect(s, client, connBytes)
				if free && (err != nil || m.closings != before) {
					t.Fatalf("there is room, but err is %v and %d connections were closed", err, m.closings-before)
				}
				if err != nil && !errors.Is(err, ErrExhausted) {
					t.Fatal(err)
				}
				if err != nil && m.closings != before {
					t.Fatalf("refused, but %d connections were closed", m.closings-before)
				}
				// Each closed connection gives back connBytes at least.
				most := 1 + int((connBytes+s.guaranteed.Bytes/headroomFraction)/connBytes)
				for _, other := range m.shares {
					most = max(most, 1+int((connBytes+other.guaranteed.Bytes/headroomFraction)/connBytes))
				}
				if m.closings-before > most {
					t.Fatalf("%d connections were closed for one, want at most %d", m.closings-before, most)
				}
			},
			"add": func(t *rapid.T) {
				c := pick()
				n := rapid.Int64Range(1, 12*connBytes).Draw(t, "n")
				if err := c.grant.Add(n); err == nil {
					c.held += n
				} else if !errors.Is(err, ErrExhausted) {
					t.Fatal(err)
				}
				if c.gone {
					t.Fatal("a connection was closed for its own request")
				}
			},
			"release": func(t *rapid.T) {
				c := pick()
				n := rapid.Int64Range(0, c.held-connBytes).Draw(t, "n")
				c.held -= n
				c.grant.Release(n)
			},
			"phase": func(t *rapid.T) {
				c := pick()
				p := rapid.SampledFrom([]Phase{Idle, Header, Receiving, Running, Sending, Closing, Trusted}).Draw(t, "phase")
				if err := c.grant.SetPhase(p); err != nil {
					t.Fatal(err)
				}
				if p == Running {
					c.grant.seasoned.Store(true)
				}
			},
			"progress": func(t *rapid.T) { pick().grant.Progress() },
			"close": func(t *rapid.T) {
				c := pick()
				c.gone = true
				c.grant.Close()
				c.grant.Close()
			},
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			},
		})
		for _, c := range m.alive() {
			c.gone = true
			c.grant.Close()
		}
		m.check(t)
		for _, s := range m.shares {
			if s.used != (Amount{}) || len(s.grants) > 0 || len(s.clients) > 0 {
				t.Fatalf("share %s: %+v, %d connections and %d clients are left", s.Name, s.used, len(s.grants), len(s.clients))
			}
		}
	})
}

// TestOnlyStalledConnectionsAreClosed guards against closing connections whose request may have
// been passed on, that make progress, or that belong to the system.
func TestOnlyStalledConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		name     string
		phase    Phase
		seasoned bool
		without  time.Duration // time without progress
		closed   bool
	}{
		{"silent", Idle, false, silentTime, true},
		{"just opened", Idle, false, silentTime - 1, false},
		{"between requests", Idle, true, idleEvictTime, true},
		{"just answered", Idle, true, idleEvictTime - 1, false},
		{"header stalled", Header, false, headerTime, true},
		{"header arriving", Header, false, headerTime - 1, false},
		{"body stalled", Receiving, false, stallTime, true},
		{"body arriving", Receiving, false, stallTime - 1, false},
		{"running", Running, true, time.Hour, false},
		{"response not read", Sending, true, stallTime, true},
		{"response being read", Sending, true, stallTime - 1, false},
		{"waiting for memory", Waiting, false, time.Hour, false},
		{"refused", Closing, false, 0, true},
		{"of the system", Trusted, true, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &model{}
			m.budget = newTestBudget(Amount{connBytes, 1}, &m.now)
			s := m.budget.ShareOf("clients", 1)
			old, err := m.connect(s, "a", connBytes)
			if err != nil {
				t.Fatal(err)
			}
			old.grant.seasoned.Store(c.seasoned)
			if err := old.grant.SetPhase(c.phase); err != nil {
				t.Fatal(err)
			}
			m.now += c.without
			if _, err = m.connect(s, "b", connBytes); (err == nil) != c.closed || old.gone != c.closed {
				t.Errorf("the connection was closed: %v, the new one got %v; want closed %v", old.gone, err, c.closed)
			}
		})
	}
}

// TestOrderOfClosing guards against closing an honest connection before those that hold more
// and make less progress.
func TestOrderOfClosing(t *testing.T) {
	m := &model{}
	m.budget = newTestBudget(Amount{100 * connBytes, 100}, &m.now)
	s := m.budget.ShareOf("clients", 1)
	add := func(name, client string, phase Phase, bytes int64, seasoned bool) *Grant {
		t.Helper()
		c, err := m.connect(s, client, bytes)
		if err != nil {
			t.Fatal(err)
		}
		c.grant.seasoned.Store(seasoned)
		if err := c.grant.SetPhase(phase); err != nil {
			t.Fatal(err)
		}
		return c.grant
	}
	idle := add("idle", "a", Idle, connBytes, true)
	large := add("large body", "b", Receiving, 4*connBytes, false)
	small := add("small body", "c", Receiving, 2*connBytes, false)
	many := []*Grant{add("many 1", "d", Receiving, connBytes, false), add("many 2", "d", Receiving, 8*connBytes, false)}
	m.now += 5 * time.Second
	slow := add("slow", "e", Receiving, 4*connBytes, false)
	m.now += stallTime
	refusedConn := add("refused", "f", Closing, connBytes, false)
	want := []*Grant{refusedConn, many[1], large, small, many[0], slow, idle}
	got := s.victims(nil, m.now)
	if len(got) != len(want) {
		t.Fatalf("%d connections may be closed, want %d", len(got), len(want))
	}
	for i, v := range got {
		if v.grant != want[i] {
			t.Errorf("place %d: a connection of client %s with %d bytes, want one of %s with %d", i, v.grant.name, v.grant.held.Bytes, want[i].name, want[i].held.Bytes)
		}
	}
}

// TestDominantClientGoesFirst guards against one client that takes the memory from the others.
func TestDominantClientGoesFirst(t *testing.T) {
	m := &model{}
	m.budget = newTestBudget(Amount{10 * connBytes, 10}, &m.now)
	s := m.budget.ShareOf("clients", 1)
	other, err := m.connect(s, "other", 2*connBytes)
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		m.now += time.Millisecond
		if _, err := m.connect(s, "dominant", connBytes); err != nil {
			t.Fatal(err)
		}
	}
	m.now += time.Second
	if got := s.victims(nil, m.now); len(got) != 6 || got[5].grant != other.grant {
		t.Errorf("the connection of the other client is not the last of %d", len(got))
	}
}

// TestGuaranteeIsReclaimed guards against a listener without room because another one has
// borrowed what is guaranteed to it.
func TestGuaranteeIsReclaimed(t *testing.T) {
	m := &model{}
	m.budget = newTestBudget(Amount{100 * connBytes, 100}, &m.now)
	clients, readiness := m.budget.ShareOf("clients", 0.5), m.budget.ShareOf("readiness", 0.1)
	for {
		if _, err := m.connect(clients, "a", connBytes); err != nil {
			break
		}
	}
	if got := clients.used.Conns; got != 90 {
		t.Fatalf("clients use %d connections, want all 90 that are not guaranteed to others", got)
	}
	for i := range 10 {
		if _, err := m.connect(readiness, "b", connBytes); err != nil {
			t.Fatalf("connection %d of what is guaranteed: %v", i, err)
		}
	}
	// The eleventh is beyond the guarantee, so that it does not push out clients.
	if _, err := m.connect(readiness, "b", connBytes); !errors.Is(err, ErrExhausted) {
		t.Errorf("a connection beyond the guarantee: %v, want ErrExhausted", err)
	}
}

// TestSmallRequestsFindRoom guards against ordinary requests that find no room because large
// ones have taken all of it and all make progress.
func TestSmallRequestsFindRoom(t *testing.T) {
	m := &model{}
	m.budget = newTestBudget(Amount{400 * connBytes, 400}, &m.now)
	s := m.budget.ShareOf("clients", 1)
	for {
		c, err := m.connect(s, "a", connBytes)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.grant.SetPhase(Running); err != nil {
			t.Fatal(err)
		}
		if c.grant.Add(largeBytes) != nil {
			break
		}
	}
	if _, err := m.connect(s, "b", connBytes); err != nil {
		t.Errorf("a small request beside large ones: %v", err)
	}
}

// TestWaitForClosedConnections guards against memory that is granted before the connection that
// gave way has left, and against a wait that never ends.
func TestWaitForClosedConnections(t *testing.T) {
	now := time.Duration(0)
	b := newTestBudget(Amount{connBytes, 1}, &now)
	s := b.ShareOf("clients", 1)
	evicted := make(chan struct{})
	old, err := s.Open("a", connBytes, func() { close(evicted) })
	if err != nil {
		t.Fatal(err)
	}
	now += time.Second
	got := make(chan error, 1)
	open := func() {
		_, err := s.Open("b", connBytes, func() {})
		got <- err
	}
	go open()
	<-evicted
	if old.SetPhase(Running) == nil {
		t.Error("a connection that gives way may still pass on its request")
	}
	select {
	case err := <-got:
		t.Fatalf("granted before the other connection has left: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	old.Close()
	if err := <-got; err != nil {
		t.Errorf("after the other connection has left: %v", err)
	}
	// The new connection is not stalled yet.
	go open()
	if err := <-got; !errors.Is(err, ErrExhausted) {
		t.Errorf("without a connection that can give way: %v, want ErrExhausted", err)
	}
}

// TestWaitEnds guards against a request that waits for good for a connection that does not leave,
// and against memory that is lost when it gives up.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(Amount{connBytes, 1})
		s := b.ShareOf("clients", 1)
		old, err := s.Open("a", connBytes, func() {})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		started := time.Now()
		if _, err := s.Open("b", connBytes, func() {}); !errors.Is(err, ErrExhausted) || time.Since(started) != waitTimeout {
			t.Errorf("%v after %v, want ErrExhausted after %v", err, time.Since(started), waitTimeout)
		}
		old.Close()
		if len(s.waiters) > 0 || s.used != (Amount{}) || s.leaving != (Amount{}) {
			t.Errorf("%d wait, %+v in use, %+v leaving", len(s.waiters), s.used, s.leaving)
		}
		g, err := s.Open("c", connBytes, func() {})
		if err != nil {
			t.Fatal(err)
		}
		g.Close()
	})
}
