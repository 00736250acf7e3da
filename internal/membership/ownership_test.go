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
	takeoverTime = 3*time.Second + time.Second + maxTakeoverDelay // expiry, polling interval and the delay for preferred candidates
	second       = time.Second
)

// faultyTable is an entry's access to the table. While it is paused, calls wait and
// are sent after resume, however late; while it is disconnected, calls fail.
type faultyTable struct {
	table        platformclient.Table
	mu           sync.Mutex
	resumed      chan struct{} // nil unless paused
	disconnected bool
}

func (f *faultyTable) pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumed = make(chan struct{})
}

func (f *faultyTable) resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumed != nil {
		close(f.resumed)
		f.resumed = nil
	}
}

func (f *faultyTable) setDisconnected(disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected = disconnected
}

// waitOrFail waits while the table is paused, and returns an error if it is disconnected.
func (f *faultyTable) waitOrFail() error {
	f.mu.Lock()
	resumed, disconnected := f.resumed, f.disconnected
	f.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	if disconnected {
		return verdict.Refuse(verdict.CodePlatformUnavailable, "disconnected")
	}
	return nil
}

func (f *faultyTable) Get(ctx context.Context, key string) (platformclient.Row, error) {
	if err := f.waitOrFail(); err != nil {
		return platformclient.Row{}, err
	}
	return f.table.Get(context.WithoutCancel(ctx), key)
}

func (f *faultyTable) List(ctx context.Context, prefix, after string, limit int) ([]platformclient.Row, error) {
	if err := f.waitOrFail(); err != nil {
		return nil, err
	}
	return f.table.List(context.WithoutCancel(ctx), prefix, after, limit)
}

func (f *faultyTable) Commit(ctx context.Context, txn platformclient.Txn) (map[string]uint64, error) {
	if err := f.waitOrFail(); err != nil {
		return nil, err
	}
	return f.table.Commit(context.WithoutCancel(ctx), txn)
}

// cluster runs the Ownership of several entries against one platform stub, and
// records violations of the ownership rules.
type cluster struct {
	t       *testing.T
	server  *platformstub.Server
	tables  []*faultyTable
	entries []*Ownership

	mu         sync.Mutex
	terms      map[string]string // "<domain>/<epoch>" to entry
	owned      map[string]uint32 // "<entry>/<domain>" to epoch
	violations []string
	fences     []platformclient.Check // of all terms, in the order in which they began
}

// newCluster starts n entries e0, e1, ... for the domains. It must be called in
// a synctest bubble; the returned function stops them.
func newCluster(t *testing.T, n int, change func(i int, o *OwnershipOptions), domains ...string) (*cluster, func()) {
	return newClusterWithServer(t, platformstub.New(platformstub.Options{}), n, change, domains...)
}

// newClusterWithServer is newCluster with an existing platform stub, which may
// already have faults set.
func newClusterWithServer(t *testing.T, server *platformstub.Server, n int, change func(i int, o *OwnershipOptions), domains ...string) (*cluster, func()) {
	c := &cluster{t: t, server: server, terms: map[string]string{}, owned: map[string]uint32{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		f := &faultyTable{table: c.server.InProcess()}
		o := OwnershipOptions{
			Table:     f,
			Self:      structs.EntryInfo{ID: id, RPCAddr: id + ":1", Domains: domains},
			OnAcquire: func(t Term) { c.acquired(id, t) },
			OnLose:    func(domain string) { c.lost(id, domain) },
		}
		if change != nil {
			change(i, &o)
		}
		w := NewOwnership(o)
		c.tables, c.entries = append(c.tables, f), append(c.entries, w)
		wg.Go(func() { w.Run(ctx) })
	}
	return c, func() {
		for _, f := range c.tables {
			f.resume()
		}
		cancel()
		wg.Wait()
		c.server.WaitForLateWrites()
		for _, violation := range c.violations {
			t.Error(violation)
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
		c.violations = append(c.violations, fmt.Sprintf("epoch %s was acquired by %s and by %s", term, other, entry))
	}
	if c.owned[entry+"/"+domain] != 0 {
		c.violations = append(c.violations, entry+" acquired a domain that it owns")
	}
	c.terms[term], c.owned[entry+"/"+domain] = entry, epoch
}

func (c *cluster) lost(entry, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owned[entry+"/"+domain] == 0 {
		c.violations = append(c.violations, entry+" lost a domain that it does not own")
	}
	delete(c.owned, entry+"/"+domain)
}

// owners returns the entries that own the domain and the highest epoch.
func (c *cluster) owners(domain string) (owners []int, epoch uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.entries {
		if e := c.owned[fmt.Sprintf("e%d/%s", i, domain)]; e != 0 {
			owners, epoch = append(owners, i), max(epoch, e)
		}
	}
	return owners, epoch
}

// checkHistory fails if a row ever changes to a lower epoch, or changes its owner
// within an epoch.
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

// Guards against two owners with the same epoch when candidates race, and against a
// paused owner that remains owner, or writes the row, after another entry took over.
func TestPausedOwnerStopsAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(t, 3, nil, "muscat")
		defer stop()
		time.Sleep(takeoverTime)
		first, epoch := c.owners("muscat")
		if len(first) != 1 || epoch != 1 {
			t.Fatalf("owners %v, epoch %d", first, epoch)
		}
		for round := uint32(2); round < 6; round++ {
			paused, _ := c.owners("muscat")
			// Both candidates read the row before either writes it.
			setFaults(t, c.server, platformstub.Faults{SlowMS: 50})
			c.tables[paused[0]].pause()
			time.Sleep(takeoverTime)
			if current, epoch := c.owners("muscat"); len(current) != 2 || epoch != round {
				t.Fatalf("paused %v: owners %v, epoch %d", paused, current, epoch)
			}
			c.tables[paused[0]].resume()
			time.Sleep(2 * second)
			if current, epoch := c.owners("muscat"); len(current) != 1 || current[0] == paused[0] || epoch != round {
				t.Fatalf("resumed %v: owners %v, epoch %d", paused, current, epoch)
			}
		}
		c.checkHistory()
		if c.server.Counters().Conflicts == 0 {
			t.Error("the candidates never raced: no conflicts")
		}
	})
}

