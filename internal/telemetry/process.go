package telemetry

import (
	"expvar"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"
)

var (
	publishOnce  sync.Once
	processStart = time.Now()
)

// publishProcessMetrics publishes the expvar map parsleypier_process. Only the first
// call has an effect, because the identity of a process does not change.
func publishProcessMetrics(o Options) {
	publishOnce.Do(func() {
		m := expvar.NewMap("parsleypier_process")
		m.Set("service", stringVar(o.Service))
		m.Set("id", stringVar(o.ID))
		m.Set("role", stringVar(o.Role))
		build, goVersion := buildInfo()
		m.Set("build", stringVar(build))
		m.Set("goVersion", stringVar(goVersion))
		m.Set("startTime", stringVar(processStart.UTC().Format(time.RFC3339)))
		m.Set("uptimeSeconds", expvar.Func(func() any { return time.Since(processStart).Seconds() }))
		m.Set("memoryBytes", runtimeMetric("/memory/classes/total:bytes", "/memory/classes/heap/released:bytes"))
		m.Set("heapBytes", runtimeMetric("/memory/classes/heap/objects:bytes", ""))
		m.Set("goroutines", runtimeMetric("/sched/goroutines:goroutines", ""))
		// The runtime updates its CPU classes at each garbage collection only.
		m.Set("runtimeCPUSeconds", runtimeMetric("/cpu/classes/total:cpu-seconds", "/cpu/classes/idle:cpu-seconds"))
		m.Set("cpuSeconds", expvar.Func(func() any { return cpuSeconds() }))
		m.Set("traceErrors", expvar.Func(func() any { return exportErrors.Load() }))
		m.Set("traceSpansDropped", expvar.Func(func() any { return droppedSpans.Load() }))
	})
}

func stringVar(s string) *expvar.String {
	v := new(expvar.String)
	v.Set(s)
	return v
}

// runtimeMetric returns a variable with the value of the runtime metric name, minus
// the value of the metric minus unless that is empty.
func runtimeMetric(name, minus string) expvar.Func {
	return func() any {
		samples := []metrics.Sample{{Name: name}, {Name: minus}}
		if minus == "" {
			samples = samples[:1]
		}
		metrics.Read(samples)
		value := metricValue(samples[0].Value)
		if minus != "" {
			value -= metricValue(samples[1].Value)
		}
		return value
	}
}

func metricValue(v metrics.Value) float64 {
	switch v.Kind() {
	case metrics.KindUint64:
		return float64(v.Uint64())
	case metrics.KindFloat64:
		return v.Float64()
	}
	return 0
}

// cpuSeconds returns the CPU time of the process as measured by the kernel.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

func buildInfo() (build, goVersion string) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown", "unknown"
	}
	build = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			build = s.Value
		}
	}
	return build, info.GoVersion
}
