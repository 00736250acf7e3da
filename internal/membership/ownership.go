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
	// takeoverDelayStep is how long a candidate waits for each preferred candidate
	// before it takes a free domain, and maxTakeoverDelay limits the sum: a takeover
	// must happen within a second of expiry.
	takeoverDelayStep = 200 * time.Millisecond
	maxTakeoverDelay  = 600 * time.Millisecond
	// releaseCooldown is how long an entry does not take a domain that it released.
	releaseCooldown = 10 * time.Second
	// callTimeout limits the time of all calls to the table in one step of a domain
	// or one refresh of a watched domain. Entries also uses it, for each renewal and
	// each refresh.
	callTimeout = time.Second
	// maxWatchedDomains limits the domains outside Self.Domains whose rows are
	// refreshed for Owner. They are watched for watchDuration after the last call.
	maxWatchedDomains = 64
	watchDuration     = time.Minute
)

const (
	ownerPrefix = "owners/"
	// fencePrefix is the key prefix of the fence rows, whose versions serve as
	// preconditions of row writes (see Term.Fence); they are not fencing tokens. A
	// takeover writes the fence row together with the owner row; renewals do not
	// write it.
	fencePrefix = "epochs/"
)

// Term is one period of ownership of a domain, from takeover to loss or release
// (see Ownership.Release).
type Term struct {
	Domain string
	Epoch  uint32
	// Fence is a precondition that fails once another term has begun. A transaction
	// with it cannot take effect after the next owner has read the rows.
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
	// OnAcquire is called when this entry has become owner of a domain, and OnLose
	// when its ownership has ended. The calls for a domain alternate and do not
	// overlap. They must return quickly, because renewal waits for them, and must
	// not call Release or NoticeEpoch.
	OnAcquire func(Term)
	OnLose    func(domain string)
	// Entries returns the known entries, among which takeoverDelay finds preferred
	// candidates; nil for none.
	Entries func() []structs.EntryInfo
	// Zones returns the zones of a domain's workers; nil if unknown.
	Zones func(domain string) []string
	// RenewInterval and Expiry are the defaults if 0.
	RenewInterval, Expiry time.Duration
}

// Ownership renews the rows owners/<domain> of the domains that this entry owns,
// and takes over domains that are free or whose owner has expired. It is safe for
// concurrent use.
type Ownership struct {
	options OwnershipOptions
	// renewalBase is the first renewal number of this process. It distinguishes
	// rows of this process from those of an earlier one with the same entry ID.
	renewalBase uint64
	domains     map[string]*domain

	mu      sync.Mutex
	watched map[string]*watchedDomain
}

// domain is a domain that this entry may own.
type domain struct {
	name string
	key  string
	wake chan struct{} // makes domainLoop run its next step now

	// stepLock is held (has an element) while a step and its callbacks are in
	// progress. It is a channel rather than a mutex so that a caller of Release can
	// stop waiting when its context ends. The fields guarded by mu are only written
	// during a step.
	stepLock      chan struct{}
	observation   rowObservation
	eligibleSince time.Time // when the row became free to take; zero if it is not
	notBefore     time.Time // the row is not taken before this time
	// minEpoch is the highest epoch of a term of this entry or reported by others. A
	// new term needs a higher one, because fencing tokens restart with each term.
	minEpoch uint32

	mu           sync.Mutex
	owned        bool
	owner        structs.Owner // last known
	version      uint64        // version of the owner row, if owned
	ownerCurrent bool          // the row was read or written since the start or the end of the last term
}

// NewOwnership returns an Ownership that does nothing until Run is called.
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
	w := &Ownership{options: o, renewalBase: uint64(time.Now().UnixNano()), domains: map[string]*domain{}, watched: map[string]*watchedDomain{}}
	for _, name := range o.Self.Domains {
		w.domains[name] = &domain{name: name, key: ownerPrefix + name, wake: make(chan struct{}, 1), stepLock: make(chan struct{}, 1)}
	}
	return w
}

// Run renews rows and takes over domains until ctx ends. It does not release the
// owned domains: see Release.
func (w *Ownership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, d := range w.domains {
		wg.Go(func() { w.domainLoop(ctx, d) })
	}
	wg.Go(func() { w.watchLoop(ctx) })
	wg.Wait()
}

// domainLoop runs the steps of one domain until ctx ends.
func (w *Ownership) domainLoop(ctx context.Context, d *domain) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-d.wake:
		case <-ctx.Done():
			return
		}
		d.stepLock <- struct{}{}
		started := time.Now()
		wait := w.stepLocked(ctx, d)
		<-d.stepLock
		timer.Reset(max(0, wait-time.Since(started)))
	}
}

// stepLocked renews the row if this entry owns the domain, and otherwise takes it
// if it is free. It returns the time to the next step. The caller holds d.stepLock.
func (w *Ownership) stepLocked(ctx context.Context, d *domain) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if d.owned {
		w.renew(ctx, d)
		return w.options.RenewInterval
	}
	return w.tryTakeover(ctx, d)
}

