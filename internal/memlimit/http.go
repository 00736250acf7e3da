package memlimit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Errors of ReadBody, beside ErrExhausted and ErrEvicted.
var (
	// ErrBodyTimeout means that the body did not arrive in time.
	ErrBodyTimeout = errors.New("memlimit: the body did not arrive in time")
	// ErrBodyTooLarge means that the body is above the limit.
	ErrBodyTooLarge = errors.New("memlimit: the body is too large")
)

const (
	// requestBytes is what a request holds beside its header and its body: a larger stack,
	// the response and what the client may have sent already for its next request.
	requestBytes = 16 << 10
	// bodyGrace and minBodyRate limit the time in which a body has to arrive: the grace plus
	// its size at this rate, in bytes a second.
	bodyGrace   = 10 * time.Second
	minBodyRate = 8 << 10
)

// RefuseFunc answers a request for which there is no room. err is ErrExhausted or ErrEvicted.
// The request has not run.
type RefuseFunc func(w http.ResponseWriter, err error)

// Limit limits what the connections of a server hold to a share, and returns the listener that
// the server has to serve. It sets the server's ConnContext, ConnState and Handler; what is set
// there already is called as well. A nil refuse answers with status 503.
func Limit(server *http.Server, l net.Listener, share *Share, refuse RefuseFunc) net.Listener {
	next, connContext, connState := server.Handler, server.ConnContext, server.ConnState
	if refuse == nil {
		refuse = func(w http.ResponseWriter, _ error) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	server.Handler = &handler{next, refuse}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.idle()
		}
		if connState != nil {
			connState(nc, state)
		}
	}
	return &Listener{Listener: l, Share: share}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// handler tells the connection of a request when the request begins and ends.
type handler struct {
	next   http.Handler
	refuse RefuseFunc
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	defer c.end()
	if err := c.begin(r); err != nil {
		w.Header().Set("Connection", "close")
		h.refuse(w, err)
		c.finishEarly()
		return
	}
	if r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	// Until the body has been read, the connection cannot be used for another request, and
	// net/http would read the rest of the body before it sends the response.
	w.Header().Set("Connection", "close")
	body := &requestBody{ReadCloser: r.Body, conn: c, header: w.Header()}
	withBody := r.WithContext(r.Context())
	withBody.Body = body
	h.next.ServeHTTP(w, withBody)
	if !body.complete {
		c.finishEarly()
	}
}

// requestBody is the body of a request. It notes when it has been read to its end.
type requestBody struct {
	io.ReadCloser
	conn     *conn
	header   http.Header // of the response
	complete bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.complete {
		b.complete = true
		b.conn.bodyRead()
		b.header.Del("Connection")
	}
	return n, err
}

// begin is called when the header of a request has been read.
func (c *conn) begin(r *http.Request) error {
	if err := c.grant.Add(requestBytes); err != nil {
		return err
	}
	c.mu.Lock()
	c.bodyHeld += requestBytes
	if c.restHeld {
		// The header may begin with what was read beyond the body before it.
		c.headerHeld += chunkedRest
		c.restHeld = false
	}
	c.mu.Unlock()
	if r.ContentLength == 0 {
		return c.grant.SetPhase(Running)
	}
	if r.ContentLength < 0 {
		if err := c.grant.Add(chunkedRest); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restHeld = r.ContentLength < 0
	c.bodyLeft = r.ContentLength
	return c.grant.SetPhase(Receiving)
}

// bodyRead is called when a body has been read to its end.
func (c *conn) bodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft = 0
}

// end is called when the handler of a request has returned. It gives back all but what the
// connection itself holds.
func (c *conn) end() {
	c.mu.Lock()
	held := c.headerHeld + c.bodyHeld
	c.headerHeld, c.bodyHeld = 0, 0
	c.mu.Unlock()
	c.grant.Release(held)
	c.grant.seasoned.Store(true)
}

