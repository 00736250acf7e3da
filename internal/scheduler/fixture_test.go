package scheduler

import (
	"fmt"
	"sort"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// newSnapshot returns a snapshot of ready workers with 8 accelerators, 64 cores,
// 256 GiB and 8 slots each, in racks of three.
func newSnapshot(workers int, accounts ...structs.Account) *structs.Snapshot {
	s := &structs.Snapshot{Now: time.Hour, Domain: "d", Weights: structs.Weights{Completion: 1, Fragmentation: 1}, UrgentStart: 9700 * time.Millisecond}
	for i := range workers {
		s.Workers = append(s.Workers, structs.Worker{
			ID: fmt.Sprintf("w%04d", i), Domain: "d", Region: "r", Zone: fmt.Sprintf("z%d", i/3%3), Rack: fmt.Sprintf("k%d", i/3), Class: "new",
			State:          structs.WorkerReady,
			WorkerCapacity: structs.WorkerCapacity{Accelerators: 8, CoresMilli: 64000, MemoryMB: 256 << 10, Slots: 8, Connections: 64},
		})
	}
	for i := range accounts {
		accounts[i].Domains = []string{"d"}
	}
	s.Accounts = accounts
	sort.Slice(s.Accounts, func(i, j int) bool { return s.Accounts[i].Name < s.Accounts[j].Name })
	return s
}

func shape(workers, accelerators int, adj structs.Adjacency) structs.Shape {
	return structs.Shape{Workers: workers, Accelerators: accelerators, Adjacency: adj, CoresMilli: 1000, MemoryMB: 1024}
}

// addWaiting adds an idempotent, checkpointable waiting job of ten minutes, changed by
// edit.
func addWaiting(s *structs.Snapshot, id, account string, sh structs.Shape, edit ...func(*structs.WaitingJob)) {
	j := structs.WaitingJob{
		ID: id, Account: account, Kind: "k", Shape: sh, Urgency: structs.Standard, Submitted: s.Now - time.Minute,
		DeclaredRunTime: 10 * time.Minute, RunTimeP50: 10 * time.Minute, RunTimeP90: 20 * time.Minute, Idempotent: true, Checkpointable: true,
	}
	for _, e := range edit {
		e(&j)
	}
	s.Waiting = append(s.Waiting, j)
}

// addRunning adds a running gang. members alternates the worker index and the
// accelerator mask of each member.
func addRunning(s *structs.Snapshot, id, account string, sh structs.Shape, edit func(*structs.RunningGang), members ...any) {
	g := structs.RunningGang{
		ID: id, JobID: id, Account: account, Kind: "k", Shape: sh, Urgency: structs.Standard, Started: s.Now - time.Minute, CheckpointedAt: s.Now - time.Minute,
		DeclaredRunTime: 10 * time.Minute, RunTimeP50: 10 * time.Minute, RunTimeP90: 20 * time.Minute, Idempotent: true, Checkpointable: true,
	}
	for i := 0; i < len(members); i += 2 {
		w := &s.Workers[members[i].(int)]
		mask := uint64(members[i+1].(int))
		w.Busy |= mask
		w.CoresUsedMilli += sh.CoresMilli
		w.MemoryUsedMB += sh.MemoryMB
		w.SlotsUsed++
		g.Members = append(g.Members, structs.MemberPlacement{Worker: w.ID, Accelerators: mask})
	}
	if edit != nil {
		edit(&g)
	}
	s.Running = append(s.Running, g)
}
