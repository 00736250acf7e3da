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
	// rowsPerPage is the maximum number of rows per read.
	rowsPerPage = 500
	// recoveryPollInterval is how often recovery checks which agents have
	// announced themselves.
	recoveryPollInterval = 20 * time.Millisecond
	// retentionInterval is the time between two removals of old rows.
	retentionInterval = 10 * time.Minute
	// maxConcurrentNotifications limits the agents that a new owner notifies at a
	// time, and notifyTimeout limits each call. Agents that are down must not
	// delay the calls to others, because recovery waits for announcements only for
	// RecoveryWait, 1.5 s by default.
	maxConcurrentNotifications = 16
	notifyTimeout              = 500 * time.Millisecond
)

// recover rebuilds the state of the domain from the job rows and the agents'
// announcements, and then enables scheduling.
func (o *Owner) recover() {
	started := o.now()
	o.loadMembersRow()
	o.runAsync(o.notifyAgents)
	rows := o.loadRows()
	o.waitForAgents(started)
	o.mu.Lock()
	defer o.mu.Unlock()
	withoutGang := 0
	for _, j := range o.jobs {
		if j.recovered && j.gang == nil && !j.rec.State.Final() {
			withoutGang++
			o.recoverJob(j)
		}
	}
	o.requeueExemptJobs()
	for _, j := range o.jobs {
		if j.queued() && o.isHeld(j) {
			jobHolds.Add("agents", 1)
		}
	}
	o.recovering = false
	close(o.recovered)
	counters.Add("recoveries", 1)
	counters.Add("recovery_ns", int64(o.now()-started))
	klog.InfoS("Domain recovered", "domain", o.cfg.Domain, "epoch", o.cfg.Epoch, "rows", rows,
		"agents", len(o.agents), "awaited", len(o.awaitedAgents), "gangs", len(o.gangs), "orphans", withoutGang, "duration", o.now()-started)
	o.triggerCycle()
}

// loadRows reads the unfinished jobs of the domain and returns their number. It
// retries until it has read all, because a non-idempotent job must not be placed
// before its row is known. Recovery does not end before that.
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

// loadRow adopts the job of a row that belongs to the domain and is unfinished or
// in state unknown. It reports whether the row has such a job.
func (o *Owner) loadRow(row platformclient.Row) bool {
	var rec structs.Job
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		klog.ErrorS(err, "Cannot decode the row of a job", "key", row.Key)
		return false
	}
	if rec.Domain != o.cfg.Domain || rec.State.Final() && rec.State != structs.JobUnknown {
		return false
	}
	o.adoptRow(rec, row.Version)
	return true
}

// adoptRow registers the job of an earlier owner's row, unless the job is known,
// and returns the current record.
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
		// Attempts of an idempotent job are not marked in its row, so one may
		// have run.
		j.mayHaveRun, j.mayBeRunning, j.rec.Verdict = true, true, verdict.MayHaveRun
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
	// The rank 0 named in the row of an idempotent job is queried immediately.
	// Urgent jobs are held only until recovery ends, and the reply should arrive
	// by then.
	if j.gang == nil && (!o.recovering || j.rec.Idempotent && rowNamesStartedGang(j)) {
		o.recoverJob(j)
	}
	return j.rec
}

// linkGang links a job to its running gang if the gang was reported before the
// job became known. Of several gangs it takes that of the latest attempt, because
// earlier attempts are ending. The caller holds o.mu.
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
		o.attachGang(j, latest)
	}
}

// waitForAgents waits until the agents of the previous owner, and at least one
// agent, have announced themselves. It ends at the latest when RecoveryWait has
// passed since recovery started.
func (o *Owner) waitForAgents(started time.Duration) {
	for o.ctx.Err() == nil && o.now()-started < o.cfg.Timing.RecoveryWait {
		o.mu.Lock()
		missing := len(o.awaitedAgents) > 0
		anyAnnounced := len(o.agents) > 0
		o.mu.Unlock()
		if !missing && anyAnnounced {
			return
		}
		select {
		case <-time.After(recoveryPollInterval):
		case <-o.ctx.Done():
		}
	}
}

// rowNamesStartedGang reports whether the row of a job names a gang that may have
// run.
func rowNamesStartedGang(j *job) bool {
	return j.rec.GangID != "" && (j.rec.State == structs.JobPlacing || j.rec.State == structs.JobRunning)
}

