package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/check"
	"github.com/parsleypier/parsleypier/internal/structs"
)

var (
	wholeWorker    = shape(1, 8, structs.AdjacentWorker)
	halfWorker     = shape(1, 4, structs.AdjacentWorker)
	oneAccelerator = shape(1, 1, structs.AdjacentNone)
)

func guaranteedAccount(name string, count int) structs.Account {
	return structs.Account{Name: name, Guarantee: []structs.Guarantee{{Shape: wholeWorker, Count: count}}}
}

func intPointer(n int) *int { return &n }

// want lists what a plan must contain: the IDs of placed jobs, preempted gangs and
// refused jobs, and the wait reasons of some jobs.
type want struct {
	placed, preempted, refused []string
	waits                      map[string]structs.WaitReason
}

// assertPlan schedules the snapshot and fails unless the plan follows the rules and
// contains w.
func assertPlan(t *testing.T, s *structs.Snapshot, w want) *structs.Plan {
	t.Helper()
	plan := Schedule(s)
	if v := check.Plan(s, plan); len(v) > 0 {
		t.Errorf("plan violations: %v", v)
	}
	var got want
	for _, p := range plan.Placements {
		got.placed = append(got.placed, p.JobID)
	}
	for _, p := range plan.Preemptions {
		got.preempted = append(got.preempted, p.GangID)
	}
	for _, r := range plan.Refusals {
		got.refused = append(got.refused, r.JobID)
	}
	for _, l := range []*[]string{&got.placed, &got.preempted, &got.refused} {
		slices.Sort(*l)
	}
	if !slices.Equal(got.placed, w.placed) || !slices.Equal(got.preempted, w.preempted) || !slices.Equal(got.refused, w.refused) {
		t.Errorf("placed %v, preempted %v, refused %v; want %v, %v, %v", got.placed, got.preempted, got.refused, w.placed, w.preempted, w.refused)
	}
	for id, reason := range w.waits {
		if plan.WaitReasons[id] != reason {
			t.Errorf("job %s has wait reason %q, want %q", id, plan.WaitReasons[id], reason)
		}
	}
	return plan
}

func nonReclaimableGang(g *structs.RunningGang) { g.Idempotent, g.Checkpointable = false, false }
func nonReclaimableJob(j *structs.WaitingJob)   { j.Idempotent, j.Checkpointable = false, false }
func urgentJob(j *structs.WaitingJob)           { j.Urgency = structs.Urgent }
func agedJob(j *structs.WaitingJob)             { j.Submitted = 0 }
func shortJob(j *structs.WaitingJob) {
	j.RunTimeP50, j.RunTimeP90, j.DeclaredRunTime = time.Minute, 2*time.Minute, time.Minute
}

