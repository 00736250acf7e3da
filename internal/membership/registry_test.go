package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Guards against wrong transitions between alive, suspect, lost and draining.
func TestRegistryTransitions(t *testing.T) {
	type call struct {
		at          time.Duration // since the start
		op          string        // announce, drain (announce with draining set), beat, beatDraining, leave or tick
		incarnation int64
		want        string // event kinds; ! if the agent must announce itself; x for stale_epoch
	}
	for name, calls := range map[string][]call{
		"false suspicion heals": {{0, "announce", 1, "joined "}, {2999, "tick", 0, ""}, {3000, "tick", 0, "suspected "},
			{3100, "beat", 1, "healed "}, {6000, "tick", 0, ""}, {6100, "tick", 0, "suspected "}, {6200, "announce", 1, "healed "}},
		"lost and returned": {{0, "announce", 1, "joined "}, {10000, "tick", 0, "suspected lost "}, {10100, "beat", 1, "!"},
			{10200, "tick", 0, ""}, {10300, "announce", 1, "returned "}, {10400, "beat", 1, ""}},
		"restart":              {{0, "announce", 1, "joined "}, {100, "beat", 2, "!"}, {200, "announce", 2, "restarted "}, {300, "beat", 1, "x"}, {400, "announce", 1, "x"}},
		"unknown agent":        {{0, "beat", 1, "!"}, {0, "leave", 1, ""}},
		"draining is for good": {{0, "announce", 1, "joined "}, {100, "beatDraining", 1, "draining "}, {200, "beat", 1, ""}, {300, "announce", 1, ""}, {400, "beatDraining", 1, ""}},
		"restart ends drain":   {{0, "drain", 1, "joined draining "}, {100, "announce", 2, "restarted "}, {200, "beatDraining", 2, "draining "}},
		"leave":                {{0, "announce", 2, "joined "}, {100, "leave", 1, ""}, {200, "leave", 2, "left "}, {300, "beat", 2, "!"}},
		"forgotten":            {{0, "announce", 1, "joined "}, {10000, "tick", 0, "suspected lost "}, {3609999, "tick", 0, ""}, {3610000, "tick", 0, "forgotten "}},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(RegistryOptions{MaxTickGap: 2 * time.Hour})
			for _, c := range calls {
				now := c.at * time.Millisecond
				info := structs.AgentInfo{ID: "w1", Incarnation: c.incarnation}
				var events []Event
				var announce bool
				var err error
				switch c.op {
				case "announce", "drain":
					events, err = r.Announce(now, info, c.op == "drain")
				case "beat", "beatDraining":
					announce, events, err = r.Heartbeat(now, "w1", c.incarnation, c.op == "beatDraining")
				case "leave":
					events = r.Leave("w1", c.incarnation)
				case "tick":
					events = r.Tick(now)
				}
				var got string
				for _, e := range events {
					got += string(e.Kind) + " "
				}
				if announce {
					got += "!"
				}
				if verdict.HasCode(err, verdict.CodeStaleEpoch) {
					got += "x"
				}
				if got != c.want {
					t.Errorf("%s at %d ms: %q, want %q", c.op, c.at, got, c.want)
				}
			}
		})
	}
}

// Guards against an owner that was paused and counts its own pause as silence of
// all agents.
func TestRegistryIgnoresOwnPause(t *testing.T) {
	r := NewRegistry(RegistryOptions{})
	if _, err := r.Announce(0, structs.AgentInfo{ID: "w1", Incarnation: 1}, false); err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	for range 2 {
		now += second
		if e := r.Tick(now); e != nil {
			t.Fatal(e)
		}
	}
	now += 30 * second
	if e := r.Tick(now); len(e) != 1 || e[0].Kind != AgentSuspected {
		t.Errorf("after a pause: %v", e)
	}
	if _, e, _ := r.Heartbeat(now, "w1", 1, false); len(e) != 1 || e[0].Kind != AgentHealed {
		t.Errorf("heartbeat after the pause: %v", e)
	}
}

