// Package eventlog writes events of the system as structured log lines. Lines pass
// through a bounded queue, so that a slow output never delays a request. Lines that
// do not fit are dropped and counted, and the count is logged once the queue is
// empty again.
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

// Limits of a log.
const (
	// maxQueuedLines limits the lines that wait to be written, about 1 MB.
	maxQueuedLines = 4096
	// maxBurstLines and maxLinesPerSecond limit the lines with the same event name,
	// so that each event writes at most 60 KB a second under any load.
	maxBurstLines     = 400
	maxLinesPerSecond = 200
)

// Log is an event log. It is safe for concurrent use.
type Log struct {
	logger *slog.Logger
	queue  chan []byte
	// droppedSinceReport counts the lines dropped since the last lines_left_out
	// event.
	droppedSinceReport atomic.Int64
	// DroppedTotal counts all dropped lines.
	DroppedTotal atomic.Int64
	// unwrittenLines counts the lines that are queued or being written.
	unwrittenLines atomic.Int64

	mu      sync.Mutex
	closed  bool
	buckets map[string]*tokenBucket
}

// tokenBucket limits the lines of one event name; a line takes one token.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a log that writes to out, and starts its writer. Each line carries the
// name and the role of the process.
func New(out io.Writer, process, role string) *Log {
	l := &Log{queue: make(chan []byte, maxQueuedLines), buckets: map[string]*tokenBucket{}}
	handler := slog.NewJSONHandler(writerFunc(l.enqueue), &slog.HandlerOptions{Level: slog.LevelInfo})
	l.logger = slog.New(handler).With("process", process, "role", role)
	go l.writeQueued(out)
	return l
}

// Close ends the writer after the queued lines are written. It does not wait for
// that. Later events are discarded.
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
	return &Log{logger: slog.New(slog.DiscardHandler), buckets: map[string]*tokenBucket{}}
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
		l.unwrittenLines.Add(1)
	default:
		l.countDropped()
	}
}

func (l *Log) countDropped() {
	l.droppedSinceReport.Add(1)
	l.DroppedTotal.Add(1)
}

func (l *Log) writeQueued(out io.Writer) {
	for line := range l.queue {
		// A line whose write fails is lost; there is no other place to report it.
		_, err := out.Write(line)
		l.unwrittenLines.Add(-1)
		if err != nil {
			l.countDropped()
			continue
		}
		if len(l.queue) == 0 {
			if n := l.droppedSinceReport.Swap(0); n > 0 {
				l.logger.Warn("lines_left_out", "count", n)
			}
		}
	}
}

// Event logs an event with its name and alternating keys and values.
func (l *Log) Event(name string, keysAndValues ...any) {
	if !l.takeToken(name) {
		l.countDropped()
		return
	}
	l.logger.Log(context.Background(), slog.LevelInfo, name, keysAndValues...)
}

func (l *Log) takeToken(name string) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if b == nil {
		b = &tokenBucket{tokens: maxBurstLines, refilledAt: now}
		l.buckets[name] = b
	}
	b.tokens = min(maxBurstLines, b.tokens+now.Sub(b.refilledAt).Seconds()*maxLinesPerSecond)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Flush waits until all queued lines are written, for at most d.
func (l *Log) Flush(d time.Duration) {
	for deadline := time.Now().Add(d); l.unwrittenLines.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}

// flushPollInterval is the interval at which Flush checks for unwritten lines.
const flushPollInterval = 2 * time.Millisecond