// TestReclaimSelectsVictims guards against guarantees that cannot be claimed, and
// against preempting gangs that must not or need not be stopped.
func TestReclaimSelectsVictims(t *testing.T) {
	t.Run("all borrowers of the block", func(t *testing.T) {
		s := newSnapshot(1, guaranteedAccount("a", 1), structs.Account{Name: "b"})
		addRunning(s, "g1", "b", halfWorker, nil, 0, 0x0f)
		addRunning(s, "g2", "b", halfWorker, nil, 0, 0xf0)
		addWaiting(s, "a.1", "a", wholeWorker)
		assertPlan(t, s, want{preempted: []string{"g1", "g2"}, waits: map[string]structs.WaitReason{"a.1": structs.WaitReclaim}})
	})
	t.Run("least lost work", func(t *testing.T) {
		s := newSnapshot(2, guaranteedAccount("a", 1), structs.Account{Name: "b"})
		addRunning(s, "g1", "b", wholeWorker, func(g *structs.RunningGang) { g.Checkpointable = false }, 0, 0xff)
		addRunning(s, "g2", "b", wholeWorker, nil, 1, 0xff)
		addWaiting(s, "a.1", "a", wholeWorker)
		assertPlan(t, s, want{preempted: []string{"g2"}})
	})
	t.Run("none inside its own guarantee", func(t *testing.T) {
		s := newSnapshot(2, guaranteedAccount("a", 1), guaranteedAccount("b", 1))
		addRunning(s, "g1", "b", wholeWorker, func(g *structs.RunningGang) { g.Started = 0 }, 0, 0xff)
		addRunning(s, "g2", "b", wholeWorker, func(g *structs.RunningGang) { g.Checkpointable = false }, 1, 0xff)
		addWaiting(s, "a.1", "a", wholeWorker)
		assertPlan(t, s, want{preempted: []string{"g2"}})
	})
	t.Run("not twice for the same job", func(t *testing.T) {
		s := newSnapshot(2, guaranteedAccount("a", 1), structs.Account{Name: "b"})
		addRunning(s, "g1", "b", wholeWorker, func(g *structs.RunningGang) { g.Stopping = true }, 0, 0xff)
		addRunning(s, "g2", "b", wholeWorker, nil, 1, 0xff)
		addWaiting(s, "a.1", "a", wholeWorker, func(j *structs.WaitingJob) {
			j.Preempting = true
			j.Reserved = &structs.Reservation{JobID: "a.1", Members: []structs.MemberPlacement{{Worker: "w0000", Accelerators: 0xff}}}
		})
		addWaiting(s, "b.1", "b", oneAccelerator)
		assertPlan(t, s, want{waits: map[string]structs.WaitReason{"a.1": structs.WaitReclaim}})
	})
	t.Run("free accelerators are kept for the claim", func(t *testing.T) {
		s := newSnapshot(1, guaranteedAccount("a", 1), structs.Account{Name: "b"})
		addRunning(s, "g1", "b", halfWorker, func(g *structs.RunningGang) { g.Stopping = true }, 0, 0x0f)
		addWaiting(s, "a.1", "a", wholeWorker, func(j *structs.WaitingJob) {
			j.Preempting = true
			j.Reserved = &structs.Reservation{JobID: "a.1", Members: []structs.MemberPlacement{{Worker: "w0000", Accelerators: 0xff}}}
		})
		addWaiting(s, "b.1", "b", oneAccelerator, urgentJob)
		assertPlan(t, s, want{})
	})
}

// TestClaimsWithinGuarantee guards against claims on part of a guaranteed unit by jobs
// that are not urgent, and against claims beyond the guarantee.
func TestClaimsWithinGuarantee(t *testing.T) {
	t.Run("urgent job within a part of the guarantee", func(t *testing.T) {
		s := newSnapshot(2, guaranteedAccount("a", 1), structs.Account{Name: "b"})
		addRunning(s, "g1", "b", halfWorker, nil, 0, 0x0f)
		addRunning(s, "g2", "b", halfWorker, nil, 0, 0xf0)
		addRunning(s, "g3", "b", wholeWorker, nonReclaimableGang, 1, 0xff)
		addWaiting(s, "a.1", "a", oneAccelerator, urgentJob)
		assertPlan(t, s, want{preempted: []string{"g1"}})
		s.Waiting[0].Urgency = structs.Standard
		assertPlan(t, s, want{})
		s.Waiting[0].Urgency = structs.Urgent
		s.Accounts[0].Guarantee, s.Accounts[1].Guarantee = nil, s.Accounts[0].Guarantee
		assertPlan(t, s, want{})
	})
	t.Run("not beyond the guarantee", func(t *testing.T) {
		s := newSnapshot(2, guaranteedAccount("a", 1), structs.Account{Name: "b"})
		addRunning(s, "g1", "a", wholeWorker, nil, 0, 0xff)
		addRunning(s, "g2", "b", wholeWorker, nil, 1, 0xff)
		addWaiting(s, "a.1", "a", wholeWorker)
		assertPlan(t, s, want{waits: map[string]structs.WaitReason{"a.1": structs.WaitNoCapacity}})
	})
}

