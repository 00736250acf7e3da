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

// Time limits of a deployment under measurement.
const (
	readyTimeout = 30 * time.Second
	pollInterval = 25 * time.Millisecond
	// submitters limits the submissions in progress while tasks are started.
	submitters = 24
	longRunMS  = 3600 * 1000
	domainName = "d1"
	// rackWorkers is the number of workers in a rack.
	rackWorkers = 14
)

// Job kinds of the measurements.
const (
	kindCPU   = "cpu"   // no accelerator, idempotent
	kindShort = "short" // one accelerator, idempotent
	kindOnce  = "once"  // one accelerator, non-idempotent
)

// rig is a deployment under measurement.
type rig struct {
	*cluster.Cluster
	client   *apiclient.Client
	workers  int
	entries  int
	manifest *structs.Manifest
	dir      string
	// keys counts the request keys of this rig.
	mu   sync.Mutex
	keys int
}

// rigOptions describe a deployment.
type rigOptions struct {
	name                                     string
	workers, accelerators, entries, accounts int
	platform                                 []string
	traces                                   bool
	// relayThreshold is the --relay-threshold of the entries; 0 is no relays.
	relayThreshold int
}

// startRig starts a deployment and waits until every agent has announced itself.
func startRig(ctx context.Context, bin, out string, o rigOptions) (*rig, error) {
	dir := filepath.Join(out, o.name)
	if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o755)); err != nil {
		return nil, err
	}
	m := makeManifest(o)
	domain, workers := cluster.ManifestWorkers(m)
	r := &rig{workers: o.workers, entries: o.entries, manifest: m, dir: dir}
	r.Cluster = cluster.New(cluster.Options{
		Bin: bin, Dir: dir, Domain: domain, Entries: o.entries, Workers: workers,
		SharedWorkers: true, PlatformArgs: o.platform, Traces: o.traces,
		Env: []string{fmt.Sprintf("PARSLEYPIER_RELAY_THRESHOLD=%d", o.relayThreshold)},
	})
	if err := r.start(ctx); err != nil {
		r.Close()
		return nil, fmt.Errorf("%s: %w", o.name, err)
	}
	return r, nil
}

func (r *rig) start(ctx context.Context) error {
	if err := r.StartAll(); err != nil {
		return err
	}
	var err error
	if r.client, err = apiclient.New(apiclient.Options{Entries: r.EntryURLs()}); err != nil {
		return err
	}
	if err := r.until(ctx, func() error { return r.apply(ctx) }); err != nil {
		return err
	}
	return r.until(ctx, func() error {
		d, err := r.domain(ctx)
		if err == nil && (d.Recovering || len(d.Workers) < r.workers) {
			err = fmt.Errorf("%d of %d workers, recovering %v", len(d.Workers), r.workers, d.Recovering)
		}
		return err
	})
}

// until repeats f until it returns nil.
func (r *rig) until(ctx context.Context, f func() error) error {
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

// stop ends the processes.
func (r *rig) stop() {
	r.client.Close()
	r.Close()
}

// makeManifest declares o.workers equal workers in racks of 14, and accounts of
// which as many as a quarter of the accelerators have a guarantee of one.
func makeManifest(o rigOptions) *structs.Manifest {
	capacity := structs.WorkerCapacity{Accelerators: o.accelerators, CoresMilli: 64000, MemoryMB: 262144, Slots: 16, Connections: 64}
	m := &structs.Manifest{
		APIVersion: structs.APIVersion, Deployment: "slopes", Weights: structs.Weights{Completion: 0.5, Fragmentation: 0.5},
	}
	for i, left := 1, o.workers; left > 0; i, left = i+1, left-rackWorkers {
		m.Hardware = append(m.Hardware, structs.Hardware{
			Domain: domainName, Region: "r1", Zone: "z1", Rack: fmt.Sprintf("k%d", i), Class: "new",
			Workers: min(left, rackWorkers), WorkerCapacity: capacity,
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

// apply applies the rig's manifest and keeps its version as the next parent.
func (r *rig) apply(ctx context.Context) error { return r.applyAt(ctx, r.client) }

func (r *rig) applyAt(ctx context.Context, client *apiclient.Client) error {
	document, err := json.Marshal(r.manifest)
	if err != nil {
		return err
	}
	accepted, err := client.ApplyManifest(ctx, document, nil)
	if err != nil {
		return err
	}
	r.manifest.Parent = accepted.Version
	return nil
}

// domain returns the owner's view.
func (r *rig) domain(ctx context.Context) (*structs.DomainResult, error) {
	v, err := r.client.View(ctx, "status", domainName)
	if err != nil {
		return nil, err
	}
	if len(v.Domains) != 1 {
		return nil, fmt.Errorf("%d domains", len(v.Domains))
	}
	if v.Domains[0].Error != nil {
		return nil, v.Domains[0].Error
	}
	return &v.Domains[0], nil
}

// roles returns the names of the processes by role.
func (r *rig) roles(ctx context.Context) (owner string, entries, agents []string, err error) {
	d, err := r.domain(ctx)
	if err != nil {
		return "", nil, nil, err
	}
	for i := range r.entries {
		name := cluster.EntryName(i + 1)
		if p := r.Process(name); name != d.Owner.EntryID && p != nil && p.Alive() {
			entries = append(entries, name)
		}
	}
	for i := range r.workers {
		agents = append(agents, cluster.AgentName(i+1))
	}
	return d.Owner.EntryID, entries, agents, nil
}

// PID returns the process ID of a process by its name.
func (r *rig) PID(name string) int { return r.Process(name).PID() }

// spec returns a job of the kind with a key of its own, of the accounts in turn.
func (r *rig) spec(kind string, runMS int64, shape *structs.Shape) (structs.JobSpec, error) {
	r.mu.Lock()
	r.keys++
	n := r.keys
	r.mu.Unlock()
	payload, err := json.Marshal(workerstub.Payload{RunMS: runMS, ResultBytes: 64, ExitRank: -1})
	account := r.manifest.Accounts[n%len(r.manifest.Accounts)].Name
	return structs.JobSpec{Account: account, Kind: kind, RequestKey: fmt.Sprintf("k%d", n), Shape: shape, Payload: payload}, err
}

// fill submits count long jobs and waits until as many run or, if queue is
// set, until they are accepted.
func (r *rig) fill(ctx context.Context, kind string, count int, shape *structs.Shape, queue bool) error {
	slots := make(chan struct{}, submitters)
	errs := make(chan error, count)
	for range count {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			spec, err := r.spec(kind, longRunMS, shape)
			if err == nil {
				_, err = r.client.Submit(ctx, spec, 0)
			}
			errs <- err
		}()
	}
	for range count {
		if err := <-errs; err != nil {
			return err
		}
	}
	if queue {
		return nil
	}
	return r.until(ctx, func() error {
		v, err := r.client.View(ctx, "accounts", domainName)
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
			return fmt.Errorf("%d jobs wait", waiting)
		}
		return nil
	})
}
