package daemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// relayTestWindow is how long the agents are observed after a failure.
const relayTestWindow = 12 * time.Second

// When a relay fails, its agents must not become lost, or be suspect for longer than the
// second that docs/design.md allows, and must stop sending heartbeats to it.
func TestRelayFailureDoesNotLoseAgents(t *testing.T) {
	e2 := func(r *relayCluster) *relayEntry { return r.entries[1] }
	for _, c := range []struct {
		name string
		fail func(r *relayCluster)
		// relaysAgain says that e2 is used as a relay again at the end.
		relaysAgain bool
	}{
		{"dies", func(r *relayCluster) { r.kill(1) }, false},
		{"link to every agent is cut", func(r *relayCluster) {
			r.network.update(func(n *fakeNetwork) {
				for i := range relayAgents {
					n.cutLinks[fmt.Sprintf("a%d:1>%s", i, e2(r).addr)] = true
				}
			})
		}, false},
		{"cut off from the owner", func(r *relayCluster) {
			r.network.update(func(n *fakeNetwork) { n.cutLinks[e2(r).addr+">e1:1"] = true })
		}, false},
		{"answers to reports are lost", func(r *relayCluster) {
			r.network.update(func(n *fakeNetwork) { n.loseRepliesOf = "Domain.RelayReport" })
		}, false},
		{"frozen", func(r *relayCluster) { r.freeze(1) }, false},
		{"frozen for 5 s", func(r *relayCluster) {
			unfreeze := r.freeze(1)
			time.AfterFunc(5*time.Second, unfreeze)
		}, false},
		{"shuts down", func(r *relayCluster) { e2(r).relay.Leave(context.Background()) }, false},
		{"restarts", func(r *relayCluster) {
			r.kill(1)
			r.mu.Lock()
			r.entrySet, r.entrySetVersion = append(r.entrySet[:1:1], r.entrySet[2:]...), r.entrySetVersion+1
			r.mu.Unlock()
			r.startEntry("e2")
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runRelayTest(t, func(r *relayCluster) {
				c.fail(r)
				for id, d := range r.suspectedFor(relayTestWindow) {
					if d > time.Second {
						t.Errorf("%s was suspected for %v", id, d)
					}
				}
				if c.relaysAgain {
					time.Sleep(time.Minute) // agents avoid a relay for some time after a failure
				}
				r.network.resetCalls()
				time.Sleep(2 * time.Second)
				if n := r.network.callCount("e2:1", "Relay.Heartbeat"); (n > 0) != c.relaysAgain {
					t.Errorf("e2 received %d heartbeats", n)
				}
				r.network.resetCalls()
				if suspected := r.suspectedFor(10 * time.Second); len(suspected) > 0 {
					t.Errorf("suspected at the end: %v", suspected)
				}
			})
		})
	}
}

// Guards against a dead agent that becomes suspect and lost later because its
// heartbeats went to a relay.
func TestDeadAgentOfRelayIsDetectedInTime(t *testing.T) {
	runRelayTest(t, func(r *relayCluster) {
		for _, stop := range r.stopAgents {
			stop()
		}
		time.Sleep(3300 * time.Millisecond) // 3 s until it is suspect, and the check interval
		for id, w := range r.workerViews() {
			if w.State != structs.WorkerSuspect && w.HeartbeatAgeMS >= 3000 {
				t.Errorf("%s is %s after %d ms", id, w.State, w.HeartbeatAgeMS)
			}
			if w.HeartbeatAgeMS < 3000 {
				t.Errorf("%s: last heartbeat %d ms ago, but the agent stopped 3300 ms ago", id, w.HeartbeatAgeMS)
			}
		}
		time.Sleep(7500 * time.Millisecond)
		for id, w := range r.workerViews() {
			if w.State != structs.WorkerLost {
				t.Errorf("%s is %s after %d ms", id, w.State, w.HeartbeatAgeMS)
			}
		}
	})
}

// Guards against agents that keep using the relays of an owner that died, and
// against agents that take longer to find the new owner than without relays.
func TestAgentsOfRelaysFindNewOwner(t *testing.T) {
	runRelayTest(t, func(r *relayCluster) {
		r.kill(0)
		time.Sleep(3 * time.Second)
		r.setOwner(2, 2)
		start := time.Now()
		for len(r.workerViews()) < relayAgents {
			if time.Since(start) > 2*time.Second {
				t.Fatalf("%d agents announced within the 2 s that a new owner waits", len(r.workerViews()))
			}
			time.Sleep(50 * time.Millisecond)
		}
		r.mu.Lock()
		r.entrySet, r.entrySetVersion = r.entrySet[1:], r.entrySetVersion+1
		r.mu.Unlock()
		for id, d := range r.suspectedFor(relayTestWindow) {
			if d > time.Second {
				t.Errorf("%s was suspected for %v", id, d)
			}
		}
		r.network.resetCalls()
		time.Sleep(10 * time.Second)
		if r.network.callCount("e2:1", "Relay.Heartbeat") == 0 || r.network.callCount("e1:1", "Relay.Heartbeat") > 0 {
			t.Errorf("calls %v", r.network.calls)
		}
		r.expectHeartbeats(10)
	})
}

