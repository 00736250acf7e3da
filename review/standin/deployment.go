package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Ports of a deployment, counted from its first one. They are the same on all its machines.
const (
	storePort = iota
	frontPort
	readyPort
	controlPort
	appPort
	linkedControlPort // where a link to the agent listens
	linkedAppPort     // where a worker listens behind a link
	rpcPort
	metricsPort
	portCount
)

// Names in the configuration of a deployment.
const (
	backend    = "huvo11a"
	zone       = "om-north-a"
	Host       = "nony24.example"
	Key        = "d4a3hwrr6x73d3zji9n7"
	UrgentPath = "/pufi791/"
	BatchPath  = "/pule252/"
)

// Program is what the run lines of the deploy file start, in the repository's root.
var Program = []string{"target/parsleypierd", "hosted"}

const config = `{"version":1,"routes":[
{"name":"r-zzyyjsg","host":"nony24.example","pathPrefix":"/pufi791/","type":"non_idempotent","timeoutMs":3000,"latencySloMs":250,"priority":0,"backend":"huvo11a","maxAttempts":2,"stretch":1.5,"anonymous":false},
{"name":"r-3ajwyy7","host":"nony24.example","pathPrefix":"/pule252/","type":"non_idempotent","timeoutMs":3000,"latencySloMs":3000,"priority":2,"backend":"huvo11a","maxAttempts":4,"stretch":3.0,"anonymous":false}],
"services":[{"name":"huvo11a","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":true,"standby":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"kaje80","apiKeys":["d4a3hwrr6x73d3zji9n7"],"priority":1,"guaranteed":{"gpu":16}}]}`

