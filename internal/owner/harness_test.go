package owner

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/scheduler"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

const testDomain = "d"

// fixedManifest implements Manifests.
type fixedManifest struct{ m *structs.Manifest }

func (f fixedManifest) Current() *structs.Manifest { return f.m }
func (f fixedManifest) Version() uint64            { return f.m.Version }

func testManifest() *structs.Manifest {
	capacity := structs.WorkerCapacity{Accelerators: 8, CoresMilli: 64000, MemoryMB: 1 << 18, Slots: 8, Connections: 64}
	one := structs.Shape{Workers: 1, Accelerators: 1}
	return &structs.Manifest{
		APIVersion: structs.APIVersion, Version: 1, Weights: structs.Weights{Completion: 1},
		Hardware: []structs.Hardware{{Domain: testDomain, Zone: "z", Rack: "r", Class: "new", Workers: 2, WorkerCapacity: capacity}},
		Accounts: []structs.Account{
			{Name: "a", Domains: []string{testDomain}, Guarantee: []structs.Guarantee{{Shape: structs.Shape{Workers: 1, Accelerators: 8, Adjacency: structs.AdjacentWorker}}}},
			{Name: "b", Domains: []string{testDomain}},
		},
		Kinds: []structs.Kind{
			{Name: "test", Urgency: structs.Urgent, Idempotent: true, Shape: one, RunSeconds: 1},
			{Name: "order", Urgency: structs.Standard, Shape: one, RunSeconds: 1},
			{Name: "saved-order", Urgency: structs.Standard, Checkpointable: true, Shape: one, RunSeconds: 1},
			{Name: "pair", Urgency: structs.Standard, Idempotent: true, Shape: structs.Shape{Workers: 2, Accelerators: 8}, RunSeconds: 1},
		},
	}
}

// fakeAgents is a Caller that simulates the agents of a domain. A function in
// handlers replaces the default reply of a method.
type fakeAgents struct {
	mu       sync.Mutex
	handlers map[string]func(args any, reply any) error
	calls    []string
	gangs    map[string]structs.Gang
}

// handle replaces the reply of a method; with nil the default reply applies again.
func (f *fakeAgents) handle(method string, h func(args any, reply any) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers[method] = h
}

// count returns how often a method was called.
func (f *fakeAgents) count(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.calls {
		if c == method {
			n++
		}
	}
	return n
}

// gang returns the gang of a job's attempt as it was prepared, or an empty one.
func (f *fakeAgents) gang(jobID string, attempt int) structs.Gang {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, g := range f.gangs {
		if strings.HasPrefix(id, fmt.Sprintf("%s/%d/", jobID, attempt)) {
			return g
		}
	}
	return structs.Gang{}
}

// Call implements Caller.
func (f *fakeAgents) Call(ctx context.Context, _, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
	name := strings.TrimPrefix(method, "Agent.")
	f.mu.Lock()
	f.calls = append(f.calls, name)
	h := f.handlers[name]
	if p, ok := args.(*structs.PrepareArgs); ok {
		f.gangs[p.Gang.ID] = p.Gang
	}
	f.mu.Unlock()
	if h != nil {
		return h(args, reply)
	}
	if r, ok := reply.(*structs.GangReply); ok {
		r.Incarnation = 1
		r.Phase = map[string]structs.GangPhase{"Prepare": structs.PhasePrepared, "Commit": structs.PhaseReleased, "Abort": structs.PhaseAborted, "Status": structs.PhaseReleased}[name]
	}
	if r, ok := reply.(*structs.PreemptReply); ok {
		r.Phase, r.Stopped = structs.PhaseFailed, true
	}
	return ctx.Err()
}

// harness is an owner with a stub platform and fake agents.
type harness struct {
	t        *testing.T
	store    *platformstub.Server
	table    platformclient.Table
	batch    *platformclient.Batcher
	agents   *fakeAgents
	owner    *Owner
	manifest *structs.Manifest
	owners   []*Owner
	// announcedGangs are the gangs that the first agent announces to a new owner.
	announcedGangs []structs.GangReport
	health         platformclient.Health
	// heartbeats waits for the goroutines that send heartbeats.
	heartbeats sync.WaitGroup
}

// withHarness runs f with a new harness in a synctest bubble.
func withHarness(t *testing.T, f func(h *harness)) {
	t.Helper()
	withManifest(t, testManifest(), f)
}

