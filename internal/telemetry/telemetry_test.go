package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"os"
	"path/filepath"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"))
}

// Guards against spans that are lost at shutdown, split over several lines, or
// written without the name of the process, which the command "trace" of the
// command-line tool needs.
func TestShutdownWritesWholeSpans(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace.json")
	tel, err := Setup(Options{Service: "parsleypierd", ID: "e1", TraceFile: file, TraceRatio: 1, TraceLimitBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	_, span := otel.Tracer("test").Start(context.Background(), "submit", trace.WithAttributes(attribute.String("job.id", "a.b")))
	span.End()
	if err := tel.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(file)
	if err != nil || bytes.Count(data, []byte("\n")) != 1 {
		t.Fatalf("file %q, error %v", data, err)
	}
	var got struct {
		Name                 string
		Attributes, Resource []struct {
			Key   string
			Value struct{ Value string }
		}
	}
	if err := json.Unmarshal(data, &got); err != nil || got.Name != "submit" || got.Attributes[0].Value.Value != "a.b" {
		t.Errorf("span %s, error %v", data, err)
	}
	found := false
	for _, a := range got.Resource {
		found = found || a.Key == "service.instance.id" && a.Value.Value == "e1"
	}
	if !found {
		t.Errorf("resource %+v", got.Resource)
	}
}

// Guards against a trace file that grows without limit or ends with an incomplete
// span.
func TestTraceFileStopsAtLimit(t *testing.T) {
	var out bytes.Buffer
	w := &cappedWriter{w: &out, remainingBytes: 5}
	dropped := droppedSpans.Load()
	for _, span := range []string{"abc\n", "de\n", "f"} {
		if n, err := w.Write([]byte(span)); n != len(span) || err != nil {
			t.Fatalf("%d bytes, error %v", n, err)
		}
	}
	if out.String() != "abc\n" || droppedSpans.Load() != dropped+2 {
		t.Errorf("file %q, %d dropped", out.String(), droppedSpans.Load()-dropped)
	}
}

// Guards against metrics that are missing or zero, and against a second Setup that
// panics.
func TestSetupPublishesProcessMetrics(t *testing.T) {
	for range 2 {
		if _, err := Setup(Options{Service: "parsleypierd", ID: "e1", Role: "entry"}); err != nil {
			t.Fatal(err)
		}
	}
	var got map[string]any
	if err := json.Unmarshal([]byte(expvar.Get("parsleypier_process").String()), &got); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"uptimeSeconds", "memoryBytes", "heapBytes", "goroutines", "cpuSeconds"} {
		if v, ok := got[name].(float64); !ok || v <= 0 {
			t.Errorf("%s is %v", name, got[name])
		}
	}
	if got["runtimeCPUSeconds"] == nil || got["goVersion"] == "" {
		t.Errorf("metrics %v", got)
	}
}
