package owner

import "expvar"

var (
	counters         = expvar.NewMap("parsleypier_owner")
	jobsByState      = new(expvar.Map).Init()
	refusalCounts    = new(expvar.Map).Init()
	preemptionCounts = new(expvar.Map).Init()
	gangOutcomes     = new(expvar.Map).Init()
	// jobHolds counts the jobs held after a takeover, for a gang or for agents,
	// and how the holds for a gang ended.
	jobHolds = new(expvar.Map).Init()
	// agentNotifications counts, by outcome, the calls that tell the previous
	// owner's agents about this owner.
	agentNotifications = new(expvar.Map).Init()
)

func init() {
	counters.Set("jobs_by_state", jobsByState)
	counters.Set("refusals", refusalCounts)
	counters.Set("preemptions", preemptionCounts)
	counters.Set("gang_outcomes", gangOutcomes)
	counters.Set("holds", jobHolds)
	counters.Set("agent_calls", agentNotifications)
}