// recoverJob handles a job without a known gang. If its row names a gang that may
// have run, the job is held for it and rank 0 is queried; otherwise the job is
// queued. The caller holds o.mu.
func (o *Owner) recoverJob(j *job) {
	if rowNamesStartedGang(j) {
		o.addGangFromRow(j)
		return
	}
	j.rec.GangID = ""
	o.setState(j, structs.JobWaiting, j.rec.Verdict, nil)
	o.triggerCycle()
}

// agentAt returns the ID of the agent with the RPC address, or "". It also finds
// agents that have not announced themselves since the takeover. The caller holds
// o.mu.
func (o *Owner) agentAt(addr string) string {
	for id, a := range o.agents {
		if a.info.Addr == addr {
			return id
		}
	}
	for id, lastAddr := range o.awaitedAgents {
		if addr != "" && lastAddr == addr {
			return id
		}
	}
	return ""
}

// jobForOutcome returns the job of an outcome if this owner does not know the job
// yet. It is created from its row or, for an idempotent job without a row, from
// the outcome. The job is nil if the outcome is not needed.
func (o *Owner) jobForOutcome(ctx context.Context, out *structs.GangOutcome) (*job, error) {
	row, err := o.cfg.Table.Get(ctx, structs.JobRowKey(out.Gang.JobID))
	switch {
	case err == nil:
		var rec structs.Job
		if err := json.Unmarshal(row.Value, &rec); err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "row %s: %v", row.Key, err)
		}
		if rec.State.Final() && rec.State != structs.JobUnknown {
			return nil, nil // its final record is stored already
		}
		o.adoptRow(rec, row.Version)
	case verdict.HasCode(err, verdict.CodeNotFound) && out.Gang.Idempotent && out.Phase == structs.PhaseFinished:
		o.addJobFromOutcome(out)
	case verdict.HasCode(err, verdict.CodeNotFound) && out.Gang.Idempotent:
		// Without its payload the job cannot be tried again here. The entry whose
		// requester waits submits it again.
		return nil, nil
	default:
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[out.Gang.JobID], nil
}

// addJobFromOutcome registers the job of an outcome, unless the job is known by
// now.
func (o *Owner) addJobFromOutcome(out *structs.GangOutcome) {
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

// persistMembersRow writes the row members/<domain> with the agents that the next
// owner should wait for. The caller holds o.mu.
func (o *Owner) persistMembersRow() {
	if !o.membersRowLoaded {
		return // the previous owner's list is not known yet
	}
	addrs := maps.Clone(o.awaitedAgents)
	for id, a := range o.agents {
		// A draining agent leaves when its tasks have ended; once lost, it is not
		// expected back.
		if m, _ := o.registry.Member(id); !m.Draining || m.State() != structs.WorkerLost {
			addrs[id] = a.info.Addr
		}
	}
	if len(addrs) == 0 && o.membersRow == nil {
		return
	}
	row := memberRow{Agents: slices.Sorted(maps.Keys(addrs))}
	for _, id := range row.Agents {
		row.Addrs = append(row.Addrs, addrs[id])
	}
	value, err := json.Marshal(row)
	if err != nil || bytes.Equal(value, o.membersRow) {
		return
	}
	o.membersRow = value
	// The list only shortens the wait of the next recovery, so a failed write is
	// not retried; the next change writes the list again.
	if err := o.cfg.Batch.Enqueue(platformclient.Write{Key: membersRowKey(o.cfg.Domain), Value: value, Fence: &o.cfg.Fence}, func() {}); err != nil {
		counters.Add("rows_skipped", 1)
	}
}

func membersRowKey(domain string) string { return "members/" + domain }

// decodeMembersRow returns the RPC addresses by agent ID. They are empty in a row
// of an earlier version.
func decodeMembersRow(value []byte) map[string]string {
	var row memberRow
	if len(value) == 0 {
		return nil
	}
	if err := json.Unmarshal(value, &row); err != nil {
		klog.ErrorS(err, "Cannot decode the row with the agents of the domain")
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

// retentionLoop periodically removes the rows of jobs that ended more than
// Timing.Retention ago.
func (o *Owner) retentionLoop() {
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

// removeOldRows makes one pass over the job rows, and deletes those of this domain
// whose retention has ended.
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
