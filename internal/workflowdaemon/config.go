package workflowdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/gateway"
	"github.com/parsleypier/parsleypier/internal/panicguard"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Times and limits of a configWatch.
const (
	// configCheckInterval is the longest interval at which other entries are asked while the
	// store does not answer; with jitter it is as short as half of it.
	configCheckInterval = 250 * time.Millisecond
	// configRetryDelay is the longest delay after a failed call to the store, which may
	// refuse this process for long.
	configRetryDelay = 600 * time.Millisecond
	// maxPeersPerCheck limits the entries that are asked at a time.
	maxPeersPerCheck = 4
	// maxConfigRefreshes limits the concurrent calls to a store that does not answer.
	maxConfigRefreshes = 4
)

// configWatch keeps the configuration in force up to date. It follows the operator's table
// with calls of its own to the store. As soon as one of them is overdue or has failed, it
// asks other entries for theirs, several at a time, and sends further calls to the store. No
// call waits for another one, so one process that does not answer delays nothing.
type configWatch struct {
	opts   EntryOptions
	active *gateway.ActiveConfig
	mirror *rowstore.Mirror
	// peers returns the RPC addresses of the other entries.
	peers func() []string

	mu        sync.Mutex
	asking    map[string]bool // peers with a call in progress
	nextPeer  int
	refreshes int // calls of Refresh in progress
}

func newConfigWatch(o EntryOptions, active *gateway.ActiveConfig, peers func() []string) *configWatch {
	w := &configWatch{opts: o, active: active, peers: peers, asking: map[string]bool{}}
	w.mirror = rowstore.NewMirror(o.NewStore(o.StoreCall), o.OperatorTable, o.Log, w.applyRows)
	w.mirror.Clock, w.mirror.OnCurrent, w.mirror.RetryDelay = o.Clock, active.Confirm, configRetryDelay
	return w
}

// run keeps the configuration up to date until ctx ends.
func (w *configWatch) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.mirror.Run(ctx) })
	for retry.Sleep(ctx, retry.Jitter(configCheckInterval)) {
		if w.mirror.StoreResponding() {
			continue
		}
		w.askPeers(ctx, &wg)
		if w.mirror.Overdue() {
			w.refresh(ctx, &wg)
		}
	}
	wg.Wait()
}

// askPeers asks the next few entries that have no call in progress, in turn.
func (w *configWatch) askPeers(ctx context.Context, wg *sync.WaitGroup) {
	peers := w.peers()
	w.mu.Lock()
	defer w.mu.Unlock()
	for range min(maxPeersPerCheck, len(peers)) {
		addr := peers[w.nextPeer%len(peers)]
		w.nextPeer++
		if w.asking[addr] {
			continue
		}
		w.asking[addr] = true
		wg.Go(func() {
			w.askPeer(ctx, addr)
			w.mu.Lock()
			defer w.mu.Unlock()
			delete(w.asking, addr)
		})
	}
}

// askPeer asks an entry for its configuration. If this entry then has the peer's version or
// a newer one, it lacks no version that was confirmed before the peer was last up to date.
func (w *configWatch) askPeer(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	began := w.opts.Clock()
	args, reply := &workflowrpc.ConfigArgs{}, &workflowrpc.ConfigReply{}
	current := w.active.Current()
	if current != nil {
		args.Version = current.Version
	}
	// A peer that does not answer is asked again in turn.
	if w.opts.Caller.Call(ctx, addr, workflowrpc.MethodConfig, args, reply) != nil || reply.Version == 0 {
		return
	}
	at := began - reply.Age
	// An older configuration may have been replaced, and would bring back withdrawn keys. An
	// entry that has one takes any newer one.
	usable := current != nil || reply.Confirmed && w.opts.Clock()-at <= w.opts.MaxConfigAge
	if len(reply.Document) > 0 && usable {
		w.opts.Log.Event("config_from_peer", "peer", addr, "version", reply.Version, "ageMs", reply.Age.Milliseconds(), "confirmed", reply.Confirmed)
		w.apply(reply.Document, addr)
	}
	if current := w.active.Current(); current != nil && current.Version >= reply.Version && reply.Confirmed {
		w.active.Confirm(at)
	}
}

// refresh sends a further call to the store unless enough are in progress.
func (w *configWatch) refresh(ctx context.Context, wg *sync.WaitGroup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refreshes == maxConfigRefreshes {
		return
	}
	w.refreshes++
	wg.Go(func() {
		// The mirror logs that the store does not answer.
		_ = w.mirror.Refresh(ctx)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.refreshes--
	})
}

// applyRows reads the configuration from changed rows of the operator's table.
func (w *configWatch) applyRows(rows []rowstore.Row) {
	for _, r := range rows {
		if r.Key == w.opts.ConfigKey && !r.Deleted {
			w.apply(r.Value, "store")
		}
	}
}

// apply decodes a configuration and makes it the active one if it is newer.
func (w *configWatch) apply(document []byte, source string) {
	panicguard.Run(w.opts.Log, "configuration", func() {
		c, err := w.opts.DecodeConfig(document)
		if err != nil {
			w.opts.Log.Event("config_unreadable", "source", source, "err", err.Error())
			return
		}
		w.active.SetIfNewer(c, source)
	})
}
