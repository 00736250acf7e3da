package workflowagent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

const testLease = 5 * time.Second

// fakeWorker is a worker whose clock starts at 1 s with the test.
type fakeWorker struct {
	mu         sync.Mutex
	clockStart time.Time
	silent     bool
	// crashed makes all calls fail as if the worker's process did not exist.
	crashed bool
	// exited is closed by exit; nil for workers that are not to exit.
	exited chan struct{}
	// unansweredCalls is the number of further calls that are neither carried out nor
	// answered.
	unansweredCalls int
	running         map[workflow.RunID]bool
	ended           []workflowrpc.End
	stopped         map[workflow.RunID]bool
	starts          int
	fence           uint64
	lease           time.Duration
	rejectReason    string
	// lostStartReplies is the number of further starts that are carried out without an
	// answer.
	lostStartReplies int
	// stopDelay is how long a run goes on after its stop.
	stopDelay time.Duration
	// startTime is how long a start takes when it is alone; others wait for startTurn.
	startTime time.Duration
	startTurn chan struct{}
	// lateStarts counts the start calls whose time limit ended while they waited.
	lateStarts int
	// startCalls has the start calls that arrived, and when.
	startCalls []arrivedStart
	holds      int
	// incarnation is named in listings.
	incarnation int64
	// acked is the highest Seq of an acknowledgement, also of another incarnation's ends.
	acked uint64
	// listLimit is the largest number of ends in a listing; 0 for no limit.
	listLimit int
}

func (w *fakeWorker) clock() time.Duration { return time.Since(w.clockStart) + time.Second }

// exit ends the worker's process, and with it the calls in progress.
func (w *fakeWorker) exit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = true
	close(w.exited)
}

