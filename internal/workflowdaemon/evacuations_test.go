package workflowdaemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

const simEvacuationPrefix = "evacuate/"

// simEvacuation are the limits for starts in evacuated zones.
var simEvacuation = evacuation.Limits{Bound: 5 * time.Second, Contact: 4 * time.Second}

// usualStartTime is the time that a start needs at most where the worker answers late: five
// calls of 0.3 s and the pauses between them.
const usualStartTime = 1800 * time.Millisecond

// evacuate requests the evacuation of a zone, as the operator does.
func (s *configSim) evacuate(zone string) { s.table.Put("op", simEvacuationPrefix+zone, []byte("{}")) }

// withdraw withdraws the request.
func (s *configSim) withdraw(zone string) { s.table.Delete("op", simEvacuationPrefix+zone) }

// evacuatedAt reports whether an entry knows that a zone is evacuated.
func (s *configSim) evacuatedAt(id, zone string) bool {
	return s.entries[id].config.evacuations.view().Evacuated(zone)
}

// startTimeLeft returns how long an entry, if it was the owner, could still order starts in a
// zone; 0 if it cannot.
func (s *configSim) startTimeLeft(id, zone string) time.Duration {
	until, ok := simEvacuation.Until(s.entries[id].config.evacuations.view(), zone)
	if !ok {
		return 0
	}
	return max(0, until-time.Since(s.started))
}

// Guards against a request, or a withdrawal, that an entry does not know 1.5 s later although it
// can learn of it, because it waits for a process that does not answer.
func TestEvacuationArrivesPastSilentProcess(t *testing.T) {
	for name, prepare := range silentProcesses {
		t.Run(name, func(t *testing.T) {
			for offset := time.Duration(0); offset < time.Second; offset += 110 * time.Millisecond {
				runConfigSim(t, 3, func(s *configSim) {
					time.Sleep(offset)
					prepare(s)
					for range 3 {
						s.evacuate("a")
						time.Sleep(configBound)
						if !s.evacuatedAt("entry0", "a") || s.evacuatedAt("entry0", "b") {
							t.Errorf("fault at %v: the request is not known after %v", offset, configBound)
						}
						s.withdraw("a")
						time.Sleep(configBound)
						if s.evacuatedAt("entry0", "a") {
							t.Errorf("fault at %v: the withdrawal is not known after %v", offset, configBound)
						}
					}
				})
			}
		})
	}
}

// Guards against an owner that starts nothing, or leaves agents too little time, without any
// request, because its view of the operator's rows is not recent enough although it has a way to
// the store.
func TestStartsGoOnPastSilentProcess(t *testing.T) {
	for name, prepare := range silentProcesses {
		t.Run(name, func(t *testing.T) {
			least := time.Hour
			for offset := time.Duration(0); offset < time.Second; offset += 110 * time.Millisecond {
				runConfigSim(t, 3, func(s *configSim) {
					time.Sleep(offset)
					prepare(s)
					for range 600 {
						time.Sleep(10 * time.Millisecond)
						least = min(least, s.startTimeLeft("entry0", "a"))
					}
				})
			}
			if least < usualStartTime {
				t.Errorf("starts had %v left, want %v", least, usualStartTime)
			}
			t.Logf("starts had at least %v left", least)
		})
	}
}

// Guards against an outage in which no work starts, because nobody can know whether the operator
// has requested anything, and against a longer interruption after it.
func TestStartsGoOnWhileStoreAnswersNobody(t *testing.T) {
	for name, fault := range map[string]rowstorestub.Faults{"down": {Down: true}, "silent": {Silent: true}, "slow": {Delay: 320 * time.Millisecond}} {
		for _, entries := range []int{3, 8} {
			t.Run(name, func(t *testing.T) {
				least, at := time.Hour, time.Duration(0)
				for offset := time.Duration(0); offset < time.Second; offset += 230 * time.Millisecond {
					runConfigSim(t, entries, func(s *configSim) {
						time.Sleep(offset)
						began := time.Now()
						s.table.SetFaults(fault)
						for range 2000 {
							time.Sleep(10 * time.Millisecond)
							if time.Since(began) > 15*time.Second {
								s.table.SetFaults(rowstorestub.Faults{})
							}
							if id := s.ownerID(); id != "" && s.startTimeLeft(id, "a") < least {
								least, at = s.startTimeLeft(id, "a"), time.Since(began)
							}
						}
					})
				}
				if least < usualStartTime {
					t.Errorf("%d entries: starts had %v left %v after the begin of the outage, want %v", entries, least, at, usualStartTime)
				}
				t.Logf("%d entries: starts had at least %v left", entries, least)
			})
		}
	}
}

