package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/apiclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerstub"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// Settings of a deployment under measurement.
const (
	readyTimeout = 30 * time.Second
	pollInterval = 25 * time.Millisecond
	// maxConcurrentSubmits limits the concurrent submissions of submitLongJobs.
	maxConcurrentSubmits = 24
	longRunMS            = 3600 * 1000
	domainName           = "d1"
	workersPerRack       = 14
)

// Job kinds of the measurements.
const (
	kindCPU   = "cpu"   // no accelerator, idempotent
	kindShort = "short" // one accelerator, idempotent
	kindOnce  = "once"  // one accelerator, non-idempotent
)

// deployment is a deployment under measurement.
type deployment struct {
	*cluster.Cluster
	client   *apiclient.Client
	workers  int
	entries  int
	manifest *structs.Manifest
	dir      string
	// keyCount is the number of request keys used so far; mu guards it.
	mu       sync.Mutex
	keyCount int
}

// deploymentOptions describe a deployment under measurement.
type deploymentOptions struct {
	name                                     string
	workers, accelerators, entries, accounts int
	platform                                 []string
	traces                                   bool
	// relayThreshold is the --relay-threshold of the entries; 0 means no relays.
	relayThreshold int
}

// startDeployment starts a deployment, applies its manifest and waits until every agent
// has announced itself to the owner.
func startDeployment(ctx context.Context, bin, out string, o deploymentOptions) (*deployment, error) {
	dir := filepath.Join(out, o.name)
	if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o755)); err != nil {
		return nil, err
	}
	m := makeManifest(o)
	domain, workers := cluster.ManifestWorkers(m)
	dep := &deployment{workers: o.workers, entries: o.entries, manifest: m, dir: dir}
	dep.Cluster = cluster.New(cluster.Options{
		Bin: bin, Dir: dir, Domain: domain, Entries: o.entries, Workers: workers,
		SharedWorkers: true, PlatformArgs: o.platform, Traces: o.traces,
		Env: []string{fmt.Sprintf("PARSLEYPIER_RELAY_THRESHOLD=%d", o.relayThreshold)},
	})
	if err := dep.start(ctx); err != nil {
		dep.Close()
		return nil, fmt.Errorf("%s: %w", o.name, err)
	}
	return dep, nil
}

func (dep *deployment) start(ctx context.Context) error {
	if err := dep.StartAll(); err != nil {
		return err
	}
	var err error
	if dep.client, err = apiclient.New(apiclient.Options{Entries: dep.EntryURLs()}); err != nil {
		return err
	}
	if err := dep.waitFor(ctx, func() error { return dep.apply(ctx) }); err != nil {
		return err
	}
	return dep.waitFor(ctx, func() error {
		d, err := dep.domainStatus(ctx)
		if err == nil && (d.Recovering || len(d.Workers) < dep.workers) {
			err = fmt.Errorf("%d of %d workers announced, owner recovering: %v", len(d.Workers), dep.workers, d.Recovering)
		}
		return err
	})
}

// waitFor repeats f until it returns nil or readyTimeout has passed.
func (dep *deployment) waitFor(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		}
	}
}

// stop kills the processes.
func (dep *deployment) stop() {
	dep.client.Close()
	dep.Close()
}

// makeManifest returns a manifest with o.workers equal workers in racks of workersPerRack,
// and o.accounts accounts. Up to a quarter of the accelerators are guaranteed: one each to
// the first accounts.
func makeManifest(o deploymentOptions) *structs.Manifest {
	capacity := structs.WorkerCapacity{Accelerators: o.accelerators, CoresMilli: 64000, MemoryMB: 262144, Slots: 16, Connections: 64}
	m := &structs.Manifest{
		APIVersion: structs.APIVersion, Deployment: "slopes", Weights: structs.Weights{Completion: 0.5, Fragmentation: 0.5},
	}
	for i, left := 1, o.workers; left > 0; i, left = i+1, left-workersPerRack {
		m.Hardware = append(m.Hardware, structs.Hardware{
			Domain: domainName, Region: "r1", Zone: "z1", Rack: fmt.Sprintf("k%d", i), Class: "new",
			Workers: min(left, workersPerRack), WorkerCapacity: capacity,
		})
	}
	one := structs.Shape{Workers: 1, Accelerators: 1, CoresMilli: 1000, MemoryMB: 1024}
	for i := range o.accounts {
		a := structs.Account{Name: fmt.Sprintf("team%03d", i+1), Domains: []string{domainName}, Weight: 1}
		if i < o.workers*o.accelerators/4 {
			a.Guarantee = []structs.Guarantee{{Shape: one}}
		}
		m.Accounts = append(m.Accounts, a)
	}
	cpu := structs.Shape{Workers: 1, CoresMilli: 1000, MemoryMB: 1024}
	m.Kinds = []structs.Kind{
		{Name: kindCPU, Urgency: structs.Standard, Idempotent: true, Shape: cpu, RunSeconds: 3600},
		{Name: kindShort, Urgency: structs.Standard, Idempotent: true, Shape: one, RunSeconds: 1},
		{Name: kindOnce, Urgency: structs.Standard, Shape: one, RunSeconds: 1},
	}
	return m
}

