package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/retry"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflow"
)

// Times of the gateway.
const (
	// retryPause is the mean delay between tries whose outcome is open.
	retryPause = 40 * time.Millisecond
	// outageRetry is what a client is told to wait while the store is away. A
	// client has about 3 s; outages last several.
	outageRetry = time.Second
)

// Options configure a Gateway.
type Options struct {
	Store  rowstore.Store
	Mirror *rowstore.Mirror
	Table  string
	Log    *eventlog.Log
	// UnixMillis returns the time of day.
	UnixMillis func() int64
}

// Gateway accepts and shows jobs. It is safe for concurrent use.
type Gateway struct {
	o Options

	mu   sync.Mutex
	jobs map[string]*entry
}

// entry is what the gateway keeps of a job.
type entry struct {
	queue     string
	known     bool // the record is known
	timed     bool
	cancelled bool
	progress  *workflow.Progress
}

// New returns a gateway without jobs; Observe fills it.
func New(o Options) *Gateway { return &Gateway{o: o, jobs: map[string]*entry{}} }

// Observe takes over rows of the table.
func (g *Gateway) Observe(rows []rowstore.Row) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range rows {
		g.observe(r)
	}
}

func (g *Gateway) observe(r rowstore.Row) {
	prefix, id := workflow.CutKey(r.Key)
	switch prefix {
	case workflow.RecordPrefix, workflow.CancelPrefix, workflow.ProgressPrefix:
	default:
		return
	}
	e := g.jobs[id]
	if e == nil {
		if r.Deleted {
			return
		}
		e = &entry{}
		g.jobs[id] = e
	}
	switch prefix {
	case workflow.RecordPrefix:
		if r.Deleted {
			delete(g.jobs, id)
			return
		}
		var rec workflow.Record
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			g.o.Log.Event("job_row_unreadable", "job", id, "version", r.Version, "err", err.Error())
			return
		}
		e.known, e.queue, e.timed = true, rec.Queue, rec.Spec.Occurrences > 0
	case workflow.CancelPrefix:
		e.cancelled = !r.Deleted
	case workflow.ProgressPrefix:
		if r.Deleted {
			return
		}
		p := &workflow.Progress{}
		if err := json.Unmarshal(r.Value, p); err != nil {
			g.o.Log.Event("progress_row_unreadable", "job", id, "version", r.Version, "err", err.Error())
			return
		}
		e.progress = p
	}
}

func (g *Gateway) lookup(id string) (queue string, state workflow.State, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.jobs[id]
	if e == nil || !e.known {
		return "", "", false
	}
	return e.queue, workflow.Shown(e.progress, e.cancelled), true
}

// find returns the state of a job, from the copy of the rows or else from the
// store; known is false if no such job exists in the queue. The error says that
// this could not be found out.
func (g *Gateway) find(ctx context.Context, q *Queue, id string) (state workflow.State, known bool, err error) {
	queue, state, known := g.lookup(id)
	if known {
		return state, queue == q.Name, nil
	}
	row, exists, err := g.o.Store.Get(ctx, g.o.Table, workflow.RecordPrefix+id)
	if err != nil {
		return "", false, err
	}
	if !exists {
		return "", false, nil
	}
	g.o.Mirror.Note(row)
	for _, prefix := range []string{workflow.ProgressPrefix, workflow.CancelPrefix} {
		row, exists, err := g.o.Store.Get(ctx, g.o.Table, prefix+id)
		if err != nil {
			return "", false, err
		}
		if exists {
			g.o.Mirror.Note(row)
		}
	}
	queue, state, known = g.lookup(id)
	return state, known && queue == q.Name, nil
}

// Submit accepts a job: it returns nil once the job's row is stored. An error
// with the verdict NotRun says that the job is not stored and will not be.
func (g *Gateway) Submit(ctx context.Context, q *Queue, account, id string, spec workflow.Spec) error {
	if queue, _, known := g.lookup(id); known {
		return g.duplicate(q, queue, id)
	}
	if g.o.Mirror.Lost() {
		return rowstore.Unavailable(verdict.NotRun, "the store is out of reach").WithRetryAfter(outageRetry)
	}
	rec := workflow.Record{
		ID: id, Queue: q.Name, Account: account, Pool: q.Pool, Spec: spec, Terms: q.Terms, AcceptedAt: g.o.UnixMillis(),
	}
	value, err := json.Marshal(&rec)
	if err != nil {
		return verdict.Refuse(verdict.CodeInternal, "encode job: %v", err)
	}
	if len(value) > rowstore.MaxRowBytes {
		return verdict.Refuse(verdict.CodeTooLarge, "the job takes %d bytes, at most %d are stored", len(value), rowstore.MaxRowBytes)
	}
	key := workflow.RecordPrefix + id
	version, err := g.create(ctx, key, value)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		for _, r := range conflict.Rows {
			if r.Key == key {
				g.o.Mirror.Note(r)
			}
		}
		queue, _, known := g.lookup(id)
		if !known {
			return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "job %s is stored and cannot be read", id)
		}
		return g.duplicate(q, queue, id)
	}
	if err != nil {
		return err
	}
	g.o.Mirror.Note(rowstore.Row{Table: g.o.Table, Key: key, Value: value, Version: version})
	return nil
}

func (g *Gateway) duplicate(q *Queue, queue, id string) error {
	if queue != q.Name {
		return verdict.Refuse(verdict.CodeKeyReused, "job %s exists in another queue", id)
	}
	return nil
}

// create writes a row that must not exist. It tries until the outcome is known,
// the store is known to be away, or ctx ends.
func (g *Gateway) create(ctx context.Context, key string, value []byte) (uint64, error) {
	result := verdict.NotRun
	txn := rowstore.Txn{
		Checks: []rowstore.Check{{Table: g.o.Table, Key: key}},
		Puts:   []rowstore.Put{{Table: g.o.Table, Key: key, Value: value}},
	}
	for {
		version, err := g.o.Store.Commit(ctx, txn)
		var conflict *rowstore.Conflict
		if err == nil || errors.As(err, &conflict) {
			return version, err
		}
		if verdict.Of(err) != verdict.NotRun {
			result = verdict.MayHaveRun
		}
		if result == verdict.NotRun || g.o.Mirror.Lost() || !retry.Sleep(ctx, retry.Jitter(2*retryPause)) {
			return 0, verdict.From(err).WithVerdict(result).WithRetryAfter(outageRetry)
		}
	}
}

// State returns the state of a job of the queue; false if there is none.
func (g *Gateway) State(ctx context.Context, q *Queue, id string) (workflow.State, bool, error) {
	return g.find(ctx, q, id)
}

// Cancel marks a job as cancelled; it returns false if there is none. The mark
// is stored when it returns nil.
func (g *Gateway) Cancel(ctx context.Context, q *Queue, id string) (bool, error) {
	state, known, err := g.find(ctx, q, id)
	if err != nil || !known {
		return false, err
	}
	if state.Final() {
		return true, nil
	}
	key := workflow.CancelPrefix + id
	value := []byte(`{}`)
	version, err := g.create(ctx, key, value)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		return true, nil
	}
	if err != nil {
		return true, err
	}
	g.o.Mirror.Note(rowstore.Row{Table: g.o.Table, Key: key, Value: value, Version: version})
	return true, nil
}

// Pending returns the number of accepted jobs of the queue of which no task has
// started. Jobs with times are not counted.
func (g *Gateway) Pending(q *Queue) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.jobs {
		if e.known && e.queue == q.Name && !e.timed && workflow.Shown(e.progress, e.cancelled) == workflow.StateQueued {
			n++
		}
	}
	return n
}
