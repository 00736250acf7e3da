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

// Time limits and delays of calls to a worker.
const (
	// holdWait is how long a worker waits for the end of a run before it answers
	// Hold. It limits how old the reported progress is and how long a lease goes
	// without renewal.
	holdWait = time.Second
	// holdTimeout limits a call of Hold in addition to its wait. It is short because
	// the worker is on the same machine.
	holdTimeout = 400 * time.Millisecond
	// relistDelay is the delay after a Hold without a wait. A worker answers at once
	// while it has ends that the owner has not acknowledged; without the delay, the
	// calls would follow each other immediately.
	relistDelay = 200 * time.Millisecond
	// minRelistPause is the least time between two listings for which runs wait.
	minRelistPause = 50 * time.Millisecond
	// retryDelay is the mean delay after a failed call.
	retryDelay = 60 * time.Millisecond
	// maxRetryDelay limits the delay, which doubles with each failed stop.
	maxRetryDelay = 500 * time.Millisecond
	// maxClockSlowness is the fraction by which a worker's clock may run slow.
	maxClockSlowness = 0.02
)

// localRun is the state of a run on the session's worker.
type localRun struct {
	state      workflowrpc.RunState
	reason     string
	checkpoint string
	percent    int
	// sentAt is when the first start call was sent that the worker may have carried out,
	// or else when a listing first showed the run; it is on the agent's clock, 0 for none.
	sentAt time.Duration
	// startSentAt is when the last start call was sent, zero for none.
	startSentAt time.Time
	// confirmedAt is when the worker confirmed the start, zero before. A listing that
	// is requested later must have the run or its end.
	confirmedAt time.Time
	// startUnanswered says that a start call had no answer, so that the worker may
	// have started the run or may still do so.
	startUnanswered bool
	stopRequested   bool
}

// session is the agent's state of one incarnation of a worker.
type session struct {
	agent       *Agent
	id          string
	incarnation int64
	api         Worker

	mu           sync.Mutex
	worker       workflowrpc.Worker
	heartbeatSeq uint64 // of the last heartbeat
	heartbeatAt  time.Time
	runs         map[workflow.RunID]*localRun
	// endedRuns has the time at which each run ended or was rejected. Late orders for
	// these runs are ignored.
	endedRuns      map[workflow.RunID]time.Time
	pendingEnds    []workflowrpc.End // not acknowledged by the owner, in order of Seq
	ackedEndSeq    uint64            // highest Seq of an end that the owner has acknowledged
	lastEndSeq     uint64            // highest Seq of a listed end
	confirmedFence uint64            // highest epoch that the worker has accepted as fencing token
	// lastClock is the last reading of the worker's clock. The worker took it no later
	// than lastClockAt. lastClockAt and the durations below are times on the agent's
	// clock, 0 for none.
	lastClock, lastClockAt time.Duration
	// ownerContact is when the last call that the owner has answered was sent.
	// leaseBase is the value of ownerContact from which the last lease sent to the
	// worker counts.
	ownerContact, leaseBase time.Duration
	renewalUnanswered       bool // the last renewal had no answer
	// lastStartSent is when the last start call was sent. A run that it starts has a
	// short lease from that time.
	lastStartSent time.Duration
	listed        bool // the worker has answered with a listing
	// listedAt is when the last listing was requested that was answered.
	listedAt time.Time
	// completeAsOf is when the last listing was requested that had all ends that the worker
	// keeps, zero for none.
	completeAsOf time.Time
	lastAnswer   time.Time // when the worker last answered
	silent       bool      // no answer for silentAfter
	gone         bool      // this incarnation of the worker has ended
	// unverified is set from a failed call until the next listing. The worker may have
	// started anew meanwhile.
	unverified bool
	// absentAt is when a call last showed that no process serves under the worker's ID.
	absentAt time.Time
	// goneAt is when gone was set, on the agent's clock. straysReported is set once a later
	// session has reported the stray starts.
	goneAt         time.Duration
	straysReported bool
	// earlier is the session of the incarnation before, nil if the agent knew none. strays are
	// the runs taken over from it.
	earlier *session
	strays  map[workflow.RunID]*localRun
	// failedSince is when the first call failed since the last answer, endedAt when the
	// worker ended; both are on the agent's clock, 0 for none.
	failedSince, endedAt time.Duration
	// leaveAt is when a leave under the worker's ID last arrived or was confirmed, on the agent's
	// clock, 0 for none. leavesPending is the number of leaves that are not confirmed yet.
	leaveAt       time.Duration
	leavesPending int
	// refusedSince is when the worker's address began to refuse connections, zero if
	// it does not.
	refusedSince time.Time

	// zoneEvacuated is set while the owner says that the worker's zone is evacuated.
	zoneEvacuated bool

	reportNow  chan struct{} // signals a change to report to the owner
	holdNow    chan struct{} // signals a change that the worker must be told
	listing    sync.Mutex    // held by the request of listUntil
	startCalls chan struct{} // has an element for each start call in progress
	cancelHold context.CancelFunc
	// syncSeq is the number of the last call to the owner, processedSeq that of the
	// newest call whose reply was processed.
	syncSeq, processedSeq uint64
}

