package workflowdaemon

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/gateway"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowagent"
	"github.com/parsleypier/parsleypier/internal/workflowowner"
)

var (
	simSeed      = flag.Uint64("sim.seed", 0, "run only this seed of the simulation")
	simSeedCount = flag.Int("sim.days", 12, "number of seeds to run")
	simLog       = flag.String("sim.log", "", "directory for the event logs of the seeds")
)

// sim is a deployment in virtual time: entries, agents and workers that share a
// table, with faults drawn from a seed.
type sim struct {
	t   *testing.T
	ctx context.Context
	rng *lockedRand
	// lateRng has the delays of late messages.
	lateRng *lockedRand
	net     *simNet
	table   *rowstorestub.Table
	history *history
	log     *eventlog.Log
	workers []*simWorker
	// zones is set in a deployment with requests to evacuate zones.
	zones *simZones

	mu          sync.Mutex
	entries     map[string]*simEntry
	agents      map[string]*Agent
	faultCounts map[string]int
}

// lockedRand is a random number generator for use by several goroutines.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *lockedRand) Perm(n int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Perm(n)
}

func (r *lockedRand) Int64N(n int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Int64N(n)
}

// simEntry is a running entry of a simulation. done is closed when it has stopped.
type simEntry struct {
	*Entry
	cancel context.CancelFunc
	done   chan struct{}
}

// simListLimit is the number of ends that a simulated worker lists at a time.
const simListLimit = 3

const simConfig = `{"version":1}`

// simDecode returns the configuration of the simulation for any document.
func simDecode([]byte) (*gateway.Config, error) {
	terms := workflow.Terms{MaxAttempts: simMaxAttempts, Stretch: 3, Slack: 1000}
	urgent := terms
	terms.Priority = 1
	return &gateway.Config{
		Version: 1, Document: []byte(simConfig),
		Queues: []gateway.Queue{
			{Name: "batch", Host: "h", Prefix: "/b/", Pool: "p", Terms: terms},
			{Name: "urgent", Host: "h", Prefix: "/u/", Pool: "p", Terms: urgent},
		},
		Accounts: []gateway.Account{{Name: "a", Keys: []string{"k"}, GuaranteedGPUs: 16}},
	}, nil
}

// newPartitionedTable returns a table that refuses transactions over several
// partitions.
func newPartitionedTable() *rowstorestub.Table {
	t := rowstorestub.New()
	t.Partition = workflow.Partition
	t.Rates, t.ReadOnly = rowstorestub.UsersRates, map[string]bool{"op": true}
	return t
}

func newSim(ctx context.Context, t *testing.T, seed uint64, zones *simZones) *sim {
	s := &sim{
		zones: zones,
		t:     t, ctx: ctx, rng: &lockedRand{rng: rand.New(rand.NewPCG(seed, 1))}, lateRng: &lockedRand{rng: rand.New(rand.NewPCG(seed, 102))}, net: &simNet{services: map[string]map[string]any{}, isolated: map[string]bool{}, feedBlocked: map[string]bool{}, rowsBlocked: map[string]bool{}},
		table: newPartitionedTable(), history: newHistory(), log: eventlog.Discard(), entries: map[string]*simEntry{}, agents: map[string]*Agent{},
		faultCounts: map[string]int{},
	}
	if *simLog != "" {
		f, err := os.Create(filepath.Join(*simLog, fmt.Sprintf("%d.log", seed)))
		if err != nil {
			t.Fatal(err)
		}
		s.log = eventlog.New(f, "sim", "all")
	}
	if zones != nil {
		zones.sim, s.history.zones = s, zones
	}
	s.table.Put("op", "config", []byte(simConfig))
	for i := range 3 {
		s.startEntry(fmt.Sprintf("entry%d", i))
	}
	for i := range 6 {
		w := &simWorker{id: fmt.Sprintf("w%d", i), listLimit: simListLimit, history: s.history, maxLease: s.maxLease(), rng: rand.New(rand.NewPCG(seed, uint64(i)+2)), allWorkers: func() []*simWorker { return s.workers }}
		w.boot(time.Now())
		s.workers = append(s.workers, w)
	}
	for _, w := range s.workers {
		s.startAgent(w.id)
		go s.sendHeartbeats(w)
	}
	return s
}

