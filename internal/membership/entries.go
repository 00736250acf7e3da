package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Defaults of EntriesOptions, and limits of Entries.
const (
	DefaultEntryRenewInterval = 5 * time.Second
	DefaultEntryExpiry        = 15 * time.Second
	// entryRowExpiry is how long a row must be unchanged before other entries
	// delete it. Several hundred VMs are replaced each day, and nothing else
	// removes the rows of entries that no longer exist.
	entryRowExpiry = 60 * time.Second
	// fullListInterval is how often the rows of all regions are read rather than
	// only those of this region. This finds entries that run an earlier release,
	// whose row keys have no region. An entry's row takes about 250 bytes, so one
	// such read takes 20 KB with 81 entries, the most that test/scaling measures.
	fullListInterval = 5 * time.Minute
	// maxEntries limits the number of rows read. Entries whose rows are beyond it in
	// the order of the list are not known.
	maxEntries = 1000
)

const entryPrefix = "entries/"

// noRegion is used in row keys if the deployment has no regions.
const noRegion = "none"

// EntriesOptions configure Entries.
type EntriesOptions struct {
	Table platformclient.Table
	// Self is this entry.
	Self structs.EntryInfo
	// Region is the region of this entry; noRegion if empty. Of the entries whose row
	// keys have a region, only those of this region are known.
	Region string
	// Interval and Expiry are the defaults if 0.
	Interval, Expiry time.Duration
}

// Entries renews this entry's row entries/<region>/<id> and maintains the set of
// known entries: those of its region, and those that run an earlier release,
// whose rows are entries/<id>. It is safe for concurrent use.
type Entries struct {
	options EntriesOptions
	wake    chan struct{} // makes Run renew and refresh now

	mu           sync.Mutex
	set          []structs.EntryInfo // sorted by ID; replaced, never modified
	version      uint64
	observations map[string]*rowObservation // by row key
	left         bool                       // Leave was called
	rowWritten   bool                       // the row has been written at least once
	// lastFullList is when the rows of all regions were last read, and
	// hasLegacyRows reports whether some of them were of an earlier release.
	lastFullList  time.Time
	hasLegacyRows bool
}

// NewEntries returns Entries that know only this entry until Run is called.
func NewEntries(o EntriesOptions) *Entries {
	if o.Interval <= 0 {
		o.Interval = DefaultEntryRenewInterval
	}
	if o.Expiry <= 0 {
		o.Expiry = DefaultEntryExpiry
	}
	o.Region = cmp.Or(o.Region, noRegion)
	o.Self.Renewal = uint64(time.Now().UnixNano())
	e := &Entries{options: o, wake: make(chan struct{}, 1), observations: map[string]*rowObservation{}}
	e.replace([]structs.EntryInfo{o.Self})
	return e
}

