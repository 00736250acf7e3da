// Package preemption chooses the running gangs to stop for a job, with the least lost
// work.
package preemption

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Cost parameters, in accelerator seconds for each accelerator of a gang.
const (
	// stopCostSeconds is the cost of stopping a gang and starting it again.
	stopCostSeconds = 3
	// forcedStopLossFraction is the fraction of the work since the last checkpoint that
	// counts as lost for a checkpointable gang, because a forced stop loses that work.
	forcedStopLossFraction = 0.02
	// unneededStopCostSeconds is the cost of each stopped accelerator that the job does
	// not need. It avoids stopping a large gang for a small job.
	unneededStopCostSeconds = 20
)

// LostWork returns the accelerator seconds that stopping the gang is expected
// to lose.
func LostWork(g *structs.RunningGang, now time.Duration) float64 {
	since := max(0, now-g.CheckpointedAt).Seconds()
	total := float64(max(1, g.Shape.Total()))
	if g.Checkpointable {
		return total * (stopCostSeconds + forcedStopLossFraction*since)
	}
	return total * (stopCostSeconds + max(0, now-g.Started).Seconds())
}

// Victim is a running gang that may be stopped.
type Victim struct {
	Gang  int // index into the snapshot's running gangs
	Cells []packing.Cell
	Shape structs.Shape
	// Cost is the lost work in accelerator seconds; 0 for a gang that is already
	// stopping.
	Cost float64
}

// Finder searches for the place of a shape whose victims lose the least work.
type Finder struct {
	State   *packing.State
	Victims []Victim

	victimsByNode [][]int32
}

// NewFinder returns a finder that may stop the victims.
func NewFinder(state *packing.State, victims []Victim) *Finder {
	f := &Finder{State: state, Victims: victims, victimsByNode: make([][]int32, len(state.Nodes))}
	for v := range victims {
		for _, c := range victims[v].Cells {
			f.victimsByNode[c.Node] = append(f.victimsByNode[c.Node], int32(v))
		}
	}
	return f
}

// Place is a place for a shape that is free once the victims have stopped.
type Place struct {
	Cells   []packing.Cell
	Victims []int // indices into Finder.Victims
	Cost    float64
}

// nodeOption is a place for one member on a node.
type nodeOption struct {
	node    int
	mask    uint64
	victims []int32
	cost    float64
}

// Find returns the cheapest place, or nil if there is none. If within is not nil, only
// its accelerators, by node, are used.
func (f *Finder) Find(r *packing.Request, within []uint64) *Place {
	groups := f.State.Groups(r.Shape.Adjacency)
	if groups == nil {
		all := make([]int32, len(f.State.Nodes))
		for i := range all {
			all[i] = int32(i)
		}
		groups = [][]int32{all}
	}
	var best *Place
	for _, g := range groups {
		var options []nodeOption
		for _, i := range g {
			if o, ok := f.cheapestOnNode(r, int(i), within); ok {
				options = append(options, o)
			}
		}
		if len(options) < r.Shape.Workers {
			continue
		}
		slices.SortFunc(options, func(a, b nodeOption) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.node, b.node))
		})
		p := f.mergeOptions(options[:r.Shape.Workers])
		if best == nil || p.Cost < best.Cost {
			best = p
		}
	}
	return best
}

// mergeOptions returns the place made of the options of all members. The cost of each
// victim counts once.
func (f *Finder) mergeOptions(options []nodeOption) *Place {
	p := &Place{}
	unneeded := 0 // stopped accelerators that the job does not need
	for _, o := range options {
		p.Cells = append(p.Cells, packing.Cell{Node: o.node, Mask: o.mask})
		for _, v := range o.victims {
			if !slices.Contains(p.Victims, int(v)) {
				p.Victims = append(p.Victims, int(v))
				p.Cost += f.Victims[v].Cost
				if f.Victims[v].Cost > 0 {
					unneeded += f.Victims[v].Shape.Total()
				}
			}
			unneeded -= bits.OnesCount64(f.victimMask(int(v), o.node) & o.mask)
		}
	}
	p.Cost += unneededStopCostSeconds * float64(max(0, unneeded))
	return p
}

