package entry

import (
	"context"
	"expvar"
	"net/http"
	"strconv"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Limits of request bodies. maxJobOverheadBytes is the part of a job's body that is
// not the payload.
const (
	maxManifestBytes    = 4 << 20
	maxCancelBytes      = 1 << 20
	maxJobOverheadBytes = 16 << 10
)

// routes returns the handler for all paths of the API.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	add := func(pattern string, h handler, filters ...filter) {
		common := []filter{traceFilter, metricsFilter, recoverFilter}
		mux.Handle(pattern, s.serve(pattern, chain(h, append(common, filters...)...)))
	}
	readFilters := []filter{s.inFlightFilter, s.accountFilter, s.deadlineFilter}
	add("POST /v1/jobs", s.submitJob, s.drainFilter, s.sizeFilter(s.jobBodyLimit), s.inFlightFilter,
		s.requestKeyFilter, s.accountFilter, s.validateFilter, s.rateFilter, s.deadlineFilter, s.mergeFilter)
	add("GET /v1/jobs/{id}", s.showJob, readFilters...)
	add("GET /v1/jobs/{id}/result", s.showResult, readFilters...)
	add("GET /v1/jobs/{id}/explain", s.explainJob, readFilters...)
	add("GET /v1/jobs", s.listJobs, readFilters...)
	add("DELETE /v1/jobs/{id}", s.cancelJob, readFilters...)
	add("POST /v1/cancel", s.cancelBatch, append([]filter{s.sizeFilter(fixedLimit(maxCancelBytes))}, readFilters...)...)
	operatorFilters := []filter{s.sizeFilter(fixedLimit(maxManifestBytes)), s.inFlightFilter, s.deadlineFilter}
	add("GET /v1/manifest", s.showManifest, operatorFilters...)
	add("POST /v1/manifest", s.applyManifest, append([]filter{s.drainFilter}, operatorFilters...)...)
	add("POST /v1/manifest/check", s.checkManifest, operatorFilters...)
	add("GET /v1/manifest/history", s.manifestHistory, operatorFilters...)
	add("GET /v1/schema", s.showSchema)
	for _, view := range []string{"workers", "queue", "accounts", "status"} {
		add("GET /v1/"+view, s.showView(view), operatorFilters...)
	}
	add("GET /healthz", s.healthz)
	add("GET /readyz", s.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	if s.cfg.Faults != nil {
		mux.Handle("POST /debug/faults", s.cfg.Faults)
	}
	add("/", func(x *exchange) error {
		return verdict.Refuse(verdict.CodeNotFound, "no such path or method: %s %s", x.request.Method, x.request.URL.Path)
	})
	return mux
}

// serve returns an HTTP handler that runs h and then writes the whole response.
func (s *Server) serve(route string, h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		x := &exchange{ctx: r.Context(), route: route, request: r, writer: w, status: http.StatusOK, header: w.Header()}
		if err := h(x); err != nil {
			x.fail(err)
		}
		if s.draining.Load() {
			x.header.Set("Connection", "close")
		}
		x.header.Set("Content-Length", strconv.Itoa(len(x.body)))
		w.WriteHeader(x.status)
		// If the write fails, the client has disconnected and no error can be reported.
		_, _ = w.Write(x.body)
	})
}

func fixedLimit(n int64) func() int64 { return func() int64 { return n } }

func (s *Server) healthz(x *exchange) error {
	return x.json(http.StatusOK, map[string]string{"status": "ok"})
}

// readyz serves GET /readyz, which load balancers query.
func (s *Server) readyz(x *exchange) error {
	if s.draining.Load() {
		return verdict.Refuse(verdict.CodeDraining, "the entry is leaving")
	}
	if s.cfg.Manifests.Current() == nil {
		return verdict.Refuse(verdict.CodeUnavailable, "no manifest is in force yet")
	}
	if s.cfg.Ready != nil {
		if err := s.cfg.Ready(); err != nil {
			return verdict.Refuse(verdict.CodeUnavailable, "%v", err)
		}
	}
	return x.json(http.StatusOK, map[string]string{"status": "ready"})
}

// drainContext returns a context that also ends when Drain ends the waits.
func (s *Server) drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-s.waitsEnded:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
