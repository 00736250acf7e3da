//go:build !race

package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// relayWindow is longer than the interval of heartbeats.
const relayWindow = 1500 * time.Millisecond

// setting changes the environment of the processes that start from now on:
//
//	setting NAME=VALUE
func setting(s *scenario, args []string) error {
	s.r.Cluster.Setenv(args[0])
	return nil
}

// relays checks the number of entries that relay heartbeats now, and that no
// agent was lost at the owner:
//
//	relays N
func relays(s *scenario, args []string) error {
	before, err := relayed(s)
	if err != nil {
		return err
	}
	time.Sleep(relayWindow)
	after, err := relayed(s)
	if err != nil {
		return err
	}
	n := 0
	for name, heartbeats := range after {
		if heartbeats > before[name] {
			n++
		}
	}
	return same("relays", strconv.Itoa(n), args[0])
}

// relayed returns the heartbeats that each running entry has relayed.
func relayed(s *scenario) (map[string]int, error) {
	counts := map[string]int{}
	client := &http.Client{Timeout: time.Second}
	for _, name := range s.r.Cluster.ProcessNames("entry") {
		if p := s.r.Cluster.Process(name); p == nil || !p.Alive() {
			continue
		}
		var vars struct {
			Relay struct{ Heartbeats int }   `json:"parsleypier_relay"`
			Owner map[string]json.RawMessage `json:"parsleypier_owner"`
		}
		resp, err := client.Get(s.r.Cluster.URL(name) + "/debug/vars")
		if err != nil {
			return nil, err
		}
		err = json.NewDecoder(resp.Body).Decode(&vars)
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if lost := vars.Owner["agents_lost"]; lost != nil {
			return nil, fmt.Errorf("%s lost %s agents", name, lost)
		}
		counts[name] = vars.Relay.Heartbeats
	}
	return counts, nil
}
