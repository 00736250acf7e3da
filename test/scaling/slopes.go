package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// domainAccounts is the number of teams with quotas at the design size.
const domainAccounts = 57

// measureRoles adds a point at x: owner, the mean of the other entries and the
// mean of the agents.
func (r *rig) measureRoles(ctx context.Context, s *series, x float64, window time.Duration) error {
	owner, entries, agents, err := r.roles(ctx)
	if err != nil {
		return err
	}
	names := append(append([]string{owner}, entries...), agents...)
	used, err := r.measure(ctx, names, window)
	if err != nil {
		return err
	}
	s.xs = append(s.xs, x)
	s.put("owner", used[owner])
	if len(entries) > 0 {
		s.put("entry", mean(used, entries))
	}
	s.put("agent", mean(used, agents))
	return nil
}

// domainSize measures idle processes, and the loss of the owner, against the
// number of workers.
func (b *bench) domainSize(ctx context.Context) error {
	sizes := []int{11, 42, 84, 126}
	if b.short {
		sizes = []int{5, 11, 16, 21}
	}
	s := newSeries("domain", "workers")
	var recoveries []recovery
	for _, n := range sizes {
		r, err := startRig(ctx, b.bin, b.out, rigOptions{name: fmt.Sprintf("domain%d", n), workers: n, accelerators: 1, entries: 3, accounts: domainAccounts})
		if err != nil {
			return err
		}
		b.settle()
		err = r.measureRoles(ctx, s, float64(n), b.window())
		var rec recovery
		if err == nil {
			rec, err = r.loseOwner(ctx)
		}
		r.stop()
		if err != nil {
			return err
		}
		recoveries = append(recoveries, rec)
	}
	s.print(b.report)
	b.printRecoveries(s.xs, recoveries)
	return nil
}

// recovery is the cost of one loss of an owner.
type recovery struct {
	// seconds is the time until the next owner schedules; announced until every
	// agent has announced itself there.
	seconds, announced float64
	// calls are RPC calls of the next owner in that time, and reads and writes
	// its use of the platform.
	calls, bytes, reads, writes float64
}

// loseOwner kills the owner and waits until the next one has all agents.
func (r *rig) loseOwner(ctx context.Context) (recovery, error) {
	var rec recovery
	owner, entries, _, err := r.roles(ctx)
	if err != nil {
		return rec, err
	}
	before, err := r.sampleAll(ctx, entries, false)
	if err != nil {
		return rec, err
	}
	start := time.Now()
	if err := r.Signal(owner, syscall.SIGKILL); err != nil {
		return rec, err
	}
	next := ""
	err = r.until(ctx, func() error {
		d, err := r.domain(ctx)
		switch {
		case err != nil:
			return err
		case d.Owner.EntryID == owner || d.Recovering:
			return fmt.Errorf("owner %s, recovering %v", d.Owner.EntryID, d.Recovering)
		}
		if rec.seconds == 0 {
			rec.seconds = time.Since(start).Seconds()
		}
		if len(d.Workers) < r.workers {
			return fmt.Errorf("%d workers", len(d.Workers))
		}
		next = d.Owner.EntryID
		return nil
	})
	if err != nil {
		return rec, err
	}
	rec.announced = time.Since(start).Seconds()
	after, err := r.sampleAll(ctx, []string{next}, true)
	if err != nil {
		return rec, err
	}
	a, z := before[next], after[next]
	rec.calls, rec.bytes = z.calls-a.calls, z.rpcBytes-a.rpcBytes
	rec.reads, rec.writes = z.reads-a.reads, z.writes-a.writes
	return rec, nil
}

