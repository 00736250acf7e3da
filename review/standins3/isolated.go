package main

import (
	"errors"
	"time"
)

// isolatedCase: a job with 200 lasting tasks on 10 workers, each of which also has a long task of
// another job, so that no worker is idle. One worker crashes and is lost for good, just after one of
// the lasting tasks has started there.
func isolatedCase(rec *record, trouble bool) (string, error) {
	const (
		workers   = 10
		tasks     = 200
		steadyFor = 12 * time.Second
		startAge  = 300 * time.Millisecond // of the youngest run at the crash
		calmFor   = 10 * time.Second       // after the crash, before the check begins
		checkFor  = 45 * time.Second
		// The rule allows 6 s after a task's last run, and 3 s with room for it twice over.
		allowed = 9 * time.Second
	)
	d, err := startDeployment(rec, 3, workers)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return "", err
	}
	if err := d.ready(); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	long := behaviour{Name: "long", Cores: 2_000, Memory: 4_000, WorkMs: 300_000}
	if err := d.submit(batch+"00000000000000a1", map[string]any{"spec": payload(long), "steps": []map[string]any{
		{"count": workers, "cpu": long.Cores, "memMb": long.Memory, "estimateMs": 300_000, "antiAffinity": 1},
	}}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	does := behaviour{Name: "service", Cores: 2_000, Memory: 4_000, Lasts: true, FailMeanMs: 40_000}
	const job = "5c0e7a21d94b36f8"
	if err := d.submit(batch+job, map[string]any{"spec": payload(does), "steps": []map[string]any{
		{"count": tasks, "cpu": does.Cores, "memMb": does.Memory, "estimateMs": 5000, "persistent": true},
	}}); err != nil {
		return "", err
	}
	time.Sleep(steadyFor)
	if trouble {
		w, err := d.awaitStart(job)
		if err != nil {
			return "", err
		}
		time.Sleep(startAge)
		w.crash()
	}
	time.Sleep(calmFor)
	return d.checkLasting(job, tasks, does, checkFor, allowed), nil
}

// awaitStart waits for the next start of a task of the job and returns its worker.
func (d *deployment) awaitStart(job string) (*worker, error) {
	known := len(d.eventsSoFar())
	for range 1000 {
		for _, e := range d.eventsSoFar()[known:] {
			if e.kind != "start" || jobOf(e.task) != job {
				continue
			}
			for _, w := range d.workers {
				if w.id == e.worker {
					return w, nil
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, errors.New("no task has started")
}