func newSession(a *Agent, w workflowrpc.Worker, addr string, seq uint64) *session {
	return &session{
		agent: a, id: w.ID, incarnation: w.Incarnation, api: a.opts.Connect(addr, w.ID), worker: w, heartbeatSeq: seq, heartbeatAt: time.Now(), lastAnswer: time.Now(),
		leaseBase: a.opts.Clock(), // an earlier process of this agent may have renewed leases until now
		runs:      map[workflow.RunID]*localRun{}, endedRuns: map[workflow.RunID]time.Time{},
		reportNow: make(chan struct{}, 1), holdNow: make(chan struct{}, 1), startCalls: make(chan struct{}, maxStartCalls), cancelHold: func() {},
	}
}

// signal sends to c, which has a buffer of 1, unless a signal is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run serves the session until the worker is gone and the owner has stored what follows
// from it, or ctx ends.
func (s *session) run(ctx context.Context) {
	defer s.api.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.holdLoop(ctx) })
	for id, r := range s.strays {
		wg.Go(func() { s.rejectRun(ctx, id, r, ReasonNoAnswer) })
	}
	s.syncLoop(ctx)
	cancel()
	s.agent.removeSession(s)
}

func (s *session) isGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

func (s *session) lastHeartbeatSeq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeatSeq
}

// heartbeat applies a worker's report unless a later one was received.
func (s *session) heartbeat(w workflowrpc.Worker, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq <= s.heartbeatSeq {
		return
	}
	s.heartbeatSeq, s.heartbeatAt = seq, time.Now()
	changed := s.worker.Unconfirmed || s.worker.Draining != w.Draining || s.worker.Capacity != w.Capacity || !slices.Equal(s.worker.Labels, w.Labels)
	if s.worker.Draining != w.Draining {
		s.agent.opts.Log.Event("worker_draining", "worker", s.id, "draining", w.Draining, "heartbeat", seq, "remainingMs", w.Remaining.Milliseconds())
	}
	s.worker = w
	if changed {
		signal(s.reportNow)
	}
}

// leaveReceived handles a leave under the worker's ID. Alone it does not show that this
// incarnation has ended; the next calls to the worker do. The one in progress may still bring
// the last ends, and fails at once if the worker ends before it answers.
func (s *session) leaveReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return
	}
	s.leaveAt = s.agent.opts.Clock()
	s.agent.opts.Log.Event("worker_leave", "worker", s.id, "incarnation", s.incarnation, "draining", s.worker.Draining, "runs", len(s.runs))
}

// leftRecently reports whether a leave has arrived so recently that an end of the worker
// follows from it. s.mu must be held.
func (s *session) leftRecently() bool {
	return s.leaveAt != 0 && s.agent.opts.Clock()-s.leaveAt < leaveValidity
}

// markGone records that this incarnation of the worker has ended.
func (s *session) markGone(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return
	}
	s.gone, s.goneAt = true, s.agent.opts.Clock()
	s.recordEnd()
	if s.awaitsStrayStarts() {
		time.AfterFunc(s.longestLease(), func() { signal(s.reportNow) })
	}
	s.agent.opts.Log.Event("worker_gone", "worker", s.id, "incarnation", s.incarnation, "end", s.worker.End, "why", why, "runs", len(s.runs),
		"detectedAfterMs", (s.agent.opts.Clock() - s.endedAt).Milliseconds())
	signal(s.reportNow)
	signal(s.holdNow)
	s.cancelHold()
}

// ownerChanged cuts short the current Hold, so that the next one makes the worker
// refuse earlier owners, and triggers a report to the new owner.
func (s *session) ownerChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	signal(s.holdNow)
	signal(s.reportNow)
	s.cancelHold()
}