// TestNonReclaimableWorkKeepsGuarantees guards against placing non-reclaimable work on
// capacity that another account's guarantee needs.
func TestNonReclaimableWorkKeepsGuarantees(t *testing.T) {
	t.Run("kept off a guarantee", func(t *testing.T) {
		s := newSnapshot(1, guaranteedAccount("a", 1), structs.Account{Name: "b"})
		addWaiting(s, "b.1", "b", oneAccelerator, nonReclaimableJob)
		assertPlan(t, s, want{waits: map[string]structs.WaitReason{"b.1": structs.WaitGuarantee}})
	})
	t.Run("where no guarantee needs the capacity", func(t *testing.T) {
		s := newSnapshot(2, guaranteedAccount("a", 1), structs.Account{Name: "b"})
		addWaiting(s, "b.1", "b", oneAccelerator, nonReclaimableJob)
		assertPlan(t, s, want{placed: []string{"b.1"}})
	})
	t.Run("inside the own guarantee", func(t *testing.T) {
		s := newSnapshot(2, guaranteedAccount("a", 1), guaranteedAccount("b", 1))
		addWaiting(s, "b.1", "b", halfWorker, nonReclaimableJob)
		addWaiting(s, "b.2", "b", wholeWorker, nonReclaimableJob)
		assertPlan(t, s, want{placed: []string{"b.1"}, waits: map[string]structs.WaitReason{"b.2": structs.WaitGuarantee}})
	})
	t.Run("reclaimable work borrows it", func(t *testing.T) {
		s := newSnapshot(1, guaranteedAccount("a", 1), structs.Account{Name: "b"})
		addWaiting(s, "b.1", "b", wholeWorker)
		assertPlan(t, s, want{placed: []string{"b.1"}})
	})
}

// TestQuotaAndBorrowingLimit guards against placements beyond an account's quota or
// borrowing limit.
func TestQuotaAndBorrowingLimit(t *testing.T) {
	s := newSnapshot(3,
		structs.Account{Name: "a", Quota: structs.Quota{Accelerators: 8}},
		structs.Account{Name: "b", Quota: structs.Quota{BorrowingLimit: intPointer(0)}, Guarantee: []structs.Guarantee{{Shape: halfWorker}}},
		structs.Account{Name: "c", Quota: structs.Quota{Accelerators: 4}})
	addWaiting(s, "a.1", "a", wholeWorker)
	addWaiting(s, "a.2", "a", wholeWorker)
	addWaiting(s, "b.1", "b", halfWorker)
	addWaiting(s, "b.2", "b", oneAccelerator)
	addWaiting(s, "c.1", "c", wholeWorker)
	assertPlan(t, s, want{placed: []string{"a.1", "b.1"}, refused: []string{"c.1"},
		waits: map[string]structs.WaitReason{"a.2": structs.WaitQuota, "b.2": structs.WaitQuota}})
}

// TestRefusesJobsThatCannotRun guards against refusing jobs that can run, and against
// jobs that wait forever although they can never run.
func TestRefusesJobsThatCannotRun(t *testing.T) {
	s := newSnapshot(2, structs.Account{Name: "a"})
	s.Kinds = []structs.Kind{{Name: "k", Classes: []string{"new"}}, {Name: "old", Classes: []string{"old"}}}
	addRunning(s, "g1", "a", wholeWorker, nil, 0, 0xff)
	s.Workers[1].State = structs.WorkerLost
	addWaiting(s, "a.1", "a", shape(3, 8, structs.AdjacentRack))
	addWaiting(s, "a.2", "a", shape(2, 8, structs.AdjacentRack))
	addWaiting(s, "a.3", "a", oneAccelerator, func(j *structs.WaitingJob) { j.Deadline = s.Now - time.Second })
	addWaiting(s, "a.4", "a", oneAccelerator, func(j *structs.WaitingJob) { j.Deadline = s.Now + time.Minute })
	addWaiting(s, "a.5", "a", oneAccelerator, func(j *structs.WaitingJob) { j.Deadline = s.Now + time.Hour })
	addWaiting(s, "a.6", "a", oneAccelerator, func(j *structs.WaitingJob) { j.Kind = "old" })
	assertPlan(t, s, want{refused: []string{"a.1", "a.3", "a.4", "a.6"}, waits: map[string]structs.WaitReason{"a.2": structs.WaitNoCapacity}})
}

