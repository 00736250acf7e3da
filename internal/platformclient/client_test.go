package platformclient_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startStub returns a platform stub and a client that calls it over loopback.
func startStub(t *testing.T, o platformclient.Options) (*platformstub.Server, *platformclient.Client) {
	t.Helper()
	s := platformstub.New(platformstub.Options{})
	server := httptest.NewServer(s)
	o.URL = server.URL
	c := platformclient.NewClient(o)
	t.Cleanup(func() {
		c.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return s, c
}

func setFaults(t *testing.T, s *platformstub.Server, f platformstub.Faults) {
	t.Helper()
	if err := s.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// Guards against a client and a stub that deviate from the protocol in keys,
// versions, checks, paging or checksums.
func TestProtocol(t *testing.T) {
	_, c := startStub(t, platformclient.Options{})
	ctx := context.Background()
	keys := []string{"a/1", "a/%2F ü", "a/b c?d#e", "b/1"}
	for _, key := range keys {
		if _, err := c.Commit(ctx, platformclient.Txn{Checks: []platformclient.Check{{Key: key}}, Puts: []platformclient.Put{{Key: key, Value: []byte(key)}}}); err != nil {
			t.Fatal(err)
		}
		if row, err := c.Get(ctx, key); err != nil || row.Key != key || string(row.Value) != key || row.Version == 0 {
			t.Fatalf("Get(%q) = %+v, %v", key, row, err)
		}
	}
	_, err := c.Commit(ctx, platformclient.Txn{
		Checks: []platformclient.Check{{Key: "a/1"}, {Key: "b/1", Version: 4}, {Key: "none", Version: 9}},
		Puts:   []platformclient.Put{{Key: "c", Value: []byte("x")}},
	})
	if got := platformclient.Conflicts(err); len(got) != 2 || got[0].Key != "a/1" || got[0].Version != 1 || verdict.Of(err) != verdict.NotRun {
		t.Errorf("conflicts %v, error %v", got, err)
	}
	if _, err := c.Get(ctx, "c"); !verdict.HasCode(err, verdict.CodeNotFound) {
		t.Errorf("a transaction with a failed check took effect: %v", err)
	}
	for i := range 2500 {
		if i%500 == 0 {
			txn := platformclient.Txn{}
			for j := range 500 {
				txn.Puts = append(txn.Puts, platformclient.Put{Key: fmt.Sprintf("many/%04d", i+j)})
			}
			if _, err := c.Commit(ctx, txn); err != nil {
				t.Fatal(err)
			}
		}
	}
	if rows, err := c.List(ctx, "many/", "many/0099", 2200); err != nil || len(rows) != 2200 || rows[0].Key != "many/0100" || rows[2199].Key != "many/2299" {
		t.Errorf("List: %d rows, %v", len(rows), err)
	}
	data := bytes.Repeat([]byte("result"), 1000)
	if err := c.PutObject(ctx, "results/x.1/1", data); err != nil {
		t.Fatal(err)
	}
	if got, err := c.GetObject(ctx, "results/x.1/1"); err != nil || !bytes.Equal(got, data) {
		t.Errorf("GetObject: %d bytes, %v", len(got), err)
	}
	if _, err := c.GetObject(ctx, "results/none"); !verdict.HasCode(err, verdict.CodeNotFound) {
		t.Errorf("GetObject: %v", err)
	}
}

// Guards against a write that is reported as not run although it took effect, and
// against a write that is sent again after its response was lost.
func TestVerdicts(t *testing.T) {
	put := platformclient.Txn{Puts: []platformclient.Put{{Key: "k", Value: []byte("v")}}}
	for _, tc := range []struct {
		name   string
		faults platformstub.Faults
		want   verdict.Verdict
		writes int64
		// timeout ends the calls that get no response. It is long for the refused
		// call, which must use up its attempts: if the timeout interrupted one of
		// them, it would be unknown whether that one took effect.
		timeout time.Duration
	}{
		{"lost answer", platformstub.Faults{LoseAnswers: 1}, verdict.MayHaveRun, 1, 200 * time.Millisecond},
		{"reset", platformstub.Faults{TableDown: true, Outage: platformstub.OutageReset}, verdict.MayHaveRun, 0, 200 * time.Millisecond},
		{"hang", platformstub.Faults{TableDown: true, Outage: platformstub.OutageHang}, verdict.MayHaveRun, 0, 200 * time.Millisecond},
		{"slow", platformstub.Faults{SlowMS: 600}, verdict.MayHaveRun, 1, 200 * time.Millisecond},
		{"refused", platformstub.Faults{TableDown: true}, verdict.NotRun, 0, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := startStub(t, platformclient.Options{Timeout: tc.timeout})
			setFaults(t, s, tc.faults)
			_, err := c.Commit(context.Background(), put)
			if verdict.Of(err) != tc.want || !verdict.HasCode(err, verdict.CodePlatformUnavailable) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
			time.Sleep(time.Duration(tc.faults.SlowMS) * time.Millisecond)
			counters := s.Counters()
			if counters.RowsWritten != tc.writes || counters.Injected() == 0 {
				t.Errorf("counters %+v, want %d rows written", counters, tc.writes)
			}
			if tc.want == verdict.MayHaveRun && counters.Writes != 1 {
				t.Errorf("an uncertain write was sent %d times", counters.Writes)
			}
		})
	}
	_, c := startStub(t, platformclient.Options{})
	closed := platformclient.NewClient(platformclient.Options{URL: "http://127.0.0.1:1"})
	defer closed.Close()
	if _, err := closed.Commit(context.Background(), put); verdict.Of(err) != verdict.NotRun {
		t.Errorf("connection refused: %v", err)
	}
	if c.Health() != platformclient.HealthOK {
		t.Errorf("health %v", c.Health())
	}
}

// Guards against a circuit that stays open after an outage, and against one that
// lets requests through during the outage.
func TestBreaker(t *testing.T) {
	s, c := startStub(t, platformclient.Options{})
	setFaults(t, s, platformstub.Faults{TableDown: true})
	ctx := context.Background()
	for range 100 {
		if _, err := c.Get(ctx, "k"); verdict.Of(err) != verdict.NotRun {
			t.Fatal(err)
		}
	}
	if n := s.Counters().Reads; n > 10 || c.Health() != platformclient.HealthDown {
		t.Errorf("%d reads were sent, health %v", n, c.Health())
	}
	setFaults(t, s, platformstub.Faults{})
	deadline := time.Now().Add(4 * time.Second)
	for c.Health() != platformclient.HealthOK && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
		_, _ = c.Get(ctx, "k")
	}
	if c.Health() != platformclient.HealthOK {
		t.Error("circuit stayed open")
	}
	if _, err := c.GetObject(ctx, "none"); !verdict.HasCode(err, verdict.CodeNotFound) {
		t.Errorf("objects: %v", err)
	}
}

// Guards against lost rows, duplicate results and wrong versions when many
// callers share transactions whose responses are lost.
func TestBatchOverHTTP(t *testing.T) {
	s, c := startStub(t, platformclient.Options{})
	setFaults(t, s, platformstub.Faults{LoseAnswers: 0.3, Seed: 1})
	b := platformclient.NewBatcher(c, platformclient.BatchOptions{FlushRows: 8})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Go(func() {
			key := fmt.Sprintf("jobs/%03d", i)
			var zero uint64
			version, err := b.Write(ctx, platformclient.Write{Key: key, Value: []byte(key), Check: &zero})
			if err != nil || version == 0 {
				t.Errorf("write %s: %d, %v", key, version, err)
			}
		})
	}
	wg.Wait()
	if err := b.Close(ctx); err != nil {
		t.Error(err)
	}
	counters := s.Counters()
	t.Logf("seed 1: %+v", counters)
	if counters.RowsWritten != 300 || counters.FaultLost == 0 {
		t.Errorf("%d rows written, want 300; %d answers lost", counters.RowsWritten, counters.FaultLost)
	}
}
