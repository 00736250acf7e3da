// Package workflowscheduler decides which tasks start on which workers, which runs are
// stopped for guaranteed work, and which work waits. It is pure: a snapshot goes
// in and a plan comes out, with no clock, network or goroutine.
package workflowscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Worker is a worker as the decision sees it.
type Worker struct {
	ID, Rack string
	// Pool is the service that the worker belongs to.
	Pool     string
	Labels   []string
	Capacity workflow.Resources
	// Free is what is left beside everything that runs, starts or stops there.
	Free workflow.Resources
	// Usable workers may receive starts.
	Usable bool
	// Slowdown is how many times as long work takes there as on a sound worker; at
	// least 1.
	Slowdown float64
	// Probe limits the worker to one task at a time, to see whether it is sound.
	Probe bool
}

// Group is a set of equal tasks of one step that wait.
type Group struct {
	// Job and ID name the group for the caller and for ties.
	Job string
	ID  workflow.PartID
	// Tasks are the indexes of the waiting tasks.
	Tasks    []int
	Need     workflow.Resources
	Gang     bool
	SameRack bool
	DataRack string
	Label    string
	// Pool is the service whose workers may run the group.
	Pool string
	// MaxPerWorker limits the tasks of the step on a worker; Present counts those
	// that are there already.
	MaxPerWorker int
	Present      map[string]int
	// Avoid lists workers on which the group's tasks failed. They are used only
	// when the other workers could not hold the group.
	Avoid map[string]bool
	// Allowed lists the only workers that may run the group; nil if all may.
	Allowed map[string]bool
	// Expected is the run time of a task on a sound worker near its data, Chain the
	// longest chain of work that the job still has, this step included, and Area
	// the core-seconds of all its remaining work.
	Expected, Chain time.Duration
	Area            float64
	Priority        int
	// Guaranteed work claims capacity that belongs to its account.
	Guaranteed bool
	// Since is when the group became ready, on the clock of Snapshot.Now.
	Since time.Duration
	Value
}

// Value is what the end of a job is worth to its users: Worth until OnTime,
// LateWorth until Late, and nothing later. Times are on the clock of Snapshot.Now.
type Value struct {
	OnTime, Late     time.Duration
	Worth, LateWorth float64
}

// At returns the worth of an end at a time.
func (v *Value) At(end time.Duration) float64 {
	switch {
	case end <= v.OnTime:
		return v.Worth
	case end <= v.Late:
		return v.LateWorth
	}
	return 0
}

// Running is a run that holds capacity.
type Running struct {
	ID     workflow.RunID
	Worker string
	Need   workflow.Resources
	Gang   bool
	// EndsAt is the expected end on the clock of Snapshot.Now.
	EndsAt   time.Duration
	Priority int
	// Guaranteed runs are never stopped for others.
	Guaranteed bool
	Persistent bool
	// Lost is the work that a stop would throw away, in core-seconds, and Redo the
	// run time that the task then needs. Rest is the longest chain of the job's work
	// after this run, Area the core-seconds of the whole job.
	Lost, Area float64
	Redo, Rest time.Duration
	Value
	// Stopping runs give their capacity back soon.
	Stopping bool
	// WorkerEnds is the earliest time at which a draining worker ends, on the clock
	// of Snapshot.Now; 0 for a worker that stays.
	WorkerEnds time.Duration
}

// Snapshot is everything that a decision depends on. It is not changed.
type Snapshot struct {
	Now     time.Duration
	Workers []Worker
	Groups  []Group
	Running []Running
	// StopGrace is the longest time that a stopped task holds its capacity.
	StopGrace time.Duration
	// ReclaimIn is the time from Group.Since within which guaranteed work has to
	// start.
	ReclaimIn time.Duration
	// RemotePenalty is how many times as long a task takes away from its data or
	// spread over racks.
	RemotePenalty float64
}

// Start places a task.
type Start struct {
	Group  int // index in Snapshot.Groups
	Task   int
	Worker string
	// Expected is the run time there.
	Expected time.Duration
}

// Stop ends a run.
type Stop struct {
	Run workflow.RunID
	// For is the index in Snapshot.Groups of the group that gets the room, or
	// WorkerLeaves for a run that starts again elsewhere.
	For int
}

// WorkerLeaves is Stop.For of runs whose worker ends before they could.
const WorkerLeaves = -1

// Reason says why a group waits.
type Reason string

// The reasons.
const (
	WaitsForRoom     Reason = "no_room"    // its tasks do not fit now
	WaitsForRack     Reason = "rack"       // it fits only away from its data or spread, which costs more than waiting
	WaitsForReserved Reason = "reserved"   // the room is kept for work ahead of it
	WaitsForStops    Reason = "preempting" // runs are being stopped for it
	NeverFits        Reason = "never_fits" // no set of workers could hold it
	NoWorker         Reason = "no_worker"  // no worker may run it at present
)

