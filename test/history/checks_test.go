package history

import (
	"strings"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

var t0 = time.Unix(1_000_000, 0)

// at returns the time ms milliseconds after t0.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// validRun returns a run that violates no promise: a finished job with two ranks and a
// cancelled job that did not run.
func validRun() *Run {
	spec := func(k string) structs.JobSpec {
		return structs.JobSpec{Account: "a", Kind: "k", RequestKey: k, Payload: []byte(`{"run_ms":10,"exit_rank":-1}`)}
	}
	submission := func(k string, state structs.JobState, v verdict.Verdict) *Submission {
		s := spec(k)
		id := structs.JobID("a", k)
		job := &structs.Job{ID: id, State: state, Verdict: v, GangID: id + "/1/1", Shape: structs.Shape{Workers: 2}}
		if state == structs.JobFinished {
			job.Result = structs.NewResult(1, workerstub.ExpectedResult(s.Payload, id, 2))
		}
		return &Submission{Name: k, Spec: s, JobID: id, Call: at(0), Return: at(900), Job: job}
	}
	ran, notRun := submission("ran", structs.JobFinished, verdict.Ran), submission("not", structs.JobCancelled, verdict.NotRun)
	task := func(w string, rank, seq int) Task {
		return Task{Worker: w, GangID: ran.Job.GangID, JobID: ran.JobID, Rank: rank, Size: 2, Accelerators: []int{0},
			Start: at(100), End: at(800), Outcome: "finished", seq: [2]int{seq, seq + 1}}
	}
	return &Run{
		Submissions: []*Submission{ran, notRun},
		Tasks:       []Task{task("worker1", 0, 0), task("worker2", 1, 0)},
		Final:       map[string]*structs.Job{ran.JobID: ran.Job, notRun.JobID: notRun.Job},
		Claims:      []Claim{{JobID: ran.JobID, Submitted: at(0), Bound: UrgentStartBound}},
		Faults:      []*Fault{{Kind: Terminate, Target: "agent1", From: at(0), TookEffect: true}, {Kind: Terminate, Target: "entry1", From: at(500), TookEffect: true}},
		Requests:    []Request{{Entry: "entry1", Method: "POST", Path: "/v1/jobs", Call: at(0), Return: at(900), Connected: true, Status: 200}},
		Applies:     []*Apply{{Parent: 0, Document: "one", Call: at(0), Return: at(10), Version: 1}, {Parent: 1, Document: "two", Call: at(20), Return: at(30), Version: 2}},
		Accepted:    map[uint64]string{1: "one", 2: "two"},
		Reads:       []VersionRead{{"agent2", at(11), at(12), 1}, {"agent2", at(3100), at(3101), 2}},
	}
}

// violationsOf returns the violations of one promise.
func violationsOf(r *Run, promise int) []string {
	for _, f := range r.Check() {
		if f.Promise == promise {
			return f.Violations
		}
	}
	return nil
}

// TestCheckAcceptsValidRun guards against checks that report violations, or check
// nothing, for a run that keeps every promise.
func TestCheckAcceptsValidRun(t *testing.T) {
	for _, f := range validRun().Check() {
		if len(f.Violations) > 0 || f.Checked == 0 {
			t.Errorf("%s", f)
		}
	}
}

// TestCheckReportsViolations guards against checks that miss a violation. Each case
// changes the valid run so that it violates one promise.
func TestCheckReportsViolations(t *testing.T) {
	for _, c := range []struct {
		name    string
		promise int
		want    string
		mutate  func(*Run)
	}{
		{"claim starts late", 1, "claim", func(r *Run) { r.Claims[0].Submitted = at(-10_000) }},
		{"claim never starts", 1, "claim", func(r *Run) { r.Tasks = nil }},
		{"accelerator runs two tasks", 2, "accelerator 0", func(r *Run) {
			other := r.Tasks[0]
			other.GangID, other.seq = "other/1/2", [2]int{1, 3}
			r.Tasks[0].seq[1] = 2
			r.Tasks = append(r.Tasks, other)
		}},
		{"rank never started", 2, "ranks finished", func(r *Run) { r.Tasks = r.Tasks[:1] }},
		{"gang goes on in part", 2, "without the whole gang", func(r *Run) {
			r.Tasks[0].Outcome, r.Tasks[1].End = "stopped", at(4900)
		}},
		{"result of another job", 3, "not the expected", func(r *Run) {
			r.Submissions[0].Job.Result = structs.NewResult(1, workerstub.ExpectedResult(nil, "b", 2))
		}},
		{"cut result", 3, "not the expected", func(r *Run) {
			r.Submissions[0].Job.Result = structs.NewResult(1, r.Submissions[0].Job.Result.Data[:10])
		}},
		{"accepted job is lost", 3, "no final answer", func(r *Run) {
			r.Submissions[0].Job.State = structs.JobWaiting
			delete(r.Final, r.Submissions[0].JobID)
		}},
		{"two payloads under a key", 3, "request key", func(r *Run) {
			other := *r.Submissions[0]
			other.Spec.Payload = []byte("x")
			r.Submissions = append(r.Submissions, &other)
		}},
		{"two payloads under an idempotent key while a link between agents is cut", 3, "request key", func(r *Run) {
			r.addSecondPayload()
			r.Faults = append(r.Faults, &Fault{Kind: Cut, Target: "agent1", Peer: "agent2", From: at(0)})
		}},
		{"two payloads, an entry that does not own is cut off", 3, "request key", func(r *Run) {
			r.addSecondPayload()
			r.Faults = append(r.Faults, &Fault{Kind: Cut, Target: "entry2", Peer: "platform", From: at(0)})
		}},
		{"two payloads after the table is back", 3, "request key", func(r *Run) {
			r.addSecondPayload()
			r.Faults = append(r.Faults, &Fault{Kind: Outage, Target: "platform", From: at(-5000), To: at(-2100), AffectsTable: true})
		}},
		{"two payloads, only the store is down", 3, "request key", func(r *Run) {
			r.addSecondPayload()
			r.Faults = append(r.Faults, &Fault{Kind: Outage, Target: "platform", From: at(0)})
		}},
		{"idempotent record of another payload", 3, "not the expected", func(r *Run) {
			r.Submissions[0].Idempotent = true
			r.changeFinalRecord(func(j *structs.Job) {
				j.Result = structs.NewResult(1, workerstub.ExpectedResult([]byte("x"), j.ID, 2))
			})
		}},
		{"answered idempotent record is lost", 3, "final record", func(r *Run) {
			r.Submissions[0].Idempotent = true
			delete(r.Final, r.Submissions[0].JobID)
		}},
		{"record is lost without the table, and no agent ended", 3, "final record", func(r *Run) { r.loseFirstRecord(false) }},
		{"durable record is lost", 3, "final record", func(r *Run) {
			r.loseFirstRecord(true)
			r.Submissions[0].Job.Result.Durable = true
		}},
		{"answered record is cancelled", 3, "final record", func(r *Run) {
			r.changeFinalRecord(func(j *structs.Job) { j.State = structs.JobCancelled })
		}},
		{"not_run, but it ran", 4, "said not_run", func(r *Run) {
			r.Tasks = append(r.Tasks, Task{Worker: "worker3", GangID: "g", JobID: r.Submissions[1].JobID, Size: 1, Start: at(0), End: at(1)})
		}},
		{"cancelled as not run, but it ran", 4, "cancellation", func(r *Run) { r.Cancelled = []string{r.Submissions[0].JobID} }},
		{"second run", 5, "ran 2 times", func(r *Run) {
			r.Tasks = append(r.Tasks, Task{Worker: "worker3", GangID: "g2", JobID: r.Submissions[0].JobID, Size: 1, Start: at(2000), End: at(2001)})
		}},
		{"resumed while the first goes on", 5, "at the same time", func(r *Run) {
			r.Tasks = append(r.Tasks, Task{Worker: "worker3", GangID: "g2", JobID: r.Submissions[0].JobID, Size: 1, Start: at(400), End: at(2001), Resumed: true})
		}},
		{"start on a leaving worker", 6, "began to shut down", func(r *Run) { r.Tasks[0].Start, r.Tasks[0].End = at(3001), at(3100) }},
		{"leaving entry accepts", 6, "accepted a job", func(r *Run) { r.Requests[0].Call, r.Requests[0].Return = at(3600), at(3700) }},
		{"request cut off", 7, "cut off", func(r *Run) { r.Requests[0].Err = verdict.Refuse(verdict.CodeUnavailable, "EOF") }},
		{"version goes back", 8, "back to", func(r *Run) { r.Reads = append(r.Reads, VersionRead{"agent2", at(3200), at(3201), 1}) }},
		{"version late", 8, "in force", func(r *Run) { r.Reads = []VersionRead{{"agent3", at(3031), at(3032), 1}} }},
		{"two operators win", 8, "register", func(r *Run) {
			r.Applies = append(r.Applies, &Apply{Parent: 1, Document: "two", Call: at(20), Return: at(30), Version: 2})
		}},
		{"accepted manifest is replaced", 8, "in the table", func(r *Run) { r.Accepted[2] = "three" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := validRun()
			c.mutate(r)
			if got := strings.Join(violationsOf(r, c.promise), "\n"); !strings.Contains(got, c.want) {
				t.Errorf("promise %d: violations %q, want one with %q", c.promise, got, c.want)
			}
		})
	}
}

// addSecondPayload makes the first job idempotent, and adds an accepted submission with
// the same request key but another payload and result. entry1 owns the domain.
func (r *Run) addSecondPayload() {
	r.Ownerships = []Ownership{{Entry: "entry1", Epoch: 1, From: at(-10_000)}}
	r.Submissions[0].Idempotent = true
	other, job := *r.Submissions[0], *r.Submissions[0].Job
	other.Spec.Payload = []byte("x")
	job.Result = structs.NewResult(1, workerstub.ExpectedResult(other.Spec.Payload, job.ID, 2))
	other.Job = &job
	r.Submissions = append(r.Submissions, &other)
}

// changeFinalRecord changes the final record of the first job but not its response.
func (r *Run) changeFinalRecord(change func(*structs.Job)) {
	job := *r.Submissions[0].Job
	change(&job)
	r.Final[job.ID] = &job
}

// loseFirstRecord sets the final state of the first job to unknown, as after a table
// outage and, if agentEnded is set, the end of an agent.
func (r *Run) loseFirstRecord(agentEnded bool) {
	r.changeFinalRecord(func(j *structs.Job) { j.State, j.Result = structs.JobUnknown, nil })
	r.Faults = []*Fault{{Kind: Outage, Target: "platform", From: at(100), AffectsTable: true}}
	if agentEnded {
		r.Faults = append(r.Faults, &Fault{Kind: Kill, Target: "agent1", From: at(950)})
	}
}

// TestCheckAllowsKeyConflictsWithoutTable guards against checks that report what section
// 6 of docs/design.md allows while the accepting owner cannot reach the table: two
// payloads under one request key, and the loss of a result that was not durable.
func TestCheckAllowsKeyConflictsWithoutTable(t *testing.T) {
	lost := validRun()
	lost.loseFirstRecord(true)
	if v := violationsOf(lost, 3); len(v) > 0 {
		t.Errorf("result lost with its agent: %q", v)
	}
	for name, f := range map[string]*Fault{
		"owner cut off": {Kind: Cut, Target: "entry1", Peer: "platform", From: at(0)},
		"one way":       {Kind: CutOneWay, Target: "platform", Peer: "entry1", From: at(0)},
		"table down":    {Kind: Outage, Target: "platform", From: at(-3000), To: at(-1000), AffectsTable: true},
		"lost answers":  {Kind: LostAnswers, Target: "platform", From: at(100), AffectsTable: true},
	} {
		r := validRun()
		r.addSecondPayload()
		r.Faults = append(r.Faults, f)
		if v := violationsOf(r, 3); len(v) > 0 {
			t.Errorf("%s: %q", name, v)
		}
		// If the second submission bound the key, a submission of the first payload
		// is refused.
		r.Faults[len(r.Faults)-1].From = at(300)
		r.Faults[len(r.Faults)-1].To = time.Time{}
		first := *r.Submissions[0]
		first.Return, first.Job, first.Err = at(200), nil, verdict.Refuse(verdict.CodeKeyReused, "")
		r.Submissions[0] = &first
		delete(r.Final, first.JobID)
		if v := violationsOf(r, 3); len(v) > 0 {
			t.Errorf("%s, refused: %q", name, v)
		}
	}
}

// TestIneffectiveFaultsAreReported guards against runs that seem to test a fault that
// disturbed nothing.
func TestIneffectiveFaultsAreReported(t *testing.T) {
	r := &Run{Faults: []*Fault{{Kind: Cut, Target: "a", Peer: "b"}}}
	if len(r.IneffectiveFaults()) != 1 {
		t.Error("IneffectiveFaults left out a fault that had no effect")
	}
}
