// Command platform-stub serves an in-memory stub of the platform for tests and
// demonstrations.
package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/netfault"
	"github.com/parsleypier/parsleypier/internal/platformstub"
)

// shutdownTimeout limits the wait for requests in progress.
const shutdownTimeout = 2 * time.Second

type options struct {
	Listen          string  `long:"listen" env:"PLATFORM_STUB_LISTEN" default:"127.0.0.1:7070" description:"address to serve on"`
	WritesPerSecond float64 `long:"writes-per-second" description:"limit of writes; 0 for none"`
	ReadsPerSecond  float64 `long:"reads-per-second" description:"limit of reads; 0 for none"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		klog.ErrorS(err, "platform stub failed")
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := netfault.Listen(o.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", platformstub.New(platformstub.Options{WritesPerSecond: o.WritesPerSecond, ReadsPerSecond: o.ReadsPerSecond}))
	if h := netfault.Handler(); h != nil {
		mux.Handle("POST /debug/netfault", h)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	klog.InfoS("platform stub started", "listenAddr", l.Addr().String())
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