// Plan is a decision. Starts of a gang are complete.
type Plan struct {
	Starts []Start
	Stops  []Stop
	// Waits has the reason for each group of which tasks wait, by index.
	Waits map[int]Reason
}

// Constants of the policy.
const (
	// urgencyScale is the slack, in mean run times, at which a job's urgency has
	// fallen to 1/e: the usual parameter of the apparent tardiness cost rule.
	urgencyScale = 2.0
	// largeTask is the number of GPUs from which a single task gets room kept: it
	// takes half of a worker or more, which small tasks otherwise never leave free.
	largeTask = 4
	// maxReservations bounds the waiting groups for which room is kept, so that a
	// decision stays short.
	maxReservations = 3
	// overdueShare is the part of its expected time that a run is given which has
	// already taken longer than expected.
	overdueShare = 0.25
	minRemaining = 200 * time.Millisecond
)

type node struct{ Worker }

type reservation struct {
	at     time.Duration
	amount map[int]workflow.Resources // by node
}

type planner struct {
	s       *Snapshot
	nodes   []node
	index   map[string]int
	racks   *racks
	total   workflow.Resources
	order   []int
	score   []float64
	plan    *Plan
	held    []reservation
	endings [][]int // running by node, ascending by end
	runNode []int   // node of each run; -1 if its worker is not in the snapshot
	stopped map[workflow.RunID]bool
	// perGPU is the cores (thousandths) and memory (MiB) that tasks want for each GPU.
	perGPU [2]float64

	// What follows is worked out once a decision, at the first use.

	fitting [][]bool // nodes that may run a group, by group
	times   []time.Duration
	costs   []float64 // of a stop, by run
	// changes counts what changes the free or the reserved room, spreads has what
	// was found out of a group at a count of changes.
	changes int
	spreads map[int]spreadResult
}

// Decide returns the plan for the snapshot.
func Decide(s *Snapshot) *Plan {
	own := *s
	own.Groups = slices.Clone(s.Groups)
	s = &own
	p := &planner{
		s: s, plan: &Plan{Waits: map[int]Reason{}}, index: map[string]int{}, stopped: map[workflow.RunID]bool{},
		fitting: make([][]bool, len(s.Groups)), spreads: map[int]spreadResult{},
	}
	for i, w := range s.Workers {
		if w.Slowdown < 1 {
			w.Slowdown = 1
		}
		p.nodes = append(p.nodes, node{w})
		p.index[w.ID] = i
		p.total = p.total.Add(w.Capacity, 1)
	}
	p.racks = newRacks(p.nodes)
	p.endings, p.runNode = make([][]int, len(p.nodes)), make([]int, len(s.Running))
	for i := range s.Running {
		p.runNode[i] = -1
		if n, ok := p.index[s.Running[i].Worker]; ok {
			p.endings[n] = append(p.endings[n], i)
			p.runNode[i] = n
		}
	}
	p.measureDemand()
	for g := range s.Groups {
		p.relax(g)
		p.widen(g)
	}
	p.evacuate()
	p.rank()
	for _, g := range p.order {
		p.place(g)
	}
	return p.plan
}

// tier orders work before its score counts: claims on guarantees, work whose
// answer has a value, and work whose answer has none any more.
func (p *planner) tier(g *Group) int {
	switch {
	case g.Guaranteed:
		return 0
	case p.s.Now+g.Chain <= g.Late:
		return 1
	}
	return 2
}

// rank orders the groups by tier, and within it by worth for each core-second,
// weighed by urgency: the apparent tardiness cost rule with two due dates, the
// end of a job's objective and the end of its value.
func (p *planner) rank() {
	var mean time.Duration
	for i := range p.s.Groups {
		mean += p.s.Groups[i].Chain
	}
	if n := len(p.s.Groups); n > 0 {
		mean = max(mean/time.Duration(n), 1)
	}
	p.score = make([]float64, len(p.s.Groups))
	tiers := make([]int, len(p.s.Groups))
	for i := range p.s.Groups {
		g := &p.s.Groups[i]
		p.order = append(p.order, i)
		tiers[i] = p.tier(g)
		urgency := func(due time.Duration) float64 {
			slack := due - p.s.Now - g.Chain
			if slack < 0 {
				return 0
			}
			return math.Exp(-float64(slack) / (urgencyScale * float64(mean)))
		}
		p.score[i] = (max(g.Worth-g.LateWorth, 0)*urgency(g.OnTime) + g.LateWorth*urgency(g.Late)) / max(g.Area, 1)
	}
	slices.SortFunc(p.order, func(a, b int) int {
		ga, gb := &p.s.Groups[a], &p.s.Groups[b]
		return cmp.Or(cmp.Compare(tiers[a], tiers[b]), cmp.Compare(p.score[b], p.score[a]),
			cmp.Compare(ga.Since, gb.Since), cmp.Compare(ga.Job, gb.Job),
			cmp.Compare(ga.ID.Occurrence, gb.ID.Occurrence), cmp.Compare(ga.ID.Step, gb.ID.Step))
	})
}

