package platformstub

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/parsleypier/parsleypier/internal/platformclient"
)

// maxFaultsBodyBytes limits the body of a request to /debug/faults.
const maxFaultsBodyBytes = 64 << 10

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/table/txn", s.serveTxn)
	s.mux.HandleFunc("GET /v1/table/rows/{key...}", s.serveRow)
	s.mux.HandleFunc("GET /v1/table/rows", s.serveRows)
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.servePutObject)
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.serveGetObject)
	s.mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"platform_stub": s.Counters()})
	})
	s.mux.HandleFunc("GET /debug/history", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.History())
	})
	s.mux.HandleFunc("POST /debug/faults", s.serveFaults)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}

// writeIfNotServed writes the response to a request that was not served. It returns
// true if the request was served, and its response is still to be written.
func writeIfNotServed(w http.ResponseWriter, result outcome) bool {
	switch result {
	case served:
		return true
	case dropped:
		panic(http.ErrAbortHandler) // closes the connection without a response
	case rateLimited:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "above the request rate")
	case refused:
		writeError(w, http.StatusServiceUnavailable, "out of service")
	}
	return false
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn platformclient.Txn
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxnBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&txn); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			writeError(w, http.StatusRequestEntityTooLarge, errTooLarge.Error())
			return
		}
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := checkTxn(txn); err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, errTooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeError(w, status, err.Error())
		return
	}
	var versions map[string]uint64
	var conflicts []platformclient.Check
	result := s.do(r.Context(), true /* table */, true /* write */, func(lost bool) { versions, conflicts = s.apply(txn, lost) })
	switch {
	case !writeIfNotServed(w, result):
	case conflicts != nil:
		writeJSON(w, http.StatusConflict, map[string]any{"error": "check failed", "conflicts": conflicts})
	default:
		writeJSON(w, http.StatusOK, map[string]any{"versions": versions})
	}
}

// apply commits txn and updates the counters. The caller must hold s.mu.
func (s *Server) apply(txn platformclient.Txn, lost bool) (map[string]uint64, []platformclient.Check) {
	versions, conflicts := s.contents.commit(txn, lost)
	if conflicts != nil {
		s.counters.Conflicts++
	} else {
		s.counters.RowsWritten += int64(len(txn.Puts) + len(txn.Deletes))
	}
	return versions, conflicts
}

func (s *Server) serveRow(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if err := checkKey(key); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	var row platformclient.Row
	var ok bool
	result := s.do(r.Context(), true /* table */, false /* write */, func(bool) {
		row, ok = s.contents.rows[key]
		s.counters.RowsRead++
	})
	switch {
	case !writeIfNotServed(w, result):
	case !ok:
		writeError(w, http.StatusNotFound, "no such row")
	default:
		writeJSON(w, http.StatusOK, row)
	}
}

func (s *Server) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := defaultListRows
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxListRows {
			writeError(w, http.StatusBadRequest, "limit must be 1 to 1000")
			return
		}
		limit = n
	}
	var rows []platformclient.Row
	var more bool
	result := s.do(r.Context(), true /* table */, false /* write */, func(bool) {
		rows, more = s.contents.list(q.Get("prefix"), q.Get("after"), limit)
		s.counters.RowsRead += int64(len(rows))
	})
	if writeIfNotServed(w, result) {
		writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "more": more})
	}
}

func (s *Server) servePutObject(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if err := checkKey(name); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if r.ContentLength > maxObjectBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "object too large")
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil || r.ContentLength != int64(len(data)) || r.Header.Get("X-Content-SHA256") != checksum(data) {
		writeError(w, http.StatusBadRequest, "body does not match its length or checksum")
		return
	}
	result := s.do(r.Context(), false /* table */, true /* write */, func(bool) {
		s.contents.objects[name] = data
		s.counters.ObjectsWritten++
	})
	if writeIfNotServed(w, result) {
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) serveGetObject(w http.ResponseWriter, r *http.Request) {
	var data []byte
	var ok bool
	result := s.do(r.Context(), false /* table */, false /* write */, func(bool) {
		data, ok = s.contents.objects[r.PathValue("name")]
		s.counters.ObjectsRead++
	})
	switch {
	case !writeIfNotServed(w, result):
	case !ok:
		writeError(w, http.StatusNotFound, "no such object")
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		w.Header().Set("X-Content-SHA256", checksum(data))
		// If this fails, the client is gone and has a truncated body.
		_, _ = w.Write(data)
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := s.SetFaults(f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
