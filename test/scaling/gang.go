package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// gangSize measures, against the number of gang members, the agents of a running gang,
// and the time to run a gang whose tasks end at once.
func (b *benchmark) gangSize(ctx context.Context) error {
	dep, err := startDeployment(ctx, b.bin, b.out, deploymentOptions{name: "gang", workers: 84, accelerators: 1, entries: 1, accounts: 8})
	if err != nil {
		return err
	}
	defer dep.stop()
	s := newSeries("gang", "members")
	var times []float64
	for _, size := range []int{1, 8, 32, 64} {
		shape := &structs.Shape{Workers: size, Accelerators: 1, CoresMilli: 1000, MemoryMB: 1024}
		took, err := dep.bestGangTime(ctx, shape)
		if err != nil {
			return err
		}
		times = append(times, took)
		if err := dep.measureGang(ctx, s, shape, b.window()); err != nil {
			return err
		}
	}
	s.printSlopes(b.report)
	b.report.printSlope("gang.time", s.x, "ms", s.xs, times)
	return nil
}

// bestGangTime returns the shortest of three times, in milliseconds, from the submission
// to the response of a gang whose tasks end at once.
func (dep *deployment) bestGangTime(ctx context.Context, shape *structs.Shape) (float64, error) {
	var best time.Duration
	for range 3 {
		spec, err := dep.newJobSpec(kindShort, 0, shape)
		if err != nil {
			return 0, err
		}
		start := time.Now()
		if _, err := dep.client.Submit(ctx, spec, 20*time.Second); err != nil {
			return 0, err
		}
		if took := time.Since(start); best == 0 || took < best {
			best = took
		}
	}
	return best.Seconds() * 1000, nil
}

// measureGang starts a long-running gang, measures the owner and the agents of rank 0 and
// of the other members, and cancels the gang.
func (dep *deployment) measureGang(ctx context.Context, s *series, shape *structs.Shape, window time.Duration) error {
	spec, err := dep.newJobSpec(kindShort, longRunMS, shape)
	if err != nil {
		return err
	}
	job, err := dep.client.Submit(ctx, spec, 0)
	if err != nil {
		return err
	}
	err = dep.waitFor(ctx, func() error {
		job, err = dep.client.Job(ctx, job.ID, 0)
		if err == nil && job.State != structs.JobRunning {
			err = fmt.Errorf("job %s is %s", job.ID, job.State)
		}
		return err
	})
	if err != nil {
		return err
	}
	rank0, members, err := dep.gangAgents(ctx, job)
	if err != nil {
		return err
	}
	owner, _, _, err := dep.roles(ctx)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	used, err := dep.measure(ctx, append([]string{owner, rank0}, members...), window)
	if err != nil {
		return err
	}
	s.xs = append(s.xs, float64(shape.Workers))
	s.add("owner", used[owner])
	s.add("rank0", used[rank0])
	if len(members) > 0 {
		s.add("member", meanUsage(used, members))
	} else {
		s.add("member", used[rank0])
	}
	if _, err := dep.client.Cancel(ctx, job.ID); err != nil {
		return err
	}
	_, err = dep.client.Wait(ctx, job.ID)
	return err
}

// gangAgents returns the agent of rank 0 and those of the other members of a running job.
func (dep *deployment) gangAgents(ctx context.Context, job *structs.Job) (rank0 string, members []string, err error) {
	v, err := dep.client.View(ctx, "workers", domainName)
	if err != nil {
		return "", nil, err
	}
	for _, w := range v.Domains[0].Workers {
		for _, gang := range w.Accelerators {
			if !strings.HasPrefix(gang, job.ID+"/") {
				continue
			}
			if strings.HasPrefix(job.Rank0, dep.IP(w.ID)+":") {
				rank0 = w.ID
			} else {
				members = append(members, w.ID)
			}
		}
	}
	if rank0 == "" {
		return "", nil, fmt.Errorf("job %s: the address %s of rank 0 belongs to no agent (such as %s)", job.ID, job.Rank0, cluster.AgentName(1))
	}
	return rank0, members, nil
}
