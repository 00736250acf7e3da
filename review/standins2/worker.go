package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of a worker by the pages.
const (
	maxWaitMs      = 2000
	maxListedEnds  = 500
	workerMaxHold  = 6000 * time.Millisecond
	beatInterval   = 1500 * time.Millisecond
	beatRetry      = 200 * time.Millisecond // after a check-in that was not confirmed
	failAfter      = 100 * time.Millisecond // run time of what a failing worker starts
	listenerWait   = 2 * time.Second
	workerCPUMilli = 64000
	workerMemMb    = 262144
	workerGPUs     = 8
)

// worker is a stand-in of a worker. It has capacity for all that the cases start, so it does
// not check for it. Its tasks run until they are stopped, or for the time in taskTime.
type worker struct {
	id, rack, addr, control string
	// taskTime returns how long a task runs by itself; 0 for until it is stopped.
	taskTime func(task string) time.Duration
	note     func(format string, args ...any)

	mu       sync.Mutex
	server   *http.Server // nil once the worker has ended
	boot     time.Time
	seq      int // of the last check-in
	fence    uint64
	leaseEnd time.Duration // on the worker's clock
	running  map[string]*workerRun
	ended    map[string]int // highest attempt that was stopped or has ended, by task
	ends     [][]any        // not acknowledged
	endSeq   int
	changed  chan struct{} // closed and replaced when a run ends
	failing  bool          // what it starts fails
	lastRun  map[string]time.Time
	// noted has the tasks of all workers whose end done was acknowledged. acked counts those of
	// this worker, and again the later starts here of any of them.
	noted        *notedEnds
	acked, again int
	fails        int // runs that ended failed
}

// notedEnds are the tasks of a deployment whose end done was acknowledged by the system.
type notedEnds struct {
	mu    sync.Mutex
	tasks map[string]bool
}

func (n *notedEnds) add(task string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tasks[task] = true
}

func (n *notedEnds) has(task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tasks[task]
}

type workerRun struct {
	task    string
	attempt int
	began   time.Time
	timer   *time.Timer
}

// startWorker starts a worker that listens at the address of the agent with the number i.
func (r *run) startWorker(ctx context.Context, i int, rack string, noted *notedEnds, taskTime func(string) time.Duration) (*worker, error) {
	w := &worker{
		id: fmt.Sprintf("i-%d", i), rack: rack, addr: r.d.addr(2, i, r.d.ports.worker), control: r.d.addr(2, i, r.d.ports.control),
		taskTime: taskTime, note: r.note, boot: time.Now(), running: map[string]*workerRun{}, ended: map[string]int{}, endSeq: 1,
		changed: make(chan struct{}), lastRun: map[string]time.Time{}, noted: noted,
	}
	context.AfterFunc(ctx, w.close)
	go w.beat(ctx)
	go w.expire(ctx)
	return w, w.serveCalls()
}

// serveCalls begins to listen for calls.
func (w *worker) serveCalls() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.start))
	mux.HandleFunc("POST /run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /hold", w.serve(w.hold))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: listenerWait}
	w.mu.Lock()
	w.server = s
	w.mu.Unlock()
	go func() {
		// Serve returns when the server is closed.
		_ = s.Serve(l)
	}()
	return nil
}

// close ends the worker.
func (w *worker) close() {
	w.mu.Lock()
	s := w.server
	w.server = nil
	w.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// clock returns the worker's steady clock. w.mu must be held.
func (w *worker) clock() time.Duration { return time.Since(w.boot) + time.Second }

// beat sends the check-ins.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		next := beatInterval
		if body := w.checkIn(); body != nil && !w.sendCheckIn(ctx, body) {
			next = beatRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
}

// checkIn returns the next check-in, nil once the worker has ended.
func (w *worker) checkIn() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return nil
	}
	w.seq++
	return map[string]any{
		"backend": workerPool, "address": w.addr, "zone": "quito-norte", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": workerCPUMilli, "memMb": workerMemMb, "gpu": workerGPUs}, "labels": []string{"a", w.rack},
		"clockMs": w.clock().Milliseconds(), "seq": w.seq, "born": w.boot.UnixMilli(),
	}
}

