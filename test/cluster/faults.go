package cluster

import (
	"bytes"
	"context"
	_ "embed" // for Manifest
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// Manifest is the manifest of a small deployment for failure tests.
//
//go:embed manifest.yaml
var Manifest []byte

// faultRequestTimeout limits a request that sets a fault.
const faultRequestTimeout = 5 * time.Second

// SetLink cuts or delays what the process from sends to the process to, or restores
// the link if cut and delay are zero. It returns how many writes the rules of the
// sender have blocked or delayed so far. The programs must be built with the tag
// faults.
func (c *Cluster) SetLink(from, to string, cut bool, delay time.Duration) (held int64, err error) {
	path := "/debug/faults"
	if from == PlatformName {
		path = "/debug/netfault" // the platform's /debug/faults sets outages
	}
	data, err := post(c.URL(from)+path, map[string]any{"ip": c.IP(to), "cut": cut, "delay_ms": delay.Milliseconds()})
	if err != nil {
		return 0, err
	}
	var response struct{ Held int64 }
	err = json.Unmarshal(data, &response)
	return response.Held, err
}

// SetPlatformFaults replaces the injected faults of the platform.
func (c *Cluster) SetPlatformFaults(f platformstub.Faults) error {
	_, err := post(c.URL(PlatformName)+"/debug/faults", f)
	return err
}

// SetWorkerMode replaces the fault mode of a worker.
func (c *Cluster) SetWorkerMode(name string, m workerstub.Mode) error {
	_, err := post(c.URL(name)+"/debug/mode", m)
	return err
}

// HistoryFile returns the path of the file to which a worker writes its events, one
// JSON object per line.
func (c *Cluster) HistoryFile(name string) string {
	return filepath.Join(c.opts.Dir, name+".history")
}

// ProcessNames returns the names of all processes of a kind: entry, agent or worker.
func (c *Cluster) ProcessNames(kind string) []string {
	count := len(c.opts.Workers)
	if kind == "entry" {
		count = c.opts.Entries
	}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("%s%d", kind, i+1))
	}
	return names
}

// Domain returns the name of the placement domain.
func (c *Cluster) Domain() string { return c.opts.Domain }

// ProcessNameByAddr returns the name of the process with the IP address of addr
// (host:port), or "" if there is none.
func (c *Cluster) ProcessNameByAddr(addr string) string {
	host, _, _ := strings.Cut(addr, ":")
	for _, kind := range []string{"entry", "agent", "worker"} {
		for _, name := range c.ProcessNames(kind) {
			if c.IP(name) == host {
				return name
			}
		}
	}
	return ""
}

// post sends body as JSON and returns the body of a 2xx response.
func post(url string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), faultRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return do(req)
}

// get returns the body of a 2xx response.
func get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return do(req)
}

// do sends a request and returns the response body, or an error unless the status
// is 2xx.
func do(req *http.Request) ([]byte, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("%s %s: %s: %.200s", req.Method, req.URL, resp.Status, data)
	}
	return data, err
}

// ManifestVersion returns the version of the manifest that is in force at an entry
// or agent.
func (c *Cluster) ManifestVersion(ctx context.Context, name string) (uint64, error) {
	var vars struct {
		Version uint64 `json:"parsleypier_manifest_version"`
	}
	data, err := get(ctx, c.URL(name)+"/debug/vars")
	if err != nil {
		return 0, err
	}
	err = json.Unmarshal(data, &vars)
	return vars.Version, err
}

// InjectedFaults returns the number of faults that the platform has injected so far.
func (c *Cluster) InjectedFaults(ctx context.Context) (int64, error) {
	var vars struct {
		Stub platformstub.Counters `json:"platform_stub"`
	}
	data, err := get(ctx, c.URL(PlatformName)+"/debug/vars")
	if err != nil {
		return 0, err
	}
	err = json.Unmarshal(data, &vars)
	return vars.Stub.Injected(), err
}

// TableRow returns the value and version of a row in the platform's table.
func (c *Cluster) TableRow(ctx context.Context, key string) (value []byte, version uint64, err error) {
	var row struct {
		Value   []byte
		Version uint64
	}
	data, err := get(ctx, c.URL(PlatformName)+"/v1/table/rows/"+key)
	if err != nil {
		return nil, 0, err
	}
	err = json.Unmarshal(data, &row)
	return row.Value, row.Version, err
}
