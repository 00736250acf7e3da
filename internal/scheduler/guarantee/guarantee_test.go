package guarantee

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleypier/parsleypier/internal/seedtest"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// rackHardware declares a rack of 8-accelerator workers for each size.
func rackHardware(sizes ...int) []structs.Hardware {
	var hw []structs.Hardware
	for i, n := range sizes {
		hw = append(hw, structs.Hardware{
			Domain: "d", Region: "r", Zone: string(rune('a' + i%3)), Rack: string(rune('A' + i)), Workers: n,
			WorkerCapacity: structs.WorkerCapacity{Accelerators: 8, CoresMilli: 64000, MemoryMB: 256000, Slots: 8},
		})
	}
	return hw
}

func testAccount(name string, gs ...structs.Guarantee) structs.Account {
	return structs.Account{Name: name, Domains: []string{"d"}, Guarantee: gs}
}

func guaranteeOf(count, workers, accelerators int, a structs.Adjacency) structs.Guarantee {
	return structs.Guarantee{Count: count, Shape: structs.Shape{Workers: workers, Accelerators: accelerators, Adjacency: a, CoresMilli: 4000}}
}

// TestAdmitMargin guards against admitting guarantees that do not pack, refusing
// guarantees that do, and reporting a wrong margin.
func TestAdmitMargin(t *testing.T) {
	tests := []struct {
		name     string
		hardware []structs.Hardware
		accounts []structs.Account
		margin   int
		refused  string // text that the error must contain; empty if admitted
	}{
		{"nothing guaranteed fits", rackHardware(1), []structs.Account{testAccount("a")}, 0, ""},
		{"one worker of eleven", rackHardware(3, 3, 3, 2), []structs.Account{testAccount("a", guaranteeOf(1, 1, 8, structs.AdjacentWorker))}, 10, ""},
		{"two racks needed for two rack shapes", rackHardware(3, 3, 3, 2), []structs.Account{testAccount("a", guaranteeOf(2, 3, 8, structs.AdjacentRack))}, 1, ""},
		{"all racks needed", rackHardware(3, 3), []structs.Account{testAccount("a", guaranteeOf(1, 3, 8, structs.AdjacentRack)), testAccount("b", guaranteeOf(1, 3, 8, structs.AdjacentRack))}, 0, ""},
		{"halves share a worker", rackHardware(1), []structs.Account{testAccount("a", guaranteeOf(1, 1, 4, structs.AdjacentWorker)), testAccount("b", guaranteeOf(1, 1, 4, structs.AdjacentWorker))}, 0, ""},
		{"single workers must leave the small rack to the rack shapes", rackHardware(2, 3), []structs.Account{
			testAccount("a", guaranteeOf(1, 2, 4, structs.AdjacentRack)), testAccount("b", guaranteeOf(2, 1, 8, structs.AdjacentWorker), guaranteeOf(1, 2, 4, structs.AdjacentRack)), testAccount("c", guaranteeOf(1, 2, 4, structs.AdjacentRack))}, 0, ""},
		{"too many accelerators", rackHardware(2), []structs.Account{testAccount("a", guaranteeOf(1, 1, 8, structs.AdjacentWorker)), testAccount("b", guaranteeOf(2, 1, 8, structs.AdjacentWorker))}, 0, "account b"},
		{"enough accelerators, no rack", rackHardware(2, 2), []structs.Account{testAccount("big", guaranteeOf(1, 3, 8, structs.AdjacentRack))}, 0, "3 workers with 8 accelerators each, adjacency rack"},
		{"cores run out", rackHardware(1), []structs.Account{testAccount("a", structs.Guarantee{Count: 2, Shape: structs.Shape{Workers: 1, Accelerators: 1, CoresMilli: 40000}})}, 0, "account a"},
		{"other domain", rackHardware(1), []structs.Account{testAccount("a", structs.Guarantee{Domain: "e", Shape: structs.Shape{Workers: 1, Accelerators: 1}})}, 0, "domain e"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			margin, err := Admit(&structs.Manifest{Hardware: tt.hardware, Accounts: tt.accounts})
			if tt.refused != "" {
				if !verdict.HasCode(err, verdict.CodeInadmissible) || !strings.Contains(err.Error(), tt.refused) {
					t.Fatalf("error %v, want inadmissible with %q", err, tt.refused)
				}
				return
			}
			if err != nil || margin["d"] != tt.margin {
				t.Fatalf("margin %v, error %v, want %d", margin, err, tt.margin)
			}
		})
	}
}

