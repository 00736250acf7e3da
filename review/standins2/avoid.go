package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Figures of the case. The job's task takes a little less than half of the memory of a worker. Each of the tasks
// that last leaves a little less than that of the worker that it runs on. Together they use
// less than half of the capacity of the service.
const (
	avoidWorkers  = 12
	avoidGreyTime = 6500 * time.Millisecond
	avoidTask     = 4 * time.Second
	avoidMemMb    = 130000
	avoidLastMb   = workerMemMb - avoidMemMb + 1000
	avoidJob      = "41f1a9c0de000004"
	avoidLasting  = "41f1a9c0de000005"
	// avoidFinish is finish_s of the site: the time after the end of the traffic from which jobs
	// are asked for.
	avoidFinish = 14 * time.Second
)

// avoid lets a worker fail all that it starts for some seconds. It is the only one with room
// for a job that comes then, since tasks that last run on the others. The job has to run there
// once the worker is well.
func avoid(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	taskTime := func(task string) time.Duration {
		if strings.HasPrefix(task, avoidLasting) {
			return 0
		}
		return avoidTask
	}
	workers, err := r.startWorkers(ctx, avoidWorkers, taskTime)
	if err != nil {
		return false, err
	}
	lasting := job{Spec: "lasting", Steps: []step{{Count: avoidWorkers - 1, CPU: 1000, MemMb: avoidLastMb, EstimateMs: 1000, AntiAffinity: 1, Persistent: true}}}
	if err := r.submit(batchPath, avoidLasting, lasting); err != nil {
		return false, err
	}
	var empty []*worker
	if err := r.until(10*time.Second, func() bool {
		empty = nil
		for _, w := range workers {
			if w.runs() == 0 {
				empty = append(empty, w)
			}
		}
		return len(empty) == 1
	}); err != nil {
		return false, fmt.Errorf("%d workers are empty: %w", len(empty), err)
	}
	w := empty[0]
	r.note("worker %s has nothing to run", w.id)
	began := time.Now()
	if r.trouble {
		r.note("worker %s fails all that it starts", w.id)
		w.setFailing(true)
	}
	j := job{Spec: "avoid", Steps: []step{{Count: 1, CPU: 1000, MemMb: avoidMemMb, EstimateMs: avoidTask.Milliseconds()}}}
	if err := r.submit(batchPath, avoidJob, j); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(avoidGreyTime)))
	w.setFailing(false)
	r.note("worker %s is well", w.id)
	time.Sleep(avoidFinish)
	task := avoidJob + ".0.0.0"
	idleSince := time.Now()
	state := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, other := range workers {
			if at := other.lastAtWork(task); at.After(idleSince) {
				idleSince = at
			}
		}
		if s := r.state(1, batchPath, avoidJob); s != state {
			state = s
			r.note("GET %s%s -> %s", batchPath, avoidJob, state)
		}
		if state == "completed" || state == "failed" {
			break
		}
	}
	waited := time.Since(idleSince)
	r.note("worker %s runs %d tasks; task %s has not run for %v", w.id, w.runs(), task, waited.Round(time.Millisecond))
	return state != "completed" && state != "failed" && waited >= lostFor, nil
}