// holdLoop calls Hold in a loop, which renews the leases and follows the runs on the
// worker.
func (s *session) holdLoop(ctx context.Context) {
	for ctx.Err() == nil && !s.isGone() {
		epoch := s.agent.currentEpoch()
		s.mu.Lock()
		wait := holdWait
		if !s.listed || s.unverified || s.confirmedFence < epoch || s.lastEndSeq > s.ackedEndSeq || s.leaveAt != 0 {
			wait = 0
		}
		relist := wait == 0 && !s.unverified
		s.mu.Unlock()
		select {
		case <-s.holdNow:
		default:
		}
		if err := s.hold(ctx, wait); err != nil {
			if errors.Is(err, ErrOtherIncarnation) || s.refusedTooLong() {
				s.markGone(err.Error())
				return
			}
			retry.Sleep(ctx, retry.Jitter(2*retryDelay))
			continue
		}
		if relist {
			timer := time.NewTimer(relistDelay)
			select {
			case <-s.holdNow:
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
		}
	}
}

// hold renews the leases of the worker's runs and applies the listing of the runs that
// the worker returns, with one request. The worker may wait up to wait for the end of a
// run before it answers; s.cancelHold cuts the request short.
func (s *session) hold(ctx context.Context, wait time.Duration) error {
	epoch := s.agent.currentEpoch()
	ctx, cancel := context.WithTimeout(ctx, wait+holdTimeout)
	defer cancel()
	s.mu.Lock()
	call := HoldCall{Fence: epoch, Wait: wait, Deadline: s.leaseDeadline()}
	if !s.unverified {
		call.AckedEndSeq = s.ackedEndSeq // the numbers of another incarnation's ends differ
	}
	s.cancelHold = cancel
	s.mu.Unlock()
	sent := time.Now()
	l, err := s.api.Hold(ctx, call)
	if err != nil {
		s.holdFailed(err)
		return err
	}
	if l.Incarnation != 0 && l.Incarnation != s.incarnation {
		return errStartedAnew
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer(l.Clock)
	s.unverified = false
	if l.Rejected != "" {
		// The worker has seen a higher token, of an owner unknown to this agent.
		s.agent.opts.Log.Event("hold_rejected", "worker", s.id, "reason", l.Rejected, "epoch", epoch)
		return errors.New("hold rejected: " + l.Rejected)
	}
	if epoch > s.confirmedFence {
		s.confirmedFence = epoch
		signal(s.reportNow)
	}
	s.applyListing(l, sent)
	return nil
}

// holdFailed records a failed call of Hold, and reports the worker as silent once it
// has not answered for silentAfter.
func (s *session) holdFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewalUnanswered, s.unverified = true, s.unverified || !errors.Is(err, context.Canceled)
	s.recordFailure(err)
	switch {
	case !errors.Is(err, ErrNotListening):
		s.refusedSince = time.Time{}
	case s.refusedSince.IsZero():
		s.refusedSince = time.Now()
	}
	if errors.Is(err, context.Canceled) || s.silent || time.Since(s.lastAnswer) < silentAfter {
		return
	}
	s.silent = true
	s.agent.opts.Log.Event("worker_lost", "worker", s.id, "incarnation", s.incarnation, "runs", len(s.runs), "err", err.Error())
	signal(s.reportNow)
}

// goneAfterRefused is how long connections to a worker must be refused until its
// process counts as ended. The worker is on the same machine, so a network partition
// cannot look like this, and a process that only restarts its listener is back
// sooner.
const goneAfterRefused = 300 * time.Millisecond

// expectedGoneAfterRefused applies to a worker that has just left, and to one that has never
// answered this process of the agent. The process may be about to end, and a later one may
// not be told of the worker.
const expectedGoneAfterRefused = 100 * time.Millisecond

const (
	// leaveValidity is how long after its leave a worker ends at the latest.
	leaveValidity = 5 * time.Second
	// lateLeaveAfter is how long after the confirmation of a leave an answer of the worker shows
	// that an earlier incarnation has sent it. A worker that leaves ends once the leave is confirmed.
	lateLeaveAfter = 300 * time.Millisecond
)

// refusedTooLong reports whether connections to the worker have been refused for so long
// that its process counts as ended.
func (s *session) refusedTooLong() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := goneAfterRefused
	if s.worker.Unconfirmed && !s.listed || s.leftRecently() {
		limit = expectedGoneAfterRefused
	}
	return !s.refusedSince.IsZero() && time.Since(s.refusedSince) >= limit
}

// silentAfter is the time without an answer after which a worker is reported as
// silent and receives no more runs. It is long enough for one unanswered Hold.
const silentAfter = 1800 * time.Millisecond

