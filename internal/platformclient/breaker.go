package platformclient

import (
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/retry"
)

// Limits of the circuit breaker.
const (
	// breakerFailures in a row open the circuit.
	breakerFailures = 5
	// breakerMinOpen and breakerMaxOpen bound the time between trials. An owner
	// must renew its row within 3 s of an outage's end, or it is taken over.
	breakerMinOpen = 250 * time.Millisecond
	breakerMaxOpen = time.Second
)

// breaker refuses requests after consecutive failures, and then lets one trial
// through at a time. It is safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int
	open     bool
	openFor  time.Duration
	until    time.Time
	trial    bool
}

// allow reports whether a request may be sent; if not, after which delay
// another may be tried. The caller of an allowed request must call done.
func (b *breaker) allow(now time.Time) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true, 0
	}
	if wait := b.until.Sub(now); wait > 0 {
		return false, wait
	}
	if b.trial {
		return false, breakerMinOpen
	}
	b.trial = true
	return true, 0
}

type callOutcome int

const (
	callOK      callOutcome = iota
	callFailed              // the service failed or did not answer in time
	callUnknown             // says nothing about the service: cancelled by the caller
)

// done records the outcome of an allowed request. It returns 1 if the circuit
// opened, -1 if it closed and 0 if it stayed as it was.
func (b *breaker) done(o callOutcome, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch o {
	case callOK:
		wasOpen := b.open
		b.failures, b.open, b.trial, b.openFor = 0, false, false, 0
		if wasOpen {
			return -1
		}
	case callFailed:
		b.failures++
		if b.failures < breakerFailures && !b.open || b.open && !b.trial {
			return 0
		}
		opened := !b.open
		b.open, b.trial = true, false
		b.openFor = min(max(2*b.openFor, breakerMinOpen), breakerMaxOpen)
		b.until = now.Add(retry.Jitter(b.openFor))
		if opened {
			return 1
		}
	case callUnknown:
		b.trial = false
	}
	return 0
}

func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}
