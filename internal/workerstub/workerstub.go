// Package workerstub is a simulated worker for tests. It enforces the worker
// protocol described in docs/api-worker.md. Its tasks only wait for their run
// time, and it keeps a history of them for later checks.
//
// Two tokens of a request (workerclient.Tokens) protect a worker against processes
// that have been replaced. The incarnation identifies a process of the agent: fencing
// the worker to an incarnation (Worker.Fence) stops the tasks of lower ones, and
// requests with a lower one are refused from then on. The fence (structs.Fence), also
// called fencing token, comes from the owner and increases over time: on each
// accelerator, the worker refuses to start a task with a lower fence than that of the
// last task there.
package workerstub

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

// Limits of what a worker remembers, and defaults of Config.
const (
	// maxEnded limits the ended tasks that are kept, with their results.
	maxEnded = 256
	// maxTombstones limits the IDs that must not be started: those of tasks that
	// were stopped before their start, and of ended tasks that are no longer kept.
	maxTombstones = 4096
	// DefaultHistory is the default of Config.History.
	DefaultHistory = 100_000
	// DefaultUsageInterval is the default of Config.UsageInterval.
	DefaultUsageInterval = time.Second
)

// Config configures a worker. A zero History or UsageInterval means the default.
type Config struct {
	// Accelerators is the number of accelerators, at most 64. CoresMilli is the
	// processor time in thousandths of a core, MemoryMB the memory in MiB, and Slots
	// the largest number of tasks that run at the same time.
	Accelerators, CoresMilli, MemoryMB, Slots int
	// History is the number of latest events that are kept.
	History int
	// Log, if not nil, receives every event, not only the latest ones, as a line of
	// JSON before the response to the request is sent, so that the events outlive the
	// process.
	Log io.Writer
	// UsageInterval is the time between two samples of the usage.
	UsageInterval time.Duration
}

// Mode has the faults that a worker injects.
type Mode struct {
	// FailAll makes every task fail at its end.
	FailAll bool `json:"fail_all"`
	// DelayMS is the delay of every response in milliseconds, after the request
	// took effect.
	DelayMS int64 `json:"delay_ms"`
	// DropAnswers closes the connection instead of sending a response.
	DropAnswers bool `json:"drop_answers"`
}

// Worker is a simulated worker. It has the methods of workerclient.Client and is
// safe for concurrent use.
type Worker struct {
	cfg    Config
	bootID string // random ID of this start of the worker
	stop   chan struct{}
	wg     sync.WaitGroup

	mu               sync.Mutex
	closed           bool
	mode             Mode
	incarnation      int64
	highestFence     structs.Fence
	lastFences       [64]structs.Fence // last fence used on each accelerator; a bit mask has 64 bits
	busyAccelerators uint64            // bit mask
	tasks            map[string]*task
	endedIDs         []string // IDs of ended tasks, oldest first
	tombstones       map[string]bool
	tombstoneOrder   []string
	stateVersion     uint64        // increases when the state of a task or the incarnation changes
	stateChanged     chan struct{} // closed and replaced when stateVersion increases
	history          []Event
	usage            workerclient.UsageReply
	sampledAt        time.Time
}

// New returns a running worker. The caller must call Close.
func New(cfg Config) *Worker {
	if cfg.History == 0 {
		cfg.History = DefaultHistory
	}
	if cfg.UsageInterval == 0 {
		cfg.UsageInterval = DefaultUsageInterval
	}
	w := &Worker{
		cfg: cfg, bootID: rand.Text(), stop: make(chan struct{}), tasks: map[string]*task{},
		tombstones: map[string]bool{}, stateChanged: make(chan struct{}), sampledAt: time.Now(),
	}
	w.writeToLog(Event{TimeNS: time.Now().UnixNano(), Event: EventBoot})
	w.wg.Go(w.sampleUsage)
	return w
}

// Close stops all tasks and waits until they have ended.
func (w *Worker) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.stop)
	}
	w.mu.Unlock()
	w.wg.Wait()
}

// SetMode replaces the injected faults.
func (w *Worker) SetMode(m Mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
}

func (w *Worker) currentMode() Mode {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode
}

// Info returns a description of the worker.
func (w *Worker) Info(context.Context) (workerclient.Info, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return workerclient.Info{
		Boot: w.bootID, Incarnation: w.incarnation, HighestFence: w.highestFence, Accelerators: w.cfg.Accelerators,
		CoresMilli: w.cfg.CoresMilli, MemoryMB: w.cfg.MemoryMB, Slots: w.cfg.Slots,
	}, nil
}

// Fence raises the incarnation and stops all tasks of lower incarnations.
func (w *Worker) Fence(_ context.Context, incarnation int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if incarnation < w.incarnation {
		return staleIncarnation(incarnation, w.incarnation)
	}
	w.incarnation = incarnation
	w.newStateVersion()
	for _, t := range w.tasks {
		if t.state == structs.TaskRunning && t.req.Incarnation < incarnation {
			w.end(t, structs.TaskStopped, "fenced")
		}
	}
	return nil
}

