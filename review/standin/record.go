// Package standin holds what the scripts of the review share: a stand-in of the users'
// platform (store and workers), the processes of a small deployment, a client, and the
// record of what was sent, answered and run.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld      = 0
	ExitBroken    = 1
	ExitCannotRun = 2
)

// Record is the record of one run of a script. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Elapsed returns the time since the record was created.
func (r *Record) Elapsed() time.Duration { return time.Since(r.began) }

// Logf adds a line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", r.Elapsed().Seconds(), fmt.Sprintf(format, args...))
}

// Sayf adds a line and prints it.
func (r *Record) Sayf(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }

// Trouble reports whether the script is to cause the disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a script's scenario and exits with the code that it returns. RECORD names the
// file of the record.
func Main(scenario func(r *Record) (int, error)) {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	r, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitCannotRun)
	}
	r.Sayf("trouble: %v", Trouble())
	go giveUp(r)
	code, err := scenario(r)
	if err != nil {
		r.Sayf("the case could not run: %v", err)
		code = ExitCannotRun
	}
	r.Sayf("exit code %d", code)
	if err := r.Close(); err != nil {
		code = ExitCannotRun
	}
	os.Exit(code)
}

// timeLimit is when a script gives up. It may last 120 s.
const timeLimit = 112 * time.Second

// live has the processes of the system that were started and not waited for.
var live sync.Map

// giveUp ends the script with all processes that it started, at timeLimit or after a signal.
func giveUp(r *Record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		r.Sayf("ended by a signal")
	case <-time.After(timeLimit):
		r.Sayf("not finished after %v", timeLimit)
	}
	live.Range(func(p, _ any) bool {
		// The process may have ended by itself.
		_ = p.(*os.Process).Kill()
		return true
	})
	os.Exit(ExitCannotRun)
}
