package main

import (
	"context"
	"sync/atomic"
	"time"
)

// Figures of the case. The task ends by itself soon after each of its first attemptsBefore
// starts, and then no more.
const (
	attemptsWorkers = 4
	// attemptsRack is the rack of the last worker, which is the only one in it.
	attemptsRack    = "r1-1"
	attemptsBefore  = 2100
	attemptsLimit   = 70 * time.Second
	attemptsRunTime = 2 * time.Millisecond
	// attemptsPause is the time from the last end to the kill.
	attemptsPause = 300 * time.Millisecond
	attemptsWatch = 25 * time.Second
	attemptsJob   = "41f1a9c0de000007"
)

// attempts kills the owner after a task that lasts has ended and been started again many
// times. The task must be started again by the next owner.
func attempts(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var settled atomic.Bool
	r.quiet = true
	workers, err := r.startWorkers(ctx, attemptsWorkers, func(string) time.Duration {
		if settled.Load() {
			return 0
		}
		return attemptsRunTime
	})
	if err != nil {
		return false, err
	}
	j := job{Spec: "attempts", Steps: []step{{Count: 1, CPU: 4000, MemMb: 4096, EstimateMs: 1000, Requires: attemptsRack, Persistent: true}}}
	if err := r.submit(batchPath, attemptsJob, j); err != nil {
		return false, err
	}
	task := attemptsJob + ".0.0.0"
	highest := func() int {
		n := 0
		for _, w := range workers {
			n = max(n, w.highestAttempt(task))
		}
		return n
	}
	if err := r.until(attemptsLimit, func() bool { return highest() >= attemptsBefore }); err != nil {
		r.note("attempt %d", highest())
		return false, err
	}
	r.note("the task has been started %d times", highest())
	// The last of these runs fails, after which the owner waits for a second.
	for _, w := range workers {
		w.setFailing(true)
	}
	if err := r.until(5*time.Second, func() bool { return workers[attemptsWorkers-1].failed() > 0 }); err != nil {
		return false, err
	}
	settled.Store(true)
	for _, w := range workers {
		w.setFailing(false)
	}
	time.Sleep(attemptsPause)
	calm := time.Now()
	if r.trouble {
		owner, err := r.owner()
		if err != nil {
			return false, err
		}
		r.note("process %s, which last wrote to the store under a condition, is killed", owner)
		if err := r.d.kill(owner); err != nil {
			return false, err
		}
		time.Sleep(downTime)
		if err := r.d.startProcess(owner); err != nil {
			return false, err
		}
		r.note("process %s is started again", owner)
		calm = time.Now()
	}
	atWork := func() time.Time {
		var last time.Time
		for _, w := range workers {
			if at := w.lastAtWork(task); at.After(last) {
				last = at
			}
		}
		return last
	}
	broken := false
	for end := time.Now().Add(attemptsWatch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		from := atWork().Add(lostAfterRun)
		if c := calm.Add(calmBefore); c.After(from) {
			from = c
		}
		if time.Since(from) >= lostFor && !broken {
			broken = true
			r.note("broken: task %s has not run for %v", task, time.Since(atWork()).Round(time.Millisecond))
		}
	}
	r.note("at the end: GET %s%s -> %s, at work %v ago", batchPath, attemptsJob, r.state(1, batchPath, attemptsJob), time.Since(atWork()).Round(time.Second))
	return broken, nil
}
