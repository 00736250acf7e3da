package gateway

import (
	"context"
	"fmt"
	"strings"
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

// withTwoGateways calls f with two gateways that share a table, in virtual time.
func withTwoGateways(t *testing.T, f func(ctx context.Context, store *rowstorestub.Table, a, b *Gateway)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := rowstorestub.New()
		store.Partition = workflow.Partition
		open := func(name string) *Gateway {
			var g *Gateway
			m := rowstore.NewMirror(store.ClientFor(name), tableName, eventlog.Discard(), func(r []rowstore.Row) { g.Observe(r) })
			g = New(Options{Store: store.ClientFor(name), Mirror: m, Table: tableName, Log: eventlog.Discard(), UnixMillis: func() int64 { return 1 }})
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

// withTimeout returns a context with a timeout; a timer releases it.
func withTimeout(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	time.AfterFunc(d, cancel)
	return ctx
}

// Guards against an accepted job that other entries report as unknown, and against
// a duplicate job when a submission is repeated at another entry.
func TestAcceptedJobIsVisibleAtEveryEntry(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, b *Gateway) {
		if err := a.Submit(ctx, testQueue, "x", jobID, testSpec); err != nil {
			t.Fatal(err)
		}
		if state, known, err := b.State(ctx, testQueue, jobID); err != nil || !known || state != workflow.StateQueued {
			t.Errorf("state at the other entry right after submission: %q, known %v, err %v", state, known, err)
		}
		if err := b.Submit(ctx, testQueue, "x", jobID, testSpec); err != nil {
			t.Errorf("repeated submission at the other entry: %v", err)
		}
		if a.Pending(testQueue) != 1 || b.Pending(testQueue) != 1 {
			t.Errorf("%d and %d pending jobs, want 1 at each entry", a.Pending(testQueue), b.Pending(testQueue))
		}
	})
}

// Guards against a submission that is reported as NotRun although its write takes
// effect later: the store's response is lost and the write is delayed.
func TestLostStoreResponseIsNotReportedAsNotRun(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, b *Gateway) {
		store.SetFaults(rowstorestub.Faults{LoseEveryNth: 1, LateWriteDelay: time.Second})
		err := a.Submit(withTimeout(ctx, 500*time.Millisecond), testQueue, "x", jobID, testSpec)
		if err == nil || verdict.Of(err) == verdict.NotRun {
			t.Fatalf("submission with an unknown outcome returned %v", err)
		}
		store.SetFaults(rowstorestub.Faults{})
		time.Sleep(3 * time.Second)
		if _, known, err := b.State(ctx, testQueue, jobID); err != nil || !known {
			t.Errorf("job that was stored late: known %v, err %v", known, err)
		}
	})
}

// Guards against a submission that waits or returns an unknown outcome although the
// store has refused the write, and against reporting a job as unknown while the
// store cannot be read.
func TestStoreOutageFailsFast(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, _ *Gateway) {
		store.SetFaults(rowstorestub.Faults{Down: true})
		start := time.Now()
		err := a.Submit(withTimeout(ctx, 3*time.Second), testQueue, "x", jobID, testSpec)
		if verdict.Of(err) != verdict.NotRun || time.Since(start) > 100*time.Millisecond {
			t.Errorf("submission failed after %v with %v, want NotRun within 100 ms", time.Since(start), err)
		}
		if _, _, err := a.State(ctx, testQueue, "ffffffffffffffff"); err == nil {
			t.Error("a job is reported as unknown while the store is unavailable")
		}
	})
}

// Guards against submissions that are refused although the store answers again: the feed
// notices up to 0.5 s later, which is most of what is left to clients that gave up 3 s
// after their first try (kalstaly-pier, trouble-3, an outage of 4.2 s).
func TestSubmissionFindsStoreBack(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, _ *Gateway) {
		for i, outage := range []rowstorestub.Faults{{Down: true}, {Silent: true}} {
			id := fmt.Sprintf("%016x", i)
			store.SetFaults(outage)
			time.Sleep(5 * time.Second)
			start := time.Now()
			err := a.Submit(withTimeout(ctx, 3*time.Second), testQueue, "x", id, testSpec)
			if verdict.Of(err) != verdict.NotRun || time.Since(start) > 200*time.Millisecond {
				t.Fatalf("in the outage: %v after %v, want NotRun within 200 ms", err, time.Since(start))
			}
			store.SetFaults(rowstorestub.Faults{})
			if err := a.Submit(withTimeout(ctx, 3*time.Second), testQueue, "x", id, testSpec); err != nil {
				t.Errorf("right after the outage: %v", err)
			}
			time.Sleep(5 * time.Second)
		}
	})
}

