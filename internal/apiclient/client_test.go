package apiclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEntry is an entry that serves each request with a function and counts the
// requests.
type fakeEntry struct {
	*httptest.Server
	postCount, getCount atomic.Int64
}

func newFakeEntry(t *testing.T, handler http.HandlerFunc) *fakeEntry {
	t.Helper()
	e := &fakeEntry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			e.postCount.Add(1)
		} else {
			e.getCount.Add(1)
		}
		handler(w, r)
	}))
	t.Cleanup(e.Close)
	return e
}

func respondWithError(status int, e *verdict.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(structs.ErrorBody{Error: e})
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respondWithJob(change func(*structs.Job)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := strings.TrimPrefix(r.URL.Path, "/v1/jobs/")
		if r.Method == http.MethodPost {
			id = structs.JobID("bench", r.Header.Get(structs.HeaderRequestKey))
		}
		job := structs.Job{ID: id, State: structs.JobFinished, Result: structs.NewResult(1, []byte("plan"))}
		if change != nil {
			change(&job)
		}
		json.NewEncoder(w).Encode(job)
	}
}

func newClient(t *testing.T, entries ...string) *Client {
	t.Helper()
	c, err := New(Options{Entries: entries, Account: "bench"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// A failover must not submit a job again that may have run, and the client must not
// give up while another entry can serve the request.
func TestSubmitRetriesOnlyWhenSafe(t *testing.T) {
	yes, no := true, false
	draining := respondWithError(503, verdict.Refuse(verdict.CodeDraining, "leaving"))
	maybeRan := respondWithError(504, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "unknown"))
	for _, c := range []struct {
		name          string
		idempotent    *bool
		first, second http.HandlerFunc
		posts         int64 // POST requests at the second entry
		fails         bool
		verdict       verdict.Verdict
	}{
		{"refused as not run", &no, draining, respondWithJob(nil), 1, false, 0},
		{"cut off, idempotent", &yes, abortConnection, respondWithJob(nil), 1, false, 0},
		{"cut off, not idempotent", &no, abortConnection, respondWithJob(nil), 0, false, 0},
		{"cut off, not known", nil, abortConnection, respondWithJob(nil), 0, false, 0},
		{"unknown, not idempotent", &no, maybeRan, respondWithJob(nil), 0, false, 0},
		{"cut off and not found", &no, abortConnection, respondWithError(404, verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "none")), 0, true, verdict.MayHaveRun},
		{"not found as not run", &no, abortConnection, respondWithError(404, verdict.Refuse(verdict.CodeNotFound, "none")), 0, true, verdict.MayHaveRun},
		{"cut off, then refused", &yes, abortConnection, respondWithError(429, verdict.Refuse(verdict.CodeRateLimited, "rate")), 1, true, verdict.MayHaveRun},
		{"refused for good", &no, respondWithError(422, verdict.Refuse(verdict.CodeNeverFits, "large")), respondWithJob(nil), 0, true, verdict.NotRun},
		{"page of a proxy", &no, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
			respondWithError(404, verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "none")), 0, true, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := newFakeEntry(t, c.first), newFakeEntry(t, c.second)
			spec := structs.JobSpec{Kind: "proof", Idempotent: c.idempotent}
			job, err := newClient(t, first.URL, second.URL).Submit(context.Background(), spec, 0)
			if (err != nil) != c.fails || c.fails && verdict.Of(err) != c.verdict || !c.fails && string(job.Result.Data) != "plan" {
				t.Errorf("job %+v, error %v", job, err)
			}
			if n := second.postCount.Load(); n != c.posts {
				t.Errorf("%d submissions at the second entry, want %d", n, c.posts)
			}
		})
	}
}

// Guards against a client that stops at an unreachable entry, and against a
// verdict other than NotRun when no entry could be reached.
func TestSkipsUnreachableEntries(t *testing.T) {
	gone := newFakeEntry(t, abortConnection)
	gone.Close()
	good := newFakeEntry(t, respondWithJob(nil))
	if _, err := newClient(t, gone.URL, good.URL).Submit(context.Background(), structs.JobSpec{}, 0); err != nil {
		t.Error(err)
	}
	if _, err := newClient(t, gone.URL).Submit(context.Background(), structs.JobSpec{}, 0); verdict.Of(err) != verdict.NotRun {
		t.Errorf("error %v", err)
	}
	for _, bad := range []string{"", "ftp://x", "http://"} {
		if _, err := New(Options{Entries: []string{bad}}); err == nil {
			t.Errorf("entry address %q was accepted", bad)
		}
	}
}

