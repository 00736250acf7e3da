package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Capacity of a worker.
const (
	workerCores    = 64_000 // thousandths
	workerMemoryMB = 262_144
	workerGPUs     = 8
)

// Times of a worker.
const (
	heartbeatInterval = 500 * time.Millisecond
	startupTime       = 300 * time.Millisecond
	badRunTime        = 150 * time.Millisecond  // after which a bad worker fails a run
	failsNoSooner     = 1500 * time.Millisecond // a sound lasting task is at work for this long at least
	maxListedEnds     = 500
	maxWaitMs         = 2000
)

// behaviour is how the tasks of a step behave on a worker. It is the payload of the job.
type behaviour struct {
	Name   string `json:"name"`
	GPUs   int    `json:"gpus"`
	Cores  int    `json:"cores"` // thousandths
	Memory int    `json:"memory"`
	// Lasts is set for tasks that run until they are stopped. They may fail at any time after
	// startup, and do after FailMeanMs on average; never if it is 0.
	Lasts      bool `json:"lasts,omitempty"`
	FailMeanMs int  `json:"failMeanMs,omitempty"`
	WorkMs     int  `json:"workMs,omitempty"`
}

// run is a run of a task on a worker.
type run struct {
	task    string
	attempt int
	does    behaviour
	began   time.Time
	ends    *time.Timer
}

// event is the start or the end of a run.
type event struct {
	at           time.Duration
	worker, task string
	attempt      int
	kind         string // "start", or how the run ended
	does         behaviour
}

// worker is a stand-in for a worker that rejects what does not fit. It serves the worker API and
// sends heartbeats to the agent on its machine.
type worker struct {
	id, addr, control, rack string
	pool, zone              string
	maxLease                time.Duration
	killGrace               time.Duration
	record                  *record
	onEvent                 func(event)

	mu         sync.Mutex
	born       time.Time
	server     *http.Server
	fence      uint64
	leaseEnd   int64 // on the worker's clock
	lease      *time.Timer
	runs       map[string]*run
	lastEnded  map[string]int // by task, the highest attempt that was stopped or ended
	ends       [][]any
	firstEnd   int           // number of ends[0]
	changed    chan struct{} // closed and replaced when a run ends
	failsAll   bool          // fails all runs that it starts
	heartbeats int
	booted     chan struct{} // signals a start: the first heartbeat is due
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// start starts the process of the worker, which knows nothing of before.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.fence, w.leaseEnd = time.Now(), 0, 0
	w.runs, w.lastEnded, w.ends, w.firstEnd = map[string]*run{}, map[string]int{}, nil, 1
	w.changed, w.heartbeats = make(chan struct{}), 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.runStart))
	mux.HandleFunc("POST /run-stop", w.serve(w.runStop))
	mux.HandleFunc("POST /hold", w.serve(w.hold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func(s *http.Server) {
		_ = s.Serve(l) // always returns an error once the server is closed
	}(w.server)
	w.record.add("worker %s is up at %s", w.id, w.addr)
	select {
	case w.booted <- struct{}{}:
	default:
	}
	return nil
}

// crash ends the process of the worker without notice.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.add("worker %s crashes with %d runs", w.id, len(w.runs))
	for _, r := range w.runs {
		r.ends.Stop()
		w.notify(r, "crashed")
	}
	w.runs = map[string]*run{}
	if w.lease != nil {
		w.lease.Stop()
	}
	w.server.Close()
	w.server = nil
}

// rename gives the next life of the worker an ID of its own. The worker must be down.
func (w *worker) rename(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id = id
}

// setFailsAll sets whether the worker fails all that it starts from now.
func (w *worker) setFailsAll(v bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failsAll = v
	w.record.add("worker %s fails all that it starts: %v", w.id, v)
}

// free returns the resources that are free. w.mu must be held.
func (w *worker) free() (gpus, cores, memory int) {
	gpus, cores, memory = workerGPUs, workerCores, workerMemoryMB
	for _, r := range w.runs {
		gpus, cores, memory = gpus-r.does.GPUs, cores-r.does.Cores, memory-r.does.Memory
	}
	return gpus, cores, memory
}

// room returns how many more runs of a kind fit on the worker; 0 while it is not sound.
func (w *worker) room(does behaviour) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil || w.failsAll {
		return 0
	}
	gpus, cores, memory := w.free()
	return min(gpus/max(does.GPUs, 1), cores/max(does.Cores, 1), memory/max(does.Memory, 1))
}

func (w *worker) notify(r *run, kind string) {
	w.record.add("worker %s: %s run %d %s", w.id, r.task, r.attempt, kind)
	w.onEvent(event{w.record.now(), w.id, r.task, r.attempt, kind, r.does})
}

type workerCall struct {
	Task           string
	Attempt        int
	Spec           string
	DeadlineMs     int64
	FencingToken   uint64
	LastCheckpoint string
	LastSeen       int
	WaitMs         int64
}

