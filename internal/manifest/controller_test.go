package manifest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// network delivers calls between controllers in process.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Controller
	cut   map[string]bool
	calls map[string]int
}

func (n *network) Call(_ context.Context, addr, method string, args rpc.Headed, reply rpc.Failer) error {
	n.mu.Lock()
	c, cut := n.nodes[addr], n.cut[addr]
	n.calls[method]++
	n.mu.Unlock()
	if c == nil || cut {
		return verdict.Refuse(verdict.CodeUnavailable, "%s is cut off", addr)
	}
	if method == peerChanged {
		return c.ServeChanged(args.(*structs.ManifestArgs), reply.(*structs.ManifestReply))
	}
	return c.ServeDelta(args.(*structs.ManifestArgs), reply.(*structs.ManifestReply))
}

func (n *network) setCut(addr string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = cut
}

// start runs a controller at addr; an agent has no store.
func (n *network) start(ctx context.Context, wg *sync.WaitGroup, addr string, store *Store, entries []structs.EntryInfo) *Controller {
	c := NewController(ControllerOptions{Holder: &Holder{}, Caller: n, Store: store, SelfID: addr, Entries: func() []structs.EntryInfo { return entries }})
	n.mu.Lock()
	n.nodes[addr] = c
	n.mu.Unlock()
	wg.Go(func() { c.Run(ctx) })
	return c
}

// deployment is three entries e0 to e2 and an agent a1 in a synctest bubble.
type deployment struct {
	*network
	t       *testing.T
	ctx     context.Context
	wg      sync.WaitGroup
	server  *platformstub.Server
	m       *structs.Manifest
	known   []structs.EntryInfo
	entries []*Controller
	agent   *Controller
}

// newDeployment starts the processes; the returned function stops them.
func newDeployment(t *testing.T, m *structs.Manifest) (*deployment, func()) {
	d := &deployment{t: t, m: m, server: platformstub.New(platformstub.Options{}),
		network: &network{nodes: map[string]*Controller{}, cut: map[string]bool{}, calls: map[string]int{}}}
	ctx, cancel := context.WithCancel(t.Context())
	d.ctx = ctx
	for i := range 3 {
		addr := fmt.Sprintf("e%d", i)
		d.known = append(d.known, structs.EntryInfo{ID: addr, RPCAddr: addr})
	}
	for _, e := range d.known {
		d.entries = append(d.entries, d.entry(e.ID, d.known))
	}
	d.agent = d.start(ctx, &d.wg, "a1", nil, nil)
	return d, func() {
		cancel()
		d.wg.Wait()
	}
}

func (d *deployment) entry(addr string, known []structs.EntryInfo) *Controller {
	return d.start(d.ctx, &d.wg, addr, &Store{Table: d.server.InProcess()}, known)
}

func (d *deployment) apply(i int) uint64 {
	d.t.Helper()
	d.m.Parent = d.entries[i].o.Holder.Version()
	accepted, err := d.entries[i].Apply(d.ctx, d.m)
	if err != nil {
		d.t.Fatal(err)
	}
	return accepted.Version
}

func (d *deployment) want(version uint64, list ...*Controller) {
	d.t.Helper()
	for _, c := range list {
		if v := c.o.Holder.Version(); v != version {
			d.t.Errorf("%s has version %d, want %d", c.o.SelfID, v, version)
		}
	}
}

// Guards against an accepted manifest that does not reach every process within
// 3 s by push, poll or notice, and against one that reverts.
func TestSpread(t *testing.T) {
	m := mustDecode(t, example(t, "al-wusta.yaml"))
	synctest.Test(t, func(t *testing.T) {
		d, stop := newDeployment(t, m)
		defer stop()
		d.want(d.apply(0), d.entries...)
		// One entry misses the push and polls.
		d.setCut("e2", true)
		version := d.apply(1)
		d.want(version, d.entries[0], d.entries[1])
		// It lacks a version at the next push, and is sent the rest.
		d.setCut("e2", false)
		version = d.apply(0)
		d.want(version, d.entries...)
		d.setCut("e2", true)
		version = d.apply(0)
		time.Sleep(DefaultPollInterval + 10*time.Millisecond)
		d.want(version, d.entries...)
		d.agent.NoticeVersion("e1", version)
		synctest.Wait()
		d.want(version, d.agent)
		// Lower and equal versions are refused or have no effect.
		old := clone(m)
		old.Version = 1
		calls := d.calls[peerDelta]
		d.agent.NoticeVersion("e1", version-1)
		var reply structs.ManifestReply
		if err := d.entries[1].ServeChanged(&structs.ManifestArgs{Delta: Diff(nil, old)}, &reply); err != nil || reply.Version != version {
			t.Errorf("lower version: %+v, %v", reply, err)
		}
		synctest.Wait()
		if d.calls[peerDelta] != calls {
			t.Error("fetched a lower version")
		}
	})
}

// Guards against an entry that starts in an outage and has no manifest, or an
// old one, although peers or agents have a newer one.
func TestSpreadInOutage(t *testing.T) {
	m := mustDecode(t, example(t, "al-wusta.yaml"))
	synctest.Test(t, func(t *testing.T) {
		d, stop := newDeployment(t, m)
		defer stop()
		version := d.apply(0)
		d.agent.NoticeVersion("e1", version)
		synctest.Wait()
		setFaults(t, d.server, platformstub.Faults{TableDown: true})
		late := d.entry("e3", d.known)
		time.Sleep(2 * time.Second)
		d.want(version, late)
		alone := d.entry("e4", nil)
		time.Sleep(2 * time.Second)
		d.want(0, alone)
		alone.NoticeAgentVersion("a1", version)
		synctest.Wait()
		d.want(version, alone)
		if _, err := d.entries[0].Apply(d.ctx, m); err == nil {
			t.Error("applied in an outage")
		}
		setFaults(t, d.server, platformstub.Faults{})
		version = d.apply(2)
		time.Sleep(DefaultPollInterval + 10*time.Millisecond)
		d.want(version, append(d.entries, late, alone)...)
	})
}
