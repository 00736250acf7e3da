package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// relayHarness enables relays and adds two other entries that can relay the
// heartbeats of the harness's two agents.
func relayHarness(h *harness) *Owner {
	o := h.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cfg.RelayThreshold = 1
	o.cfg.Entries = func() ([]structs.EntryInfo, uint64) {
		return []structs.EntryInfo{
			{ID: "e2", RPCAddr: "e2:1", Domains: []string{testDomain}}, {ID: "e3", RPCAddr: "e3:1", Domains: []string{testDomain}},
			{ID: "far", RPCAddr: "far:1", Domains: []string{"other"}},
		}, 2
	}
	o.checkRelays()
	return o
}

// assignedRelay sends a direct heartbeat and returns the relay that the reply
// assigns.
func (h *harness) assignedRelay(o *Owner, id, failed string) string {
	h.t.Helper()
	reply, err := o.Heartbeat(&structs.HeartbeatArgs{AgentID: id, Incarnation: 1, Epoch: 1, RelayFailed: failed})
	if err != nil || reply.Announce {
		h.t.Fatalf("heartbeat of %s: %+v, %v", id, reply, err)
	}
	return reply.RelayID
}

func (h *harness) report(o *Owner, from string, args structs.RelayReportArgs) structs.RelayReportReply {
	h.t.Helper()
	args.Domain, args.Epoch, args.From = testDomain, 1, from
	reply, err := o.RelayReport(&args)
	if err != nil {
		h.t.Fatal(err)
	}
	return reply
}

func (h *harness) heartbeatAge(o *Owner, id string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.heartbeatAge(id, o.now())
}

// Guards against a report that renews an agent which the relay does not hear, or
// which has returned to the owner or moved to another relay.
func TestRelayReportRenewsOnlyItsAgents(t *testing.T) {
	withHarness(t, func(h *harness) {
		o := relayHarness(h)
		r := h.assignedRelay(o, "w0", "")
		if r != "e2" && r != "e3" {
			t.Fatalf("relay %q", r)
		}
		time.Sleep(time.Second)
		alive := []structs.RelayAlive{{ID: "w0", Incarnation: 1, Usage: &structs.Usage{CoresMilli: 900}}, {ID: "stranger", Incarnation: 1}}
		if reply := h.report(o, r, structs.RelayReportArgs{Seq: 10, Alive: alive}); !slices.Equal(reply.Turn, []string{"stranger"}) || reply.Full || reply.Release {
			t.Errorf("reply %+v", reply)
		}
		if h.heartbeatAge(o, "w0") != 0 || o.agents["w0"].usage.CoresMilli != 900 {
			t.Errorf("age %v, usage %+v", h.heartbeatAge(o, "w0"), o.agents["w0"].usage)
		}
		time.Sleep(time.Second)
		h.report(o, r, structs.RelayReportArgs{Seq: 11, Base: 10})
		if h.heartbeatAge(o, "w0") != 0 {
			t.Errorf("age %v after an unchanged report", h.heartbeatAge(o, "w0"))
		}
		time.Sleep(time.Second)
		silent := []structs.RelaySilent{{ID: "w0", Age: 1700 * time.Millisecond}}
		h.report(o, r, structs.RelayReportArgs{Seq: 12, Base: 11, Silent: silent})
		if h.heartbeatAge(o, "w0") != 1700*time.Millisecond {
			t.Errorf("age %v after a silence of 1.7 s", h.heartbeatAge(o, "w0"))
		}
		// The agent returned to the owner because the relay failed it.
		other := h.assignedRelay(o, "w0", r)
		if other == r || other == "" {
			t.Errorf("relay %q after %q failed", other, r)
		}
		time.Sleep(time.Second)
		reply := h.report(o, r, structs.RelayReportArgs{Seq: 13, Base: 12, Alive: alive[:1]})
		if h.heartbeatAge(o, "w0") != time.Second || !slices.Equal(reply.Turn, []string{"stranger", "w0"}) {
			t.Errorf("age %v, turn %v after a report of the former relay", h.heartbeatAge(o, "w0"), reply.Turn)
		}
	})
}

