// Package daemon builds the two roles of the program parsleypierd, entry and agent,
// from the other packages. An entry serves the HTTP API and may own placement
// domains; an agent runs beside a worker and starts tasks on it. The roles of hosted
// mode are in package workflowdaemon.
package daemon

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/config"
	"github.com/parsleypier/parsleypier/internal/entry"
	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/internal/membership"
	"github.com/parsleypier/parsleypier/internal/netfault"
	"github.com/parsleypier/parsleypier/internal/owner"
	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/scheduler"
	"github.com/parsleypier/parsleypier/internal/scheduler/guarantee"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Entry is a running entry.
type Entry struct {
	cfg    *config.Settings
	self   structs.EntryInfo
	pool   *rpc.Pool
	server *rpc.Server

	platform           *platformclient.Client
	batcher            *platformclient.Batcher
	manifestHolder     *manifest.Holder
	manifestController *manifest.Controller
	manifestStore      *manifest.Store
	ownership          *membership.Ownership
	entries            *membership.Entries
	owners             *owner.Service
	relay              *membership.Relay
	http               *entry.Server
}

// NewEntry returns an entry. It does not listen before Run.
func NewEntry(cfg *config.Settings) (*Entry, error) {
	e := &Entry{cfg: cfg, manifestHolder: &manifest.Holder{}, owners: owner.NewService(), server: rpc.NewServer()}
	e.self = structs.EntryInfo{
		ID: cfg.ID, Zone: cfg.Place.Zone, Domains: cfg.Place.Domains,
		RPCAddr:  cmp.Or(cfg.Addresses.AdvertiseRPC, cfg.Addresses.RPC),
		HTTPAddr: cmp.Or(cfg.Addresses.AdvertiseHTTP, cfg.Addresses.HTTP),
	}
	localIP := cfg.Addresses.LocalIP
	e.pool = rpc.NewPool(localIP, cfg.ID, e.manifestHolder.Version)
	e.platform = platformclient.NewClient(platformclient.Options{URL: cfg.Addresses.Platform, LocalIP: localIP})
	e.batcher = platformclient.NewBatcher(e.platform, platformclient.BatchOptions{EarlyFlushes: platformclient.DefaultEarlyFlushes})
	e.manifestStore = &manifest.Store{Table: e.platform, Admit: (&admission{prove: guarantee.Admit}).admit}
	e.entries = membership.NewEntries(membership.EntriesOptions{Table: e.platform, Self: e.self, Region: cfg.Place.Region})
	e.manifestController = manifest.NewController(manifest.ControllerOptions{
		Holder: e.manifestHolder, Caller: e.pool, Store: e.manifestStore, SelfID: cfg.ID,
		Entries: e.entries.List, Refresh: e.entries.Refresh, PollInterval: cfg.Intervals.Poll,
	})
	e.ownership = membership.NewOwnership(membership.OwnershipOptions{
		Table: e.platform, Self: e.self, OnAcquire: e.startOwner, OnLose: e.stopOwner, Entries: e.entries.List,
		Zones: e.zones, RenewInterval: cfg.Intervals.Renewal, Expiry: cfg.Intervals.Expiry,
	})
	e.relay = membership.NewRelay(membership.RelayOptions{
		Caller: e.pool, Interval: cfg.Intervals.Heartbeat, Version: e.manifestHolder.Version, Entries: e.entries.Known,
		OnAgentVersion: e.manifestController.NoticeAgentVersion, OnOwnerVersion: e.manifestController.NoticeVersion,
	})
	var err error
	e.http, err = entry.New(entry.Config{
		ID: cfg.ID, RPCAddr: e.self.RPCAddr, Owners: membershipView{e.ownership, e.entries}, Manifests: e.manifestHolder,
		Store: manifestService{e.manifestController, e.manifestStore}, Records: records{e.platform, e.platform}, Caller: e.pool,
		Check: e.checkManifest, Schema: manifest.Schema(), Ready: e.ready, Faults: netfault.Handler(),
		MaxInFlight: cfg.Limits.MaxInFlight, MaxWait: cfg.Limits.MaxWait, SubmitTimeout: cfg.Limits.SubmitTimeout,
	})
	if err != nil {
		return nil, err
	}
	return e, e.register()
}

// register registers the RPC services of the entry.
func (e *Entry) register() error {
	return errors.Join(
		e.server.Register("Domain", e.owners),
		e.server.Register("Relay", &relayService{e.relay}),
		e.server.Register("Peer", &peerService{e.ownership, e.entries, e.manifestController}),
	)
}

// Run serves until ctx ends. It then releases its domains, completes the requests in
// progress and returns.
func (e *Entry) Run(ctx context.Context) error {
	if _, err := e.server.Listen(e.cfg.Addresses.RPC); err != nil {
		return err
	}
	listener, err := netfault.Listen(e.cfg.Addresses.HTTP)
	if err != nil {
		return err
	}
	publishMetrics(e.pool, e.server, e.manifestHolder)
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { e.entries.Run(runCtx) })
	wg.Go(func() { e.manifestController.Run(runCtx) })
	wg.Go(func() { e.ownership.Run(runCtx) })
	wg.Go(func() { e.relay.Run(runCtx) })
	served := make(chan error, 1)
	go func() { served <- e.http.Serve(listener) }()
	klog.InfoS("Entry started", "id", e.self.ID, "httpAddr", e.self.HTTPAddr, "rpcAddr", e.self.RPCAddr, "domains", e.self.Domains)
	select {
	case <-ctx.Done():
		err = e.shutdown()
	case err = <-served:
	}
	stop()
	wg.Wait()
	return err
}

