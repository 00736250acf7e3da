package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	settle = 3*time.Second + time.Second + maxRankDelay // expiry, poll and head start
	second = time.Second
)

// link is an entry's way to the table. A paused entry's calls wait, and are
// sent however late; a cut entry's calls fail.
type link struct {
	table platformclient.Table
	mu    sync.Mutex
	gate  chan struct{} // nil unless paused
	cut   bool
}

func (l *link) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate = make(chan struct{})
}

func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gate != nil {
		close(l.gate)
		l.gate = nil
	}
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) pass() error {
	l.mu.Lock()
	gate, cut := l.gate, l.cut
	l.mu.Unlock()
	if gate != nil {
		<-gate
	}
	if cut {
		return verdict.Refuse(verdict.CodePlatformUnavailable, "cut")
	}
	return nil
}

func (l *link) Get(ctx context.Context, key string) (platformclient.Row, error) {
	if err := l.pass(); err != nil {
		return platformclient.Row{}, err
	}
	return l.table.Get(context.WithoutCancel(ctx), key)
}

func (l *link) List(ctx context.Context, prefix, after string, limit int) ([]platformclient.Row, error) {
	if err := l.pass(); err != nil {
		return nil, err
	}
	return l.table.List(context.WithoutCancel(ctx), prefix, after, limit)
}

func (l *link) Commit(ctx context.Context, txn platformclient.Txn) (map[string]uint64, error) {
	if err := l.pass(); err != nil {
		return nil, err
	}
	return l.table.Commit(context.WithoutCancel(ctx), txn)
}

// cluster runs the Ownership of several entries against one stand-in.
type cluster struct {
	t       *testing.T
	server  *platformstub.Server
	links   []*link
	entries []*Ownership

	mu     sync.Mutex
	terms  map[string]string // "<domain>/<epoch>" to entry
	held   map[string]uint32 // "<entry>/<domain>" to epoch
	faults []string
	fences []platformclient.Check // of all terms, in the order of their beginnings
}

// newCluster starts n entries e0, e1, ... for the domains. It must be called in
// a synctest bubble; the returned function stops them.
func newCluster(t *testing.T, n int, change func(i int, o *OwnershipOptions), domains ...string) (*cluster, func()) {
	return newClusterOn(t, platformstub.New(platformstub.Options{}), n, change, domains...)
}

