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

// Advisor knows which workers may run the steps of queues with placement advice.
type Advisor interface {
	// Advise returns the tickets for those of the named workers that may run the
	// step. A worker that is left out never may. It answers after the times that
	// the queue's terms name; calls of one process are answered in turn. An error
	// says nothing about the workers.
	Advise(ctx context.Context, job string, part workflow.PartID, workers []string) (Tickets, error)
}

// Tickets are the permissions to run a step.
type Tickets struct {
	ByWorker map[string]string
	// Validity is their time from the answer; 0 for that of the queue's terms.
	Validity time.Duration
}

// Constants of the placement advice.
const (
	// adviceBatch is the number of workers that a call names at most: users count
	// one call for 30 workers a step as unavoidable.
	adviceBatch = 30
	// adviceSlack limits a call beyond the times that the queue names.
	adviceSlack = time.Second
	// ticketMargin is kept of a ticket's time for the order: a report of the agent
	// and the window of a start.
	ticketMargin = 700 * time.Millisecond
	// advicePause follows a call that failed.
	advicePause = 200 * time.Millisecond
)

// advice is what is known of the workers for one step.
type advice struct {
	workers map[workerLife]grant
}

// workerLife is one life of a worker: tickets are valid for no other.
type workerLife struct {
	id          string
	incarnation int64
}

func (w *worker) life() workerLife { return workerLife{w.id, w.incarnation} }

// grant is the answer for a worker; without a ticket the worker never may run the
// step.
type grant struct {
	ticket string
	until  time.Duration // on the owner's clock
}

// allowed returns the workers for which the step has a ticket; nil if it needs
// none.
func (o *Owner) allowed(j *job, part workflow.PartID) map[string]bool {
	if o.terms(j).Advice == nil {
		return nil
	}
	out := map[string]bool{}
	if a := j.advice[part]; a != nil {
		for life, g := range a.workers {
			if w := o.workers[life.id]; g.ticket != "" && g.until > o.now()+ticketMargin && w != nil && w.incarnation == life.incarnation {
				out[life.id] = true
			}
		}
	}
	return out
}

// ticket returns the ticket of a step for a worker, or "".
func (j *job) ticket(part workflow.PartID, w *worker) string {
	if a := j.advice[part]; a != nil {
		return a.workers[w.life()].ticket
	}
	return ""
}

// dropTicket forgets a ticket that a worker did not take.
func (j *job) dropTicket(part workflow.PartID, w *worker) {
	if a := j.advice[part]; a != nil {
		delete(a.workers, w.life())
	}
}

// seekAdvice asks about workers for the most urgent group that needs tickets. One
// call is in progress at a time, since the service answers them in turn.
func (o *Owner) seekAdvice(snap *workflowscheduler.Snapshot, groups []group) {
	if o.asking || o.o.Advisor == nil {
		return
	}
	best := -1
	var named []*worker
	for i := range snap.Groups {
		g := &snap.Groups[i]
		if g.Allowed == nil || best >= 0 && cmp.Or(cmp.Compare(g.Priority, snap.Groups[best].Priority), cmp.Compare(g.Since, snap.Groups[best].Since)) >= 0 {
			continue
		}
		if ask := o.toAsk(g, groups[i]); len(ask) > 0 {
			best, named = i, ask
		}
	}
	if best < 0 {
		return
	}
	o.asking = true
	g := groups[best]
	o.wg.Go(func() { o.ask(g, named) })
}

// toAsk returns the workers to ask about for a group, those with the most room
// first; none while the workers with tickets hold all of its tasks.
func (o *Owner) toAsk(g *workflowscheduler.Group, of group) []*worker {
	known := of.job.advice[of.part]
	held := 0
	var ask []*worker
	for _, w := range o.workers {
		room := w.free().Count(g.Need)
		if g.Allowed[w.id] {
			held += room
			continue
		}
		if !o.usable(w) || w.info.Pool != g.Pool || !w.info.Capacity.Fits(g.Need) || g.Label != "" && !slices.Contains(w.info.Labels, g.Label) {
			continue
		}
		if known != nil {
			if answer, ok := known.workers[w.life()]; ok && answer.ticket == "" {
				continue
			}
		}
		ask = append(ask, w)
	}
	if held >= len(g.Tasks) {
		return nil
	}
	slices.SortFunc(ask, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().Count(g.Need), a.free().Count(g.Need)), cmp.Compare(a.id, b.id))
	})
	return ask[:min(len(ask), adviceBatch)]
}

// ask makes one call and takes its answer over.
func (o *Owner) ask(g group, named []*worker) {
	o.mu.Lock()
	terms := o.terms(g.job).Advice
	lives := make([]workerLife, len(named))
	ids := make([]string, len(named))
	for i, w := range named {
		lives[i], ids[i] = w.life(), w.id
	}
	o.mu.Unlock()
	if terms == nil {
		terms = &workflow.Advice{} // a newer configuration needs no advice
	}
	limit := terms.Decide.Duration() + time.Duration(len(ids))*terms.PerWorker.Duration() + adviceSlack
	ctx, cancel := context.WithTimeout(o.ctx, limit)
	defer cancel()
	asked := o.now()
	tickets, err := o.o.Advisor.Advise(ctx, g.job.id, g.part, ids)
	o.mu.Lock()
	if err == nil {
		a := g.job.advice[g.part]
		if a == nil {
			a = &advice{workers: map[workerLife]grant{}}
			g.job.advice[g.part] = a
		}
		for _, life := range lives {
			a.workers[life] = grant{tickets.ByWorker[life.id], o.now() + cmp.Or(tickets.Validity, terms.Validity.Duration())}
		}
	}
	o.o.Log.Event("advice", "job", g.job.id, "occurrence", g.part.Occurrence, "step", g.part.Step, "asked", len(ids), "granted", len(tickets.ByWorker),
		"tookMs", (o.now() - asked).Milliseconds(), "err", errorText(err), "workers", slices.Sorted(maps.Keys(tickets.ByWorker)))
	o.mu.Unlock()
	if err != nil {
		select {
		case <-time.After(advicePause):
		case <-o.ctx.Done():
		}
	}
	o.mu.Lock()
	o.asking = false
	o.mu.Unlock()
	signal(o.kick)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
