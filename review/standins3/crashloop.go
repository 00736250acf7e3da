package main

import (
	"fmt"
	"time"
)

// crashLoopCase: a job with 300 lasting tasks, none of which ever fails, on 10 workers with room for
// 320. One worker crashes four times in a row: each time it is back for 0.7 s.
func crashLoopCase(rec *record, trouble bool) (string, error) {
	const (
		workers   = 10
		tasks     = 300
		steadyFor = 8 * time.Second
		crashes   = 4
		downFor   = 700 * time.Millisecond
		upFor     = 700 * time.Millisecond
		calmFor   = 15 * time.Second
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
	does := behaviour{Name: "service", Cores: 2_000, Memory: 4_000, Lasts: true}
	const job = "5c0e7a21d94b36f8"
	if err := d.submit(batch+job, map[string]any{"spec": payload(does), "steps": []map[string]any{
		{"count": tasks, "cpu": does.Cores, "memMb": does.Memory, "estimateMs": 5000, "persistent": true},
	}}); err != nil {
		return "", err
	}
	time.Sleep(steadyFor)
	if trouble {
		w := d.workers[0]
		for n := range crashes {
			w.crash()
			time.Sleep(downFor)
			w.rename(fmt.Sprintf("i-%08x", 0x8000_0000+n))
			if err := w.start(); err != nil {
				return "", err
			}
			time.Sleep(upFor)
		}
	}
	time.Sleep(calmFor)
	failed := map[string]int{}
	for _, e := range d.eventsSoFar() {
		if e.kind == "failed" {
			failed[e.task]++
		}
	}
	for i := range 3 {
		if s := d.state(i, batch+job); s != "running" {
			return fmt.Sprintf("LOST: the job, which nobody has cancelled, is shown as %q by edge-%d; %d of its runs ended as failed", s, i, len(failed)), nil
		}
	}
	running := map[string]int{}
	for _, e := range d.eventsSoFar() {
		if e.kind == "start" {
			running[e.task]++
		} else {
			running[e.task]--
		}
	}
	n := 0
	for _, r := range running {
		n += min(r, 1)
	}
	rec.add("check: all entries show the job as running; %d of %d tasks are at work", n, tasks)
	return "", nil
}
