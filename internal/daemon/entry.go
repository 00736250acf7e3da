// Package daemon wires the packages of the system into the two roles of
// parsleypierd: the entry and the agent.
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

	client    *platformclient.Client
	batch     *platformclient.Batcher
	holder    *manifest.Holder
	manifests *manifest.Controller
	store     *manifest.Store
	ownership *membership.Ownership
	entries   *membership.Entries
	domains   *owner.Service
	relay     *membership.Relay
	http      *entry.Server
}

// NewEntry returns an entry that listens on nothing until Run.
func NewEntry(cfg *config.Settings) (*Entry, error) {
	e := &Entry{cfg: cfg, holder: &manifest.Holder{}, domains: owner.NewService(), server: rpc.NewServer()}
	e.self = structs.EntryInfo{
		ID: cfg.ID, Zone: cfg.Place.Zone, Domains: cfg.Place.Domains,
		RPCAddr:  cmp.Or(cfg.Addresses.AdvertiseRPC, cfg.Addresses.RPC),
		HTTPAddr: cmp.Or(cfg.Addresses.AdvertiseHTTP, cfg.Addresses.HTTP),
	}
	localIP := cfg.Addresses.LocalIP
	e.pool = rpc.NewPool(localIP, cfg.ID, e.holder.Version)
	e.client = platformclient.NewClient(platformclient.Options{URL: cfg.Addresses.Platform, LocalIP: localIP})
	e.batch = platformclient.NewBatch(e.client, platformclient.BatchOptions{EarlyFlushes: platformclient.DefaultEarlyFlushes})
	e.store = &manifest.Store{Table: e.client, Admit: (&admission{prove: guarantee.Admit}).admit}
	e.entries = membership.NewEntries(membership.EntriesOptions{Table: e.client, Self: e.self, Region: cfg.Place.Region})
	e.manifests = manifest.NewController(manifest.ControllerOptions{
		Holder: e.holder, Caller: e.pool, Store: e.store, SelfID: cfg.ID,
		Entries: e.entries.List, Refresh: e.entries.Refresh, PollInterval: cfg.Intervals.Poll,
	})
	e.ownership = membership.NewOwnership(membership.OwnershipOptions{
		Table: e.client, Self: e.self, OnAcquire: e.acquire, OnLose: e.lose, Entries: e.entries.List,
		Zones: e.zones, RenewInterval: cfg.Intervals.Renewal, Expiry: cfg.Intervals.Expiry,
	})
	e.relay = membership.NewRelay(membership.RelayOptions{
		Caller: e.pool, Interval: cfg.Intervals.Heartbeat, Version: e.holder.Version, Entries: e.entries.Known,
		NoticeAgent: e.manifests.NoticeAgentVersion, NoticeOwner: e.manifests.NoticeVersion,
	})
	var err error
	e.http, err = entry.New(entry.Config{
		ID: cfg.ID, RPCAddr: e.self.RPCAddr, Owners: owners{e.ownership, e.entries}, Manifests: e.holder,
		Store: manifestStore{e.manifests, e.store}, Records: records{e.client, e.client}, Caller: e.pool,
		Check: e.check, Schema: manifest.Schema(), Ready: e.ready, Faults: netfault.Handler(),
		MaxInFlight: cfg.Limits.MaxInFlight, MaxWait: cfg.Limits.MaxWait, SubmitTimeout: cfg.Limits.SubmitTimeout,
	})
	if err != nil {
		return nil, err
	}
	return e, e.register()
}

func (e *Entry) register() error {
	return errors.Join(
		e.server.Register("Domain", e.domains),
		e.server.Register("Relay", &relayService{e.relay}),
		e.server.Register("Peer", &peerService{e.ownership, e.entries, e.manifests}),
	)
}

// Run serves until ctx ends, then hands over its domains, answers the requests
// in progress, and returns.
func (e *Entry) Run(ctx context.Context) error {
	if _, err := e.server.Listen(e.cfg.Addresses.RPC); err != nil {
		return err
	}
	listener, err := netfault.Listen(e.cfg.Addresses.HTTP)
	if err != nil {
		return err
	}
	publishTraffic(e.pool, e.server, e.holder)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { e.entries.Run(background) })
	wg.Go(func() { e.manifests.Run(background) })
	wg.Go(func() { e.ownership.Run(background) })
	wg.Go(func() { e.relay.Run(background) })
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

