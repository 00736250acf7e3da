package entry

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// drainFilter refuses new jobs and manifests while the entry is draining.
func (s *Server) drainFilter(next handler) handler {
	return func(x *exchange) error {
		if s.draining.Load() {
			return verdict.Refuse(verdict.CodeDraining, "the entry is leaving").
				WithRemedy("send the request to another entry").WithRetryAfter(time.Second)
		}
		return next(x)
	}
}
