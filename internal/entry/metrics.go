package entry

import (
	"expvar"
	"time"

	"github.com/parsleypier/parsleypier/internal/telemetry"
)

// Metrics of this package, shared by all Servers of a process.
var (
	metrics   = expvar.NewMap("parsleypier_entry")
	requests  = newSubMap("requests") // by route and error code
	verdicts  = newSubMap("verdicts") // of errors
	latencies = newSubMap("latency")  // requests by upper bound of the latency
)

func newSubMap(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	metrics.Set(name, m)
	return m
}

func addLatency(d time.Duration) { latencies.Add(telemetry.LatencyBucket(d), 1) }
