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
	holds      int
	// listLimit is the largest number of ends in a listing; 0 for no limit.
	listLimit int
}

func (w *fakeWorker) clock() time.Duration { return time.Since(w.clockStart) + time.Second }

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

func (w *fakeWorker) Start(ctx context.Context, c StartCall) (Answer, error) {
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
		case <-time.After(c.Wait):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds++
	w.fence, w.lease = max(w.fence, c.Fence), max(w.lease, c.Deadline)
	l := Listing{Answer: Answer{Clock: w.clock()}, Incarnation: 1}
	for id := range w.running {
		l.Running = append(l.Running, workflowrpc.Run{ID: id, State: workflowrpc.RunRunning})
	}
	for _, e := range w.ended {
		if e.Seq > c.AckedEndSeq && (w.listLimit == 0 || len(l.Ended) < w.listLimit) {
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
	// reportAgain is the value of SyncReply.ReportAgain.
	reportAgain bool
	// noted is the value of SyncReply.Noted.
	noted uint64
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
			worker: &fakeWorker{clockStart: time.Now(), running: map[workflow.RunID]bool{}, stopped: map[workflow.RunID]bool{}},
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

// Guards against tasks that stay assigned forever to a worker that died while its
// agent lives. Seen as a lost task (LOST) in wusta-recell mix, seed 28533931903.
func TestSilentWorkerIsReportedWithExpiredLeases(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		h.worker.silent = true
		lease := h.worker.lease
		left := lease - h.worker.clock()
		h.worker.mu.Unlock()
		time.Sleep(left - 500*time.Millisecond)
		if h.owner.lastReport().Worker.Lapsed {
			t.Fatal("leases are reported as expired before they expire on the worker's clock")
		}
		time.Sleep(4 * time.Second)
		if w := h.owner.lastReport().Worker; !w.Lapsed || w.Silent == 0 {
			t.Fatalf("silent worker is reported as %+v", w)
		}
	})
}

// Guards against tasks that wait for the end of leases although their worker has
// crashed on a machine that is up. Seen in andrade-sleeves-grown scale-1, seed 1.
func TestCrashedWorkerIsGoneBeforeLeasesExpire(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		h.worker.crashed = true
		h.worker.mu.Unlock()
		time.Sleep(2*goneAfterRefused + holdWait)
		if w := h.owner.lastReport().Worker; !w.Gone {
			t.Fatalf("the crashed worker is reported as %+v", w)
		}
	})
}

// Guards against a worker that is reported as gone while it only restarts its
// listener.
func TestBriefConnectionRefusalKeepsWorker(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		for range 20 {
			h.worker.mu.Lock()
			h.worker.crashed = true
			h.worker.mu.Unlock()
			time.Sleep(goneAfterRefused * 2 / 3)
			h.worker.mu.Lock()
			h.worker.crashed = false
			h.worker.mu.Unlock()
			time.Sleep(goneAfterRefused)
		}
		if w := h.owner.lastReport().Worker; w.Gone {
			t.Fatal("the worker is reported as gone")
		}
	})
}

// Guards against a start that is given up, or carried out a second time for the same
// attempt, when the worker leaves calls unanswered.
func TestUnansweredStartIsRepeated(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.worker.mu.Lock()
		h.worker.unansweredCalls = 2
		h.worker.mu.Unlock()
		h.orderStart(testRun(1))
		time.Sleep(2 * time.Second)
		runs := h.owner.lastReport().Runs
		if len(runs) != 1 || runs[0].State != workflowrpc.RunRunning {
			t.Fatalf("reported %+v, want the run", runs)
		}
	})
}

// Guards against a run that is reported as rejected and starts afterwards, because
// the worker carries out an earlier, unanswered call late. The run must be stopped
// before it is reported as rejected.
func TestRejectedStartIsStoppedFirst(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.worker.mu.Lock()
		h.worker.unansweredCalls, h.worker.rejectReason = 1, ReasonNoCapacity
		h.worker.mu.Unlock()
		h.orderStart(testRun(1))
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			if runs := h.owner.lastReport().Runs; len(runs) == 1 && runs[0].State == workflowrpc.RunRejected {
				break
			}
		}
		if runs := h.owner.lastReport().Runs; len(runs) != 1 || runs[0].State != workflowrpc.RunRejected {
			t.Fatalf("reported %+v, want a rejected run", runs)
		}
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if !h.worker.stopped[testRun(1)] {
			t.Fatal("the worker can still start the run that was reported as rejected")
		}
	})
}