// ownerID returns the ID of the entry that may decide, or an empty string.
func (s *configSim) ownerID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if e.currentOwner() != nil && e.mayDecide() {
			return id
		}
	}
	return ""
}

// Guards against starts in a zone by an owner that missed the request: it lost its way to the
// store just before, and then the store stopped answering the others, who know of it.
func TestConfirmationBringsEvacuationToOwner(t *testing.T) {
	runConfigSim(t, 3, func(s *configSim) {
		owner := s.ownerID()
		s.net.mu.Lock()
		s.net.lostMethods = map[string]bool{workflowrpc.MethodConfig: true} // only the confirmation tells it
		s.net.mu.Unlock()
		s.paths[owner].set(true, false)
		s.setUnreachable(owner, true)
		s.evacuate("a")
		time.Sleep(100 * time.Millisecond)
		s.table.SetFaults(rowstorestub.Faults{Down: true})
		time.Sleep(500 * time.Millisecond)
		s.setUnreachable(owner, false)
		s.paths[owner].set(false, false)
		for range 1500 {
			time.Sleep(10 * time.Millisecond)
			view := s.entries[owner].config.evacuations.view()
			if view.Outage && !view.Evacuated("a") {
				t.Fatal("the outage counts before the owner knows of the request")
			}
		}
		if !s.entries[owner].config.evacuations.view().Outage || !s.evacuatedAt(owner, "a") {
			t.Error("the owner was not confirmed, or does not know of the request")
		}
		s.table.SetFaults(rowstorestub.Faults{})
	})
}

