package platformclient

import (
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/retry"
)

// Settings of the circuit breaker.
const (
	// breakerFailures is the number of consecutive failures that open the circuit.
	breakerFailures = 5
	// breakerMinOpen and breakerMaxOpen bound the time between trial requests. The
	// upper bound is short because an owner must renew its row within 3 s of the
	// end of an outage, or another process takes over its domain.
	breakerMinOpen = 250 * time.Millisecond
	breakerMaxOpen = time.Second
)

// breaker is a circuit breaker: it refuses requests after consecutive failures,
// and then lets one trial request through at a time until one succeeds. It is
// safe for concurrent use.
type breaker struct {
	mu            sync.Mutex
	failures      int // consecutive
	open          bool
	openFor       time.Duration // upper limit of the time until retryAt, doubles with each failed trial
	retryAt       time.Time     // when the next trial request may be sent
	trialInFlight bool
}

// allow reports whether a request may be sent, and if not, after which delay to
// try again. The caller must call done when an allowed request has ended.
func (b *breaker) allow(now time.Time) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true, 0
	}
	if wait := b.retryAt.Sub(now); wait > 0 {
		return false, wait
	}
	if b.trialInFlight {
		return false, breakerMinOpen
	}
	b.trialInFlight = true
	return true, 0
}

// callOutcome is the outcome of an allowed request for the circuit breaker.
type callOutcome int

const (
	callOK      callOutcome = iota
	callFailed              // the service failed or did not answer in time
	callUnknown             // the caller cancelled the request, so it shows nothing about the service
)

// done records the outcome of an allowed request. It returns 1 if the circuit
// opened, -1 if it closed and 0 if its state did not change.
func (b *breaker) done(outcome callOutcome, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch outcome {
	case callOK:
		wasOpen := b.open
		b.failures, b.open, b.trialInFlight, b.openFor = 0, false, false, 0
		if wasOpen {
			return -1
		}
	case callFailed:
		b.failures++
		if b.failures < breakerFailures && !b.open || b.open && !b.trialInFlight {
			return 0
		}
		opened := !b.open
		b.open, b.trialInFlight = true, false
		b.openFor = min(max(2*b.openFor, breakerMinOpen), breakerMaxOpen)
		b.retryAt = now.Add(retry.Jitter(b.openFor))
		if opened {
			return 1
		}
	case callUnknown:
		b.trialInFlight = false
	}
	return 0
}

func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}
