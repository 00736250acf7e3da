package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter takes nothing until it is opened.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func (w *blockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

// Guards against a request that waits for the reader of the log, and against
// lines that are left out without a word.
func TestSlowReaderBlocksNobody(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	l := New(w, "p", "entry")
	defer l.Close()
	done := make(chan struct{})
	go func() {
		for range 3 * queueLines {
			l.Event("flood", "job", "x")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writers wait for the reader")
	}
	if l.Dropped.Load() == 0 {
		t.Error("no line was left out of a flood")
	}
	close(w.open)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(w.String(), "lines_left_out"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the number of lines that were left out is not written")
		}
	}
}

// Guards against one event that leaves no room for others.
func TestEventsAreBoundedEach(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	close(w.open)
	l := New(w, "p", "entry")
	defer l.Close()
	for range 10 * burstLines {
		l.Event("flood")
	}
	l.Event("rare", "key", 1)
	l.Flush(time.Second)
	time.Sleep(10 * time.Millisecond)
	out := w.String()
	if n := strings.Count(out, `"flood"`); n < burstLines || n > 2*burstLines {
		t.Errorf("%d lines of a flood, want about %d", n, burstLines)
	}
	if !strings.Contains(out, `"msg":"rare"`) {
		t.Error("another event was left out")
	}
}