func (w *worker) serve(f func(workerCall) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		id := w.id
		w.mu.Unlock()
		if want := r.Header.Get("Parsleypier-Expect-Instance"); want != "" && want != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c workerCall
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.WaitMs < 0 || c.WaitMs > maxWaitMs {
			http.Error(rw, "the call is malformed", http.StatusBadRequest)
			return
		}
		status, body := f(c)
		w.mu.Lock()
		body["clockMs"], body["born"] = w.clock(), w.born.UnixMilli()
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body) // fails if the caller is gone
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) runStart(c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.FencingToken < w.fence {
		return refuse("fence")
	}
	w.fence = c.FencingToken
	if c.DeadlineMs < w.clock() {
		return refuse("late")
	}
	w.extendLease(c.DeadlineMs)
	if r := w.runs[c.Task]; r != nil && r.attempt == c.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if c.Attempt <= w.lastEnded[c.Task] || w.runs[c.Task] != nil {
		return refuse("old")
	}
	r := &run{task: c.Task, attempt: c.Attempt, began: time.Now()}
	if err := json.Unmarshal([]byte(c.Spec), &r.does); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if gpus, cores, memory := w.free(); gpus < r.does.GPUs || cores < r.does.Cores || memory < r.does.Memory {
		return refuse("room")
	}
	w.runs[c.Task] = r
	w.notify(r, "start")
	kind, after := "done", time.Duration(r.does.WorkMs)*time.Millisecond
	if r.does.Lasts {
		kind, after = "failed", time.Hour
		if r.does.FailMeanMs > 0 {
			after = failsNoSooner + time.Duration(rand.ExpFloat64()*float64(r.does.FailMeanMs)*float64(time.Millisecond))
		}
	}
	if w.failsAll {
		kind, after = "failed", badRunTime
	}
	r.ends = time.AfterFunc(after, func() { w.end(r, kind) })
	return http.StatusOK, map[string]any{}
}

// end ends a run that is still there.
func (w *worker) end(r *run, kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.task] != r {
		return
	}
	r.ends.Stop()
	delete(w.runs, r.task)
	w.lastEnded[r.task] = max(w.lastEnded[r.task], r.attempt)
	w.ends = append(w.ends, []any{w.firstEnd + len(w.ends), r.task, r.attempt, kind, ""})
	w.notify(r, kind)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) runStop(c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.FencingToken < w.fence {
		return refuse("fence")
	}
	w.fence = c.FencingToken
	if r := w.runs[c.Task]; r != nil && r.attempt <= c.Attempt {
		time.AfterFunc(w.killGrace/2, func() { w.end(r, "stopped") })
	}
	w.lastEnded[c.Task] = max(w.lastEnded[c.Task], c.Attempt)
	return http.StatusOK, map[string]any{}
}

// extendLease extends the leases to the deadline if it is later. w.mu must be held.
func (w *worker) extendLease(deadline int64) {
	deadline = min(deadline, w.clock()+w.maxLease.Milliseconds())
	if deadline <= w.leaseEnd {
		return
	}
	w.leaseEnd = deadline
	if w.lease != nil {
		w.lease.Stop()
	}
	server := w.server
	w.lease = time.AfterFunc(time.Duration(deadline-w.clock())*time.Millisecond, func() {
		w.mu.Lock()
		var lapsed []*run
		if w.server == server && w.clock() >= w.leaseEnd {
			for _, r := range w.runs {
				lapsed = append(lapsed, r)
			}
		}
		w.mu.Unlock()
		for _, r := range lapsed {
			w.end(r, "lapsed")
		}
	})
}

func (w *worker) hold(c workerCall) (int, map[string]any) {
	w.mu.Lock()
	if c.FencingToken < w.fence {
		w.mu.Unlock()
		return refuse("fence")
	}
	w.fence = c.FencingToken
	for len(w.ends) > 0 && w.firstEnd <= c.LastSeen {
		w.ends, w.firstEnd = w.ends[1:], w.firstEnd+1
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
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.attempt, "", r.percent(), r.does.Cores})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, w.ends[:min(len(w.ends), maxListedEnds)]...)}
}

func (r *run) percent() int {
	age := time.Since(r.began)
	switch {
	case r.does.Lasts && age > startupTime:
		return 100
	case r.does.Lasts || r.does.WorkMs == 0:
		return 0
	}
	return min(99, int(100*age.Milliseconds()/int64(r.does.WorkMs)))
}

// sendHeartbeats sends heartbeats until ctx ends.
func (w *worker) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.mu.Lock()
		up := w.server != nil
		w.heartbeats++
		body, err := json.Marshal(map[string]any{
			"backend": w.pool, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": workerCores, "memMb": workerMemoryMB, "gpu": workerGPUs}, "labels": []string{"a", w.rack},
			"clockMs": w.clock(), "seq": w.heartbeats, "born": w.born.UnixMilli(),
		})
		id := w.id
		w.mu.Unlock()
		if err == nil && up {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/instances/%s/heartbeat", w.control, id), bytes.NewReader(body))
			if err == nil {
				req.Header.Set("Content-Type", "application/json")
				if resp, err := client.Do(req); err == nil {
					resp.Body.Close()
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-w.booted:
		case <-time.After(heartbeatInterval):
		}
	}
}

// jobOf returns the job of a task.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }
