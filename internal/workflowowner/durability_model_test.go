package workflowowner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleypier/parsleypier/internal/election"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/seedtest"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// modelJob is what the model knows of a job.
type modelJob struct {
	rec      workflow.Record
	tasks    []workflow.TaskID
	done     map[workflow.TaskID]bool // whose end was reported
	attempts map[workflow.TaskID]int
}

// modelWorker is a worker with its agent. listed has its ends that are not acknowledged.
type modelWorker struct {
	id          string
	incarnation int64
	callSeq     uint64
	lastEnd     uint64
	listed      []workflowrpc.End
	// crashes are the reports of ended incarnations that have to be repeated.
	crashes []*workflowrpc.SyncArgs
}

// knownCrash is a crash that an owner has counted and its agent does not report again.
type knownCrash struct {
	task  workflow.TaskID
	crash workflow.Crash
}

// durabilityModel drives what an owner stores: reports of agents, cancellations, writes that
// end in any way at any time, feeds that are late, and takeovers.
type durabilityModel struct {
	table *rowstorestub.Table
	store rowstore.Store
	owner *Owner
	held  *heldStore
	epoch uint64
	// observed is the version up to which the owner has received the feed.
	observed uint64
	write    *writeInProgress // nil if there is none
	// late has transactions that are applied, if ever, after their caller has given up.
	late    []rowstore.Txn
	jobs    []*modelJob
	workers []*modelWorker
	// acknowledged has the ends that workers may have forgotten, crashes those that agents
	// may have.
	acknowledged []workflowrpc.End
	crashes      []knownCrash
	// met has what has happened, by the names in requiredFaults.
	met map[string]bool
}

func newDurabilityModel(t *rapid.T, met map[string]bool) *durabilityModel {
	m := &durabilityModel{table: rowstorestub.New(), epoch: 1, met: met}
	m.store = m.table.ClientFor("owner")
	for i := range rapid.IntRange(1, 2).Draw(t, "jobs") {
		m.submit(t, fmt.Sprintf("%016x", i+1))
	}
	for i := range 2 {
		m.workers = append(m.workers, &modelWorker{id: fmt.Sprintf("w%d", i), incarnation: 1})
	}
	m.takeOver(t)
	for _, j := range m.jobs {
		if rapid.IntRange(0, 3).Draw(t, "begin") < 3 {
			m.report(m.workers[0], j.endAllBut(t, rapid.IntRange(2, 4).Draw(t, "open")))
		}
	}
	m.settle(t)
	return m
}

// draw draws an element.
func draw[E any](t *rapid.T, from []E, label string) E {
	return from[drawIndex(t, len(from), label)]
}

// drawIndex draws an index of n elements. rapid prefers small integers, and so the index is
// counted from either end.
func drawIndex(t *rapid.T, n int, label string) int {
	i := rapid.IntRange(0, n-1).Draw(t, label)
	if rapid.Bool().Draw(t, "fromEnd") {
		return n - 1 - i
	}
	return i
}

// submit stores the record of a job with one row of progress or several. An earlier version
// of the program may have stored progress in a single row.
func (m *durabilityModel) submit(t *rapid.T, id string) {
	j := &modelJob{done: map[workflow.TaskID]bool{}, attempts: map[workflow.TaskID]int{}}
	large := rapid.IntRange(0, 3).Draw(t, "small") < 3
	spec := workflow.Spec{Occurrences: rapid.IntRange(0, 2).Draw(t, "occurrences")}
	for range rapid.IntRange(1, 3).Draw(t, "steps") {
		tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
		if large {
			tasks = draw(t, []int{201, 120, 60, 230}, "tasks")
		}
		step := workflow.Step{Tasks: tasks, Need: workflow.Resources{CPUMilli: 1}, Estimate: 1000, Checkpoint: rapid.Bool().Draw(t, "checkpoint")}
		switch draw(t, []string{"plain", "plain", "plain", "persistent", "plain", "plain", "gang", "plain"}, "kind") {
		case "gang":
			step.Gang = true
		case "persistent":
			step.Persistent = true
		}
		spec.Steps = append(spec.Steps, step)
	}
	j.rec = workflow.Record{ID: id, Queue: "q", Account: "a", Spec: spec, Terms: workflow.Terms{MaxAttempts: 2, Stretch: 3}}
	for k := range spec.OccurrenceCount() {
		for s := range spec.Steps {
			for i := range spec.Steps[s].Tasks {
				j.tasks = append(j.tasks, workflow.TaskID{Job: id, Occurrence: k, Step: s, Index: i})
			}
		}
	}
	m.put(t, workflow.RecordPrefix+id, j.rec)
	m.jobs = append(m.jobs, j)
	if large && rapid.IntRange(0, 4).Draw(t, "legacy") == 4 {
		p := &workflow.Progress{Begun: true}
		for range rapid.IntRange(1, 5).Draw(t, "legacyEnds") {
			e := j.drawEnd(t)
			p.RecordEnd(&spec, e.ID, e.Kind, e.Checkpoint)
			m.acknowledged = append(m.acknowledged, e)
		}
		m.put(t, workflow.ProgressPrefix+id, p)
	}
}

