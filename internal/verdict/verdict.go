// Package verdict defines the error type of the system. Every error carries a
// Verdict, which tells the client whether its request may have run.
package verdict

import "fmt"

// Verdict says whether a request ran. The zero value is MayHaveRun, so that a
// verdict that was never set makes no false promise.
type Verdict uint8

// The verdicts.
const (
	// MayHaveRun means that it is not known whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that no part of the request has run or will run.
	NotRun
	// Ran means that the request ran.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the name of the verdict in JSON and logs. An unknown value has
// the name of MayHaveRun.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return verdictNames[MayHaveRun]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is an error.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Combine returns the verdict of a request that was attempted twice, with the
// verdicts a and b: Ran if either attempt ran, NotRun only if both did not run, and
// MayHaveRun otherwise.
func Combine(a, b Verdict) Verdict {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == NotRun && b == NotRun:
		return NotRun
	default:
		return MayHaveRun
	}
}
