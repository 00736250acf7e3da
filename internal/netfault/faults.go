//go:build faults

// Package netfault provides the functions with which all processes dial and listen.
// In builds with the tag faults, failure tests can cut and slow down the links to
// other machines. In other builds the functions are those of package net.
package netfault

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Rule is the fault injected into the link to one remote IP address.
type Rule struct {
	// IP is the remote address.
	IP string `json:"ip"`
	// Cut blocks new connections and writes to IP until a rule without Cut is set.
	Cut bool `json:"cut"`
	// DelayMS delays each write to IP, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// links holds the rules by IP address. The channel changed is closed and replaced
// when a rule changes.
var links = struct {
	sync.Mutex
	rules   map[string]Rule
	changed chan struct{}
}{rules: map[string]Rule{}, changed: make(chan struct{})}

// heldCount counts the writes and connections that a rule blocked or delayed, so
// that a test can tell whether its fault affected any traffic.
var heldCount atomic.Int64

// SetRule replaces the rule for the link to r.IP.
func SetRule(r Rule) {
	links.Lock()
	defer links.Unlock()
	links.rules[r.IP] = r
	close(links.changed)
	links.changed = make(chan struct{})
}

func ruleFor(ip string) (Rule, <-chan struct{}) {
	links.Lock()
	defer links.Unlock()
	return links.rules[ip], links.changed
}

// Handler returns a handler that sets the Rule in the JSON body of a POST request. It
// responds with the number of writes and connections blocked or delayed so far.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var r Rule
		if err := json.NewDecoder(req.Body).Decode(&r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		SetRule(r)
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(map[string]int64{"held": heldCount.Load()})
	})
}

// Dial connects to addr over TCP, with localIP as the local address (empty for any).
// While the link to addr is cut, it blocks until ctx ends.
func Dial(ctx context.Context, localIP, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	for {
		r, changed := ruleFor(host)
		if !r.Cut {
			break
		}
		heldCount.Add(1)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c, err := dialer(localIP).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// Listen listens on a TCP address.
func Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return listener{l.(*net.TCPListener)}, nil
}

type listener struct{ *net.TCPListener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// conn blocks writes while the link to its remote address is cut.
type conn struct {
	net.Conn
	ip     string
	closed chan struct{}
	once   sync.Once
}

func newConn(c net.Conn) net.Conn {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return &conn{Conn: c, ip: host, closed: make(chan struct{})}
}

// Write waits while the link is cut, and then writes after the delay of the link.
func (c *conn) Write(b []byte) (int, error) {
	for {
		r, changed := ruleFor(c.ip)
		if !r.Cut {
			if r.DelayMS > 0 {
				heldCount.Add(1)
				time.Sleep(time.Duration(r.DelayMS) * time.Millisecond)
			}
			return c.Conn.Write(b)
		}
		heldCount.Add(1)
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Close closes the connection and unblocks its writes.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
