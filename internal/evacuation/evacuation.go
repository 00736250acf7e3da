// Package evacuation decides which availability zones may receive starts while the operator
// has zones evacuated. It is pure: no clock, network, goroutines or locks.
//
// The operator requests the evacuation of a zone by a row of the store, and withdraws it by
// removing the row. Processes learn of the rows in any order, late, and from each other. A
// Set merges what a process has learned. A View states which zones are evacuated and as of
// when it is known to be complete. Limits decide from a View until when a start in a zone may
// be made. The limit is derived from that time, not from the time of the decision, so that an
// order that is late in any way has expired before it can break the rule: no start later than
// Limits.Bound after the confirmation of a request.
//
// All times are on a monotonic clock of the process that includes the time in which the
// machine is suspended.
package evacuation

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Row is the state of one zone in the store.
type Row struct {
	Zone string
	// Version is that of the store after the row was last written or removed. A removal that
	// was inferred from a complete list has the version of the list.
	Version uint64
	// Withdrawn is set if the row has been removed.
	Withdrawn bool
}

// Change is a change of one zone that a process has learned of.
type Change struct {
	Row
	// For is how long the zone was evacuated as far as this process knows, if it was withdrawn.
	For time.Duration
}

// state is what a Set knows of a zone.
type state struct {
	version   uint64
	withdrawn bool
	// since is when this process learned that the zone was evacuated, and until when it
	// learned that the request was withdrawn. left is set if it knew of both.
	since, until time.Duration
	left         bool
}

// Set is the set of evacuated zones as one process knows it. The zero value knows nothing.
type Set struct {
	zones map[string]state
	// complete is the version of the store up to which the set has all rows, 0 if it never
	// had.
	complete uint64
	known    bool
	asOf     time.Duration
	newest   uint64 // version of the newest row that was news
	// outageAsOf is the time of OutageAt, outage whether there is one.
	outageAsOf time.Duration
	outage     bool
}

// Apply merges the rows that changed after one version of the store up to another. now is the
// present time and asOf the time at which the read began. It returns the changes. Rows may also
// be merged for which nothing is known to be complete: with version 0.
func (s *Set) Apply(rows []Row, after, version uint64, asOf, now time.Duration) []Change {
	changes := s.merge(rows, now)
	if s.known && after <= s.complete && version > 0 {
		s.completeTo(version, asOf)
	}
	s.prune(now)
	return changes
}

// Complete merges a complete list of the rows as of a version of the store, or of a set that is
// complete up to it: zones that are not evacuated on it, and not newer, have been withdrawn. asOf is the
// time as of which it is complete, and now the present time.
func (s *Set) Complete(rows []Row, version uint64, asOf, now time.Duration) []Change {
	changes := s.merge(rows, now)
	evacuated := map[string]bool{}
	for _, r := range rows {
		// A withdrawal on the list may be older than a later request that was withdrawn as well.
		evacuated[r.Zone] = !r.Withdrawn
	}
	for zone, z := range s.zones {
		if !evacuated[zone] && !z.withdrawn && z.version <= version {
			changes = append(changes, s.set(Row{Zone: zone, Version: version, Withdrawn: true}, now))
		}
	}
	s.known = true
	s.completeTo(version, asOf)
	s.prune(now)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
	return changes
}

// merge applies the rows that are news.
func (s *Set) merge(rows []Row, now time.Duration) []Change {
	var changes []Change
	for _, r := range rows {
		old, ok := s.zones[r.Zone]
		// What the set is complete up to, it has; a row that it lacks has been replaced since.
		if ok && r.Version <= old.version || s.known && r.Version <= s.complete {
			continue
		}
		s.newest = max(s.newest, r.Version)
		if evacuated := ok && !old.withdrawn; evacuated == !r.Withdrawn {
			old.version, old.withdrawn = r.Version, r.Withdrawn
			s.put(r.Zone, old)
			continue
		}
		changes = append(changes, s.set(r, now))
	}
	return changes
}

// set changes whether a zone is evacuated.
func (s *Set) set(r Row, now time.Duration) Change {
	z := s.zones[r.Zone]
	c := Change{Row: r}
	z.version, z.withdrawn = r.Version, r.Withdrawn
	if r.Withdrawn {
		z.until, z.left, c.For = now, true, now-z.since
	} else {
		z.since, z.left = now, false
	}
	s.put(r.Zone, z)
	return c
}

func (s *Set) put(zone string, z state) {
	if s.zones == nil {
		s.zones = map[string]state{}
	}
	s.zones[zone] = z
}

// completeTo records that the set has all rows up to a version, and all that were confirmed
// before a time.
func (s *Set) completeTo(version uint64, asOf time.Duration) {
	s.complete = max(s.complete, version)
	s.asOf = max(s.asOf, asOf)
}

// prune forgets withdrawn zones whose workers have all returned. Rows up to the version of the
// set do not bring them back.
func (s *Set) prune(now time.Duration) {
	for zone, z := range s.zones {
		if z.withdrawn && s.known && z.version <= s.complete && (!z.left || now-z.until > ReturnTime) {
			delete(s.zones, zone)
		}
	}
}

