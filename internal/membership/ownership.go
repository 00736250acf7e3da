package membership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Defaults of OwnershipOptions, and limits of Ownership.
const (
	DefaultRenewInterval = time.Second
	DefaultExpiry        = 3 * time.Second
	// rankDelay is the head start that a candidate gives to each better one, and
	// maxRankDelay its limit: a takeover must stay within a second of expiry.
	rankDelay    = 200 * time.Millisecond
	maxRankDelay = 600 * time.Millisecond
	// releaseHold is how long an entry leaves a domain that it released to others.
	releaseHold = 10 * time.Second
	// callTimeout limits a call to the table.
	callTimeout = time.Second
	// maxWatched limits the domains that are watched for Owner only, and
	// watchedFor is how long after the last question.
	maxWatched = 64
	watchedFor = time.Minute
)

const (
	ownerPrefix = "owners/"
	// fencePrefix is that of the rows that a takeover writes together with the
	// ownership row, and a renewal does not.
	fencePrefix = "epochs/"
)

// Term is the ownership of a domain from a takeover to its loss.
type Term struct {
	Domain string
	Epoch  uint32
	// Fence does not hold any more when another term has begun. A transaction with
	// this check cannot take effect after the next owner has read the rows.
	Fence platformclient.Check
}

// fenceRow is the row epochs/<domain>.
type fenceRow struct {
	Epoch uint32 `json:"epoch"`
}

// OwnershipOptions configure an Ownership.
type OwnershipOptions struct {
	Table platformclient.Table
	// Self is this entry; Self.Domains are the domains that it may own.
	Self structs.EntryInfo
	// OnAcquire is called when this entry has become owner, and OnLose when it is owner no more. The calls of a domain alternate and do not
	// overlap. They must return soon, as renewal waits for them, and must not call
	// Release or NoticeEpoch.
	OnAcquire func(Term)
	OnLose    func(domain string)
	// Entries returns the known entries, for preferences; nil for none.
	Entries func() []structs.EntryInfo
	// Zones returns the zones of a domain's workers; nil if unknown.
	Zones func(domain string) []string
	// RenewInterval and Expiry are the defaults if 0.
	RenewInterval, Expiry time.Duration
}

// Ownership holds and takes the rows owners/<domain>. It is safe for
// concurrent use.
type Ownership struct {
	o OwnershipOptions
	// renewalBase is the first renewal number of this process. It makes its
	// rows differ from those of an earlier process with the same entry ID.
	renewalBase uint64
	domains     map[string]*domain

	mu      sync.Mutex
	watched map[string]*watch
}

// domain is a domain that this entry may own.
type domain struct {
	name string
	key  string
	kick chan struct{}

	// step has an element while a step and its callbacks are in progress. It is
	// no mutex, so that a caller of Release can give up. The fields guarded by mu
	// are written during a step only.
	step     chan struct{}
	seen     observation
	eligible time.Time // since when the row may be taken; zero if it may not
	holdOff  time.Time // not taken before
	// minEpoch is the highest epoch that was held here or noticed elsewhere. A
	// new term needs a higher one: fencing tokens start anew with each term.
	minEpoch uint32

	mu      sync.Mutex
	held    bool
	owner   structs.Owner // last known
	version uint64        // of the row, if held
	known   bool
}

// NewOwnership returns an Ownership that does nothing until Run.
func NewOwnership(o OwnershipOptions) *Ownership {
	if o.RenewInterval <= 0 {
		o.RenewInterval = DefaultRenewInterval
	}
	if o.Expiry <= 0 {
		o.Expiry = DefaultExpiry
	}
	if o.Entries == nil {
		o.Entries = func() []structs.EntryInfo { return nil }
	}
	if o.Zones == nil {
		o.Zones = func(string) []string { return nil }
	}
	w := &Ownership{o: o, renewalBase: uint64(time.Now().UnixNano()), domains: map[string]*domain{}, watched: map[string]*watch{}}
	for _, name := range o.Self.Domains {
		w.domains[name] = &domain{name: name, key: ownerPrefix + name, kick: make(chan struct{}, 1), step: make(chan struct{}, 1)}
	}
	return w
}

// Run renews and takes rows until ctx ends. It leaves the rows as they are:
// Release hands them over.
func (w *Ownership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, d := range w.domains {
		wg.Go(func() { w.loop(ctx, d) })
	}
	wg.Go(func() { w.watchLoop(ctx) })
	wg.Wait()
}

func (w *Ownership) loop(ctx context.Context, d *domain) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-d.kick:
		case <-ctx.Done():
			return
		}
		d.step <- struct{}{}
		started := time.Now()
		wait := w.stepLocked(ctx, d)
		<-d.step
		timer.Reset(max(0, wait-time.Since(started)))
	}
}

