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

// Guards against routes that are missing or answer in another form.
func TestRoutes(t *testing.T) {
	s, w := newServer(t, nil)
	o := newOwner(t)
	id := structs.JobID("bench", "k")
	o.view = structs.DomainView{
		Domain: "d1", Workers: []structs.WorkerView{{ID: "w1"}}, Queue: []structs.QueueView{{ID: "q1"}},
		Accounts: []structs.AccountView{{Name: "bench"}},
		Jobs:     []structs.Job{{ID: id, Spec: structs.JobSpec{Payload: []byte("secret")}}},
		Explain:  &structs.ExplainView{Job: structs.Job{ID: id}, Reason: structs.WaitFragmented},
	}
	w.own("d1", o, 1)
	w.own("d2", o, 1)
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
		a := do(t, s, c.method, c.target, c.body)
		if a.status != c.status || !strings.Contains(string(a.body), c.contains) || strings.Contains(string(a.body), "c2VjcmV0") {
			t.Errorf("%s %s: status %d, body %s", c.method, c.target, a.status, a.body)
		}
	}
	a := do(t, s, "GET", "/v1/jobs/"+id, "", structs.HeaderAccount, "press")
	if a.status != 404 {
		t.Errorf("job of another account: status %d", a.status)
	}
}

// Guards against a cancellation that is reported wrongly: by state and verdict.
func TestCancel(t *testing.T) {
	id := structs.JobID("press", "k")
	s, w := newServer(t, nil)
	first, second := newOwner(t), newOwner(t)
	second.onCancel = func(args *structs.CancelArgs, reply *structs.CancelReply) { reply.Stopping = args.IDs }
	w.own("d1", first, 1)
	w.own("d2", second, 1)
	var got structs.CancelResponse
	a := do(t, s, "DELETE", "/v1/jobs/"+id, "")
	if json.Unmarshal(a.body, &got) != nil || len(got.Cancelled) != 0 || len(got.Stopping) != 1 {
		t.Fatalf("status %d, body %s", a.status, a.body)
	}
	second.stop()
	a = do(t, s, "POST", "/v1/cancel", `{"account":"press","kind":"proof"}`)
	if json.Unmarshal(a.body, &got) != nil || fmt.Sprint(got.Unreached) != "[d2]" {
		t.Errorf("with an owner lost: status %d, body %s", a.status, a.body)
	}
	a = do(t, s, "DELETE", "/v1/jobs/"+id, "")
	if a.status != 504 || a.err.Verdict != verdict.MayHaveRun {
		t.Errorf("with an owner lost: status %d, body %s", a.status, a.body)
	}
	w.own("d2", first, 2)
	a = do(t, s, "DELETE", "/v1/jobs/"+id, "")
	if a.status != 409 || a.err.Verdict != verdict.Ran {
		t.Errorf("finished job: status %d, body %s", a.status, a.body)
	}
}

// Guards against an entry that cannot answer for a job that it did not accept:
// the owner answers, then the durable record.
func TestAnyEntryAnswers(t *testing.T) {
	id := structs.JobID("bench", "k")
	row := structs.Job{ID: id, Domain: "d1", State: structs.JobRunning}
	s, w := newServer(t, nil)
	w.records[id] = &row
	a := do(t, s, "GET", "/v1/jobs/"+id, "")
	if a.status != 202 || a.job.State != structs.JobRunning {
		t.Errorf("without owner: status %d, body %s", a.status, a.body)
	}
	w.own("d1", newOwner(t), 1)
	a = do(t, s, "GET", "/v1/jobs/"+id, "")
	if a.status != 200 || a.job.State != structs.JobFinished {
		t.Errorf("with owner: status %d, body %s", a.status, a.body)
	}
	o := newOwner(t)
	o.onJob = func(_ int, _ *structs.JobArgs, reply *structs.JobReply) {
		reply.Err = verdict.Refuse(verdict.CodeNotFound, "no such job")
	}
	w.own("d1", o, 2)
	delete(w.records, id)
	a = do(t, s, "GET", "/v1/jobs/"+id, "")
	if a.status != 404 || a.err.Verdict != verdict.MayHaveRun {
		t.Errorf("nowhere: status %d, body %s", a.status, a.body)
	}
}