// Run renews the row and refreshes the set of known entries until ctx ends.
func (e *Entries) Run(ctx context.Context) {
	ticker := time.NewTicker(e.options.Interval)
	defer ticker.Stop()
	for {
		e.renew(ctx)
		e.Refresh(ctx)
		select {
		case <-ticker.C:
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// RefreshSoon makes Run read the rows without waiting for the next interval, for
// example after a call from an unknown entry.
func (e *Entries) RefreshSoon() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Known returns the known entries including this one, sorted by ID, and a version
// that changes whenever the set does. The caller must not modify the slice.
func (e *Entries) Known() ([]structs.EntryInfo, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set, e.version
}

// List returns the known entries like Known, without the version.
func (e *Entries) List() []structs.EntryInfo {
	set, _ := e.Known()
	return set
}

// Leave deletes this entry's row, so that other entries drop it at their next
// refresh. Run does not write the row again.
func (e *Entries) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.left = true
	e.mu.Unlock()
	_, err := e.options.Table.Commit(ctx, platformclient.Txn{Deletes: []string{e.key(e.options.Self.ID)}})
	return err
}

// prefix returns the key prefix of the rows of this region.
func (e *Entries) prefix() string { return entryPrefix + e.options.Region + "/" }

// key returns the row key of an entry of this region.
func (e *Entries) key(id string) string { return e.prefix() + id }

// isLegacyKey reports whether a row key has no region, as in earlier releases.
func isLegacyKey(key string) bool {
	return !strings.Contains(strings.TrimPrefix(key, entryPrefix), "/")
}

// renew writes this entry's row with the next renewal number.
func (e *Entries) renew(ctx context.Context) {
	e.mu.Lock()
	e.options.Self.Renewal++
	self, left, first := e.options.Self, e.left, !e.rowWritten
	e.mu.Unlock()
	if left {
		return
	}
	value, err := json.Marshal(self)
	if err != nil {
		klog.ErrorS(err, "Failed to encode the entry row")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// Only this process writes the row, and the next renewal replaces it in any
	// case. A lost answer therefore needs no read-back.
	txn := platformclient.Txn{Puts: []platformclient.Put{{Key: e.key(self.ID), Value: value}}}
	if first {
		// An earlier release of this entry may have left a row without a region.
		txn.Deletes = []string{entryPrefix + self.ID}
	}
	if _, err := e.options.Table.Commit(ctx, txn); err != nil {
		metrics.Add(metricEntryFailures, 1)
		return
	}
	e.mu.Lock()
	e.rowWritten = true
	e.mu.Unlock()
}

// Refresh reads the entry rows, updates the set of known entries, and deletes the
// expired rows that have been unchanged for entryRowExpiry. If the read fails, the
// set does not change and no row is deleted.
func (e *Entries) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	e.mu.Lock()
	prefix, allRegions := e.prefix(), e.hasLegacyRows || now.Sub(e.lastFullList) >= fullListInterval
	e.mu.Unlock()
	if allRegions {
		prefix = entryPrefix
	}
	rows, err := e.options.Table.List(ctx, prefix, "", maxEntries)
	now = time.Now()
	e.mu.Lock()
	if err != nil {
		metrics.Add(metricEntryFailures, 1)
		for _, o := range e.observations {
			o.readFailed = true
		}
		e.mu.Unlock()
		return
	}
	set, expired := e.classify(rows, now)
	e.replace(set)
	if allRegions {
		e.lastFullList = now
		e.hasLegacyRows = slices.ContainsFunc(rows, func(row platformclient.Row) bool { return isLegacyKey(row.Key) })
	}
	e.mu.Unlock()
	for _, row := range expired {
		// The version check prevents deleting a row that was renewed since the read.
		txn := platformclient.Txn{Checks: []platformclient.Check{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key}}
		if _, err := e.options.Table.Commit(ctx, txn); err != nil {
			metrics.Add(metricEntryFailures, 1)
		}
	}
}

// classify returns the live entries including this one, and the expired rows to
// delete. The caller holds e.mu.
func (e *Entries) classify(rows []platformclient.Row, now time.Time) (set []structs.EntryInfo, expired []platformclient.Row) {
	set = []structs.EntryInfo{e.options.Self}
	present := map[string]bool{}
	for _, row := range rows {
		var info structs.EntryInfo
		if err := json.Unmarshal(row.Value, &info); err != nil || info.ID == e.options.Self.ID {
			continue
		}
		if row.Key != e.key(info.ID) && row.Key != entryPrefix+info.ID {
			continue
		}
		present[row.Key] = true
		o := e.observations[row.Key]
		if o == nil {
			o = &rowObservation{}
			e.observations[row.Key] = o
		}
		o.record(row.Version, now, 2*e.options.Interval)
		unchangedFor, answeringFor := o.unchanged(now)
		// After an outage of the table, an entry gets up to two intervals to renew
		// its row.
		alive := unchangedFor < e.options.Expiry || answeringFor < min(2*e.options.Interval, e.options.Expiry)
		if alive {
			set = addEntry(set, info, isLegacyKey(row.Key))
		} else if unchangedFor >= entryRowExpiry {
			expired = append(expired, row)
		}
	}
	for key := range e.observations {
		if !present[key] {
			delete(e.observations, key)
		}
	}
	return set, expired
}

// addEntry adds an entry to the set. An entry that was upgraded from an earlier
// release has two rows until the legacy row expires; the other row takes precedence.
func addEntry(set []structs.EntryInfo, info structs.EntryInfo, legacy bool) []structs.EntryInfo {
	i := slices.IndexFunc(set, func(e structs.EntryInfo) bool { return e.ID == info.ID })
	switch {
	case i < 0:
		return append(set, info)
	case !legacy:
		set[i] = info
	}
	return set
}

// replace sets the known entries. The caller holds e.mu.
func (e *Entries) replace(set []structs.EntryInfo) {
	slices.SortFunc(set, func(a, b structs.EntryInfo) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.EqualFunc(e.set, set, sameEntry) {
		e.version++
		metrics.Add(metricEntryChanges, 1)
		klog.InfoS("Known entries changed", "entries", len(set), "setVersion", e.version)
	}
	e.set = set
}

// sameEntry reports whether two entries are equal apart from their renewal counters.
func sameEntry(a, b structs.EntryInfo) bool {
	return a.ID == b.ID && a.RPCAddr == b.RPCAddr && a.HTTPAddr == b.HTTPAddr && a.Zone == b.Zone && slices.Equal(a.Domains, b.Domains)
}
