package main

import (
	"errors"
	"fmt"
	"time"
)

// dataRackCase: 9 workers in 3 racks. Two workers of the first rack are full of lasting tasks, and the
// third runs a task with its data in that rack. That worker crashes and is lost for good. All others
// are idle.
func dataRackCase(rec *record, trouble bool) (string, error) {
	const (
		workers  = 9
		rack     = "r1-0"
		job      = "5c0e7a21d94b36f8"
		runsFor  = 6 * time.Second
		finish   = 16 * time.Second // after the last request; the rule begins after 14 s
		checkFor = 45 * time.Second
		allowed  = 3 * time.Second
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
	whole := behaviour{Name: "service", GPUs: 8, Cores: 60_000, Memory: 200_000, Lasts: true}
	if err := d.submit(batch+"00000000000000a1", map[string]any{"spec": payload(whole), "steps": []map[string]any{
		{"count": 2, "cpu": whole.Cores, "memMb": whole.Memory, "gpu": whole.GPUs, "estimateMs": 60_000, "persistent": true, "dataRack": rack},
	}}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	does := behaviour{Name: "task", GPUs: 4, Cores: 20_000, Memory: 60_000, WorkMs: 100_000}
	if err := d.submit(batch+job, map[string]any{"spec": payload(does), "steps": []map[string]any{
		{"count": 1, "cpu": does.Cores, "memMb": does.Memory, "gpu": does.GPUs, "estimateMs": 60_000, "dataRack": rack},
	}}); err != nil {
		return "", err
	}
	time.Sleep(runsFor)
	var at *worker
	for _, e := range d.eventsSoFar() {
		for _, w := range d.workers {
			if jobOf(e.task) == job && w.id == e.worker {
				at = w
			}
		}
	}
	if at == nil || at.rack != rack {
		return "", errors.New("the task does not run near its data")
	}
	if trouble {
		at.crash()
	}
	time.Sleep(finish)
	broken, idleSince, longest := "", time.Duration(0), time.Duration(0)
	for began := rec.now(); rec.now()-began < checkFor; time.Sleep(100 * time.Millisecond) {
		running, room, used, total := 0, 0, 0, 0
		for _, w := range d.workers {
			w.mu.Lock()
			if w.server != nil {
				gpus, _, _ := w.free()
				total, used = total+workerGPUs, used+workerGPUs-gpus
			}
			for _, r := range w.runs {
				if jobOf(r.task) == job {
					running++
				}
			}
			w.mu.Unlock()
			room += w.room(does)
		}
		if running > 0 || room < 2 || 2*used >= total {
			idleSince = 0
			continue
		}
		if idleSince == 0 {
			idleSince = rec.now()
		}
		longest = max(longest, rec.now()-idleSince)
		if rec.now()-idleSince > allowed && broken == "" {
			broken = fmt.Sprintf("LOST: the job has had nothing running for %.1f s; there is room for %d such tasks, and %d of %d GPUs are in use",
				(rec.now() - idleSince).Seconds(), room, used, total)
			rec.add("%s", broken)
		}
	}
	rec.add("check: nothing ran for up to %.1f s", longest.Seconds())
	return broken, nil
}
