package platformclient_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

func closeBatch(t *testing.T, b *platformclient.Batcher) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := b.Close(ctx); err != nil {
		t.Error(err)
	}
}

// Rows must share transactions, a queued row must be written once however often it
// changes, and a done callback must be called also if its value was replaced.
func TestBatchCoalesces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformstub.New(platformstub.Options{})
		b := platformclient.NewBatcher(s.InProcess(), platformclient.BatchOptions{})
		var done atomic.Int64
		for i := range 600 {
			// Fewer keys than FlushRows, so that no flush starts before the
			// interval has passed.
			w := platformclient.Write{Key: fmt.Sprintf("jobs/%d", i%60), Value: fmt.Append(nil, i)}
			if err := b.Enqueue(w, func() { done.Add(1) }); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(25 * time.Millisecond)
		if c := s.Counters(); done.Load() != 600 || c.Writes != 1 || c.RowsWritten != 60 {
			t.Errorf("%d done, %+v", done.Load(), c)
		}
		if row, err := s.InProcess().Get(t.Context(), "jobs/59"); err != nil || string(row.Value) != "599" {
			t.Errorf("%s, %v", row.Value, err)
		}
		closeBatch(t, b)
		if err := b.Enqueue(platformclient.Write{Key: "k"}, nil); verdict.Of(err) != verdict.NotRun {
			t.Errorf("after Close: %v", err)
		}
	})
}

// Guards against a conflict on one row that fails the other writes of the same
// transaction.
func TestBatchSplitsConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformstub.New(platformstub.Options{})
		table := s.InProcess()
		for i := range 5 {
			if _, err := table.Commit(t.Context(), platformclient.Txn{Puts: []platformclient.Put{{Key: fmt.Sprintf("k%d", i*3)}}}); err != nil {
				t.Fatal(err)
			}
		}
		b := platformclient.NewBatcher(table, platformclient.BatchOptions{})
		var wg sync.WaitGroup
		for i := range 15 {
			wg.Go(func() {
				var zero uint64
				_, err := b.Write(t.Context(), platformclient.Write{Key: fmt.Sprintf("k%d", i), Value: []byte("x"), Check: &zero})
				if i%3 == 0 && (!verdict.HasCode(err, verdict.CodeConflict) || verdict.Of(err) != verdict.NotRun) || i%3 != 0 && err != nil {
					t.Errorf("k%d: %v", i, err)
				}
			})
		}
		wg.Wait()
		if c := s.Counters(); c.Writes != 5+2 {
			t.Errorf("%d transactions, want 7", c.Writes)
		}
		closeBatch(t, b)
	})
}

// unreliableTable refuses a sixth of the transactions, and loses another sixth on
// the way to the table: the caller cannot know that they have no effect.
type unreliableTable struct {
	platformclient.Table
	mu     sync.Mutex
	random *rand.Rand
}

func (u *unreliableTable) draw() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.IntN(6)
}

func (u *unreliableTable) Commit(ctx context.Context, txn platformclient.Txn) (map[string]uint64, error) {
	switch u.draw() {
	case 0:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "never arrives")
	case 1:
		return nil, verdict.Refuse(verdict.CodePlatformUnavailable, "refused")
	}
	return u.Table.Commit(ctx, txn)
}

// Guards against a write that is reported as done but is not in the table, or as
// not run but is, when writers share rows and responses are lost or late.
func TestBatchVerdicts(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			s := platformstub.New(platformstub.Options{})
			u := &unreliableTable{Table: s.InProcess(), random: rand.New(rand.NewPCG(seed, 0))}
			// The two batchers stand for two processes. The platform is slow
			// enough for their requests to overlap.
			setFaults(t, s, platformstub.Faults{SlowMS: 40, LoseAnswers: 0.25, LateWrites: 0.25, LateMS: 300, Seed: seed})
			batches := []*platformclient.Batcher{
				platformclient.NewBatcher(u, platformclient.BatchOptions{FlushRows: 8}), platformclient.NewBatcher(u, platformclient.BatchOptions{FlushRows: 8}),
			}
			var mu sync.Mutex
			verdicts := map[string]verdict.Verdict{}
			var wg sync.WaitGroup
			for writer := range 12 {
				random := rand.New(rand.NewPCG(seed, uint64(writer)+1))
				wg.Go(func() {
					for i := range 15 {
						time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
						key := fmt.Sprintf("k%d", random.IntN(6))
						row, _ := s.InProcess().Get(t.Context(), key)
						value := fmt.Sprintf("%d/%d", writer, i)
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration(10+random.IntN(3000))*time.Millisecond)
						_, err := batches[writer%2].Write(ctx, platformclient.Write{Key: key, Value: []byte(value), Check: &row.Version})
						cancel()
						v := verdict.Ran
						if err != nil {
							v = verdict.Of(err)
						}
						mu.Lock()
						verdicts[value] = v
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			for _, b := range batches {
				closeBatch(t, b)
			}
			s.WaitForLateWrites()
			written := map[string]int{}
			for _, r := range s.History() {
				for _, p := range r.Puts {
					written[string(p.Value)]++
				}
			}
			counts := map[verdict.Verdict]int{}
			for value, v := range verdicts {
				counts[v]++
				if n := written[value]; n > 1 || v == verdict.Ran && n == 0 || v == verdict.NotRun && n > 0 {
					t.Errorf("seed %d: write %s was reported as %v and is %d times in the history", seed, value, v, n)
				}
			}
			c := s.Counters()
			if c.FaultLost == 0 || c.FaultLate == 0 || counts[verdict.Ran] == 0 || counts[verdict.NotRun] == 0 {
				t.Errorf("seed %d: counters %+v, outcomes %v", seed, c, counts)
			}
			if testing.Verbose() {
				t.Logf("seed %d: %d answers lost, %d writes late, outcomes %v", seed, c.FaultLost, c.FaultLate, counts)
			}
		})
	}
}

