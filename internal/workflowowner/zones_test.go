package workflowowner

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

var testEvacuation = evacuation.Limits{Bound: 5 * time.Second, Contact: 4 * time.Second}

// testZones is what the process of an owner knows of evacuated zones. It is complete as of the
// present, unless it is frozen.
type testZones struct {
	owner func() *Owner

	mu      sync.Mutex
	set     evacuation.Set
	rows    []evacuation.Row
	version uint64
	began   time.Time
	frozen  bool
}

// withZones makes the deployment one with requests to evacuate zones.
func withZones(r *harness) { r.zones = &testZones{version: 1, began: time.Now()} }

func (z *testZones) view() *evacuation.View {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.frozen {
		now := time.Since(z.began)
		z.set.Complete(z.rows, z.version, now, now)
	}
	return z.set.View()
}

func (z *testZones) setFrozen(frozen bool) {
	z.view()
	z.mu.Lock()
	defer z.mu.Unlock()
	z.frozen = frozen
}

// evacuate replaces the zones that the operator has evacuated.
func (z *testZones) evacuate(zones ...string) {
	z.mu.Lock()
	z.version++
	z.rows = nil
	for _, zone := range zones {
		z.rows = append(z.rows, evacuation.Row{Zone: zone, Version: z.version})
	}
	z.mu.Unlock()
	z.owner().EvacuationsChanged()
}

// in returns an edit of a report that sets the worker's zone and its runs.
func in(zone string, runs ...workflowrpc.Run) func(*workflowrpc.SyncArgs) {
	return func(a *workflowrpc.SyncArgs) { a.Worker.Zone, a.Runs, a.Wait = zone, runs, 20*time.Millisecond }
}

// startsOn reports a worker with its runs until it is ordered to start something, for up to d.
func (r *harness) startsOn(id, zone string, d time.Duration, runs ...workflowrpc.Run) []workflowrpc.Start {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		if reply := r.report(id, id+":80", 1, in(zone, runs...)); len(reply.Start) > 0 {
			return reply.Start
		}
	}
	return nil
}

func starting(s workflowrpc.Start) workflowrpc.Run {
	return workflowrpc.Run{ID: s.ID, State: workflowrpc.RunStarting}
}

func running(s workflowrpc.Start) workflowrpc.Run {
	return workflowrpc.Run{ID: s.ID, State: workflowrpc.RunRunning, Percent: 10}
}

// Guards against an order that is valid for longer than the view of the owner permits, counted
// from when the agent's call was received.
func TestOrderExpiresWithView(t *testing.T) {
	runOwner(t, withZones, func(r *harness) {
		r.startsOn("w", "a", 50*time.Millisecond)
		r.zones.setFrozen(true)
		viewed := time.Now()
		time.Sleep(time.Second)
		called := time.Now()
		go func() {
			time.Sleep(200 * time.Millisecond)
			r.submit(testJob, newStep(1))
		}()
		reply := r.report("w", "w:80", 1, func(a *workflowrpc.SyncArgs) { a.Worker.Zone = "a" })
		if len(reply.Start) != 1 || reply.ZoneEvacuated {
			t.Fatalf("starts %v, evacuated %v, want one start", reply.Start, reply.ZoneEvacuated)
		}
		if last := called.Add(reply.StartWithin + evacuation.CallMargin).Sub(viewed); last > testEvacuation.Bound || last < testEvacuation.Bound-200*time.Millisecond {
			t.Errorf("the start may reach the worker until %v after the view was complete, want almost %v", last, testEvacuation.Bound)
		}
	})
}

