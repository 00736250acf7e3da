package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testJobID  = "press.0123456789abcdef0123"
	quotaJobID = "press.0123456789abcdef4567"
)

func testView() structs.ViewResponse {
	return structs.ViewResponse{
		Entry: "e1", ManifestVersion: 7,
		Entries: []structs.EntryInfo{{ID: "e1", Zone: "z1", HTTPAddr: "10.0.0.1:8080", RPCAddr: "10.0.0.1:7000", Domains: []string{"quito"}}},
		Domains: []structs.DomainResult{{DomainView: structs.DomainView{
			Domain: "quito", Owner: structs.Owner{EntryID: "e1", Epoch: 3}, PlatformState: "ok",
			Workers: []structs.WorkerView{
				{ID: "w1", Zone: "z1", Rack: "r1", Class: "new", State: structs.WorkerReady, SlotsUsed: 2, Slots: 8, HeartbeatAgeMS: 120, Accelerators: []string{"g1", "g1", "", "", "", "g2", "", ""}},
				{ID: "w2", Zone: "z2", Rack: "r2", Class: "old", State: structs.WorkerQuarantined, Slots: 8, HeartbeatAgeMS: 900, Failures: 4, Accelerators: make([]string, 8)},
			},
			Queue: []structs.QueueView{
				{ID: testJobID, Account: "press", Kind: "proof", Shape: structs.Shape{Workers: 1, Accelerators: 4, Adjacency: structs.AdjacentWorker}, WaitSeconds: 754.26, Reason: structs.WaitFragmented, Reserved: true},
				{ID: "spine.0123456789abcdef0123", Account: "spine", Kind: "render", Shape: structs.Shape{Workers: 1, Accelerators: 1}, WaitSeconds: 2, Reason: structs.WaitReservation},
			},
			Accounts: []structs.AccountView{{Name: "press", Guaranteed: 8, Used: 3, Waiting: 1, Running: 2}, {Name: "spine", Borrowed: 1, Used: 1}},
		}}, {DomainView: structs.DomainView{Domain: "loja"}, Error: verdict.Refuse(verdict.CodeUnavailable, "the domain loja has no owner")}},
	}
}

func testJob(state structs.JobState, v verdict.Verdict) structs.Job {
	at := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	j := structs.Job{ID: testJobID, Domain: "quito", Spec: structs.JobSpec{Account: "press", Kind: "proof", RequestKey: "k1"},
		Shape: structs.Shape{Workers: 1, Accelerators: 4, Adjacency: structs.AdjacentWorker}, State: state, Verdict: v,
		Attempt: 1, MaxAttempts: 3, SubmittedAt: at}
	switch state {
	case structs.JobFinished:
		j.Result, j.StartedAt, j.EndedAt = structs.NewResult(1, []byte("plan")), at.Add(time.Second), at.Add(9*time.Second)
	case structs.JobFailed:
		j.Error = verdict.New(v, verdict.CodeTaskFailed, "exit status 1")
	}
	return j
}

// newTestAPI starts an HTTP server that sends fixed responses by method and path, and
// the status 404 to other requests.
func newTestAPI(t *testing.T, responses map[string]any) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := responses[r.Method+" "+r.URL.Path]
		if e, ok := response.(*verdict.Error); ok {
			w.WriteHeader(http.StatusUnprocessableEntity)
			response = structs.ErrorBody{Error: e}
		}
		if response == nil {
			w.WriteHeader(http.StatusNotFound)
			response = structs.ErrorBody{Error: verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "no such job")}
		}
		json.NewEncoder(w).Encode(response)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// runCLI runs the tool with the address of an entry and "in" as standard input.
func runCLI(t *testing.T, entry string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = Main(context.Background(), append([]string{"--entry", entry}, args...), strings.NewReader("in"), &out, &errs)
	return code, out.String(), errs.String()
}

