// Command parsleypierd is the daemon. It has one of two roles: an entry serves
// clients and may own placement domains, an agent runs beside a worker.
//
// The daemon has two modes. Without a command, it schedules gangs and takes its
// settings from flags and environment variables (package config). With the single
// argument "hosted", it schedules workflows on the platform of its users and takes
// its settings from a file in that platform's format.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/config"
	"github.com/parsleypier/parsleypier/internal/daemon"
	"github.com/parsleypier/parsleypier/internal/telemetry"
)

// Exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

// telemetryTimeout limits the time for writing the last spans.
const telemetryTimeout = 2 * time.Second

func main() {
	if len(os.Args) == 2 && os.Args[1] == hostedCommand {
		if err := runHosted(); err != nil {
			fmt.Fprintf(os.Stderr, "parsleypierd: %v\n", err)
			os.Exit(exitFailed)
		}
		return
	}
	cfg, err := config.Parse(os.Args[1:])
	var help *config.HelpError
	if errors.As(err, &help) {
		fmt.Println(help.Message)
		return
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "parsleypierd: %v\n", err)
		os.Exit(exitInvalidSettings)
	}
	if err := run(cfg); err != nil {
		klog.ErrorS(err, "Daemon failed", "role", cfg.Role, "id", cfg.ID)
		klog.Flush()
		os.Exit(exitFailed)
	}
}

func run(cfg *config.Settings) error {
	t, err := telemetry.Setup(telemetry.Options{
		Service: "parsleypierd", ID: cfg.ID, Role: cfg.Role, Verbosity: cfg.Watch.Verbosity,
		TraceFile: cfg.Watch.TraceFile, TraceRatio: cfg.Watch.TraceRatio, TraceLimitBytes: int64(cfg.Watch.TraceLimitMiB) << 20,
	})
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), telemetryTimeout)
		defer cancel()
		if err := t.Shutdown(ctx); err != nil {
			klog.ErrorS(err, "Writing the last spans failed")
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if cfg.Role == config.RoleAgent {
		return daemon.RunAgent(ctx, cfg)
	}
	e, err := daemon.NewEntry(cfg)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