// idle is called when the response to a request has been sent.
func (c *conn) idle() { c.grant.setPhase(Idle) }

// finishEarly makes net/http send the response to a request whose body was not read, and close
// the connection.
func (c *conn) finishEarly() {
	c.end()
	c.lingers.Store(!c.evicting.Load())
	// net/http tries to read the rest of the body, which it must not wait for. An error means
	// that the client has closed the connection.
	_ = c.SetReadDeadline(past)
}

// ReadBody reads the body of a request, of at most limit bytes, within the memory of its
// connection. It gives up when ctx ends, or if the body arrives too slowly. The errors that it
// returns are ErrBodyTooLarge, ErrBodyTimeout, ErrExhausted and ErrEvicted, or that of reading
// the body; in each case the request has not run, and its connection will be closed.
//
// The memory of the body stays granted until the request ends, or until Hold.
func ReadBody(ctx context.Context, r *http.Request, limit int64) ([]byte, error) {
	size := r.ContentLength
	if size > limit {
		return nil, ErrBodyTooLarge
	}
	if size < 0 {
		size = limit + 1
	}
	c := connOf(r.Context())
	if c == nil || size == 0 {
		return readAll(r.Body, size, limit)
	}
	if err := Hold(r, size); err != nil {
		return nil, err
	}
	if size > receiveBuffer {
		c.enlargeReceiveBuffer()
	}
	body, err := c.readBody(ctx, r.Body, size, limit)
	if err != nil {
		return nil, err
	}
	if err := Hold(r, int64(cap(body))); err != nil {
		return nil, err
	}
	return body, c.grant.SetPhase(Running)
}

// readBody reads a body with a time limit.
func (c *conn) readBody(ctx context.Context, r io.Reader, size, limit int64) ([]byte, error) {
	deadline := time.Now().Add(bodyGrace + time.Duration(size)*time.Second/minBodyRate)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	body, err := readAll(r, size, limit)
	switch {
	case c.evicting.Load():
		return nil, ErrEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, ErrBodyTimeout
	case err != nil:
		return nil, err
	}
	return body, c.SetReadDeadline(time.Time{})
}

// enlargeReceiveBuffer enlarges the receive buffer if there is room for what it may hold. It stays
// enlarged: the client may use a window that was announced, and what does not fit into a buffer
// that has become smaller is dropped and sent again after seconds.
func (c *conn) enlargeReceiveBuffer() {
	if c.enlarged || !c.grant.TryAdd(bodyUnread) {
		return
	}
	c.enlarged = true
	// Without it the body only arrives more slowly.
	_ = setReceiveBuffer(c.Conn, bodyReceiveBuffer)
}

// readAll reads a body of at most limit bytes to its end. size is its length, or more.
func readAll(r io.Reader, size, limit int64) ([]byte, error) {
	buf := make([]byte, size)
	n := 0
	for {
		rest := buf[n:]
		if len(rest) == 0 {
			rest = make([]byte, 1) // the end has to be seen, or the connection cannot be used again
		}
		k, err := r.Read(rest)
		n += k
		switch {
		case int64(n) > limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF && 2*n < len(buf):
			return bytes.Clone(buf[:n]), nil
		case err == io.EOF:
			return buf[:n], nil
		case err != nil:
			return nil, err
		}
	}
}

// Hold sets what a request holds beside its header: its body, or what was made of it. If that
// is more than before, it may return ErrExhausted or ErrEvicted.
func Hold(r *http.Request, bytes int64) error {
	c := connOf(r.Context())
	if c == nil {
		return nil
	}
	c.mu.Lock()
	more := bytes + requestBytes - c.bodyHeld
	c.mu.Unlock()
	if more > 0 {
		if err := c.grant.Add(more); err != nil {
			return err
		}
	} else {
		c.grant.Release(-more)
	}
	c.mu.Lock()
	c.bodyHeld += more
	c.mu.Unlock()
	return nil
}
