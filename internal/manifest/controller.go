package manifest

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Intervals and limits of a Controller.
const (
	DefaultPollInterval = time.Second
	// pushTimeout is how long Apply waits for replies of the other entries.
	pushTimeout = time.Second
	// fetchTimeout limits a request for a delta.
	fetchTimeout = time.Second
	// maxNotices limits the number of processes recorded as having a newer version.
	maxNotices = 64
	// maxFetches limits the number of processes asked for a delta after a notice.
	maxFetches = 3
)

var metrics = expvar.NewMap("parsleypier_manifest")

// Caller makes RPCs; *rpc.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error
}

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	Holder *Holder
	Caller Caller
	// Store is nil in agents, which learn of versions from heartbeat replies.
	Store *Store
	// SelfID is the ID of this entry, which the controller skips in Entries.
	SelfID string
	// Entries returns the known entries; nil for none.
	Entries func() []structs.EntryInfo
	// Refresh updates Entries before a push, so that the push reaches entries that
	// have just started; nil does nothing.
	Refresh func(context.Context)
	// PollInterval is DefaultPollInterval if 0.
	PollInterval time.Duration
}

// Controller keeps a Holder up to date and distributes accepted manifests. It is
// safe for concurrent use.
type Controller struct {
	options  ControllerOptions
	wake     chan struct{}
	nextPeer atomic.Uint32

	mu      sync.Mutex
	notices map[source]uint64 // processes that have a newer version, with that version
}

// source is a process that can be asked for a delta.
type source struct {
	addr   string
	method string
}

// The RPC methods of the controller. The first two return a delta; the last one
// delivers it.
const (
	peerDelta   = "Peer.ManifestDelta"
	agentDelta  = "Agent.ManifestDelta"
	peerChanged = "Peer.ManifestChanged"
)

// NewController returns a controller that does nothing until Run is called.
func NewController(o ControllerOptions) *Controller {
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.Refresh == nil {
		o.Refresh = func(context.Context) {}
	}
	if o.Entries == nil {
		o.Entries = func() []structs.EntryInfo { return nil }
	}
	return &Controller{options: o, wake: make(chan struct{}, 1), notices: map[source]uint64{}}
}

// Run keeps the Holder up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if c.options.Store != nil {
		wg.Go(func() { c.pollLoop(ctx) })
	}
	wg.Go(func() { c.noticeLoop(ctx) })
	wg.Wait()
}

// Apply stores m as the next version, puts it in force in this process and pushes it
// to the known entries, waiting up to pushTimeout for their replies. Errors are those
// of Store.Apply.
func (c *Controller) Apply(ctx context.Context, m *structs.Manifest) (*structs.Manifest, error) {
	accepted, err := c.options.Store.Apply(ctx, m)
	if err != nil {
		return nil, err
	}
	c.setManifest(accepted, "apply")
	c.options.Refresh(ctx)
	c.push(ctx, accepted)
	return accepted, nil
}

// setManifest puts m in force if it is newer. from is the source for the log.
func (c *Controller) setManifest(m *structs.Manifest, from string) {
	if c.options.Holder.Set(m) {
		c.recordAdvance(from)
	}
}

// applyDelta applies d if it leads to a newer version, and reports whether it did.
func (c *Controller) applyDelta(d *structs.ManifestDelta, from string) bool {
	if !c.options.Holder.Advance(d) {
		return false
	}
	c.recordAdvance(from)
	return true
}

func (c *Controller) recordAdvance(from string) {
	metrics.Add("advanced", 1)
	klog.InfoS("manifest in force", "version", c.options.Holder.Version(), "source", from)
}

// peers returns the known entries other than this one.
func (c *Controller) peers() []structs.EntryInfo {
	return slices.DeleteFunc(slices.Clone(c.options.Entries()), func(e structs.EntryInfo) bool {
		return e.ID == c.options.SelfID || e.RPCAddr == ""
	})
}

// push sends m to all peers as a delta.
func (c *Controller) push(ctx context.Context, m *structs.Manifest) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, e := range c.peers() {
		wg.Go(func() {
			// If the entry lacks the parent version, its reply has the version that
			// it does have, and a second call sends a delta from that one.
			have := m.Parent
			for range 2 {
				args := &structs.ManifestArgs{Have: m.Version, Delta: c.options.Holder.Delta(have)}
				var reply structs.ManifestReply
				if err := c.options.Caller.Call(ctx, e.RPCAddr, peerChanged, args, &reply); err != nil {
					metrics.Add("pushFailures", 1)
					return
				}
				if reply.Version >= m.Version {
					return
				}
				have = reply.Version
			}
		})
	}
	wg.Wait()
}

