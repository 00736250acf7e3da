// Command deployment starts the processes of one deployment on the loopback
// interface, applies its manifest, prints the addresses of the processes, and runs
// until it is interrupted or its time limit expires. Then it kills the processes.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/parsleypier/parsleypier/internal/apiclient"
	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/test/cluster"
)

const (
	startTimeout = 20 * time.Second
	retryDelay   = 100 * time.Millisecond
	entries      = 3 // entry processes
)

func main() {
	bin := flag.String("bin", "bin", "directory with the programs")
	out := flag.String("out", "out/cluster", "directory for logs and traces")
	file := flag.String("manifest", "examples/al-wusta.yaml", "manifest to apply; it declares the workers")
	limit := flag.Duration("for", time.Hour, "maximum run time")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	if err := run(ctx, *bin, *out, *file); err != nil {
		fmt.Fprintln(os.Stderr, "deployment:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, bin, out, file string) error {
	document, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	m, err := manifest.Decode(document)
	if err != nil {
		return err
	}
	if err := errors.Join(os.RemoveAll(out), os.MkdirAll(out, 0o755)); err != nil {
		return err
	}
	domain, workers := cluster.ManifestWorkers(m)
	c := cluster.New(cluster.Options{Bin: bin, Dir: out, Domain: domain, Entries: entries, Workers: workers, Traces: true})
	defer c.Close()
	if err := c.StartAll(); err != nil {
		return err
	}
	if err := applyManifest(ctx, c, document); err != nil {
		return err
	}
	printProcesses(c, len(workers), out)
	<-ctx.Done()
	return nil
}

// applyManifest retries until an entry accepts the manifest, then waits until all
// entries are ready.
func applyManifest(ctx context.Context, c *cluster.Cluster, document []byte) error {
	client, err := apiclient.New(apiclient.Options{Entries: c.EntryURLs()})
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, err := client.ApplyManifest(ctx, document, nil)
		if err == nil {
			break
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return err
		}
	}
	return c.WaitReady(startTimeout)
}

// printProcesses prints the client setting as a shell command, and the process ID
// and URL of every process as shell comments.
func printProcesses(c *cluster.Cluster, workers int, out string) {
	fmt.Printf("export PARSLEYPIER_ENTRY=%s\n", strings.Join(c.EntryURLs(), ","))
	names := []string{cluster.PlatformName}
	for i := range entries {
		names = append(names, cluster.EntryName(i+1))
	}
	for i := range workers {
		names = append(names, cluster.AgentName(i+1), cluster.WorkerName(i+1))
	}
	for _, name := range names {
		fmt.Printf("# %-9s process ID %d, %s\n", name, c.Process(name).PID(), c.URL(name))
	}
	fmt.Printf("# logs and traces: %s\n", filepath.Clean(out))
}