// withManifest is withHarness with another manifest.
func withManifest(t *testing.T, m *structs.Manifest, f func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, store: platformstub.New(platformstub.Options{}), health: platformclient.HealthOK, manifest: m,
			agents: &fakeAgents{handlers: map[string]func(any, any) error{}, gangs: map[string]structs.Gang{}}}
		h.table = h.store.InProcess()
		h.batch = platformclient.NewBatcher(h.table, platformclient.BatchOptions{})
		defer h.close()
		h.owner = h.newOwner(1)
		f(h)
	})
}

func (h *harness) close() {
	for _, o := range h.owners {
		o.Stop()
		o.Wait()
	}
	h.heartbeats.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	h.batch.Close(ctx)
}

// newOwner starts an owner of the domain with two agents.
func (h *harness) newOwner(epoch uint32) *Owner {
	h.t.Helper()
	o := h.startOwner(epoch, Timing{LostAfter: time.Hour, SuspectAfter: time.Hour})
	h.announce(o, 0, 1, h.announcedGangs...)
	h.announce(o, 1, 1)
	time.Sleep(3 * time.Second) // until recovery has ended
	return o
}

// startOwner starts an owner of the domain without agents.
func (h *harness) startOwner(epoch uint32, timing Timing) *Owner {
	h.t.Helper()
	row := fmt.Sprintf(`{"domain":%q,"entryID":"e","epoch":%d}`, testDomain, epoch)
	const fence = "epochs/" + testDomain
	versions, err := h.table.Commit(context.Background(), platformclient.Txn{Puts: []platformclient.Put{
		{Key: "owners/" + testDomain, Value: []byte(row)}, {Key: fence, Value: []byte(row)},
	}})
	if err != nil {
		h.t.Fatal(err)
	}
	o := New(Config{
		Domain: testDomain, Epoch: epoch, EntryID: "e", Addr: "owner", Fence: platformclient.Check{Key: fence, Version: versions[fence]},
		Caller: h.agents, Manifests: fixedManifest{h.manifest},
		Entries: func() ([]structs.EntryInfo, uint64) { return nil, 1 },
		Table:   h.table, Objects: h.store.InProcess(), Batch: h.batch,
		Health: func() platformclient.Health { return h.health }, Schedule: scheduler.Schedule,
		OnHigherManifest: func(string, uint64) {}, OnHigherEpoch: func(uint32) {},
		Timing: timing,
	})
	h.owners = append(h.owners, o)
	o.Start()
	return o
}

func (h *harness) announce(o *Owner, i int, incarnation int64, gangs ...structs.GangReport) {
	h.t.Helper()
	_, err := o.Announce(&structs.AnnounceArgs{Gangs: gangs, Info: structs.AgentInfo{
		ID: fmt.Sprintf("w%d", i), Addr: fmt.Sprintf("agent%d", i), Incarnation: incarnation, Domain: testDomain,
		Zone: "z", Rack: "r", Class: "new", WorkerCapacity: testManifest().Hardware[0].WorkerCapacity,
	}})
	if err != nil {
		h.t.Fatal(err)
	}
}

func jobSpec(kind, key string) structs.JobSpec {
	return structs.JobSpec{Account: "a", Kind: kind, RequestKey: key}
}

func (h *harness) submit(s structs.JobSpec) structs.Job {
	h.t.Helper()
	job, err := h.owner.Submit(context.Background(), s, true)
	if err != nil {
		h.t.Fatalf("submit %s: %v", s.Kind, err)
	}
	return job
}

// awaitJob returns the record after wait, or as soon as it is final.
func (h *harness) awaitJob(id string, wait time.Duration) structs.Job {
	h.t.Helper()
	job, err := h.owner.Job(context.Background(), id, wait, true)
	if err != nil {
		h.t.Fatalf("job %s: %v", id, err)
	}
	return job
}

func (h *harness) expect(job structs.Job, state structs.JobState, v verdict.Verdict) {
	h.t.Helper()
	if job.State != state || job.Verdict != v {
		h.t.Fatalf("job %s is %s, %v; want %s, %v (%v)", job.ID, job.State, job.Verdict, state, v, job.Error)
	}
}

// reportFinished reports a result of an attempt's gang to o.
func (h *harness) reportFinished(o *Owner, jobID string, attempt int, data string) (bool, error) {
	g := h.agents.gang(jobID, attempt)
	return o.GangFinished(context.Background(), structs.GangOutcome{Gang: g, Phase: structs.PhaseFinished, Result: structs.NewResult(attempt, []byte(data)), Ran: time.Second})
}

func unavailable(any, any) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer")
}
