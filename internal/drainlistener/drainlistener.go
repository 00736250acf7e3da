// Package drainlistener ends a listener without dropping connections that the kernel
// has already established.
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
	// backlogWindow is the time in which Drain still takes connections. It covers a
	// process that is slow to be scheduled.
	backlogWindow = 50 * time.Millisecond
	// lastWindow limits each further look for an established connection.
	lastWindow = 2 * time.Millisecond
)

// Listener is a listener that can be drained. It is safe for concurrent use.
type Listener struct {
	net.Listener
	draining atomic.Bool
	once     sync.Once
	drained  chan struct{}
}

// New returns a listener over l.
func New(l net.Listener) *Listener { return &Listener{Listener: l, drained: make(chan struct{})} }

// Accept implements net.Listener. After Drain it returns the connections that
// are established already, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for last := false; ; last = true {
		c, err := l.Listener.Accept()
		if err == nil || !l.draining.Load() {
			return c, err
		}
		// A deadline that passes while this goroutine is not scheduled hides
		// connections that wait: look once more.
		if errors.Is(err, os.ErrDeadlineExceeded) && !last && l.limit(lastWindow) == nil {
			continue
		}
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
}

// Drain takes the connections that are established and closes the listener. It
// needs another goroutine that calls Accept, and closes the listener at the end
// of ctx in any case. The error is that of the close.
func (l *Listener) Drain(ctx context.Context) error {
	l.draining.Store(true)
	if l.limit(backlogWindow) == nil {
		select {
		case <-l.drained:
		case <-ctx.Done():
		}
	}
	return l.Close()
}

func (l *Listener) limit(window time.Duration) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return d.SetDeadline(time.Now().Add(window))
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	err := net.ErrClosed
	l.once.Do(func() {
		err = l.Listener.Close()
		close(l.drained)
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
