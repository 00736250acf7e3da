package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"))
}

// fakeOwner serves the RPC service Domain on a real RPC server. The functions
// onSubmit, onJob and onCancel replace the default replies.
type fakeOwner struct {
	addr string
	stop func()

	mu                    sync.Mutex
	submitCalls, jobCalls int
	onSubmit              func(n int, args *structs.SubmitArgs, reply *structs.JobReply)
	onJob                 func(n int, args *structs.JobArgs, reply *structs.JobReply)
	onCancel              func(args *structs.CancelArgs, reply *structs.CancelReply)
	view                  structs.DomainView
	submitted             []structs.JobSpec
	resultData            []byte
}

func (o *fakeOwner) Submit(args *structs.SubmitArgs, reply *structs.JobReply) error {
	o.mu.Lock()
	o.submitCalls++
	n := o.submitCalls
	o.submitted = append(o.submitted, args.Spec)
	o.mu.Unlock()
	if o.onSubmit != nil {
		o.onSubmit(n, args, reply)
		return nil
	}
	reply.Job = newRecord(args.Spec, structs.JobRunning)
	reply.Job.Domain = args.Domain
	return nil
}

func (o *fakeOwner) Job(args *structs.JobArgs, reply *structs.JobReply) error {
	o.mu.Lock()
	o.jobCalls++
	n := o.jobCalls
	o.mu.Unlock()
	if o.onJob != nil {
		o.onJob(n, args, reply)
		return nil
	}
	reply.Job = finishedRecord(args.ID, o.resultData)
	return nil
}

func (o *fakeOwner) Cancel(args *structs.CancelArgs, reply *structs.CancelReply) error {
	if o.onCancel != nil {
		o.onCancel(args, reply)
	}
	return nil
}

func (o *fakeOwner) View(args *structs.ViewArgs, reply *structs.ViewReply) error {
	reply.View = o.view
	return nil
}

// callCounts returns the numbers of calls of Submit and Job.
func (o *fakeOwner) callCounts() (submitCalls, jobCalls int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.submitCalls, o.jobCalls
}

func newOwner(t *testing.T) *fakeOwner {
	t.Helper()
	o := &fakeOwner{resultData: []byte("plan")}
	server := rpc.NewServer()
	if err := server.Register("Domain", o); err != nil {
		t.Fatal(err)
	}
	addr, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	// With a context that has ended, Close closes the connections at once.
	o.addr, o.stop = addr, func() { server.Close(cancelled) }
	t.Cleanup(o.stop)
	return o
}

// newRecord returns the record of a job of domain d1.
func newRecord(spec structs.JobSpec, state structs.JobState) structs.Job {
	return structs.Job{ID: structs.JobID(spec.Account, spec.RequestKey), Domain: "d1", Spec: spec, State: state}
}

func finishedRecord(id string, data []byte) structs.Job {
	return structs.Job{ID: id, Domain: "d1", State: structs.JobFinished, Verdict: verdict.Ran, Attempt: 1, Result: structs.NewResult(1, data)}
}

// fakeBackend implements the dependencies of a Server other than the RPC client.
type fakeBackend struct {
	mu       sync.Mutex
	owners   map[string]structs.Owner
	manifest *structs.Manifest
	records  map[string]*structs.Job
	reads    int
	applied  []*structs.Manifest
	applyErr error
}

func (b *fakeBackend) Owner(domain string) (structs.Owner, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, ok := b.owners[domain]
	return o, ok
}

func (b *fakeBackend) Entries() []structs.EntryInfo { return []structs.EntryInfo{{ID: "e1"}} }

func (b *fakeBackend) Current() *structs.Manifest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.manifest
}

func (b *fakeBackend) Job(_ context.Context, id string) (*structs.Job, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads++
	if j := b.records[id]; j != nil {
		c := *j
		return &c, nil
	}
	return nil, verdict.Refuse(verdict.CodeNotFound, "no row")
}

func (b *fakeBackend) Apply(_ context.Context, m *structs.Manifest) (*structs.Manifest, error) {
	b.applied = append(b.applied, m)
	c := *m
	c.Version = m.Parent + 1
	return &c, b.applyErr
}

