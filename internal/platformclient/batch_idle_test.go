package platformclient

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// slowTable counts transactions, each of which takes slowTableDelay.
type slowTable struct {
	Table
	mu   sync.Mutex
	txns int
}

const slowTableDelay = 2 * time.Millisecond

func (s *slowTable) Commit(_ context.Context, txn Txn) (map[string]uint64, error) {
	time.Sleep(slowTableDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txns++
	versions := map[string]uint64{}
	for _, p := range txn.Puts {
		versions[p.Key] = uint64(s.txns)
	}
	return versions, nil
}

// The few writes of a single job must not wait for the flush interval when nothing
// else is written.
func TestBatchWritesAtOnceWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBatcher(&slowTable{}, BatchOptions{EarlyFlushes: DefaultEarlyFlushes})
		defer b.Close(context.Background())
		for job := range 3 {
			time.Sleep(time.Second)
			for write := range DefaultEarlyFlushes {
				start := time.Now()
				if _, err := b.Write(t.Context(), Write{Key: fmt.Sprint(job), Value: []byte(`1`)}); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(start); took != slowTableDelay {
					t.Errorf("job %d, write %d took %v instead of the time of one transaction", job, write, took)
				}
			}
		}
	})
}

// Guards against early flushes that use up the platform's write rate under load:
// on average, no more than one transaction may start in a flush interval, however
// many rows arrive.
func TestBatchLimitsTransactionsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &slowTable{}
		b := NewBatcher(table, BatchOptions{EarlyFlushes: DefaultEarlyFlushes})
		const load, writers = 2 * time.Second, 20
		end := time.Now().Add(load)
		var wg sync.WaitGroup
		for w := range writers {
			wg.Go(func() {
				time.Sleep(time.Duration(w) * time.Millisecond)
				for n := 0; time.Now().Before(end); n++ {
					if _, err := b.Write(t.Context(), Write{Key: fmt.Sprint(w, n), Value: []byte(`1`)}); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		if err := b.Close(context.Background()); err != nil {
			t.Error(err)
		}
		if limit := int(load/DefaultFlushInterval) + DefaultEarlyFlushes + 1; table.txns > limit {
			t.Errorf("%d transactions in %v, limit is %d", table.txns, load, limit)
		}
	})
}