// apply applies the deployment's manifest and stores its version as the parent of the next
// change.
func (dep *deployment) apply(ctx context.Context) error { return dep.applyAt(ctx, dep.client) }

// applyAt is apply through another client.
func (dep *deployment) applyAt(ctx context.Context, client *apiclient.Client) error {
	document, err := json.Marshal(dep.manifest)
	if err != nil {
		return err
	}
	accepted, err := client.ApplyManifest(ctx, document, nil)
	if err != nil {
		return err
	}
	dep.manifest.Parent = accepted.Version
	return nil
}

// domainStatus returns the status of the domain as its owner reports it.
func (dep *deployment) domainStatus(ctx context.Context) (*structs.DomainResult, error) {
	v, err := dep.client.View(ctx, "status", domainName)
	if err != nil {
		return nil, err
	}
	if len(v.Domains) != 1 {
		return nil, fmt.Errorf("the status lists %d domains, not 1", len(v.Domains))
	}
	if v.Domains[0].Error != nil {
		return nil, v.Domains[0].Error
	}
	return &v.Domains[0], nil
}

// roles returns the names of the processes by role: the owner, the other running entries,
// and the agents.
func (dep *deployment) roles(ctx context.Context) (owner string, entries, agents []string, err error) {
	d, err := dep.domainStatus(ctx)
	if err != nil {
		return "", nil, nil, err
	}
	for i := range dep.entries {
		name := cluster.EntryName(i + 1)
		if p := dep.Process(name); name != d.Owner.EntryID && p != nil && p.Alive() {
			entries = append(entries, name)
		}
	}
	for i := range dep.workers {
		agents = append(agents, cluster.AgentName(i+1))
	}
	return d.Owner.EntryID, entries, agents, nil
}

// processID returns the process ID of a process by its name.
func (dep *deployment) processID(name string) int { return dep.Process(name).PID() }

// newJobSpec returns a job of the kind with a new request key. The jobs belong to the
// accounts in turn.
func (dep *deployment) newJobSpec(kind string, runMS int64, shape *structs.Shape) (structs.JobSpec, error) {
	dep.mu.Lock()
	dep.keyCount++
	n := dep.keyCount
	dep.mu.Unlock()
	payload, err := json.Marshal(workerstub.Payload{RunMS: runMS, ResultBytes: 64, ExitRank: -1})
	account := dep.manifest.Accounts[n%len(dep.manifest.Accounts)].Name
	return structs.JobSpec{Account: account, Kind: kind, RequestKey: fmt.Sprintf("k%d", n), Shape: shape, Payload: payload}, err
}

// submitLongJobs submits count long-running jobs. It waits until no job of the domain is
// waiting, or only until the jobs are accepted if acceptOnly is set.
func (dep *deployment) submitLongJobs(ctx context.Context, kind string, count int, shape *structs.Shape, acceptOnly bool) error {
	slots := make(chan struct{}, maxConcurrentSubmits)
	errs := make(chan error, count)
	for range count {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			spec, err := dep.newJobSpec(kind, longRunMS, shape)
			if err == nil {
				_, err = dep.client.Submit(ctx, spec, 0)
			}
			errs <- err
		}()
	}
	for range count {
		if err := <-errs; err != nil {
			return err
		}
	}
	if acceptOnly {
		return nil
	}
	return dep.waitFor(ctx, func() error {
		v, err := dep.client.View(ctx, "accounts", domainName)
		if err != nil {
			return err
		}
		waiting := 0
		for _, d := range v.Domains {
			for _, a := range d.Accounts {
				waiting += a.Waiting
			}
		}
		if waiting > 0 {
			return fmt.Errorf("%d jobs are still waiting", waiting)
		}
		return nil
	})
}
