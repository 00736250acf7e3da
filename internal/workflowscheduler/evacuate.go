package workflowscheduler

import "time"

// Constants of the evacuation of workers that leave.
const (
	// evacuateMargin is the part of the remaining time by which a run must miss the
	// end of its worker: ends are estimates.
	evacuateMargin = 0.1
	// leaveNotice is how long it takes until the end of a worker is known that
	// leaves without a word: three refused connections and a report.
	leaveNotice = 500 * time.Millisecond
)

// evacuate stops runs that cannot end before their worker does, where a start
// elsewhere now is worth more than one after the worker's end. The others go on:
// the worker may stay longer than it has to.
func (p *planner) evacuate() {
	for _, u := range p.units(func(*Running) bool { return true }) {
		if p.evacuationPays(u) {
			for _, i := range u.runs {
				p.stop(i, WorkerLeaves)
			}
		}
	}
}

func (p *planner) evacuationPays(u victim) bool {
	first := &p.s.Running[u.runs[0]]
	var end, leaves, redo time.Duration
	for _, i := range u.runs {
		r := &p.s.Running[i]
		end, redo = max(end, p.endOf(r)), max(redo, r.Redo)
		if r.WorkerEnds > 0 && (leaves == 0 || r.WorkerEnds < leaves) {
			leaves = r.WorkerEnds
		}
	}
	if leaves == 0 || float64(end-leaves) < evacuateMargin*float64(end-p.s.Now) {
		return false
	}
	rest := redo + first.Rest
	now, later := p.s.Now+p.s.StopGrace+rest, max(leaves, p.s.Now)+leaveNotice+rest
	return first.Priority == 0 && now < later || first.At(now) > first.At(later)
}
