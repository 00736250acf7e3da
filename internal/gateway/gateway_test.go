package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

const (
	tableName = "t"
	jobID     = "5c0e7a21d94b36f8"
)

var (
	testQueue = &Queue{Name: "q", Pool: "p"}
	testSpec  = workflow.Spec{Steps: []workflow.Step{{Tasks: 1}}}
)

// entries runs two gateways over one table, on virtual time.
func withTwoGateways(t *testing.T, f func(ctx context.Context, store *rowstorestub.Table, a, b *Gateway)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := rowstorestub.New()
		store.Partition = workflow.Partition
		open := func(name string) *Gateway {
			var g *Gateway
			m := rowstore.NewMirror(store.For(name), tableName, eventlog.Discard(), func(r []rowstore.Row) { g.Observe(r) })
			g = New(Options{Store: store.For(name), Mirror: m, Table: tableName, Log: eventlog.Discard(), UnixMillis: func() int64 { return 1 }})
			go m.Run(ctx)
			return g
		}
		a, b := open("a"), open("b")
		time.Sleep(time.Second)
		f(ctx, store, a, b)
		cancel()
		synctest.Wait()
	})
}

func withTimeout(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	time.AfterFunc(d, cancel)
	return ctx
}

// Guards against an accepted job that another entry does not know, and against a
// second job of a submission that is sent again elsewhere.
func TestAcceptedJobIsVisibleAtEveryEntry(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, b *Gateway) {
		if err := a.Submit(ctx, testQueue, "x", jobID, testSpec); err != nil {
			t.Fatal(err)
		}
		if state, known, err := b.State(ctx, testQueue, jobID); err != nil || !known || state != workflow.StateQueued {
			t.Errorf("state %q, %v, %v at once at the other entry", state, known, err)
		}
		if err := b.Submit(ctx, testQueue, "x", jobID, testSpec); err != nil {
			t.Errorf("the same submission at the other entry: %v", err)
		}
		if a.Pending(testQueue) != 1 || b.Pending(testQueue) != 1 {
			t.Errorf("%d and %d jobs wait, want 1", a.Pending(testQueue), b.Pending(testQueue))
		}
	})
}

// Guards against an untrue refusal: an acceptance whose answer is lost, and that
// takes effect only after a while, is no refusal.
func TestLostStoreResponseIsNotReportedAsNotRun(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, b *Gateway) {
		store.SetFaults(rowstorestub.Faults{LoseEvery: 1, Late: time.Second})
		err := a.Submit(withTimeout(ctx, 500*time.Millisecond), testQueue, "x", jobID, testSpec)
		if err == nil || verdict.Of(err) == verdict.NotRun {
			t.Fatalf("an acceptance of unknown outcome ends as %v", err)
		}
		store.SetFaults(rowstorestub.Faults{})
		time.Sleep(3 * time.Second)
		if _, known, err := b.State(ctx, testQueue, jobID); err != nil || !known {
			t.Errorf("the job that was stored late is known: %v, %v", known, err)
		}
	})
}

// Guards against waiting, or an open outcome, where the store refuses for
// certain, and against an answer that a job does not exist which nobody checked.
func TestStoreOutageFailsFast(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, _ *Gateway) {
		store.SetFaults(rowstorestub.Faults{Down: true})
		began := time.Now()
		err := a.Submit(withTimeout(ctx, 3*time.Second), testQueue, "x", jobID, testSpec)
		if verdict.Of(err) != verdict.NotRun || time.Since(began) > 100*time.Millisecond {
			t.Errorf("refused after %v with %v", time.Since(began), err)
		}
		if _, _, err := a.State(ctx, testQueue, "ffffffffffffffff"); err == nil {
			t.Error("a job is said not to exist while the store cannot be asked")
		}
	})
}

// Guards against a client that is held until its deadline by a request that the
// entry cannot bring to an end: the store is away and an answer is open.
func TestSubmitStopsRetryingWhenStoreIsLost(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, _ *Gateway) {
		store.SetFaults(rowstorestub.Faults{LoseEvery: 1, Late: 10 * time.Second})
		time.AfterFunc(100*time.Millisecond, func() { store.SetFaults(rowstorestub.Faults{Down: true}) })
		began := time.Now()
		err := a.Submit(withTimeout(ctx, 3*time.Second), testQueue, "x", jobID, testSpec)
		if err == nil || verdict.Of(err) == verdict.NotRun || time.Since(began) > 1200*time.Millisecond {
			t.Errorf("given up after %v with %v, want an open outcome soon after the store is lost", time.Since(began), err)
		}
	})
}

// Guards against a cancellation that is confirmed and not stored, or that asks
// for a job of another queue.
func TestCancelIsStoredAndScopedToQueue(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, b *Gateway) {
		if known, err := a.Cancel(ctx, testQueue, jobID); err != nil || known {
			t.Errorf("an unknown job is cancelled: %v, %v", known, err)
		}
		if err := a.Submit(ctx, testQueue, "x", jobID, testSpec); err != nil {
			t.Fatal(err)
		}
		if known, err := b.Cancel(ctx, &Queue{Name: "other"}, jobID); err != nil || known {
			t.Errorf("a job of another queue is cancelled: %v, %v", known, err)
		}
		for range 2 {
			if known, err := b.Cancel(ctx, testQueue, jobID); err != nil || !known {
				t.Fatalf("cancelled: %v, %v", known, err)
			}
		}
		if _, stored, err := store.For("x").Get(ctx, tableName, workflow.CancelPrefix+jobID); err != nil || !stored {
			t.Errorf("the mark is stored: %v, %v", stored, err)
		}
		time.Sleep(time.Second)
		if state, _, err := a.State(ctx, testQueue, jobID); err != nil || state != workflow.StateCancelled {
			t.Errorf("state %q, %v", state, err)
		}
	})
}
