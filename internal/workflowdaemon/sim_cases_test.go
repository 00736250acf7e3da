package workflowdaemon

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// runScenario runs a simulated deployment without random faults, calls f once it is
// up, and reports the rules that were violated.
func runScenario(t *testing.T, f func(s *sim)) {
	t.Helper()
	runScenarioWithZones(t, nil, f)
}

// runScenarioWithZones runs a scenario in a deployment with requests to evacuate zones.
func runScenarioWithZones(t *testing.T, zones *simZones, f func(s *sim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSim(ctx, t, 1, zones)
		time.Sleep(3 * time.Second)
		f(s)
		cancel()
		s.stop()
		s.log.Close()
		for _, v := range s.history.violations {
			t.Error(v)
		}
	})
}

// mustSubmit submits a job at an entry and fails the test if it is not accepted.
func (s *sim) mustSubmit(at *simEntry, id string, spec workflow.Spec) {
	s.t.Helper()
	s.history.mu.Lock()
	s.history.specs[id] = spec
	s.history.mu.Unlock()
	if err := at.Gateway.Submit(s.ctx, simQueue("batch"), "a", id, spec); err != nil {
		s.t.Fatal(err)
	}
}

// cancelUnseenByOwner submits a job of two steps, of which the first takes about
// the time firstStep. It then calls blockOwner, which must keep changes of rows from
// the owner, and cancels the job at another entry. It returns the owner's ID.
func (s *sim) cancelUnseenByOwner(firstStep time.Duration, blockOwner func(owner string)) string {
	s.t.Helper()
	const id = "5c0e7a21d94b36f8"
	need := workflow.Resources{CPUMilli: 1000, MemoryMB: 100, GPUs: 1}
	owner := s.ownerID()
	other := s.entries["entry0"]
	if owner == "entry0" {
		other = s.entries["entry1"]
	}
	s.mustSubmit(other, id, workflow.Spec{Payload: "x", Steps: []workflow.Step{
		{Tasks: 1, Need: need, Estimate: workflow.Millis(firstStep.Milliseconds())}, {Tasks: 1, Need: need, Estimate: 1000, After: []int{0}},
	}})
	time.Sleep(500 * time.Millisecond)
	blockOwner(owner)
	time.Sleep(time.Second) // a feed call that is in progress still gets its answer
	if known, err := other.Gateway.Cancel(s.ctx, simQueue("batch"), id); err != nil || !known {
		s.t.Fatalf("the cancellation was not confirmed: %v", err)
	}
	s.history.mu.Lock()
	s.history.cancelled[id] = time.Now()
	s.history.mu.Unlock()
	return owner
}

// Guards against starting tasks of a job whose cancellation another entry has
// confirmed. The owner lost its connections before the cancellation, then the store
// became unavailable to all entries, and they confirmed the owner without sending
// it the rows that it lacked (rule UNASKED, seed 18).
func TestConfirmationSyncsPeerRowsToOwner(t *testing.T) {
	runScenario(t, func(s *sim) {
		owner := s.cancelUnseenByOwner(8*time.Second, func(owner string) { s.setIsolated(owner, true) })
		s.table.SetFaults(rowstorestub.Faults{Down: true})
		time.Sleep(300 * time.Millisecond)
		s.setIsolated(owner, false)
		time.Sleep(14 * time.Second)
		if got := s.ownerID(); got != owner {
			t.Errorf("the owner is %q, want %q, confirmed by its peers", got, owner)
		}
		s.table.SetFaults(rowstorestub.Faults{})
		time.Sleep(3 * time.Second)
	})
}

// Guards against task starts by an owner that can write to the store but gets no
// changes from it: it renews its row and misses cancellations that other entries
// have confirmed. In seed 1157 (rule UNASKED) the owner renewed its row after an
// outage before it had read what changed. Another entry has to become owner.
func TestOwnerWithoutFeedStepsDown(t *testing.T) {
	runScenario(t, func(s *sim) {
		owner := s.cancelUnseenByOwner(3500*time.Millisecond, func(owner string) {
			s.setFeedBlocked(owner, true)
			s.setRowsBlocked(owner, true)
		})
		time.Sleep(14 * time.Second)
		if got := s.ownerID(); got == owner || got == "" {
			t.Errorf("the owner is %q, want one other than %q", got, owner)
		}
		s.setFeedBlocked(owner, false)
		s.setRowsBlocked(owner, false)
		time.Sleep(3 * time.Second)
	})
}

// Guards against accepted jobs that wait for the owner's feed, which is slow or silent on
// many days: with the owner's store connection silent, urgent jobs that other entries had
// accepted started 1 to 1.3 s later (kalstaly-pier, trouble-1).
func TestOwnerLearnsOfJobsWithoutItsFeed(t *testing.T) {
	runScenario(t, func(s *sim) {
		const id = "5c0e7a21d94b36f8"
		owner := s.ownerID()
		other := s.entries["entry0"]
		if owner == "entry0" {
			other = s.entries["entry1"]
		}
		s.setFeedBlocked(owner, true)
		time.Sleep(time.Second) // a feed call that is in progress still gets its answer
		s.mustSubmit(other, id, workflow.Spec{Payload: "x", Steps: []workflow.Step{{Tasks: 1, Need: workflow.Resources{CPUMilli: 1000}, Estimate: 500}}})
		time.Sleep(300 * time.Millisecond)
		s.history.mu.Lock()
		starts := s.history.starts
		s.history.mu.Unlock()
		if starts != 1 {
			t.Error("the job has not started 0.3 s after it was accepted at another entry")
		}
		s.setFeedBlocked(owner, false)
		s.waitForEnd(id)
	})
}

// setRowsBlocked sets whether a process gets no rows from other entries.
func (s *sim) setRowsBlocked(id string, blocked bool) {
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	s.net.rowsBlocked[id] = blocked
}

