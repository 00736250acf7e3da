package platformclient

import "expvar"

// metrics has the counters of all clients and batches of the process.
var metrics = expvar.NewMap("parsleypier_platform")

const (
	metricCalls           = "calls"
	metricReads           = "reads"  // attempts, including retries, on the table and the object store
	metricWrites          = "writes" // attempts, including retries, on the table and the object store
	metricRetries         = "retries"
	metricRetriesDenied   = "retriesDenied"
	metricFailures        = "failures"
	metricBreakerOpened   = "breakerOpened"
	metricBreakerRefused  = "breakerRefused"
	metricConflicts       = "conflicts"
	metricLostResponses   = "lostAnswers"
	metricBatchTxns       = "batchTransactions"
	metricBatchRows       = "batchRows"
	metricBatchCoalesced  = "batchCoalesced"
	metricBatchSplits     = "batchSplits"
	metricBatchFenced     = "batchFenced" // rows not written because the writer has lost the right to write
	metricBatchReadBacks  = "batchReadBacks"
	metricBatchOverloaded = "batchOverloaded"
)