// Guards against a run that is reported as rejected while it still runs: its start
// was carried out without an answer, the next call was rejected, and the run goes on
// for a while after its stop. Seen as a task that ran twice (TWICE) in
// andrade-sleeves-grown trouble-3, seed 718669109669.
func TestRunningRunIsNotReportedAsRejected(t *testing.T) {
	stopped := 0
	for phase := range 10 { // of the start relative to the listings; one may show the run before the next call
		withHarness(t, func(t *testing.T, h *harness) {
			time.Sleep(time.Duration(phase) * 100 * time.Millisecond)
			h.worker.mu.Lock()
			h.worker.lostStartReplies, h.worker.rejectReason, h.worker.stopDelay = 1, ReasonUnhealthy, 400*time.Millisecond
			h.worker.mu.Unlock()
			h.orderStart(testRun(1))
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				seen := h.owner.lastReport()
				h.worker.mu.Lock()
				running := h.worker.running[testRun(1)]
				h.worker.mu.Unlock()
				for _, rep := range seen.Runs {
					if rep.State == workflowrpc.RunRejected && running {
						t.Fatalf("phase %d: a run that still runs is reported as rejected", phase)
					}
				}
			}
			if ends := h.owner.lastReport().Ends; len(ends) == 1 && ends[0].Kind == workflow.EndStopped {
				stopped++
			}
		})
	}
	if stopped == 0 {
		t.Error("no phase had a run that was stopped")
	}
}

// An order to start a run must have no effect if it arrives after the order to stop
// the run.
func TestStopOfUnknownRunPreventsItsStart(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.owner.mu.Lock()
		h.owner.stopOrders = []workflow.RunID{testRun(1)}
		h.owner.mu.Unlock()
		time.Sleep(time.Second)
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if !h.worker.stopped[testRun(1)] || h.worker.running[testRun(1)] {
			t.Fatal("a run was started after it was ordered to stop")
		}
	})
}

// Guards against leases that go on after contact with the owner is lost. The owner
// starts the tasks elsewhere once they must have expired.
func TestLeaseEndsAfterOwnerIsLost(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.owner.mu.Lock()
		h.owner.down = true
		h.owner.mu.Unlock()
		lost := time.Now()
		time.Sleep(3 * time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		end := lost.Add(h.worker.lease - h.worker.clock() + time.Since(lost))
		if after := end.Sub(lost); after > testLease || after < testLease/2 {
			t.Fatalf("the lease ends %v after the owner was lost, want up to %v", after, testLease)
		}
	})
}

// Guards against a start by an agent that was paused for about the length of the
// lease after it received the order. By then the owner has started the run
// elsewhere.
func TestPausedAgentStartsNothing(t *testing.T) {
	for pause, want := range map[time.Duration]int{testLease - startValidity - 100*time.Millisecond: 1, testLease + time.Second: 0} {
		withHarness(t, func(t *testing.T, h *harness) {
			h.owner.mu.Lock()
			h.owner.replyDelay = pause
			h.owner.mu.Unlock()
			h.orderStart(testRun(1))
			time.Sleep(pause / 2)
			h.owner.mu.Lock()
			h.owner.replyDelay = 0
			h.owner.mu.Unlock()
			time.Sleep(pause/2 + 700*time.Millisecond)
			h.worker.mu.Lock()
			defer h.worker.mu.Unlock()
			if got := len(h.worker.running); got != want {
				t.Errorf("%d runs begin after a pause of %v, want %d", got, pause, want)
			}
		})
	}
}

// Time in which the machine is suspended must count. The clock of time.Now does not
// advance during a suspension; still, orders from before it must expire, and leases
// must count from before it.
func TestSuspendedTimeCountsForLeases(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.orderStart(testRun(1))
		h.owner.mu.Lock()
		h.owner.replyDelay = 100 * time.Millisecond
		h.owner.mu.Unlock()
		time.Sleep(80 * time.Millisecond)
		h.suspend(testLease - time.Second)
		h.owner.mu.Lock()
		h.owner.down = true
		h.owner.mu.Unlock()
		time.Sleep(3 * time.Second) // the worker answers, the owner does not
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if h.worker.starts > 0 {
			t.Error("an order from before the suspension was carried out")
		}
		if left := h.worker.lease - h.worker.clock(); left > 0 {
			t.Errorf("leases last %v more; for the owner they have expired", left)
		}
	})
}

// Guards against the start of a run on a draining worker.
func TestDrainingWorkerStartsNothing(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
		h.orderStart(testRun(1))
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if h.worker.starts > 0 {
			t.Fatal("a draining worker was told to start a run")
		}
	})
}

// Guards against a delayed heartbeat that replaces a newer incarnation of a worker
// or revokes its draining state.
func TestLateHeartbeatsAreIgnored(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 3)
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1}, "addr", 2)
		h.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 0}, "addr", 9)
		time.Sleep(time.Second)
		if w := h.owner.lastReport().Worker; !w.Draining || w.Incarnation != 1 {
			t.Fatalf("reported %+v", w)
		}
	})
}

// Guards against a worker that is reported to a new owner as fenced while it still
// accepts orders of an earlier owner.
func TestWorkerIsFencedBeforeItIsReported(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.owner.mu.Lock()
		h.owner.epoch = 7
		h.owner.mu.Unlock()
		time.Sleep(2 * time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if got := h.owner.lastReport().Fence; got != 7 || h.worker.fence != 7 {
			t.Fatalf("reported fence %d, the worker has %d, want 7", got, h.worker.fence)
		}
	})
}
