package workerstub

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var ctx = context.Background()

func newFencedWorker(t *testing.T) *Worker {
	t.Helper()
	w := New(Config{Accelerators: 4, CoresMilli: 4000, MemoryMB: 1000, Slots: 3})
	t.Cleanup(w.Close)
	if err := w.Fence(ctx, 10); err != nil {
		t.Fatal(err)
	}
	return w
}

func runRequest(id, payload string, fence structs.Fence, accelerators ...int) *workerclient.RunRequest {
	return &workerclient.RunRequest{
		Tokens: workerclient.Tokens{Incarnation: 10, Fence: fence}, ID: id, JobID: "job", GangID: id,
		Accelerators: accelerators, CoresMilli: 100, MemoryMB: 10, Size: 2, Payload: []byte(payload), LeaseMS: 3000,
	}
}

func taskRequest(r *workerclient.RunRequest) workerclient.TaskRequest {
	return workerclient.TaskRequest{ID: r.ID, Tokens: r.Tokens}
}

func taskStatus(t *testing.T, w *Worker, id string) workerclient.TaskStatus {
	t.Helper()
	reply, err := w.States(ctx, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range reply.Tasks {
		if s.ID == id {
			return s
		}
	}
	return workerclient.TaskStatus{}
}

// Guards against a simulated worker that is less strict than the protocol, which
// would hide faults of the agent.
func TestRunChecksTokensAndCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFencedWorker(t)
		first := runRequest("first", `{"run_ms":100}`, 5, 0, 1)
		if err := w.Run(ctx, first); err != nil {
			t.Fatal(err)
		}
		refuse := func(what string, code verdict.Code, change func(r *workerclient.RunRequest)) {
			t.Helper()
			r := runRequest(what, "", 6, 2)
			change(r)
			if err := w.Run(ctx, r); !verdict.HasCode(err, code) || verdict.Of(err) != verdict.NotRun {
				t.Errorf("%s: %v", what, err)
			}
		}
		refuse("busy accelerator", verdict.CodeConflict, func(r *workerclient.RunRequest) { r.Accelerators = []int{1, 2} })
		refuse("lower incarnation", verdict.CodeStaleEpoch, func(r *workerclient.RunRequest) { r.Incarnation = 9 })
		refuse("not fenced yet", verdict.CodeConflict, func(r *workerclient.RunRequest) { r.Incarnation = 11 })
		refuse("no such accelerator", verdict.CodeBadRequest, func(r *workerclient.RunRequest) { r.Accelerators = []int{4} })
		refuse("memory", verdict.CodeOverloaded, func(r *workerclient.RunRequest) { r.MemoryMB = 1000 })
		refuse("same ID", verdict.CodeConflict, func(r *workerclient.RunRequest) { r.ID = "first" })
		if err := w.Run(ctx, first); err != nil {
			t.Errorf("repeated run: %v", err)
		}
		time.Sleep(time.Second)
		refuse("lower token", verdict.CodeStaleEpoch, func(r *workerclient.RunRequest) { r.Fence, r.Accelerators = 4, []int{1} })
		stop := taskRequest(runRequest("unknown", "", 7))
		if s, err := w.Stop(ctx, stop); err != nil || s.State != structs.TaskStopped {
			t.Errorf("stop of an unknown task: %+v, %v", s, err)
		}
		refuse("stopped before", verdict.CodeTombstoned, func(r *workerclient.RunRequest) { r.ID = "unknown" })
		if n := len(w.History()); n != 2 {
			t.Errorf("%d events", n)
		}
	})
}

// Guards against tasks that run beyond their lease or their agent's incarnation.
func TestTasksStopWithLeaseOrIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFencedWorker(t)
		kept, lapsed := runRequest("kept", `{"run_ms":60000}`, 1, 0), runRequest("lapsed", `{"run_ms":60000}`, 2, 1)
		for _, r := range []*workerclient.RunRequest{kept, lapsed} {
			if err := w.Run(ctx, r); err != nil {
				t.Fatal(err)
			}
		}
		for range 5 {
			time.Sleep(time.Second)
			if _, err := w.Renew(ctx, &workerclient.RenewRequest{Incarnation: 10, IDs: []string{"kept", "gone"}, LeaseMS: 3000}); err != nil {
				t.Fatal(err)
			}
		}
		if s := taskStatus(t, w, "lapsed"); s.State != structs.TaskStopped || s.Message != "lease lapsed" {
			t.Errorf("lapsed: %+v", s)
		}
		if s := taskStatus(t, w, "kept"); s.State != structs.TaskRunning {
			t.Errorf("kept: %+v", s)
		}
		if err := w.Fence(ctx, 11); err != nil {
			t.Fatal(err)
		}
		if s := taskStatus(t, w, "kept"); s.State != structs.TaskStopped {
			t.Errorf("fenced: %+v", s)
		}
		if _, err := w.Stop(ctx, taskRequest(kept)); !verdict.HasCode(err, verdict.CodeStaleEpoch) {
			t.Errorf("stop by a lower incarnation: %v", err)
		}
	})
}

