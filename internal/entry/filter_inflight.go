package entry

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// inFlightFilter limits the requests in progress.
func (s *Server) inFlightFilter(next handler) handler {
	return func(x *exchange) error {
		if s.inFlight.Load() > int64(s.cfg.MaxInFlight) {
			return verdict.Refuse(verdict.CodeOverloaded, "the entry has %d requests in progress", s.cfg.MaxInFlight).
				WithRetryAfter(time.Second)
		}
		return next(x)
	}
}
