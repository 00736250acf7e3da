package workflowdaemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// simStore stands for the store among the names of processes.
const simStore = "store"

// simZones plays the operator, who has zones evacuated, and checks the starts: none later than the
// bound after a request, if the machine of the worker's agent was in contact.
type simZones struct {
	sim  *sim
	seed uint64

	mu sync.Mutex
	// requested has the time of the request for each evacuated zone, withdrawn that of the
	// last withdrawal.
	requested, withdrawn map[string]time.Time
	// faulty has the processes that have a fault, healthySince the time of the end of the last
	// one.
	faulty       map[string]bool
	healthySince map[string]time.Time
	// requests counts the requests, early the starts in a zone between its request and the
	// bound, after those within 10 s of its withdrawal.
	requests, early, after int
	latest                 time.Duration // of the early starts
}

func newSimZones(seed uint64) *simZones {
	return &simZones{seed: seed, requested: map[string]time.Time{}, withdrawn: map[string]time.Time{}, faulty: map[string]bool{}, healthySince: map[string]time.Time{}}
}

// String implements fmt.Stringer.
func (z *simZones) String() string {
	return fmt.Sprintf("%d requests, %d starts before the bound, the latest after %v, %d soon after a withdrawal", z.requests, z.early, z.latest, z.after)
}

// clock returns the clock of a process, which runs up to 2% slow or fast.
func (z *simZones) clock(process string) func() time.Duration {
	rng := rand.New(rand.NewPCG(z.seed, uint64(len(process))<<8+uint64(process[len(process)-1])))
	rate, offset := 0.98+0.04*rng.Float64(), time.Duration(1+rng.IntN(1000))*time.Second
	return func() time.Duration { return offset + time.Duration(rate*float64(time.Since(z.sim.history.startedAt))) }
}

// recordFault records that a fault of a process or of the store begins or ends.
func (z *simZones) recordFault(name string, faulty bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faulty[name], z.healthySince[name] = faulty, time.Now()
}

// inContact reports whether a process, or the store, has had no fault for the time from which
// the rule holds. z.mu must be held.
func (z *simZones) inContact(name string) bool {
	return !z.faulty[name] && time.Since(z.healthySince[name]) >= simEvacuation.Contact
}

// evacuate requests the evacuation of a zone, and withdraw withdraws the request.
func (z *simZones) evacuate(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.sim.table.Put("op", simEvacuationPrefix+zone, []byte("{}"))
	z.sim.log.Event("sim_evacuation", "zone", zone, "requested", true)
	z.requested[zone] = time.Now()
	z.requests++
}

func (z *simZones) withdraw(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.sim.table.Delete("op", simEvacuationPrefix+zone)
	z.sim.log.Event("sim_evacuation", "zone", zone, "requested", false)
	delete(z.requested, zone)
	z.withdrawn[zone] = time.Now()
}

// operate requests and withdraws evacuations for 50 s. Two zones are evacuated at times, never
// all three.
func (z *simZones) operate() {
	rng := rand.New(rand.NewPCG(z.seed, 103))
	var active []string
	for began := time.Now(); time.Since(began) < 50*time.Second && z.sim.ctx.Err() == nil; {
		z.sim.sleep(time.Duration(500+rng.IntN(7000)) * time.Millisecond)
		zone := fmt.Sprint("z", rng.IntN(3))
		switch i := slices.Index(active, zone); {
		case i >= 0:
			z.withdraw(zone)
			active = slices.Delete(active, i, i+1)
		case len(active) < 2:
			z.evacuate(zone)
			active = append(active, zone)
		}
	}
	for _, zone := range active {
		z.withdraw(zone)
	}
}

