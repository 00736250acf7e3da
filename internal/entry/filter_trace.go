package entry

import (
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

var (
	tracer       = otel.Tracer("github.com/parsleypier/parsleypier/internal/entry")
	traceContext = propagation.TraceContext{}
)

// traceFilter starts a span in the client's W3C trace, or in a new trace if the
// request has none, and returns the trace context in the response headers.
func traceFilter(next handler) handler {
	return func(x *exchange) error {
		ctx := traceContext.Extract(x.ctx, propagation.HeaderCarrier(x.request.Header))
		ctx, span := tracer.Start(ctx, x.route, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		x.ctx = ctx
		traceContext.Inject(ctx, propagation.HeaderCarrier(x.header))
		err := next(x)
		if x.jobID != "" {
			span.SetAttributes(attribute.String("job.id", x.jobID))
		}
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		return err
	}
}