func (m *durabilityModel) put(t *rapid.T, key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	m.table.Put(testTable, key, value)
}

// open returns the tasks whose ends have not been reported as done.
func (j *modelJob) open() []workflow.TaskID {
	return slices.DeleteFunc(slices.Clone(j.tasks), func(t workflow.TaskID) bool { return j.done[t] })
}

// drawEnd draws the end of a run of a task that is open, or of any if there is none.
func (j *modelJob) drawEnd(t *rapid.T) workflowrpc.End {
	open := j.open()
	if len(open) == 0 {
		open = j.tasks
	}
	kind := rapid.SampledFrom([]workflow.EndKind{workflow.EndDone, workflow.EndDone, workflow.EndDone, workflow.EndDone, workflow.EndFailed, workflow.EndStopped}).Draw(t, "how")
	return j.end(draw(t, open, "task"), kind)
}

// end returns the end of the next run of a task.
func (j *modelJob) end(task workflow.TaskID, kind workflow.EndKind) workflowrpc.End {
	step := &j.rec.Spec.Steps[task.Step]
	members := []workflow.TaskID{task}
	shared := task
	if step.Gang {
		shared.Index = 0
		members = nil
		for i := range step.Tasks {
			member := task
			member.Index = i
			members = append(members, member)
		}
	}
	if kind == workflow.EndDone && !step.Persistent {
		for _, member := range members {
			j.done[member] = true
		}
	}
	j.attempts[shared]++
	return workflowrpc.End{ID: workflow.RunID{Task: task, Attempt: j.attempts[shared]}, Kind: kind, Checkpoint: fmt.Sprint("saved", j.attempts[shared])}
}

// takeOver replaces the owner by a new one, which reads the rows.
func (m *durabilityModel) takeOver(t *rapid.T) {
	if m.write != nil {
		m.endWrite(t)
		m.met["takeover beside a write"] = true
	}
	m.epoch++
	version := m.table.Put(testTable, election.FenceKey, []byte(fmt.Sprint(m.epoch)))
	m.held = &heldStore{Store: m.store, txns: make(chan rowstore.Txn), answers: make(chan commitResult)}
	m.owner = newLoadedOwner(m.held, m.epoch, version)
	m.owner.Observe(m.table.Rows(testTable))
	m.observed = version
}

// reportEnds ends runs on a worker and makes its agent call.
func (m *durabilityModel) reportEnds(t *rapid.T) {
	w := draw(t, m.workers, "worker")
	j := draw(t, m.jobs, "job")
	if rapid.IntRange(0, 4).Draw(t, "many") == 4 {
		m.report(w, j.endAllBut(t, rapid.IntRange(0, 2).Draw(t, "open")))
		return
	}
	var ends []workflowrpc.End
	for range rapid.IntRange(1, 2).Draw(t, "ends") {
		ends = append(ends, j.drawEnd(t))
	}
	m.report(w, ends)
}

// endAllBut completes all but n tasks of the job, or fewer.
func (j *modelJob) endAllBut(t *rapid.T, n int) []workflowrpc.End {
	open := j.open()
	for range min(n, len(open)) {
		i := drawIndex(t, len(open), "task")
		open = slices.Delete(open, i, i+1)
	}
	var ends []workflowrpc.End
	for _, task := range open {
		if !j.done[task] {
			ends = append(ends, j.end(task, workflow.EndDone))
		}
	}
	return ends
}

// report adds ends to those that a worker lists, and makes its agent call.
func (m *durabilityModel) report(w *modelWorker, ends []workflowrpc.End) {
	for _, e := range ends {
		w.lastEnd++
		e.Seq = w.lastEnd
		w.listed = append(w.listed, e)
	}
	m.call(w)
}

