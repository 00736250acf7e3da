package bench

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/check"
	"github.com/parsleypier/parsleypier/internal/structs"
	"pgregory.net/rapid"
)

func workload(t testing.TB, deployment string, load Load, seed uint64) *Workload {
	t.Helper()
	w, err := Generate(deployment, load, seed, true)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// Guards against runs in which the policies see different arrivals.
func TestGenerateIsDeterministic(t *testing.T) {
	for _, d := range Deployments() {
		a, b, c := workload(t, d, Loads[2], 1), workload(t, d, Loads[2], 1), workload(t, d, Loads[2], 2)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: equal seeds give different workloads", d)
		}
		if reflect.DeepEqual(a.Jobs, c.Jobs) {
			t.Errorf("%s: different seeds give equal jobs", d)
		}
		declaredWithin := func(j Job) bool {
			f := float64(j.Declared) / float64(j.Work)
			return f >= 0.0999 && f <= 10.001
		}
		if i := slices.IndexFunc(a.Jobs, func(j Job) bool { return !declaredWithin(j) }); i >= 0 {
			t.Errorf("%s: job %d declares a run time of %v for %v of work", d, i, a.Jobs[i].Declared, a.Jobs[i].Work)
		}
	}
}

// Guards against workloads whose offered load differs from the load's name.
func TestOfferedLoadMatchesNominal(t *testing.T) {
	for _, d := range Deployments() {
		offered, capacity := 0.0, 0.0
		for seed := uint64(1); seed <= 20; seed++ { // gangs of 64 workers are rare, so one seed may have none
			w, err := Generate(d, Loads[1], seed, false)
			if err != nil {
				t.Fatal(err)
			}
			for _, j := range w.Jobs {
				if j.Shape.Accelerators < 64 {
					offered += j.Work.Seconds() * float64(j.Shape.Total())
				}
			}
			for _, k := range w.Workers {
				capacity += float64(k.Accelerators) * classSpeeds[k.Class] * w.Horizon.Seconds()
			}
		}
		if got := offered / capacity; got < 0.68 || got > 0.92 {
			t.Errorf("%s: offered load %.3f, want about 0.8", d, got)
		}
	}
}

// The simulation must not lose a job or count it twice, which would make the results
// wrong, and no plan may contradict its state.
func TestEachJobEndsOnce(t *testing.T) {
	for _, d := range Deployments()[:3] {
		for _, p := range Policies() {
			w := workload(t, d, Loads[3], 3)
			l := newEventLoop(w, p)
			l.run()
			r := l.metrics.result(l)
			ended := 0
			for i := range l.records {
				if n := l.records[i].endCount; n != 1 {
					t.Errorf("%s %s: job %s ended %d times, state %s", d, p.Name, l.records[i].job.ID, n, l.records[i].state)
				}
			}
			for _, n := range r.Ended {
				ended += n
			}
			if ended != len(w.Jobs) || r.Unfinished != 0 || r.PlanErrors != 0 || sumCounts(r.OtherViolations) != 0 {
				t.Errorf("%s %s: %d of %d jobs ended, %d unfinished, %d plan errors, violations %v",
					d, p.Name, ended, len(w.Jobs), r.Unfinished, r.PlanErrors, r.OtherViolations)
			}
			if l.metrics.busy != 0 || slices.ContainsFunc(l.workers, func(w structs.Worker) bool { return w.Busy != 0 || w.SlotsUsed != 0 }) {
				t.Errorf("%s %s: accelerators in use at the end", d, p.Name)
			}
			if c := r.Completion["all"]; c.Mean < r.Bound || c.P95 < r.BoundP95 {
				t.Errorf("%s %s: completion %v is below the bounds %v, %v", d, p.Name, c, r.Bound, r.BoundP95)
			}
		}
	}
}

