// Package retry limits retries: with a budget that is shared by all requests of one
// kind, and with jittered delays.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of a Budget.
const (
	// RetriesPerRequest is the credit in retries for each request.
	RetriesPerRequest = 0.1
	// MinRetriesPerSecond is the rate of retries that is allowed even without
	// requests.
	MinRetriesPerSecond = 3.0
	// MaxSavedRetries is the highest credit in retries that requests can build up.
	MaxSavedRetries = 30.0
)

// Budget is a token bucket for retries. Requests add a fraction of a token each, and
// a minimum rate adds tokens over time. The minimum rate alone fills the bucket with
// no more than one second's worth, so that an outage does not end in a burst of
// retries. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	tokens   float64
	lastTake time.Time
}

// NewBudget returns a budget that starts at now with the tokens of one second at the
// minimum rate.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: MinRetriesPerSecond, lastTake: now} }

// RecordRequest adds the credit for a request. It is called once for each request,
// not for its retries.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+RetriesPerRequest, MaxSavedRetries)
}

// AllowRetry reports whether a retry is allowed at now, and takes its token if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < MinRetriesPerSecond {
		b.tokens = min(b.tokens+now.Sub(b.lastTake).Seconds()*MinRetriesPerSecond, MinRetriesPerSecond)
	}
	b.lastTake = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Jitter returns a random duration from d/2 to d, so that processes that failed at
// the same time do not retry at the same time.
func Jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + rand.N(d/2+1)
}

// Sleep waits for d or the end of ctx. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
