package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerstub"
	"github.com/parsleypier/parsleypier/test/cluster"
)

const (
	latencyRunMS = 20
	// latencyPause separates the jobs, as the latency of a job that meets no other
	// is measured. At the design size a domain has a job every four minutes.
	latencyPause = 100 * time.Millisecond
	// rpcPort is the port of the daemons in test/cluster.
	rpcPort = "7100"
)

// Hops of a one-accelerator job whose caller waits, one after another. HTTP:
// the caller at the entry, and run, states and result at the worker. RPC:
// Submit, Prepare, Commit and GangFinished. A non-idempotent job is written
// when it is accepted and when its attempt is marked; the row of an idempotent
// one is written behind.
const (
	httpHops   = 4
	rpcHops    = 4
	onceWrites = 2
)

// histogram holds microseconds up to a minute.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// timed records n calls of f.
func timed(n int, f func() error) (*hdrhistogram.Histogram, error) {
	h := histogram()
	for range n {
		start := time.Now()
		if err := f(); err != nil {
			return nil, err
		}
		if err := h.RecordValue(time.Since(start).Microseconds()); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// latency measures what the system adds to the run time of a job at the worker,
// against the floor of its table writes and hops.
func (b *bench) latency(ctx context.Context) error {
	r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "latency", workers: 11, accelerators: 8, entries: 3, accounts: 4})
	if err != nil {
		return err
	}
	defer r.stop()
	b.settle()
	jobs := 150
	if b.short {
		jobs = 40
	}
	floor, write, err := r.floor(ctx, b.report, jobs)
	if err != nil {
		return err
	}
	for _, k := range []struct {
		name, kind string
		writes     float64
	}{{"idempotent", kindShort, 0}, {"non-idempotent", kindOnce, onceWrites}} {
		added, err := r.added(ctx, k.kind, jobs)
		if err != nil {
			return err
		}
		idle, err := r.idleFloor(ctx, int(k.writes), jobs)
		if err != nil {
			return err
		}
		b.report.figure("latency."+k.name+".floor", "ms", floor+k.writes*write, 0)
		b.report.figure("latency."+k.name+".idle-floor-p50", "ms", ms(idle, 50), 0)
		b.report.figure("latency."+k.name+".idle-floor-p99", "ms", ms(idle, 99), 0)
		b.report.figure("latency."+k.name+".added-p50", "ms", ms(added, 50), 0)
		b.report.figure("latency."+k.name+".added-p99", "ms", ms(added, 99), 0)
	}
	return nil
}

