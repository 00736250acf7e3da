package memlimit

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout limits a write to a client that does not read.
	writeTimeout = 30 * time.Second
	// progressBytes is what a client has to send to count as making progress.
	progressBytes = 4 << 10
	// chunkedReadBytes limits a read of a body in chunks, whose end only net/http knows.
	// What it reads beyond it belongs to the next header.
	chunkedReadBytes = 1 << 10
	// chunkedRest is the memory that the begin of a header in these bytes may take: lines
	// have four bytes at least.
	chunkedRest = chunkedReadBytes*headerByteFactor + chunkedReadBytes/4*headerLineBytes
	// lingerTime and lingerBytes limit what is read after a response to a request that was not
	// received to its end.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	refusal     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// conn is a connection of an HTTP server. It tells net/http's reads of headers from those of
// bodies: memory for a header is granted before net/http sees its bytes, and a read never
// goes beyond the end of a header or of a body of known length.
type conn struct {
	net.Conn
	grant *Grant

	// evicting is set once the connection is evicted.
	evicting atomic.Bool
	// enlarged is set once the receive buffer is that for a large body. Only the handler of a
	// request uses it.
	enlarged bool
	// lingers is set if a request was answered before it was received.
	lingers atomic.Bool
	// deadlines protects the deadlines: net/http must not replace that of an eviction.
	deadlines sync.Mutex

	// mu protects the following. Only one goroutine reads at a time, but net/http reads
	// ahead by one byte while a handler runs.
	mu   sync.Mutex
	scan headerScanner
	rest []byte // received beyond the end of a header or a body
	// bodyLeft is what is left of a body of known length; -1 in a body in chunks.
	bodyLeft int64
	// owed is memory for a part of a header that was read while a request was running.
	owed int64
	// headerHeld is what the grant has for the header of the current request.
	headerHeld int64
	// bodyHeld is what it has for the body, and for what the handler makes of it.
	bodyHeld int64
	// restHeld is set if the grant has chunkedRest.
	restHeld bool
	// unmarked is what was received since the last progress.
	unmarked int
}

// evict is called if the connection has to make room.
func (c *conn) evict() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.evicting.Store(true)
	if p := Phase(c.grant.phase.Load()); p == Header || p == Receiving {
		// Wakes up the reader, which answers that the request was refused.
		_ = c.Conn.SetReadDeadline(past)
		return
	}
	_ = c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The deadline of an eviction stays.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.evicting.Load() {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite sends the end of the stream. net/http uses it to end a response whose request
// was not read.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. If a request was answered before it was received, a part of what
// the client still sends is read in the background, so that closing the connection does not
// destroy the response.
func (c *conn) Close() error {
	if c.lingers.Swap(false) && !c.evicting.Load() {
		c.grant.setPhase(Closing)
		go c.linger()
		return nil
	}
	return c.close()
}

func (c *conn) close() error {
	err := c.Conn.Close()
	c.grant.Close()
	return err
}

// linger ends the stream to the client, reads what it still sends for a short time and closes
// the connection.
func (c *conn) linger() {
	if c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// The client may send more or nothing; both are fine.
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	// An error means that the connection is closed already.
	_ = c.close()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	running := c.grant.phase.CompareAndSwap(int32(Running), int32(Sending))
	if running {
		c.grant.Progress()
	}
	n, err := c.Conn.Write(p)
	if running {
		c.grant.phase.CompareAndSwap(int32(Sending), int32(Running))
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if limit := c.readLimit(); len(p) > limit {
		p = p[:limit]
	}
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		if c.rest = c.rest[n:]; len(c.rest) == 0 {
			c.rest = nil
		}
		return c.received(p[:n], nil)
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	return c.received(p[:n], err)
}

// readLimit returns how much a read may return. The caller holds mu.
func (c *conn) readLimit() int {
	switch {
	case c.bodyLeft < 0:
		return chunkedReadBytes
	case c.bodyLeft > 0:
		return int(min(c.bodyLeft, 1<<30))
	}
	return 1 << 30
}

// received accounts for p, which was read, and returns how much of it the caller gets. The
// caller holds mu, which it releases.
func (c *conn) received(p []byte, err error) (int, error) {
	if c.evicting.Load() {
		c.mu.Unlock()
		return 0, c.refuse(ErrEvicted)
	}
	if c.bodyLeft != 0 {
		if c.bodyLeft > 0 {
			c.bodyLeft -= int64(len(p))
		}
		c.progress(len(p))
		c.mu.Unlock()
		return len(p), err
	}
	n, lines, end := c.scan.scan(p)
	if end {
		c.scan = headerScanner{}
	}
	if n < len(p) {
		c.rest = append(append([]byte(nil), p[n:]...), c.rest...)
	}
	cost := headerCost(n, lines) + c.owed
	phase := Phase(c.grant.phase.Load())
	if phase != Idle && phase != Header {
		c.owed = cost
		c.mu.Unlock()
		return n, err
	}
	if phase == Idle && n > 0 {
		c.grant.setPhase(Header)
	}
	c.owed = 0
	c.progress(n)
	c.mu.Unlock()
	if cost > 0 {
		if addErr := c.grant.Add(cost); addErr != nil {
			return 0, c.refuse(addErr)
		}
		c.mu.Lock()
		c.headerHeld += cost
		c.mu.Unlock()
	}
	return n, err
}

// progress notes n received bytes. The caller holds mu.
func (c *conn) progress(n int) {
	if c.unmarked += n; c.unmarked >= progressBytes {
		c.unmarked = 0
		c.grant.Progress()
	}
}

// refuse answers a request whose header has not been read to its end, and returns err. No
// handler has seen the request, so it has not run.
func (c *conn) refuse(err error) error {
	if Phase(c.grant.phase.Load()) != Header {
		return err
	}
	if _, writeErr := io.WriteString(c.Conn, refusal); writeErr == nil {
		c.lingers.Store(!c.evicting.Load())
	}
	return err
}
