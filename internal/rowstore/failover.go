package rowstore

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Call is a call of the store as it goes over a connection.
type Call struct {
	Method, Path string
	Body         []byte
	// Write says that the call may change something.
	Write bool
	// Wait is the time that the store itself may wait before it answers.
	Wait time.Duration
}

// Answer is the store's answer to a call.
type Answer struct {
	Status int
	Body   []byte
}

// Exchange carries one call. The error's verdict is NotRun if the call cannot
// have reached the store.
type Exchange func(ctx context.Context, c Call) (Answer, error)

// Times of a failover.
const (
	// attemptTimeout limits one attempt. A store that is 80 times as slow as
	// usual (4 ms, transactions 8 ms) still answers in it.
	attemptTimeout = 1200 * time.Millisecond
	// directPause is how long calls go through peers first after the store has
	// turned this process away.
	directPause = 700 * time.Millisecond
	// outagePause is how long calls fail at once after neither this process nor
	// its peers were served.
	outagePause = 250 * time.Millisecond
	// maxPeersPerCall bounds the calls that one call becomes in an outage.
	maxPeersPerCall = 2
)

// Failover carries calls directly, and through peers while the store turns this
// process away. A call that may change something is repeated as well: see Txn.
// It is safe for concurrent use.
type Failover struct {
	Direct Exchange
	// Peers returns the ways through other processes.
	Peers func() []Exchange
	Log   *eventlog.Log

	mu          sync.Mutex
	avoidDirect time.Time // calls go through peers first until then
	outage      time.Time // calls fail at once until then
	turnedAway  bool
	next        int // peer that served last
	// read is when a read was last served directly.
	read time.Time
}

// readFresh is the age of a direct read up to which a write that is turned away
// with status 429 means a store that is overloaded, and not one that turns this
// process away: the feed reads every 0.8 s and less.
const readFresh = 1200 * time.Millisecond

// overloaded reports whether the answer to a direct call says that the store has
// too much to do. The call would meet the same through a peer, and add to it.
func (f *Failover) overloaded(c Call, a Answer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.Write && a.Status == http.StatusTooManyRequests && time.Since(f.read) < readFresh
}

// Do carries a call. The error is platform_unavailable.
func (f *Failover) Do(ctx context.Context, c Call) (Answer, error) {
	f.mu.Lock()
	now := time.Now()
	if now.Before(f.outage) {
		wait := f.outage.Sub(now)
		f.mu.Unlock()
		return Answer{}, Unavailable(verdict.NotRun, "the store is out of reach").WithRetryAfter(wait)
	}
	viaPeers := now.Before(f.avoidDirect)
	f.mu.Unlock()
	result := verdict.NotRun
	var last error
	try := func(e Exchange) (Answer, bool) {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout+c.Wait)
		defer cancel()
		a, err := e(attempt, c)
		if err == nil && a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
			return a, true
		}
		if err == nil {
			err = Unavailable(verdict.NotRun, "%s: status %d", c.Path, a.Status)
		}
		if c.Write && verdict.Of(err) != verdict.NotRun {
			result = verdict.MayHaveRun
		}
		last = err
		return a, false
	}
	if !viaPeers {
		a, ok := try(f.Direct)
		if ok {
			f.served(c)
			return a, nil
		}
		if ctx.Err() != nil || f.overloaded(c, a) {
			return Answer{}, unserved(result, last)
		}
		f.refused(last)
	}
	if a, ok := f.throughPeers(ctx, try); ok {
		return a, nil
	}
	if viaPeers && ctx.Err() == nil {
		if a, ok := try(f.Direct); ok {
			f.served(c)
			return a, nil
		}
	}
	if ctx.Err() == nil {
		f.mu.Lock()
		f.outage = time.Now().Add(retry.Jitter(2 * outagePause))
		f.mu.Unlock()
	}
	return Answer{}, unserved(result, last)
}

func unserved(v verdict.Verdict, err error) error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.WithVerdict(v)
	}
	return Unavailable(v, "%v", err)
}

func (f *Failover) throughPeers(ctx context.Context, try func(Exchange) (Answer, bool)) (Answer, bool) {
	peers := f.Peers()
	if len(peers) == 0 {
		return Answer{}, false
	}
	f.mu.Lock()
	first := f.next
	f.mu.Unlock()
	for i := range min(maxPeersPerCall, len(peers)) {
		if ctx.Err() != nil {
			break
		}
		at := (first + i) % len(peers)
		if a, ok := try(peers[at]); ok {
			f.mu.Lock()
			f.next = at
			f.mu.Unlock()
			return a, true
		}
	}
	f.mu.Lock()
	f.next = first + maxPeersPerCall
	f.mu.Unlock()
	return Answer{}, false
}

func (f *Failover) served(c Call) {
	f.mu.Lock()
	if !c.Write {
		f.read = time.Now()
	}
	regained := f.turnedAway
	f.turnedAway, f.avoidDirect, f.outage = false, time.Time{}, time.Time{}
	f.mu.Unlock()
	if regained {
		f.Log.Event("store_direct_regained")
	}
}

func (f *Failover) refused(err error) {
	f.mu.Lock()
	lost := !f.turnedAway
	f.turnedAway, f.avoidDirect = true, time.Now().Add(retry.Jitter(2*directPause))
	f.mu.Unlock()
	if lost {
		f.Log.Event("store_direct_lost", "err", err.Error())
	}
}

// Served carries a call for a peer: directly only, so that calls do not go round.
func (f *Failover) Served(ctx context.Context, c Call) (Answer, error) {
	f.mu.Lock()
	turnedAway := f.turnedAway
	f.mu.Unlock()
	if turnedAway {
		return Answer{}, Unavailable(verdict.NotRun, "the store turns this process away as well")
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout+c.Wait)
	defer cancel()
	return f.Direct(attempt, c)
}
