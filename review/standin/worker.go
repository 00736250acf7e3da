package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Values that the platform sets for workers.
const (
	finishedPerAnswer = 500
	maxHoldMs         = 10_000
	killGrace         = 100 * time.Millisecond // below killGraceMs
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatRetry    = 300 * time.Millisecond
	checkpointEvery   = time.Second
	maxWaitMs         = 2000
)

// Resources are amounts of a worker's capacity.
type Resources struct {
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	GPU   int `json:"gpu"`
}

// Task tells a worker how a task behaves. A real worker knows it from the task itself.
type Task struct {
	Need       Resources
	Time       time.Duration
	Checkpoint bool
}

// Run is one run of a task, as the worker saw it.
type Run struct {
	Worker, Task   string
	Attempt        int
	Began, Ended   time.Duration // by the record; Ended is 0 while it runs
	How            string
	Noted          time.Duration // when lastSeen reached the end; 0 for never
	lapsed         bool          // the leases lapsed before the end was noted
	forgotten      bool          // the worker ended before the end was noted
	seq            int
	saved          string
	timer, killing *time.Timer
}

func (r *Run) String() string {
	end := "still runs"
	if r.How != "" {
		end = fmt.Sprintf("%s at %.3f", r.How, r.Ended.Seconds())
	}
	noted := "not taken note of"
	if r.Noted > 0 {
		noted = fmt.Sprintf("taken note of at %.3f", r.Noted.Seconds())
	}
	return fmt.Sprintf("%s run %d on %s, began %.3f, %s, %s", r.Task, r.Attempt, r.Worker, r.Began.Seconds(), end, noted)
}

// Worker is a stand-in of a worker. Its process can crash and start again under the same id.
type Worker struct {
	ID, Addr, Control string
	// Listen is where the worker's process listens, if calls to Addr pass a link; else empty.
	Listen   string
	Labels   []string
	Capacity Resources
	// TaskOf returns how a task behaves.
	TaskOf func(task string) Task

	record *Record
	runs   *Runs

	mu       sync.Mutex
	born     time.Time
	up       bool
	draining bool
	server   *http.Server
	client   *http.Client // for calls to the agent
	cancel   context.CancelFunc
	fence    uint64
	leaseMs  int64
	lease    *time.Timer
	running  map[string]*Run // by task and attempt
	stopped  map[string]int  // highest attempt that was stopped or has ended, by task
	finished []*Run
	lastSeq  int
	changed  chan struct{}
	holds    int // holds that were answered in this boot
}

// Runs are all runs of a deployment.
type Runs struct {
	mu  sync.Mutex
	all []*Run
}

func (r *Runs) add(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run)
}

// Begun returns the number of runs of a job's tasks that have begun.
func (r *Runs) Begun(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, run := range r.all {
		if strings.HasPrefix(run.Task, job+".") {
			n++
		}
	}
	return n
}

// Count returns the number of runs that have begun, and of those that have ended done.
func (r *Runs) Count() (begun, done int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.all {
		begun++
		if run.How == "done" {
			done++
		}
	}
	return begun, done
}

// Boot starts the worker's process.
func (w *Worker) Boot() error {
	l, err := net.Listen("tcp", cmp.Or(w.Listen, w.Addr))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.start))
	mux.HandleFunc("POST /run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /hold", w.serve(w.hold))
	w.mu.Lock()
	w.born, w.up, w.draining = time.Now(), true, false
	w.server, w.cancel = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}, cancel
	w.client = &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	w.fence, w.leaseMs, w.lastSeq, w.finished, w.holds = 0, 0, 0, nil, 0
	w.running, w.stopped, w.changed = map[string]*Run{}, map[string]int{}, make(chan struct{})
	server, born := w.server, w.born
	w.mu.Unlock()
	w.record.Logf("worker %s: boot %d begins at %s", w.ID, born.UnixMilli(), w.Addr)
	go func() {
		// Serve always returns an error once the server is closed.
		_ = server.Serve(l)
	}()
	go w.heartbeats(ctx, born)
	return nil
}

// Crash ends the worker's process without notice.
func (w *Worker) Crash() { w.end("lost") }

func (w *Worker) end(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.cancel()
	// The error is that of closing the listener.
	_ = w.server.Close()
	if w.lease != nil {
		w.lease.Stop()
	}
	for _, run := range w.running {
		w.finish(run, how)
	}
	w.runs.mu.Lock()
	for _, run := range w.finished {
		run.forgotten = true
	}
	w.runs.mu.Unlock()
	close(w.changed)
	w.record.Logf("worker %s: boot %d ends (%s)", w.ID, w.born.UnixMilli(), how)
}

