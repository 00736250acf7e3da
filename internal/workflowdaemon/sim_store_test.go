package workflowdaemon

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/gob"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// storePath is one process's way to a stub table at the level of calls, as a
// rowstore.Failover uses it. It is safe for concurrent use.
type storePath struct {
	store rowstore.Store
	link  *simLink // of the process; nil for no limit

	mu sync.Mutex
	// refused answers calls with status 429. silent leaves calls, and answers that are due,
	// without a response until their context ends.
	refused, silent bool
	// stuckBefore leaves calls that began before it without a response, like connections
	// that went silent while new ones work.
	stuckBefore time.Time
}

// storeRequest is a call to a stub table, which is sent as the path, and storeResponse the
// body of its answer.
type storeRequest struct {
	Method           string // Commit, List, Get or Feed
	Txn              rowstore.Txn
	Table, Key, From string
	Limit            int
	After            uint64
	Wait             time.Duration
}

type storeResponse struct {
	Page        rowstore.Page
	Row         rowstore.Row
	Exists      bool
	Version     uint64
	Conflict    *rowstore.Conflict
	HistoryGone bool
}

func (r storeRequest) path() string { return base64.StdEncoding.EncodeToString(encodeGob(r)) }

func encodeGob(v any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(err)
	}
	return b.Bytes()
}

func decodeGob(b []byte, v any) {
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(v); err != nil {
		panic(err)
	}
}

// set changes the faults of the path.
func (p *storePath) set(refused, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused, p.silent = refused, silent
}

// dropConnections leaves all calls in progress without a response.
func (p *storePath) dropConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stuckBefore = time.Now()
}

// works reports whether calls that begin now are answered.
func (p *storePath) works() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.refused && !p.silent
}

// call implements rowstore.CallFunc.
func (p *storePath) call(ctx context.Context, c rowstore.Call) (rowstore.Answer, error) {
	began := time.Now()
	noAnswer := func() (rowstore.Answer, error) {
		<-ctx.Done()
		return rowstore.Answer{}, rowstore.Unavailable(verdict.MayHaveRun, "no answer")
	}
	p.mu.Lock()
	refused, silent := p.refused, p.silent
	p.mu.Unlock()
	switch {
	case silent:
		return noAnswer()
	case refused:
		return rowstore.Answer{Status: http.StatusTooManyRequests}, nil
	}
	var req storeRequest
	encoded, err := base64.StdEncoding.DecodeString(c.Path)
	if err != nil {
		panic(err)
	}
	decodeGob(encoded, &req)
	var resp storeResponse
	resp, err = p.serve(ctx, req)
	p.mu.Lock()
	silent = p.silent || began.Before(p.stuckBefore)
	p.mu.Unlock()
	if silent {
		return noAnswer()
	}
	if err != nil {
		return rowstore.Answer{}, err
	}
	body := encodeGob(resp)
	if err := p.link.receive(ctx, len(body)); err != nil {
		return rowstore.Answer{}, rowstore.Unavailable(verdict.MayHaveRun, "%v", err)
	}
	return rowstore.Answer{Status: http.StatusOK, Body: body}, nil
}

func (p *storePath) serve(ctx context.Context, req storeRequest) (resp storeResponse, err error) {
	switch req.Method {
	case "Commit":
		resp.Version, err = p.store.Commit(ctx, req.Txn)
	case "List":
		resp.Page, err = p.store.List(ctx, req.Table, req.From, req.Limit)
	case "Get":
		resp.Row, resp.Exists, err = p.store.Get(ctx, req.Table, req.Key)
	case "Feed":
		resp.Page, err = p.store.Feed(ctx, req.Table, req.After, req.Wait)
	}
	if errors.As(err, &resp.Conflict) || errors.Is(err, rowstore.ErrHistoryGone) {
		resp.HistoryGone, err = resp.Conflict == nil, nil
	}
	return resp, err
}

// callStore is a store whose calls go through a rowstore.CallFunc to a storePath.
type callStore struct{ do rowstore.CallFunc }

func newCallStore(do rowstore.CallFunc) rowstore.Store { return callStore{do} }

func (s callStore) send(ctx context.Context, req storeRequest) (resp storeResponse, err error) {
	noWait := req
	noWait.Wait = 0
	a, err := s.do(ctx, rowstore.Call{Path: req.path(), PathNoWait: noWait.path(), Write: req.Method == "Commit", Scope: req.Method, Wait: req.Wait})
	if err != nil {
		return resp, err
	}
	if a.Status != http.StatusOK {
		return resp, rowstore.Unavailable(verdict.NotRun, "status %d", a.Status)
	}
	decodeGob(a.Body, &resp)
	if resp.Conflict != nil {
		return resp, resp.Conflict
	}
	if resp.HistoryGone {
		return resp, rowstore.ErrHistoryGone
	}
	return resp, nil
}

func (s callStore) Commit(ctx context.Context, txn rowstore.Txn) (uint64, error) {
	r, err := s.send(ctx, storeRequest{Method: "Commit", Txn: txn})
	return r.Version, err
}

func (s callStore) List(ctx context.Context, table, from string, limit int) (rowstore.Page, error) {
	r, err := s.send(ctx, storeRequest{Method: "List", Table: table, From: from, Limit: limit})
	return r.Page, err
}

func (s callStore) Get(ctx context.Context, table, key string) (rowstore.Row, bool, error) {
	r, err := s.send(ctx, storeRequest{Method: "Get", Table: table, Key: key})
	return r.Row, r.Exists, err
}

func (s callStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	r, err := s.send(ctx, storeRequest{Method: "Feed", Table: table, After: after, Wait: wait})
	return r.Page, err
}

// newStorePath returns a path to the table for a process.
func newStorePath(table *rowstorestub.Table, process string) *storePath {
	return &storePath{store: table.ClientFor(process)}
}
