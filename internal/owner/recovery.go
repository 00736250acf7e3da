package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Limits of recovery and retention.
const (
	// rowsPerPage is the number of rows that one read returns.
	rowsPerPage = 500
	// recoveryPollInterval is how often recovery looks for announced agents.
	recoveryPollInterval = 20 * time.Millisecond
	// retentionInterval is the time between two removals of old rows.
	retentionInterval = 10 * time.Minute
	// callsAtOnce limits the agents that a new owner calls at a time, and
	// callTimeout each call: agents that are down must not delay the others, and
	// recovery lasts 2 s.
	callsAtOnce = 16
	callTimeout = 500 * time.Millisecond
)

// recover rebuilds the state of the domain from the job rows and from what the
// agents announce, and then lets scheduling begin.
func (o *Owner) recover() {
	started := o.now()
	o.loadMembers()
	o.goRun(o.callAgents)
	rows := o.loadRows()
	o.awaitMembers(started)
	o.mu.Lock()
	defer o.mu.Unlock()
	orphans := 0
	for _, j := range o.jobs {
		if j.recovered && j.gang == nil && !j.rec.State.Final() {
			orphans++
			o.recoverJob(j)
		}
	}
	o.endUrgentHolds()
	for _, j := range o.jobs {
		if j.queued() && o.held(j) {
			holds.Add("agents", 1)
		}
	}
	o.recovering = false
	close(o.recovered)
	counters.Add("recoveries", 1)
	counters.Add("recovery_ns", int64(o.now()-started))
	klog.InfoS("Domain recovered", "domain", o.cfg.Domain, "epoch", o.cfg.Epoch, "rows", rows,
		"agents", len(o.agents), "awaited", len(o.awaited), "gangs", len(o.gangs), "orphans", orphans, "duration", o.now()-started)
	o.kick()
}

// loadRows reads the unfinished jobs of the domain. It repeats until it has
// read all: a non-idempotent job must not be placed before its row is known.
// While the platform is out of reach idempotent jobs are placed all the same,
// since a duplicate of one does no harm.
func (o *Owner) loadRows() int {
	after, n := "", 0
	for o.ctx.Err() == nil {
		rows, err := o.cfg.Table.List(o.ctx, "jobs/", after, rowsPerPage)
		if err != nil {
			select {
			case <-o.ctx.Done():
			case <-time.After(retry.Jitter(storeRetryDelay)):
			}
			continue
		}
		for _, row := range rows {
			if o.loadRow(row) {
				n++
			}
		}
		if len(rows) < rowsPerPage {
			return n
		}
		after = rows[len(rows)-1].Key
	}
	return n
}

func (o *Owner) loadRow(row platformclient.Row) bool {
	var rec structs.Job
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		klog.ErrorS(err, "Row is not a job", "key", row.Key)
		return false
	}
	if rec.Domain != o.cfg.Domain || rec.State.Final() && rec.State != structs.JobUnknown {
		return false
	}
	o.adoptRow(rec, row.Version)
	return true
}

// adoptRow enters the record of an earlier owner and returns the present one.
func (o *Owner) adoptRow(rec structs.Job, version uint64) structs.Job {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j := o.jobs[rec.ID]; j != nil {
		return j.rec
	}
	age := max(time.Since(rec.SubmittedAt), 0)
	j := newJob(rec, o.now()-age)
	j.rowVersion, j.recovered = version, true
	if rec.Idempotent && !rec.State.Final() {
		// Attempts of an idempotent job are not marked in its row.
		j.started, j.mayRun, j.rec.Verdict = true, true, verdict.MayHaveRun
	}
	if d := rec.Spec.DeadlineSeconds; d > 0 {
		j.deadline = j.submitted + structs.Seconds(d)
	}
	o.addJob(j)
	if rec.State.Final() {
		o.endJob(j)
		return rec
	}
	o.linkGang(j)
	// The rank 0 that an idempotent job's row names is asked at once, so that an
	// urgent job, which is held no longer than recovery lasts, has the answer.
	if j.gang == nil && (!o.recovering || j.rec.Idempotent && marked(j)) {
		o.recoverJob(j)
	}
	return j.rec
}

// linkGang finds the running gang of a job that became known after it: that of
// the latest attempt, as an earlier one is at its end. The caller holds o.mu.
func (o *Owner) linkGang(j *job) {
	var latest *gang
	for _, g := range o.gangs {
		if g.desc.JobID != j.rec.ID || g.state != gangRunning || g.job != nil {
			continue
		}
		if latest == nil || g.desc.Attempt > latest.desc.Attempt {
			latest = g
		}
	}
	if latest != nil {
		latest.job, latest.shape = j, j.rec.Shape
		o.attach(j, latest)
	}
}

// awaitMembers waits until the agents of the last owner have announced.
func (o *Owner) awaitMembers(started time.Duration) {
	for o.ctx.Err() == nil && o.now()-started < o.cfg.Timing.RecoveryWait {
		o.mu.Lock()
		missing := len(o.awaited) > 0
		known := len(o.agents) > 0
		o.mu.Unlock()
		if !missing && known {
			return
		}
		select {
		case <-time.After(recoveryPollInterval):
		case <-o.ctx.Done():
		}
	}
}

// marked reports whether the row of a job names a gang that may have run.
func marked(j *job) bool {
	return j.rec.GangID != "" && (j.rec.State == structs.JobPlacing || j.rec.State == structs.JobRunning)
}

