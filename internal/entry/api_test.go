package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Guards against routes that are missing or return another status or format, and
// against payloads and jobs of other accounts in responses.
func TestRoutes(t *testing.T) {
	s, backend := newServer(t, nil)
	o := newOwner(t)
	id := structs.JobID("bench", "k")
	o.view = structs.DomainView{
		Domain: "d1", Workers: []structs.WorkerView{{ID: "w1"}}, Queue: []structs.QueueView{{ID: "q1"}},
		Accounts: []structs.AccountView{{Name: "bench"}},
		Jobs:     []structs.Job{{ID: id, Spec: structs.JobSpec{Payload: []byte("secret")}}},
		Explain:  &structs.ExplainView{Job: structs.Job{ID: id}, Reason: structs.WaitFragmented},
	}
	backend.setOwner("d1", o, 1)
	backend.setOwner("d2", o, 1)
	for _, c := range []struct {
		method, target, body string
		status               int
		contains             string
	}{
		{"GET", "/healthz", "", 200, "ok"},
		{"GET", "/readyz", "", 200, "ready"},
		{"GET", "/v1/workers", "", 200, `"w1"`},
		{"GET", "/v1/queue?domain=d1", "", 200, `"q1"`},
		{"GET", "/v1/queue?domain=d9", "", 404, "not_found"},
		{"GET", "/v1/accounts", "", 200, `"bench"`},
		{"GET", "/v1/status", "", 200, `"entries":[{"id":"e1"`},
		{"GET", "/v1/jobs?account=bench&limit=1", "", 200, `{"jobs":[{"id":"` + id},
		{"GET", "/v1/jobs?limit=0", "", 400, "limit"},
		{"GET", "/v1/jobs/" + id + "/explain", "", 200, "fragmented"},
		{"GET", "/v1/jobs/nonsense", "", 404, "not_found"},
		{"GET", "/v1/manifest", "", 200, `"version":7`},
		{"GET", "/v1/manifest?version=3", "", 404, "not_found"},
		{"GET", "/v1/manifest/history", "", 200, `{"manifests":[`},
		{"GET", "/v1/schema", "", 200, "{}"},
		{"POST", "/v1/manifest/check", "x", 200, `{"parent":6,"survives":{"d1":1}}`},
		{"POST", "/v1/manifest/check", "", 400, "empty document"},
		{"POST", "/v1/manifest?parent=7", "x", 200, `"version":8`},
		{"POST", "/v1/manifest", "", 400, "not_run"},
		{"POST", "/v1/cancel", `{"account":"bench","ids":["press.00000000000000000000"]}`, 400, "ids"},
		{"PUT", "/v1/jobs", "", 404, "not_found"},
	} {
		resp := doRequest(t, s, c.method, c.target, c.body)
		if resp.status != c.status || !strings.Contains(string(resp.body), c.contains) || strings.Contains(string(resp.body), "c2VjcmV0") {
			t.Errorf("%s %s: status %d, body %s", c.method, c.target, resp.status, resp.body)
		}
	}
	resp := doRequest(t, s, "GET", "/v1/jobs/"+id, "", structs.HeaderAccount, "press")
	if resp.status != 404 {
		t.Errorf("job of another account: status %d", resp.status)
	}
}

// Guards against a cancellation response with a wrong state or verdict, also when
// an owner does not reply.
func TestCancelVerdicts(t *testing.T) {
	id := structs.JobID("press", "k")
	s, backend := newServer(t, nil)
	first, second := newOwner(t), newOwner(t)
	second.onCancel = func(args *structs.CancelArgs, reply *structs.CancelReply) { reply.Stopping = args.IDs }
	backend.setOwner("d1", first, 1)
	backend.setOwner("d2", second, 1)
	var got structs.CancelResponse
	resp := doRequest(t, s, "DELETE", "/v1/jobs/"+id, "")
	if json.Unmarshal(resp.body, &got) != nil || len(got.Cancelled) != 0 || len(got.Stopping) != 1 {
		t.Fatalf("status %d, body %s", resp.status, resp.body)
	}
	second.stop()
	resp = doRequest(t, s, "POST", "/v1/cancel", `{"account":"press","kind":"proof"}`)
	if json.Unmarshal(resp.body, &got) != nil || fmt.Sprint(got.Unreached) != "[d2]" {
		t.Errorf("with an owner lost: status %d, body %s", resp.status, resp.body)
	}
	resp = doRequest(t, s, "DELETE", "/v1/jobs/"+id, "")
	if resp.status != 504 || resp.err.Verdict != verdict.MayHaveRun {
		t.Errorf("with an owner lost: status %d, body %s", resp.status, resp.body)
	}
	backend.setOwner("d2", first, 2)
	resp = doRequest(t, s, "DELETE", "/v1/jobs/"+id, "")
	if resp.status != 409 || resp.err.Verdict != verdict.Ran {
		t.Errorf("finished job: status %d, body %s", resp.status, resp.body)
	}
}

