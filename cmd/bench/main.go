// Command bench compares the placement policy with baseline policies on generated
// load in virtual time, and measures the time of a scheduling decision.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/parsleypier/parsleypier/internal/bench"
	"github.com/parsleypier/parsleypier/internal/workflowbench"
)

type options struct {
	Deployments string `long:"deployments" default:"alwusta,andrade,domain42,domain200" description:"Deployments, separated by commas"`
	Loads       string `long:"loads" default:"0.6,0.8,0.95,burst" description:"Loads, separated by commas"`
	Policies    string `long:"policies" default:"first-fit,backfill,best-fit,parsleypier" description:"Policies, separated by commas"`
	Seeds       int    `long:"seeds" default:"5" description:"Number of seeds"`
	FirstSeed   uint64 `long:"first-seed" default:"1" description:"First seed"`
	Parallel    int    `long:"parallel" default:"10" description:"Runs at a time"`
	Format      string `long:"format" env:"FORMAT" default:"table" choice:"table" choice:"json" description:"Output format"`
	Short       bool   `long:"short" description:"A quarter of the time and one seed"`
	Cost        bool   `long:"cost" description:"Measure only the cost of a decision"`
	NoCost      bool   `long:"no-cost" description:"Leave out the cost of a decision"`
	Workflows   bool   `long:"workflows" description:"Measure only the decision for workflows"`
	Days        int    `long:"days" default:"4" description:"Number of days for each load of workflows"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(doubleDashFlags(args)); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			fmt.Println(err)
			return nil
		}
		return err
	}
	x, err := newMatrix(&o)
	if err != nil {
		return err
	}
	start := time.Now()
	if o.Workflows {
		writeWorkflows(o.Days)
		return nil
	}
	if !o.Cost {
		results, err := x.Run(ctx)
		if err != nil {
			return err
		}
		if o.Format == "json" {
			return bench.WriteJSON(os.Stdout, results)
		}
		fmt.Printf("seeds %d..%d; mean and range over the seeds\n", x.Seeds[0], x.Seeds[len(x.Seeds)-1])
		if err := bench.WriteTable(os.Stdout, results); err != nil {
			return err
		}
	}
	if !o.NoCost {
		fmt.Println()
		if err := bench.WriteCosts(os.Stdout, measureCosts(x, o.Short)); err != nil {
			return err
		}
	}
	fmt.Printf("\n%.0f s\n", time.Since(start).Seconds())
	return nil
}

// writeWorkflows prints the results of the workflow policies on the same arrivals.
func writeWorkflows(days int) {
	policies := workflowbench.Policies()
	for _, l := range workflowbench.Loads() {
		fmt.Printf("%s; %d days; bound is the value if each job ran alone\n", l.Name, days)
		fmt.Printf("  %-22s %6s %6s %7s %6s %6s %7s %6s\n", "policy", "worth", "bound", "urgent", "large", "batch", "thrown", "idle")
		for i, r := range workflowbench.Compare(l, days, policies) {
			fmt.Printf("  %-22s %6.3f %6.3f %7.3f %6.3f %6.3f %7.3f %6.3f\n", policies[i].Name, r.EarnedShare, r.EarnedShareBound,
				r.EarnedShareByQueue["urgent"], r.EarnedShareByQueue["large"], r.EarnedShareByQueue["batch"], r.LostWorkShare, r.IdleGPUShare)
		}
	}
}

// doubleDashFlags adds a second dash to long flags with one dash, such as -format
// json, which the flag package of the standard library accepts.
func doubleDashFlags(args []string) []string {
	out := slices.Clone(args)
	for i, a := range out {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			out[i] = "-" + a
		}
	}
	return out
}

// newMatrix returns the runs that the options select.
func newMatrix(o *options) (*bench.Matrix, error) {
	x := &bench.Matrix{Deployments: strings.Split(o.Deployments, ","), Short: o.Short, Parallel: o.Parallel}
	for _, d := range x.Deployments {
		if !slices.Contains(bench.Deployments(), d) {
			return nil, fmt.Errorf("unknown deployment %q", d)
		}
	}
	for _, name := range strings.Split(o.Loads, ",") {
		i := slices.IndexFunc(bench.Loads, func(l bench.Load) bool { return l.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown load %q", name)
		}
		x.Loads = append(x.Loads, bench.Loads[i])
	}
	all := bench.Policies()
	for _, name := range strings.Split(o.Policies, ",") {
		i := slices.IndexFunc(all, func(p bench.Policy) bool { return p.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown policy %q", name)
		}
		x.Policies = append(x.Policies, all[i])
	}
	seeds := max(1, o.Seeds)
	if o.Short {
		seeds = 1
	}
	for i := range seeds {
		x.Seeds = append(x.Seeds, o.FirstSeed+uint64(i))
	}
	return x, nil
}

// measureCosts measures the decision time of the last policy for several numbers of
// workers and of waiting jobs. It runs one measurement at a time, because parallel
// runs would distort the times.
func measureCosts(x *bench.Matrix, short bool) []bench.Cost {
	sizes := []int{11, 42, 200, 3400}
	if short {
		sizes = sizes[:3]
	}
	var out []bench.Cost
	for _, workers := range sizes {
		for _, waiting := range []int{0, 100, 1000, 5000} {
			for _, p := range x.Policies[len(x.Policies)-1:] {
				out = append(out, bench.MeasureCost(p, workers, waiting))
			}
		}
	}
	return out
}
