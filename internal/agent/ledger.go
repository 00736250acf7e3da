package agent

import (
	"math/bits"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Limits of the ledger.
const (
	// maxTombstones limits the number of ended gangs that are remembered. Beyond it
	// the oldest is forgotten; a late Prepare of a forgotten gang is still refused
	// if a newer gang has used one of its accelerators, by the fencing tokens.
	maxTombstones = 16384
	// maxPrepareTTL limits the lifetime that an owner can request for a reservation.
	maxPrepareTTL = 10 * time.Second
	// maxGangIDBytes limits the length of a gang ID.
	maxGangIDBytes = 512
)

// ledger records which gang holds which accelerators of the worker. Its fields
// after mu, and those of its gangs, are guarded by mu. No remote call is made while
// mu is held.
type ledger struct {
	cfg    *Config
	outbox *outbox

	mu       sync.Mutex
	capacity structs.WorkerCapacity
	// closed is set when the agent stops; Prepare, Commit and Arm are then refused.
	closed bool
	// draining is set when a drain was started; Prepare is then refused.
	draining bool
	// notReady is the reason to refuse Prepare, or "".
	notReady          string
	highestEpoch      uint32            // highest epoch of an owner that was seen
	highestFence      structs.Fence     // highest fencing token that was seen
	acceleratorFences [64]structs.Fence // last token that used each accelerator
	gangs             map[string]*gang
	idByFence         map[structs.Fence]string // IDs of gangs and tombstones
	tombstones        map[string]tombstone
	tombstoneOrder    []string // keys of tombstones, oldest first
}

// tombstone is the record of an ended gang. Its phase is PhaseNone if the gang was
// unknown when a call first named it; a later Prepare is then refused.
type tombstone struct {
	phase        structs.GangPhase
	fence        structs.Fence
	createdAt    time.Time
	preemptReply *structs.PreemptReply
}

func newLedger(cfg *Config, o *outbox) *ledger {
	return &ledger{
		cfg: cfg, outbox: o, capacity: cfg.Info.WorkerCapacity, notReady: "starting",
		gangs: map[string]*gang{}, idByFence: map[structs.Fence]string{}, tombstones: map[string]tombstone{},
	}
}

// observeEpoch records an owner's epoch. It reports false if a higher epoch was seen
// before.
func (l *ledger) observeEpoch(epoch uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checkEpoch(epoch) == nil
}

// checkEpoch records the epoch, or refuses it if a higher one was seen.
func (l *ledger) checkEpoch(epoch uint32) *verdict.Error {
	if epoch < l.highestEpoch {
		return verdict.Refuse(verdict.CodeStaleEpoch, "epoch %d is lower than %d", epoch, l.highestEpoch)
	}
	l.highestEpoch = epoch
	return nil
}

// checkCallerEpoch refuses a caller with an outdated epoch. Calls without an epoch
// (0) are not checked.
func (l *ledger) checkCallerEpoch(epoch uint32) *verdict.Error {
	if epoch == 0 {
		return nil
	}
	return l.checkEpoch(epoch)
}

// prepare reserves accelerators, cores, memory, a slot and result memory for a gang
// until the TTL ends.
func (l *ledger) prepare(args *structs.PrepareArgs) (structs.GangPhase, *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireReservationsAndTombstones()
	spec := &args.Gang
	if err := l.checkSpec(spec, args.Rank); err != nil {
		return structs.PhaseNone, err
	}
	if err := l.checkEpoch(spec.Fence.Epoch()); err != nil {
		return structs.PhaseNone, err
	}
	if t, ok := l.tombstones[spec.ID]; ok {
		return t.phase, verdict.Refuse(verdict.CodeTombstoned, "gang %s has ended here", spec.ID)
	}
	if g := l.gangs[spec.ID]; g != nil {
		if g.rank == args.Rank && g.spec.Fence == spec.Fence {
			return g.phase, nil
		}
		return g.phase, verdict.Refuse(verdict.CodeConflict, "gang %s is held with another rank or token", spec.ID)
	}
	if err := l.checkCapacity(spec, args.Rank); err != nil {
		return structs.PhaseNone, err
	}
	ttl := args.TTL
	if ttl <= 0 {
		ttl = l.cfg.PrepareTTL
	}
	g := newGang(args, l.cfg.now().Add(min(ttl, maxPrepareTTL)))
	if g.rank == 0 {
		g.reservedResultBytes = reservedBytes(spec.ResultBytes)
	}
	if err := l.outbox.reserve(g.reservedResultBytes); err != nil {
		return structs.PhaseNone, err
	}
	for _, i := range setBits(g.accelerators) {
		l.acceleratorFences[i] = spec.Fence
	}
	l.highestFence = max(l.highestFence, spec.Fence)
	l.gangs[spec.ID] = g
	l.idByFence[spec.Fence] = spec.ID
	return g.phase, nil
}

// checkSpec refuses a gang that is malformed or can never run at the rank on this
// agent's worker.
func (l *ledger) checkSpec(spec *structs.Gang, rank int) *verdict.Error {
	switch {
	case spec.ID == "" || len(spec.ID) > maxGangIDBytes:
		return verdict.Invalid("Gang.ID", "must have 1 to %d bytes", maxGangIDBytes)
	case spec.Domain != l.cfg.Info.Domain:
		return verdict.Invalid("Gang.Domain", "agent is in domain %q", l.cfg.Info.Domain)
	case len(spec.Members) > structs.MaxGangWorkers || rank < 0 || rank >= len(spec.Members):
		return verdict.Invalid("Rank", "is out of range")
	case spec.Members[rank].AgentID != l.cfg.Info.ID:
		return verdict.Invalid("Gang.Members", "rank %d is not agent %s", rank, l.cfg.Info.ID)
	case bits.Len64(spec.Members[rank].Accelerators) > l.capacity.Accelerators:
		return verdict.Invalid("Gang.Members", "worker has %d accelerators", l.capacity.Accelerators)
	case spec.ResultBytes > structs.MaxResultBytes || spec.CoresMilli < 0 || spec.MemoryMB < 0:
		return verdict.Invalid("Gang", "size is out of range")
	}
	if _, err := splitCheckpoint(spec, rank); err != nil {
		return verdict.Invalid("Gang.Checkpoint", "%v", err)
	}
	return nil
}

// checkCapacity refuses a gang that the worker cannot take at present.
func (l *ledger) checkCapacity(spec *structs.Gang, rank int) *verdict.Error {
	if l.draining || l.closed {
		return verdict.Refuse(verdict.CodeDraining, "agent is leaving")
	}
	if l.notReady != "" {
		return verdict.Refuse(verdict.CodeQuarantined, "%s", l.notReady)
	}
	mask := spec.Members[rank].Accelerators
	for _, i := range setBits(mask) {
		if spec.Fence < l.acceleratorFences[i] {
			return verdict.Refuse(verdict.CodeStaleEpoch, "token %x is lower than %x on accelerator %d", uint64(spec.Fence), uint64(l.acceleratorFences[i]), i)
		}
	}
	cores, memory := spec.CoresMilli, spec.MemoryMB
	for _, g := range l.gangs {
		if g.accelerators&mask != 0 {
			return verdict.Refuse(verdict.CodeConflict, "accelerators are held by gang %s", g.spec.ID)
		}
		cores += g.spec.CoresMilli
		memory += g.spec.MemoryMB
	}
	if cores > l.capacity.CoresMilli || memory > l.capacity.MemoryMB || len(l.gangs) >= l.capacity.Slots {
		return verdict.Refuse(verdict.CodeConflict, "cores, memory or slots are used up")
	}
	return nil
}

// find returns the gang and its phase. If the gang is not in the ledger it returns
// nil and the phase in which it ended, or PhaseNone.
func (l *ledger) find(id string) (*gang, structs.GangPhase) {
	if g := l.gangs[id]; g != nil {
		return g, g.phase
	}
	if t, ok := l.tombstones[id]; ok {
		return nil, t.phase
	}
	return nil, structs.PhaseNone
}

// expireReservationsAndTombstones removes expired reservations, and tombstones
// beyond their retention time or number.
func (l *ledger) expireReservationsAndTombstones() {
	now := l.cfg.now()
	for _, g := range l.gangs {
		if g.phase == structs.PhasePrepared && !now.Before(g.expiresAt) {
			count("lease_lapses")
			l.removeGang(g, structs.PhaseAborted)
		}
	}
	for len(l.tombstoneOrder) > 0 {
		id := l.tombstoneOrder[0]
		if len(l.tombstoneOrder) <= maxTombstones && now.Sub(l.tombstones[id].createdAt) < l.cfg.TombstoneRetention {
			return
		}
		delete(l.idByFence, l.tombstones[id].fence)
		delete(l.tombstones, id)
		l.tombstoneOrder = l.tombstoneOrder[1:]
	}
}

// removeGang frees what the gang holds and leaves a tombstone.
func (l *ledger) removeGang(g *gang, phase structs.GangPhase) {
	g.phase = phase
	delete(l.gangs, g.spec.ID)
	t := tombstone{phase: phase, fence: g.spec.Fence}
	if r := g.preemptReply; r != nil {
		// The checkpoint is left out: the outbox holds it within its memory limit.
		t.preemptReply = &structs.PreemptReply{Phase: r.Phase, Stopped: r.Stopped}
	}
	l.addTombstone(g.spec.ID, t)
	l.outbox.unreserve(g.reservedResultBytes)
	g.reservedResultBytes = 0
	g.cancel()
	close(g.done)
}

// addTombstone records an ended gang, or replaces its tombstone.
func (l *ledger) addTombstone(id string, t tombstone) {
	t.createdAt = l.cfg.now()
	if _, ok := l.tombstones[id]; !ok {
		l.tombstoneOrder = append(l.tombstoneOrder, id)
	}
	l.tombstones[id] = t
}

// gangReports returns what Announce tells an owner: the gangs, the highest fencing
// token seen, and whether the agent is draining.
func (l *ledger) gangReports() (list []structs.GangReport, highest structs.Fence, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireReservationsAndTombstones()
	for _, g := range l.gangs {
		r := structs.GangReport{Gang: g.withoutData(), Rank: g.rank, Phase: g.phase}
		if !g.releasedAt.IsZero() {
			r.RunningFor = l.cfg.now().Sub(g.releasedAt)
		}
		list = append(list, r)
	}
	return list, l.highestFence, l.draining
}

// setNotReady sets the reason to refuse Prepare, or clears it with "". It reports
// whether the reason changed.
func (l *ledger) setNotReady(reason string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.notReady != reason
	l.notReady = reason
	return changed
}

// markUnresponsive sets reasonUnresponsive unless another reason is set.
func (l *ledger) markUnresponsive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notReady == "" {
		l.notReady = reasonUnresponsive
		klog.InfoS("Worker does not answer usage requests; refusing gangs")
	}
}

// clearNotReady clears the reason to refuse Prepare if it is the given one.
func (l *ledger) clearNotReady(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notReady == reason {
		l.notReady = ""
		klog.InfoS("Worker ready again", "reason", reason)
	}
}

// setBits returns the indexes of the bits that are set in mask, in ascending order.
func setBits(mask uint64) []int {
	var list []int
	for ; mask != 0; mask &= mask - 1 {
		list = append(list, bits.TrailingZeros64(mask))
	}
	return list
}