// Guards against an entry that cannot return a job that was submitted through
// another entry. It queries the owner first, then the durable record.
func TestShowJobFromOwnerOrRecord(t *testing.T) {
	id := structs.JobID("bench", "k")
	row := structs.Job{ID: id, Domain: "d1", State: structs.JobRunning}
	s, backend := newServer(t, nil)
	backend.records[id] = &row
	resp := doRequest(t, s, "GET", "/v1/jobs/"+id, "")
	if resp.status != 202 || resp.job.State != structs.JobRunning {
		t.Errorf("without owner: status %d, body %s", resp.status, resp.body)
	}
	backend.setOwner("d1", newOwner(t), 1)
	resp = doRequest(t, s, "GET", "/v1/jobs/"+id, "")
	if resp.status != 200 || resp.job.State != structs.JobFinished {
		t.Errorf("with owner: status %d, body %s", resp.status, resp.body)
	}
	o := newOwner(t)
	o.onJob = func(_ int, _ *structs.JobArgs, reply *structs.JobReply) {
		reply.Err = verdict.Refuse(verdict.CodeNotFound, "no such job")
	}
	backend.setOwner("d1", o, 2)
	delete(backend.records, id)
	resp = doRequest(t, s, "GET", "/v1/jobs/"+id, "")
	if resp.status != 404 || resp.err.Verdict != verdict.MayHaveRun {
		t.Errorf("nowhere: status %d, body %s", resp.status, resp.body)
	}
}

// Guards against a missing result if the owner no longer holds it in memory and it
// is in the object store.
func TestResultFromObjectStore(t *testing.T) {
	id := structs.JobID("bench", "k")
	whole := finishedRecord(id, []byte("large plan"))
	s, backend := newServer(t, nil)
	backend.records[id] = &whole
	o := newOwner(t)
	o.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
		reply.Job = finishedRecord(id, []byte("large plan"))
		reply.Job.Result.Data, reply.Job.Result.Object = nil, "results/x/1"
	}
	backend.setOwner("d1", o, 1)
	if resp := doRequest(t, s, "GET", "/v1/jobs/"+id+"/result", ""); string(resp.body) != "large plan" {
		t.Fatalf("status %d, body %s", resp.status, resp.body)
	}
}

