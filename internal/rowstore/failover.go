package rowstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Call is an HTTP request to the store.
type Call struct {
	Method, Path string
	Body         []byte
	// Write is set if the call may change rows.
	Write bool
	// Scope names the part of the store that the call needs. A store may serve some
	// parts and not others.
	Scope string
	// Wait is how long the store may hold the request before it answers, in addition
	// to its normal latency.
	Wait time.Duration
}

// Answer is the store's response to a Call.
type Answer struct {
	Status int
	Body   []byte
}

// CallFunc sends one call and returns the answer. The verdict of the error is NotRun
// if the call cannot have reached the store.
type CallFunc func(ctx context.Context, c Call) (Answer, error)

// Times and limits of a Failover.
const (
	// attemptTimeout limits one attempt. A store that is 80 times as slow as
	// usual (4 ms, transactions 8 ms) still answers within it.
	attemptTimeout = 1200 * time.Millisecond
	// directRetryDelay is the minimum time between two direct calls while the store
	// refuses this process; with jitter it is up to twice as long.
	directRetryDelay = 700 * time.Millisecond
	// outageRetryDelay is the minimum time for which the calls of a scope fail
	// immediately after one has failed both directly and through peers; with jitter it
	// is up to twice as long.
	outageRetryDelay = 250 * time.Millisecond
	// maxPeersPerCall limits the peers tried for one call, and so the load that
	// retries cause in an outage.
	maxPeersPerCall = 2
	// slowReadTime is the time beyond Wait from which a read is logged as slow.
	slowReadTime = 250 * time.Millisecond
)

// Peer is another process that sends calls to the store for this one.
type Peer struct {
	Name string
	Call CallFunc
}

// Failover sends calls to the store directly, and through peers while the store
// refuses calls of this process. Writes are repeated too, which is safe: see Txn. It
// is safe for concurrent use.
type Failover struct {
	// Direct sends a call to the store.
	Direct CallFunc
	Peers  func() []Peer
	Log    *eventlog.Log

	mu              sync.Mutex
	nextDirectCheck time.Time            // while directRefused: when to try the direct connection again
	failFastUntil   map[string]time.Time // by scope; calls fail immediately until then
	directRefused   bool                 // set by a failed direct call, cleared by a successful one; calls try peers first
	nextPeer        int                  // index of the peer to try first
	// lastDirectRead is when a direct read last succeeded.
	lastDirectRead time.Time
}

// maxDirectReadAge is the time since the last successful direct read within which
// status 429 for a write means that the store is overloaded, rather than that it
// refuses this process. The feed reads at least every 0.8 s.
const maxDirectReadAge = 1200 * time.Millisecond

// overloaded reports whether the answer to a direct call means that the store is
// overloaded. Repeating the call through a peer would fail too and add to the load.
func (f *Failover) overloaded(c Call, a Answer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.Write && a.Status == http.StatusTooManyRequests && time.Since(f.lastDirectRead) < maxDirectReadAge
}

// Do sends a call directly or through peers. The code of the error is
// platform_unavailable.
func (f *Failover) Do(ctx context.Context, c Call) (Answer, error) {
	f.mu.Lock()
	now := time.Now()
	if isProbe(ctx) {
		f.mu.Unlock()
		return f.probe(ctx, c)
	}
	if wait := f.failFastUntil[c.Scope].Sub(now); wait > 0 {
		f.mu.Unlock()
		return Answer{}, Unavailable(verdict.NotRun, "the store is out of reach").WithRetryAfter(wait)
	}
	viaPeers := f.directRefused
	check := viaPeers && !c.Write && !now.Before(f.nextDirectCheck)
	if check {
		f.nextDirectCheck = now.Add(attemptTimeout + c.Wait)
	}
	f.mu.Unlock()
	if check {
		go f.checkDirect(context.WithoutCancel(ctx), c)
	}
	outcome := verdict.NotRun
	var lastErr error
	attempts := attemptLog{began: now}
	defer func() {
		if took := time.Since(now); !c.Write && took > c.Wait+slowReadTime {
			f.Log.Event("store_read_slow", "path", c.Path, "scope", c.Scope, "waitMs", c.Wait.Milliseconds(), "tookMs", took.Milliseconds(), "attempts", attempts.String())
		}
	}()
	try := func(via string, call CallFunc) (Answer, bool) {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout+c.Wait)
		defer cancel()
		attemptBegan := time.Now()
		a, err := call(attempt, c)
		attempts.add(via, attemptBegan, a, err)
		if err == nil && a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
			return a, true
		}
		if err == nil {
			err = Unavailable(verdict.NotRun, "%s: status %d", c.Path, a.Status)
		}
		if c.Write && verdict.Of(err) != verdict.NotRun {
			outcome = verdict.MayHaveRun
		}
		lastErr = err
		return a, false
	}
	if !viaPeers {
		a, ok := try(viaDirect, f.Direct)
		if ok {
			f.recordDirectSuccess(c)
			return a, nil
		}
		if ctx.Err() != nil || f.overloaded(c, a) {
			return Answer{}, callError(outcome, lastErr)
		}
		f.recordDirectFailure(lastErr)
	}
	if a, ok := f.tryPeers(ctx, try); ok {
		return a, nil
	}
	if viaPeers && ctx.Err() == nil {
		if a, ok := try(viaDirect, f.Direct); ok {
			f.recordDirectSuccess(c)
			return a, nil
		}
	}
	if ctx.Err() == nil {
		f.mu.Lock()
		if f.failFastUntil == nil {
			f.failFastUntil = map[string]time.Time{}
		}
		f.failFastUntil[c.Scope] = time.Now().Add(retry.Jitter(2 * outageRetryDelay))
		f.mu.Unlock()
	}
	return Answer{}, callError(outcome, lastErr)
}