// TestEqualUnitsShareTheWorkerOfASmallRack guards against a packing that is not found: equal units of
// one worker are tried in the order of nodes, and a rack has fewer workers than the last one's index.
func TestEqualUnitsShareTheWorkerOfASmallRack(t *testing.T) {
	accounts := []structs.Account{
		testAccount("a", guaranteeOf(1, 2, 1, structs.AdjacentRack)), testAccount("b", guaranteeOf(2, 2, 4, structs.AdjacentZone)),
		testAccount("c", guaranteeOf(2, 1, 4, structs.AdjacentRack)),
	}
	p, _ := declaredProblem(rackHardware(1, 1, 3, 2), "d")
	for _, lost := range []int{0, 6} {
		p.Sites[lost].Avail, p.Sites[lost].Slots = 0, 0
	}
	if blocks, res := p.Pack(UnitsOf(accounts, "d"), admitSearchSteps); res != Packed {
		t.Errorf("result %v with the blocks %+v, want a packing", res, blocks)
	}
}

// TestAdmittedGuaranteesPackWithinMargin guards against packings with overlapping or
// malformed blocks, and against margins that the loss of some set of workers disproves.
func TestAdmittedGuaranteesPackWithinMargin(t *testing.T) {
	rapid.Check(t, checkAdmittedGuaranteesPack)
}

// failedPackSeeds are seeds with which TestAdmittedGuaranteesPackWithinMargin has failed.
var failedPackSeeds = []string{"5010921908756245867"}

// TestAdmittedGuaranteesPackSeeds runs TestAdmittedGuaranteesPackWithinMargin with the seeds
// in failedPackSeeds.
func TestAdmittedGuaranteesPackSeeds(t *testing.T) {
	seedtest.Run(t, failedPackSeeds, checkAdmittedGuaranteesPack)
}

func checkAdmittedGuaranteesPack(t *rapid.T) {
	sizes := rapid.SliceOfN(rapid.IntRange(1, 3), 1, 4).Draw(t, "racks")
	var accounts []structs.Account
	for _, name := range []string{"a", "b", "c"} {
		accounts = append(accounts, testAccount(name, guaranteeOf(rapid.IntRange(1, 2).Draw(t, "count"), rapid.IntRange(1, 2).Draw(t, "workers"),
			rapid.IntRange(1, 8).Draw(t, "accelerators"), rapid.SampledFrom([]structs.Adjacency{structs.AdjacentNone, structs.AdjacentWorker, structs.AdjacentRack, structs.AdjacentZone}).Draw(t, "adjacency"))))
	}
	m := &structs.Manifest{Hardware: rackHardware(sizes...), Accounts: accounts}
	margin, err := Admit(m)
	if err != nil {
		return
	}
	p, _ := declaredProblem(m.Hardware, "d")
	units := UnitsOf(accounts, "d")
	blocks, res := p.Pack(units, admitSearchSteps)
	if res != Packed {
		t.Fatalf("guarantees are admitted but do not pack")
	}
	used := map[int]uint64{}
	for i, b := range blocks {
		seen := map[int]bool{}
		for _, c := range b.Cells {
			if used[c.Node]&c.Mask != 0 || seen[c.Node] {
				t.Fatalf("block %d overlaps another: %+v", i, blocks)
			}
			seen[c.Node] = true
			used[c.Node] |= c.Mask
			if b.Shape.Adjacency == structs.AdjacentRack && p.Sites[c.Node].Rack != p.Sites[b.Cells[0].Node].Rack {
				t.Fatalf("block %d spans racks: %+v", i, b)
			}
		}
		if len(b.Cells) != b.Shape.Workers {
			t.Fatalf("block %d has %d cells, want %d", i, len(b.Cells), b.Shape.Workers)
		}
	}
	for range margin["d"] {
		lost := rapid.IntRange(0, len(p.Sites)-1).Draw(t, "lost")
		p.Sites[lost].Avail, p.Sites[lost].Slots = 0, 0
	}
	if _, res := p.Pack(units, admitSearchSteps); res != Packed {
		t.Fatalf("margin %v, but the guarantees do not pack after the loss", margin)
	}
}

// BenchmarkAdmit admits a manifest of the design size: a domain of 126 workers in 42
// racks, and 57 client accounts with one guarantee each.
func BenchmarkAdmit(b *testing.B) {
	m := &structs.Manifest{}
	for r := range 42 {
		m.Hardware = append(m.Hardware, structs.Hardware{
			Domain: "d", Region: "r", Zone: "z", Rack: fmt.Sprint(r), Workers: 3,
			WorkerCapacity: structs.WorkerCapacity{Accelerators: 1 + r%11/10, CoresMilli: 64000, MemoryMB: 1 << 18, Slots: 32},
		})
	}
	shape := structs.Shape{Workers: 1, Accelerators: 1, CoresMilli: 1000, MemoryMB: 1000}
	for a := range 57 {
		m.Accounts = append(m.Accounts, structs.Account{Name: fmt.Sprint(a), Domains: []string{"d"}, Guarantee: []structs.Guarantee{{Shape: shape}}})
	}
	for b.Loop() {
		if _, err := Admit(m); err != nil {
			b.Fatal(err)
		}
	}
}