// TestQueueOrder guards against a queue order that ignores urgency, deadlines, run
// times, waits or shares.
func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name  string
		first func(s *structs.Snapshot)
		other func(s *structs.Snapshot)
	}{
		{"urgent first", func(s *structs.Snapshot) { addWaiting(s, "b.1", "b", wholeWorker, urgentJob) }, func(s *structs.Snapshot) { addWaiting(s, "a.1", "a", wholeWorker, shortJob) }},
		{"earlier deadline first", func(s *structs.Snapshot) {
			addWaiting(s, "b.1", "b", wholeWorker, func(j *structs.WaitingJob) { j.Deadline = s.Now + 11*time.Minute })
		}, func(s *structs.Snapshot) {
			addWaiting(s, "a.1", "a", wholeWorker, func(j *structs.WaitingJob) { j.Deadline = s.Now + 5*time.Hour })
		}},
		{"shorter first", func(s *structs.Snapshot) { addWaiting(s, "b.1", "b", wholeWorker, shortJob) }, func(s *structs.Snapshot) { addWaiting(s, "a.1", "a", wholeWorker) }},
		{"older first", func(s *structs.Snapshot) { addWaiting(s, "b.1", "b", wholeWorker, agedJob) }, func(s *structs.Snapshot) { addWaiting(s, "a.1", "a", wholeWorker) }},
		{"smaller share first", func(s *structs.Snapshot) { addWaiting(s, "b.1", "b", wholeWorker) }, func(s *structs.Snapshot) {
			addRunning(s, "g1", "a", wholeWorker, nil, 1, 0xff)
			addWaiting(s, "a.1", "a", wholeWorker)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSnapshot(2, structs.Account{Name: "a"}, structs.Account{Name: "b"}, structs.Account{Name: "z"})
			if tt.name != "smaller share first" {
				addRunning(s, "z1", "z", wholeWorker, nil, 1, 0xff)
			}
			tt.other(s)
			tt.first(s)
			assertPlan(t, s, want{placed: []string{"b.1"}})
		})
	}
}

// TestWorkerStatesExcludePlacement guards against placements on workers that are not
// ready, except one probe on a probing worker.
func TestWorkerStatesExcludePlacement(t *testing.T) {
	for _, state := range []structs.WorkerState{structs.WorkerDraining, structs.WorkerSuspect, structs.WorkerQuarantined, structs.WorkerLost} {
		s := newSnapshot(1, structs.Account{Name: "a"})
		s.Workers[0].State = state
		addWaiting(s, "a.1", "a", oneAccelerator)
		assertPlan(t, s, want{waits: map[string]structs.WaitReason{"a.1": structs.WaitNoCapacity}})
	}
	s := newSnapshot(2, structs.Account{Name: "a"})
	s.Workers[0].State = structs.WorkerProbing
	addWaiting(s, "a.1", "a", oneAccelerator, nonReclaimableJob, func(j *structs.WaitingJob) { j.Avoid = []string{"w0001"} })
	addWaiting(s, "a.2", "a", oneAccelerator, func(j *structs.WaitingJob) { j.Avoid = []string{"w0001"} })
	addWaiting(s, "a.3", "a", oneAccelerator, func(j *structs.WaitingJob) { j.Avoid = []string{"w0001"} })
	plan := assertPlan(t, s, want{placed: []string{"a.2"}})
	if !plan.Placements[0].Probe {
		t.Error("the job on the probing worker is not marked as a probe")
	}
}

// reservationSnapshot returns a snapshot in which job a.1 has waited long for a whole
// worker: worker 0 becomes free in nine minutes, worker 1 in an hour.
func reservationSnapshot() *structs.Snapshot {
	s := newSnapshot(2, structs.Account{Name: "a"}, structs.Account{Name: "b"})
	addRunning(s, "g1", "b", halfWorker, nonReclaimableGang, 0, 0x0f)
	addRunning(s, "g2", "b", halfWorker, func(g *structs.RunningGang) { nonReclaimableGang(g); g.RunTimeP50, g.RunTimeP90 = time.Hour, time.Hour }, 1, 0x0f)
	addRunning(s, "g3", "b", halfWorker, func(g *structs.RunningGang) { nonReclaimableGang(g); g.RunTimeP50, g.RunTimeP90 = time.Hour, time.Hour }, 1, 0xf0)
	addWaiting(s, "a.1", "a", wholeWorker, func(j *structs.WaitingJob) { j.Submitted = s.Now - 16*j.RunTimeP50 })
	return s
}

