package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/platform/stub"
)

// API key, host, service and queue paths of the configuration.
const (
	apiKey     = "d4a3hwrr6x73d3zji9n7"
	clientHost = "nony24.example"
	workerPool = "huvo11a"
	urgentPath = "/pufi791/"
	batchPath  = "/pule252/"
	entries    = 3
)

const config = `{"version":1,"routes":[
 {"name":"r-urgent","host":"nony24.example","pathPrefix":"/pufi791/","timeoutMs":3000,"latencySloMs":250,"priority":0,"backend":"huvo11a","maxAttempts":3,"stretch":1.5},
 {"name":"r-batch","host":"nony24.example","pathPrefix":"/pule252/","timeoutMs":3000,"latencySloMs":3000,"priority":2,"backend":"huvo11a","maxAttempts":2,"stretch":3.0}],
 "services":[{"name":"huvo11a","enforcesCapacity":true}],"limits":{"maxBodyBytes":262144},
 "tenants":[{"name":"kaje80","apiKeys":["d4a3hwrr6x73d3zji9n7"],"guaranteed":{"gpu":16}}]}`

// settingsFormat has the bounds and the limits of andrade-sleeves-grown.
const settingsFormat = `nodeName = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = "quito-norte"
region = "sierra"
portRange = [%d,%d]
seeds = []
bootstrap = true
discovery = "local"
heartbeatMs = 1500
orders = "rpc"
backend = "huvo11a"
[bindAddrs]
%s[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
[bounds]
contactMs = 4000
ackMs = 6000
drainMs = 3000
graceS = 6
lossSlackMs = 200
applyMs = 3000
rollbackSlackMs = 250
maxHoldMs = 6000
killGraceMs = 200
gangTimeoutMs = 4000
cancel_ms = 4000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remotePenalty = 3
checkpointS = 1
restoreMs = 250
reclaimMs = 2700
[platform]
address = %q
form = "table"
rowBytes = 65536
`

// ports are the ports of a deployment. Like those of a day, they are the same on all of its
// addresses.
type ports struct{ store, front, ready, control, worker, own, metrics int }

// deployment is a store with entries and agents as separate processes, each with an address
// of its own in 127.0.0.0/8.
type deployment struct {
	table *rowstorestub.Table

	daemon, dir string
	network     int // second octet of all addresses
	ports       ports
	store       *http.Server
	procs       map[string]*exec.Cmd
	logs        map[string]*os.File
	client      *http.Client
}

// startDeployment starts the store and the entries of a deployment with a number of workers.
// The caller must call stop, also after an error.
func startDeployment(daemon, dir string, workers int) (*deployment, error) {
	d := &deployment{
		table: rowstorestub.New(), daemon: daemon, dir: dir, network: 100 + os.Getpid()%100,
		procs: map[string]*exec.Cmd{}, logs: map[string]*os.File{}, client: &http.Client{Timeout: 3 * time.Second},
	}
	if err := d.findPorts(workers); err != nil {
		return d, err
	}
	d.table.Rates, d.table.ReadOnly = rowstorestub.UsersRates, map[string]bool{"op": true, "servers": true}
	d.table.Put("op", "config", []byte(config))
	l, err := net.Listen("tcp", d.storeAddr())
	if err != nil {
		return d, err
	}
	d.store = &http.Server{Handler: stub.Store(d.table), ReadHeaderTimeout: time.Second}
	go func() {
		// Serve returns when the server is closed.
		_ = d.store.Serve(l)
	}()
	for i := range entries {
		if err := d.startProcess(fmt.Sprintf("edge-%d", i)); err != nil {
			return d, err
		}
	}
	return d, nil
}

// ip returns the address of the i-th machine of a class: 0 is the store, 1 the entries, 2 the
// workers with their agents.
func (d *deployment) ip(class, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, class, i+1)
}

