package membership

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// watchedDomain is a domain outside Self.Domains whose owner was recently asked for.
type watchedDomain struct {
	owner      structs.Owner
	ownerKnown bool
	lastAsked  time.Time
}

// Owner returns the last known owner of a domain, which is at most a second old
// while the table answers. It returns false if the owner is not known, or if the
// domain was released or never owned. The first call for a domain outside
// Self.Domains reads the table.
func (w *Ownership) Owner(name string) (structs.Owner, bool) {
	if d := w.domains[name]; d != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.owner, d.ownerCurrent && d.owner.EntryID != ""
	}
	w.mu.Lock()
	v := w.watched[name]
	if v != nil {
		defer w.mu.Unlock()
		v.lastAsked = time.Now()
		return v.owner, v.ownerKnown && v.owner.EntryID != ""
	}
	if len(w.watched) < maxWatchedDomains {
		w.watched[name] = &watchedDomain{lastAsked: time.Now()}
	}
	w.mu.Unlock()
	o, err := w.refreshOwner(context.Background(), name)
	return o, err == nil && o.EntryID != ""
}

// OwnedDomains returns the domains that this entry owns, with their epochs.
func (w *Ownership) OwnedDomains() map[string]uint32 {
	epochs := map[string]uint32{}
	for _, d := range w.domains {
		d.mu.Lock()
		if d.owned {
			epochs[d.name] = d.owner.Epoch
		}
		d.mu.Unlock()
	}
	return epochs
}

// refreshOwner reads the owner row of a watched domain.
func (w *Ownership) refreshOwner(ctx context.Context, name string) (structs.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, o, err := w.read(ctx, ownerPrefix+name)
	if err != nil {
		return o, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if v := w.watched[name]; v != nil && o.Epoch >= v.owner.Epoch {
		v.owner, v.ownerKnown = o, true
	}
	return o, nil
}

// watchLoop refreshes the owners of the watched domains, and stops watching those
// that have not been asked for during watchDuration.
func (w *Ownership) watchLoop(ctx context.Context) {
	ticker := time.NewTicker(w.options.RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		w.mu.Lock()
		var names []string
		for name, v := range w.watched {
			if time.Since(v.lastAsked) > watchDuration {
				delete(w.watched, name)
			} else {
				names = append(names, name)
			}
		}
		w.mu.Unlock()
		for _, name := range names {
			// After a failure, the last known owner remains in use.
			_, _ = w.refreshOwner(ctx, name)
		}
	}
}

// NoticeEpoch reports an epoch of the domain that was seen elsewhere, for example
// in the reply of an agent that refused a request. If this entry owns the domain
// with a lower epoch, its ownership ends.
func (w *Ownership) NoticeEpoch(name string, epoch uint32) {
	d := w.domains[name]
	if d == nil {
		return
	}
	d.mu.Lock()
	stale := d.owned && epoch > d.owner.Epoch
	d.mu.Unlock()
	if !stale {
		return
	}
	d.stepLock <- struct{}{}
	defer func() { <-d.stepLock }()
	if d.owned && epoch > d.owner.Epoch {
		w.endTerm(d, structs.Owner{Domain: name, Epoch: epoch})
		d.wakeUp()
	}
}

// CheckSoon makes the entry read the owner row of the domain without waiting for
// the next interval, for example after the owner announced that it gives up the
// domain.
func (w *Ownership) CheckSoon(name string) {
	if d := w.domains[name]; d != nil {
		d.wakeUp()
	}
}

// wakeUp makes domainLoop run its next step now.
func (d *domain) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Release ends the ownership of the domain so that another entry can take it
// over: it calls OnLose, then marks the row as free. The entry does not take the
// domain again during releaseCooldown. If Release fails, the row expires.
func (w *Ownership) Release(ctx context.Context, name string) error {
	d := w.domains[name]
	if d == nil {
		return verdict.Refuse(verdict.CodeNotOwner, "domain %s is not among this entry's domains", name)
	}
	select {
	case d.stepLock <- struct{}{}:
		defer func() { <-d.stepLock }()
	case <-ctx.Done():
		return verdict.Refuse(verdict.CodePlatformUnavailable, "release %s: %v", name, ctx.Err())
	}
	d.notBefore = time.Now().Add(releaseCooldown)
	if !d.owned {
		return nil
	}
	free := structs.Owner{Domain: name, Epoch: d.owner.Epoch, Renewal: d.owner.Renewal + 1}
	epoch, version := d.owner.Epoch, d.version
	w.endTerm(d, free)
	err := w.writeReleasedRow(ctx, d.key, free, epoch, version)
	if err == nil {
		d.setOwner(free, 0)
		metrics.Add(metricReleased, 1)
	}
	return err
}

// writeReleasedRow replaces the owner row by free. If the write fails, it reads
// the row to learn whether the write took effect, and retries until ctx ends.
func (w *Ownership) writeReleasedRow(ctx context.Context, key string, free structs.Owner, epoch uint32, version uint64) error {
	for {
		_, err := w.write(ctx, key, free, version)
		if err == nil {
			return nil
		}
		row, owner, readErr := w.read(ctx, key)
		switch {
		case readErr != nil:
		case row.Version == 0 || owner.EntryID == "" || owner.Epoch > epoch:
			return nil // already released or taken over
		case w.writtenByThisProcess(owner) && owner.Epoch == epoch:
			version = row.Version
		}
		select {
		case <-time.After(takeoverDelayStep):
		case <-ctx.Done():
			return verdict.From(err)
		}
	}
}

// takeoverDelay returns how long this entry waits before it takes a free domain,
// so that preferred candidates can take it first. Entries in the domain's zones
// are preferred, then those that own fewer domains; ties are broken by a hash
// that differs for each domain. old is the last owner.
func (w *Ownership) takeoverDelay(name string, old structs.Owner) time.Duration {
	owned := map[string]int{}
	for _, d := range w.domains {
		d.mu.Lock()
		if d.name != name {
			owned[d.owner.EntryID]++
		}
		d.mu.Unlock()
	}
	zones := w.options.Zones(name)
	type candidate struct {
		otherZone, owned int // otherZone is 1 for an entry outside the domain's zones
		hash             uint64
	}
	evaluate := func(e structs.EntryInfo) candidate {
		c := candidate{owned: owned[e.ID], hash: candidateHash(name, e.ID)}
		if len(zones) > 0 && !slices.Contains(zones, e.Zone) {
			c.otherZone = 1
		}
		return c
	}
	self := evaluate(w.options.Self)
	preferred := 0
	for _, e := range w.options.Entries() {
		if e.ID == w.options.Self.ID || e.ID == old.EntryID || !slices.Contains(e.Domains, name) {
			continue
		}
		c := evaluate(e)
		if cmp.Or(cmp.Compare(c.otherZone, self.otherZone), cmp.Compare(c.owned, self.owned), cmp.Compare(c.hash, self.hash)) < 0 {
			preferred++
		}
	}
	return min(time.Duration(preferred)*takeoverDelayStep, maxTakeoverDelay)
}

func candidateHash(domain, entry string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(domain + "\x00" + entry))
	return h.Sum64()
}
