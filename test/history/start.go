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

// startTimeout limits the start of a deployment.
const startTimeout = 15 * time.Second

// StartCluster starts the deployment of cluster.Manifest with three entries,
// and waits until all workers are ready. The caller must close the cluster.
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
		err = r.ready(ctx)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return r, nil
}

// ready applies the first manifest and waits until all workers are ready.
func (r *Recorder) ready(ctx context.Context) error {
	for {
		_, err := r.Cluster.InjectedFaults(ctx) // the platform listens
		if err == nil {
			_, err = r.Cluster.ManifestVersion(ctx, "entry1")
		}
		if err == nil {
			// An entry that asked the platform too early refuses at first.
			if a := r.Apply(ctx, cluster.Manifest, "proof", "entry1", 0); a.Err == nil {
				break
			} else if err = a.Err; a.Err.Verdict != verdict.NotRun {
				return err
			}
		}
		if !every(ctx, 50*time.Millisecond) {
			return fmt.Errorf("platform and entry1 did not start: %w", err)
		}
	}
	for {
		if n, err := r.Ready(ctx); err == nil && n == len(r.Cluster.ProcessNames("worker")) {
			return r.Cluster.WaitReady(startTimeout)
		} else if !every(ctx, 50*time.Millisecond) {
			return fmt.Errorf("%d workers are ready: %v", n, err)
		}
	}
}

// Ready returns the number of workers that are ready for tasks.
func (r *Recorder) Ready(ctx context.Context) (int, error) {
	v, err := r.Reachable().View(ctx, "workers", r.Cluster.Domain())
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

// Answered returns how many of the accepted idempotent jobs got a result.
// Jobs that were cancelled or that fail by their own payload do not count.
func (r *Run) Answered() (answered, accepted int) {
	seen := map[string]bool{}
	for _, o := range r.Ops {
		final := r.Final[o.JobID]
		if !o.Idempotent || o.Job == nil || seen[o.JobID] {
			continue
		}
		if final != nil && (final.State == structs.JobCancelled || strings.Contains(string(o.Spec.Payload), `"fail":true`)) {
			continue
		}
		seen[o.JobID] = true
		accepted++
		if final != nil && final.State == structs.JobFinished {
			answered++
		}
	}
	return answered, accepted
}

// Unanswered counts the accepted idempotent jobs without a result, by state and
// error.
func (r *Run) Unanswered() map[string]int {
	counts, seen := map[string]int{}, map[string]bool{}
	for _, o := range r.Ops {
		final := r.Final[o.JobID]
		if !o.Idempotent || o.Job == nil || seen[o.JobID] || final != nil && final.State == structs.JobFinished {
			continue
		}
		seen[o.JobID] = true
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

// Operations counts the operations by kind.
func (r *Run) Operations() map[string]int {
	return map[string]int{"submit": len(r.Ops), "claim": len(r.Claims), "apply": len(r.Applies), "cancel": r.Cancels, "task": len(r.Tasks)}
}

// Summary counts the operations and the verdicts and errors of submissions.
func (r *Run) Summary() string {
	verdicts, codes := map[string]int{}, map[string]int{}
	for _, o := range r.Ops {
		verdicts[o.Verdict().String()]++
		if o.Err != nil {
			codes[string(o.Err.Code)]++
		}
	}
	return fmt.Sprintf("operations %v, answers to submissions %v, errors %v", r.Operations(), verdicts, codes)
}
