package agent

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

// network delivers calls between services in one process, so that tests can run on
// virtual time. Messages are encoded with gob as they are over TCP.
type network struct {
	mu       sync.Mutex
	services map[string]any // by address and service name
	down     map[string]bool
	// fault is called before each call is delivered. If it returns an error, the
	// call is not delivered; if it returns lose, the reply is lost.
	fault func(from, addr, method string) (lose bool, err error)
	calls map[string]int
}

func newNetwork() *network {
	return &network{services: map[string]any{}, down: map[string]bool{}, calls: map[string]int{}}
}

func (n *network) setFault(f func(from, addr, method string) (bool, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

func (n *network) setDown(addr string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[addr] = down
}

func (n *network) callCount(method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[method]
}

// node is the Caller of the process at addr.
type node struct {
	net  *network
	addr string
}

func (p node) Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
	name, fn, _ := strings.Cut(method, ".")
	p.net.mu.Lock()
	svc, fault := p.net.services[addr+"/"+name], p.net.fault
	down := p.net.down[addr] || p.net.down[p.addr]
	p.net.calls[method]++
	p.net.mu.Unlock()
	if svc == nil || down {
		return verdict.Refuse(verdict.CodeUnavailable, "connect to %s", addr)
	}
	lose := false
	if fault != nil {
		var err error
		if lose, err = fault(p.addr, addr, method); err != nil {
			return err
		}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, rpc.DefaultTimeout)
		defer cancel()
	}
	deadline, _ := ctx.Deadline()
	args.SetHeader(rpc.Header{Budget: time.Until(deadline), From: p.addr})
	m := reflect.ValueOf(svc).MethodByName(fn)
	in, out := reflect.New(m.Type().In(0).Elem()), reflect.New(m.Type().In(1).Elem())
	copyGob(args, in.Interface())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Call([]reflect.Value{in, out})
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: %v", method, ctx.Err())
	}
	p.net.mu.Lock()
	down = p.net.down[addr] || p.net.down[p.addr]
	p.net.mu.Unlock()
	if lose || down {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: reply lost", method)
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

// fakeOwner serves the RPC services Peer and Domain of an entry that owns the
// domain, and records what it receives.
type fakeOwner struct {
	mu    sync.Mutex
	owner structs.Owner
	// durable is what the reply to GangFinished reports.
	durable bool
	// manifestVersion is the manifest version in the replies.
	manifestVersion uint64
	announcements   []structs.AnnounceArgs
	heartbeats      []structs.HeartbeatArgs
	outcomes        []structs.GangOutcome
	// health is the health record of the worker in the replies, or nil.
	health *structs.WorkerHealth
}

func (o *fakeOwner) Owner(_ *structs.OwnerArgs, reply *structs.OwnerReply) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply.Owner = o.owner
	return nil
}

func (o *fakeOwner) ManifestDelta(args *structs.ManifestArgs, reply *structs.ManifestReply) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply.Version = o.manifestVersion
	reply.Delta = &structs.ManifestDelta{From: args.Have, To: o.manifestVersion}
	return nil
}

func (o *fakeOwner) Announce(args *structs.AnnounceArgs, reply *structs.HeartbeatReply) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.announcements = append(o.announcements, *args)
	reply.Epoch, reply.ManifestVersion, reply.Health = o.owner.Epoch, o.manifestVersion, o.health
	return nil
}

func (o *fakeOwner) Heartbeat(args *structs.HeartbeatArgs, reply *structs.HeartbeatReply) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heartbeats = append(o.heartbeats, *args)
	reply.Epoch, reply.ManifestVersion, reply.Health = o.owner.Epoch, o.manifestVersion, o.health
	reply.Announce = len(o.announcements) == 0
	if o.health != nil && o.health.Version == args.HealthVersion {
		reply.Health = nil
	}
	return nil
}

func (o *fakeOwner) GangFinished(args *structs.GangFinishedArgs, reply *structs.GangFinishedReply) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes = append(o.outcomes, args.Outcome)
	reply.Durable = o.durable
	return nil
}

func (o *fakeOwner) update(f func(*fakeOwner)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o)
}

// received returns copies of the announcements and outcomes received.
func (o *fakeOwner) received() ([]structs.AnnounceArgs, []structs.GangOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.announcements), slices.Clone(o.outcomes)
}

// outcome returns the last outcome of the gang, or nil.
func (o *fakeOwner) outcome(gangID string) *structs.GangOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := len(o.outcomes) - 1; i >= 0; i-- {
		if o.outcomes[i].Gang.ID == gangID {
			return &o.outcomes[i]
		}
	}
	return nil
}

// cluster is an owner and a number of agents with stub workers.
type cluster struct {
	t       *testing.T
	net     *network
	owner   *fakeOwner
	agents  []*Agent
	workers []*workerstub.Worker
	cancels []context.CancelFunc
	runs    []*agentRun
	counter uint32
}

// agentRun is a call of Run; err is set when done is closed.
type agentRun struct {
	done chan struct{}
	err  error
}

const ownerAddr = "owner:1"

