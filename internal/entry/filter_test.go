package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Jobs that are malformed, can never fit or exceed a limit must be refused, with the
// verdict not_run and the expected code and field.
func TestValidateFilter(t *testing.T) {
	for _, c := range []struct {
		name, body string
		code       verdict.Code
		field      string
	}{
		{"good", `{"account":"bench","kind":"proof"}`, "", ""},
		{"good shape", `{"account":"bench","kind":"proof","shape":{"workers":3,"accelerators":8,"adjacency":"rack"}}`, "", ""},
		{"empty body", ``, verdict.CodeBadRequest, ""},
		{"not JSON", `{"account":`, verdict.CodeBadRequest, ""},
		{"null", `null`, verdict.CodeUnknownAccount, "account"},
		{"trailing data", `{"account":"bench","kind":"proof"} {}`, verdict.CodeBadRequest, ""},
		{"unknown field", `{"account":"bench","kind":"proof","gpus":1}`, verdict.CodeBadRequest, "gpus"},
		{"repeated field", `{"account":"bench","kind":"proof","Kind":"order"}`, verdict.CodeBadRequest, "Kind"},
		{"repeated inner field", `{"account":"bench","kind":"proof","shape":{"workers":1,"workers":2}}`, verdict.CodeBadRequest, "shape.workers"},
		{"wrong type", `{"account":"bench","kind":"proof","shape":{"workers":"1"}}`, verdict.CodeBadRequest, "shape.workers"},
		{"unknown account", `{"account":"x","kind":"proof"}`, verdict.CodeUnknownAccount, "account"},
		{"unknown kind", `{"account":"bench","kind":"x"}`, verdict.CodeUnknownKind, "kind"},
		{"no workers", `{"account":"bench","kind":"proof","shape":{"workers":0,"accelerators":1}}`, verdict.CodeBadRequest, "shape.workers"},
		{"negative", `{"account":"bench","kind":"proof","shape":{"workers":1,"accelerators":-1}}`, verdict.CodeBadRequest, "shape.accelerators"},
		{"absurd", `{"account":"bench","kind":"proof","shape":{"workers":64,"accelerators":64}}`, verdict.CodeBadRequest, "shape"},
		{"adjacency", `{"account":"bench","kind":"proof","shape":{"workers":1,"adjacency":"moon"}}`, verdict.CodeBadRequest, "shape.adjacency"},
		{"too many workers", `{"account":"bench","kind":"proof","shape":{"workers":6,"accelerators":8}}`, verdict.CodeNeverFits, "shape"},
		{"too many in a rack", `{"account":"bench","kind":"proof","shape":{"workers":4,"accelerators":1,"adjacency":"rack"}}`, verdict.CodeNeverFits, "shape"},
		{"wrong class", `{"account":"bench","kind":"order","shape":{"workers":4,"accelerators":1}}`, verdict.CodeNeverFits, "shape"},
		{"memory", `{"account":"bench","kind":"proof","shape":{"workers":1,"memoryMB":256001}}`, verdict.CodeNeverFits, "shape"},
		{"quota", `{"account":"small","kind":"proof","shape":{"workers":2,"accelerators":8}}`, verdict.CodeOverQuota, "shape"},
		{"negative time", `{"account":"bench","kind":"proof","runSeconds":-1}`, verdict.CodeBadRequest, "runSeconds"},
		{"endless time", `{"account":"bench","kind":"proof","deadlineSeconds":1e300}`, verdict.CodeBadRequest, "deadlineSeconds"},
		{"deadline", `{"account":"bench","kind":"proof","runSeconds":60,"deadlineSeconds":30}`, verdict.CodeDeadline, "deadlineSeconds"},
		{"payload", `{"account":"bench","kind":"proof","payload":"` + strings.Repeat("AAAA", structs.DefaultMaxPayloadBytes/3+1) + `"}`, verdict.CodeTooLarge, "payload"},
		{"key", `{"account":"bench","kind":"proof","requestKey":"a b"}`, verdict.CodeBadRequest, "requestKey"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, _ := newServer(t, nil)
			passed, err := runFilter(s.validateFilter, c.body, nil)
			expectRefusal(t, passed, err, c.code, c.field)
		})
	}
	s, backend := newServer(t, nil)
	backend.manifest = nil
	passed, err := runFilter(s.validateFilter, `{"account":"bench","kind":"proof"}`, nil)
	expectRefusal(t, passed, err, verdict.CodeUnavailable, "")
}

