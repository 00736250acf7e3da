// Package telemetry sets up logging, tracing and the metrics of the process.
package telemetry

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"k8s.io/klog/v2"
)

// Limits of the trace exporter. Spans that do not fit into the queue are dropped, so
// that tracing never delays a request.
const (
	maxQueuedSpans = 4096
	maxBatchSpans  = 512
	batchInterval  = time.Second
	// maxAttributes limits the attributes of a span and maxAttributeBytes the length
	// of each value.
	maxAttributes     = 32
	maxAttributeBytes = 1024
)

// Options are the settings of Setup.
type Options struct {
	// Service is the name of the program, ID that of the process, and Role its role
	// in the deployment.
	Service, ID, Role string
	// Verbosity is the log level of klog, 0 to 9.
	Verbosity int
	// TraceFile is the file to which spans are appended, one JSON document a line;
	// "-" is standard error. If it is empty, no spans are recorded.
	TraceFile string
	// TraceRatio is the sampling ratio of the traces that start in this process. A
	// trace that started in another process is recorded if that process records it.
	TraceRatio float64
	// TraceLimitBytes is the number of bytes after which spans are dropped.
	TraceLimitBytes int64
}

// Telemetry holds the trace exporter of a process until Shutdown.
type Telemetry struct {
	provider  *sdktrace.TracerProvider
	traceFile io.Closer
}

// Setup sets up logging and tracing for the process and publishes its metrics. The
// caller must call Shutdown before the process ends.
func Setup(o Options) (*Telemetry, error) {
	if err := setUpLogs(o.Verbosity); err != nil {
		return nil, err
	}
	publishProcessMetrics(o)
	t := &Telemetry{}
	otel.SetTextMapPropagator(propagation.TraceContext{})
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(error) { exportErrors.Add(1) }))
	if o.TraceFile == "" {
		return t, nil
	}
	var out io.Writer = os.Stderr
	if o.TraceFile != "-" {
		f, err := os.OpenFile(o.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("trace file: %w", err)
		}
		out, t.traceFile = f, f
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(&cappedWriter{w: out, remainingBytes: o.TraceLimitBytes}))
	if err != nil {
		return nil, errors.Join(err, t.close())
	}
	limits := sdktrace.NewSpanLimits()
	limits.AttributeCountLimit, limits.AttributeValueLengthLimit = maxAttributes, maxAttributeBytes
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(maxQueuedSpans),
			sdktrace.WithMaxExportBatchSize(maxBatchSpans), sdktrace.WithBatchTimeout(batchInterval)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.TraceRatio))),
		sdktrace.WithRawSpanLimits(limits),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", o.Service), attribute.String("service.instance.id", o.ID))),
	)
	otel.SetTracerProvider(t.provider)
	return t, nil
}

// setUpLogs makes klog write to standard error with the verbosity.
func setUpLogs(verbosity int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	return errors.Join(fs.Set("logtostderr", "true"), fs.Set("v", strconv.Itoa(verbosity)))
}

// Shutdown writes the remaining spans and log lines, and closes the trace file. It
// stops waiting for the spans when ctx ends.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	var err error
	if t.provider != nil {
		err = t.provider.Shutdown(ctx)
	}
	klog.Flush()
	return errors.Join(err, t.close())
}

func (t *Telemetry) close() error {
	if t.traceFile == nil {
		return nil
	}
	return t.traceFile.Close()
}

// exportErrors counts the errors of the trace exporter, and droppedSpans the spans
// beyond the size limit of the trace file.
var exportErrors, droppedSpans atomic.Int64

// cappedWriter drops all writes once remainingBytes is used up. Each write is one
// span, so that the file ends with a complete span.
type cappedWriter struct {
	mu             sync.Mutex
	w              io.Writer
	remainingBytes int64
}

func (l *cappedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int64(len(b)) > l.remainingBytes {
		l.remainingBytes = 0
		droppedSpans.Add(1)
		return len(b), nil
	}
	n, err := l.w.Write(b)
	l.remainingBytes -= int64(n)
	return n, err
}