func staleIncarnation(got, have int64) error {
	return verdict.Refuse(verdict.CodeStaleEpoch, "incarnation %d is lower than %d", got, have)
}

// checkIncarnation returns an error unless the worker is fenced to the incarnation
// got. The caller must hold w.mu.
func (w *Worker) checkIncarnation(got int64) error {
	if got < w.incarnation {
		return staleIncarnation(got, w.incarnation)
	}
	if got > w.incarnation {
		return verdict.Refuse(verdict.CodeConflict, "worker is not fenced to incarnation %d", got)
	}
	return nil
}

// Run starts a task.
func (w *Worker) Run(_ context.Context, r *workerclient.RunRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	mask, err := w.checkRun(r)
	if err != nil {
		return err
	}
	if t := w.tasks[r.ID]; t != nil {
		if t.req.Fence == r.Fence && t.req.Incarnation == r.Incarnation {
			return nil
		}
		return verdict.Refuse(verdict.CodeConflict, "task %s exists", r.ID)
	}
	if err := w.checkCapacity(r, mask); err != nil {
		return err
	}
	for _, i := range r.Accelerators {
		w.lastFences[i] = r.Fence
	}
	w.highestFence = max(w.highestFence, r.Fence)
	w.busyAccelerators |= mask
	t := newTask(r, mask)
	w.tasks[r.ID] = t
	w.recordEvent(t, EventStart, "")
	w.newTaskStateVersion(t)
	w.wg.Go(func() { w.run(t) })
	return nil
}

// checkRun validates a request to run a task and returns the bit mask of its
// accelerators. The caller must hold w.mu.
func (w *Worker) checkRun(r *workerclient.RunRequest) (uint64, error) {
	if w.closed {
		return 0, verdict.Refuse(verdict.CodeDraining, "worker is leaving")
	}
	if err := w.checkIncarnation(r.Incarnation); err != nil {
		return 0, err
	}
	if r.ID == "" || r.LeaseMS <= 0 || r.Rank < 0 || r.Rank >= r.Size {
		return 0, verdict.Refuse(verdict.CodeBadRequest, "id, lease_ms, rank or size is out of range")
	}
	if w.tombstones[r.ID] {
		return 0, verdict.Refuse(verdict.CodeTombstoned, "task %s was stopped before it started", r.ID)
	}
	var mask uint64
	for _, i := range r.Accelerators {
		if i < 0 || i >= w.cfg.Accelerators || mask&(1<<i) != 0 {
			return 0, verdict.Invalid("accelerators", "accelerator %d is out of range or repeated", i)
		}
		mask |= 1 << i
		if r.Fence < w.lastFences[i] {
			return 0, verdict.Refuse(verdict.CodeStaleEpoch, "fence %d is lower than %d on accelerator %d", r.Fence, w.lastFences[i], i)
		}
	}
	return mask, nil
}

// checkCapacity returns an error if the accelerators, cores, memory or slots for a
// task are not free. The caller must hold w.mu.
func (w *Worker) checkCapacity(r *workerclient.RunRequest, mask uint64) error {
	if w.busyAccelerators&mask != 0 {
		return verdict.Refuse(verdict.CodeConflict, "accelerators are in use")
	}
	cores, memory, slots := r.CoresMilli, r.MemoryMB, 1
	for _, t := range w.tasks {
		if t.state == structs.TaskRunning {
			cores, memory, slots = cores+t.req.CoresMilli, memory+t.req.MemoryMB, slots+1
		}
	}
	if cores > w.cfg.CoresMilli || memory > w.cfg.MemoryMB || slots > w.cfg.Slots {
		return verdict.Refuse(verdict.CodeOverloaded, "cores, memory or slots are used up")
	}
	return nil
}

// Renew renews the leases of tasks.
func (w *Worker) Renew(_ context.Context, r *workerclient.RenewRequest) (*workerclient.RenewReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkIncarnation(r.Incarnation); err != nil {
		return nil, err
	}
	reply := &workerclient.RenewReply{Boot: w.bootID}
	now := time.Now()
	for _, id := range r.IDs {
		t := w.tasks[id]
		if t == nil {
			continue
		}
		if t.state == structs.TaskRunning && !now.Before(t.leaseUntil) {
			w.end(t, structs.TaskStopped, "lease lapsed")
		}
		if t.state == structs.TaskRunning {
			t.leaseUntil = now.Add(time.Duration(r.LeaseMS) * time.Millisecond)
			t.wakeUp()
		}
		reply.Tasks = append(reply.Tasks, t.status())
	}
	return reply, nil
}