// runFilter passes a request with a submission through f. The returned exchange is
// nil if the filter refused the request.
func runFilter(f filter, body string, change func(*exchange)) (*exchange, error) {
	var passed *exchange
	rec := httptest.NewRecorder()
	x := &exchange{
		ctx: context.Background(), writer: rec, header: rec.Header(), submission: &submission{},
		request: httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(body)),
	}
	if change != nil {
		change(x)
	}
	err := f(func(x *exchange) error { passed = x; return nil })(x)
	return passed, err
}

func expectRefusal(t *testing.T, passed *exchange, err error, code verdict.Code, field string) {
	t.Helper()
	if code == "" {
		if err != nil || passed == nil {
			t.Fatalf("passed %t, error %v", passed != nil, err)
		}
		return
	}
	e := verdict.From(err)
	if passed != nil || e == nil || e.Code != code || e.Field != field || e.Verdict != verdict.NotRun {
		t.Fatalf("passed %t, error %v; want code %s, field %q", passed != nil, err, code, field)
	}
}

// Guards against routing a job to a domain whose hardware cannot hold its shape.
func TestValidateSelectsFittingDomains(t *testing.T) {
	s, _ := newServer(t, nil)
	for body, want := range map[string]string{
		`{"account":"press","kind":"proof"}`: "[d1 d2]",
		`{"account":"press","kind":"proof","shape":{"workers":9,"accelerators":8,"adjacency":"rack"}}`: "[d2]",
		`{"account":"press","kind":"order"}`: "[d1]",
	} {
		x, err := runFilter(s.validateFilter, body, nil)
		if err != nil || fmt.Sprint(x.submission.domains) != want {
			t.Errorf("%s: domains %v, error %v", body, x.submission.domains, err)
		}
	}
}

// A request whose key or account differs between header and body must be refused, and
// requests without a request key must not share one job.
func TestRequestKeyAndAccountFilters(t *testing.T) {
	s, _ := newServer(t, nil)
	f := func(next handler) handler { return chain(next, s.requestKeyFilter, s.accountFilter, s.validateFilter) }
	for _, c := range []struct {
		name, key, account, body string
		code                     verdict.Code
		field                    string
	}{
		{"header only", "k", "bench", `{"kind":"proof"}`, "", ""},
		{"both the same", "k", "bench", `{"account":"bench","kind":"proof","requestKey":"k"}`, "", ""},
		{"keys differ", "k", "", `{"account":"bench","kind":"proof","requestKey":"l"}`, verdict.CodeBadRequest, "requestKey"},
		{"accounts differ", "", "press", `{"account":"bench","kind":"proof"}`, verdict.CodeBadRequest, "account"},
		{"long key", strings.Repeat("k", 129), "", `{}`, verdict.CodeBadRequest, "header " + structs.HeaderRequestKey},
		{"account with space", "", "a b", `{}`, verdict.CodeBadRequest, "header " + structs.HeaderAccount},
	} {
		x, err := runFilter(f, c.body, func(x *exchange) {
			x.request.Header.Set(structs.HeaderRequestKey, c.key)
			x.request.Header.Set(structs.HeaderAccount, c.account)
		})
		t.Run(c.name, func(t *testing.T) { expectRefusal(t, x, err, c.code, c.field) })
	}
	a, _ := runFilter(f, `{"account":"bench","kind":"proof"}`, nil)
	b, _ := runFilter(f, `{"account":"bench","kind":"proof"}`, nil)
	if a.jobID == b.jobID || a.jobID == "" {
		t.Errorf("requests without a key: jobs %q and %q", a.jobID, b.jobID)
	}
}

