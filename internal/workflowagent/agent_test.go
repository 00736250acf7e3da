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

// fakeWorker is a worker whose clock starts at 0 with the test.
type fakeWorker struct {
	mu     sync.Mutex
	begun  time.Time
	silent bool
	// crashed says that the worker's process does not exist.
	crashed bool
	// drop is the number of orders that are left unanswered, late those of them
	// that are carried out by the test.
	drop    int
	running map[workflow.RunID]bool
	ended   []workflowrpc.End
	stopped map[workflow.RunID]bool
	starts  int
	fence   uint64
	lease   time.Duration
	reject  string
	// lose is the number of starts that are carried out without an answer.
	lose int
	// grace is how long a stopped run goes on.
	grace time.Duration
}

func (w *fakeWorker) clock() time.Duration { return time.Since(w.begun) + time.Second }

func (w *fakeWorker) unanswered(ctx context.Context) error {
	w.mu.Lock()
	lost := w.silent || w.drop > 0
	if w.drop > 0 {
		w.drop--
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
	if err := w.unanswered(ctx); err != nil {
		return Answer{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	if w.lose > 0 {
		w.lose--
		w.running[c.ID] = true
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return Answer{}, ctx.Err()
	}
	switch {
	case w.reject != "":
		return Answer{Clock: w.clock(), Rejected: w.reject}, nil
	case w.stopped[c.ID]:
		return Answer{Clock: w.clock(), Rejected: ReasonOld}, nil
	case c.Deadline < w.clock():
		return Answer{Clock: w.clock(), Rejected: ReasonLate}, nil
	}
	w.running[c.ID] = true
	return Answer{Clock: w.clock()}, nil
}

func (w *fakeWorker) Stop(ctx context.Context, id workflow.RunID, _ uint64) (Answer, error) {
	if err := w.unanswered(ctx); err != nil {
		return Answer{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[id] && w.grace > 0 {
		time.AfterFunc(w.grace, func() {
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

// end ends a run; the lock is held.
func (w *fakeWorker) end(id workflow.RunID, kind workflow.EndKind) {
	delete(w.running, id)
	w.ended = append(w.ended, workflowrpc.End{Seq: uint64(len(w.ended) + 1), ID: id, Kind: kind})
}

func (w *fakeWorker) Hold(ctx context.Context, c HoldCall) (Listing, error) {
	if err := w.unanswered(ctx); err != nil {
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
	w.fence, w.lease = max(w.fence, c.Fence), max(w.lease, c.Deadline)
	l := Listing{Answer: Answer{Clock: w.clock()}, Incarnation: 1}
	for id := range w.running {
		l.Running = append(l.Running, workflowrpc.Run{ID: id, State: workflowrpc.RunRunning})
	}
	for _, e := range w.ended {
		if e.Seq > c.Noted {
			l.Ended = append(l.Ended, e)
		}
	}
	return l, nil
}

func (w *fakeWorker) Close() {}

// fakeOwner answers the calls of agents.
type fakeOwner struct {
	mu    sync.Mutex
	epoch uint64
	down  bool
	start []workflowrpc.Start
	stop  []workflow.RunID
	last  workflowrpc.SyncArgs
	// pause delays the replies beyond the time-out of the calls: so they look to an
	// agent whose process was paused after it received them.
	pause time.Duration
}

func (o *fakeOwner) Call(ctx context.Context, _, method string, args rpc.Headed, reply rpc.Failer) error {
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
	pause := o.pause
	o.mu.Unlock()
	time.Sleep(pause)
	o.mu.Lock()
	defer o.mu.Unlock()
	if sync.Seq > o.last.Seq {
		o.last = *sync
	}
	r := reply.(*workflowrpc.SyncReply)
	r.Epoch = o.epoch
	known := map[workflow.RunID]bool{}
	for _, run := range sync.Runs {
		known[run.ID] = true
	}
	for _, s := range o.start {
		if !known[s.ID] {
			r.Start = append(r.Start, s)
		}
	}
	r.Stop = o.stop
	return nil
}

func (o *fakeOwner) seen() workflowrpc.SyncArgs {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}

// rig is an agent between a fake owner and a fake worker, on virtual time.
type rig struct {
	agent  *Agent
	worker *fakeWorker
	owner  *fakeOwner
	// suspended is the time for which the machine was suspended, in ns.
	suspended atomic.Int64
}

// suspend lets time pass for the worker and for the clock that counts suspensions,
// and not for time.Now.
func (r *rig) suspend(d time.Duration) {
	r.suspended.Add(int64(d))
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.worker.begun = r.worker.begun.Add(-d)
}

func run(t *testing.T, f func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begun := time.Now()
		r := &rig{
			worker: &fakeWorker{begun: time.Now(), running: map[workflow.RunID]bool{}, stopped: map[workflow.RunID]bool{}},
			owner:  &fakeOwner{epoch: 3},
		}
		r.agent = New(ctx, Options{
			ID: "agent", Caller: r.owner, Log: eventlog.Discard(), Seeds: []string{"owner"}, Lease: testLease,
			Connect: func(string, string) Worker { return r.worker },
			Clock:   func() time.Duration { return time.Since(begun) + time.Second + time.Duration(r.suspended.Load()) },
		})
		r.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Capacity: workflow.Resources{CPUMilli: 64000, GPUs: 8}}, "addr", 1)
		time.Sleep(time.Second)
		f(t, r)
		cancel()
		r.agent.Wait()
	})
}

func testRun(attempt int) workflow.RunID {
	return workflow.RunID{Task: workflow.TaskID{Job: "5c0e7a21d94b36f8"}, Attempt: attempt}
}

func (r *rig) order(id workflow.RunID) {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.owner.start = []workflowrpc.Start{{ID: id}}
}

// Guards against tasks that stay assigned for ever to a worker that died while
// its agent lives: wusta-recell mix, seed 28533931903 (LOST).
func TestSilentWorkerIsReportedAsLapsed(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.order(testRun(1))
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		r.worker.silent = true
		lease := r.worker.lease
		left := lease - r.worker.clock()
		r.worker.mu.Unlock()
		time.Sleep(left - 500*time.Millisecond)
		if r.owner.seen().Worker.Lapsed {
			t.Fatal("reported as lapsed while the worker's own lease still runs")
		}
		time.Sleep(4 * time.Second)
		if w := r.owner.seen().Worker; !w.Lapsed || w.Silent == 0 {
			t.Fatalf("silent worker is reported as %+v", w)
		}
	})
}

// Guards against tasks of a worker that crashed on a VM that lives, which wait
// for the end of leases: andrade-sleeves-grown scale-1, seed 1.
func TestCrashedWorkerIsGoneBeforeItsLease(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.order(testRun(1))
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		r.worker.crashed = true
		r.worker.mu.Unlock()
		time.Sleep(2*refusedLimit + holdWait)
		if w := r.owner.seen().Worker; !w.Gone {
			t.Fatalf("the crashed worker is reported as %+v", w)
		}
	})
}

// Guards against a worker that counts as gone while it only restarts its
// listener.
func TestBriefRefusalIsNoEnd(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		for range 20 {
			r.worker.mu.Lock()
			r.worker.crashed = true
			r.worker.mu.Unlock()
			time.Sleep(refusedLimit * 2 / 3)
			r.worker.mu.Lock()
			r.worker.crashed = false
			r.worker.mu.Unlock()
			time.Sleep(refusedLimit)
		}
		if w := r.owner.seen().Worker; w.Gone {
			t.Fatal("the worker is reported as gone")
		}
	})
}

