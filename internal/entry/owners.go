package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
)

const (
	// refreshInterval limits how often peers are asked for a domain's owner.
	refreshInterval = 200 * time.Millisecond
	// refreshTimeout limits a call to a peer.
	refreshTimeout = 500 * time.Millisecond
	// refreshPeers is the number of entries, chosen at random, that are asked.
	refreshPeers = 3
	// ownerPollInterval is how often waitForRetry checks in memory for a new owner.
	ownerPollInterval = 50 * time.Millisecond
	// takeoverJitter is the period over which requests that waited for a new owner
	// are spread, so that they don't all arrive at once.
	takeoverJitter = 200 * time.Millisecond
	// The delay between attempts at the same owner grows from minRetryDelay to
	// maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// ownerHints holds the owners that other entries reported. Its size is bounded by
// the number of domains in the manifest.
type ownerHints struct {
	mu          sync.Mutex
	owners      map[string]structs.Owner // by domain
	lastRefresh map[string]time.Time     // by domain
}

// ownerOf returns the domain's owner with the highest known epoch.
func (s *Server) ownerOf(domain string) (structs.Owner, bool) {
	o, ok := s.cfg.Owners.Owner(domain)
	ok = ok && o.EntryID != ""
	s.ownerHints.mu.Lock()
	defer s.ownerHints.mu.Unlock()
	if hint, hinted := s.ownerHints.owners[domain]; hinted && hint.EntryID != "" && (hint.Epoch > o.Epoch || !ok && hint.Epoch == o.Epoch) {
		return hint, true
	}
	return o, ok
}

// refreshOwner asks other entries for the owner of the domain, in the background.
func (s *Server) refreshOwner(domain string) {
	s.ownerHints.mu.Lock()
	defer s.ownerHints.mu.Unlock()
	if time.Since(s.ownerHints.lastRefresh[domain]) < refreshInterval {
		return
	}
	if s.ownerHints.lastRefresh == nil {
		s.ownerHints.lastRefresh, s.ownerHints.owners = map[string]time.Time{}, map[string]structs.Owner{}
	}
	s.ownerHints.lastRefresh[domain] = time.Now()
	entries := s.cfg.Owners.Entries()
	for n, i := range rand.Perm(len(entries)) {
		if n < refreshPeers && entries[i].RPCAddr != s.cfg.RPCAddr {
			s.backgroundCalls.Add(1)
			go s.askPeer(domain, entries[i].RPCAddr)
		}
	}
}

// askPeer asks the entry at addr for the owner of the domain.
func (s *Server) askPeer(domain, addr string) {
	defer s.backgroundCalls.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	reply := &structs.OwnerReply{}
	if err := s.cfg.Caller.Call(ctx, addr, "Peer.Owner", &structs.OwnerArgs{Domain: domain}, reply); err != nil {
		return
	}
	s.ownerHints.mu.Lock()
	defer s.ownerHints.mu.Unlock()
	if reply.Owner.Domain == domain && reply.Owner.Epoch >= s.ownerHints.owners[domain].Epoch {
		s.ownerHints.owners[domain] = reply.Owner
	}
}

// failedOwners holds, by domain, the last owner that failed to serve a request.
type failedOwners map[string]structs.Owner

// hasOtherOwner reports whether one of the domains has an owner that has not failed
// yet.
func (failed failedOwners) hasOtherOwner(s *Server, domains []string) bool {
	for _, d := range domains {
		o, ok := s.ownerOf(d)
		if last, tried := failed[d]; ok && (!tried || last.Epoch != o.Epoch || last.Addr != o.Addr) {
			return true
		}
	}
	return false
}

// waitForRetry waits until a domain has a new owner, or until the retry delay of
// the round is over and the retry budget allows another attempt at a failed
// owner. It returns false if ctx ends first.
func (s *Server) waitForRetry(ctx context.Context, failed failedOwners, domains []string, round int) bool {
	for _, d := range domains {
		s.refreshOwner(d)
	}
	// The limit of 10 doublings keeps the shift from overflowing.
	delay := min(maxRetryDelay, minRetryDelay<<min(round, 10))
	next := time.Now().Add(delay/2 + rand.N(delay))
	for {
		if failed.hasOtherOwner(s, domains) {
			return retry.Sleep(ctx, rand.N(takeoverJitter))
		}
		if time.Now().After(next) && s.retryBudget.AllowRetry(time.Now()) {
			metrics.Add("retries", 1)
			return ctx.Err() == nil
		}
		if !retry.Sleep(ctx, ownerPollInterval) {
			return false
		}
	}
}
