// Package rpc implements the calls between entries and agents on top of net/rpc. It
// adds deadlines, trace context, a verdict for every failure, byte counters, and
// limits on connections and message size.
package rpc

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Header is embedded in every request.
type Header struct {
	// TraceParent is the W3C trace context of the caller.
	TraceParent string
	// Budget is the time until the caller's deadline; 0 means DefaultTimeout.
	Budget time.Duration
	// ManifestVersion is the version in force at the caller; 0 if it has none.
	ManifestVersion uint64
	// From identifies the calling process.
	From string
}

// Reply is embedded in every reply. Err is nil on success.
type Reply struct {
	Err *verdict.Error
}

// Failure returns the error of the reply.
func (r *Reply) Failure() *verdict.Error { return r.Err }

// ReplyMessage is the interface of all replies; the embedded Reply implements it.
type ReplyMessage interface{ Failure() *verdict.Error }

// RequestMessage is the interface of all requests; the embedded Header implements it.
type RequestMessage interface{ SetHeader(Header) }

// SetHeader sets the header of the request.
func (h *Header) SetHeader(v Header) { *h = v }

var tracer = otel.Tracer("github.com/parsleypier/parsleypier/internal/rpc")

// SpanContext returns the trace context of the caller.
func (h Header) SpanContext() trace.SpanContext {
	carrier := propagation.MapCarrier{"traceparent": h.TraceParent}
	return trace.SpanContextFromContext(propagation.TraceContext{}.Extract(context.Background(), carrier))
}

// StartServerSpan starts the server span of the call name and returns a context with
// that span and the deadline of the client. The handler must call the returned
// function when it has finished.
func StartServerSpan(h Header, name string) (context.Context, func()) {
	carrier := propagation.MapCarrier{"traceparent": h.TraceParent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	budget := h.Budget
	if budget <= 0 {
		budget = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	ctx, span := tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
	return ctx, func() {
		span.End()
		cancel()
	}
}

func traceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}
