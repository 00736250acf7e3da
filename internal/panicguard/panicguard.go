// Package panicguard recovers from panics, so that one message that a component
// cannot handle does not end the whole process.
package panicguard

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/parsleypier/parsleypier/internal/eventlog"
)

var containedPanics = expvar.NewMap("contained_panics")

// maxStackBytes limits the part of a stack trace that is logged.
const maxStackBytes = 2000

// Run calls f and reports whether it returned normally. It recovers from a panic in
// f, counts it under operation, and logs it with its stack trace. Locks that f takes
// must be released by deferred calls.
func Run(log *eventlog.Log, operation string, f func()) (returned bool) {
	defer func() {
		if p := recover(); p != nil {
			containedPanics.Add(operation, 1)
			stack := debug.Stack()
			log.Event("panic_contained", "in", operation, "panic", fmt.Sprint(p), "stack", string(stack[:min(len(stack), maxStackBytes)]))
		}
	}()
	f()
	return true
}
