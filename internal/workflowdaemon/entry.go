// Package workflowdaemon assembles the packages for workflow jobs into the two
// roles of a deployment: the entry and the agent. A workflow job consists of steps,
// and each step of tasks. The deployment runs on the users' platform, which is the
// operator's own system of machines and provides the workers, the load balancer and
// the store.
//
// Every entry serves clients. One of them is elected as the owner, which decides
// where tasks run. An agent carries out the owner's decisions on the workers of its
// machine. The processes share their state as rows of the store; each entry follows the changes
// through the feed, the store's long poll for changed rows.
package workflowdaemon

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/parsleypier/parsleypier/internal/election"
	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/gateway"
	"github.com/parsleypier/parsleypier/internal/panicguard"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowowner"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

// Table is the name of the table that holds the system's rows.
const Table = "parsleypier"

// Timeouts and intervals of an entry.
const (
	// peerTimeout limits a call to another entry. A round trip takes 3 ms.
	peerTimeout = 400 * time.Millisecond
	// firstElectionDelay is the time that the entries of a new deployment have to
	// write their rows before one of them becomes owner.
	firstElectionDelay = time.Second
	// maxRowsAge is the age of an owner's copy of the rows above which it makes no
	// decisions. It is below the 3 s in which a cancellation has to take effect,
	// and above the age that is reached between two feed responses when no row
	// changes and the store is slow.
	maxRowsAge = 2500 * time.Millisecond
	// feedBatchDelay is the pause after a feed response with changes. It is small
	// compared with the 400 ms or more after which clients ask again.
	feedBatchDelay = 60 * time.Millisecond
	// maxReadyAge is the age of the copy of the rows above which an entry reports
	// that it is not ready for new connections.
	maxReadyAge = 2500 * time.Millisecond
)

// EntryOptions configures an Entry.
type EntryOptions struct {
	ID, RPCAddr string
	// Seeds are RPC addresses of other entries.
	Seeds []string
	// Zone is the availability zone. MilliCores is the processor time that the machine
	// gives this process, in thousandths of a core, or 0 if unknown.
	Zone       string
	MilliCores int
	// StoreCall calls the store directly. NewStore returns a store that sends its
	// calls through the given function.
	StoreCall rowstore.CallFunc
	NewStore  func(rowstore.CallFunc) rowstore.Store
	// MaxRowBytes is the size of the largest value that the store keeps; 0 for
	// rowstore.MaxRowBytes.
	MaxRowBytes int
	// OperatorTable and ConfigKey identify the row of the operator's configuration.
	OperatorTable, ConfigKey string
	DecodeConfig             func([]byte) (*gateway.Config, error)
	// MaxConfigAge is the time after which a configuration that the operator has stored must
	// be in force at every entry.
	MaxConfigAge time.Duration
	// EvacuationPrefix is the prefix of the keys of the operator's requests to evacuate zones,
	// followed by the name of the zone. Evacuation has the limits that apply.
	EvacuationPrefix string
	Evacuation       evacuation.Limits
	// Times are the durations that the owner works with, such as that of a lease.
	Times workflowowner.Times
	Log   *eventlog.Log
	// Caller calls the other processes.
	Caller workflowowner.Caller
	// Advisor gives placement advice. It is nil if the deployment has none.
	Advisor workflowowner.Advisor
	// Clock is a monotonic clock that includes the time in which the machine is
	// suspended.
	Clock func() time.Duration
	// ProcessGone reports whether it is certain that the process at an RPC address
	// no longer exists.
	ProcessGone func(ctx context.Context, addr string) bool
}

// Entry is a running entry.
type Entry struct {
	opts        EntryOptions
	Config      *gateway.ActiveConfig
	Gateway     *gateway.Gateway
	failover    *rowstore.Failover
	store       rowstore.Store
	tableMirror *rowstore.Mirror
	config      *configWatch
	elector     *election.Elector
	entries     *entrySet

	mu    sync.Mutex
	owner *workflowowner.Owner
	// ownerSince is when this process became owner.
	ownerSince time.Time
	// lastFullSyncRequestedAt is the time on Clock at which the last successful
	// confirmation was requested (see confirmOwnership). Every peer that answered
	// has sent all its newer rows with it. It is 0 if there was none.
	lastFullSyncRequestedAt time.Duration
	seeds                   []string
	// peerContacts records when the owner first called each other entry and when it
	// last got an answer, by entry ID.
	peerContacts map[string]peerContact
	// partialSyncs is the version up to which a peer has sent its rows, by address,
	// while the peer has more rows to send.
	partialSyncs map[string]uint64
	leaving      bool
}

