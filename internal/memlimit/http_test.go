package memlimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// testServer is an HTTP server whose connections are limited.
type testServer struct {
	server *http.Server
	share  *Share
	addr   string
}

const testBodyLimit = 64 << 10

// newTestServer serves on loopback. The handler reads the body of a POST request and answers
// with its length; other requests are answered at once.
func newTestServer(t *testing.T, limit Amount, bodyTime time.Duration) *testServer {
	t.Helper()
	s := &testServer{share: NewBudget(limit).ShareOf("clients", 1)}
	s.server = &http.Server{ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic(http.ErrAbortHandler)
		}
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), bodyTime)
		defer cancel()
		body, err := ReadBody(ctx, r, testBodyLimit)
		switch {
		case errors.Is(err, ErrBodyTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrBodyTimeout):
			w.WriteHeader(http.StatusRequestTimeout)
		case errors.Is(err, ErrExhausted), errors.Is(err, ErrEvicted):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			if err := Hold(r, 100); err != nil {
				t.Errorf("hold less: %v", err)
			}
			fmt.Fprint(w, len(body))
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := SetReceiveBuffer(l); err != nil {
		t.Fatal(err)
	}
	s.addr = l.Addr().String()
	limited := Limit(s.server, l, s.share, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		s.server.Close()
		<-done
	})
	return s
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// exchange sends a request and returns the status and the body of the response.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader, request string) (int, string) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	return readResponse(t, r)
}

func readResponse(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func chunked(body string, size int) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

func withLength(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// waitUsed waits until a number of connections is left that hold nothing but what a connection
// without a request holds, and more.
func (s *testServer) waitUsed(t *testing.T, conns int, more int64) {
	t.Helper()
	var got Stats
	for range 300 {
		if got = s.share.Stats(); got.Conns == conns && got.Bytes == int64(conns)*connBytes+more {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d connections hold %d bytes, want %d with %d", got.Conns, got.Bytes, conns, int64(conns)*connBytes+more)
}

// TestRequestsOnOneConnection guards against requests whose begin is lost or counted as a part of
// the request before it, and against memory that stays granted after a request.
func TestRequestsOnOneConnection(t *testing.T) {
	s := newTestServer(t, Amount{4 << 20, 10}, time.Second)
	c := s.dial(t)
	defer c.Close()
	r := bufio.NewReader(c)
	long := strings.Repeat("b", 60_000)
	// A large body first and last: its connection keeps the receive buffer that it was given.
	for i, request := range []string{
		withLength(long), withLength("abc"), "GET / HTTP/1.1\r\nHost: x\r\n\r\n", withLength(""), withLength(long), chunked("abc", 1), chunked(long, 5000),
		"GET / HTTP/1.1\nHost: x\n\n", withLength("abc"), withLength(long),
	} {
		want := http.StatusOK
		if strings.HasPrefix(request, "GET") {
			want = http.StatusNoContent
		}
		if status, body := exchange(t, c, r, request); status != want {
			t.Errorf("request %d: status %d %s, want %d", i, status, body, want)
		}
	}
	// All in one go, so that each begins in the same read as the one before.
	all := []string{withLength("a"), chunked("bb", 2), "GET / HTTP/1.1\r\nHost: x\r\n\r\n", withLength(long), chunked(long, 1000), withLength("ccc")}
	if _, err := io.WriteString(c, strings.Join(all, "")); err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"1", "2", "", "60000", "60000", "3"} {
		if _, got := readResponse(t, r); got != want {
			t.Errorf("request %d in one go: body %q, want %q", i, got, want)
		}
	}
	s.waitUsed(t, 1, bodyUnread)
}

// TestNothingIsLeftAfterMisuse guards against memory that is not given back, or given back twice,
// on one of the ways in which a request can end. After thousands of requests it would be refused
// for good.
func TestNothingIsLeftAfterMisuse(t *testing.T) {
	s := newTestServer(t, Amount{2 << 20, 60}, 30*time.Millisecond)
	const clients, requests = 20, 250
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 0))
			for range requests {
				c, err := net.Dial("tcp", s.addr)
				if err != nil {
					t.Error(err)
					return
				}
				misuse(rng, c)
				c.Close()
			}
		})
	}
	all.Wait()
	s.waitUsed(t, 0, 0)
	c := s.dial(t)
	defer c.Close()
	if status, _ := exchange(t, c, bufio.NewReader(c), withLength("abc")); status != http.StatusOK {
		t.Errorf("a request afterwards: status %d, want 200", status)
	}
}

