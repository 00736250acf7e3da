// Package workflowscheduler decides for workflows which tasks start on which workers,
// which runs are preempted, and which tasks keep waiting. It is a pure function from a
// Snapshot to a Plan, without clock, network or goroutines. Package scheduler does the
// same for gang jobs.
//
// A job is a workflow of steps, each of which is a set of identical tasks. A group
// consists of waiting tasks of one step. The tasks of a gang start all together or not at
// all. A run is one attempt to execute a task on a worker. Guaranteed groups use capacity
// that is guaranteed to their account, and other runs may be preempted for them.
package workflowscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Worker describes a worker for one decision.
type Worker struct {
	ID, Rack string
	// Pool is the service that the worker belongs to.
	Pool     string
	Labels   []string
	Capacity workflow.Resources
	// Free is the capacity that is not held by starting, running or stopping tasks.
	Free workflow.Resources
	// Usable workers may receive starts.
	Usable bool
	// Evacuated is set for a worker that is not usable because its availability zone is
	// evacuated.
	Evacuated bool
	// Slowdown is the factor by which tasks run longer there than on a reference worker;
	// 0 means 1. SlowdownError is the standard deviation of its logarithm, 0 if it is exact.
	Slowdown, SlowdownError float64
	// Probe limits the worker to one task at a time, to test whether it is healthy. Proven is the
	// capacity held by runs that do not count for that, since they have passed the test.
	Probe  bool
	Proven workflow.Resources
	// QuietAt is the time from which no task there has just started, on the clock of
	// Snapshot.Now.
	QuietAt time.Duration
}

// Group is a set of identical waiting tasks of one step.
type Group struct {
	// Job and ID identify the group to the caller and break ties in the order of groups.
	Job string
	ID  workflow.StepID
	// Tasks are the indexes of the waiting tasks.
	Tasks    []int
	Need     workflow.Resources
	Gang     bool
	SameRack bool
	DataRack string
	Label    string
	// Pool is the service whose workers may run the group.
	Pool string
	// MaxPerWorker limits the step's tasks on one worker; 0 means no limit.
	// TasksOnWorker has the number already there by worker ID.
	MaxPerWorker  int
	TasksOnWorker map[string]int
	// Avoid lists workers on which the group's tasks failed. They are used only if the
	// group does not fit on the other workers, or has waited long for them.
	Avoid map[string]bool
	// WaitedFor is the time since the group last started a task, or since it became ready.
	WaitedFor time.Duration
	// Persistent tasks never complete.
	Persistent bool
	// Allowed lists the only workers that may run the group; nil means all.
	Allowed map[string]bool
	// Isolation keeps the tasks apart from other work, because they may have crashed a
	// worker.
	Isolation workflow.Isolation
	// Expected is the median run time of a task on a reference worker near its data, and
	// ExpectedHigh its 90th percentile.
	Expected, ExpectedHigh time.Duration
	// CriticalPath is the critical path of the job's remaining work, including this
	// step.
	CriticalPath time.Duration
	// RemainingWork is the job's remaining work in core-seconds.
	RemainingWork float64
	// Priority 0 is the highest.
	Priority int
	// Guaranteed groups use capacity that is guaranteed to their account.
	Guaranteed bool
	// ReadyAt is the time at which the group became ready, on the clock of Snapshot.Now.
	ReadyAt time.Duration
	Value
}

// Value is what the completion of a job is worth: Worth up to Deadline, LateWorth up to
// LateDeadline, and nothing later. Times are on the clock of Snapshot.Now.
type Value struct {
	Deadline, LateDeadline time.Duration
	Worth, LateWorth       float64
}

// At returns the worth of a completion at the given time.
func (v *Value) WorthAt(end time.Duration) float64 {
	switch {
	case end <= v.Deadline:
		return v.Worth
	case end <= v.LateDeadline:
		return v.LateWorth
	}
	return 0
}