// checkStart checks a start. The history's mutex is held.
func (z *simZones) checkStart(r *simRun) {
	z.mu.Lock()
	defer z.mu.Unlock()
	zone := r.worker.zone()
	requested, evacuated := z.requested[zone]
	if !evacuated {
		if at, ok := z.withdrawn[zone]; ok && time.Since(at) < 10*time.Second {
			z.after++
		}
		return
	}
	late := time.Since(requested)
	switch {
	case late <= simEvacuation.Bound:
		z.early, z.latest = z.early+1, max(z.latest, late)
	case !r.startedLate && z.inContact(simStore) && z.inContact("agent-"+r.worker.id):
		z.sim.history.addViolation("EVAC: %s started on %s in zone %s %v after the request", r.id, r.worker.id, zone, late)
	}
}

// load submits jobs of short tasks for a time, so that starts are always due.
func (s *sim) load(d time.Duration) {
	began := time.Now()
	for i := 0; time.Since(began) < d && s.ctx.Err() == nil; i++ {
		if e := s.randomEntry(); e != nil {
			// A submission may fail because of a fault.
			_ = s.submitWithin(e, fmt.Sprintf("%016x", i+1), workflow.Step{Tasks: 6, Need: smallTask, Estimate: 400})
		}
		s.sleep(200 * time.Millisecond)
	}
}

// submitWithin submits a job of one step, for up to 0.5 s.
func (s *sim) submitWithin(e *simEntry, id string, step workflow.Step) error {
	spec := workflow.Spec{Payload: "x", Steps: []workflow.Step{step}}
	s.history.mu.Lock()
	s.history.specs[id] = spec
	s.history.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, 500*time.Millisecond)
	defer cancel()
	return e.Gateway.Submit(ctx, simQueue("batch"), "a", id, spec)
}

// startsQueued names the fault that leaves agents alone with starts that they have not made.
const startsQueued = "all entries killed while the agents have starts to make"

// simZoneFaults are single faults around a request to evacuate zone z0, whose workers are w0 and
// w3. Each function requests the evacuation itself.
var simZoneFaults = map[string]func(s *sim){
	"none": func(s *sim) { s.zones.evacuate("z0") },
	"two zones at once": func(s *sim) {
		s.zones.evacuate("z0")
		s.zones.evacuate("z1")
	},
	"owner killed after the request": func(s *sim) {
		s.zones.evacuate("z0")
		s.sleep(300 * time.Millisecond)
		s.killEntry(s.ownerID())
	},
	"owner killed with the request": func(s *sim) {
		owner := s.ownerID()
		s.zones.evacuate("z0")
		s.killEntry(owner)
	},
	"owner cut off": func(s *sim) {
		owner := s.ownerID()
		s.setIsolated(owner, true)
		s.zones.evacuate("z0")
		s.sleep(7 * time.Second)
		s.setIsolated(owner, false)
	},
	"owner refused by the store": func(s *sim) {
		s.table.SetFaults(rowstorestub.Faults{RefusedProcesses: map[string]bool{s.ownerID(): true}})
		s.zones.evacuate("z0")
		s.sleep(8 * time.Second)
		s.table.SetFaults(rowstorestub.Faults{})
	},
	"owner without its feed": func(s *sim) {
		owner := s.ownerID()
		s.setFeedBlocked(owner, true)
		s.sleep(time.Second)
		s.zones.evacuate("z0")
		s.sleep(8 * time.Second)
		s.setFeedBlocked(owner, false)
	},
	"entry refused by the store becomes owner": func(s *sim) {
		refused := map[string]bool{}
		for _, id := range []string{"entry0", "entry1", "entry2"} {
			if id != s.ownerID() && len(refused) == 0 {
				refused[id] = true
			}
		}
		s.table.SetFaults(rowstorestub.Faults{RefusedProcesses: refused})
		s.sleep(time.Second)
		s.zones.evacuate("z0")
		for id := range s.entries {
			if !refused[id] && s.ownerID() != id {
				s.killEntry(id)
				s.startEntry(id)
			}
		}
		s.sleep(8 * time.Second)
		s.table.SetFaults(rowstorestub.Faults{})
	},
	"agents cut off over the bound": func(s *sim) {
		s.setIsolated("agent-w0", true)
		s.zones.evacuate("z0")
		s.sleep(5500 * time.Millisecond)
		s.setIsolated("agent-w0", false)
	},
	"agent restarted": func(s *sim) {
		s.zones.evacuate("z0")
		s.killAgent("w0")
		s.sleep(500 * time.Millisecond)
		s.startAgent("w0")
	},
	"worker crashed": func(s *sim) {
		s.zones.evacuate("z0")
		s.workers[0].crash()
		s.sleep(2 * time.Second)
		s.workers[0].reboot()
	},
	"worker calls delayed": func(s *sim) {
		s.eachWorker(func(w *simWorker) { w.lostCallShare = 0.4 })
		s.zones.evacuate("z0")
		s.sleep(8 * time.Second)
		s.eachWorker(func(w *simWorker) { w.lostCallShare = 0 })
	},
	"store answers nobody, the request before": func(s *sim) {
		s.zones.evacuate("z0")
		s.injectStoreFault(rowstorestub.Faults{Down: true}, 5*time.Second)
	},
	"store answers nobody, the request as it stops": func(s *sim) {
		s.table.SetFaults(rowstorestub.Faults{Silent: true})
		s.zones.evacuate("z0")
		s.injectStoreFault(rowstorestub.Faults{Silent: true}, 5*time.Second)
	},
	startsQueued: func(s *sim) {
		// An agent makes 16 calls at a time, so that its orders last for some 8 s.
		s.eachWorker(func(w *simWorker) { w.startTime = 250 * time.Millisecond })
		tiny := workflow.Step{Tasks: 3600, Need: workflow.Resources{CPUMilli: 50, MemoryMB: 1}, Estimate: 100, MaxPerWorker: 600}
		if err := s.submitWithin(s.randomEntry(), "00000000000f0000", tiny); err != nil {
			s.t.Error(err)
		}
		s.sleep(500 * time.Millisecond)
		s.zones.evacuate("z0")
		for _, id := range []string{"entry0", "entry1", "entry2"} {
			s.killEntry(id)
		}
		s.sleep(9 * time.Second)
		s.eachWorker(func(w *simWorker) { w.startTime = 0 })
		for _, id := range []string{"entry0", "entry1", "entry2"} {
			s.startEntry(id)
		}
		s.sleep(3 * time.Second)
	},
}

