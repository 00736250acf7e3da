package workflowscheduler

import "time"

// Parameters of the evacuation of draining workers.
const (
	// evacuateMargin is the share of a run's remaining time by which it must overrun the
	// end of its worker before it is stopped, since expected ends are estimates.
	evacuateMargin = 0.1
	// lostWorkerDelay is the time until the end of a worker that leaves without notice
	// is known: three refused connections and a report.
	lostWorkerDelay = 500 * time.Millisecond
)

// evacuate stops runs that cannot end before their worker does, if starting elsewhere
// now is worth more than starting again after the worker's end. Other runs continue,
// since the worker may stay longer than its earliest end.
func (p *planner) evacuate() {
	for _, v := range p.stoppable(func(*Running) bool { return true }) {
		if p.shouldEvacuate(v) {
			for _, i := range v.runs {
				p.stop(i, NoGroup)
			}
		}
	}
}

// shouldEvacuate reports whether to stop the runs of v, which are a single run or a
// gang.
func (p *planner) shouldEvacuate(v victim) bool {
	first := &p.snap.Running[v.runs[0]]
	var end, workerEnd, redo time.Duration
	for _, i := range v.runs {
		r := &p.snap.Running[i]
		end, redo = max(end, p.expectedEnd(r)), max(redo, r.RerunTime)
		if r.WorkerEndsAt > 0 && (workerEnd == 0 || r.WorkerEndsAt < workerEnd) {
			workerEnd = r.WorkerEndsAt
		}
	}
	if workerEnd == 0 || float64(end-workerEnd) < evacuateMargin*float64(end-p.snap.Now) {
		return false
	}
	rest := redo + first.RemainingPath
	now, later := p.snap.Now+p.snap.StopGrace+rest, max(workerEnd, p.snap.Now)+lostWorkerDelay+rest
	return first.Priority == 0 && now < later || first.WorthAt(now) > first.WorthAt(later)
}
