// Package election decides which entry is the owner: the one process that
// decides where tasks run. The owner holds a row of the store and renews it;
// each change of owner raises the epoch, which fences what earlier owners order.
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

// Keys of the rows of the election. The fence is written only by a takeover, in
// the transaction that takes the owner's row; every write of an owner checks its
// version, so that a former owner writes nothing, however late it notices.
const (
	RowKey   = "owner"
	FenceKey = "epoch"
)

// Times of the election. An owner that is cut off stops acting Authority after
// its last confirmed renewal; others wait for Expiry, which is longer by the
// delay of a call, before they take over.
const (
	RenewInterval = 500 * time.Millisecond
	Authority     = 1500 * time.Millisecond
	Expiry        = 1900 * time.Millisecond
	// probeAfter is the age of a renewal at which candidates ask whether the
	// owner's process still exists.
	probeAfter = 700 * time.Millisecond
	// confirmInterval is the time without an answer of the store after which, and
	// then how often, the other entries are asked. It is above a usual renewal.
	confirmInterval = 300 * time.Millisecond
	// tick is how often the state is looked at; it adds to a takeover.
	tick        = 50 * time.Millisecond
	callTimeout = 1400 * time.Millisecond
)

// Holder is the value of the owner's row. An empty ID says that the owner has
// released it.
type Holder struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	// Incarnation tells two processes of the same name apart.
	Incarnation int64 `json:"incarnation"`
	// Epoch is the fencing token. It grows with each change of owner.
	Epoch uint64 `json:"epoch"`
	// Renewal counts the writes of the row.
	Renewal uint64 `json:"renewal"`
}

// Term is one time as owner.
type Term struct {
	Epoch uint64
	// Version is the store's version at the takeover, and that of the fence.
	Version uint64
}

// Options configure an Elector.
type Options struct {
	Store  rowstore.Store
	Mirror *rowstore.Mirror
	Table  string
	Self   Holder
	Log    *eventlog.Log
	// Clock is a steady clock that counts suspensions.
	Clock func() time.Duration
	// ProcessGone reports whether the process at an RPC address certainly no
	// longer exists.
	ProcessGone func(ctx context.Context, addr string) bool
	// Confirm asks all other entries to stay candidates for another Expiry, and
	// reports whether all did. It is used while the row cannot be renewed.
	Confirm func(ctx context.Context, epoch uint64) bool
	// Delay returns how long this process leaves a free row to others; nil for not
	// at all. FirstDelay is added for a row that nobody has held.
	Delay      func() time.Duration
	FirstDelay time.Duration
	// OnAcquire and OnLose are called in turn from the goroutine of Run.
	OnAcquire func(Term)
	OnLose    func(reason string)
}

// Elector takes part in the election. It is safe for concurrent use.
type Elector struct {
	o Options

	mu sync.Mutex
	// row is the newest known row, changed when it or another write of the owner
	// was first seen.
	row     Holder
	version uint64
	changed time.Time
	// life is the newest version of another row that the owner wrote.
	life uint64
	// holding says that this process is owner; confirmed is when the last
	// confirmation began, on Clock.
	holding   bool
	confirmed time.Duration
	// promised is the time until which this process does not take over.
	promised time.Time
	// abstain is the time until which this process leaves the row that it gave up
	// to others.
	abstain  time.Time
	stopping bool
	lost     string // why ownership ended, until Run has noticed
	probing  bool
	renewing bool
}

// New returns an elector that does nothing until Run.
func New(o Options) *Elector {
	return &Elector{o: o, changed: time.Now()}
}