// renew writes the owner row. An owner that cannot reach the table stays owner.
func (w *Ownership) renew(ctx context.Context, d *domain) {
	next := d.owner
	next.Renewal++
	versions, err := w.write(ctx, d.key, next, d.version)
	switch {
	case err == nil:
		metrics.Add(metricRenewals, 1)
		d.setOwner(next, versions[d.key])
	case verdict.HasCode(err, verdict.CodeConflict), verdict.Of(err) == verdict.MayHaveRun:
		w.resolveRenewal(ctx, d)
	default:
		metrics.Add(metricRenewFailures, 1)
	}
}

// resolveRenewal reads the row after a conflict or a lost answer, to learn whether
// this process still owns the domain.
func (w *Ownership) resolveRenewal(ctx context.Context, d *domain) {
	metrics.Add(metricReadBacks, 1)
	row, owner, err := w.read(ctx, d.key)
	switch {
	case err != nil:
		metrics.Add(metricRenewFailures, 1)
	case row.Version == 0 || w.writtenByThisProcess(owner) && owner.Epoch == d.owner.Epoch:
		// If the row was deleted, the next renewal creates it with the same epoch.
		d.setOwner(structs.Owner{Domain: d.name, EntryID: d.owner.EntryID, Addr: d.owner.Addr, Epoch: d.owner.Epoch,
			Renewal: max(owner.Renewal, d.owner.Renewal)}, row.Version)
	default:
		w.endTerm(d, owner)
		d.observeRow(row, owner, w.options.RenewInterval)
	}
}

// writtenByThisProcess reports whether this process, and not an earlier one with the
// same entry ID, wrote the owner row. After the clock was set back, it may also be
// true for a row of an earlier process.
func (w *Ownership) writtenByThisProcess(o structs.Owner) bool {
	return o.EntryID == w.options.Self.ID && o.Renewal >= w.renewalBase
}

// setOwner records the owner and the version of a row that this process has written
// or read back.
func (d *domain) setOwner(o structs.Owner, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owner, d.version, d.ownerCurrent = o, version, true
}

// observeRow records a row that this process does not own.
func (d *domain) observeRow(row platformclient.Row, o structs.Owner, renewInterval time.Duration) {
	d.observation.record(row.Version, time.Now(), 2*renewInterval)
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Epoch >= d.owner.Epoch || row.Version == 0 {
		d.owner, d.ownerCurrent = o, true
	}
}

// endTerm ends the ownership of the domain. owner is what is known of the new owner.
func (w *Ownership) endTerm(d *domain, owner structs.Owner) {
	d.minEpoch = max(d.minEpoch, d.owner.Epoch, owner.Epoch)
	d.eligibleSince, d.observation = time.Time{}, rowObservation{}
	d.mu.Lock()
	d.owned, d.ownerCurrent = false, false
	d.mu.Unlock()
	metrics.Add(metricLost, 1)
	klog.InfoS("Domain lost", "domain", d.name, "epoch", d.owner.Epoch, "newEpoch", owner.Epoch, "newOwner", owner.EntryID)
	if w.options.OnLose != nil {
		w.options.OnLose(d.name)
	}
}

// tryTakeover reads the row, and takes the domain if it is free. It returns the
// time to the next attempt.
func (w *Ownership) tryTakeover(ctx context.Context, d *domain) time.Duration {
	row, owner, err := w.read(ctx, d.key)
	if err != nil {
		d.observation.readFailed, d.eligibleSince = true, time.Time{}
		return w.options.RenewInterval
	}
	if w.completeLostTakeover(ctx, d, row, owner) {
		return w.options.RenewInterval
	}
	d.observeRow(row, owner, w.options.RenewInterval)
	now := time.Now()
	if wait := w.untilEligible(d, owner, now); wait > 0 {
		d.eligibleSince = time.Time{}
		return min(wait, w.options.RenewInterval)
	}
	if d.eligibleSince.IsZero() {
		d.eligibleSince = now
	}
	if wait := d.eligibleSince.Add(w.takeoverDelay(d.name, owner)).Sub(now); wait > 0 {
		return wait
	}
	return w.take(ctx, d, row, owner)
}

// completeLostTakeover begins a term if the row shows that an earlier takeover by
// this process took effect although its answer was lost. A row of a term that has
// already ended in this process is ignored.
func (w *Ownership) completeLostTakeover(ctx context.Context, d *domain, row platformclient.Row, owner structs.Owner) bool {
	// A takeover always has the first renewal number. After the clock was set back,
	// an earlier process with the same ID may have written higher ones.
	if row.Version == 0 || !w.writtenByThisProcess(owner) || owner.Renewal != w.renewalBase || owner.Epoch <= d.minEpoch {
		return false
	}
	fence, err := w.readFence(ctx, d.name, owner.Epoch)
	if err != nil {
		return false // the next attempt reads the row again
	}
	w.beginTerm(d, owner, row.Version, fence)
	return true
}

