package packing

import (
	"fmt"
	"math/bits"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// testWorkers returns ready workers with 8 accelerators: for each rack, one worker for
// each mask of busy accelerators.
func testWorkers(racks ...[]uint64) []structs.Worker {
	var out []structs.Worker
	for r, busy := range racks {
		for _, b := range busy {
			out = append(out, structs.Worker{
				ID: fmt.Sprintf("w%d", len(out)), Region: "r", Zone: "z", Rack: fmt.Sprint(r), State: structs.WorkerReady, Busy: b,
				SlotsUsed:      bits.OnesCount64(b),
				WorkerCapacity: structs.WorkerCapacity{Accelerators: 8, CoresMilli: 64000, MemoryMB: 1000, Slots: 9},
			})
		}
	}
	return out
}

// TestStartsFindsFreeRuns checks that Starts returns exactly the positions at which k
// consecutive accelerators are free.
func TestStartsFindsFreeRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, k := rapid.Uint64().Draw(t, "free"), rapid.IntRange(1, 64).Draw(t, "k")
		got := Starts(free, k)
		for at := range 64 {
			want := at+k <= 64
			for i := at; want && i < at+k; i++ {
				want = free&(1<<uint(i)) != 0
			}
			if want != (got&(1<<uint(at)) != 0) {
				t.Fatalf("Starts(%#x, %d) at %d is %v", free, k, at, !want)
			}
		}
	})
}

var strategies = []Strategy{Gradient, Buddy, Remaining}

// TestStrategiesKeepBlocksWhole guards against placing a small job on an empty worker
// while a partly used one has room, and at the wrong end of a run of accelerators.
func TestStrategiesKeepBlocksWhole(t *testing.T) {
	expected := NewExpectedShapes([]ExpectedShape{{1, 8, structs.AdjacentWorker, 8}, {1, 4, structs.AdjacentWorker, 4}, {1, 2, structs.AdjacentWorker, 1}})
	tests := []struct {
		name  string
		racks [][]uint64
		shape structs.Shape
		node  int
		masks []uint64
	}{
		{"broken worker first", [][]uint64{{0x00, 0xfc, 0x00}}, structs.Shape{Workers: 1, Accelerators: 1}, 1, []uint64{1, 2}},
		{"broken pair before whole pair", [][]uint64{{0xc1, 0xc1 &^ 1}}, structs.Shape{Workers: 1, Accelerators: 1, Adjacency: structs.AdjacentWorker}, 0, []uint64{2, 1 << 5}},
		{"aligned half of a worker", [][]uint64{{0x00}}, structs.Shape{Workers: 1, Accelerators: 4, Adjacency: structs.AdjacentWorker}, 0, []uint64{0x0f, 0xf0}},
		{"rack with less room", [][]uint64{{0, 0, 0}, {0xff, 0xff, 0}}, structs.Shape{Workers: 1, Accelerators: 8, Adjacency: structs.AdjacentRack}, 5, []uint64{0xff}},
	}
	for _, tt := range tests {
		for _, st := range strategies {
			state := NewState(testWorkers(tt.racks...))
			state.SetExpectedShapes(expected)
			cells := Chooser{Strategy: st, Mix: expected}.Find(state, &Request{Shape: tt.shape})
			if len(cells) != 1 || cells[0].Node != tt.node || cells[0].Mask != tt.masks[0] && cells[0].Mask != tt.masks[len(tt.masks)-1] {
				t.Errorf("%s, %v: got %+v, want node %d with one of %#x", tt.name, st, cells, tt.node, tt.masks)
			}
		}
	}
}

