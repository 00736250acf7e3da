// Command 3 shows that the progress of a large job outgrows a row of the store, and that
// the owner then stores nothing of any job or worker any more.
package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/review/standin"
)

// The large job is of the size of a cell-capacity-test of wusta-recell-large at its largest:
// width up to 470, 8 times, with checkpoints. Its tasks are short and small, so that they
// fit on a small deployment.
const (
	largeJob      = "5c0e7a21eeeeeeee"
	largeWidth    = 470
	largeTimes    = 8
	largeInterval = 3 * time.Second // every_s
	largeTask     = 1200 * time.Millisecond
	largeCPU      = 300
	largeMem      = 100
)

const (
	smallJobs    = 20
	smallTask    = 800 * time.Millisecond
	smallCPU     = 2000
	smallMem     = 4000
	workers      = 15
	entries      = 3
	crashTimes   = 2
	atATime      = 2 // of 15 workers, a share of 0.13
	crashTime    = 500 * time.Millisecond
	settleTime   = 7 * time.Second
	finishLimit  = 14 * time.Second // finish_s
	lateJob      = "5c0e7a21ffffffff"
	unnotedShare = 0.2
)

func taskOf(task string) standin.Task {
	if strings.HasPrefix(task, largeJob) {
		return standin.Task{Need: standin.Resources{CPU: largeCPU, MemMb: largeMem}, Time: largeTask, Checkpoint: true}
	}
	return standin.Task{Need: standin.Resources{CPU: smallCPU, MemMb: smallMem, GPU: 1}, Time: smallTask}
}

func scenario(r *standin.Record) (int, error) {
	d, err := standin.Start(r, entries, workers, taskOf)
	defer d.Stop()
	if err != nil {
		return standin.ExitCannotRun, err
	}
	var paths []string
	if standin.Trouble() {
		step := map[string]any{"count": largeWidth, "cpu": largeCPU, "memMb": largeMem, "estimateMs": largeTask.Milliseconds(), "checkpoint": true}
		job := map[string]any{"spec": "review", "steps": []any{step}, "times": largeTimes, "startAtMs": time.Now().UnixMilli(), "intervalMs": largeInterval.Milliseconds()}
		r.Sayf("a large job: %d tasks, %d times", largeWidth, largeTimes)
		path := standin.BatchPath + largeJob
		if err := d.Submit(0, path, job); err != nil {
			return standin.ExitCannotRun, err
		}
		paths = append(paths, path)
	}
	time.Sleep(largeInterval * (largeTimes - 1))
	step := map[string]any{"count": 1, "cpu": smallCPU, "memMb": smallMem, "gpu": 1, "estimateMs": smallTask.Milliseconds()}
	small := map[string]any{"spec": "review", "steps": []any{step}}
	for i := range smallJobs {
		path := fmt.Sprintf("%s%016x", standin.BatchPath, 0x5c0e7a2100000000+i)
		if err := d.Submit(i, path, small); err != nil {
			return standin.ExitCannotRun, err
		}
		paths = append(paths, path)
	}
	time.Sleep(settleTime)
	if standin.Trouble() {
		for i := range crashTimes {
			if err := d.Restart(d.Workers[i*atATime:(i+1)*atATime], crashTime); err != nil {
				return standin.ExitCannotRun, err
			}
		}
	}
	time.Sleep(settleTime)
	// Only the workers of the first rack can run this job.
	step["requires"] = "r1-0"
	late := standin.BatchPath + lateJob
	if err := d.Submit(0, late, small); err != nil {
		return standin.ExitCannotRun, err
	}
	incomplete := d.Incomplete(append(paths, late), finishLimit)
	begun, done := d.Runs.Count()
	unnoted, ends := d.Runs.Unnoted()
	r.Sayf("%d runs, %d ended done; %d of %d ends that workers list are not taken note of; %d of %d jobs are not shown as completed",
		begun, done, unnoted, ends, len(incomplete), len(paths)+1)
	for why, n := range d.Store.Refused() {
		r.Sayf("the store refused %d transactions: %s", n, why)
	}
	broken := false
	if d.NothingRuns(lateJob, "r1-0", taskOf(lateJob).Need) {
		r.Sayf("LOST is broken: %v after the traffic, job %s has nothing running for over 3 s although its three workers are idle", finishLimit, lateJob)
		broken = true
	}
	if float64(unnoted) > unnotedShare*float64(ends) {
		r.Sayf("Acks is broken: more than a fifth of the ends are not taken note of")
		broken = true
	}
	switch {
	case broken:
		return standin.ExitBroken, nil
	case len(incomplete) > 0:
		return standin.ExitCannotRun, fmt.Errorf("%d jobs did not complete", len(incomplete))
	}
	r.Sayf("LOST and Acks hold")
	return standin.ExitHeld, nil
}

func main() { standin.Main(scenario) }
