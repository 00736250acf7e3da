package retry

import (
	"testing"
	"time"
)

// Guards against more retries than a tenth of the requests plus the minimum rate,
// and against credit that builds up while there are no requests.
func TestBudgetLimitsSavedRetries(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(now)
	count := func() (n int) {
		for b.AllowRetry(now) {
			n++
		}
		return n
	}
	if n := count(); n != MinRetriesPerSecond {
		t.Errorf("%d retries allowed at the start, want MinRetriesPerSecond", n)
	}
	for range 101 {
		b.RecordRequest()
	}
	if n := count(); n != 10 {
		t.Errorf("%d retries allowed after 101 requests, want 10", n)
	}
	now = now.Add(time.Hour)
	if n := count(); n != MinRetriesPerSecond {
		t.Errorf("%d retries allowed after an hour without requests, want MinRetriesPerSecond", n)
	}
}

// Guards against retries that multiply the load on a failing service.
func TestBudgetLimitsRetryRate(t *testing.T) {
	for _, perSecond := range []int{1, 10, 1000} {
		now := time.Unix(0, 0)
		b := NewBudget(now)
		retries := 0
		const seconds = 60
		for range seconds * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			b.RecordRequest()
			for b.AllowRetry(now) {
				retries++
			}
		}
		least, most := seconds*3, int(seconds*3+RetriesPerRequest*float64(seconds*perSecond)+MaxSavedRetries)
		if perSecond == 1000 {
			least = seconds * perSecond / 10
		}
		if retries < least-10 || retries > most {
			t.Errorf("%d requests/s: %d retries in a minute, want %d to %d", perSecond, retries, least, most)
		}
	}
}
