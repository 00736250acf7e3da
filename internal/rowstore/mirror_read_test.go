package rowstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
)

// lateStore delivers the answers to reads later than the store has given them.
type lateStore struct {
	rowstore.Store
	by time.Duration
}

func (s lateStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	page, err := s.Store.Feed(ctx, table, after, wait)
	time.Sleep(s.by)
	return page, err
}

func (s lateStore) List(ctx context.Context, table, from string, limit int) (rowstore.Page, error) {
	page, err := s.Store.List(ctx, table, from, limit)
	time.Sleep(s.by)
	return page, err
}

// Guards against a reader that takes what it has read for the state at the time of the answer:
// a row that was written while the answer was on its way is not in it.
func TestReadCountsFromItsBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := rowstorestub.New()
		began := time.Now()
		m := rowstore.NewMirror(lateStore{store.ClientFor("p"), 400 * time.Millisecond}, table, eventlog.Discard(), nil)
		m.Clock = func() time.Duration { return time.Since(began) }
		var mu sync.Mutex
		written := map[string]time.Duration{} // rows that have not been read
		reads := 0
		m.OnRead = func(r rowstore.Read) {
			mu.Lock()
			defer mu.Unlock()
			reads++
			for _, row := range r.Rows {
				delete(written, row.Key)
			}
			for key, at := range written {
				if r.Began > at {
					t.Errorf("a read that began at %v lacks the row %s, which was written at %v", r.Began, key, at)
				}
			}
		}
		var run sync.WaitGroup
		run.Go(func() { m.Run(ctx) })
		for i := range 40 {
			time.Sleep(330 * time.Millisecond)
			mu.Lock()
			key := fmt.Sprint("k", i)
			written[key] = time.Since(began)
			store.Put(table, key, nil)
			mu.Unlock()
		}
		cancel()
		run.Wait()
		if reads < 10 {
			t.Errorf("only %d reads", reads)
		}
	})
}

// Guards against an outage that is dated later than it was: the time is that at which the newest
// read in vain began, not that at which it failed, and reads in progress count once overdue.
func TestUnansweredAsOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := rowstorestub.New()
		m := rowstore.NewMirror(store.ClientFor("p"), table, eventlog.Discard(), nil)
		began := time.Now()
		m.Clock = func() time.Duration { return time.Since(began) }
		var run sync.WaitGroup
		run.Go(func() { m.Run(ctx) })
		time.Sleep(5 * time.Second)
		if at, ok := m.UnansweredAsOf(); ok {
			t.Errorf("unanswered at %v without a failure", at)
		}
		store.SetFaults(rowstorestub.Faults{Silent: true})
		silent := time.Since(began)
		for time.Since(began) < silent+10*time.Second {
			time.Sleep(50 * time.Millisecond)
			if at, ok := m.UnansweredAsOf(); ok && (at < silent-time.Second || at > time.Since(began)-200*time.Millisecond) {
				t.Fatalf("%v after the begin, unanswered at %v after it", time.Since(began)-silent, at-silent)
			}
		}
		store.SetFaults(rowstorestub.Faults{})
		recovered := time.Since(began)
		time.Sleep(10 * time.Second)
		if at, ok := m.UnansweredAsOf(); !ok || at > recovered || at < recovered-4*time.Second {
			t.Errorf("unanswered at %v after the recovery, found %v", at-recovered, ok)
		}
		cancel()
		run.Wait()
	})
}
