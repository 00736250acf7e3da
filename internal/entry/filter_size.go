package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// maxBodyBytesInFlight limits the total size of the bodies of all requests in
// progress. A waiting request keeps its payload in memory because it may have to
// be submitted again.
const maxBodyBytesInFlight = 64 << 20

// sizeFilter limits the size of the body and the total size of the bodies in
// progress. A request whose Content-Length is above the limit is refused before
// its body is read. A body of unknown length counts as one of the maximum size.
func (s *Server) sizeFilter(limit func() int64) filter {
	return func(next handler) handler {
		return func(x *exchange) error {
			n := limit()
			if x.request.ContentLength > n {
				return tooLarge(n)
			}
			reserved := x.request.ContentLength
			if reserved < 0 {
				reserved = n
			}
			if !s.bodyBytes.TryAcquire(reserved) {
				return verdict.Refuse(verdict.CodeOverloaded, "the requests in progress have %d bytes", maxBodyBytesInFlight).
					WithRetryAfter(time.Second)
			}
			defer s.bodyBytes.Release(reserved)
			x.request.Body = http.MaxBytesReader(x.writer, x.request.Body, n)
			return next(x)
		}
	}
}

func tooLarge(limit int64) error {
	return verdict.Refuse(verdict.CodeTooLarge, "the body is above the limit of %d bytes", limit)
}

// readBody returns the whole body.
func (x *exchange) readBody() ([]byte, error) {
	body, err := io.ReadAll(x.request.Body)
	if err == nil {
		return body, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(large.Limit)
	}
	return nil, verdict.Refuse(verdict.CodeBadRequest, "the body could not be read: %v", err)
}

// jobBodyLimit returns the size limit of the body of POST /v1/jobs under the
// manifest in force. The payload is base64 in JSON, which adds a third.
func (s *Server) jobBodyLimit() int64 {
	return int64(payloadLimit(s.cfg.Manifests.Current()))*4/3 + maxJobOverheadBytes
}

// payloadLimit returns the size limit of a job's payload.
func payloadLimit(m *structs.Manifest) int {
	if m == nil || m.Limits.MaxPayloadBytes <= 0 {
		return structs.DefaultMaxPayloadBytes
	}
	return min(m.Limits.MaxPayloadBytes, maxPayloadBytes)
}

// maxPayloadBytes is the upper bound for the payload limit of a manifest. It keeps
// a submission below the size limit of an RPC message (8 MiB).
const maxPayloadBytes = 4 << 20