func setFaults(t *testing.T, s *platformstub.Server, f platformstub.Faults) {
	t.Helper()
	if err := s.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// Guards against overlapping terms, and against domains left without an owner, when
// answers to takeovers, renewals and releases are lost or writes take effect late.
func TestOneOwnerDespiteLostAnswers(t *testing.T) {
	const seeds = 20
	terms := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			c, stop := newCluster(t, 3, nil, "muscat", "sohar")
			defer stop()
			setFaults(t, c.server, platformstub.Faults{LoseAnswers: 0.3, LateWrites: 0.25, LateMS: 4000, SlowMS: 10, Seed: seed})
			random := rand.New(rand.NewPCG(seed, 1))
			for range 30 {
				i := random.IntN(3)
				switch random.IntN(3) {
				case 0:
					c.tables[i].pause()
					time.Sleep(rand.N(8 * second))
					c.tables[i].resume()
				case 1:
					ctx, cancel := context.WithTimeout(t.Context(), 2*second)
					// A failed release is equivalent to an owner that crashes.
					_ = c.entries[i].Release(ctx, "muscat")
					cancel()
				case 2:
					c.tables[i].setDisconnected(true)
					time.Sleep(rand.N(8 * second))
					c.tables[i].setDisconnected(false)
				}
				time.Sleep(rand.N(3 * second))
			}
			setFaults(t, c.server, platformstub.Faults{})
			time.Sleep(releaseCooldown + takeoverTime)
			for _, domain := range []string{"muscat", "sohar"} {
				if owners, _ := c.owners(domain); len(owners) != 1 {
					t.Errorf("seed %d: owners of %s: %v", seed, domain, owners)
				}
			}
			c.checkHistory()
			counters := c.server.Counters()
			if counters.FaultLost == 0 || counters.FaultLate == 0 {
				t.Errorf("seed %d: counters %+v, %d terms", seed, counters, len(c.terms))
			}
			terms += len(c.terms)
		})
	}
	if terms < 5*seeds {
		t.Errorf("%d terms in %d seeds, want 5 each on average", terms, seeds)
	}
}

// Guards against a takeover with a lost answer that leaves the domain without an
// owner until the row expires: the read-back must complete the takeover at once.
func TestTakeoverWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platformstub.New(platformstub.Options{})
		setFaults(t, server, platformstub.Faults{LoseAnswers: 1, SlowMS: 10})
		c, stop := newClusterWithServer(t, server, 1, nil, "muscat")
		defer stop()
		time.Sleep(500 * time.Millisecond)
		if owners, epoch := c.owners("muscat"); len(owners) != 1 || epoch != 1 || c.server.Counters().FaultLost != 1 {
			t.Errorf("owners %v, epoch %d, counters %+v", owners, epoch, c.server.Counters())
		}
		time.Sleep(30 * second)
		if owners, epoch := c.owners("muscat"); len(owners) != 1 || epoch != 1 {
			t.Errorf("lost renewals: owners %v, epoch %d", owners, epoch)
		}
	})
}

// Guards against an owner that writes rows after the next owner has read them, and
// against an owner with a wrong Term.Fence, whose writes are all rejected, after the
// answer to its takeover was lost.
func TestFenceBlocksFormerOwner(t *testing.T) {
	for _, lost := range []float64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			server := platformstub.New(platformstub.Options{})
			setFaults(t, server, platformstub.Faults{LoseAnswers: lost})
			c, stop := newClusterWithServer(t, server, 2, nil, "muscat")
			defer stop()
			table := server.InProcess()
			for term := 1; term <= 3; term++ {
				time.Sleep(takeoverTime)
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
						t.Errorf("lost answers %g, term %d: write with the fence of term %d: %v", lost, term, i+1, err)
					}
				}
				setFaults(t, server, platformstub.Faults{LoseAnswers: lost})
				owner, _ := c.owners("muscat")
				c.tables[owner[0]].pause()
				time.Sleep(takeoverTime)
				c.tables[owner[0]].resume()
				time.Sleep(takeoverTime)
			}
		})
	}
}

