package panicguard

import (
	"strings"
	"sync"
	"testing"

	"github.com/parsleypier/parsleypier/internal/eventlog"
)

// lineWriter passes on what is written to it.
type lineWriter chan string

func (w lineWriter) Write(b []byte) (int, error) {
	w <- string(b)
	return len(b), nil
}

// Guards against a panic that ends the process or leaves no trace.
func TestPanicIsContainedAndLogged(t *testing.T) {
	lines := make(lineWriter, 1)
	log := eventlog.New(lines, "p", "r")
	defer log.Close()
	var mu sync.Mutex
	if Run(log, "test", func() {
		mu.Lock()
		defer mu.Unlock()
		panic("bad row")
	}) {
		t.Error("a call that panicked is reported as returned")
	}
	if !mu.TryLock() {
		t.Error("the lock is still held")
	}
	if !Run(log, "test", func() {}) {
		t.Error("a call that returned is reported as panicked")
	}
	if line := <-lines; !strings.Contains(line, "bad row") || contained.Get("test").String() != "1" {
		t.Errorf("count %s, log %q", contained.Get("test"), line)
	}
}
