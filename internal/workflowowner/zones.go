package workflowowner

import (
	"time"

	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowrpc"
	"github.com/parsleypier/parsleypier/internal/workflowscheduler"
)

const (
	// minStartTime is the time that a start has to have left when it is planned: for the
	// reply to the agent, and its first call to the worker, which lasts up to 0.3 s.
	minStartTime = 400 * time.Millisecond
	// minSendTime is the time that it has to have left when the order is sent.
	minSendTime = 150 * time.Millisecond
	// stopEvacuated is the stop reason of runs that must not start any more.
	stopEvacuated = "zone evacuated"
	// zoneReportInterval is the interval at which evacuated zones are logged.
	zoneReportInterval = 5 * time.Second
)

// zoneEvacuated reports whether the operator has a zone evacuated, as far as this process knows.
func (o *Owner) zoneEvacuated(zone string) bool {
	return o.opts.Evacuation.Enabled() && o.opts.EvacuationView().Evacuated(zone)
}

func (o *Owner) evacuated(w *worker) bool { return o.zoneEvacuated(w.info.Zone) }

// startWithin returns how long after a call was received starts on a worker may be made; 0 if
// that is not limited. It returns false if no order to start anything may be sent now.
func (o *Owner) startWithin(w *worker, received time.Duration) (time.Duration, bool) {
	if !o.opts.Evacuation.Enabled() {
		return 0, true
	}
	until, ok := o.opts.Evacuation.Until(o.opts.EvacuationView(), w.info.Zone)
	return until - received, ok && until-o.opts.Clock() >= minSendTime
}

// mayPlanStarts reports whether starts on a worker may be planned, as far as evacuations are
// concerned. Idle workers of a zone return one after the other.
func (o *Owner) mayPlanStarts(w *worker) bool {
	if !o.opts.Evacuation.Enabled() {
		return true
	}
	view, now := o.opts.EvacuationView(), o.opts.Clock()
	until, ok := o.opts.Evacuation.Until(view, w.info.Zone)
	return ok && until-now >= minStartTime && (len(w.runs) > 0 || now >= view.ReturnsAt(w.info.Zone, w.id))
}

// EvacuationsChanged makes the owner act on a change of the evacuated zones, and tell the agents
// there.
func (o *Owner) EvacuationsChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		if w.toldEvacuated != o.evacuated(w) {
			w.endPoll()
		}
	}
	signal(o.wakeDecide)
}

// withdrawEvacuated withdraws the starts in evacuated zones that their agents have not reported:
// those that were never sent are dropped, since nothing can have come of them.
func (o *Owner) withdrawEvacuated() {
	if !o.opts.Evacuation.Enabled() {
		return
	}
	for _, w := range o.workers {
		if !o.evacuated(w) {
			continue
		}
		for _, r := range w.runs {
			if r.state == workflowrpc.RunStarting && !r.reported {
				o.withdraw(r)
			}
		}
	}
}

// withdraw ends a run that was not sent to the agent, and stops another.
func (o *Owner) withdraw(r *run) {
	switch {
	case r.stopReason != "":
	case r.sent || r.reported:
		o.stopRun(r, stopEvacuated)
	default:
		o.endRun(r, workflow.EndLost, stopEvacuated)
	}
}

// withdrawUnreported withdraws the starts on a worker in an evacuated zone that a call of the
// agent does not report. A restarted agent does not know them, and they are not sent again.
func (o *Owner) withdrawUnreported(w *worker, args *workflowrpc.SyncArgs) {
	if !o.evacuated(w) {
		return
	}
	reported := map[workflow.RunID]bool{}
	for _, report := range args.Runs {
		reported[report.ID] = true
	}
	for id, r := range w.runs {
		if !reported[id] {
			o.withdraw(r)
		}
	}
}

// resumeHeldOrders ends the long polls of agents for which there are orders that may be sent
// again, because the view of the evacuated zones is recent again.
func (o *Owner) resumeHeldOrders() {
	for _, w := range o.workers {
		if !w.held {
			continue
		}
		if _, ok := o.startWithin(w, 0); ok {
			w.endPoll()
		}
	}
}

// reportZones logs what runs in evacuated zones and what waits for them, at most once per
// zoneReportInterval.
func (o *Owner) reportZones(snap *workflowscheduler.Snapshot, plan *workflowscheduler.Plan) {
	if !o.opts.Evacuation.Enabled() || time.Since(o.lastZoneReport) < zoneReportInterval {
		return
	}
	view := o.opts.EvacuationView()
	for _, zone := range view.Zones() {
		o.lastZoneReport = time.Now()
		workers, busy, runs, persistent := 0, 0, 0, 0
		for _, w := range o.workers {
			if w.info.Zone != zone || w.lost {
				continue
			}
			workers++
			runs += len(w.runs)
			if len(w.runs) > 0 {
				busy++
			}
			for _, r := range w.runs {
				if r.step.Persistent {
					persistent++
				}
			}
		}
		groups, tasks := 0, 0
		for g, reason := range plan.Waits {
			if reason == workflowscheduler.WaitsForZone {
				groups++
				tasks += len(snap.Groups[g].Tasks)
			}
		}
		o.opts.Log.Event("zone_evacuated", "zone", zone, "sinceMs", (o.opts.Clock() - view.Since(zone)).Milliseconds(), "workers", workers, "busyWorkers", busy,
			"runs", runs, "persistentRuns", persistent, "groupsWaiting", groups, "tasksWaiting", tasks)
	}
}
