// Package cluster runs the processes of a small deployment on the loopback
// interface, for the demo, the failure scenarios and the measurements. Every
// process has its own IP address in 127.0.0.0/8, so that the link between any two
// processes can be cut. Processes are signaled only by their process ID.
package cluster

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Options describe a deployment.
type Options struct {
	// Bin is the directory with the built programs.
	Bin string
	// Dir is the directory for logs and traces; it must exist.
	Dir string
	// Domain is the name of the placement domain.
	Domain string
	// Entries is the number of entries.
	Entries int
	// Workers lists the workers. Each gets one agent.
	Workers []Worker
	// Env is added to the environment of every process.
	Env []string
	// SharedWorkers makes one process serve all workers, each on its own address.
	// All workers must then have the same capacity.
	SharedWorkers bool
	// PlatformArgs are additional arguments of the platform stub.
	PlatformArgs []string
	// Traces makes every daemon write its spans to Dir.
	Traces bool
}

// Worker is the location and capacity of one worker.
type Worker struct {
	Region, Zone, Rack, Class string
	structs.WorkerCapacity
}

// ManifestWorkers returns the name of the first domain in a manifest, and the
// workers that the manifest declares for it.
func ManifestWorkers(m *structs.Manifest) (domain string, workers []Worker) {
	domain = m.Hardware[0].Domain
	for _, h := range m.Hardware {
		if h.Domain != domain {
			continue
		}
		for range h.Workers {
			workers = append(workers, Worker{Region: h.Region, Zone: h.Zone, Rack: h.Rack, Class: h.Class, WorkerCapacity: h.WorkerCapacity})
		}
	}
	return domain, workers
}

// Ports of the processes. Processes of the same kind share a port number; their IP
// addresses differ.
const (
	platformPort = "7000"
	rpcPort      = "7100"
	httpPort     = "7101"
	workerPort   = "7300"
)

// Cluster is a running deployment. It is safe for concurrent use.
type Cluster struct {
	opts     Options
	ipPrefix string // first two octets of all addresses
	// reservation is a listener that keeps other clusters from using ipPrefix.
	reservation net.Listener

	mu        sync.Mutex
	processes map[string]*Process
}

// Process is one process of a cluster, running or ended.
type Process struct {
	Name string
	IP   string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// New returns a Cluster without processes. Clusters that exist at the same time
// use different addresses, also those of different test processes.
func New(opts Options) *Cluster {
	if opts.Domain == "" {
		opts.Domain = "muscat"
	}
	prefix, reserved := reserveNetwork()
	return &Cluster{opts: opts, ipPrefix: prefix, reservation: reserved, processes: map[string]*Process{}}
}

// reserveNetwork returns the first two octets of a loopback network that no other
// cluster uses, and the listener that reserves it. If all are in use it returns
// 127.1 and no listener.
func reserveNetwork() (string, net.Listener) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%200)
		reserved, err := net.Listen("tcp", prefix+".255.1:"+platformPort)
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", prefix+".0.2:"+platformPort)
		if err == nil {
			l.Close()
			return prefix, reserved
		}
		reserved.Close()
	}
	return "127.1", nil
}

// Names of the processes.
const (
	PlatformName      = "platform"
	SharedWorkersName = "workers"
)

// EntryName returns the name of entry i, from 1.
func EntryName(i int) string { return "entry" + strconv.Itoa(i) }

// AgentName returns the name of agent i, from 1.
func AgentName(i int) string { return "agent" + strconv.Itoa(i) }

// WorkerName returns the name of worker i, from 1.
func WorkerName(i int) string { return "worker" + strconv.Itoa(i) }

// IP returns the IP address of a process by its name.
func (c *Cluster) IP(name string) string {
	kind := strings.TrimRight(name, "0123456789")
	n, _ := strconv.Atoi(name[len(kind):])
	group := map[string]int{"platform": 0, "entry": 1, "agent": 2, "worker": 4}[kind]
	if kind == "platform" {
		n = 1
	}
	return fmt.Sprintf("%s.%d.%d", c.ipPrefix, group+n/250, 1+n%250)
}