// Guards against an outage of the table that ends an ownership, and against a
// takeover after an outage in which the owner could not renew.
func TestOutageKeepsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(t, 3, nil, "muscat")
		defer stop()
		time.Sleep(takeoverTime)
		before, _ := c.owners("muscat")
		for i := range 20 {
			mode := []string{platformstub.OutageRefuse, platformstub.OutageReset}[i%2]
			setFaults(t, c.server, platformstub.Faults{TableDown: true, Outage: mode})
			c.tables[before[0]].setDisconnected(true)
			// Each outage ends at a different time between two renewals.
			time.Sleep(time.Minute + time.Duration(i)*130*time.Millisecond)
			setFaults(t, c.server, platformstub.Faults{})
			// The owner's circuit breaker may stay open for a second while those of
			// the candidates are closed.
			time.Sleep(1500 * time.Millisecond)
			c.tables[before[0]].setDisconnected(false)
			time.Sleep(takeoverTime)
			if owners, epoch := c.owners("muscat"); len(owners) != 1 || owners[0] != before[0] || epoch != 1 {
				t.Errorf("%s: owners %v, epoch %d", mode, owners, epoch)
			}
		}
		if o, ok := c.entries[(before[0]+1)%3].Owner("muscat"); !ok || o.EntryID != fmt.Sprintf("e%d", before[0]) {
			t.Errorf("owner %+v, %v", o, ok)
		}
		// If only the owner is disconnected, it stays owner until it learns of a
		// higher epoch.
		c.tables[before[0]].setDisconnected(true)
		time.Sleep(takeoverTime)
		if owners, epoch := c.owners("muscat"); len(owners) != 2 || epoch != 2 {
			t.Errorf("disconnected: owners %v, epoch %d", owners, epoch)
		}
		c.entries[before[0]].NoticeEpoch("muscat", 2)
		if owners, _ := c.owners("muscat"); len(owners) != 1 || owners[0] == before[0] {
			t.Errorf("after the notice: owners %v", owners)
		}
	})
}

// Guards against a released row that is only taken after it expires, and against a
// term that reuses an epoch: fencing tokens restart with each term.
func TestReleaseIsImmediateAndEpochsGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(t, 2, nil, "muscat")
		defer stop()
		time.Sleep(takeoverTime)
		before, _ := c.owners("muscat")
		if err := c.entries[before[0]].Release(t.Context(), "muscat"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(second + maxTakeoverDelay)
		current, epoch := c.owners("muscat")
		if len(current) != 1 || current[0] == before[0] || epoch != 2 {
			t.Fatalf("released by %v: owners %v, epoch %d", before, current, epoch)
		}
		// If the table lost its newest rows, agents know a higher epoch.
		c.entries[current[0]].NoticeEpoch("muscat", 9)
		time.Sleep(takeoverTime)
		if owners, epoch := c.owners("muscat"); len(owners) != 1 || epoch != 10 {
			t.Errorf("owners %v, epoch %d", owners, epoch)
		}
		o, ok := c.entries[0].Owner("muscat")
		if !ok || o.Epoch != 10 {
			t.Errorf("owner %+v, %v", o, ok)
		}
		if _, ok := c.entries[0].Owner("elsewhere"); ok {
			t.Error("an owner was returned for a domain that has none")
		}
	})
}

// Guards against a process that mistakes the row of an earlier process with the same
// ID, whose clock was ahead, for its own: both would use the same epoch.
func TestRowOfEarlierProcessWithSameID(t *testing.T) {
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
		if owners, _ := c.owners("muscat"); len(owners) != 0 {
			t.Errorf("before expiry: owners %v", owners)
		}
		time.Sleep(takeoverTime)
		if owners, epoch := c.owners("muscat"); len(owners) != 1 || epoch != 6 {
			t.Errorf("owners %v, epoch %d", owners, epoch)
		}
		if o, ok := c.entries[0].Owner("elsewhere"); !ok || o.Epoch != 5 {
			t.Errorf("owner of a domain outside Self.Domains: %+v, %v", o, ok)
		}
	})
}

// Guards against one entry that takes all domains, and against an entry of another
// zone that takes a domain before an entry of the domain's zone.
func TestTakeoverPreferences(t *testing.T) {
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
		time.Sleep(takeoverTime)
		for i, domain := range domains {
			if owners, _ := c.owners(domain); len(owners) != 1 || owners[0] != i {
				t.Errorf("domain %s: owners %v", domain, owners)
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
		time.Sleep(2 * takeoverTime)
		for i, w := range c.entries {
			if n := len(w.OwnedDomains()); n > 2 {
				t.Errorf("e%d owns %d of 4 domains", i, n)
			}
		}
	})
}
