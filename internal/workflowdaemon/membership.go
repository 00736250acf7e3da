package workflowdaemon

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Constants of the rows of entries.
const (
	// rowInterval is how often an entry looks after its own row and, as owner,
	// after those of entries that no longer exist.
	rowInterval = time.Second
	// entryGone is the time without an answer after which the owner removes the
	// row of an entry.
	entryGone = 10 * time.Second
	// handOverAfter is the time after which an owner hands over to a stronger
	// entry. Most inherited work has been recovered by then.
	handOverAfter = 3 * time.Second
	// answeredLately is the age of an entry's last answer up to which it counts as
	// able to take over; it is asked every rowInterval.
	answeredLately = 2 * rowInterval
	// entryCalls bounds the calls to other entries at a time.
	entryCalls = 8
	// giveUpAge is the age from which an owner leaves the row to others.
	giveUpAge = 5 * time.Second
)

// contact is when another entry was first asked and last answered.
type contact struct{ first, answered time.Time }

// silent returns the time without an answer.
func (c contact) silent() time.Duration {
	if c.answered.After(c.first) {
		return time.Since(c.answered)
	}
	return time.Since(c.first)
}

// keepRows keeps the entry's own row and, as owner, removes those of entries
// that are gone and hands over to a stronger one.
func (e *Entry) keepRows(ctx context.Context) {
	if e.rows.WaitFor(ctx, 0) != nil {
		return // stopped
	}
	for {
		if !e.Leaving() {
			e.keepRow(ctx)
			if e.currentOwner() != nil {
				e.removeGone(ctx)
				e.handOver(ctx)
			}
		}
		if !retry.Sleep(ctx, retry.Jitter(rowInterval)) {
			return
		}
	}
}

func (e *Entry) keepRow(ctx context.Context) {
	row, ok := e.rows.Get(workflow.EntryPrefix + e.o.ID)
	value, err := json.Marshal(entryRow{Addr: e.o.RPCAddr, Zone: e.o.Zone, MilliCores: e.o.MilliCores})
	if err == nil && (!ok || string(row.Value) != string(value)) {
		e.writeRow(ctx, row.Version, value)
	}
}

// handOver releases the ownership if a stronger candidate has answered just now,
// and this process has had time to recover what it inherited, or if this process
// can renew its row and does not learn of changes.
func (e *Entry) handOver(ctx context.Context) {
	e.mu.Lock()
	settled := time.Since(e.acquired) > handOverAfter
	contacts := maps.Clone(e.contacts)
	e.mu.Unlock()
	answers := func(id string) bool { return time.Since(contacts[id].answered) < answeredLately }
	age := e.knowledgeAge()
	giveUp := settled && age > giveUpAge
	if !e.elector.HasAuthority() || !giveUp && !(settled && e.rows.InTouch() && e.entries.stronger(e.o.ID, answers)) {
		return
	}
	e.o.Log.Event("owner_steps_down", "knowledgeAgeMs", age.Milliseconds(), "place", e.entries.place(e.o.ID))
	if err := e.elector.StepDown(ctx); err != nil {
		e.o.Log.Event("release_failed", "err", err.Error())
	}
}

func (e *Entry) writeRow(ctx context.Context, version uint64, value []byte) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout*2)
	defer cancel()
	key := workflow.EntryPrefix + e.o.ID
	version, err := e.store.Commit(ctx, rowstore.Txn{
		Checks: []rowstore.Check{{Table: Table, Key: key, Version: version}},
		Puts:   []rowstore.Put{{Table: Table, Key: key, Value: value}},
	})
	if err != nil {
		e.o.Log.Event("entry_row_not_written", "err", err.Error())
		return
	}
	e.rows.Note(rowstore.Row{Table: Table, Key: key, Value: value, Version: version})
}

func (e *Entry) removeGone(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(entryCalls)
	for id, addr := range e.peers() {
		calls.Go(func() error {
			e.removeIfGone(ctx, id, addr)
			return nil
		})
	}
	// The calls return no error.
	_ = calls.Wait()
}

func (e *Entry) removeIfGone(ctx context.Context, id, addr string) {
	limited, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	// A promise for epoch 0 binds nobody.
	err := e.o.Caller.Call(limited, addr, workflowrpc.MethodConfirm, &workflowrpc.ConfirmArgs{}, &workflowrpc.ConfirmReply{})
	e.mu.Lock()
	c := e.contacts[id]
	if c.first.IsZero() {
		c.first = time.Now()
	}
	if err == nil {
		c.answered = time.Now()
	}
	e.contacts[id] = c
	e.mu.Unlock()
	if silent := c.silent(); silent > entryGone {
		if row, ok := e.rows.Get(workflow.EntryPrefix + id); ok {
			e.o.Log.Event("entry_removed", "entry", id, "addr", addr, "silentMs", silent.Milliseconds())
			e.deleteRow(ctx, row)
		}
	}
}

func (e *Entry) deleteRow(ctx context.Context, row rowstore.Row) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout*2)
	defer cancel()
	_, err := e.store.Commit(ctx, rowstore.Txn{
		Checks:  []rowstore.Check{{Table: Table, Key: row.Key, Version: row.Version}},
		Deletes: []rowstore.Ref{{Table: Table, Key: row.Key}},
	})
	if err != nil {
		e.o.Log.Event("entry_row_not_removed", "key", row.Key, "err", err.Error())
	}
}
