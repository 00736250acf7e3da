package election

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
)

const table = "t"

// candidate is an entry that takes part in a test's election.
type candidate struct {
	*Elector
	terms, losses atomic.Int64
	cancel        context.CancelFunc
}

// testGroup is a set of candidates that share a stub store.
type testGroup struct {
	table     *rowstorestub.Table
	startTime time.Time
	mu        sync.Mutex
	joined    []*candidate
	gone      sync.Map // addresses for which ProcessGone reports true
}

// withCandidates runs f in a synctest bubble with n candidates, after an election.
func withCandidates(t *testing.T, n int, f func(ctx context.Context, g *testGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := &testGroup{table: rowstorestub.New(), startTime: time.Now()}
		for i := range n {
			g.join(ctx, fmt.Sprintf("e%d", i))
		}
		time.Sleep(time.Second)
		f(ctx, g)
		cancel()
		synctest.Wait()
	})
}

// join starts a candidate.
func (g *testGroup) join(ctx context.Context, id string, edit ...func(*Options)) *candidate {
	ctx, cancel := context.WithCancel(ctx)
	c := &candidate{cancel: cancel}
	store := g.table.ClientFor(id)
	m := rowstore.NewMirror(store, table, eventlog.Discard(), func(changed []rowstore.Row) {
		for _, r := range changed {
			if r.Key == RowKey {
				c.Observe(r)
			}
		}
	})
	options := Options{
		Store: store, Mirror: m, Table: table, Log: eventlog.Discard(), Clock: func() time.Duration { return time.Since(g.startTime) },
		Self: Holder{ID: id, Addr: id, Incarnation: time.Now().UnixNano()},
		ProcessGone: func(_ context.Context, addr string) bool {
			_, gone := g.gone.Load(addr)
			return gone
		},
		Confirm: func(_ context.Context, epoch uint64) bool {
			agreed := true
			for _, other := range g.candidates() {
				if other != c {
					agreed = other.PromiseNotToTakeOver(epoch) && agreed
				}
			}
			return agreed
		},
		OnAcquire: func(Term) { c.terms.Add(1) }, OnLose: func(string) { c.losses.Add(1) },
	}
	for _, f := range edit {
		f(&options)
	}
	c.Elector = New(options)
	g.mu.Lock()
	g.joined = append(g.joined, c)
	g.mu.Unlock()
	go m.Run(ctx)
	go c.Run(ctx)
	return c
}

func (g *testGroup) candidates() []*candidate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.joined)
}

// owner returns the candidate with authority, or nil if there is none. The test
// fails if there are several.
func (g *testGroup) owner(t *testing.T) *candidate {
	t.Helper()
	var owner *candidate
	for _, c := range g.candidates() {
		if c.HasAuthority() {
			if owner != nil {
				t.Fatal("two entries have authority at the same time")
			}
			owner = c
		}
	}
	return owner
}

