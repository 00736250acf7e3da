package entry

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// metricsFilter counts requests by route and error code, verdicts of errors, and
// requests by latency.
func metricsFilter(next handler) handler {
	return func(x *exchange) error {
		started := time.Now()
		metrics.Add("inFlight", 1)
		err := next(x)
		metrics.Add("inFlight", -1)
		code := "ok"
		if err != nil {
			e := verdict.From(err)
			code = string(e.Code)
			verdicts.Add(e.Verdict.String(), 1)
		}
		requests.Add(x.route+" "+code, 1)
		addLatency(time.Since(started))
		return err
	}
}
