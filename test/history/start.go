package history

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/test/cluster"
)

// startTimeout limits the start of a cluster.
const startTimeout = 15 * time.Second

// StartCluster starts a cluster of cluster.Manifest with three entries, and waits until
// all workers are ready. The caller must close the Recorder's cluster.
func StartCluster(ctx context.Context, bin, dir string, seed uint64) (*Recorder, error) {
	m, err := manifest.Decode(cluster.Manifest)
	if err != nil {
		return nil, err
	}
	domain, workers := cluster.ManifestWorkers(m)
	c := cluster.New(cluster.Options{Bin: bin, Dir: dir, Domain: domain, Entries: 3, Workers: workers, Traces: true})
	r, err := NewRecorder(c, cluster.Manifest, seed)
	if err == nil {
		err = c.StartAll()
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		err = r.waitReady(ctx)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return r, nil
}

// waitReady applies the first manifest and waits until all workers are ready.
func (r *Recorder) waitReady(ctx context.Context) error {
	for {
		_, err := r.Cluster.InjectedFaults(ctx) // succeeds once the platform listens
		if err == nil {
			_, err = r.Cluster.ManifestVersion(ctx, "entry1")
		}
		if err == nil {
			// An entry that contacted the platform before it listened refuses requests
			// for some time; NotRun means that a retry is safe.
			if a := r.Apply(ctx, cluster.Manifest, "proof", "entry1", 0); a.Err == nil {
				break
			} else if err = a.Err; a.Err.Verdict != verdict.NotRun {
				return err
			}
		}
		if !sleepContext(ctx, 50*time.Millisecond) {
			return fmt.Errorf("manifest not applied before the start timeout: %w", err)
		}
	}
	for {
		if n, err := r.ReadyWorkers(ctx); err == nil && n == len(r.Cluster.ProcessNames("worker")) {
			return r.Cluster.WaitReady(startTimeout)
		} else if !sleepContext(ctx, 50*time.Millisecond) {
			return fmt.Errorf("only %d workers ready before the start timeout: %v", n, err)
		}
	}
}

// ReadyWorkers returns the number of workers in state ready.
func (r *Recorder) ReadyWorkers(ctx context.Context) (int, error) {
	v, err := r.HealthyClient().View(ctx, "workers", r.Cluster.Domain())
	if err != nil || len(v.Domains) != 1 || v.Domains[0].Error != nil || v.Domains[0].Recovering {
		return 0, err
	}
	n := 0
	for _, w := range v.Domains[0].Workers {
		if w.State == structs.WorkerReady {
			n++
		}
	}
	return n, nil
}

// AnsweredJobs returns the number of accepted idempotent jobs, and how many of them
// finished with a result. Jobs that were cancelled, or whose payload makes them fail,
// are left out.
func (r *Run) AnsweredJobs() (answered, accepted int) {
	seen := map[string]bool{}
	for _, sub := range r.Submissions {
		final := r.Final[sub.JobID]
		if !sub.Idempotent || sub.Job == nil || seen[sub.JobID] {
			continue
		}
		if final != nil && (final.State == structs.JobCancelled || strings.Contains(string(sub.Spec.Payload), `"fail":true`)) {
			continue
		}
		seen[sub.JobID] = true
		accepted++
		if final != nil && final.State == structs.JobFinished {
			answered++
		}
	}
	return answered, accepted
}

// UnansweredJobs counts the accepted idempotent jobs without a result by their final
// state and error.
func (r *Run) UnansweredJobs() map[string]int {
	counts, seen := map[string]int{}, map[string]bool{}
	for _, sub := range r.Submissions {
		final := r.Final[sub.JobID]
		if !sub.Idempotent || sub.Job == nil || seen[sub.JobID] || final != nil && final.State == structs.JobFinished {
			continue
		}
		seen[sub.JobID] = true
		what := "not found"
		if final != nil {
			what = string(final.State)
			if final.Error != nil {
				what += " " + string(final.Error.Code) + ": " + final.Error.Message
			}
		}
		counts[what]++
	}
	return counts
}

// OperationCounts returns the number of recorded operations by kind.
func (r *Run) OperationCounts() map[string]int {
	return map[string]int{"submit": len(r.Submissions), "claim": len(r.Claims), "apply": len(r.Applies), "cancel": r.Cancels, "task": len(r.Tasks)}
}

// Summary returns a line with the numbers of operations, and of submissions by verdict
// and by error code.
func (r *Run) Summary() string {
	verdicts, codes := map[string]int{}, map[string]int{}
	for _, sub := range r.Submissions {
		verdicts[sub.Verdict().String()]++
		if sub.Err != nil {
			codes[string(sub.Err.Code)]++
		}
	}
	return fmt.Sprintf("operations %v, answers to submissions %v, errors %v", r.OperationCounts(), verdicts, codes)
}
