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

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/netfault"
)

// Limits and intervals of a server.
const (
	// maxRequestBytes limits the size of one request.
	maxRequestBytes = 8 << 20
	// maxConns limits the connections of a server.
	maxConns = 4096
	// maxInFlightPerConn limits the requests in progress on one connection.
	maxInFlightPerConn = 1024
	// closePollInterval is the interval at which Close checks for requests in
	// progress.
	closePollInterval = 5 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

var errRequestTooLarge = errors.New("rpc: message too large")

// Server accepts connections and serves registered services. It is safe for
// concurrent use.
type Server struct {
	server *rpc.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool

	inFlight atomic.Int64

	// SentBytes and ReceivedBytes count the bytes on all connections.
	SentBytes, ReceivedBytes atomic.Int64
	// Calls counts all requests.
	Calls atomic.Int64
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{server: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
}

// Register makes the methods of service callable under name. It returns an error
// if service has no suitable methods.
func (s *Server) Register(name string, service any) error {
	return s.server.RegisterName(name, service)
}

// Listen listens on addr and serves connections in the background. It returns the
// actual address.
func (s *Server) Listen(addr string) (string, error) {
	l, err := netfault.Listen(addr)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go s.accept(l)
	return l.Addr().String(), nil
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error may be temporary, such as too many open files. A process that
			// stopped accepting would lose its leases and domains for good.
			klog.V(2).InfoS("failed to accept an RPC connection", "addr", l.Addr(), "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.track(c) {
			c.Close()
			continue
		}
		go s.serve(c)
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConns {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) serve(c net.Conn) {
	counted := &countingConn{Conn: c, sent: &s.SentBytes, received: &s.ReceivedBytes}
	s.server.ServeCodec(newServerCodec(counted, &s.inFlight, &s.Calls))
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.Close()
}

// Close stops accepting connections, waits until no requests are in progress or
// ctx ends, and closes all connections.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	for s.inFlight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(closePollInterval):
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// serverCodec is a gob codec that limits the size of requests and the number of
// requests in progress.
type serverCodec struct {
	conn          io.ReadWriteCloser
	reader        *io.LimitedReader
	dec           *gob.Decoder
	enc           *gob.Encoder
	buf           *bufio.Writer
	inFlightSlots chan struct{}
	inFlightTotal *atomic.Int64
	callCount     *atomic.Int64
}

func newServerCodec(conn io.ReadWriteCloser, inFlightTotal, callCount *atomic.Int64) *serverCodec {
	reader := &io.LimitedReader{R: bufio.NewReader(conn), N: maxRequestBytes}
	buf := bufio.NewWriter(conn)
	return &serverCodec{
		conn: conn, reader: reader, buf: buf,
		dec: gob.NewDecoder(&unbufferedReader{reader}), enc: gob.NewEncoder(buf),
		inFlightSlots: make(chan struct{}, maxInFlightPerConn), inFlightTotal: inFlightTotal, callCount: callCount,
	}
}

// unbufferedReader implements io.ByteReader, so that gob adds no read buffer. The
// limit then applies to one request and not to the next one that was read ahead.
type unbufferedReader struct{ *io.LimitedReader }

func (r *unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.reader.N = maxRequestBytes
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.inFlightSlots <- struct{}{}
	c.inFlightTotal.Add(1)
	c.callCount.Add(1)
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	if err != nil && c.reader.N <= 0 {
		return errRequestTooLarge
	}
	return err
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() {
		<-c.inFlightSlots
		c.inFlightTotal.Add(-1)
	}()
	// The client matches replies by Seq only, and the method name would be a fifth
	// of the traffic of heartbeats.
	r.ServiceMethod = ""
	if err := c.enc.Encode(r); err != nil {
		c.Close()
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		c.Close()
		return err
	}
	return c.buf.Flush()
}

func (c *serverCodec) Close() error { return c.conn.Close() }
