package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/trace"
)

// StartChildSpan starts a span if ctx belongs to a trace. Otherwise it returns ctx and a
// span that records nothing, because renewals and polls, which repeat every second,
// would each start a new trace.
func StartChildSpan(ctx context.Context, tracer trace.Tracer, name string, opts ...trace.SpanStartOption) (context.Context, trace.Span) {
	span := trace.SpanFromContext(ctx)
	if !span.SpanContext().IsValid() {
		return ctx, trace.SpanFromContext(context.Background())
	}
	return tracer.Start(ctx, name, opts...)
}