// Running is a run that holds capacity on a worker.
type Running struct {
	ID     workflow.RunID
	Worker string
	Need   workflow.Resources
	Gang   bool
	// EndsAt is the median of the run's end, given how long it has run and how far it is, and
	// EndsAtHigh the 90th percentile. Both are on the clock of Snapshot.Now.
	EndsAt, EndsAtHigh time.Duration
	// Priority 0 is the highest.
	Priority int
	// Guaranteed runs are never preempted.
	Guaranteed bool
	// Persistent runs end only when they are stopped.
	Persistent bool
	// LostWork is the work that a stop would discard, in core-seconds.
	LostWork float64
	// JobWork is the work of the whole job, in core-seconds.
	JobWork float64
	// RerunTime is the run time that the task needs after a stop.
	RerunTime time.Duration
	// RemainingPath is the critical path of the job's work after this run.
	RemainingPath time.Duration
	Value
	// Stopping runs have been ordered to stop and release their capacity soon.
	Stopping bool
	// WorkerEndsAt is the earliest time at which the run's draining worker may end, on
	// the clock of Snapshot.Now; 0 if the worker is not draining.
	WorkerEndsAt time.Duration
}

// Snapshot is the complete input of a decision. Decide does not modify it.
type Snapshot struct {
	Now     time.Duration
	Workers []Worker
	Groups  []Group
	Running []Running
	// StopGrace is the longest time for which a stopped task still holds its capacity.
	StopGrace time.Duration
	// ReclaimLimit is the time within which guaranteed work has to start, counted from
	// when its group became ready.
	ReclaimLimit time.Duration
	// RemotePenalty is the factor by which a task runs longer away from its data, or if
	// its gang wants one rack and is spread over several.
	RemotePenalty float64
}

// Start orders the start of a task on a worker.
type Start struct {
	Group  int // index in Snapshot.Groups
	Task   int
	Worker string
	// Expected is the expected run time on this worker.
	Expected time.Duration
}

// Stop orders a run to stop.
type Stop struct {
	Run workflow.RunID
	// ForGroup is the index in Snapshot.Groups of the group that gets the capacity, or
	// NoGroup if the run is moved because its worker is about to end.
	ForGroup int
}

// NoGroup is the value of Stop.ForGroup for runs that are moved off a draining worker.
const NoGroup = -1

// Reason is why tasks of a group wait.
type Reason string

// Values of Reason.
const (
	WaitsForCapacity Reason = "no_room"    // not enough free capacity
	WaitsForRack     Reason = "rack"       // fits only away from its data or over several racks, which costs more than waiting
	WaitsForReserved Reason = "reserved"   // the free capacity is reserved for work ahead of it
	WaitsForStops    Reason = "preempting" // runs are being preempted for it
	WaitsForIdle     Reason = "isolation"  // has to be kept apart from other work, which all workers with enough capacity have
	NeverFits        Reason = "never_fits" // does not fit even if all eligible workers were empty
	NoWorker         Reason = "no_worker"  // no usable worker is eligible
	// WaitsForZone is the reason of a group that only workers of evacuated zones could run.
	WaitsForZone Reason = "zone_evacuated"
)

// Plan is a decision. It starts all tasks of a gang or none.
type Plan struct {
	Starts []Start
	Stops  []Stop
	// Waits has the reason for each group with waiting tasks, by index in
	// Snapshot.Groups.
	Waits map[int]Reason
}

// Parameters of the scheduling policy.
const (
	// urgencyScale is the slack, as a multiple of the mean critical path of the waiting
	// groups, at which a job's urgency has dropped to 1/e: the look-ahead parameter of
	// the apparent tardiness cost rule.
	urgencyScale = 2.0
	// largeTaskGPUs is the number of GPUs from which capacity is reserved for single
	// tasks. Such a task takes half of a worker or more, which small tasks would
	// otherwise never leave free.
	largeTaskGPUs = 4
	// maxReservations bounds the number of waiting groups with a reservation, to limit
	// the time that a decision takes.
	maxReservations = 3
	// overdueShare is the share of its expected run time that an overdue run is assumed
	// to still need.
	overdueShare = 0.25
	minRemaining = 200 * time.Millisecond // the least remaining run time assumed of a run
	// avoidLimit is how long a group waits for workers other than those that it avoids, which
	// need time to recover. Persistent tasks, which may fail any number of times, wait for
	// persistentAvoidLimit.
	avoidLimit           = 8 * time.Second
	persistentAvoidLimit = 3 * time.Second
	// idleWaitLimit is how long a group waits for reservations of other work while most
	// capacity is idle.
	idleWaitLimit = 2 * time.Second
)