// call makes the calls of a worker's agent, and applies which crashes are acknowledged.
func (m *durabilityModel) call(w *modelWorker) {
	w.crashes = slices.DeleteFunc(w.crashes, func(args *workflowrpc.SyncArgs) bool {
		w.callSeq++
		args.Seq, args.Epoch, args.Fence = w.callSeq, m.epoch, m.epoch
		reply := &workflowrpc.SyncReply{}
		m.owner.Sync(args, reply)
		if reply.Err != nil || reply.Superseded || reply.ReportAgain {
			return false
		}
		for _, report := range args.Runs {
			if c, ok := m.countedCrash(report.ID.Task, args); ok {
				m.crashes = append(m.crashes, c)
			}
		}
		return true
	})
	w.callSeq++
	args := &workflowrpc.SyncArgs{
		Agent: "agent-" + w.id, Addr: "agent-" + w.id, Seq: w.callSeq, Epoch: m.epoch, Fence: m.epoch, Ends: w.listed,
		Worker: workflowrpc.Worker{ID: w.id, Incarnation: w.incarnation, Addr: w.id, Capacity: workflow.Resources{CPUMilli: 1000}},
	}
	m.owner.Sync(args, &workflowrpc.SyncReply{})
}

// acknowledge applies which ends of a worker are acknowledged. An agent has a call in progress
// nearly all the time, and the owner replies as soon as it can acknowledge an end.
func (m *durabilityModel) acknowledge(w *modelWorker) {
	known := m.owner.workers[w.id]
	for known != nil && known.incarnation == w.incarnation && len(w.listed) > 0 && w.listed[0].Seq <= known.durableEndSeq {
		m.acknowledged = append(m.acknowledged, w.listed[0])
		w.listed = w.listed[1:]
	}
}

// countedCrash returns the crash that the owner has counted for a task of a report.
func (m *durabilityModel) countedCrash(task workflow.TaskID, args *workflowrpc.SyncArgs) (knownCrash, bool) {
	j := m.owner.jobs[task.Job]
	crashes := j.progress.StepProgress(&j.record.Spec, stepOf(task)).Crashes[task.Index]
	i := slices.IndexFunc(crashes, func(c workflow.Crash) bool {
		return c.Worker == args.Worker.ID && c.Incarnation == args.Worker.Incarnation
	})
	if i < 0 {
		return knownCrash{}, false
	}
	return knownCrash{task, crashes[i]}, true
}

// crashWorker ends an incarnation of a worker, with the ends that it has listed.
func (m *durabilityModel) crashWorker(t *rapid.T) {
	w := draw(t, m.workers, "worker")
	args := &workflowrpc.SyncArgs{
		Agent: "agent-" + w.id, Addr: "agent-" + w.id,
		Worker: workflowrpc.Worker{ID: w.id, Incarnation: w.incarnation, Addr: w.id, Gone: true, End: workflowrpc.WorkerCrashed},
	}
	for range rapid.IntRange(0, 2).Draw(t, "runs") {
		j := draw(t, m.jobs, "job")
		if open := j.open(); len(open) > 0 {
			task := draw(t, open, "task")
			args.Runs = append(args.Runs, workflowrpc.Run{
				ID:         workflow.RunID{Task: task, Attempt: 1},
				AgeAtCrash: rapid.SampledFrom([]workflow.Millis{5, 5000}).Draw(t, "age").Duration(),
			})
		}
	}
	for _, e := range w.listed {
		if e.Kind == workflow.EndDone {
			delete(m.job(e.ID.Task.Job).done, e.ID.Task)
		}
	}
	w.crashes = append(w.crashes, args)
	w.incarnation, w.listed, w.lastEnd = w.incarnation+1, nil, 0
	if rapid.Bool().Draw(t, "call") {
		m.call(w)
	}
}

func (m *durabilityModel) job(id string) *modelJob {
	return m.jobs[slices.IndexFunc(m.jobs, func(j *modelJob) bool { return j.rec.ID == id })]
}

// expireWorker lets the leases of a worker expire. Its agent calls again later.
func (m *durabilityModel) expireWorker(t *rapid.T) {
	if w := m.owner.workers[draw(t, m.workers, "worker").id]; w != nil {
		w.lost = true
		m.owner.loseRuns(w, "lease lapsed")
	}
}

func (m *durabilityModel) cancel(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "cancel") == 9 {
		m.put(t, workflow.CancelPrefix+draw(t, m.jobs, "job").rec.ID, struct{}{})
		m.met["cancel"] = true
	}
}

// feed gives the owner some of the changes that it has not received.
func (m *durabilityModel) feed(t *rapid.T) {
	changed := m.changes(t)
	m.deliver(changed[:rapid.IntRange(0, len(changed)).Draw(t, "rows")])
}