// TestReservationAllowsOnlyShortBackfill guards against large jobs that starve behind
// small ones, and against backfilled jobs that delay a reservation.
func TestReservationAllowsOnlyShortBackfill(t *testing.T) {
	s := reservationSnapshot()
	plan := assertPlan(t, s, want{})
	if len(plan.Reservations) != 1 || plan.Reservations[0].Members[0].Worker != "w0000" {
		t.Fatalf("reservations %+v, want a.1 on w0000", plan.Reservations)
	}
	s.Waiting[0].Reserved = &plan.Reservations[0]
	addWaiting(s, "b.1", "b", oneAccelerator, func(j *structs.WaitingJob) { j.RunTimeP90 = time.Hour })
	addWaiting(s, "b.2", "b", oneAccelerator, shortJob)
	plan = assertPlan(t, s, want{placed: []string{"b.2"}})
	if !plan.Placements[0].Backfilled {
		t.Error("the placement ahead of the reservation is not marked as backfilled")
	}
}

// TestStopsOverrunningBackfill guards against a backfilled gang that delays a
// reservation beyond its estimate, and against stopping one although the job could not
// start even then.
func TestStopsOverrunningBackfill(t *testing.T) {
	addOverrunning := func(s *structs.Snapshot) {
		addRunning(s, "g4", "b", oneAccelerator, func(g *structs.RunningGang) {
			g.Backfilled, g.RunTimeP50, g.RunTimeP90 = true, 10*time.Second, 30*time.Second
		}, 0, 0x10)
		s.Waiting[0].Reserved = &structs.Reservation{JobID: "a.1", Members: []structs.MemberPlacement{{Worker: "w0000", Accelerators: 0xff}}}
	}
	s := reservationSnapshot()
	addOverrunning(s)
	assertPlan(t, s, want{})
	s = reservationSnapshot()
	s.Running = s.Running[1:]
	s.Workers[0].Busy, s.Workers[0].CoresUsedMilli, s.Workers[0].MemoryUsedMB, s.Workers[0].SlotsUsed = 0, 0, 0, 0
	addOverrunning(s)
	plan := assertPlan(t, s, want{preempted: []string{"g4"}})
	if len(plan.Preemptions) == 1 && plan.Preemptions[0].Reason != structs.PreemptOverrun {
		t.Errorf("preemption reason %s, want overrun", plan.Preemptions[0].Reason)
	}
}

// TestUrgentJobTakesFastestWorker guards against placing urgent jobs on slow workers
// while fast ones are free.
func TestUrgentJobTakesFastestWorker(t *testing.T) {
	s := newSnapshot(2, structs.Account{Name: "a"})
	s.Weights = structs.Weights{Completion: 3, Fragmentation: 1}
	s.Workers[0].Class = "old"
	s.Speeds = map[string]map[string]float64{"k": {"old": 0.6, "new": 1}}
	addRunning(s, "g1", "a", halfWorker, nil, 0, 0x0f)
	addWaiting(s, "a.1", "a", oneAccelerator, urgentJob)
	plan := assertPlan(t, s, want{placed: []string{"a.1"}})
	if plan.Placements[0].Members[0].Worker != "w0001" {
		t.Errorf("placed on %s, want w0001, the fast worker", plan.Placements[0].Members[0].Worker)
	}
}

// TestDefragmentMovesSmallGang guards against a large job that waits although moving a
// small gang would free a block for it, and against moves that cost more than they
// gain.
func TestDefragmentMovesSmallGang(t *testing.T) {
	scattered := func(edit func(g *structs.RunningGang)) *structs.Snapshot {
		s := newSnapshot(2, structs.Account{Name: "a"}, structs.Account{Name: "b"})
		long := func(g *structs.RunningGang) {
			g.Started, g.CheckpointedAt, g.RunTimeP50, g.RunTimeP90 = s.Now-10*time.Minute, s.Now-time.Minute, 5*time.Hour, 6*time.Hour
			edit(g)
		}
		addRunning(s, "g1", "b", oneAccelerator, long, 0, 1)
		addRunning(s, "g2", "b", halfWorker, func(g *structs.RunningGang) { long(g); nonReclaimableGang(g) }, 1, 0x0f)
		addWaiting(s, "a.1", "a", wholeWorker, agedJob)
		return s
	}
	assertPlan(t, scattered(func(*structs.RunningGang) {}), want{preempted: []string{"g1"}, waits: map[string]structs.WaitReason{"a.1": structs.WaitReclaim}})
	assertPlan(t, scattered(func(g *structs.RunningGang) {
		g.RunTimeP50, g.RunTimeP90 = 10*time.Minute+4*time.Second, 11*time.Minute
	}), want{})
	assertPlan(t, scattered(nonReclaimableGang), want{})
}

