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

// AgentOptions configures an Agent.
type AgentOptions struct {
	ID, RPCAddr string
	Seeds       []string
	// Store is used to look up the entries' addresses if no known entry answers.
	Store rowstore.Store
	// Connect returns a connection to the worker with the ID that serves at addr.
	Connect func(addr, worker string) workflowagent.Worker
	// Lease is the length of the leases of tasks, counted from the last contact with
	// the owner.
	Lease time.Duration
	Log   *eventlog.Log
	// Caller calls the other processes.
	Caller workflowagent.Caller
	// Clock is a monotonic clock that includes the time in which the machine is
	// suspended.
	Clock func() time.Duration
}

// Agent is a running agent.
type Agent struct {
	*workflowagent.Agent
	cancel context.CancelFunc
}

const (
	// extendTimeout limits the final lease renewal of an agent that is shutting down.
	extendTimeout = 300 * time.Millisecond
	// endReportTimeout limits the time in which it reports workers that have ended. It is
	// enough to detect the end and for the takeover of a new owner.
	endReportTimeout = 1500 * time.Millisecond
)

// NewAgent returns an agent that runs until Close or Kill.
func NewAgent(o AgentOptions) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{cancel: stop}
	a.Agent = workflowagent.New(ctx, workflowagent.Options{
		// A restarted process numbers its calls from the start, so its ID must
		// differ.
		ID: fmt.Sprintf("%s/%d", o.ID, time.Now().UnixNano()), Addr: o.RPCAddr, Caller: o.Caller, Log: o.Log, Seeds: o.Seeds,
		FindEntries: func(ctx context.Context) []string { return readEntryAddrs(ctx, o.Store, o.Log) }, Connect: o.Connect, Lease: o.Lease, Clock: o.Clock,
	})
	return a
}

// Services returns the RPC services of the agent by name.
func (a *Agent) Services() map[string]any {
	return map[string]any{"Agent": &workflowagent.Service{Agent: a.Agent}}
}

// readEntryAddrs reads the RPC addresses of the entries from the store.
func readEntryAddrs(ctx context.Context, store rowstore.Store, log *eventlog.Log) []string {
	page, err := store.List(ctx, Table, workflow.EntryPrefix, maxEntries)
	if err != nil {
		log.Event("entries_unreadable", "err", err.Error())
		return nil
	}
	var out []string
	for _, r := range page.Rows {
		prefix, _ := workflow.SplitKey(r.Key)
		var row entryRow
		if err := json.Unmarshal(r.Value, &row); prefix == workflow.EntryPrefix && err == nil {
			out = append(out, row.Addr)
		}
	}
	return out
}

// maxEntries limits the rows of a listing. It is above the number of entries of any
// deployment.
const maxEntries = 100

// Close reports the workers that have ended, renews the leases of the others, so that the
// next process can take over the runs, and stops the agent.
func (a *Agent) Close() {
	reported, cancelReports := context.WithTimeout(context.Background(), endReportTimeout)
	defer cancelReports()
	a.AwaitReportedEnds(reported)
	ctx, cancel := context.WithTimeout(context.Background(), extendTimeout)
	defer cancel()
	a.ExtendLeases(ctx)
	a.Kill()
}

// Kill stops the agent without the final lease renewal, as a killed process would.
func (a *Agent) Kill() {
	a.cancel()
	a.Wait()
}
