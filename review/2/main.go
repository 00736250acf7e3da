// Command 2 shows that an agent takes ends that a worker has not listed yet for runs that
// never were: a worker lists 500 ends at a time.
package main

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/parsleypier/parsleypier/review/standin"
)

const (
	jobs        = 30
	tasksPerJob = 30
	// Tasks take between minTime and maxTime.
	minTime, maxTime = 2 * time.Second, 6 * time.Second
	// The store is silent from outageDelay after the hand-in, for outage.
	outageDelay, outage = 1800 * time.Millisecond, 4500 * time.Millisecond
	finishLimit         = 40 * time.Second
)

func taskOf(task string) standin.Task {
	h := fnv.New32a()
	h.Write([]byte(task))
	return standin.Task{
		Need: standin.Resources{CPU: 50, MemMb: 200},
		Time: minTime + time.Duration(h.Sum32()%1000)*(maxTime-minTime)/1000,
	}
}

func scenario(r *standin.Record) (int, error) {
	d, err := standin.Start(r, 3, 1, taskOf)
	defer d.Stop()
	if err != nil {
		return standin.ExitCannotRun, err
	}
	var paths []string
	step := map[string]any{"count": tasksPerJob, "cpu": 50, "memMb": 200, "estimateMs": 4000}
	for i := range jobs {
		path := fmt.Sprintf("%s%016x", standin.BatchPath, 0x5c0e7a2100000000+i)
		if err := d.Submit(i, path, map[string]any{"spec": "review", "steps": []any{step}}); err != nil {
			return standin.ExitCannotRun, err
		}
		paths = append(paths, path)
	}
	time.Sleep(outageDelay)
	begun, done := d.Runs.Count()
	r.Sayf("%d runs have begun, %d are done", begun, done)
	if standin.Trouble() {
		r.Sayf("the store is silent for %v", outage)
		end := d.Store.Silence()
		time.Sleep(outage)
		end()
		r.Sayf("the store answers again")
	}
	incomplete := d.Incomplete(paths, finishLimit)
	begun, done = d.Runs.Count()
	r.Sayf("%d runs of %d tasks, %d ended done; %d jobs are not shown as completed", begun, jobs*tasksPerJob, done, len(incomplete))
	twice := d.Runs.Twice(r.Elapsed())
	for _, t := range twice {
		r.Logf("TWICE: %s", t)
	}
	if len(twice) > 0 {
		r.Sayf("TWICE is broken %d times, first: %s", len(twice), twice[0])
		return standin.ExitBroken, nil
	}
	if len(incomplete) > 0 {
		return standin.ExitCannotRun, fmt.Errorf("%d jobs did not complete", len(incomplete))
	}
	r.Sayf("TWICE holds")
	return standin.ExitHeld, nil
}

func main() { standin.Main(scenario) }
