package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// domainAccounts is the number of accounts (teams with quotas) at the design size.
const domainAccounts = 57

// measureRoles measures all daemons and adds a point at x to the series: the owner, the
// mean of the other entries, and the mean of the agents.
func (dep *deployment) measureRoles(ctx context.Context, s *series, x float64, window time.Duration) error {
	owner, entries, agents, err := dep.roles(ctx)
	if err != nil {
		return err
	}
	names := append(append([]string{owner}, entries...), agents...)
	used, err := dep.measure(ctx, names, window)
	if err != nil {
		return err
	}
	s.xs = append(s.xs, x)
	s.add("owner", used[owner])
	if len(entries) > 0 {
		s.add("entry", meanUsage(used, entries))
	}
	s.add("agent", meanUsage(used, agents))
	return nil
}

// domainSize measures idle processes, and the recovery from the loss of the owner, against
// the number of workers.
func (b *benchmark) domainSize(ctx context.Context) error {
	sizes := []int{11, 42, 84, 126}
	if b.short {
		sizes = []int{5, 11, 16, 21}
	}
	s := newSeries("domain", "workers")
	var recoveries []ownerRecovery
	for _, n := range sizes {
		dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: fmt.Sprintf("domain%d", n), workers: n, accelerators: 1, entries: 3, accounts: domainAccounts})
		if err != nil {
			return err
		}
		b.settle()
		err = dep.measureRoles(ctx, s, float64(n), b.window())
		var rec ownerRecovery
		if err == nil {
			rec, err = dep.killOwner(ctx)
		}
		dep.stop()
		if err != nil {
			return err
		}
		recoveries = append(recoveries, rec)
	}
	s.printSlopes(b.report)
	b.printRecoveries(s.xs, recoveries)
	return nil
}

// ownerRecovery is the time and cost of the recovery from the loss of an owner.
type ownerRecovery struct {
	// schedulingSeconds is the time until the next owner schedules, and
	// announcedSeconds that until every agent has announced itself to it.
	schedulingSeconds, announcedSeconds float64
	// calls and bytes are the RPC calls and RPC bytes of the next owner in that time;
	// reads and writes are its requests to the platform.
	calls, bytes, reads, writes float64
}

// killOwner kills the owner and waits until all agents have announced themselves to the
// next one.
func (dep *deployment) killOwner(ctx context.Context) (ownerRecovery, error) {
	var rec ownerRecovery
	owner, entries, _, err := dep.roles(ctx)
	if err != nil {
		return rec, err
	}
	before, err := dep.readAllCounters(ctx, entries, false)
	if err != nil {
		return rec, err
	}
	start := time.Now()
	if err := dep.Signal(owner, syscall.SIGKILL); err != nil {
		return rec, err
	}
	next := ""
	err = dep.waitFor(ctx, func() error {
		d, err := dep.domainStatus(ctx)
		switch {
		case err != nil:
			return err
		case d.Owner.EntryID == owner || d.Recovering:
			return fmt.Errorf("no new owner schedules: owner %s, recovering: %v", d.Owner.EntryID, d.Recovering)
		}
		if rec.schedulingSeconds == 0 {
			rec.schedulingSeconds = time.Since(start).Seconds()
		}
		if len(d.Workers) < dep.workers {
			return fmt.Errorf("%d workers announced", len(d.Workers))
		}
		next = d.Owner.EntryID
		return nil
	})
	if err != nil {
		return rec, err
	}
	rec.announcedSeconds = time.Since(start).Seconds()
	after, err := dep.readAllCounters(ctx, []string{next}, true)
	if err != nil {
		return rec, err
	}
	first, last := before[next], after[next]
	rec.calls, rec.bytes = last.calls-first.calls, last.rpcBytes-first.rpcBytes
	rec.reads, rec.writes = last.reads-first.reads, last.writes-first.writes
	return rec, nil
}

