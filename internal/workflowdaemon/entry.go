// Package workflowdaemon wires the packages for jobs that are workflows into the two
// roles of a deployment on a platform of its users: the entry and the agent.
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
	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/gateway"
	"github.com/parsleypier/parsleypier/internal/panicguard"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowowner"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

// Table is the table of the system's rows.
const Table = "parsleypier"

// Times of an entry.
const (
	// peerTimeout limits a call to another entry. A round trip takes 3 ms.
	peerTimeout = 400 * time.Millisecond
	// firstElectionDelay is the time in which the entries of a new deployment write
	// their rows before one of them takes ownership.
	firstElectionDelay = time.Second
	// maxRowsAge is the age of what an owner knows up to which it decides. It
	// is below the 3 s in which a cancellation has to take effect, and above the
	// age that a quiet feed of a slow store leads to.
	maxRowsAge = 2500 * time.Millisecond
	// configRetryInterval is how often a process without a configuration asks others.
	configRetryInterval = 300 * time.Millisecond
	// feedBatchDelay is small beside the 400 ms and more after which clients ask again.
	feedBatchDelay = 60 * time.Millisecond
	// unreadyAfter is the age of the last contact with the store after which an
	// entry leaves new connections to others.
	unreadyAfter = 2500 * time.Millisecond
)

// EntryOptions configure an Entry.
type EntryOptions struct {
	ID, RPCAddr string
	// Seeds are RPC addresses of other entries.
	Seeds []string
	// Zone is the availability zone, MilliCores the processor time that the VM
	// gives this process, in thousandths of a core; 0 if it is not known.
	Zone       string
	MilliCores int
	// Exchange is the direct way to the store, NewStore the store over a way.
	StoreCall rowstore.Exchange
	NewStore  func(rowstore.Exchange) rowstore.Store
	// OperatorTable and ConfigKey name the row of the operator's configuration.
	OperatorTable, ConfigKey string
	DecodeConfig             func([]byte) (*gateway.Config, error)
	Times                    workflowowner.Times
	Log                      *eventlog.Log
	// Caller calls the other processes.
	Caller workflowowner.Caller
	// Advisor gives the placement advice; nil if the deployment has none.
	Advisor workflowowner.Advisor
	// Clock is a steady clock that counts suspensions.
	Clock func() time.Duration
	// ProcessGone reports whether the process at an RPC address certainly no
	// longer exists.
	ProcessGone func(ctx context.Context, addr string) bool
}

// Entry is a running entry.
type Entry struct {
	opts           EntryOptions
	Config         *gateway.ActiveConfig
	Gateway        *gateway.Gateway
	failover       *rowstore.Failover
	store          rowstore.Store
	tableMirror    *rowstore.Mirror
	operatorMirror *rowstore.Mirror
	elector        *election.Elector
	entries        *entrySet

	mu    sync.Mutex
	owner *workflowowner.Owner
	// acquired is when this process became owner.
	ownerSince time.Time
	// informed is when its peers last told it all that they know, on Clock; 0 if they
	// never did.
	peersSyncedAt time.Duration
	seeds         []string
	// contacts is when each other entry was first asked and last answered, for the
	// owner.
	peerContacts map[string]peerContact
	// partly is the version up to which another entry's rows were taken over, by
	// address, while more of them are to come.
	partialSyncs map[string]uint64
	leaving      bool
}

// NewEntry returns an entry that does nothing until Run.
func NewEntry(o EntryOptions) *Entry {
	e := &Entry{opts: o, Config: &gateway.ActiveConfig{Log: o.Log}, entries: newEntrySet(o.Log), seeds: o.Seeds, peerContacts: map[string]peerContact{}, partialSyncs: map[string]uint64{}}
	e.failover = &rowstore.Failover{Direct: o.StoreCall, Peers: e.peerStoreCalls, Log: o.Log}
	e.store = o.NewStore(e.failover.Do)
	e.tableMirror = rowstore.NewMirror(e.store, Table, o.Log, e.applyRows)
	e.tableMirror.Pace, e.tableMirror.Clock = e.feedDelay, o.Clock
	e.operatorMirror = rowstore.NewMirror(e.store, o.OperatorTable, o.Log, e.applyOperatorRows)
	e.Gateway = gateway.New(gateway.Options{Store: e.store, Mirror: e.tableMirror, Table: Table, Log: o.Log, UnixMillis: unixMillis})
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

// Run follows the store and takes part in the election until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.tableMirror.Run(ctx) })
	wg.Go(func() { e.operatorMirror.Run(ctx) })
	wg.Go(func() { e.elector.Run(ctx) })
	wg.Go(func() { e.maintainEntryRows(ctx) })
	wg.Go(func() { e.fetchConfigFromPeers(ctx) })
	wg.Wait()
	e.stopOwner("stopped")
}

