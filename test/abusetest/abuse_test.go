// Package abusetest checks that the processes of a deployment with its own interface stay
// within their memory and their descriptors, and serve ordinary clients, while other clients
// misuse their connections.
package abusetest

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/apiclient"
	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/test/abuse"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// set selects the tests to run: none (the default, as a plain go test runs other packages at
// the same time, and these tests measure memory) or ci.
var (
	set    = flag.String("set", "", "ci")
	seed   = flag.Uint64("seed", 1, "seed of the mixed forms")
	binDir string
)

func TestMain(m *testing.M) {
	flag.Parse()
	if *set == "" {
		fmt.Println("the tests of misused connections are run by make abuse")
		return
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "abuse-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// Limits of the processes, below what any process in service has, so that few clients are enough
// to exceed them.
const (
	memoryMB    = 96
	descriptors = 1000
)

// start starts a deployment with one entry and waits until it places jobs.
func start(t *testing.T) *cluster.Cluster {
	t.Helper()
	m, err := manifest.Decode(cluster.Manifest)
	if err != nil {
		t.Fatal(err)
	}
	domain, workers := cluster.ManifestWorkers(m)
	c := cluster.New(cluster.Options{
		Bin: binDir, Dir: t.TempDir(), Domain: domain, Entries: 1, Workers: workers, SharedWorkers: true,
		Env: []string{fmt.Sprintf("PARSLEYPIER_MEMORY_LIMIT=%d", memoryMB), fmt.Sprintf("PARSLEYPIER_MAX_OPEN_FILES=%d", descriptors)},
	})
	t.Cleanup(c.Close)
	if err := c.StartAll(); err != nil {
		t.Fatal(err)
	}
	client, err := apiclient.New(apiclient.Options{Entries: []string{c.URL("entry1")}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	abuse.Eventually(t, "the manifest is in force", func() error {
		parent := uint64(0)
		_, err := client.ApplyManifest(t.Context(), cluster.Manifest, &parent)
		return err
	})
	abuse.Eventually(t, "the workers are ready", func() error {
		v, err := client.View(t.Context(), "workers", domain)
		if err != nil {
			return err
		}
		ready := 0
		for _, d := range v.Domains {
			for _, w := range d.Workers {
				if w.State == structs.WorkerReady {
					ready++
				}
			}
		}
		if ready < len(workers) {
			return fmt.Errorf("%d workers are ready", ready)
		}
		return nil
	})
	return c
}

// entryTarget returns the HTTP port of the entry.
func entryTarget(c *cluster.Cluster) abuse.Target {
	payload := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("p"), structs.DefaultMaxPayloadBytes))
	return abuse.Target{
		Addr: strings.TrimPrefix(c.URL("entry1"), "http://"),
		Post: "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n",
		Get:  "GET /v1/workers HTTP/1.1\r\nHost: x\r\n",
		Body: fmt.Appendf(nil, `{"account":"shop","kind":"check","requestKey":"abuse","payload":"%s"}`, payload),
		Wide: []byte(`{"account":"shop","shape":{` + strings.Repeat(`"workers":1,`, 20_000) + `"workers":1}}`),
	}
}

// crowd returns clients of a process of the deployment.
func crowd(c *cluster.Cluster, process string, target abuse.Target, form abuse.Form, ordinary func() error) abuse.Crowd {
	clients := map[string]int{"body-many-steps": 40, "header-endless": 1800, "connections-unused": 1500, "submissions-unread": 300}[form.Name]
	if clients == 0 {
		clients = 600
	}
	return abuse.Crowd{
		Target: target, Form: form, Clients: clients, PID: c.Process(process).PID(), IP: c.IP(process),
		Limits: abuse.Limits{MemoryBytes: memoryMB * 1e6, Descriptors: descriptors}, Ordinary: ordinary,
	}
}

// runner returns a function that submits a job at each call and waits for its result.
func runner(t *testing.T, c *cluster.Cluster) func() error {
	t.Helper()
	client, err := apiclient.New(apiclient.Options{Entries: []string{c.URL("entry1")}, Account: "shop"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	n := 0
	return func() error {
		n++
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		job, err := client.Submit(ctx, structs.JobSpec{Kind: "check", RequestKey: fmt.Sprintf("ordinary-%d", n)}, 5*time.Second)
		if err != nil {
			return err
		}
		if job.State != structs.JobFinished {
			return errors.New("state " + string(job.State))
		}
		return nil
	}
}

// TestEntryPort guards against clients that make an entry exceed its memory or its descriptors,
// end it, or keep it from serving others.
func TestEntryPort(t *testing.T) {
	for _, form := range append(abuse.Forms[:len(abuse.Forms):len(abuse.Forms)], abuse.Mixed(abuse.Forms, *seed)) {
		t.Run(form.Name, func(t *testing.T) {
			c := start(t)
			crowd(c, "entry1", entryTarget(c), form, runner(t, c)).Check(t)
		})
	}
}

// TestAgentPort guards against strangers that make an agent exceed its limits through its port
// for health and metrics, or keep it from answering there.
func TestAgentPort(t *testing.T) {
	for _, form := range abuse.Named("header-lines", "header-endless", "connections-unused") {
		t.Run(form.Name, func(t *testing.T) {
			c := start(t)
			url := c.URL("agent1")
			target := abuse.Target{Addr: strings.TrimPrefix(url, "http://"), Post: "POST /readyz HTTP/1.1\r\nHost: x\r\n", Get: "GET /readyz HTTP/1.1\r\nHost: x\r\n"}
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			crowd(c, "agent1", target, form, func() error {
				req, err := http.NewRequest(http.MethodGet, url+"/readyz", nil)
				if err != nil {
					return err
				}
				return abuse.Expect(client, req, http.StatusOK)
			}).Check(t)
		})
	}
}
