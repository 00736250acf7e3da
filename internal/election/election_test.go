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

// candidate is an entry of a test.
type candidate struct {
	*Elector
	terms, losses atomic.Int64
	cancel        context.CancelFunc
}

// group is a set of candidates on virtual time.
type group struct {
	table *rowstorestub.Table
	began time.Time
	mu    sync.Mutex
	all   []*candidate
	gone  sync.Map // addresses of processes that no longer exist
}

func elect(t *testing.T, n int, f func(ctx context.Context, g *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := &group{table: rowstorestub.New(), began: time.Now()}
		for i := range n {
			g.join(ctx, fmt.Sprintf("e%d", i))
		}
		time.Sleep(time.Second)
		f(ctx, g)
		cancel()
		synctest.Wait()
	})
}

func (g *group) join(ctx context.Context, id string, edit ...func(*Options)) *candidate {
	ctx, cancel := context.WithCancel(ctx)
	c := &candidate{cancel: cancel}
	store := g.table.For(id)
	m := rowstore.NewMirror(store, table, eventlog.Discard(), func(changed []rowstore.Row) {
		for _, r := range changed {
			if r.Key == RowKey {
				c.Observe(r)
			}
		}
	})
	options := Options{
		Store: store, Mirror: m, Table: table, Log: eventlog.Discard(), Clock: func() time.Duration { return time.Since(g.began) },
		Self: Holder{ID: id, Addr: id, Incarnation: time.Now().UnixNano()},
		ProcessGone: func(_ context.Context, addr string) bool {
			_, gone := g.gone.Load(addr)
			return gone
		},
		Confirm: func(_ context.Context, epoch uint64) bool {
			all := true
			for _, other := range g.candidates() {
				if other != c {
					all = other.Promise(epoch) && all
				}
			}
			return all
		},
		OnAcquire: func(Term) { c.terms.Add(1) }, OnLose: func(string) { c.losses.Add(1) },
	}
	for _, f := range edit {
		f(&options)
	}
	c.Elector = New(options)
	g.mu.Lock()
	g.all = append(g.all, c)
	g.mu.Unlock()
	go m.Run(ctx)
	go c.Run(ctx)
	return c
}

func (g *group) candidates() []*candidate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.all)
}

// owner returns the candidate with authority; it fails if there are several.
func (g *group) owner(t *testing.T) *candidate {
	t.Helper()
	var owner *candidate
	for _, c := range g.candidates() {
		if c.HasAuthority() {
			if owner != nil {
				t.Fatal("two entries have authority at once")
			}
			owner = c
		}
	}
	return owner
}