func (d *deployment) addr(class, i, port int) string {
	return net.JoinHostPort(d.ip(class, i), fmt.Sprint(port))
}

func (d *deployment) storeAddr() string { return d.addr(0, 0, d.ports.store) }

// findPorts sets ports that are free on all addresses of the deployment.
func (d *deployment) findPorts(workers int) error {
	ips := []string{d.ip(0, 0)}
	for i := range entries {
		ips = append(ips, d.ip(1, i))
	}
	for i := range workers {
		ips = append(ips, d.ip(2, i))
	}
	free := func(port int) bool {
		for _, ip := range ips {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
			if err != nil {
				return false
			}
			l.Close()
		}
		return true
	}
	p := &d.ports
	found := map[int]bool{}
	for _, port := range []*int{&p.store, &p.front, &p.ready, &p.control, &p.worker, &p.own} {
		for try := 0; *port == 0; try++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
			if err != nil || try == 100 {
				return fmt.Errorf("no free port: %w", err)
			}
			n := l.Addr().(*net.TCPAddr).Port
			l.Close()
			// The metrics have the port after the system's own.
			if !found[n] && !found[n+1] && n < 65000 && free(n) && free(n+1) {
				*port, found[n], found[n+1] = n, true, true
			}
		}
	}
	p.metrics = p.own + 1
	return nil
}

// startProcess starts the process with the given name, edge-I or side-I. It must not be running.
func (d *deployment) startProcess(name string) error {
	var i int
	class, role, serves := 1, "entry", "edge"
	binds := ""
	if _, err := fmt.Sscanf(name, "edge-%d", &i); err == nil {
		binds = fmt.Sprintf("front = %q\nreadiness = %q\n", d.addr(1, i, d.ports.front), d.addr(1, i, d.ports.ready))
	} else if _, err := fmt.Sscanf(name, "side-%d", &i); err == nil {
		class, role, serves = 2, "agent", "side"
		binds = fmt.Sprintf("control = %q\n", d.addr(2, i, d.ports.control))
	}
	file := filepath.Join(d.dir, name+".toml")
	settings := fmt.Sprintf(settingsFormat, name, role, serves, serves, d.ip(class, i), d.ports.own, d.ports.metrics, binds, d.storeAddr())
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	if d.logs[name] == nil {
		log, err := os.Create(filepath.Join(d.dir, name+".log"))
		if err != nil {
			return err
		}
		d.logs[name] = log
	}
	cmd := exec.Command(d.daemon, "hosted")
	cmd.Env = append(os.Environ(), "PARSLEYPIER_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = d.logs[name], d.logs[name]
	if err := cmd.Start(); err != nil {
		return err
	}
	d.procs[name] = cmd
	return nil
}

// kill ends a process with SIGKILL and waits for it.
func (d *deployment) kill(name string) error {
	cmd := d.procs[name]
	if cmd == nil {
		return fmt.Errorf("process %s is not running", name)
	}
	delete(d.procs, name)
	if err := cmd.Process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	// Wait reports the signal as an error.
	_ = cmd.Wait()
	return nil
}

// stop ends all processes and the store.
func (d *deployment) stop() {
	for name := range d.procs {
		// The error means that the process has ended by itself.
		_ = d.kill(name)
	}
	if d.store != nil {
		d.store.Close()
	}
	for _, l := range d.logs {
		l.Close()
	}
}

// call sends a client's request to an entry.
func (d *deployment) call(entry int, method, path string, body any) (int, string, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, "", err
	}
	req, err := http.NewRequest(method, "http://"+d.addr(1, entry, d.ports.front)+path, bytes.NewReader(data))
	if err != nil {
		return 0, "", err
	}
	req.Host = clientHost
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Parsleypier-Deadline-Ms", "3000")
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

// ready reports whether an entry is ready for new connections.
func (d *deployment) ready(entry int) bool {
	resp, err := d.client.Get("http://" + d.addr(1, entry, d.ports.ready) + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
