// Command worker-stub is a stub worker. It serves the worker protocol of
// docs/api-worker.md and sleeps instead of computing. Given several addresses, it
// runs an independent worker at each of them.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/parsleypier/parsleypier/internal/netfault"
	"github.com/parsleypier/parsleypier/internal/workerstub"
)

// Time limits of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
)

type options struct {
	Listen       []string `long:"listen" env:"WORKER_STUB_LISTEN" env-delim:"," default:"127.0.0.1:0" description:"HTTP address of a worker; may be given several times"`
	Accelerators int      `long:"accelerators" env:"WORKER_STUB_ACCELERATORS" default:"8" description:"number of accelerators, 0 to 64"`
	CoresMilli   int      `long:"cores-milli" env:"WORKER_STUB_CORES_MILLI" default:"64000" description:"thousandths of a processor core"`
	MemoryMB     int      `long:"memory-mb" env:"WORKER_STUB_MEMORY_MB" default:"262144" description:"memory in MB"`
	History      string   `long:"history" env:"WORKER_STUB_HISTORY" description:"file to which every event is appended as a line of JSON"`
	Slots        int      `long:"slots" env:"WORKER_STUB_SLOTS" default:"8" description:"limit of tasks at a time"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "worker-stub:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Accelerators < 0 || o.Accelerators > 64 {
		return errors.New("accelerators must be between 0 and 64")
	}
	cfg := workerstub.Config{Accelerators: o.Accelerators, CoresMilli: o.CoresMilli, MemoryMB: o.MemoryMB, Slots: o.Slots}
	if o.History != "" {
		f, err := os.OpenFile(o.History, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		cfg.Log = f
	}
	var stubs []*stub
	for _, address := range o.Listen {
		s, err := listen(cfg, address)
		if err != nil {
			return err
		}
		defer s.worker.Close()
		stubs = append(stubs, s)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	failed := make(chan error, len(stubs))
	for _, s := range stubs {
		go func() { failed <- s.server.Serve(s.listener) }()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	ctx, cancel = context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var err error
	for _, s := range stubs {
		s.worker.Close() // ends long polls, so that Shutdown does not wait for them
		err = errors.Join(err, s.server.Shutdown(ctx))
	}
	return err
}

// stub is a worker and its HTTP server.
type stub struct {
	worker   *workerstub.Worker
	server   *http.Server
	listener net.Listener
}

// listen opens the address of a worker, prints it and returns the worker with its
// server.
func listen(cfg workerstub.Config, address string) (*stub, error) {
	l, err := netfault.Listen(address)
	if err != nil {
		return nil, err
	}
	w := workerstub.New(cfg)
	mux := http.NewServeMux()
	mux.Handle("/", w.Handler())
	if h := netfault.Handler(); h != nil {
		mux.Handle("POST /debug/faults", h)
	}
	fmt.Println(l.Addr())
	return &stub{w, &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}, l}, nil
}
