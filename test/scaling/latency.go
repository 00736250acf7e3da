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
	// latencyPause is the pause between jobs, so that no job competes with another. At
	// the design size a domain receives one job every four minutes.
	latencyPause = 100 * time.Millisecond
	// rpcPort is the RPC port of the daemons, as in package cluster.
	rpcPort = "7100"
)

// Sequential steps of a one-accelerator job whose caller waits. HTTP requests: from the
// caller to the entry, and for run, states and result to the worker. RPC calls: Submit,
// Prepare, Commit and GangFinished. The row of a non-idempotent job is written when the
// job is accepted, and when the start of its attempt is recorded. The row of an
// idempotent job is written asynchronously and adds no latency.
const (
	httpHops            = 4
	rpcHops             = 4
	nonIdempotentWrites = 2
)

// newHistogram returns a histogram of durations in microseconds, up to one minute.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// timeCalls returns the durations of n successive calls of f.
func timeCalls(n int, f func() error) (*hdrhistogram.Histogram, error) {
	h := newHistogram()
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

// latency measures the latency that the system adds to the run time of a job at the
// worker. It prints it beside two lower bounds: the sum of the medians of the job's
// requests and table writes, and the same steps measured in processes that were idle.
func (b *benchmark) latency(ctx context.Context) error {
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "latency", workers: 11, accelerators: 8, entries: 3, accounts: 4})
	if err != nil {
		return err
	}
	defer dep.stop()
	b.settle()
	jobs := 150
	if b.short {
		jobs = 40
	}
	floor, write, err := dep.medianFloor(ctx, b.report, jobs)
	if err != nil {
		return err
	}
	for _, k := range []struct {
		name, kind string
		writes     float64
	}{{"idempotent", kindShort, 0}, {"non-idempotent", kindOnce, nonIdempotentWrites}} {
		added, err := dep.addedLatency(ctx, k.kind, jobs)
		if err != nil {
			return err
		}
		idle, err := dep.idleFloor(ctx, int(k.writes), jobs)
		if err != nil {
			return err
		}
		b.report.printValue("latency."+k.name+".floor", "ms", floor+k.writes*write, 0)
		b.report.printValue("latency."+k.name+".idle-floor-p50", "ms", quantileMS(idle, 50), 0)
		b.report.printValue("latency."+k.name+".idle-floor-p99", "ms", quantileMS(idle, 99), 0)
		b.report.printValue("latency."+k.name+".added-p50", "ms", quantileMS(added, 50), 0)
		b.report.printValue("latency."+k.name+".added-p99", "ms", quantileMS(added, 99), 0)
	}
	return nil
}

