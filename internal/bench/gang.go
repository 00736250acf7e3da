package bench

import (
	"container/heap"
	"math/bits"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// apply carries out a plan. Parts that contradict the current state are skipped
// and counted as plan errors.
func (l *eventLoop) apply(p *structs.Plan) {
	for _, r := range p.Refusals {
		if i, ok := l.jobIndex[r.JobID]; ok && l.records[i].state == structs.JobWaiting {
			l.end(i, structs.JobRefused)
		} else {
			l.metrics.planErrors++
		}
	}
	for _, v := range p.Preemptions {
		l.preempt(&v)
	}
	for _, i := range l.waiting {
		l.records[i].reservation = nil
	}
	for k := range p.Reservations {
		if i, ok := l.jobIndex[p.Reservations[k].JobID]; ok {
			l.records[i].reservation = &p.Reservations[k]
		}
	}
	for k := range p.Placements {
		pl := &p.Placements[k]
		if i, ok := l.jobIndex[pl.JobID]; ok && l.fits(i, pl.Members) {
			l.start(i, pl)
		} else {
			l.metrics.planErrors++
		}
	}
}

// fits reports whether the job is waiting and its whole gang can start on the members.
func (l *eventLoop) fits(i int, members []structs.MemberPlacement) bool {
	r := &l.records[i]
	sh := r.job.Shape
	if r.state != structs.JobWaiting || len(members) != sh.Workers {
		return false
	}
	seen := map[string]bool{}
	for _, m := range members {
		k, ok := l.workerIndex[m.Worker]
		if !ok || seen[m.Worker] {
			return false
		}
		seen[m.Worker] = true
		w := &l.workers[k]
		if s := l.workerState(k); s != structs.WorkerReady && s != structs.WorkerProbing {
			return false
		}
		if bits.OnesCount64(m.Accelerators) != sh.Accelerators || m.Accelerators&w.Busy != 0 ||
			w.CoresUsedMilli+sh.CoresMilli > w.CoresMilli || w.MemoryUsedMB+sh.MemoryMB > w.MemoryMB || w.SlotsUsed >= w.Slots {
			return false
		}
	}
	return true
}

// start runs a waiting job on the members of the placement and queues its end.
func (l *eventLoop) start(i int, pl *structs.Placement) {
	r, j := &l.records[i], l.records[i].job
	l.waiting = removeSorted(l.waiting, i, l.jobID)
	r.waited += l.now - r.waitSince
	r.state, r.reservation = structs.JobRunning, nil
	r.attempt++
	if r.firstStart < 0 {
		r.firstStart = l.now
		l.metrics.closeOldestClaim(j, l.now)
	}
	r.gang = structs.RunningGang{
		ID: j.ID, JobID: j.ID, Account: j.Account, Kind: j.Kind, Shape: j.Shape, Urgency: j.Urgency, Members: pl.Members,
		Started: l.now, CheckpointedAt: l.now, DeclaredRunTime: j.Declared, Idempotent: j.Idempotent, Checkpointable: j.Checkpointable,
		Backfilled: pl.Backfilled,
	}
	r.workers, r.speed, r.failingWorker = r.workers[:0], 2, -1
	for _, m := range pl.Members {
		k := l.workerIndex[m.Worker]
		w := &l.workers[k]
		r.workers = append(r.workers, k)
		r.speed = min(r.speed, classSpeeds[w.Class])
		w.Busy |= m.Accelerators
		w.CoresUsedMilli += j.Shape.CoresMilli
		w.MemoryUsedMB += j.Shape.MemoryMB
		w.SlotsUsed++
		if l.activeFault[k] >= 0 {
			r.failingWorker = k
		}
	}
	if j.Poison && r.failingWorker < 0 {
		r.failingWorker = r.workers[0]
	}
	l.metrics.busy += j.Shape.Total()
	l.running = insertSorted(l.running, i, l.jobID)
	r.restoreDelay = 0
	if r.checkpointedWork > 0 {
		r.restoreDelay = restoreTime
	}
	length := r.restoreDelay + time.Duration(float64(j.Work-r.checkpointedWork)/r.speed)
	if r.failingWorker >= 0 {
		length = min(length, failAfter)
	}
	heap.Push(&l.events, event{at: l.now + length, kind: evEnd, index: i, attempt: r.attempt})
}

// release frees the resources of the job's gang and removes it from the running list.
func (l *eventLoop) release(i int) {
	r := &l.records[i]
	for k, m := range r.gang.Members {
		w := &l.workers[r.workers[k]]
		w.Busy &^= m.Accelerators
		w.CoresUsedMilli -= r.job.Shape.CoresMilli
		w.MemoryUsedMB -= r.job.Shape.MemoryMB
		w.SlotsUsed--
	}
	l.metrics.busy -= r.job.Shape.Total()
	l.running = removeSorted(l.running, i, l.jobID)
}

// gangEnded handles the end of a gang that was not preempted: it succeeded or failed.
func (l *eventLoop) gangEnded(i int) {
	r, j := &l.records[i], l.records[i].job
	l.release(i)
	if r.failingWorker >= 0 {
		worker := l.workers[r.failingWorker].ID
		l.health.Failure(l.now, worker, j.Kind, j.ID, false)
		if !slices.Contains(r.avoid, worker) {
			r.avoid = append(r.avoid, worker)
		}
		l.retry(i, structs.JobFailed)
		return
	}
	class := l.workers[r.workers[0]].Class
	for _, k := range r.workers {
		l.health.Success(l.now, l.workers[k].ID, j.Kind, j.ID)
		if l.workers[k].Class != class {
			class = ""
		}
	}
	l.runtimes.Observe(j.Account, j.Kind, class, j.Declared, time.Duration(float64(r.checkpointedWork)+float64(l.now-r.gang.Started-r.restoreDelay)))
	l.end(i, structs.JobFinished)
}

// retry queues an idempotent job again unless it has used up its attempts. Any
// other job ends in the state otherwise.
func (l *eventLoop) retry(i int, otherwise structs.JobState) {
	r := &l.records[i]
	r.failures++
	if !r.job.Idempotent || r.failures >= maxAttempts {
		l.end(i, otherwise)
		return
	}
	l.enqueue(i)
}

// preempt starts to stop a running gang. The gang ends with an evStopped event.
func (l *eventLoop) preempt(v *structs.Preemption) {
	i, ok := l.jobIndex[v.GangID]
	if !ok || l.records[i].state != structs.JobRunning || l.records[i].gang.Stopping || !l.records[i].gang.Reclaimable() {
		l.metrics.planErrors++
		return
	}
	r := &l.records[i]
	r.gang.Stopping, r.preemptedFor = true, v.ForJob
	l.metrics.preemptions[v.Reason]++
	after := stopTime
	if r.job.Checkpointable {
		// A checkpoint takes 0.5 to 2.5 s, depending on the size of the job. The
		// scheduler forces a stop after 3 s.
		after = 500*time.Millisecond + time.Duration(min(r.job.Shape.Total(), 20))*100*time.Millisecond
	}
	heap.Push(&l.events, event{at: l.now + after, kind: evStopped, index: i, attempt: r.attempt})
}

// gangStopped handles a preempted gang that has stopped.
func (l *eventLoop) gangStopped(i int) {
	r := &l.records[i]
	l.release(i)
	ran := l.now - r.gang.Started
	if r.job.Checkpointable {
		// A gang that would have failed makes no progress.
		if r.failingWorker < 0 {
			r.checkpointedWork += time.Duration(float64(max(0, ran-r.restoreDelay)) * r.speed)
		}
		ran = restoreTime // the next start spends this time on the restore
	}
	l.metrics.lostWork += ran.Seconds() * float64(r.job.Shape.Total())
	l.enqueue(i)
}

// startFault activates a fault. If the worker is lost, all gangs on it end.
func (l *eventLoop) startFault(f int) {
	fault := &l.w.Faults[f]
	l.activeFault[fault.Worker] = f
	if !fault.Lost {
		return
	}
	for _, i := range slices.Clone(l.running) {
		r := &l.records[i]
		if !slices.Contains(r.workers, fault.Worker) {
			continue
		}
		l.release(i)
		l.health.Failure(l.now, l.workers[fault.Worker].ID, r.job.Kind, r.job.ID, true)
		l.retry(i, structs.JobUnknown)
	}
}