// End ends the worker's process as planned.
func (w *Worker) End() { w.end("lost") }

// SetDraining makes the worker say in its check-ins that it drains.
func (w *Worker) SetDraining() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
}

// Leave tells the agent that the worker leaves, and reports whether it has confirmed that.
func (w *Worker) Leave() bool {
	w.record.Logf("worker %s: sends leave", w.ID)
	confirmed := w.post("/leave", nil)
	w.record.Logf("worker %s: leave is confirmed: %v", w.ID, confirmed)
	return confirmed
}

// post sends a call to the agent, on the channel of the last one if that is open.
func (w *Worker) post(operation string, body any) bool {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err) // plain values always marshal
		}
	}
	w.mu.Lock()
	client := w.client
	w.mu.Unlock()
	resp, err := client.Post("http://"+w.Control+"/instances/"+w.ID+operation, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false
	}
	return resp.StatusCode/100 == 2
}

func (w *Worker) heartbeats(ctx context.Context, born time.Time) {
	for seq := 1; ctx.Err() == nil; seq++ {
		w.mu.Lock()
		state := "ready"
		if w.draining {
			state = "draining"
		}
		body := map[string]any{
			"backend": backend, "address": w.Addr, "zone": zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
			"capacity": w.Capacity, "labels": w.Labels, "clockMs": w.clock(), "seq": seq, "born": born.UnixMilli(),
		}
		if w.draining {
			body["remainingMs"] = 2000
		}
		w.mu.Unlock()
		wait := heartbeatInterval
		if confirmed := w.post("/heartbeat", body); !confirmed && ctx.Err() == nil {
			w.record.Logf("worker %s: a check-in is not confirmed", w.ID)
			wait = heartbeatRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// clock returns the worker's clock in milliseconds. w.mu must be held.
func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

type workerCall struct {
	Task           string
	Attempt        int
	DeadlineMs     int64
	FencingToken   uint64
	LastCheckpoint string
	LastSeen       int
	WaitMs         int64
}

func (w *Worker) serve(f func(workerCall) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Parsleypier-Expect-Instance"); want != "" && want != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c workerCall
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		status, body := f(c)
		w.mu.Lock()
		body["clockMs"] = w.clock()
		w.mu.Unlock()
		writeJSON(rw, status, body)
	}
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func runKey(task string, attempt int) string { return fmt.Sprintf("%s#%d", task, attempt) }

// raiseFence reports whether a call has a sufficient fencing token. w.mu must be held.
func (w *Worker) raiseFence(token uint64) bool {
	if token < w.fence {
		return false
	}
	w.fence = token
	return true
}

func (w *Worker) start(c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.TaskOf(c.Task)
	switch {
	case !w.raiseFence(c.FencingToken):
		return refused("fence")
	case w.running[runKey(c.Task, c.Attempt)] != nil:
		return http.StatusOK, map[string]any{}
	case c.Attempt <= w.stopped[c.Task]:
		w.extendLease(c.DeadlineMs)
		return refused("old")
	case c.DeadlineMs < w.clock():
		return refused("late")
	case !w.fits(task.Need):
		w.extendLease(c.DeadlineMs)
		return refused("room")
	}
	w.extendLease(c.DeadlineMs)
	run := &Run{Worker: w.ID, Task: c.Task, Attempt: c.Attempt, Began: w.record.Elapsed(), saved: c.LastCheckpoint}
	w.running[runKey(c.Task, c.Attempt)] = run
	w.runs.add(run)
	w.record.Logf("worker %s: starts %s run %d", w.ID, c.Task, c.Attempt)
	run.timer = time.AfterFunc(task.Time, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if task.Checkpoint && task.Time >= checkpointEvery {
			run.saved = fmt.Sprintf("%016x", run.Began.Nanoseconds())
		}
		w.finish(run, "done")
	})
	return http.StatusOK, map[string]any{}
}

// room returns the capacity that no run holds. w.mu must be held.
func (w *Worker) room() Resources {
	free := w.Capacity
	for _, run := range w.running {
		n := w.TaskOf(run.Task).Need
		free.CPU, free.MemMb, free.GPU = free.CPU-n.CPU, free.MemMb-n.MemMb, free.GPU-n.GPU
	}
	return free
}

// free returns the capacity that no run holds, and whether the worker is up.
func (w *Worker) free() (Resources, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.room(), w.up
}

// fits reports whether there is room for one more task. w.mu must be held.
func (w *Worker) fits(need Resources) bool {
	free := w.room()
	return need.CPU <= free.CPU && need.MemMb <= free.MemMb && need.GPU <= free.GPU
}

// finish ends a run. w.mu must be held.
func (w *Worker) finish(run *Run, how string) {
	if run.How != "" {
		return
	}
	run.timer.Stop()
	w.runs.mu.Lock()
	run.How, run.Ended = how, w.record.Elapsed()
	w.runs.mu.Unlock()
	delete(w.running, runKey(run.Task, run.Attempt))
	w.stopped[run.Task] = max(w.stopped[run.Task], run.Attempt)
	w.record.Logf("worker %s: %s run %d ends: %s", w.ID, run.Task, run.Attempt, how)
	if how == "lost" {
		return
	}
	w.lastSeq++
	run.seq = w.lastSeq
	w.finished = append(w.finished, run)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) stop(c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.raiseFence(c.FencingToken) {
		return refused("fence")
	}
	w.stopped[c.Task] = max(w.stopped[c.Task], c.Attempt)
	if run := w.running[runKey(c.Task, c.Attempt)]; run != nil && run.killing == nil {
		w.record.Logf("worker %s: told to stop %s run %d", w.ID, c.Task, c.Attempt)
		run.killing = time.AfterFunc(killGrace, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.finish(run, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// extendLease extends the lease of all that runs. w.mu must be held.
func (w *Worker) extendLease(deadline int64) {
	deadline = min(deadline, w.clock()+maxHoldMs)
	if deadline <= w.leaseMs {
		return
	}
	w.leaseMs = deadline
	if w.lease != nil {
		w.lease.Stop()
	}
	born := w.born
	w.lease = time.AfterFunc(time.Duration(deadline-w.clock())*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up || w.born != born || w.clock() < w.leaseMs {
			return
		}
		w.runs.mu.Lock()
		for _, run := range w.finished {
			run.lapsed = run.lapsed || run.Noted == 0
		}
		w.runs.mu.Unlock()
		for _, run := range w.running {
			w.finish(run, "lapsed")
		}
	})
}

func (w *Worker) hold(c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.raiseFence(c.FencingToken) {
		return refused("fence")
	}
	w.runs.mu.Lock()
	for len(w.finished) > 0 && w.finished[0].seq <= c.LastSeen {
		w.finished[0].Noted = w.record.Elapsed()
		w.finished = w.finished[1:]
	}
	w.runs.mu.Unlock()
	if c.DeadlineMs > 0 {
		w.extendLease(c.DeadlineMs)
	}
	if wait := min(c.WaitMs, maxWaitMs); wait > 0 && len(w.finished) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, run := range w.running {
		age := w.record.Elapsed() - run.Began
		task := w.TaskOf(run.Task)
		running = append(running, []any{run.Task, run.Attempt, run.saved, min(99, int(100*age/task.Time)), task.Need.CPU})
	}
	slices.SortFunc(running, func(a, b []any) int { return cmp.Compare(a[0].(string), b[0].(string)) })
	finished := [][]any{}
	for _, run := range w.finished[:min(len(w.finished), finishedPerAnswer)] {
		finished = append(finished, []any{run.seq, run.Task, run.Attempt, run.How, run.saved})
	}
	w.holds++
	return http.StatusOK, map[string]any{"born": w.born.UnixMilli(), "running": running, "finished": finished}
}

// Unnoted returns the number of ends that workers list and that are not taken note of, and
// that of all ends, without those that were forgotten with a worker's process.
func (r *Runs) Unnoted() (unnoted, ends int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.all {
		if run.How == "" || run.How == "lost" || run.forgotten {
			continue
		}
		ends++
		if run.Noted == 0 {
			unnoted++
		}
	}
	return unnoted, ends
}

// Twice returns where a task ran twice: two runs at the same time on workers that were up,
// or a start after a run had ended done whose end was taken note of then or later, its
// lease not having lapsed between the two.
func (r *Runs) Twice(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTask := map[string][]*Run{}
	for _, run := range r.all {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	var out []string
	for _, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if b.Began < a.Began {
					a, b = b, a
				}
				aEnd := a.Ended
				if a.How == "" {
					aEnd = now
				}
				switch {
				case b.Began < aEnd:
					out = append(out, fmt.Sprintf("two runs at the same time: %v; %v", a, b))
				case a.How == "done" && a.Noted > 0 && !a.lapsed:
					out = append(out, fmt.Sprintf("a start after an end done: %v; %v", a, b))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}
