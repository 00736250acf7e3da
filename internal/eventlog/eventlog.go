// Package eventlog writes one structured line for each decision. Lines go
// through a bounded queue, so that a slow reader never delays a request; what
// does not fit is counted, and the count is written when there is room again.
package eventlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a log.
const (
	// queueLines is the number of lines that wait for the writer; about 1 MB.
	queueLines = 4096
	// burstLines and linesPerSecond bound the volume of one event, so that a load
	// of any size writes at most 60 KB a second for each kind of event.
	burstLines     = 400
	linesPerSecond = 200
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger *slog.Logger
	queue  chan []byte
	// dropped counts the lines that were left out since the last notice.
	dropped atomic.Int64
	// Dropped counts all lines that were left out.
	Dropped atomic.Int64
	// unwritten counts the lines that are queued or being written.
	unwritten atomic.Int64

	mu     sync.Mutex
	closed bool
	events map[string]*allowance
}

type allowance struct {
	left float64
	at   time.Time
}

// New returns a log that writes to out with the process's name on each line.
// Run must be called to write the lines.
func New(out io.Writer, process, role string) *Log {
	l := &Log{queue: make(chan []byte, queueLines), events: map[string]*allowance{}}
	handler := slog.NewJSONHandler(writerFunc(l.enqueue), &slog.HandlerOptions{Level: slog.LevelInfo})
	l.logger = slog.New(handler).With("process", process, "role", role)
	go l.write(out)
	return l
}

// Close ends the writer once the queued lines are written. Later events are
// left out.
func (l *Log) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue != nil && !l.closed {
		l.closed = true
		close(l.queue)
	}
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	return &Log{logger: slog.New(slog.DiscardHandler), events: map[string]*allowance{}}
}

type writerFunc func([]byte)

func (f writerFunc) Write(b []byte) (int, error) {
	f(b)
	return len(b), nil
}

func (l *Log) enqueue(line []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	select {
	case l.queue <- bytes.Clone(line):
		l.unwritten.Add(1)
	default:
		l.drop()
	}
}

func (l *Log) drop() {
	l.dropped.Add(1)
	l.Dropped.Add(1)
}

func (l *Log) write(out io.Writer) {
	for line := range l.queue {
		// A failed write loses the line: there is no other place to report it.
		_, err := out.Write(line)
		l.unwritten.Add(-1)
		if err != nil {
			l.drop()
			continue
		}
		if len(l.queue) == 0 {
			if n := l.dropped.Swap(0); n > 0 {
				l.logger.Warn("lines_left_out", "count", n)
			}
		}
	}
}

// Event writes one line: the name of the event and its keys and values.
func (l *Log) Event(name string, keysAndValues ...any) {
	if !l.allow(name) {
		l.drop()
		return
	}
	l.logger.Log(context.Background(), slog.LevelInfo, name, keysAndValues...)
}

func (l *Log) allow(name string) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.events[name]
	if a == nil {
		a = &allowance{left: burstLines, at: now}
		l.events[name] = a
	}
	a.left = min(burstLines, a.left+now.Sub(a.at).Seconds()*linesPerSecond)
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

// Flush waits until the queued lines are written, for up to d.
func (l *Log) Flush(d time.Duration) {
	for deadline := time.Now().Add(d); l.unwritten.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPoll)
	}
}

const flushPoll = 2 * time.Millisecond