// newClusterOn is newCluster with a platform whose faults may be set already.
func newClusterOn(t *testing.T, server *platformstub.Server, n int, change func(i int, o *OwnershipOptions), domains ...string) (*cluster, func()) {
	c := &cluster{t: t, server: server, terms: map[string]string{}, held: map[string]uint32{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		l := &link{table: c.server.InProcess()}
		o := OwnershipOptions{
			Table:     l,
			Self:      structs.EntryInfo{ID: id, RPCAddr: id + ":1", Domains: domains},
			OnAcquire: func(t Term) { c.acquired(id, t) },
			OnLose:    func(domain string) { c.lost(id, domain) },
		}
		if change != nil {
			change(i, &o)
		}
		w := NewOwnership(o)
		c.links, c.entries = append(c.links, l), append(c.entries, w)
		wg.Go(func() { w.Run(ctx) })
	}
	return c, func() {
		for _, l := range c.links {
			l.resume()
		}
		cancel()
		wg.Wait()
		c.server.Wait()
		for _, fault := range c.faults {
			t.Error(fault)
		}
	}
}

func (c *cluster) acquired(entry string, t Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	domain, epoch := t.Domain, t.Epoch
	c.fences = append(c.fences, t.Fence)
	term := fmt.Sprintf("%s/%d", domain, epoch)
	if other, ok := c.terms[term]; ok {
		c.faults = append(c.faults, fmt.Sprintf("epoch %s was acquired by %s and by %s", term, other, entry))
	}
	if c.held[entry+"/"+domain] != 0 {
		c.faults = append(c.faults, entry+" acquired a domain that it holds")
	}
	c.terms[term], c.held[entry+"/"+domain] = entry, epoch
}

func (c *cluster) lost(entry, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[entry+"/"+domain] == 0 {
		c.faults = append(c.faults, entry+" lost a domain that it does not hold")
	}
	delete(c.held, entry+"/"+domain)
}

// holders returns the entries that hold the domain and the highest epoch.
func (c *cluster) holders(domain string) (holders []int, epoch uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.entries {
		if e := c.held[fmt.Sprintf("e%d/%s", i, domain)]; e != 0 {
			holders, epoch = append(holders, i), max(epoch, e)
		}
	}
	return holders, epoch
}

// checkHistory fails if the row of a domain ever goes back to a lower epoch, or
// changes its holder within one.
func (c *cluster) checkHistory() {
	last := map[string]structs.Owner{}
	for _, r := range c.server.History() {
		for _, p := range r.Puts {
			var o structs.Owner
			if err := json.Unmarshal(p.Value, &o); err != nil {
				c.t.Fatal(err)
			}
			before := last[p.Key]
			if o.Epoch < before.Epoch || o.Epoch == before.Epoch && o.EntryID != before.EntryID && o.EntryID != "" {
				c.t.Errorf("row %s: %+v after %+v", p.Key, o, before)
			}
			last[p.Key] = o
		}
	}
}

// Guards against two owners with one epoch when candidates race, and against a
// paused owner that goes on, or writes the row, after it was taken over.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(t, 3, nil, "muscat")
		defer stop()
		time.Sleep(settle)
		first, epoch := c.holders("muscat")
		if len(first) != 1 || epoch != 1 {
			t.Fatalf("holders %v, epoch %d", first, epoch)
		}
		for round := uint32(2); round < 6; round++ {
			paused, _ := c.holders("muscat")
			// Both candidates read the row before either writes it.
			setFaults(t, c.server, platformstub.Faults{SlowMS: 50})
			c.links[paused[0]].pause()
			time.Sleep(settle)
			if now, epoch := c.holders("muscat"); len(now) != 2 || epoch != round {
				t.Fatalf("paused %v: holders %v, epoch %d", paused, now, epoch)
			}
			c.links[paused[0]].resume()
			time.Sleep(2 * second)
			if now, epoch := c.holders("muscat"); len(now) != 1 || now[0] == paused[0] || epoch != round {
				t.Fatalf("resumed %v: holders %v, epoch %d", paused, now, epoch)
			}
		}
		c.checkHistory()
		if c.server.Counters().Conflicts == 0 {
			t.Error("no race took place")
		}
	})
}

func setFaults(t *testing.T, s *platformstub.Server, f platformstub.Faults) {
	t.Helper()
	if err := s.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// Guards against terms that overlap or stay without an owner when answers of
// takeovers, renewals and releases are lost, or take effect late.
func TestLostAnswers(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c, stop := newCluster(t, 3, nil, "muscat", "sohar")
			defer stop()
			setFaults(t, c.server, platformstub.Faults{LoseAnswers: 0.3, LateWrites: 0.25, LateMS: 4000, SlowMS: 10, Seed: seed})
			random := rand.New(rand.NewPCG(seed, 1))
			for range 30 {
				i := random.IntN(3)
				switch random.IntN(3) {
				case 0:
					c.links[i].pause()
					time.Sleep(rand.N(8 * second))
					c.links[i].resume()
				case 1:
					ctx, cancel := context.WithTimeout(t.Context(), 2*second)
					// A release that fails is the case of a holder that dies.
					_ = c.entries[i].Release(ctx, "muscat")
					cancel()
				case 2:
					c.links[i].setCut(true)
					time.Sleep(rand.N(8 * second))
					c.links[i].setCut(false)
				}
				time.Sleep(rand.N(3 * second))
			}
			setFaults(t, c.server, platformstub.Faults{})
			time.Sleep(releaseHold + settle)
			for _, domain := range []string{"muscat", "sohar"} {
				if h, _ := c.holders(domain); len(h) != 1 {
					t.Errorf("seed %d: holders of %s: %v", seed, domain, h)
				}
			}
			c.checkHistory()
			counters := c.server.Counters()
			if counters.FaultLost == 0 || counters.FaultLate == 0 || len(c.terms) < 5 {
				t.Errorf("seed %d: counters %+v, %d terms", seed, counters, len(c.terms))
			}
		})
	}
}

