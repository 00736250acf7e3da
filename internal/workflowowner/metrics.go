package workflowowner

import "expvar"

// The metrics of this package, shared by all Owners of a process.
var (
	metrics   = expvar.NewMap("parsleypier_tasks")
	runEnds   = subMap("ends")          // ends of runs by kind
	rejects   = subMap("rejected")      // orders that workers rejected, by reason
	startWait = subMap("start_wait")    // from ready to ordered, by upper bound
	startTime = subMap("start_time")    // from ordered to reported as running
	jobEnds   = subMap("jobs")          // ended jobs by state
	jobTime   = subMap("job_time")      // from acceptance to the end, by upper bound
	waits     = subMap("waits")         // decisions that left tasks waiting, by reason
	takeovers = new(expvar.Int)         // terms as owner
	stopsMade = new(expvar.Int)         // runs that were ordered to stop
	lostRuns  = new(expvar.Int)         // runs that ended with their worker or its lease
	writeWait = subMap("write_latency") // writes of the owner, by upper bound
	decisions = subMap("decision_time") // decisions with what follows from them, by upper bound
)

func init() {
	metrics.Set("takeovers", takeovers)
	metrics.Set("stops", stopsMade)
	metrics.Set("lost_runs", lostRuns)
}

func subMap(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	metrics.Set(name, m)
	return m
}
