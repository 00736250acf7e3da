package workflowowner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

// Advisor is the placement advice service. It knows which workers may run the steps of
// some queues.
type Advisor interface {
	// Advise returns tickets for those of the given workers that may run the step. The
	// others never may. A call takes as long as the queue's terms say, and the service
	// handles the calls of a process one after the other. An error says nothing about
	// the workers.
	Advise(ctx context.Context, job string, stepID workflow.StepID, workers []string) (Tickets, error)
}

// Tickets are permissions to run a step.
type Tickets struct {
	ByWorker map[string]string
	// Validity counts from the reply; 0 means that of the queue's terms.
	Validity time.Duration
}

// Parameters of calls to the placement advice service.
const (
	// maxAdviceWorkers is the maximum number of workers in a call. Users accept one call
	// for 30 workers per step as unavoidable.
	maxAdviceWorkers = 30
	// adviceCallSlack is added to the expected duration of a call to get its timeout.
	adviceCallSlack = time.Second
	// ticketMargin is the remaining validity that a ticket needs to be used in an order.
	// It covers the delay of an agent's report and the time in which the worker may
	// start the task.
	ticketMargin = 700 * time.Millisecond
	// adviceRetryDelay is the delay after a failed call.
	adviceRetryDelay = 200 * time.Millisecond
)

// advice holds the replies of the placement advice service for one step.
type advice struct {
	// grants holds the reply for each worker that was asked about, refusals (with an
	// empty ticket) too.
	grants map[workerIncarnation]grant
}

// workerIncarnation identifies an incarnation of a worker. A ticket is valid for only
// one.
type workerIncarnation struct {
	id          string
	incarnation int64
}

func (w *worker) incarnationKey() workerIncarnation { return workerIncarnation{w.id, w.incarnation} }

// grant is the reply for a worker. With an empty ticket the worker may never run the
// step.
type grant struct {
	ticket string
	until  time.Duration // on the owner's clock
}

// allowedWorkers returns the workers with a valid ticket for the step, or nil if it
// needs none. Those in evacuated zones do not count, so that others are asked for.
func (o *Owner) allowedWorkers(j *job, stepID workflow.StepID) map[string]bool {
	if o.terms(j).Advice == nil {
		return nil
	}
	out := map[string]bool{}
	if a := j.advice[stepID]; a != nil {
		for key, g := range a.grants {
			if w := o.workers[key.id]; g.ticket != "" && g.until > o.now()+ticketMargin && w != nil && w.incarnation == key.incarnation && !o.evacuated(w) {
				out[key.id] = true
			}
		}
	}
	return out
}

// ticket returns the ticket of a step for a worker, or "" if there is none.
func (j *job) ticket(stepID workflow.StepID, w *worker) string {
	if a := j.advice[stepID]; a != nil {
		return a.grants[w.incarnationKey()].ticket
	}
	return ""
}

// dropTicket removes a ticket that the worker rejected.
func (j *job) dropTicket(stepID workflow.StepID, w *worker) {
	if a := j.advice[stepID]; a != nil {
		delete(a.grants, w.incarnationKey())
	}
}

// startAdviceCall requests tickets for the most urgent group that needs more. Only one
// call is in progress at a time, since the service handles them one after the other.
func (o *Owner) startAdviceCall(snap *workflowscheduler.Snapshot, groups []group) {
	if o.adviceInFlight || o.opts.Advisor == nil {
		return
	}
	best := -1
	var workers []*worker
	for i := range snap.Groups {
		g := &snap.Groups[i]
		if g.Allowed == nil || best >= 0 && cmp.Or(cmp.Compare(g.Priority, snap.Groups[best].Priority), cmp.Compare(g.ReadyAt, snap.Groups[best].ReadyAt)) >= 0 {
			continue
		}
		if ask := o.workersToAsk(g, groups[i]); len(ask) > 0 {
			best, workers = i, ask
		}
	}
	if best < 0 {
		return
	}
	o.adviceInFlight = true
	g := groups[best]
	o.wg.Go(func() { o.callAdvisor(g, workers) })
}

// workersToAsk returns the workers for which to request tickets for a group, those with
// the most free capacity first. It returns none if the workers that have tickets can
// hold all tasks of the group.
func (o *Owner) workersToAsk(g *workflowscheduler.Group, waiting group) []*worker {
	answers := waiting.job.advice[waiting.stepID]
	slots := 0
	var ask []*worker
	for _, w := range o.workers {
		count := w.free().Count(g.Need)
		if g.Allowed[w.id] {
			slots += count
			continue
		}
		if !o.usable(w) || w.info.Pool != g.Pool || !w.info.Capacity.Fits(g.Need) || g.Label != "" && !slices.Contains(w.info.Labels, g.Label) {
			continue
		}
		if answers != nil {
			if answer, ok := answers.grants[w.incarnationKey()]; ok && answer.ticket == "" {
				continue
			}
		}
		ask = append(ask, w)
	}
	if slots >= len(g.Tasks) {
		return nil
	}
	slices.SortFunc(ask, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().Count(g.Need), a.free().Count(g.Need)), cmp.Compare(a.id, b.id))
	})
	return ask[:min(len(ask), maxAdviceWorkers)]
}

// callAdvisor requests tickets and stores the reply. After a failed call it waits for
// adviceRetryDelay while adviceInFlight stays set, so that no other call starts before.
func (o *Owner) callAdvisor(g group, workers []*worker) {
	o.mu.Lock()
	terms := o.terms(g.job).Advice
	keys := make([]workerIncarnation, len(workers))
	ids := make([]string, len(workers))
	for i, w := range workers {
		keys[i], ids[i] = w.incarnationKey(), w.id
	}
	o.mu.Unlock()
	if terms == nil {
		terms = &workflow.Advice{} // the queue no longer needs advice since a change of the configuration
	}
	limit := terms.Decide.Duration() + time.Duration(len(ids))*terms.PerWorker.Duration() + adviceCallSlack
	ctx, cancel := context.WithTimeout(o.ctx, limit)
	defer cancel()
	start := o.now()
	tickets, err := o.opts.Advisor.Advise(ctx, g.job.id, g.stepID, ids)
	o.mu.Lock()
	if err == nil {
		a := g.job.advice[g.stepID]
		if a == nil {
			a = &advice{grants: map[workerIncarnation]grant{}}
			g.job.advice[g.stepID] = a
		}
		for _, key := range keys {
			a.grants[key] = grant{tickets.ByWorker[key.id], o.now() + cmp.Or(tickets.Validity, terms.Validity.Duration())}
		}
	}
	o.opts.Log.Event("advice", "job", g.job.id, "occurrence", g.stepID.Occurrence, "step", g.stepID.Step, "asked", len(ids), "granted", len(tickets.ByWorker),
		"tookMs", (o.now() - start).Milliseconds(), "err", errorText(err), "workers", slices.Sorted(maps.Keys(tickets.ByWorker)))
	o.mu.Unlock()
	if err != nil {
		select {
		case <-time.After(adviceRetryDelay):
		case <-o.ctx.Done():
		}
	}
	o.mu.Lock()
	o.adviceInFlight = false
	o.mu.Unlock()
	signal(o.wakeDecide)
}

// errorText returns the message of err, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
