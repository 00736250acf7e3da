package rpc

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/parsleypier/parsleypier/internal/netfault"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Timeouts of a call.
const (
	// DefaultTimeout is the timeout of a call whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	// dialTimeout limits the time to connect, which is part of the call's time. It is
	// longer than a round trip between regions. TCP repeats a lost opening packet only
	// after a second, so a machine that has just started is reached sooner by another try.
	dialTimeout = 300 * time.Millisecond
)

// Pool is an RPC client for many servers. It keeps one connection to each address
// and multiplexes calls on it. It is safe for concurrent use.
type Pool struct {
	localIP         string
	processName     string
	manifestVersion func() uint64
	created         time.Time

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool

	// SentBytes and ReceivedBytes count the bytes on all connections.
	SentBytes, ReceivedBytes atomic.Int64
	// Calls counts all calls.
	Calls atomic.Int64
}

type clientConn struct {
	ready         chan struct{} // closed when client or err is set
	client        *rpc.Client
	err           error
	lastReadNanos atomic.Int64 // since Pool.created
	closedByPool  atomic.Bool
}

// NewPool returns a pool whose connections use localIP as the local address (empty
// for any). processName becomes Header.From. manifestVersion returns the version in
// force for Header.ManifestVersion and may be nil.
func NewPool(localIP, processName string, manifestVersion func() uint64) *Pool {
	if manifestVersion == nil {
		manifestVersion = func() uint64 { return 0 }
	}
	return &Pool{localIP: localIP, processName: processName, manifestVersion: manifestVersion, created: time.Now(), conns: map[string]*clientConn{}}
}

// Close closes all connections. Calls in progress fail with the verdict MayHaveRun.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, c := range p.conns {
		delete(p.conns, addr)
		go c.close()
	}
}

func (c *clientConn) close() {
	c.closedByPool.Store(true)
	<-c.ready
	if c.client != nil {
		c.client.Close()
	}
}

// Call calls method at addr and waits for the reply or the end of ctx. The
// returned error is nil or a *verdict.Error. Its verdict is NotRun if the request
// cannot have reached the server, the server's verdict if the reply is an error,
// and MayHaveRun otherwise.
func (p *Pool) Call(ctx context.Context, addr, method string, args RequestMessage, reply ReplyMessage) error {
	p.Calls.Add(1)
	if !trace.SpanContextFromContext(ctx).IsValid() {
		// Heartbeats and renewals belong to no trace. Each of them would otherwise
		// start a trace of its own.
		return p.call(ctx, addr, method, args, reply)
	}
	ctx, span := tracer.Start(ctx, method, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server.address", addr)))
	defer span.End()
	err := p.call(ctx, addr, method, args, reply)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return err
	}
	return nil
}

func (p *Pool) call(ctx context.Context, addr, method string, args RequestMessage, reply ReplyMessage) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	conn, err := p.conn(ctx, addr)
	if err != nil {
		return verdict.Refuse(verdict.CodeUnavailable, "connect to %s: %v", addr, err)
	}
	deadline, _ := ctx.Deadline()
	args.SetHeader(Header{
		TraceParent:     traceParent(ctx),
		Budget:          time.Until(deadline),
		ManifestVersion: p.manifestVersion(),
		From:            p.processName,
	})
	started := time.Since(p.created)
	call := &rpc.Call{}
	done := make(chan *rpc.Call, 1)
	// Client.Go blocks while it writes the request, and a link that is down can
	// block the write indefinitely.
	go conn.client.Go(method, args, reply, done)
	select {
	case call = <-done:
	case <-ctx.Done():
		// A connection on which nothing was received during the whole call is
		// probably dead.
		if conn.lastReadNanos.Load() < int64(started) {
			p.discard(addr, conn)
		}
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s at %s: %v", method, addr, ctx.Err())
	}
	if call.Error != nil {
		return p.callError(addr, method, conn, call.Error)
	}
	if failure := reply.Failure(); failure != nil {
		return failure
	}
	return nil
}

func (p *Pool) callError(addr, method string, conn *clientConn, err error) error {
	var serverErr rpc.ServerError
	if errors.As(err, &serverErr) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "%s at %s: %v", method, addr, err)
	}
	v := verdict.MayHaveRun
	if errors.Is(err, rpc.ErrShutdown) && !conn.closedByPool.Load() {
		// Unless the pool has closed the connection, net/rpc returns ErrShutdown only
		// for a request that it has not written.
		v = verdict.NotRun
	}
	p.discard(addr, conn)
	return verdict.New(v, verdict.CodeUnavailable, "%s at %s: %v", method, addr, err)
}

func (p *Pool) discard(addr string, conn *clientConn) {
	p.mu.Lock()
	if p.conns[addr] == conn {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	go conn.close()
}

func (p *Pool) conn(ctx context.Context, addr string) (*clientConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, net.ErrClosed
	}
	c := p.conns[addr]
	if c == nil {
		c = &clientConn{ready: make(chan struct{})}
		p.conns[addr] = c
		go p.dial(addr, c)
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Pool) dial(addr string, c *clientConn) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := netfault.Dial(ctx, p.localIP, addr)
	if err != nil {
		c.err = err
		p.mu.Lock()
		if p.conns[addr] == c {
			delete(p.conns, addr)
		}
		p.mu.Unlock()
		return
	}
	c.client = rpc.NewClientWithCodec(newClientCodec(&countingConn{
		Conn: nc, sent: &p.SentBytes, received: &p.ReceivedBytes,
		onRead: func() { c.lastReadNanos.Store(int64(time.Since(p.created))) },
	}))
}

type clientCodec struct {
	conn io.ReadWriteCloser
	dec  *gob.Decoder
	enc  *gob.Encoder
	buf  *bufio.Writer
}

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	buf := bufio.NewWriter(conn)
	return &clientCodec{conn: conn, dec: gob.NewDecoder(bufio.NewReader(conn)), enc: gob.NewEncoder(buf), buf: buf}
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buf.Flush()
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.dec.Decode(r) }
func (c *clientCodec) ReadResponseBody(body any) error          { return c.dec.Decode(body) }
func (c *clientCodec) Close() error                             { return c.conn.Close() }

// countingConn adds the bytes that it transfers to shared counters, and calls
// onRead after each read unless it is nil.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
	onRead         func()
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	if c.onRead != nil {
		c.onRead()
	}
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}
