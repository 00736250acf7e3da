package workflowagent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// Times of a session.
const (
	// holdWait is how long a worker waits for an end before it lists what runs. It
	// bounds the age of progress and the delay of a lease's renewal.
	holdWait = time.Second
	// holdTimeout limits a call beyond its wait. The worker is on the same machine.
	holdTimeout = 400 * time.Millisecond
	// holdPause follows a listing of ends that the owner has not noted yet, which
	// the worker would otherwise list again at once.
	holdPause = 200 * time.Millisecond
	// retryPause is the mean delay after a call without an answer.
	retryPause = 60 * time.Millisecond
	// maxRetryPause bounds the pauses, which double for a worker that stays silent.
	maxRetryPause = 500 * time.Millisecond
	// clockSlow is the share by which a worker's clock may be slow.
	clockSlow = 0.02
)

// localRun is a run that the agent knows of.
type localRun struct {
	state      workflowrpc.RunState
	reason     string
	checkpoint string
	percent    int
	// answered is when the worker confirmed the start; a listing that was asked
	// for later must have the run.
	answered time.Time
	// uncertain says that an order to start it has not been answered.
	uncertain bool
	stop      bool
}

// session is one life of a worker.
type session struct {
	a           *Agent
	id          string
	incarnation int64
	api         Worker

	mu     sync.Mutex
	worker workflowrpc.Worker
	seq    uint64 // of the last heartbeat
	beatAt time.Time
	runs   map[workflow.RunID]*localRun
	// over has every run that has ended or was rejected here. An order for it that
	// arrives late is not carried out again.
	over  map[workflow.RunID]time.Time
	ends  []workflowrpc.End // not noted yet, by number
	noted uint64
	seen  uint64 // highest number of an end that was listed
	fence uint64 // highest one that the worker confirmed
	// clock was the worker's clock no later than clockAt. Times of this kind are on
	// the agent's clock, 0 for none.
	clock, clockAt time.Duration
	// inTouch is when the last call that the owner answered was sent, renewed the
	// value of it from which the latest lease that was sent counts.
	inTouch, renewed time.Duration
	open             bool // the last renewal was not answered
	// startsSent is when the last order to start was sent; it is a short lease.
	startsSent time.Duration
	listed     bool
	answered   time.Time // when the worker last answered
	silent     bool
	gone       bool
	// refused is since when connections to the worker are refused.
	refused time.Time

	dirty  chan struct{} // something to report
	wake   chan struct{} // something to tell the worker
	cancel context.CancelFunc
	// syncSeq and processed number the calls to the owner.
	syncSeq, processed uint64
}

func newSession(a *Agent, w workflowrpc.Worker, addr string, seq uint64) *session {
	return &session{
		a: a, id: w.ID, incarnation: w.Incarnation, api: a.o.Connect(addr, w.ID), worker: w, seq: seq, beatAt: time.Now(), answered: time.Now(),
		renewed: a.o.Clock(), // an earlier process of this agent may have renewed leases until now
		runs:    map[workflow.RunID]*localRun{}, over: map[workflow.RunID]time.Time{},
		dirty: make(chan struct{}, 1), wake: make(chan struct{}, 1), cancel: func() {},
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run serves until the worker is gone or ctx ends.
func (s *session) run(ctx context.Context) {
	defer s.api.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.holdLoop(ctx) })
	s.syncLoop(ctx)
	cancel()
	s.a.forget(s)
}

func (s *session) isOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

func (s *session) lastBeat() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seq
}

func (s *session) beat(w workflowrpc.Worker, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq <= s.seq {
		return
	}
	s.seq, s.beatAt = seq, time.Now()
	changed := s.worker.Draining != w.Draining || s.worker.Capacity != w.Capacity || !slices.Equal(s.worker.Labels, w.Labels)
	if s.worker.Draining != w.Draining {
		s.a.o.Log.Event("worker_draining", "worker", s.id, "draining", w.Draining, "heartbeat", seq, "remainingMs", w.Remaining.Milliseconds())
	}
	s.worker = w
	if changed {
		signal(s.dirty)
	}
}

// end takes note that this life of the worker is over.
func (s *session) end(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return
	}
	s.gone = true
	s.a.o.Log.Event("worker_gone", "worker", s.id, "incarnation", s.incarnation, "why", why, "runs", len(s.runs))
	signal(s.dirty)
	signal(s.wake)
	s.cancel()
}

// ownerChanged makes the worker refuse earlier owners, then reports to the new one.
func (s *session) ownerChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	signal(s.wake)
	signal(s.dirty)
	s.cancel()
}

// holdLoop keeps the leases and follows what the worker lists.
func (s *session) holdLoop(ctx context.Context) {
	for ctx.Err() == nil && !s.isOver() {
		epoch := s.a.currentEpoch()
		s.mu.Lock()
		wait := holdWait
		if !s.listed || s.fence < epoch || s.seen > s.noted {
			wait = 0
		}
		s.mu.Unlock()
		select {
		case <-s.wake:
		default:
		}
		if err := s.hold(ctx, wait); err != nil {
			if errors.Is(err, ErrOtherIncarnation) || s.refusedFor() >= refusedLimit {
				s.end(err.Error())
				return
			}
			retry.Sleep(ctx, retry.Jitter(2*retryPause))
			continue
		}
		if wait == 0 {
			pause := time.NewTimer(holdPause)
			select {
			case <-s.wake:
			case <-pause.C:
			case <-ctx.Done():
			}
			pause.Stop()
		}
	}
}