// A resumed task must continue from its checkpoint, and a task that a checkpoint has
// suspended must make no progress.
func TestCheckpointAndThrottle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFencedWorker(t)
		r := runRequest("a", `{"run_ms":2000}`, 1, 0)
		if err := w.Run(ctx, r); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		slow := taskRequest(r)
		slow.Percent = 50
		if err := w.Throttle(ctx, slow); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		hold := taskRequest(r)
		hold.Hold = true
		data, err := w.Checkpoint(ctx, hold)
		if err != nil || string(data) != `{"done_ms":1500}` {
			t.Fatalf("checkpoint %s, %v", data, err)
		}
		time.Sleep(500 * time.Millisecond)
		if again, _ := w.Checkpoint(ctx, hold); !bytes.Equal(again, data) {
			t.Errorf("a suspended task made progress: %s", again)
		}
		if _, err := w.Stop(ctx, taskRequest(r)); err != nil {
			t.Fatal(err)
		}
		rest := runRequest("b", `{"run_ms":2000}`, 2, 0)
		rest.Checkpoint = data
		if err := w.Run(ctx, rest); err != nil {
			t.Fatal(err)
		}
		time.Sleep(501 * time.Millisecond)
		if s := taskStatus(t, w, "b"); s.State != structs.TaskFinished {
			t.Errorf("resumed: %+v", s)
		}
	})
}

// Guards against differences between the HTTP protocol and the methods of Worker.
func TestHTTPMatchesMethods(t *testing.T) {
	w := newFencedWorker(t)
	server := httptest.NewServer(w.Handler())
	defer server.Close()
	c := workerclient.New(server.URL, "127.0.0.1")
	defer c.Close()
	info, err := c.Info(ctx)
	if err != nil || info.Accelerators != 4 || info.Incarnation != 10 {
		t.Fatalf("info %+v, %v", info, err)
	}
	r := runRequest("acme.x/1/1", `{"run_ms":20,"result_bytes":70000}`, 1, 0, 3)
	if err := c.Run(ctx, r); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Result(ctx, taskRequest(r), 100_000); !verdict.HasCode(err, verdict.CodeConflict) {
		t.Errorf("result of a running task: %v", err)
	}
	since := uint64(0)
	for start := time.Now(); ; {
		reply, err := c.States(ctx, since, 5*time.Second)
		if err != nil || time.Since(start) > 5*time.Second {
			t.Fatalf("the task did not finish within 5 s: %v", err)
		}
		since = reply.Version
		if len(reply.Tasks) == 1 && reply.Tasks[0].State == structs.TaskFinished {
			break
		}
	}
	data, err := c.Result(ctx, taskRequest(r), 100_000)
	if err != nil || !bytes.Equal(data, ExpectedResult(r.Payload, "job", 2)) {
		t.Errorf("result of %d bytes, %v", len(data), err)
	}
	if _, err := c.Result(ctx, taskRequest(r), 1000); !verdict.HasCode(err, verdict.CodeTooLarge) {
		t.Errorf("result above the limit: %v", err)
	}
	if _, err := c.Usage(ctx); err != nil {
		t.Error(err)
	}
}

// Guards against failures that the client reports with the wrong verdict.
func TestClientReportsVerdicts(t *testing.T) {
	w := newFencedWorker(t)
	server := httptest.NewServer(w.Handler())
	defer server.Close()
	c := workerclient.New(server.URL, "127.0.0.1")
	defer c.Close()
	mode, err := http.Post(server.URL+"/debug/mode", "application/json", bytes.NewBufferString(`{"drop_answers":true}`))
	if err != nil {
		t.Fatal(err)
	}
	mode.Body.Close()
	lost := runRequest("lost", "", 2, 1)
	if err := c.Run(ctx, lost); err == nil || verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("lost response: %v", err)
	}
	if taskStatus(t, w, "lost").State == "" {
		t.Error("a request whose response was lost had no effect")
	}
	w.SetMode(Mode{DelayMS: 2000})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if err := c.Throttle(short, taskRequest(lost)); err == nil || verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("slow response: %v", err)
	}
	w.SetMode(Mode{})
	server.Close()
	if err := c.Run(ctx, runRequest("refused", "", 3, 2)); verdict.Of(err) != verdict.NotRun {
		t.Errorf("connection refused: %v", err)
	}
}
