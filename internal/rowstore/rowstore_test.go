package rowstore_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

const table = "t"

func mirror(t *testing.T, f func(ctx context.Context, table *rowstorestub.Table, m *rowstore.Mirror)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := rowstorestub.New()
		m := rowstore.NewMirror(store.For("p"), table, eventlog.Discard(), nil)
		go m.Run(ctx)
		time.Sleep(time.Second)
		f(ctx, store, m)
		cancel()
		synctest.Wait()
	})
}

// Guards against rows that a mirror misses or keeps when the history of the
// store is dropped while it does not listen.
func TestMirrorReadsAgainAfterLostHistory(t *testing.T) {
	mirror(t, func(ctx context.Context, store *rowstorestub.Table, m *rowstore.Mirror) {
		version := store.Put(table, "old", []byte("1"))
		time.Sleep(time.Second)
		store.SetFaults(rowstorestub.Faults{Down: true})
		time.Sleep(2 * time.Second)
		store.Put(table, "new", []byte("2"))
		store.SetFaults(rowstorestub.Faults{})
		if _, err := store.For("x").Commit(ctx, rowstore.Txn{
			Checks:  []rowstore.Check{{Table: table, Key: "old", Version: version}},
			Deletes: []rowstore.Ref{{Table: table, Key: "old"}},
		}); err != nil {
			t.Fatal(err)
		}
		store.DropHistory()
		time.Sleep(2 * time.Second)
		_, old := m.Get("old")
		if r, ok := m.Get("new"); old || !ok || string(r.Value) != "2" {
			t.Errorf("old is there: %v, new: %v %q", old, ok, r.Value)
		}
	})
}

// Guards against a row that goes back to an older version by a late answer.
func TestMirrorNeverGoesBack(t *testing.T) {
	mirror(t, func(_ context.Context, store *rowstorestub.Table, m *rowstore.Mirror) {
		version := store.Put(table, "k", []byte("2"))
		m.Note(rowstore.Row{Table: table, Key: "k", Value: []byte("2"), Version: version})
		m.Note(rowstore.Row{Table: table, Key: "k", Value: []byte("1"), Version: version - 1})
		if r, _ := m.Get("k"); string(r.Value) != "2" {
			t.Errorf("value %q", r.Value)
		}
	})
}

// Guards against a process that takes itself for served while the store is away.
func TestMirrorNoticesOutage(t *testing.T) {
	for name, c := range map[string]struct {
		faults rowstorestub.Faults
		within time.Duration
	}{
		"down": {rowstorestub.Faults{Down: true}, 900 * time.Millisecond}, // the wait of the call in progress
		// The call in progress is still answered; the next one is overdue 250 ms after its wait.
		"silent": {rowstorestub.Faults{Silent: true}, 1900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			mirror(t, func(_ context.Context, store *rowstorestub.Table, m *rowstore.Mirror) {
				if !m.InTouch() {
					t.Error("not in touch with a store that is well")
				}
				store.SetFaults(c.faults)
				time.Sleep(c.within)
				if m.InTouch() {
					t.Errorf("in touch %v after the store was lost", c.within)
				}
				store.SetFaults(rowstorestub.Faults{})
				time.Sleep(4 * time.Second)
				if !m.InTouch() {
					t.Error("not in touch 4 s after the store is back")
				}
			})
		})
	}
}

func answering(status int, calls *atomic.Int64) rowstore.Exchange {
	return func(context.Context, rowstore.Call) (rowstore.Answer, error) {
		calls.Add(1)
		return rowstore.Answer{Status: status}, nil
	}
}

// Guards against a process that refuses its callers while the store turns only
// this process away, and against calls that never return to the direct way.
func TestFailoverGoesThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var direct, peer atomic.Int64
		status := http.StatusServiceUnavailable
		f := &rowstore.Failover{
			Direct: func(context.Context, rowstore.Call) (rowstore.Answer, error) {
				direct.Add(1)
				return rowstore.Answer{Status: status}, nil
			},
			Peers: func() []rowstore.Exchange { return []rowstore.Exchange{answering(http.StatusOK, &peer)} },
			Log:   eventlog.Discard(),
		}
		for range 5 {
			if a, err := f.Do(t.Context(), rowstore.Call{}); err != nil || a.Status != http.StatusOK {
				t.Fatalf("status %d, %v", a.Status, err)
			}
		}
		if direct.Load() != 1 || peer.Load() != 5 {
			t.Errorf("%d direct calls and %d through the peer, want 1 and 5", direct.Load(), peer.Load())
		}
		status = http.StatusOK
		time.Sleep(2 * time.Second)
		if a, err := f.Do(t.Context(), rowstore.Call{}); err != nil || a.Status != http.StatusOK || direct.Load() != 2 {
			t.Errorf("the direct way is not tried again: %d calls, %v", direct.Load(), err)
		}
	})
}