// node is a worker with the planner's changes to its free capacity.
type node struct {
	Worker
	// isolated is set once an isolated task is planned to start there.
	isolated bool
	// keptClear is set if only group keptClearFor may start there.
	keptClear    bool
	keptClearFor int
}

// reservation keeps capacity for a waiting group from a time on.
type reservation struct {
	at     time.Duration
	amount map[int]workflow.Resources // by node index
}

// planner holds the state of one decision. Nodes, groups and runs are referred to by
// index.
type planner struct {
	snap          *Snapshot
	nodes         []node
	nodeIndex     map[string]int
	racks         *racks
	totalCapacity workflow.Resources
	groupOrder    []int
	scores        []float64
	plan          *Plan
	reservations  []reservation
	runsByNode    [][]int // indexes in Snapshot.Running, by node
	nodeOfRun     []int   // node of each run; -1 if its worker is not in the snapshot
	stopped       map[workflow.RunID]bool
	// demandPerGPU is the CPU (in thousandths of a core) and the memory (in MiB) that
	// running and waiting tasks request for each GPU, on average.
	demandPerGPU [2]float64

	// The following fields are caches, filled on first use.

	eligibleNodes [][]bool // by group and node; see eligible
	runEndTimes   []time.Duration
	stopCosts     []float64 // by run
	// capacityVersion is incremented whenever free or reserved capacity changes; it
	// invalidates spreadCache, whose key is the group.
	capacityVersion int
	spreadCache     map[int]spreadResult
}

// Decide returns the plan for the snapshot.
func Decide(s *Snapshot) *Plan {
	snap := *s
	snap.Groups = slices.Clone(s.Groups)
	s = &snap
	p := &planner{
		snap: s, plan: &Plan{Waits: map[int]Reason{}}, nodeIndex: map[string]int{}, stopped: map[workflow.RunID]bool{},
		eligibleNodes: make([][]bool, len(s.Groups)), spreadCache: map[int]spreadResult{},
	}
	for i, w := range s.Workers {
		if w.Slowdown < 1 {
			w.Slowdown = 1
		}
		p.nodes = append(p.nodes, node{Worker: w})
		p.nodeIndex[w.ID] = i
		if !w.Evacuated {
			p.totalCapacity = p.totalCapacity.Add(w.Capacity, 1)
		}
	}
	p.racks = newRacks(p.nodes)
	p.runsByNode, p.nodeOfRun = make([][]int, len(p.nodes)), make([]int, len(s.Running))
	for i := range s.Running {
		p.nodeOfRun[i] = -1
		if n, ok := p.nodeIndex[s.Running[i].Worker]; ok {
			p.runsByNode[n] = append(p.runsByNode[n], i)
			p.nodeOfRun[i] = n
		}
	}
	p.measureDemand()
	for g := range s.Groups {
		p.relaxAvoid(g)
		p.relaxSameRack(g)
	}
	p.evacuate()
	p.orderGroups()
	p.keepWorkersClear()
	for _, g := range p.groupOrder {
		p.place(g)
	}
	return p.plan
}

// priorityTier returns the first criterion of the group order: 0 for guaranteed work, 1
// for work that can still complete while it has a value, 2 for the rest.
func (p *planner) priorityTier(g *Group) int {
	switch {
	case g.Guaranteed:
		return 0
	case p.snap.Now+g.CriticalPath <= g.LateDeadline:
		return 1
	}
	return 2
}

