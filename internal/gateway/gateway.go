package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Delays of the gateway.
const (
	// meanRetryDelay is the mean delay before a write with an unknown outcome is
	// retried.
	meanRetryDelay = 40 * time.Millisecond
	// outageRetryAfter is the Retry-After sent to clients while the store is
	// unavailable. Clients time out after about 3 s; outages last several seconds.
	outageRetryAfter = time.Second
	// spareWriteDelay is the time without an answer to the write of a record after which
	// it is also written to another partition. A store that is 80 times as slow as usual
	// answers within it.
	spareWriteDelay = 900 * time.Millisecond
	// probeTimeout limits the call that finds out whether a lost store answers again,
	// and so how long a refusal takes while it does not.
	probeTimeout = 150 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	Store  rowstore.Store
	Mirror *rowstore.Mirror
	Table  string
	Log    *eventlog.Log
	// MaxRowBytes is the size of the largest value that the store keeps; 0 for
	// rowstore.MaxRowBytes.
	MaxRowBytes int
	// UnixMillis returns the wall clock time.
	UnixMillis func() int64
	// OnWrite is called with each row that the gateway has written; nil for nothing.
	OnWrite func(rowstore.Row)
}

// Gateway accepts jobs, reports their state and cancels them. It is safe for
// concurrent use.
type Gateway struct {
	opts Options

	probes singleflight.Group

	mu   sync.Mutex
	jobs map[string]*jobState
}

// jobState is the gateway's cached state of a job.
type jobState struct {
	queue     string
	recorded  bool // the job's record row has been seen
	scheduled bool // the job runs at set times
	cancelled bool
	progress  *workflow.Progress
}

// New returns a gateway with no jobs. Rows are passed to it with Observe.
func New(o Options) *Gateway {
	o.MaxRowBytes = cmp.Or(o.MaxRowBytes, rowstore.MaxRowBytes)
	return &Gateway{opts: o, jobs: map[string]*jobState{}}
}

// Observe updates the cached jobs from changed rows of the table.
func (g *Gateway) Observe(rows []rowstore.Row) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range rows {
		g.applyRow(r)
	}
}

func (g *Gateway) applyRow(r rowstore.Row) {
	prefix, id := workflow.SplitKey(r.Key)
	switch prefix {
	case workflow.RecordPrefix, workflow.SpareRecordPrefix, workflow.CancelPrefix, workflow.ProgressPrefix:
	default:
		return
	}
	job := g.jobs[id]
	if job == nil {
		if r.Deleted {
			return
		}
		job = &jobState{}
		g.jobs[id] = job
	}
	switch prefix {
	case workflow.RecordPrefix, workflow.SpareRecordPrefix:
		if r.Deleted {
			delete(g.jobs, id)
			return
		}
		var rec workflow.Record
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			g.opts.Log.Event("job_row_unreadable", "job", id, "version", r.Version, "err", err.Error())
			return
		}
		job.recorded, job.queue, job.scheduled = true, rec.Queue, rec.Spec.Occurrences > 0
	case workflow.CancelPrefix:
		job.cancelled = !r.Deleted
	case workflow.ProgressPrefix:
		if r.Deleted {
			return
		}
		p := &workflow.Progress{}
		if err := json.Unmarshal(r.Value, p); err != nil {
			g.opts.Log.Event("progress_row_unreadable", "job", id, "version", r.Version, "err", err.Error())
			return
		}
		job.progress = p
	}
}

// cachedState returns the queue and the state of a job as the cache has them, and
// whether the cache has the job's record.
func (g *Gateway) cachedState(id string) (queue string, state workflow.State, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	job := g.jobs[id]
	if job == nil || !job.recorded {
		return "", "", false
	}
	return job.queue, workflow.ClientState(job.progress, job.cancelled), true
}

