package daemon

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/agent"
	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/internal/membership"
	"github.com/parsleypier/parsleypier/internal/owner"
	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/scheduler"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// fakeNetwork carries RPC calls between the entries and agents of a test, which run
// in one process in virtual time.
type fakeNetwork struct {
	mu            sync.Mutex
	services      map[string]any           // by address and service name
	cutLinks      map[string]bool          // by "from>to", addresses
	frozen        map[string]chan struct{} // by address; closed when it is unfrozen
	loseRepliesOf string                   // replies to this method are lost
	calls         map[string]int           // by address and method
}

// networkNode makes the calls of one entry or agent. It implements the RPC pool.
type networkNode struct {
	network *fakeNetwork
	addr    string
	version func() uint64
}

// update calls f with the lock held.
func (n *fakeNetwork) update(f func(*fakeNetwork)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n)
}

// callCount returns how often a method was called at an address since the last
// resetCalls.
func (n *fakeNetwork) callCount(addr, method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[addr+" "+method]
}

func (n *fakeNetwork) resetCalls() { n.update(func(n *fakeNetwork) { clear(n.calls) }) }

// waitUnfrozen waits until none of the addresses is frozen. It returns false if ctx
// ends first.
func (n *fakeNetwork) waitUnfrozen(ctx context.Context, addrs ...string) bool {
	for _, addr := range addrs {
		n.mu.Lock()
		unfrozen := n.frozen[addr]
		n.mu.Unlock()
		if unfrozen == nil {
			continue
		}
		select {
		case <-unfrozen:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Call calls the service at addr by reflection, with copies of arguments and reply
// as net/rpc makes them.
func (p networkNode) Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
	name, methodName, _ := strings.Cut(method, ".")
	deadline, ok := ctx.Deadline()
	if !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, rpc.DefaultTimeout)
		defer cancel()
		deadline, _ = ctx.Deadline()
	}
	p.network.mu.Lock()
	service, cut, loseReply := p.network.services[addr+"/"+name], p.network.cutLinks[p.addr+">"+addr], p.network.loseRepliesOf == method
	p.network.calls[addr+" "+method]++
	p.network.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: %v", method, ctx.Err())
	case service == nil:
		return verdict.Refuse(verdict.CodeUnavailable, "connect to %s", addr)
	}
	args.SetHeader(rpc.Header{Budget: time.Until(deadline), From: strings.TrimSuffix(p.addr, ":1"), ManifestVersion: p.version()})
	m := reflect.ValueOf(service).MethodByName(methodName)
	in, out := reflect.New(m.Type().In(0).Elem()), reflect.New(m.Type().In(1).Elem())
	copyGob(args, in.Interface())
	done := make(chan struct{})
	go func() {
		// A frozen process handles the call when it is unfrozen, however late.
		if p.network.waitUnfrozen(context.Background(), p.addr, addr) {
			m.Call([]reflect.Value{in, out})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: %v", method, ctx.Err())
	}
	if loseReply {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: reply lost", method)
	}
	copyGob(out.Interface(), reply)
	if f := reply.Failure(); f != nil {
		return f
	}
	return nil
}

// copyGob copies from into to by encoding and decoding it.
func copyGob(from, to any) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&b).Decode(to); err != nil {
		panic(err)
	}
}

// relayEntry is an entry without the HTTP server and without ownership rows in the
// store.
type relayEntry struct {
	id, addr string
	node     networkNode
	holder   *manifest.Holder
	relay    *membership.Relay
	owners   *owner.Service
	stop     context.CancelFunc
}

// relayCluster is a domain of real agents, relays and an owner in one process.
type relayCluster struct {
	t               *testing.T
	network         *fakeNetwork
	store           *platformstub.Server
	batcher         *platformclient.Batcher
	entries         []*relayEntry
	mu              sync.Mutex
	owner           structs.Owner
	currentOwner    *owner.Owner
	entrySet        []structs.EntryInfo // entries that are known to all processes
	entrySetVersion uint64
	stopAgents      []context.CancelFunc // by index of the agent
	workers         []*workerstub.Worker
	wg              sync.WaitGroup
	owners          []*owner.Owner // all that were started
}

const (
	relayDomain    = "d"
	relayAgents    = 12
	relayThreshold = 4
)