// Guards against an overloaded store that gets each write three times, and against
// a process that refuses everything because one write was too many: on a day
// with a slow store (andrade-sleeves-grown trouble-2, seed 1) nobody could take
// the ownership for 5 s.
func TestFailoverDoesNotRepeatOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var writes, peer atomic.Int64
		f := &rowstore.Failover{
			Direct: func(_ context.Context, c rowstore.Call) (rowstore.Answer, error) {
				if c.Write {
					writes.Add(1)
					return rowstore.Answer{Status: http.StatusTooManyRequests}, nil
				}
				return rowstore.Answer{Status: http.StatusOK}, nil
			},
			Peers: func() []rowstore.Exchange { return []rowstore.Exchange{answering(http.StatusTooManyRequests, &peer)} },
			Log:   eventlog.Discard(),
		}
		for range 10 {
			if _, err := f.Do(t.Context(), rowstore.Call{}); err != nil {
				t.Fatalf("a read fails beside an overload of writes: %v", err)
			}
			if _, err := f.Do(t.Context(), rowstore.Call{Write: true}); verdict.Of(err) != verdict.NotRun {
				t.Fatalf("the refused write ends with %v", err)
			}
		}
		if writes.Load() != 10 || peer.Load() != 0 {
			t.Errorf("10 writes became %d, and %d through the peer", writes.Load(), peer.Load())
		}
		// Without any read that is served, the process itself is turned away.
		time.Sleep(2 * time.Second)
		if _, err := f.Do(t.Context(), rowstore.Call{Write: true}); err == nil || peer.Load() != 1 {
			t.Errorf("a process that may be turned away has asked its peer %d times", peer.Load())
		}
	})
}

// Guards against callers that wait in an outage, against load on a store that is
// away, and against an untrue refusal.
func TestFailoverFailsFastInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		f := &rowstore.Failover{
			Direct: answering(http.StatusServiceUnavailable, &calls), Log: eventlog.Discard(),
			Peers: func() []rowstore.Exchange {
				return []rowstore.Exchange{answering(http.StatusServiceUnavailable, &calls)}
			},
		}
		for range 100 {
			if _, err := f.Do(t.Context(), rowstore.Call{Write: true}); verdict.Of(err) != verdict.NotRun {
				t.Fatalf("error %v, want a refusal that says not run", err)
			}
		}
		if calls.Load() > 2 {
			t.Errorf("100 calls became %d", calls.Load())
		}
		lost := &rowstore.Failover{
			Direct: func(ctx context.Context, _ rowstore.Call) (rowstore.Answer, error) {
				<-ctx.Done()
				return rowstore.Answer{}, rowstore.Unavailable(verdict.MayHaveRun, "no answer")
			},
			Peers: func() []rowstore.Exchange { return nil }, Log: eventlog.Discard(),
		}
		if _, err := lost.Do(t.Context(), rowstore.Call{Write: true}); verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("a write without an answer ends as %v", verdict.Of(err))
		}
	})
}

// Guards against a transaction that took effect and is reported as refused when
// it is sent again after a lost answer.
func TestRepeatedTransactionIsSettled(t *testing.T) {
	store := rowstorestub.New().For("p")
	txn := rowstore.Txn{
		Checks: []rowstore.Check{{Table: table, Key: "k"}},
		Puts:   []rowstore.Put{{Table: table, Key: "k", Value: []byte("mine")}},
	}
	first, err := store.Commit(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := store.Commit(t.Context(), txn); err != nil || again != first {
		t.Errorf("version %d, %v, want %d", again, err, first)
	}
	txn.Puts[0].Value = []byte("other")
	if _, err := store.Commit(t.Context(), txn); err == nil {
		t.Error("a transaction with another value is taken for the first")
	}
}
