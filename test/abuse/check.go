package abuse

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Limits are what a process may hold.
type Limits struct {
	MemoryBytes int64
	Descriptors int
}

// Crowd is a number of clients of one form and the process that they call.
type Crowd struct {
	Target  Target
	Form    Form
	Clients int
	PID     int
	// IP is the address of the process, which no other process uses.
	IP     string
	Limits Limits
	// Ordinary sends an ordinary request to the process. An ordinary client repeats it until
	// it succeeds.
	Ordinary func() error
	// Meanwhile is called while the clients hold their connections; nil for nothing.
	Meanwhile func()
}

// holdTime is the time for which the clients hold their connections once all have sent.
const holdTime = 1500 * time.Millisecond

// Check runs the clients. It checks that the process stays within its limits and that it
// serves ordinary requests beside the clients and after them.
func (c Crowd) Check(t *testing.T) {
	t.Helper()
	meter := NewMeter(c.PID, c.IP)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sent, gone := make(chan struct{}), make(chan struct{})
	go func() {
		Run(ctx, c.Target, c.Form, c.Clients, func() { close(sent) })
		close(gone)
	}()
	<-sent
	time.Sleep(holdTime)
	if c.Meanwhile != nil {
		c.Meanwhile()
	}
	Eventually(t, "an ordinary request beside the clients", c.Ordinary)
	cancel()
	<-gone
	Eventually(t, "an ordinary request after the clients", c.Ordinary)
	most, peak, err := meter.Stop()
	if err != nil {
		t.Fatalf("process %d: %v", c.PID, err)
	}
	t.Logf("memory %d MB (resident %d, unread %d), %d descriptors", most/1e6, peak.Resident/1e6, peak.Unread/1e6, peak.Files)
	if most > c.Limits.MemoryBytes {
		t.Errorf("the process held %d MB of memory, more than %d", most/1e6, c.Limits.MemoryBytes/1e6)
	}
	if peak.Files > c.Limits.Descriptors {
		t.Errorf("the process had %d descriptors, more than %d", peak.Files, c.Limits.Descriptors)
	}
}

// eventuallyTimeout is far above what is needed; it only ends a test that hangs.
const eventuallyTimeout = 30 * time.Second

// Eventually fails the test if f still returns an error after a long time.
func Eventually(t *testing.T, what string, f func() error) {
	t.Helper()
	for tries, deadline := 1, time.Now().Add(eventuallyTimeout); ; tries++ {
		err := f()
		if err == nil {
			return
		}
		if testing.Verbose() {
			t.Logf("%s, try %d: %v", what, tries, err)
		}
		time.Sleep(100 * time.Millisecond)
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
	}
}

// Expect sends a request and returns an error if the response has another status, after the
// time for which the response asks the client to wait.
func Expect(client *http.Client, req *http.Request, status int) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode == status {
		return nil
	}
	if after, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		time.Sleep(time.Duration(after) * time.Second)
	}
	return fmt.Errorf("%s %s: status %d: %.100s", req.Method, req.URL.Path, resp.StatusCode, answer)
}
