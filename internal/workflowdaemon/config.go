package workflowdaemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/parsleypier/parsleypier/internal/gateway"
	"github.com/parsleypier/parsleypier/internal/panicguard"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/rowstore"
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
	// configAnnouncePeers is the number of other entries that each entry tells of a new version.
	configAnnouncePeers = 3
	// configAnnounceDelay is the time that the store has to deliver a version that another
	// entry has announced, before that entry is asked for it.
	configAnnounceDelay = 50 * time.Millisecond
	// requestRefreshTimeout limits how long a request waits until the configuration is known to
	// be recent.
	requestRefreshTimeout = 250 * time.Millisecond
	// requestRefreshDelay is the time after a refresh in vain for which requests do not wait
	// for another one.
	requestRefreshDelay = 500 * time.Millisecond
	// maxConfigRefreshes limits the concurrent calls to a store that does not answer.
	maxConfigRefreshes = 2
	// Where zones may be evacuated, a call to a store that does not answer begins at least
	// every outageProbeInterval, to know when the store last did not answer: see
	// evacuation.Limits. maxOutageProbes of them are in progress at a time, since each lasts
	// up to 2 s.
	outageProbeInterval = 700 * time.Millisecond
	maxOutageProbes     = 4
	// maxSmallDocument is the size in bytes up to which a document is sent with its version.
	maxSmallDocument = 16 << 10
	// largeDocumentDelay is the time that the store has to deliver a large document before
	// another entry is asked for it, and that entry before a second one is.
	largeDocumentDelay = 400 * time.Millisecond
	// largeDocumentTimeout limits the call for a large document.
	largeDocumentTimeout = 2 * time.Second
	// maxLargeDocuments limits the concurrent calls for large documents.
	maxLargeDocuments = 2
)

// configWatch keeps the configuration in force, and the view of the zones that are evacuated,
// up to date. It follows the operator's table with calls of its own to the store. As soon as one of them is overdue or has failed, it
// asks other entries for their version, several at a time, and sends further calls to the
// store. No call waits for another one, so one process that does not answer delays nothing.
// Entries also announce new versions to each other, which costs a short message where the
// store has delivered the version, and saves the time until the next question where it has
// not. Only large documents are fetched from one entry at a time.
type configWatch struct {
	opts   EntryOptions
	active *gateway.ActiveConfig
	mirror *rowstore.Mirror
	// evacuations has the zones that the operator has evacuated.
	evacuations *evacuations
	// peers returns the RPC addresses of the other entries.
	peers func() []string

	// inForce has a value while a new version is to be announced.
	inForce chan struct{}

	// requests combines the refreshes of concurrent requests.
	requests singleflight.Group

	mu        sync.Mutex
	asking    map[string]bool // peers with a call in progress
	nextPeer  int
	refreshes int       // calls of Refresh in progress
	refreshAt time.Time // when the last one began
	// largeDocuments are calls for large documents in progress, and largeDocumentAt is when
	// the last one began.
	largeDocuments  int
	largeDocumentAt time.Time
	// newest is the highest version that another entry has named.
	newest uint64
	// noRefreshBefore is when a request may wait for a refresh again.
	noRefreshBefore time.Time
}

func newConfigWatch(o EntryOptions, active *gateway.ActiveConfig, peers func() []string) *configWatch {
	w := &configWatch{opts: o, active: active, peers: peers, asking: map[string]bool{}, inForce: make(chan struct{}, 1)}
	w.mirror = rowstore.NewMirror(o.NewStore(o.StoreCall), o.OperatorTable, o.Log, w.applyRows)
	w.mirror.Clock, w.mirror.OnCurrent, w.mirror.RetryDelay, w.mirror.ReloadAfterFailure = o.Clock, active.Confirm, configRetryDelay, true
	w.evacuations = newEvacuations(o, w.announceSoon)
	w.mirror.OnRead = w.evacuations.applyRead
	return w
}

