//go:build !race

package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/parsleypier/parsleypier/internal/platformstub"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerstub"
	"github.com/parsleypier/parsleypier/test/cluster"
	"github.com/parsleypier/parsleypier/test/history"
)

// scenario is the state of a running script.
type scenario struct {
	ctx        context.Context
	r          *history.Recorder
	background sync.WaitGroup
	loads      sync.WaitGroup

	mu     sync.Mutex
	jobs   map[string]*submission
	epoch  uint32
	old    string    // the owner that a script named last
	other  string    // the entry that a script named last as other-entry
	lost   time.Time // when the owner was killed or frozen
	serial int
}

// submission is a job submitted in the background.
type submission struct {
	spec structs.JobSpec
	id   string
	done chan struct{}
	op   *history.Submission
}

type command func(s *scenario, args []string) error

// commands are the commands of the scripts.
var commands = map[string]func(*testscript.TestScript, bool, []string){}

func init() {
	for name, f := range map[string]command{
		"start": each((*history.Recorder).Start), "crash": each((*history.Recorder).Kill), "freeze": each((*history.Recorder).Freeze),
		"thaw": each((*history.Recorder).Thaw), "terminate": each((*history.Recorder).Terminate), "gone": each((*history.Recorder).WaitExit),
		"cut": cut(false), "cut-one-way": cut(true), "heal": heal, "heal-all": healAll, "slow": slow, "outage": outage, "lose-answers": loseAnswers,
		"platform-ok": platformOK, "worker-mode": workerMode, "submit": submit, "cancel": cancel, "apply": apply, "race": race,
		"setting": setting, "relays": relays, "expect": expect, "load": load, "sleep": sleep, "takeover": takeover, "claim": claim, "promises": promises,
	} {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value(key{}).(*scenario)
			within, args := bound(args)
			err := f(s, s.names(args))
			for start := time.Now(); err != nil && time.Since(start) < within && s.ctx.Err() == nil; {
				time.Sleep(20 * time.Millisecond)
				err = f(s, s.names(args))
			}
			if (err == nil) == neg {
				ts.Fatalf("%s %s: %v", ts.Name(), strings.Join(args, " "), err)
			}
		}
	}
}

// bound takes "within D" off the end of the arguments: the command is repeated
// until it succeeds or the time has passed.
func bound(args []string) (time.Duration, []string) {
	if n := len(args); n >= 2 && args[n-2] == "within" {
		if d, err := time.ParseDuration(args[n-1]); err == nil {
			return d, args[:n-2]
		}
	}
	return 0, args
}

// otherEntry returns an entry that is neither the owner nor the last owner that
// the script named, which may be frozen.
func (s *scenario) otherEntry(owner string) string {
	for i := range 3 {
		if name := cluster.EntryName(i + 1); name != owner && name != s.old {
			return name
		}
	}
	return owner
}

// names replaces owner, old-owner, other-entry, old-other, rank0:JOB, member:JOB
// (agents) and worker0:JOB by process names, also after entry=.
func (s *scenario) names(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		out[i] = a
		if entry, ok := strings.CutPrefix(a, "entry="); ok {
			out[i] = "entry=" + s.names([]string{entry})[0]
			continue
		}
		switch kind, job, ok := strings.Cut(a, ":"); {
		case a == "old-owner":
			out[i] = s.old
		case a == "old-other":
			out[i] = s.other
		case a == "owner", a == "other-entry":
			name, epoch := s.r.Owner(s.ctx)
			if a == "owner" {
				s.epoch, s.old = epoch, name
			} else {
				name = s.otherEntry(name)
				s.other = name
			}
			out[i] = name
		case ok && (kind == "rank0" || kind == "member" || kind == "worker0"):
			out[i] = s.place(kind, job)
		}
	}
	return out
}

// firstRunning returns the first job, in order of names, that has the prefix and
// of which two ranks run.
func (s *scenario) firstRunning(prefix string) string {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.jobs))
	s.mu.Unlock()
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && s.place("rank0", name) != "" && s.place("member", name) != "" {
			return name
		}
	}
	return ""
}