// viaDirect is the name of direct attempts in the log; others have the name of a peer.
const viaDirect = "store"

// attemptLog describes the attempts of a call: through which process, from when to when
// in milliseconds after the call began, and with which result.
type attemptLog struct {
	began time.Time
	text  strings.Builder
}

func (l *attemptLog) add(via string, began time.Time, a Answer, err error) {
	result := strconv.Itoa(a.Status)
	if err != nil {
		result = err.Error()
	}
	if l.text.Len() > 0 {
		l.text.WriteString("; ")
	}
	fmt.Fprintf(&l.text, "%s %d-%d: %s", via, began.Sub(l.began).Milliseconds(), time.Since(l.began).Milliseconds(), result)
}

func (l *attemptLog) String() string { return l.text.String() }

// probeKey is the context key that marks calls as probes.
type probeKey struct{}

// Probe returns a context whose calls are sent once, directly, even while other calls
// fail immediately. It serves to find out whether the store answers again.
func Probe(ctx context.Context) context.Context { return context.WithValue(ctx, probeKey{}, true) }

func isProbe(ctx context.Context) bool { return ctx.Value(probeKey{}) != nil }

// probe sends a call once. A failure does not change how other calls are sent.
func (f *Failover) probe(ctx context.Context, c Call) (Answer, error) {
	a, err := f.Direct(ctx, c)
	if err != nil {
		return Answer{}, err
	}
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		return Answer{}, Unavailable(verdict.NotRun, "%s: status %d", c.Path, a.Status)
	}
	f.recordDirectSuccess(c)
	return a, nil
}

// callError returns the error of a failed call, which is that of the last attempt
// with the verdict of all attempts.
func callError(v verdict.Verdict, err error) error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.WithVerdict(v)
	}
	return Unavailable(v, "%v", err)
}

// tryPeers tries up to maxPeersPerCall peers, beginning with nextPeer, and reports
// whether one of them answered.
func (f *Failover) tryPeers(ctx context.Context, try func(via string, call CallFunc) (Answer, bool)) (Answer, bool) {
	peers := f.Peers()
	if len(peers) == 0 {
		return Answer{}, false
	}
	f.mu.Lock()
	first := f.nextPeer
	f.mu.Unlock()
	for i := range min(maxPeersPerCall, len(peers)) {
		if ctx.Err() != nil {
			break
		}
		index := (first + i) % len(peers)
		if a, ok := try(peers[index].Name, peers[index].Call); ok {
			f.mu.Lock()
			f.nextPeer = index
			f.mu.Unlock()
			return a, true
		}
	}
	f.mu.Lock()
	f.nextPeer = first + maxPeersPerCall
	f.mu.Unlock()
	return Answer{}, false
}

// recordDirectSuccess makes calls go directly again.
func (f *Failover) recordDirectSuccess(c Call) {
	f.mu.Lock()
	if !c.Write {
		f.lastDirectRead = time.Now()
	}
	regained := f.directRefused
	f.directRefused = false
	delete(f.failFastUntil, c.Scope)
	f.mu.Unlock()
	if regained {
		f.Log.Event("store_direct_regained")
	}
}

// checkDirect sends a read directly while the call itself goes through a peer, so that a
// store that does not answer this process delays no call.
func (f *Failover) checkDirect(ctx context.Context, c Call) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+c.Wait)
	defer cancel()
	a, err := f.Direct(ctx, c)
	if err == nil && a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
		f.recordDirectSuccess(c)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextDirectCheck = time.Now().Add(retry.Jitter(2 * directRetryDelay))
}

// recordDirectFailure makes calls go to peers first until a direct one succeeds.
func (f *Failover) recordDirectFailure(err error) {
	f.mu.Lock()
	lost := !f.directRefused
	f.directRefused, f.nextDirectCheck = true, time.Now().Add(retry.Jitter(2*directRetryDelay))
	f.mu.Unlock()
	if lost {
		f.Log.Event("store_direct_lost", "err", err.Error())
	}
}

// DoForPeer sends a call on behalf of a peer. It sends it only directly, so that
// calls are not passed on from peer to peer.
func (f *Failover) DoForPeer(ctx context.Context, c Call) (Answer, error) {
	f.mu.Lock()
	refused := f.directRefused
	f.mu.Unlock()
	if refused {
		return Answer{}, Unavailable(verdict.NotRun, "the store turns this process away as well")
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout+c.Wait)
	defer cancel()
	return f.Direct(attempt, c)
}