// newCluster starts an owner and a number of agents. change, if not nil, modifies the
// configuration of agent i.
func newCluster(t *testing.T, size int, change func(i int, c *Config)) *cluster {
	c := &cluster{t: t, net: newNetwork(), owner: &fakeOwner{durable: true}}
	c.owner.owner = structs.Owner{Domain: "d", EntryID: "e1", Addr: ownerAddr, Epoch: 1}
	c.net.services[ownerAddr+"/Peer"] = c.owner
	c.net.services[ownerAddr+"/Domain"] = c.owner
	for i := range size {
		w := workerstub.New(workerstub.Config{Accelerators: 8, CoresMilli: 64000, MemoryMB: 1 << 18, Slots: 8})
		c.workers = append(c.workers, w)
		c.agents = append(c.agents, nil)
		c.cancels = append(c.cancels, nil)
		c.runs = append(c.runs, nil)
		c.start(i, change)
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) close() {
	for i := range c.agents {
		c.kill(i)
		c.workers[i].Close()
	}
}

func agentAddr(i int) string { return fmt.Sprintf("agent:%d", i) }

// start starts agent i and waits until it is ready.
func (c *cluster) start(i int, change func(i int, c *Config)) {
	c.t.Helper()
	cfg := Config{
		Info:    structs.AgentInfo{ID: fmt.Sprintf("a%d", i), Addr: agentAddr(i), Domain: "d"},
		Entries: []string{ownerAddr}, Pool: node{c.net, agentAddr(i)}, Worker: c.workers[i],
	}
	if change != nil {
		change(i, &cfg)
	}
	a, err := New(cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	c.net.mu.Lock()
	c.net.services[agentAddr(i)+"/Agent"] = &service{a}
	c.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	run := &agentRun{done: make(chan struct{})}
	go func() {
		defer close(run.done)
		run.err = a.Run(ctx)
	}()
	c.agents[i], c.cancels[i], c.runs[i] = a, cancel, run
	c.eventually("agent ready", func() bool { return a.notReady() == "" })
}

// kill stops agent i without a drain; its calls fail from then on.
func (c *cluster) kill(i int) {
	c.net.mu.Lock()
	delete(c.net.services, agentAddr(i)+"/Agent")
	c.net.mu.Unlock()
	c.cancels[i]()
	<-c.runs[i].done
}

// eventually waits until f returns true, and fails the test after 30 s.
func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	for range 3000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}

// gang returns a gang with one accelerator on each of the agents.
func (c *cluster) gang(payload string, agents ...int) structs.Gang {
	c.counter++
	fence := structs.NewFence(1, c.counter)
	g := structs.Gang{
		JobID: fmt.Sprintf("acme.%020d", c.counter), Attempt: 1, Fence: fence, Domain: "d",
		Payload: []byte(payload), CoresMilli: 1000, MemoryMB: 100,
	}
	g.ID = fmt.Sprintf("%s/1/%x", g.JobID, uint64(fence))
	for _, i := range agents {
		g.Members = append(g.Members, structs.Member{AgentID: fmt.Sprintf("a%d", i), Addr: agentAddr(i), Accelerators: 1})
	}
	return g
}

// prepare calls Prepare at all ranks.
func (c *cluster) prepare(g structs.Gang) error {
	for r, m := range g.Members {
		args := &structs.PrepareArgs{Gang: g, Rank: r, TTL: DefaultPrepareTTL}
		if err := c.call(m.Addr, "Agent.Prepare", args, &structs.GangReply{}); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) call(addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
	return node{c.net, ownerAddr}.Call(context.Background(), addr, method, args, reply)
}

// callGang calls a gang method at rank r.
func (c *cluster) callGang(g structs.Gang, r int, method string) (structs.GangPhase, error) {
	reply := &structs.GangReply{}
	err := c.call(g.Members[r].Addr, "Agent."+method, &structs.GangArgs{GangID: g.ID, Fence: g.Fence}, reply)
	return reply.Phase, err
}

// startGang prepares and commits a gang, and fails the test unless it is released.
func (c *cluster) startGang(g structs.Gang) {
	c.t.Helper()
	if err := c.prepare(g); err != nil {
		c.t.Fatalf("prepare: %v", err)
	}
	if phase, err := c.callGang(g, 0, "Commit"); err != nil || phase != structs.PhaseReleased {
		c.t.Fatalf("commit: phase %s, error %v", phase, err)
	}
}

// awaitOutcome waits for the gang's outcome at the owner.
func (c *cluster) awaitOutcome(g structs.Gang) structs.GangOutcome {
	c.t.Helper()
	c.eventually("outcome of "+g.ID, func() bool { return c.owner.outcome(g.ID) != nil })
	return *c.owner.outcome(g.ID)
}

// taskStarts counts the task starts of a gang at worker i.
func (c *cluster) taskStarts(i int, g structs.Gang) int {
	n := 0
	for _, e := range c.workers[i].History() {
		if e.GangID == g.ID && e.Event == workerstub.EventStart {
			n++
		}
	}
	return n
}

// checkIdle fails the test unless every live agent ends up with an empty ledger and
// no result memory in use.
func (c *cluster) checkIdle() {
	c.t.Helper()
	for i, a := range c.agents {
		select {
		case <-c.runs[i].done:
			continue
		default:
		}
		c.eventually(fmt.Sprintf("agent %d idle", i), func() bool {
			busy := a.ledger.anyGang() != nil
			a.outbox.mu.Lock()
			defer a.outbox.mu.Unlock()
			return !busy && a.outbox.used == 0
		})
	}
}
