//go:build !race

package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// relayMeasureTime is the time between two readings of the relayed heartbeats. It is
// longer than the heartbeat interval, so that every active relay counts at least one.
const relayMeasureTime = 1500 * time.Millisecond

// setting adds to the environment of the processes that are started later:
//
//	setting NAME=VALUE
func setting(s *scenario, args []string) error {
	s.recorder.Cluster.Setenv(args[0])
	return nil
}

// expectRelays checks how many entries relay heartbeats now, and that the owner has
// declared no agent lost:
//
//	relays N
func expectRelays(s *scenario, args []string) error {
	before, err := relayedHeartbeats(s)
	if err != nil {
		return err
	}
	time.Sleep(relayMeasureTime)
	after, err := relayedHeartbeats(s)
	if err != nil {
		return err
	}
	n := 0
	for name, heartbeats := range after {
		if heartbeats > before[name] {
			n++
		}
	}
	return expectValue("relays", strconv.Itoa(n), args[0])
}

// relayedHeartbeats returns how many heartbeats each running entry has relayed. It
// returns an error if an owner has declared an agent lost.
func relayedHeartbeats(s *scenario) (map[string]int, error) {
	counts := map[string]int{}
	client := &http.Client{Timeout: time.Second}
	for _, name := range s.recorder.Cluster.ProcessNames("entry") {
		if p := s.recorder.Cluster.Process(name); p == nil || !p.Alive() {
			continue
		}
		var vars struct {
			Relay struct{ Heartbeats int }   `json:"parsleypier_relay"`
			Owner map[string]json.RawMessage `json:"parsleypier_owner"`
		}
		resp, err := client.Get(s.recorder.Cluster.URL(name) + "/debug/vars")
		if err != nil {
			return nil, err
		}
		err = json.NewDecoder(resp.Body).Decode(&vars)
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if lost := vars.Owner["agents_lost"]; lost != nil {
			return nil, fmt.Errorf("%s declared %s agents lost", name, lost)
		}
		counts[name] = vars.Relay.Heartbeats
	}
	return counts, nil
}