// testResponses returns responses for all requests that the commands send.
func testResponses() map[string]any {
	view := testView()
	job := testJob(structs.JobFinished, verdict.Ran)
	manifest := structs.Manifest{APIVersion: structs.APIVersion, Deployment: "andrade", Version: 7, Parent: 6,
		Hardware: []structs.Hardware{{Domain: "quito", Workers: 11}}, Accounts: []structs.Account{{Name: "press", Domains: []string{"quito"}}}}
	return map[string]any{
		"GET /v1/workers": view, "GET /v1/queue": view, "GET /v1/accounts": view, "GET /v1/status": view,
		"GET /v1/jobs/" + testJobID: job, "POST /v1/cancel": structs.CancelResponse{Cancelled: []string{testJobID}, Stopping: []string{"press.b"}},
		"GET /v1/jobs": structs.ListResponse{Jobs: []structs.Job{job}},
		"GET /v1/jobs/" + testJobID + "/explain": structs.ExplainView{Job: testJob(structs.JobWaiting, verdict.NotRun), Reason: structs.WaitFragmented,
			Position: 1, Reservation: &structs.Reservation{Members: make([]structs.MemberPlacement, 1)},
			Start: &structs.StartEstimate{EarliestSeconds: 42.34, LatestSeconds: 191.6, Judged: 214, InRange: 181}},
		"GET /v1/jobs/" + quotaJobID + "/explain": structs.ExplainView{Job: testJob(structs.JobWaiting, verdict.NotRun), Reason: structs.WaitQuota,
			Position: 2, Start: &structs.StartEstimate{None: "the account is at its quota: the end of its own jobs decides, or a change of the manifest"}},
		"GET /v1/manifest": manifest, "GET /v1/manifest/history": structs.HistoryResponse{Manifests: []structs.Manifest{manifest}},
		"POST /v1/manifest":       structs.CheckResponse{Version: 8, Parent: 7, Survives: map[string]int{"quito": 2, "loja": 0}},
		"POST /v1/manifest/check": structs.CheckResponse{Parent: 7, Survives: map[string]int{"quito": 2}},
	}
}

// Guards against unintended changes of the tables and the help texts.
func TestOutputMatchesGolden(t *testing.T) {
	entry := newTestAPI(t, testResponses())
	next := filepath.Join(t.TempDir(), "manifest.yaml")
	document := "apiVersion: parsleypier/v1\ndeployment: andrade\nweights: {completion: 1, fragmentation: 2}\n" +
		"hardware: [{domain: quito, workers: 12}]\naccounts: [{name: spine, domains: [quito]}]\nkinds: []\n"
	if err := os.WriteFile(next, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t)
	for _, c := range []struct {
		name string
		code int
		args []string
	}{
		{"help", 0, []string{"--help"}},
		{"help-submit", 0, []string{"job", "submit", "--help"}},
		{"workers", 0, []string{"workers"}},
		{"queue", 0, []string{"queue"}},
		{"accounts", 0, []string{"accounts"}},
		{"status", 0, []string{"status"}},
		{"top", 0, []string{"top", "--count", "2", "--interval", "100ms"}},
		{"job-show", 0, []string{"job", "show", testJobID}},
		{"job-list", 0, []string{"job", "list"}},
		{"job-explain", 0, []string{"job", "explain", testJobID}},
		{"job-explain-none", 0, []string{"job", "explain", quotaJobID}},
		{"job-cancel", 0, []string{"job", "cancel", testJobID}},
		{"job-show-json", 0, []string{"--output", "json", "job", "show", testJobID}},
		{"manifest-check", 0, []string{"manifest", "check", next}},
		{"manifest-apply", 0, []string{"manifest", "apply", next, "--parent", "7"}},
		{"manifest-diff", 1, []string{"manifest", "diff", next}},
		{"manifest-show", 0, []string{"manifest", "show"}},
		{"manifest-history", 0, []string{"manifest", "history"}},
		{"trace", 0, []string{"trace", testJobID, "--file", "testdata/spans.json"}},
		{"logs-account", 0, []string{"logs", "account", "--file", "testdata/events.log"}},
		{"logs-explain", 0, []string{"logs", "explain", "5c0e7a21d94b36f8", "--file", "testdata/events.log"}},
		{"completion", 0, []string{"completion", "bash"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out, errs := runCLI(t, entry, c.args...)
			if code != c.code {
				t.Fatalf("exit code %d: %s", code, errs)
			}
			g.Assert(t, c.name, []byte(out))
		})
	}
}

