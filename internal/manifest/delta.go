package manifest

import (
	"reflect"
	"slices"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// clone returns a normalized copy of m. The copy shares only the lists inside accounts
// and kinds, which are never modified.
func clone(m *structs.Manifest) *structs.Manifest {
	c := *m
	c.Hardware = slices.Clone(m.Hardware)
	c.Accounts = slices.Clone(m.Accounts)
	c.Kinds = slices.Clone(m.Kinds)
	normalize(&c)
	return &c
}

// Diff returns the changes from old to new. A nil old is the empty manifest. Diff does
// not modify the manifests.
func Diff(old, new *structs.Manifest) *structs.ManifestDelta {
	if old == nil {
		old = &structs.Manifest{}
	}
	old, new = clone(old), clone(new)
	d := &structs.ManifestDelta{
		From: old.Version, To: new.Version, Parent: new.Parent,
		APIVersion: new.APIVersion, Deployment: new.Deployment, Weights: new.Weights, Limits: new.Limits,
	}
	if !reflect.DeepEqual(old.Hardware, new.Hardware) {
		d.HardwareChanged, d.Hardware = true, new.Hardware
	}
	d.PutAccounts, d.DropAccounts = diffNamed(old.Accounts, new.Accounts, accountName)
	d.PutKinds, d.DropKinds = diffNamed(old.Kinds, new.Kinds, kindName)
	return d
}

func accountName(a structs.Account) string { return a.Name }
func kindName(k structs.Kind) string       { return k.Name }

// diffNamed returns the elements of new that are not in old or differ, and the names of
// those that are only in old.
func diffNamed[T any](old, new []T, name func(T) string) (put []T, drop []string) {
	before := make(map[string]T, len(old))
	for _, o := range old {
		before[name(o)] = o
	}
	for _, n := range new {
		o, ok := before[name(n)]
		if !ok || !reflect.DeepEqual(o, n) {
			put = append(put, n)
		}
		delete(before, name(n))
	}
	for _, o := range old {
		if _, removed := before[name(o)]; removed {
			drop = append(drop, name(o))
		}
	}
	return put, drop
}

// Patch returns the result of applying delta to old, which it does not modify. A nil
// old is the empty manifest. Patch fails with CodeStaleVersion if delta starts at
// another version than old. A delta from version 0 replaces any manifest.
func Patch(old *structs.Manifest, delta *structs.ManifestDelta) (*structs.Manifest, error) {
	if old == nil || delta.From == 0 {
		old = &structs.Manifest{}
	}
	if delta.From != old.Version {
		return nil, verdict.Refuse(verdict.CodeStaleVersion, "delta from version %d does not apply to version %d", delta.From, old.Version)
	}
	m := clone(old)
	m.Version, m.Parent = delta.To, delta.Parent
	m.APIVersion, m.Deployment = delta.APIVersion, delta.Deployment
	m.Weights, m.Limits = delta.Weights, delta.Limits
	if delta.HardwareChanged {
		m.Hardware = slices.Clone(delta.Hardware)
	}
	m.Accounts = patchNamed(m.Accounts, delta.PutAccounts, delta.DropAccounts, accountName)
	m.Kinds = patchNamed(m.Kinds, delta.PutKinds, delta.DropKinds, kindName)
	normalize(m)
	return m, nil
}

// patchNamed returns list with the elements of put added or replaced, and those named
// in drop removed.
func patchNamed[T any](list, put []T, drop []string, name func(T) string) []T {
	remove := make(map[string]bool, len(drop)+len(put))
	for _, n := range drop {
		remove[n] = true
	}
	for _, p := range put {
		remove[name(p)] = true
	}
	list = slices.DeleteFunc(list, func(t T) bool { return remove[name(t)] })
	return append(list, put...)
}