// sendHeartbeats sends the heartbeats of a worker to its agent until the simulation
// ends.
func (s *sim) sendHeartbeats(w *simWorker) {
	for seq := uint64(1); s.ctx.Err() == nil; seq++ {
		w.mu.Lock()
		up := w.up && !w.cut
		w.mu.Unlock()
		s.mu.Lock()
		agent := s.agents[w.id]
		s.mu.Unlock()
		if up && agent != nil {
			agent.Heartbeat(w.heartbeat(), w.id, seq)
		}
		s.sleep(1500 * time.Millisecond)
	}
}

// maxLease is the longest lease that a worker grants. It is longer than the bound in a deployment
// with requests to evacuate zones, so that leases limit no order before the bound does.
func (s *sim) maxLease() time.Duration {
	if s.zones != nil {
		return 2 * simEvacuation.Bound
	}
	return simMaxLease
}

func (s *sim) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

func (s *sim) startEntry(id string) {
	ctx, cancel := context.WithCancel(s.ctx)
	direct := s.table.ClientFor(id)
	clock, limits := func() time.Duration { return time.Since(s.history.startedAt) }, evacuation.Limits{}
	if s.zones != nil {
		clock, limits = s.zones.clock(id), simEvacuation
	}
	e := NewEntry(EntryOptions{
		EvacuationPrefix: simEvacuationPrefix, Evacuation: limits,
		ID: id, RPCAddr: id, Log: s.log, Caller: simCaller{s.net, id}, OperatorTable: "op", ConfigKey: "config", DecodeConfig: simDecode, MaxConfigAge: simApplyLimit,
		// The stub table is called directly, so the call function is not used.
		NewStore: func(rowstore.CallFunc) rowstore.Store { return isolatableStore{direct, s.net, id} },
		Clock:    clock,
		ProcessGone: func(_ context.Context, addr string) bool {
			s.net.mu.Lock()
			defer s.net.mu.Unlock()
			return s.net.services[addr] == nil && !s.net.isolated[id] && !s.net.isolated[addr]
		},
		Times: workflowowner.Times{Lease: s.maxLease(), StopGrace: simStopGrace, GangWait: simGangWait, JobRetention: time.Minute, RemotePenalty: 3},
	})
	se := &simEntry{Entry: e, cancel: cancel, done: make(chan struct{})}
	s.net.mu.Lock()
	s.net.services[id] = e.Services()
	s.net.mu.Unlock()
	s.mu.Lock()
	s.entries[id] = se
	s.mu.Unlock()
	go func() {
		e.Run(ctx)
		close(se.done)
	}()
}

func (s *sim) killEntry(id string) {
	s.mu.Lock()
	e := s.entries[id]
	delete(s.entries, id)
	s.mu.Unlock()
	if e == nil {
		return
	}
	s.net.mu.Lock()
	delete(s.net.services, id)
	s.net.mu.Unlock()
	e.cancel()
	<-e.done
}

// startAgent starts the agent of a worker unless the repair of another fault
// already has. A machine runs one agent.
func (s *sim) startAgent(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agents[worker] != nil {
		return
	}
	addr := "agent-" + worker
	var clock func() time.Duration
	if s.zones != nil {
		clock = s.zones.clock(addr)
		s.zones.recordFault(addr, false)
	}
	a := NewAgent(AgentOptions{
		Clock: clock,
		ID:    addr, RPCAddr: addr, Store: s.table.ClientFor(addr), Lease: s.maxLease(), Log: s.log, Caller: simCaller{s.net, addr},
		Connect: func(id, _ string) workflowagent.Worker {
			for _, w := range s.workers {
				if w.id == id {
					w.mu.Lock()
					defer w.mu.Unlock()
					return workerConn{w, w.incarnation}
				}
			}
			panic("no worker " + id)
		},
	})
	s.net.mu.Lock()
	s.net.services[addr] = a.Services()
	s.net.mu.Unlock()
	s.agents[worker] = a
}

