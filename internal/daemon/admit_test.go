package daemon

import (
	"maps"
	"testing"

	"github.com/parsleypier/parsleypier/internal/scheduler/guarantee"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

func testManifest() *structs.Manifest {
	one := structs.Shape{Workers: 1, Accelerators: 1}
	capacity := structs.WorkerCapacity{Accelerators: 2, CoresMilli: 1000, MemoryMB: 1000, Slots: 2}
	return &structs.Manifest{
		Hardware: []structs.Hardware{
			{Domain: "a", Zone: "z1", Rack: "r1", Workers: 3, WorkerCapacity: capacity},
			{Domain: "b", Zone: "z2", Rack: "r2", Workers: 2, WorkerCapacity: capacity},
		},
		Accounts: []structs.Account{
			{Name: "x", Domains: []string{"a"}, Guarantee: []structs.Guarantee{{Shape: one}, {Domain: "b", Shape: one, Count: 2}}},
			{Name: "y", Domains: []string{"b", "a"}, Guarantee: []structs.Guarantee{{Shape: one}}},
		},
	}
}

// Guards against a cached proof that is used for a manifest with other guarantees
// or hardware, and against a repeated proof if neither has changed.
func TestAdmissionProvesOnlyChangedDomains(t *testing.T) {
	proofs := 0
	a := &admission{prove: func(m *structs.Manifest) (guarantee.Margin, error) {
		proofs++
		return guarantee.Admit(m)
	}}
	steps := []struct {
		name   string
		change func(*structs.Manifest)
		proofs int
	}{
		{"first", func(*structs.Manifest) {}, 2},
		{"weight and quota", func(m *structs.Manifest) { m.Accounts[0].Weight, m.Accounts[1].Quota.MaxWaiting = 4, 9 }, 0},
		{"hardware of one domain", func(m *structs.Manifest) { m.Hardware[0].Workers = 2 }, 1},
		{"hardware is back", func(*structs.Manifest) {}, 1},
		{"guarantee in one domain", func(m *structs.Manifest) { m.Accounts[1].Guarantee[0].Count = 2 }, 1},
		{"first domain of an account", func(m *structs.Manifest) { m.Accounts[1].Domains = []string{"a", "b"} }, 2},
	}
	for _, s := range steps {
		m := testManifest()
		s.change(m)
		proofs = 0
		got, err := a.admit(m)
		if err != nil {
			t.Fatal(err)
		}
		if proofs != s.proofs {
			t.Errorf("%s: %d proofs, want %d", s.name, proofs, s.proofs)
		}
		want, err := guarantee.Admit(m)
		if err != nil || !maps.Equal(got, want) {
			t.Errorf("%s: survives %v, want %v (%v)", s.name, got, want, err)
		}
	}
	m := testManifest()
	m.Accounts[1].Guarantee[0].Count = 5
	for range 2 {
		_, err := a.admit(m)
		if _, want := guarantee.Admit(m); !verdict.HasCode(err, verdict.CodeInadmissible) || err.Error() != want.Error() {
			t.Errorf("error %v, want %v", err, want)
		}
	}
}
