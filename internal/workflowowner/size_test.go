package workflowowner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

// newLoadedOwner returns an owner without goroutines that has read its rows, of which there
// are none.
func newLoadedOwner(store rowstore.Store, epoch, version uint64) *Owner {
	began := time.Now()
	o := New(Options{
		ID: "owner", Addr: "owner", Epoch: epoch, Version: version, Store: store, Table: testTable, Config: testConfig{gpus: 16}, Caller: &failingCaller{},
		Mirror: rowstore.NewMirror(store, testTable, eventlog.Discard(), nil), Log: eventlog.Discard(),
		Entries: func() ([]string, uint64) { return nil, 0 }, Authority: func() bool { return true }, OnHigherEpoch: func(uint64) {},
		OnFencedWrite: func(uint64, time.Duration) {}, Clock: func() time.Duration { return time.Since(began) }, Decide: workflowscheduler.Decide,
		UnixMillis: func() int64 { return time.Now().UnixMilli() },
		Times:      Times{Lease: testLease, StopGrace: 200 * time.Millisecond, GangWait: 3 * time.Second, Reclaim: 2700 * time.Millisecond, RemotePenalty: 3, JobRetention: time.Minute},
	})
	o.loaded = true
	return o
}

// busyOwner returns an owner with idle workers and waiting jobs; the first cycle fills
// the workers.
func busyOwner(tb testing.TB, workers, jobs int) *Owner {
	tb.Helper()
	o := newLoadedOwner(rowstorestub.New().ClientFor("owner"), 2, 1)
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		w := newWorker(id)
		w.reported, w.rowStored, w.fence, w.lastCall = true, true, 2, time.Now().Add(time.Hour)
		w.info = workflowrpc.Worker{ID: id, Rack: fmt.Sprintf("r%d", i/12), Capacity: workflow.Resources{CPUMilli: 64000, MemoryMB: 1 << 18, GPUs: 8}}
		o.workers[id] = w
	}
	for i := range jobs {
		rec := workflow.Record{ID: fmt.Sprintf("%016x", i), Queue: "q", Account: fmt.Sprintf("a%d", i%24), Terms: workflow.Terms{MaxAttempts: 2, Stretch: 3}}
		rec.Spec.Steps = []workflow.Step{{Tasks: 1 + i%20, Gang: i%3 == 0, Estimate: 3000, Need: workflow.Resources{CPUMilli: 6000, MemoryMB: 20000, GPUs: 1 + i%2}}}
		value, err := json.Marshal(rec)
		if err != nil {
			tb.Fatal(err)
		}
		o.observe(rowstore.Row{Table: testTable, Key: workflow.RecordPrefix + rec.ID, Value: value, Version: uint64(i) + 2})
	}
	return o
}

// BenchmarkCycle measures a scheduling cycle of the owner, by the number of workers. All
// workers are in use, and as many jobs as there are workers were submitted.
func BenchmarkCycle(b *testing.B) {
	for _, workers := range []int{11, 73, 240} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			o := busyOwner(b, workers, workers)
			o.cycle()
			for b.Loop() {
				o.cycle()
			}
			running := 0
			for _, w := range o.workers {
				running += len(w.runs)
			}
			b.ReportMetric(float64(running), "runs")
		})
	}
}