// Guards against request bodies that are read without a limit.
func TestSizeFilter(t *testing.T) {
	s, _ := newServer(t, nil)
	read := func(next handler) handler {
		return func(x *exchange) error {
			if _, err := x.readBody(); err != nil {
				return err
			}
			return next(x)
		}
	}
	f := func(next handler) handler { return chain(next, s.sizeFilter(fixedLimit(4)), read) }
	for body, code := range map[string]verdict.Code{"1234": "", "12345": verdict.CodeTooLarge} {
		for _, declared := range []bool{true, false} {
			x, err := runFilter(f, body, func(x *exchange) {
				if !declared {
					x.request.ContentLength = -1
				}
			})
			expectRefusal(t, x, err, code, "")
		}
	}
}

// Guards against more requests in progress than allowed, for one account or in
// total.
func TestInFlightFilters(t *testing.T) {
	s, _ := newServer(t, func(c *Config) { c.MaxInFlight = 4 })
	named := func(x *exchange) { x.request.Header.Set(structs.HeaderAccount, "bench") }
	for range 2 {
		if _, err := s.accountSlots.acquire("bench"); err != nil {
			t.Fatal(err)
		}
	}
	x, err := runFilter(s.accountFilter, "", named)
	expectRefusal(t, x, err, verdict.CodeOverloaded, "")
	x, err = runFilter(s.accountFilter, "", nil)
	expectRefusal(t, x, err, "", "")
	s.inFlight.Store(5)
	x, err = runFilter(s.inFlightFilter, "", nil)
	expectRefusal(t, x, err, verdict.CodeOverloaded, "")
	s.inFlight.Store(4)
	x, err = runFilter(s.inFlightFilter, "", nil)
	expectRefusal(t, x, err, "", "")
	release, err := s.accountSlots.acquire("press")
	if err != nil {
		t.Fatal(err)
	}
	if release(); len(s.accountSlots.used) != 1 {
		t.Errorf("slots of idle accounts are not removed: %v", s.accountSlots.used)
	}
}

// Guards against submissions above an account's rate, and against a limiter that
// keeps the old rate after a change of the manifest.
func TestRateFilter(t *testing.T) {
	s, backend := newServer(t, nil)
	press := func(x *exchange) { x.account = "press" }
	for i, code := range []verdict.Code{"", "", verdict.CodeRateLimited} {
		x, err := runFilter(s.rateFilter, "", press)
		expectRefusal(t, x, err, code, "")
		if e := verdict.From(err); i == 2 && (e.RetryAfter <= 0 || e.RetryAfter > time.Second) {
			t.Errorf("retry after %v", e.RetryAfter)
		}
	}
	x, err := runFilter(s.rateFilter, "", func(x *exchange) { x.account = "bench" })
	expectRefusal(t, x, err, "", "")
	m := testManifest()
	m.Accounts[1].Quota = structs.Quota{RatePerSecond: 1e6, Burst: 10}
	backend.manifest = m
	// The first request sets the new rate. At 1e6 tokens a second it gets a token
	// only if a microsecond passes during the request, so its result is ignored.
	_, _ = runFilter(s.rateFilter, "", press)
	time.Sleep(time.Millisecond)
	x, err = runFilter(s.rateFilter, "", press)
	expectRefusal(t, x, err, "", "")
}