// orderGroups sorts the groups by tier and then by urgency-weighted worth per
// core-second. This is the apparent tardiness cost rule with two due dates: the deadline
// for the full worth of a job and that for its reduced worth.
func (p *planner) orderGroups() {
	var mean time.Duration
	for i := range p.snap.Groups {
		mean += p.snap.Groups[i].CriticalPath
	}
	if n := len(p.snap.Groups); n > 0 {
		mean = max(mean/time.Duration(n), 1)
	}
	p.scores = make([]float64, len(p.snap.Groups))
	tiers := make([]int, len(p.snap.Groups))
	for i := range p.snap.Groups {
		g := &p.snap.Groups[i]
		p.groupOrder = append(p.groupOrder, i)
		tiers[i] = p.priorityTier(g)
		urgency := func(due time.Duration) float64 {
			slack := due - p.snap.Now - g.CriticalPath
			if slack < 0 {
				return 0
			}
			return math.Exp(-float64(slack) / (urgencyScale * float64(mean)))
		}
		p.scores[i] = (max(g.Worth-g.LateWorth, 0)*urgency(g.Deadline) + g.LateWorth*urgency(g.LateDeadline)) / max(g.RemainingWork, 1)
	}
	slices.SortFunc(p.groupOrder, func(a, b int) int {
		ga, gb := &p.snap.Groups[a], &p.snap.Groups[b]
		return cmp.Or(cmp.Compare(tiers[a], tiers[b]), cmp.Compare(p.scores[b], p.scores[a]),
			cmp.Compare(ga.ReadyAt, gb.ReadyAt), cmp.Compare(ga.Job, gb.Job),
			cmp.Compare(ga.ID.Occurrence, gb.ID.Occurrence), cmp.Compare(ga.ID.Step, gb.ID.Step))
	})
}

// relaxAvoid clears the list of avoided workers if the group does not fit on the others,
// even when they are empty, or if it has waited long for them without need.
func (p *planner) relaxAvoid(g int) {
	group := &p.snap.Groups[g]
	if len(group.Avoid) == 0 {
		return
	}
	need := 1
	if group.Gang {
		need = len(group.Tasks)
	}
	if p.countSlots(g, p.slotsWhenEmpty).total < need || p.waitsInVain(g, need) {
		group.Avoid, p.eligibleNodes[g] = nil, nil
	}
}

// waitsInVain reports whether a group has waited long for workers other than those that it
// avoids, although most capacity is idle, or they will never have capacity for it.
func (p *planner) waitsInVain(g, need int) bool {
	group := &p.snap.Groups[g]
	if group.Persistent {
		return group.WaitedFor >= persistentAvoidLimit
	}
	return group.WaitedFor >= avoidLimit && (p.mostlyIdle() || p.earliestFit(g, need) == math.MaxInt64)
}

// relaxSameRack drops the one-rack preference of a gang that does not fit in any rack,
// even an empty one. It raises the gang's expected run time and remaining work
// accordingly.
func (p *planner) relaxSameRack(g int) {
	group := &p.snap.Groups[g]
	if !group.Gang || !group.SameRack || p.countSlots(g, p.slotsWhenEmpty).mostInRack() >= len(group.Tasks) {
		return
	}
	extra := time.Duration(float64(group.Expected) * (p.snap.RemotePenalty - 1))
	group.SameRack = false
	group.RemainingWork += group.RemainingWork * float64(extra) / float64(max(group.CriticalPath, 1))
	group.Expected, group.CriticalPath = group.Expected+extra, group.CriticalPath+extra
}

// eligible reports whether the worker may run tasks of the group, regardless of its free
// capacity.
func (n *node) eligible(g *Group) bool { return n.Usable && n.suits(g) }

// suits reports whether the worker could run tasks of the group if it was usable.
func (n *node) suits(g *Group) bool {
	return n.Pool == g.Pool && !g.Avoid[n.ID] && (g.Allowed == nil || g.Allowed[n.ID]) && (g.Label == "" || slices.Contains(n.Labels, g.Label)) && n.Capacity.Fits(g.Need)
}

