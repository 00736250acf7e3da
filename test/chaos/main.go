// Command chaos runs a small deployment as separate processes under random
// faults, alone and in pairs, with concurrent submissions, cancellations and
// manifest changes, and checks the eight promises on what was recorded.
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

// Time limits of a run, beside its duration.
const (
	// quietTimeout is the time after the faults in which every job must end:
	// agents are lost after 10 s, and attempts follow one another.
	quietTimeout = 60 * time.Second
	overhead     = 150 * time.Second
)

func main() {
	bin := flag.String("bin", "bin/faults", "folder with the programs, built with the tag faults")
	out := flag.String("out", "out/chaos", "folder for logs and histories")
	seed := flag.Uint64("seed", 1, "seed of the choices")
	duration := flag.Int("duration", 30, "time under faults, in seconds")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(*duration)*time.Second+overhead)
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

// start starts the processes and waits until jobs can be submitted.
func start(ctx context.Context, bin, dir string, seed uint64) (*history.Recorder, error) {
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

func run(ctx context.Context, bin, dir string, seed uint64, duration time.Duration) (bool, error) {
	r, err := start(ctx, bin, dir, seed)
	if err != nil {
		return false, err
	}
	defer r.Cluster.Close()
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var watching sync.WaitGroup
	watching.Go(func() { r.Watch(watch) })
	load, stopLoad := context.WithCancel(ctx)
	l := &loader{r: r, seed: seed}
	l.start(load)
	err = faults(ctx, r, rand.New(rand.NewPCG(seed, 1)), duration)
	stopLoad()
	l.wait()
	if err != nil {
		return false, err
	}
	quiet, cancel := context.WithTimeout(ctx, quietTimeout)
	defer cancel()
	if err := claim(quiet, r); err != nil {
		return false, err
	}
	record, err := r.Collect(quiet)
	stopWatch()
	watching.Wait()
	if err != nil {
		return false, err
	}
	return report(os.Stdout, r, record), nil
}

// claim lets one account borrow everything, and another claim its guarantee.
func claim(ctx context.Context, r *history.Recorder) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	borrow := spec("shop", "wide", "borrow", 60_000, true)
	for i := range 8 {
		s := borrow
		s.RequestKey = "borrow-" + strconv.Itoa(i)
		r.Submit(ctx, s.RequestKey, "", s, 0)
	}
	time.Sleep(2 * time.Second)
	for _, kind := range []string{"pair", "pair"} {
		s := spec("clinic", kind, "claim-"+strconv.Itoa(rand.IntN(1<<30)), 200, true)
		r.Claim(jobID(s))
		wg.Go(func() { r.Submit(ctx, "claim", "", s, 20*time.Second) })
	}
	wg.Wait()
	_, err := r.CancelJobs(ctx, cancelKind("shop", "wide"))
	return err
}

// report prints the run and returns whether every promise was kept and every
// fault was seen.
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
			fmt.Fprintf(w, "  no operation of kind %s\n", kind)
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
