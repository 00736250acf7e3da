// Command 5 shows that an agent takes a delayed leave of a worker's earlier boot for one of
// the boot that runs, and that the owner starts the tasks of that boot elsewhere.
package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/review/standin"
)

const (
	workers, entries = 6, 3
	cpu, mem, gpu    = 60000, 100000, 8 // a task fills a worker
	drainTime        = 4 * time.Second
	// The first worker is cut off from its agent for cut. It ends endDelay after it has sent
	// its leave, and is back after restartDelay.
	cut, endDelay, restartDelay = 3500 * time.Millisecond, 2 * time.Second, 500 * time.Millisecond
	// The tasks on the other workers end from busyTime on, busyStep apart.
	busyTime, busyStep = 5600 * time.Millisecond, 100 * time.Millisecond
	taskTime           = 8 * time.Second
	finishLimit        = 30 * time.Second
	busyJob            = "5c0e7a21aaaaaaa"
	lastJob            = "5c0e7a21bbbbbbbb"
)

func taskOf(task string) standin.Task {
	t := standin.Task{Need: standin.Resources{CPU: cpu, MemMb: mem, GPU: gpu}, Time: taskTime}
	if i := len(busyJob); strings.HasPrefix(task, busyJob) {
		t.Time = busyTime + time.Duration(task[i]-'0')*busyStep
	}
	return t
}

func scenario(r *standin.Record) (int, error) {
	d, err := standin.StartLinked(r, entries, workers, 1, taskOf)
	defer d.Stop()
	if err != nil {
		return standin.ExitCannotRun, err
	}
	worker := d.Workers[0]
	r.Sayf("worker %s drains", worker.ID)
	worker.SetDraining()
	time.Sleep(drainTime)
	step := map[string]any{"count": 1, "cpu": cpu, "memMb": mem, "gpu": gpu, "estimateMs": taskTime.Milliseconds()}
	job := map[string]any{"spec": "review", "steps": []any{step}}
	var paths []string
	for i := range workers - 1 {
		path := fmt.Sprintf("%s%s%d", standin.UrgentPath, busyJob, i)
		if err := d.Submit(i, path, job); err != nil {
			return standin.ExitCannotRun, err
		}
		paths = append(paths, path)
	}
	began := time.Now()
	if standin.Trouble() {
		r.Sayf("worker %s is cut off from its agent for %v", worker.ID, cut)
		for _, l := range d.Links {
			l.SetCut(true)
		}
	}
	leaveSent := time.Now()
	worker.Leave()
	time.Sleep(time.Until(leaveSent.Add(endDelay)))
	worker.End()
	time.Sleep(restartDelay)
	if err := worker.Boot(); err != nil {
		return standin.ExitCannotRun, err
	}
	last := standin.UrgentPath + lastJob
	if err := d.Submit(0, last, job); err != nil {
		return standin.ExitCannotRun, err
	}
	time.Sleep(time.Until(began.Add(cut)))
	for _, l := range d.Links {
		l.SetCut(false)
	}
	r.Sayf("the links are whole")
	incomplete := d.Incomplete(append(paths, last), finishLimit)
	twice := d.Runs.Twice(r.Elapsed())
	for _, t := range twice {
		r.Sayf("TWICE is broken: %s", t)
	}
	switch {
	case len(twice) > 0:
		return standin.ExitBroken, nil
	case len(incomplete) > 0:
		return standin.ExitCannotRun, fmt.Errorf("%d jobs did not complete", len(incomplete))
	}
	r.Sayf("TWICE holds")
	return standin.ExitHeld, nil
}

func main() { standin.Main(scenario) }