// Guards against a second start of the same attempt by an order that was left
// unanswered, and against giving the order up.
func TestUnansweredStartIsRepeated(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.worker.mu.Lock()
		r.worker.drop = 2
		r.worker.mu.Unlock()
		r.order(testRun(1))
		time.Sleep(2 * time.Second)
		runs := r.owner.seen().Runs
		if len(runs) != 1 || runs[0].State != workflowrpc.RunRunning {
			t.Fatalf("reported %+v, want the run", runs)
		}
	})
}

// Guards against a rejected order that an earlier, unanswered copy carries out
// later: the run must be stopped for certain before it is reported as rejected.
func TestRejectedStartIsStoppedFirst(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.worker.mu.Lock()
		r.worker.drop, r.worker.reject = 1, ReasonRoom
		r.worker.mu.Unlock()
		r.order(testRun(1))
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			if runs := r.owner.seen().Runs; len(runs) == 1 && runs[0].State == workflowrpc.RunRejected {
				break
			}
		}
		if runs := r.owner.seen().Runs; len(runs) != 1 || runs[0].State != workflowrpc.RunRejected {
			t.Fatalf("reported %+v, want a rejected run", runs)
		}
		r.worker.mu.Lock()
		defer r.worker.mu.Unlock()
		if !r.worker.stopped[testRun(1)] {
			t.Fatal("the worker can still start the run that was reported as rejected")
		}
	})
}

// Guards against a run that is reported as rejected while it still runs: its
// start was carried out without an answer, the next try was refused, and it goes
// on for a while after its stop. andrade-sleeves-grown trouble-3, seed
// 718669109669 (TWICE).
func TestRejectedStartThatRunsIsNoRejection(t *testing.T) {
	stopped := 0
	for phase := range 10 { // of the listings, of which one can show the run before the next try
		run(t, func(t *testing.T, r *rig) {
			time.Sleep(time.Duration(phase) * 100 * time.Millisecond)
			r.worker.mu.Lock()
			r.worker.lose, r.worker.reject, r.worker.grace = 1, ReasonUnhealthy, 400*time.Millisecond
			r.worker.mu.Unlock()
			r.order(testRun(1))
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				seen := r.owner.seen()
				r.worker.mu.Lock()
				running := r.worker.running[testRun(1)]
				r.worker.mu.Unlock()
				for _, rep := range seen.Runs {
					if rep.State == workflowrpc.RunRejected && running {
						t.Fatalf("phase %d: a run that still runs is reported as rejected", phase)
					}
				}
			}
			if ends := r.owner.seen().Ends; len(ends) == 1 && ends[0].Kind == workflow.EndStopped {
				stopped++
			}
		})
	}
	if stopped == 0 {
		t.Error("no phase had a run that was stopped")
	}
}

