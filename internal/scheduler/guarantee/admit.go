package guarantee

import (
	"fmt"
	"slices"

	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Margin maps each domain to the number of workers that it can lose, whichever they
// are, with all guarantees still packing. Domains without a guarantee are left out.
type Margin map[string]int

// admitSearchSteps bounds the steps of the search for a packing at admission.
const admitSearchSteps = 200_000

// Admit checks that the guarantees of all accounts pack at once, each in its domain,
// onto the declared hardware, and returns the margin. Otherwise the error is a
// *verdict.Error with the code inadmissible that names an account and a shape that
// did not fit.
func Admit(m *structs.Manifest) (Margin, error) {
	margin := Margin{}
	units, names := unitsByDomain(m)
	for _, domain := range names {
		p, kinds := declaredProblem(m.Hardware, domain)
		blocks, res := p.Pack(units[domain], admitSearchSteps)
		if res != Packed {
			return nil, inadmissibleError(m, domain, blocks)
		}
		margin[domain] = survivableLosses(p, kinds, units[domain])
	}
	return margin, nil
}

// unitsByDomain returns the guaranteed units by domain, and the sorted names of the
// domains.
func unitsByDomain(m *structs.Manifest) (map[string][]Unit, []string) {
	units := map[string][]Unit{}
	var names []string
	for a := range m.Accounts {
		acct := &m.Accounts[a]
		for _, g := range acct.Guarantee {
			d := DomainOf(acct, &g)
			if _, ok := units[d]; !ok {
				names = append(names, d)
			}
			units[d] = appendUnits(units[d], a, &g)
		}
	}
	slices.Sort(names)
	return units, names
}

// DomainOf returns the domain of a guarantee of the account. A guarantee that names
// none belongs to the account's first domain.
func DomainOf(a *structs.Account, g *structs.Guarantee) string {
	if g.Domain == "" && len(a.Domains) > 0 {
		return a.Domains[0]
	}
	return g.Domain
}

// appendUnits appends the units of g; a count below 1 means one unit.
func appendUnits(units []Unit, account int, g *structs.Guarantee) []Unit {
	for range max(g.Count, 1) {
		units = append(units, Unit{Account: account, Shape: g.Shape})
	}
	return units
}

// UnitsOf returns the guaranteed units of all accounts in the domain.
func UnitsOf(accounts []structs.Account, domain string) []Unit {
	var units []Unit
	for a := range accounts {
		for i := range accounts[a].Guarantee {
			if g := &accounts[a].Guarantee[i]; DomainOf(&accounts[a], g) == domain {
				units = appendUnits(units, a, g)
			}
		}
	}
	return units
}

// inadmissibleError returns the error for the first block without cells.
func inadmissibleError(m *structs.Manifest, domain string, blocks []Block) error {
	for i := range blocks {
		b := &blocks[i]
		if b.Cells != nil {
			continue
		}
		name := m.Accounts[b.Account].Name
		e := verdict.Refuse(verdict.CodeInadmissible,
			"guarantee of account %s does not fit in domain %s together with the other guarantees: %s",
			name, domain, describeShape(b.Shape))
		e.Field = fmt.Sprintf("accounts[%d].guarantee", b.Account)
		return e.WithRemedy("lower a guarantee, or declare more hardware in the domain")
	}
	return verdict.Refuse(verdict.CodeInadmissible, "guarantees do not fit in domain %s", domain)
}

func describeShape(s structs.Shape) string {
	a := s.Adjacency
	if a == "" {
		a = structs.AdjacentNone
	}
	return fmt.Sprintf("%d workers with %d accelerators each, adjacency %s", s.Workers, s.Accelerators, a)
}

// declaredProblem returns a problem with the declared hardware of the domain, all of
// it free. kinds has for each site the index of its hardware entry; sites with the
// same index are interchangeable.
func declaredProblem(hardware []structs.Hardware, domain string) (*Problem, []int) {
	var workers []structs.Worker
	var kinds []int
	for i := range hardware {
		h := &hardware[i]
		if h.Domain != domain {
			continue
		}
		for range h.Workers {
			workers = append(workers, structs.Worker{
				Region: h.Region, Zone: h.Zone, Rack: h.Rack, State: structs.WorkerReady, WorkerCapacity: h.WorkerCapacity,
			})
			kinds = append(kinds, i)
		}
	}
	st := packing.NewState(workers)
	p := &Problem{Sites: make([]Site, len(workers)), Racks: st.Racks, Zones: st.Zones}
	for i := range st.Nodes {
		n := &st.Nodes[i]
		p.Sites[i] = Site{Rack: n.Rack, Zone: n.Zone, Avail: n.Free, Cores: n.Cores, Memory: n.Memory, Slots: n.Slots}
	}
	return p, kinds
}