// pollLoop polls the table until ctx ends.
func (c *Controller) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(c.options.PollInterval)
	defer ticker.Stop()
	for {
		c.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll reads a newer version from the table or, if that fails, from other entries.
func (c *Controller) poll(ctx context.Context) {
	newer, err := c.options.Store.LoadNewer(ctx, c.options.Holder.Version())
	if err == nil && newer != nil {
		c.setManifest(newer, "table")
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	metrics.Add("pollFailures", 1)
	peers := c.peers()
	if len(peers) == 0 {
		return
	}
	// Ask one entry per poll in turn, but all of them while no manifest is known.
	first := int(c.nextPeer.Add(1)) % len(peers)
	if c.options.Holder.Version() > 0 {
		peers = peers[first : first+1]
	}
	var wg sync.WaitGroup
	for _, e := range peers {
		wg.Go(func() { c.fetch(ctx, source{e.RPCAddr, peerDelta}) })
	}
	wg.Wait()
}

// NoticeVersion tells the controller that the entry at addr has version v. It does
// not block, so it can be called for every RPC header and reply.
func (c *Controller) NoticeVersion(addr string, v uint64) { c.notice(source{addr, peerDelta}, v) }

// NoticeAgentVersion tells the controller that the agent at addr has version v.
func (c *Controller) NoticeAgentVersion(addr string, v uint64) { c.notice(source{addr, agentDelta}, v) }

// notice records that s has version v, and wakes noticeLoop if that is newer than the
// version in force.
func (c *Controller) notice(s source, v uint64) {
	if s.addr == "" || v <= c.options.Holder.Version() {
		return
	}
	c.mu.Lock()
	if _, known := c.notices[s]; known || len(c.notices) < maxNotices {
		c.notices[s] = max(v, c.notices[s])
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// noticeLoop fetches newer versions from the processes that were noticed to have them.
func (c *Controller) noticeLoop(ctx context.Context) {
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		for range maxFetches {
			s, ok := c.takeNewestNotice()
			if !ok || ctx.Err() != nil {
				break
			}
			c.fetch(ctx, s)
		}
		c.clearNotices()
	}
}

// takeNewestNotice removes and returns the source with the newest version; false if
// no source has a newer version than the one in force.
func (c *Controller) takeNewestNotice() (source, bool) {
	have := c.options.Holder.Version()
	c.mu.Lock()
	defer c.mu.Unlock()
	var best source
	for s, v := range c.notices {
		if v > have {
			have, best = v, s
		}
	}
	delete(c.notices, best)
	return best, best.addr != ""
}

// clearNotices drops the remaining notices. If a version is still newer, the next RPC
// header with it causes a new notice.
func (c *Controller) clearNotices() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.notices)
}

// fetch requests the delta from the version in force from s, and applies it.
func (c *Controller) fetch(ctx context.Context, s source) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	metrics.Add("fetches", 1)
	var reply structs.ManifestReply
	if err := c.options.Caller.Call(ctx, s.addr, s.method, &structs.ManifestArgs{Have: c.options.Holder.Version()}, &reply); err != nil {
		metrics.Add("fetchFailures", 1)
		return
	}
	c.applyDelta(reply.Delta, s.addr)
}

// ServeChanged handles Peer.ManifestChanged: it applies the delta if it leads to a
// newer version. The reply has the version then in force, from which the caller can
// tell which changes are still missing.
func (c *Controller) ServeChanged(args *structs.ManifestArgs, reply *structs.ManifestReply) error {
	c.applyDelta(args.Delta, args.From)
	reply.Version = c.options.Holder.Version()
	return nil
}

// ServeDelta handles Peer.ManifestDelta and Agent.ManifestDelta.
func (c *Controller) ServeDelta(args *structs.ManifestArgs, reply *structs.ManifestReply) error {
	reply.Delta = c.options.Holder.Delta(args.Have)
	reply.Version = c.options.Holder.Version()
	return nil
}
