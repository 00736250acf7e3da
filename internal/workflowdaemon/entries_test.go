package workflowdaemon

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

func applyEntryRow(t *testing.T, s *entrySet, id string, row entryRow) {
	t.Helper()
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	s.applyRow(rowstore.Row{Key: workflow.EntryPrefix + id, Value: value})
}

// Guards against an owner on one of the small machines of a large deployment, where
// decisions took seconds and guarantees were missed (seen on wusta-recell-large and
// trouble-3). Also guards against preferred candidates in a single availability
// zone, and against all entries taking over at once.
func TestPreferredCandidatesAreLargestAndSpanZones(t *testing.T) {
	s := newEntrySet(eventlog.Discard())
	for i := range 40 {
		applyEntryRow(t, s, fmt.Sprintf("a-small-%02d", i), entryRow{Addr: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", i%5), MilliCores: 192})
	}
	for i := range 15 {
		applyEntryRow(t, s, fmt.Sprintf("large-%02d", i), entryRow{Addr: fmt.Sprintf("l%d", i), Zone: fmt.Sprintf("z%d", i/3), MilliCores: 800})
	}
	zones, delays := map[string]bool{}, map[time.Duration]bool{}
	for id, row := range s.rows {
		delay := takeoverDelay(s.position(id))
		delays[delay] = true
		if delay < nonPreferredDelay {
			zones[row.Zone] = true
			if row.MilliCores != 800 {
				t.Errorf("%s with %d thousandths of a core is preferred", id, row.MilliCores)
			}
		}
	}
	if len(zones) != preferredCandidates || len(delays) != 55 {
		t.Errorf("preferred candidates are in %d zones, and there are %d delays; want %d and 55", len(zones), len(delays), preferredCandidates)
	}
	if got := s.position("unknown"); got != 55 {
		t.Errorf("an entry without a row has position %d, want 55", got)
	}
}

// Guards against an owner that stays on a small machine although larger ones are
// available, and against needless changes of owner.
func TestOwnerStepsDownForLargerEntry(t *testing.T) {
	s := newEntrySet(eventlog.Discard())
	for i := range 6 {
		applyEntryRow(t, s, fmt.Sprintf("e%d", i), entryRow{Addr: fmt.Sprintf("a%d", i), Zone: "z", MilliCores: 800})
	}
	applyEntryRow(t, s, "less", entryRow{Addr: "b", Zone: "z", MilliCores: 700})
	applyEntryRow(t, s, "small", entryRow{Addr: "c", Zone: "z", MilliCores: 192})
	all := func(string) bool { return true }
	for id, want := range map[string]bool{"e0": false, "e5": false, "less": false, "small": true} {
		if got := s.hasLargerCandidate(id, all); got != want {
			t.Errorf("hasLargerCandidate for owner %s: %v, want %v", id, got, want)
		}
	}
	if s.hasLargerCandidate("small", func(id string) bool { return id == "e5" }) {
		t.Error("the owner would step down, but none of the preferred candidates is available")
	}
}

// Guards against a foreign or unreadable row that counts as an entry, and against a
// list of entries whose version does not change with it.
func TestEntrySetTracksRowChanges(t *testing.T) {
	s := newEntrySet(eventlog.Discard())
	applyEntryRow(t, s, "e0", entryRow{Addr: "a0"})
	_, before := s.sortedAddrs()
	s.applyRow(rowstore.Row{Key: workflow.EntryPrefix + "bad", Value: []byte("{")})
	s.applyRow(rowstore.Row{Key: workflow.EntryPrefix + "empty", Value: []byte("{}")})
	if addrs, version := s.sortedAddrs(); !slices.Equal(addrs, []string{"a0"}) || version != before {
		t.Errorf("entries %v after unreadable rows, want only a0 with an unchanged version", addrs)
	}
	applyEntryRow(t, s, "e1", entryRow{Addr: "a1"})
	if addrs, version := s.sortedAddrs(); !slices.Equal(addrs, []string{"a0", "a1"}) || version == before {
		t.Errorf("entries %v after an entry was added, want a0 and a1 with a new version", addrs)
	}
	s.applyRow(rowstore.Row{Key: workflow.EntryPrefix + "e1", Deleted: true})
	if addrs, version := s.sortedAddrs(); !slices.Equal(addrs, []string{"a0"}) || version != before {
		t.Errorf("entries %v after a removal, want only a0 with its earlier version", addrs)
	}
	if got := s.addrsExcept("e0", "a0"); len(got) != 0 {
		t.Errorf("other entries are %v, want none", got)
	}
}

// Guards against an owner that loses its authority during a store outage because
// one other entry is down. With many entries one nearly always is.
func TestOwnerIsConfirmedDespiteOneDeadEntry(t *testing.T) {
	runScenario(t, func(s *sim) {
		owner := s.ownerID()
		for _, id := range []string{"entry0", "entry1"} {
			if id != owner {
				s.killEntry(id)
				break
			}
		}
		s.table.SetFaults(rowstorestub.Faults{Down: true})
		time.Sleep(6 * time.Second)
		e := s.entries[owner]
		if !e.elector.HasAuthority() {
			t.Error("the owner lost its authority during the store outage")
		}
		s.table.SetFaults(rowstorestub.Faults{})
		time.Sleep(2 * time.Second)
	})
}

// Guards against an owner that keeps its authority while it reaches neither the
// store nor most of the other entries, which may have elected another owner.
func TestIsolatedOwnerLosesAuthority(t *testing.T) {
	runScenario(t, func(s *sim) {
		owner := s.ownerID()
		for _, id := range []string{"entry0", "entry1", "entry2"} {
			if id != owner {
				s.killEntry(id)
			}
		}
		s.table.SetFaults(rowstorestub.Faults{Down: true})
		time.Sleep(4 * time.Second)
		if s.entries[owner].elector.HasAuthority() {
			t.Error("an owner that reaches neither the store nor other entries keeps its authority")
		}
		s.table.SetFaults(rowstorestub.Faults{})
		time.Sleep(2 * time.Second)
	})
}
