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

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// kept returns a run in which every promise is kept.
func kept() *Run {
	key := func(k string) structs.JobSpec {
		return structs.JobSpec{Account: "a", Kind: "k", RequestKey: k, Payload: []byte(`{"run_ms":10,"exit_rank":-1}`)}
	}
	op := func(k string, state structs.JobState, v verdict.Verdict) *Op {
		s := key(k)
		id := structs.JobID("a", k)
		job := &structs.Job{ID: id, State: state, Verdict: v, GangID: id + "/1/1", Shape: structs.Shape{Workers: 2}}
		if state == structs.JobFinished {
			job.Result = structs.NewResult(1, workerstub.ExpectedResult(s.Payload, id, 2))
		}
		return &Op{Name: k, Spec: s, JobID: id, Call: at(0), Return: at(900), Job: job}
	}
	ran, not := op("ran", structs.JobFinished, verdict.Ran), op("not", structs.JobCancelled, verdict.NotRun)
	task := func(w string, rank, seq int) Task {
		return Task{Worker: w, GangID: ran.Job.GangID, JobID: ran.JobID, Rank: rank, Size: 2, Accelerators: []int{0},
			Start: at(100), End: at(800), Outcome: "finished", seq: [2]int{seq, seq + 1}}
	}
	return &Run{
		Ops:      []*Op{ran, not},
		Tasks:    []Task{task("worker1", 0, 0), task("worker2", 1, 0)},
		Final:    map[string]*structs.Job{ran.JobID: ran.Job, not.JobID: not.Job},
		Claims:   []Claim{{JobID: ran.JobID, Submitted: at(0), Bound: UrgentStart}},
		Faults:   []*Fault{{Kind: Terminate, Target: "agent1", From: at(0), Seen: true}, {Kind: Terminate, Target: "entry1", From: at(500), Seen: true}},
		Requests: []Request{{Entry: "entry1", Method: "POST", Path: "/v1/jobs", Call: at(0), Return: at(900), Connected: true, Status: 200}},
		Applies:  []*Apply{{Parent: 0, Document: "one", Call: at(0), Return: at(10), Version: 1}, {Parent: 1, Document: "two", Call: at(20), Return: at(30), Version: 2}},
		Accepted: map[uint64]string{1: "one", 2: "two"},
		Reads:    []VersionRead{{"agent2", at(11), at(12), 1}, {"agent2", at(3100), at(3101), 2}},
	}
}

func find(r *Run, promise int) []string {
	for _, f := range r.Check() {
		if f.Promise == promise {
			return f.Violations
		}
	}
	return nil
}

// TestKept guards against checks that fail although every promise is kept.
func TestKept(t *testing.T) {
	for _, f := range kept().Check() {
		if len(f.Violations) > 0 || f.Checked == 0 {
			t.Errorf("%s", f)
		}
	}
}

// TestBroken guards against checks that pass although a promise is broken: each
// mutation of the run breaks one.
func TestBroken(t *testing.T) {
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
			r.Ops[0].Job.Result = structs.NewResult(1, workerstub.ExpectedResult(nil, "b", 2))
		}},
		{"cut result", 3, "not the expected", func(r *Run) {
			r.Ops[0].Job.Result = structs.NewResult(1, r.Ops[0].Job.Result.Data[:10])
		}},
		{"accepted job is lost", 3, "no final answer", func(r *Run) {
			r.Ops[0].Job.State = structs.JobWaiting
			delete(r.Final, r.Ops[0].JobID)
		}},
		{"two payloads under a key", 3, "request key", func(r *Run) {
			other := *r.Ops[0]
			other.Spec.Payload = []byte("x")
			r.Ops = append(r.Ops, &other)
		}},
		{"two payloads under an idempotent key while a link between agents is cut", 3, "request key", func(r *Run) {
			r.twoPayloads()
			r.Faults = append(r.Faults, &Fault{Kind: Cut, Target: "agent1", Peer: "agent2", From: at(0)})
		}},
		{"two payloads, an entry that does not own is cut off", 3, "request key", func(r *Run) {
			r.twoPayloads()
			r.Faults = append(r.Faults, &Fault{Kind: Cut, Target: "entry2", Peer: "platform", From: at(0)})
		}},
		{"two payloads after the table is back", 3, "request key", func(r *Run) {
			r.twoPayloads()
			r.Faults = append(r.Faults, &Fault{Kind: Outage, Target: "platform", From: at(-5000), To: at(-2100), Table: true})
		}},
		{"two payloads, only the store is down", 3, "request key", func(r *Run) {
			r.twoPayloads()
			r.Faults = append(r.Faults, &Fault{Kind: Outage, Target: "platform", From: at(0)})
		}},
		{"idempotent record of another payload", 3, "not the expected", func(r *Run) {
			r.Ops[0].Idempotent = true
			r.replaceFinal(func(j *structs.Job) {
				j.Result = structs.NewResult(1, workerstub.ExpectedResult([]byte("x"), j.ID, 2))
			})
		}},
		{"answered idempotent record is lost", 3, "final record", func(r *Run) {
			r.Ops[0].Idempotent = true
			delete(r.Final, r.Ops[0].JobID)
		}},
		{"record is lost without the table, and no agent ended", 3, "final record", func(r *Run) { r.loseRecord(false) }},
		{"durable record is lost", 3, "final record", func(r *Run) {
			r.loseRecord(true)
			r.Ops[0].Job.Result.Durable = true
		}},
		{"answered record is cancelled", 3, "final record", func(r *Run) {
			r.replaceFinal(func(j *structs.Job) { j.State = structs.JobCancelled })
		}},
		{"not_run, but it ran", 4, "said not_run", func(r *Run) {
			r.Tasks = append(r.Tasks, Task{Worker: "worker3", GangID: "g", JobID: r.Ops[1].JobID, Size: 1, Start: at(0), End: at(1)})
		}},
		{"cancelled as not run, but it ran", 4, "cancellation", func(r *Run) { r.Cancelled = []string{r.Ops[0].JobID} }},
		{"second run", 5, "ran 2 times", func(r *Run) {
			r.Tasks = append(r.Tasks, Task{Worker: "worker3", GangID: "g2", JobID: r.Ops[0].JobID, Size: 1, Start: at(2000), End: at(2001)})
		}},
		{"resumed while the first goes on", 5, "at the same time", func(r *Run) {
			r.Tasks = append(r.Tasks, Task{Worker: "worker3", GangID: "g2", JobID: r.Ops[0].JobID, Size: 1, Start: at(400), End: at(2001), Resumed: true})
		}},
		{"start on a leaving worker", 6, "told to leave", func(r *Run) { r.Tasks[0].Start, r.Tasks[0].End = at(3001), at(3100) }},
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
			r := kept()
			c.mutate(r)
			if got := strings.Join(find(r, c.promise), "\n"); !strings.Contains(got, c.want) {
				t.Errorf("promise %d: violations %q, want one with %q", c.promise, got, c.want)
			}
		})
	}
}

