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

// gatedListener delays Accept until gate is closed, like a process that is not
// scheduled while the kernel establishes connections.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (g *gatedListener) Accept() (net.Conn, error) {
	<-g.gate
	return g.TCPListener.Accept()
}

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// Guards against a shutdown that resets connections that the kernel has established
// and the process has not accepted yet.
func TestDrainAcceptsEstablishedConnections(t *testing.T) {
	g := &gatedListener{listenTCP(t), make(chan struct{})}
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
	time.Sleep(20 * time.Millisecond) // time for the kernel to establish the connections
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(context.Background()) }()
	time.Sleep(backlogDrainTime + 10*time.Millisecond) // the accept deadline passes before Accept is called
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
		t.Errorf("Serve returned %v, want net.ErrClosed", err)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was accepted after the drain")
	}
}

// Guards against a shutdown that hangs if no goroutine calls Accept.
func TestDrainEndsWithContext(t *testing.T) {
	l := New(listenTCP(t))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	if err := l.Drain(ctx); err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept returned %v after the drain, want net.ErrClosed", err)
	}
}
