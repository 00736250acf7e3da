package memlimit

import (
	"errors"
	"net"
	"syscall"
)

const (
	// receiveBuffer is the size of the receive buffer of a connection. It bounds what the
	// connection has received while the process does not read it; the kernel accepts up to half
	// as much again.
	receiveBuffer = 8 << 10
	// bodyReceiveBuffer is that of a connection on which a large body was received, so that the
	// round trip time does not limit its rate, and bodyUnread is the memory for it.
	bodyReceiveBuffer = 32 << 10
	bodyUnread        = 48 << 10
)

// SetReceiveBuffer sets the receive buffer of the connections that l will accept. The kernel
// would otherwise enlarge it to megabytes by itself.
func SetReceiveBuffer(l net.Listener) error { return setReceiveBuffer(l, receiveBuffer) }

func setReceiveBuffer(socket any, bytes int) error {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	return errors.Join(err, optErr)
}

// connBytes is what a connection without a request holds: its goroutine, the buffers of
// net/http and what it has received.
const connBytes = 16 << 10

// Listener accepts connections within a share. A connection for which there is no room is
// closed before anything is read from it.
type Listener struct {
	net.Listener
	Share *Share
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc}
		if c.grant, err = l.Share.Open(clientName(nc), connBytes, c.evict); err == nil {
			return c, nil
		}
		// An error means that the peer has closed the connection.
		_ = nc.Close()
	}
}

// clientName returns the name under which the connections of a peer are counted.
func clientName(c net.Conn) string {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.IP.String()
	}
	return ""
}
