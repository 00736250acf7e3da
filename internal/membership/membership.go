// Package membership tracks which entry owns each domain, which entries exist,
// and which agents of a domain are alive.
//
// The owner of a domain renews the row owners/<domain> of the platform's table, and
// each entry its row entries/<region>/<id>. A row expires when this process has
// observed it unchanged for long enough; timestamps of other machines are never
// used. A term is one period of ownership of a domain, from takeover to loss or
// release; each term has a higher epoch than the one before. Agents have no rows:
// the owner tracks them in a Registry by their announcements and heartbeats, which
// a Relay at any entry may receive on its behalf.
package membership

import (
	"expvar"
	"time"
)

var metrics = expvar.NewMap("parsleypier_membership")

const (
	metricAcquired          = "domainsAcquired"
	metricLost              = "domainsLost"
	metricReleased          = "domainsReleased"
	metricRenewals          = "renewals"
	metricRenewFailures     = "renewFailures"
	metricTakeovers         = "takeovers"
	metricTakeoverConflicts = "takeoversLostToOthers"
	metricReadBacks         = "readBacks"
	metricEntryChanges      = "entrySetChanges"
	metricEntryFailures     = "entryFailures"
)

// rowObservation measures how long a row has been observed unchanged. Time during
// which the table did not answer or this process was paused does not count: the
// row's writer may have been unable to renew it, or a renewal may have been missed.
type rowObservation struct {
	version    uint64
	since      time.Time // start of the unchanged period, moved forward by the length of each gap
	resumed    time.Time // first answer after the last gap
	last       time.Time // last answer
	readFailed bool      // a read has failed since the last answer
}

// record notes that a read at now returned the row with the given version. More
// than maxGap between two answers counts as a gap. Callers read once per interval
// and pass two intervals, so that a late answer does not count as a gap.
func (o *rowObservation) record(version uint64, now time.Time, maxGap time.Duration) {
	gap := now.Sub(o.last)
	switch {
	case o.last.IsZero() || version != o.version:
		o.version, o.since = version, now
		if o.last.IsZero() || o.readFailed || gap > maxGap {
			o.resumed = now
		}
	case o.readFailed || gap > maxGap:
		o.since = o.since.Add(gap)
		o.resumed = now
	}
	o.last, o.readFailed = now, false
}

// unchanged returns how long the row has been observed unchanged, and how long
// the table has been answering without a gap.
func (o *rowObservation) unchanged(now time.Time) (unchangedFor, answeringFor time.Duration) {
	return now.Sub(o.since), now.Sub(o.resumed)
}