// Guards against relay reports of an old epoch that count as heartbeats at the next
// owner, and against agents that do not notice a new epoch if the owner's address
// stays the same.
func TestRelayReportOfOldEpochIsRefused(t *testing.T) {
	runRelayTest(t, func(r *relayCluster) {
		o := r.setOwner(0, 2)
		args := &structs.RelayReportArgs{Domain: relayDomain, Epoch: 1, Seq: 1 << 62, Alive: []structs.RelayAlive{{ID: "a0"}}}
		args.From = "e2"
		if _, err := o.RelayReport(args); err == nil || len(r.workerViews()) > 0 {
			t.Errorf("report of epoch 1 at epoch 2: %v, agents %v", err, r.workerViews())
		}
		time.Sleep(3 * time.Second)
		if n := len(r.workerViews()); n != relayAgents {
			t.Errorf("%d agents announced", n)
		}
		if suspected := r.suspectedFor(relayTestWindow); len(suspected) > 0 {
			t.Errorf("suspected: %v", suspected)
		}
	})
}

// Relays must not be used with fewer agents than three quarters of the threshold, and
// their use must not change frequently when the number of agents is at the threshold.
func TestRelaysStopBelowThreshold(t *testing.T) {
	runRelayTest(t, func(r *relayCluster) {
		stop := func(from, to int) {
			for _, end := range r.stopAgents[from:to] {
				end()
			}
			time.Sleep(14 * time.Second) // the owner considers them lost
			r.network.resetCalls()
			time.Sleep(5 * time.Second)
		}
		relayed := func() int {
			return r.network.callCount("e2:1", "Relay.Heartbeat") + r.network.callCount("e3:1", "Relay.Heartbeat")
		}
		stop(0, relayAgents-relayThreshold+1) // three quarters of the threshold
		if relayed() == 0 {
			t.Error("no relays with three quarters of the threshold")
		}
		stop(relayAgents-relayThreshold+1, relayAgents-relayThreshold+2)
		if n := relayed(); n != 0 {
			t.Errorf("%d heartbeats to relays below three quarters of the threshold", n)
		}
		if n := r.network.callCount("e1:1", "Domain.Heartbeat"); n != 2*5 {
			t.Errorf("%d heartbeats to the owner in 5 s", n)
		}
	})
}

// Agents that use relays must receive a new manifest, and must not all fetch it from the
// owner. The owner's view must have the right manifest version.
func TestManifestReachesAgentsThroughRelays(t *testing.T) {
	runRelayTest(t, func(r *relayCluster) {
		r.network.resetCalls()
		for _, e := range r.entries {
			e.holder.Set(&structs.Manifest{APIVersion: structs.APIVersion, Version: 2, Parent: 1})
		}
		time.Sleep(3 * time.Second)
		for id, w := range r.workerViews() {
			if w.ManifestVersion != 2 {
				t.Errorf("%s has version %d", id, w.ManifestVersion)
			}
		}
		sum := 0
		for _, e := range r.entries {
			n := r.network.callCount(e.addr, "Peer.ManifestDelta")
			if n == 0 {
				t.Errorf("no agent fetched the manifest from %s", e.id)
			}
			sum += n
		}
		if sum != relayAgents {
			t.Errorf("the manifest was fetched %d times", sum)
		}
	})
}

// Guards against new entries that are not used as relays.
func TestNewEntriesBecomeRelays(t *testing.T) {
	runRelayTest(t, func(r *relayCluster) {
		r.startEntry("e4")
		r.startEntry("e5")
		if suspected := r.suspectedFor(5 * time.Second); len(suspected) > 0 {
			t.Errorf("suspected: %v", suspected)
		}
		r.network.resetCalls()
		time.Sleep(5 * time.Second)
		if r.network.callCount("e4:1", "Relay.Heartbeat")+r.network.callCount("e5:1", "Relay.Heartbeat") == 0 {
			t.Error("the new entries receive no heartbeats as relays")
		}
		r.expectHeartbeats(5)
	})
}
