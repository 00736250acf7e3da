package rowstorestub

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// TestRatesAreKept guards against simulations whose store is faster than the users': it applies
// 150 transactions a second in a partition, lets others wait for a second and refuses the rest.
func TestRatesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New()
		table.Rates = UsersRates
		c := table.ClientFor("p")
		began := time.Now()
		var mu sync.Mutex
		applied, refused, last := 0, 0, time.Duration(0)
		var calls sync.WaitGroup
		for i := range 500 {
			calls.Go(func() {
				key := fmt.Sprint(i)
				_, err := c.Commit(t.Context(), rowstore.Txn{Checks: []rowstore.Check{{Table: "t", Key: key}}, Puts: []rowstore.Put{{Table: "t", Key: key}}})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					applied, last = applied+1, max(last, time.Since(began))
				case verdict.Of(err) == verdict.NotRun && !rowstore.RefusedForGood(err):
					refused++
				default:
					t.Error(err)
				}
			})
		}
		calls.Wait()
		if applied < 150 || applied > 152 || refused != 500-applied || last < 900*time.Millisecond || last > 1100*time.Millisecond {
			t.Errorf("%d transactions were applied within %v, %d refused", applied, last, refused)
		}
		reads := 0
		for range 3000 {
			if _, _, err := c.Get(t.Context(), "t", "1"); err == nil {
				reads++
			}
		}
		if reads != int(UsersRates.Reads) {
			t.Errorf("%d of 3000 reads at once are served", reads)
		}
		time.Sleep(time.Second)
		if _, _, err := c.Get(t.Context(), "t", "1"); err != nil {
			t.Errorf("a read after a second: %v", err)
		}
	})
}

// TestTablesAreLimited guards against a product that needs more tables than the store has.
func TestTablesAreLimited(t *testing.T) {
	c := New().ClientFor("p")
	refused := 0
	for i := range maxTables + 1 {
		name := fmt.Sprint(i)
		_, err := c.Commit(t.Context(), rowstore.Txn{Checks: []rowstore.Check{{Table: name, Key: "k"}}, Puts: []rowstore.Put{{Table: name, Key: "k"}}})
		if rowstore.RefusedForGood(err) {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("%d of %d tables are refused, want one", refused, maxTables+1)
	}
}
