package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// gatedWriter blocks writes until the channel open is closed.
type gatedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (w *gatedWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func (w *gatedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

// Guards against events that block while the output is slow, and against lines that
// are dropped without a count in the log.
func TestSlowWriterDoesNotBlockEvents(t *testing.T) {
	w := &gatedWriter{open: make(chan struct{})}
	l := New(w, "p", "entry")
	defer l.Close()
	done := make(chan struct{})
	go func() {
		for range 3 * maxQueuedLines {
			l.Event("flood", "job", "x")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Event blocks while the output is blocked")
	}
	if l.DroppedTotal.Load() == 0 {
		t.Error("no line was dropped although the queue was full")
	}
	close(w.open)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(w.String(), "lines_left_out"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the number of dropped lines was not logged")
		}
	}
}

// Guards against a frequent event that keeps other events out of the log.
func TestRateLimitIsPerEvent(t *testing.T) {
	w := &gatedWriter{open: make(chan struct{})}
	close(w.open)
	l := New(w, "p", "entry")
	defer l.Close()
	for range 10 * maxBurstLines {
		l.Event("flood")
	}
	l.Event("rare", "key", 1)
	l.Flush(time.Second)
	time.Sleep(10 * time.Millisecond)
	out := w.String()
	if n := strings.Count(out, `"flood"`); n < maxBurstLines || n > 2*maxBurstLines {
		t.Errorf("%d lines of the frequent event, want about %d", n, maxBurstLines)
	}
	if !strings.Contains(out, `"msg":"rare"`) {
		t.Error("the rare event was dropped")
	}
}