// OutageAt records that the store answered no entry at a time: see Limits.Until.
func (s *Set) OutageAt(at time.Duration) {
	if !s.outage || at > s.outageAsOf {
		s.outage, s.outageAsOf = true, at
	}
}

// Rows returns the rows of the evacuated zones and of those withdrawn recently, sorted by zone,
// and the version up to which they are complete; false if they never were.
func (s *Set) Rows() (rows []Row, version uint64, known bool) {
	for zone, z := range s.zones {
		rows = append(rows, Row{zone, z.version, z.withdrawn})
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Zone, b.Zone) })
	return rows, s.complete, s.known
}

// Newest returns the version of the newest row that was news to the set, 0 if there is none.
func (s *Set) Newest() uint64 { return s.newest }

// Includes reports whether the set has all that happened up to a version, or newer rows.
func (s *Set) Includes(version uint64) bool { return version <= max(s.newest, s.complete) }

// View returns what the set knows now. It does not change afterwards.
func (s *Set) View() *View {
	v := &View{AsOf: s.asOf, Known: s.known, Outage: s.outage, OutageAsOf: s.outageAsOf, evacuated: map[string]time.Duration{}, withdrawn: map[string]time.Duration{}}
	for zone, z := range s.zones {
		switch {
		case !z.withdrawn:
			v.evacuated[zone] = z.since
		case z.left:
			v.withdrawn[zone] = z.until
		}
	}
	return v
}

// View is what a process knows of the evacuated zones at some time. It is immutable. A nil
// View knows nothing.
type View struct {
	// AsOf is the time as of which the view is complete: it has every request that was
	// confirmed before. Known is false if it never was complete.
	AsOf  time.Duration
	Known bool
	// OutageAsOf is a time at which the store answered no entry, if Outage is set.
	OutageAsOf time.Duration
	Outage     bool

	evacuated, withdrawn map[string]time.Duration // when this process learned of it, by zone
}

// Evacuated reports whether the workers of a zone are to get no starts. A worker of an unknown
// zone, with an empty name, may be in any.
func (v *View) Evacuated(zone string) bool {
	if v == nil {
		return false
	}
	if zone == "" {
		return len(v.evacuated) > 0
	}
	_, ok := v.evacuated[zone]
	return ok
}

// Since returns when this process learned that a zone is evacuated.
func (v *View) Since(zone string) time.Duration { return v.evacuated[zone] }

// Zones returns the evacuated zones, sorted.
func (v *View) Zones() []string {
	if v == nil {
		return nil
	}
	zones := make([]string, 0, len(v.evacuated))
	for zone := range v.evacuated {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

const (
	// MaxClockDrift is the share by which any clock may run slow.
	MaxClockDrift = 0.02
	// CallMargin is the time that is left for the call to a worker, after the check of the
	// limit. An agent abandons the call within it.
	CallMargin = 300 * time.Millisecond
	// ReturnTime is the time over which idle workers of a zone return after the request was
	// withdrawn.
	ReturnTime = 3 * time.Second
)

// Limits are the times that the platform sets.
type Limits struct {
	// Bound is the time after the confirmation of a request from which no start may be made;
	// 0 if the deployment has no such requests.
	Bound time.Duration
	// Contact is the time for which the store has to have worked for Bound to hold.
	Contact time.Duration
}

// Enabled reports whether the deployment has requests to evacuate zones.
func (l Limits) Enabled() bool { return l.Bound > 0 }

// Until returns the time until which starts in a zone may be made, given a view; false if none
// may be. The elapsed time until then may be measured by several clocks in turn, each of which
// may run slow.
//
// A request that the view lacks was confirmed after View.AsOf. While the store answers nobody,
// AsOf stays where it is. Starts until Limits.Contact after View.OutageAsOf are then made while
// the rule does not hold, because the store was impaired so recently.
func (l Limits) Until(v *View, zone string) (time.Duration, bool) {
	switch {
	case !l.Enabled():
		return math.MaxInt64, true
	case v == nil || !v.Known || v.Evacuated(zone):
		return 0, false
	}
	until := v.AsOf + shortened(l.Bound)
	if v.Outage {
		until = max(until, v.OutageAsOf+shortened(l.Contact))
	}
	return until, true
}

// shortened returns the part of a limit within which the call to a worker may begin.
func shortened(limit time.Duration) time.Duration {
	return time.Duration((1 - MaxClockDrift) * float64(max(0, limit-CallMargin)))
}

// ReturnsAt returns the time from which an idle worker of a zone may get starts again after a
// withdrawal; 0 if nothing delays it. The workers of a zone return one after the other: they
// may be cold, and all work that waits would move onto them at once.
func (v *View) ReturnsAt(zone, worker string) time.Duration {
	if v == nil {
		return 0
	}
	at, ok := v.withdrawn[zone]
	if !ok {
		return 0
	}
	return at + time.Duration(float64(ReturnTime)*spread(worker))
}

// spread maps a name to a number from 0 to 1. Names that differ in one character are mapped far
// apart: the hash alone would leave them together.
func spread(name string) float64 {
	h := fnv.New64a()
	h.Write([]byte(name)) // never returns an error
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x) / math.MaxUint64
}