// state returns the state of a job from the cache, or from the store if the cache
// does not have it. known is false if the queue has no such job. An error means
// that the store could not be read.
func (g *Gateway) state(ctx context.Context, q *Queue, id string) (state workflow.State, known bool, err error) {
	queue, state, known := g.cachedState(id)
	if known {
		return state, queue == q.Name, nil
	}
	row, exists, err := g.opts.Store.Get(ctx, g.opts.Table, workflow.RecordPrefix+id)
	if err == nil && !exists {
		row, exists, err = g.opts.Store.Get(ctx, g.opts.Table, workflow.SpareRecordPrefix+id)
	}
	if err != nil {
		return "", false, err
	}
	if !exists {
		return "", false, nil
	}
	g.opts.Mirror.RecordRow(row)
	for _, prefix := range []string{workflow.ProgressPrefix, workflow.CancelPrefix} {
		row, exists, err := g.opts.Store.Get(ctx, g.opts.Table, prefix+id)
		if err != nil {
			return "", false, err
		}
		if exists {
			g.opts.Mirror.RecordRow(row)
		}
	}
	queue, state, known = g.cachedState(id)
	return state, known && queue == q.Name, nil
}

// Submit accepts a job. It returns nil once the job's row is stored, also if it
// was stored by an earlier call. An error with verdict NotRun means that the job is
// not stored and will not be.
func (g *Gateway) Submit(ctx context.Context, q *Queue, account, id string, spec workflow.Spec) error {
	if queue, _, known := g.cachedState(id); known {
		return g.checkDuplicate(q, queue, id)
	}
	if err := spec.CheckSize(); err != nil {
		return verdict.Refuse(verdict.CodeTooLarge, "%v", err)
	}
	if g.opts.Mirror.StoreLost() && !g.storeAnswers(ctx, id) {
		return rowstore.Unavailable(verdict.NotRun, "the store is out of reach").WithRetryAfter(outageRetryAfter)
	}
	rec := workflow.Record{
		ID: id, Queue: q.Name, Account: account, Pool: q.Pool, Spec: spec, Terms: q.Terms, AcceptedAt: g.opts.UnixMillis(),
	}
	value, err := json.Marshal(&rec)
	if err != nil {
		return verdict.Refuse(verdict.CodeInternal, "encode job: %v", err)
	}
	if len(value) > g.opts.MaxRowBytes {
		return verdict.Refuse(verdict.CodeTooLarge, "the job takes %d bytes, at most %d are stored", len(value), g.opts.MaxRowBytes)
	}
	key, version, err := g.createRow(ctx, value, workflow.RecordPrefix+id, workflow.SpareRecordPrefix+id)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		for _, r := range conflict.Rows {
			g.opts.Mirror.RecordRow(r)
		}
		queue, _, known := g.cachedState(id)
		if !known {
			return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "job %s is stored and cannot be read", id)
		}
		return g.checkDuplicate(q, queue, id)
	}
	if err != nil {
		return err
	}
	g.recordWritten(key, value, version)
	return nil
}

// recordWritten applies a row that this gateway has written.
func (g *Gateway) recordWritten(key string, value []byte, version uint64) {
	row := rowstore.Row{Table: g.opts.Table, Key: key, Value: value, Version: version}
	g.opts.Mirror.RecordRow(row)
	if g.opts.OnWrite != nil {
		g.opts.OnWrite(row)
	}
}

// storeAnswers reports whether the store answers again although it was lost. It reads the
// job's row, which is in the partition that a submission writes to. Concurrent callers
// share one call.
func (g *Gateway) storeAnswers(ctx context.Context, id string) bool {
	key := workflow.RecordPrefix + id
	_, err, _ := g.probes.Do(workflow.Partition(key), func() (any, error) {
		ctx, cancel := context.WithTimeout(rowstore.Probe(context.WithoutCancel(ctx)), probeTimeout)
		defer cancel()
		_, _, err := g.opts.Store.Get(ctx, g.opts.Table, key)
		return nil, err
	})
	return err == nil
}

// checkDuplicate returns an error if a job that is already stored belongs to a queue
// other than q.
func (g *Gateway) checkDuplicate(q *Queue, queue, id string) error {
	if queue != q.Name {
		return verdict.Refuse(verdict.CodeKeyReused, "job %s exists in another queue", id)
	}
	return nil
}