// misuse sends one or two requests, each complete, cut off, refused or ended by a panic. Errors
// are those of a connection that the server has closed.
func misuse(rng *rand.Rand, c net.Conn) {
	body := strings.Repeat("b", rng.IntN(2*testBodyLimit))
	for range 1 + rng.IntN(2) {
		request := []string{
			withLength(body), chunked(body, 1+rng.IntN(9000)), "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET /panic HTTP/1.1\r\nHost: x\r\n\r\n",
			"GET / HTTP/1.1\r\n" + strings.Repeat("x", rng.IntN(20_000)) + ":y\r\n\r\n", "nonsense\r\n\r\n", "DELETE / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n12345",
		}[rng.IntN(7)]
		if rng.IntN(3) == 0 {
			request = request[:rng.IntN(len(request))]
		}
		if _, err := io.WriteString(c, request); err != nil {
			return
		}
	}
	if rng.IntN(2) == 0 {
		if c.SetReadDeadline(time.Now().Add(time.Duration(rng.IntN(60))*time.Millisecond)) == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// TestEarlyResponseArrives guards against a response that is held back until the client has sent
// the rest of its body, or is destroyed because the connection is closed with unread bytes.
func TestEarlyResponseArrives(t *testing.T) {
	for _, c := range []struct {
		name, request string
		more          int // bytes that the client sends before it reads
		status        int
	}{
		{"length above the limit", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4294967296\r\n\r\n", 0, http.StatusRequestEntityTooLarge},
		{"length above the limit, sent", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n", 200_000, http.StatusRequestEntityTooLarge},
		{"chunks above the limit", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n", 0x30000, http.StatusRequestEntityTooLarge},
		{"body that does not come", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nb", 0, http.StatusRequestTimeout},
		{"body that nobody reads", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n", 50_000, http.StatusNoContent},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, Amount{4 << 20, 10}, 200*time.Millisecond)
			conn := s.dial(t)
			defer conn.Close()
			status, _ := exchange(t, conn, bufio.NewReader(conn), c.request+strings.Repeat("b", c.more))
			if status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			conn.Close()
			s.waitUsed(t, 0, 0)
		})
	}
}

// TestRequestsWithoutRoomAreRefused guards against requests that are left without an answer
// because there is no memory for their header or their body, and against connections that
// cannot be told why.
func TestRequestsWithoutRoomAreRefused(t *testing.T) {
	for _, c := range []struct {
		name, request string
	}{
		{"header", "GET / HTTP/1.1\r\n" + strings.Repeat("x:y\r\n", 2000) + "\r\n"},
		{"body", withLength(strings.Repeat("b", testBodyLimit))},
		{"body in chunks", chunked(strings.Repeat("b", testBodyLimit), 4096)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, Amount{5 * connBytes, 10}, time.Second)
			conn := s.dial(t)
			defer conn.Close()
			if status, _ := exchange(t, conn, bufio.NewReader(conn), c.request); status != http.StatusServiceUnavailable {
				t.Errorf("status %d, want 503", status)
			}
			conn.Close()
			s.waitUsed(t, 0, 0)
		})
	}
}

// TestStalledRequestGivesWay guards against an ordinary request that is refused while others hold
// memory and make no progress, and against a stalled request that is not told that it has not run.
func TestStalledRequestGivesWay(t *testing.T) {
	s := newTestServer(t, Amount{14 * connBytes, 10}, time.Minute)
	stalled := s.dial(t)
	defer stalled.Close()
	if _, err := io.WriteString(stalled, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\nbb"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(stallTime + 100*time.Millisecond)
	ordinary := s.dial(t)
	defer ordinary.Close()
	if status, body := exchange(t, ordinary, bufio.NewReader(ordinary), withLength(strings.Repeat("b", 50_000))); status != http.StatusOK {
		t.Errorf("the ordinary request: status %d %s, want 200", status, body)
	}
	if status, _ := readResponse(t, bufio.NewReader(stalled)); status != http.StatusServiceUnavailable {
		t.Errorf("the stalled request: status %d, want 503", status)
	}
}

// TestHeaderCost guards against headers that take more memory than is granted for them.
func TestHeaderCost(t *testing.T) {
	for name, line := range map[string]func(i int) string{
		"short names":     func(i int) string { return fmt.Sprintf("%x:\r\n", i) },
		"names and value": func(i int) string { return fmt.Sprintf("x%x:%d\r\n", i, i%10) },
		"one name":        func(int) string { return "a:\r\n" },
		"known name":      func(int) string { return "Accept:b\r\n" },
		"long lines":      func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("v", 500)) },
		"folded lines":    func(i int) string { return fmt.Sprintf("X%d:a\r\n b\r\n", i) },
	} {
		t.Run(name, func(t *testing.T) {
			var b strings.Builder
			b.WriteString("GET /" + strings.Repeat("p", 100) + " HTTP/1.1\r\nHost: x\r\n")
			for i := 0; b.Len() < 15<<10; i++ {
				b.WriteString(line(i))
			}
			header := b.String() + "\r\n"
			var scanner headerScanner
			n, lines, end := scanner.scan([]byte(header))
			if n != len(header) || !end {
				t.Fatalf("the header ends after %d of %d bytes: %v", n, len(header), end)
			}
			const headers = 200
			requests := make([]*http.Request, headers)
			before := liveBytes()
			for i := range requests {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(header)))
				if err != nil {
					t.Fatal(err)
				}
				r.Body = nil
				requests[i] = r
			}
			took := (liveBytes() - before) / headers
			runtime.KeepAlive(requests)
			// connBytes covers what does not depend on the header, such as the reader's buffer.
			if cost := headerCost(n, lines); took > cost+connBytes/2 {
				t.Errorf("%d lines in %d bytes take %d bytes, %d are granted", lines, n, took, cost)
			}
		})
	}
}

