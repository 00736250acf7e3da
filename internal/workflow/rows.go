package workflow

import "strings"

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
