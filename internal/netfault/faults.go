//go:build faults

// Package netfault holds the dial and listen functions of every process. In
// builds with the tag faults, links can be cut and slowed for failure tests;
// in other builds it adds nothing.
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

// Rule is the state of the link to one remote IP address.
type Rule struct {
	// IP is the remote address.
	IP string `json:"ip"`
	// Cut holds back everything sent to IP until it is healed.
	Cut bool `json:"cut"`
	// DelayMS delays each write to IP, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

var links = struct {
	sync.Mutex
	rules  map[string]Rule
	change chan struct{}
}{rules: map[string]Rule{}, change: make(chan struct{})}

// held counts the writes and connections that a rule held back or delayed, so
// that a test can tell whether its fault met any traffic.
var held atomic.Int64

// Set replaces the rule of the link to r.IP.
func Set(r Rule) {
	links.Lock()
	defer links.Unlock()
	links.rules[r.IP] = r
	close(links.change)
	links.change = make(chan struct{})
}

func rule(ip string) (Rule, <-chan struct{}) {
	links.Lock()
	defer links.Unlock()
	return links.rules[ip], links.change
}

// Handler accepts a JSON Rule by POST and answers with the number of writes and
// connections held back or delayed so far.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var r Rule
		if err := json.NewDecoder(req.Body).Decode(&r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		Set(r)
		w.Header().Set("Content-Type", "application/json")
		// The caller has gone if this fails.
		_ = json.NewEncoder(w).Encode(map[string]int64{"held": held.Load()})
	})
}

// Dial connects from localIP (empty for any) to addr over TCP. A cut link
// delays the connection until it is healed or ctx ends.
func Dial(ctx context.Context, localIP, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	for {
		r, change := rule(host)
		if !r.Cut {
			break
		}
		held.Add(1)
		select {
		case <-change:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c, err := dialer(localIP).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return wrap(c), nil
}

// Listen announces on a TCP address.
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
	return wrap(c), nil
}

// conn holds back writes while the link to its remote address is cut.
type conn struct {
	net.Conn
	ip     string
	closed chan struct{}
	once   sync.Once
}

func wrap(c net.Conn) net.Conn {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return &conn{Conn: c, ip: host, closed: make(chan struct{})}
}

// Write waits while the link is cut, then writes after the link's delay.
func (c *conn) Write(b []byte) (int, error) {
	for {
		r, change := rule(c.ip)
		if !r.Cut {
			if r.DelayMS > 0 {
				held.Add(1)
				time.Sleep(time.Duration(r.DelayMS) * time.Millisecond)
			}
			return c.Conn.Write(b)
		}
		held.Add(1)
		select {
		case <-change:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Close closes the connection and ends blocked writes.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
