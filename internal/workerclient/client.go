package workerclient

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/netfault"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/telemetry"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

var tracer = otel.Tracer("github.com/parsleypier/parsleypier/internal/workerclient")

// Limits of a client.
const (
	// DefaultTimeout limits a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// longPollMargin is the time that a long poll may take beyond its wait.
	longPollMargin = 2 * time.Second
	// maxConnsPerWorker limits the connections to the worker.
	maxConnsPerWorker = 16
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 90 * time.Second
	// maxErrorBytes limits the body of an error response.
	maxErrorBytes = 64 << 10
)

// Client calls one worker. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// Sent and Received count the bytes over all connections.
	Sent, Received atomic.Int64
}

// New returns a client of the worker at addr, which is host:port or a URL.
// Connections use the local address localIP, or any if it is empty.
func New(addr, localIP string) *Client {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	c := &Client{base: strings.TrimSuffix(addr, "/")}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			conn, err := netfault.Dial(ctx, localIP, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, client: c}, nil
		},
		MaxConnsPerHost: maxConnsPerWorker, MaxIdleConnsPerHost: maxConnsPerWorker,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
	return c
}

// Close closes the idle connections. The client stays usable; a later call opens a new
// connection.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Info returns a description of the worker.
func (c *Client) Info(ctx context.Context) (Info, error) {
	var info Info
	return info, c.call(ctx, http.MethodGet, PathInfo, nil, &info)
}

// Fence raises the worker's incarnation, which stops the tasks of lower
// incarnations. Error: stale_epoch if the worker has seen a higher one.
func (c *Client) Fence(ctx context.Context, incarnation int64) error {
	return c.call(ctx, http.MethodPost, PathFence, FenceRequest{incarnation}, nil)
}

// Run starts a task. Errors: stale_epoch, conflict, tombstoned, overloaded.
func (c *Client) Run(ctx context.Context, r *RunRequest) error {
	return c.call(ctx, http.MethodPost, PathRun, r, nil)
}

// Renew renews the leases of tasks. Error: stale_epoch.
func (c *Client) Renew(ctx context.Context, r *RenewRequest) (*RenewReply, error) {
	response := &RenewReply{}
	return response, c.call(ctx, http.MethodPost, PathRenew, r, response)
}

// States returns the tasks whose state changed after version since. If there is
// no change, it waits up to wait for one.
func (c *Client) States(ctx context.Context, since uint64, wait time.Duration) (*StatesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+longPollMargin)
	defer cancel()
	query := url.Values{
		"since":   {strconv.FormatUint(since, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	response := &StatesReply{}
	return response, c.call(ctx, http.MethodGet, PathStates+"?"+query.Encode(), nil, response)
}

// Checkpoint returns a checkpoint of a task. Errors: not_found,
// stale_epoch, conflict (the task failed or was stopped), too_large.
func (c *Client) Checkpoint(ctx context.Context, r TaskRequest) ([]byte, error) {
	var response CheckpointReply
	if err := c.call(ctx, http.MethodPost, PathCheckpoint, r, &response); err != nil {
		return nil, err
	}
	if len(response.Checkpoint) > MaxCheckpointBytes {
		return nil, verdict.New(verdict.Ran, verdict.CodeTooLarge, "checkpoint of %d bytes", len(response.Checkpoint))
	}
	return response.Checkpoint, nil
}

// Throttle sets the speed of a task. Errors: not_found, stale_epoch.
func (c *Client) Throttle(ctx context.Context, r TaskRequest) error {
	return c.call(ctx, http.MethodPost, PathThrottle, r, nil)
}

// Stop stops a task and prevents a later start under its ID, also if the worker
// does not know the task. It returns the task's final state, which is stopped
// for an unknown task. Error: stale_epoch.
func (c *Client) Stop(ctx context.Context, r TaskRequest) (TaskStatus, error) {
	var response TaskStatus
	return response, c.call(ctx, http.MethodPost, PathStop, r, &response)
}

// Result returns the result of a finished task after verifying its length and
// checksum. Errors: not_found, conflict (the task has not finished), too_large (it
// is larger than limit bytes), unavailable (the call may be retried).
func (c *Client) Result(ctx context.Context, r TaskRequest, limit int) ([]byte, error) {
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	resp, err := c.send(ctx, http.MethodPost, PathResult, r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.ContentLength < 0 {
		return nil, verdict.New(verdict.Ran, verdict.CodeInternal, "result without a length")
	}
	if resp.ContentLength > int64(limit) {
		return nil, verdict.New(verdict.Ran, verdict.CodeTooLarge, "result of %d bytes is above the limit of %d", resp.ContentLength, limit)
	}
	data := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, data); err != nil {
		return nil, verdict.New(verdict.Ran, verdict.CodeUnavailable, "read result: %v", err)
	}
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != resp.Header.Get(HeaderSHA256) {
		return nil, verdict.New(verdict.Ran, verdict.CodeUnavailable, "result does not match its checksum")
	}
	return data, nil
}

// Usage returns the resources that the worker's tasks use.
func (c *Client) Usage(ctx context.Context) (structs.Usage, error) {
	var u UsageReply
	err := c.call(ctx, http.MethodGet, PathUsage, nil, &u)
	return structs.Usage{CoresMilli: u.CoresMilli, MemoryMB: u.MemoryMB, Lag: time.Duration(u.LagMS) * time.Millisecond}, err
}

// withDefaultTimeout adds DefaultTimeout to a context without a deadline.
func (c *Client) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

// call sends a request and decodes the response body into response, unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, body, response any) error {
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	limited := io.LimitReader(resp.Body, MaxBodyBytes)
	if response != nil {
		if err := json.NewDecoder(limited).Decode(response); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: read answer: %v", path, err)
		}
	}
	// The connection is reused only if the body was read to its end.
	io.Copy(io.Discard, limited)
	return nil
}

// send sends a request within a trace span. It returns the response if its status
// is 200, else a *verdict.Error.
func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	ctx, span := telemetry.StartChildSpan(ctx, tracer, "worker "+method+" "+path, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	resp, err := c.roundTrip(ctx, method, path, body)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return resp, err
}

// roundTrip is send without the trace span.
func (c *Client) roundTrip(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, verdict.Refuse(verdict.CodeInternal, "encode %s: %v", path, err)
		}
		content = bytes.NewReader(data)
	}
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, content)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeInternal, "%s: %v", path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		v := verdict.NotRun
		if written.Load() {
			v = verdict.MayHaveRun
		}
		return nil, verdict.New(v, verdict.CodeUnavailable, "worker: %v", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, decodeError(path, resp)
	}
	return resp, nil
}

// decodeError returns the *verdict.Error in an error response.
func decodeError(path string, resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	e := &verdict.Error{}
	if err != nil || json.Unmarshal(data, e) != nil || e.Code == "" {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "%s: status %d", path, resp.StatusCode)
	}
	return e
}

// countingConn adds the bytes of a connection to the client's counters.
type countingConn struct {
	net.Conn
	client *Client
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.client.Received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.client.Sent.Add(int64(n))
	return n, err
}
