// Command parsleypier is the command-line client for callers and operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/parsleypier/parsleypier/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
