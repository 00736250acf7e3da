package memlimit

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// Process has the limits of a process.
type Process struct {
	// MemoryBytes is the memory above which the process is killed, and Descriptors the number
	// of file descriptors that it may open.
	MemoryBytes int64
	Descriptors int
}

// Limits of a process that are assumed if none are set, and the smallest ones with which it
// can work.
const (
	DefaultMemoryBytes = 512 << 20
	DefaultDescriptors = 4096
	MinMemoryBytes     = 64 << 20
	MinDescriptors     = 400
)

// Check returns an error if the process could not work within the limits.
func (p Process) Check() error {
	var errs []error
	if p.MemoryBytes < MinMemoryBytes {
		errs = append(errs, fmt.Errorf("the memory limit of %d bytes is less than %d", p.MemoryBytes, MinMemoryBytes))
	}
	if p.Descriptors < MinDescriptors {
		errs = append(errs, fmt.Errorf("the limit of %d file descriptors is less than %d", p.Descriptors, MinDescriptors))
	}
	return errors.Join(errs...)
}

const (
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// outgoingFraction: 1/outgoingFraction of the other descriptors is kept for the
	// connections that the process itself opens.
	outgoingFraction = 4
	// budgetFraction: 1/budgetFraction of the memory is for those who call the process. The
	// rest is for its own state, for the program and for garbage.
	budgetFraction = 3
	// collectorPercent is the part of the memory at which the garbage collector runs without
	// regard to its cost. The rest is for the program itself and for what sockets have
	// received. It is above the budget and the state of the process, or the collector would
	// run all the time.
	collectorPercent = 70
)

// Budget returns the budget for those who call the process.
func (p Process) Budget() *Budget {
	sockets := p.Descriptors - fileDescriptors
	return NewBudget(Amount{p.MemoryBytes / budgetFraction, sockets - sockets/outgoingFraction})
}

// LimitCollector tells the garbage collector of the memory limit.
func (p Process) LimitCollector() { debug.SetMemoryLimit(p.MemoryBytes / 100 * collectorPercent) }

// ShareOf adds a share to which a part of the budget is guaranteed.
func (b *Budget) ShareOf(name string, part float64) *Share {
	return b.Share(name, Amount{int64(part * float64(b.limit.Bytes)), int(part * float64(b.limit.Conns))})
}
