package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleypier/parsleypier/internal/rowstorestub"
	"github.com/parsleypier/parsleypier/platform/stub"
)

// Names in the configuration.
const (
	pool      = "huvo11a"
	host      = "nony24.example"
	apiKey    = "d4a3hwrr6x73d3zji9n7"
	urgent    = "/pufi791/"
	batch     = "/pule252/"
	maxLease  = 6 * time.Second
	killGrace = 200 * time.Millisecond
)

const configuration = `{"version":3,"routes":[
 {"name":"r-urgent","host":"nony24.example","pathPrefix":"/pufi791/","timeoutMs":3000,"latencySloMs":250,"priority":0,"backend":"huvo11a","maxAttempts":2,"stretch":1.5},
 {"name":"r-batch","host":"nony24.example","pathPrefix":"/pule252/","timeoutMs":3000,"latencySloMs":3000,"priority":2,"backend":"huvo11a","maxAttempts":4,"stretch":3.0}],
 "services":[{"name":"huvo11a","enforcesCapacity":true}],"limits":{"maxBodyBytes":262144},
 "tenants":[{"name":"kaje80","apiKeys":["d4a3hwrr6x73d3zji9n7"],"guaranteed":{"gpu":0}}]}`

// settings is the settings file of a process. Its fields are the name, the class, the address,
// the zone, the first port, the seed, the listen addresses, the cores, the memory and the address of
// the store.
const settings = `nodeName = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = %q
region = "sierra"
portRange = [%d,%d]
seeds = [%q]
bootstrap = true
countsAsLoss = false
discovery = "local"
entry = "vip"
heartbeatMs = 500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
orders = "rpc"
backend = "huvo11a"
[bindAddrs]
%s
[limits]
cpuShare = %g
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
applyMs = 2000
recoveryS = 12
maxHoldMs = 6000
killGraceMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remotePenalty = 3
checkpointS = 1
restoreMs = 250
leaseMs = 3000
reclaimMs = 2700
[platform]
address = %q
form = "table"
writesPerS = 800
readsPerS = 2000
txnTimeoutMs = 8.0
partWritesS = 150
rowBytes = 65536
crossShard = false
retentionS = 20
`

// deployment is a running deployment: the project's processes, the store and the workers.
type deployment struct {
	record  *record
	dir     string // temporary folder with settings and logs
	network int    // second octet of all addresses
	port    int    // first of the ports
	table   *rowstorestub.Table
	workers []*worker
	procs   []*exec.Cmd
	store   *http.Server
	entries int
	stop    context.CancelFunc

	closeOnce sync.Once

	mu     sync.Mutex
	events []event
}

// started is the deployment that this process has started.
var started atomic.Pointer[deployment]

const programPath = "target/parsleypierd"

// startDeployment starts a deployment with the command of the deploy file.
func startDeployment(rec *record, entries, workers int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &deployment{record: rec, dir: dir, table: rowstorestub.New(), entries: entries, stop: stop}
	started.Store(d)
	d.table.Rates, d.table.ReadOnly = rowstorestub.UsersRates, map[string]bool{"op": true, "servers": true}
	d.table.Put("op", "config", []byte(configuration))
	if err := d.chooseAddresses(); err != nil {
		return d, err
	}
	l, err := net.Listen("tcp", d.storeAddr())
	if err != nil {
		return d, err
	}
	d.store = &http.Server{Handler: stub.Store(d.table), ReadHeaderTimeout: time.Second}
	go func() {
		_ = d.store.Serve(l) // always returns an error once the server is closed
	}()
	for i := range entries {
		if err := d.startProcess(fmt.Sprintf("edge-%d", i), "entry", "edge", i); err != nil {
			return d, err
		}
	}
	for i := range workers {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), addr: d.addr(2, i, 9), control: d.addr(2, i, 6), rack: fmt.Sprintf("r1-%d", i/3), pool: pool, zone: zoneOf(i),
			maxLease: maxLease, killGrace: killGrace, record: rec, onEvent: d.addEvent, booted: make(chan struct{}, 1),
		}
		d.workers = append(d.workers, w)
		if err := w.start(); err != nil {
			return d, err
		}
		if err := d.startProcess(fmt.Sprintf("side-%d", i), "agent", "side", i); err != nil {
			return d, err
		}
		go w.sendHeartbeats(ctx)
	}
	return d, nil
}

