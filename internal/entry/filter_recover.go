package entry

import (
	"runtime/debug"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// recoverFilter turns a panic into an error. The verdict is MayHaveRun because
// the panic may have happened after the request was sent to an owner.
func recoverFilter(next handler) handler {
	return func(x *exchange) (err error) {
		defer func() {
			if p := recover(); p != nil {
				metrics.Add("panics", 1)
				klog.ErrorS(nil, "Request handler panicked", "route", x.route, "panic", p, "stack", string(debug.Stack()))
				err = verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "internal fault")
			}
		}()
		return next(x)
	}
}
