package telemetry

import "time"

var latencyBuckets = []struct {
	bound time.Duration
	name  string
}{
	{time.Millisecond, "le_1ms"}, {5 * time.Millisecond, "le_5ms"}, {20 * time.Millisecond, "le_20ms"},
	{100 * time.Millisecond, "le_100ms"}, {500 * time.Millisecond, "le_500ms"}, {2 * time.Second, "le_2s"},
	{10 * time.Second, "le_10s"}, {60 * time.Second, "le_60s"},
}

// LatencyBucket returns the name of the latency histogram bucket for d.
func LatencyBucket(d time.Duration) string {
	for _, b := range latencyBuckets {
		if d <= b.bound {
			return b.name
		}
	}
	return "above_60s"
}
