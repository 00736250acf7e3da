// Command demo starts the two example deployments one after the other as separate
// processes on the loopback interface, applies their manifests, submits jobs, and
// prints the results and which gang holds each accelerator. It then runs the demo
// of the hosted platform, and kills all processes that it started.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/parsleypier/parsleypier/internal/apiclient"
	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerstub"
	"github.com/parsleypier/parsleypier/platform/hosted"
	"github.com/parsleypier/parsleypier/test/cluster"
)

const (
	demoTimeout  = 55 * time.Second
	readyTimeout = 10 * time.Second
	jobWait      = 20 * time.Second
	// jobStartDelay lets jobs start before the accelerators are printed.
	jobStartDelay = 700 * time.Millisecond
	entries       = 3 // entry processes
)

// jobRequest is a job of the demo, submitted copies times.
type jobRequest struct {
	account, kind string
	runMS         int64
	copies        int
}

// demoDeployment is one deployment of the demo: its manifest file and its jobs.
type demoDeployment struct {
	manifest string
	requests []jobRequest
}

var deployments = []demoDeployment{
	{"examples/al-wusta.yaml", []jobRequest{
		{"workshop", "pack-diagnostics", 400, 4},
		{"scooter-rental", "cell-capacity-test", 1500, 2},
		{"fleet-buses", "capacity-analysis", 2000, 1},
		{"grid-storage", "capacity-analysis", 2000, 1},
		{"fleet-buses", "rebuild-plan", 600, 2},
	}},
	{"examples/andrade.yaml", []jobRequest{
		{"editorial-norte", "full-colour-proof", 2000, 1},
		{"imprenta-sur", "full-colour-proof", 2000, 1},
		{"libros-luna", "die-line-check", 300, 3},
		{"estudio", "spine-text-render", 900, 6},
		{"estudio", "spine-text-render-charged", 500, 2},
	}},
}

func main() {
	bin := flag.String("bin", "bin", "directory with the programs")
	out := flag.String("out", "out/demo", "directory for logs and traces")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	for _, d := range deployments {
		if err := runDeployment(ctx, d, *bin, *out); err != nil {
			fmt.Fprintf(os.Stderr, "demo: %s: %v\n", d.manifest, err)
			os.Exit(1)
		}
	}
	if err := hosted.Demo(ctx, *bin, *out); err != nil {
		fmt.Fprintf(os.Stderr, "demo: users' platform: %v\n", err)
		os.Exit(1)
	}
	fmt.Println("\nAll processes were stopped. Logs and traces are in", *out)
}

// runDeployment starts one deployment, runs its jobs and kills its processes.
func runDeployment(ctx context.Context, d demoDeployment, bin, out string) error {
	document, err := os.ReadFile(d.manifest)
	if err != nil {
		return err
	}
	m, err := manifest.Decode(document)
	if err != nil {
		return err
	}
	dir := filepath.Join(out, m.Deployment)
	if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o755)); err != nil {
		return err
	}
	domain, workers := cluster.ManifestWorkers(m)
	c := cluster.New(cluster.Options{Bin: bin, Dir: dir, Domain: domain, Entries: entries, Workers: workers, Traces: true})
	defer c.Close()
	if err := c.StartAll(); err != nil {
		return err
	}
	client, err := apiclient.New(apiclient.Options{Entries: c.EntryURLs()})
	if err != nil {
		return err
	}
	defer client.Close()
	fmt.Printf("\n%s: %d entries, %d workers with agents, one stand-in platform\n", m.Deployment, entries, len(workers))
	if err := applyManifest(ctx, client, document); err != nil {
		return err
	}
	if err := c.WaitReady(readyTimeout); err != nil {
		return err
	}
	outcomes := submitAll(ctx, client, d.requests)
	time.Sleep(jobStartDelay)
	if err := printAccelerators(ctx, client, domain); err != nil {
		return err
	}
	for outcome := range outcomes {
		fmt.Println(outcome.text)
		err = errors.Join(err, outcome.err)
	}
	return err
}

// applyManifest retries until an entry accepts the manifest.
func applyManifest(ctx context.Context, client *apiclient.Client, document []byte) error {
	for {
		accepted, err := client.ApplyManifest(ctx, document, nil)
		if err == nil {
			fmt.Printf("manifest version %d accepted; its guarantees survive the loss of %v workers\n", accepted.Version, accepted.Survives)
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return err
		}
	}
}

// jobOutcome is the outcome of one job: the line to print, and an error unless the
// expected result arrived.
type jobOutcome struct {
	text string
	err  error
}

// submitAll submits all jobs concurrently. The channel is closed after the last
// outcome.
func submitAll(ctx context.Context, client *apiclient.Client, requests []jobRequest) <-chan jobOutcome {
	outcomes := make(chan jobOutcome)
	var wg sync.WaitGroup
	for _, r := range requests {
		for i := range r.copies {
			wg.Go(func() { outcomes <- submit(ctx, client, r, i) })
		}
	}
	go func() {
		wg.Wait()
		close(outcomes)
	}()
	return outcomes
}

// submit runs one job and checks its result.
func submit(ctx context.Context, client *apiclient.Client, r jobRequest, i int) jobOutcome {
	payload, err := json.Marshal(workerstub.Payload{RunMS: r.runMS, ResultBytes: 64, ExitRank: -1})
	if err != nil {
		return jobOutcome{err: err}
	}
	started := time.Now()
	spec := structs.JobSpec{Account: r.account, Kind: r.kind, RequestKey: fmt.Sprintf("demo-%s-%d", r.kind, i), Payload: payload}
	job, err := client.Submit(ctx, spec, jobWait)
	if err != nil {
		return jobOutcome{fmt.Sprintf("%-16s %-26s refused: %v", r.account, r.kind, err), err}
	}
	text := fmt.Sprintf("%-16s %-26s %-9s %-12s %d workers x %d accelerators, %4d ms", r.account, r.kind,
		job.State, job.Verdict, job.Shape.Workers, job.Shape.Accelerators, time.Since(started).Milliseconds())
	if job.Result == nil {
		return jobOutcome{text, fmt.Errorf("job %s has no result: %v", job.ID, job.Error)}
	}
	if !bytes.Equal(job.Result.Data, workerstub.ExpectedResult(payload, job.ID, job.Shape.Workers)) {
		return jobOutcome{text, fmt.Errorf("job %s has a wrong result", job.ID)}
	}
	return jobOutcome{fmt.Sprintf("%s, %d bytes, sha256 %.12s", text, job.Result.Length, job.Result.SHA256), nil}
}

// printAccelerators prints one line per worker with one character per accelerator: a
// letter for the gang that holds it, or a dot if it is free.
func printAccelerators(ctx context.Context, client *apiclient.Client, domain string) error {
	views, err := client.View(ctx, "workers", domain)
	if err != nil {
		return err
	}
	letters := map[string]byte{}
	for _, v := range views.Domains {
		for _, w := range v.Workers {
			line := []byte{}
			for _, gang := range w.Accelerators {
				line = append(line, gangLetter(letters, gang))
			}
			fmt.Printf("  %-8s %-6s %-4s %-4s %s\n", w.ID, w.Zone, w.Rack, w.Class, line)
		}
	}
	return nil
}

// gangLetter returns the letter of a gang, assigning the next one to a new gang.
func gangLetter(letters map[string]byte, gang string) byte {
	if gang == "" {
		return '.'
	}
	if letters[gang] == 0 {
		letters[gang] = 'A' + byte(len(letters)%26)
	}
	return letters[gang]
}
