package entry

import (
	"context"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// replyMargin is the time allowed for an owner's reply to arrive that was sent
// when the wait ended.
const replyMargin = time.Second

// deadlineFilter reads the query parameter wait and sets the deadline of the
// request: the longer of wait and SubmitTimeout, but no later than the job's
// deadline, plus replyMargin in both cases.
func (s *Server) deadlineFilter(next handler) handler {
	return func(x *exchange) error {
		if v := x.request.URL.Query().Get("wait"); v != "" {
			d, err := time.ParseDuration(v)
			if err != nil || d < 0 {
				return verdict.Invalid("wait", "is not a duration such as 30s")
			}
			x.wait = min(d, s.cfg.MaxWait)
		}
		timeout := max(x.wait, s.cfg.SubmitTimeout) + replyMargin
		if x.submission != nil && x.submission.spec.DeadlineSeconds > 0 {
			// After the job's deadline the response is of no use to the client.
			jobDeadline := structs.Seconds(x.submission.spec.DeadlineSeconds)
			timeout, x.wait = min(timeout, jobDeadline+replyMargin), min(x.wait, jobDeadline)
		}
		x.waitUntil = time.Now().Add(x.wait)
		ctx, cancel := context.WithTimeout(x.ctx, timeout)
		defer cancel()
		x.ctx = ctx
		return next(x)
	}
}
