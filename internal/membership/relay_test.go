package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// fakeOwner is an owner that records the reports it receives.
type fakeOwner struct {
	mu      sync.Mutex
	reports []structs.RelayReportArgs
	answer  func(*structs.RelayReportReply) error
}

func (s *fakeOwner) Call(_ context.Context, _, _ string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, *args.(*structs.RelayReportArgs))
	if s.answer != nil {
		return s.answer(reply.(*structs.RelayReportReply))
	}
	return nil
}

func (s *fakeOwner) setAnswer(answer func(*structs.RelayReportReply) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *fakeOwner) lastReport() structs.RelayReportArgs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports[len(s.reports)-1]
}

// relayHarness runs a relay whose agents send heartbeats when the test calls for them.
type relayHarness struct {
	t      *testing.T
	relay  *Relay
	owner  *fakeOwner
	tokens map[string]uint64
}

// withRelayHarness runs f with a running relay in a synctest bubble.
func withRelayHarness(t *testing.T, f func(h *relayHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &relayHarness{t: t, owner: &fakeOwner{}, tokens: map[string]uint64{}}
		h.relay = NewRelay(RelayOptions{
			Caller: h.owner, Version: func() uint64 { return 7 },
			Entries:        func() ([]structs.EntryInfo, uint64) { return nil, 1 },
			OnAgentVersion: func(string, uint64) {}, OnOwnerVersion: func(string, uint64) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { h.relay.Run(ctx) })
		time.Sleep(second / 2) // send heartbeats halfway between two reports
		f(h)
	})
}

// sendHeartbeats sends a heartbeat of each agent, and waits until the next report
// has been answered and the next heartbeat is due.
func (h *relayHarness) sendHeartbeats(ids ...string) {
	h.t.Helper()
	for _, id := range ids {
		if reply := h.sendHeartbeat(id, h.tokens[id] == 0, nil); reply.Turn != structs.RedirectNone {
			h.t.Fatalf("%s must turn to the owner: %d", id, reply.Turn)
		}
	}
	time.Sleep(second)
}

// sendHeartbeat sends a heartbeat of an agent, with a registration if register is set.
func (h *relayHarness) sendHeartbeat(id string, register bool, usage *structs.Usage) structs.RelayHeartbeatReply {
	args := &structs.RelayHeartbeatArgs{Token: h.tokens[id], Usage: usage}
	args.ManifestVersion = 6
	if register {
		owner := structs.Owner{Domain: "d", EntryID: "o", Addr: "o:1", Epoch: 3}
		args.Register = &structs.RelayRegistration{AgentID: id, Addr: id + ":1", Incarnation: 5, Owner: owner}
	}
	var reply structs.RelayHeartbeatReply
	if err := h.relay.Heartbeat(args, &reply); err != nil {
		h.t.Fatal(err)
	}
	if reply.Token != 0 {
		h.tokens[id] = reply.Token
	}
	return reply
}

// checkReport compares the last report with want: +id for each alive agent, then
// -id/age for each silent one. incremental is whether it must have a base.
func (h *relayHarness) checkReport(what string, incremental bool, want string) {
	h.t.Helper()
	r := h.owner.lastReport()
	got := ""
	for _, a := range r.Alive {
		got += "+" + a.ID
	}
	for _, s := range r.Silent {
		got += fmt.Sprintf("-%s/%v", s.ID, s.Age)
	}
	if got != want || (r.Base != 0) != incremental || incremental && r.Base != r.Seq-1 {
		h.t.Errorf("%s: report %q with base %d of %d, want %q", what, got, r.Base, r.Seq, want)
	}
}

// Guards against reports that repeat what the owner has acknowledged, reports that
// omit what it may not have because an answer was lost, and a wrong age of the last
// heartbeat.
func TestRelayReportsDifferences(t *testing.T) {
	withRelayHarness(t, func(h *relayHarness) {
		h.sendHeartbeats("a")
		h.checkReport("first report", false, "+a")
		h.sendHeartbeats("a", "b")
		h.checkReport("b is new", true, "+b")
		h.sendHeartbeats("a", "b")
		h.checkReport("nothing is new", true, "")
		if r := h.owner.lastReport(); r.Domain != "d" || r.Epoch != 3 || r.MinManifest != 6 {
			t.Errorf("report %+v", r)
		}
		h.owner.setAnswer(func(*structs.RelayReportReply) error { return errors.New("lost") })
		h.sendHeartbeat("a", false, &structs.Usage{CoresMilli: 100})
		h.sendHeartbeats("b")
		h.checkReport("usage", true, "+a")
		h.owner.setAnswer(nil)
		h.sendHeartbeat("a", false, nil)
		h.sendHeartbeats("b")
		h.owner.mu.Lock()
		r := h.owner.reports[len(h.owner.reports)-1]
		h.owner.mu.Unlock()
		if r.Base != 0 || len(r.Alive) != 2 {
			t.Errorf("report after a lost answer: %+v", r)
		}
		for _, a := range r.Alive {
			if (a.ID == "a") != (a.Usage != nil) || a.Usage != nil && (a.Usage.CoresMilli != 100 || a.Usage.Lag != 3*second/2) {
				t.Errorf("usage of %s after a lost answer: %+v", a.ID, a.Usage)
			}
		}
		h.sendHeartbeats("a")
		h.checkReport("b is silent for 1.5 s", true, "-b/1.5s")
		h.sendHeartbeats("a")
		h.checkReport("the silence was reported", true, "")
		if reply := h.sendHeartbeat("b", false, nil); reply.Turn != structs.RedirectReleased {
			t.Errorf("token of an agent that was removed: turn %d", reply.Turn)
		}
	})
}