func (s *sim) killAgent(worker string) { s.endAgent(worker, (*Agent).Kill) }

// endAgent ends the agent of a worker with the given method, unless it has ended.
func (s *sim) endAgent(worker string, end func(*Agent)) {
	s.mu.Lock()
	a := s.agents[worker]
	delete(s.agents, worker)
	s.mu.Unlock()
	if a == nil {
		return
	}
	s.net.mu.Lock()
	delete(s.net.services, "agent-"+worker)
	s.net.mu.Unlock()
	if s.zones != nil {
		s.zones.recordFault("agent-"+worker, true)
	}
	end(a)
}

// setIsolated sets whether a process reaches neither other processes nor the store.
func (s *sim) setIsolated(addr string, isolated bool) {
	if s.zones != nil {
		s.zones.recordFault(addr, isolated)
	}
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	s.net.isolated[addr] = isolated
}

// randomEntry returns a random running entry, or nil if none runs.
func (s *sim) randomEntry() *simEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := []string{"entry0", "entry1", "entry2"}
	for _, i := range s.rng.Perm(len(ids)) {
		if e := s.entries[ids[i]]; e != nil {
			return e
		}
	}
	return nil
}

// stop ends all processes and waits until delayed calls have been carried out: see
// maybeLoseCall, whose delays are up to 12 s.
func (s *sim) stop() {
	for id := range s.entries {
		s.killEntry(id)
	}
	for id := range s.agents {
		s.killAgent(id)
	}
	time.Sleep(15 * time.Second)
}

// runSimulation runs a deployment with clients and random faults. With workerTrouble, some
// tasks crash the workers that start them, other workers crash by themselves, and the
// capacity of workers changes. With zones, the operator has zones evacuated. It returns the rule violations, the number of faults of each
// kind and the number of task ends of each kind.
func runSimulation(t *testing.T, seed uint64, workerTrouble bool, zones *simZones) (violations []string, faults map[string]int, ends map[workflow.EndKind]int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSim(ctx, t, seed, zones)
		time.Sleep(3 * time.Second)
		var clients, faultInjectors sync.WaitGroup
		faultInjectors.Go(func() {
			for range 8 {
				s.sleep(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
				faultInjectors.Go(s.injectFault)
			}
		})
		troubleRng := &lockedRand{rng: rand.New(rand.NewPCG(seed, 101))}
		if workerTrouble {
			faultInjectors.Go(func() { s.crashWorkers(troubleRng) })
			for i, w := range s.workers {
				w.unguarded = i%2 == 0
			}
			faultInjectors.Go(func() { s.changeCapacities(troubleRng) })
		}
		if zones != nil {
			faultInjectors.Go(zones.operate)
		}
		for i := range 40 {
			spec, queue := s.randomSpec(s.rng), "batch"
			if s.rng.IntN(3) == 0 {
				queue = "urgent"
			}
			id, cancelled := fmt.Sprintf("%016x", uint64(i)+seed<<16), s.rng.IntN(8) == 0
			if workerTrouble && troubleRng.IntN(simCrashingJobs) == 0 {
				step := troubleRng.IntN(len(spec.Steps))
				s.history.addCrashingTask(workflow.TaskID{Job: id, Step: step, Index: troubleRng.IntN(spec.Steps[step].Tasks)})
			}
			clients.Go(func() { s.runClient(id, spec, queue, cancelled) })
			s.sleep(time.Duration(s.rng.IntN(1200)) * time.Millisecond)
		}
		ended := make(chan struct{})
		go func() {
			clients.Wait()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(3 * time.Minute):
		}
		faultInjectors.Wait()
		cancel()
		<-ended
		s.stop()
		for _, v := range s.history.violations {
			s.log.Event("sim_broken", "rule", v)
		}
		s.log.Close()
		synctest.Wait()
		for _, n := range s.history.crashing {
			s.faultCounts[faultCrashByTask] += n
		}
		violations, faults, ends = s.history.violations, s.faultCounts, s.history.ends
	})
	return violations, faults, ends
}