// NewEntry returns an entry that does nothing until Run is called.
func NewEntry(o EntryOptions) *Entry {
	e := &Entry{opts: o, Config: &gateway.ActiveConfig{Log: o.Log, Clock: o.Clock}, entries: newEntrySet(o.Log), seeds: o.Seeds, peerContacts: map[string]peerContact{}, partialSyncs: map[string]uint64{}}
	e.failover = &rowstore.Failover{Direct: o.StoreCall, Peers: e.storePeers, Log: o.Log}
	e.store = o.NewStore(e.failover.Do)
	e.tableMirror = rowstore.NewMirror(e.store, Table, o.Log, e.applyRows)
	e.tableMirror.Pace, e.tableMirror.Clock = e.feedDelay, o.Clock
	e.config = newConfigWatch(o, e.Config, e.peerAddrsOrSeeds)
	e.config.evacuations.onChange = e.evacuationsChanged
	e.Gateway = gateway.New(gateway.Options{Store: e.store, Mirror: e.tableMirror, Table: Table, MaxRowBytes: o.MaxRowBytes, Log: o.Log, UnixMillis: unixMillis, OnWrite: e.sendToOwner})
	e.elector = election.New(election.Options{
		Store: e.store, Mirror: e.tableMirror, Table: Table, Log: o.Log, Clock: o.Clock,
		Self:        election.Holder{ID: o.ID, Addr: o.RPCAddr, Incarnation: time.Now().UnixNano()},
		ProcessGone: o.ProcessGone, Confirm: e.confirmOwnership, OnAcquire: e.startOwner, OnLose: e.stopOwner,
		Delay: func() time.Duration { return takeoverDelay(e.entries.position(o.ID)) }, FirstDelay: firstElectionDelay,
	})
	return e
}

// Services returns the RPC services of the entry by name.
func (e *Entry) Services() map[string]any {
	return map[string]any{"Tasks": &tasksService{e}, "Peer": &peerService{e}}
}

func unixMillis() int64 { return time.Now().UnixMilli() }

// Run follows the store and takes part in elections until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.tableMirror.Run(ctx) })
	wg.Go(func() { e.config.run(ctx) })
	wg.Go(func() { e.elector.Run(ctx) })
	wg.Go(func() { e.maintainEntryRows(ctx) })
	wg.Wait()
	e.stopOwner("stopped")
}

// Leave releases the ownership and removes the entry's row. The entry still serves
// clients afterwards; their work goes to the next owner.
func (e *Entry) Leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	if err := e.elector.Release(ctx); err != nil {
		e.opts.Log.Event("release_failed", "err", err.Error())
	}
	if row, ok := e.tableMirror.Get(workflow.EntryPrefix + e.opts.ID); ok {
		e.deleteEntryRow(ctx, row)
	}
}

// Ready returns an error if new connections should go to other entries.
func (e *Entry) Ready() error {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	age, loaded := e.tableMirror.Age()
	switch {
	case leaving:
		return errors.New("leaving")
	case e.Config.Current() == nil:
		return errors.New("no configuration is known")
	case !loaded || age > maxReadyAge:
		return errors.New("the store is out of reach")
	}
	return nil
}

// RefreshConfig returns whether the configuration in force may be used for a request. If it
// is not known to include every version that the operator stored more than MaxConfigAge ago,
// it first asks the store and other entries, for 0.25 s at most.
func (e *Entry) RefreshConfig() gateway.Currency { return e.config.refreshForRequest() }

