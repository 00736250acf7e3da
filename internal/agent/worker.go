package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

// Intervals and limits of polling the worker and renewing its tasks.
const (
	// renewalsPerLease is the number of renewals sent within the length of a task
	// lease.
	renewalsPerLease = 3
	// pollWait is how long the worker may hold a long poll for task states.
	pollWait      = 20 * time.Second
	minPollDelay  = 200 * time.Millisecond
	maxPollDelay  = time.Second
	usageInterval = 2 * time.Second
	// maxFailedPolls is the number of consecutive failed polls after which the worker
	// counts as unreachable and the agent refuses Prepare.
	maxFailedPolls = 2
)

// Reasons to refuse Prepare.
const (
	reasonUnreachable  = "worker is out of reach"
	reasonUnresponsive = "worker does not answer"
)

// fenceWorker makes the worker stop the tasks of earlier incarnations of the agent,
// with retries. It returns the worker's boot ID, or false if the agent stops.
func (a *Agent) fenceWorker() (string, bool) {
	for delay := minPollDelay; ; delay = min(2*delay, maxPollDelay) {
		boot, err := a.tryFence()
		if err == nil {
			return boot, true
		}
		if a.ledger.setNotReady(reasonUnreachable) {
			klog.InfoS("Worker unreachable", "err", err)
		}
		if !retry.Sleep(a.ctx, retry.Jitter(delay)) {
			return "", false
		}
	}
}

// tryFence makes one attempt of fenceWorker and returns the worker's boot ID.
func (a *Agent) tryFence() (string, error) {
	ctx, cancel := context.WithTimeout(a.ctx, workerCallTimeout)
	defer cancel()
	info, err := a.cfg.Worker.Info(ctx)
	if err != nil {
		return "", err
	}
	a.applyWorkerInfo(info)
	if err := a.cfg.Worker.Fence(ctx, a.incarnation()); err != nil {
		if verdict.HasCode(err, verdict.CodeStaleEpoch) && a.workerFenced.Load() {
			a.stopSuperseded(err)
		}
		return "", err
	}
	a.workerFenced.Store(true)
	if a.ledger.setNotReady("") {
		klog.InfoS("Worker fenced", "incarnation", a.incarnation(), "boot", info.Boot)
	}
	return info.Boot, nil
}

// applyWorkerInfo takes over the worker's capacity if none is configured, and the
// highest fencing token that the worker has seen. Before the worker was fenced for
// the first time, it also raises the agent's incarnation above the one that the
// worker has seen.
func (a *Agent) applyWorkerInfo(info workerclient.Info) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	if a.ledger.capacity == (structs.WorkerCapacity{}) {
		a.ledger.capacity = structs.WorkerCapacity{
			Accelerators: info.Accelerators, CoresMilli: info.CoresMilli, MemoryMB: info.MemoryMB, Slots: info.Slots,
		}
	}
	a.ledger.highestFence = max(a.ledger.highestFence, info.HighestFence)
	a.ledger.highestEpoch = max(a.ledger.highestEpoch, info.HighestFence.Epoch())
	if !a.workerFenced.Load() && info.Incarnation >= a.currentIncarnation.Load() {
		a.currentIncarnation.Store(info.Incarnation + 1)
	}
}

// stopSuperseded stops the agent because a newer one has taken over the worker.
func (a *Agent) stopSuperseded(err error) {
	klog.ErrorS(err, "Another agent serves the worker", "incarnation", a.incarnation())
	a.stopWith(verdict.New(verdict.MayHaveRun, verdict.CodeStaleEpoch, "another agent serves the worker: %v", err))
}

// renewTasks periodically renews the leases of the running tasks.
func (a *Agent) renewTasks() {
	tick := time.NewTicker(a.cfg.TaskLease / renewalsPerLease)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-a.ctx.Done():
			return
		}
		a.renewOnce()
	}
}

