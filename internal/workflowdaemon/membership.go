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

// Constants for the rows of entries.
const (
	// rowCheckInterval is the mean interval at which an entry checks its own row
	// and, as owner, calls the other entries.
	rowCheckInterval = time.Second
	// removeEntryAfter is the time without an answer after which the owner removes
	// an entry's row.
	removeEntryAfter = 10 * time.Second
	// minOwnershipTime is the time for which an owner keeps the ownership before it
	// steps down for a larger entry. By then it has recovered most of the work of
	// its predecessor.
	minOwnershipTime = 3 * time.Second
	// recentContactAge is the age of an entry's last answer up to which it counts
	// as able to take over. Each entry is called every rowCheckInterval.
	recentContactAge = 2 * rowCheckInterval
	// maxConcurrentPeerCalls limits the concurrent calls to other entries.
	maxConcurrentPeerCalls = 8
	// stepDownRowsAge is the age of the owner's copy of the rows above which it
	// steps down.
	stepDownRowsAge = 5 * time.Second
)

// peerContact records when another entry was first called and when it last
// answered.
type peerContact struct{ firstAsked, lastAnswered time.Time }

// silentFor returns the time since the last answer, or since the first call if
// there was no answer.
func (c peerContact) silentFor() time.Duration {
	if c.lastAnswered.After(c.firstAsked) {
		return time.Since(c.lastAnswered)
	}
	return time.Since(c.firstAsked)
}

// maintainEntryRows keeps the entry's own row up to date. As owner it also removes
// the rows of entries that are gone and steps down if it should.
func (e *Entry) maintainEntryRows(ctx context.Context) {
	// An entry that has not read the rows yet does not know its own one.
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

// maintainOwnRow writes the entry's own row if it is missing or differs.
func (e *Entry) maintainOwnRow(ctx context.Context) {
	row, ok := e.tableMirror.Get(workflow.EntryPrefix + e.opts.ID)
	value, err := json.Marshal(entryRow{Addr: e.opts.RPCAddr, Zone: e.opts.Zone, MilliCores: e.opts.MilliCores})
	if err == nil && (!ok || string(row.Value) != string(value)) {
		e.writeOwnRow(ctx, row.Version, value)
	}
}

// stepDownIfNeeded releases the ownership in two cases: a larger candidate has
// answered recently and this process has had time to recover its predecessor's
// work, or this process can renew the owner row but does not receive changes of the
// rows.
func (e *Entry) stepDownIfNeeded(ctx context.Context) {
	e.mu.Lock()
	ownedLong := time.Since(e.ownerSince) > minOwnershipTime
	contacts := maps.Clone(e.peerContacts)
	e.mu.Unlock()
	answeredRecently := func(id string) bool { return time.Since(contacts[id].lastAnswered) < recentContactAge }
	age := e.rowsAge()
	staleRows := ownedLong && age > stepDownRowsAge
	if !e.elector.HasAuthority() || !staleRows && !(ownedLong && e.tableMirror.StoreResponding() && e.entries.hasLargerCandidate(e.opts.ID, answeredRecently)) {
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
	e.tableMirror.RecordRow(rowstore.Row{Table: Table, Key: key, Value: value, Version: version})
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
	// The functions return no errors.
	_ = calls.Wait()
}

// removeIfGone calls an entry and deletes its row if it has not answered for
// removeEntryAfter.
func (e *Entry) removeIfGone(ctx context.Context, id, addr string) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	// This checks that the entry answers, and learns what it knows of evacuated zones. It also
	// tells a restarted entry that the store refuses where to find another entry.
	reply, began := &workflowrpc.ConfirmReply{}, e.opts.Clock()
	err := e.opts.Caller.Call(callCtx, addr, workflowrpc.MethodConfirm, e.confirmArgs(), reply)
	e.config.evacuations.merge(reply.Evacuations, began, addr)
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
