package entry

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// rateFilter limits the rate of an account's submissions at this entry.
func (s *Server) rateFilter(next handler) handler {
	return func(x *exchange) error {
		m := s.cfg.Manifests.Current()
		if a := m.Account(x.account); a != nil && a.Quota.RatePerSecond > 0 {
			reservation := s.rateLimiters.get(m, a).Reserve()
			if d := reservation.Delay(); d > 0 {
				reservation.Cancel()
				return verdict.Refuse(verdict.CodeRateLimited, "the account submits more than %g jobs a second", a.Quota.RatePerSecond).
					WithRetryAfter(d)
			}
		}
		return next(x)
	}
}

// rateLimiters holds a limiter for each account of the manifest that has a rate.
type rateLimiters struct {
	mu        sync.Mutex
	byAccount map[string]*rate.Limiter
}

// get returns the limiter of the account, updated to the rate and burst of the
// manifest.
func (l *rateLimiters) get(m *structs.Manifest, a *structs.Account) *rate.Limiter {
	limit, burst := rate.Limit(a.Quota.RatePerSecond), a.Quota.Burst
	if burst <= 0 {
		burst = max(1, int(a.Quota.RatePerSecond))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.byAccount[a.Name]
	if limiter == nil {
		l.removeUnknownAccounts(m)
		limiter = rate.NewLimiter(limit, burst)
		l.byAccount[a.Name] = limiter
	}
	if limiter.Limit() != limit {
		limiter.SetLimit(limit)
	}
	if limiter.Burst() != burst {
		limiter.SetBurst(burst)
	}
	return limiter
}

// removeUnknownAccounts removes the limiters of accounts that are no longer in the
// manifest.
func (l *rateLimiters) removeUnknownAccounts(m *structs.Manifest) {
	if l.byAccount == nil {
		l.byAccount = map[string]*rate.Limiter{}
	}
	for name := range l.byAccount {
		if m.Account(name) == nil {
			delete(l.byAccount, name)
		}
	}
}