// readFence returns the version of the fence row that the takeover with the given
// epoch wrote. Error: conflict if the fence row is of another epoch.
func (w *Ownership) readFence(ctx context.Context, name string, epoch uint32) (uint64, error) {
	row, err := w.options.Table.Get(ctx, fencePrefix+name)
	if err != nil {
		return 0, err
	}
	var fence fenceRow
	if err := json.Unmarshal(row.Value, &fence); err != nil || fence.Epoch != epoch {
		return 0, verdict.Refuse(verdict.CodeConflict, "row %s is not of epoch %d: %s", row.Key, epoch, row.Value)
	}
	return row.Version, nil
}

// untilEligible returns the time until this entry may take the row; 0 or less means
// now. In the cooldown after a Release by this entry (see notBefore) it returns the
// rest of the cooldown. Otherwise a row may be taken at once if it was released,
// belongs to an ended term of this process or does not exist. Any other row may be
// taken when it has expired and the table has been answering for two renewal
// intervals, at most Expiry.
func (w *Ownership) untilEligible(d *domain, owner structs.Owner, now time.Time) time.Duration {
	if wait := d.notBefore.Sub(now); wait > 0 {
		return wait
	}
	if owner.EntryID == "" || w.writtenByThisProcess(owner) && owner.Epoch <= d.minEpoch {
		return 0
	}
	unchangedFor, answeringFor := d.observation.unchanged(now)
	// After an outage of the table, the owner gets up to two intervals to renew its row.
	return max(w.options.Expiry-unchangedFor, min(2*w.options.RenewInterval, w.options.Expiry)-answeringFor)
}

// take writes the owner row with the next epoch, and the fence row, unless the
// owner row has changed since it was read.
func (w *Ownership) take(ctx context.Context, d *domain, row platformclient.Row, old structs.Owner) time.Duration {
	next := structs.Owner{Domain: d.name, EntryID: w.options.Self.ID, Addr: w.options.Self.RPCAddr, Epoch: max(old.Epoch, d.minEpoch) + 1, Renewal: w.renewalBase}
	metrics.Add(metricTakeovers, 1)
	fence, err := json.Marshal(fenceRow{Epoch: next.Epoch})
	if err != nil {
		return w.options.RenewInterval // cannot happen: fenceRow has only a number
	}
	fenceKey := fencePrefix + d.name
	versions, err := w.write(ctx, d.key, next, row.Version, platformclient.Put{Key: fenceKey, Value: fence})
	if err == nil {
		w.beginTerm(d, next, versions[d.key], versions[fenceKey])
		return w.options.RenewInterval
	}
	if verdict.HasCode(err, verdict.CodeConflict) {
		metrics.Add(metricTakeoverConflicts, 1)
	}
	// The row may have been written although the answer was lost. If it cannot be
	// read now, the next attempt finds it.
	if verdict.Of(err) == verdict.MayHaveRun {
		metrics.Add(metricReadBacks, 1)
		if row, owner, err := w.read(ctx, d.key); err == nil {
			w.completeLostTakeover(ctx, d, row, owner)
		}
	}
	return w.options.RenewInterval
}

// beginTerm records that this entry owns the domain, and calls OnAcquire. version
// and fence are the versions of the owner row and the fence row.
func (w *Ownership) beginTerm(d *domain, o structs.Owner, version, fence uint64) {
	d.setOwner(o, version)
	d.eligibleSince = time.Time{}
	d.mu.Lock()
	d.owned = true
	d.mu.Unlock()
	metrics.Add(metricAcquired, 1)
	klog.InfoS("Domain acquired", "domain", d.name, "epoch", o.Epoch)
	if w.options.OnAcquire != nil {
		w.options.OnAcquire(Term{Domain: d.name, Epoch: o.Epoch, Fence: platformclient.Check{Key: fencePrefix + d.name, Version: fence}})
	}
}

// write puts the owner row together with others, provided that the owner row
// still has the given version. It returns the new versions by key.
func (w *Ownership) write(ctx context.Context, key string, o structs.Owner, version uint64, others ...platformclient.Put) (map[string]uint64, error) {
	value, err := json.Marshal(o)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeInternal, "encode owner: %v", err)
	}
	return w.options.Table.Commit(ctx, platformclient.Txn{
		Checks: []platformclient.Check{{Key: key, Version: version}},
		Puts:   append([]platformclient.Put{{Key: key, Value: value}}, others...),
	})
}

// read returns the owner row, or a zero row and an owner without an entry ID if
// it does not exist.
func (w *Ownership) read(ctx context.Context, key string) (platformclient.Row, structs.Owner, error) {
	row, err := w.options.Table.Get(ctx, key)
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
