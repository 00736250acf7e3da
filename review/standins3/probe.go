package main

import (
	"errors"
	"fmt"
	"time"
)

// probeCase: 11 of 12 workers are full of lasting tasks. The other one fails all that it starts for 6 s,
// while two jobs with a long task each are handed in. After it is sound again, a job with one lasting
// task is handed in.
func probeCase(rec *record, trouble bool) (string, error) {
	const (
		workers  = 12
		badFor   = 6 * time.Second
		calmFor  = 14 * time.Second
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
	service := behaviour{Name: "service", GPUs: 1, Cores: 8_000, Memory: 32_000, Lasts: true}
	handIn := func(job string, does behaviour, tasks, estimateMs int) error {
		step := map[string]any{"count": tasks, "cpu": does.Cores, "memMb": does.Memory, "gpu": does.GPUs, "estimateMs": estimateMs}
		if does.Lasts {
			step["persistent"] = true
		}
		return d.submit(batch+job, map[string]any{"spec": payload(does), "steps": []map[string]any{step}})
	}
	if err := handIn("00000000000000a1", service, 8*(workers-1), 5000); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	var last *worker
	for _, w := range d.workers {
		if w.room(service) == 8 {
			last = w
		}
	}
	if last == nil {
		return "", errors.New("no worker is idle")
	}
	if trouble {
		last.setFailsAll(true)
	}
	long := behaviour{Name: "long", GPUs: 1, Cores: 8_000, Memory: 32_000, WorkMs: 300_000}
	for _, job := range []string{"00000000000000b1", "00000000000000b2"} {
		if err := handIn(job, long, 1, 300_000); err != nil {
			return "", err
		}
	}
	time.Sleep(badFor)
	if trouble {
		last.setFailsAll(false)
	}
	time.Sleep(calmFor)
	const job = "5c0e7a21d94b36f8"
	if err := handIn(job, service, 1, 5000); err != nil {
		return "", err
	}
	broken := d.checkLasting(job, 1, service, checkFor, allowed)
	rec.add("check: %d of 8 GPUs of worker %s are free, and the job is %s", last.room(service), last.id, d.state(0, batch+job))
	if broken != "" {
		broken += fmt.Sprintf("; %d of its 8 GPUs are free", last.room(service))
	}
	return broken, nil
}
