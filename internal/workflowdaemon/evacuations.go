package workflowdaemon

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// evacuations is what this process knows of the zones that the operator has evacuated. The
// configWatch feeds it from the operator's table and from other entries. It does nothing in a
// deployment without such requests. It is safe for concurrent use.
type evacuations struct {
	limits evacuation.Limits
	prefix string
	log    *eventlog.Log
	clock  func() time.Duration
	// announce makes other entries learn of a change, and onChange the owner of this process.
	announce, onChange func()

	mu  sync.Mutex
	set evacuation.Set
	// current is the view of the set, nil until it is computed.
	current *evacuation.View
}

func newEvacuations(o EntryOptions, announce func()) *evacuations {
	return &evacuations{limits: o.Evacuation, prefix: o.EvacuationPrefix, log: o.Log, clock: o.Clock, announce: announce, onChange: func() {}}
}

func (e *evacuations) enabled() bool { return e.limits.Enabled() }

// applyRead merges what a call to the store has read of the operator's table.
func (e *evacuations) applyRead(r rowstore.Read) {
	if !e.enabled() {
		return
	}
	var rows []evacuation.Row
	for _, row := range r.Rows {
		if zone, ok := strings.CutPrefix(row.Key, e.prefix); ok && e.isRequest(zone, row) {
			rows = append(rows, evacuation.Row{Zone: zone, Version: row.Version, Withdrawn: row.Deleted})
		}
	}
	e.update("store", func(s *evacuation.Set, now time.Duration) []evacuation.Change {
		if r.Complete {
			return s.Complete(rows, r.Version, r.Began, now)
		}
		return s.Apply(rows, r.After, r.Version, r.Began, now)
	})
}

// isRequest reports whether a row requests the evacuation of a zone, or withdraws a request.
// The key alone says so; a value that is not as the operator writes it is logged.
func (e *evacuations) isRequest(zone string, row rowstore.Row) bool {
	var value map[string]any
	if zone == "" || !row.Deleted && json.Unmarshal(row.Value, &value) != nil {
		e.log.Event("evacuation_unreadable", "key", row.Key, "version", row.Version, "ignored", zone == "")
	}
	return zone != ""
}

// merge merges what another process has stated in reply to a call that began at a time.
func (e *evacuations) merge(m workflowrpc.Evacuations, began time.Duration, source string) {
	if !e.enabled() || !m.Known && len(m.Rows) == 0 {
		return
	}
	e.update(source, func(s *evacuation.Set, now time.Duration) []evacuation.Change {
		if !m.Known {
			return s.Apply(m.Rows, 0, 0, 0, now)
		}
		return s.Complete(m.Rows, m.Version, began-m.Age, now)
	})
}

// update changes the set, and logs and announces the changes.
func (e *evacuations) update(source string, f func(s *evacuation.Set, now time.Duration) []evacuation.Change) {
	e.mu.Lock()
	changes := f(&e.set, e.clock())
	e.current = nil
	e.mu.Unlock()
	for _, c := range changes {
		if c.Withdrawn {
			e.log.Event("evacuation_withdrawn", "zone", c.Zone, "version", c.Version, "source", source, "afterMs", c.For.Milliseconds())
		} else {
			e.log.Event("evacuation_requested", "zone", c.Zone, "version", c.Version, "source", source)
		}
	}
	if len(changes) > 0 {
		e.announce()
		e.onChange()
	}
}

// message returns what this process knows, for another one.
func (e *evacuations) message() workflowrpc.Evacuations {
	if !e.enabled() {
		return workflowrpc.Evacuations{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	rows, version, known := e.set.Rows()
	m := workflowrpc.Evacuations{Rows: rows, Version: version, Known: known}
	if known {
		m.Age = e.clock() - e.set.View().AsOf
	}
	return m
}

// view returns what is known at present.
func (e *evacuations) view() *evacuation.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		e.current = e.set.View()
	}
	return e.current
}

// newest returns the version of the newest change known.
func (e *evacuations) newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.Newest()
}

// includes reports whether the changes up to a version are known.
func (e *evacuations) includes(version uint64) bool {
	if !e.enabled() {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.Includes(version)
}

// outageEvidence collects when the store last answered none of the entries. It is safe for
// concurrent use.
type outageEvidence struct {
	mu    sync.Mutex
	at    time.Duration
	found bool
}

// add adds a time at which the store did not answer one entry, if found is set.
func (o *outageEvidence) add(at time.Duration, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if found && (!o.found || at > o.at) {
		o.at, o.found = at, true
	}
}

// apply records the outage, once a majority of the entries has promised that the store answers
// none of them.
func (o *outageEvidence) apply(e *evacuations) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.found || !e.enabled() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.OutageAt(o.at)
	e.current = nil
}

// describeEvacuations states in a reply to a call of Confirm what this entry knows of evacuated
// zones, and when the store last did not answer it.
func (e *Entry) describeEvacuations(reply *workflowrpc.ConfirmReply) {
	if !e.config.evacuations.enabled() {
		return
	}
	reply.Evacuations = e.config.evacuations.message()
	if at, ok := e.config.mirror.UnansweredAsOf(); ok {
		reply.Unanswered, reply.HasUnanswered = e.opts.Clock()-at, true
	}
}

// evacuationsChanged tells the owner, if this process is it.
func (e *Entry) evacuationsChanged() {
	if o := e.currentOwner(); o != nil {
		o.EvacuationsChanged()
	}
}