// shutdown drains the HTTP server and releases the domains at the same time, so
// that the next owners can serve the requests in progress.
func (e *Entry) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Limits.DrainTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var drainErr error
	wg.Go(func() { drainErr = e.http.Drain(ctx) })
	wg.Go(func() { e.relay.Leave(ctx) })
	for _, o := range e.owners.Owners() {
		wg.Go(func() { e.releaseDomain(ctx, o) })
	}
	wg.Wait()
	if err := e.batcher.Close(ctx); err != nil {
		klog.ErrorS(err, "Failed to write all rows before shutdown", "id", e.self.ID)
	}
	if err := e.entries.Leave(ctx); err != nil {
		klog.ErrorS(err, "Failed to remove the entry's row", "id", e.self.ID)
	}
	e.server.Close(ctx)
	e.pool.Close()
	e.platform.Close()
	return drainErr
}

// ownerDrainTimeout limits the wait for an owner's writes in progress, which can
// hang during an outage of the platform.
const ownerDrainTimeout = 3 * time.Second

// releaseDomain drains the owner and releases its domain for other entries.
func (e *Entry) releaseDomain(ctx context.Context, o *owner.Owner) {
	drainCtx, cancel := context.WithTimeout(ctx, ownerDrainTimeout)
	defer cancel()
	o.Drain(drainCtx)
	if err := e.ownership.Release(ctx, o.Domain()); err != nil {
		klog.ErrorS(err, "Failed to release the domain; the ownership will expire", "domain", o.Domain())
	}
}

// startOwner starts the owner of a domain that this entry has acquired.
func (e *Entry) startOwner(term membership.Term) {
	domain := term.Domain
	o := owner.New(owner.Config{
		Domain: domain, Epoch: term.Epoch, Fence: term.Fence, EntryID: e.self.ID, Addr: e.self.RPCAddr,
		Caller: e.pool, Manifests: e.manifestHolder, Entries: e.entries.Known,
		Table: e.platform, Objects: e.platform, Batch: e.batcher, Health: e.platform.Health,
		Schedule: scheduler.Schedule, Timing: owner.Timing{
			RecoveryWait: e.cfg.Intervals.Recovery, PrepareTTL: e.cfg.Intervals.PrepareTTL,
			SuspectAfter: e.cfg.Intervals.SuspectAfter, LostAfter: e.cfg.Intervals.LostAfter,
			HeartbeatInterval: e.cfg.Intervals.Heartbeat,
		},
		RelayThreshold:   e.cfg.Limits.RelayThreshold,
		OnHigherManifest: e.manifestController.NoticeAgentVersion,
		OnHigherEpoch:    func(epoch uint32) { go e.ownership.NoticeEpoch(domain, epoch) },
	})
	if old := e.owners.Set(o); old != nil {
		old.Stop()
	}
	o.Start()
}

// stopOwner stops the owner of a domain that this entry has lost.
func (e *Entry) stopOwner(domain string) {
	if o := e.owners.Remove(domain); o != nil {
		o.Stop()
	}
}

// ready returns an error while the entry cannot serve jobs.
func (e *Entry) ready() error {
	if e.manifestHolder.Version() == 0 && e.platform.Health() == platformclient.HealthDown {
		return errors.New("no manifest is known and the platform is out of reach")
	}
	return nil
}

// checkManifest decodes a manifest and proves that it is admissible. It implements
// entry.CheckFunc.
func (e *Entry) checkManifest(document []byte) (*structs.Manifest, map[string]int, error) {
	m, err := manifest.Decode(document)
	if err != nil {
		return nil, nil, err
	}
	margin, err := e.manifestStore.Check(m)
	return m, margin, err
}

// zones returns the availability zones of a domain's hardware, with repetitions.
func (e *Entry) zones(domain string) []string {
	m := e.manifestHolder.Current()
	if m == nil {
		return nil
	}
	var zones []string
	for _, h := range m.Hardware {
		if h.Domain == domain {
			zones = append(zones, h.Zone)
		}
	}
	return zones
}

// membershipView implements entry.Owners.
type membershipView struct {
	ownership *membership.Ownership
	entries   *membership.Entries
}

func (o membershipView) Owner(domain string) (structs.Owner, bool) { return o.ownership.Owner(domain) }
func (o membershipView) Entries() []structs.EntryInfo              { return o.entries.List() }

// manifestService implements entry.ManifestStore. It applies manifests through the
// controller, which also distributes them to other entries and agents.
type manifestService struct {
	controller *manifest.Controller
	store      *manifest.Store
}

func (s manifestService) Apply(ctx context.Context, m *structs.Manifest) (*structs.Manifest, error) {
	return s.controller.Apply(ctx, m)
}

func (s manifestService) History(ctx context.Context, limit int) ([]structs.Manifest, error) {
	records, err := s.store.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	manifests := make([]structs.Manifest, 0, len(records))
	for _, r := range records {
		manifests = append(manifests, *r.Document)
	}
	return manifests, nil
}

func (s manifestService) Load(ctx context.Context, version uint64) (*structs.Manifest, error) {
	return s.store.LoadVersion(ctx, version)
}

// Handler returns the HTTP handler of the entry.
func (e *Entry) Handler() http.Handler { return e.http.Handler() }