// Guards against a large result that is lost because the owner does not hold it.
func TestResultFromObjectStore(t *testing.T) {
	id := structs.JobID("bench", "k")
	whole := finished(id, []byte("large plan"))
	s, w := newServer(t, nil)
	w.records[id] = &whole
	o := newOwner(t)
	o.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
		reply.Job = finished(id, []byte("large plan"))
		reply.Job.Result.Data, reply.Job.Result.Object = nil, "results/x/1"
	}
	w.own("d1", o, 1)
	if a := do(t, s, "GET", "/v1/jobs/"+id+"/result", ""); string(a.body) != "large plan" {
		t.Fatalf("status %d, body %s", a.status, a.body)
	}
}

// slowOwner owns d1 and answers a question about a job after half a second.
func slowOwner(t *testing.T, w *world) *fakeOwner {
	t.Helper()
	o := newOwner(t)
	o.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
		time.Sleep(500 * time.Millisecond)
		reply.Job = finished(args.ID, []byte("plan"))
	}
	w.own("d1", o, 1)
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

// Guards against a shutdown that cuts off a request: one in progress, and one
// that comes on an open connection after the drain began.
func TestDrainCutsOffNothing(t *testing.T) {
	s, w := newServer(t, func(c *Config) { c.Linger = 300 * time.Millisecond })
	o, l := slowOwner(t, w), listen(t)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	open, waiting := dial(t, l), dial(t, l)
	send(t, open, "GET", "/readyz", "")
	if r := receive(t, open); r.StatusCode != 200 || r.Close {
		t.Fatalf("before: status %d, close %t", r.StatusCode, r.Close)
	}
	send(t, waiting, "POST", "/v1/jobs?wait=5s", submitBody("bench", "order", "k"))
	for _, asks := o.counts(); asks == 0; _, asks = o.counts() {
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
	if a := do(t, s, "GET", "/readyz", ""); a.status != 503 || a.err.Code != verdict.CodeDraining {
		t.Errorf("readiness: status %d", a.status)
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

// Guards against a shutdown that waits for a job: the caller gets the state.
func TestDrainCutsWaitsShort(t *testing.T) {
	s, w := newServer(t, nil)
	o := newOwner(t)
	o.onJob = func(_ int, args *structs.JobArgs, reply *structs.JobReply) {
		time.Sleep(args.Wait)
		reply.Job = structs.Job{ID: args.ID, State: structs.JobRunning}
	}
	w.own("d1", o, 1)
	got := make(chan answer, 1)
	go func() { got <- do(t, s, "POST", "/v1/jobs?wait=30s", submitBody("bench", "order", "k")) }()
	for _, asks := o.counts(); asks == 0; _, asks = o.counts() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainMargin+200*time.Millisecond)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		t.Error(err)
	}
	if a := <-got; a.status != 202 || a.job.State != structs.JobRunning {
		t.Errorf("status %d, body %s", a.status, a.body)
	}
}

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

// Guards against an entry that accepts connections until nothing is in progress:
// under load that never is, and the end of the drain cuts off what came last.
func TestDrainClosesListenerWithRequestsInProgress(t *testing.T) {
	s, w := newServer(t, func(c *Config) { c.Linger = 50 * time.Millisecond })
	o, l := slowOwner(t, w), listen(t)
	go func() { _ = s.Serve(l) }()
	waiting := dial(t, l)
	send(t, waiting, "POST", "/v1/jobs?wait=5s", submitBody("bench", "order", "k"))
	for _, asks := o.counts(); asks == 0; _, asks = o.counts() {
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
		t.Error("a connection was accepted after the time Linger")
	}
	if r := receive(t, waiting); r.StatusCode != 200 {
		t.Errorf("request in progress: status %d", r.StatusCode)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// lateListener accepts nothing until its gate is open.
type lateListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// Guards against a drain that resets a connection which was established before
// the listener closed and not accepted yet.
func TestDrainServesEstablishedConnection(t *testing.T) {
	s, _ := newServer(t, func(c *Config) { c.Linger = -1 })
	l := &lateListener{listen(t).(*net.TCPListener), make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	late := dial(t, l)
	send(t, late, "POST", "/v1/jobs", submitBody("bench", "order", "k"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	close(l.gate)
	if r := receive(t, late); r.StatusCode != 503 || !r.Close {
		t.Errorf("status %d, close %t", r.StatusCode, r.Close)
	}
	if err := errors.Join(<-drained, <-served); err != nil {
		t.Error(err)
	}
}
