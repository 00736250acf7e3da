package manifest

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// declaredNames has the names of domains and classes that the hardware section declares.
type declaredNames struct {
	domains map[string]bool
	classes map[string]bool
}

// checkReferences adds the errors that concern more than one field. The schema checks the
// ranges of single fields.
func (f *fieldErrors) checkReferences(m *structs.Manifest) {
	if m.Weights.Completion == 0 && m.Weights.Fragmentation == 0 {
		f.add("weights", "at least one weight must be positive")
	}
	d := f.checkHardware(m.Hardware)
	names := map[string]int{}
	for i, a := range m.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		f.checkUnique(names, a.Name, i, path, "accounts")
		f.checkAccount(path, a, d)
	}
	names = map[string]int{}
	for i, k := range m.Kinds {
		path := fmt.Sprintf("kinds[%d]", i)
		f.checkUnique(names, k.Name, i, path, "kinds")
		f.checkShape(path+".shape", k.Shape)
		f.checkList(path+".classes", "hardware class", k.Classes, d.classes)
	}
}

// checkUnique adds an error if an earlier element of the list has the name of element i.
func (f *fieldErrors) checkUnique(names map[string]int, name string, i int, path, list string) {
	if first, ok := names[name]; ok {
		f.add(path+".name", "name %q is used by %s[%d]", name, list, first)
		return
	}
	names[name] = i
}

// checkHardware checks that each rack is in one zone and each domain in one region, and
// returns the declared names. The scheduler's adjacency rules and the ownership of domains
// depend on that.
func (f *fieldErrors) checkHardware(hardware []structs.Hardware) declaredNames {
	d := declaredNames{domains: map[string]bool{}, classes: map[string]bool{}}
	rackZone, domainRegion, rows := map[string]string{}, map[string]string{}, map[string]int{}
	for i, h := range hardware {
		path := fmt.Sprintf("hardware[%d]", i)
		d.domains[h.Domain], d.classes[h.Class] = true, true
		if r, ok := domainRegion[h.Domain]; ok && r != h.Region {
			f.add(path+".region", "domain %q lies in region %q", h.Domain, r)
		}
		domainRegion[h.Domain] = h.Region
		rack := h.Domain + "/" + h.Rack
		if z, ok := rackZone[rack]; ok && z != h.Zone {
			f.add(path+".zone", "rack %q of domain %q lies in zone %q", h.Rack, h.Domain, z)
		}
		rackZone[rack] = h.Zone
		key := rack + "/" + h.Class
		if first, ok := rows[key]; ok && hardware[first].WorkerCapacity == h.WorkerCapacity {
			f.add(path, "declares the same workers as hardware[%d]", first)
		}
		rows[key] = i
	}
	return d
}

func (f *fieldErrors) checkAccount(path string, a structs.Account, d declaredNames) {
	f.checkList(path+".domains", "domain", a.Domains, d.domains)
	guaranteed := 0
	for i, g := range a.Guarantee {
		p := fmt.Sprintf("%s.guarantee[%d]", path, i)
		f.checkShape(p+".shape", g.Shape)
		if g.Domain != "" && !slices.Contains(a.Domains, g.Domain) {
			f.add(p+".domain", "domain %q is not among the account's domains", g.Domain)
		}
		guaranteed += max(g.Count, 1) * g.Shape.Total()
	}
	if q := a.Quota.Accelerators; q > 0 && guaranteed > q {
		f.add(path+".quota.accelerators", "guarantees of %d accelerators are above the quota of %d", guaranteed, q)
	}
	if a.Quota.Burst > 0 && a.Quota.RatePerSecond == 0 {
		f.add(path+".quota.burst", "has no effect without ratePerSecond")
	}
}

func (f *fieldErrors) checkShape(path string, s structs.Shape) {
	if s.Accelerators == 0 && s.CoresMilli == 0 {
		f.add(path, "needs neither accelerators nor cores")
	}
	if s.Total() > structs.MaxGangAccelerators {
		f.add(path, "%d accelerators are above the limit of %d of a gang", s.Total(), structs.MaxGangAccelerators)
	}
}

// checkList checks that every name in list is declared and occurs only once.
func (f *fieldErrors) checkList(path, what string, list []string, declared map[string]bool) {
	for i, name := range list {
		p := fmt.Sprintf("%s[%d]", path, i)
		if !declared[name] {
			f.add(p, "%s %q is not declared in hardware", what, name)
		} else if slices.Contains(list[:i], name) {
			f.add(p, "%s %q occurs twice", what, name)
		}
	}
}

// normalize changes m so that equal manifests are equal in Go: it sorts accounts and kinds
// by name, and replaces empty lists by nil, as gob does.
func normalize(m *structs.Manifest) {
	m.Hardware = nilIfEmpty(m.Hardware)
	m.Accounts = nilIfEmpty(m.Accounts)
	m.Kinds = nilIfEmpty(m.Kinds)
	slices.SortStableFunc(m.Accounts, func(a, b structs.Account) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(m.Kinds, func(a, b structs.Kind) int { return cmp.Compare(a.Name, b.Name) })
	for i := range m.Accounts {
		m.Accounts[i].Domains = nilIfEmpty(m.Accounts[i].Domains)
		m.Accounts[i].Guarantee = nilIfEmpty(m.Accounts[i].Guarantee)
	}
	for i := range m.Kinds {
		m.Kinds[i].Classes = nilIfEmpty(m.Kinds[i].Classes)
	}
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
