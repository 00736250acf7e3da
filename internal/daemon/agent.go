package daemon

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/parsleypier/parsleypier/internal/agent"
	"github.com/parsleypier/parsleypier/internal/config"
	"github.com/parsleypier/parsleypier/internal/manifest"
	"github.com/parsleypier/parsleypier/internal/netfault"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

// RunAgent runs an agent until ctx ends and then drains it: the agent refuses new
// tasks at once, and RunAgent returns when the running tasks have ended and their
// results are delivered, or when the drain timeout ends.
func RunAgent(ctx context.Context, cfg *config.Settings) error {
	holder := &manifest.Holder{}
	addr := cfg.Addresses
	pool := rpc.NewPool(addr.LocalIP, cfg.ID, holder.Version)
	server := rpc.NewServer()
	a, err := agent.New(agent.Config{
		Info: structs.AgentInfo{
			ID: cfg.ID, Addr: cmp.Or(addr.AdvertiseRPC, addr.RPC), Domain: cfg.Place.Domain,
			Region: cfg.Place.Region, Zone: cfg.Place.Zone, Rack: cfg.Place.Rack, Class: cfg.Place.Class,
		},
		Entries: addr.Seeds, Server: server, Pool: pool, Manifest: holder,
		Worker:            workerclient.New(addr.Worker, addr.LocalIP),
		HeartbeatInterval: cfg.Intervals.Heartbeat, BeatInterval: cfg.Intervals.Heartbeat,
		GangLease: cfg.Intervals.Lease, TaskLease: cfg.Intervals.Lease, PrepareTTL: cfg.Intervals.PrepareTTL,
		ResultMemory: int64(cfg.Limits.HeldResultsMiB) << 20,
	})
	if err != nil {
		return err
	}
	listener, err := netfault.Listen(addr.HTTP)
	if err != nil {
		return err
	}
	if _, err := server.Listen(addr.RPC); err != nil {
		return err
	}
	publishMetrics(pool, server, holder)
	httpServer := &http.Server{Handler: withFaultHandler(a.Handler()), ReadHeaderTimeout: 5 * time.Second}
	go func() {
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "HTTP server failed")
		}
	}()
	agentCtx, stop := context.WithCancel(context.Background())
	defer stop()
	runErr := make(chan error, 1)
	go func() { runErr <- a.Run(agentCtx) }()
	select {
	case err := <-runErr:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), cfg.Limits.DrainTimeout)
	defer cancel()
	a.Drain(drainCtx)
	stop()
	err = <-runErr
	server.Close(drainCtx)
	pool.Close()
	return errors.Join(err, httpServer.Shutdown(drainCtx))
}

// withFaultHandler adds the route POST /debug/faults, which controls fault
// injection, in builds with the tag faults.
func withFaultHandler(h http.Handler) http.Handler {
	faults := netfault.Handler()
	if faults == nil {
		return h
	}
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.Handle("POST /debug/faults", faults)
	return mux
}
