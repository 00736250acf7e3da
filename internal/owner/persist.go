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

// Delays of writes.
const (
	// writeBehindDelay delays the first row of an idempotent job whose requester
	// waits: most short jobs end before it and cost one write.
	writeBehindDelay = 200 * time.Millisecond
	// storeRetryDelay and maxStoreRetryDelay bound the backoff while the
	// platform is out of reach.
	storeRetryDelay    = 50 * time.Millisecond
	maxStoreRetryDelay = 2 * time.Second
)

func itoa(n int) string { return strconv.Itoa(n) }

// persist writes the row of j behind. The caller holds o.mu.
func (o *Owner) persist(j *job) { o.persistAfter(j, 0) }

// persistAfter writes the row of j after a delay. Later changes before the
// write are part of it. The caller holds o.mu.
func (o *Owner) persistAfter(j *job, delay time.Duration) {
	j.dirty = true
	if j.writing || o.stopped {
		if delay == 0 && j.hurry != nil {
			close(j.hurry)
			j.hurry = nil
		}
		return
	}
	j.writing = true
	hurry := make(chan struct{})
	if delay > 0 {
		j.hurry = hurry
	}
	o.goRun(func() { o.writeRow(j, delay, hurry) })
}

// writeRow writes the row of j until it holds the present record. Every write
// is conditional on the row's version, so that an owner that was paused cannot
// overwrite the record of a newer one.
func (o *Owner) writeRow(j *job, delay time.Duration, hurry <-chan struct{}) {
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-hurry:
		case <-o.ctx.Done():
		}
	}
	for backoff := storeRetryDelay; ; backoff = min(2*backoff, maxStoreRetryDelay) {
		err := o.writeOnce(j)
		if err == nil {
			return
		}
		if verdict.HasCode(err, verdict.CodeStaleEpoch) || verdict.HasCode(err, verdict.CodeTombstoned) {
			o.endWriting(j)
			return
		}
		counters.Add("row_retries", 1)
		select {
		case <-time.After(retry.Jitter(backoff)):
		case <-o.ctx.Done():
			o.endWriting(j)
			return
		}
	}
}

func (o *Owner) endWriting(j *job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j.writing, j.hurry = false, nil
	j.wake()
}

// writeFenced writes a row if it has the version and no other owner has taken
// over. Error: stale_epoch if one has; this ownership then ends. A new owner
// therefore finds every row that an earlier one has written when it reads them,
// however long the earlier one was paused.
func (o *Owner) writeFenced(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	next, err := o.cfg.Batch.Write(ctx, platformclient.Write{Key: key, Value: value, Check: &version, Fence: &o.cfg.Fence})
	if verdict.HasCode(err, verdict.CodeStaleEpoch) {
		counters.Add("writes_fenced", 1)
		o.cfg.NoticeEpoch(o.cfg.Epoch + 1)
	}
	return next, err
}

// writeOnce writes the present record of j. It returns nil when nothing more
// is to be written.
func (o *Owner) writeOnce(j *job) error {
	ctx := trace.ContextWithRemoteSpanContext(o.ctx, j.span)
	version, err := o.currentVersion(ctx, j)
	if err != nil {
		return err
	}
	o.mu.Lock()
	j.hurry = nil
	value := encodeRow(&j.rec)
	key := structs.RowKey(j.rec.ID)
	o.mu.Unlock()
	next, err := o.writeFenced(ctx, key, value, version)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		j.rowUnknown = true
		return err
	}
	j.rowVersion, j.rowUnknown = next, false
	if !bytes.Equal(value, encodeRow(&j.rec)) {
		return verdict.Refuse(verdict.CodeConflict, "the record changed while it was written")
	}
	j.dirty, j.writing = false, false
	if j.rec.Result != nil && !j.rec.Result.Durable {
		r := *j.rec.Result
		r.Durable = true
		j.rec.Result = &r
	}
	j.wake()
	return nil
}

// storeObject stores data under name and repeats until it has; it returns false
// if the ownership ended before.
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

// adoptMark takes over the attempt mark that an earlier owner wrote after this
// one had read the row: the job may run, and its gang is not known here. Its
// outcome finishes the job later. The caller holds o.mu.
func (o *Owner) adoptMark(j *job, row platformclient.Row) {
	var rec structs.Job
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return
	}
	marked := rec.State == structs.JobPlacing || rec.State == structs.JobRunning
	// The outcome of the attempt can have come before the row was read.
	told := j.rec.State.Final() && j.rec.Verdict != verdict.NotRun
	if told || rec.Idempotent || !marked || row.Version == j.rowVersion || rec.GangID == j.rec.GangID ||
		fenceOf(rec.GangID).Epoch() >= o.cfg.Epoch {
		return
	}
	klog.InfoS("Attempt of the last owner adopted", "job", rec.ID, "gang", rec.GangID, "was", j.rec.State, "domain", o.cfg.Domain)
	counters.Add("marks_adopted", 1)
	j.rec.GangID, j.rec.Attempt = rec.GangID, rec.Attempt
	j.rec.Rank0, j.rec.Rank0Incarnation = rec.Rank0, rec.Rank0Incarnation
	cause := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "an attempt of the last owner may have run")
	if j.rec.State.Final() {
		j.rec.State, j.rec.Verdict, j.rec.Error = structs.JobUnknown, verdict.MayHaveRun, cause
		j.wake()
		return
	}
	o.setState(j, structs.JobUnknown, verdict.MayHaveRun, cause)
}

// flushed reports whether all rows are written, and lets delayed ones go.
func (o *Owner) flushed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.jobs {
		if j.dirty || j.storing {
			if j.hurry != nil {
				close(j.hurry)
				j.hurry = nil
			}
			return false
		}
	}
	return true
}
