package workflowdaemon

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// injectFault injects a random fault for a few seconds and then repairs it.
func (s *sim) injectFault() {
	kinds := []struct {
		name string
		do   func(d time.Duration)
	}{
		{"store down", func(d time.Duration) { s.injectStoreFault(rowstorestub.Faults{Down: true}, d) }},
		{"store silent", func(d time.Duration) { s.injectStoreFault(rowstorestub.Faults{Silent: true}, d) }},
		{"answers lost", func(d time.Duration) {
			s.injectStoreFault(rowstorestub.Faults{LoseEveryNth: 3, LateWriteDelay: 1500 * time.Millisecond}, d)
		}},
		{"store slow", func(d time.Duration) { s.injectStoreFault(rowstorestub.Faults{Delay: 350 * time.Millisecond}, d) }},
		{"history dropped", func(time.Duration) { s.table.DropHistory() }},
		{"owner refused by the store", func(d time.Duration) {
			if id := s.ownerID(); id != "" {
				s.injectStoreFault(rowstorestub.Faults{RefusedProcesses: map[string]bool{id: true}}, d)
			}
		}},
		{"owner killed", func(d time.Duration) {
			if id := s.ownerID(); id != "" {
				s.killEntry(id)
				s.sleep(d / 4)
				s.startEntry(id)
			}
		}},
		{"owner cut off", func(d time.Duration) {
			if id := s.ownerID(); id != "" {
				s.setIsolated(id, true)
				s.sleep(d)
				s.setIsolated(id, false)
			}
		}},
		{"agent killed", func(d time.Duration) {
			w := s.randomWorker()
			s.killAgent(w.id)
			s.sleep(d / 2)
			s.startAgent(w.id)
		}},
		{"agent cut off", func(d time.Duration) {
			addr := "agent-" + s.randomWorker().id
			s.setIsolated(addr, true)
			s.sleep(2 * d)
			s.setIsolated(addr, false)
		}},
		{"worker crashed", func(d time.Duration) {
			w := s.randomWorker()
			last := w.heartbeat()
			w.crash()
			s.sleep(d)
			w.reboot()
			s.deliverLateMessages(last)
		}},
		{"worker calls delayed", func(d time.Duration) {
			s.eachWorker(func(w *simWorker) { w.lostCallShare = 0.2 })
			s.sleep(d)
			s.eachWorker(func(w *simWorker) { w.lostCallShare = 0 })
		}},
		{"worker fails all", func(d time.Duration) {
			w := s.randomWorker()
			w.mu.Lock()
			w.failAll = true
			w.mu.Unlock()
			s.sleep(d)
			w.mu.Lock()
			w.failAll = false
			w.mu.Unlock()
		}},
	}
	k := kinds[s.rng.IntN(len(kinds))]
	d := 2*time.Second + time.Duration(s.rng.Int64N(int64(5*time.Second)))
	s.mu.Lock()
	s.faultCounts[k.name]++
	s.mu.Unlock()
	s.log.Event("sim_fault", "kind", k.name, "at", time.Since(s.history.startedAt).Seconds())
	k.do(d)
}

// faultLateMessages counts the deliveries of deliverLateMessages.
const faultLateMessages = "late messages"

// deliverLateMessages delivers a heartbeat and the leave of an earlier incarnation of a
// worker, up to 4 s after the next one has started.
func (s *sim) deliverLateMessages(last workflowrpc.Worker) {
	s.sleep(time.Duration(s.lateRng.IntN(4000)) * time.Millisecond)
	s.mu.Lock()
	agent := s.agents[last.ID]
	s.faultCounts[faultLateMessages]++
	s.mu.Unlock()
	if agent != nil {
		agent.Heartbeat(last, last.ID, lateHeartbeatSeq)
		agent.WorkerLeft(last.ID)
	}
}

// restartBehindCut cuts a worker off from its agent for up to 1.4 s, in which it starts anew
// under its ID.
func (s *sim) restartBehindCut(w *simWorker) {
	setCut := func(cut bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cut = cut
	}
	setCut(true)
	s.sleep(time.Duration(s.lateRng.IntN(700)) * time.Millisecond)
	w.crash()
	w.reboot()
	s.sleep(time.Duration(s.lateRng.IntN(700)) * time.Millisecond)
	setCut(false)
}

// lateHeartbeatSeq is above the numbers of all other heartbeats.
const lateHeartbeatSeq = 1 << 40

func (s *sim) injectStoreFault(f rowstorestub.Faults, d time.Duration) {
	s.table.SetFaults(f)
	if s.zones != nil && len(f.RefusedProcesses) == 0 {
		s.zones.recordFault(simStore, true)
		defer s.zones.recordFault(simStore, false)
	}
	s.sleep(d)
	s.table.SetFaults(rowstorestub.Faults{})
}

// ownerID returns the ID of the entry that is owner, or an empty string.
func (s *sim) ownerID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if e.currentOwner() != nil {
			return id
		}
	}
	return ""
}

func (s *sim) randomWorker() *simWorker { return s.workers[s.rng.IntN(len(s.workers))] }

func (s *sim) eachWorker(f func(*simWorker)) {
	for _, w := range s.workers {
		w.mu.Lock()
		f(w)
		w.mu.Unlock()
	}
}
