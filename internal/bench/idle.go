package bench

import (
	"math/bits"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// IdleCause is the reason why an accelerator is free.
type IdleCause uint8

// The causes, in order of precedence.
const (
	// IdleEmpty means that no job waits.
	IdleEmpty IdleCause = iota
	// IdleReserved means that the plan reserves the accelerator for a waiting job.
	IdleReserved
	// IdleWithheld means that a waiting job fits beside the reservations, but the
	// policy does not start it, because of a guarantee, a quota or its own choice.
	IdleWithheld
	// IdleMisfit means that no waiting job fits into the accelerators that are
	// free and not reserved.
	IdleMisfit
	idleCauses
)

var idleNames = [idleCauses]string{"empty", "reserved", "withheld", "misfit"}

// idleCounts holds the free accelerators by cause, as of the last decision: all of
// them, and those that the fragmentation measurement counts as unusable.
type idleCounts struct{ free, unusable [idleCauses]float64 }

// attributeIdle divides the free accelerators by cause. Reserved accelerators count
// as unusable before any others, because they stay free for a job that cannot start
// yet.
func (m *metrics) attributeIdle(l *eventLoop, plan *structs.Plan) {
	m.idleByCause = idleCounts{}
	if len(l.waiting) == 0 {
		m.idleByCause.free[IdleEmpty], m.idleByCause.unusable[IdleEmpty] = float64(m.free), float64(m.unusable)
		return
	}
	s := l.snapshot()
	reserved := 0
	for _, r := range plan.Reservations {
		for _, c := range r.Members {
			w := &s.Workers[l.workerIndex[c.Worker]]
			all := uint64(1)<<uint(w.Accelerators) - 1
			if w.State == structs.WorkerReady {
				reserved += bits.OnesCount64(c.Accelerators &^ w.Busy & all)
			}
			w.Busy |= c.Accelerators & all
		}
	}
	rest := IdleMisfit
	g := newGreedy(s, false)
	for i := range s.Waiting {
		if g.find(&s.Waiting[i]) != nil {
			rest = IdleWithheld
			break
		}
	}
	m.idleByCause.free[IdleReserved], m.idleByCause.free[rest] = float64(reserved), float64(m.free-reserved)
	m.idleByCause.unusable[IdleReserved] = float64(min(reserved, m.unusable))
	m.idleByCause.unusable[rest] = float64(m.unusable - min(reserved, m.unusable))
}
