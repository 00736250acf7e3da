package abuse

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

// sampleInterval is the time between two looks at a process.
const sampleInterval = 20 * time.Millisecond

// Usage is what a process holds.
type Usage struct {
	// Resident is its resident memory, and Unread what its sockets have received and it has
	// not read, both in bytes.
	Resident, Unread int64
	// Files is the number of its open file descriptors.
	Files int
}

// Total returns the memory that counts toward the limit of a process.
func (u Usage) Total() int64 { return u.Resident + u.Unread }

// Meter measures a process repeatedly. It is safe for concurrent use.
type Meter struct {
	pid  int
	ip   [4]byte
	stop chan struct{}
	done chan struct{}

	mu   sync.Mutex
	peak Usage
	// most is the largest total of a single sample.
	most int64
	err  error
}

// NewMeter starts to measure a process. ip is the IPv4 address of its sockets, which no other
// process uses.
func NewMeter(pid int, ip string) *Meter {
	m := &Meter{pid: pid, stop: make(chan struct{}), done: make(chan struct{})}
	copy(m.ip[:], net.ParseIP(ip).To4())
	go m.run()
	return m
}

func (m *Meter) run() {
	defer close(m.done)
	for {
		u, err := m.sample()
		m.mu.Lock()
		m.peak.Resident, m.peak.Unread, m.peak.Files = max(m.peak.Resident, u.Resident), max(m.peak.Unread, u.Unread), max(m.peak.Files, u.Files)
		m.most = max(m.most, u.Total())
		m.err = err
		m.mu.Unlock()
		select {
		case <-m.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// Stop ends the measurement. It returns the largest total of memory, the largest single
// figures, and an error if the process could not be measured any more.
func (m *Meter) Stop() (most int64, peak Usage, err error) {
	close(m.stop)
	<-m.done
	return m.most, m.peak, m.err
}

func (m *Meter) sample() (Usage, error) {
	var u Usage
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.pid))
	if err != nil {
		return u, err
	}
	fields := bytes.Fields(statm)
	if len(fields) < 2 {
		return u, fmt.Errorf("process %d: no memory figures", m.pid)
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return u, err
	}
	if pages == 0 {
		return u, fmt.Errorf("process %d has ended", m.pid)
	}
	u.Resident = pages * int64(os.Getpagesize())
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid))
	if err != nil {
		return u, err
	}
	u.Files = len(fds)
	u.Unread, err = m.unread()
	return u, err
}

// States of a socket and columns in /proc/net/tcp.
const (
	tcpListen   = "0A"
	localColumn = 1
	stateColumn = 3
	queueColumn = 4
)

// unread returns the bytes that sockets of the address have received and that have not been
// read. That includes connections that have not been accepted yet.
func (m *Meter) unread() (int64, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	local := fmt.Appendf(nil, "%08X:", binary.NativeEndian.Uint32(m.ip[:]))
	var sum int64
	for line := range bytes.Lines(table) {
		fields := bytes.Fields(line)
		if len(fields) <= queueColumn || !bytes.HasPrefix(fields[localColumn], local) || string(fields[stateColumn]) == tcpListen {
			continue
		}
		_, received, _ := bytes.Cut(fields[queueColumn], []byte(":"))
		n, err := strconv.ParseInt(string(received), 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}