func zoneOf(i int) string { return []string{"quito-norte", "quito-sur", "cumbaya"}[i%3] }

// chooseAddresses finds a network and ports that are free.
func (d *deployment) chooseAddresses() error {
	for range 50 {
		d.network, d.port = 40+rand.IntN(200), 20_000+32*rand.IntN(300)
		l, err := net.Listen("tcp", d.storeAddr())
		if err == nil {
			return l.Close()
		}
	}
	return errors.New("no free port was found")
}

// ip returns the address of the i-th machine of a class: 0 is the store, 1 the entries, 2 the
// workers with their agents.
func (d *deployment) ip(class, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, class, i+1)
}

func (d *deployment) addr(class, i, port int) string {
	return fmt.Sprintf("%s:%d", d.ip(class, i), d.port+port)
}

func (d *deployment) storeAddr() string { return d.addr(0, 0, 4) }

func (d *deployment) startProcess(name, role, class string, i int) error {
	machine, listen, cores, memory := 1, fmt.Sprintf("front = %q\nreadiness = %q", d.addr(1, i, 1), d.addr(1, i, 3)), 0.4, 284
	if class == "side" {
		machine, listen, cores, memory = 2, fmt.Sprintf("control = %q", d.addr(2, i, 6)), 0.24, 152
	}
	text := fmt.Sprintf(settings, name, role, class, class, d.ip(machine, i), zoneOf(i), d.port+10, d.port+25, d.addr(1, 0, 6), listen, cores, memory, d.storeAddr())
	file := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(programPath, "hosted")
	cmd.Env = append(os.Environ(), "PARSLEYPIER_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this process is killed
	if err := cmd.Start(); err != nil {
		return err
	}
	d.procs = append(d.procs, cmd)
	return nil
}

// close ends all that the deployment has started, once.
func (d *deployment) close() { d.closeOnce.Do(d.end) }

func (d *deployment) end() {
	d.stop()
	for _, p := range d.procs {
		// An error means that the process has ended.
		_ = p.Process.Signal(syscall.SIGKILL)
		_ = p.Wait()
	}
	for _, w := range d.workers {
		w.mu.Lock()
		if w.server != nil {
			w.server.Close()
		}
		w.mu.Unlock()
	}
	if d.store != nil {
		d.store.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

func (d *deployment) addEvent(e event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, e)
}

// eventsSoFar returns a copy of the events.
func (d *deployment) eventsSoFar() []event {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]event{}, d.events...)
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends a request of a client to an entry. It returns status 0 if there is no answer.
func (d *deployment) call(entry int, method, path string, body any) (int, string) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err.Error()
	}
	req, err := http.NewRequest(method, "http://"+d.addr(1, entry, 1)+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Parsleypier-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		d.record.add("client: %s %s at edge-%d: %v", method, path, entry, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	d.record.add("client: %s %s at edge-%d: %d %s", method, path, entry, resp.StatusCode, bytes.TrimSpace(answer))
	return resp.StatusCode, string(answer)
}

// submit submits a job until it is accepted, for at most 15 s.
func (d *deployment) submit(path string, job any) error {
	for n := range 30 {
		if status, _ := d.call(n%d.entries, http.MethodPost, path, job); status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("%s was not accepted", path)
}

// state returns the state of a job as an entry gives it, or "" if it does not.
func (d *deployment) state(entry int, path string) string {
	status, answer := d.call(entry, http.MethodGet, path, nil)
	var body struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return ""
	}
	return body.State
}

// ready waits until all workers are known and the first entry is ready.
func (d *deployment) ready() error {
	for range 100 {
		resp, err := client.Get("http://" + d.addr(1, 0, 3) + "/readiness")
		if err == nil {
			resp.Body.Close()
			rows := 0
			for _, r := range d.table.Rows("parsleypier") {
				if len(r.Key) > 7 && r.Key[:7] == "worker/" {
					rows++
				}
			}
			if resp.StatusCode == http.StatusOK && rows == len(d.workers) {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the deployment did not become ready")
}

func payload(b behaviour) string {
	data, _ := json.Marshal(b) // plain values always marshal
	return string(data)
}