// Guards against a takeover whose answer was lost and that leaves the domain
// without an owner until the row expires: the read-back must find it at once.
func TestTakeoverWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platformstub.New(platformstub.Options{})
		setFaults(t, server, platformstub.Faults{LoseAnswers: 1, SlowMS: 10})
		c, stop := newClusterOn(t, server, 1, nil, "muscat")
		defer stop()
		time.Sleep(500 * time.Millisecond)
		if h, epoch := c.holders("muscat"); len(h) != 1 || epoch != 1 || c.server.Counters().FaultLost != 1 {
			t.Errorf("holders %v, epoch %d, counters %+v", h, epoch, c.server.Counters())
		}
		time.Sleep(30 * second)
		if h, epoch := c.holders("muscat"); len(h) != 1 || epoch != 1 {
			t.Errorf("lost renewals: holders %v, epoch %d", h, epoch)
		}
	})
}

// Guards against an owner that writes rows after the next one has read them, and
// against an owner whose writes are all refused after a lost answer.
func TestFenceOfTerm(t *testing.T) {
	for _, lost := range []float64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			server := platformstub.New(platformstub.Options{})
			setFaults(t, server, platformstub.Faults{LoseAnswers: lost})
			c, stop := newClusterOn(t, server, 2, nil, "muscat")
			defer stop()
			table := server.InProcess()
			for term := 1; term <= 3; term++ {
				time.Sleep(settle)
				c.mu.Lock()
				fences := slices.Clone(c.fences)
				c.mu.Unlock()
				if len(fences) != term {
					t.Fatalf("%d terms, want %d", len(fences), term)
				}
				setFaults(t, server, platformstub.Faults{})
				for i, fence := range fences {
					_, err := table.Commit(t.Context(), platformclient.Txn{Checks: []platformclient.Check{fence}, Puts: []platformclient.Put{{Key: "jobs/x"}}})
					if valid := err == nil; valid != (i == term-1) {
						t.Errorf("lost %g, term %d: write with the fence of term %d: %v", lost, term, i+1, err)
					}
				}
				setFaults(t, server, platformstub.Faults{LoseAnswers: lost})
				holder, _ := c.holders("muscat")
				c.links[holder[0]].pause()
				time.Sleep(settle)
				c.links[holder[0]].resume()
				time.Sleep(settle)
			}
		})
	}
}

// Guards against an outage that ends an ownership, or that lets a candidate
// take over although nobody could renew.
func TestOutageKeepsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(t, 3, nil, "muscat")
		defer stop()
		time.Sleep(settle)
		before, _ := c.holders("muscat")
		for i := range 20 {
			mode := []string{platformstub.OutageRefuse, platformstub.OutageReset}[i%2]
			setFaults(t, c.server, platformstub.Faults{TableDown: true, Outage: mode})
			c.links[before[0]].setCut(true)
			// It ends at different times between two renewals.
			time.Sleep(time.Minute + time.Duration(i)*130*time.Millisecond)
			setFaults(t, c.server, platformstub.Faults{})
			// The holder's circuit breaker may be open for a second, and the
			// candidates' closed.
			time.Sleep(1500 * time.Millisecond)
			c.links[before[0]].setCut(false)
			time.Sleep(settle)
			if h, epoch := c.holders("muscat"); len(h) != 1 || h[0] != before[0] || epoch != 1 {
				t.Errorf("%s: holders %v, epoch %d", mode, h, epoch)
			}
		}
		if o, ok := c.entries[(before[0]+1)%3].Owner("muscat"); !ok || o.EntryID != fmt.Sprintf("e%d", before[0]) {
			t.Errorf("owner %+v, %v", o, ok)
		}
		// Only the holder is cut off: it goes on until it learns of a higher epoch.
		c.links[before[0]].setCut(true)
		time.Sleep(settle)
		if h, epoch := c.holders("muscat"); len(h) != 2 || epoch != 2 {
			t.Errorf("cut: holders %v, epoch %d", h, epoch)
		}
		c.entries[before[0]].NoticeEpoch("muscat", 2)
		if h, _ := c.holders("muscat"); len(h) != 1 || h[0] == before[0] {
			t.Errorf("after the notice: holders %v", h)
		}
	})
}