// sendCheckIn sends a check-in and reports whether it was confirmed.
func (w *worker) sendCheckIn(ctx context.Context, checkIn map[string]any) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body, err := json.Marshal(checkIn)
	if err != nil {
		panic(err) // plain values always marshal
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/instances/%s/heartbeat", w.control, w.id), bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// expire ends everything once the lease has expired.
func (w *worker) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if len(w.running) > 0 && w.clock() > w.leaseEnd {
			for _, run := range w.running {
				w.end(run, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// setFailing makes the worker fail all that it starts from now on, or not.
func (w *worker) setFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// acknowledged returns the number of ends done of this worker that were acknowledged.
func (w *worker) acknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acked
}

// startedAgain returns the number of starts here of tasks whose end done was acknowledged
// before.
func (w *worker) startedAgain() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.again
}

// finish ends a task as done if it is at work here, and reports whether it is.
func (w *worker) finish(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := w.running[task]
	if run != nil {
		w.end(run, "done")
	}
	return run != nil
}

// highestAttempt returns the highest attempt of a task that has ended here.
func (w *worker) highestAttempt(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended[task]
}

// failed returns the number of runs that ended failed here.
func (w *worker) failed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fails
}

// runs returns the number of tasks that are at work on the worker.
func (w *worker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// lastAtWork returns when a task last was at work on the worker, zero for never.
func (w *worker) lastAtWork(task string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[task] != nil {
		return time.Now()
	}
	return w.lastRun[task]
}

type workerCall struct {
	Task         string
	Attempt      int
	DeadlineMs   int64
	FencingToken uint64
	LastSeen     int
	WaitMs       int64
}

func (w *worker) serve(f func(workerCall) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		if want := req.Header.Get("Parsleypier-Expect-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c workerCall
		if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		status, body := f(c)
		w.mu.Lock()
		body["clockMs"], body["born"] = w.clock().Milliseconds(), w.boot.UnixMilli()
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		// The error means that the caller closed the connection.
		_ = json.NewEncoder(rw).Encode(body)
	}
}

func (w *worker) extendLease(deadlineMs int64) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+workerMaxHold))
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) start(c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := w.running[c.Task]
	switch {
	case w.server == nil:
		return http.StatusServiceUnavailable, map[string]any{} // it is ending
	case c.FencingToken < w.fence:
		return conflict("fence")
	case run != nil && run.attempt == c.Attempt:
		return http.StatusOK, map[string]any{}
	case w.ended[c.Task] >= c.Attempt:
		w.extendLease(c.DeadlineMs)
		return conflict("old")
	case time.Duration(c.DeadlineMs)*time.Millisecond < w.clock():
		return conflict("late")
	}
	w.fence = c.FencingToken
	w.extendLease(c.DeadlineMs)
	run = &workerRun{task: c.Task, attempt: c.Attempt, began: time.Now()}
	w.running[c.Task] = run
	w.note("worker %s: %s attempt %d started", w.id, c.Task, c.Attempt)
	if w.noted.has(c.Task) {
		w.again++
		w.note("broken: %s started on %s after its end done was taken note of", c.Task, w.id)
	}
	how, after := "done", w.taskTime(c.Task)
	if w.failing {
		how, after = "failed", failAfter
	}
	if after > 0 {
		run.timer = time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(run, how)
		})
	}
	return http.StatusOK, map[string]any{}
}

// end ends a run. w.mu must be held.
func (w *worker) end(run *workerRun, how string) {
	if w.running[run.task] != run {
		return
	}
	if run.timer != nil {
		run.timer.Stop()
	}
	delete(w.running, run.task)
	w.ended[run.task] = max(w.ended[run.task], run.attempt)
	w.lastRun[run.task] = time.Now()
	if how == "failed" {
		w.fails++
	}
	w.ends = append(w.ends, []any{w.endSeq, run.task, run.attempt, how, ""})
	w.endSeq++
	w.note("worker %s: %s attempt %d ended %s", w.id, run.task, run.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.FencingToken < w.fence {
		return conflict("fence")
	}
	w.fence = c.FencingToken
	w.ended[c.Task] = max(w.ended[c.Task], c.Attempt)
	if run := w.running[c.Task]; run != nil && run.attempt <= c.Attempt {
		w.end(run, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(c workerCall) (int, map[string]any) {
	w.mu.Lock()
	if c.FencingToken < w.fence || c.WaitMs < 0 || c.WaitMs > maxWaitMs {
		w.mu.Unlock()
		return conflict("fence")
	}
	w.fence = c.FencingToken
	for len(w.ends) > 0 && w.ends[0][0].(int) <= c.LastSeen {
		if task := w.ends[0][1].(string); w.ends[0][3] == "done" {
			w.noted.add(task)
			w.acked++
			w.note("worker %s: the end done of %s is taken note of", w.id, task)
		}
		w.ends = w.ends[1:]
	}
	if c.DeadlineMs > 0 {
		w.extendLease(c.DeadlineMs)
	}
	changed, wait := w.changed, c.WaitMs > 0 && len(w.ends) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running := [][]any{}
	for _, run := range w.running {
		running = append(running, []any{run.task, run.attempt, "", 50, 1000})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, w.ends[:min(len(w.ends), maxListedEnds)]...)}
}
