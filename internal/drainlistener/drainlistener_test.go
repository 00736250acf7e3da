package drainlistener

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// gated delays Accept until its gate is open, like a process that is not
// scheduled while the kernel establishes connections.
type gated struct {
	*net.TCPListener
	gate chan struct{}
}

func (g *gated) Accept() (net.Conn, error) {
	<-g.gate
	return g.TCPListener.Accept()
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// Guards against a shutdown that resets connections which the kernel has
// established and the process has not accepted yet.
func TestDrainServesEstablishedConnections(t *testing.T) {
	g := &gated{listen(t), make(chan struct{})}
	l := New(g)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	answers := make(chan error, 3)
	for range cap(answers) {
		go func() {
			resp, err := http.Get("http://" + l.Addr().String())
			if err == nil {
				resp.Body.Close()
			}
			answers <- err
		}()
	}
	time.Sleep(20 * time.Millisecond) // the kernel establishes them
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(context.Background()) }()
	time.Sleep(backlogWindow + 10*time.Millisecond) // the deadline passes unseen
	close(g.gate)
	for range cap(answers) {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("serve ended with %v", err)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was accepted after the drain")
	}
}

// Guards against a shutdown that waits for a listener which nobody accepts from.
func TestDrainEndsWithContext(t *testing.T) {
	l := New(listen(t))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	if err := l.Drain(ctx); err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after the drain: %v", err)
	}
}