// URL returns the HTTP base address of a process by its name.
func (c *Cluster) URL(name string) string {
	port := httpPort
	switch strings.TrimRight(name, "0123456789") {
	case "platform":
		port = platformPort
	case "worker":
		port = workerPort
	}
	return "http://" + c.IP(name) + ":" + port
}

// EntryURLs returns the HTTP base addresses of all entries.
func (c *Cluster) EntryURLs() []string {
	var urls []string
	for i := range c.opts.Entries {
		urls = append(urls, c.URL(EntryName(i+1)))
	}
	return urls
}

// StartAll starts every process of the deployment.
func (c *Cluster) StartAll() error {
	names := []string{PlatformName}
	if c.opts.SharedWorkers {
		names = append(names, SharedWorkersName)
	} else {
		for i := range c.opts.Workers {
			names = append(names, WorkerName(i+1))
		}
	}
	for i := range c.opts.Entries {
		names = append(names, EntryName(i+1))
	}
	for i := range c.opts.Workers {
		names = append(names, AgentName(i+1))
	}
	for _, name := range names {
		if err := c.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// Start starts a process by its name. If a process of that name was started before,
// the new one takes its place.
func (c *Cluster) Start(name string) error {
	program, args := c.command(name)
	log, err := os.OpenFile(filepath.Join(c.opts.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(c.opts.Bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	c.mu.Lock()
	cmd.Env = append(os.Environ(), c.opts.Env...)
	c.mu.Unlock()
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &Process{Name: name, IP: c.IP(name), cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
	return nil
}

// Setenv adds a setting of the form NAME=VALUE to the environment of processes
// that are started later.
func (c *Cluster) Setenv(setting string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.Env = append(c.opts.Env, setting)
}

// Process returns the process last started under the name, or nil if there was none.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// Signal sends a signal to a process.
func (c *Cluster) Signal(name string, sig syscall.Signal) error {
	p := c.Process(name)
	if p == nil {
		return fmt.Errorf("process %s was not started", name)
	}
	return p.cmd.Process.Signal(sig)
}

// Kill sends SIGKILL to a process and waits until it has exited.
func (c *Cluster) Kill(name string) error {
	if err := c.Signal(name, syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return c.WaitExit(name, 5*time.Second)
}

// Freeze suspends a process with SIGSTOP until Thaw is called.
func (c *Cluster) Freeze(name string) error { return c.Signal(name, syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (c *Cluster) Thaw(name string) error { return c.Signal(name, syscall.SIGCONT) }

// Terminate asks a process to shut down gracefully with SIGTERM.
func (c *Cluster) Terminate(name string) error { return c.Signal(name, syscall.SIGTERM) }

// WaitExit waits until a process has exited.
func (c *Cluster) WaitExit(name string, timeout time.Duration) error {
	p := c.Process(name)
	if p == nil {
		return fmt.Errorf("process %s was not started", name)
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("process %s (ID %d) has not exited after %v", name, p.PID(), timeout)
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Alive reports whether the process has not exited yet.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Close kills every process and waits until all have exited.
func (c *Cluster) Close() {
	if c.reservation != nil {
		defer c.reservation.Close()
	}
	c.mu.Lock()
	procs := make([]*Process, 0, len(c.processes))
	for _, p := range c.processes {
		procs = append(procs, p)
	}
	c.mu.Unlock()
	for _, p := range procs {
		if p.Alive() {
			// The error is ignored: the process may have exited in the meantime.
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, p := range procs {
		<-p.done
	}
}

// WaitReady waits until the readiness check of every entry succeeds.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	client := &http.Client{Timeout: time.Second}
	for _, url := range c.EntryURLs() {
		for {
			resp, err := client.Get(url + "/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
				err = errors.New(resp.Status)
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v: %w", url, timeout, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
