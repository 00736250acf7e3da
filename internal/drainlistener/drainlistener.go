// Package drainlistener provides a listener that can be closed without dropping
// connections that the kernel has established and the process has not yet accepted.
package drainlistener

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// backlogDrainTime is the time for which Accept still accepts connections after
	// Drain is called. It allows for a process that is not scheduled for a while.
	backlogDrainTime = 50 * time.Millisecond
	// finalAcceptTimeout limits each further attempt to accept a connection after
	// backlogDrainTime.
	finalAcceptTimeout = 2 * time.Millisecond
)

// Listener is a net.Listener that can be drained. It is safe for concurrent use.
type Listener struct {
	net.Listener
	draining  atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// New returns a Listener that accepts connections from l.
func New(l net.Listener) *Listener { return &Listener{Listener: l, closed: make(chan struct{})} }

// Accept implements net.Listener. After Drain it returns the remaining established
// connections, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for retried := false; ; retried = true {
		c, err := l.Listener.Accept()
		if err == nil || !l.draining.Load() {
			return c, err
		}
		// If the deadline passed while this goroutine was not scheduled, there may
		// still be established connections: accept once more.
		if errors.Is(err, os.ErrDeadlineExceeded) && !retried && l.setAcceptTimeout(finalAcceptTimeout) == nil {
			continue
		}
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
}

// Drain lets Accept return the connections that are already established, and then
// closes the listener. It needs another goroutine that calls Accept. It closes the
// listener at the latest when ctx ends, and returns the error of closing it.
func (l *Listener) Drain(ctx context.Context) error {
	l.draining.Store(true)
	if l.setAcceptTimeout(backlogDrainTime) == nil {
		select {
		case <-l.closed:
		case <-ctx.Done():
		}
	}
	return l.Close()
}

// setAcceptTimeout limits the following calls of Accept on the underlying listener
// to timeout from now. It returns an error if the listener has no deadlines.
func (l *Listener) setAcceptTimeout(timeout time.Duration) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return d.SetDeadline(time.Now().Add(timeout))
}

// Close implements net.Listener. Closing the listener again is not an error.
func (l *Listener) Close() error {
	err := net.ErrClosed
	l.closeOnce.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
