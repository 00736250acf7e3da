// Package election elects the owner among the entries: the one process that
// decides where tasks run. The owner renews a row of the store. Each change of
// owner increments the epoch, which fences off the requests of earlier owners.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
)

// Keys of the rows of the election: RowKey is the key of the owner row, and FenceKey
// that of the fence row. The fence row is written only by a takeover,
// in the transaction that replaces the owner row. Every other write of an owner
// checks the version of the fence row, so that a former owner cannot write anything
// even before it notices that it has lost the ownership.
const (
	RowKey   = "owner"
	FenceKey = "epoch"
)

// Times of the election. An owner without access to the store stops acting
// AuthorityDuration after its last confirmation. Other entries wait for Expiry,
// which is longer by the delay of a call, before they take over.
const (
	RenewInterval     = 500 * time.Millisecond
	AuthorityDuration = 1500 * time.Millisecond
	Expiry            = 1900 * time.Millisecond
	// probeDelay is the time without a write of the owner after which candidates
	// check whether the owner's process still exists. It also limits that check.
	probeDelay = 700 * time.Millisecond
	// confirmInterval is the time without an answer of the store to a renewal after
	// which the other entries are asked for confirmation, and the interval of further
	// requests. It is longer than a normal renewal takes.
	confirmInterval = 300 * time.Millisecond
	// stepInterval is how often Run checks the state. It adds to the duration of a
	// takeover.
	stepInterval = 50 * time.Millisecond
	callTimeout  = 1400 * time.Millisecond
)

// Holder is the value of the owner row. An empty ID means that the last owner has
// released it.
type Holder struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	// Incarnation distinguishes processes with the same ID.
	Incarnation int64 `json:"incarnation"`
	// Epoch is the fencing token. It increases with each change of owner.
	Epoch uint64 `json:"epoch"`
	// Renewal counts the writes of the row in this epoch.
	Renewal uint64 `json:"renewal"`
}

// Term is one period of ownership.
type Term struct {
	Epoch uint64
	// Version is the version of the store after the takeover. The fence row has it too.
	Version uint64
}

// Options configure an Elector.
type Options struct {
	Store  rowstore.Store
	Mirror *rowstore.Mirror
	Table  string
	Self   Holder
	Log    *eventlog.Log
	// Clock is a monotonic clock that keeps running while the machine is suspended.
	Clock func() time.Duration
	// ProcessGone reports whether it is certain that the process at an RPC address
	// no longer exists.
	ProcessGone func(ctx context.Context, addr string) bool
	// Confirm asks all other entries not to take over for another Expiry (see
	// PromiseNotToTakeOver), and reports whether none refused and a majority of all
	// entries, this one included, agreed. It is used while the row cannot be renewed.
	Confirm func(ctx context.Context, epoch uint64) bool
	// Delay returns how long this process waits before it takes a free row, so that
	// preferred candidates can take it; nil for no delay. FirstDelay is added to it
	// before the first election of a deployment, when there has been no owner yet.
	Delay      func() time.Duration
	FirstDelay time.Duration
	// OnAcquire and OnLose are called alternately: OnAcquire by Run, OnLose by Run or
	// by Release and StepDown.
	OnAcquire func(Term)
	OnLose    func(reason string)
}

// Elector takes part in the election. It is safe for concurrent use.
type Elector struct {
	options Options

	mu sync.Mutex
	// owner is the newest known value of the owner row, and ownerRowVersion its version.
	// expiryStart is the time from which Expiry counts: when this value, or another
	// write of the owner, was first observed.
	owner           Holder
	ownerRowVersion uint64
	expiryStart     time.Time
	// otherWriteVersion is the newest version of other rows written by the owner.
	otherWriteVersion uint64
	// isOwner means that this process is owner. confirmed is when the last write or
	// request that confirmed the ownership was sent, on Clock.
	isOwner   bool
	confirmed time.Duration
	// promisedUntil is the time until which this process has promised not to take over.
	promisedUntil time.Time
	// abstainUntil is the time until which this process does not take the row that it
	// released.
	abstainUntil time.Time
	withdrawn    bool   // Release was called: never take over again
	lossReason   string // why the ownership ended; cleared once Run has handled it
	probing      bool   // probeOwner is in progress
	renewing     bool   // renew is in progress
}

// New returns an elector that does nothing until Run is called.
func New(o Options) *Elector {
	return &Elector{options: o, expiryStart: time.Now()}
}