// Guards against starts in an evacuated zone, and against waiting work that is not started in
// another zone at once.
func TestNoStartsInEvacuatedZone(t *testing.T) {
	runOwner(t, withZones, func(r *harness) {
		r.startsOn("w", "a", 50*time.Millisecond)
		r.startsOn("v", "b", 50*time.Millisecond)
		r.zones.evacuate("a", "no such zone")
		r.submit(testJob, newStep(12))
		if starts := r.startsOn("w", "a", 300*time.Millisecond); len(starts) > 0 {
			t.Errorf("starts in the evacuated zone: %v", starts)
		}
		if starts := r.startsOn("v", "b", 100*time.Millisecond); len(starts) != 8 {
			t.Errorf("%d starts in the other zone, want 8", len(starts))
		}
		if starts := r.startsOn("u", "", 300*time.Millisecond); len(starts) > 0 {
			t.Errorf("starts on a worker that may be in the zone: %v", starts)
		}
	})
}

// Guards against an agent that learns of an evacuation, or of its end, only with its next call.
func TestAgentIsToldOfEvacuationAtOnce(t *testing.T) {
	runOwner(t, withZones, func(r *harness) {
		r.startsOn("w", "a", 50*time.Millisecond)
		for _, evacuated := range []bool{true, false} {
			time.AfterFunc(50*time.Millisecond, func() {
				if evacuated {
					r.zones.evacuate("a")
				} else {
					r.zones.evacuate()
				}
			})
			began := time.Now()
			reply := r.report("w", "w:80", 1, func(a *workflowrpc.SyncArgs) { a.Worker.Zone = "a" })
			if took := time.Since(began); reply.ZoneEvacuated != evacuated || took > 60*time.Millisecond {
				t.Errorf("evacuated %v after %v, want %v after 50ms", reply.ZoneEvacuated, took, evacuated)
			}
		}
	})
}

