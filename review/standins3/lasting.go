package main

import (
	"fmt"
	"time"
)

// lastingCase: a job with 92 lasting tasks on 12 workers with room for 96. One worker fails all that
// it starts for 6 s and is sound again afterwards. Tasks fail now and then, as lasting tasks may:
// each after 25 s on average.
func lastingCase(rec *record, trouble bool) (string, error) {
	const (
		workers  = 12
		tasks    = 92
		badFor   = 6 * time.Second
		calmFor  = 10 * time.Second // after the trouble, before the check begins
		checkFor = 45 * time.Second
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
	does := behaviour{Name: "service", GPUs: 1, Cores: 8_000, Memory: 32_000, Lasts: true, FailMeanMs: 24_000}
	if trouble {
		d.workers[0].setFailsAll(true)
	}
	const job = "5c0e7a21d94b36f8"
	if err := d.submit(batch+job, map[string]any{"spec": payload(does), "steps": []map[string]any{
		{"count": tasks, "cpu": does.Cores, "memMb": does.Memory, "gpu": does.GPUs, "estimateMs": 5000, "persistent": true},
	}}); err != nil {
		return "", err
	}
	time.Sleep(badFor)
	if trouble {
		d.workers[0].setFailsAll(false)
	}
	time.Sleep(calmFor)
	return d.checkLasting(job, tasks, does, checkFor, allowed), nil
}

// checkLasting watches a job with one step of lasting tasks. It returns which task has had no run for
// longer than allowed, while for the last 3 s of that a worker had room for it twice over.
func (d *deployment) checkLasting(job string, tasks int, does behaviour, watch, allowed time.Duration) string {
	const roomFor = 3 * time.Second
	began := d.record.now()
	var roomSince time.Duration
	hasRoom, broken := false, ""
	worst := map[string]time.Duration{}
	for d.record.now()-began < watch {
		now, room := d.record.now(), ""
		for _, w := range d.workers {
			if w.room(does) >= 2 {
				room = w.id
			}
		}
		if room == "" || !hasRoom {
			hasRoom, roomSince = room != "", now
		}
		lastEnd, running := map[string]time.Duration{}, map[string]int{}
		for _, e := range d.eventsSoFar() {
			switch {
			case jobOf(e.task) != job:
			case e.kind == "start":
				running[e.task]++
			default:
				running[e.task]--
				lastEnd[e.task] = e.at
			}
		}
		for i := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", job, i)
			if running[task] > 0 {
				continue
			}
			// A task counts as waiting from the start of the check at the earliest.
			idle := now - max(lastEnd[task], began)
			worst[task] = max(worst[task], idle)
			if idle > allowed && hasRoom && now-roomSince > roomFor && broken == "" {
				broken = fmt.Sprintf("LOST: lasting task %s has had no run for %.1f s (its last run ended at %.1f s), and for %.1f s there has been room for it twice over, now on worker %s",
					task, idle.Seconds(), lastEnd[task].Seconds(), (now - roomSince).Seconds(), room)
				d.record.add("%s", broken)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	for task, idle := range worst {
		d.record.add("check: %s without a run for up to %.1f s", task, idle.Seconds())
	}
	return broken
}
