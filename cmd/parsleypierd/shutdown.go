package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/drainlistener"
)

// answerMargin is the part of the shutdown time that is left for answering the requests
// whose contexts are cancelled because that time is nearly over.
const answerMargin = 200 * time.Millisecond

// drainingServer is an HTTP server with its listener. It knows which connections have a
// request in progress.
type drainingServer struct {
	server   *http.Server
	listener *drainlistener.Listener
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelFunc

	mu     sync.Mutex
	active map[net.Conn]bool
}

// newDrainingServer returns a server that is to serve on l. It sets the server's
// ConnState and BaseContext.
func newDrainingServer(server *http.Server, l net.Listener) *drainingServer {
	requests, cancel := context.WithCancel(context.Background())
	d := &drainingServer{server: server, listener: drainlistener.New(l), cancelRequests: cancel, active: map[net.Conn]bool{}}
	server.BaseContext = func(net.Listener) context.Context { return requests }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if state == http.StateActive {
			d.active[c] = true
		} else {
			delete(d.active, c)
		}
	}
	return d
}

// shutdown waits for the requests that have been sent on open connections and closes all
// connections. http.Server.Shutdown also waits for connections on which nothing has been
// sent, such as those that a client opens in parallel and does not use. If only these are
// left when ctx ends, that is not an error. Requests that are still in progress shortly
// before ctx ends are cancelled, so that they are answered in time.
func (d *drainingServer) shutdown(ctx context.Context) error {
	defer d.cancelRequests()
	if deadline, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(deadline)-answerMargin, d.cancelRequests).Stop()
	}
	err := errors.Join(d.listener.Drain(ctx), d.server.Shutdown(ctx))
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	d.mu.Lock()
	open := len(d.active)
	d.mu.Unlock()
	if open > 0 {
		return err
	}
	return d.server.Close()
}

// shutdown shuts down several servers at the same time.
func shutdown(ctx context.Context, servers []*drainingServer) error {
	var wg sync.WaitGroup
	errs := make([]error, len(servers))
	for i, server := range servers {
		wg.Go(func() { errs[i] = server.shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
