package entry

import (
	"net/http"
	"strconv"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// maxHistory limits GET /v1/manifest/history.
const maxHistory = 100

// showManifest serves GET /v1/manifest: the manifest in force, or the one with the
// version of the query.
func (s *Server) showManifest(x *exchange) error {
	v := x.request.URL.Query().Get("version")
	if v == "" {
		m := s.cfg.Manifests.Current()
		if m == nil {
			return verdict.Refuse(verdict.CodeNotFound, "no manifest is in force yet")
		}
		return x.manifest(m)
	}
	version, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return verdict.Invalid("version", "is not a number")
	}
	m, err := s.cfg.Store.Load(x.ctx, version)
	if err != nil {
		return err
	}
	return x.manifest(m)
}

// manifest sets the response to the manifest.
func (x *exchange) manifest(m *structs.Manifest) error {
	x.header.Set("ETag", strconv.Quote(strconv.FormatUint(m.Version, 10)))
	return x.json(http.StatusOK, m)
}

// checkManifest serves POST /v1/manifest/check: it validates a manifest and does not
// apply it.
func (s *Server) checkManifest(x *exchange) error {
	body, err := x.readBody()
	if err != nil {
		return err
	}
	m, survives, err := s.cfg.Check(body)
	if err != nil {
		return notRunError(err)
	}
	return x.json(http.StatusOK, structs.CheckResponse{Parent: m.Parent, Survives: survives})
}

// applyManifest serves POST /v1/manifest: it puts a manifest in force. The parent is
// the version that the manifest was derived from; the manifest is refused if
// another version was accepted since.
func (s *Server) applyManifest(x *exchange) error {
	body, err := x.readBody()
	if err != nil {
		return err
	}
	m, survives, err := s.cfg.Check(body)
	if err != nil {
		return notRunError(err)
	}
	if v := x.request.URL.Query().Get("parent"); v != "" {
		if m.Parent, err = strconv.ParseUint(v, 10, 64); err != nil {
			return verdict.Invalid("parent", "is not a number")
		}
	}
	accepted, err := s.cfg.Store.Apply(x.ctx, m)
	if err != nil {
		return err
	}
	return x.json(http.StatusOK, structs.CheckResponse{Version: accepted.Version, Parent: accepted.Parent, Survives: survives})
}

// notRunError returns err with the verdict NotRun, because the check failed before
// anything was written. An error without a code becomes bad_request.
func notRunError(err error) error {
	e := verdict.From(err)
	if e.Code == verdict.CodeInternal {
		e = verdict.Refuse(verdict.CodeBadRequest, "%v", err)
	}
	return e.WithVerdict(verdict.NotRun)
}

// manifestHistory serves GET /v1/manifest/history.
func (s *Server) manifestHistory(x *exchange) error {
	limit := maxHistory
	if v := x.request.URL.Query().Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxHistory {
			return verdict.Invalid("limit", "is not between 1 and %d", maxHistory)
		}
		limit = n
	}
	history, err := s.cfg.Store.History(x.ctx, limit)
	if err != nil {
		return err
	}
	return x.json(http.StatusOK, structs.HistoryResponse{Manifests: history})
}

// showSchema serves GET /v1/schema.
func (s *Server) showSchema(x *exchange) error {
	if len(s.cfg.Schema) == 0 {
		return verdict.Refuse(verdict.CodeNotFound, "this entry has no schema")
	}
	x.header.Set("Content-Type", "application/schema+json")
	x.body = s.cfg.Schema
	return nil
}
