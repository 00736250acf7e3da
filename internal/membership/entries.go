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
	DefaultEntryInterval = 5 * time.Second
	DefaultEntryExpiry   = 15 * time.Second
	// entryRowExpiry is when the row of an entry that has gone is deleted. Several
	// hundred VMs are replaced each day, and nobody else removes their rows.
	entryRowExpiry = 60 * time.Second
	// legacyLookInterval is how often all rows are read, instead of those of the
	// region, in order to find entries of an earlier version, whose rows name no
	// region. The rows of 81 entries have 20 KB.
	legacyLookInterval = 5 * time.Minute
	// maxEntries limits the known set.
	maxEntries = 1000
)

const entryPrefix = "entries/"

// noRegion takes the place of the region in a deployment that names none.
const noRegion = "none"

// EntriesOptions configure Entries.
type EntriesOptions struct {
	Table platformclient.Table
	// Self is this entry.
	Self structs.EntryInfo
	// Region is the region of this entry, noRegion if empty. It lists the entries
	// of this region only.
	Region string
	// Interval and Expiry are the defaults if 0.
	Interval, Expiry time.Duration
}

// Entries keeps this entry's row entries/<region>/<id> and the known set: the
// entries of its region, and those of an earlier version, whose rows are
// entries/<id>. It is safe for concurrent use.
type Entries struct {
	o    EntriesOptions
	kick chan struct{}

	mu      sync.Mutex
	set     []structs.EntryInfo // in order of ID; replaced, never changed
	version uint64
	seen    map[string]*observation
	left    bool
	renewed bool // the row was written
	// looked is when all rows were last read, and legacy says that there were some
	// of an earlier version.
	looked time.Time
	legacy bool
}

// NewEntries returns Entries that know only this entry until Run.
func NewEntries(o EntriesOptions) *Entries {
	if o.Interval <= 0 {
		o.Interval = DefaultEntryInterval
	}
	if o.Expiry <= 0 {
		o.Expiry = DefaultEntryExpiry
	}
	o.Region = cmp.Or(o.Region, noRegion)
	o.Self.Renewal = uint64(time.Now().UnixNano())
	e := &Entries{o: o, kick: make(chan struct{}, 1), seen: map[string]*observation{}}
	e.replace([]structs.EntryInfo{o.Self})
	return e
}

// Run keeps the row and the set until ctx ends.
func (e *Entries) Run(ctx context.Context) {
	ticker := time.NewTicker(e.o.Interval)
	defer ticker.Stop()
	for {
		e.renew(ctx)
		e.Refresh(ctx)
		select {
		case <-ticker.C:
		case <-e.kick:
		case <-ctx.Done():
			return
		}
	}
}

// Look reads the rows at once, for example when an unknown entry appeared.
func (e *Entries) Look() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// Known returns the known entries with this one, in order of ID, and a version
// that changes when the set does. The caller must not change the slice.
func (e *Entries) Known() ([]structs.EntryInfo, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set, e.version
}

// List returns the known entries, as Known does.
func (e *Entries) List() []structs.EntryInfo {
	set, _ := e.Known()
	return set
}

// Leave deletes this entry's row, so that others forget it at their next look.
// Run does not write it again.
func (e *Entries) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.left = true
	e.mu.Unlock()
	_, err := e.o.Table.Commit(ctx, platformclient.Txn{Deletes: []string{e.key(e.o.Self.ID)}})
	return err
}

// prefix is that of the rows of this region.
func (e *Entries) prefix() string { return entryPrefix + e.o.Region + "/" }

// key returns the key of an entry of this region.
func (e *Entries) key(id string) string { return e.prefix() + id }

// isLegacy reports whether a key is that of an entry of an earlier version.
func isLegacy(key string) bool {
	return !strings.Contains(strings.TrimPrefix(key, entryPrefix), "/")
}

