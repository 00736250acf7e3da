// Command 1 shows that the owner sends the store transactions of more than 100 entries
// after an outage in which workers were restarted, and never stores anything again.
package main

import (
	"fmt"
	"time"

	"github.com/parsleypier/parsleypier/review/standin"
)

const (
	jobs     = 60
	taskTime = 2500 * time.Millisecond
	// The store is silent from outageDelay after the hand-in, for outage. In it, two workers
	// crash at a time, crashTimes times, the first ones crashDelay after its begin. They are
	// back after crashTime, before the next ones crash.
	outageDelay, outage              = 1200 * time.Millisecond, 4500 * time.Millisecond
	crashDelay, crashGap, crashTime  = 1800 * time.Millisecond, 800 * time.Millisecond, 500 * time.Millisecond
	crashTimes, crashedAtATime       = 3, 2             // of 15 workers, a share of 0.13
	settleTime                       = 7 * time.Second  // contactMs and ackMs after the outage
	finishLimit                      = 14 * time.Second // finish_s
	maxUnnotedShare                  = 0.2
	lateJob                          = "5c0e7a21ffffffff"
	workersInDeployment, allEntries  = 15, 3
	cpuPerTask, memPerTask, gpusEach = 5600, 16000, 1
)

func taskOf(string) standin.Task {
	return standin.Task{Need: standin.Resources{CPU: cpuPerTask, MemMb: memPerTask, GPU: gpusEach}, Time: taskTime}
}

func scenario(r *standin.Record) (int, error) {
	d, err := standin.Start(r, allEntries, workersInDeployment, taskOf)
	defer d.Stop()
	if err != nil {
		return standin.ExitCannotRun, err
	}
	step := map[string]any{"count": 1, "cpu": cpuPerTask, "memMb": memPerTask, "gpu": gpusEach, "estimateMs": 2500}
	var paths []string
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
		if err := disrupt(r, d); err != nil {
			return standin.ExitCannotRun, err
		}
	} else {
		time.Sleep(outage)
	}
	time.Sleep(settleTime)
	// Only the workers of the first rack can run this job.
	step["requires"] = "r1-0"
	late := standin.BatchPath + lateJob
	if err := d.Submit(0, late, map[string]any{"spec": "review", "steps": []any{step}}); err != nil {
		return standin.ExitCannotRun, err
	}
	incomplete := d.Incomplete(append(paths, late), finishLimit)
	begun, done = d.Runs.Count()
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
	if float64(unnoted) > maxUnnotedShare*float64(ends) {
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

// disrupt silences the store, and crashes some workers meanwhile.
func disrupt(r *standin.Record, d *standin.Deployment) error {
	r.Sayf("the store is silent for %v", outage)
	end, began := d.Store.Silence(), time.Now()
	defer end()
	for i := range crashTimes {
		time.Sleep(time.Until(began.Add(crashDelay + time.Duration(i)*crashGap)))
		if err := d.Restart(d.Workers[i*crashedAtATime:(i+1)*crashedAtATime], crashTime); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(began.Add(outage)))
	r.Sayf("the store answers again")
	return nil
}

func main() { standin.Main(scenario) }