// recordAnswer records an answer of the worker and the reading of its clock. s.mu
// must be held.
func (s *session) recordAnswer(clock time.Duration) {
	now := time.Now()
	s.lastAnswer, s.renewalUnanswered, s.refusedSince, s.failedSince = now, false, time.Time{}, 0
	if s.silent {
		s.silent = false
		s.agent.opts.Log.Event("worker_regained", "worker", s.id, "incarnation", s.incarnation)
		signal(s.reportNow)
	}
	if clock > 0 {
		s.lastClock, s.lastClockAt = clock, s.agent.opts.Clock()
	}
	if s.leaveAt != 0 && s.leavesPending == 0 && s.agent.opts.Clock()-s.leaveAt > lateLeaveAfter {
		s.agent.opts.Log.Event("worker_leave_late", "worker", s.id, "incarnation", s.incarnation)
		s.leaveAt = 0 // a later end of this incarnation does not follow from it
	}
}

// workerClock returns a lower bound of the worker's clock at a time on the agent's
// clock. s.mu must be held.
func (s *session) workerClock(at time.Duration) time.Duration {
	passed := at - s.lastClockAt
	if passed > 0 {
		passed = time.Duration(float64(passed) * (1 - maxClockSlowness))
	}
	return s.lastClock + passed
}

// leaseDeadline returns the end of the leases on the worker's clock, or 0 if they
// must not be renewed. They end Options.Lease after the last contact with the owner,
// so that the owner knows when the leases on an unreachable worker have expired.
// s.mu must be held.
func (s *session) leaseDeadline() time.Duration {
	if s.lastClockAt == 0 || s.ownerContact == 0 {
		return 0
	}
	if !s.renewalUnanswered {
		// The worker may still apply an unanswered renewal at any later time. Until it
		// answers, the end of the leases is not moved beyond that renewal's.
		s.leaseBase = s.ownerContact
	}
	return max(0, s.workerClock(s.leaseBase)+s.agent.opts.Lease)
}

// leasesExpired reports whether all leases on a silent worker have expired, even if
// its clock is as slow as allowed. s.mu must be held.
func (s *session) leasesExpired() bool {
	since := max(s.leaseBase, s.lastStartSent)
	return s.silent && s.agent.opts.Clock()-since > s.longestLease()
}

// timerSlack allows for timers that fire late.
const timerSlack = 200 * time.Millisecond

// applyListing applies a listing that was requested at sent. s.mu must be held.
func (s *session) applyListing(l Listing, sent time.Time) {
	changed := !s.listed
	s.listed, s.listedAt = true, sent
	if !l.Truncated {
		changed = changed || s.completeAsOf.IsZero()
		s.completeAsOf = sent
	}
	present := map[workflow.RunID]bool{}
	for _, r := range l.Running {
		present[r.ID] = true
		local := s.runs[r.ID]
		if local == nil {
			local = &localRun{state: workflowrpc.RunRunning, sentAt: s.agent.opts.Clock()}
			s.runs[r.ID] = local
			changed = true
		}
		if local.state == workflowrpc.RunStarting {
			local.state, changed = workflowrpc.RunRunning, true
		}
		if local.confirmedAt.IsZero() {
			local.confirmedAt = sent
		}
		local.checkpoint, local.percent = r.Checkpoint, r.Percent
	}
	for _, e := range l.Ended {
		present[e.ID] = true
		if e.Seq <= s.ackedEndSeq || e.Seq <= s.lastEndSeq {
			continue
		}
		s.lastEndSeq = e.Seq
		s.pendingEnds = append(s.pendingEnds, e)
		s.endedRuns[e.ID] = time.Now()
		delete(s.runs, e.ID)
		changed = true
	}
	for id, r := range s.runs {
		if l.Truncated {
			break // a missing run may have ended; its end is not listed yet
		}
		if present[id] || r.confirmedAt.IsZero() || !r.confirmedAt.Before(sent) || r.state == workflowrpc.RunRejected || r.state == workflowrpc.RunStarting {
			continue
		}
		r.state, r.reason, changed = workflowrpc.RunRejected, ReasonNotListed, true
		s.endedRuns[id] = time.Now()
	}
	if changed {
		signal(s.reportNow)
		s.pruneEndedRuns()
	}
}

// pruneEndedRuns removes runs that ended so long ago that no order for them can
// arrive any more. s.mu must be held.
func (s *session) pruneEndedRuns() {
	if len(s.endedRuns) < endedRunPruneSize {
		return
	}
	for id, at := range s.endedRuns {
		if time.Since(at) > endedRunRetention {
			delete(s.endedRuns, id)
		}
	}
}

const (
	// endedRunRetention is how long an ended run is kept. It is many times the longest
	// delay of a reply (1.2 s).
	endedRunRetention = time.Minute
	// endedRunPruneSize is the number of ended runs from which old ones are removed.
	endedRunPruneSize = 1000
)