func (m *durabilityModel) changes(t *rapid.T) []rowstore.Row {
	page, err := m.store.Feed(context.Background(), testTable, m.observed, 0)
	if err != nil {
		t.Fatal(err)
	}
	return page.Rows
}

func (m *durabilityModel) deliver(rows []rowstore.Row) {
	for _, r := range rows {
		m.observed = max(m.observed, r.Version)
	}
	m.owner.Observe(rows)
}

// check fails the test if a new owner would not know an end that a worker may have
// forgotten, or a crash that is not reported again.
func (m *durabilityModel) check(t *rapid.T) {
	for _, w := range m.workers {
		m.acknowledge(w)
	}
	restored := restoreOwner(m.table, m.epoch+1)
	for _, e := range m.acknowledged {
		if lost := restored.lostEnd(e); lost != "" {
			t.Fatalf("the end %s of %s is acknowledged, and a new owner does not know %s", e.Kind, e.ID, lost)
		}
	}
	for _, c := range m.crashes {
		j := restored.jobs[c.task.Job]
		if !j.active() {
			continue
		}
		progress := j.progress.StepProgress(&j.record.Spec, stepOf(c.task))
		if !progress.IsDone(c.task.Index) && !slices.ContainsFunc(progress.Crashes[c.task.Index], func(known workflow.Crash) bool {
			return known.Worker == c.crash.Worker && known.Incarnation == c.crash.Incarnation
		}) {
			t.Fatalf("the crash %+v under %s is not reported again, and a new owner does not know it", c.crash, c.task)
		}
	}
}

// maxSettleRounds is more than the writes that the rows of all jobs need.
const maxSettleRounds = 300

// settle answers all writes and fails the test if an end or a crash stays unacknowledged.
func (m *durabilityModel) settle(t *rapid.T) {
	unacknowledged := 0
	for range maxSettleRounds {
		m.retryRefused()
		if m.beginWrite(t) {
			version, err := m.store.Commit(context.Background(), m.write.txn)
			m.write.answer(commitResult{version, err})
			m.write = nil
		}
		m.deliver(m.changes(t))
		for _, w := range m.workers {
			m.call(w)
		}
		m.check(t)
		unacknowledged = 0
		for _, w := range m.workers {
			unacknowledged += len(w.listed) + len(w.crashes)
		}
		if unacknowledged == 0 {
			return
		}
	}
	t.Fatalf("%d ends and crashes stay unacknowledged", unacknowledged)
}

// requiredFaults is what has to happen during the checks of all seeds.
var requiredFaults = []string{
	"applied", "not applied", "answer lost", "late", "refused", "conflict", "cancel", "small batch",
	"job ends during the write of a chunk", "takeover beside a write",
}

// TestAcknowledgedEndsAreRestored guards against an end that a worker may forget although a new
// owner would not know it, and against one that a worker may never forget, for any order of
// reports, writes and what becomes of them.
func TestAcknowledgedEndsAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkDurability(t, map[string]bool{}) })
}

// durabilitySeeds are seeds with which TestAcknowledgedEndsAreRestored fails if unstored changes of
// a job that ends are dropped, or handed over to its main row.
var durabilitySeeds = []string{"62", "151", "239"}

// TestAcknowledgedEndsAreRestoredSeeds runs TestAcknowledgedEndsAreRestored with the seeds in
// durabilitySeeds, and checks that what it has to prove something about has happened.
func TestAcknowledgedEndsAreRestoredSeeds(t *testing.T) {
	met := map[string]bool{}
	seedtest.Run(t, durabilitySeeds, func(t *rapid.T) { checkDurability(t, met) })
	for _, fault := range requiredFaults {
		if !met[fault] {
			t.Errorf("not met: %s", fault)
		}
	}
}

func checkDurability(t *rapid.T, met map[string]bool) {
	m := newDurabilityModel(t, met)
	actions := map[string]func(*rapid.T){
		"crash": m.crashWorker, "expire": m.expireWorker, "cancel": m.cancel, "limit": m.limitBatch,
		"late": m.applyLate, "retry": func(*rapid.T) { m.retryRefused() }, "feed": m.feed, "take over": m.takeOver, "": m.check,
	}
	for i := range 5 { // most actions are these
		actions[fmt.Sprint("end", i)] = m.reportEnds
		actions[fmt.Sprint("further end", i)] = m.reportEnds
		actions[fmt.Sprint("write", i)] = func(t *rapid.T) { m.beginWrite(t) }
		actions[fmt.Sprint("answer", i)] = m.endWrite
	}
	t.Repeat(actions)
	m.settle(t)
}
