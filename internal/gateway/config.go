// Package gateway is what clients of workflows meet: it finds the queue and the
// account of a request, accepts jobs by writing their rows, answers questions
// about them from a copy of the rows, and marks them as cancelled. Any entry does
// this without the owner.
package gateway

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Queue is where clients hand jobs in.
type Queue struct {
	Name string
	// Host and Prefix select the queue: the longest prefix of the path counts.
	Host, Prefix string
	// Pool names the workers that run its tasks.
	Pool  string
	Terms workflow.Terms
	// Timeout limits a request.
	Timeout time.Duration
	// Anonymous queues need no key.
	Anonymous bool
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// GuaranteedGPUs belong to the account's work of priority 0 at all times.
	GuaranteedGPUs int
}

// Limits are those of requests.
type Limits struct {
	MaxBodyBytes int64
}

// Config is a configuration. It is not changed after it was made.
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

// index prepares the look-ups.
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

// Route returns the queue of a host and path, and the rest of the path; nil if
// there is none.
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

// Account returns the account of a key; nil if the key is unknown.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// Holder has the configuration in force. It never goes back to an older one. It
// is safe for concurrent use.
type ActiveConfig struct {
	Log     *eventlog.Log
	current atomic.Pointer[Config]
}

// Current returns the configuration in force; nil if none is known yet.
func (h *ActiveConfig) Current() *Config { return h.current.Load() }

// Offer puts c in force if it is newer, and reports whether it did.
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
			h.Log.Event("config_in_force", "version", c.Version, "before", before, "queues", len(c.Queues),
				"accounts", len(c.Accounts), "keys", len(c.byKey), "source", source)
			return true
		}
	}
}

// Terms returns the terms of a queue; false if it is not configured.
func (h *ActiveConfig) Terms(queue string) (workflow.Terms, bool) {
	if c := h.current.Load(); c != nil {
		if q := c.byName[queue]; q != nil {
			return q.Terms, true
		}
	}
	return workflow.Terms{}, false
}

// GuaranteedGPUs returns what belongs to an account's work of priority 0.
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
