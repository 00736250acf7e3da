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

	"github.com/parsleypier/parsleypier/internal/boottime"
	"github.com/parsleypier/parsleypier/internal/evacuation"
	"github.com/parsleypier/parsleypier/internal/eventlog"
	"github.com/parsleypier/parsleypier/internal/memlimit"
	"github.com/parsleypier/parsleypier/internal/rowstore"
	"github.com/parsleypier/parsleypier/internal/rpc"
	"github.com/parsleypier/parsleypier/internal/workflow"
	"github.com/parsleypier/parsleypier/internal/workflowdaemon"
	"github.com/parsleypier/parsleypier/internal/workflowowner"
	"github.com/parsleypier/parsleypier/platform"
)

// hostedCommand is the argument that makes the daemon run in hosted mode: on the
// platform of its users, the system that package platform connects to. It provides the
// settings file, the store, the advice service and the workers. In the other mode,
// "platform" means only the table service and object store of the setting --platform.
const hostedCommand = "hosted"

// Shutdown times and HTTP limits of a hosted process.
const (
	// acceptShare is the share of the time between SIGTERM and SIGKILL for which an
	// entry still accepts connections. The load balancer stops sending new ones
	// within 2 s.
	acceptShare = 0.4
	// drainShare is the share of the same time within which the shutdown has to end.
	drainShare = 0.8
	// flushTimeout limits writing the last log lines and, in an agent, the
	// shutdown.
	flushTimeout = 100 * time.Millisecond
	// readHeaderTimeout and idleTimeout are the values in the platform's
	// configurations.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// runHosted runs the role that the settings file assigns to the process.
func runHosted() error {
	path := os.Getenv(platform.SettingsEnv)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	role := "agent"
	if s.ServesClients {
		role = "entry"
	}
	log := eventlog.New(os.Stdout, s.Process, role)
	log.Event("process_started", "ip", s.IP, "zone", s.Zone, "seeds", len(s.Seeds), "pid", os.Getpid())
	defer func() {
		log.Event("process_stopped")
		log.Flush(flushTimeout)
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	reload := func(apply func(seeds []string)) {
		for range hup {
			changed, err := platform.LoadSettings(path)
			if err != nil {
				log.Event("settings_rejected", "err", err.Error())
				continue
			}
			log.Event("settings_reloaded", "seeds", len(changed.Seeds))
			apply(changed.Seeds)
		}
	}
	if role == "entry" {
		return runHostedEntry(ctx, s, log, reload)
	}
	return runHostedAgent(ctx, s, log, reload)
}

// newStore returns a client of the platform's store that sends its calls through
// call.
func newStore(call rowstore.CallFunc) rowstore.Store {
	return &platform.Store{
		Do: call, Table: workflowdaemon.Table, Layout: platform.Layout{PartitionOf: workflow.Partition, Partitions: workflow.Partitions()},
	}
}

func runHostedEntry(ctx context.Context, s *platform.Settings, log *eventlog.Log, reload func(func([]string))) error {
	pool := rpc.NewPool("", s.Process, nil)
	e := workflowdaemon.NewEntry(workflowdaemon.EntryOptions{
		ID: s.Process, RPCAddr: s.RPCAddr, Seeds: s.Seeds, Zone: s.Zone, MilliCores: s.MilliCores, StoreCall: platform.NewStoreCallFunc(s.StoreAddr), NewStore: newStore,
		MaxRowBytes:   s.MaxRowBytes,
		OperatorTable: platform.OperatorTable, ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig, MaxConfigAge: s.Bounds.ApplyLimit, Log: log,
		EvacuationPrefix: platform.EvacuationPrefix, Evacuation: evacuation.Limits{Bound: s.Bounds.EvacuationLimit, Contact: s.Bounds.ContactTime},
		Caller: pool, Advisor: platform.NewAdvisor(s.AdviceAddr), Clock: boottime.Now, ProcessGone: workflowdaemon.ProcessGone,
		Times: workflowowner.Times{
			Lease: s.Bounds.MaxLease, StopGrace: s.Bounds.StopGrace, GangWait: s.Bounds.GangWait, JobRetention: s.Bounds.JobRetention,
			RemotePenalty: s.Bounds.RemotePenalty, Reclaim: s.Bounds.ReclaimLimit,
		},
	})
	server, err := serveRPC(s.RPCAddr, e.Services())
	if err != nil {
		return err
	}
	go reload(e.SetSeeds)
	metrics := newMetrics()
	publishConfig(e.Config)
	budget := newBudget(s, log)
	clients := &platform.ClientHandler{Gateway: e.Gateway, Config: e.Config, RefreshConfig: e.RefreshConfig, Log: log, Leaving: e.Leaving, ObserveRequest: metrics.observeRequest}
	running, err := listen([]endpoint{
		{s.ClientAddr, clients, budget.ShareOf("clients", clientShare)},
		{s.ReadinessAddr, platform.ReadinessHandler(e.Ready), budget.ShareOf("readiness", operatorShare)},
		{s.MetricsAddr, metrics, budget.ShareOf("metrics", operatorShare)},
	}, log)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go e.Run(runCtx)
	<-ctx.Done()
	log.Event("process_leaving", "graceMs", s.Bounds.ShutdownGrace.Milliseconds())
	started := time.Now()
	drainCtx, cancel := context.WithTimeout(runCtx, time.Duration(drainShare*float64(s.Bounds.ShutdownGrace)))
	defer cancel()
	accepting := time.Duration(acceptShare * float64(s.Bounds.ShutdownGrace))
	leaveCtx, cancelLeave := context.WithTimeout(drainCtx, accepting)
	defer cancelLeave()
	e.Leave(leaveCtx)
	time.Sleep(accepting - time.Since(started))
	err = shutdown(drainCtx, running)
	server.Close(drainCtx)
	pool.Close()
	return err
}

func runHostedAgent(ctx context.Context, s *platform.Settings, log *eventlog.Log, reload func(func([]string))) error {
	pool := rpc.NewPool("", s.Process, nil)
	a := workflowdaemon.NewAgent(workflowdaemon.AgentOptions{
		ID: s.Process, RPCAddr: s.RPCAddr, Seeds: s.Seeds, Store: newStore(platform.NewStoreCallFunc(s.StoreAddr)),
		Connect: platform.ConnectWorker, Lease: s.Bounds.MaxLease, Log: log, Caller: pool, Clock: boottime.Now,
	})
	server, err := serveRPC(s.RPCAddr, a.Services())
	if err != nil {
		return err
	}
	go reload(a.SetSeeds)
	running, err := listen([]endpoint{
		{s.WorkerAddr, &platform.HeartbeatHandler{Agent: a.Agent, Pool: s.LocalPool}, nil},
		{s.MetricsAddr, newMetrics(), nil},
	}, log)
	if err != nil {
		return err
	}
	<-ctx.Done()
	log.Event("process_leaving", "graceMs", s.Bounds.ShutdownGrace.Milliseconds())
	a.Close()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	server.Close(shutdownCtx)
	pool.Close()
	return shutdown(shutdownCtx, running)
}

// serveRPC starts the RPC server for the system's other processes.
func serveRPC(addr string, services map[string]any) (*rpc.Server, error) {
	server := rpc.NewServer()
	for name, service := range services {
		if err := server.Register(name, service); err != nil {
			return nil, err
		}
	}
	_, err := server.Listen(addr)
	return server, err
}

// The parts of the budget that are guaranteed to the listeners of a process.
const (
	clientShare   = 0.6
	operatorShare = 0.05 // readiness checks, metrics
)

// newBudget returns the budget for those who call the process.
func newBudget(s *platform.Settings, log *eventlog.Log) *memlimit.Budget {
	s.Limits.LimitCollector()
	b := s.Limits.Budget()
	b.Publish()
	go b.Report(nil, func(share string, now, before memlimit.Stats) {
		log.Event("memory_pressure", "share", share, "evicted", now.Evicted-before.Evicted, "refusedConns", now.RefusedConns-before.RefusedConns,
			"refusedRequests", now.RefusedRequests-before.RefusedRequests, "bytes", now.Bytes, "conns", now.Conns,
			"largestClient", now.LargestClient, "largestClientBytes", now.LargestClientBytes)
	})
	return b
}

// endpoint is an address on which the process serves HTTP.
type endpoint struct {
	addr    string
	handler http.Handler
	share   *memlimit.Share
}

// listen opens the addresses and starts to serve them.
func listen(endpoints []endpoint, log *eventlog.Log) ([]*drainingServer, error) {
	running := make([]*drainingServer, len(endpoints))
	for i, e := range endpoints {
		l, err := net.Listen("tcp", e.addr)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", e.addr, err)
		}
		if err := memlimit.SetReceiveBuffer(l); err != nil {
			log.Event("receive_buffer_unchanged", "addr", e.addr, "err", err.Error())
		}
		server := &http.Server{Addr: e.addr, Handler: e.handler, ReadHeaderTimeout: readHeaderTimeout}
		if e.share != nil {
			server.IdleTimeout, server.MaxHeaderBytes = idleTimeout, maxHeaderBytes
		}
		running[i] = newDrainingServer(server, l)
		var limited net.Listener = running[i].listener
		if e.share != nil {
			limited = memlimit.Limit(server, limited, e.share, nil)
		}
		go func() {
			if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				log.Event("listener_lost", "addr", e.addr, "err", err.Error())
			}
		}()
	}
	return running, nil
}
