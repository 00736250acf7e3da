package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Defaults of Options, and limits of the client.
const (
	DefaultTimeout       = time.Second
	DefaultObjectTimeout = 5 * time.Second
	DefaultMaxConns      = 64
	// slowLatency is the mean latency above which the platform is reported as
	// slow. It is well above the 1 ms round trip within a zone and well below
	// DefaultTimeout.
	slowLatency = 250 * time.Millisecond
	// latencyEWMAWeight is the weight of one call in the moving average of the
	// latency.
	latencyEWMAWeight = 0.2
	// retryBackoff is the shortest delay before the first retry of a call. It
	// doubles with each retry, and jitter adds up to the same again.
	retryBackoff = 20 * time.Millisecond
	maxAttempts  = 4 // of a call, including the first
	// maxResponseBytes limits a response body. The largest are rows of 8 MiB, in
	// base64, and objects of 64 MiB.
	maxResponseBytes = 65 << 20
)

// Options configure a Client.
type Options struct {
	// URL is the platform's base URL, with an IP address as its host.
	URL string
	// LocalIP is the local address of connections; empty for any.
	LocalIP string
	// Timeout limits a table call including its retries; 0 means DefaultTimeout.
	Timeout time.Duration
	// ObjectTimeout limits an object call including its retries; 0 means
	// DefaultObjectTimeout.
	ObjectTimeout time.Duration
	// MaxConns limits the connections to the platform; 0 means DefaultMaxConns.
	MaxConns int
}

// Client calls the platform over HTTP; the protocol is described in
// docs/api-platform.md. It implements Table and Objects and is safe for
// concurrent use.
type Client struct {
	base           string
	timeout        time.Duration
	objectTimeout  time.Duration
	http           *http.Client
	budget         *retry.Budget
	table, objects service
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
)

// service is the state of one of the platform's two services, the table and the
// object store, which fail independently.
type service struct {
	name        string
	breaker     breaker
	meanLatency atomic.Int64 // exponentially weighted moving average, in nanoseconds
}

// NewClient returns a client. It opens connections on demand.
func NewClient(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.ObjectTimeout <= 0 {
		o.ObjectTimeout = DefaultObjectTimeout
	}
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	c := &Client{
		base: strings.TrimRight(o.URL, "/"), timeout: o.Timeout, objectTimeout: o.ObjectTimeout,
		http: newHTTPClient(o), budget: retry.NewBudget(time.Now()),
	}
	c.table.name, c.objects.name = "table", "objects"
	return c
}

// Close closes idle connections. It does not interrupt calls in progress.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Health returns the state of the table service, based on recent calls.
func (c *Client) Health() Health { return c.table.health() }

// ObjectsHealth returns the state of the object store, based on recent calls.
func (c *Client) ObjectsHealth() Health { return c.objects.health() }

func (s *service) health() Health {
	switch {
	case s.breaker.isOpen():
		return HealthDown
	case time.Duration(s.meanLatency.Load()) > slowLatency:
		return HealthSlow
	}
	return HealthOK
}

// record updates the mean latency and the circuit breaker with the outcome of
// an attempt that took d.
func (s *service) record(outcome callOutcome, d time.Duration) {
	if outcome != callUnknown {
		old := float64(s.meanLatency.Load())
		s.meanLatency.Store(int64(old + latencyEWMAWeight*(float64(d)-old)))
	}
	switch s.breaker.done(outcome, time.Now()) {
	case 1:
		metrics.Add(metricBreakerOpened, 1)
		klog.InfoS("platform circuit breaker opened", "service", s.name)
	case -1:
		s.meanLatency.Store(int64(d))
		klog.InfoS("platform circuit breaker closed", "service", s.name)
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	data, err := c.call(ctx, &c.table, request{method: http.MethodGet, path: "/v1/table/rows/" + escape(key)})
	if err != nil {
		return row, err
	}
	return row, decode(data, &row)
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	for len(rows) < limit {
		q := url.Values{"limit": {strconv.Itoa(min(limit-len(rows), maxListRows))}}
		if prefix != "" {
			q.Set("prefix", prefix)
		}
		if after != "" {
			q.Set("after", after)
		}
		data, err := c.call(ctx, &c.table, request{method: http.MethodGet, path: "/v1/table/rows?" + q.Encode()})
		if err != nil {
			return nil, err
		}
		var page struct {
			Rows []Row
			More bool
		}
		if err := decode(data, &page); err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		after = rows[len(rows)-1].Key
	}
	return rows, nil
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (map[string]uint64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeInternal, "encode transaction: %v", err)
	}
	data, err := c.call(ctx, &c.table, request{method: http.MethodPost, path: "/v1/table/txn", body: body, write: true})
	if err != nil {
		return nil, err
	}
	var response struct{ Versions map[string]uint64 }
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, verdict.New(verdict.Ran, verdict.CodeInternal, "answer of the platform: %v", err)
	}
	return response.Versions, nil
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, &c.objects, request{
		method: http.MethodPut, path: "/v1/objects/" + escape(name), body: data, write: true, object: true,
	})
	return err
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, &c.objects, request{method: http.MethodGet, path: "/v1/objects/" + escape(name), object: true})
}

func decode(data []byte, into any) error {
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(into); err != nil {
		return verdict.Refuse(verdict.CodeInternal, "answer of the platform: %v", err)
	}
	return nil
}

// escape returns key as a URL path. It escapes each segment separately, so that
// the slashes between segments stay.
func escape(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/")
}
