package panicguard

import (
	"strings"
	"sync"
	"testing"

	"github.com/parsleypier/parsleypier/internal/eventlog"
)

// lineWriter sends each write to the channel.
type lineWriter chan string

func (w lineWriter) Write(b []byte) (int, error) {
	w <- string(b)
	return len(b), nil
}

// Guards against a panic that ends the process, is not logged, or leaves a lock
// held.
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
		t.Error("Run returned true for a call that panicked")
	}
	if !mu.TryLock() {
		t.Error("the lock is still held")
	}
	if !Run(log, "test", func() {}) {
		t.Error("Run returned false for a call that returned")
	}
	if line := <-lines; !strings.Contains(line, "bad row") || containedPanics.Get("test").String() != "1" {
		t.Errorf("%s contained panics counted, log line %q", containedPanics.Get("test"), line)
	}
}
