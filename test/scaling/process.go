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

// ticksPerSecond is the unit of the CPU times in /proc/<pid>/stat, which Linux fixes at
// 100 for user space.
const ticksPerSecond = 100

// counters holds the counters of a process at one point in time.
type counters struct {
	cpuSeconds    float64 // user and system time
	residentBytes float64
	rpcBytes      float64 // on RPC connections, in both directions
	ioBytes       float64 // by all reads and writes of the process, including HTTP and logs
	calls         float64 // RPC calls, as client and as server
	reads         float64 // read requests to the platform
	writes        float64 // write requests to the platform
}

// usage is the resource use of a process: CPU time in percent of a core, resident memory
// in MB (10^6 bytes), and the other quantities per second.
type usage struct{ CPU, MB, RPCBytes, IOBytes, Calls, Reads, Writes float64 }

// usageBetween returns the usage from two readings of the counters, seconds apart.
func usageBetween(before, after counters, seconds float64) usage {
	return usage{
		CPU: 100 * (after.cpuSeconds - before.cpuSeconds) / seconds, MB: after.residentBytes / 1e6,
		RPCBytes: (after.rpcBytes - before.rpcBytes) / seconds, IOBytes: (after.ioBytes - before.ioBytes) / seconds,
		Calls: (after.calls - before.calls) / seconds,
		Reads: (after.reads - before.reads) / seconds, Writes: (after.writes - before.writes) / seconds,
	}
}

// daemonVariables are the counters that a daemon publishes at /debug/vars.
type daemonVariables struct {
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

// readCounters reads the counters of the process with the given ID, whose HTTP interface
// is at url. The request for the daemon's own counters uses resources itself. It is
// therefore sent before the kernel's counters are read at the start of a measurement,
// and after that at the end, so that neither request is measured.
func readCounters(ctx context.Context, pid int, url string, end bool) (counters, error) {
	var c counters
	steps := []func() error{
		func() error { return c.readVars(ctx, url) },
		func() error { return c.readProc(pid) },
	}
	if end {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// readVars reads the daemon's own counters.
func (c *counters) readVars(ctx context.Context, url string) error {
	var vars daemonVariables
	if err := getJSON(ctx, url+"/debug/vars", &vars); err != nil {
		return err
	}
	rpc := vars.RPC
	c.rpcBytes = rpc.ClientSent + rpc.ClientReceived + rpc.ServerSent + rpc.ServerReceived
	c.calls = rpc.ClientCalls + rpc.ServerCalls
	c.reads, c.writes = vars.Platform.Reads, vars.Platform.Writes
	return nil
}

// readProc reads the kernel's counters in /proc.
func (c *counters) readProc(pid int) error {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return err
	}
	// The fields are counted from the one after the program name, which can contain
	// spaces and stands in parentheses.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const user, system, resident = 11, 12, 21
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return err
		}
		c.cpuSeconds += ticks / ticksPerSecond
	}
	pages, err := strconv.ParseFloat(fields[resident], 64)
	if err != nil {
		return err
	}
	c.residentBytes = pages * float64(os.Getpagesize())
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
			c.ioBytes += n
		}
	}
	return nil
}

// getJSON decodes the JSON response of a GET request.
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

// measure measures the named processes for the duration of the window, and returns their
// usage by name.
func (dep *deployment) measure(ctx context.Context, names []string, window time.Duration) (map[string]usage, error) {
	before, err := dep.readAllCounters(ctx, names, false)
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
	after, err := dep.readAllCounters(ctx, names, true)
	if err != nil {
		return nil, err
	}
	used := map[string]usage{}
	for _, name := range names {
		used[name] = usageBetween(before[name], after[name], seconds)
	}
	return used, nil
}

// readAllCounters reads the counters of the named processes concurrently. end says that
// it is the end of a measurement; see readCounters.
func (dep *deployment) readAllCounters(ctx context.Context, names []string, end bool) (map[string]counters, error) {
	samples := map[string]counters{}
	var mu sync.Mutex
	var first error
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			s, err := readCounters(ctx, dep.processID(name), dep.URL(name), end)
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
