package workflow

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// Key prefixes of the rows in the system's table. A job has a record and a cancellation
// row, which an entry creates once, and rows of its progress, which only the owner writes:
// the main row and, for a large job, one for each chunk (see Progress.EncodeRow).
const (
	RecordPrefix = "job/"
	// SpareRecordPrefix is the prefix of a record that could not be written to the partition
	// of its usual row. A job may have both rows, with the same specification.
	SpareRecordPrefix = "spare-job/"
	CancelPrefix      = "cancel/"
	ProgressPrefix    = "progress/"
	// ProgressChunkPrefix is followed by the job's ID, a dot and the chunk.
	ProgressChunkPrefix = "progress-chunk/"
	// WorkerPrefix is the prefix of the rows of workers that may run tasks, EntryPrefix
	// that of the rows of entries.
	WorkerPrefix = "worker/"
	EntryPrefix  = "entry/"
)

// HasTask reports whether the task is one of the spec's, without regard to its job ID.
func (s *Spec) HasTask(t TaskID) bool {
	return t.Occurrence < s.OccurrenceCount() && t.Step < len(s.Steps) && t.Index < s.Steps[t.Step].Tasks
}

// SplitKey splits a row key into its prefix, including the slash, and the name.
func SplitKey(key string) (prefix, name string) {
	i := strings.IndexByte(key, '/') + 1
	return key[:i], key[i:]
}

// recordPartitionCount is the number of partitions for records. A partition of a store
// that is 60 times slower than usual serves two transactions per second, and deployments
// accept four to eight jobs per second in a burst.
const recordPartitionCount = 4

// Partition returns the store partition of a row. A transaction must stay within one
// partition. Records have their own, so that submissions and the owner's writes do not
// wait for each other. All rows that the owner writes under its fence are in the
// partition with the empty name.
func Partition(key string) string {
	prefix, name := SplitKey(key)
	if prefix != RecordPrefix && prefix != SpareRecordPrefix {
		return ""
	}
	h := fnv.New32a()
	h.Write([]byte(name)) // never returns an error
	n := int(h.Sum32() % recordPartitionCount)
	if prefix == SpareRecordPrefix {
		n = (n + recordPartitionCount/2) % recordPartitionCount
	}
	return recordPartitionName(n)
}

func recordPartitionName(n int) string { return "jobs" + strconv.Itoa(n) }

// Partitions lists the names of all partitions.
func Partitions() []string {
	out := []string{""}
	for n := range recordPartitionCount {
		out = append(out, recordPartitionName(n))
	}
	return out
}
