package rpc

import (
	"context"
	"net"
	"net/rpc"
	"os"
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

// TestCallReachesServerSoonAfterItStarts guards against calls that wait for the repetition
// of a lost opening packet: an owner reached agents that had just started 1.2 s late, and
// one of them was stopped before (kalstaly-pier, scale-2, seeds 3 and 4).
func TestCallReachesServerSoonAfterItStarts(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	// The queue of new connections is full, so the kernel drops further opening packets.
	for range 2 {
		if c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	pool := NewPool("", "test", nil)
	defer pool.Close()
	began := time.Now()
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		return pool.Call(ctx, addr, "Echo.Echo", &EchoArgs{Text: "hello"}, &EchoReply{})
	}
	go func() {
		time.Sleep(100 * time.Millisecond) // the first opening packet is lost by then
		for range 2 {
			if conn, _, err := syscall.Accept(fd); err == nil {
				defer syscall.Close(conn)
			}
		}
		serveEcho(t, file)
	}()
	for err = call(); err != nil && time.Since(began) < 5*time.Second; err = call() {
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil || time.Since(began) > 900*time.Millisecond {
		t.Errorf("the server is reached after %v, %v; want at most 0.9 s", time.Since(began), err)
	}
}

// serveEcho serves the echo service on a listening socket until the test ends.
func serveEcho(t *testing.T, file *os.File) {
	l, err := net.FileListener(file)
	if err != nil {
		t.Error(err)
		return
	}
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", echoService{}); err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { l.Close() })
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go server.ServeConn(c)
	}
}