// createRow writes a row that must not exist yet, under the first of the keys whose
// partition accepts it, and returns that key. While the outcome is unknown it retries,
// until the store is found to be unavailable or ctx ends. It returns a conflict if a row
// with one of the keys exists.
func (g *Gateway) createRow(ctx context.Context, value []byte, keys ...string) (string, uint64, error) {
	outcome := verdict.NotRun
	for {
		r := g.createOnce(ctx, value, keys)
		var conflict *rowstore.Conflict
		if r.err == nil || errors.As(r.err, &conflict) {
			return r.key, r.version, r.err
		}
		if verdict.Of(r.err) != verdict.NotRun {
			outcome = verdict.MayHaveRun
		}
		if outcome == verdict.NotRun || rowstore.RefusedForGood(r.err) || g.opts.Mirror.StoreLost() || !retry.Sleep(ctx, retry.Jitter(2*meanRetryDelay)) {
			return "", 0, verdict.From(r.err).WithVerdict(outcome).WithRetryAfter(outageRetryAfter)
		}
	}
}

// writeResult is the result of the write of a row.
type writeResult struct {
	key     string
	version uint64
	err     error
}

// createOnce writes the row under the first key, and under each further one once the write
// before it has failed or has been without an answer for spareWriteDelay. A value that the
// store has refused for good is not sent again. It returns the first success or conflict. Otherwise it returns the last error, with the verdict
// MayHaveRun if one of the writes may take effect.
func (g *Gateway) createOnce(ctx context.Context, value []byte, keys []string) writeResult {
	results := make(chan writeResult, len(keys))
	outcome, started, ended := verdict.NotRun, 0, 0
	var last writeResult
	for ended < len(keys) {
		var patience <-chan time.Time
		if started < len(keys) && started == ended {
			key := keys[started]
			started++
			go func() { results <- g.write(ctx, key, value) }()
		}
		if started < len(keys) {
			patience = time.After(spareWriteDelay)
		}
		select {
		case last = <-results:
			ended++
			var conflict *rowstore.Conflict
			if last.err == nil || errors.As(last.err, &conflict) {
				return last
			}
			if verdict.Of(last.err) != verdict.NotRun {
				outcome = verdict.MayHaveRun
			}
			if rowstore.RefusedForGood(last.err) {
				keys = keys[:started]
			}
		case <-patience:
			key := keys[started]
			started++
			go func() { results <- g.write(ctx, key, value) }()
		}
	}
	last.err = verdict.From(last.err).WithVerdict(outcome)
	return last
}

func (g *Gateway) write(ctx context.Context, key string, value []byte) writeResult {
	version, err := g.opts.Store.Commit(ctx, rowstore.Txn{
		Checks: []rowstore.Check{{Table: g.opts.Table, Key: key}},
		Puts:   []rowstore.Put{{Table: g.opts.Table, Key: key, Value: value}},
	})
	return writeResult{key, version, err}
}

// State returns the state of a job of the queue, and false if the queue has no such
// job.
func (g *Gateway) State(ctx context.Context, q *Queue, id string) (workflow.State, bool, error) {
	return g.state(ctx, q, id)
}

// Cancel marks a job as cancelled. It returns false if the queue has no such job.
// If the error is nil and the job has not ended, the cancellation is stored.
func (g *Gateway) Cancel(ctx context.Context, q *Queue, id string) (bool, error) {
	state, known, err := g.state(ctx, q, id)
	if err != nil || !known {
		return false, err
	}
	if state.Final() {
		return true, nil
	}
	value := []byte(`{}`)
	key, version, err := g.createRow(ctx, value, workflow.CancelPrefix+id)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		return true, nil
	}
	if err != nil {
		return true, err
	}
	g.recordWritten(key, value, version)
	return true, nil
}

// Pending returns the number of accepted jobs of the queue that are not cancelled
// and have not started a task. Jobs that run at set times are not counted.
func (g *Gateway) Pending(q *Queue) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, job := range g.jobs {
		if job.recorded && job.queue == q.Name && !job.scheduled && workflow.ClientState(job.progress, job.cancelled) == workflow.StateQueued {
			n++
		}
	}
	return n
}