// relayPeer is the service Peer of an entry.
type relayPeer struct {
	cluster *relayCluster
	entry   *relayEntry
}

func (p *relayPeer) Owner(_ *structs.OwnerArgs, reply *structs.OwnerReply) error {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	reply.Owner, reply.Entries = p.cluster.owner, p.cluster.entrySet
	return nil
}

func (p *relayPeer) ManifestDelta(args *structs.ManifestArgs, reply *structs.ManifestReply) error {
	reply.Version, reply.Delta = p.entry.holder.Version(), p.entry.holder.Delta(args.Have)
	return nil
}

func (r *relayCluster) knownEntries() ([]structs.EntryInfo, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entrySet, r.entrySetVersion
}

// runRelayTest runs f in virtual time with relayAgents agents that send their
// heartbeats to three entries. Entry e1 is the owner.
func runRelayTest(t *testing.T, f func(r *relayCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &relayCluster{t: t, store: platformstub.New(platformstub.Options{}), network: &fakeNetwork{
			services: map[string]any{}, cutLinks: map[string]bool{}, frozen: map[string]chan struct{}{}, calls: map[string]int{},
		}}
		r.batcher = platformclient.NewBatcher(r.store.InProcess(), platformclient.BatchOptions{})
		defer r.close()
		for i := range 3 {
			r.startEntry(fmt.Sprintf("e%d", i+1))
		}
		r.setOwner(0, 1)
		for i := range relayAgents {
			r.startAgent(i)
		}
		// The agents announce themselves and begin to use relays.
		time.Sleep(6 * time.Second)
		r.network.resetCalls()
		time.Sleep(10 * time.Second)
		for _, e := range r.entries {
			if n := r.network.callCount(e.addr, "Relay.Heartbeat"); n == 0 || n%10 != 0 {
				t.Fatalf("%s received %d heartbeats in 10 s", e.id, n)
			}
		}
		r.expectHeartbeats(10)
		f(r)
	})
}

// expectHeartbeats fails unless every agent sent one heartbeat a second, to the
// owner or to a relay.
func (r *relayCluster) expectHeartbeats(seconds int) {
	r.t.Helper()
	n := 0
	for _, e := range r.entries {
		n += r.network.callCount(e.addr, "Relay.Heartbeat") + r.network.callCount(e.addr, "Domain.Heartbeat")
	}
	if n != relayAgents*seconds {
		r.t.Errorf("%d heartbeats in %d s", n, seconds)
	}
}