// Guards against a released row that waits for expiry, and against a term that
// repeats an epoch: fencing tokens start anew with each term.
func TestReleaseAndNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(t, 2, nil, "muscat")
		defer stop()
		time.Sleep(settle)
		before, _ := c.holders("muscat")
		if err := c.entries[before[0]].Release(t.Context(), "muscat"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(second + maxRankDelay)
		now, epoch := c.holders("muscat")
		if len(now) != 1 || now[0] == before[0] || epoch != 2 {
			t.Fatalf("released by %v: holders %v, epoch %d", before, now, epoch)
		}
		// A table that lost its newest rows: agents know a higher epoch.
		c.entries[now[0]].NoticeEpoch("muscat", 9)
		time.Sleep(settle)
		if h, epoch := c.holders("muscat"); len(h) != 1 || epoch != 10 {
			t.Errorf("holders %v, epoch %d", h, epoch)
		}
		o, ok := c.entries[0].Owner("muscat")
		if !ok || o.Epoch != 10 {
			t.Errorf("owner %+v, %v", o, ok)
		}
		if _, ok := c.entries[0].Owner("elsewhere"); ok {
			t.Error("owner of a domain without one")
		}
	})
}

// Guards against a process that takes the row of an earlier process with the
// same ID, whose clock was ahead, for its own: both would hold one epoch.
func TestSameIDAndClockSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(t, 1, func(_ int, o *OwnershipOptions) {
			for _, domain := range []string{"muscat", "elsewhere"} {
				row := fmt.Sprintf(`{"domain":%q,"entryID":"e0","epoch":5,"renewal":%d}`, domain, time.Now().Add(time.Hour).UnixNano())
				txn := platformclient.Txn{Puts: []platformclient.Put{{Key: ownerPrefix + domain, Value: []byte(row)}}}
				if _, err := o.Table.Commit(t.Context(), txn); err != nil {
					t.Fatal(err)
				}
			}
		}, "muscat")
		defer stop()
		time.Sleep(2 * second)
		if h, _ := c.holders("muscat"); len(h) != 0 {
			t.Errorf("before expiry: holders %v", h)
		}
		time.Sleep(settle)
		if h, epoch := c.holders("muscat"); len(h) != 1 || epoch != 6 {
			t.Errorf("holders %v, epoch %d", h, epoch)
		}
		if o, ok := c.entries[0].Owner("elsewhere"); !ok || o.Epoch != 5 {
			t.Errorf("owner of a domain that is only watched: %+v, %v", o, ok)
		}
	})
}

// Guards against one entry that takes all domains, and against one of another
// zone that takes a domain before the entry of its own.
func TestPreferences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		domains := []string{"a", "b", "c"}
		var set []structs.EntryInfo
		for i, zone := range domains {
			set = append(set, structs.EntryInfo{ID: fmt.Sprintf("e%d", i), RPCAddr: "x", Zone: zone, Domains: domains})
		}
		c, stop := newCluster(t, 3, func(i int, o *OwnershipOptions) {
			o.Self = set[i]
			o.Entries = func() []structs.EntryInfo { return set }
			o.Zones = func(domain string) []string { return []string{domain} }
		}, domains...)
		defer stop()
		time.Sleep(settle)
		for i, domain := range domains {
			if h, _ := c.holders(domain); len(h) != 1 || h[0] != i {
				t.Errorf("domain %s: holders %v", domain, h)
			}
		}
	})
	synctest.Test(t, func(t *testing.T) {
		var set []structs.EntryInfo
		domains := []string{"a", "b", "c", "d"}
		for i := range 4 {
			set = append(set, structs.EntryInfo{ID: fmt.Sprintf("e%d", i), RPCAddr: "x", Domains: domains})
		}
		c, stop := newCluster(t, 4, func(i int, o *OwnershipOptions) {
			o.Self = set[i]
			o.Entries = func() []structs.EntryInfo { return set }
		}, domains...)
		defer stop()
		time.Sleep(2 * settle)
		for i, w := range c.entries {
			if n := len(w.Held()); n > 2 {
				t.Errorf("e%d holds %d of 4 domains", i, n)
			}
		}
	})
}
