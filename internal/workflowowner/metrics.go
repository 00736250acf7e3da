package workflowowner

import "expvar"

// Metrics, shared by all Owners of a process.
var (
	metrics        = expvar.NewMap("parsleypier_tasks")
	runEnds        = subMap("ends")          // ended runs by kind
	rejectedStarts = subMap("rejected")      // starts that workers rejected, by reason
	startWait      = subMap("start_wait")    // from ready to ordered, by upper bound
	startTime      = subMap("start_time")    // from ordered to reported as running, by upper bound
	jobEnds        = subMap("jobs")          // ended jobs by state
	jobTime        = subMap("job_time")      // from acceptance to the end, by upper bound
	waitDecisions  = subMap("waits")         // changes of the reason why a step waits, by new reason
	takeovers      = new(expvar.Int)         // owners started
	stopsOrdered   = new(expvar.Int)         // runs that were ordered to stop
	workerEnds     = subMap("worker_ends")   // ended workers, by how they ended
	lostRuns       = new(expvar.Int)         // runs lost because their worker ended or its leases expired
	writeLatency   = subMap("write_latency") // writes to the store, by upper bound
	refusedWrites  = new(expvar.Int)         // transactions that the store refused for good
	decisionTime   = subMap("decision_time") // decisions including the resulting orders, by upper bound
)

func init() {
	metrics.Set("takeovers", takeovers)
	metrics.Set("stops", stopsOrdered)
	metrics.Set("lost_runs", lostRuns)
	metrics.Set("refused_writes", refusedWrites)
}

func subMap(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	metrics.Set(name, m)
	return m
}
