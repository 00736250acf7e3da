package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// firstRetransmission is when TCP sends lost data again first; each further time it waits
// twice as long.
const firstRetransmission = 200 * time.Millisecond

// Link is a loopback proxy in front of one address that can be cut. Data that is sent into
// a cut arrives when TCP sends it again after the cut. That is so too if the sender's
// process has ended in the meantime. A channel that is opened in the cut transfers nothing.
type Link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cut    bool
	opened map[net.Conn]bool // true for those that were opened in a cut
}

// NewLink returns a link from listen to target.
func NewLink(listen, target string) (*Link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Link{listener: l, target: target, opened: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// SetCut cuts the link, or mends it.
func (p *Link) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// Close ends the link and its channels.
func (p *Link) Close() {
	// The error is that of closing the listener.
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.opened {
		c.Close()
	}
}

func (p *Link) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *Link) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(c)
		}
	}
}

func (p *Link) serve(c net.Conn) {
	p.mu.Lock()
	p.opened[c] = p.cut
	dead := p.cut
	p.mu.Unlock()
	defer func() {
		c.Close()
		p.mu.Lock()
		delete(p.opened, c)
		p.mu.Unlock()
	}()
	if dead {
		// The opening packet is lost: the caller gives up at its own timeout.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer t.Close()
	ended := make(chan struct{}, 2)
	forward := func(from, to net.Conn) {
		p.forward(from, to)
		ended <- struct{}{}
	}
	go forward(c, t)
	go forward(t, c)
	<-ended
	// What the other side still sends is not awaited for long.
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
	}
}

// forward copies data from one side to the other, and the end of it.
func (p *Link) forward(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		sent := time.Now()
		for wait := firstRetransmission; p.isCut(); wait *= 2 {
			time.Sleep(time.Until(sent.Add(2*wait - firstRetransmission)))
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok {
				// The error means that the other side has closed the channel.
				_ = half.CloseWrite()
			}
			return
		}
	}
}
