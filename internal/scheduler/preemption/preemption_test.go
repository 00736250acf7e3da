package preemption

import (
	"slices"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// TestLostWorkPrefersCheckpointedAndYoung guards against stopping a long-running
// idempotent gang when a checkpointable or a younger one is enough.
func TestLostWorkPrefersCheckpointedAndYoung(t *testing.T) {
	gang := func(checkpointable bool, ran, since time.Duration) *structs.RunningGang {
		return &structs.RunningGang{
			Shape: structs.Shape{Workers: 1, Accelerators: 2}, Checkpointable: checkpointable, Idempotent: true,
			Started: time.Hour - ran, CheckpointedAt: time.Hour - since,
		}
	}
	falling := []*structs.RunningGang{
		gang(false, 50*time.Minute, 50*time.Minute), gang(false, 10*time.Minute, 10*time.Minute),
		gang(true, 50*time.Minute, 50*time.Minute), gang(true, 50*time.Minute, time.Minute),
	}
	for i := 1; i < len(falling); i++ {
		if a, b := LostWork(falling[i-1], time.Hour), LostWork(falling[i], time.Hour); a <= b {
			t.Errorf("gang %d loses %.0f, gang %d loses %.0f; want the second to lose less", i-1, a, i, b)
		}
	}
}

// TestFindSelectsCheapestVictims guards against stopping gangs that are not needed or
// cost more than others, and against places that lack cores after the stop.
func TestFindSelectsCheapestVictims(t *testing.T) {
	worker := func(id string, busy uint64, cores int) structs.Worker {
		return structs.Worker{ID: id, Rack: "k", State: structs.WorkerReady, Busy: busy, CoresUsedMilli: cores,
			WorkerCapacity: structs.WorkerCapacity{Accelerators: 8, CoresMilli: 10000, MemoryMB: 100, Slots: 8}}
	}
	one := structs.Shape{Workers: 1, Accelerators: 4, CoresMilli: 1000}
	state := packing.NewState([]structs.Worker{worker("w0", 0xff, 8000), worker("w1", 0xff, 9000)})
	victims := []Victim{
		{Gang: 0, Cells: []packing.Cell{{Node: 0, Mask: 0x0f}}, Shape: one, Cost: 5},
		{Gang: 1, Cells: []packing.Cell{{Node: 0, Mask: 0xf0}}, Shape: structs.Shape{Workers: 1, Accelerators: 4, CoresMilli: 7000}, Cost: 50},
		{Gang: 2, Cells: []packing.Cell{{Node: 1, Mask: 0x0f}}, Shape: one, Cost: 20},
	}
	tests := []struct {
		name    string
		shape   structs.Shape
		victims []int
	}{
		{"cheapest only", structs.Shape{Workers: 1, Accelerators: 4, Adjacency: structs.AdjacentWorker, CoresMilli: 1000}, []int{0}},
		{"part of a victim", structs.Shape{Workers: 1, Accelerators: 1}, []int{0}},
		{"both of a worker", structs.Shape{Workers: 1, Accelerators: 8, Adjacency: structs.AdjacentWorker}, []int{0, 1}},
		{"another for its cores", structs.Shape{Workers: 1, Accelerators: 4, Adjacency: structs.AdjacentWorker, CoresMilli: 5000}, []int{1}},
		{"two workers", structs.Shape{Workers: 2, Accelerators: 4, Adjacency: structs.AdjacentRack}, []int{0, 2}},
		{"no place", structs.Shape{Workers: 2, Accelerators: 8, Adjacency: structs.AdjacentRack}, nil},
	}
	for _, tt := range tests {
		p := NewFinder(state, victims).Find(&packing.Request{Shape: tt.shape}, nil)
		if p == nil {
			if tt.victims != nil {
				t.Errorf("%s: no place found", tt.name)
			}
			continue
		}
		slices.Sort(p.Victims)
		if !slices.Equal(p.Victims, tt.victims) {
			t.Errorf("%s: victims %v, want %v", tt.name, p.Victims, tt.victims)
		}
	}
}
