package manifest

import (
	"sync"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// maxRecentVersions is the number of versions that a Holder keeps in order to compute
// deltas from them. At 12,000 changes a day in bursts, a process that polls every
// second is rarely more than a few versions behind.
const maxRecentVersions = 32

// Holder holds the manifest in force, whose version only increases. It is safe for
// concurrent use. The zero value has no manifest.
type Holder struct {
	mu     sync.Mutex
	recent []*structs.Manifest               // oldest first; the last one is in force
	deltas map[uint64]*structs.ManifestDelta // cached deltas to the version in force, by start version
	subs   map[chan struct{}]struct{}
}

// Current returns the manifest in force, or nil if there is none. The caller must not
// modify it.
func (h *Holder) Current() *structs.Manifest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.currentLocked()
}

func (h *Holder) currentLocked() *structs.Manifest {
	if len(h.recent) == 0 {
		return nil
	}
	return h.recent[len(h.recent)-1]
}

// Version returns the version in force; 0 if there is none.
func (h *Holder) Version() uint64 {
	if m := h.Current(); m != nil {
		return m.Version
	}
	return 0
}

// Set puts m in force if it is newer than the manifest in force, and reports whether it
// did. The caller must not modify m afterwards.
func (h *Holder) Set(m *structs.Manifest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.setLocked(clone(m))
}

// Advance applies delta and reports whether it did. It does not if delta is nil, leads
// to no newer version, or starts at another version than the one in force.
func (h *Holder) Advance(delta *structs.ManifestDelta) bool {
	if delta == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m, err := Patch(h.currentLocked(), delta)
	return err == nil && h.setLocked(m)
}

func (h *Holder) setLocked(m *structs.Manifest) bool {
	if old := h.currentLocked(); m.Version == 0 || old != nil && m.Version <= old.Version {
		return false
	}
	h.recent = append(h.recent, m)
	if len(h.recent) > maxRecentVersions {
		h.recent = h.recent[1:]
	}
	h.deltas = nil
	for ch := range h.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
	return true
}

// Delta returns the changes from version have to the one in force, or nil if have is not
// older. If have is no longer kept, the delta is from version 0, that is, complete. The
// caller must not modify it.
func (h *Holder) Delta(have uint64) *structs.ManifestDelta {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.currentLocked()
	if current == nil || have >= current.Version {
		return nil
	}
	var old *structs.Manifest
	for _, m := range h.recent {
		if m.Version == have {
			old = m
		}
	}
	from := uint64(0)
	if old != nil {
		from = have
	}
	if d := h.deltas[from]; d != nil {
		return d
	}
	if h.deltas == nil {
		h.deltas = map[uint64]*structs.ManifestDelta{}
	}
	d := Diff(old, current)
	h.deltas[from] = d
	return d
}

// Subscribe returns a channel that receives a value after each change, and a function
// that ends the subscription. Changes in quick succession may cause only one value.
func (h *Holder) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.subs == nil {
		h.subs = map[chan struct{}]struct{}{}
	}
	h.subs[ch] = struct{}{}
	return ch, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subs, ch)
	}
}