// added runs jobs one after another and returns the time of each less that
// between the start and end of its task, which the worker recorded.
func (r *rig) added(ctx context.Context, kind string, jobs int) (*hdrhistogram.Histogram, error) {
	took := map[string]time.Duration{}
	for range jobs {
		time.Sleep(latencyPause)
		start := time.Now()
		job, err := r.runJob(ctx, kind, latencyRunMS)
		if err != nil {
			return nil, err
		}
		took[job.ID] = time.Since(start)
	}
	ran := map[string]time.Duration{}
	for i := range r.workers {
		var events []workerstub.Event
		if err := getJSON(ctx, r.URL(cluster.WorkerName(i+1))+"/debug/history", &events); err != nil {
			return nil, err
		}
		for _, e := range events {
			if e.Event == workerstub.EventStart {
				ran[e.JobID] -= time.Duration(e.TimeNS)
			} else {
				ran[e.JobID] += time.Duration(e.TimeNS)
			}
		}
	}
	h := histogram()
	for id, d := range took {
		if ran[id] <= 0 || ran[id] > d {
			return nil, fmt.Errorf("job %s ran for %v of %v", id, ran[id], d)
		}
		if err := h.RecordValue((d - ran[id]).Microseconds()); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// floor returns the medians, in milliseconds, of all hops of a job together and
// of one table write.
func (r *rig) floor(ctx context.Context, p *report, n int) (hops, write float64, err error) {
	table := platformclient.NewClient(platformclient.Options{URL: r.URL(cluster.PlatformName)})
	defer table.Close()
	value := make([]byte, 300)
	for i := range value {
		value[i] = 'x'
	}
	writes, err := timed(n, func() error {
		_, err := table.Commit(ctx, platformclient.Txn{Puts: []platformclient.Put{{Key: "slopes/floor", Value: []byte(`"` + string(value) + `"`)}}})
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	pool := rpc.NewPool("", "slopes", nil)
	defer pool.Close()
	entry := cluster.EntryName(1)
	calls, err := timed(n, func() error {
		return pool.Call(ctx, r.IP(entry)+":"+rpcPort, "Peer.Owner", &structs.OwnerArgs{Domain: domainName}, &structs.OwnerReply{})
	})
	if err != nil {
		return 0, 0, err
	}
	requests, err := timed(n, func() error {
		var info map[string]any
		return getJSON(ctx, r.URL(cluster.WorkerName(1))+"/v1/info", &info)
	})
	if err != nil {
		return 0, 0, err
	}
	p.figure("latency.hop.write", "ms", ms(writes, 50), 0)
	p.figure("latency.hop.rpc", "ms", ms(calls, 50), 0)
	p.figure("latency.hop.http", "ms", ms(requests, 50), 0)
	return httpHops*ms(requests, 50) + rpcHops*ms(calls, 50), ms(writes, 50), nil
}

// idleFloor measures the hops of a job one after another, with the pauses
// between jobs and the run time of the task. A process that has been idle takes
// several times as long to answer as one that has just answered, so the medians
// of calls in a row, which floor returns, are no floor for a job by itself.
func (r *rig) idleFloor(ctx context.Context, writes, n int) (*hdrhistogram.Histogram, error) {
	table := platformclient.NewClient(platformclient.Options{URL: r.URL(cluster.PlatformName)})
	defer table.Close()
	pool := rpc.NewPool("", "slopes", nil)
	defer pool.Close()
	entry := func(int) error {
		return pool.Call(ctx, r.IP(cluster.EntryName(1))+":"+rpcPort, "Peer.Owner", &structs.OwnerArgs{Domain: domainName}, &structs.OwnerReply{})
	}
	agent := func(i int) error {
		return pool.Call(ctx, r.IP(cluster.AgentName(i))+":"+rpcPort, "Agent.Status", &structs.GangArgs{GangID: "floor"}, &structs.GangReply{})
	}
	get := func(url string) error {
		var reply map[string]any
		return getJSON(ctx, url, &reply)
	}
	client := func(int) error { return get(r.URL(cluster.EntryName(1)) + "/healthz") }
	worker := func(i int) error { return get(r.URL(cluster.WorkerName(i)) + "/v1/info") }
	read := func(int) error {
		_, err := table.Get(ctx, "owners/"+domainName)
		return err
	}
	write := func(int) error {
		_, err := table.Commit(ctx, platformclient.Txn{Puts: []platformclient.Put{{Key: "slopes/floor", Value: []byte(`"x"`)}}})
		return err
	}
	before := []func(int) error{client, entry, read}
	for range writes / 2 {
		before = append(before, write) // the row that accepts the job
	}
	before = append(before, agent)
	for range writes / 2 {
		before = append(before, write) // the attempt mark
	}
	before = append(before, agent, worker)
	after := []func(int) error{worker, worker, entry}
	h := histogram()
	for i := range n {
		time.Sleep(latencyPause)
		start := time.Now()
		if err := inTurn(before, 1+i%r.workers); err != nil {
			return nil, err
		}
		took := time.Since(start)
		time.Sleep(latencyRunMS * time.Millisecond)
		start = time.Now()
		if err := inTurn(after, 1+i%r.workers); err != nil {
			return nil, err
		}
		if err := h.RecordValue((took + time.Since(start)).Microseconds()); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// inTurn makes the calls one after another, each of worker i or its agent.
func inTurn(calls []func(int) error, i int) error {
	for _, call := range calls {
		if err := call(i); err != nil {
			return err
		}
	}
	return nil
}

// The platform's limits for everybody, of which a measurement takes all.
var limitedPlatform = []string{"--writes-per-second=300", "--reads-per-second=2000"}

// throughput runs as many short jobs as one entry carries with a platform of
// 300 writes and 2,000 reads a second.
func (b *bench) throughput(ctx context.Context) error {
	for _, kind := range []string{kindShort, kindOnce} {
		if err := b.throughputOf(ctx, kind); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) throughputOf(ctx context.Context, kind string) error {
	r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "throughput-" + kind, workers: 21, accelerators: 8, entries: 1, accounts: 8, platform: limitedPlatform})
	if err != nil {
		return err
	}
	defer r.stop()
	b.settle()
	owner, _, _, err := r.roles(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	var h *hdrhistogram.Histogram
	var failed int
	var load sync.WaitGroup
	load.Go(func() { h, failed = r.closedLoop(ctx, kind, b.window()) })
	used, err := r.measure(ctx, []string{owner}, b.window())
	load.Wait()
	if err != nil {
		return err
	}
	var vars struct {
		Stub struct {
			Rows        float64 `json:"rows_written"`
			RateLimited float64 `json:"rate_limited"`
		} `json:"platform_stub"`
	}
	if err := getJSON(ctx, r.URL(cluster.PlatformName)+"/debug/vars", &vars); err != nil {
		return err
	}
	jobs := float64(h.TotalCount())
	seconds := time.Since(start).Seconds()
	name := "throughput." + map[string]string{kindShort: "idempotent", kindOnce: "non-idempotent"}[kind]
	b.report.figure(name+".jobs", "1/s", jobs/seconds, 0)
	b.report.figure(name+".failed", "jobs", float64(failed), 0)
	b.report.figure(name+".p50", "ms", ms(h, 50), 0)
	b.report.figure(name+".p99", "ms", ms(h, 99), 0)
	b.report.figure(name+".writes", "1/s", used[owner].Writes, 300)
	b.report.figure(name+".reads", "1/s", used[owner].Reads, 2000)
	b.report.figure(name+".writes-per-job", "txn/job", used[owner].Writes*seconds/jobs, 0)
	b.report.figure(name+".rows-per-job", "row/job", vars.Stub.Rows/jobs, 0)
	b.report.figure(name+".rate-limited", "requests", vars.Stub.RateLimited, 0)
	b.report.figure(name+".owner.cpu", "%core", used[owner].CPU, 0)
	return nil
}

// throughputCallers is the number of callers that each wait for one job.
const throughputCallers = 64

// closedLoop lets every caller run one short job after another, and returns the
// times of the jobs and how many failed.
func (r *rig) closedLoop(ctx context.Context, kind string, window time.Duration) (h *hdrhistogram.Histogram, failed int) {
	load, stop := context.WithTimeout(ctx, window)
	defer stop()
	h = histogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range throughputCallers {
		wg.Go(func() {
			for load.Err() == nil {
				start := time.Now()
				_, err := r.runJob(ctx, kind, 10)
				mu.Lock()
				if err != nil || h.RecordValue(time.Since(start).Microseconds()) != nil {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return h, failed
}
