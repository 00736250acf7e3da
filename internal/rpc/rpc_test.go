package rpc

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

type EchoArgs struct {
	Header
	Text  string
	Sleep time.Duration
}

type EchoReply struct {
	Reply
	Text string
}

type echoService struct{}

func (echoService) Echo(args *EchoArgs, reply *EchoReply) error {
	time.Sleep(args.Sleep)
	if args.Text == "refuse" {
		reply.Err = verdict.Refuse(verdict.CodeDraining, "leaving")
		return nil
	}
	reply.Text = args.Text
	return nil
}

func startEchoServer(t *testing.T) (*Server, string) {
	t.Helper()
	s := NewServer()
	if err := s.Register("Echo", echoService{}); err != nil {
		t.Fatal(err)
	}
	addr, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(context.Background()) })
	return s, addr
}

// Guards against errors with a wrong verdict.
func TestCallVerdicts(t *testing.T) {
	_, addr := startEchoServer(t)
	pool := NewPool("", "test", nil)
	defer pool.Close()
	var reply EchoReply
	if err := pool.Call(context.Background(), addr, "Echo.Echo", &EchoArgs{Text: "hello"}, &reply); err != nil || reply.Text != "hello" {
		t.Fatalf("reply %q, error %v", reply.Text, err)
	}
	err := pool.Call(context.Background(), addr, "Echo.Echo", &EchoArgs{Text: "refuse"}, &EchoReply{})
	if verdict.Of(err) != verdict.NotRun || !verdict.HasCode(err, verdict.CodeDraining) {
		t.Errorf("call that the server refuses: error %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	err = pool.Call(ctx, addr, "Echo.Echo", &EchoArgs{Sleep: 100 * time.Millisecond}, &EchoReply{})
	if err == nil || verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("timeout after the request was sent: error %v", err)
	}
	err = pool.Call(context.Background(), "127.0.0.1:1", "Echo.Echo", &EchoArgs{}, &EchoReply{})
	if verdict.Of(err) != verdict.NotRun {
		t.Errorf("connection refused: error %v", err)
	}
}

// Guards against a malformed request that makes the server fail for other clients.
func TestMalformedInputKeepsServing(t *testing.T) {
	_, addr := startEchoServer(t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n\xff\xff\xff\xff")); err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	pool := NewPool("", "test", nil)
	defer pool.Close()
	var reply EchoReply
	if err := pool.Call(context.Background(), addr, "Echo.Echo", &EchoArgs{Text: "x"}, &reply); err != nil {
		t.Fatal(err)
	}
}

// Guards against a call that fails because another call on the same
// connection timed out.
func TestTimeoutKeepsOtherCallsOnConnection(t *testing.T) {
	_, addr := startEchoServer(t)
	pool := NewPool("", "test", nil)
	defer pool.Close()
	slowCall := make(chan error, 1)
	go func() {
		slowCall <- pool.Call(context.Background(), addr, "Echo.Echo", &EchoArgs{Sleep: 200 * time.Millisecond}, &EchoReply{})
	}()
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	go pool.Call(context.Background(), addr, "Echo.Echo", &EchoArgs{Sleep: 10 * time.Millisecond}, &EchoReply{})
	if err := pool.Call(ctx, addr, "Echo.Echo", &EchoArgs{Sleep: time.Second}, &EchoReply{}); err == nil {
		t.Fatal("the call did not time out")
	}
	if err := <-slowCall; err != nil {
		t.Fatal(err)
	}
}

// failingListener fails the first calls of Accept as if the process had no free
// file descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a server that stops accepting connections after a temporary
// error.
func TestAcceptRetriesAfterError(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer()
	if err := s.Register("Echo", echoService{}); err != nil {
		t.Fatal(err)
	}
	s.listener = &failingListener{Listener: inner, failures: 2}
	go s.accept(s.listener)
	defer s.Close(context.Background())
	pool := NewPool("", "test", nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var reply EchoReply
	if err := pool.Call(ctx, inner.Addr().String(), "Echo.Echo", &EchoArgs{Text: "hello"}, &reply); err != nil {
		t.Fatalf("call after failed accepts: error %v", err)
	}
}