func (b *benchmark) printRecoveries(xs []float64, list []ownerRecovery) {
	column := func(name, unit string, f func(ownerRecovery) float64) {
		ys := make([]float64, 0, len(list))
		for _, rec := range list {
			ys = append(ys, f(rec))
		}
		b.report.printSlope("recovery."+name, "workers", unit, xs, ys)
	}
	column("scheduling", "s", func(rec ownerRecovery) float64 { return rec.schedulingSeconds })
	column("announced", "s", func(rec ownerRecovery) float64 { return rec.announcedSeconds })
	column("calls", "calls", func(rec ownerRecovery) float64 { return rec.calls })
	column("rpc", "B", func(rec ownerRecovery) float64 { return rec.bytes })
	column("reads", "reads", func(rec ownerRecovery) float64 { return rec.reads })
	column("writes", "writes", func(rec ownerRecovery) float64 { return rec.writes })
}

// runningTasks measures against the number of running tasks per worker, in a domain of 42
// workers with one entry. The tasks need no accelerator.
func (b *benchmark) runningTasks(ctx context.Context) error {
	workers := 42
	if b.short {
		workers = 11
	}
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "tasks", workers: workers, accelerators: 1, entries: 1, accounts: domainAccounts})
	if err != nil {
		return err
	}
	defer dep.stop()
	s := newSeries("tasks", "tasks/worker")
	for i, perWorker := range []int{0, 5, 10, 15} {
		if i > 0 {
			if err := dep.submitLongJobs(ctx, kindCPU, 5*workers, nil, false); err != nil {
				return err
			}
		}
		b.settleLoad()
		if err := dep.measureRoles(ctx, s, float64(perWorker), b.window()); err != nil {
			return err
		}
	}
	s.printSlopes(b.report)
	return nil
}

// waitingJobs measures against the number of jobs that wait in a full domain.
func (b *benchmark) waitingJobs(ctx context.Context) error {
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "waiting", workers: 11, accelerators: 2, entries: 1, accounts: 8})
	if err != nil {
		return err
	}
	defer dep.stop()
	if err := dep.submitLongJobs(ctx, kindOnce, 4, nil, true); err != nil {
		return err
	}
	if err := dep.submitLongJobs(ctx, kindShort, 18, nil, true); err != nil {
		return err
	}
	s := newSeries("waiting", "jobs")
	waiting := 0
	for _, n := range []int{0, 200, 500, 1000} {
		if err := dep.submitLongJobs(ctx, kindShort, n-waiting, nil, true); err != nil {
			return err
		}
		waiting = n
		b.settleLoad()
		if err := dep.measureRoles(ctx, s, float64(n), b.window()); err != nil {
			return err
		}
	}
	s.printSlopes(b.report)
	return nil
}

// jobRate measures against the number of short jobs per second, whose callers wait for the
// results.
func (b *benchmark) jobRate(ctx context.Context) error {
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "rate", workers: 11, accelerators: 8, entries: 3, accounts: 8})
	if err != nil {
		return err
	}
	defer dep.stop()
	s := newSeries("rate", "jobs/s")
	b.settle()
	for _, perSecond := range []int{0, 5, 10, 20, 40} {
		load, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- dep.offerJobs(load, perSecond) }()
		time.Sleep(time.Second)
		err := dep.measureRoles(ctx, s, float64(perSecond), b.window())
		stop()
		if err := <-done; err != nil {
			return err
		}
		if err != nil {
			return err
		}
	}
	s.printSlopes(b.report)
	return nil
}

// offerJobs submits short jobs at a fixed rate until ctx ends or a job fails, and then
// waits for the jobs in progress.
func (dep *deployment) offerJobs(ctx context.Context, perSecond int) error {
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
			if _, err := dep.runJob(context.WithoutCancel(ctx), kindShort, 50); err != nil {
				select {
				case failed <- err:
				default:
				}
			}
		})
	}
}

// runJob submits a job and waits for it. It returns an error unless the job finished.
func (dep *deployment) runJob(ctx context.Context, kind string, runMS int64) (*structs.Job, error) {
	spec, err := dep.newJobSpec(kind, runMS, nil)
	if err != nil {
		return nil, err
	}
	job, err := dep.client.Submit(ctx, spec, 20*time.Second)
	if err == nil && job.State != structs.JobFinished {
		err = fmt.Errorf("job %s is %s: %v", job.ID, job.State, job.Error)
	}
	return job, err
}
