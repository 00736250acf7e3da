package memlimit

import "bytes"

// What net/http holds for a header while it reads it, and until the request has been
// answered. A line takes an entry of a map, which grows by doubling, and strings of its own.
const (
	headerLineBytes  = 160
	headerByteFactor = 3
)

// headerCost returns the memory for a part of a header.
func headerCost(bytes, lines int) int64 {
	return int64(bytes)*headerByteFactor + int64(lines)*headerLineBytes
}

// headerScanner finds the end of a header in the bytes of a connection.
type headerScanner struct {
	started bool // a line has been read
	inLine  bool // the current line is not empty
}

// scan reads p. It returns the number of bytes that belong to the header, of lines that end
// in them, and whether the header ends with them.
func (h *headerScanner) scan(p []byte) (n, lines int, end bool) {
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		line := p[n:]
		if i >= 0 {
			line = p[n : n+i]
		}
		// A carriage return alone does not make a line.
		h.inLine = h.inLine || len(line) > 1 || len(line) == 1 && line[0] != '\r'
		if i < 0 {
			return len(p), lines, false
		}
		n += i + 1
		lines++
		if h.started && !h.inLine {
			return n, lines, true
		}
		h.started, h.inLine = true, false
	}
	return n, lines, false
}
