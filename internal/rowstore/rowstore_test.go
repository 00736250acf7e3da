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

// withMirror runs f in a synctest bubble with a stub store and a running mirror of it.
func withMirror(t *testing.T, f func(ctx context.Context, table *rowstorestub.Table, m *rowstore.Mirror)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := rowstorestub.New()
		m := rowstore.NewMirror(store.ClientFor("p"), table, eventlog.Discard(), nil)
		go m.Run(ctx)
		time.Sleep(time.Second)
		f(ctx, store, m)
		cancel()
		synctest.Wait()
	})
}

// Guards against a mirror that misses new rows or keeps deleted ones when the store
// drops its change history while the mirror cannot reach it.
func TestMirrorReloadsAfterLostHistory(t *testing.T) {
	withMirror(t, func(ctx context.Context, store *rowstorestub.Table, m *rowstore.Mirror) {
		version := store.Put(table, "old", []byte("1"))
		time.Sleep(time.Second)
		store.SetFaults(rowstorestub.Faults{Down: true})
		time.Sleep(2 * time.Second)
		store.Put(table, "new", []byte("2"))
		store.SetFaults(rowstorestub.Faults{})
		if _, err := store.ClientFor("x").Commit(ctx, rowstore.Txn{
			Checks:  []rowstore.Check{{Table: table, Key: "old", Version: version}},
			Deletes: []rowstore.Ref{{Table: table, Key: "old"}},
		}); err != nil {
			t.Fatal(err)
		}
		store.DropHistory()
		time.Sleep(2 * time.Second)
		_, old := m.Get("old")
		if r, ok := m.Get("new"); old || !ok || string(r.Value) != "2" {
			t.Errorf("row old exists: %v; row new exists: %v, value %q", old, ok, r.Value)
		}
	})
}

// Guards against a late answer that replaces a row by an older version.
func TestMirrorIgnoresOlderVersions(t *testing.T) {
	withMirror(t, func(_ context.Context, store *rowstorestub.Table, m *rowstore.Mirror) {
		version := store.Put(table, "k", []byte("2"))
		m.RecordRow(rowstore.Row{Table: table, Key: "k", Value: []byte("2"), Version: version})
		m.RecordRow(rowstore.Row{Table: table, Key: "k", Value: []byte("1"), Version: version - 1})
		if r, _ := m.Get("k"); string(r.Value) != "2" {
			t.Errorf("value %q", r.Value)
		}
	})
}

// Guards against a mirror that reports a working connection during an outage.
func TestMirrorNoticesOutage(t *testing.T) {
	for name, c := range map[string]struct {
		faults rowstorestub.Faults
		within time.Duration
	}{
		"down": {rowstorestub.Faults{Down: true}, 900 * time.Millisecond}, // the feed call in progress ends
		// The call in progress is still answered; the next one is late 250 ms after feedWait.
		"silent": {rowstorestub.Faults{Silent: true}, 1900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withMirror(t, func(_ context.Context, store *rowstorestub.Table, m *rowstore.Mirror) {
				if !m.StoreResponding() {
					t.Error("InTouch is false with a healthy store")
				}
				store.SetFaults(c.faults)
				time.Sleep(c.within)
				if m.StoreResponding() {
					t.Errorf("InTouch is true %v after the outage began", c.within)
				}
				store.SetFaults(rowstorestub.Faults{})
				time.Sleep(4 * time.Second)
				if !m.StoreResponding() {
					t.Error("InTouch is false 4 s after the outage ended")
				}
			})
		})
	}
}

// respondWith returns a CallFunc that counts calls and answers them with a status.
func respondWith(status int, calls *atomic.Int64) rowstore.CallFunc {
	return func(context.Context, rowstore.Call) (rowstore.Answer, error) {
		calls.Add(1)
		return rowstore.Answer{Status: status}, nil
	}
}

