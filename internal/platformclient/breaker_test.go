package platformclient

import (
	"testing"
	"time"
)

// Guards against a circuit that opens too early, lets more than one trial
// through, or stays open after a trial whose caller gave up.
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
		t.Fatal("must open after consecutive failures only")
	}
	now = now.Add(breakerMinOpen)
	if !allowed() || allowed() {
		t.Fatal("one trial must pass")
	}
	b.done(callUnknown, now)
	if !allowed() {
		t.Fatal("a trial that was cancelled must make way for another")
	}
	for range 10 {
		fail()
		if ok, wait := b.allow(now); ok || wait > breakerMaxOpen {
			t.Fatalf("after a failed trial: allowed %v, wait %v", ok, wait)
		}
		now = now.Add(breakerMaxOpen)
		if !allowed() {
			t.Fatal("no trial within the longest pause")
		}
	}
	if b.done(callOK, now) != -1 || b.isOpen() || !allowed() || !allowed() {
		t.Fatal("must close after a successful trial")
	}
}
