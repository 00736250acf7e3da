package entry

import (
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// accountFilter reads the client account from the request header. A job of
// another account is reported as not found. One account may use at most half of
// MaxInFlight.
func (s *Server) accountFilter(next handler) handler {
	return func(x *exchange) error {
		account := x.request.Header.Get(structs.HeaderAccount)
		if err := checkName("header "+structs.HeaderAccount, account); err != nil {
			return err
		}
		if id := x.request.PathValue("id"); id != "" {
			jobAccount := structs.AccountOf(id)
			if jobAccount == "" || checkName("id", id) != nil || account != "" && account != jobAccount {
				return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "no such job")
			}
			x.jobID, account = id, jobAccount
		}
		x.account = account
		if account == "" {
			return next(x)
		}
		release, err := s.accountSlots.acquire(account)
		if err != nil {
			return err
		}
		defer release()
		return next(x)
	}
}

// accountSlots limits the requests in progress of each account. It holds only
// accounts that have requests in progress, so its size is bounded.
type accountSlots struct {
	limit int
	mu    sync.Mutex
	used  map[string]int
}

func (a *accountSlots) acquire(account string) (release func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used[account] >= a.limit {
		return nil, verdict.Refuse(verdict.CodeOverloaded, "the account has %d requests in progress at this entry", a.limit).
			WithRetryAfter(time.Second)
	}
	if a.used == nil {
		a.used = map[string]int{}
	}
	a.used[account]++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.used[account]--; a.used[account] == 0 {
			delete(a.used, account)
		}
	}, nil
}