// relax lets a group run again on workers where it failed if the others could not
// hold it.
func (p *planner) relax(g int) {
	group := &p.s.Groups[g]
	need := 1
	if group.Gang {
		need = len(group.Tasks)
	}
	if len(group.Avoid) > 0 && p.countRooms(g, p.capacity).total < need {
		group.Avoid, p.fitting[g] = nil, nil
	}
}

// widen takes a gang that wants one rack and fits in none for what it is: work
// that runs for several times as long, and anywhere.
func (p *planner) widen(g int) {
	group := &p.s.Groups[g]
	if !group.Gang || !group.SameRack || p.countRooms(g, p.capacity).mostInRack() >= len(group.Tasks) {
		return
	}
	extra := time.Duration(float64(group.Expected) * (p.s.RemotePenalty - 1))
	group.SameRack = false
	group.Area += group.Area * float64(extra) / float64(max(group.Chain, 1))
	group.Expected, group.Chain = group.Expected+extra, group.Chain+extra
}

// eligible reports whether the worker may run the group's tasks at all.
func (n *node) eligible(g *Group) bool {
	return n.Usable && n.Pool == g.Pool && !g.Avoid[n.ID] && (g.Allowed == nil || g.Allowed[n.ID]) && (g.Label == "" || slices.Contains(n.Labels, g.Label)) && n.Capacity.Fits(g.Need)
}

// eligible reports whether node n may run the tasks of group g at all.
func (p *planner) eligible(g, n int) bool {
	if p.fitting[g] == nil {
		fitting := make([]bool, len(p.nodes))
		for i := range p.nodes {
			fitting[i] = p.nodes[i].eligible(&p.s.Groups[g])
		}
		p.fitting[g] = fitting
	}
	return p.fitting[g][n]
}

// remote reports whether the group's tasks are slowed on the rack.
func remote(g *Group, rack string) bool { return g.DataRack != "" && g.DataRack != rack }

// room returns how many tasks of the group fit on node n now.
func (p *planner) room(g int, n int) int {
	group, w := &p.s.Groups[g], &p.nodes[n]
	if !p.eligible(g, n) {
		return 0
	}
	count := w.Free.Count(group.Need)
	if group.MaxPerWorker > 0 {
		count = min(count, group.MaxPerWorker-group.Present[w.ID])
	}
	if w.Probe {
		if w.Free != w.Capacity {
			return 0
		}
		count = min(count, 1)
	}
	for count > 0 && !p.allowed(group, n, count, p.duration(group, n, false)) {
		count--
	}
	return max(count, 0)
}

// duration is the expected run time of a task of the group on a node.
func (p *planner) duration(g *Group, n int, spread bool) time.Duration {
	d := float64(g.Expected) * p.nodes[n].Slowdown
	if remote(g, p.nodes[n].Rack) || spread && g.SameRack {
		d *= p.s.RemotePenalty
	}
	return time.Duration(d)
}

// allowed reports whether count tasks that run for d leave what is reserved.
func (p *planner) allowed(g *Group, n, count int, d time.Duration) bool {
	for _, r := range p.held {
		amount, ok := r.amount[n]
		if !ok || p.s.Now+d <= r.at {
			continue
		}
		if !p.freeAt(n, r.at).Fits(amount.Add(g.Need, count)) {
			return false
		}
	}
	return true
}

// freeAt returns what is free on a node at a time if runs end as expected.
func (p *planner) freeAt(n int, at time.Duration) workflow.Resources {
	free := p.nodes[n].Free
	for _, i := range p.endings[n] {
		if r := &p.s.Running[i]; p.endOf(r) <= at {
			free = free.Add(r.Need, 1)
		}
	}
	return free
}

// endOf returns the expected end of a run, which lies in the future.
func (p *planner) endOf(r *Running) time.Duration {
	if r.Persistent && !r.Stopping {
		return math.MaxInt64
	}
	return max(r.EndsAt, p.s.Now+minRemaining)
}

func (p *planner) start(g, task, n int, d time.Duration) {
	p.changes++
	p.nodes[n].Free = p.nodes[n].Free.Add(p.s.Groups[g].Need, -1)
	p.plan.Starts = append(p.plan.Starts, Start{Group: g, Task: task, Worker: p.nodes[n].ID, Expected: d})
}
