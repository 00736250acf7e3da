package agent

import (
	"context"
	"time"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

// Limits of calls to the worker, and messages about tasks that it does not run.
const (
	workerCallTimeout       = time.Second
	minStopRetryDelay       = 100 * time.Millisecond
	maxStopRetryDelay       = 2 * time.Second
	startAttempts           = 3
	startRetryDelay         = 50 * time.Millisecond
	messageWorkerLost       = "lost by the worker"
	messageTaskLeaseExpired = "its lease at the worker lapsed"
	messageStartFailed      = "start failed: "
)

// startReleased starts the task of a gang for which releaseLocked returned true.
func (a *Agent) startReleased(g *gang) {
	defer g.calls.Done()
	a.startTask(g)
}

// startTask starts the gang's task at the worker. It retries while the worker is
// unavailable, and records a failed start as the end of the task.
func (a *Agent) startTask(g *gang) {
	for attempt := 1; ; attempt++ {
		req, ok := a.runRequest(g)
		if !ok {
			return
		}
		sent := a.cfg.now()
		ctx, cancel := context.WithTimeout(g.withTrace(g.ctx), workerCallTimeout)
		err := a.cfg.Worker.Run(ctx, req)
		cancel()
		if err == nil {
			a.ledger.recordTaskStart(g, sent.Add(a.cfg.TaskLease))
			return
		}
		e := verdict.From(err)
		// The worker ignores the same request if the task already runs.
		if e.Code != verdict.CodeUnavailable || attempt == startAttempts || !retry.Sleep(g.ctx, startRetryDelay) {
			a.ledger.recordTaskEnd(g, structs.TaskStopped, messageStartFailed+e.Message)
			return
		}
	}
}

// runRequest returns the request to start the task, or false if the gang may no
// longer run it.
func (a *Agent) runRequest(g *gang) (*workerclient.RunRequest, bool) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	if !g.mayRunTask(a.cfg.now(), a.cfg.GangLease) || a.ledger.closed {
		return nil, false
	}
	g.started = true
	part, _ := splitCheckpoint(&g.spec, g.rank) // checked by prepare
	return &workerclient.RunRequest{
		Tokens: workerclient.Tokens{Incarnation: a.incarnation(), Fence: g.spec.Fence},
		ID:     g.spec.ID, JobID: g.spec.JobID, GangID: g.spec.ID,
		Accelerators: workerclient.SetBits(g.accelerators), CoresMilli: g.spec.CoresMilli, MemoryMB: g.spec.MemoryMB,
		Kind: g.spec.Kind, Rank: g.rank, Size: len(g.spec.Members),
		Payload: g.spec.Payload, Checkpoint: part, LeaseMS: a.cfg.TaskLease.Milliseconds(),
	}, true
}

// recordTaskStart records that the worker runs the task under the given lease.
func (l *ledger) recordTaskStart(g *gang, lease time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.taskState == "" {
		g.taskState = structs.TaskRunning
	}
	if lease.After(g.taskLeaseExpires) {
		g.taskLeaseExpires = lease
	}
	g.notify()
}

// recordTaskEnd records the end of a task, unless it is recorded already.
func (l *ledger) recordTaskEnd(g *gang, state structs.TaskState, message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordTaskEndLocked(g, state, message)
}

func (l *ledger) recordTaskEndLocked(g *gang, state structs.TaskState, message string) {
	if isTerminal(g.taskState) {
		return
	}
	g.taskState, g.taskMessage = state, message
	g.notify()
}

// stopTask stops the gang's task and returns true when the worker has confirmed that
// it does not run. It returns false if the agent stops before.
func (a *Agent) stopTask(g *gang) bool {
	a.ledger.closeCalls(g)
	a.ledger.mu.Lock()
	idle := !g.started || g.taskState == structs.TaskFinished || g.taskState == structs.TaskFailed
	a.ledger.mu.Unlock()
	if idle {
		return a.ctx.Err() == nil
	}
	for delay := minStopRetryDelay; ; delay = min(2*delay, maxStopRetryDelay) {
		ctx, cancel := context.WithTimeout(g.withTrace(a.ctx), workerCallTimeout)
		status, err := a.cfg.Worker.Stop(ctx, a.taskRequest(g))
		cancel()
		if err == nil {
			a.ledger.recordTaskEnd(g, status.State, status.Message)
			return true
		}
		if verdict.HasCode(err, verdict.CodeStaleEpoch) {
			a.stopSuperseded(err)
		}
		if !retry.Sleep(a.ctx, retry.Jitter(delay)) {
			return false
		}
	}
}