const settings = `nodeName = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = "om-north-a"
region = "om-north"
portRange = [%d,%d]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "local"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
orders = "rpc"
backend = "huvo11a"
app = %q
[zones]
om-north-a = "om-north"
[bindAddrs]
%s
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
applyMs = 2000
rollbackSlackMs = 250
recoveryS = 12
maxHoldMs = 10000
killGraceMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remotePenalty = 3
checkpointS = 1
restoreMs = 600
reclaimMs = 3400
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

// Deployment is a small deployment of the system's programs on loopback addresses.
type Deployment struct {
	Record  *Record
	Store   *Store
	Workers []*Worker
	Runs    *Runs
	Links   []*Link

	entries int
	network int
	base    int // the first port
	dir     string
	procs   map[string]*exec.Cmd
	logs    []*os.File
	// supervised is closed to end Supervise, if it was called.
	supervised chan struct{}
	supervisor sync.WaitGroup
	server     *http.Server
}

// Start starts the store, the entries, and workers with their agents. taskOf says how tasks
// behave. The caller must call Stop, also after an error.
func Start(r *Record, entries, workers int, taskOf func(task string) Task) (*Deployment, error) {
	return StartLinked(r, entries, workers, 0, taskOf)
}

// StartLinked is Start with links between the first workers and their agents.
func StartLinked(r *Record, entries, workers, linked int, taskOf func(task string) Task) (*Deployment, error) {
	d := &Deployment{Record: r, Runs: &Runs{}, entries: entries, procs: map[string]*exec.Cmd{}}
	if _, err := os.Stat(Program[0]); err != nil {
		return d, err
	}
	var err error
	if d.dir, err = os.MkdirTemp("", "parsleypier-review"); err != nil {
		return d, err
	}
	l, err := d.listenStore(entries, workers)
	if err != nil {
		return d, err
	}
	d.Store = NewStore(r)
	d.Store.Put("op", "config", []byte(config))
	d.server = &http.Server{Handler: d.Store.Handler(), ReadHeaderTimeout: time.Second}
	go func() {
		// Serve always returns an error once the server is closed.
		_ = d.server.Serve(l)
	}()
	for i := range entries {
		if err := d.StartProcess(entryName(i)); err != nil {
			return d, err
		}
	}
	for i := range workers {
		if err := d.startWorker(i, taskOf, i < linked); err != nil {
			return d, err
		}
	}
	return d, d.waitReady()
}

// startWorker starts a worker and its agent. If linked, calls between the two pass links.
func (d *Deployment) startWorker(i int, taskOf func(task string) Task, linked bool) error {
	w := &Worker{
		ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Addr: d.addr(2, i, appPort), Control: d.addr(2, i, controlPort), Labels: []string{"a", fmt.Sprintf("r1-%d", i/3)},
		Capacity: Resources{64000, 262144, 8}, TaskOf: taskOf, record: d.Record, runs: d.Runs,
	}
	if linked {
		w.Listen, w.Control = d.addr(2, i, linkedAppPort), d.addr(2, i, linkedControlPort)
		for listen, target := range map[string]string{w.Addr: w.Listen, w.Control: d.addr(2, i, controlPort)} {
			link, err := NewLink(listen, target)
			if err != nil {
				return err
			}
			d.Links = append(d.Links, link)
		}
	}
	if err := d.StartProcess(agentName(i)); err != nil {
		return err
	}
	d.Workers = append(d.Workers, w)
	return w.Boot()
}

// Ports are taken from this range, which systems do not give to outgoing channels.
const firstPort, lastPort = 12000, 30000

// listenStore finds loopback addresses and ports that are free on all machines of the
// deployment, and listens for the store.
func (d *Deployment) listenStore(entries, workers int) (net.Listener, error) {
	for range 100 {
		d.network, d.base = 40+rand.IntN(200), firstPort+rand.IntN(lastPort-firstPort-portCount)
		if !d.free(1, entries) || !d.free(2, workers) {
			continue
		}
		if l, err := net.Listen("tcp", d.addr(0, 0, storePort)); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// free reports whether all ports of the first n machines of a class are free.
func (d *Deployment) free(class, n int) bool {
	for i := range n {
		for port := range portCount {
			l, err := net.Listen("tcp", d.addr(class, i, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func entryName(i int) string { return fmt.Sprintf("edge-om-north-a-%d", i) }
func agentName(i int) string { return fmt.Sprintf("side-om-north-a-%d", i) }

// addr returns an address of the i-th machine of a class: 0 the store, 1 the entries, 2 the
// workers with their agents.
func (d *Deployment) addr(class, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.network, class, i+1, d.base+port)
}

// StartProcess starts a process of the system.
func (d *Deployment) StartProcess(name string) error {
	var i int
	class, role, serves, bind := 1, "entry", "edge", ""
	if _, err := fmt.Sscanf(name, "edge-om-north-a-%d", &i); err == nil {
		bind = fmt.Sprintf("front = %q\nreadiness = %q\n", d.addr(1, i, frontPort), d.addr(1, i, readyPort))
	} else if _, err := fmt.Sscanf(name, "side-om-north-a-%d", &i); err == nil {
		class, role, serves = 2, "agent", "side"
		bind = fmt.Sprintf("control = %q\n", d.addr(2, i, controlPort))
	}
	ip, _, _ := strings.Cut(d.addr(class, i, 0), ":")
	text := fmt.Sprintf(settings, name, role, serves, serves, ip, d.base+rpcPort, d.base+metricsPort, d.addr(2, i, appPort), bind, d.addr(0, 0, storePort))
	file := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.logs = append(d.logs, log)
	cmd := exec.Command(Program[0], Program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "PARSLEYPIER_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.procs[name] = cmd
	live.Store(cmd.Process, struct{}{})
	d.Record.Logf("process %s started", name)
	return nil
}

// Supervise does to the system's processes what the platform does until Stop: a process that
// has more than memoryMb is killed, and one that has ended is started again after
// restartDelay. It returns a function that returns the numbers of kills by process.
func (d *Deployment) Supervise() (kills func() map[string]int) {
	var mu sync.Mutex
	counts := map[string]int{}
	d.supervised = make(chan struct{})
	d.supervisor.Add(1)
	go func() {
		defer d.supervisor.Done()
		restartAt := map[string]time.Time{}
		for {
			select {
			case <-d.supervised:
				return
			case <-time.After(memoryPoll):
			}
			for name, at := range restartAt {
				if time.Now().After(at) {
					delete(restartAt, name)
					if err := d.StartProcess(name); err != nil {
						d.Record.Logf("process %s did not start: %v", name, err)
					}
				}
			}
			for name, cmd := range d.procs {
				if mb := residentMb(cmd.Process.Pid); mb > memoryMb {
					d.Record.Logf("process %s has %d MB, over memoryMb = %d", name, mb, memoryMb)
					// The process may have ended by itself.
					_ = d.Kill(name)
					restartAt[name] = time.Now().Add(restartDelay)
					mu.Lock()
					counts[name]++
					mu.Unlock()
				}
			}
		}
	}()
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(counts)
	}
}

const (
	memoryMb     = 284 // as in the settings
	memoryPoll   = 20 * time.Millisecond
	restartDelay = time.Second
)

// residentMb returns the memory of a process in MB, or 0 if it has ended.
func residentMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// Kill sends SIGKILL to a process and waits for its end.
func (d *Deployment) Kill(name string) error {
	cmd := d.procs[name]
	if cmd == nil {
		return fmt.Errorf("process %s is not running", name)
	}
	delete(d.procs, name)
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	// Wait reports the signal as an error.
	_ = cmd.Wait()
	live.Delete(cmd.Process)
	d.Record.Logf("process %s killed", name)
	return nil
}

// Restart crashes workers, which are back after the given time.
func (d *Deployment) Restart(workers []*Worker, back time.Duration) error {
	d.Record.Sayf("%d workers crash for %v", len(workers), back)
	for _, w := range workers {
		w.Crash()
	}
	time.Sleep(back)
	for _, w := range workers {
		if err := w.Boot(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) waitReady() error {
	for range 150 {
		ready := 0
		for i := range d.entries {
			if resp, err := http.Get("http://" + d.addr(1, i, readyPort) + "/readiness"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		held := 0
		for _, w := range d.Workers {
			w.mu.Lock()
			if w.holds > 0 && w.fence > 0 {
				held++
			}
			w.mu.Unlock()
		}
		if ready == d.entries && held == len(d.Workers) {
			time.Sleep(time.Second) // the rows of the last workers are being written
			d.Record.Logf("deployment is ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the deployment is not ready after 15 s")
}

// Stop ends all processes of the deployment, and keeps their logs if KEEP names a folder.
func (d *Deployment) Stop() {
	if d.supervised != nil {
		close(d.supervised)
		d.supervisor.Wait()
	}
	for name := range d.procs {
		// The process may have ended by itself.
		_ = d.Kill(name)
	}
	for _, w := range d.Workers {
		w.end("lost")
	}
	for _, link := range d.Links {
		link.Close()
	}
	if d.server != nil {
		// The error is that of closing the listener.
		_ = d.server.Close()
	}
	for _, log := range d.logs {
		log.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" && d.dir != "" {
		_ = os.CopyFS(keep, os.DirFS(d.dir))
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}

// Call sends a client's request to an entry. The answer is the status, or 0 for none, and
// the body.
func (d *Deployment) Call(entry int, method, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err) // plain values always marshal
		}
	}
	req, err := http.NewRequest(method, "http://"+d.addr(1, entry%d.entries, frontPort)+path, bytes.NewReader(data))
	if err != nil {
		panic(err) // the address and the path are well formed
	}
	req.Host = Host
	req.Header.Set("Api-Key", Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Parsleypier-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	status, answer := 0, ""
	if resp, err := client.Do(req); err == nil {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		resp.Body.Close()
		status, answer = resp.StatusCode, strings.TrimSpace(string(text))
	}
	d.Record.Logf("client: %s %s at entry %d -> %d %s", method, path, entry%d.entries, status, answer)
	return status, answer
}

// Submit hands a job in until it is accepted, up to five times.
func (d *Deployment) Submit(entry int, path string, body any) error {
	for i := range 5 {
		if status, _ := d.Call(entry+i, http.MethodPost, path, body); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%s was not accepted", path)
}

// State returns the state of a job as an entry shows it, or "" if it gives none.
func (d *Deployment) State(entry int, path string) string {
	_, answer := d.Call(entry, http.MethodGet, path, nil)
	var body struct{ State string }
	if json.Unmarshal([]byte(answer), &body) != nil {
		return ""
	}
	return body.State
}

// Incomplete returns the jobs that are not shown as completed within limit.
func (d *Deployment) Incomplete(paths []string, limit time.Duration) []string {
	left, ends := paths, time.Now().Add(limit)
	for i := 0; ; i++ {
		var next []string
		for _, p := range left {
			if time.Now().After(ends) || d.State(i, p) != "completed" {
				next = append(next, p)
			}
		}
		if left = next; len(left) == 0 || time.Now().After(ends) {
			return left
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// lostSpan is for how long LOST allows a job to have nothing running.
const lostSpan = 3 * time.Second

// NothingRuns watches for lostSpan, and a second more, and reports whether LOST is broken for
// a job with one task that has not begun: all that time nothing of it runs, the workers with
// the label have room for the task twice over, and under half of the workers' capacity is in
// use.
func (d *Deployment) NothingRuns(job, label string, need Resources) bool {
	for ends := time.Now().Add(lostSpan + time.Second); time.Now().Before(ends); time.Sleep(50 * time.Millisecond) {
		if d.Runs.Begun(job) > 0 {
			return false
		}
		room := 0
		var used, all Resources
		for _, w := range d.Workers {
			free, up := w.free()
			all = Resources{all.CPU + w.Capacity.CPU, all.MemMb + w.Capacity.MemMb, all.GPU + w.Capacity.GPU}
			used = Resources{used.CPU + w.Capacity.CPU - free.CPU, used.MemMb + w.Capacity.MemMb - free.MemMb, used.GPU + w.Capacity.GPU - free.GPU}
			if up && slices.Contains(w.Labels, label) {
				room += min(free.CPU/need.CPU, free.MemMb/need.MemMb, free.GPU/need.GPU)
			}
		}
		if room < 2 || 2*used.CPU >= all.CPU || 2*used.MemMb >= all.MemMb || 2*used.GPU >= all.GPU {
			return false
		}
	}
	return true
}
