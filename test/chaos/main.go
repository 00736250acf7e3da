// Command chaos runs a small deployment of separate processes under concurrent
// submissions, cancellations and manifest changes, injects random faults, one or two
// at a time, and checks the eight promises of package history against the record.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/parsleypier/parsleypier/test/history"
)

const (
	// jobEndTimeout is the time after the last fault within which every job must
	// end: an agent is declared lost after 10 s, and a job can need several attempts.
	jobEndTimeout = 60 * time.Second
	// extraRunTime limits the time of a run beyond the time under faults.
	extraRunTime = 150 * time.Second
)

func main() {
	bin := flag.String("bin", "bin/faults", "directory with the programs, built with the tag faults")
	out := flag.String("out", "out/chaos", "directory for logs and histories")
	seed := flag.Uint64("seed", 1, "seed of the random choices")
	duration := flag.Int("duration", 30, "time under faults, in seconds")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(*duration)*time.Second+extraRunTime)
	defer cancel()
	dir := filepath.Join(*out, strconv.FormatUint(*seed, 10))
	ok, err := run(ctx, *bin, dir, *seed, time.Duration(*duration)*time.Second)
	if err != nil {
		fmt.Fprintf(os.Stderr, "chaos: seed %d: %v\n", *seed, err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// startCluster empties dir, starts the processes and waits until all workers are ready.
func startCluster(ctx context.Context, bin, dir string, seed uint64) (*history.Recorder, error) {
	if err := os.RemoveAll(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	r, err := history.StartCluster(ctx, bin, dir, seed)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// run runs load and faults for the duration, waits until all jobs have ended, and
// reports whether the record passed all checks.
func run(ctx context.Context, bin, dir string, seed uint64, duration time.Duration) (bool, error) {
	r, err := startCluster(ctx, bin, dir, seed)
	if err != nil {
		return false, err
	}
	defer r.Cluster.Close()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var watchers sync.WaitGroup
	watchers.Go(func() { r.Watch(watchCtx) })
	loadCtx, stopLoad := context.WithCancel(ctx)
	l := &loadGenerator{r: r, seed: seed}
	l.start(loadCtx)
	err = injectFaults(ctx, r, rand.New(rand.NewPCG(seed, 1)), duration)
	stopLoad()
	l.wait()
	if err != nil {
		return false, err
	}
	endCtx, cancel := context.WithTimeout(ctx, jobEndTimeout)
	defer cancel()
	if err := reclaimBorrowed(endCtx, r); err != nil {
		return false, err
	}
	recorded, err := r.Collect(endCtx)
	stopWatch()
	watchers.Wait()
	if err != nil {
		return false, err
	}
	return report(os.Stdout, r, recorded), nil
}

// reclaimBorrowed lets one account borrow all accelerators, then submits jobs of
// another account inside its guarantee, and cancels the borrowing jobs.
func reclaimBorrowed(ctx context.Context, r *history.Recorder) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	borrow := jobSpec("shop", "wide", "borrow", 60_000, true)
	for i := range 8 {
		s := borrow
		s.RequestKey = "borrow-" + strconv.Itoa(i)
		r.Submit(ctx, s.RequestKey, "", s, 0)
	}
	time.Sleep(2 * time.Second)
	for _, kind := range []string{"pair", "pair"} {
		s := jobSpec("clinic", kind, "claim-"+strconv.Itoa(rand.IntN(1<<30)), 200, true)
		r.Claim(jobID(s))
		wg.Go(func() { r.Submit(ctx, "claim", "", s, 20*time.Second) })
	}
	wg.Wait()
	_, err := r.CancelJobs(ctx, cancelRequest("shop", "wide"))
	return err
}

// report prints a summary of the run. It returns true if every promise was kept, some
// fault took effect, there were operations of every kind, the takeovers were in time,
// and at least 90 % of the accepted idempotent jobs have a result.
func report(w *os.File, r *history.Recorder, run *history.Run) bool {
	fmt.Fprintf(w, "seed %d: %s\n", run.Seed, run.Summary())
	seen := map[string]int{}
	for _, f := range run.Faults {
		if f.TookEffect {
			seen[string(f.Kind)]++
		}
	}
	fmt.Fprintf(w, "  faults seen: %v; not seen: %v\n", seen, run.IneffectiveFaults())
	ok := len(seen) > 0
	for kind, n := range run.OperationCounts() {
		if n == 0 {
			fmt.Fprintf(w, "  no operation of kind %s was recorded\n", kind)
			ok = false
		}
	}
	for _, t := range r.Takeovers() {
		fmt.Fprintf(w, "  takeover %d ms after the row's expiry (%d ms after the loss)\n", t.AfterExpiry.Milliseconds(), t.To.Sub(t.From).Milliseconds())
	}
	for _, t := range r.Takeovers() {
		ok = ok && t.AfterExpiry <= history.TakeoverBound
	}
	for _, f := range run.Check() {
		fmt.Fprintln(w, " ", f)
		ok = ok && len(f.Violations) == 0
	}
	answered, accepted := run.AnsweredJobs()
	share := 100.0
	if accepted > 0 {
		share = 100 * float64(answered) / float64(accepted)
	}
	fmt.Fprintf(w, "  accepted idempotent jobs answered: %d of %d (%.1f%%)\n", answered, accepted, share)
	fmt.Fprintf(w, "  without a result: %v\n", run.UnansweredJobs())
	if share < 90 {
		ok = false
	}
	if !ok {
		fmt.Fprintf(w, "seed %d: FAILED\n", run.Seed)
	}
	return ok
}
