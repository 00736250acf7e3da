package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
)

// Figures of the case. The store answers 60 times as slowly as usual (4 ms) for slowTime.
const (
	earlyWorkers = 3
	earlySteps   = 2
	earlyWidth   = 120
	earlyTasks   = earlySteps * earlyWidth
	earlyTask    = time.Second
	slowAnswer   = 240 * time.Millisecond
	slowTime     = 4500 * time.Millisecond
	earlyJob     = "41f1a9c0de000006"
	// betweenEnds is the time between the ends of the last two tasks.
	betweenEnds = 120 * time.Millisecond
	// downTime is how long the killed process is down.
	downTime = time.Second
)

// early kills the owner while the store is slow and a large job ends, once a worker has been
// told to forget the end of its last task. That task must not start again.
func early(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, last := earlyJob+".0.0.0", fmt.Sprintf("%s.0.%d.%d", earlyJob, earlySteps-1, earlyWidth-1)
	workers, err := r.startWorkers(ctx, earlyWorkers, func(task string) time.Duration {
		if task == first || task == last {
			return 0 // ends below
		}
		return earlyTask
	})
	if err != nil {
		return false, err
	}
	j := job{Spec: "early"}
	for range earlySteps {
		j.Steps = append(j.Steps, step{Count: earlyWidth, CPU: 100, MemMb: 100, EstimateMs: earlyTask.Milliseconds()})
	}
	if err := r.submit(batchPath, earlyJob, j); err != nil {
		return false, err
	}
	done := func() int {
		n := 0
		for _, w := range workers {
			n += w.acknowledged()
		}
		return n
	}
	if err := r.until(20*time.Second, func() bool { return done() == earlyTasks-2 }); err != nil {
		return false, fmt.Errorf("%d ends are taken note of: %w", done(), err)
	}
	r.note("%d of %d tasks are done", done(), earlyTasks)
	time.Sleep(time.Second)
	owner, err := r.owner()
	if err != nil {
		return false, err
	}
	slowUntil := time.Now().Add(slowTime)
	if r.trouble {
		r.note("the store is slow")
		r.d.table.SetFaults(rowstorestub.Faults{Delay: slowAnswer})
	}
	time.Sleep(time.Second)
	for i, task := range []string{first, last} {
		if i > 0 {
			time.Sleep(betweenEnds)
		}
		if !finishTask(workers, task) {
			return false, fmt.Errorf("task %s is not at work", task)
		}
	}
	if err := r.until(5*time.Second, func() bool { return done() == earlyTasks }); err != nil {
		return false, fmt.Errorf("%d ends are taken note of: %w", done(), err)
	}
	r.note("the ends of all tasks are taken note of")
	if r.trouble {
		r.note("process %s, which last wrote to the store under a condition, is killed", owner)
		if err := r.d.kill(owner); err != nil {
			return false, err
		}
		time.Sleep(downTime)
		if err := r.d.startProcess(owner); err != nil {
			return false, err
		}
		r.note("process %s is started again", owner)
		time.Sleep(time.Until(slowUntil))
		r.d.table.SetFaults(rowstorestub.Faults{})
		r.note("the store is well")
	}
	state, again := "", 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && again == 0; time.Sleep(100 * time.Millisecond) {
		again = 0
		for _, w := range workers {
			again += w.startedAgain()
		}
		if s := r.state(0, batchPath, earlyJob); s != state {
			state = s
			r.note("GET %s%s -> %s", batchPath, earlyJob, state)
		}
		if state == "completed" {
			break
		}
	}
	r.note("%d starts of tasks whose end done was taken note of before", again)
	return again > 0, nil
}

// finishTask ends a task as done, on whichever worker it is at work.
func finishTask(workers []*worker, task string) bool {
	for _, w := range workers {
		if w.finish(task) {
			return true
		}
	}
	return false
}

// owner returns the process that writes the owner row.
func (r *run) owner() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	row, ok, err := r.d.table.ClientFor("review").Get(ctx, "parsleypier", "owner")
	var holder struct{ ID string }
	if err == nil && ok {
		err = json.Unmarshal(row.Value, &holder)
	}
	if err != nil || !strings.HasPrefix(holder.ID, "edge-") {
		return "", fmt.Errorf("owner %q is not known: %s", holder.ID, errText(err))
	}
	return holder.ID, nil
}
