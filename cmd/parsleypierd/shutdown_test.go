package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/memlimit"
)

// startServer serves handler on loopback and returns its address.
func startServer(t *testing.T, handler http.Handler) ([]*drainingServer, string) {
	t.Helper()
	share := memlimit.Process{MemoryBytes: memlimit.DefaultMemoryBytes, Descriptors: memlimit.DefaultDescriptors}.Budget().ShareOf("test", 1)
	running, err := listen([]endpoint{{"127.0.0.1:0", handler, share}}, eventlog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { running[0].server.Close() })
	return running, running[0].listener.Addr().String()
}

// TestShutdownIgnoresUnusedConnections guards against an entry that exits with an error
// because a client has opened a connection during the shutdown and has sent nothing on it.
// HTTP clients leave such connections when they dial in parallel (soak, seed 58).
func TestShutdownIgnoresUnusedConnections(t *testing.T) {
	running, addr := startServer(t, http.NotFoundHandler())
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if err := shutdown(ctx, running); err != nil {
		t.Errorf("shutdown beside an unused connection: %v", err)
	}
	if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the connection is still open after the shutdown: %v", err)
	}
}

// TestShutdownReportsUnansweredRequests guards against a shutdown that reports success
// although it cuts off a request.
func TestShutdownReportsUnansweredRequests(t *testing.T) {
	release, received := make(chan struct{}), make(chan struct{})
	running, addr := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(received)
		<-release
	}))
	defer close(release)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-received
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if err := shutdown(ctx, running); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("shutdown beside an open request: %v, want that the time is over", err)
	}
}

// TestShutdownAnswersLongRequests guards against requests that are cut off, and an entry
// that exits with an error, because a request waits for a silent store for longer than the
// shutdown may take (soak, seed 58).
func TestShutdownAnswersLongRequests(t *testing.T) {
	received := make(chan struct{})
	running, addr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done()
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + addr)
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-received
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := shutdown(ctx, running); err != nil {
		t.Errorf("shutdown beside a long request: %v", err)
	}
	if got := <-status; got != http.StatusGatewayTimeout {
		t.Errorf("the request got status %d, want 504", got)
	}
}
