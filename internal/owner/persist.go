package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/trace"
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Delays of writes to the platform.
const (
	// writeBehindDelay delays the first row of an idempotent job whose requester
	// waits. Most short jobs end within the delay and then cost a single write.
	writeBehindDelay = 200 * time.Millisecond
	// storeRetryDelay and maxStoreRetryDelay are the initial and maximum backoff
	// of platform calls that failed.
	storeRetryDelay    = 50 * time.Millisecond
	maxStoreRetryDelay = 2 * time.Second
)

func formatInt(n int) string { return strconv.Itoa(n) }

// persist starts to write the row of j in the background. The caller holds o.mu.
func (o *Owner) persist(j *job) { o.persistAfter(j, 0) }

// persistAfter is persist with a delay. The write includes later changes that are
// made before it. The caller holds o.mu.
func (o *Owner) persistAfter(j *job, delay time.Duration) {
	j.dirty = true
	if j.writerRunning || o.stopped {
		if delay == 0 && j.writeNow != nil {
			close(j.writeNow)
			j.writeNow = nil
		}
		return
	}
	j.writerRunning = true
	expedite := make(chan struct{})
	if delay > 0 {
		j.writeNow = expedite
	}
	o.runAsync(func() { o.writeRow(j, delay, expedite) })
}

// writeRow writes the row of j until the row holds the current record. Every
// write is conditional on the row's version, so that an owner that was paused
// cannot overwrite the record of a newer one.
func (o *Owner) writeRow(j *job, delay time.Duration, expedite <-chan struct{}) {
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-expedite:
		case <-o.ctx.Done():
		}
	}
	for backoff := storeRetryDelay; ; backoff = min(2*backoff, maxStoreRetryDelay) {
		err := o.writeRowOnce(j)
		if err == nil {
			return
		}
		if verdict.HasCode(err, verdict.CodeStaleEpoch) || verdict.HasCode(err, verdict.CodeTombstoned) {
			o.stopWriter(j)
			return
		}
		counters.Add("row_retries", 1)
		select {
		case <-time.After(retry.Jitter(backoff)):
		case <-o.ctx.Done():
			o.stopWriter(j)
			return
		}
	}
}

// stopWriter records that the writer of j's row has given up.
func (o *Owner) stopWriter(j *job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j.writerRunning, j.writeNow = false, nil
	j.notifyWaiters()
}

// writeFenced writes a row if it still has the given version and no other owner
// has taken over. It returns stale_epoch if another owner has, and then requests
// the end of this ownership. A new owner therefore finds every row that an
// earlier owner has written when it reads the rows, however long the earlier
// owner was paused.
func (o *Owner) writeFenced(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	next, err := o.cfg.Batch.Write(ctx, platformclient.Write{Key: key, Value: value, Check: &version, Fence: &o.cfg.Fence})
	if verdict.HasCode(err, verdict.CodeStaleEpoch) {
		counters.Add("writes_fenced", 1)
		o.cfg.OnHigherEpoch(o.cfg.Epoch + 1)
	}
	return next, err
}

// writeRowOnce makes one attempt to write the current record of j. It returns nil
// when nothing is left to be written.
func (o *Owner) writeRowOnce(j *job) error {
	ctx := trace.ContextWithRemoteSpanContext(o.ctx, j.span)
	version, err := o.currentVersion(ctx, j)
	if err != nil {
		return err
	}
	o.mu.Lock()
	j.writeNow = nil
	value := encodeRow(&j.rec)
	key := structs.JobRowKey(j.rec.ID)
	o.mu.Unlock()
	next, err := o.writeFenced(ctx, key, value, version)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		j.rowVersionUnknown = true
		return err
	}
	j.rowVersion, j.rowVersionUnknown = next, false
	if !bytes.Equal(value, encodeRow(&j.rec)) {
		return verdict.Refuse(verdict.CodeConflict, "the record changed while it was written")
	}
	j.dirty, j.writerRunning = false, false
	if j.rec.Result != nil && !j.rec.Result.Durable {
		r := *j.rec.Result
		r.Durable = true
		j.rec.Result = &r
	}
	j.notifyWaiters()
	return nil
}

// storeObject writes an object and retries until it succeeds. It returns false if
// the ownership ended before.
func (o *Owner) storeObject(name string, data []byte) bool {
	for delay := storeRetryDelay; ; delay = min(2*delay, maxStoreRetryDelay) {
		err := o.cfg.Objects.PutObject(o.ctx, name, data)
		if err == nil {
			return true
		}
		counters.Add("object_retries", 1)
		select {
		case <-o.ctx.Done():
			return false
		case <-time.After(retry.Jitter(delay)):
		}
	}
}

// adoptAttemptMark applies an attempt mark that an earlier owner wrote after this
// owner had read the row. The attempt may be running and its gang is not known
// here, so the job becomes unknown; a later report of the outcome finishes it.
// The caller holds o.mu.
func (o *Owner) adoptAttemptMark(j *job, row platformclient.Row) {
	var rec structs.Job
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return
	}
	marked := rec.State == structs.JobPlacing || rec.State == structs.JobRunning
	// The outcome of the attempt may have been reported before the row was read.
	reported := j.rec.State.Final() && j.rec.Verdict != verdict.NotRun
	if reported || rec.Idempotent || !marked || row.Version == j.rowVersion || rec.GangID == j.rec.GangID ||
		fenceFromGangID(rec.GangID).Epoch() >= o.cfg.Epoch {
		return
	}
	klog.InfoS("Adopted an attempt of the previous owner", "job", rec.ID, "gang", rec.GangID, "was", j.rec.State, "domain", o.cfg.Domain)
	counters.Add("marks_adopted", 1)
	j.rec.GangID, j.rec.Attempt = rec.GangID, rec.Attempt
	j.rec.Rank0, j.rec.Rank0Incarnation = rec.Rank0, rec.Rank0Incarnation
	cause := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "an attempt of the last owner may have run")
	if j.rec.State.Final() {
		j.rec.State, j.rec.Verdict, j.rec.Error = structs.JobUnknown, verdict.MayHaveRun, cause
		j.notifyWaiters()
		return
	}
	o.setState(j, structs.JobUnknown, verdict.MayHaveRun, cause)
}

// flushed reports whether all rows and objects are written. It ends the delay of
// a delayed write that it finds.
func (o *Owner) flushed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.jobs {
		if j.dirty || j.storingObject {
			if j.writeNow != nil {
				close(j.writeNow)
				j.writeNow = nil
			}
			return false
		}
	}
	return true
}
