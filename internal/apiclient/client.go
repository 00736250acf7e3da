// Package apiclient is the Go client of the entry's HTTP API. Errors are
// *verdict.Error values that say whether the request may have run.
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

const (
	// responseTimeout is how long an entry may take beyond the requested wait.
	responseTimeout = 20 * time.Second
	// maxResponseBytes limits the body of a response. A result of 1 MiB takes 1.4 MiB in
	// JSON; a list of 1,000 jobs or a large manifest takes a few MiB.
	maxResponseBytes = 32 << 20
	// maxPasses is how often the client goes through the list of entries.
	maxPasses = 2
	// passInterval is the mean pause between two passes, without the
	// delay that the last entry asked for.
	passInterval = 200 * time.Millisecond
)

var tracer = otel.Tracer("github.com/parsleypier/parsleypier/internal/apiclient")

// Options configure a Client.
type Options struct {
	// Entries are the base URLs of the entries, such as http://10.0.0.1:8080, in
	// the order in which they are tried. At least one is required.
	Entries []string
	// Account is the client account of all requests; empty for operators.
	Account string
	// Transport sends the requests; nil means a new transport.
	Transport http.RoundTripper
}

// IdleTimeout is the time after which the client closes an idle connection. It is
// below the 3 s after which an entry that is shutting down closes idle connections,
// because a request sent while the entry closes the connection would fail.
const IdleTimeout = 2 * time.Second

// Client calls the entries. It is safe for concurrent use.
type Client struct {
	entries []string
	account string
	http    *http.Client
	// preferred is the index of the entry that last responded with success.
	preferred atomic.Int64
}

// New returns a client. It returns a bad_request error for a malformed entry.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, verdict.Invalid("entries", "names no entry")
	}
	c := &Client{account: o.Account}
	for _, e := range o.Entries {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, verdict.Invalid("entries", "%q is not an address such as http://10.0.0.1:8080", e)
		}
		c.entries = append(c.entries, strings.TrimSuffix(e, "/"))
	}
	if o.Transport == nil {
		// Up to 16 concurrent requests to an entry reuse their connections.
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: IdleTimeout, ForceAttemptHTTP2: false}
	}
	c.http = &http.Client{Transport: o.Transport}
	return c, nil
}

// Close closes the idle connections of the transport. That includes a transport that
// was supplied in Options, if it has the method CloseIdleConnections. The client stays
// usable; a later request opens a new connection.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// request is an API request.
type request struct {
	method, path string
	query        url.Values
	header       http.Header
	body         []byte
	wait         time.Duration
	// repeatable says that the request may be sent again even if it may have run.
	repeatable bool
}

// response is a complete, successful response of an entry.
type response struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request to the entries in turn until one responds with success. It
// tries another one only if that may serve the request, and the request has
// certainly not run or is repeatable. The verdict of the error combines those of
// all attempts.
func (c *Client) do(ctx context.Context, r request) (*response, error) {
	ctx, span := tracer.Start(ctx, r.method+" "+r.path, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	combined := verdict.NotRun
	first := int(c.preferred.Load())
	var last *verdict.Error
	for attempt := range maxPasses * len(c.entries) {
		if attempt > 0 && attempt%len(c.entries) == 0 && !sleepBetweenPasses(ctx, last.RetryAfter) {
			break
		}
		i := (first + attempt) % len(c.entries)
		resp, err := c.send(ctx, c.entries[i], r)
		if err == nil {
			c.preferred.Store(int64(i))
			span.SetAttributes(attribute.String("server.address", c.entries[i]))
			return resp, nil
		}
		last = verdict.From(err)
		combined = verdict.Combine(combined, last.Verdict)
		if ctx.Err() != nil || !c.retryableOnOtherEntry(last) || last.Verdict != verdict.NotRun && !r.repeatable {
			break
		}
	}
	return nil, last.WithVerdict(combined)
}

// retryableOnOtherEntry reports whether another entry may serve the request.
func (c *Client) retryableOnOtherEntry(e *verdict.Error) bool {
	switch e.Code {
	case verdict.CodeDraining, verdict.CodeUnavailable, verdict.CodeNotOwner:
		return true
	}
	return false
}

// sleepBetweenPasses waits before the next pass over the entries. It returns
// false if ctx ends first.
func sleepBetweenPasses(ctx context.Context, retryAfter time.Duration) bool {
	d := passInterval/2 + rand.N(passInterval) + min(retryAfter, time.Second)
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends the request to the entry at base.
func (c *Client) send(ctx context.Context, base string, r request) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.wait+responseTimeout)
	defer cancel()
	// Once there is a connection, the request may reach the entry.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	target := base + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeBadRequest, "%v", err)
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	if c.account != "" {
		req.Header.Set(structs.HeaderAccount, c.account)
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.http.Do(req)
	if err != nil {
		v := verdict.NotRun
		if connected.Load() {
			v = verdict.MayHaveRun
		}
		return nil, verdict.New(v, verdict.CodeUnavailable, "%v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the reply of %s is cut off or above %d bytes: %v", base, maxResponseBytes, err)
	}
	if resp.StatusCode >= 300 {
		return nil, errorFromResponse(base, resp, body)
	}
	return &response{resp.StatusCode, resp.Header, body}, nil
}

// errorFromResponse returns the error in a response. A response without an error of
// the API did not come from an entry and says nothing about the request, so its
// verdict is MayHaveRun.
func errorFromResponse(base string, resp *http.Response, body []byte) error {
	var e structs.ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Error == nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s answered with status %d and no error of the API", base, resp.StatusCode)
	}
	return e.Error
}

// decode decodes a response into v, unless err is set. If the response is malformed,
// the request may have run.
func decode(r *response, err error, v any) error {
	if err != nil {
		return err
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the reply is malformed: %v", err)
	}
	return nil
}

// notFound reports whether err says that the job does not exist.
func notFound(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Code == verdict.CodeNotFound
}