func (b *fakeBackend) History(context.Context, int) ([]structs.Manifest, error) {
	return []structs.Manifest{{Version: 7}}, nil
}

func (b *fakeBackend) Load(_ context.Context, v uint64) (*structs.Manifest, error) {
	return nil, verdict.Refuse(verdict.CodeNotFound, "no version %d", v)
}

func (b *fakeBackend) setOwner(domain string, o *fakeOwner, epoch uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owners[domain] = structs.Owner{Domain: domain, EntryID: "e", Addr: o.addr, Epoch: epoch}
}

// testManifest has 3 workers of class new and 2 of class old in domain d1, and 9 of
// class old in d2, with 8 accelerators each.
func testManifest() *structs.Manifest {
	eight := structs.WorkerCapacity{Accelerators: 8, CoresMilli: 64000, MemoryMB: 256000, Slots: 8}
	limit := 8
	return &structs.Manifest{
		Version: 7,
		Hardware: []structs.Hardware{
			{Domain: "d1", Zone: "z1", Rack: "r1", Class: "new", Workers: 3, WorkerCapacity: eight},
			{Domain: "d1", Zone: "z2", Rack: "r2", Class: "old", Workers: 2, WorkerCapacity: eight},
			{Domain: "d2", Zone: "z3", Rack: "r3", Class: "old", Workers: 9, WorkerCapacity: eight},
		},
		Accounts: []structs.Account{
			{Name: "bench", Domains: []string{"d1"}},
			{Name: "press", Domains: []string{"d1", "d2"}, Quota: structs.Quota{RatePerSecond: 1, Burst: 2}},
			{Name: "small", Domains: []string{"d1"}, Quota: structs.Quota{BorrowingLimit: &limit}},
		},
		Kinds: []structs.Kind{
			{Name: "proof", Idempotent: true, Shape: structs.Shape{Workers: 1, Accelerators: 2}},
			{Name: "order", Shape: structs.Shape{Workers: 1, Accelerators: 1}, Classes: []string{"new"}},
		},
	}
}

// newServer returns a Server on a fakeBackend. change modifies its Config.
func newServer(t *testing.T, change func(*Config)) (*Server, *fakeBackend) {
	t.Helper()
	b := &fakeBackend{owners: map[string]structs.Owner{}, manifest: testManifest(), records: map[string]*structs.Job{}}
	pool := rpc.NewPool("", "e1", nil)
	t.Cleanup(pool.Close)
	cfg := Config{
		ID: "e1", Owners: b, Manifests: b, Store: b, Records: b, Caller: pool, DrainDelay: -1,
		SubmitTimeout: time.Second, Schema: []byte("{}"),
		Check: func(b []byte) (*structs.Manifest, map[string]int, error) {
			if len(b) == 0 {
				return nil, nil, errors.New("empty document")
			}
			return &structs.Manifest{Parent: 6}, map[string]int{"d1": 1}, nil
		},
	}
	if change != nil {
		change(&cfg)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s, b
}

type response struct {
	status int
	header http.Header
	body   []byte
	job    structs.Job
	err    *verdict.Error
	ref    *structs.JobRef
}

// doRequest sends a request to the server's handler. headers holds names and values
// in turn.
func doRequest(t *testing.T, s *Server, method, target, body string, headers ...string) response {
	t.Helper()
	r := httptest.NewRequest(method, target, bytes.NewReader([]byte(body)))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	rec := httptest.NewRecorder()
	s.Handler().ServeHTTP(rec, r)
	resp := response{status: rec.Code, header: rec.Header()}
	resp.body, _ = io.ReadAll(rec.Body)
	var e structs.ErrorBody
	if rec.Code >= 400 {
		if err := json.Unmarshal(resp.body, &e); err != nil || e.Error == nil {
			t.Fatalf("%s %s: status %d with body %q", method, target, rec.Code, resp.body)
		}
		resp.err, resp.ref = e.Error, e.Job
	} else if json.Unmarshal(resp.body, &resp.job) != nil {
		resp.job = structs.Job{}
	}
	return resp
}

func submitBody(account, kind, key string) string {
	b, _ := json.Marshal(structs.JobSpec{Account: account, Kind: kind, RequestKey: key, Payload: []byte("in")})
	return string(b)
}
