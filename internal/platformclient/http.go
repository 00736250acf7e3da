package platformclient

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/netfault"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

var tracer = otel.Tracer("github.com/parsleypier/parsleypier/internal/platform")

const (
	checksumHeader = "X-Content-SHA256"
	maxListRows    = 1000
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
)

func newHTTPClient(o Options) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTimeout)
				defer cancel()
				return netfault.Dial(ctx, o.LocalIP, addr)
			},
			MaxConnsPerHost: o.MaxConns, MaxIdleConnsPerHost: o.MaxConns, IdleConnTimeout: idleTimeout,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// request is an HTTP request to the platform.
type request struct {
	method, path string
	body         []byte
	write        bool // may change rows or objects
	object       bool // for the object store, not the table
}

// call sends r, retries it while that is safe, and returns the response body.
// The error is a *verdict.Error or a *ConflictError.
func (c *Client) call(ctx context.Context, s *service, r request) ([]byte, error) {
	ctx, span := telemetry.StartChildSpan(ctx, tracer, "platform "+r.method+" "+strings.SplitN(r.path, "?", 2)[0], trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	timeout := c.timeout
	if r.object {
		timeout = c.objectTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	metrics.Add(metricCalls, 1)
	c.budget.RecordRequest()
	backoff := retryBackoff
	for attempt := 1; ; attempt++ {
		data, err := c.attempt(ctx, callCtx, s, r)
		if err == nil || !verdict.HasCode(err, verdict.CodePlatformUnavailable) {
			return data, err
		}
		metrics.Add(metricFailures, 1)
		// A write whose response was lost is not retried: it may have taken
		// effect.
		if verdict.Of(err) != verdict.NotRun || attempt == maxAttempts || s.breaker.isOpen() || callCtx.Err() != nil {
			return nil, err
		}
		if !c.budget.AllowRetry(time.Now()) {
			metrics.Add(metricRetriesDenied, 1)
			return nil, err
		}
		metrics.Add(metricRetries, 1)
		select {
		case <-time.After(retry.Jitter(2 * backoff)):
		case <-callCtx.Done():
			return nil, err
		}
		backoff *= 2
	}
}

// attempt sends r once. parent is the caller's context; ctx is derived from it
// and also has the client's own deadline.
func (c *Client) attempt(parent, ctx context.Context, s *service, r request) ([]byte, error) {
	allowed, wait := s.breaker.allow(time.Now())
	if !allowed {
		metrics.Add(metricBreakerRefused, 1)
		return nil, verdict.Refuse(verdict.CodePlatformUnavailable, "circuit of the %s is open", s.name).WithRetryAfter(wait)
	}
	if r.write {
		metrics.Add(metricWrites, 1)
	} else {
		metrics.Add(metricReads, 1)
	}
	start := time.Now()
	sent, resp, data, err := c.exchange(ctx, r)
	elapsed := time.Since(start)
	if err != nil {
		outcome := callFailed
		if errors.Is(parent.Err(), context.Canceled) || parent.Err() != nil && elapsed < slowLatency {
			outcome = callUnknown
		}
		s.record(outcome, elapsed)
		v := verdict.NotRun
		if r.write && sent {
			metrics.Add(metricLostResponses, 1)
			v = verdict.MayHaveRun
		}
		return nil, verdict.New(v, verdict.CodePlatformUnavailable, "%s %s: %v", r.method, r.path, err)
	}
	err = responseError(r, resp, data)
	failed := resp.StatusCode != http.StatusTooManyRequests && verdict.HasCode(err, verdict.CodePlatformUnavailable)
	if failed {
		s.record(callFailed, elapsed)
	} else {
		s.record(callOK, elapsed)
	}
	if err != nil {
		return nil, err
	}
	return data, nil
}

// exchange sends r and reads the whole response. sent is false if the request
// cannot have reached the platform.
func (c *Client) exchange(ctx context.Context, r request) (sent bool, resp *http.Response, data []byte, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return false, nil, nil, err
	}
	if r.object && r.write {
		req.Header.Set(checksumHeader, checksum(r.body))
		req.Header.Set("Content-Type", "application/octet-stream")
	} else if r.write {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err = c.http.Do(req)
	if err != nil {
		return sent, nil, nil, err
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return sent, resp, data, err
}

// responseError returns the error that a response stands for, or nil if it is a
// success.
func responseError(r request, resp *http.Response, data []byte) error {
	var body struct {
		Error     string
		Conflicts []Check
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		// If the body is not JSON, the message stays empty; the code depends on
		// the status only.
		_ = json.Unmarshal(data, &body)
	}
	refuse := func(code verdict.Code) *verdict.Error {
		return verdict.Refuse(code, "%s %s: status %d: %.200s", r.method, r.path, resp.StatusCode, body.Error)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if r.object && !r.write && resp.Header.Get(checksumHeader) != checksum(data) {
			return verdict.Refuse(verdict.CodePlatformUnavailable, "object %s of %d bytes does not match its checksum", r.path, len(data))
		}
		return nil
	case http.StatusNoContent:
		return nil
	case http.StatusBadRequest, http.StatusMethodNotAllowed:
		return refuse(verdict.CodeBadRequest)
	case http.StatusNotFound:
		return refuse(verdict.CodeNotFound)
	case http.StatusConflict:
		metrics.Add(metricConflicts, 1)
		return NewConflict(body.Conflicts)
	case http.StatusRequestEntityTooLarge:
		return refuse(verdict.CodeTooLarge)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refuse(verdict.CodePlatformUnavailable).WithRetryAfter(retryAfter(resp))
	}
	err := refuse(verdict.CodePlatformUnavailable)
	if r.write {
		return err.WithVerdict(verdict.MayHaveRun)
	}
	return err
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