// Guards against exit codes that report a wrong outcome of a job to scripts.
func TestExitCodesReflectOutcome(t *testing.T) {
	record := func(state structs.JobState, v verdict.Verdict) any { return testJob(state, v) }
	for _, c := range []struct {
		name     string
		response any
		args     []string
		code     int
	}{
		{"finished", record(structs.JobFinished, verdict.Ran), []string{"job", "show", testJobID}, ExitOK},
		{"failed", record(structs.JobFailed, verdict.Ran), []string{"job", "show", testJobID}, ExitFailed},
		{"failed, not known", record(structs.JobFailed, verdict.MayHaveRun), []string{"job", "wait", testJobID}, ExitMayHaveRun},
		{"refused", record(structs.JobRefused, verdict.NotRun), []string{"job", "wait", testJobID}, ExitNotRun},
		{"cancelled", record(structs.JobCancelled, verdict.NotRun), []string{"job", "show", testJobID}, ExitNotRun},
		{"stopped", record(structs.JobCancelled, verdict.MayHaveRun), []string{"job", "show", testJobID}, ExitMayHaveRun},
		{"unknown", record(structs.JobUnknown, verdict.MayHaveRun), []string{"job", "wait", testJobID}, ExitMayHaveRun},
		{"not final", record(structs.JobRunning, verdict.MayHaveRun), []string{"job", "wait", "--wait", "100ms", testJobID}, ExitNotFinal},
		{"not found", nil, []string{"job", "show", testJobID}, ExitMayHaveRun},
		{"not found in a wait", verdict.Refuse(verdict.CodeNotFound, "none"), []string{"job", "wait", testJobID}, ExitMayHaveRun},
		{"no flag", nil, []string{"job", "show", "--x", testJobID}, ExitUsage},
		{"no argument", nil, []string{"job", "show"}, ExitUsage},
		{"no command", nil, nil, ExitUsage},
		{"nothing to cancel", nil, []string{"job", "cancel"}, ExitUsage},
		{"no file", nil, []string{"manifest", "check", "/nonexistent"}, ExitError},
		{"not a log", nil, []string{"logs", "account", "--file", "testdata/spans.json"}, ExitError},
		{"unknown job", nil, []string{"logs", "explain", "x", "--file", "testdata/events.log"}, ExitError},
		{"no window", nil, []string{"logs", "account", "--window", "0s", "--file", "testdata/events.log"}, ExitError},
		{"bad entry", nil, []string{"--entry", "ftp://x", "status"}, ExitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, _, errs := runCLI(t, newTestAPI(t, map[string]any{"GET /v1/jobs/" + testJobID: c.response}), c.args...)
			if code != c.code {
				t.Errorf("exit code %d, want %d: %s", code, c.code, errs)
			}
		})
	}
	if code, _, _ := runCLI(t, "http://127.0.0.1:1", "--account", "press", "job", "submit", "--kind", "proof"); code != ExitNotRun {
		t.Errorf("submission without a reachable entry: exit code %d", code)
	}
}

// Guards against submit flags that do not reach the request, and against a result
// that is not written to its file.
func TestJobSubmitSendsFlagsAndWritesResult(t *testing.T) {
	var spec structs.JobSpec
	var wait string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		json.NewDecoder(r.Body).Decode(&spec)
		wait = r.URL.Query().Get("wait")
		job := testJob(structs.JobFinished, verdict.Ran)
		job.ID = structs.JobID("press", "k1")
		json.NewEncoder(w).Encode(job)
	}))
	defer s.Close()
	result := filepath.Join(t.TempDir(), "result")
	code, _, errs := runCLI(t, s.URL, "--account", "press", "job", "submit", "--kind", "proof", "--key", "k1", "--workers", "2", "--accelerators", "4",
		"--adjacency", "rack", "--run", "1m", "--idempotent", "no", "--payload", "-", "--wait", "5s", "--result", result)
	if code != ExitOK || wait != "5s" {
		t.Fatalf("exit code %d, wait parameter %q: %s", code, wait, errs)
	}
	if spec.Kind != "proof" || spec.Account != "press" || *spec.Shape != (structs.Shape{Workers: 2, Accelerators: 4, Adjacency: "rack"}) ||
		spec.RunSeconds != 60 || *spec.Idempotent || string(spec.Payload) != "in" {
		t.Errorf("submitted spec %+v does not match the flags", spec)
	}
	if data, err := os.ReadFile(result); err != nil || string(data) != "plan" {
		t.Errorf("result %q, error %v", data, err)
	}
}

// Guards against wrong numbers in the report and against unescaped markup in names.
func TestReportContents(t *testing.T) {
	responses := testResponses()
	view := testView()
	view.Domains[0].Accounts[1].Name = "<b>spine"
	responses["GET /v1/status"] = view
	entry := newTestAPI(t, responses)
	code, out, errs := runCLI(t, entry, "report", "--file", "-")
	if code != 0 || strings.Count(out, "<svg") != 2 || strings.Contains(out, "<b>") || !strings.Contains(out, "<polyline") {
		t.Fatalf("exit code %d: %s%s", code, errs, out)
	}
	_, out, _ = runCLI(t, entry, "--output", "json", "report")
	var r Report
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatal(err)
	}
	// w1 has runs of 3 and 2 free accelerators, and w2 is quarantined, so that no
	// block of 4 fits.
	if a := r.Accounts[0]; a.Free != 5 || a.Fragmented != 5 || a.Block != 4 || len(a.Completion) != 1 || a.Completion[0] != 9 {
		t.Errorf("account %+v", a)
	}
	if a := r.Accounts[1]; a.Free != 5 || a.Fragmented != 0 {
		t.Errorf("account %+v", a)
	}
}