// injectFault returns the error of a call that fails, or nil.
func (w *fakeWorker) injectFault(ctx context.Context) error {
	w.mu.Lock()
	lost := w.silent || w.unansweredCalls > 0
	if w.unansweredCalls > 0 {
		w.unansweredCalls--
	}
	crashed := w.crashed
	w.mu.Unlock()
	if crashed {
		return ErrNotListening
	}
	if !lost {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// arrivedStart is a start call that arrived at a worker.
type arrivedStart struct {
	StartCall
	at time.Time
}

func (w *fakeWorker) Start(ctx context.Context, c StartCall) (Answer, error) {
	w.mu.Lock()
	w.startCalls = append(w.startCalls, arrivedStart{c, time.Now()})
	w.mu.Unlock()
	if err := w.injectFault(ctx); err != nil {
		return Answer{}, err
	}
	if w.startTime > 0 {
		select {
		case w.startTurn <- struct{}{}:
			time.Sleep(w.startTime)
			<-w.startTurn
		case <-ctx.Done():
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lateStarts++
			return Answer{}, ctx.Err()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	if w.lostStartReplies > 0 {
		w.lostStartReplies--
		w.running[c.ID] = true
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return Answer{}, ctx.Err()
	}
	switch {
	case w.rejectReason != "":
		return Answer{Clock: w.clock(), Rejected: w.rejectReason}, nil
	case w.stopped[c.ID]:
		return Answer{Clock: w.clock(), Rejected: ReasonEnded}, nil
	case c.Deadline < w.clock():
		return Answer{Clock: w.clock(), Rejected: ReasonDeadlinePassed}, nil
	}
	w.running[c.ID] = true
	return Answer{Clock: w.clock()}, nil
}

func (w *fakeWorker) Stop(ctx context.Context, id workflow.RunID, _ uint64) (Answer, error) {
	if err := w.injectFault(ctx); err != nil {
		return Answer{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[id] && w.stopDelay > 0 {
		time.AfterFunc(w.stopDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(id, workflow.EndStopped)
		})
	} else if w.running[id] {
		w.end(id, workflow.EndStopped)
	}
	w.stopped[id] = true
	return Answer{Clock: w.clock()}, nil
}

// end ends a run. w.mu must be held.
func (w *fakeWorker) end(id workflow.RunID, kind workflow.EndKind) {
	delete(w.running, id)
	w.ended = append(w.ended, workflowrpc.End{Seq: uint64(len(w.ended) + 1), ID: id, Kind: kind})
}

func (w *fakeWorker) Hold(ctx context.Context, c HoldCall) (Listing, error) {
	if err := w.injectFault(ctx); err != nil {
		return Listing{}, err
	}
	if c.Wait > 0 {
		select {
		case <-ctx.Done():
			return Listing{}, ctx.Err()
		case <-w.exited:
			return Listing{}, errors.New("connection reset")
		case <-time.After(c.Wait):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds++
	w.fence, w.lease, w.acked = max(w.fence, c.Fence), max(w.lease, c.Deadline), max(w.acked, c.AckedEndSeq)
	l := Listing{Answer: Answer{Clock: w.clock()}, Incarnation: w.incarnation}
	for id := range w.running {
		l.Running = append(l.Running, workflowrpc.Run{ID: id, State: workflowrpc.RunRunning})
	}
	for _, e := range w.ended {
		if e.Seq > w.acked && (w.listLimit == 0 || len(l.Ended) < w.listLimit) {
			l.Ended = append(l.Ended, e)
		}
	}
	l.Truncated = w.listLimit > 0 && len(l.Ended) == w.listLimit
	return l, nil
}

func (w *fakeWorker) Close() {}

// fakeOwner replies to the calls of agents with its orders.
type fakeOwner struct {
	mu          sync.Mutex
	epoch       uint64
	down        bool
	startOrders []workflowrpc.Start
	stopOrders  []workflow.RunID
	lastSync    workflowrpc.SyncArgs
	reports     []workflowrpc.SyncArgs // all calls, in order of arrival
	// reportAgain is the value of SyncReply.ReportAgain.
	reportAgain bool
	// noted is the value of SyncReply.Noted.
	noted uint64
	// startWithin and zoneEvacuated are the values of SyncReply.StartWithin and ZoneEvacuated.
	startWithin   time.Duration
	zoneEvacuated bool
	// replyDelay delays the replies beyond the timeout of the calls. For the agent
	// this has the effect of a pause of its process after it received the reply.
	replyDelay time.Duration
}

func (o *fakeOwner) Call(ctx context.Context, _, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
	sync, ok := args.(*workflowrpc.SyncArgs)
	if !ok {
		return errors.New("unexpected " + method)
	}
	o.mu.Lock()
	down := o.down
	o.reports = append(o.reports, *sync)
	o.mu.Unlock()
	if down {
		return verdict.Refuse(verdict.CodeUnavailable, "down")
	}
	wait := time.NewTimer(sync.Wait / 10)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	o.mu.Lock()
	delay := o.replyDelay
	o.mu.Unlock()
	time.Sleep(delay)
	o.mu.Lock()
	defer o.mu.Unlock()
	if sync.Seq > o.lastSync.Seq {
		o.lastSync = *sync
	}
	r := reply.(*workflowrpc.SyncReply)
	r.Epoch, r.ReportAgain, r.Noted = o.epoch, o.reportAgain, o.noted
	known := map[workflow.RunID]bool{}
	for _, run := range sync.Runs {
		known[run.ID] = true
	}
	for _, s := range o.startOrders {
		if !known[s.ID] {
			r.Start = append(r.Start, s)
		}
	}
	r.Stop = o.stopOrders
	r.StartWithin, r.ZoneEvacuated = o.startWithin, o.zoneEvacuated
	return nil
}

// lastReport returns the agent's newest report.
func (o *fakeOwner) lastReport() workflowrpc.SyncArgs {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastSync
}

// harness is an agent with a fake owner and a fake worker, on virtual time.
type harness struct {
	agent  *Agent
	worker *fakeWorker
	owner  *fakeOwner
	// suspended is the time for which the machine was suspended, in ns.
	suspended atomic.Int64
}

// restart makes the worker start anew under its ID.
func (h *harness) restart() {
	w := h.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.running)
	clear(w.stopped)
	w.incarnation++
	w.ended, w.acked, w.fence, w.lease, w.clockStart = nil, 0, 0, 0, time.Now()
}

// setSilent sets whether calls to the worker are neither carried out nor answered.
func (h *harness) setSilent(silent bool) {
	h.worker.mu.Lock()
	defer h.worker.mu.Unlock()
	h.worker.silent = silent
}

// suspend simulates a suspension of the machine: it advances the worker's clock and
// the agent's Options.Clock, but not time.Now.
func (h *harness) suspend(d time.Duration) {
	h.suspended.Add(int64(d))
	h.worker.mu.Lock()
	defer h.worker.mu.Unlock()
	h.worker.clockStart = h.worker.clockStart.Add(-d)
}

// withHarness runs f on virtual time with an agent that has one worker.
func withHarness(t *testing.T, f func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		h := &harness{
			worker: &fakeWorker{incarnation: 1, exited: make(chan struct{}), clockStart: time.Now(), running: map[workflow.RunID]bool{}, stopped: map[workflow.RunID]bool{}},
			owner:  &fakeOwner{epoch: 3},
		}
		h.agent = New(ctx, Options{
			ID: "agent", Caller: h.owner, Log: eventlog.Discard(), Seeds: []string{"owner"}, Lease: testLease,
			Connect: func(string, string) Worker { return h.worker },
			Clock:   func() time.Duration { return time.Since(start) + time.Second + time.Duration(h.suspended.Load()) },
		})
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Capacity: workflow.Resources{CPUMilli: 64000, GPUs: 8}}, "addr", 1)
		time.Sleep(time.Second)
		f(t, h)
		cancel()
		h.agent.Wait()
	})
}

// testRun returns the run ID of an attempt of the test task.
func testRun(attempt int) workflow.RunID {
	return workflow.RunID{Task: workflow.TaskID{Job: "5c0e7a21d94b36f8"}, Attempt: attempt}
}

// orderStart makes the owner order the start of a run.
func (h *harness) orderStart(id workflow.RunID) {
	h.owner.mu.Lock()
	defer h.owner.mu.Unlock()
	h.owner.startOrders = []workflowrpc.Start{{ID: id}}
}

// orderStarts makes the owner order the starts of runs 1 to n of the test task.
func (h *harness) orderStarts(n int) {
	h.owner.mu.Lock()
	defer h.owner.mu.Unlock()
	for i := range n {
		h.owner.startOrders = append(h.owner.startOrders, workflowrpc.Start{ID: testRun(i + 1)})
	}
}