// hold asks the worker once. A wait is cut short by wake.
func (s *session) hold(ctx context.Context, wait time.Duration) error {
	epoch := s.a.currentEpoch()
	ctx, cancel := context.WithTimeout(ctx, wait+holdTimeout)
	defer cancel()
	s.mu.Lock()
	call := HoldCall{Fence: epoch, Noted: s.noted, Wait: wait, Deadline: s.leaseEnd()}
	s.cancel = cancel
	s.mu.Unlock()
	sent := time.Now()
	l, err := s.api.Hold(ctx, call)
	if err != nil {
		s.unanswered(err)
		return err
	}
	if l.Incarnation != 0 && l.Incarnation != s.incarnation {
		return ErrOtherIncarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard(l.Clock)
	if l.Rejected != "" {
		// A higher token than ours: an owner that this agent has not heard of.
		s.a.o.Log.Event("hold_rejected", "worker", s.id, "reason", l.Rejected, "epoch", epoch)
		return errors.New("hold rejected: " + l.Rejected)
	}
	if epoch > s.fence {
		s.fence = epoch
		signal(s.dirty)
	}
	s.take(l, sent)
	return nil
}

func (s *session) unanswered(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = true
	switch {
	case !errors.Is(err, ErrNotListening):
		s.refused = time.Time{}
	case s.refused.IsZero():
		s.refused = time.Now()
	}
	if errors.Is(err, context.Canceled) || s.silent || time.Since(s.answered) < silentAfter {
		return
	}
	s.silent = true
	s.a.o.Log.Event("worker_lost", "worker", s.id, "incarnation", s.incarnation, "runs", len(s.runs), "err", err.Error())
	signal(s.dirty)
}

// refusedLimit is how long connections to a worker are refused until its process
// counts as ended. The worker is on this VM, so that no cut of the network looks
// like this; a process that only restarts its listener is back sooner.
const refusedLimit = 300 * time.Millisecond

// refusedFor returns how long connections to the worker have been refused.
func (s *session) refusedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused.IsZero() {
		return 0
	}
	return time.Since(s.refused)
}

// silentAfter is the time without an answer after which a worker receives no
// more work; one hold can be left unanswered without that.
const silentAfter = 1800 * time.Millisecond

// heard takes note of the worker's clock. The lock is held.
func (s *session) heard(clock time.Duration) {
	now := time.Now()
	s.answered, s.open, s.refused = now, false, time.Time{}
	if s.silent {
		s.silent = false
		s.a.o.Log.Event("worker_regained", "worker", s.id, "incarnation", s.incarnation)
		signal(s.dirty)
	}
	if clock > 0 {
		s.clock, s.clockAt = clock, s.a.o.Clock()
	}
}

// workerClock returns a time that the worker's clock has reached at a time on the
// agent's clock. The lock is held.
func (s *session) workerClock(at time.Duration) time.Duration {
	passed := at - s.clockAt
	if passed > 0 {
		passed = time.Duration(float64(passed) * (1 - clockSlow))
	}
	return s.clock + passed
}

// leaseEnd returns the end of the leases on the worker's clock: Lease after the
// owner was in touch, so that the owner knows when they have run out on a worker
// that it does not reach. The lock is held.
func (s *session) leaseEnd() time.Duration {
	if s.clockAt == 0 || s.inTouch == 0 {
		return 0
	}
	if !s.open {
		// A worker may carry an unanswered renewal out at any later time: until it
		// answers, it gets no later end than that one has.
		s.renewed = s.inTouch
	}
	return max(0, s.workerClock(s.renewed)+s.a.o.Lease)
}

// lapsed reports whether everything on a silent worker has lost its lease, on
// the slowest clock. The lock is held.
func (s *session) lapsed() bool {
	since := max(s.renewed, s.startsSent)
	return s.silent && s.a.o.Clock()-since > time.Duration(float64(s.a.o.Lease)/(1-clockSlow))+lapseSlack
}

// lapseSlack covers what timers are late.
const lapseSlack = 200 * time.Millisecond

// take takes over a listing that was asked for at sent. The lock is held.
func (s *session) take(l Listing, sent time.Time) {
	changed := !s.listed
	s.listed = true
	present := map[workflow.RunID]bool{}
	for _, r := range l.Running {
		present[r.ID] = true
		local := s.runs[r.ID]
		if local == nil {
			local = &localRun{state: workflowrpc.RunRunning}
			s.runs[r.ID] = local
			changed = true
		}
		if local.state == workflowrpc.RunStarting {
			local.state, changed = workflowrpc.RunRunning, true
		}
		if local.answered.IsZero() {
			local.answered = sent
		}
		local.checkpoint, local.percent = r.Checkpoint, r.Percent
	}
	for _, e := range l.Ended {
		present[e.ID] = true
		if e.Seq <= s.noted || e.Seq <= s.seen {
			continue
		}
		s.seen = e.Seq
		s.ends = append(s.ends, e)
		s.over[e.ID] = time.Now()
		delete(s.runs, e.ID)
		changed = true
	}
	for id, r := range s.runs {
		if present[id] || r.answered.IsZero() || r.answered.After(sent) || r.state == workflowrpc.RunRejected || r.state == workflowrpc.RunStarting {
			continue
		}
		r.state, r.reason, changed = workflowrpc.RunRejected, ReasonVanished, true
		s.over[id] = time.Now()
	}
	if changed {
		signal(s.dirty)
		s.forgetOver()
	}
}

// forgetOver forgets runs that ended so long ago that no order for them can
// arrive any more. The lock is held.
func (s *session) forgetOver() {
	if len(s.over) < overKept {
		return
	}
	for id, at := range s.over {
		if time.Since(at) > overAge {
			delete(s.over, id)
		}
	}
}

const (
	// overAge is many times the longest delay of a reply (1.2 s).
	overAge = time.Minute
	// overKept is the number of ended runs up to which all are kept.
	overKept = 1000
)