// setFeedBlocked sets whether a process gets no answers from the store's feed.
func (s *sim) setFeedBlocked(id string, blocked bool) {
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	s.net.feedBlocked[id] = blocked
}

// Guards against a second agent for a worker when the repairs of two faults
// overlap. The first agent's sessions then outlived the simulation (seed 24).
func TestSimStartsOneAgentPerWorker(t *testing.T) {
	runScenario(t, func(s *sim) {
		s.killAgent("w0")
		s.killAgent("w0")
		s.startAgent("w0")
		first := s.agents["w0"]
		s.startAgent("w0")
		if s.agents["w0"] != first {
			t.Error("a second agent was started for the worker")
		}
	})
}

// Guards against a checker that counts a gang's failures once for each member. A
// gang fails as a whole, and its job has failed once the gang has failed as often
// as the queue allows (seed 18).
func TestHistoryCountsGangFailureOnce(t *testing.T) {
	h := newHistory()
	const id = "5c0e7a21d94b36f8"
	h.specs[id] = workflow.Spec{Steps: []workflow.Step{{Tasks: 3, Gang: true}, {Tasks: 3}}}
	for attempt := 1; attempt <= simMaxAttempts; attempt++ {
		for step := range 2 {
			r := &simRun{id: workflow.RunID{Task: workflow.TaskID{Job: id, Step: step, Index: attempt - 1}, Attempt: attempt}, worker: &simWorker{id: "w"}}
			h.recordStart(r)
			h.recordEnd(r, workflow.EndFailed)
		}
	}
	if len(h.violations) > 0 {
		t.Fatalf("violations before all attempts were used: %v", h.violations)
	}
	h.recordStart(&simRun{id: workflow.RunID{Task: workflow.TaskID{Job: id, Step: 1, Index: 1}, Attempt: 4}, worker: &simWorker{id: "w"}})
	if len(h.violations) > 0 {
		t.Fatalf("violations although the task has failed only once: %v", h.violations)
	}
	h.recordStart(&simRun{id: workflow.RunID{Task: workflow.TaskID{Job: id, Index: 1}, Attempt: 4}, worker: &simWorker{id: "w"}})
	if !slices.ContainsFunc(h.violations, func(b string) bool { return len(b) > 0 }) {
		t.Fatal("the checker accepts a start of a gang that has failed three times")
	}
}

// Guards against malformed rows of another writer that stop every owner that reads
// them or disturb other jobs. The rows have null values, other JSON types, steps
// that do not exist and invalid bytes.
func TestMalformedRowsDoNotStopOwner(t *testing.T) {
	runScenario(t, func(s *sim) {
		const id = "5c0e7a21d94b36f8"
		need := workflow.Resources{CPUMilli: 1000, MemoryMB: 100, GPUs: 1}
		spec := workflow.Spec{Payload: "x", Steps: []workflow.Step{{Tasks: 2, Need: need, Estimate: 4000}}}
		e := s.entries["entry0"]
		s.mustSubmit(e, id, spec)
		time.Sleep(200 * time.Millisecond)
		for _, value := range []string{`{"parts":{"0":null,"-7":{"done":[9,-1]}}}`, `{"parts":{"0":null}}`, `[]`, "\xff", `null`, `{"parts":{"0":{"failed":{"5":null}}}}`} {
			s.table.Put(Table, workflow.ProgressPrefix+id, []byte(value))
			s.table.Put(Table, workflow.ProgressPrefix+"00000000000000aa", []byte(value))
			for _, name := range []string{id + ".0", id + ".-1", id + ".9", id + ".x", id, "00000000000000aa.0", ""} {
				s.table.Put(Table, workflow.ProgressChunkPrefix+name, []byte(value))
			}
			s.table.Put(Table, workflow.RecordPrefix+"00000000000000ab", []byte(value))
			s.table.Put(Table, workflow.WorkerPrefix+"foreign", []byte(value))
			s.table.Put(Table, workflow.EntryPrefix+"foreign", []byte(value))
			s.table.Put(Table, workflow.CancelPrefix+"00000000000000ac", []byte(value))
			s.table.Put("op", "config", []byte(value))
			time.Sleep(200 * time.Millisecond)
		}
		const other = "5c0e7a21d94b36f9"
		s.mustSubmit(e, other, spec)
		s.killEntry(s.ownerID()) // the next owner reads all the rows when it starts
		s.waitForEnd(other)
	})
}

// waitForEnd waits until a running entry reports that a job has ended, and returns the state
// that it reports. Others may learn of it some milliseconds later.
func (s *sim) waitForEnd(id string) workflow.State {
	s.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if state, known, err := s.randomEntry().Gateway.State(s.ctx, simQueue("batch"), id); err == nil && known && state.Final() {
			return state
		}
	}
	s.t.Errorf("job %s has not ended", id)
	return ""
}

// TestStartsBehindCuts guards against a second run of a task whose start, or whose end's
// acknowledgement, reached another incarnation of the worker than the one it was meant for.
func TestStartsBehindCuts(t *testing.T) {
	runScenario(t, func(s *sim) {
		const jobs, rounds = 40, 16
		s.eachWorker(func(w *simWorker) { w.reliable = true })
		for i := range jobs {
			s.mustSubmit(s.randomEntry(), fmt.Sprintf("%016x", i), workflow.Spec{Payload: "x", Steps: []workflow.Step{{Tasks: 60, Need: smallTask, Estimate: 800}}})
		}
		for range rounds {
			s.restartBehindCut(s.randomWorker())
			s.sleep(2 * time.Second)
		}
		for i := range jobs {
			s.expectState(fmt.Sprintf("%016x", i), workflow.StateCompleted)
		}
	})
}