// stepLocked renews the row or looks whether it can be taken, and returns the
// time to the next step. The caller holds d.step.
func (w *Ownership) stepLocked(ctx context.Context, d *domain) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if d.held {
		w.renew(ctx, d)
		return w.o.RenewInterval
	}
	return w.candidate(ctx, d)
}

// renew writes the held row. An owner that cannot reach the table stays owner.
func (w *Ownership) renew(ctx context.Context, d *domain) {
	next := d.owner
	next.Renewal++
	versions, err := w.write(ctx, d.key, next, d.version)
	switch {
	case err == nil:
		metrics.Add(metricRenewals, 1)
		d.keep(next, versions[d.key])
	case verdict.HasCode(err, verdict.CodeConflict), verdict.Of(err) == verdict.MayHaveRun:
		w.resolveRenewal(ctx, d)
	default:
		metrics.Add(metricRenewFailures, 1)
	}
}

// resolveRenewal reads the row after a conflict or a lost answer: it shows this
// owner's own renewal, or that of another owner.
func (w *Ownership) resolveRenewal(ctx context.Context, d *domain) {
	metrics.Add(metricReadBacks, 1)
	row, owner, err := w.read(ctx, d.key)
	switch {
	case err != nil:
		metrics.Add(metricRenewFailures, 1)
	case row.Version == 0 || w.mine(owner) && owner.Epoch == d.owner.Epoch:
		// A row that was deleted is written anew with the same epoch.
		d.keep(structs.Owner{Domain: d.name, EntryID: d.owner.EntryID, Addr: d.owner.Addr, Epoch: d.owner.Epoch,
			Renewal: max(owner.Renewal, d.owner.Renewal)}, row.Version)
	default:
		w.lose(d, owner)
		d.observe(row, owner, w.o.RenewInterval)
	}
}

// mine reports whether this process wrote the owner row.
func (w *Ownership) mine(o structs.Owner) bool {
	return o.EntryID == w.o.Self.ID && o.Renewal >= w.renewalBase
}

func (d *domain) keep(o structs.Owner, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owner, d.version, d.known = o, version, true
}

// observe notes a row that another entry holds, or nobody.
func (d *domain) observe(row platformclient.Row, o structs.Owner, renewInterval time.Duration) {
	d.seen.saw(row.Version, time.Now(), 2*renewInterval)
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Epoch >= d.owner.Epoch || row.Version == 0 {
		d.owner, d.known = o, true
	}
}

// lose ends the ownership; owner is what is known of the new owner.
func (w *Ownership) lose(d *domain, owner structs.Owner) {
	d.minEpoch = max(d.minEpoch, d.owner.Epoch, owner.Epoch)
	d.eligible, d.seen = time.Time{}, observation{}
	d.mu.Lock()
	d.held, d.known = false, false
	d.mu.Unlock()
	metrics.Add(metricLost, 1)
	klog.InfoS("domain lost", "domain", d.name, "epoch", d.owner.Epoch, "newEpoch", owner.Epoch, "newOwner", owner.EntryID)
	if w.o.OnLose != nil {
		w.o.OnLose(d.name)
	}
}

// candidate looks whether the row can be taken, and takes it. It returns the
// time to the next look.
func (w *Ownership) candidate(ctx context.Context, d *domain) time.Duration {
	row, owner, err := w.read(ctx, d.key)
	if err != nil {
		d.seen.failed, d.eligible = true, time.Time{}
		return w.o.RenewInterval
	}
	if w.won(ctx, d, row, owner) {
		return w.o.RenewInterval
	}
	d.observe(row, owner, w.o.RenewInterval)
	now := time.Now()
	if wait := w.untilEligible(d, owner, now); wait > 0 {
		d.eligible = time.Time{}
		return min(wait, w.o.RenewInterval)
	}
	if d.eligible.IsZero() {
		d.eligible = now
	}
	if wait := d.eligible.Add(w.delay(d.name, owner)).Sub(now); wait > 0 {
		return wait
	}
	return w.take(ctx, d, row, owner)
}

// won acquires the domain if the row shows a takeover of this process whose
// answer was lost. A row of a term that has ended here does not count.
func (w *Ownership) won(ctx context.Context, d *domain, row platformclient.Row, owner structs.Owner) bool {
	// A takeover has exactly the first renewal number: with a clock that was set
	// back, an earlier process of the same ID can have written higher ones.
	if row.Version == 0 || !w.mine(owner) || owner.Renewal != w.renewalBase || owner.Epoch <= d.minEpoch {
		return false
	}
	fence, err := w.readFence(ctx, d.name, owner.Epoch)
	if err != nil {
		return false // the next look finds the row again
	}
	w.acquired(d, owner, row.Version, fence)
	return true
}