// Observe passes a version of the owner row from the mirror to the elector.
func (e *Elector) Observe(r rowstore.Row) {
	var h Holder
	if err := json.Unmarshal(r.Value, &h); err != nil && !r.Deleted {
		e.options.Log.Event("owner_row_unreadable", "version", r.Version, "err", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setOwner(h, r.Version)
}

// setOwner records a newer version of the owner row. The caller holds e.mu.
func (e *Elector) setOwner(h Holder, version uint64) {
	if version <= e.ownerRowVersion {
		return
	}
	e.owner, e.ownerRowVersion, e.expiryStart = h, version, time.Now()
	if e.isOwner && (h.ID != e.options.Self.ID || h.Incarnation != e.options.Self.Incarnation) {
		e.lossReason = "another entry holds the row"
	}
}

// Owner returns the newest known owner; false if there is none.
func (e *Elector) Owner() (Holder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner, e.owner.ID != ""
}

// HasAuthority reports whether this process is owner and was confirmed so recently
// that no other entry can have taken over.
func (e *Elector) HasAuthority() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwner && e.lossReason == "" && e.options.Clock()-e.confirmed < AuthorityDuration
}

// NoticeEpoch reports an epoch that another process has seen. If it is higher than
// the epoch of this owner, the ownership ends.
func (e *Elector) NoticeEpoch(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isOwner && epoch > e.owner.Epoch {
		e.lossReason = "a higher epoch is in use"
	}
}

// NoticeFencedWrite records that a write by this owner which checks the fence row,
// and was sent at a time on Clock, took effect. No other entry had taken over by
// then, so the write confirms the ownership.
func (e *Elector) NoticeFencedWrite(epoch uint64, sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isOwner && e.owner.Epoch == epoch {
		e.confirmed = max(e.confirmed, sent)
	}
}

// NoticeOwnerWrite records that the owner of the newest known epoch has written
// another row, with the given version. The owner is alive even if it has not renewed
// the owner row, so Expiry starts again.
func (e *Elector) NoticeOwnerWrite(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version > e.ownerRowVersion && version > e.otherWriteVersion && !e.isOwner {
		e.otherWriteVersion, e.expiryStart = version, time.Now()
	}
}

// PromiseNotToTakeOver asks this process not to take over for Expiry from now, and
// reports whether it agrees. It agrees only while it cannot reach the store either: if the
// owner alone cannot reach the store, it misses what the other entries accept and
// must be replaced.
func (e *Elector) PromiseNotToTakeOver(epoch uint64) bool {
	reachable := e.options.Mirror.StoreResponding()
	e.mu.Lock()
	defer e.mu.Unlock()
	if reachable || e.isOwner || e.owner.Epoch > epoch {
		return false
	}
	e.promisedUntil = time.Now().Add(Expiry)
	return true
}

// Run takes part in the election until ctx ends. It does not release the row: see
// Release.
func (e *Elector) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.step(ctx)
	}
}

// step handles a loss of the ownership, starts a renewal that is due, takes over, or
// starts a probe of the owner's process.
func (e *Elector) step(ctx context.Context) {
	e.mu.Lock()
	switch {
	case e.isOwner && e.lossReason != "":
		reason := e.lossReason
		e.isOwner, e.lossReason = false, ""
		e.mu.Unlock()
		e.options.Log.Event("ownership_lost", "reason", reason)
		e.options.OnLose(reason)
	case e.isOwner:
		due := !e.renewing && e.options.Clock()-e.confirmed >= RenewInterval
		e.renewing = e.renewing || due
		e.mu.Unlock()
		if due {
			go e.renew(ctx)
		}
	default:
		take := e.canTakeOver()
		probe := !take && e.owner.ID != "" && !e.probing && time.Since(e.expiryStart) > probeDelay
		e.probing = e.probing || probe
		addr := e.owner.Addr
		e.mu.Unlock()
		if take {
			e.takeOver(ctx)
		} else if probe {
			go e.probeOwner(ctx, addr)
		}
	}
}

// canTakeOver reports whether this process may take over now. The caller holds
// e.mu.
func (e *Elector) canTakeOver() bool {
	if !e.options.Mirror.StoreResponding() || e.withdrawn {
		// The row may have been renewed without this process observing it, so Expiry
		// starts again.
		e.expiryStart = time.Now()
		return false
	}
	if time.Now().Before(e.abstainUntil) {
		return false
	}
	var delay time.Duration
	if e.options.Delay != nil {
		delay = e.options.Delay()
	}
	if e.owner.ID == "" && e.owner.Epoch == 0 {
		delay += e.options.FirstDelay
	}
	if e.owner.ID == "" || e.owner.ID == e.options.Self.ID {
		// The row was released, never written, or written by an earlier process with
		// the ID of this one.
		return time.Since(e.expiryStart) >= delay
	}
	return time.Since(e.expiryStart) > Expiry+delay && time.Now().After(e.promisedUntil)
}