// The client must not pass a wrong or incomplete response on to its caller.
func TestRejectsInvalidReplies(t *testing.T) {
	for name, bad := range map[string]func(*structs.Job){
		"truncated": func(j *structs.Job) { j.Result.Data = []byte("pl") },
		"missing":   func(j *structs.Job) { j.Result = nil },
		"other job": func(j *structs.Job) { j.ID = structs.JobID("bench", "other") },
	} {
		c := newClient(t, newFakeEntry(t, respondWithJob(bad)).URL)
		if _, err := c.Job(context.Background(), structs.JobID("bench", "k"), 0); err == nil || verdict.Of(err) == verdict.NotRun {
			t.Errorf("%s: error %v", name, err)
		}
	}
	short := newFakeEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(structs.HeaderDigest, "sha-256=:ZIeffWuWCgGQl2LZEaMtRYLCABDFZB7pAni2RKnjtSU=:")
		w.Header().Set("Content-Length", "4")
		fmt.Fprint(w, "pl")
	})
	if _, err := newClient(t, short.URL).Result(context.Background(), "x"); err == nil {
		t.Error("a truncated result was accepted")
	}
	altered := newFakeEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(structs.HeaderDigest, "sha-256=:ZIeffWuWCgGQl2LZEaMtRYLCABDFZB7pAni2RKnjtSU=:")
		fmt.Fprint(w, "plaN")
	})
	if _, err := newClient(t, altered.URL).Result(context.Background(), "x"); err == nil {
		t.Error("a modified result was accepted")
	}
}

// Wait must not return before the job is final, and must return when its context ends.
func TestWaitEndsWithJobOrContext(t *testing.T) {
	var n atomic.Int64
	e := newFakeEntry(t, respondWithJob(func(j *structs.Job) {
		if n.Add(1) < 3 {
			j.State = structs.JobRunning
		}
	}))
	c := newClient(t, e.URL)
	job, err := c.Wait(context.Background(), structs.JobID("bench", "k"))
	if err != nil || job.State != structs.JobFinished || n.Load() != 3 {
		t.Errorf("job %+v, error %v after %d requests", job, err, n.Load())
	}
	n.Store(-1000)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.Wait(ctx, structs.JobID("bench", "k")); verdict.Of(err) != verdict.MayHaveRun || err == nil {
		t.Errorf("error %v", err)
	}
}

// Guards against operator requests whose method, path or query differs from the
// API.
func TestOperatorRequests(t *testing.T) {
	var got string
	e := newFakeEntry(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Method + " " + r.URL.RequestURI()
		fmt.Fprint(w, "{}")
	})
	c, ctx, parent := newClient(t, e.URL), context.Background(), uint64(4)
	for want, call := range map[string]func() error{
		"GET /v1/manifest?version=3":                       func() error { _, err := c.Manifest(ctx, 3); return err },
		"POST /v1/manifest?parent=4":                       func() error { _, err := c.ApplyManifest(ctx, nil, &parent); return err },
		"POST /v1/manifest/check":                          func() error { _, err := c.CheckManifest(ctx, nil); return err },
		"GET /v1/manifest/history?limit=2":                 func() error { _, err := c.ManifestHistory(ctx, 2); return err },
		"GET /v1/workers?domain=d1":                        func() error { _, err := c.View(ctx, "workers", "d1"); return err },
		"GET /v1/jobs?account=bench&limit=5&state=waiting": func() error { _, err := c.Jobs(ctx, "bench", structs.JobWaiting, 5); return err },
		"GET /v1/jobs/a.b/explain":                         func() error { _, err := c.Explain(ctx, "a.b"); return err },
		"DELETE /v1/jobs/a.b":                              func() error { _, err := c.Cancel(ctx, "a.b"); return err },
		"POST /v1/cancel":                                  func() error { _, err := c.CancelJobs(ctx, structs.CancelRequest{}); return err },
	} {
		if err := call(); err != nil || got != want {
			t.Errorf("request %q, want %q, error %v", got, want, err)
		}
	}
}