// addedLatency runs jobs one after another. It returns the time of each job minus the run
// time of its task, which the worker recorded.
func (dep *deployment) addedLatency(ctx context.Context, kind string, jobs int) (*hdrhistogram.Histogram, error) {
	took := map[string]time.Duration{}
	for range jobs {
		time.Sleep(latencyPause)
		start := time.Now()
		job, err := dep.runJob(ctx, kind, latencyRunMS)
		if err != nil {
			return nil, err
		}
		took[job.ID] = time.Since(start)
	}
	ran := map[string]time.Duration{}
	for i := range dep.workers {
		var events []workerstub.Event
		if err := getJSON(ctx, dep.URL(cluster.WorkerName(i+1))+"/debug/history", &events); err != nil {
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
	h := newHistogram()
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

// medianFloor returns, in milliseconds, the sum of the median times of all HTTP and RPC
// hops of a job, and the median time of one table write.
func (dep *deployment) medianFloor(ctx context.Context, p *report, n int) (hops, write float64, err error) {
	table := platformclient.NewClient(platformclient.Options{URL: dep.URL(cluster.PlatformName)})
	defer table.Close()
	value := make([]byte, 300)
	for i := range value {
		value[i] = 'x'
	}
	writes, err := timeCalls(n, func() error {
		_, err := table.Commit(ctx, platformclient.Txn{Puts: []platformclient.Put{{Key: "slopes/floor", Value: []byte(`"` + string(value) + `"`)}}})
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	pool := rpc.NewPool("", "slopes", nil)
	defer pool.Close()
	entry := cluster.EntryName(1)
	calls, err := timeCalls(n, func() error {
		return pool.Call(ctx, dep.IP(entry)+":"+rpcPort, "Peer.Owner", &structs.OwnerArgs{Domain: domainName}, &structs.OwnerReply{})
	})
	if err != nil {
		return 0, 0, err
	}
	requests, err := timeCalls(n, func() error {
		var info map[string]any
		return getJSON(ctx, dep.URL(cluster.WorkerName(1))+"/v1/info", &info)
	})
	if err != nil {
		return 0, 0, err
	}
	p.printValue("latency.hop.write", "ms", quantileMS(writes, 50), 0)
	p.printValue("latency.hop.rpc", "ms", quantileMS(calls, 50), 0)
	p.printValue("latency.hop.http", "ms", quantileMS(requests, 50), 0)
	return httpHops*quantileMS(requests, 50) + rpcHops*quantileMS(calls, 50), quantileMS(writes, 50), nil
}

// idleFloor measures the steps of a job one after another, with the same pauses between
// jobs and for the run time of the task. A process that has been idle takes several times
// as long to respond as one that has just responded. The medians of back-to-back calls from
// medianFloor are therefore too low a bound for a single job.
func (dep *deployment) idleFloor(ctx context.Context, writes, n int) (*hdrhistogram.Histogram, error) {
	table := platformclient.NewClient(platformclient.Options{URL: dep.URL(cluster.PlatformName)})
	defer table.Close()
	pool := rpc.NewPool("", "slopes", nil)
	defer pool.Close()
	entry := func(int) error {
		return pool.Call(ctx, dep.IP(cluster.EntryName(1))+":"+rpcPort, "Peer.Owner", &structs.OwnerArgs{Domain: domainName}, &structs.OwnerReply{})
	}
	agent := func(i int) error {
		return pool.Call(ctx, dep.IP(cluster.AgentName(i))+":"+rpcPort, "Agent.Status", &structs.GangArgs{GangID: "floor"}, &structs.GangReply{})
	}
	get := func(url string) error {
		var response map[string]any
		return getJSON(ctx, url, &response)
	}
	client := func(int) error { return get(dep.URL(cluster.EntryName(1)) + "/healthz") }
	worker := func(i int) error { return get(dep.URL(cluster.WorkerName(i)) + "/v1/info") }
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
		before = append(before, write) // the row that records the start of the attempt
	}
	before = append(before, agent, worker)
	after := []func(int) error{worker, worker, entry}
	h := newHistogram()
	for i := range n {
		time.Sleep(latencyPause)
		start := time.Now()
		if err := callInTurn(before, 1+i%dep.workers); err != nil {
			return nil, err
		}
		took := time.Since(start)
		time.Sleep(latencyRunMS * time.Millisecond)
		start = time.Now()
		if err := callInTurn(after, 1+i%dep.workers); err != nil {
			return nil, err
		}
		if err := h.RecordValue((took + time.Since(start)).Microseconds()); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// callInTurn makes the calls one after another, with worker number i as their argument.
func callInTurn(calls []func(int) error, i int) error {
	for _, call := range calls {
		if err := call(i); err != nil {
			return err
		}
	}
	return nil
}

// platformLimitArgs set the platform's limits, which are shared by all its users. A
// throughput measurement may use them up.
var platformLimitArgs = []string{"--writes-per-second=300", "--reads-per-second=2000"}

// throughput measures how many short jobs a second one entry can run, with a platform
// that allows 300 writes and 2,000 reads a second.
func (b *benchmark) throughput(ctx context.Context) error {
	for _, kind := range []string{kindShort, kindOnce} {
		if err := b.throughputOfKind(ctx, kind); err != nil {
			return err
		}
	}
	return nil
}

// throughputOfKind measures the throughput of one job kind.
func (b *benchmark) throughputOfKind(ctx context.Context, kind string) error {
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "throughput-" + kind, workers: 21, accelerators: 8, entries: 1, accounts: 8, platform: platformLimitArgs})
	if err != nil {
		return err
	}
	defer dep.stop()
	b.settle()
	owner, _, _, err := dep.roles(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	var h *hdrhistogram.Histogram
	var failed int
	var load sync.WaitGroup
	load.Go(func() { h, failed = dep.closedLoop(ctx, kind, b.window()) })
	used, err := dep.measure(ctx, []string{owner}, b.window())
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
	if err := getJSON(ctx, dep.URL(cluster.PlatformName)+"/debug/vars", &vars); err != nil {
		return err
	}
	jobs := float64(h.TotalCount())
	seconds := time.Since(start).Seconds()
	name := "throughput." + map[string]string{kindShort: "idempotent", kindOnce: "non-idempotent"}[kind]
	b.report.printValue(name+".jobs", "1/s", jobs/seconds, 0)
	b.report.printValue(name+".failed", "jobs", float64(failed), 0)
	b.report.printValue(name+".p50", "ms", quantileMS(h, 50), 0)
	b.report.printValue(name+".p99", "ms", quantileMS(h, 99), 0)
	b.report.printValue(name+".writes", "1/s", used[owner].Writes, 300)
	b.report.printValue(name+".reads", "1/s", used[owner].Reads, 2000)
	b.report.printValue(name+".writes-per-job", "txn/job", used[owner].Writes*seconds/jobs, 0)
	b.report.printValue(name+".rows-per-job", "row/job", vars.Stub.Rows/jobs, 0)
	b.report.printValue(name+".rate-limited", "requests", vars.Stub.RateLimited, 0)
	b.report.printValue(name+".owner.cpu", "%core", used[owner].CPU, 0)
	return nil
}

// throughputCallers is the number of concurrent callers, each with one job at a time.
const throughputCallers = 64

// closedLoop lets throughputCallers callers run short jobs one after another for the
// duration of the window. It returns the times of the jobs and how many failed.
func (dep *deployment) closedLoop(ctx context.Context, kind string, window time.Duration) (h *hdrhistogram.Histogram, failed int) {
	load, stop := context.WithTimeout(ctx, window)
	defer stop()
	h = newHistogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range throughputCallers {
		wg.Go(func() {
			for load.Err() == nil {
				start := time.Now()
				_, err := dep.runJob(ctx, kind, 10)
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
