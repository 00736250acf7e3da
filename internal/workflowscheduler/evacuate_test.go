package workflowscheduler

import (
	"testing"
	"time"
)

// TestEvacuate checks which runs are stopped because their worker ends. Each case has one
// run on a worker that may end 2 s from now, as in a load of urgent gangs of 2.5 s and
// long work on workers that are taken away 2 s after a notice.
func TestEvacuate(t *testing.T) {
	for _, c := range []struct {
		name  string
		ends  time.Duration // of the runs
		edit  func(r *Running)
		stops int
	}{
		{"urgent run that cannot end in time", 6 * second, func(r *Running) { r.Priority = 0 }, 1},
		{"urgent run that ends in time", 1900 * time.Millisecond, func(r *Running) { r.Priority = 0 }, 0},
		{"run that is late only if it waits", 6 * second, func(r *Running) { r.Deadline = 6 * second }, 1},
		{"run with time to spare", 6 * second, nil, 0},
		{"run that is late either way", 6 * second, func(r *Running) { r.Deadline, r.LateDeadline = second, 2*second }, 0},
		{"persistent run", 6 * second, func(r *Running) { r.Priority, r.Persistent = 0, true }, 0},
		{"run on a worker that stays", 6 * second, func(r *Running) { r.Priority, r.WorkerEndsAt = 0, 0 }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Snapshot{Workers: workers(2), StopGrace: 200 * time.Millisecond, RemotePenalty: 3}
			addRun(s, 0, "a", needGPUs(8), c.ends, func(r *Running) {
				r.WorkerEndsAt = 2 * second
				if c.edit != nil {
					c.edit(r)
				}
			})
			p := Decide(s)
			if len(p.Stops) != c.stops {
				t.Fatalf("stops %v, want %d", p.Stops, c.stops)
			}
			if c.stops > 0 && p.Stops[0].ForGroup != NoGroup {
				t.Errorf("stopped for group %d, want NoGroup", p.Stops[0].ForGroup)
			}
		})
	}
}

// TestEvacuationStopsWholeGang checks that all members of a gang are stopped if the
// worker of one member ends, because its end fails the whole gang.
func TestEvacuationStopsWholeGang(t *testing.T) {
	s := &Snapshot{Workers: workers(3), StopGrace: 200 * time.Millisecond, RemotePenalty: 3}
	for w := range 3 {
		addRun(s, w, "a", needGPUs(8), 6*second, func(r *Running) {
			r.Gang, r.Priority = true, 0
			if w == 1 {
				r.WorkerEndsAt = 2 * second
			}
		})
	}
	if p := Decide(s); len(p.Stops) != 3 {
		t.Fatalf("stops %v, want those of all three members", p.Stops)
	}
}
