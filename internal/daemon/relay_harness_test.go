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

// relayNet carries calls between the processes of a test on virtual time.
type relayNet struct {
	mu       sync.Mutex
	services map[string]any // by address and service name
	cut      map[string]bool
	frozen   map[string]chan struct{}
	loseFrom string // calls of this method lose their answers
	calls    map[string]int
}

// relayNode is one process's view of the network.
type relayNode struct {
	net     *relayNet
	addr    string
	version func() uint64
}

func (n *relayNet) set(f func(*relayNet)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n)
}

// called returns how often a method was called at an address since the last
// reset.
func (n *relayNet) called(addr, method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[addr+" "+method]
}

func (n *relayNet) reset() { n.set(func(n *relayNet) { clear(n.calls) }) }

// thawed waits until neither process is frozen.
func (n *relayNet) thawed(ctx context.Context, addrs ...string) bool {
	for _, addr := range addrs {
		n.mu.Lock()
		gate := n.frozen[addr]
		n.mu.Unlock()
		if gate == nil {
			continue
		}
		select {
		case <-gate:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (p relayNode) Call(ctx context.Context, addr, method string, args rpc.Headed, reply rpc.Failer) error {
	name, fn, _ := strings.Cut(method, ".")
	deadline, ok := ctx.Deadline()
	if !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, rpc.DefaultTimeout)
		defer cancel()
		deadline, _ = ctx.Deadline()
	}
	p.net.mu.Lock()
	svc, cut, lose := p.net.services[addr+"/"+name], p.net.cut[p.addr+">"+addr], p.net.loseFrom == method
	p.net.calls[addr+" "+method]++
	p.net.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: %v", method, ctx.Err())
	case svc == nil:
		return verdict.Refuse(verdict.CodeUnavailable, "connect to %s", addr)
	}
	args.SetHeader(rpc.Header{Budget: time.Until(deadline), From: strings.TrimSuffix(p.addr, ":1"), ManifestVersion: p.version()})
	m := reflect.ValueOf(svc).MethodByName(fn)
	in, out := reflect.New(m.Type().In(0).Elem()), reflect.New(m.Type().In(1).Elem())
	copyGob(args, in.Interface())
	done := make(chan struct{})
	go func() {
		// A frozen process handles the call after it goes on, however late.
		if p.net.thawed(context.Background(), p.addr, addr) {
			m.Call([]reflect.Value{in, out})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: %v", method, ctx.Err())
	}
	if lose {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: answer lost", method)
	}
	copyGob(out.Interface(), reply)
	if f := reply.Failure(); f != nil {
		return f
	}
	return nil
}

func copyGob(from, to any) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&b).Decode(to); err != nil {
		panic(err)
	}
}

// relayEntry is an entry of the harness, without HTTP and ownership rows.
type relayEntry struct {
	id, addr string
	node     relayNode
	holder   *manifest.Holder
	relay    *membership.Relay
	domains  *owner.Service
	stop     context.CancelFunc
}

// relayRig is a domain of real agents, relays and an owner in one process.
type relayRig struct {
	t       *testing.T
	net     *relayNet
	store   *platformstub.Server
	batch   *platformclient.Batcher
	entries []*relayEntry
	mu      sync.Mutex
	owner   structs.Owner
	current *owner.Owner
	set     []structs.EntryInfo
	setNo   uint64
	agents  []context.CancelFunc
	workers []*workerstub.Worker
	wg      sync.WaitGroup
	owners  []*owner.Owner
}

const (
	relayDomain    = "d"
	relayAgents    = 12
	relayThreshold = 4
)

// relayPeer is the service Peer of an entry.
type relayPeer struct {
	r *relayRig
	e *relayEntry
}

func (p *relayPeer) Owner(_ *structs.OwnerArgs, reply *structs.OwnerReply) error {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	reply.Owner, reply.Entries = p.r.owner, p.r.set
	return nil
}

func (p *relayPeer) ManifestDelta(args *structs.ManifestArgs, reply *structs.ManifestReply) error {
	reply.Version, reply.Delta = p.e.holder.Version(), p.e.holder.Delta(args.Have)
	return nil
}

func (r *relayRig) known() ([]structs.EntryInfo, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set, r.setNo
}

// runRelay runs f with agents that are spread over three entries, of which e1 is
// the owner.
func runRelay(t *testing.T, f func(r *relayRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &relayRig{t: t, store: platformstub.New(platformstub.Options{}), net: &relayNet{
			services: map[string]any{}, cut: map[string]bool{}, frozen: map[string]chan struct{}{}, calls: map[string]int{},
		}}
		r.batch = platformclient.NewBatch(r.store.InProcess(), platformclient.BatchOptions{})
		defer r.close()
		for i := range 3 {
			r.startEntry(fmt.Sprintf("e%d", i+1))
		}
		r.own(0, 1)
		for i := range relayAgents {
			r.startAgent(i)
		}
		time.Sleep(6 * time.Second)
		r.net.reset()
		time.Sleep(10 * time.Second)
		for _, e := range r.entries {
			if n := r.net.called(e.addr, "Relay.Heartbeat"); n == 0 || n%10 != 0 {
				t.Fatalf("%s received %d heartbeats in 10 s", e.id, n)
			}
		}
		r.expectHeartbeats(10)
		f(r)
	})
}