// probeOwner lets this process take over without waiting for Expiry if the owner's
// process no longer exists.
func (e *Elector) probeOwner(ctx context.Context, addr string) {
	probeCtx, cancel := context.WithTimeout(ctx, probeDelay)
	defer cancel()
	gone := e.options.ProcessGone(probeCtx, addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probing = false
	if gone && e.owner.Addr == addr && !e.isOwner {
		e.options.Log.Event("owner_process_gone", "owner", e.owner.ID, "addr", addr, "epoch", e.owner.Epoch)
		e.expiryStart, e.promisedUntil = time.Now().Add(-Expiry-stepInterval), time.Time{}
	}
}

// takeOver writes the owner row and the fence row with the next epoch, and begins a
// term if that succeeds.
func (e *Elector) takeOver(ctx context.Context) {
	e.mu.Lock()
	before, version := e.owner, e.ownerRowVersion
	e.mu.Unlock()
	next := e.options.Self
	next.Epoch, next.Renewal = before.Epoch+1, 1
	sent := e.options.Clock()
	written, err := e.commitOwnerRow(ctx, next, version, true)
	if err != nil {
		e.options.Log.Event("takeover_failed", "epoch", next.Epoch, "err", err.Error())
		return
	}
	e.mu.Lock()
	e.owner, e.ownerRowVersion, e.expiryStart = next, written, time.Now()
	e.isOwner, e.confirmed, e.lossReason = true, sent, ""
	e.mu.Unlock()
	e.options.Log.Event("ownership_acquired", "epoch", next.Epoch, "version", written, "previousOwner", before.ID)
	e.options.OnAcquire(Term{next.Epoch, written})
}

// commitOwnerRow replaces the owner row, and the fence row too for a takeover. After a
// conflict, it records the current rows before it returns the error.
func (e *Elector) commitOwnerRow(ctx context.Context, h Holder, version uint64, takeover bool) (uint64, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	txn := rowstore.Txn{
		Checks: []rowstore.Check{{Table: e.options.Table, Key: RowKey, Version: version}},
		Puts:   []rowstore.Put{{Table: e.options.Table, Key: RowKey, Value: value}},
	}
	if takeover {
		fence, _ := e.options.Mirror.Get(FenceKey)
		txn.Checks = append(txn.Checks, rowstore.Check{Table: e.options.Table, Key: FenceKey, Version: fence.Version})
		txn.Puts = append(txn.Puts, rowstore.Put{Table: e.options.Table, Key: FenceKey, Value: value})
	}
	written, err := e.options.Store.Commit(ctx, txn)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		for _, r := range conflict.Rows {
			if r.Key == RowKey {
				e.Observe(r)
			} else {
				e.options.Mirror.RecordRow(r)
			}
		}
	}
	return written, err
}

// renew writes the owner row. If that takes longer than confirmInterval or fails, it
// asks the other entries to confirm the ownership.
func (e *Elector) renew(ctx context.Context) {
	e.mu.Lock()
	next, version := e.owner, e.ownerRowVersion
	e.mu.Unlock()
	next.Renewal++
	sent := e.options.Clock()
	done := make(chan error, 1)
	go func() {
		written, err := e.commitOwnerRow(ctx, next, version, false)
		if err == nil {
			e.mu.Lock()
			e.confirmed = max(e.confirmed, sent)
			if written > e.ownerRowVersion {
				e.owner, e.ownerRowVersion, e.expiryStart = next, written, time.Now()
			}
			e.mu.Unlock()
		}
		// After a failure, the next renewal retries. commitOwnerRow has recorded the
		// current rows after a conflict.
		done <- err
	}()
	for ended := false; !ended; {
		select {
		case err := <-done:
			ended = true
			if err == nil {
				continue
			}
		case <-time.After(confirmInterval):
		}
		asked := e.options.Clock()
		confirmCtx, cancel := context.WithTimeout(ctx, RenewInterval)
		confirmed := e.options.Confirm(confirmCtx, next.Epoch)
		cancel()
		e.mu.Lock()
		if confirmed && e.isOwner {
			e.confirmed = max(e.confirmed, asked)
		}
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.renewing = false
}

// Release releases the row so that another entry can take over at once, and ends
// this process's participation in the election.
func (e *Elector) Release(ctx context.Context) error {
	return e.release(ctx, true)
}

// StepDown releases the row so that a preferred candidate can take it. This process
// remains a candidate.
func (e *Elector) StepDown(ctx context.Context) error {
	return e.release(ctx, false)
}

// release ends the ownership and writes the released row. If withdraw is set, this
// process takes no further part in the election.
func (e *Elector) release(ctx context.Context, withdraw bool) error {
	e.mu.Lock()
	e.withdrawn, e.abstainUntil = e.withdrawn || withdraw, time.Now().Add(stepDownCooldown)
	wasOwner, row, version := e.isOwner, e.owner, e.ownerRowVersion
	e.isOwner = false
	e.mu.Unlock()
	if !wasOwner {
		return nil
	}
	e.options.OnLose("released")
	var err error
	for range maxReleaseAttempts {
		if _, err = e.commitOwnerRow(ctx, Holder{Epoch: row.Epoch, Renewal: row.Renewal + 1}, version, false); err == nil {
			e.options.Log.Event("ownership_released", "epoch", row.Epoch)
			return nil
		}
		e.mu.Lock()
		version = e.ownerRowVersion // a renewal in progress may have raised it
		stillOwned := e.owner.ID == e.options.Self.ID
		e.mu.Unlock()
		if !stillOwned {
			return nil
		}
	}
	return err
}

// stepDownCooldown is how long this process does not take a row that it released. It
// is longer than other candidates need to notice the free row and to write it.
const stepDownCooldown = 1500 * time.Millisecond

// maxReleaseAttempts allows for a conflict with a renewal in progress and one lost
// answer.
const maxReleaseAttempts = 3
