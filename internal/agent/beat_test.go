package agent

import (
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Guards against a Beat without a gang ID that is applied to another gang, or to
// none, while rank 0 still has its gang in the ledger or as a tombstone.
func TestBeatFindsGangByFence(t *testing.T) {
	cfg := &Config{GangLease: 3 * time.Second, now: time.Now}
	l := newLedger(cfg, newOutbox(1))
	for counter, id := range map[uint32]string{0x1f: "a.1/1/10000001f", 0xf: "a.2/1/10000000f"} {
		l.gangs[id] = &gang{
			spec: structs.Gang{ID: id, Fence: structs.NewFence(1, counter)}, phase: structs.PhaseReleased,
			members: make([]member, 2), wake: make(chan struct{}, 1),
		}
	}
	for _, g := range l.gangs {
		l.idByFence[g.spec.Fence] = g.spec.ID
	}
	l.idByFence[structs.NewFence(1, 3)] = "a.3/2/100000003"
	l.tombstones["a.3/2/100000003"] = tombstone{phase: structs.PhaseFinished}
	for counter, want := range map[uint32]structs.GangPhase{
		0x1f: structs.PhaseReleased, 0xf: structs.PhaseReleased, 3: structs.PhaseFinished, 0x23: structs.PhaseNone,
	} {
		phase, err := l.receiveBeat(&structs.BeatArgs{Fence: structs.NewFence(1, counter), Rank: 1, TaskState: structs.TaskRunning})
		if err != nil || phase != want {
			t.Errorf("fence %x: phase %s, want %s (%v)", counter, phase, want, err)
		}
	}
	if g := l.gangs["a.2/1/10000000f"]; g.members[1].taskState != structs.TaskRunning || g.members[1].lastSeen.IsZero() {
		t.Error("the Beat did not update its member")
	}
}