// Guards against an order that reaches its agent after the owner has learned of the evacuation,
// and against work that stays bound to such an order.
func TestUndeliveredStartsAreWithdrawn(t *testing.T) {
	runOwner(t, withZones, func(r *harness) {
		r.startsOn("v", "b", 50*time.Millisecond)
		r.startsOn("w", "a", 50*time.Millisecond)
		step := newStep(1)
		step.Need.GPUs = 8
		r.submit(otherJob, step)
		busy := r.startsOn("v", "b", time.Second)
		if len(busy) != 1 {
			t.Fatal("the first job was not started in the other zone")
		}
		r.startsOn("w", "a", 50*time.Millisecond)
		r.submit(testJob, step)
		time.Sleep(50 * time.Millisecond) // the order waits for the next call
		r.zones.evacuate("a")
		if reply := r.report("w", "w:80", 1, in("a")); len(reply.Start)+len(reply.Stop) > 0 {
			t.Errorf("starts %v, stops %v, want neither: the order was never sent", reply.Start, reply.Stop)
		}
		for range 20 {
			reply := r.report("v", "v:80", 1, func(a *workflowrpc.SyncArgs) {
				in("b")(a)
				a.Ends = []workflowrpc.End{{Seq: 1, ID: busy[0].ID, Kind: workflow.EndDone}}
			})
			if len(reply.Start) == 1 {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Error("the task was not started in the other zone")
	})
}

// Guards against a start that was sent and that the agent has not reported: it may arrive late,
// and a restarted agent would get it again.
func TestUnreportedStartsAreWithdrawn(t *testing.T) {
	for name, reported := range map[string]bool{"order under way": false, "agent restarted": true} {
		t.Run(name, func(t *testing.T) {
			runOwner(t, withZones, func(r *harness) {
				r.submit(testJob, newStep(2))
				starts := r.startsOn("w", "a", time.Second)
				if len(starts) != 2 {
					t.Fatalf("got %v, want both tasks", starts)
				}
				if reported {
					r.report("w", "w:80", 1, in("a", starting(starts[0]), starting(starts[1])))
				}
				r.zones.evacuate("a")
				reply := r.report("w", "w:80", 1, func(a *workflowrpc.SyncArgs) {
					in("a")(a)
					a.Agent = "agent-w/2"
				})
				if len(reply.Start) > 0 || len(reply.Stop) != 2 {
					t.Errorf("starts %v, stops %v, want both withdrawn", reply.Start, reply.Stop)
				}
				for range 10 {
					reply = r.report("w", "w:80", 1, func(a *workflowrpc.SyncArgs) {
						in("a")(a)
						a.Agent = "agent-w/2"
						for _, s := range starts {
							a.Runs = append(a.Runs, workflowrpc.Run{ID: s.ID, State: workflowrpc.RunRejected, Reason: "no_answer"})
						}
					})
					if len(reply.Start) > 0 {
						t.Fatalf("starts %v in the evacuated zone", reply.Start)
					}
				}
				if again := r.startsOn("v", "b", time.Second); len(again) != 2 {
					t.Errorf("%d starts in the other zone, want 2", len(again))
				}
			})
		})
	}
}

// Guards against an evacuation that stops long or persistent tasks at work in the zone, or tasks
// whose start their agent has reported, also by a new owner that has just learned of them.
func TestRunningWorkContinuesInEvacuatedZone(t *testing.T) {
	runOwner(t, func(r *harness) {
		withZones(r)
		r.putWorkerRow("w", "w:80", 1)
	}, func(r *harness) {
		long, persistent := newStep(1), newStep(1)
		long.Estimate, persistent.Persistent = 100_000, true
		r.submit(testJob, long, persistent)
		r.submit(otherJob, newStep(1))
		starts := r.startsOn("w", "a", time.Second)
		if len(starts) != 3 {
			t.Fatalf("got %v, want three tasks", starts)
		}
		r.report("w", "w:80", 1, in("a", running(starts[0]), running(starts[1]), starting(starts[2])))
		r.zones.evacuate("a")
		for range 50 {
			reply := r.report("w", "w:80", 1, in("a", running(starts[0]), running(starts[1]), starting(starts[2])))
			if len(reply.Stop)+len(reply.Start) > 0 || !reply.ZoneEvacuated {
				t.Fatalf("starts %v, stops %v, evacuated %v", reply.Start, reply.Stop, reply.ZoneEvacuated)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// Guards against a gang that is started partly inside the zone: one member was sent and has
// started, the order of another is withdrawn.
func TestGangRestartsOutsideEvacuatedZone(t *testing.T) {
	runOwner(t, withZones, func(r *harness) {
		r.startsOn("w", "a", 30*time.Millisecond)
		r.startsOn("v", "b", 30*time.Millisecond)
		gang := newStep(2)
		gang.Gang, gang.Need.GPUs = true, 8
		r.submit(testJob, gang)
		member := r.startsOn("v", "b", time.Second)
		if len(member) != 1 {
			t.Fatalf("got %v, want one member in the other zone", member)
		}
		r.report("v", "v:80", 1, in("b", running(member[0])))
		r.zones.evacuate("a")
		if starts := r.startsOn("w", "a", 200*time.Millisecond); len(starts) > 0 {
			t.Errorf("a member starts in the evacuated zone: %v", starts)
		}
		if reply := r.report("v", "v:80", 1, in("b", running(member[0]))); len(reply.Stop) != 1 {
			t.Errorf("stops %v, want the member that waits for the other one", reply.Stop)
		}
		ended := func(a *workflowrpc.SyncArgs) {
			in("b")(a)
			a.Ends = []workflowrpc.End{{Seq: 1, ID: member[0].ID, Kind: workflow.EndStopped}}
		}
		r.report("v", "v:80", 1, ended)
		for range 20 {
			first, second := r.report("v", "v:80", 1, ended), r.report("u", "u:80", 1, in("c"))
			if len(first.Start)+len(second.Start) > 0 {
				return
			}
		}
		t.Error("the gang was not started outside of the zone")
	})
}

// Guards against starts while the view of the evacuated zones is too old, and against orders
// that are lost or late once it is recent again.
func TestOldViewHoldsStarts(t *testing.T) {
	runOwner(t, withZones, func(r *harness) {
		r.startsOn("w", "a", 50*time.Millisecond)
		r.zones.setFrozen(true)
		r.submit(testJob, newStep(1))
		time.Sleep(100 * time.Millisecond) // ordered, and not sent
		time.Sleep(testEvacuation.Bound)
		if starts := r.startsOn("w", "a", 500*time.Millisecond); len(starts) > 0 {
			t.Fatalf("starts %v with a view that is older than the bound", starts)
		}
		time.AfterFunc(50*time.Millisecond, func() { r.zones.setFrozen(false) })
		began := time.Now()
		reply := r.report("w", "w:80", 1, func(a *workflowrpc.SyncArgs) { a.Worker.Zone, a.Wait = "a", time.Second })
		if len(reply.Start) == 0 || time.Since(began) > 300*time.Millisecond {
			t.Errorf("starts %v %v after the view was recent again", reply.Start, time.Since(began))
		}
	})
}

// Guards against an owner that starts work before it knows which zones are evacuated.
func TestOwnerStartsNothingBeforeItKnowsZones(t *testing.T) {
	runOwner(t, func(r *harness) {
		withZones(r)
		r.zones.frozen = true
	}, func(r *harness) {
		r.submit(testJob, newStep(1))
		if starts := r.startsOn("w", "a", time.Second); len(starts) > 0 {
			t.Errorf("starts %v before anything is known of evacuated zones", starts)
		}
		r.zones.setFrozen(false)
		if starts := r.startsOn("w", "a", time.Second); len(starts) != 1 {
			t.Error("the task was not started")
		}
	})
}

// Guards against a step that waits for workers of an evacuated zone, because the placement advice
// service has issued tickets for them.
func TestTicketsOfEvacuatedZoneDoNotCount(t *testing.T) {
	advisor := &fakeAdvisor{allowed: []string{"w", "v"}, validity: time.Minute}
	runOwner(t, func(r *harness) {
		withZones(r)
		withAdvisor(advisor)(r)
	}, func(r *harness) {
		blocker := newStep(1)
		blocker.Need.GPUs = 8
		r.startsOn("w", "a", 50*time.Millisecond)
		r.submit(testJob, newStep(1))
		time.Sleep(300 * time.Millisecond) // tickets for the only worker; no call carries the order
		r.zones.evacuate("a")
		if starts := r.startsOn("v", "b", 2*time.Second); len(starts) != 1 || starts[0].Ticket == "" {
			t.Errorf("starts %v, want one with a ticket; asked %v", starts, advisor.asked())
		}
		if len(advisor.asked()) < 2 {
			t.Errorf("asked %v, want a second call", advisor.asked())
		}
	})
}

// Guards against the task that tests whether a worker has recovered, in an evacuated zone.
func TestNoProbeInEvacuatedZone(t *testing.T) {
	runOwner(t, withZones, func(r *harness) {
		seq := uint64(0)
		for i := range 2 {
			id := fmt.Sprintf("%016x", i+1)
			r.submit(id, newStep(1))
			starts := r.startsOn("w", "a", 20*time.Second)
			r.report("w", "w:80", 1, func(a *workflowrpc.SyncArgs) {
				in("a")(a)
				for _, s := range starts {
					seq++
					a.Ends = append(a.Ends, workflowrpc.End{Seq: seq, ID: s.ID, Kind: workflow.EndFailed})
				}
			})
		}
		if !r.owner.workers["w"].backoff.probing() {
			t.Fatal("the worker is not to be tested")
		}
		r.zones.evacuate("a")
		for range 400 { // the pause after the second failure lasts 4 s
			reply := r.report("w", "w:80", 1, in("a"))
			if len(reply.Start) > 0 {
				t.Fatalf("starts %v, to test a worker of the evacuated zone", reply.Start)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if starts := r.startsOn("v", "b", time.Second); len(starts) == 0 {
			t.Error("the waiting tasks were not started in the other zone")
		}
	})
}

// Guards against rejections because of an evacuation that delay the step's next start.
func TestEvacuationDoesNotDelayStep(t *testing.T) {
	runOwner(t, withZones, func(r *harness) {
		r.submit(testJob, newStep(1))
		for i := range 6 {
			worker := fmt.Sprint("w", i)
			starts := r.startsOn(worker, fmt.Sprint("zone", i), time.Second)
			if len(starts) != 1 {
				t.Fatalf("attempt %d was not started", i)
			}
			r.zones.evacuate(fmt.Sprint("zone", i))
			r.report(worker, worker+":80", 1, in(fmt.Sprint("zone", i), workflowrpc.Run{ID: starts[0].ID, State: workflowrpc.RunRejected, Reason: workflowrpc.ReasonEvacuated}))
		}
		began := time.Now()
		if starts := r.startsOn("v", "b", time.Second); len(starts) != 1 || time.Since(began) > 100*time.Millisecond {
			t.Errorf("starts %v after %v", starts, time.Since(began))
		}
	})
}

// Guards against all waiting work moving at once onto the workers of a zone that returns, which
// are empty and may be cold, and against a return that takes longer than it has to.
func TestWorkersReturnOneAfterTheOther(t *testing.T) {
	const workers = 12
	runOwner(t, withZones, func(r *harness) {
		var ids []string
		for i := range workers {
			ids = append(ids, fmt.Sprint("w", i))
		}
		r.zones.evacuate("a")
		for i := range workers {
			step := newStep(1)
			step.Need.GPUs = 8
			r.submit(fmt.Sprintf("%016x", i+1), step)
		}
		runs := map[string][]workflowrpc.Run{}
		poll := func() {
			for _, id := range ids {
				reply := r.report(id, id+":80", 1, func(a *workflowrpc.SyncArgs) {
					in("a", runs[id]...)(a)
					a.Wait = time.Millisecond
				})
				for _, s := range reply.Start {
					runs[id] = append(runs[id], running(s))
				}
			}
		}
		poll()
		r.zones.evacuate()
		began := time.Now()
		started := func() int {
			return len(runs) - len(slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return len(runs[id]) > 0 })) + workers - len(runs)
		}
		for time.Since(began) < evacuation.ReturnTime/3 {
			poll()
		}
		if n := started(); n > 2*workers/3 {
			t.Errorf("%d of %d workers got work within a third of the time", n, workers)
		}
		for time.Since(began) < evacuation.ReturnTime+200*time.Millisecond {
			poll()
		}
		if n := started(); n != workers {
			t.Errorf("%d of %d workers got work after the return", n, workers)
		}
	})
}

// Guards against work that waits unnoticed for a zone that has all workers of its label, and
// against a capacity that is not used again after the withdrawal.
func TestWorkThatOnlyEvacuatedZoneCanRunWaits(t *testing.T) {
	runOwner(t, withZones, func(r *harness) {
		labelled := func(label, zone string) func(*workflowrpc.SyncArgs) {
			return func(a *workflowrpc.SyncArgs) {
				in(zone)(a)
				a.Worker.Labels = []string{label}
			}
		}
		step := newStep(1)
		step.Label = "a100"
		r.report("w", "w:80", 1, labelled("a100", "a"))
		r.report("v", "v:80", 1, labelled("v100", "b"))
		r.zones.evacuate("a")
		r.submit(testJob, step)
		for range 20 {
			first, second := r.report("w", "w:80", 1, labelled("a100", "a")), r.report("v", "v:80", 1, labelled("v100", "b"))
			if len(first.Start)+len(second.Start) > 0 {
				t.Fatalf("starts %v and %v", first.Start, second.Start)
			}
		}
		r.owner.mu.Lock()
		var reasons []string
		for _, reason := range r.owner.jobs[testJob].waitReasons {
			reasons = append(reasons, reason)
		}
		r.owner.mu.Unlock()
		if !slices.Equal(reasons, []string{"zone_evacuated"}) {
			t.Errorf("the step waits because of %v", reasons)
		}
		r.zones.evacuate()
		for deadline := time.Now().Add(evacuation.ReturnTime + 200*time.Millisecond); time.Now().Before(deadline); {
			if reply := r.report("w", "w:80", 1, labelled("a100", "a")); len(reply.Start) == 1 {
				return
			}
		}
		t.Error("the task was not started after the withdrawal")
	})
}
