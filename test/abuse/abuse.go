// Package abuse has HTTP clients that make a server hold memory and connections for
// them, and a meter of what the process of that server holds.
package abuse

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Target is a server and what its clients send.
type Target struct {
	Addr string
	// Post and Get are the request line and the header lines of a request with a body and
	// of one without, each line with its end, without the lines that describe the body and
	// without the empty line at the end.
	Post, Get string
	// Body is a valid body of the largest size that is allowed, and Wide an invalid one that
	// takes much more memory once it is decoded. Both may be nil if bodies are not read.
	Body, Wide []byte
}

// Form is one way in which a client misuses its connection.
type Form struct {
	Name string
	// send writes to the connection what the client sends. The connection is then held.
	send func(ctx context.Context, t Target, c net.Conn) error
	// silent clients never read.
	silent bool
}

// Sizes and times of the forms.
const (
	pieceBytes       = 16 << 10
	hugeBytes        = 4 << 30
	sentHugeBytes    = 8 << 20
	dripAfter        = 200 << 10
	dripInterval     = 300 * time.Millisecond
	headerBytes      = 15 << 10
	headerLines      = 1900
	pipelinedGets    = 4000
	pipelinedPosts   = 40
	silentReadBuffer = 4 << 10
)

// Forms are all forms but the mixed one.
var Forms = []Form{
	{Name: "body-whole", send: sendBody},
	{Name: "body-chunked", send: sendChunked},
	{Name: "body-dripping", send: dripBody},
	{Name: "body-announced-huge", send: announceHuge},
	{Name: "body-sent-huge", send: sendHuge},
	{Name: "body-many-steps", send: repeatBody},
	{Name: "header-lines", send: sendHeaderLines},
	{Name: "header-endless", send: sendHeader},
	{Name: "queries-unread", send: sendGets, silent: true},
	{Name: "submissions-unread", send: sendPosts, silent: true},
	{Name: "connections-unused", send: sendNothing},
}

// Mixed is the form in which each connection uses one of forms, drawn from a seed.
func Mixed(forms []Form, seed uint64) Form {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	return Form{Name: "mixed", send: func(ctx context.Context, t Target, c net.Conn) error {
		mu.Lock()
		f := forms[rng.IntN(len(forms))]
		mu.Unlock()
		return f.send(ctx, t, c)
	}}
}

// Named returns the forms with the names, in their order.
func Named(names ...string) []Form {
	var forms []Form
	for _, name := range names {
		for _, f := range Forms {
			if f.Name == name {
				forms = append(forms, f)
			}
		}
	}
	return forms
}

func sendNothing(context.Context, Target, net.Conn) error { return nil }

func write(c net.Conn, parts ...string) error {
	_, err := io.WriteString(c, strings.Join(parts, ""))
	return err
}

// sendBody sends all of a body but its last byte.
func sendBody(_ context.Context, t Target, c net.Conn) error {
	if err := write(c, t.Post, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(t.Body))); err != nil {
		return err
	}
	_, err := c.Write(t.Body[:len(t.Body)-1])
	return err
}

// sendChunked sends a body of the largest size in chunks, without the last byte.
func sendChunked(_ context.Context, t Target, c net.Conn) error {
	if err := write(c, t.Post, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	return writeChunks(c, t.Body, len(t.Body)-1)
}

// writeChunks writes the first n bytes of a repeated body as chunks.
func writeChunks(c net.Conn, body []byte, n int) error {
	for sent := 0; sent < n; {
		from := sent % len(body)
		size := min(pieceBytes, n-sent, len(body)-from)
		if err := write(c, fmt.Sprintf("%x\r\n", size), string(body[from:from+size]), "\r\n"); err != nil {
			return err
		}
		sent += size
	}
	return nil
}

// dripBody sends most of a body and then a byte from time to time.
func dripBody(ctx context.Context, t Target, c net.Conn) error {
	n := min(dripAfter, len(t.Body)-2)
	if err := write(c, t.Post, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(t.Body)), string(t.Body[:n])); err != nil {
		return err
	}
	for ; n < len(t.Body)-1; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(dripInterval):
		}
		if _, err := c.Write(t.Body[n : n+1]); err != nil {
			return err
		}
	}
	return nil
}