// run keeps the configuration up to date until ctx ends.
func (w *configWatch) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.mirror.Run(ctx) })
	wg.Go(func() { w.announce(ctx) })
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

// currency returns whether the configuration in force may be used for a request.
func (w *configWatch) currency() gateway.Currency {
	w.mu.Lock()
	newest := w.newest
	w.mu.Unlock()
	switch {
	case w.isRecent():
		return gateway.Recent
	case !w.has(newest):
		return gateway.Replaced
	}
	return gateway.Unconfirmed
}

// noteVersion records that a version is in force at another entry.
func (w *configWatch) noteVersion(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest = max(w.newest, version)
}

// isRecent reports whether the configuration in force includes every version that the
// operator stored more than MaxConfigAge ago.
func (w *configWatch) isRecent() bool {
	age, confirmed := w.active.Age()
	return confirmed && age <= w.opts.MaxConfigAge
}

// refreshForRequest asks the store and other entries for newer versions if the configuration
// is not known to be recent, as after a pause of this process. It returns what is known then.
func (w *configWatch) refreshForRequest() gateway.Currency {
	if w.isRecent() {
		return gateway.Recent
	}
	w.mu.Lock()
	wait := !time.Now().Before(w.noRefreshBefore)
	w.mu.Unlock()
	if !wait {
		return w.currency()
	}
	// The function returns no error.
	_, _, _ = w.requests.Do("", func() (any, error) {
		w.refreshUntilRecent()
		return nil, nil
	})
	return w.currency()
}

// refreshUntilRecent asks the store and several entries at once, and waits until one of them
// has answered that the configuration is recent, for at most requestRefreshTimeout.
func (w *configWatch) refreshUntilRecent() {
	// The calls end by their own timeouts: to cancel one would close its connection. That none
	// of them has helped is logged below.
	ctx := context.Background()
	calls := []func(){func() { _ = w.mirror.Refresh(ctx) }}
	for _, addr := range nextPeers(w.peers(), w.opts.RPCAddr, maxPeersPerCheck) {
		calls = append(calls, func() { w.askPeer(ctx, addr) })
	}
	ended := make(chan struct{}, len(calls))
	for _, call := range calls {
		go func() {
			call()
			ended <- struct{}{}
		}()
	}
	timeout := time.NewTimer(requestRefreshTimeout)
	defer timeout.Stop()
	for waiting := len(calls); waiting > 0 && !w.isRecent(); waiting-- {
		select {
		case <-ended:
		case <-timeout.C:
			waiting = 0
		}
	}
	if w.isRecent() {
		return
	}
	age, _ := w.active.Age()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opts.Log.Event("config_not_recent", "version", w.version(), "newest", w.newest, "ageMs", age.Milliseconds())
	w.noRefreshBefore = time.Now().Add(requestRefreshDelay)
}

// has reports whether a version, or a newer one, is in force.
func (w *configWatch) has(version uint64) bool { return w.version() >= version }

// version returns the version in force, or 0 if there is none.
func (w *configWatch) version() uint64 {
	if c := w.active.Current(); c != nil {
		return c.Version
	}
	return 0
}

// refresh sends a further call to the store unless enough are in progress.
func (w *configWatch) refresh(ctx context.Context, wg *sync.WaitGroup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := maxConfigRefreshes
	if w.evacuations.enabled() && time.Since(w.refreshAt) >= outageProbeInterval {
		limit = maxOutageProbes
	}
	if w.refreshes >= limit {
		return
	}
	w.refreshes, w.refreshAt = w.refreshes+1, time.Now()
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
		if w.active.SetIfNewer(c, source) {
			w.announceSoon()
		}
	})
}

// announceSoon makes announce tell other entries of the version in force.
func (w *configWatch) announceSoon() {
	select {
	case w.inForce <- struct{}{}:
	default: // the announcement that is due will be of this version
	}
}
