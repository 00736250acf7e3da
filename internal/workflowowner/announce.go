package workflowowner

import (
	"context"
	"sync"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflowrpc"
)

// awaitsReports reports whether runs of an earlier owner may still exist on a worker
// that has not reported.
func (o *Owner) awaitsReports() bool {
	for _, w := range o.workers {
		if w.awaitingReport && !w.lost {
			return true
		}
	}
	return false
}

// reannounce tells the agents of silent workers the owner's address again. An agent that
// restarted may not know the address of any entry.
func (o *Owner) reannounce() {
	interval := reannounceInterval
	if o.awaitsReports() {
		interval = awaitedReannounceInterval
	}
	if time.Since(o.lastReannounce) < interval {
		return
	}
	o.lastReannounce = time.Now()
	if agents := o.silentAgents(); len(agents) > 0 {
		o.wg.Go(func() { o.announce(agents) })
	}
}

// silentAgents returns the addresses of the agents that have not called recently, each
// with those of its workers that have not reported to this owner.
func (o *Owner) silentAgents() map[string][]workflowrpc.Worker {
	agents := map[string][]workflowrpc.Worker{}
	for _, w := range o.workers {
		if w.addr == "" || w.lost || time.Since(w.lastCall) <= maxContactAge {
			continue
		}
		workers := agents[w.addr]
		if w.awaitingReport {
			info := w.info
			info.ID, info.Incarnation = w.id, w.incarnation
			workers = append(workers, info)
		}
		agents[w.addr] = workers
	}
	return agents
}

// announce tells agents the owner's address, so that they need not search for it, and on
// which workers the owner awaits their reports.
func (o *Owner) announce(agents map[string][]workflowrpc.Worker) {
	var wg sync.WaitGroup
	for addr, workers := range agents {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(o.ctx, announceTimeout)
			defer cancel()
			reply := &workflowrpc.OwnerReply{}
			args := &workflowrpc.OwnerArgs{Owner: o.opts.Addr, Epoch: o.opts.Epoch, Workers: workers}
			if err := o.opts.Caller.Call(ctx, addr, workflowrpc.MethodOwnerChanged, args, reply); err != nil {
				// Not retried here: the agent also searches for the owner by itself.
				o.opts.Log.Event("announce_failed", "agent", addr, "err", err.Error())
			} else if reply.Epoch > o.opts.Epoch {
				o.opts.OnHigherEpoch(reply.Epoch)
			}
		})
	}
	wg.Wait()
}