// place returns the process at a rank of a running job. A job with * stands for
// the first running one whose name begins so.
func (s *scenario) place(kind, job string) string {
	rank := map[string]int{"rank0": 0, "worker0": 0, "member": 1}[kind]
	if prefix, ok := strings.CutSuffix(job, "*"); ok {
		job = s.firstRunning(prefix)
	}
	for _, t := range s.tasks(job) {
		if t.Rank == rank && t.End.IsZero() {
			if kind == "worker0" {
				return t.Worker
			}
			return "agent" + strings.TrimPrefix(t.Worker, "worker")
		}
	}
	return ""
}

func (s *scenario) job(name string) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[name]
}

// tasks returns the tasks of a job from the workers' histories.
func (s *scenario) tasks(name string) []history.Task {
	j := s.job(name)
	if j == nil {
		return nil
	}
	var tasks []history.Task
	for _, w := range s.r.Cluster.ProcessNames("worker") {
		all, err := history.ReadTasks(w, s.r.Cluster.HistoryFile(w))
		if err != nil {
			continue
		}
		for _, t := range all {
			if t.JobID == j.id {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

func each(f func(*history.Recorder, string) error) command {
	return func(s *scenario, args []string) error {
		s.lost = time.Now()
		for _, name := range args {
			if err := f(s.r, name); err != nil {
				return err
			}
		}
		return nil
	}
}

func cut(oneWay bool) command {
	return func(s *scenario, args []string) error { return s.r.Cut(args[0], args[1], oneWay) }
}

func heal(s *scenario, args []string) error { return s.r.Heal(args[0], args[1]) }

// heal-all heals every link.
func healAll(s *scenario, _ []string) error { return s.r.HealAll() }

func slow(s *scenario, args []string) error {
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	return s.r.Slow(args[0], args[1], d)
}

// outage takes table, store or both down, in a mode (refuse, reset, hang).
func outage(s *scenario, args []string) error {
	f := platformstub.Faults{TableDown: args[0] != "store", StoreDown: args[0] != "table"}
	if len(args) > 1 {
		f.Outage = args[1]
	}
	return s.r.Outage(s.ctx, f)
}

func loseAnswers(s *scenario, args []string) error {
	p, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	return s.r.Outage(s.ctx, platformstub.Faults{LoseAnswers: p, Seed: 1})
}

func platformOK(s *scenario, _ []string) error { return s.r.EndOutage(s.ctx) }

func workerMode(s *scenario, args []string) error {
	if args[1] == "fail-all" {
		return s.r.FailWorker(args[0])
	}
	return s.r.HealWorker(args[0])
}

// submit NAME ACCOUNT KIND RUN [key=K] [entry=E] [wait=D] [fail] [count=N]
func submit(s *scenario, args []string) error {
	run, err := time.ParseDuration(args[3])
	if err != nil {
		return err
	}
	entry, requestKey, wait, count := "", args[0], time.Minute, 0
	p := workerstub.Payload{RunMS: run.Milliseconds(), ResultBytes: 40, ExitRank: -1}
	checkpointable := false
	for _, a := range args[4:] {
		switch name, value, _ := strings.Cut(a, "="); name {
		case "key":
			requestKey = value
		case "entry":
			entry = value
		case "wait":
			wait, err = time.ParseDuration(value)
		case "fail":
			p.Fail = true
		case "bytes":
			p.ResultBytes, err = strconv.Atoi(value)
		case "count":
			count, err = strconv.Atoi(value)
		case "checkpointable":
			checkpointable = true
		default:
			err = fmt.Errorf("unknown option %q", a)
		}
	}
	if err != nil {
		return err
	}
	payload, err := json.Marshal(p)
	if err != nil {
		return err
	}
	spec := structs.JobSpec{Account: args[1], Kind: args[2], RequestKey: requestKey, Payload: payload}
	if checkpointable {
		spec.Checkpointable = &checkpointable
	}
	if count == 0 {
		s.submit(args[0], entry, spec, wait)
	}
	for i := range count {
		spec.RequestKey = requestKey + strconv.Itoa(i)
		s.submit(args[0]+strconv.Itoa(i), entry, spec, wait)
	}
	return nil
}

func (s *scenario) submit(name, entry string, spec structs.JobSpec, wait time.Duration) {
	j := &submission{spec: spec, id: structs.JobID(spec.Account, spec.RequestKey), done: make(chan struct{})}
	s.mu.Lock()
	s.jobs[name] = j
	s.mu.Unlock()
	s.background.Go(func() {
		j.op = s.r.Submit(s.ctx, name, entry, spec, wait)
		close(j.done)
	})
}

// claim is submit for a job that must start within 9.7 s, see promises.
func claim(s *scenario, args []string) error {
	if err := submit(s, args); err != nil {
		return err
	}
	s.r.Claim(s.job(args[0]).id)
	return nil
}

// cancel ACCOUNT [KIND] cancels all jobs of the account or kind.
func cancel(s *scenario, args []string) error {
	req := structs.CancelRequest{Account: args[0]}
	if len(args) > 1 {
		req.Kind = args[1]
	}
	reply, err := s.r.CancelJobs(s.ctx, req)
	if err == nil && len(reply.Unreached) > 0 {
		err = fmt.Errorf("unreached: %v", reply.Unreached)
	}
	return err
}

// apply LABEL [ENTRY] applies the manifest under a label.
func apply(s *scenario, args []string) error {
	m, err := s.r.HealthyClient().Manifest(s.ctx, 0)
	if err != nil {
		return err
	}
	entry := ""
	if len(args) > 1 {
		entry = args[1]
	}
	if a := s.r.Apply(s.ctx, cluster.Manifest, args[0], entry, m.Version); a.Err != nil {
		return a.Err
	}
	return nil
}

// race applies N manifests at once through different entries, ROUNDS times.
func race(s *scenario, args []string) error {
	n, _ := strconv.Atoi(args[0])
	rounds, _ := strconv.Atoi(args[1])
	for round := range rounds {
		m, err := s.r.HealthyClient().Manifest(s.ctx, 0)
		if err != nil {
			return err
		}
		accepted := make(chan *history.Apply, n)
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				accepted <- s.r.Apply(s.ctx, cluster.Manifest, fmt.Sprintf("race-%d-%d", round, i), cluster.EntryName(i%3+1), m.Version)
			})
		}
		wg.Wait()
		close(accepted)
		won := 0
		for a := range accepted {
			if a.Err == nil {
				won++
			} else if a.Err.Code != verdict.CodeConflict {
				return a.Err
			}
		}
		if won > 1 {
			return fmt.Errorf("%d of %d racing manifests were accepted", won, n)
		}
		time.Sleep(300 * time.Millisecond) // the next round starts from the accepted one
	}
	return nil
}

// load RATE DURATION submits short jobs through all entries in the background.
func load(s *scenario, args []string) error {
	rate, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	s.loads.Go(func() {
		for until := time.Now().Add(d); time.Now().Before(until) && s.ctx.Err() == nil; time.Sleep(time.Second / time.Duration(rate)) {
			s.mu.Lock()
			s.serial++
			n := s.serial
			s.mu.Unlock()
			kind := []string{"check", "order", "wide", "order-gang"}[n%4]
			payload, _ := json.Marshal(workerstub.Payload{RunMS: 200, ResultBytes: 40, ExitRank: -1})
			spec := structs.JobSpec{Account: "shop", Kind: kind, RequestKey: "load-" + strconv.Itoa(n), Payload: payload}
			s.submit("load-"+strconv.Itoa(n), cluster.EntryName(n%3+1), spec, 20*time.Second)
		}
	})
	return nil
}

func sleep(s *scenario, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	if len(args) > 1 && *set == "full" { // sleep SHORT FULL
		if d, err = time.ParseDuration(args[1]); err != nil {
			return err
		}
	}
	select {
	case <-time.After(d):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}
