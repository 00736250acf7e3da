// Package gateway implements the client operations on workflow jobs, which are jobs
// of dependent steps (see package workflow). It routes a request to its queue and
// account, accepts jobs by writing their rows, answers state requests from a cached
// copy of the rows, and marks jobs as cancelled. It runs in every entry, which is a
// process that serves clients, and does not need the owner, the elected entry that
// decides where tasks run.
package gateway

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Queue is a queue that clients submit jobs to.
type Queue struct {
	Name string
	// Host and Prefix select the queue by the request's host and path. The longest
	// matching prefix wins.
	Host, Prefix string
	// Pool is the name of the worker pool that runs the queue's tasks.
	Pool string
	// Terms are the conditions under which the queue's jobs run, such as their
	// priority.
	Terms workflow.Terms
	// Timeout limits a request.
	Timeout time.Duration
	// Anonymous reports whether requests are accepted without an API key.
	Anonymous bool
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// GuaranteedGPUs is the number of GPUs that are always available to the
	// account's jobs of priority 0.
	GuaranteedGPUs int
}

// Limits are limits on requests.
type Limits struct {
	MaxBodyBytes int64
}

// Config is a configuration. It is immutable once SetIfNewer has received it.
type Config struct {
	Version uint64
	// Document is the configuration as the operator wrote it.
	Document []byte
	Queues   []Queue
	Accounts []Account
	Limits   Limits

	byKey  map[string]*Account
	byName map[string]*Queue
}

// buildIndexes fills the lookup maps.
func (c *Config) buildIndexes() {
	c.byKey, c.byName = map[string]*Account{}, map[string]*Queue{}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.byKey[k] = &c.Accounts[i]
		}
	}
	for i := range c.Queues {
		c.byName[c.Queues[i].Name] = &c.Queues[i]
	}
}

// Route returns the queue for a host and path, and the path after the queue's
// prefix. The queue is nil if none matches.
func (c *Config) Route(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Account returns the account with the API key, or nil if the key is unknown.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// ActiveConfig holds the configuration in force. Its version only increases. It is
// safe for concurrent use.
type ActiveConfig struct {
	Log *eventlog.Log
	// Clock is a monotonic clock that keeps running while the machine is suspended.
	Clock   func() time.Duration
	current atomic.Pointer[Config]
	// confirmedAt is the latest time on Clock at which the configuration in force is known
	// to have been the operator's newest, in nanoseconds plus one; 0 if there is none.
	confirmedAt atomic.Int64
}

// Currency says whether the configuration in force may be used for a request.
type Currency int

// Values of Currency. Recent includes every version that the operator stored before the time
// after which it must be in force. Unconfirmed means that this is not known, as while the
// store answers nobody, and Replaced that a newer version is known not to have arrived.
const (
	Unconfirmed Currency = iota
	Recent
	Replaced
)

// Confirm records that the configuration in force, or a newer one that the caller has
// passed to SetIfNewer, was the operator's newest at a time on Clock.
func (h *ActiveConfig) Confirm(at time.Duration) {
	for {
		old := h.confirmedAt.Load()
		if int64(at) < old || h.confirmedAt.CompareAndSwap(old, int64(at)+1) {
			return
		}
	}
}

// Age returns the time since the configuration in force was last known to be the
// operator's newest; false if it never was.
func (h *ActiveConfig) Age() (time.Duration, bool) {
	at := h.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return max(0, h.Clock()-time.Duration(at-1)), true
}

// Current returns the configuration in force, or nil if none is known yet.
func (h *ActiveConfig) Current() *Config { return h.current.Load() }

// SetIfNewer makes c the active configuration if its version is higher than the
// current one, and reports whether it did.
func (h *ActiveConfig) SetIfNewer(c *Config, source string) bool {
	c.buildIndexes()
	for {
		old := h.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			before := uint64(0)
			if old != nil {
				before = old.Version
			}
			age, _ := h.Age()
			h.Log.Event("config_in_force", "version", c.Version, "before", before, "queues", len(c.Queues),
				"accounts", len(c.Accounts), "keys", len(c.byKey), "source", source, "beforeAgeMs", age.Milliseconds())
			return true
		}
	}
}

// Terms returns the terms of a queue, and false if the queue is not configured.
func (h *ActiveConfig) Terms(queue string) (workflow.Terms, bool) {
	if c := h.current.Load(); c != nil {
		if q := c.byName[queue]; q != nil {
			return q.Terms, true
		}
	}
	return workflow.Terms{}, false
}

// GuaranteedGPUs returns the number of GPUs that are guaranteed to the account's
// jobs of priority 0, or 0 if the account is unknown.
func (h *ActiveConfig) GuaranteedGPUs(account string) int {
	if c := h.current.Load(); c != nil {
		for i := range c.Accounts {
			if c.Accounts[i].Name == account {
				return c.Accounts[i].GuaranteedGPUs
			}
		}
	}
	return 0
}
