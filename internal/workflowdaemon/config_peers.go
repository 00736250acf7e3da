package workflowdaemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

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

// askPeer asks an entry for its configuration. A large document is fetched with a second call,
// unless another entry is sending one.
func (w *configWatch) askPeer(ctx context.Context, addr string) {
	reply := w.callPeer(ctx, addr, peerTimeout, false)
	if reply == nil || w.has(reply.Version) || !w.beginLargeDocument() {
		return
	}
	w.callPeer(ctx, addr, largeDocumentTimeout, true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.largeDocuments--
}

// beginLargeDocument reports whether a large document should be fetched from another entry
// now. Several at a time would delay each other on a slow link.
func (w *configWatch) beginLargeDocument() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.largeDocuments == maxLargeDocuments || w.largeDocuments > 0 && time.Since(w.largeDocumentAt) < largeDocumentDelay {
		return false
	}
	w.largeDocuments++
	w.largeDocumentAt = time.Now()
	return true
}

// callPeer asks an entry for its configuration and what it knows of evacuated zones, and
// applies what it sends. If this entry then
// has the peer's version or a newer one, it lacks none that was confirmed before the peer was
// last up to date. callPeer returns nil if the peer has no answer; it is asked again in turn.
func (w *configWatch) callPeer(ctx context.Context, addr string, timeout time.Duration, large bool) *workflowrpc.ConfigReply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := w.opts.Clock()
	args, reply := &workflowrpc.ConfigArgs{Version: w.version(), Large: large}, &workflowrpc.ConfigReply{}
	if w.opts.Caller.Call(ctx, addr, workflowrpc.MethodConfig, args, reply) != nil {
		return nil
	}
	w.evacuations.merge(reply.Evacuations, began, addr)
	if reply.Version == 0 {
		return nil
	}
	w.noteVersion(reply.Version)
	at := began - reply.Age
	// An older configuration may have been replaced, and would bring back withdrawn keys. An
	// entry that has one takes any newer one.
	usable := args.Version > 0 || reply.Confirmed && w.opts.Clock()-at <= w.opts.MaxConfigAge
	if len(reply.Document) > 0 && usable {
		w.opts.Log.Event("config_from_peer", "peer", addr, "version", reply.Version, "ageMs", reply.Age.Milliseconds(), "confirmed", reply.Confirmed)
		w.apply(reply.Document, addr)
	}
	if w.has(reply.Version) && reply.Confirmed {
		w.active.Confirm(at)
		if reply.Evacuations.Known || !w.evacuations.enabled() {
			w.mirror.SkipTo(reply.StoreVersion)
		}
	}
	return reply
}

// announce tells some other entries of each new version and of each change of an evacuation.
// Every entry does, so most versions reach an entry from several others.
func (w *configWatch) announce(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-w.inForce:
		case <-ctx.Done():
			return
		}
		version, evacuations := w.version(), w.evacuations.newest()
		for _, addr := range nextPeers(w.peers(), w.opts.RPCAddr, configAnnouncePeers) {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, peerTimeout)
				defer cancel()
				// An entry that misses this learns of the version by its other ways.
				args := &workflowrpc.ConfigChangedArgs{Version: version, EvacuationVersion: evacuations, Addr: w.opts.RPCAddr}
				_ = w.opts.Caller.Call(ctx, addr, workflowrpc.MethodConfigChanged, args, &workflowrpc.ConfigChangedReply{})
			})
		}
	}
}

// nextPeers returns up to n of the sorted peers, beginning with the first one after addr, so
// that the entries together tell each one equally often.
func nextPeers(peers []string, addr string, n int) []string {
	first, _ := slices.BinarySearch(peers, addr)
	out := make([]string, 0, n)
	for i := range min(n, len(peers)) {
		out = append(out, peers[(first+i)%len(peers)])
	}
	return out
}

// versionAnnounced asks the entry that has announced a version, or a change of an evacuation,
// for it, if the store does not deliver it first.
func (w *configWatch) versionAnnounced(version, evacuations uint64, addr string) {
	w.noteVersion(version)
	known := func() bool { return w.has(version) && w.evacuations.includes(evacuations) }
	if known() {
		return
	}
	ctx := context.Background()
	if w.mirror.StoreResponding() {
		time.Sleep(configAnnounceDelay)
		if known() || w.callPeer(ctx, addr, peerTimeout, false) == nil || known() {
			return
		}
		time.Sleep(largeDocumentDelay)
	}
	if !known() {
		w.askPeer(ctx, addr)
	}
}