// Guards against agents that stay with a relay after the owner wants them back,
// although its reports fail, or after the owner is gone.
func TestRelaySendsAgentsToOwner(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(*structs.RelayReportReply) error
		after  time.Duration
		want   structs.RedirectReason
	}{
		{"released", func(r *structs.RelayReportReply) error { r.Release = true; return nil }, second, structs.RedirectReleased},
		{"one agent", func(r *structs.RelayReportReply) error { r.Turn = []string{"a"}; return nil }, second, structs.RedirectReleased},
		{"not reported for 1 s", func(*structs.RelayReportReply) error { return errors.New("cut") }, second, structs.RedirectNone},
		{"not reported for 2 s", func(*structs.RelayReportReply) error { return errors.New("cut") }, 2 * second, structs.RedirectRelayFailed},
		{"old epoch", func(*structs.RelayReportReply) error {
			return verdict.Refuse(verdict.CodeStaleEpoch, "epoch 4")
		}, second, structs.RedirectOwnerGone},
		{"not the owner", func(*structs.RelayReportReply) error {
			return verdict.Refuse(verdict.CodeNotOwner, "released")
		}, second, structs.RedirectOwnerGone},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRelayHarness(t, func(h *relayHarness) {
				h.sendHeartbeats("a")
				h.owner.setAnswer(c.answer)
				for range c.after / second {
					h.sendHeartbeats("a")
				}
				if reply := h.sendHeartbeat("a", false, nil); reply.Turn != c.want {
					t.Errorf("turn %d, want %d", reply.Turn, c.want)
				}
				if c.want == structs.RedirectOwnerGone {
					n := len(h.owner.reports)
					time.Sleep(3 * second)
					if len(h.owner.reports) != n {
						t.Error("reports are still sent although the owner is gone")
					}
				}
				time.Sleep(idleTableExpiry + second)
				h.relay.mu.Lock()
				defer h.relay.mu.Unlock()
				if len(h.relay.tables)+len(h.relay.tokens) != 0 {
					t.Errorf("%d tables and %d tokens remain", len(h.relay.tables), len(h.relay.tokens))
				}
			})
		})
	}
}

// Guards against an earlier incarnation that replaces a later one, against a token
// of an earlier registration that is accepted, and against registrations that are
// accepted while the relay shuts down.
func TestRelayRejectsStaleRegistrations(t *testing.T) {
	withRelayHarness(t, func(h *relayHarness) {
		h.sendHeartbeats("a")
		old := h.tokens["a"]
		h.sendHeartbeat("a", true, nil)
		if h.tokens["a"] == old {
			t.Error("a second registration has the same token")
		}
		h.tokens["late"] = old
		if reply := h.sendHeartbeat("late", false, nil); reply.Turn != structs.RedirectReleased {
			t.Errorf("token of an earlier registration: turn %d", reply.Turn)
		}
		args := &structs.RelayHeartbeatArgs{Register: &structs.RelayRegistration{
			AgentID: "a", Incarnation: 4, Owner: structs.Owner{Domain: "d", Addr: "o:1", Epoch: 3},
		}}
		var reply structs.RelayHeartbeatReply
		if err := h.relay.Heartbeat(args, &reply); err != nil || reply.Turn != structs.RedirectRelayFailed {
			t.Errorf("earlier incarnation: %+v, %v", reply, err)
		}
		h.sendHeartbeats("a")
		h.relay.Leave(context.Background())
		if r := h.owner.lastReport(); !r.Leaving {
			t.Errorf("report of a leaving relay: %+v", r)
		}
		if reply := h.sendHeartbeat("a", false, nil); reply.Turn != structs.RedirectReleased {
			t.Errorf("turn %d while the relay leaves", reply.Turn)
		}
		if reply := h.sendHeartbeat("c", true, nil); reply.Turn != structs.RedirectRelayFailed {
			t.Errorf("registration while the relay leaves: turn %d", reply.Turn)
		}
	})
}
