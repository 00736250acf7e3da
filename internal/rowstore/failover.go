package rowstore

import (
	"cmp"
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
	// PathNoWait is the path of the same read without Wait; empty if there is no Wait.
	PathNoWait string
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
	// lateReadDelay is the time beyond Wait after which an attempt of a read counts as late, and
	// the next one begins beside it. A store that is 80 times as slow as usual answers within it.
	lateReadDelay = 450 * time.Millisecond
	// slowReadTime is the time beyond Wait from which a read is logged as slow.
	slowReadTime = 250 * time.Millisecond
)

// Peer is another process that sends calls to the store for this one.
type Peer struct {
	Name string
	Call CallFunc
}

// Failover sends calls to the store directly, and through peers while the store
// refuses calls of this process. A read that is late is also sent the next way, beside the
// attempt that is late. Writes are repeated too, which is safe: see Txn. It is safe for
// concurrent use.
type Failover struct {
	// Direct sends a call to the store.
	Direct CallFunc
	// Peers returns the processes through which a call can be sent, in a stable order.
	Peers func() []Peer
	Log   *eventlog.Log

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
	if isProbe(ctx) {
		return f.probe(ctx, c)
	}
	f.mu.Lock()
	now := time.Now()
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
	if c.Write {
		return f.write(ctx, c, viaPeers)
	}
	return f.read(ctx, c, viaPeers)
}

// write sends a write by one way after the other. Each attempt ends before the next one
// begins, so that its outcome is known.
func (f *Failover) write(ctx context.Context, c Call, viaPeers bool) (Answer, error) {
	outcome := verdict.NotRun
	var lastErr error
	for _, w := range f.ways(viaPeers) {
		a, err := f.attempt(ctx, w, c)
		if err == nil {
			f.recordSuccess(w, c)
			return a, nil
		}
		if verdict.Of(err) != verdict.NotRun {
			outcome = verdict.MayHaveRun
		}
		lastErr = err
		if ctx.Err() != nil || w.direct && !viaPeers && f.overloaded(c, a) {
			return Answer{}, callError(outcome, lastErr)
		}
		if w.direct && !viaPeers {
			f.recordDirectFailure(err)
		}
	}
	f.recordOutage(c.Scope)
	return Answer{}, callError(outcome, lastErr)
}

// read sends a read by one way, and by the next one as soon as that has failed or is late. The
// attempts that are late go on: the first answer counts, whichever it is.
func (f *Failover) read(ctx context.Context, c Call, viaPeers bool) (Answer, error) {
	log := attemptLog{began: time.Now()}
	defer func() {
		if took := time.Since(log.began); took > c.Wait+slowReadTime {
			f.Log.Event("store_read_slow", "path", c.Path, "scope", c.Scope, "waitMs", c.Wait.Milliseconds(), "tookMs", took.Milliseconds(), "attempts", log.String())
		}
	}()
	type result struct {
		way    way
		began  time.Time
		answer Answer
		err    error
	}
	ways := f.ways(viaPeers)
	results := make(chan result, len(ways))
	var lastErr error
	for started, ended := 0, 0; ended < len(ways); {
		if started < len(ways) {
			w, began := ways[started], time.Now()
			started++
			call := c
			if started > 1 && c.PathNoWait != "" {
				call.Path, call.Wait = c.PathNoWait, 0
			}
			// The attempt ends by its own timeout: to cancel it would close its connection.
			go func() {
				a, err := f.attempt(context.WithoutCancel(ctx), w, call)
				results <- result{w, began, a, err}
			}()
		}
		late := make(<-chan time.Time)
		if started < len(ways) {
			wait := lateReadDelay
			if started == 1 {
				wait += c.Wait
			}
			late = time.After(wait)
		}
		select {
		case r := <-results:
			ended++
			log.add(r.way.name, r.began, r.answer, r.err)
			if r.err == nil {
				f.recordSuccess(r.way, c)
				if !viaPeers && !r.way.direct && ended < started {
					f.recordDirectFailure(errLate)
				}
				return r.answer, nil
			}
			lastErr = r.err
			if r.way.direct && !viaPeers {
				f.recordDirectFailure(r.err)
			}
		case <-late:
			log.add(ways[started-1].name, log.began, Answer{}, errLate)
		case <-ctx.Done():
			return Answer{}, callError(verdict.NotRun, cmp.Or(lastErr, ctx.Err()))
		}
	}
	f.recordOutage(c.Scope)
	return Answer{}, callError(verdict.NotRun, lastErr)
}

// errLate is the error of a direct read that was overtaken by one through a peer.
var errLate = errors.New("the answer is late")

// way is a way to the store: direct, or through a peer.
type way struct {
	name   string
	call   CallFunc
	direct bool
	// peer is the index of the peer.
	peer int
}

// ways returns the ways for a call in the order in which they are tried: the direct one
// first, or last if viaPeers, and up to maxPeersPerCall peers, beginning with nextPeer.
func (f *Failover) ways(viaPeers bool) []way {
	peers := f.Peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	direct := way{name: viaDirect, call: f.Direct, direct: true}
	var out []way
	if !viaPeers {
		out = append(out, direct)
	}
	for i := range min(maxPeersPerCall, len(peers)) {
		index := (f.nextPeer + i) % len(peers)
		out = append(out, way{name: peers[index].Name, call: peers[index].Call, peer: index})
	}
	if viaPeers {
		out = append(out, direct)
	}
	return out
}

// attempt sends a call by one way. An answer that the store refuses the call is an error.
func (f *Failover) attempt(ctx context.Context, w way, c Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+c.Wait)
	defer cancel()
	a, err := w.call(ctx, c)
	if err == nil && a.refused() {
		err = Unavailable(verdict.NotRun, "%s: status %d", c.Path, a.Status)
	}
	return a, err
}

// refused reports whether the store has refused the call for now.
func (a Answer) refused() bool {
	return a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// recordSuccess makes the next calls go the way that has worked.
func (f *Failover) recordSuccess(w way, c Call) {
	if w.direct {
		f.recordDirectSuccess(c)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextPeer = w.peer
}

// recordOutage makes the calls of a scope fail immediately for a while after one has failed
// in all ways. The next call begins with other peers.
func (f *Failover) recordOutage(scope string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextPeer += maxPeersPerCall
	if f.failFastUntil == nil {
		f.failFastUntil = map[string]time.Time{}
	}
	f.failFastUntil[scope] = time.Now().Add(retry.Jitter(2 * outageRetryDelay))
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
	if a.refused() {
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
	if c.PathNoWait != "" {
		c.Path, c.Wait = c.PathNoWait, 0
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+c.Wait)
	defer cancel()
	a, err := f.Direct(ctx, c)
	if err == nil && !a.refused() {
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