// TestFindAgainstEnumeration guards against places that violate the limits on cores,
// slots, classes, worker states or holds, and against finding no place for a shape that
// fits.
func TestFindAgainstEnumeration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		racks := make([][]uint64, rapid.IntRange(1, 3).Draw(t, "racks"))
		for r := range racks {
			for range rapid.IntRange(1, 3).Draw(t, "workers") {
				racks[r] = append(racks[r], uint64(rapid.Uint8().Draw(t, "busy")))
			}
		}
		ws := testWorkers(racks...)
		for i := range ws {
			ws[i].CoresUsedMilli = 1000 * rapid.IntRange(0, 64).Draw(t, "cores")
			ws[i].Class = rapid.SampledFrom([]string{"old", "new"}).Draw(t, "class")
			ws[i].State = rapid.SampledFrom([]structs.WorkerState{structs.WorkerReady, structs.WorkerReady, structs.WorkerDraining}).Draw(t, "state")
		}
		req := &Request{Shape: structs.Shape{
			Workers: rapid.IntRange(1, 3).Draw(t, "w"), Accelerators: rapid.IntRange(0, 8).Draw(t, "k"),
			Adjacency:  rapid.SampledFrom([]structs.Adjacency{"", structs.AdjacentNone, structs.AdjacentWorker, structs.AdjacentRack, structs.AdjacentZone}).Draw(t, "adjacency"),
			CoresMilli: 1000 * rapid.IntRange(0, 32).Draw(t, "need"),
		}}
		if rapid.Bool().Draw(t, "classes") {
			req.Classes = []string{"new"}
		}
		if rapid.Bool().Draw(t, "holds") {
			req.Holds = make([]Hold, len(ws))
			req.Holds[0].Mask = 0x0f
		}
		st := NewState(ws)
		cells := Chooser{Strategy: rapid.SampledFrom(strategies).Draw(t, "strategy"), Mix: NewExpectedShapes([]ExpectedShape{{1, 4, structs.AdjacentWorker, 1}})}.Find(st, req)
		if want := placeExists(st, ws, req); want != (cells != nil) {
			t.Fatalf("found cells %+v, but a place exists: %v", cells, want)
		}
		seen := map[int]bool{}
		for _, c := range cells {
			if seen[c.Node] || !nodeFits(st, ws, req, c.Node) || bits.OnesCount64(c.Mask) != req.Shape.Accelerators || c.Mask&^freeMask(st, req, c.Node) != 0 {
				t.Fatalf("cell %+v of %+v violates the request", c, cells)
			}
			if Consecutive(req.Shape.Adjacency) && c.Mask != 0 && Starts(c.Mask, req.Shape.Accelerators) == 0 {
				t.Fatalf("accelerators %#x are not consecutive", c.Mask)
			}
			seen[c.Node] = true
		}
	})
}

// freeMask returns the free accelerators of node i outside the holds.
func freeMask(st *State, r *Request, i int) uint64 {
	free := st.Nodes[i].Free
	if r.Holds != nil {
		free &^= r.Holds[i].Mask
	}
	return free
}

// nodeFits reports whether node i can hold a member of the request.
func nodeFits(st *State, ws []structs.Worker, r *Request, i int) bool {
	w := &ws[i]
	return w.State == structs.WorkerReady && (r.Classes == nil || w.Class == "new") && w.CoresMilli-w.CoresUsedMilli >= r.Shape.CoresMilli && w.SlotsUsed < w.Slots &&
		CanTake(freeMask(st, r, i), r.Shape.Accelerators, Consecutive(r.Shape.Adjacency))
}

// placeExists reports whether any place for the request exists.
func placeExists(st *State, ws []structs.Worker, r *Request) bool {
	count := map[string]int{}
	for i := range ws {
		if nodeFits(st, ws, r, i) {
			key := ""
			if r.Shape.Adjacency == structs.AdjacentRack {
				key = ws[i].Rack
			}
			if count[key]++; count[key] == r.Shape.Workers {
				return true
			}
		}
	}
	return false
}

// TestGradientKeepsRacksAndMovableWorkersWhole guards against placing a small job on
// one of only two workers of a rack, which breaks the pair, while another rack has a
// spare worker. It also guards against placing a job that cannot be moved on a worker
// from which all other gangs could be moved.
func TestGradientKeepsRacksAndMovableWorkersWhole(t *testing.T) {
	expected := NewExpectedShapes([]ExpectedShape{{2, 8, structs.AdjacentRack, 1}})
	st := NewState(testWorkers([]uint64{0, 0}, []uint64{0, 0, 0}))
	st.SetExpectedShapes(expected)
	cells := Chooser{Mix: expected}.Find(st, &Request{Shape: structs.Shape{Workers: 1, Accelerators: 1}})
	if len(cells) != 1 || cells[0].Node < 2 {
		t.Errorf("got %+v, want a worker of the rack of three", cells)
	}
	st = NewState(testWorkers([]uint64{0x0f, 0x0f}))
	st.SetMovable([]Cell{{Node: 0, Mask: 0x0f}})
	expected = NewExpectedShapes([]ExpectedShape{{1, 8, structs.AdjacentWorker, 1}})
	st.SetExpectedShapes(expected)
	cells = Chooser{Mix: expected}.Find(st, &Request{Shape: structs.Shape{Workers: 1, Accelerators: 1}, Fixed: true})
	if len(cells) != 1 || cells[0].Node != 1 {
		t.Errorf("got %+v, want the worker whose gang cannot be moved", cells)
	}
}
