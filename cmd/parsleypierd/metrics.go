package main

import (
	"expvar"
	"net/http"
	"time"

	"github.com/parsleypier/parsleypier/internal/gateway"
	"github.com/parsleypier/parsleypier/internal/telemetry"
)

// metrics counts requests by outcome and by latency bucket.
type metrics struct {
	http.Handler
	requests, latency *expvar.Map
}

func newMetrics() *metrics {
	return &metrics{Handler: expvar.Handler(), requests: expvar.NewMap("parsleypier_requests"), latency: expvar.NewMap("parsleypier_request_latency")}
}

func (m *metrics) observeRequest(call, outcome string, took time.Duration) {
	m.requests.Add(call+"."+outcome, 1)
	m.latency.Add(call+"."+telemetry.LatencyBucket(took), 1)
}

// publishConfig publishes the version of the configuration in force and the time since it
// was last known to be the operator's newest, in milliseconds; -1 if it never was.
func publishConfig(c *gateway.ActiveConfig) {
	m := expvar.NewMap("parsleypier_config")
	m.Set("version", expvar.Func(func() any {
		if current := c.Current(); current != nil {
			return current.Version
		}
		return 0
	}))
	m.Set("age_ms", expvar.Func(func() any {
		if age, confirmed := c.Age(); confirmed {
			return age.Milliseconds()
		}
		return -1
	}))
}
