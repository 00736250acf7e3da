package workflowdaemon

import (
	"bytes"
	"context"
	"encoding/gob"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// simNet carries calls between the processes of a simulation.
type simNet struct {
	mu          sync.Mutex
	services    map[string]map[string]any // by address and service
	isolated    map[string]bool           // addresses that reach no other process
	feedBlocked map[string]bool           // processes that get no answers from the store's feed
	rowsBlocked map[string]bool           // addresses that get no rows from other entries
	lostMethods map[string]bool           // methods whose calls get no answer
	links       map[string]*simLink       // network links of processes with a limited bandwidth
}

// simLink is the network link of a process, which receives one message after the other. It
// is safe for concurrent use.
type simLink struct {
	bytesPerSecond int
	mu             sync.Mutex
	freeAt         time.Time
}

// receive waits until a message has arrived, or ctx ends. Messages on the way use the link
// also when nobody waits for them any more.
func (l *simLink) receive(ctx context.Context, bytes int) error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	arrival := l.freeAt
	l.mu.Unlock()
	select {
	case <-time.After(time.Until(arrival)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// simCaller is one process's view of the network.
type simCaller struct {
	net  *simNet
	addr string
}

// simNetDelay is the delay of a message in one direction.
const simNetDelay = time.Millisecond

func (c simCaller) Call(ctx context.Context, addr, method string, args rpc.RequestMessage, reply rpc.ReplyMessage) error {
	service, name, _ := strings.Cut(method, ".")
	c.net.mu.Lock()
	target, isolated := c.net.services[addr], c.net.isolated[addr] || c.net.isolated[c.addr]
	isolated = isolated || method == workflowrpc.MethodRows && c.net.rowsBlocked[addr] || c.net.lostMethods[method]
	c.net.mu.Unlock()
	if isolated {
		<-ctx.Done()
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "cut off")
	}
	time.Sleep(simNetDelay)
	if target == nil {
		return verdict.Refuse(verdict.CodeUnavailable, "no process at %s", addr)
	}
	if deadline, ok := ctx.Deadline(); ok {
		args.SetHeader(rpc.Header{Budget: time.Until(deadline), From: c.addr})
	}
	m := reflect.ValueOf(target[service]).MethodByName(name)
	in, out := reflect.New(m.Type().In(0).Elem()), reflect.New(m.Type().In(1).Elem())
	copyGob(args, in.Interface())
	done := make(chan struct{})
	go func() {
		m.Call([]reflect.Value{in, out})
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: %v", method, ctx.Err())
	}
	c.net.mu.Lock()
	isolated = c.net.isolated[addr] || c.net.isolated[c.addr]
	c.net.mu.Unlock()
	if isolated {
		<-ctx.Done()
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "cut off")
	}
	time.Sleep(simNetDelay)
	c.net.mu.Lock()
	link := c.net.links[c.addr]
	c.net.mu.Unlock()
	if link != nil && link.receive(ctx, len(encodeGob(out.Interface()))) != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: %v", method, ctx.Err())
	}
	copyGob(out.Interface(), reply)
	if e := reply.Failure(); e != nil {
		return e
	}
	return nil
}

// copyGob copies a message as it would be sent over the network.
func copyGob(from, to any) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(from); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&buf).Decode(to); err != nil {
		panic(err)
	}
}

// isolatableStore is one process's connection to the table. Its Commit, Feed and Get
// fail while the process is isolated; List does not.
type isolatableStore struct {
	rowstore.Store
	net *simNet
	id  string
}

// checkReachable returns an error if the process is isolated, after 1 s or when ctx
// ends.
func (c isolatableStore) checkReachable(ctx context.Context) error {
	c.net.mu.Lock()
	isolated := c.net.isolated[c.id]
	c.net.mu.Unlock()
	if !isolated {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return rowstore.Unavailable(verdict.MayHaveRun, "cut off")
}

func (c isolatableStore) Commit(ctx context.Context, txn rowstore.Txn) (uint64, error) {
	if err := c.checkReachable(ctx); err != nil {
		return 0, err
	}
	return c.Store.Commit(ctx, txn)
}

func (c isolatableStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if err := c.checkReachable(ctx); err != nil {
		return rowstore.Page{}, err
	}
	c.net.mu.Lock()
	blocked := c.net.feedBlocked[c.id]
	c.net.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return rowstore.Page{}, rowstore.Unavailable(verdict.MayHaveRun, "no answer")
	}
	return c.Store.Feed(ctx, table, after, wait)
}

func (c isolatableStore) List(ctx context.Context, table, from string, limit int) (rowstore.Page, error) {
	if err := c.checkReachable(ctx); err != nil {
		return rowstore.Page{}, err
	}
	return c.Store.List(ctx, table, from, limit)
}

func (c isolatableStore) Get(ctx context.Context, table, key string) (rowstore.Row, bool, error) {
	if err := c.checkReachable(ctx); err != nil {
		return rowstore.Row{}, false, err
	}
	return c.Store.Get(ctx, table, key)
}
