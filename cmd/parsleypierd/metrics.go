package main

import (
	"expvar"
	"net/http"
	"time"

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