// Guards against two owners at any moment, and against a deployment that stays
// without an owner, when the owner stops without a release.
func TestTakeoverAfterExpiry(t *testing.T) {
	withCandidates(t, 3, func(_ context.Context, g *testGroup) {
		first := g.owner(t)
		if first == nil {
			t.Fatal("no owner within 1 s")
		}
		time.Sleep(20 * time.Second)
		if g.owner(t) != first {
			t.Fatal("the owner changed without a fault")
		}
		first.cancel()
		lost := time.Now()
		for time.Since(lost) < 10*time.Second {
			if o := g.owner(t); o != nil && o != first {
				if d := time.Since(lost); d > Expiry+RenewInterval+time.Second {
					t.Errorf("takeover after %v", d)
				}
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal("no takeover within 10 s")
	})
}

// A candidate must not wait for Expiry when it is certain that the owner's process
// no longer exists.
func TestTakeoverOfDeadProcessIsImmediate(t *testing.T) {
	withCandidates(t, 2, func(_ context.Context, g *testGroup) {
		first := g.owner(t)
		first.cancel()
		g.gone.Store(first.options.Self.Addr, true)
		time.Sleep(probeDelay + 3*stepInterval + RenewInterval)
		if o := g.owner(t); o == nil || o == first {
			t.Error("no takeover soon after the process was gone")
		}
	})
}

// Guards against an owner that loses its authority, and against two owners, while no
// entry can reach the store.
func TestOwnerKeepsAuthorityDuringOutage(t *testing.T) {
	for name, f := range map[string]rowstorestub.Faults{"down": {Down: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			withCandidates(t, 3, func(_ context.Context, g *testGroup) {
				first := g.owner(t)
				g.table.SetFaults(f)
				ownerless := time.Duration(0)
				for range 1000 {
					time.Sleep(10 * time.Millisecond)
					if g.owner(t) == nil {
						ownerless += 10 * time.Millisecond
					}
				}
				if ownerless > time.Second {
					t.Errorf("without authority for %v of a 10 s outage", ownerless)
				}
				g.table.SetFaults(rowstorestub.Faults{})
				time.Sleep(5 * time.Second)
				if g.owner(t) != first || first.terms.Load() != 1 {
					t.Error("the owner changed because of an outage")
				}
			})
		})
	}
}

// Guards against an owner that continues with outdated data when the store refuses
// only its calls.
func TestOwnerRefusedByStoreIsReplaced(t *testing.T) {
	withCandidates(t, 3, func(_ context.Context, g *testGroup) {
		first := g.owner(t)
		g.table.SetFaults(rowstorestub.Faults{RefusedProcesses: map[string]bool{first.options.Self.ID: true}})
		time.Sleep(Expiry + 2*time.Second)
		if o := g.owner(t); o == nil || o == first {
			t.Fatal("an owner that the store refuses was not replaced")
		}
		g.table.SetFaults(rowstorestub.Faults{})
		time.Sleep(2 * time.Second)
		if first.losses.Load() != 1 {
			t.Errorf("the former owner noticed its loss %d times", first.losses.Load())
		}
	})
}

// The epoch must increase with each change of owner, also when answers of the store
// are lost.
func TestEpochsIncreaseDespiteLostAnswers(t *testing.T) {
	withCandidates(t, 2, func(ctx context.Context, g *testGroup) {
		last := uint64(0)
		for i := range 6 {
			g.table.SetFaults(rowstorestub.Faults{LoseEveryNth: 2, LateWriteDelay: 300 * time.Millisecond})
			time.Sleep(3 * time.Second)
			g.table.SetFaults(rowstorestub.Faults{})
			time.Sleep(4 * time.Second)
			o := g.owner(t)
			if o == nil {
				t.Fatal("no owner")
			}
			h, _ := o.Owner()
			if h.Epoch < last {
				t.Fatalf("epoch %d after %d", h.Epoch, last)
			}
			last = h.Epoch
			if i%2 == 1 {
				if err := o.Release(ctx); err != nil {
					t.Fatal(err)
				}
				o.cancel()
				g.join(ctx, fmt.Sprintf("n%d", i))
				time.Sleep(2 * time.Second)
			}
		}
		if last < 3 {
			t.Errorf("the last epoch is %d after 3 releases", last)
		}
	})
}

// Guards against a takeover from an owner whose renewals are queued behind other
// writes in a slow store, and against an owner that stops acting although its fenced
// writes take effect. Seen in andrade-sleeves-grown trouble-2, seed 1.
func TestFencedWritesExtendAuthority(t *testing.T) {
	withCandidates(t, 3, func(_ context.Context, g *testGroup) {
		owner := g.owner(t)
		holder, _ := owner.Owner()
		owner.cancel() // stops renewing
		for range 20 {
			version := g.table.Put(table, "progress/x", []byte("{}"))
			for _, c := range g.candidates() {
				if c == owner {
					c.NoticeFencedWrite(holder.Epoch, time.Since(g.startTime))
				} else {
					c.NoticeOwnerWrite(version)
				}
			}
			time.Sleep(500 * time.Millisecond)
			if g.owner(t) != owner {
				t.Fatal("the owner has lost its authority")
			}
		}
		time.Sleep(Expiry + time.Second)
		if next := g.owner(t); next == nil || next == owner {
			t.Fatal("no takeover from an owner that does not write")
		}
	})
}

// Guards against an owner that steps down and takes the row again before others can,
// and against a deployment that stays without an owner if no other candidate exists.
func TestStepDownLeavesRowToOthers(t *testing.T) {
	for _, others := range []int{1, 0} {
		t.Run(fmt.Sprintf("others-%d", others), func(t *testing.T) {
			withCandidates(t, 1+others, func(ctx context.Context, g *testGroup) {
				first := g.owner(t)
				if err := first.StepDown(ctx); err != nil {
					t.Fatal(err)
				}
				if first.HasAuthority() || first.losses.Load() != 1 {
					t.Fatal("the owner still acts after it stepped down")
				}
				time.Sleep(time.Second)
				if others > 0 && g.owner(t) == first {
					t.Error("the former owner has taken the row again")
				}
				time.Sleep(2 * time.Second)
				if g.owner(t) == nil {
					t.Error("no candidate has taken the row")
				}
			})
		})
	}
}

// Guards against a candidate with a Delay that takes a free row before preferred
// candidates do, and against a row that stays free when those no longer exist.
func TestDelayedCandidateLeavesRowToPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := &testGroup{table: rowstorestub.New(), startTime: time.Now()}
		first := func(o *Options) { o.FirstDelay = time.Second }
		delayed := g.join(ctx, "reserve", first, func(o *Options) { o.Delay = func() time.Duration { return 600 * time.Millisecond } })
		preferred := g.join(ctx, "preferred", first)
		time.Sleep(900 * time.Millisecond)
		if delayed.HasAuthority() || preferred.HasAuthority() {
			t.Error("the row was taken before FirstDelay had passed")
		}
		time.Sleep(500 * time.Millisecond)
		if !preferred.HasAuthority() {
			t.Error("the preferred candidate is not the owner")
		}
		preferred.cancel()
		time.Sleep(Expiry + 50*time.Millisecond) // its last renewal is 500 ms old at most
		if delayed.HasAuthority() {
			t.Error("the delayed candidate took the row before its delay had passed")
		}
		time.Sleep(time.Second)
		if !delayed.HasAuthority() {
			t.Error("the row stays free")
		}
		cancel()
		synctest.Wait()
	})
}