// Leaving reports whether the entry is shutting down.
func (e *Entry) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// SetSeeds replaces the seeds after the settings were reloaded.
func (e *Entry) SetSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// addSeed adds the address of an entry that has called this one, if it is the only one that
// is known: the settings may name none, and the table cannot be read without another entry
// while the store refuses this process.
func (e *Entry) addSeed(addr string) {
	if len(e.peerAddrsOrSeeds()) > 0 {
		return
	}
	e.opts.Log.Event("entry_found", "addr", addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = []string{addr}
}

// feedDelay returns the pause after a feed response with changes. Entries that are
// not the owner read changes in batches: otherwise each write of the owner would
// cost a call of every entry.
func (e *Entry) feedDelay() time.Duration {
	if e.currentOwner() != nil {
		return 0
	}
	return feedBatchDelay
}

func (e *Entry) applyRows(rows []rowstore.Row) {
	for _, r := range rows {
		panicguard.Run(e.opts.Log, "row", func() { e.applyRow(r) })
	}
	panicguard.Run(e.opts.Log, "gateway_rows", func() { e.Gateway.Observe(rows) })
	if o := e.currentOwner(); o != nil {
		o.Observe(rows)
	}
}

func (e *Entry) applyRow(r rowstore.Row) {
	switch prefix, _ := workflow.SplitKey(r.Key); {
	case r.Key == election.RowKey:
		e.elector.Observe(r)
	case prefix == workflow.EntryPrefix:
		e.entries.applyRow(r)
	case prefix == workflow.ProgressPrefix || prefix == workflow.ProgressChunkPrefix || prefix == workflow.WorkerPrefix:
		e.elector.NoticeOwnerWrite(r.Version)
	}
}

func (e *Entry) currentOwner() *workflowowner.Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

// startOwner starts the owner for a term that this entry has won.
func (e *Entry) startOwner(term election.Term) {
	o := workflowowner.New(workflowowner.Options{
		ID: e.opts.ID, Addr: e.opts.RPCAddr, Epoch: term.Epoch, Version: term.Version, Store: e.store, Mirror: e.tableMirror, Table: Table, MaxRowBytes: e.opts.MaxRowBytes,
		Config: e.Config, Caller: e.opts.Caller, Advisor: e.opts.Advisor, Log: e.opts.Log, Entries: e.entries.sortedAddrs, Authority: e.mayDecide,
		OnHigherEpoch: e.elector.NoticeEpoch, OnFencedWrite: e.elector.NoticeFencedWrite, Clock: e.opts.Clock, Decide: workflowscheduler.Decide, Times: e.opts.Times, UnixMillis: unixMillis,
		Evacuation: e.opts.Evacuation, EvacuationView: e.config.evacuations.view,
	})
	e.mu.Lock()
	e.owner, e.ownerSince, e.peerContacts = o, time.Now(), map[string]peerContact{}
	e.mu.Unlock()
	o.Start()
}

// rowsAge returns the time since this entry's copy of the rows was last known to be
// up to date, from the store or from the peers.
func (e *Entry) rowsAge() time.Duration {
	age, _ := e.tableMirror.Age()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastFullSyncRequestedAt == 0 {
		return age
	}
	return min(age, e.opts.Clock()-e.lastFullSyncRequestedAt)
}

// mayDecide reports whether this entry owns and its copy of the rows is recent
// enough for decisions. An owner that regains the store may renew its owner row
// before it has read what changed.
func (e *Entry) mayDecide() bool {
	return e.elector.HasAuthority() && e.rowsAge() < maxRowsAge
}

// stopOwner stops the owner after the ownership was lost.
func (e *Entry) stopOwner(string) {
	e.mu.Lock()
	o := e.owner
	e.owner = nil
	e.mu.Unlock()
	if o != nil {
		o.Stop()
	}
}

// peerAddrsByID returns the RPC addresses of the other entries by ID.
func (e *Entry) peerAddrsByID() map[string]string {
	return e.entries.addrsExcept(e.opts.ID, e.opts.RPCAddr)
}

// peerAddrsOrSeeds returns the addresses of the other entries, sorted, or the seeds
// if no other entry is known.
func (e *Entry) peerAddrsOrSeeds() []string {
	addrs := slices.Sorted(maps.Values(e.peerAddrsByID()))
	if len(addrs) == 0 {
		e.mu.Lock()
		addrs = slices.Clone(e.seeds)
		e.mu.Unlock()
	}
	return addrs
}

// ProcessGone reports whether the machine at addr refuses the connection, which
// means that no process listens there.
func ProcessGone(ctx context.Context, addr string) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err == nil {
		c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
