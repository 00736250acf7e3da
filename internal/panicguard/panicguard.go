// Package panicguard contains panics: one message that a part of a process cannot cope
// with must not end the whole process.
package panicguard

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/parsleypier/parsleypier/internal/eventlog"
)

var contained = expvar.NewMap("contained_panics")

// maxStack bounds the part of a stack that is logged, in bytes.
const maxStack = 2000

// Run calls f and reports whether it returned. A panic is counted under what,
// logged with its stack, and contained. Locks that f takes must be released by
// deferred calls.
func Run(log *eventlog.Log, what string, f func()) (returned bool) {
	defer func() {
		if p := recover(); p != nil {
			contained.Add(what, 1)
			stack := debug.Stack()
			log.Event("panic_contained", "in", what, "panic", fmt.Sprint(p), "stack", string(stack[:min(len(stack), maxStack)]))
		}
	}()
	f()
	return true
}