// slowOwner returns an owner of d1 that replies to Domain.Job after 500 ms.
func slowOwner(t *testing.T, backend *fakeBackend) *fakeOwner {
	t.Helper()
	o := newOwner(t)
	o.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
		time.Sleep(500 * time.Millisecond)
		reply.Job = finishedRecord(args.ID, []byte("plan"))
	}
	backend.setOwner("d1", o, 1)
	return o
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a drain that cuts off a request: one that is in progress, and one
// that arrives on an open connection after the drain has begun.
func TestDrainAnswersRequestsInProgress(t *testing.T) {
	s, backend := newServer(t, func(c *Config) { c.DrainDelay = 300 * time.Millisecond })
	o, l := slowOwner(t, backend), listen(t)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	open, waiting := dial(t, l), dial(t, l)
	send(t, open, "GET", "/readyz", "")
	if r := receive(t, open); r.StatusCode != 200 || r.Close {
		t.Fatalf("before: status %d, close %t", r.StatusCode, r.Close)
	}
	send(t, waiting, "POST", "/v1/jobs?wait=5s", submitBody("bench", "order", "k"))
	for _, calls := o.callCounts(); calls == 0; _, calls = o.callCounts() {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		drained <- s.Drain(ctx)
	}()
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	send(t, open, "POST", "/v1/jobs", submitBody("bench", "order", "l"))
	if r := receive(t, open); r.StatusCode != 503 || !r.Close || r.Header.Get(structs.HeaderVerdict) != "not_run" {
		t.Errorf("new work: status %d, close %t, verdict %q", r.StatusCode, r.Close, r.Header.Get(structs.HeaderVerdict))
	}
	if resp := doRequest(t, s, "GET", "/readyz", ""); resp.status != 503 || resp.err.Code != verdict.CodeDraining {
		t.Errorf("readiness: status %d", resp.status)
	}
	if r := receive(t, waiting); r.StatusCode != 200 || !r.Close {
		t.Errorf("request in progress: status %d, close %t", r.StatusCode, r.Close)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// A drain must not wait for jobs to finish. Waiting requests end with the current state
// of their job.
func TestDrainEndsWaits(t *testing.T) {
	s, backend := newServer(t, nil)
	o := newOwner(t)
	o.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
		time.Sleep(args.Wait)
		reply.Job = structs.Job{ID: args.ID, State: structs.JobRunning}
	}
	backend.setOwner("d1", o, 1)
	got := make(chan response, 1)
	go func() { got <- doRequest(t, s, "POST", "/v1/jobs?wait=30s", submitBody("bench", "order", "k")) }()
	for _, calls := o.callCounts(); calls == 0; _, calls = o.callCounts() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainMargin+200*time.Millisecond)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		t.Error(err)
	}
	if resp := <-got; resp.status != 202 || resp.job.State != structs.JobRunning {
		t.Errorf("status %d, body %s", resp.status, resp.body)
	}
}

// httpConn is a client connection for raw HTTP/1.1 requests.
type httpConn struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, l net.Listener) httpConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return httpConn{c, bufio.NewReader(c)}
}

func send(t *testing.T, c httpConn, method, target, body string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, target, len(body), body); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, c httpConn) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(&map[string]any{}); err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a drain that accepts connections until no request is in progress.
// Under load there always is one, and the last requests would be cut off when the
// drain times out.
func TestDrainClosesListenerWithRequestsInProgress(t *testing.T) {
	s, backend := newServer(t, func(c *Config) { c.DrainDelay = 50 * time.Millisecond })
	o, l := slowOwner(t, backend), listen(t)
	go func() { _ = s.Serve(l) }()
	waiting := dial(t, l)
	send(t, waiting, "POST", "/v1/jobs?wait=5s", submitBody("bench", "order", "k"))
	for _, calls := o.callCounts(); calls == 0; _, calls = o.callCounts() {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		drained <- s.Drain(ctx)
	}()
	time.Sleep(250 * time.Millisecond)
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was accepted after DrainDelay")
	}
	if r := receive(t, waiting); r.StatusCode != 200 {
		t.Errorf("request in progress: status %d", r.StatusCode)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// delayedListener accepts no connection until the channel accepting is closed.
type delayedListener struct {
	*net.TCPListener
	accepting chan struct{}
}

func (l *delayedListener) Accept() (net.Conn, error) {
	<-l.accepting
	return l.TCPListener.Accept()
}

// Guards against a drain that resets a connection that was established before the
// listener closed but was not accepted yet.
func TestDrainServesConnectionNotYetAccepted(t *testing.T) {
	s, _ := newServer(t, func(c *Config) { c.DrainDelay = -1 })
	l := &delayedListener{listen(t).(*net.TCPListener), make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	conn := dial(t, l)
	send(t, conn, "POST", "/v1/jobs", submitBody("bench", "order", "k"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	close(l.accepting)
	if r := receive(t, conn); r.StatusCode != 503 || !r.Close {
		t.Errorf("status %d, close %t", r.StatusCode, r.Close)
	}
	if err := errors.Join(<-drained, <-served); err != nil {
		t.Error(err)
	}
}
