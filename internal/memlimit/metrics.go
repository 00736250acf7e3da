package memlimit

import (
	"expvar"
	"sync/atomic"
	"time"
)

// counters count what happened in a share.
type counters struct {
	// waits counts the requests for memory that waited, refusedConns and refusedRequests
	// those that got none, and evicted the connections that were closed for others.
	waits, refusedConns, refusedRequests, evicted atomic.Int64
}

// Stats describes the use of a share.
type Stats struct {
	// Bytes and Conns are what its connections hold, GuaranteedBytes and GuaranteedConns
	// what they can always hold.
	Bytes           int64 `json:"bytes"`
	Conns           int   `json:"conns"`
	GuaranteedBytes int64 `json:"guaranteedBytes"`
	GuaranteedConns int   `json:"guaranteedConns"`
	// Waits, RefusedConns, RefusedRequests and Evicted are totals since the start.
	Waits           int64 `json:"waits"`
	RefusedConns    int64 `json:"refusedConns"`
	RefusedRequests int64 `json:"refusedRequests"`
	Evicted         int64 `json:"evicted"`
	// LargestClient is the client whose connections hold most.
	LargestClient      string `json:"largestClient,omitempty"`
	LargestClientBytes int64  `json:"largestClientBytes,omitempty"`
}

// Stats returns the use of the share.
func (s *Share) Stats() Stats {
	out := Stats{
		Waits: s.counters.waits.Load(), RefusedConns: s.counters.refusedConns.Load(),
		RefusedRequests: s.counters.refusedRequests.Load(), Evicted: s.counters.evicted.Load(),
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	out.Bytes, out.Conns = s.used.Bytes, s.used.Conns
	out.GuaranteedBytes, out.GuaranteedConns = s.guaranteed.Bytes, s.guaranteed.Conns
	for name, c := range s.clients {
		if c.bytes > out.LargestClientBytes || c.bytes == out.LargestClientBytes && name < out.LargestClient {
			out.LargestClient, out.LargestClientBytes = name, c.bytes
		}
	}
	return out
}

// Stats returns the use of all shares by their names.
func (b *Budget) Stats() map[string]Stats {
	b.mu.Lock()
	shares := b.shares
	b.mu.Unlock()
	out := map[string]Stats{}
	for _, s := range shares {
		out[s.Name] = s.Stats()
	}
	return out
}

// Publish publishes the use of the budget as the metrics parsleypier_memory.
func (b *Budget) Publish() {
	m := expvar.NewMap("parsleypier_memory")
	m.Set("limit", expvar.Func(func() any { return map[string]int64{"bytes": b.limit.Bytes, "conns": int64(b.limit.Conns)} }))
	m.Set("shares", expvar.Func(func() any { return b.Stats() }))
}

// reportInterval is the time between two reports of the same share.
const reportInterval = 5 * time.Second

// Report calls report for each share in which connections were closed or requests refused
// since its last report, until stop is closed.
func (b *Budget) Report(stop <-chan struct{}, report func(share string, now, before Stats)) {
	last := map[string]Stats{}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for name, now := range b.Stats() {
			before := last[name]
			if now.Evicted != before.Evicted || now.RefusedConns != before.RefusedConns || now.RefusedRequests != before.RefusedRequests {
				report(name, now, before)
			}
			last[name] = now
		}
	}
}
