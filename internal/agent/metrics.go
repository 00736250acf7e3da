package agent

import (
	"expvar"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// counters are published by expvar and shared by all agents of a process.
var (
	counters = expvar.NewMap("parsleypier_agent")
	refusals = new(expvar.Map).Init()
)

func init() { counters.Set("refusals", refusals) }

// count increments a counter.
func count(name string) { counters.Add(name, 1) }

// countRefusal increments the refusal counter of err's code and returns err.
func countRefusal(err *verdict.Error) *verdict.Error {
	refusals.Add(string(err.Code), 1)
	return err
}