// Guards against waits without a limit, and against requests that last longer than
// the job's deadline.
func TestDeadlineFilter(t *testing.T) {
	s, _ := newServer(t, func(c *Config) { c.SubmitTimeout = 10 * time.Second })
	for _, c := range []struct {
		wait             string
		deadline         float64
		code             verdict.Code
		timeout, maxWait time.Duration
	}{
		{"", 0, "", 11 * time.Second, 0},
		{"30s", 0, "", 31 * time.Second, 30 * time.Second},
		{"1000h", 0, "", 61 * time.Second, 60 * time.Second},
		{"30s", 2, "", 3 * time.Second, 2 * time.Second},
		{"-1s", 0, verdict.CodeBadRequest, 0, 0},
		{"soon", 0, verdict.CodeBadRequest, 0, 0},
	} {
		started := time.Now()
		x, err := runFilter(s.deadlineFilter, "", func(x *exchange) {
			x.request.URL.RawQuery = "wait=" + c.wait
			x.submission.spec.DeadlineSeconds = c.deadline
		})
		if c.code != "" {
			expectRefusal(t, x, err, c.code, "wait")
			continue
		}
		deadline, _ := x.ctx.Deadline()
		if got := deadline.Sub(started).Round(time.Second); got != c.timeout || x.wait != c.maxWait {
			t.Errorf("wait %q, deadline %g: timeout %v, wait %v", c.wait, c.deadline, got, x.wait)
		}
	}
}

// A panic must not be reported as not_run or expose its message, and every response must
// carry the client's trace.
func TestRecoverAndTraceFilters(t *testing.T) {
	h := chain(func(*exchange) error { panic("fault") }, traceFilter, metricsFilter, recoverFilter)
	rec := httptest.NewRecorder()
	x := &exchange{ctx: context.Background(), header: rec.Header(), request: httptest.NewRequest("GET", "/", nil)}
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	x.request.Header.Set("Traceparent", parent)
	err := h(x)
	if !verdict.HasCode(err, verdict.CodeInternal) || verdict.Of(err) != verdict.MayHaveRun || strings.Contains(err.Error(), "fault)") {
		t.Errorf("error %v", err)
	}
	if got := x.header.Get("Traceparent"); !strings.HasPrefix(got, parent[:35]) {
		t.Errorf("traceparent %q", got)
	}
}

// A request that may have run must not get a status on which clients retry automatically.
func TestNoRetryableStatusIfMayHaveRun(t *testing.T) {
	for code := range statuses {
		for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.Ran} {
			if s := Status(verdict.New(v, code, "x")); s == 503 || s == 429 && code != verdict.CodeRateLimited {
				t.Errorf("%s with %s: status %d", code, v, s)
			}
		}
	}
	if s := Status(verdict.Refuse("new_code", "x")); s != 500 {
		t.Errorf("unknown code: status %d", s)
	}
}

// Guards against error codes that docs/api.md does not describe.
func TestCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	for code, status := range statuses {
		found := false
		for _, line := range strings.Split(string(page), "\n") {
			found = found || strings.HasPrefix(line, "|") && strings.Contains(line, "`"+string(code)+"`") && strings.Contains(line, fmt.Sprint(status))
		}
		if !found {
			t.Errorf("no line with %s and %d", code, status)
		}
	}
}

// FuzzDecodeJob guards against a body that makes the entry panic, or that is
// refused without the verdict not_run.
func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"account":"bench","kind":"proof","shape":{"workers":1},"payload":"AAAA"}`))
	f.Add([]byte(`{"a":[{"b":1,"B":2}],"a":{}}`))
	f.Add([]byte(`[[{}],"x",{"y":"y"}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		repeatedField(body)
		spec, err := decodeJob(body)
		if err != nil {
			var e *verdict.Error
			if !errors.As(err, &e) || e.Verdict != verdict.NotRun {
				t.Fatalf("error %v", err)
			}
			return
		}
		if spec.Shape != nil && checkShape(*spec.Shape) == nil && spec.Shape.Total() > structs.MaxGangAccelerators {
			t.Fatalf("shape %+v", spec.Shape)
		}
	})
}