// TestDefragmentWeighsDisplacedGangs guards against moves that displace more gangs than
// the weights justify, and against rejecting a move that puts idle accelerators to use.
func TestDefragmentWeighsDisplacedGangs(t *testing.T) {
	// Three gangs of two accelerators block a job of eight; they have no other place.
	snapshot := func(w structs.Weights) *structs.Snapshot {
		s := newSnapshot(1, structs.Account{Name: "a"}, structs.Account{Name: "b"})
		s.Weights = w
		for i, mask := range []int{0x03, 0x0c, 0x30} {
			addRunning(s, fmt.Sprint("g", i), "b", shape(1, 2, structs.AdjacentWorker), nil, 0, mask)
		}
		addWaiting(s, "a.1", "a", wholeWorker)
		return s
	}
	moved := want{preempted: []string{"g0", "g1", "g2"}}
	assertPlan(t, snapshot(structs.Weights{Completion: 1, Fragmentation: 3}), moved)
	s := snapshot(structs.Weights{Completion: 3, Fragmentation: 1})
	for i, mask := range []int{0x40, 0x80} {
		addRunning(s, fmt.Sprint("g", 3+i), "b", oneAccelerator, nil, 0, mask)
	}
	assertPlan(t, s, want{})
	s.Waiting[0].Submitted = s.Now - (forcedMoveWaitFactor+1)*s.Waiting[0].RunTimeP50
	moved.preempted = append(moved.preempted, "g3", "g4")
	assertPlan(t, s, moved)
}

// TestStopsStragglersForLargeJob guards against the last gangs of short work that block
// a large job, and against stopping gangs that are long, urgent, not idempotent, just
// started, or of a kind with more waiting jobs.
func TestStopsStragglersForLargeJob(t *testing.T) {
	straggler := func(edit func(g *structs.RunningGang)) *structs.Snapshot {
		s := newSnapshot(1, structs.Account{Name: "a"}, structs.Account{Name: "b"})
		s.Weights = structs.Weights{Completion: 1, Fragmentation: 3}
		addRunning(s, "g1", "b", oneAccelerator, func(g *structs.RunningGang) {
			g.Kind, g.Checkpointable, g.RunTimeP50, g.RunTimeP90 = "short", false, 5*time.Minute, 6*time.Minute
			edit(g)
		}, 0, 1)
		addWaiting(s, "a.1", "a", wholeWorker)
		return s
	}
	assertPlan(t, straggler(func(*structs.RunningGang) {}), want{preempted: []string{"g1"}})
	for name, edit := range map[string]func(g *structs.RunningGang){
		"long":           func(g *structs.RunningGang) { g.RunTimeP90 = time.Hour },
		"urgent":         func(g *structs.RunningGang) { g.Urgency = structs.Urgent },
		"non-idempotent": func(g *structs.RunningGang) { g.Idempotent = false },
		"just started":   func(g *structs.RunningGang) { g.Started = time.Hour - minRunBeforeMove/2 },
		"more waits":     func(g *structs.RunningGang) { g.Kind = "k" },
	} {
		t.Run(name, func(t *testing.T) { assertPlan(t, straggler(edit), want{}) })
	}
}

// TestUrgentJobPreemptsBorrowerAfterWait guards against urgent jobs that wait long
// behind gangs that can be resumed, and against preempting those gangs for an urgent
// job that has not waited long.
func TestUrgentJobPreemptsBorrowerAfterWait(t *testing.T) {
	snapshot := func(runs time.Duration) *structs.Snapshot {
		s := newSnapshot(1, structs.Account{Name: "a"}, structs.Account{Name: "b"})
		addRunning(s, "g1", "b", wholeWorker, nil, 0, 0xff)
		addWaiting(s, "a.1", "a", oneAccelerator, urgentJob, nonReclaimableJob, func(j *structs.WaitingJob) { j.Submitted = s.Now - runs*j.RunTimeP50 })
		return s
	}
	assertPlan(t, snapshot(urgentPreemptWaitFactor-1), want{})
	assertPlan(t, snapshot(urgentPreemptWaitFactor+1), want{preempted: []string{"g1"}, waits: map[string]structs.WaitReason{"a.1": structs.WaitReclaim}})
}
