package platformstub

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Faults, counters and the history must be available over HTTP, and malformed
// requests must have no effect.
func TestHTTPRequestsAndFaults(t *testing.T) {
	s := New(Options{WritesPerSecond: 50})
	request := func(method, path, body string) (w *httptest.ResponseRecorder) {
		w = httptest.NewRecorder()
		defer func() {
			if r := recover(); r != nil && r != http.ErrAbortHandler {
				panic(r)
			} else if r != nil {
				w.Code = 0
			}
		}()
		s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	const put = `{"puts":[{"key":"a/b","value":"eA=="}]}`
	for _, tc := range []struct {
		method, path, body string
		status             int // 0 means that there is no response
	}{
		{"POST", "/v1/table/txn", put, 200},
		{"POST", "/v1/table/txn", `{"checks":[{"key":"a/b","version":2}]}`, 409},
		{"POST", "/v1/table/txn", `{"checks":[{"key":"a/b","version":1}]}`, 200},
		{"POST", "/v1/table/txn", `{"puts":[{"key":"c"},{"key":"c"}]}`, 400},
		{"POST", "/v1/table/txn", `{"puts":[{"key":"c"}],"deletes":["c"]}`, 400},
		{"POST", "/v1/table/txn", `{"puts":[{"key":"c//d"}]}`, 400},
		{"POST", "/v1/table/txn", `{"put":[]}`, 400},
		{"POST", "/v1/table/txn", `{"deletes":["` + strings.Repeat(`x","`, maxOperations) + `y"]}`, 413},
		{"GET", "/v1/table/rows?limit=0", "", 400},
		{"GET", "/v1/table/rows?prefix=a/", "", 200},
		{"PUT", "/v1/objects/a", "data without its checksum", 400},
		{"POST", "/debug/faults", `{"lose_answers":2}`, 400},
		{"POST", "/debug/faults", `{"outage":"fire"}`, 400},
		{"POST", "/debug/faults", `{"lose_answers":1,"seed":7}`, 204},
		{"POST", "/v1/table/txn", put, 0},
		{"POST", "/debug/faults", `{"late_writes":1,"late_ms":1}`, 204},
		{"POST", "/v1/table/txn", put, 0},
		{"POST", "/debug/faults", `{"table_down":true,"outage":"reset"}`, 204},
		{"POST", "/v1/table/txn", put, 0},
		{"POST", "/debug/faults", `{"table_down":true}`, 204},
		{"GET", "/v1/table/rows/a/b", "", 503},
		{"GET", "/v1/objects/a", "", 404},
		{"POST", "/debug/faults", `{}`, 204},
	} {
		if got := request(tc.method, tc.path, tc.body).Code; got != tc.status {
			t.Errorf("%s %s %.60s: status %d, want %d", tc.method, tc.path, tc.body, got, tc.status)
		}
	}
	s.WaitForLateWrites()
	checkDebug(t, request)
	limited := 0
	for range 20 {
		if w := request("POST", "/v1/table/txn", put); w.Code == 429 && w.Header().Get("Retry-After") != "" {
			limited++
		}
	}
	if limited == 0 {
		t.Error("the write rate is not limited")
	}
}

// checkDebug checks the history and the counters after the requests of
// TestHTTPRequestsAndFaults.
func checkDebug(t *testing.T, request func(method, path, body string) *httptest.ResponseRecorder) {
	var history []Record
	if err := json.Unmarshal(request("GET", "/debug/history", "").Body.Bytes(), &history); err != nil || len(history) != 3 || history[0].Lost || !history[1].Lost || !history[2].Lost || history[2].Seq != 3 {
		t.Errorf("history %+v, %v", history, err)
	}
	var vars struct {
		Stub Counters `json:"platform_stub"`
	}
	if err := json.Unmarshal(request("GET", "/debug/vars", "").Body.Bytes(), &vars); err != nil || vars.Stub.FaultLost != 1 || vars.Stub.FaultLate != 1 || vars.Stub.FaultOutage != 2 || vars.Stub.Conflicts != 1 {
		t.Errorf("counters %+v, %v", vars.Stub, err)
	}
}