// Guards against baselines that place a part of a gang, place a job twice or use
// workers that are out of service. Package check shares no code with them.
func TestBaselinesPlaceWholeGangs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := busySnapshot(11, 0)
		for i := range s.Workers {
			w := &s.Workers[i]
			w.State = rapid.SampledFrom([]structs.WorkerState{structs.WorkerReady, structs.WorkerReady, structs.WorkerLost, structs.WorkerProbing}).Draw(t, "state")
			w.Busy = uint64(rapid.IntRange(0, 255).Draw(t, "busy"))
		}
		s.Running = nil
		full := busySnapshot(11, rapid.IntRange(0, 30).Draw(t, "waiting"))
		s.Waiting = full.Waiting
		s.Accounts = nil
		for _, p := range Policies()[:3] {
			for _, v := range check.Plan(s, p.Decide(s)) {
				t.Fatalf("%s: %v", p.Name, v)
			}
		}
	})
}

// Backfill must not delay the reservation of the first waiting job, judged by declared
// run times.
func TestBackfillDoesNotDelayReservation(t *testing.T) {
	job := func(id string, at, declared time.Duration, sh structs.Shape) structs.WaitingJob {
		return structs.WaitingJob{ID: id, Shape: sh, Submitted: at, DeclaredRunTime: declared}
	}
	whole := shape(1, 8, structs.AdjacentWorker)
	for name, c := range map[string]struct {
		declared time.Duration
		backfill bool
	}{
		"ends before": {9 * time.Minute, true},
		"ends later":  {11 * time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &structs.Snapshot{Now: time.Hour, Domain: "d", Workers: gpuWorkers()[:1]}
			s.Workers[0].Busy = 0x0f
			s.Running = []structs.RunningGang{{
				ID: "r", Shape: shape(1, 4, structs.AdjacentWorker), Started: time.Hour, DeclaredRunTime: 10 * time.Minute,
				Members: []structs.MemberPlacement{{Worker: "w00", Accelerators: 0x0f}},
			}}
			s.Waiting = []structs.WaitingJob{job("a", 0, time.Minute, whole), job("b", time.Second, c.declared, single)}
			if got := len(newGreedy(s, false).run(true).Placements) == 1; got != c.backfill {
				t.Errorf("backfilled: %v, want %v", got, c.backfill)
			}
		})
	}
}

// Guards against guarantee violations that are not counted.
func TestGuaranteeViolationsAreCounted(t *testing.T) {
	w := &Workload{
		Deployment: "one", Horizon: time.Hour, Workers: gpuWorkers()[3:4], LargeTotal: 8,
		Accounts: []structs.Account{account("a", guarantee(1, shape(1, 8, structs.AdjacentWorker))), account("b")},
		Kinds:    []structs.Kind{{Name: "k"}},
		Jobs:     []Job{{ID: "b.1", Account: "b", Kind: "k", Shape: single, Declared: time.Minute, Work: time.Minute}},
	}
	if r := Run(w, Policies()[0]); r.GuaranteeViolations != 1 || r.Ended[structs.JobFinished] != 1 {
		t.Errorf("first-fit: %d violations, ended %v", r.GuaranteeViolations, r.Ended)
	}
	if r := Run(w, Policies()[3]); r.GuaranteeViolations != 0 {
		t.Errorf("parsleypier: %d violations", r.GuaranteeViolations)
	}
}

// Guards against a wrong count of usable accelerators, on which the fragmentation
// measurement depends.
func TestMaxConcurrentGangs(t *testing.T) {
	workers := gpuWorkers()
	all := make([]uint64, len(workers))
	for i := range all {
		all[i] = 0xff
	}
	split := slices.Clone(all)
	for i := range split {
		split[i] = 0xdb // three runs of two consecutive accelerators
	}
	for name, c := range map[string]struct {
		free  []uint64
		shape structs.Shape
		want  int
	}{
		"single":            {all, single, 88},
		"whole workers":     {all, shape(1, 8, structs.AdjacentWorker), 11},
		"rack of three":     {all, shape(3, 8, structs.AdjacentRack), 3},
		"rack of two":       {all, shape(2, 8, structs.AdjacentRack), 4},
		"two halves":        {all, shape(2, 4, structs.AdjacentRack), 11},
		"scattered pairs":   {split, shape(1, 2, structs.AdjacentWorker), 33},
		"no run of three":   {split, shape(1, 3, structs.AdjacentWorker), 0},
		"three need no run": {split, shape(1, 3, structs.AdjacentNone), 22},
	} {
		t.Run(name, func(t *testing.T) {
			if got := maxConcurrentGangs(workers, c.free, c.shape); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
