package workflowdaemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowagent"
)

// AgentOptions configure an Agent.
type AgentOptions struct {
	ID, RPCAddr string
	Seeds       []string
	// Store is where the entries' addresses are read if no known one answers.
	Store   rowstore.Store
	Connect func(addr, worker string) workflowagent.Worker
	Lease   time.Duration
	Log     *eventlog.Log
	// Caller calls the other processes.
	Caller workflowagent.Caller
	// Clock is a steady clock that counts suspensions.
	Clock func() time.Duration
}

// Agent is a running agent.
type Agent struct {
	*workflowagent.Agent
	cancel context.CancelFunc
}

// extendTimeout limits the last renewal of leases of an agent that is stopped.
const extendTimeout = 300 * time.Millisecond

// NewAgent returns an agent that serves until Close.
func NewAgent(o AgentOptions) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{cancel: stop}
	a.Agent = workflowagent.New(ctx, workflowagent.Options{
		// A restarted process numbers its calls anew.
		ID: fmt.Sprintf("%s/%d", o.ID, time.Now().UnixNano()), Addr: o.RPCAddr, Caller: o.Caller, Log: o.Log, Seeds: o.Seeds,
		MoreEntries: func(ctx context.Context) []string { return readEntryAddrs(ctx, o.Store, o.Log) }, Connect: o.Connect, Lease: o.Lease, Clock: o.Clock,
	})
	return a
}

// Services returns the RPC services of the agent by name.
func (a *Agent) Services() map[string]any {
	return map[string]any{"Agent": &workflowagent.Service{Agent: a.Agent}}
}

// readEntryAddrs reads the addresses of the entries from the store.
func readEntryAddrs(ctx context.Context, store rowstore.Store, log *eventlog.Log) []string {
	page, err := store.List(ctx, Table, workflow.EntryPrefix, maxEntries)
	if err != nil {
		log.Event("entries_unreadable", "err", err.Error())
		return nil
	}
	var out []string
	for _, r := range page.Rows {
		prefix, _ := workflow.CutKey(r.Key)
		var row entryRow
		if err := json.Unmarshal(r.Value, &row); prefix == workflow.EntryPrefix && err == nil {
			out = append(out, row.Addr)
		}
	}
	return out
}

// maxEntries is above the entries of a deployment.
const maxEntries = 100

// Close renews the leases for the next process and ends.
func (a *Agent) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), extendTimeout)
	defer cancel()
	a.Extend(ctx)
	a.Kill()
}

// Kill ends without a last word, as a process that is killed does.
func (a *Agent) Kill() {
	a.cancel()
	a.Wait()
}