// cheapestOnNode returns the cheapest place for a member on node i.
func (f *Finder) cheapestOnNode(r *packing.Request, i int, within []uint64) (nodeOption, bool) {
	n := &f.State.Nodes[i]
	if n.State != structs.WorkerReady || !packing.Suits(r.Classes, n.Class) || slices.Contains(r.Avoid, n.ID) {
		return nodeOption{}, false
	}
	avail := n.Free
	for _, v := range f.victimsByNode[i] {
		avail |= f.victimMask(int(v), i)
	}
	if r.Holds != nil {
		avail &^= r.Holds[i].Mask
	}
	if within != nil {
		avail &= within[i]
	}
	k := r.Shape.Accelerators
	if bits.OnesCount64(avail) < k {
		return nodeOption{}, false
	}
	if k == 0 || !packing.Consecutive(r.Shape.Adjacency) {
		return f.victimsFor(r, i, f.cheapestMask(avail, i, k))
	}
	best, found := nodeOption{cost: math.Inf(1)}, false
	for starts := packing.Starts(avail, k); starts != 0; starts &= starts - 1 {
		m := packing.AllMask(k) << uint(bits.TrailingZeros64(starts))
		if o, ok := f.victimsFor(r, i, m); ok && o.cost < best.cost {
			best, found = o, true
		}
	}
	return best, found
}

// victimMask returns the accelerators of victim v on node i.
func (f *Finder) victimMask(v, i int) uint64 {
	var m uint64
	for _, c := range f.Victims[v].Cells {
		if c.Node == i {
			m |= c.Mask
		}
	}
	return m
}

// cheapestMask returns k accelerators of node i within avail: free ones first, then
// those of the cheapest victims.
func (f *Finder) cheapestMask(avail uint64, i, k int) uint64 {
	mask := packing.Lowest(avail&f.State.Nodes[i].Free, k)
	vs := slices.Clone(f.victimsByNode[i])
	slices.SortFunc(vs, func(a, b int32) int {
		return cmp.Or(cmp.Compare(f.Victims[a].Cost, f.Victims[b].Cost), cmp.Compare(a, b))
	})
	for _, v := range vs {
		mask |= packing.Lowest(avail&f.victimMask(int(v), i), k-bits.OnesCount64(mask))
	}
	return mask
}

// victimsFor returns the option for a member on mask of node i. Its victims are the
// gangs that use an accelerator of mask, and the cheapest others until cores, memory
// and slots suffice; ok is false if they never do.
func (f *Finder) victimsFor(r *packing.Request, i int, mask uint64) (nodeOption, bool) {
	n := &f.State.Nodes[i]
	o := nodeOption{node: i, mask: mask}
	cores, memory, slots := n.Cores, n.Memory, n.Slots
	if r.Holds != nil {
		cores, memory, slots = cores-r.Holds[i].Cores, memory-r.Holds[i].Memory, slots-r.Holds[i].Slots
	}
	add := func(v int32) {
		o.victims = append(o.victims, v)
		o.cost += f.Victims[v].Cost
		if f.Victims[v].Cost > 0 {
			o.cost += unneededStopCostSeconds * float64(f.Victims[v].Shape.Total()-bits.OnesCount64(f.victimMask(int(v), i)&mask))
		}
		cores += f.Victims[v].Shape.CoresMilli
		memory += f.Victims[v].Shape.MemoryMB
		slots++
	}
	for _, v := range f.victimsByNode[i] {
		if f.victimMask(int(v), i)&mask != 0 {
			add(v)
		}
	}
	enough := func() bool {
		return cores >= r.Shape.CoresMilli && memory >= r.Shape.MemoryMB && slots >= 1
	}
	if !enough() {
		rest := slices.Clone(f.victimsByNode[i])
		slices.SortFunc(rest, func(a, b int32) int {
			return cmp.Or(cmp.Compare(f.Victims[a].Cost, f.Victims[b].Cost), cmp.Compare(a, b))
		})
		for _, v := range rest {
			if !enough() && !slices.Contains(o.victims, v) {
				add(v)
			}
		}
	}
	return o, enough()
}
