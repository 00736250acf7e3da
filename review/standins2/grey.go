package main

import (
	"context"
	"time"
)

// Figures of the case. One worker of 13 fails all that it starts for greyTime.
const (
	greyWorkers = 13
	greyTime    = 6500 * time.Millisecond
	greyRack    = "r1-4"
	// lostAfterRun and lostFor are the times of the rule for tasks that last: from lostAfterRun
	// after its last run, none is at work for lostFor. The time before that has to be calm for
	// calmBefore.
	lostAfterRun = 6 * time.Second
	lostFor      = 3 * time.Second
	calmBefore   = 4 * time.Second
	greyWatch    = 45 * time.Second
)

// grey lets one worker fail all that it starts for some seconds, while two tasks that
// last need this worker. Both have to run again once it is well.
func grey(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	workers, err := r.startWorkers(ctx, greyWorkers, func(string) time.Duration { return 0 })
	if err != nil {
		return false, err
	}
	last := workers[greyWorkers-1]
	began := time.Now()
	if r.trouble {
		r.note("worker %s fails all that it starts", last.id)
		last.setFailing(true)
	}
	jobs := map[string]string{"41f1a9c0de000002": urgentPath, "41f1a9c0de000003": batchPath}
	for id, path := range jobs {
		j := job{Spec: "grey", Steps: []step{{Count: 1, CPU: 4000, MemMb: 4096, GPU: 1, EstimateMs: 1000, Requires: greyRack, Persistent: true}}}
		if err := r.submit(path, id, j); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(greyTime)))
	calm := time.Now()
	if r.trouble {
		last.setFailing(false)
		r.note("worker %s is well", last.id)
	}
	broken := false
	told := map[string]bool{}
	for end := time.Now().Add(greyWatch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for id, path := range jobs {
			at := last.lastAtWork(id + ".0.0.0")
			// The rule is broken once nothing has run for lostFor, all of it later than
			// lostAfterRun after the last run and than calmBefore after the trouble.
			from := at.Add(lostAfterRun)
			if c := calm.Add(calmBefore); c.After(from) {
				from = c
			}
			if at.IsZero() {
				from = calm.Add(lostAfterRun) // it has not run at all
			}
			if time.Since(from) >= lostFor && !told[id] {
				told[id], broken = true, true
				r.note("broken: task %s.0.0.0 has not run for %v, its worker has been well for %v", id, time.Since(at).Round(time.Millisecond), time.Since(calm).Round(time.Millisecond))
				r.note("GET %s%s -> %s", path, id, r.state(1, path, id))
			}
		}
	}
	for id, path := range jobs {
		r.note("at the end: GET %s%s -> %s, at work %v ago", path, id, r.state(1, path, id), time.Since(last.lastAtWork(id+".0.0.0")).Round(time.Second))
	}
	return broken, nil
}