// expectHeartbeats fails unless every agent sent one heartbeat a second, to the
// owner or to a relay.
func (r *relayRig) expectHeartbeats(seconds int) {
	r.t.Helper()
	n := 0
	for _, e := range r.entries {
		n += r.net.called(e.addr, "Relay.Heartbeat") + r.net.called(e.addr, "Domain.Heartbeat")
	}
	if n != relayAgents*seconds {
		r.t.Errorf("%d heartbeats in %d s", n, seconds)
	}
}

func (r *relayRig) close() {
	for _, stop := range r.agents {
		stop()
	}
	for _, e := range r.entries {
		e.stop()
	}
	r.net.set(func(n *relayNet) {
		for addr, gate := range n.frozen {
			close(gate)
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
	r.batch.Close(ctx)
}

func (r *relayRig) startEntry(id string) *relayEntry {
	addr := id + ":1"
	holder := &manifest.Holder{}
	holder.Set(&structs.Manifest{APIVersion: structs.APIVersion, Version: 1})
	e := &relayEntry{id: id, addr: addr, holder: holder, domains: owner.NewService(), node: relayNode{r.net, addr, holder.Version}}
	e.relay = membership.NewRelay(membership.RelayOptions{
		Caller: e.node, Version: holder.Version, Entries: r.known,
		NoticeAgent: func(string, uint64) {}, NoticeOwner: func(string, uint64) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	r.wg.Go(func() { e.relay.Run(ctx) })
	r.net.set(func(n *relayNet) {
		n.services[addr+"/Domain"], n.services[addr+"/Peer"], n.services[addr+"/Relay"] = e.domains, &relayPeer{r, e}, &relayService{e.relay}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
	r.set = append(r.set[:len(r.set):len(r.set)], structs.EntryInfo{ID: id, RPCAddr: addr, Domains: []string{relayDomain}})
	r.setNo++
	return e
}

// kill ends an entry without any farewell.
func (r *relayRig) kill(i int) {
	e := r.entries[i]
	r.net.set(func(n *relayNet) {
		for _, service := range []string{"Domain", "Peer", "Relay"} {
			delete(n.services, e.addr+"/"+service)
		}
	})
	e.stop()
	for _, o := range e.domains.Owners() {
		o.Stop()
	}
}

// freeze stops an entry's network until the returned function is called.
func (r *relayRig) freeze(i int) (thaw func()) {
	gate, addr := make(chan struct{}), r.entries[i].addr
	r.net.set(func(n *relayNet) { n.frozen[addr] = gate })
	return func() {
		r.net.set(func(n *relayNet) { delete(n.frozen, addr) })
		close(gate)
	}
}

// own makes an entry the owner.
func (r *relayRig) own(i int, epoch uint32) *owner.Owner {
	e := r.entries[i]
	o := owner.New(owner.Config{
		Domain: relayDomain, Epoch: epoch, Fence: platformclient.Check{Key: "epochs/" + relayDomain}, EntryID: e.id, Addr: e.addr, Caller: e.node, Manifests: e.holder, Entries: r.known,
		Table: r.store.InProcess(), Objects: r.store.InProcess(), Batch: r.batch, Health: func() platformclient.Health { return platformclient.HealthOK },
		Schedule: scheduler.Schedule, NoticeManifest: func(string, uint64) {}, NoticeEpoch: func(uint32) {}, RelayThreshold: relayThreshold,
	})
	if old := e.domains.Set(o); old != nil {
		old.Stop()
	}
	r.mu.Lock()
	r.owner = structs.Owner{Domain: relayDomain, EntryID: e.id, Addr: e.addr, Epoch: epoch}
	r.current = o
	r.owners = append(r.owners, o)
	r.mu.Unlock()
	o.Start()
	return o
}

func (r *relayRig) startAgent(i int) {
	w := workerstub.New(workerstub.Config{Accelerators: 1, CoresMilli: 64000, MemoryMB: 1 << 18, Slots: 8})
	holder := &manifest.Holder{}
	addr := fmt.Sprintf("a%d:1", i)
	a, err := agent.New(agent.Config{
		Info:    structs.AgentInfo{ID: fmt.Sprintf("a%d", i), Addr: addr, Domain: relayDomain},
		Entries: []string{"e1:1", "e2:1", "e3:1"}, Pool: relayNode{r.net, addr, holder.Version}, Worker: w, Manifest: holder,
	})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.workers = append(r.workers, w)
	r.agents = append(r.agents, cancel)
	// Heartbeats are spread over the second, and none falls on the tick of a
	// report: in virtual time it would do so every time, and an agent that is to
	// turn to the owner, as of then, would not be told for seconds.
	time.Sleep(38 * time.Millisecond)
	r.wg.Go(func() { _ = a.Run(ctx) })
	time.Sleep(39 * time.Millisecond)
}

// states returns the states of the agents at the present owner.
func (r *relayRig) states() map[string]structs.WorkerView {
	r.t.Helper()
	r.mu.Lock()
	o := r.current
	r.mu.Unlock()
	view, err := o.View(&structs.ViewArgs{Domain: relayDomain})
	if err != nil {
		r.t.Fatal(err)
	}
	states := map[string]structs.WorkerView{}
	for _, w := range view.Workers {
		states[w.ID] = w
	}
	return states
}

// watch looks at the agents for a time, and returns for how long each was
// suspected. It fails if one is lost.
func (r *relayRig) watch(d time.Duration) map[string]time.Duration {
	r.t.Helper()
	const step = 50 * time.Millisecond
	suspected := map[string]time.Duration{}
	for range d / step {
		time.Sleep(step)
		for id, w := range r.states() {
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
