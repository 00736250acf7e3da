package platformclient

import "expvar"

// metrics counts what all clients and batches of the process do.
var metrics = expvar.NewMap("parsleypier_platform")

const (
	metricCalls           = "calls"
	metricReads           = "reads"  // attempts of reads, of tables and objects
	metricWrites          = "writes" // attempts of writes, of tables and objects
	metricRetries         = "retries"
	metricRetriesDenied   = "retriesDenied"
	metricFailures        = "failures"
	metricBreakerOpened   = "breakerOpened"
	metricBreakerRefused  = "breakerRefused"
	metricConflicts       = "conflicts"
	metricLostAnswers     = "lostAnswers"
	metricBatchTxns       = "batchTransactions"
	metricBatchRows       = "batchRows"
	metricBatchCoalesced  = "batchCoalesced"
	metricBatchSplits     = "batchSplits"
	metricBatchFenced     = "batchFenced" // rows of writers that have lost the right to write
	metricBatchReadBacks  = "batchReadBacks"
	metricBatchOverloaded = "batchOverloaded"
)
