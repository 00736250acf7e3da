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

// network is a Caller that delivers calls to controllers in this process.
type network struct {
	mu           sync.Mutex
	controllers  map[string]*Controller
	disconnected map[string]bool
	calls        map[string]int
}

func (n *network) Call(_ context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
	n.mu.Lock()
	c, disconnected := n.controllers[addr], n.disconnected[addr]
	n.calls[method]++
	n.mu.Unlock()
	if c == nil || disconnected {
		return verdict.Refuse(verdict.CodeUnavailable, "%s is disconnected", addr)
	}
	if method == peerChanged {
		return c.ServeChanged(args.(*structs.ManifestArgs), reply.(*structs.ManifestReply))
	}
	return c.ServeDelta(args.(*structs.ManifestArgs), reply.(*structs.ManifestReply))
}

func (n *network) setDisconnected(addr string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[addr] = disconnected
}

// start runs a controller at addr. An agent has no store.
func (n *network) start(ctx context.Context, wg *sync.WaitGroup, addr string, store *Store, entries []structs.EntryInfo) *Controller {
	c := NewController(ControllerOptions{Holder: &Holder{}, Caller: n, Store: store, SelfID: addr, Entries: func() []structs.EntryInfo { return entries }})
	n.mu.Lock()
	n.controllers[addr] = c
	n.mu.Unlock()
	wg.Go(func() { c.Run(ctx) })
	return c
}

// deployment has three entries, e0 to e2, and an agent, a1, in a synctest bubble.
type deployment struct {
	*network
	t        *testing.T
	ctx      context.Context
	wg       sync.WaitGroup
	server   *platformstub.Server
	manifest *structs.Manifest
	known    []structs.EntryInfo
	entries  []*Controller
	agent    *Controller
}

// newDeployment starts the processes; the returned function stops them.
func newDeployment(t *testing.T, m *structs.Manifest) (*deployment, func()) {
	d := &deployment{t: t, manifest: m, server: platformstub.New(platformstub.Options{}),
		network: &network{controllers: map[string]*Controller{}, disconnected: map[string]bool{}, calls: map[string]int{}}}
	ctx, cancel := context.WithCancel(t.Context())
	d.ctx = ctx
	for i := range 3 {
		addr := fmt.Sprintf("e%d", i)
		d.known = append(d.known, structs.EntryInfo{ID: addr, RPCAddr: addr})
	}
	for _, e := range d.known {
		d.entries = append(d.entries, d.startEntry(e.ID, d.known))
	}
	d.agent = d.start(ctx, &d.wg, "a1", nil, nil)
	return d, func() {
		cancel()
		d.wg.Wait()
	}
}

func (d *deployment) startEntry(addr string, known []structs.EntryInfo) *Controller {
	return d.start(d.ctx, &d.wg, addr, &Store{Table: d.server.InProcess()}, known)
}

// apply applies the manifest through entry i and returns its new version.
func (d *deployment) apply(i int) uint64 {
	d.t.Helper()
	d.manifest.Parent = d.entries[i].options.Holder.Version()
	accepted, err := d.entries[i].Apply(d.ctx, d.manifest)
	if err != nil {
		d.t.Fatal(err)
	}
	return accepted.Version
}

// checkVersion checks that the listed controllers have the version in force.
func (d *deployment) checkVersion(version uint64, list ...*Controller) {
	d.t.Helper()
	for _, c := range list {
		if v := c.options.Holder.Version(); v != version {
			d.t.Errorf("%s has version %d, want %d", c.options.SelfID, v, version)
		}
	}
}

// Guards against an accepted manifest that does not reach every process within 3 s by push,
// poll or notice, and against a process that returns to a lower version.
func TestManifestReachesAllProcesses(t *testing.T) {
	m := mustDecode(t, readExample(t, "al-wusta.yaml"))
	synctest.Test(t, func(t *testing.T) {
		d, stop := newDeployment(t, m)
		defer stop()
		d.checkVersion(d.apply(0), d.entries...)
		// One entry misses the push.
		d.setDisconnected("e2", true)
		version := d.apply(1)
		d.checkVersion(version, d.entries[0], d.entries[1])
		// It lacks the parent version at the next push, and gets both versions.
		d.setDisconnected("e2", false)
		version = d.apply(0)
		d.checkVersion(version, d.entries...)
		d.setDisconnected("e2", true)
		version = d.apply(0)
		time.Sleep(DefaultPollInterval + 10*time.Millisecond)
		d.checkVersion(version, d.entries...)
		d.agent.NoticeVersion("e1", version)
		synctest.Wait()
		d.checkVersion(version, d.agent)
		// Lower versions have no effect and are not fetched.
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
			t.Error("a lower version was fetched")
		}
	})
}

// Guards against an entry that starts during an outage of the table and does not get the
// manifest that its peers or agents have.
func TestManifestSpreadsDuringOutage(t *testing.T) {
	m := mustDecode(t, readExample(t, "al-wusta.yaml"))
	synctest.Test(t, func(t *testing.T) {
		d, stop := newDeployment(t, m)
		defer stop()
		version := d.apply(0)
		d.agent.NoticeVersion("e1", version)
		synctest.Wait()
		setFaults(t, d.server, platformstub.Faults{TableDown: true})
		late := d.startEntry("e3", d.known)
		time.Sleep(2 * time.Second)
		d.checkVersion(version, late)
		alone := d.startEntry("e4", nil)
		time.Sleep(2 * time.Second)
		d.checkVersion(0, alone)
		alone.NoticeAgentVersion("a1", version)
		synctest.Wait()
		d.checkVersion(version, alone)
		if _, err := d.entries[0].Apply(d.ctx, m); err == nil {
			t.Error("a manifest was applied during an outage")
		}
		setFaults(t, d.server, platformstub.Faults{})
		version = d.apply(2)
		time.Sleep(DefaultPollInterval + 10*time.Millisecond)
		d.checkVersion(version, append(d.entries, late, alone)...)
	})
}