// Guards against an order that arrives after its run was withdrawn.
func TestStopOfUnknownRunPreventsItsStart(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.owner.mu.Lock()
		r.owner.stop = []workflow.RunID{testRun(1)}
		r.owner.mu.Unlock()
		time.Sleep(time.Second)
		r.order(testRun(1))
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		defer r.worker.mu.Unlock()
		if !r.worker.stopped[testRun(1)] || r.worker.running[testRun(1)] {
			t.Fatal("a withdrawn run was started")
		}
	})
}

// Guards against leases that outlive the owner's contact, after which the owner
// starts the tasks elsewhere.
func TestLeaseEndsAfterOwnerIsLost(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.owner.mu.Lock()
		r.owner.down = true
		r.owner.mu.Unlock()
		lost := time.Now()
		time.Sleep(3 * time.Second)
		r.worker.mu.Lock()
		defer r.worker.mu.Unlock()
		end := lost.Add(r.worker.lease - r.worker.clock() + time.Since(lost))
		if after := end.Sub(lost); after > testLease || after < testLease/2 {
			t.Fatalf("the lease ends %v after the owner was lost, want up to %v", after, testLease)
		}
	})
}

// Guards against a start by an agent that was paused for about the lease after it
// had received the order: the owner has given the run up by then and started it
// elsewhere.
func TestPausedAgentStartsNothing(t *testing.T) {
	for pause, want := range map[time.Duration]int{testLease - startWindow - 100*time.Millisecond: 1, testLease + time.Second: 0} {
		run(t, func(t *testing.T, r *rig) {
			r.owner.mu.Lock()
			r.owner.pause = pause
			r.owner.mu.Unlock()
			r.order(testRun(1))
			time.Sleep(pause / 2)
			r.owner.mu.Lock()
			r.owner.pause = 0
			r.owner.mu.Unlock()
			time.Sleep(pause/2 + 700*time.Millisecond)
			r.worker.mu.Lock()
			defer r.worker.mu.Unlock()
			if got := len(r.worker.running); got != want {
				t.Errorf("%d runs begin after a pause of %v, want %d", got, pause, want)
			}
		})
	}
}

// Guards against a machine that was suspended, in which time its usual steady clock
// stands still, as if no time had passed: orders that came before are too old, and
// leases count from before the suspension.
func TestSuspensionCounts(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.order(testRun(1))
		r.owner.mu.Lock()
		r.owner.pause = 100 * time.Millisecond
		r.owner.mu.Unlock()
		time.Sleep(80 * time.Millisecond)
		r.suspend(testLease - time.Second)
		r.owner.mu.Lock()
		r.owner.down = true
		r.owner.mu.Unlock()
		time.Sleep(3 * time.Second) // the worker answers, the owner does not
		r.worker.mu.Lock()
		defer r.worker.mu.Unlock()
		if r.worker.starts > 0 {
			t.Error("an order from before the suspension was carried out")
		}
		if left := r.worker.lease - r.worker.clock(); left > 0 {
			t.Errorf("leases last %v more, the owner counts them as over", left)
		}
	})
}

// Guards against the start of work on a worker that is leaving.
func TestDrainingWorkerStartsNothing(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 2)
		r.order(testRun(1))
		time.Sleep(time.Second)
		r.worker.mu.Lock()
		defer r.worker.mu.Unlock()
		if r.worker.starts > 0 {
			t.Fatal("a draining worker was told to start a run")
		}
	})
}

// Guards against a delayed heartbeat that replaces a newer life of a worker or
// takes back its draining.
func TestLateHeartbeatsAreIgnored(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1, Draining: true}, "addr", 3)
		r.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 1}, "addr", 2)
		r.agent.Heartbeat(workflowrpc.Worker{ID: "w", Incarnation: 0}, "addr", 9)
		time.Sleep(time.Second)
		if w := r.owner.seen().Worker; !w.Draining || w.Incarnation != 1 {
			t.Fatalf("reported %+v", w)
		}
	})
}

// Guards against a worker that still obeys an earlier owner when it is reported
// to the new one.
func TestWorkerIsFencedBeforeItCounts(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.owner.mu.Lock()
		r.owner.epoch = 7
		r.owner.mu.Unlock()
		time.Sleep(2 * time.Second)
		r.worker.mu.Lock()
		defer r.worker.mu.Unlock()
		if got := r.owner.seen().Fence; got != 7 || r.worker.fence != 7 {
			t.Fatalf("reported fence %d, the worker has %d, want 7", got, r.worker.fence)
		}
	})
}