// Guards against submissions that fail for seconds because the partition of the job's row
// is down, while the store serves the others (kalstaly-pier, trouble-2: requests were held
// until their clients left). The job must be one job, whatever is sent again later.
func TestSubmissionUsesSparePartition(t *testing.T) {
	home := map[string]bool{workflow.Partition(workflow.RecordPrefix + jobID): true}
	for _, c := range []struct {
		name   string
		faults rowstorestub.Faults
		limit  time.Duration
	}{
		{"down", rowstorestub.Faults{DownPartitions: home}, 100 * time.Millisecond},
		{"silent", rowstorestub.Faults{SilentPartitions: home}, spareWriteDelay + 100*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, b *Gateway) {
				store.SetFaults(c.faults)
				start := time.Now()
				if err := a.Submit(withTimeout(ctx, 3*time.Second), testQueue, "x", jobID, testSpec); err != nil || time.Since(start) > c.limit {
					t.Fatalf("submission: %v after %v, want success within %v", err, time.Since(start), c.limit)
				}
				if err := b.Submit(withTimeout(ctx, 3*time.Second), testQueue, "x", jobID, testSpec); err != nil {
					t.Errorf("repeated submission at the other entry: %v", err)
				}
				store.SetFaults(rowstorestub.Faults{})
				if _, stored, err := store.ClientFor("x").Get(ctx, tableName, workflow.RecordPrefix+jobID); err != nil || stored {
					t.Errorf("the usual row: stored %v, %v, want none", stored, err)
				}
				if state, known, err := b.State(ctx, testQueue, jobID); err != nil || !known || state != workflow.StateQueued || b.Pending(testQueue) != 1 {
					t.Errorf("state %q, known %v, err %v, %d pending", state, known, err, b.Pending(testQueue))
				}
				fresh := New(Options{Store: store.ClientFor("c"), Mirror: rowstore.NewMirror(store.ClientFor("c"), tableName, eventlog.Discard(), nil), Table: tableName, Log: eventlog.Discard()})
				fresh.opts.Mirror = rowstore.NewMirror(store.ClientFor("c"), tableName, eventlog.Discard(), fresh.Observe)
				if _, known, err := fresh.State(ctx, testQueue, jobID); err != nil || !known {
					t.Errorf("an entry that has read nothing yet: known %v, %v", known, err)
				}
			})
		})
	}
}

// Guards against a refusal that says NotRun although one of the two writes of a record may
// take effect later.
func TestSpareWriteKeepsUnknownOutcome(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, _ *Gateway) {
		store.SetFaults(rowstorestub.Faults{SilentPartitions: map[string]bool{
			workflow.Partition(workflow.RecordPrefix + jobID): true, workflow.Partition(workflow.SpareRecordPrefix + jobID): true,
		}})
		if err := a.Submit(withTimeout(ctx, 2*time.Second), testQueue, "x", jobID, testSpec); err == nil || verdict.Of(err) == verdict.NotRun {
			t.Errorf("submission without an answer: %v, want an unknown outcome", err)
		}
	})
}

// Guards against a request that blocks until the client's deadline when the outcome
// of a write is unknown and the store becomes unavailable.
func TestSubmitStopsRetryingWhenStoreIsLost(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, _ *Gateway) {
		store.SetFaults(rowstorestub.Faults{LoseEveryNth: 1, LateWriteDelay: 10 * time.Second})
		time.AfterFunc(100*time.Millisecond, func() { store.SetFaults(rowstorestub.Faults{Down: true}) })
		start := time.Now()
		err := a.Submit(withTimeout(ctx, 3*time.Second), testQueue, "x", jobID, testSpec)
		if err == nil || verdict.Of(err) == verdict.NotRun || time.Since(start) > 1200*time.Millisecond {
			t.Errorf("returned after %v with %v, want an unknown outcome soon after the store is lost", time.Since(start), err)
		}
	})
}