// States returns the tasks whose state changed after version since. If there is no
// change, it waits up to wait for one.
func (w *Worker) States(ctx context.Context, since uint64, wait time.Duration) (*workerclient.StatesReply, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		changed := w.stateChanged
		reply := &workerclient.StatesReply{Boot: w.bootID, Incarnation: w.incarnation, Version: w.stateVersion}
		for _, t := range w.tasks {
			if t.stateVersion > since {
				reply.Tasks = append(reply.Tasks, t.status())
			}
		}
		hasChanged := w.stateVersion != since
		w.mu.Unlock()
		if hasChanged {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-w.stop:
			return reply, nil
		case <-ctx.Done():
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%v", ctx.Err())
		}
	}
}

// findTask returns the task that r identifies, after checking the incarnation and
// the fence of r. The caller must hold w.mu.
func (w *Worker) findTask(r workerclient.TaskRequest) (*task, error) {
	if err := w.checkIncarnation(r.Incarnation); err != nil {
		return nil, err
	}
	t := w.tasks[r.ID]
	if t == nil {
		return nil, verdict.Refuse(verdict.CodeNotFound, "no task %s", r.ID)
	}
	if r.Fence < t.req.Fence {
		return nil, verdict.Refuse(verdict.CodeStaleEpoch, "fence %d is lower than the task's %d", r.Fence, t.req.Fence)
	}
	return t, nil
}

// Checkpoint returns a checkpoint with the progress of a running or finished task.
func (w *Worker) Checkpoint(_ context.Context, r workerclient.TaskRequest) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.findTask(r)
	if err != nil {
		return nil, err
	}
	if t.state == structs.TaskFailed || t.state == structs.TaskStopped {
		return nil, verdict.New(verdict.Ran, verdict.CodeConflict, "task %s is %s", r.ID, t.state)
	}
	t.advance(time.Now())
	if r.Hold {
		t.suspended = true
		t.wakeUp()
	}
	return json.Marshal(checkpoint{DoneMS: t.done.Milliseconds()})
}

// Throttle sets the speed of a task.
func (w *Worker) Throttle(_ context.Context, r workerclient.TaskRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.findTask(r)
	if err != nil {
		return err
	}
	if r.Percent < 0 || r.Percent > 100 {
		return verdict.Invalid("percent", "must be 0 to 100")
	}
	t.advance(time.Now())
	t.percent = r.Percent
	t.wakeUp()
	return nil
}

// Stop stops a task and prevents a later start under its ID, also if no such task
// is known.
func (w *Worker) Stop(_ context.Context, r workerclient.TaskRequest) (workerclient.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.findTask(r)
	if verdict.HasCode(err, verdict.CodeNotFound) {
		w.addTombstone(r.ID)
		return workerclient.TaskStatus{ID: r.ID, State: structs.TaskStopped, Message: "unknown"}, nil
	}
	if err != nil {
		return workerclient.TaskStatus{}, err
	}
	if t.state == structs.TaskRunning {
		w.end(t, structs.TaskStopped, "stopped")
	}
	return t.status(), nil
}

// addTombstone prevents the start of a task with this ID. The caller must hold
// w.mu.
func (w *Worker) addTombstone(id string) {
	if w.tombstones[id] {
		return
	}
	w.tombstones[id] = true
	w.tombstoneOrder = append(w.tombstoneOrder, id)
	if len(w.tombstoneOrder) > maxTombstones {
		delete(w.tombstones, w.tombstoneOrder[0])
		w.tombstoneOrder = w.tombstoneOrder[1:]
	}
}

// Result returns the result of a finished task.
func (w *Worker) Result(_ context.Context, r workerclient.TaskRequest, limit int) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.findTask(r)
	if err != nil {
		return nil, err
	}
	if t.state != structs.TaskFinished {
		return nil, verdict.New(verdict.Ran, verdict.CodeConflict, "task %s is %s", r.ID, t.state)
	}
	if limit > 0 && len(t.result) > limit {
		return nil, verdict.New(verdict.Ran, verdict.CodeTooLarge, "result of %d bytes is above the limit of %d", len(t.result), limit)
	}
	return t.result, nil
}

// Usage returns the last sample of the resources that running tasks use.
func (w *Worker) Usage(context.Context) (structs.Usage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return structs.Usage{CoresMilli: w.usage.CoresMilli, MemoryMB: w.usage.MemoryMB, Lag: time.Since(w.sampledAt)}, nil
}

// sampleUsage samples the usage periodically until the worker is closed.
func (w *Worker) sampleUsage() {
	tick := time.NewTicker(w.cfg.UsageInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-w.stop:
			return
		}
		w.mu.Lock()
		w.usage, w.sampledAt = workerclient.UsageReply{}, time.Now()
		for _, t := range w.tasks {
			if t.state == structs.TaskRunning {
				w.usage.CoresMilli += t.req.CoresMilli * t.percent / 100
				w.usage.MemoryMB += t.req.MemoryMB
			}
		}
		w.mu.Unlock()
	}
}