// Guards against failed calls while the store refuses only this process, and against
// calls that still go through peers once direct calls succeed again.
func TestFailoverUsesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var direct, peer atomic.Int64
		status := http.StatusServiceUnavailable
		f := &rowstore.Failover{
			Direct: func(context.Context, rowstore.Call) (rowstore.Answer, error) {
				direct.Add(1)
				return rowstore.Answer{Status: status}, nil
			},
			Peers: func() []rowstore.Peer {
				return []rowstore.Peer{{Name: "peer", Call: respondWith(http.StatusOK, &peer)}}
			},
			Log: eventlog.Discard(),
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
		if a, err := f.Do(t.Context(), rowstore.Call{}); err != nil || a.Status != http.StatusOK {
			t.Errorf("status %d, %v", a.Status, err)
		}
		synctest.Wait()
		if direct.Load() != 2 {
			t.Errorf("the direct connection is not tried again: %d direct calls", direct.Load())
		}
		before := peer.Load()
		if _, err := f.Do(t.Context(), rowstore.Call{}); err != nil || direct.Load() != 3 || peer.Load() != before {
			t.Errorf("calls still go through peers: %d direct calls, %d more through the peer, %v", direct.Load(), peer.Load()-before, err)
		}
	})
}

// Guards against calls that wait for a store which has stopped to answer this process
// although a peer reaches it. An owner learned of accepted jobs 1.3 s late, each time that
// it tried the direct connection again (kalstaly-pier, trouble-1).
func TestFailoverChecksDirectConnectionInBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var peer atomic.Int64
		f := &rowstore.Failover{
			Direct: func(ctx context.Context, _ rowstore.Call) (rowstore.Answer, error) {
				<-ctx.Done()
				return rowstore.Answer{}, rowstore.Unavailable(verdict.NotRun, "no answer")
			},
			Peers: func() []rowstore.Peer {
				return []rowstore.Peer{{Name: "peer", Call: respondWith(http.StatusOK, &peer)}}
			},
			Log: eventlog.Discard(),
		}
		if _, err := f.Do(t.Context(), rowstore.Call{}); err != nil {
			t.Fatal(err)
		}
		for range 100 {
			began := time.Now()
			if _, err := f.Do(t.Context(), rowstore.Call{}); err != nil || time.Since(began) > 0 {
				t.Fatalf("a call through a peer takes %v, %v", time.Since(began), err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second) // until the last check has ended
	})
}

// A write must not be sent three times to an overloaded store, and one write refused
// with status 429 must not make all calls fail. With a slow store (scenario
// andrade-sleeves-grown trouble-2, seed 1), no entry could take the ownership for 5 s.
func TestFailoverDoesNotRepeatWritesOnOverload(t *testing.T) {
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
			Peers: func() []rowstore.Peer {
				return []rowstore.Peer{{Name: "peer", Call: respondWith(http.StatusTooManyRequests, &peer)}}
			},
			Log: eventlog.Discard(),
		}
		for range 10 {
			if _, err := f.Do(t.Context(), rowstore.Call{}); err != nil {
				t.Fatalf("read failed while writes are refused: %v", err)
			}
			if _, err := f.Do(t.Context(), rowstore.Call{Write: true}); verdict.Of(err) != verdict.NotRun {
				t.Fatalf("refused write: %v, want the verdict NotRun", err)
			}
		}
		if writes.Load() != 10 || peer.Load() != 0 {
			t.Errorf("10 writes were sent %d times directly and %d times through the peer", writes.Load(), peer.Load())
		}
		// Without a recent successful read, the store may refuse this process only.
		time.Sleep(2 * time.Second)
		if _, err := f.Do(t.Context(), rowstore.Call{Write: true}); err == nil || peer.Load() != 1 {
			t.Errorf("write refused without a recent read: sent %d times through the peer, want 1", peer.Load())
		}
	})
}