// eligible reports whether node n may run tasks of group g, regardless of its free
// capacity.
func (p *planner) eligible(g, n int) bool {
	if p.eligibleNodes[g] == nil {
		nodes := make([]bool, len(p.nodes))
		for i := range p.nodes {
			nodes[i] = p.nodes[i].eligible(&p.snap.Groups[g])
		}
		p.eligibleNodes[g] = nodes
	}
	return p.eligibleNodes[g][n]
}

// remote reports whether the rack is not the one that holds the group's data.
func remote(g *Group, rack string) bool { return g.DataRack != "" && g.DataRack != rack }

// slotsNow returns how many tasks of the group fit on node n now without violating
// reservations.
func (p *planner) slotsNow(g, n int) int {
	count := p.slotsIgnoringReservations(g, n)
	group := &p.snap.Groups[g]
	for count > 0 && !p.respectsReservations(group, n, count, p.duration(group, n, false)) {
		count--
	}
	return count
}

// slotsIgnoringReservations returns how many tasks of the group fit in the free capacity
// of node n.
func (p *planner) slotsIgnoringReservations(g, n int) int {
	group, w := &p.snap.Groups[g], &p.nodes[n]
	if !p.eligible(g, n) || !p.admits(g, n) {
		return 0
	}
	count := w.Free.Count(group.Need)
	if group.MaxPerWorker > 0 {
		count = min(count, group.MaxPerWorker-group.TasksOnWorker[w.ID])
	}
	if w.Probe {
		if w.Free != w.Capacity.Add(w.Proven, -1) {
			return 0
		}
		count = min(count, 1)
	}
	return max(count, 0)
}

// duration returns the expected run time of a task of the group on node n. spread is set
// for a gang that runs in several racks.
func (p *planner) duration(g *Group, n int, spread bool) time.Duration {
	d := float64(g.Expected) * p.nodes[n].Slowdown
	if remote(g, p.nodes[n].Rack) || spread && g.SameRack {
		d *= p.snap.RemotePenalty
	}
	return time.Duration(d)
}

// respectsReservations reports whether count tasks that run for d on node n leave the
// reserved capacity free in time.
func (p *planner) respectsReservations(g *Group, n, count int, d time.Duration) bool {
	for _, r := range p.reservations {
		amount, ok := r.amount[n]
		if !ok || p.snap.Now+d <= r.at {
			continue
		}
		if !p.freeAt(n, r.at).Fits(amount.Add(g.Need, count)) {
			return false
		}
	}
	return true
}

// freeAt returns the free capacity of a node at a time, assuming that runs end as
// expected.
func (p *planner) freeAt(n int, at time.Duration) workflow.Resources {
	free := p.nodes[n].Free
	for _, i := range p.runsByNode[n] {
		if r := &p.snap.Running[i]; p.expectedEnd(r) <= at {
			free = free.Add(r.Need, 1)
		}
	}
	return free
}

// expectedEnd returns the expected end of a run, at least minRemaining from now.
// Persistent runs that are not stopping never end.
func (p *planner) expectedEnd(r *Running) time.Duration {
	if r.Persistent && !r.Stopping {
		return math.MaxInt64
	}
	return max(r.EndsAt, p.snap.Now+minRemaining)
}

// start plans the start of a task on node n.
func (p *planner) start(g, task, n int, d time.Duration) {
	p.capacityVersion++
	p.nodes[n].Free = p.nodes[n].Free.Add(p.snap.Groups[g].Need, -1)
	p.nodes[n].QuietAt = p.snap.Now + workflow.StartCrashWindow
	p.nodes[n].isolated = p.nodes[n].isolated || p.snap.Groups[g].Isolation != workflow.IsolationNone
	p.plan.Starts = append(p.plan.Starts, Start{Group: g, Task: task, Worker: p.nodes[n].ID, Expected: d})
}