// regressionSeeds are seeds that have violated a rule before:
//   - 59: an owner that had been isolated removed the rows of workers before it
//     learned that it was replaced, so the next owner did not wait for them
//     (TWICE).
//   - 38: the same fault, seen as two attempts in one epoch.
//   - 37: an owner that the store refused was confirmed by peers that the store
//     still served, and missed a cancellation (UNASKED).
//   - 5, which is among the first twelve: a job was reported as unknown while the
//     store could not be read (LOST).
//   - 18: an owner without the store did not learn of a cancellation that was
//     confirmed just before the outage, and started tasks (UNASKED). It also
//     showed that the checker counted failures of a gang by member (LOST).
//   - 10 and probably 9, which are among the first twelve: a worker that
//     restarted under its ID got work before its row named the new incarnation,
//     and the next owner took the first report of the new incarnation as proof
//     that nothing ran (TWICE).
//   - 24: the repairs of two faults started two agents for one worker, and one
//     outlived the simulation.
//   - 118, with worker trouble: a listing that was requested in the instant in which the
//     worker confirmed a start was taken as the end of the run (TWICE).
//   - 11, which is among the first twelve, with worker trouble, and 38: ends that were not
//     stored when the leases of their worker expired were never acknowledged, and the
//     worker listed no later ones (LOST in 3 of 50 runs).
//   - 47, 160, 215 and 265, with worker trouble: a task that was five times beside one that
//     had just started and crashed the worker was given up (LOST).
var regressionSeeds = []uint64{59, 38, 37, 18, 24, 118, 47, 160, 215, 265}

// Guards against tasks that run twice, start before their dependencies are done,
// start after too many failures or start without a request, and against accepted
// jobs that are lost or reported with a wrong state. Random faults hit the store,
// entries, agents, network and workers. To repeat a failed seed set -sim.seed;
// -sim.log writes its event log.
func TestSimulationWithRandomFaults(t *testing.T) {
	runSeeds(t, false, false)
}

// Guards against tasks that crash worker after worker, against healthy jobs that are given
// up because of other crashes, and against starts beyond a capacity that has shrunk, under
// the same random faults.
func TestSimulationWithWorkerTrouble(t *testing.T) {
	runSeeds(t, true, false)
}

// Guards against starts in evacuated zones, and against work that is lost or run twice because
// of evacuations, under the same random faults and with clocks that run up to 2% slow or fast.
func TestSimulationWithEvacuations(t *testing.T) {
	runSeeds(t, false, true)
}

// runSeeds runs the simulation for the seeds of the flags.
func runSeeds(t *testing.T, workerTrouble, evacuations bool) {
	seeds := []uint64{*simSeed}
	if *simSeed == 0 {
		seeds = nil
		for i := range *simSeedCount {
			seeds = append(seeds, uint64(i)+1)
		}
		seeds = append(seeds, regressionSeeds...)
	}
	seen := map[string]int{}
	done, seedsRun := 0, 0
	requests, early, after := 0, 0, 0
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			seedsRun++
			var zones *simZones
			if evacuations {
				zones = newSimZones(seed)
			}
			violations, faults, ends := runSimulation(t, seed, workerTrouble, zones)
			if evacuations {
				t.Logf("seed %d: %v", seed, zones)
				requests, early, after = requests+zones.requests, early+zones.early, after+zones.after
			}
			done += ends[workflow.EndDone]
			for k, n := range faults {
				seen[k] += n
			}
			for _, v := range violations {
				t.Errorf("seed %d: %s", seed, v)
			}
			t.Logf("seed %d: faults %v, ends %v", seed, faults, ends)
		})
	}
	if len(seen) < 5 && seedsRun > 4 || done < 10*seedsRun {
		t.Errorf("the simulations had only the faults %v and %d tasks done", seen, done)
	}
	if evacuations && seedsRun > 4 && (requests < 3*seedsRun || early == 0 || after == 0) {
		t.Errorf("the simulations had only %d requests, %d starts in a zone before the bound and %d after a withdrawal", requests, early, after)
	}
	if workerTrouble && seedsRun > 4 && (seen[faultCrashByTask] == 0 || seen[faultCapacityShrunk] == 0) {
		t.Errorf("no task crashed a worker, or no capacity shrank: %v", seen)
	}
}