// Guards against a deployment without an owner, or with two, at any moment while
// the owner is lost silently: the takeover takes Expiry and one look.
func TestTakeoverAfterExpiry(t *testing.T) {
	elect(t, 3, func(_ context.Context, g *group) {
		first := g.owner(t)
		if first == nil {
			t.Fatal("no owner within 1 s")
		}
		time.Sleep(20 * time.Second)
		if g.owner(t) != first {
			t.Fatal("the owner changed on a quiet day")
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

// Guards against a wait for the expiry when the owner's process certainly does
// not exist any more.
func TestTakeoverOfDeadProcessIsFast(t *testing.T) {
	elect(t, 2, func(_ context.Context, g *group) {
		first := g.owner(t)
		first.cancel()
		g.gone.Store(first.o.Self.Addr, true)
		time.Sleep(probeAfter + 3*tick + RenewInterval)
		if o := g.owner(t); o == nil || o == first {
			t.Error("no takeover soon after the process was gone")
		}
	})
}

// Guards against an owner that gives up, or two owners, while the store is away
// for all.
func TestOwnerStaysInOutage(t *testing.T) {
	for name, f := range map[string]rowstorestub.Faults{"down": {Down: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			elect(t, 3, func(_ context.Context, g *group) {
				first := g.owner(t)
				g.table.SetFaults(f)
				without := time.Duration(0)
				for range 1000 {
					time.Sleep(10 * time.Millisecond)
					if g.owner(t) == nil {
						without += 10 * time.Millisecond
					}
				}
				if without > time.Second {
					t.Errorf("without authority for %v of a 10 s outage", without)
				}
				g.table.SetFaults(rowstorestub.Faults{})
				time.Sleep(5 * time.Second)
				if g.owner(t) != first || first.terms.Load() != 1 {
					t.Error("the owner changed by an outage")
				}
			})
		})
	}
}

// Guards against an owner that the store alone turns away and that goes on with
// what it knew.
func TestOwnerTurnedAwayIsReplaced(t *testing.T) {
	elect(t, 3, func(_ context.Context, g *group) {
		first := g.owner(t)
		g.table.SetFaults(rowstorestub.Faults{Refused: map[string]bool{first.o.Self.ID: true}})
		time.Sleep(Expiry + 2*time.Second)
		if o := g.owner(t); o == nil || o == first {
			t.Fatal("an owner that the store turns away was not replaced")
		}
		g.table.SetFaults(rowstorestub.Faults{})
		time.Sleep(2 * time.Second)
		if first.losses.Load() != 1 {
			t.Errorf("the former owner noticed its loss %d times", first.losses.Load())
		}
	})
}

// Guards against epochs that are used twice, also when answers are lost.
func TestEpochsGrow(t *testing.T) {
	elect(t, 2, func(ctx context.Context, g *group) {
		last := uint64(0)
		for i := range 6 {
			g.table.SetFaults(rowstorestub.Faults{LoseEvery: 2, Late: 300 * time.Millisecond})
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

// Guards against a takeover from an owner whose renewals wait behind other writes
// of a slow store, and against an owner that stops acting though its writes under
// the fence take effect: andrade-sleeves-grown trouble-2, seed 1.
func TestWritesUnderTheFenceKeepTheOwner(t *testing.T) {
	elect(t, 3, func(_ context.Context, g *group) {
		owner := g.owner(t)
		holder, _ := owner.Owner()
		owner.cancel() // it renews no more
		for range 20 {
			version := g.table.Put(table, "progress/x", []byte("{}"))
			for _, c := range g.candidates() {
				if c == owner {
					c.NoteFenced(holder.Epoch, time.Since(g.began))
				} else {
					c.NoteLife(version)
				}
			}
			time.Sleep(500 * time.Millisecond)
			if g.owner(t) != owner {
				t.Fatal("the owner has lost its authority")
			}
		}
		time.Sleep(Expiry + time.Second)
		if next := g.owner(t); next == nil || next == owner {
			t.Fatal("nobody has taken over from an owner that writes nothing")
		}
	})
}

// Guards against an owner that takes its own row back when it gives way, and
// against a deployment without an owner if nobody else takes the row.
func TestStepDown(t *testing.T) {
	for _, others := range []int{1, 0} {
		t.Run(fmt.Sprintf("others-%d", others), func(t *testing.T) {
			elect(t, 1+others, func(ctx context.Context, g *group) {
				first := g.owner(t)
				if err := first.StepDown(ctx); err != nil {
					t.Fatal(err)
				}
				if first.HasAuthority() || first.losses.Load() != 1 {
					t.Fatal("the owner still acts after it stepped down")
				}
				time.Sleep(time.Second)
				if others > 0 && g.owner(t) == first {
					t.Error("the owner has taken its own row back")
				}
				time.Sleep(2 * time.Second)
				if g.owner(t) == nil {
					t.Error("nobody has taken the row")
				}
			})
		})
	}
}

// Guards against reserves that take a free row before the preferred candidates do,
// and against a row that stays free if those are gone.
func TestReservesLeaveTheRowToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := &group{table: rowstorestub.New(), began: time.Now()}
		first := func(o *Options) { o.FirstDelay = time.Second }
		reserve := g.join(ctx, "reserve", first, func(o *Options) { o.Delay = func() time.Duration { return 600 * time.Millisecond } })
		preferred := g.join(ctx, "preferred", first)
		time.Sleep(900 * time.Millisecond)
		if reserve.HasAuthority() || preferred.HasAuthority() {
			t.Error("the row was taken before the candidates know each other")
		}
		time.Sleep(500 * time.Millisecond)
		if !preferred.HasAuthority() {
			t.Error("the preferred candidate is not the owner")
		}
		preferred.cancel()
		time.Sleep(Expiry + 50*time.Millisecond) // its last renewal is 500 ms old at most
		if reserve.HasAuthority() {
			t.Error("the reserve did not leave the row to preferred candidates")
		}
		time.Sleep(time.Second)
		if !reserve.HasAuthority() {
			t.Error("the row stays free")
		}
		cancel()
		synctest.Wait()
	})
}
