package estimate

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"pgregory.net/rapid"
)

// exportedAfter returns a record as the next owner receives it after a time
// without an owner.
func exportedAfter(h *Health, now time.Duration, worker string, gap time.Duration) *structs.WorkerHealth {
	r := h.Export(now, worker)
	return r.Aged(gap)
}

// Guards against a quarantine that is lost, shortened or extended when another
// owner takes over, against later outcomes that have another effect there, and
// against records of unbounded size.
func TestImportPreservesWorkerState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := NewHealth()
		now := time.Duration(0)
		// All failures are losses of the worker. They do not depend on the
		// faults of kinds and jobs, which a record does not contain.
		step := func(on func(now time.Duration, job string, ok bool)) {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "dt")) * time.Second
			on(now, fmt.Sprint("j", rapid.IntRange(0, 30).Draw(t, "job")), rapid.Bool().Draw(t, "ok"))
		}
		observe := func(h *Health, now time.Duration, job string, ok bool) {
			if ok {
				h.Success(now, "w", "k", job)
			} else {
				h.Failure(now, "w", "k", job, true)
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "before") {
			step(func(now time.Duration, job string, ok bool) { observe(first, now, job, ok) })
		}
		gap := time.Duration(rapid.IntRange(0, 30).Draw(t, "away")) * time.Second
		record := exportedAfter(first, now, "w", gap)
		if len(record.Outcomes) > maxOutcomes {
			t.Fatalf("record has %d outcomes", len(record.Outcomes))
		}
		now += gap
		// The clock of the next owner starts at 0.
		next, origin := NewHealth(), now
		next.Import(0, "w", record)
		for i := range 20 {
			for _, after := range []time.Duration{0, 5 * time.Second, time.Minute, FirstProbeInterval << maxProbeLevel} {
				if a, b := first.State(now+after, "w"), next.State(now+after-origin, "w"); a != b {
					t.Fatalf("%s after %v and %d events; %s at the first owner", b, after, i, a)
				}
			}
			step(func(now time.Duration, job string, ok bool) {
				observe(first, now, job, ok)
				observe(next, now-origin, job, ok)
			})
		}
	})
}

// newQuarantinedHealth returns statistics in which the worker w was quarantined at
// now.
func newQuarantinedHealth(now time.Duration) *Health {
	h := NewHealth()
	h.Failure(now, "w", "k", "j", false)
	h.Failure(now, "w", "l", "i", false)
	return h
}

// Guards against an imported record that overrides a decision of this owner, or
// that is counted twice.
func TestImportKeepsLocalDecisions(t *testing.T) {
	old := newQuarantinedHealth(0)
	t.Run("own probe passed", func(t *testing.T) {
		h := newQuarantinedHealth(time.Hour)
		now := time.Hour + FirstProbeInterval
		h.Success(now, "w", "k", "x")
		h.Import(now, "w", exportedAfter(old, 0, "w", time.Second))
		if s := h.State(now, "w"); s != structs.WorkerReady || h.Failures(now, "w") != 0 {
			t.Errorf("%s, %d failures", s, h.Failures(now, "w"))
		}
	})
	t.Run("own quarantine", func(t *testing.T) {
		h := newQuarantinedHealth(time.Hour)
		clean := NewHealth()
		clean.Success(0, "w", "k", "x")
		h.Import(time.Hour, "w", exportedAfter(clean, 0, "w", 0))
		if s := h.State(time.Hour+FirstProbeInterval-1, "w"); s != structs.WorkerQuarantined {
			t.Errorf("%s", s)
		}
		h.Import(time.Hour, "w", exportedAfter(newQuarantinedHealth(0), 0, "w", 0))
		if n := h.Failures(time.Hour, "w"); n != 2 {
			t.Errorf("%d failures", n)
		}
	})
	t.Run("own success of a task started before", func(t *testing.T) {
		h := NewHealth()
		h.Success(time.Hour, "w", "k", "x")
		h.Import(time.Hour, "w", exportedAfter(old, 0, "w", time.Second))
		if s := h.State(time.Hour, "w"); s != structs.WorkerQuarantined {
			t.Errorf("%s", s)
		}
	})
	t.Run("twice", func(t *testing.T) {
		h := NewHealth()
		for range 2 {
			h.Import(time.Hour, "w", exportedAfter(old, 0, "w", 0))
		}
		if n := h.Failures(time.Hour, "w"); n != 2 {
			t.Errorf("%d failures after the second import", n)
		}
	})
}

// Guards against an imported record, even a corrupt one, that keeps a good worker
// quarantined beyond the longest probe interval or exceeds the limits.
func TestImportedQuarantineEnds(t *testing.T) {
	record := &structs.WorkerHealth{Quarantined: true, ProbeIn: 1 << 62, Level: 1 << 40, Successes: -7}
	for i := range 1000 {
		record.Outcomes = append(record.Outcomes, structs.WorkerOutcome{Age: -time.Hour, Failed: true, Kind: fmt.Sprint("k", i), JobID: fmt.Sprint("j", i)})
	}
	h := NewHealth()
	h.Import(0, "w", record)
	due := FirstProbeInterval << maxProbeLevel
	if s := h.State(due, "w"); s != structs.WorkerProbing {
		t.Fatalf("%s after the longest probe interval", s)
	}
	if w := h.workers.peek("w"); len(w.outcomes) > maxOutcomes || w.probeLevel > maxProbeLevel {
		t.Fatalf("%d outcomes, level %d", len(w.outcomes), w.probeLevel)
	}
	h.Success(due, "w", "k", "x")
	if s := h.State(due, "w"); s != structs.WorkerReady {
		t.Fatalf("%s after a successful probe", s)
	}
}

// Guards against new versions of a record without a change that matters, and
// against a last version that has faults although the worker has recovered.
func TestVersionChangesOnlyAfterFaults(t *testing.T) {
	h := NewHealth()
	now := time.Duration(0)
	for range 100 {
		now += time.Second
		h.Success(now, "w", "k", "x")
	}
	if v := h.Version("w"); v != 0 {
		t.Fatalf("version %d without a failure", v)
	}
	h.Failure(now, "w", "k", "j", false)
	failed := h.Version("w")
	if failed == 0 {
		t.Fatal("a failure did not change the version")
	}
	for range 5 {
		now += time.Second
		h.Success(now, "w", "k", "x")
	}
	if v := h.Version("w"); v != failed {
		t.Fatalf("%d versions in 5 s without a failure", v-failed)
	}
	last := h.Export(now, "w")
	for range 100 {
		now += time.Second
		h.Success(now, "w", "k", "x")
		if h.Version("w") != last.Version {
			last = h.Export(now, "w")
		}
	}
	if last.Version > failed+3 || hasRecordedFaults(&last) {
		t.Fatalf("last record %+v", last)
	}
}

// hasRecordedFaults reports whether anything in a record counts against the
// worker.
func hasRecordedFaults(r *structs.WorkerHealth) bool {
	for _, o := range r.Outcomes {
		if o.Failed {
			return true
		}
	}
	return r.Quarantined || r.Level > 0
}
