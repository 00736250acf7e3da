package estimate

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"pgregory.net/rapid"
)

type event struct {
	worker, kind, job string
	ok, workerFault   bool
}

// replay records the events one second apart and returns the time of the last.
func replay(h *Health, events []event) time.Duration {
	now := time.Duration(0)
	for _, e := range events {
		now += time.Second
		if e.ok {
			h.Success(now, e.worker, e.kind, e.job)
		} else {
			h.Failure(now, e.worker, e.kind, e.job, e.workerFault)
		}
	}
	return now
}

// A worker must not be blamed for a kind or job that fails everywhere, and a kind or job
// must not be blamed for a bad worker.
func TestFailuresAreAttributedToWorkerKindOrJob(t *testing.T) {
	fail := func(worker, kind, job string) event { return event{worker: worker, kind: kind, job: job} }
	ok := func(worker, kind, job string) event { return event{worker: worker, kind: kind, job: job, ok: true} }
	lost := func(worker, job string) event { return event{worker: worker, kind: "k", job: job, workerFault: true} }
	for name, c := range map[string]struct {
		events      []event
		quarantined []string
		atFault     []string
	}{
		"one failure":          {events: []event{fail("w", "k", "j")}},
		"one job twice":        {events: []event{fail("w", "k", "j"), fail("w", "k", "j")}},
		"two kinds":            {[]event{fail("w", "k", "j"), fail("w", "l", "i")}, []string{"w"}, nil},
		"three jobs":           {[]event{fail("w", "k", "j"), fail("w", "k", "i"), fail("w", "k", "h")}, []string{"w"}, nil},
		"mostly successes":     {events: []event{ok("w", "k", "a"), ok("w", "k", "b"), fail("w", "k", "j"), fail("w", "l", "i")}},
		"lost once with three": {events: []event{lost("w", "j"), lost("w", "i"), lost("w", "h")}},
		"loss is no job fault": {events: []event{lost("w", "j"), lost("v", "j"), lost("u", "j")}},
		"poison job": {[]event{fail("w", "k", "j"), fail("v", "k", "j"), ok("v", "k", "i"), fail("u", "k", "j")},
			nil, []string{"j"}},
		"poison kind": {[]event{fail("w", "k", "j"), fail("v", "k", "i"), fail("u", "k", "h"), fail("w", "k", "g"),
			fail("w", "k", "f"), fail("w", "k", "e")}, nil, []string{"k"}},
		"taken back": {[]event{fail("w", "k", "j"), fail("w", "k", "i"), fail("w", "k", "h"), fail("v", "k", "g"),
			fail("u", "k", "f")}, nil, []string{"k"}},
		"taken back in part": {[]event{fail("w", "l", "a"), fail("w", "m", "b"), fail("w", "k", "j"), fail("v", "k", "g"),
			fail("u", "k", "f"), fail("t", "k", "f")}, []string{"w"}, []string{"k"}},
		"success clears": {events: []event{fail("w", "k", "j"), fail("v", "k", "j"), fail("u", "k", "j"), ok("t", "k", "j")}},
		"bad worker fails all": {[]event{ok("v", "k", "a"), fail("w", "k", "j"), ok("v", "k", "j"), fail("w", "l", "i"),
			ok("u", "l", "i"), fail("w", "m", "h")}, []string{"w"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHealth()
			now := replay(h, c.events)
			bad, faults := map[string]bool{}, map[string]bool{}
			for _, w := range c.quarantined {
				bad[w] = true
			}
			for _, f := range c.atFault {
				faults[f] = true
			}
			for _, w := range []string{"t", "u", "v", "w"} {
				if got := h.State(now, w) != structs.WorkerReady; got != bad[w] {
					t.Errorf("worker %s: state %v", w, h.State(now, w))
				}
			}
			for _, e := range c.events {
				for _, name := range []string{e.kind, e.job} {
					if got := h.KindOrJobAtFault(name); got != faults[name] {
						t.Errorf("KindFault(%s) = %v", name, got)
					}
				}
			}
		})
	}
}

// A worker that is repeatedly lost must not stay in use.
func TestRepeatedLossQuarantines(t *testing.T) {
	h := NewHealth()
	for i := range 3 {
		now := time.Duration(i) * minLossInterval
		if s := h.State(now, "w"); s != structs.WorkerReady {
			t.Fatalf("%v after %d losses", s, i)
		}
		h.Failure(now, "w", "k", "j", true)
	}
	if s := h.State(2*minLossInterval, "w"); s != structs.WorkerQuarantined {
		t.Fatalf("%v after three losses", s)
	}
}

// Guards against probing a dead worker at a constant rate, and against a worker
// that stays quarantined after a successful probe.
func TestProbeIntervalDoubles(t *testing.T) {
	h := NewHealth()
	now := replay(h, []event{{worker: "w", kind: "k", job: "j"}, {worker: "w", kind: "l", job: "i"}})
	for i := range 9 {
		want := FirstProbeInterval << min(i, maxProbeLevel)
		if s := h.State(now+want-1, "w"); s != structs.WorkerQuarantined {
			t.Fatalf("probe %d: %v before the interval ended", i, s)
		}
		if s := h.State(now+want, "w"); s != structs.WorkerProbing {
			t.Fatalf("probe %d: %v after the interval", i, s)
		}
		now += want
		h.Failure(now, "w", "k", fmt.Sprint(i), false)
	}
	now += FirstProbeInterval << maxProbeLevel
	h.Success(now, "w", "k", "x")
	if s := h.State(now, "w"); s != structs.WorkerReady {
		t.Fatalf("%v after a successful probe", s)
	}
}

// Guards against unbounded memory, and against a worker that stays quarantined
// although every later task on it succeeds.
func TestHealthProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHealth()
		name := func(prefix string, n int) string {
			return prefix + fmt.Sprint(rapid.IntRange(0, n).Draw(t, prefix))
		}
		now := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "dt")) * time.Second
			e := event{worker: name("w", 5), kind: name("k", 4), job: name("j", 30)}
			if rapid.Bool().Draw(t, "ok") {
				h.Success(now, e.worker, e.kind, e.job)
			} else {
				h.Failure(now, e.worker, e.kind, e.job, rapid.Bool().Draw(t, "workerFault"))
			}
		}
		later := now + FirstProbeInterval<<maxProbeLevel
		for i := range 6 {
			id := fmt.Sprint("w", i)
			if w := h.workers.peek(id); w != nil && (len(w.outcomes) > maxOutcomes || w.probeLevel > maxProbeLevel) {
				t.Fatalf("worker %s: %d outcomes, level %d", id, len(w.outcomes), w.probeLevel)
			}
			h.Success(later, id, "k0", "j0")
			if s := h.State(later, id); s != structs.WorkerReady {
				t.Fatalf("worker %s: %v after a successful probe", id, s)
			}
		}
		h.subjects.each(func(s subject, v *subjectHealth) {
			if len(v.failedOn) > minFaultWorkers {
				t.Fatalf("%v failed on %d workers", s, len(v.failedOn))
			}
		})
	})
}