// Guards against applying a report's differences to another base than the one
// they refer to, as after a lost reply, and against applying a late report.
func TestRelayReportOutOfSequenceIsRejected(t *testing.T) {
	withHarness(t, func(h *harness) {
		o := relayHarness(h)
		r := h.assignedRelay(o, "w0", "")
		alive := []structs.RelayAlive{{ID: "w0", Incarnation: 1}}
		if !h.report(o, r, structs.RelayReportArgs{Seq: 9, Base: 8, Alive: alive}).Full {
			t.Error("differences to an unknown report were applied")
		}
		h.report(o, r, structs.RelayReportArgs{Seq: 10, Alive: alive})
		h.report(o, r, structs.RelayReportArgs{Seq: 11, Base: 10, Silent: []structs.RelaySilent{{ID: "w0", Age: 2 * time.Second}}})
		for _, late := range []structs.RelayReportArgs{{Seq: 11, Base: 10}, {Seq: 12, Base: 10}, {Seq: 9, Alive: alive}} {
			time.Sleep(100 * time.Millisecond)
			if !h.report(o, r, late).Full || h.heartbeatAge(o, "w0") == 0 {
				t.Errorf("report %d with base %d after 11 was applied, age %v", late.Seq, late.Base, h.heartbeatAge(o, "w0"))
			}
		}
	})
}

// Guards against assigning agents a relay that does not report, and against
// agents that stay with it when it reports again.
func TestRelayWithoutReportsIsBarred(t *testing.T) {
	withHarness(t, func(h *harness) {
		o := relayHarness(h)
		r := h.assignedRelay(o, "w0", "")
		alive := []structs.RelayAlive{{ID: "w0", Incarnation: 1}}
		h.report(o, r, structs.RelayReportArgs{Seq: 10, Alive: alive})
		time.Sleep(2 * time.Second)
		if h.assignedRelay(o, "w0", "") != r {
			t.Errorf("another relay although only one report can be missing")
		}
		time.Sleep(time.Second)
		if other := h.assignedRelay(o, "w0", ""); other == r || other == "" {
			t.Errorf("relay %q, but %q does not report", other, r)
		}
		if !h.report(o, r, structs.RelayReportArgs{Seq: 13, Alive: alive}).Release {
			t.Error("the relay may keep its agents")
		}
		time.Sleep(relayBarDuration)
		if h.assignedRelay(o, "w0", "") != r {
			t.Error("the relay is not assigned again")
		}
	})
}

// Guards against an owner that was paused itself and bars its relays because of
// that.
func TestPausedOwnerKeepsRelays(t *testing.T) {
	withHarness(t, func(h *harness) {
		o := relayHarness(h)
		r := h.assignedRelay(o, "w0", "")
		h.report(o, r, structs.RelayReportArgs{Seq: 10, Alive: []structs.RelayAlive{{ID: "w0", Incarnation: 1}}})
		o.mu.Lock()
		o.clockOrigin = o.clockOrigin.Add(-10 * time.Second) // as if 10 s had passed
		o.checkRelays()
		o.mu.Unlock()
		if h.report(o, r, structs.RelayReportArgs{Seq: 11, Base: 10}).Release {
			t.Error("the relay must release its agents")
		}
	})
}

// Guards against barring a relay because its last agent has left it.
func TestRelayWithoutAgentsIsNotBarred(t *testing.T) {
	withHarness(t, func(h *harness) {
		o := relayHarness(h)
		r := h.assignedRelay(o, "w0", "")
		h.report(o, r, structs.RelayReportArgs{Seq: 10, Alive: []structs.RelayAlive{{ID: "w0", Incarnation: 1}}})
		h.report(o, r, structs.RelayReportArgs{Seq: 11, Base: 10, Silent: []structs.RelaySilent{{ID: "w0"}}})
		time.Sleep(5 * time.Second)
		if again := h.assignedRelay(o, "w0", ""); again != r {
			t.Errorf("relay %q, want %q", again, r)
		}
	})
}