// recoverJob decides about a job without a known gang: the gang that its row
// names is resolved at its rank 0. The caller holds o.mu.
func (o *Owner) recoverJob(j *job) {
	if marked(j) {
		o.inherit(j)
		return
	}
	j.rec.GangID = ""
	o.setState(j, structs.JobWaiting, j.rec.Verdict, nil)
	o.kick()
}

// agentAt returns the ID of the agent with the address, or "".
func (o *Owner) agentAt(addr string) string {
	for id, a := range o.agents {
		if a.info.Addr == addr {
			return id
		}
	}
	for id, known := range o.awaited {
		if addr != "" && known == addr {
			return id
		}
	}
	return ""
}

// jobOfOutcome returns the job of an outcome that this owner does not know:
// from its row or, for an idempotent job that never had one, from the outcome.
func (o *Owner) jobOfOutcome(ctx context.Context, out *structs.GangOutcome) (*job, error) {
	row, err := o.cfg.Table.Get(ctx, structs.RowKey(out.Gang.JobID))
	switch {
	case err == nil:
		var rec structs.Job
		if err := json.Unmarshal(row.Value, &rec); err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "row %s: %v", row.Key, err)
		}
		if rec.State.Final() && rec.State != structs.JobUnknown {
			return nil, nil // answered already
		}
		o.adoptRow(rec, row.Version)
	case verdict.HasCode(err, verdict.CodeNotFound) && out.Gang.Idempotent && out.Phase == structs.PhaseFinished:
		o.adoptOutcome(out)
	case verdict.HasCode(err, verdict.CodeNotFound) && out.Gang.Idempotent:
		// Without its payload the job cannot be tried again here; the entry whose
		// requester waits submits it again.
		return nil, nil
	default:
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[out.Gang.JobID], nil
}

func (o *Owner) adoptOutcome(out *structs.GangOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.jobs[out.Gang.JobID] != nil {
		return
	}
	o.addJob(newJob(structs.Job{
		ID: out.Gang.JobID, Domain: o.cfg.Domain, State: structs.JobRunning,
		Spec:       structs.JobSpec{Account: out.Gang.Account, Kind: out.Gang.Kind},
		Shape:      structs.Shape{Workers: len(out.Gang.Members)},
		Idempotent: out.Gang.Idempotent, Attempt: out.Gang.Attempt, GangID: out.Gang.ID,
		MaxAttempts: out.Gang.Attempt, SubmittedAt: time.Now().UTC(),
	}, o.now()))
}

// persistMembers writes the list of agents for the next owner. The caller
// holds o.mu.
func (o *Owner) persistMembers() {
	if !o.membersRead {
		return // the list of the last owner is not known yet
	}
	addrs := maps.Clone(o.awaited)
	for id, a := range o.agents {
		// A lost agent that was draining has left when its tasks had ended.
		if m, _ := o.registry.Member(id); !m.Draining || m.State() != structs.WorkerLost {
			addrs[id] = a.info.Addr
		}
	}
	if len(addrs) == 0 && o.members == nil {
		return
	}
	row := memberRow{Agents: slices.Sorted(maps.Keys(addrs))}
	for _, id := range row.Agents {
		row.Addrs = append(row.Addrs, addrs[id])
	}
	value, err := json.Marshal(row)
	if err != nil || bytes.Equal(value, o.members) {
		return
	}
	o.members = value
	// The list only shortens the wait of the next recovery: a failed write is
	// made good by the next change.
	if err := o.cfg.Batch.Enqueue(platformclient.Write{Key: memberKey(o.cfg.Domain), Value: value, Fence: &o.cfg.Fence}, func() {}); err != nil {
		counters.Add("rows_skipped", 1)
	}
}

func memberKey(domain string) string { return "members/" + domain }

// decodeMembers returns the addresses by agent; they are empty in a row of an
// earlier version.
func decodeMembers(value []byte) map[string]string {
	var row memberRow
	if len(value) == 0 {
		return nil
	}
	if err := json.Unmarshal(value, &row); err != nil {
		klog.ErrorS(err, "Row is not a list of agents")
		return nil
	}
	members := make(map[string]string, len(row.Agents))
	for i, id := range row.Agents {
		members[id] = ""
		if i < len(row.Addrs) {
			members[id] = row.Addrs[i]
		}
	}
	return members
}

// runRetention removes the rows of jobs that ended long ago.
func (o *Owner) runRetention() {
	tick := time.NewTicker(retentionInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-tick.C:
			o.removeOldRows()
		}
	}
}

func (o *Owner) removeOldRows() {
	after := ""
	for o.ctx.Err() == nil {
		rows, err := o.cfg.Table.List(o.ctx, "jobs/", after, rowsPerPage)
		if err != nil || len(rows) == 0 {
			return
		}
		txn := platformclient.Txn{Checks: []platformclient.Check{o.cfg.Fence}}
		for _, row := range rows {
			var rec structs.Job
			if json.Unmarshal(row.Value, &rec) == nil && rec.Domain == o.cfg.Domain && rec.State.Final() &&
				time.Since(rec.EndedAt) > o.cfg.Timing.Retention {
				txn.Checks = append(txn.Checks, platformclient.Check{Key: row.Key, Version: row.Version})
				txn.Deletes = append(txn.Deletes, row.Key)
			}
		}
		if len(txn.Deletes) > 0 {
			if _, err := o.cfg.Table.Commit(o.ctx, txn); err == nil {
				counters.Add("rows_removed", int64(len(txn.Deletes)))
			}
		}
		after = rows[len(rows)-1].Key
	}
}
