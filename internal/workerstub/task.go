package workerstub

import (
	"encoding/json"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

// task is a task of a worker. Its fields are guarded by Worker.mu.
type task struct {
	req          workerclient.RunRequest
	accelerators uint64 // bit mask
	payload      Payload
	runTime      time.Duration // at full speed
	done         time.Duration // progress up to advancedAt, as run time at full speed
	advancedAt   time.Time
	percent      int
	suspended    bool
	leaseUntil   time.Time
	state        structs.TaskState
	message      string
	result       []byte
	stateVersion uint64 // Worker.stateVersion after the last change of the state
	wake         chan struct{}
}

func newTask(r *workerclient.RunRequest, mask uint64) *task {
	t := &task{
		req: *r, accelerators: mask, payload: ParsePayload(r.Payload), advancedAt: time.Now(), percent: 100,
		state: structs.TaskRunning, wake: make(chan struct{}, 1),
	}
	t.runTime = time.Duration(t.payload.RunMS) * time.Millisecond
	t.leaseUntil = t.advancedAt.Add(time.Duration(r.LeaseMS) * time.Millisecond)
	var c checkpoint
	if json.Unmarshal(r.Checkpoint, &c) == nil && c.DoneMS > 0 {
		t.done = min(time.Duration(c.DoneMS)*time.Millisecond, t.runTime)
	}
	return t
}

func (t *task) status() workerclient.TaskStatus {
	return workerclient.TaskStatus{ID: t.req.ID, State: t.state, Message: t.message}
}

// wakeUp makes the task's goroutine check the task's state again.
func (t *task) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// speed returns the current speed in percent.
func (t *task) speed() int {
	if t.suspended || t.state != structs.TaskRunning {
		return 0
	}
	return t.percent
}

// advance adds the progress since the last call.
func (t *task) advance(now time.Time) {
	t.done = min(t.runTime, t.done+now.Sub(t.advancedAt)*time.Duration(t.speed())/100)
	t.advancedAt = now
}

// endsAt returns the progress at which the task ends.
func (t *task) endsAt() time.Duration {
	if t.payload.ExitRank == t.req.Rank {
		return t.runTime / 2
	}
	return t.runTime
}

// run waits until the task has ended: by itself, because its lease has lapsed, or
// because it was stopped or the worker is closed.
func (w *Worker) run(t *task) {
	for {
		w.mu.Lock()
		wait := w.step(t)
		ended := t.state != structs.TaskRunning
		w.mu.Unlock()
		if ended {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-t.wake:
		case <-w.stop:
			w.mu.Lock()
			if t.state == structs.TaskRunning {
				w.end(t, structs.TaskStopped, "worker closed")
			}
			w.mu.Unlock()
		}
		timer.Stop()
	}
}

// step advances a task and returns the time until the next step is due. The lease
// is checked first, because work done after it has lapsed does not count. The
// caller must hold w.mu.
func (w *Worker) step(t *task) time.Duration {
	if t.state != structs.TaskRunning {
		return 0
	}
	now := time.Now()
	wait := t.leaseUntil.Sub(now)
	if wait <= 0 {
		w.end(t, structs.TaskStopped, "lease lapsed")
		return 0
	}
	t.advance(now)
	remaining := t.endsAt() - t.done
	if remaining <= 0 && !t.suspended {
		w.complete(t)
		return 0
	}
	if t.speed() > 0 {
		wait = min(wait, max(remaining*100/time.Duration(t.speed()), time.Microsecond))
	}
	return wait
}

// complete ends a task that has run to its end. The caller must hold w.mu.
func (w *Worker) complete(t *task) {
	switch {
	case t.payload.ExitRank == t.req.Rank:
		w.end(t, structs.TaskFailed, "exit_rank")
	case t.payload.Fail:
		w.end(t, structs.TaskFailed, "fail")
	case w.mode.FailAll:
		w.end(t, structs.TaskFailed, "worker fails every task")
	default:
		if t.req.Rank == 0 {
			t.result = ExpectedResult(t.req.Payload, t.req.JobID, t.req.Size)
		}
		w.end(t, structs.TaskFinished, "")
	}
}

// end records the final state of a task and frees its accelerators. The caller
// must hold w.mu.
func (w *Worker) end(t *task, state structs.TaskState, message string) {
	t.advance(time.Now())
	t.state, t.message = state, message
	w.busyAccelerators &^= t.accelerators
	w.recordEvent(t, EventEnd, string(state))
	w.newTaskStateVersion(t)
	t.wakeUp()
	w.endedIDs = append(w.endedIDs, t.req.ID)
	if len(w.endedIDs) > maxEnded {
		w.addTombstone(w.endedIDs[0])
		delete(w.tasks, w.endedIDs[0])
		w.endedIDs = w.endedIDs[1:]
	}
}

// newTaskStateVersion records that the task's state has changed. The caller must
// hold w.mu.
func (w *Worker) newTaskStateVersion(t *task) {
	w.newStateVersion()
	t.stateVersion = w.stateVersion
}

// newStateVersion increases the version of the worker's states, which ends the
// waiting of calls of States. The caller must hold w.mu.
func (w *Worker) newStateVersion() {
	w.stateVersion++
	close(w.stateChanged)
	w.stateChanged = make(chan struct{})
}
