package verdict

import (
	"fmt"
	"testing"
)

// Guards against a combined verdict that is more certain than the two verdicts
// allow.
func TestCombineAddsNoCertainty(t *testing.T) {
	all := []Verdict{MayHaveRun, NotRun, Ran}
	for _, a := range all {
		for _, b := range all {
			got := Combine(a, b)
			if got != Combine(b, a) {
				t.Errorf("Combine(%v, %v) is not symmetric", a, b)
			}
			if (got == NotRun) != (a == NotRun && b == NotRun) {
				t.Errorf("Combine(%v, %v) = %v", a, b, got)
			}
			if (got == Ran) != (a == Ran || b == Ran) {
				t.Errorf("Combine(%v, %v) = %v", a, b, got)
			}
		}
	}
}

// Guards against an unset verdict or an error without a verdict that is taken as
// NotRun.
func TestUnknownOutcomeIsMayHaveRun(t *testing.T) {
	var v Verdict
	if v != MayHaveRun || (&Error{}).Verdict != MayHaveRun {
		t.Fatal("the zero verdict must be MayHaveRun")
	}
	if Of(fmt.Errorf("unexpected EOF")) != MayHaveRun {
		t.Fatal("a plain error must be MayHaveRun")
	}
	if From(fmt.Errorf("wrapped: %w", Refuse(CodeDraining, "x"))).Verdict != NotRun {
		t.Fatal("From must keep the verdict of a wrapped error")
	}
}