func (e *Entries) renew(ctx context.Context) {
	e.mu.Lock()
	e.o.Self.Renewal++
	self, left, first := e.o.Self, e.left, !e.renewed
	e.mu.Unlock()
	if left {
		return
	}
	value, err := json.Marshal(self)
	if err != nil {
		klog.ErrorS(err, "entry row cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The row has one writer, so that a lost answer needs no read-back: the next
	// renewal replaces the row in any case.
	txn := platformclient.Txn{Puts: []platformclient.Put{{Key: e.key(self.ID), Value: value}}}
	if first {
		// An earlier version of this entry may have left its row.
		txn.Deletes = []string{entryPrefix + self.ID}
	}
	if _, err := e.o.Table.Commit(ctx, txn); err != nil {
		metrics.Add(metricEntryFailures, 1)
		return
	}
	e.mu.Lock()
	e.renewed = true
	e.mu.Unlock()
}

// Refresh reads the entry rows now. A failure leaves the set as it is.
func (e *Entries) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	e.mu.Lock()
	prefix, all := e.prefix(), e.legacy || now.Sub(e.looked) >= legacyLookInterval
	e.mu.Unlock()
	if all {
		prefix = entryPrefix
	}
	rows, err := e.o.Table.List(ctx, prefix, "", maxEntries)
	now = time.Now()
	e.mu.Lock()
	if err != nil {
		metrics.Add(metricEntryFailures, 1)
		for _, o := range e.seen {
			o.failed = true
		}
		e.mu.Unlock()
		return
	}
	set, gone := e.judge(rows, now)
	e.replace(set)
	if all {
		e.looked = now
		e.legacy = slices.ContainsFunc(rows, func(row platformclient.Row) bool { return isLegacy(row.Key) })
	}
	e.mu.Unlock()
	for _, row := range gone {
		// The check keeps a row that its entry renewed meanwhile.
		txn := platformclient.Txn{Checks: []platformclient.Check{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key}}
		if _, err := e.o.Table.Commit(ctx, txn); err != nil {
			metrics.Add(metricEntryFailures, 1)
		}
	}
}

// judge returns the entries whose rows are alive, with this one, and the rows
// to be deleted. The caller holds the lock.
func (e *Entries) judge(rows []platformclient.Row, now time.Time) (set []structs.EntryInfo, gone []platformclient.Row) {
	set = []structs.EntryInfo{e.o.Self}
	present := map[string]bool{}
	for _, row := range rows {
		var info structs.EntryInfo
		if err := json.Unmarshal(row.Value, &info); err != nil || info.ID == e.o.Self.ID {
			continue
		}
		if row.Key != e.key(info.ID) && row.Key != entryPrefix+info.ID {
			continue
		}
		present[row.Key] = true
		o := e.seen[row.Key]
		if o == nil {
			o = &observation{}
			e.seen[row.Key] = o
		}
		o.saw(row.Version, now, 2*e.o.Interval)
		unchanged, answering := o.unchanged(now)
		// After an outage an entry has an interval and more to renew its row.
		alive := unchanged < e.o.Expiry || answering < min(2*e.o.Interval, e.o.Expiry)
		if alive {
			set = addEntry(set, info, isLegacy(row.Key))
		} else if unchanged >= entryRowExpiry {
			gone = append(gone, row)
		}
	}
	for key := range e.seen {
		if !present[key] {
			delete(e.seen, key)
		}
	}
	return set, gone
}

// addEntry adds an entry. One that was updated has two rows until the earlier
// one expires; the row of the earlier version yields.
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

// replace sets the known entries. The caller holds the lock.
func (e *Entries) replace(set []structs.EntryInfo) {
	slices.SortFunc(set, func(a, b structs.EntryInfo) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.EqualFunc(e.set, set, sameEntry) {
		e.version++
		metrics.Add(metricEntryChanges, 1)
		klog.InfoS("known entries changed", "entries", len(set), "setVersion", e.version)
	}
	e.set = set
}

// sameEntry compares entries without their renewals.
func sameEntry(a, b structs.EntryInfo) bool {
	return a.ID == b.ID && a.RPCAddr == b.RPCAddr && a.HTTPAddr == b.HTTPAddr && a.Zone == b.Zone && slices.Equal(a.Domains, b.Domains)
}