// renewOnce renews the leases of all running tasks with one call.
func (a *Agent) renewOnce() {
	now := a.cfg.now()
	ids := a.ledger.renewableTasks(now)
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.TaskLease/renewalsPerLease)
	defer cancel()
	reply, err := a.cfg.Worker.Renew(ctx, &workerclient.RenewRequest{
		Incarnation: a.incarnation(), IDs: ids, LeaseMS: a.cfg.TaskLease.Milliseconds(),
	})
	if err != nil {
		if verdict.HasCode(err, verdict.CodeStaleEpoch) {
			a.stopSuperseded(err)
		}
		return
	}
	a.ledger.applyRenewals(ids, reply.Tasks, now.Add(a.cfg.TaskLease))
}

// renewableTasks returns the IDs of the tasks to renew. It ends the tasks whose
// lease at the worker has expired.
func (l *ledger) renewableTasks(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, g := range l.gangs {
		if g.taskState != structs.TaskRunning || !g.mayRunTask(now, l.cfg.GangLease) {
			continue
		}
		if !now.Before(g.taskLeaseExpires) {
			count("lease_lapses")
			l.recordTaskEndLocked(g, structs.TaskStopped, messageTaskLeaseExpired)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// applyRenewals records the new leases and task states from the worker's reply. Tasks
// that were asked for and are not in the reply are lost.
func (l *ledger) applyRenewals(ids []string, tasks []workerclient.TaskStatus, lease time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[string]bool{}
	for _, t := range tasks {
		known[t.ID] = true
		l.applyTaskStatus(t)
		if g := l.gangs[t.ID]; g != nil && t.State == structs.TaskRunning {
			g.taskLeaseExpires = lease
		}
	}
	for _, id := range ids {
		if g := l.gangs[id]; g != nil && !known[id] {
			l.recordTaskEndLocked(g, structs.TaskStopped, messageWorkerLost)
		}
	}
}

// applyTaskStatus records the end of a task that the worker reports.
func (l *ledger) applyTaskStatus(t workerclient.TaskStatus) {
	if g := l.gangs[t.ID]; g != nil && isTerminal(t.State) {
		l.recordTaskEndLocked(g, t.State, t.Message)
	}
}

// followTasks long-polls the worker for task states. When the worker has restarted,
// it ends the tasks that were lost and fences the worker again.
func (a *Agent) followTasks(boot string) {
	since, failures := uint64(0), 0
	for a.ctx.Err() == nil {
		asked := a.cfg.now()
		reply, err := a.cfg.Worker.States(a.ctx, since, pollWait)
		if err != nil {
			failures++
			if failures >= maxFailedPolls && a.ledger.setNotReady(reasonUnreachable) {
				klog.InfoS("Worker unreachable", "err", err)
			}
			if !retry.Sleep(a.ctx, retry.Jitter(maxPollDelay)) {
				return
			}
			continue
		}
		failures = 0
		if reply.Incarnation > a.incarnation() {
			a.stopSuperseded(verdict.Refuse(verdict.CodeStaleEpoch, "worker is fenced to incarnation %d", reply.Incarnation))
			return
		}
		if reply.Boot != boot {
			klog.InfoS("Worker restarted", "boot", reply.Boot)
			a.ledger.markTasksLost()
			var ok bool
			if boot, ok = a.fenceWorker(); !ok {
				return
			}
			since = 0
			continue
		}
		if a.ledger.setNotReady("") {
			klog.InfoS("Worker reachable again")
		}
		if reply.Version == since && a.cfg.now().Sub(asked) < minPollDelay && !retry.Sleep(a.ctx, minPollDelay) {
			return // the agent stopped; the sleep limits the rate if the worker does not hold the poll
		}
		since = reply.Version
		a.ledger.mu.Lock()
		for _, t := range reply.Tasks {
			a.ledger.applyTaskStatus(t)
		}
		a.ledger.mu.Unlock()
	}
}

// markTasksLost ends all started tasks, after the worker has restarted.
func (l *ledger) markTasksLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gangs {
		if g.started {
			l.recordTaskEndLocked(g, structs.TaskStopped, messageWorkerLost)
		}
	}
}