// Leave hands over ownership and removes the entry's row. New work is still
// served, by way of the next owner.
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

// Ready returns an error while other entries serve new connections better.
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
	case !loaded || age > unreadyAfter:
		return errors.New("the store is out of reach")
	}
	return nil
}

// Leaving reports whether the entry is shutting down.
func (e *Entry) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// SetSeeds replaces the seeds after a change of the settings.
func (e *Entry) SetSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// feedBatchDelay lets changes gather at entries that only answer questions about
// jobs: the owner's writes would otherwise be a call of each entry each.
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
	switch prefix, _ := workflow.CutKey(r.Key); {
	case r.Key == election.RowKey:
		e.elector.Observe(r)
	case prefix == workflow.EntryPrefix:
		e.entries.applyRow(r)
	case prefix == workflow.ProgressPrefix || prefix == workflow.WorkerPrefix:
		e.elector.NoteLife(r.Version)
	}
}

func (e *Entry) currentOwner() *workflowowner.Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

func (e *Entry) applyOperatorRows(rows []rowstore.Row) {
	for _, r := range rows {
		if r.Key != e.opts.ConfigKey || r.Deleted {
			continue
		}
		panicguard.Run(e.opts.Log, "configuration", func() { e.applyConfig(r.Value, "store") })
	}
}

func (e *Entry) applyConfig(document []byte, source string) {
	c, err := e.opts.DecodeConfig(document)
	if err != nil {
		e.opts.Log.Event("config_unreadable", "source", source, "err", err.Error())
		return
	}
	e.Config.SetIfNewer(c, source)
}

// acquire starts the owner of a new term.
func (e *Entry) startOwner(term election.Term) {
	o := workflowowner.New(workflowowner.Options{
		ID: e.opts.ID, Addr: e.opts.RPCAddr, Epoch: term.Epoch, Version: term.Version, Store: e.store, Mirror: e.tableMirror, Table: Table,
		Config: e.Config, Caller: e.opts.Caller, Advisor: e.opts.Advisor, Log: e.opts.Log, Entries: e.entries.sortedAddrs, Authority: e.mayDecide,
		NoticeEpoch: e.elector.NoticeEpoch, NoteFenced: e.elector.NoteFenced, Clock: e.opts.Clock, Decide: workflowscheduler.Decide, Times: e.opts.Times, UnixMillis: unixMillis,
	})
	e.mu.Lock()
	e.owner, e.ownerSince, e.peerContacts = o, time.Now(), map[string]peerContact{}
	e.mu.Unlock()
	o.Start()
}

// rowsAge returns how old what this entry knows of the rows may be.
func (e *Entry) rowsAge() time.Duration {
	age, _ := e.tableMirror.Age()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peersSyncedAt == 0 {
		return age
	}
	return min(age, e.opts.Clock()-e.peersSyncedAt)
}

// mayDecide reports whether this entry owns and knows enough to decide. An owner
// that regains the store may renew its row before it learns what has changed.
func (e *Entry) mayDecide() bool {
	return e.elector.HasAuthority() && e.rowsAge() < maxRowsAge
}

func (e *Entry) stopOwner(string) {
	e.mu.Lock()
	o := e.owner
	e.owner = nil
	e.mu.Unlock()
	if o != nil {
		o.Stop()
	}
}

// peers returns the RPC addresses of the other entries by ID.
func (e *Entry) peerAddrsByID() map[string]string {
	return e.entries.addrsExcept(e.opts.ID, e.opts.RPCAddr)
}

// peerAddrsOrSeeds returns the other entries' addresses in order, with the seeds as long
// as no row is known.
func (e *Entry) peerAddrsOrSeeds() []string {
	addrs := slices.Sorted(maps.Values(e.peerAddrsByID()))
	if len(addrs) == 0 {
		e.mu.Lock()
		addrs = slices.Clone(e.seeds)
		e.mu.Unlock()
	}
	return addrs
}

// ProcessGone reports whether the machine at addr answers that no process
// listens there.
func ProcessGone(ctx context.Context, addr string) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err == nil {
		c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