// Guards against a cancellation that is confirmed but not stored, or that reaches a
// job of another queue.
func TestCancelIsStoredAndScopedToQueue(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, b *Gateway) {
		if known, err := a.Cancel(ctx, testQueue, jobID); err != nil || known {
			t.Errorf("cancel of an unknown job: known %v, err %v", known, err)
		}
		if err := a.Submit(ctx, testQueue, "x", jobID, testSpec); err != nil {
			t.Fatal(err)
		}
		if known, err := b.Cancel(ctx, &Queue{Name: "other"}, jobID); err != nil || known {
			t.Errorf("cancel of a job of another queue: known %v, err %v", known, err)
		}
		for range 2 {
			if known, err := b.Cancel(ctx, testQueue, jobID); err != nil || !known {
				t.Fatalf("cancel: known %v, err %v", known, err)
			}
		}
		if _, stored, err := store.ClientFor("x").Get(ctx, tableName, workflow.CancelPrefix+jobID); err != nil || !stored {
			t.Errorf("cancellation row: stored %v, err %v", stored, err)
		}
		time.Sleep(time.Second)
		if state, _, err := a.State(ctx, testQueue, jobID); err != nil || state != workflow.StateCancelled {
			t.Errorf("state %q, err %v", state, err)
		}
	})
}

// TestJobAboveRowLimitOfDeploymentIsRefused guards against accepting a job whose record is
// above a limit of the deployment that is lower than the usual one.
func TestJobAboveRowLimitOfDeploymentIsRefused(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, _, _ *Gateway) {
		store.MaxValueBytes = 4 << 10
		g := New(Options{Store: store.ClientFor("c"), Mirror: rowstore.NewMirror(store.ClientFor("c"), tableName, eventlog.Discard(), nil), Table: tableName,
			MaxRowBytes: store.MaxValueBytes, Log: eventlog.Discard(), UnixMillis: func() int64 { return 1 }})
		spec := workflow.Spec{Steps: []workflow.Step{{Tasks: 1, Label: strings.Repeat("l", store.MaxValueBytes)}}}
		err := g.Submit(ctx, testQueue, "x", jobID, spec)
		if !verdict.HasCode(err, verdict.CodeTooLarge) || verdict.Of(err) != verdict.NotRun || store.Refused() > 0 {
			t.Errorf("error %v and %d refused calls, want too large, not run and none", err, store.Refused())
		}
	})
}

// TestRefusedRecordIsSentOnce guards against sending a record again, under another key, that
// the store has refused for its size.
func TestRefusedRecordIsSentOnce(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, _ *Gateway) {
		store.MaxValueBytes = 4 << 10
		spec := workflow.Spec{Steps: []workflow.Step{{Tasks: 1, Label: strings.Repeat("l", store.MaxValueBytes)}}}
		err := a.Submit(ctx, testQueue, "x", jobID, spec)
		if !rowstore.RefusedForGood(err) || verdict.Of(err) != verdict.NotRun || store.Refused() != 1 {
			t.Errorf("error %v and %d refused calls, want a refusal for good, not run and 1", err, store.Refused())
		}
	})
}

// TestJobThatCannotBeKeptIsRefused guards against accepting a job whose record or progress
// the store would refuse, and against asking its client to try again.
func TestJobThatCannotBeKeptIsRefused(t *testing.T) {
	withTwoGateways(t, func(ctx context.Context, store *rowstorestub.Table, a, _ *Gateway) {
		wide := workflow.Spec{Occurrences: 2 * workflow.MaxTotalTasks / workflow.MaxTasks, Steps: []workflow.Step{{Tasks: workflow.MaxTasks}}}
		long := workflow.Spec{Steps: make([]workflow.Step, workflow.MaxSteps)}
		for i := range long.Steps {
			long.Steps[i] = workflow.Step{Tasks: 1, Label: strings.Repeat("l", rowstore.MaxRowBytes/workflow.MaxSteps)}
		}
		for name, spec := range map[string]workflow.Spec{"progress": wide, "record": long} {
			err := a.Submit(ctx, testQueue, "x", jobID, spec)
			if !verdict.HasCode(err, verdict.CodeTooLarge) || verdict.Of(err) != verdict.NotRun {
				t.Errorf("%s: error %v, want too large and not run", name, err)
			}
		}
		if err := a.Submit(ctx, testQueue, "x", jobID, workflow.Spec{Steps: []workflow.Step{{Tasks: workflow.MaxTasks}}}); err != nil {
			t.Errorf("a job of %d tasks is refused: %v", workflow.MaxTasks, err)
		}
		if n := store.Refused(); n > 0 {
			t.Errorf("the store refused %d calls", n)
		}
	})
}
