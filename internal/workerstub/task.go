package workerstub

import (
	"encoding/json"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

// task is one task; its fields are guarded by Worker.mu.
type task struct {
	req        workerclient.RunRequest
	mask       uint64
	payload    Payload
	total      time.Duration // run time at full speed
	done       time.Duration // progress up to since
	since      time.Time
	percent    int
	held       bool
	leaseUntil time.Time
	state      structs.TaskState
	message    string
	result     []byte
	version    uint64
	wake       chan struct{}
}

func newTask(r *workerclient.RunRequest, mask uint64) *task {
	t := &task{
		req: *r, mask: mask, payload: ParsePayload(r.Payload), since: time.Now(), percent: 100,
		state: structs.TaskRunning, wake: make(chan struct{}, 1),
	}
	t.total = time.Duration(t.payload.RunMS) * time.Millisecond
	t.leaseUntil = t.since.Add(time.Duration(r.LeaseMS) * time.Millisecond)
	var c checkpoint
	if json.Unmarshal(r.Checkpoint, &c) == nil && c.DoneMS > 0 {
		t.done = min(time.Duration(c.DoneMS)*time.Millisecond, t.total)
	}
	return t
}

func (t *task) status() workerclient.TaskStatus {
	return workerclient.TaskStatus{ID: t.req.ID, State: t.state, Message: t.message}
}

// poke makes the task's goroutine look at its state again.
func (t *task) poke() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *task) speed() int {
	if t.held || t.state != structs.TaskRunning {
		return 0
	}
	return t.percent
}

// advance adds the progress since the last call.
func (t *task) advance(now time.Time) {
	t.done = min(t.total, t.done+now.Sub(t.since)*time.Duration(t.speed())/100)
	t.since = now
}

// end is the progress at which the task ends.
func (t *task) endsAt() time.Duration {
	if t.payload.ExitRank == t.req.Rank {
		return t.total / 2
	}
	return t.total
}

// run ends the task when it has run, or when its lease has lapsed.
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

// step advances a task and returns the time until something can happen. The
// lease is checked first: work done after it lapsed does not count.
func (w *Worker) step(t *task) time.Duration {
	if t.state != structs.TaskRunning {
		return 0
	}
	now := time.Now()
	left := t.leaseUntil.Sub(now)
	if left <= 0 {
		w.end(t, structs.TaskStopped, "lease lapsed")
		return 0
	}
	t.advance(now)
	rest := t.endsAt() - t.done
	if rest <= 0 && !t.held {
		w.complete(t)
		return 0
	}
	if t.speed() > 0 {
		left = min(left, max(rest*100/time.Duration(t.speed()), time.Microsecond))
	}
	return left
}

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

// end records the final state of a task and frees its accelerators.
func (w *Worker) end(t *task, state structs.TaskState, message string) {
	t.advance(time.Now())
	t.state, t.message = state, message
	w.busy &^= t.mask
	w.record(t, EventEnd, string(state))
	w.changed(t)
	t.poke()
	w.ended = append(w.ended, t.req.ID)
	if len(w.ended) > maxEnded {
		w.bury(w.ended[0])
		delete(w.tasks, w.ended[0])
		w.ended = w.ended[1:]
	}
}

func (w *Worker) changed(t *task) {
	w.bump()
	t.version = w.version
}

// bump ends the long polls.
func (w *Worker) bump() {
	w.version++
	close(w.change)
	w.change = make(chan struct{})
}