// Guards against slow failures and repeated load in an outage, and against a write
// that may have run but is reported as NotRun.
func TestFailoverFailsFastInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		f := &rowstore.Failover{
			Direct: respondWith(http.StatusServiceUnavailable, &calls), Log: eventlog.Discard(),
			Peers: func() []rowstore.Peer {
				return []rowstore.Peer{{Name: "peer", Call: respondWith(http.StatusServiceUnavailable, &calls)}}
			},
		}
		for range 100 {
			if _, err := f.Do(t.Context(), rowstore.Call{Write: true}); verdict.Of(err) != verdict.NotRun {
				t.Fatalf("error %v, want the verdict NotRun", err)
			}
		}
		if calls.Load() > 2 {
			t.Errorf("100 calls were sent %d times, want at most 2", calls.Load())
		}
		lost := &rowstore.Failover{
			Direct: func(ctx context.Context, _ rowstore.Call) (rowstore.Answer, error) {
				<-ctx.Done()
				return rowstore.Answer{}, rowstore.Unavailable(verdict.MayHaveRun, "no answer")
			},
			Peers: func() []rowstore.Peer { return nil }, Log: eventlog.Discard(),
		}
		if _, err := lost.Do(t.Context(), rowstore.Call{Write: true}); verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("write without an answer: verdict %v", verdict.Of(err))
		}
	})
}

// Guards against an outage of one part of the store that makes calls to the other parts
// fail immediately (kalstaly-pier, trouble-2).
func TestFailoverKeepsOtherScopesUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &rowstore.Failover{
			Direct: func(_ context.Context, c rowstore.Call) (rowstore.Answer, error) {
				if c.Scope == "down" {
					return rowstore.Answer{}, rowstore.Unavailable(verdict.MayHaveRun, "connection reset")
				}
				return rowstore.Answer{Status: http.StatusOK}, nil
			},
			Peers: func() []rowstore.Peer { return nil }, Log: eventlog.Discard(),
		}
		for range 10 {
			if _, err := f.Do(t.Context(), rowstore.Call{Write: true, Scope: "down"}); err == nil {
				t.Fatal("a call to the part that is down succeeds")
			}
			if _, err := f.Do(t.Context(), rowstore.Call{Write: true, Scope: "up"}); err != nil {
				t.Fatalf("a call to another part: %v", err)
			}
		}
	})
}

// Guards against a store that is back and counts as lost until the next regular call:
// a probe reaches it while other calls still fail immediately, and ends that.
func TestFailoverProbeFindsStoreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		status := http.StatusServiceUnavailable
		f := &rowstore.Failover{
			Direct: func(context.Context, rowstore.Call) (rowstore.Answer, error) {
				return rowstore.Answer{Status: status}, nil
			},
			Peers: func() []rowstore.Peer { return nil }, Log: eventlog.Discard(),
		}
		call := rowstore.Call{Scope: "a"}
		for range 2 {
			if _, err := f.Do(t.Context(), call); err == nil {
				t.Fatal("a call succeeds in an outage")
			}
		}
		if _, err := f.Do(rowstore.Probe(t.Context()), call); verdict.Of(err) != verdict.NotRun {
			t.Fatalf("probe in an outage: %v", err)
		}
		status = http.StatusOK
		if _, err := f.Do(t.Context(), call); err == nil {
			t.Fatal("a call does not fail immediately after an outage was found")
		}
		if _, err := f.Do(rowstore.Probe(t.Context()), call); err != nil {
			t.Fatalf("probe after the outage: %v", err)
		}
		if _, err := f.Do(t.Context(), call); err != nil {
			t.Fatalf("call after a successful probe: %v", err)
		}
	})
}

// Guards against a transaction that took effect, is sent again after a lost answer,
// and is then reported as a conflict.
func TestRepeatedTransactionSucceeds(t *testing.T) {
	store := rowstorestub.New().ClientFor("p")
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
		t.Error("a transaction with another value was accepted as a repetition")
	}
}