func (b *bench) printRecoveries(xs []float64, list []recovery) {
	column := func(name, unit string, f func(recovery) float64) {
		ys := make([]float64, 0, len(list))
		for _, rec := range list {
			ys = append(ys, f(rec))
		}
		b.report.add("recovery."+name, "workers", unit, xs, ys)
	}
	column("scheduling", "s", func(r recovery) float64 { return r.seconds })
	column("announced", "s", func(r recovery) float64 { return r.announced })
	column("calls", "calls", func(r recovery) float64 { return r.calls })
	column("rpc", "B", func(r recovery) float64 { return r.bytes })
	column("reads", "reads", func(r recovery) float64 { return r.reads })
	column("writes", "writes", func(r recovery) float64 { return r.writes })
}

// runningTasks measures against processor-only tasks running on each of 42
// workers, in a single entry that owns the domain.
func (b *bench) runningTasks(ctx context.Context) error {
	workers := 42
	if b.short {
		workers = 11
	}
	r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "tasks", workers: workers, accelerators: 1, entries: 1, accounts: domainAccounts})
	if err != nil {
		return err
	}
	defer r.stop()
	s := newSeries("tasks", "tasks/worker")
	for i, perWorker := range []int{0, 5, 10, 15} {
		if i > 0 {
			if err := r.fill(ctx, kindCPU, 5*workers, nil, false); err != nil {
				return err
			}
		}
		b.settleLoad()
		if err := r.measureRoles(ctx, s, float64(perWorker), b.window()); err != nil {
			return err
		}
	}
	s.print(b.report)
	return nil
}

// waitingJobs measures against jobs that wait in a full domain.
func (b *bench) waitingJobs(ctx context.Context) error {
	r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "waiting", workers: 11, accelerators: 2, entries: 1, accounts: 8})
	if err != nil {
		return err
	}
	defer r.stop()
	if err := r.fill(ctx, kindOnce, 4, nil, true); err != nil {
		return err
	}
	if err := r.fill(ctx, kindShort, 18, nil, true); err != nil {
		return err
	}
	s := newSeries("waiting", "jobs")
	have := 0
	for _, n := range []int{0, 200, 500, 1000} {
		if err := r.fill(ctx, kindShort, n-have, nil, true); err != nil {
			return err
		}
		have = n
		b.settleLoad()
		if err := r.measureRoles(ctx, s, float64(n), b.window()); err != nil {
			return err
		}
	}
	s.print(b.report)
	return nil
}

// jobRate measures against short jobs a second whose callers wait.
func (b *bench) jobRate(ctx context.Context) error {
	r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "rate", workers: 11, accelerators: 8, entries: 3, accounts: 8})
	if err != nil {
		return err
	}
	defer r.stop()
	s := newSeries("rate", "jobs/s")
	b.settle()
	for _, perSecond := range []int{0, 5, 10, 20, 40} {
		load, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- r.offer(load, perSecond) }()
		time.Sleep(time.Second)
		err := r.measureRoles(ctx, s, float64(perSecond), b.window())
		stop()
		if err := <-done; err != nil {
			return err
		}
		if err != nil {
			return err
		}
	}
	s.print(b.report)
	return nil
}

// offer submits short jobs at a rate until ctx ends, and waits for them.
func (r *rig) offer(ctx context.Context, perSecond int) error {
	if perSecond == 0 {
		<-ctx.Done()
		return nil
	}
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	failed := make(chan error, 1)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-tick.C:
		}
		wg.Go(func() {
			if _, err := r.runJob(context.WithoutCancel(ctx), kindShort, 50); err != nil {
				select {
				case failed <- err:
				default:
				}
			}
		})
	}
}

// runJob runs one job and returns it when it has finished.
func (r *rig) runJob(ctx context.Context, kind string, runMS int64) (*structs.Job, error) {
	spec, err := r.spec(kind, runMS, nil)
	if err != nil {
		return nil, err
	}
	job, err := r.client.Submit(ctx, spec, 20*time.Second)
	if err == nil && job.State != structs.JobFinished {
		err = fmt.Errorf("job %s is %s: %v", job.ID, job.State, job.Error)
	}
	return job, err
}