// Guards against each way, by itself, in which a start could be made in an evacuated zone after
// the bound, while starts are due all the time, and against work that does not go on elsewhere
// or after the withdrawal.
func TestNoStartInEvacuatedZone(t *testing.T) {
	for name, fault := range simZoneFaults {
		t.Run(name, func(t *testing.T) {
			early := 0
			for offset := range 2 {
				if name == startsQueued && offset > 0 {
					continue // it has thousands of tasks
				}
				zones := newSimZones(uint64(offset))
				runScenarioWithZones(t, zones, func(s *sim) {
					s.eachWorker(func(w *simWorker) { w.reliable = true })
					go s.load(25 * time.Second)
					s.sleep(4*time.Second + time.Duration(offset)*470*time.Millisecond)
					fault(s)
					s.sleep(max(0, 12*time.Second-time.Since(s.zones.requested["z0"])))
					startsBefore := s.history.startCount()
					s.sleep(2 * time.Second)
					if n := s.history.startCount() - startsBefore; n < 20 {
						t.Errorf("only %d starts within 2 s in the other zones", n)
					}
					s.zones.withdraw("z0")
					if _, ok := s.zones.requested["z1"]; ok {
						s.zones.withdraw("z1")
					}
					wide := workflow.Step{Tasks: 24, Need: workflow.Resources{CPUMilli: 6000, MemoryMB: 20000, GPUs: 8}, Estimate: 500}
					if err := s.submitWithin(s.randomEntry(), "00000000000f0001", wide); err != nil {
						t.Error(err)
					}
					s.sleep(6 * time.Second)
				})
				if zones.after == 0 {
					t.Error("nothing was started in the zone after the withdrawal")
				}
				early += zones.early
				t.Log(zones)
			}
			if name == startsQueued && early < 20 {
				t.Errorf("the agents made only %d starts before the bound", early)
			}
		})
	}
}
