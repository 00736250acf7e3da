package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// gangSize measures the agents of one running gang, and the time to run one of
// no length, against the number of members.
func (b *bench) gangSize(ctx context.Context) error {
	r, err := startRig(ctx, b.bin, b.out, rigOptions{name: "gang", workers: 84, accelerators: 1, entries: 1, accounts: 8})
	if err != nil {
		return err
	}
	defer r.stop()
	s := newSeries("gang", "members")
	var times []float64
	for _, size := range []int{1, 8, 32, 64} {
		shape := &structs.Shape{Workers: size, Accelerators: 1, CoresMilli: 1000, MemoryMB: 1024}
		took, err := r.timeGang(ctx, shape)
		if err != nil {
			return err
		}
		times = append(times, took)
		if err := r.measureGang(ctx, s, shape, b.window()); err != nil {
			return err
		}
	}
	s.print(b.report)
	b.report.add("gang.time", s.x, "ms", s.xs, times)
	return nil
}

// timeGang returns the milliseconds that a gang without work takes, the best of three.
func (r *rig) timeGang(ctx context.Context, shape *structs.Shape) (float64, error) {
	var best time.Duration
	for range 3 {
		spec, err := r.spec(kindShort, 0, shape)
		if err != nil {
			return 0, err
		}
		start := time.Now()
		if _, err := r.client.Submit(ctx, spec, 20*time.Second); err != nil {
			return 0, err
		}
		if took := time.Since(start); best == 0 || took < best {
			best = took
		}
	}
	return best.Seconds() * 1000, nil
}

// measureGang starts a long gang, measures rank 0 and the other members, and
// cancels it.
func (r *rig) measureGang(ctx context.Context, s *series, shape *structs.Shape, window time.Duration) error {
	spec, err := r.spec(kindShort, longRunMS, shape)
	if err != nil {
		return err
	}
	job, err := r.client.Submit(ctx, spec, 0)
	if err != nil {
		return err
	}
	err = r.until(ctx, func() error {
		job, err = r.client.Job(ctx, job.ID, 0)
		if err == nil && job.State != structs.JobRunning {
			err = fmt.Errorf("job %s is %s", job.ID, job.State)
		}
		return err
	})
	if err != nil {
		return err
	}
	rank0, members, err := r.membersOf(ctx, job)
	if err != nil {
		return err
	}
	owner, _, _, err := r.roles(ctx)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	used, err := r.measure(ctx, append([]string{owner, rank0}, members...), window)
	if err != nil {
		return err
	}
	s.xs = append(s.xs, float64(shape.Workers))
	s.put("owner", used[owner])
	s.put("rank0", used[rank0])
	if len(members) > 0 {
		s.put("member", mean(used, members))
	} else {
		s.put("member", used[rank0])
	}
	if _, err := r.client.Cancel(ctx, job.ID); err != nil {
		return err
	}
	_, err = r.client.Wait(ctx, job.ID)
	return err
}

// membersOf returns the agents of a running job, rank 0 first.
func (r *rig) membersOf(ctx context.Context, job *structs.Job) (rank0 string, members []string, err error) {
	v, err := r.client.View(ctx, "workers", domainName)
	if err != nil {
		return "", nil, err
	}
	for _, w := range v.Domains[0].Workers {
		for _, gang := range w.Accelerators {
			if !strings.HasPrefix(gang, job.ID+"/") {
				continue
			}
			if strings.HasPrefix(job.Rank0, r.IP(w.ID)+":") {
				rank0 = w.ID
			} else {
				members = append(members, w.ID)
			}
		}
	}
	if rank0 == "" {
		return "", nil, fmt.Errorf("rank 0 of %s at %s is no worker (such as %s)", job.ID, job.Rank0, cluster.AgentName(1))
	}
	return rank0, members, nil
}
