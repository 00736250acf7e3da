package platformclient

import (
	"testing"
	"time"
)

// Guards against a circuit that opens too early, lets more than one trial request
// through, or refuses further trials after one whose caller gave up.
func TestBreakerSteps(t *testing.T) {
	var b breaker
	now := time.Unix(0, 0)
	fail := func() int { return b.done(callFailed, now) }
	allowed := func() bool { ok, _ := b.allow(now); return ok }
	for range breakerFailures - 1 {
		fail()
	}
	b.done(callOK, now)
	for range breakerFailures - 1 {
		fail()
	}
	if b.isOpen() || fail() != 1 || !b.isOpen() || allowed() {
		t.Fatal("the circuit must open after consecutive failures only")
	}
	now = now.Add(breakerMinOpen)
	if !allowed() || allowed() {
		t.Fatal("exactly one trial must be allowed")
	}
	b.done(callUnknown, now)
	if !allowed() {
		t.Fatal("another trial must be allowed after one that was cancelled")
	}
	for range 10 {
		fail()
		if ok, wait := b.allow(now); ok || wait > breakerMaxOpen {
			t.Fatalf("after a failed trial: allowed %v, wait %v", ok, wait)
		}
		now = now.Add(breakerMaxOpen)
		if !allowed() {
			t.Fatal("no trial allowed after breakerMaxOpen")
		}
	}
	if b.done(callOK, now) != -1 || b.isOpen() || !allowed() || !allowed() {
		t.Fatal("the circuit must close after a successful trial")
	}
}