func (r *relayCluster) close() {
	for _, stop := range r.stopAgents {
		stop()
	}
	for _, e := range r.entries {
		e.stop()
	}
	r.network.update(func(n *fakeNetwork) {
		for addr, unfrozen := range n.frozen {
			close(unfrozen)
			delete(n.frozen, addr)
		}
	})
	for _, o := range r.owners {
		o.Stop()
		o.Wait()
	}
	r.wg.Wait()
	for _, w := range r.workers {
		w.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r.batcher.Close(ctx)
}

// startEntry starts an entry and adds it to the known entries.
func (r *relayCluster) startEntry(id string) *relayEntry {
	addr := id + ":1"
	holder := &manifest.Holder{}
	holder.Set(&structs.Manifest{APIVersion: structs.APIVersion, Version: 1})
	e := &relayEntry{id: id, addr: addr, holder: holder, owners: owner.NewService(), node: networkNode{r.network, addr, holder.Version}}
	e.relay = membership.NewRelay(membership.RelayOptions{
		Caller: e.node, Version: holder.Version, Entries: r.knownEntries,
		OnAgentVersion: func(string, uint64) {}, OnOwnerVersion: func(string, uint64) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	r.wg.Go(func() { e.relay.Run(ctx) })
	r.network.update(func(n *fakeNetwork) {
		n.services[addr+"/Domain"], n.services[addr+"/Peer"], n.services[addr+"/Relay"] = e.owners, &relayPeer{r, e}, &relayService{e.relay}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
	r.entrySet = append(r.entrySet[:len(r.entrySet):len(r.entrySet)], structs.EntryInfo{ID: id, RPCAddr: addr, Domains: []string{relayDomain}})
	r.entrySetVersion++
	return e
}

// kill stops an entry without a graceful shutdown.
func (r *relayCluster) kill(i int) {
	e := r.entries[i]
	r.network.update(func(n *fakeNetwork) {
		for _, service := range []string{"Domain", "Peer", "Relay"} {
			delete(n.services, e.addr+"/"+service)
		}
	})
	e.stop()
	for _, o := range e.owners.Owners() {
		o.Stop()
	}
}

// freeze delays all calls from and to an entry until the returned function is
// called.
func (r *relayCluster) freeze(i int) (unfreeze func()) {
	unfrozen, addr := make(chan struct{}), r.entries[i].addr
	r.network.update(func(n *fakeNetwork) { n.frozen[addr] = unfrozen })
	return func() {
		r.network.update(func(n *fakeNetwork) { delete(n.frozen, addr) })
		close(unfrozen)
	}
}

// setOwner starts an owner of the domain at an entry.
func (r *relayCluster) setOwner(i int, epoch uint32) *owner.Owner {
	e := r.entries[i]
	o := owner.New(owner.Config{
		Domain: relayDomain, Epoch: epoch, Fence: platformclient.Check{Key: "epochs/" + relayDomain}, EntryID: e.id, Addr: e.addr, Caller: e.node, Manifests: e.holder, Entries: r.knownEntries,
		Table: r.store.InProcess(), Objects: r.store.InProcess(), Batch: r.batcher, Health: func() platformclient.Health { return platformclient.HealthOK },
		Schedule: scheduler.Schedule, OnHigherManifest: func(string, uint64) {}, OnHigherEpoch: func(uint32) {}, RelayThreshold: relayThreshold,
	})
	if old := e.owners.Set(o); old != nil {
		old.Stop()
	}
	r.mu.Lock()
	r.owner = structs.Owner{Domain: relayDomain, EntryID: e.id, Addr: e.addr, Epoch: epoch}
	r.currentOwner = o
	r.owners = append(r.owners, o)
	r.mu.Unlock()
	o.Start()
	return o
}

func (r *relayCluster) startAgent(i int) {
	w := workerstub.New(workerstub.Config{Accelerators: 1, CoresMilli: 64000, MemoryMB: 1 << 18, Slots: 8})
	holder := &manifest.Holder{}
	addr := fmt.Sprintf("a%d:1", i)
	a, err := agent.New(agent.Config{
		Info:    structs.AgentInfo{ID: fmt.Sprintf("a%d", i), Addr: addr, Domain: relayDomain},
		Entries: []string{"e1:1", "e2:1", "e3:1"}, Pool: networkNode{r.network, addr, holder.Version}, Worker: w, Manifest: holder,
	})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.workers = append(r.workers, w)
	r.stopAgents = append(r.stopAgents, cancel)
	// The agents start 77 ms apart, so that their heartbeats are spread over a
	// second and none coincides with a relay's report. In virtual time it would do
	// so every second, and an agent that must send its heartbeats to the owner would
	// not be told so for seconds.
	time.Sleep(38 * time.Millisecond)
	r.wg.Go(func() { _ = a.Run(ctx) })
	time.Sleep(39 * time.Millisecond)
}

// workerViews returns the workers by agent ID as seen by the current owner.
func (r *relayCluster) workerViews() map[string]structs.WorkerView {
	r.t.Helper()
	r.mu.Lock()
	o := r.currentOwner
	r.mu.Unlock()
	view, err := o.View(&structs.ViewArgs{Domain: relayDomain})
	if err != nil {
		r.t.Fatal(err)
	}
	views := map[string]structs.WorkerView{}
	for _, w := range view.Workers {
		views[w.ID] = w
	}
	return views
}

// suspectedFor polls the states of the agents for the duration d and returns for how
// long each of them was suspect. It fails the test if an agent is lost.
func (r *relayCluster) suspectedFor(d time.Duration) map[string]time.Duration {
	r.t.Helper()
	const step = 50 * time.Millisecond
	suspected := map[string]time.Duration{}
	for range d / step {
		time.Sleep(step)
		for id, w := range r.workerViews() {
			switch w.State {
			case structs.WorkerSuspect:
				suspected[id] += step
			case structs.WorkerLost:
				r.t.Fatalf("%s is lost", id)
			}
		}
	}
	return suspected
}