// twoPayloads adds a second accepted payload under the key of the first job,
// which is made idempotent, with its own result; entry1 owns the domain.
func (r *Run) twoPayloads() {
	r.Owners = []Tenure{{Entry: "entry1", Epoch: 1, From: at(-10_000)}}
	r.Ops[0].Idempotent = true
	other, job := *r.Ops[0], *r.Ops[0].Job
	other.Spec.Payload = []byte("x")
	job.Result = structs.NewResult(1, workerstub.ExpectedResult(other.Spec.Payload, job.ID, 2))
	other.Job = &job
	r.Ops = append(r.Ops, &other)
}

// replaceFinal changes the final record of the first job, not its answer.
func (r *Run) replaceFinal(change func(*structs.Job)) {
	job := *r.Ops[0].Job
	change(&job)
	r.Final[job.ID] = &job
}

// loseRecord makes the first record unknown after the table was out of reach
// and, if ended is set, an agent ended.
func (r *Run) loseRecord(ended bool) {
	r.replaceFinal(func(j *structs.Job) { j.State, j.Result = structs.JobUnknown, nil })
	r.Faults = []*Fault{{Kind: Outage, Target: "platform", From: at(100), Table: true}}
	if ended {
		r.Faults = append(r.Faults, &Fault{Kind: Kill, Target: "agent1", From: at(950)})
	}
}

// TestWithoutTable guards against checks that fail on what section 6 of
// docs/design.md allows: two payloads under one key when the accepting owner is
// without the table.
func TestWithoutTable(t *testing.T) {
	lost := kept()
	lost.loseRecord(true)
	if v := find(lost, 3); len(v) > 0 {
		t.Errorf("result lost with its agent: %q", v)
	}
	for name, f := range map[string]*Fault{
		"owner cut off": {Kind: Cut, Target: "entry1", Peer: "platform", From: at(0)},
		"one way":       {Kind: CutOneWay, Target: "platform", Peer: "entry1", From: at(0)},
		"table down":    {Kind: Outage, Target: "platform", From: at(-3000), To: at(-1000), Table: true},
		"lost answers":  {Kind: Lost, Target: "platform", From: at(100), Table: true},
	} {
		r := kept()
		r.twoPayloads()
		r.Faults = append(r.Faults, f)
		if v := find(r, 3); len(v) > 0 {
			t.Errorf("%s: %q", name, v)
		}
		// The key that such a submission binds refuses another payload.
		r.Faults[len(r.Faults)-1].From = at(300)
		r.Faults[len(r.Faults)-1].To = time.Time{}
		first := *r.Ops[0]
		first.Return, first.Job, first.Err = at(200), nil, verdict.Refuse(verdict.CodeKeyReused, "")
		r.Ops[0] = &first
		delete(r.Final, first.JobID)
		if v := find(r, 3); len(v) > 0 {
			t.Errorf("%s, refused: %q", name, v)
		}
	}
}

// TestUnseen guards against runs that count faults which met nothing.
func TestUnseen(t *testing.T) {
	r := &Run{Faults: []*Fault{{Kind: Cut, Target: "a", Peer: "b"}}}
	if len(r.Unseen()) != 1 {
		t.Error("a fault that met nothing was counted")
	}
}
