package workflow

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// Keys of the rows of a job, in the system's table. The record and the mark of
// its cancellation are created once by an entry; the progress is written by the
// owner only.
const (
	RecordPrefix   = "job/"
	CancelPrefix   = "cancel/"
	ProgressPrefix = "progress/"
	// WorkerPrefix is that of the rows of workers that may run tasks, EntryPrefix
	// that of the entries.
	WorkerPrefix = "worker/"
	EntryPrefix  = "entry/"
)

// Contains reports whether the spec has the task.
func (s *Spec) Contains(t TaskID) bool {
	return t.Occurrence < s.Runs() && t.Step < len(s.Steps) && t.Index < s.Steps[t.Step].Tasks
}

// CutKey splits a row key into its prefix, with the slash, and the name.
func CutKey(key string) (prefix, name string) {
	i := strings.IndexByte(key, '/') + 1
	return key[:i], key[i:]
}

// recordPartitions is the number of partitions for records. A partition of a
// store that is 60 times as slow as usual takes two transactions a second;
// deployments accept four to eight jobs a second in a burst.
const recordPartitions = 4

// Partition returns the partition of a row. A transaction stays within one:
// records have partitions of their own, so that submissions and the owner's
// writes do not wait for each other; all that the owner writes under its fence
// is in the partition with the empty name.
func Partition(key string) string {
	prefix, name := CutKey(key)
	if prefix != RecordPrefix {
		return ""
	}
	h := fnv.New32a()
	h.Write([]byte(name)) // a hash returns no error
	return recordPartition(int(h.Sum32() % recordPartitions))
}

func recordPartition(n int) string { return "jobs" + strconv.Itoa(n) }

// Partitions lists all partitions.
func Partitions() []string {
	out := []string{""}
	for n := range recordPartitions {
		out = append(out, recordPartition(n))
	}
	return out
}