// Guards against a registry that grows without limit.
func TestRegistryLimitsAgents(t *testing.T) {
	r := NewRegistry(RegistryOptions{MaxAgents: 3, MaxTickGap: time.Hour})
	for i := range 3 {
		if _, err := r.Announce(0, structs.AgentInfo{ID: fmt.Sprint(i)}, false); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := r.Announce(0, structs.AgentInfo{ID: "3"}, false); !verdict.HasCode(err, verdict.CodeOverloaded) {
		t.Errorf("fourth agent: %v", err)
	}
	r.Tick(11 * second)
	events, err := r.Announce(11*second, structs.AgentInfo{ID: "3"}, false)
	if err != nil || len(events) != 2 || events[0].Kind != AgentForgotten || events[0].AgentID != "0" || len(r.Members()) != 3 {
		t.Errorf("%v, %v", events, err)
	}
}

// applyEvents derives the states of agents from events, as an owner does.
func applyEvents(r *Registry, state map[string]structs.WorkerState, events []Event) {
	for _, e := range events {
		switch e.Kind {
		case AgentSuspected:
			state[e.AgentID] = structs.WorkerSuspect
		case AgentLost:
			state[e.AgentID] = structs.WorkerLost
		case AgentLeft, AgentForgotten:
			delete(state, e.AgentID)
		case AgentDraining:
			state[e.AgentID] = structs.WorkerDraining
		default:
			state[e.AgentID] = structs.WorkerReady
			if m, _ := r.Member(e.AgentID); m.Draining {
				state[e.AgentID] = structs.WorkerDraining
			}
		}
	}
}

// Guards, for any order of calls, against events from which the states of agents
// cannot be derived, and against states that contradict the time since the last
// heartbeat.
func TestRegistryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(RegistryOptions{MaxTickGap: time.Hour, MaxAgents: 6, ForgetAfter: 20 * second})
		now := time.Duration(0) // time since the registry's origin
		state := map[string]structs.WorkerState{}
		apply := func(events []Event) { applyEvents(r, state, events) }
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprintf("w%d", rapid.IntRange(0, 7).Draw(t, "agent"))
			incarnation := int64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			draining := rapid.IntRange(0, 9).Draw(t, "draining") == 0
			before, _ := r.Member(id)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				events, _ := r.Announce(now, structs.AgentInfo{ID: id, Incarnation: incarnation}, draining)
				apply(events)
			case 1, 2, 3:
				_, events, _ := r.Heartbeat(now, id, incarnation, draining)
				apply(events)
			case 4:
				apply(r.Leave(id, incarnation))
			case 5:
				apply(r.Tick(now))
				for _, m := range r.Members() {
					silent := now - m.LastSeen
					if (m.State() == structs.WorkerLost) != (silent >= DefaultLostAfter) || (silent >= DefaultSuspectAfter) != m.suspect {
						t.Fatalf("silent for %v: %+v", silent, m)
					}
				}
			}
			if after, ok := r.Member(id); ok && after.Info.Incarnation < before.Info.Incarnation {
				t.Fatalf("incarnation of %s decreased from %d to %d", id, before.Info.Incarnation, after.Info.Incarnation)
			}
			members := r.Members()
			if len(members) > 6 || !slices.IsSortedFunc(members, func(a, b Member) int { return int(a.Info.ID[1]) - int(b.Info.ID[1]) }) {
				t.Fatalf("members %v", members)
			}
			for _, m := range members {
				if state[m.Info.ID] != m.State() {
					t.Fatalf("%s is %s, but its events give %s", m.Info.ID, m.State(), state[m.Info.ID])
				}
			}
			if len(state) != len(members) {
				t.Fatalf("the events give %d agents, the registry has %d", len(state), len(members))
			}
		}
	})
}
