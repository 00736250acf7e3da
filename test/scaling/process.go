package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ticksPerSecond is the unit of processor times in /proc/<pid>/stat; Linux
// fixes it at 100 for programs.
const ticksPerSecond = 100

// sample holds the counters of a process at one time.
type sample struct {
	cpu      float64 // seconds, user and system
	rss      float64 // bytes
	rpcBytes float64 // of the RPC connections, both directions
	ioBytes  float64 // of all reads and writes of the process, HTTP and logs included
	calls    float64 // RPC calls, as client and as server
	reads    float64 // of the platform
	writes   float64 // of the platform
}

// usage is what a process uses: processor time in percent of a core, resident
// memory in MB (10^6 bytes), and the rest a second.
type usage struct{ CPU, MB, RPCBytes, IOBytes, Calls, Reads, Writes float64 }

func rates(before, after sample, seconds float64) usage {
	return usage{
		CPU: 100 * (after.cpu - before.cpu) / seconds, MB: after.rss / 1e6,
		RPCBytes: (after.rpcBytes - before.rpcBytes) / seconds, IOBytes: (after.ioBytes - before.ioBytes) / seconds,
		Calls: (after.calls - before.calls) / seconds,
		Reads: (after.reads - before.reads) / seconds, Writes: (after.writes - before.writes) / seconds,
	}
}

// daemonVars are the counters that a daemon publishes.
type daemonVars struct {
	RPC struct {
		ClientSent     float64 `json:"client_sent_bytes"`
		ClientReceived float64 `json:"client_received_bytes"`
		ServerSent     float64 `json:"server_sent_bytes"`
		ServerReceived float64 `json:"server_received_bytes"`
		ClientCalls    float64 `json:"client_calls"`
		ServerCalls    float64 `json:"server_calls"`
	} `json:"parsleypier_rpc"`
	Platform struct {
		Reads  float64 `json:"reads"`
		Writes float64 `json:"writes"`
	} `json:"parsleypier_platform"`
}

// takeSample reads the counters of the process with the ID, whose HTTP
// interface is at url. The request for the daemon's own counters costs some
// itself: it comes before the kernel's counters at the begin of a window and
// after them at its end, so that neither is in the window.
func takeSample(ctx context.Context, pid int, url string, end bool) (sample, error) {
	var s sample
	steps := []func() error{
		func() error { return s.readVars(ctx, url) },
		func() error { return s.readProc(pid) },
	}
	if end {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *sample) readVars(ctx context.Context, url string) error {
	var vars daemonVars
	if err := getJSON(ctx, url+"/debug/vars", &vars); err != nil {
		return err
	}
	r := vars.RPC
	s.rpcBytes = r.ClientSent + r.ClientReceived + r.ServerSent + r.ServerReceived
	s.calls = r.ClientCalls + r.ServerCalls
	s.reads, s.writes = vars.Platform.Reads, vars.Platform.Writes
	return nil
}

// readProc reads the kernel's counters.
func (s *sample) readProc(pid int) error {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return err
	}
	// Fields are counted after the program's name, which can contain spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const user, system, resident = 11, 12, 21
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return err
		}
		s.cpu += ticks / ticksPerSecond
	}
	pages, err := strconv.ParseFloat(fields[resident], 64)
	if err != nil {
		return err
	}
	s.rss = pages * float64(os.Getpagesize())
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(io)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return err
			}
			s.ioBytes += n
		}
	}
	return nil
}

func getJSON(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// measure returns the usage of the processes over the window, by name.
func (r *rig) measure(ctx context.Context, names []string, window time.Duration) (map[string]usage, error) {
	before, err := r.sampleAll(ctx, names, false)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	select {
	case <-time.After(window):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	seconds := time.Since(start).Seconds()
	after, err := r.sampleAll(ctx, names, true)
	if err != nil {
		return nil, err
	}
	used := map[string]usage{}
	for _, name := range names {
		used[name] = rates(before[name], after[name], seconds)
	}
	return used, nil
}

func (r *rig) sampleAll(ctx context.Context, names []string, end bool) (map[string]sample, error) {
	samples := map[string]sample{}
	var mu sync.Mutex
	var first error
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			s, err := takeSample(ctx, r.PID(name), r.URL(name), end)
			mu.Lock()
			defer mu.Unlock()
			samples[name] = s
			if err != nil && first == nil {
				first = fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	wg.Wait()
	return samples, first
}