// readFence returns the version of the fence that the takeover with the epoch
// wrote. Error: conflict if it is of another term.
func (w *Ownership) readFence(ctx context.Context, name string, epoch uint32) (uint64, error) {
	row, err := w.o.Table.Get(ctx, fencePrefix+name)
	if err != nil {
		return 0, err
	}
	var fence fenceRow
	if err := json.Unmarshal(row.Value, &fence); err != nil || fence.Epoch != epoch {
		return 0, verdict.Refuse(verdict.CodeConflict, "row %s is not of epoch %d: %s", row.Key, epoch, row.Value)
	}
	return row.Version, nil
}

// untilEligible returns the time after which the row may be taken: none if it
// was released, is left from an ended term here or does not exist, otherwise
// what is missing to its expiry.
func (w *Ownership) untilEligible(d *domain, owner structs.Owner, now time.Time) time.Duration {
	if wait := d.holdOff.Sub(now); wait > 0 {
		return wait
	}
	if owner.EntryID == "" || w.mine(owner) && owner.Epoch <= d.minEpoch {
		return 0
	}
	unchanged, answering := d.seen.unchanged(now)
	// After an outage the owner has two intervals to renew its row.
	return max(w.o.Expiry-unchanged, min(2*w.o.RenewInterval, w.o.Expiry)-answering)
}

// take writes the row with the next epoch if it is still as it was read.
func (w *Ownership) take(ctx context.Context, d *domain, row platformclient.Row, old structs.Owner) time.Duration {
	next := structs.Owner{Domain: d.name, EntryID: w.o.Self.ID, Addr: w.o.Self.RPCAddr, Epoch: max(old.Epoch, d.minEpoch) + 1, Renewal: w.renewalBase}
	metrics.Add(metricTakeovers, 1)
	fence, err := json.Marshal(fenceRow{Epoch: next.Epoch})
	if err != nil {
		return w.o.RenewInterval // a number always marshals
	}
	fenceKey := fencePrefix + d.name
	versions, err := w.write(ctx, d.key, next, row.Version, platformclient.Put{Key: fenceKey, Value: fence})
	if err == nil {
		w.acquired(d, next, versions[d.key], versions[fenceKey])
		return w.o.RenewInterval
	}
	if verdict.HasCode(err, verdict.CodeConflict) {
		metrics.Add(metricRaces, 1)
	}
	// The row may have been written although the answer was lost. If it cannot be
	// read now, the next look finds it.
	if verdict.Of(err) == verdict.MayHaveRun {
		metrics.Add(metricReadBacks, 1)
		if row, owner, err := w.read(ctx, d.key); err == nil {
			w.won(ctx, d, row, owner)
		}
	}
	return w.o.RenewInterval
}

func (w *Ownership) acquired(d *domain, o structs.Owner, version, fence uint64) {
	d.keep(o, version)
	d.eligible = time.Time{}
	d.mu.Lock()
	d.held = true
	d.mu.Unlock()
	metrics.Add(metricAcquired, 1)
	klog.InfoS("domain acquired", "domain", d.name, "epoch", o.Epoch)
	if w.o.OnAcquire != nil {
		w.o.OnAcquire(Term{Domain: d.name, Epoch: o.Epoch, Fence: platformclient.Check{Key: fencePrefix + d.name, Version: fence}})
	}
}

// write puts the owner row, with others, if it still has the version, and
// returns the new versions.
func (w *Ownership) write(ctx context.Context, key string, o structs.Owner, version uint64, others ...platformclient.Put) (map[string]uint64, error) {
	value, err := json.Marshal(o)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeInternal, "encode owner: %v", err)
	}
	return w.o.Table.Commit(ctx, platformclient.Txn{
		Checks: []platformclient.Check{{Key: key, Version: version}},
		Puts:   append([]platformclient.Put{{Key: key, Value: value}}, others...),
	})
}

// read returns the owner row; a zero row and owner if it does not exist.
func (w *Ownership) read(ctx context.Context, key string) (platformclient.Row, structs.Owner, error) {
	row, err := w.o.Table.Get(ctx, key)
	if verdict.HasCode(err, verdict.CodeNotFound) {
		return platformclient.Row{}, structs.Owner{Domain: key[len(ownerPrefix):]}, nil
	}
	var o structs.Owner
	if err != nil {
		return row, o, err
	}
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return row, o, verdict.Refuse(verdict.CodeInternal, "row %s is no owner: %v", key, err)
	}
	return row, o, nil
}
