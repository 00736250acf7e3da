package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// knownIDs returns the IDs of the known entries, each followed by a space.
func knownIDs(e *Entries) string {
	var s string
	for _, info := range e.List() {
		s += info.ID + " "
	}
	return s
}

// Guards against an entry that stays known after it stopped, an entry that is
// dropped because of an outage of the table, and rows that are never deleted.
func TestEntriesFollowRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platformstub.New(platformstub.Options{})
		table := server.InProcess()
		var wg sync.WaitGroup
		start := func(id string) (*Entries, context.CancelFunc) {
			ctx, cancel := context.WithCancel(t.Context())
			e := NewEntries(EntriesOptions{Table: table, Self: structs.EntryInfo{ID: id, RPCAddr: id + ":1"}})
			wg.Go(func() { e.Run(ctx) })
			return e, cancel
		}
		a, stopA := start("a")
		b, stopB := start("b")
		_, stopC := start("c")
		time.Sleep(6 * second)
		if knownIDs(a) != "a b c " || knownIDs(b) != "a b c " {
			t.Fatalf("a knows %s, b knows %s", knownIDs(a), knownIDs(b))
		}
		_, version := a.Known()
		time.Sleep(20 * second)
		if _, v := a.Known(); v != version {
			t.Error("renewals changed the version of the set")
		}
		setFaults(t, server, platformstub.Faults{TableDown: true})
		time.Sleep(5 * time.Minute)
		setFaults(t, server, platformstub.Faults{})
		time.Sleep(11 * second)
		if knownIDs(a) != "a b c " {
			t.Errorf("after an outage, a knows %s", knownIDs(a))
		}
		stopC()
		time.Sleep(10 * second)
		if knownIDs(a) != "a b c " {
			t.Errorf("10 s after c stopped, a knows %s", knownIDs(a))
		}
		time.Sleep(16 * second)
		if knownIDs(a) != "a b " {
			t.Errorf("26 s after c stopped, a knows %s", knownIDs(a))
		}
		time.Sleep(entryRowExpiry)
		if _, err := table.Get(t.Context(), "entries/none/c"); !verdict.HasCode(err, verdict.CodeNotFound) {
			t.Errorf("row of c: %v", err)
		}
		if err := b.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * second)
		if knownIDs(a) != "a " {
			t.Errorf("after b left, a knows %s", knownIDs(a))
		}
		stopA()
		stopB()
		wg.Wait()
	})
}

// Guards against deleting a row that its entry has renewed, and against a malformed
// row that prevents reading the others.
func TestEntriesExpireByUnchangedTime(t *testing.T) {
	e := NewEntries(EntriesOptions{Self: structs.EntryInfo{ID: "a"}})
	rows := []platformclient.Row{
		{Key: "entries/b", Version: 1, Value: []byte(`{"id":"b"}`)},
		{Key: "entries/c", Version: 2, Value: []byte(`{"id":"x"}`)},
		{Key: "entries/d", Version: 3, Value: []byte(`no JSON`)},
	}
	now := time.Now()
	for i := range 20 {
		now = now.Add(5 * second)
		set, gone := e.classify(rows, now)
		unchanged := time.Duration(i) * 5 * second
		if (len(set) == 2) != (unchanged < DefaultEntryExpiry) || (len(gone) == 1) != (unchanged >= entryRowExpiry) {
			t.Errorf("unchanged for %v: set %v, gone %v", unchanged, set, gone)
		}
	}
	rows[0].Version = 9
	if set, gone := e.classify(rows, now.Add(5*second)); len(set) != 2 || len(gone) != 0 {
		t.Errorf("renewed: set %v, gone %v", set, gone)
	}
}

// countingTable counts the rows returned by List.
type countingTable struct {
	platformclient.Table
	rows atomic.Int64
}

func (c *countingTable) List(ctx context.Context, prefix, after string, limit int) ([]platformclient.Row, error) {
	rows, err := c.Table.List(ctx, prefix, after, limit)
	c.rows.Add(int64(len(rows)))
	return rows, err
}

// Guards against entries that keep reading the rows of other regions, that list
// entries of other regions, or that miss entries of an earlier release.
func TestEntriesReadOwnRegionAndLegacyRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platformstub.New(platformstub.Options{})
		put := func(key, id string) {
			t.Helper()
			txn := platformclient.Txn{Puts: []platformclient.Put{{Key: key, Value: []byte(`{"id":"` + id + `","rpcAddr":"` + key + `"}`)}}}
			if _, err := server.InProcess().Commit(t.Context(), txn); err != nil {
				t.Fatal(err)
			}
		}
		put("entries/a", "a")       // written by a itself before its upgrade
		put("entries/old", "old")   // an entry of an earlier release
		put("entries/both", "both") // an upgraded entry, which has both rows
		put("entries/r1/both", "both")
		put("entries/r2/far", "far")
		ctx, cancel := context.WithCancel(t.Context())
		table := &countingTable{Table: server.InProcess()}
		a := NewEntries(EntriesOptions{Table: table, Self: structs.EntryInfo{ID: "a", RPCAddr: "a:1"}, Region: "r1"})
		var wg sync.WaitGroup
		wg.Go(func() { a.Run(ctx) })
		time.Sleep(second)
		if knownIDs(a) != "a both old " || a.List()[1].RPCAddr != "entries/r1/both" {
			t.Errorf("a knows %+v", a.List())
		}
		if _, err := table.Get(ctx, "entries/a"); !verdict.HasCode(err, verdict.CodeNotFound) {
			t.Errorf("legacy row of a: %v", err)
		}
		time.Sleep(entryRowExpiry + 10*second)
		if knownIDs(a) != "a " {
			t.Errorf("after the rows expired, a knows %s", knownIDs(a))
		}
		if rows, err := table.Table.List(ctx, "entries/", "", 100); err != nil || len(rows) != 2 {
			t.Errorf("rows %v, %v", rows, err)
		}
		time.Sleep(5 * second)
		table.rows.Store(0)
		time.Sleep(50 * second)
		if n := table.rows.Load(); n != 10 {
			t.Errorf("%d rows read in 50 s", n)
		}
		put("entries/late", "late") // for example after an upgrade was rolled back
		time.Sleep(fullListInterval)
		put("entries/late", "late")
		time.Sleep(6 * second)
		if knownIDs(a) != "a late " {
			t.Errorf("a knows %s, want also the entry of an earlier release", knownIDs(a))
		}
		cancel()
		wg.Wait()
	})
}