// Observe takes over the owner's row from the mirror.
func (e *Elector) Observe(r rowstore.Row) {
	var h Holder
	if err := json.Unmarshal(r.Value, &h); err != nil && !r.Deleted {
		e.o.Log.Event("owner_row_unreadable", "version", r.Version, "err", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(h, r.Version)
}

func (e *Elector) observe(h Holder, version uint64) {
	if version <= e.version {
		return
	}
	e.row, e.version, e.changed = h, version, time.Now()
	if e.holding && (h.ID != e.o.Self.ID || h.Incarnation != e.o.Self.Incarnation) {
		e.lost = "another entry holds the row"
	}
}

// Owner returns the newest known holder; false if there is none.
func (e *Elector) Owner() (Holder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.row, e.row.ID != ""
}

// HasAuthority reports whether this process is owner and was confirmed recently
// enough that no other can have taken over.
func (e *Elector) HasAuthority() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding && e.lost == "" && e.o.Clock()-e.confirmed < Authority
}

// NoticeEpoch ends the ownership if another process has seen a higher epoch.
func (e *Elector) NoticeEpoch(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holding && epoch > e.row.Epoch {
		e.lost = "a higher epoch is in use"
	}
}

// NoteFenced takes note that a write of the owner which checks the fence, and was
// sent at a time on Clock, took effect: nobody had taken over until then.
func (e *Elector) NoteFenced(epoch uint64, sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holding && e.row.Epoch == epoch {
		e.confirmed = max(e.confirmed, sent)
	}
}

// NoteLife takes note that the owner of the newest known epoch has written a row
// of the given version: it lives, though its row may not have been renewed.
func (e *Elector) NoteLife(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version > e.version && version > e.life && !e.holding {
		e.life, e.changed = version, time.Now()
	}
}

// Promise says that this process will not take over for Expiry from now. It
// promises only while the store does not serve it either: an owner that alone is
// out of touch misses what others accept, and has to be replaced. It reports
// whether it promised.
func (e *Elector) Promise(epoch uint64) bool {
	inTouch := e.o.Mirror.InTouch()
	e.mu.Lock()
	defer e.mu.Unlock()
	if inTouch || e.holding || e.row.Epoch > epoch {
		return false
	}
	e.promised = time.Now().Add(Expiry)
	return true
}

// Run takes part until ctx ends. It does not release the row: see Release.
func (e *Elector) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
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

func (e *Elector) step(ctx context.Context) {
	e.mu.Lock()
	switch {
	case e.holding && e.lost != "":
		reason := e.lost
		e.holding, e.lost = false, ""
		e.mu.Unlock()
		e.o.Log.Event("ownership_lost", "reason", reason)
		e.o.OnLose(reason)
	case e.holding:
		due := !e.renewing && e.o.Clock()-e.confirmed >= RenewInterval
		e.renewing = e.renewing || due
		e.mu.Unlock()
		if due {
			go e.renew(ctx)
		}
	default:
		take := e.mayTake()
		probe := !take && e.row.ID != "" && !e.probing && time.Since(e.changed) > probeAfter
		e.probing = e.probing || probe
		addr := e.row.Addr
		e.mu.Unlock()
		if take {
			e.take(ctx)
		} else if probe {
			go e.probe(ctx, addr)
		}
	}
}

// mayTake reports whether the row is free. It is called with the lock held.
func (e *Elector) mayTake() bool {
	if !e.o.Mirror.InTouch() || e.stopping {
		// The row may have been renewed unseen: the time begins again.
		e.changed = time.Now()
		return false
	}
	if time.Now().Before(e.abstain) {
		return false
	}
	var delay time.Duration
	if e.o.Delay != nil {
		delay = e.o.Delay()
	}
	if e.row.ID == "" && e.row.Epoch == 0 {
		delay += e.o.FirstDelay
	}
	if e.row.ID == "" || e.row.ID == e.o.Self.ID {
		// Released, never held, or held by a process that this one replaced.
		return time.Since(e.changed) >= delay
	}
	return time.Since(e.changed) > Expiry+delay && time.Now().After(e.promised)
}

// probe takes over at once if the owner's process no longer exists.
func (e *Elector) probe(ctx context.Context, addr string) {
	limited, cancel := context.WithTimeout(ctx, probeAfter)
	defer cancel()
	gone := e.o.ProcessGone(limited, addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probing = false
	if gone && e.row.Addr == addr && !e.holding {
		e.o.Log.Event("owner_process_gone", "owner", e.row.ID, "addr", addr, "epoch", e.row.Epoch)
		e.changed, e.promised = time.Now().Add(-Expiry-tick), time.Time{}
	}
}

func (e *Elector) take(ctx context.Context) {
	e.mu.Lock()
	before, version := e.row, e.version
	e.mu.Unlock()
	next := e.o.Self
	next.Epoch, next.Renewal = before.Epoch+1, 1
	sent := e.o.Clock()
	written, err := e.write(ctx, next, version, true)
	if err != nil {
		e.o.Log.Event("takeover_failed", "epoch", next.Epoch, "err", err.Error())
		return
	}
	e.mu.Lock()
	e.row, e.version, e.changed = next, written, time.Now()
	e.holding, e.confirmed, e.lost = true, sent, ""
	e.mu.Unlock()
	e.o.Log.Event("ownership_acquired", "epoch", next.Epoch, "version", written, "previousOwner", before.ID)
	e.o.OnAcquire(Term{next.Epoch, written})
}

// write replaces the row, and the fence for a takeover. A conflict is observed
// before it is returned.
func (e *Elector) write(ctx context.Context, h Holder, version uint64, takeover bool) (uint64, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	txn := rowstore.Txn{
		Checks: []rowstore.Check{{Table: e.o.Table, Key: RowKey, Version: version}},
		Puts:   []rowstore.Put{{Table: e.o.Table, Key: RowKey, Value: value}},
	}
	if takeover {
		fence, _ := e.o.Mirror.Get(FenceKey)
		txn.Checks = append(txn.Checks, rowstore.Check{Table: e.o.Table, Key: FenceKey, Version: fence.Version})
		txn.Puts = append(txn.Puts, rowstore.Put{Table: e.o.Table, Key: FenceKey, Value: value})
	}
	written, err := e.o.Store.Commit(ctx, txn)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		for _, r := range conflict.Rows {
			if r.Key == RowKey {
				e.Observe(r)
			} else {
				e.o.Mirror.Note(r)
			}
		}
	}
	return written, err
}

// renew writes the row. While that takes longer than usual, the other entries
// are asked to confirm the ownership.
func (e *Elector) renew(ctx context.Context) {
	e.mu.Lock()
	next, version := e.row, e.version
	e.mu.Unlock()
	next.Renewal++
	sent := e.o.Clock()
	done := make(chan error, 1)
	go func() {
		written, err := e.write(ctx, next, version, false)
		if err == nil {
			e.mu.Lock()
			e.confirmed = max(e.confirmed, sent)
			if written > e.version {
				e.row, e.version, e.changed = next, written, time.Now()
			}
			e.mu.Unlock()
		}
		// After a failure, the next renewal tries again; a conflict was observed.
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
		asked := e.o.Clock()
		limited, cancel := context.WithTimeout(ctx, RenewInterval)
		confirmed := e.o.Confirm(limited, next.Epoch)
		cancel()
		e.mu.Lock()
		if confirmed && e.holding {
			e.confirmed = max(e.confirmed, asked)
		}
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.renewing = false
}

// Release gives the row up, so that another entry takes over at once, and ends
// this process's part in the election.
func (e *Elector) Release(ctx context.Context) error {
	return e.release(ctx, true)
}

// StepDown gives the row up to a better candidate. This process remains one.
func (e *Elector) StepDown(ctx context.Context) error {
	return e.release(ctx, false)
}

func (e *Elector) release(ctx context.Context, stopping bool) error {
	e.mu.Lock()
	e.stopping, e.abstain = e.stopping || stopping, time.Now().Add(abstention)
	holding, row, version := e.holding, e.row, e.version
	e.holding = false
	e.mu.Unlock()
	if !holding {
		return nil
	}
	e.o.OnLose("released")
	var err error
	for range releaseTries {
		if _, err = e.write(ctx, Holder{Epoch: row.Epoch, Renewal: row.Renewal + 1}, version, false); err == nil {
			e.o.Log.Event("ownership_released", "epoch", row.Epoch)
			return nil
		}
		e.mu.Lock()
		version = e.version // a renewal that was under way
		mine := e.row.ID == e.o.Self.ID
		e.mu.Unlock()
		if !mine {
			return nil
		}
	}
	return err
}

// abstention is longer than the other candidates take to notice a free row and to
// write it.
const abstention = 1500 * time.Millisecond

// releaseTries covers a renewal under way and one lost answer.
const releaseTries = 3
