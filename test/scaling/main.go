// Command scaling measures the resource use of real processes, with stubs of the
// platform and the workers, on the loopback interface: how CPU time, memory, control
// traffic and table use grow with the number of workers, tasks and so on, how long the
// recovery from the loss of an owner takes, how much latency the system adds to a job,
// and whether a daemon stays within its control budget. docs/CAPACITY.md uses the
// printed rows to compute the resources that the design size needs.
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

// Time limits of a whole run, and of one with -short.
const (
	runTimeout   = 20 * time.Minute
	shortTimeout = 90 * time.Second
)

// benchmark holds the settings of one run of the command.
type benchmark struct {
	bin, out string
	short    bool
	report   *report
}

// measurement is one of the measurements that a run consists of. The flag -only selects
// them by name.
type measurement struct {
	name string
	run  func(*benchmark, context.Context) error
	// short says that it is part of a run with -short.
	short bool
}

var measurements = []measurement{
	{"domain", (*benchmark).domainSize, true},
	{"relay", (*benchmark).domainSizeWithRelays, false},
	{"relay-budget", (*benchmark).relayBudget, false},
	{"tasks", (*benchmark).runningTasks, true},
	{"waiting", (*benchmark).waitingJobs, false},
	{"rate", (*benchmark).jobRate, false},
	{"gang", (*benchmark).gangSize, false},
	{"manifest", (*benchmark).manifestSizeAndRate, false},
	{"entries", (*benchmark).entryRows, false},
	{"latency", (*benchmark).latency, true},
	{"throughput", (*benchmark).throughput, true},
	{"budget", (*benchmark).controlBudget, false},
}

func main() {
	b := &benchmark{report: &report{out: os.Stdout}}
	flag.StringVar(&b.bin, "bin", "bin", "directory with the programs")
	flag.StringVar(&b.out, "out", "out/slopes", "directory for logs")
	flag.BoolVar(&b.short, "short", false, "run fewer measurements, with shorter measuring times")
	only := flag.String("only", "", "measurements to run, separated by commas; all if empty")
	format := flag.String("format", os.Getenv("FORMAT"), "table or json (one object per line)")
	flag.Parse()
	b.report.json = *format == "json"
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := b.run(ctx, *only); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func (b *benchmark) run(ctx context.Context, only string) error {
	limit := runTimeout
	if b.short {
		limit = shortTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	names := strings.Split(only, ",")
	for _, m := range measurements {
		if only != "" && !slices.Contains(names, m.name) || only == "" && b.short && !m.short {
			continue
		}
		b.report.section(m.name)
		if err := m.run(b, ctx); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	b.report.printValue("run.duration", "s", time.Since(start).Seconds(), limit.Seconds())
	return nil
}

// window returns the measuring time of one point.
func (b *benchmark) window() time.Duration {
	if b.short {
		return 3 * time.Second
	}
	return 7 * time.Second
}

// settle waits until the work at the start of a deployment has ended. It takes more than
// 5 s, the interval at which entries read the list of entries; agents receive the list
// when it has changed.
func (b *benchmark) settle() {
	if b.short {
		time.Sleep(time.Second)
		return
	}
	time.Sleep(6 * time.Second)
}

// settleLoad waits until the work to start additional tasks has ended.
func (b *benchmark) settleLoad() {
	if b.short {
		time.Sleep(time.Second)
		return
	}
	time.Sleep(2 * time.Second)
}
