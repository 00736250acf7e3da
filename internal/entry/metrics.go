package entry

import (
	"expvar"
	"time"

	"github.com/parsleypier/parsleypier/internal/telemetry"
)

// The metrics of this package, shared by all Servers of a process.
var (
	metrics   = expvar.NewMap("parsleypier_entry")
	requests  = subMap("requests") // by route and code
	verdicts  = subMap("verdicts") // of errors
	latencies = subMap("latency")  // requests by upper bound
)

func subMap(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	metrics.Set(name, m)
	return m
}

func countLatency(d time.Duration) { latencies.Add(telemetry.Bucket(d), 1) }
