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
	// rowCheckInterval is how often an entry looks after its own row and, as owner,
	// after those of entries that no longer exist.
	rowCheckInterval = time.Second
	// removeEntryAfter is the time without an answer after which the owner removes the
	// row of an entry.
	removeEntryAfter = 10 * time.Second
	// minOwnershipTime is the time after which an owner hands over to a stronger
	// entry. Most inherited work has been recovered by then.
	minOwnershipTime = 3 * time.Second
	// recentContactAge is the age of an entry's last answer up to which it counts as
	// able to take over; it is asked every rowCheckInterval.
	recentContactAge = 2 * rowCheckInterval
	// maxConcurrentPeerCalls bounds the calls to other entries at a time.
	maxConcurrentPeerCalls = 8
	// stepDownRowsAge is the age from which an owner leaves the row to others.
	stepDownRowsAge = 5 * time.Second
)

// contact is when another entry was first asked and last answered.
type peerContact struct{ firstAsked, lastAnswered time.Time }

// silent returns the time without an answer.
func (c peerContact) silentFor() time.Duration {
	if c.lastAnswered.After(c.firstAsked) {
		return time.Since(c.lastAnswered)
	}
	return time.Since(c.firstAsked)
}

// maintainEntryRows keeps the entry's own row and, as owner, removes those of entries
// that are gone and hands over to a stronger one.
func (e *Entry) maintainEntryRows(ctx context.Context) {
	if e.tableMirror.WaitFor(ctx, 0) != nil {
		return // stopped
	}
	for {
		if !e.Leaving() {
			e.maintainOwnRow(ctx)
			if e.currentOwner() != nil {
				e.removeGoneEntries(ctx)
				e.stepDownIfNeeded(ctx)
			}
		}
		if !retry.Sleep(ctx, retry.Jitter(rowCheckInterval)) {
			return
		}
	}
}

func (e *Entry) maintainOwnRow(ctx context.Context) {
	row, ok := e.tableMirror.Get(workflow.EntryPrefix + e.opts.ID)
	value, err := json.Marshal(entryRow{Addr: e.opts.RPCAddr, Zone: e.opts.Zone, MilliCores: e.opts.MilliCores})
	if err == nil && (!ok || string(row.Value) != string(value)) {
		e.writeOwnRow(ctx, row.Version, value)
	}
}

// stepDownIfNeeded releases the ownership if a stronger candidate has answered just now,
// and this process has had time to recover what it inherited, or if this process
// can renew its row and does not learn of changes.
func (e *Entry) stepDownIfNeeded(ctx context.Context) {
	e.mu.Lock()
	settled := time.Since(e.ownerSince) > minOwnershipTime
	contacts := maps.Clone(e.peerContacts)
	e.mu.Unlock()
	answers := func(id string) bool { return time.Since(contacts[id].lastAnswered) < recentContactAge }
	age := e.rowsAge()
	giveUp := settled && age > stepDownRowsAge
	if !e.elector.HasAuthority() || !giveUp && !(settled && e.tableMirror.InTouch() && e.entries.hasLargerCandidate(e.opts.ID, answers)) {
		return
	}
	e.opts.Log.Event("owner_steps_down", "knowledgeAgeMs", age.Milliseconds(), "place", e.entries.position(e.opts.ID))
	if err := e.elector.StepDown(ctx); err != nil {
		e.opts.Log.Event("release_failed", "err", err.Error())
	}
}

func (e *Entry) writeOwnRow(ctx context.Context, version uint64, value []byte) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout*2)
	defer cancel()
	key := workflow.EntryPrefix + e.opts.ID
	version, err := e.store.Commit(ctx, rowstore.Txn{
		Checks: []rowstore.Check{{Table: Table, Key: key, Version: version}},
		Puts:   []rowstore.Put{{Table: Table, Key: key, Value: value}},
	})
	if err != nil {
		e.opts.Log.Event("entry_row_not_written", "err", err.Error())
		return
	}
	e.tableMirror.Note(rowstore.Row{Table: Table, Key: key, Value: value, Version: version})
}

func (e *Entry) removeGoneEntries(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentPeerCalls)
	for id, addr := range e.peerAddrsByID() {
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
	err := e.opts.Caller.Call(limited, addr, workflowrpc.MethodConfirm, &workflowrpc.ConfirmArgs{}, &workflowrpc.ConfirmReply{})
	e.mu.Lock()
	c := e.peerContacts[id]
	if c.firstAsked.IsZero() {
		c.firstAsked = time.Now()
	}
	if err == nil {
		c.lastAnswered = time.Now()
	}
	e.peerContacts[id] = c
	e.mu.Unlock()
	if silent := c.silentFor(); silent > removeEntryAfter {
		if row, ok := e.tableMirror.Get(workflow.EntryPrefix + id); ok {
			e.opts.Log.Event("entry_removed", "entry", id, "addr", addr, "silentMs", silent.Milliseconds())
			e.deleteEntryRow(ctx, row)
		}
	}
}

func (e *Entry) deleteEntryRow(ctx context.Context, row rowstore.Row) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout*2)
	defer cancel()
	_, err := e.store.Commit(ctx, rowstore.Txn{
		Checks:  []rowstore.Check{{Table: Table, Key: row.Key, Version: row.Version}},
		Deletes: []rowstore.Ref{{Table: Table, Key: row.Key}},
	})
	if err != nil {
		e.opts.Log.Event("entry_row_not_removed", "key", row.Key, "err", err.Error())
	}
}