// Guards against orders that are valid for longer than the store has to have worked before the
// rule holds again: the request was confirmed as the outage began, and the entries take the
// store to be silent for some time after it has recovered, since their calls hang.
func TestOutageEndsWithStore(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 90 * time.Millisecond {
		runConfigSim(t, 3, func(s *configSim) {
			s.table.SetFaults(rowstorestub.Faults{Silent: true})
			s.evacuate("a")
			time.Sleep(6*time.Second + offset)
			s.table.SetFaults(rowstorestub.Faults{})
			recovered := time.Now()
			for range 400 {
				for _, id := range s.ids {
					if last := time.Since(recovered) + s.startTimeLeft(id, "a") + evacuation.CallMargin; s.startTimeLeft(id, "a") > 0 && last > simEvacuation.Contact {
						t.Fatalf("%v after the recovery, %s allows starts until %v after it", time.Since(recovered), id, last)
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// Guards against a view that counts from when a read was answered: what was confirmed while the
// answer was on its way is not in it.
func TestViewCountsFromBeginOfRead(t *testing.T) {
	e := newEvacuations(EntryOptions{Evacuation: simEvacuation, EvacuationPrefix: simEvacuationPrefix, Log: eventlog.Discard(), Clock: func() time.Duration { return 9 * time.Second }}, func() {})
	for i, r := range []rowstore.Read{{Complete: true, Version: 3, Began: time.Second}, {After: 3, Version: 4, Began: 2 * time.Second}} {
		e.applyRead(r)
		if at := e.view().AsOf; at != r.Began {
			t.Errorf("read %d: the view is as of %v, want %v", i, at, r.Began)
		}
	}
}

// promisingCaller answers every call of Confirm with a reply.
type promisingCaller struct{ reply workflowrpc.ConfirmReply }

func (c promisingCaller) Call(_ context.Context, _, _ string, _ rpc.RequestMessage, reply rpc.ReplyMessage) error {
	if r, ok := reply.(*workflowrpc.ConfirmReply); ok {
		*r = c.reply
	}
	return nil
}

// Guards against a confirmation that counts as an outage of the present, although the entries
// last called the store in vain some time ago, and against one that counts before what the
// entries know of evacuated zones.
func TestConfirmationStatesWhenStoreFailed(t *testing.T) {
	const now, ago = 20 * time.Second, 3 * time.Second
	e := NewEntry(EntryOptions{
		ID: "entry0", RPCAddr: "entry0", Log: eventlog.Discard(), OperatorTable: "op", ConfigKey: "config", DecodeConfig: decodeTestConfig, NewStore: newCallStore,
		EvacuationPrefix: simEvacuationPrefix, Evacuation: simEvacuation, Clock: func() time.Duration { return now },
		Caller: promisingCaller{workflowrpc.ConfirmReply{
			Promised: true, Unanswered: ago, HasUnanswered: true,
			Evacuations: workflowrpc.Evacuations{Rows: []evacuation.Row{{Zone: "a", Version: 4}}, Known: true, Version: 5, Age: 10 * time.Second},
		}},
	})
	for _, id := range []string{"entry1", "entry2"} {
		e.entries.applyRow(rowstore.Row{Key: workflow.EntryPrefix + id, Value: fmt.Appendf(nil, `{"addr":%q}`, id), Version: 1})
	}
	if !e.confirmOwnership(t.Context(), 1) {
		t.Fatal("the ownership is not confirmed")
	}
	view := e.config.evacuations.view()
	if !view.Outage || view.OutageAsOf != now-ago || view.AsOf != now-10*time.Second || !view.Evacuated("a") {
		t.Errorf("outage %v at %v, as of %v, zones %v", view.Outage, view.OutageAsOf, view.AsOf, view.Zones())
	}
}

// Guards against an entry that misses a request because it goes on in the feed behind it, after
// it has taken the configuration from entries of a version that does not know of evacuations.
func TestPeersOfOlderVersion(t *testing.T) {
	runConfigSim(t, 3, func(s *configSim) {
		s.kill("entry1")
		s.kill("entry2")
		s.withoutEvacuation = map[string]bool{"entry1": true, "entry2": true}
		s.start("entry1")
		s.start("entry2")
		time.Sleep(configContact)
		s.paths["entry0"].set(false, true)
		time.Sleep(feedOverdue)
		s.evacuate("a")
		s.change()
		time.Sleep(time.Second)
		s.paths["entry0"].set(false, false)
		time.Sleep(configBound)
		if !s.evacuatedAt("entry0", "a") || s.startTimeLeft("entry0", "b") < usualStartTime {
			t.Errorf("evacuated zones %v, starts in another zone have %v left", s.entries["entry0"].config.evacuations.view().Zones(), s.startTimeLeft("entry0", "b"))
		}
	})
}

// feedOverdue is the time from which a call that waits for changes is overdue.
const feedOverdue = 1100 * time.Millisecond

// Guards against an owner that goes on starting work while neither the store nor a peer tells it
// anything: a request may have been confirmed meanwhile.
func TestViewOfLonelyOwnerEnds(t *testing.T) {
	runConfigSim(t, 3, func(s *configSim) {
		s.paths["entry0"].set(false, true)
		s.setUnreachable("entry0", true)
		lost := time.Now()
		s.evacuate("a")
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if left := s.startTimeLeft("entry0", "a"); left > 0 && time.Since(lost)+left+evacuation.CallMargin > simEvacuation.Bound {
				t.Fatalf("%v after the request, starts are allowed for another %v", time.Since(lost), left)
			}
		}
		if left := s.startTimeLeft("entry0", "a"); left > 0 {
			t.Errorf("starts are allowed for another %v", left)
		}
	})
}

// Guards against an entry that starts work after a restart before it knows what is evacuated,
// from the store or, if the store rejects it, from its peers.
func TestRestartedEntryKnowsEvacuations(t *testing.T) {
	for name, refused := range map[string]bool{"the store answers": false, "the store refuses": true} {
		t.Run(name, func(t *testing.T) {
			runConfigSim(t, 3, func(s *configSim) {
				s.evacuate("a")
				time.Sleep(configContact)
				s.kill("entry0")
				s.paths["entry0"].set(refused, false)
				s.start("entry0")
				for range 300 {
					time.Sleep(10 * time.Millisecond)
					if s.startTimeLeft("entry0", "a") > 0 {
						t.Fatal("starts are allowed in the evacuated zone")
					}
				}
				if left := s.startTimeLeft("entry0", "b"); left < usualStartTime {
					t.Errorf("starts in another zone have %v left", left)
				}
			})
		})
	}
}

// Guards against a zone that an entry keeps as evacuated after the withdrawal because it learned
// of the request from a peer, went on in the feed behind it, and then read the whole table.
func TestWithdrawalArrivesAfterRequestFromPeer(t *testing.T) {
	for name, drop := range map[string]bool{"feed": false, "history dropped": true} {
		t.Run(name, func(t *testing.T) {
			runConfigSim(t, 3, func(s *configSim) {
				s.paths["entry0"].set(true, false)
				time.Sleep(configContact)
				s.evacuate("a")
				time.Sleep(configBound)
				if !s.evacuatedAt("entry0", "a") {
					t.Error("the request is not known")
				}
				s.withdraw("a")
				if drop {
					s.table.DropHistory()
				}
				s.paths["entry0"].set(false, false)
				time.Sleep(configBound)
				if s.evacuatedAt("entry0", "a") {
					t.Error("the withdrawal is not known")
				}
			})
		})
	}
}

// Guards against rows that cannot be decoded: the key alone is the request, and other rows, the
// configuration and the process go on.
func TestUnreadableEvacuationRows(t *testing.T) {
	runConfigSim(t, 3, func(s *configSim) {
		for _, value := range []string{"", "\xff", "null", "[]", `{"a":`} {
			s.table.Put("op", simEvacuationPrefix+"a", []byte(value))
			s.table.Put("op", simEvacuationPrefix, []byte(value))
			s.table.Put("op", "evacuate", []byte(value))
			version := s.change()
			time.Sleep(configBound)
			if !s.evacuatedAt("entry1", "a") || s.evacuatedAt("entry1", "b") || s.versionAt("entry1") != version {
				t.Errorf("value %q: zones %v, version %d, want %d", value, s.entries["entry1"].config.evacuations.view().Zones(), s.versionAt("entry1"), version)
			}
			s.withdraw("a")
			time.Sleep(configBound)
			if zones := s.entries["entry1"].config.evacuations.view().Zones(); len(zones) > 0 {
				t.Errorf("value %q: %v are evacuated after the withdrawal", value, zones)
			}
		}
	})
}

// Guards against anything new in the messages and calls of a deployment without such requests.
func TestNothingIsExchangedWithoutBound(t *testing.T) {
	e := newEvacuations(EntryOptions{EvacuationPrefix: simEvacuationPrefix}, func() { t.Error("announced") })
	e.merge(workflowrpc.Evacuations{Rows: []evacuation.Row{{Zone: "a", Version: 3}}, Known: true, Version: 4}, time.Second, "peer")
	if m := e.message(); m.Known || len(m.Rows) > 0 || e.newest() != 0 || !e.includes(1<<60) {
		t.Errorf("exchanged: %+v", m)
	}
}

// evacuationChecker checks what entries know and allow, under random faults, against the
// operator's requests.
type evacuationChecker struct {
	*configChecker
	rng     *lockedRand
	nextOp  time.Time
	changed map[string]time.Time // when a zone's request was last confirmed or withdrawn
	active  map[string]bool
	late    map[string]bool
	// requests counts the operator's requests, near the observations of permitted starts in a
	// zone after its request, and outages those that rest on an outage alone.
	requests, near, outages int
}

// step makes the operator request or withdraw something now and then.
func (c *evacuationChecker) step() {
	now := time.Now()
	if now.Before(c.nextOp) {
		return
	}
	c.nextOp = now.Add(time.Duration(200+c.rng.IntN(9000)) * time.Millisecond)
	zone := []string{"a", "b"}[c.rng.IntN(2)]
	if c.active[zone] {
		c.withdraw(zone)
	} else {
		c.evacuate(zone)
		c.requests++
	}
	c.active[zone], c.changed[zone] = !c.active[zone], now
}

// observe checks all entries.
func (c *evacuationChecker) observe() {
	for _, id := range c.ids {
		c.mu.Lock()
		e := c.entries[id]
		c.mu.Unlock()
		if e != nil {
			c.checkZone(id, e, "a")
			c.checkZone(id, e, "b")
		}
	}
}

func (c *evacuationChecker) checkZone(id string, e *simEntry, zone string) {
	now, changed := time.Now(), c.changed[zone]
	view := e.config.evacuations.view()
	if until, ok := simEvacuation.Until(view, zone); ok && c.active[zone] && until > now.Sub(c.started) {
		last := c.started.Add(until + evacuation.CallMargin)
		c.near++
		if until > view.AsOf+simEvacuation.Bound {
			c.outages++
		}
		// The rule does not hold while the store has failed recently.
		if last.Sub(changed) > simEvacuation.Bound && last.Sub(c.storeSince) >= simEvacuation.Contact {
			c.t.Errorf("%v: %s allows starts in zone %s until %v after the request; the store has worked for %v", now.Sub(c.started), id, zone, last.Sub(changed), now.Sub(c.storeSince))
		}
	}
	known := view.Evacuated(zone) == c.active[zone]
	if key := fmt.Sprint(id, zone, changed); !known && changed.Sub(c.wayWorksSince(id)) >= configContact && now.Sub(changed) > configBound && !c.late[key] {
		c.late[key] = true
		c.t.Errorf("%v: %s does not know %v later that the evacuation of zone %s is %v", now.Sub(c.started), id, now.Sub(changed), zone, c.active[zone])
	}
}
