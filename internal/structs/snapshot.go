package structs

import "time"

// WorkerState says whether the scheduler may place work on a worker.
type WorkerState string

// The worker states. Only ready workers receive normal work. A probing worker
// receives one idempotent job at a time, to test it after its quarantine.
const (
	WorkerReady       WorkerState = "ready"
	WorkerProbing     WorkerState = "probing"
	WorkerDraining    WorkerState = "draining"
	WorkerSuspect     WorkerState = "suspect"
	WorkerQuarantined WorkerState = "quarantined"
	WorkerLost        WorkerState = "lost"
)

// Worker is a worker as the scheduler sees it.
type Worker struct {
	ID     string
	Domain string
	Region string
	Zone   string
	Rack   string
	Class  string
	State  WorkerState
	WorkerCapacity
	// Busy has bit i set if accelerator i is used by or reserved for a task.
	Busy uint64
	// CoresUsedMilli, MemoryUsedMB and SlotsUsed are the sums over the tasks of all
	// gangs on the worker.
	CoresUsedMilli int
	MemoryUsedMB   int
	SlotsUsed      int
}

// WaitingJob is a job in the queue.
type WaitingJob struct {
	ID      string
	Account string
	Kind    string
	Shape   Shape
	Urgency Urgency
	// Submitted and Deadline are times on the clock of Snapshot.Now. Deadline is 0
	// if the job has none.
	Submitted time.Duration
	Deadline  time.Duration
	// DeclaredRunTime is the run time that the client or the kind declares.
	// RunTimeP50 and RunTimeP90 are percentiles of the run time learned from earlier
	// jobs.
	DeclaredRunTime, RunTimeP50, RunTimeP90 time.Duration
	Idempotent, Checkpointable              bool
	// Avoid lists workers on which the job has failed.
	Avoid []string
	// Reserved is the job's reservation in the last plan, or nil.
	Reserved *Reservation
	// Preempting is set if gangs are already being stopped to make room for the job.
	Preempting bool
}

// MemberPlacement is the set of accelerators that a gang uses on one worker.
type MemberPlacement struct {
	Worker string
	// Accelerators has bit i set for accelerator i.
	Accelerators uint64
}

// RunningGang is a gang that holds accelerators.
type RunningGang struct {
	ID      string
	JobID   string
	Account string
	Kind    string
	Shape   Shape
	Urgency Urgency
	Members []MemberPlacement
	// Started and CheckpointedAt are times on the clock of Snapshot.Now. A
	// checkpoint holds the work up to CheckpointedAt; it equals Started if there is
	// no checkpoint.
	Started, CheckpointedAt time.Duration
	// DeclaredRunTime, RunTimeP50 and RunTimeP90 are as in WaitingJob.
	DeclaredRunTime, RunTimeP50, RunTimeP90 time.Duration
	Idempotent, Checkpointable              bool
	// Stopping is set if the gang is being preempted, so that its accelerators will
	// be free soon.
	Stopping bool
	// Backfilled is set if the gang was placed on accelerators that are reserved for
	// a job which starts later.
	Backfilled bool
}

// Reclaimable reports whether the gang may be stopped to satisfy the guarantee of
// another account.
func (g *RunningGang) Reclaimable() bool { return g.Idempotent || g.Checkpointable }

// Snapshot is the complete input of a scheduling decision. The scheduler does not
// modify it. Workers, Accounts, Waiting and Running are sorted by name or ID.
type Snapshot struct {
	// Now is the current time on a monotonic clock with an arbitrary origin.
	Now      time.Duration
	Domain   string
	Weights  Weights
	Workers  []Worker
	Accounts []Account
	Kinds    []Kind
	Waiting  []WaitingJob
	Running  []RunningGang
	// Speeds maps each job kind and worker class to the learned speed of the kind on
	// the class. Only the ratios between classes matter; a missing speed is 1.
	Speeds map[string]map[string]float64
	// UrgentStart is the time within which an urgent job inside its account's
	// guarantee must start.
	UrgentStart time.Duration
}

// Placement starts a job.
type Placement struct {
	JobID   string
	Members []MemberPlacement
	// Borrowed is set if the account then uses more than its guarantee.
	Borrowed bool
	// Backfilled is set if the placement uses accelerators that are reserved for a
	// job which starts later.
	Backfilled bool
	// Probe is set if the job tests a worker after its quarantine.
	Probe bool
}

// PreemptReason says why a gang is stopped.
type PreemptReason string

// The reasons of preemptions.
const (
	// PreemptReclaim makes room for a job inside its account's guarantee.
	PreemptReclaim PreemptReason = "reclaim"
	// PreemptOverrun stops a backfilled gang that runs longer than expected and
	// delays a reservation.
	PreemptOverrun PreemptReason = "overrun"
	// PreemptDefragment moves a gang to free a large block of accelerators.
	PreemptDefragment PreemptReason = "defragment"
	// PreemptUrgent makes room for an urgent job that has waited long.
	PreemptUrgent PreemptReason = "urgent"
)

// Preemption stops a running gang, with a checkpoint if the gang supports it.
type Preemption struct {
	GangID string
	// ForJob is the ID of the job that needs the accelerators.
	ForJob string
	Reason PreemptReason
}

// Reservation holds accelerators for a job that has waited long.
type Reservation struct {
	JobID   string
	Members []MemberPlacement
	// Start is the expected start time on the clock of Snapshot.Now.
	Start time.Duration
}

// WaitReason says why a job waits or is refused.
type WaitReason string

// The reasons why a job waits or is refused.
const (
	WaitNoCapacity  WaitReason = "no_capacity" // not enough free accelerators, cores, memory or slots
	WaitFragmented  WaitReason = "fragmented"  // enough free accelerators in total, but not adjacent ones
	WaitGuarantee   WaitReason = "guarantee"   // would violate another account's guarantee
	WaitQuota       WaitReason = "quota"       // account at its quota or borrowing limit
	WaitReservation WaitReason = "reservation" // would delay a job that has a reservation
	WaitShare       WaitReason = "share"       // other accounts are below their share
	WaitReclaim     WaitReason = "reclaim"     // gangs are being stopped to make room for it
	WaitPlatform    WaitReason = "platform"    // its start must be recorded durably and the platform is unavailable
	WaitRecovery    WaitReason = "recovery"    // the owner is still recovering the domain's state
	NeverFits       WaitReason = "never_fits"  // the shape does not fit on the declared hardware
	DeadlineMissed  WaitReason = "deadline"    // deadline passed or cannot be met
)

// Refusal refuses a waiting job that can never run.
type Refusal struct {
	JobID  string
	Reason WaitReason
	Detail string
}

// Plan is a scheduling decision. Its items are independent of each other, except
// that Placements must be applied in order.
type Plan struct {
	Placements   []Placement
	Preemptions  []Preemption
	Reservations []Reservation
	Refusals     []Refusal
	// WaitReasons has the reason for each job that was considered and not placed, by
	// job ID.
	WaitReasons map[string]WaitReason
}