// shutdown hands over the domains while requests in progress are answered by
// way of the next owner.
func (e *Entry) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Limits.DrainTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var drainErr error
	wg.Go(func() { drainErr = e.http.Drain(ctx) })
	wg.Go(func() { e.relay.Leave(ctx) })
	for _, o := range e.domains.Owners() {
		wg.Go(func() { e.handOver(ctx, o) })
	}
	wg.Wait()
	if err := e.batch.Close(ctx); err != nil {
		klog.ErrorS(err, "Rows were not written before shutdown", "id", e.self.ID)
	}
	if err := e.entries.Leave(ctx); err != nil {
		klog.ErrorS(err, "Entry row was not removed", "id", e.self.ID)
	}
	e.server.Close(ctx)
	e.pool.Close()
	e.client.Close()
	return drainErr
}

// handOverTimeout bounds the wait for writes in progress, for example during
// an outage of the platform.
const handOverTimeout = 3 * time.Second

func (e *Entry) handOver(ctx context.Context, o *owner.Owner) {
	drain, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	o.Drain(drain)
	if err := e.ownership.Release(ctx, o.Domain()); err != nil {
		klog.ErrorS(err, "Domain was not released; it expires", "domain", o.Domain())
	}
}

// acquire starts the owner of a domain.
func (e *Entry) acquire(term membership.Term) {
	domain := term.Domain
	o := owner.New(owner.Config{
		Domain: domain, Epoch: term.Epoch, Fence: term.Fence, EntryID: e.self.ID, Addr: e.self.RPCAddr,
		Caller: e.pool, Manifests: e.holder, Entries: e.entries.Known,
		Table: e.client, Objects: e.client, Batch: e.batch, Health: e.client.Health,
		Schedule: scheduler.Schedule, Timing: owner.Timing{
			RecoveryWait: e.cfg.Intervals.Recovery, PrepareTTL: e.cfg.Intervals.PrepareTTL,
			Suspect: e.cfg.Intervals.SuspectAfter, Lost: e.cfg.Intervals.LostAfter,
			Heartbeat: e.cfg.Intervals.Heartbeat,
		},
		RelayThreshold: e.cfg.Limits.RelayThreshold,
		NoticeManifest: e.manifests.NoticeAgentVersion,
		NoticeEpoch:    func(epoch uint32) { go e.ownership.NoticeEpoch(domain, epoch) },
	})
	if old := e.domains.Set(o); old != nil {
		old.Stop()
	}
	o.Start()
}

// lose ends the owner of a domain.
func (e *Entry) lose(domain string) {
	if o := e.domains.Remove(domain); o != nil {
		o.Stop()
	}
}

// ready returns an error while the entry cannot serve jobs.
func (e *Entry) ready() error {
	if e.holder.Version() == 0 && e.client.Health() == platformclient.HealthDown {
		return errors.New("no manifest is known and the platform is out of reach")
	}
	return nil
}

// check decodes a manifest and proves its admission.
func (e *Entry) check(document []byte) (*structs.Manifest, map[string]int, error) {
	m, err := manifest.Decode(document)
	if err != nil {
		return nil, nil, err
	}
	margin, err := e.store.Check(m)
	return m, margin, err
}

// zones returns the availability zones of a domain's hardware.
func (e *Entry) zones(domain string) []string {
	m := e.holder.Current()
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

// owners joins what the entry's HTTP side needs to know of the membership.
type owners struct {
	ownership *membership.Ownership
	entries   *membership.Entries
}

func (o owners) Owner(domain string) (structs.Owner, bool) { return o.ownership.Owner(domain) }
func (o owners) Entries() []structs.EntryInfo              { return o.entries.List() }

// manifestStore applies manifests by the controller, which also spreads them.
type manifestStore struct {
	controller *manifest.Controller
	store      *manifest.Store
}

func (s manifestStore) Apply(ctx context.Context, m *structs.Manifest) (*structs.Manifest, error) {
	return s.controller.Apply(ctx, m)
}

func (s manifestStore) History(ctx context.Context, limit int) ([]structs.Manifest, error) {
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

func (s manifestStore) Load(ctx context.Context, version uint64) (*structs.Manifest, error) {
	return s.store.LoadVersion(ctx, version)
}

// Handler returns the HTTP handler of the entry.
func (e *Entry) Handler() http.Handler { return e.http.Handler() }