// announceHuge announces a body far above the limit and sends as much as is allowed.
func announceHuge(_ context.Context, t Target, c net.Conn) error {
	return write(c, t.Post, fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(hugeBytes)), string(t.Body))
}

// sendHuge sends a body far above the limit.
func sendHuge(_ context.Context, t Target, c net.Conn) error {
	if err := write(c, t.Post, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	return writeChunks(c, t.Body, sentHugeBytes)
}

// HeaderLines returns n short header lines, all different.
func HeaderLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "x%x:%d\r\n", i, i%10)
	}
	return b.String()
}

// sendHeaderLines sends a header of many short lines, and one byte of a body of two.
func sendHeaderLines(_ context.Context, t Target, c net.Conn) error {
	return write(c, t.Post, HeaderLines(headerLines), "Content-Length: 2\r\n\r\n{")
}

// sendHeader sends a header of nearly the largest size without its end.
func sendHeader(_ context.Context, t Target, c net.Conn) error {
	return write(c, t.Post, "X-Padding: ", strings.Repeat("p", headerBytes))
}

// sendGets sends many small requests at once.
func sendGets(_ context.Context, t Target, c net.Conn) error {
	return write(c, strings.Repeat(t.Get+"\r\n", pipelinedGets))
}

// sendPosts sends many requests of the largest size at once.
func sendPosts(_ context.Context, t Target, c net.Conn) error {
	for range pipelinedPosts {
		if err := write(c, t.Post, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(t.Body)), string(t.Body)); err != nil {
			return err
		}
	}
	return nil
}

// SendFrame returns the form of a client that sends the begin of a binary message.
func SendFrame(name string, frame []byte) Form {
	return Form{Name: name, send: func(_ context.Context, _ Target, c net.Conn) error {
		_, err := c.Write(frame)
		return err
	}}
}

// repeatBody sends whole requests one after the other until the server closes the connection.
func repeatBody(ctx context.Context, t Target, c net.Conn) error {
	for ctx.Err() == nil {
		if err := write(c, t.Post, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(t.Wide)), string(t.Wide)); err != nil {
			return err
		}
	}
	return nil
}

// Times of a client.
const (
	// sendTimeout limits what a client sends at once. A server that does not read blocks it.
	sendTimeout = 2 * time.Second
	dialTimeout = 5 * time.Second
	// maxDials is the number of connections that are opened at a time, so that they fit into
	// the server's backlog.
	maxDials = 128
	// reconnectDelay is the time after which a client whose connection the server has closed
	// opens another one.
	reconnectDelay = 500 * time.Millisecond
)

// Run runs a number of clients of a form until ctx ends. It calls onSent once all of them
// have sent what they send at once, or were refused.
func Run(ctx context.Context, t Target, f Form, clients int, onSent func()) {
	dials := make(chan struct{}, maxDials)
	var all, sent sync.WaitGroup
	sent.Add(clients)
	for range clients {
		all.Go(func() {
			done := sync.OnceFunc(sent.Done)
			defer done()
			for ctx.Err() == nil {
				runClient(ctx, t, f, dials, done)
				done()
				select {
				case <-ctx.Done():
				case <-time.After(reconnectDelay):
				}
			}
		})
	}
	sent.Wait()
	onSent()
	all.Wait()
}

// runClient opens a connection, sends what the form says and holds the connection until
// the server closes it or ctx ends. It calls sent once it holds the connection.
func runClient(ctx context.Context, t Target, f Form, dials chan struct{}, sent func()) {
	dials <- struct{}{}
	c, err := dial(ctx, t.Addr, f.silent)
	<-dials
	if err != nil {
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })
	defer stop()
	closed := make(chan struct{})
	if !f.silent {
		go func() {
			defer close(closed)
			// The answer and the way in which the server closes the connection do not matter.
			_, _ = io.Copy(io.Discard, c)
		}()
	}
	timer := time.AfterFunc(sendTimeout, sent)
	defer timer.Stop()
	if err := f.send(ctx, t, c); err != nil {
		return
	}
	sent()
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

func dial(ctx context.Context, addr string, silent bool) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if silent {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			return errorsFirst(raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, silentReadBuffer)
			}), &err)
		}
	}
	return d.DialContext(ctx, "tcp", addr)
}

func errorsFirst(err error, second *error) error {
	if err != nil {
		return err
	}
	return *second
}
