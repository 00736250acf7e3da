package daemon

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"sync"

	"github.com/parsleypier/parsleypier/internal/scheduler/guarantee"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// admission proves that manifests are admissible. It caches the last proof of each
// domain, because most of 12,000 manifest changes a day change neither hardware
// nor guarantees and a proof takes up to 100 ms. It is safe for concurrent use.
type admission struct {
	// prove is guarantee.Admit; tests wrap it.
	prove func(*structs.Manifest) (guarantee.Margin, error)

	mu     sync.Mutex
	proofs map[string]admissionProof // by domain
}

// admissionProof is a successful proof for one domain.
type admissionProof struct {
	inputsDigest [sha256.Size]byte // of proofInputs
	survives     int               // worker losses that the guarantees survive
}

// admit returns, for each domain with a guarantee, the number of worker losses that
// its guarantees survive. It returns the same errors as guarantee.Admit.
func (a *admission) admit(m *structs.Manifest) (map[string]int, error) {
	margin := map[string]int{}
	proven := map[string]admissionProof{}
	for _, domain := range guaranteedDomains(m) {
		inputs := proofInputs(m, domain)
		inputsDigest, err := digestManifest(inputs)
		if err != nil {
			return nil, err
		}
		p, ok := a.cachedProof(domain)
		if !ok || p.inputsDigest != inputsDigest {
			survives, err := a.prove(inputs)
			if err != nil {
				return nil, err
			}
			p = admissionProof{inputsDigest, survives[domain]}
		}
		margin[domain], proven[domain] = p.survives, p
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.proofs = proven
	return margin, nil
}

func (a *admission) cachedProof(domain string) (admissionProof, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.proofs[domain]
	return p, ok
}

// guaranteedDomains returns the domains that have a guarantee, sorted by name.
func guaranteedDomains(m *structs.Manifest) []string {
	var domains []string
	for i := range m.Accounts {
		for j := range m.Accounts[i].Guarantee {
			domains = append(domains, guarantee.DomainOf(&m.Accounts[i], &m.Accounts[i].Guarantee[j]))
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// proofInputs returns a manifest with only what the proof for the domain depends
// on: its hardware and its guarantees. Accounts keep their index because error
// messages contain it.
func proofInputs(m *structs.Manifest, domain string) *structs.Manifest {
	inputs := &structs.Manifest{Accounts: make([]structs.Account, len(m.Accounts))}
	for _, h := range m.Hardware {
		if h.Domain == domain {
			inputs.Hardware = append(inputs.Hardware, h)
		}
	}
	for i := range m.Accounts {
		inputs.Accounts[i].Name = m.Accounts[i].Name
		for _, g := range m.Accounts[i].Guarantee {
			if g.Domain = guarantee.DomainOf(&m.Accounts[i], &g); g.Domain == domain {
				inputs.Accounts[i].Guarantee = append(inputs.Accounts[i].Guarantee, g)
			}
		}
	}
	return inputs
}

// digestManifest returns the SHA-256 of the manifest's JSON encoding.
func digestManifest(m *structs.Manifest) ([sha256.Size]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return [sha256.Size]byte{}, verdict.Refuse(verdict.CodeInternal, "encode manifest: %v", err)
	}
	return sha256.Sum256(data), nil
}
