package workflowdaemon

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
)

// fault does one thing wrong and repairs it after a while.
func (s *sim) fault() {
	kinds := []struct {
		name string
		do   func(d time.Duration)
	}{
		{"store down", func(d time.Duration) { s.store(rowstorestub.Faults{Down: true}, d) }},
		{"store silent", func(d time.Duration) { s.store(rowstorestub.Faults{Silent: true}, d) }},
		{"answers lost", func(d time.Duration) { s.store(rowstorestub.Faults{LoseEvery: 3, Late: 1500 * time.Millisecond}, d) }},
		{"store slow", func(d time.Duration) { s.store(rowstorestub.Faults{Delay: 350 * time.Millisecond}, d) }},
		{"history dropped", func(time.Duration) { s.table.DropHistory() }},
		{"owner refused by the store", func(d time.Duration) {
			if id := s.owner(); id != "" {
				s.store(rowstorestub.Faults{Refused: map[string]bool{id: true}}, d)
			}
		}},
		{"owner killed", func(d time.Duration) {
			if id := s.owner(); id != "" {
				s.killEntry(id)
				s.sleep(d / 4)
				s.startEntry(id)
			}
		}},
		{"owner cut off", func(d time.Duration) {
			if id := s.owner(); id != "" {
				s.setCut(id, true)
				s.sleep(d)
				s.setCut(id, false)
			}
		}},
		{"agent killed", func(d time.Duration) {
			w := s.worker()
			s.killAgent(w.id)
			s.sleep(d / 2)
			s.startAgent(w.id)
		}},
		{"agent cut off", func(d time.Duration) {
			addr := "agent-" + s.worker().id
			s.setCut(addr, true)
			s.sleep(2 * d)
			s.setCut(addr, false)
		}},
		{"worker crashed", func(d time.Duration) {
			w := s.worker()
			w.crash()
			s.sleep(d)
			w.reboot()
		}},
		{"orders late", func(d time.Duration) {
			s.eachWorker(func(w *simWorker) { w.loseShare = 0.2 })
			s.sleep(d)
			s.eachWorker(func(w *simWorker) { w.loseShare = 0 })
		}},
		{"worker fails all", func(d time.Duration) {
			w := s.worker()
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
	s.faults[k.name]++
	s.mu.Unlock()
	s.log.Event("sim_fault", "kind", k.name, "at", time.Since(s.history.begun).Seconds())
	k.do(d)
}

func (s *sim) store(f rowstorestub.Faults, d time.Duration) {
	s.table.SetFaults(f)
	s.sleep(d)
	s.table.SetFaults(rowstorestub.Faults{})
}

func (s *sim) owner() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if e.currentOwner() != nil {
			return id
		}
	}
	return ""
}

func (s *sim) worker() *simWorker { return s.workers[s.rng.IntN(len(s.workers))] }

func (s *sim) eachWorker(f func(*simWorker)) {
	for _, w := range s.workers {
		w.mu.Lock()
		f(w)
		w.mu.Unlock()
	}
}
