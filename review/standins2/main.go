// Command standins2 runs the cases of the second review that are scripts. It starts the
// daemon as separate processes on loopback addresses, with the project's own stand-in of the
// store and workers of this package, and judges only what clients and workers see.
//
// Usage: standins2 CASE DAEMON RECORD. With TROUBLE=0 in the environment it leaves out the
// disruption. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
// case could not run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime limits a run.
const maxTime = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken, and an error if it
// could not run.
var cases = map[string]func(*run) (bool, error){
	"attempts": attempts,
	"avoid":    avoid,
	"early":    early,
	"grey":     grey,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(f func(*run) (bool, error), daemon, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "standins2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	r := &run{daemon: daemon, dir: dir, record: file, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	r.note("trouble: %v", r.trouble)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := f(r)
		ended <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	var broken bool
	select {
	case o := <-ended:
		broken, err = o.broken, o.err
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(maxTime):
		err = fmt.Errorf("not done after %v", maxTime)
	}
	if r.d != nil {
		r.d.stop()
		r.copyLogs()
	}
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		return exitNotRun
	case broken:
		r.note("verdict: broken")
		return exitBroken
	}
	r.note("verdict: held")
	return exitHeld
}

// run is one run of a case.
type run struct {
	daemon, dir string
	trouble     bool
	began       time.Time
	d           *deployment
	// quiet leaves the events of tasks out of the record.
	quiet bool

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record and to standard output.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that cannot be written is missing from the record only.
	_, _ = r.record.WriteString(line)
	fmt.Print(line)
}

// copyLogs keeps the logs of the processes if REVIEW_LOGS names a directory.
func (r *run) copyLogs() {
	to := os.Getenv("REVIEW_LOGS")
	if to == "" {
		return
	}
	if err := os.CopyFS(to, os.DirFS(r.dir)); err != nil {
		r.note("logs not kept: %v", err)
	}
}

// startWorkers starts a deployment with n workers, three a rack, and waits until all have
// checked in and the entries are ready.
func (r *run) startWorkers(ctx context.Context, n int, taskTime func(task string) time.Duration) ([]*worker, error) {
	var err error
	if r.d, err = startDeployment(r.daemon, r.dir, n); err != nil {
		return nil, err
	}
	workers, noted := make([]*worker, n), &notedEnds{tasks: map[string]bool{}}
	for i := range workers {
		if workers[i], err = r.startWorker(ctx, i, fmt.Sprintf("r1-%d", i/3), noted, taskTime); err != nil {
			return nil, err
		}
		if err := r.d.startProcess(fmt.Sprintf("side-%d", i)); err != nil {
			return nil, err
		}
	}
	if r.quiet {
		for _, w := range workers {
			w.note = func(string, ...any) {}
		}
	}
	for i := range entries {
		if err := r.until(20*time.Second, func() bool { return r.d.ready(i) }); err != nil {
			return nil, fmt.Errorf("entry %d is not ready: %w", i, err)
		}
	}
	time.Sleep(4 * time.Second)
	r.note("%d entries and %d workers run on 127.%d.0.0/16, store at %s", entries, n, r.d.network, r.d.storeAddr())
	return workers, nil
}

// until waits until a condition holds.
func (r *run) until(limit time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("waited %v", limit)
}

// job is a job in the platform's format.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMb        int    `json:"memMb"`
	GPU          int    `json:"gpu,omitempty"`
	EstimateMs   int64  `json:"estimateMs"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	Persistent   bool   `json:"persistent,omitempty"`
}

// submit submits a job until an entry accepts it.
func (r *run) submit(path, id string, j job) error {
	return r.until(10*time.Second, func() bool {
		status, body, err := r.d.call(0, http.MethodPost, path+id, j)
		r.note("POST %s%s -> %d %s %v", path, id, status, strings.TrimSpace(body), errText(err))
		return err == nil && status/100 == 2
	})
}

// state returns the state of a job that an entry tells.
func (r *run) state(entry int, path, id string) string {
	status, body, err := r.d.call(entry, http.MethodGet, path+id, nil)
	var answer struct{ State string }
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal([]byte(body), &answer)
	}
	if err != nil || status != http.StatusOK {
		return fmt.Sprintf("%d %s", status, errText(err))
	}
	return answer.State
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
