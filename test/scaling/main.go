// Command scaling measures what the processes of the system use, in real
// processes with the stand-ins on loopback: how processor time, memory, control
// traffic and table use grow with each size, how long recovery takes, which
// latency the system adds, and whether the control budget of a daemon holds.
// docs/CAPACITY.md computes the design size from its rows.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Time limits of a run.
const (
	runTimeout   = 20 * time.Minute
	shortTimeout = 90 * time.Second
)

// bench is one run.
type bench struct {
	bin, out string
	short    bool
	report   *report
}

// part is one measurement.
type part struct {
	name string
	run  func(*bench, context.Context) error
	// short says that a short run has it.
	short bool
}

var parts = []part{
	{"domain", (*bench).domainSize, true},
	{"relay", (*bench).relaySlopes, false},
	{"relay-budget", (*bench).relayBudget, false},
	{"tasks", (*bench).runningTasks, true},
	{"waiting", (*bench).waitingJobs, false},
	{"rate", (*bench).jobRate, false},
	{"gang", (*bench).gangSize, false},
	{"manifest", (*bench).manifestSlopes, false},
	{"entries", (*bench).entryRows, false},
	{"latency", (*bench).latency, true},
	{"throughput", (*bench).throughput, true},
	{"budget", (*bench).budget, false},
}

func main() {
	b := &bench{report: &report{out: os.Stdout}}
	flag.StringVar(&b.bin, "bin", "bin", "folder with the programs")
	flag.StringVar(&b.out, "out", "out/slopes", "folder for logs")
	flag.BoolVar(&b.short, "short", false, "fewer parts and shorter windows")
	only := flag.String("only", "", "parts to run, separated by commas; all if empty")
	format := flag.String("format", os.Getenv("FORMAT"), "table or json (a line for each row)")
	flag.Parse()
	b.report.json = *format == "json"
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := b.run(ctx, *only); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func (b *bench) run(ctx context.Context, only string) error {
	limit := runTimeout
	if b.short {
		limit = shortTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	names := strings.Split(only, ",")
	for _, p := range parts {
		if only != "" && !slices.Contains(names, p.name) || only == "" && b.short && !p.short {
			continue
		}
		b.report.section(p.name)
		if err := p.run(b, ctx); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	b.report.figure("run.duration", "s", time.Since(start).Seconds(), limit.Seconds())
	return nil
}

// window returns the measuring time of a point.
func (b *bench) window() time.Duration {
	if b.short {
		return 3 * time.Second
	}
	return 7 * time.Second
}

// settle lets start-up work end before a point is measured. Entries read the
// list of entries every 5 s, and agents receive it when it has changed.
func (b *bench) settle() {
	if b.short {
		time.Sleep(time.Second)
		return
	}
	time.Sleep(6 * time.Second)
}

// settleLoad lets the start of further tasks end.
func (b *bench) settleLoad() {
	if b.short {
		time.Sleep(time.Second)
		return
	}
	time.Sleep(2 * time.Second)
}