// An outage must not lose queued writes or let the queue grow without bound, and its
// end must not cause a burst of writes.
func TestBatchOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformstub.New(platformstub.Options{})
		b := platformclient.NewBatcher(s.InProcess(), platformclient.BatchOptions{MaxQueuedRows: 5000})
		setFaults(t, s, platformstub.Faults{TableDown: true})
		var done atomic.Int64
		for i := range 5000 {
			if err := b.Enqueue(platformclient.Write{Key: fmt.Sprintf("jobs/%04d", i)}, func() { done.Add(1) }); err != nil {
				t.Fatal(err)
			}
			if i == 100 {
				time.Sleep(10 * time.Second)
			}
		}
		if err := b.Enqueue(platformclient.Write{Key: "one/more"}, nil); !verdict.HasCode(err, verdict.CodeOverloaded) || verdict.Of(err) != verdict.NotRun {
			t.Errorf("full queue: %v", err)
		}
		time.Sleep(time.Minute)
		attempts := s.Counters().Writes
		if attempts > 150 {
			t.Errorf("%d attempts in an outage of 70 s", attempts)
		}
		setFaults(t, s, platformstub.Faults{})
		peak := int64(0)
		for range 100 {
			before := s.Counters().Writes
			time.Sleep(100 * time.Millisecond)
			peak = max(peak, s.Counters().Writes-before)
		}
		if done.Load() != 5000 || s.Counters().RowsWritten != 5000 {
			t.Errorf("%d done, %d rows", done.Load(), s.Counters().RowsWritten)
		}
		// One transaction in each flush interval of 20 ms, and one for rounding.
		if peak > 6 {
			t.Errorf("%d transactions in 100 ms after the outage", peak)
		}
		t.Logf("%d attempts in the outage, at most %d transactions in 100 ms after it", attempts, peak)
		closeBatch(t, b)
	})
}

// A caller must get the right verdict when it gives up, during an outage, and when
// the batch is closed during one.
func TestBatchWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platformstub.New(platformstub.Options{})
		b := platformclient.NewBatcher(s.InProcess(), platformclient.BatchOptions{})
		write := func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := b.Write(ctx, platformclient.Write{Key: "k", Value: []byte("v")})
			return err
		}
		if err := write(10 * time.Millisecond); verdict.Of(err) != verdict.NotRun {
			t.Errorf("context ended while queued: %v", err)
		}
		if s.Counters().Writes != 0 {
			t.Error("a write whose caller gave up while it was queued was sent")
		}
		setFaults(t, s, platformstub.Faults{SlowMS: 100})
		if err := write(60 * time.Millisecond); verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("context ended while in progress: %v", err)
		}
		time.Sleep(time.Second)
		setFaults(t, s, platformstub.Faults{TableDown: true})
		start := time.Now()
		if err := write(10 * time.Second); verdict.Of(err) != verdict.NotRun || time.Since(start) > time.Second {
			t.Errorf("outage: %v after %v", err, time.Since(start))
		}
		setFaults(t, s, platformstub.Faults{TableDown: true, Outage: platformstub.OutageReset})
		start = time.Now()
		if err := write(time.Minute); verdict.Of(err) != verdict.MayHaveRun || time.Since(start) > 5*time.Second {
			t.Errorf("lost responses: %v after %v", err, time.Since(start))
		}
		if err := b.Enqueue(platformclient.Write{Key: "left"}, func() { t.Error("done was called although the row was not written") }); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := b.Close(ctx); verdict.Of(err) != verdict.MayHaveRun || err == nil {
			t.Errorf("closed with rows left: %v", err)
		}
	})
}