func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestHeaderScanner guards against an end of a header that is missed or found too early, for any
// division of its bytes into reads.
func TestHeaderScanner(t *testing.T) {
	for _, c := range []struct {
		in    string
		end   int // -1 if the header does not end
		lines int
	}{
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\nrest", 27, 3}, {"GET / HTTP/1.1\nHost: x\n\nrest", 24, 3}, {"GET /\r\n\r\n", 9, 2},
		{"GET / HTTP/1.1\r\nHost: x\r\n", -1, 2}, {"\r\nGET /\r\n\r\nx", 11, 3}, {"a\r\r\n\r\n", 6, 2}, {"", -1, 0}, {"\r\n\r\n", 4, 2},
	} {
		for size := 1; size <= len(c.in); size++ {
			var scanner headerScanner
			total, lines, end := 0, 0, -1
			for from := 0; from < len(c.in) && end < 0; {
				n, l, done := scanner.scan([]byte(c.in[from:min(len(c.in), from+size)]))
				total, lines, from = total+n, lines+l, from+n
				if done {
					end = total
				}
			}
			if end != c.end || lines != c.lines {
				t.Errorf("%q in reads of %d: end %d after %d lines, want %d after %d", c.in, size, end, lines, c.end, c.lines)
			}
		}
	}
}
