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

// scenario is the state of one running script.
type scenario struct {
	ctx            context.Context
	recorder       *history.Recorder
	submissions    sync.WaitGroup // submissions in progress
	loadGenerators sync.WaitGroup // running load commands

	mu             sync.Mutex
	jobs           map[string]*submission // by the names in the script
	ownerEpoch     uint32                 // epoch of lastOwner
	lastOwner      string                 // what the last "owner" in the script stood for
	lastOtherEntry string                 // what the last "other-entry" in the script stood for
	lostAt         time.Time              // time of the last command on processes, such as the kill of the owner
	loadCount      int                    // jobs that load commands have submitted
}

// submission is a job submitted in the background. recorded is set when done is closed.
type submission struct {
	spec     structs.JobSpec
	id       string
	done     chan struct{}
	recorded *history.Submission
}

// command implements a script command. The process references in its arguments are
// already replaced by process names.
type command func(s *scenario, args []string) error

// commands maps the names of the script commands to their implementations.
var commands = map[string]func(*testscript.TestScript, bool, []string){}

func init() {
	for name, f := range map[string]command{
		"start": forEachProcess((*history.Recorder).Start), "crash": forEachProcess((*history.Recorder).Kill), "freeze": forEachProcess((*history.Recorder).Freeze),
		"thaw": forEachProcess((*history.Recorder).Thaw), "terminate": forEachProcess((*history.Recorder).Terminate), "gone": forEachProcess((*history.Recorder).WaitExit),
		"cut": cut(false), "cut-one-way": cut(true), "heal": heal, "heal-all": healAll, "slow": slow, "outage": outage, "lose-answers": loseResponses,
		"platform-ok": platformOK, "worker-mode": workerMode, "submit": submit, "cancel": cancel, "apply": apply, "race": raceManifests,
		"setting": setting, "relays": expectRelays, "expect": expect, "load": load, "sleep": sleep, "takeover": expectTakeover, "claim": claim, "promises": checkPromises,
	} {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value(scenarioKey{}).(*scenario)
			within, args := splitWithin(args)
			err := f(s, s.resolveNames(args))
			for start := time.Now(); err != nil && time.Since(start) < within && s.ctx.Err() == nil; {
				time.Sleep(20 * time.Millisecond)
				err = f(s, s.resolveNames(args))
			}
			if (err == nil) == neg {
				ts.Fatalf("%s %s: %v", ts.Name(), strings.Join(args, " "), err)
			}
		}
	}
}

// splitWithin removes "within D" from the end of the arguments and returns D, or 0 if it
// is absent. A command with it is repeated until it succeeds or D has passed.
func splitWithin(args []string) (time.Duration, []string) {
	if n := len(args); n >= 2 && args[n-2] == "within" {
		if d, err := time.ParseDuration(args[n-1]); err == nil {
			return d, args[:n-2]
		}
	}
	return 0, args
}

// otherEntry returns an entry that is neither the owner nor the owner that the script
// referred to last, which may be frozen.
func (s *scenario) otherEntry(owner string) string {
	for i := range 3 {
		if name := cluster.EntryName(i + 1); name != owner && name != s.lastOwner {
			return name
		}
	}
	return owner
}

// resolveNames replaces the process references in args, also those after "entry=", by
// process names:
//
//	owner        the entry that owns the domain now
//	old-owner    what the last "owner" stood for
//	other-entry  an entry that is not the owner
//	old-other    what the last "other-entry" stood for
//	rank0:JOB    the agent of rank 0 of the job
//	member:JOB   the agent of rank 1 of the job
//	worker0:JOB  the worker of rank 0 of the job
func (s *scenario) resolveNames(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		out[i] = a
		if entry, ok := strings.CutPrefix(a, "entry="); ok {
			out[i] = "entry=" + s.resolveNames([]string{entry})[0]
			continue
		}
		switch kind, job, ok := strings.Cut(a, ":"); {
		case a == "old-owner":
			out[i] = s.lastOwner
		case a == "old-other":
			out[i] = s.lastOtherEntry
		case a == "owner", a == "other-entry":
			name, epoch := s.recorder.Owner(s.ctx)
			if a == "owner" {
				s.ownerEpoch, s.lastOwner = epoch, name
			} else {
				name = s.otherEntry(name)
				s.lastOtherEntry = name
			}
			out[i] = name
		case ok && (kind == "rank0" || kind == "member" || kind == "worker0"):
			out[i] = s.processOfRank(kind, job)
		}
	}
	return out
}

// firstRunningJob returns the first job in the order of names whose name has the prefix
// and whose ranks 0 and 1 run, or "".
func (s *scenario) firstRunningJob(prefix string) string {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.jobs))
	s.mu.Unlock()
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && s.processOfRank("rank0", name) != "" && s.processOfRank("member", name) != "" {
			return name
		}
	}
	return ""
}

// processOfRank returns the agent (for rank0 and member) or worker (for worker0) of a
// running rank of a job, or "". A job name that ends in * stands for the first running
// job with that prefix.
func (s *scenario) processOfRank(kind, job string) string {
	rank := map[string]int{"rank0": 0, "worker0": 0, "member": 1}[kind]
	if prefix, ok := strings.CutSuffix(job, "*"); ok {
		job = s.firstRunningJob(prefix)
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

// tasks returns the tasks of a job that the workers' histories list.
func (s *scenario) tasks(name string) []history.Task {
	j := s.job(name)
	if j == nil {
		return nil
	}
	var tasks []history.Task
	for _, w := range s.recorder.Cluster.ProcessNames("worker") {
		all, err := history.ReadTasks(w, s.recorder.Cluster.HistoryFile(w))
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

// forEachProcess returns a command that applies f to each process in its arguments.
func forEachProcess(f func(*history.Recorder, string) error) command {
	return func(s *scenario, args []string) error {
		s.lostAt = time.Now()
		for _, name := range args {
			if err := f(s.recorder, name); err != nil {
				return err
			}
		}
		return nil
	}
}

// cut A B cuts the link between two processes; cut-one-way cuts only that from A to B.
func cut(oneWay bool) command {
	return func(s *scenario, args []string) error { return s.recorder.Cut(args[0], args[1], oneWay) }
}

// heal A B restores the link between two processes.
func heal(s *scenario, args []string) error { return s.recorder.Heal(args[0], args[1]) }

// heal-all restores every link.
func healAll(s *scenario, _ []string) error { return s.recorder.HealAll() }

// slow A B DELAY delays what A sends to B.
func slow(s *scenario, args []string) error {
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	return s.recorder.Slow(args[0], args[1], d)
}

// outage table|store|both [refuse|reset|hang] makes parts of the platform unavailable.
func outage(s *scenario, args []string) error {
	f := platformstub.Faults{TableDown: args[0] != "store", StoreDown: args[0] != "table"}
	if len(args) > 1 {
		f.Outage = args[1]
	}
	return s.recorder.Outage(s.ctx, f)
}

// lose-answers SHARE makes the platform lose this share of its responses, after the
// writes took effect.
func loseResponses(s *scenario, args []string) error {
	p, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	return s.recorder.Outage(s.ctx, platformstub.Faults{LoseAnswers: p, Seed: 1})
}

// platform-ok ends the outage or the loss of responses.
func platformOK(s *scenario, _ []string) error { return s.recorder.EndOutage(s.ctx) }

// worker-mode WORKER fail-all makes every task on the worker fail; any other mode ends
// this.
func workerMode(s *scenario, args []string) error {
	if args[1] == "fail-all" {
		return s.recorder.FailWorker(args[0])
	}
	return s.recorder.HealWorker(args[0])
}

// submit submits a job, or count jobs with numbered names, in the background:
//
//	submit NAME ACCOUNT KIND RUN [key=K] [entry=E] [wait=D] [fail] [bytes=N] [count=N] [checkpointable]
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

// submit submits one job in the background and registers it under name.
func (s *scenario) submit(name, entry string, spec structs.JobSpec, wait time.Duration) {
	j := &submission{spec: spec, id: structs.JobID(spec.Account, spec.RequestKey), done: make(chan struct{})}
	s.mu.Lock()
	s.jobs[name] = j
	s.mu.Unlock()
	s.submissions.Go(func() {
		j.recorded = s.recorder.Submit(s.ctx, name, entry, spec, wait)
		close(j.done)
	})
}

// claim has the arguments of submit, for a job inside its account's guarantee. The
// command promises checks that the job starts within 9.7 s.
func claim(s *scenario, args []string) error {
	if err := submit(s, args); err != nil {
		return err
	}
	s.recorder.Claim(s.job(args[0]).id)
	return nil
}

// cancel ACCOUNT [KIND] cancels all jobs of the account, or only those of the kind.
func cancel(s *scenario, args []string) error {
	req := structs.CancelRequest{Account: args[0]}
	if len(args) > 1 {
		req.Kind = args[1]
	}
	response, err := s.recorder.CancelJobs(s.ctx, req)
	if err == nil && len(response.Unreached) > 0 {
		err = fmt.Errorf("domains not reached by the cancellation: %v", response.Unreached)
	}
	return err
}

// apply LABEL [ENTRY] applies the manifest with the label as its deployment name, as
// the successor of the version in force.
func apply(s *scenario, args []string) error {
	m, err := s.recorder.HealthyClient().Manifest(s.ctx, 0)
	if err != nil {
		return err
	}
	entry := ""
	if len(args) > 1 {
		entry = args[1]
	}
	if a := s.recorder.Apply(s.ctx, cluster.Manifest, args[0], entry, m.Version); a.Err != nil {
		return a.Err
	}
	return nil
}

// race N ROUNDS applies N manifests with the same parent at once through different
// entries, ROUNDS times, and checks that at most one of each round is accepted.
func raceManifests(s *scenario, args []string) error {
	n, _ := strconv.Atoi(args[0])
	rounds, _ := strconv.Atoi(args[1])
	for round := range rounds {
		m, err := s.recorder.HealthyClient().Manifest(s.ctx, 0)
		if err != nil {
			return err
		}
		applies := make(chan *history.Apply, n)
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				applies <- s.recorder.Apply(s.ctx, cluster.Manifest, fmt.Sprintf("race-%d-%d", round, i), cluster.EntryName(i%3+1), m.Version)
			})
		}
		wg.Wait()
		close(applies)
		accepted := 0
		for a := range applies {
			if a.Err == nil {
				accepted++
			} else if a.Err.Code != verdict.CodeConflict {
				return a.Err
			}
		}
		if accepted > 1 {
			return fmt.Errorf("%d of %d concurrent manifests were accepted", accepted, n)
		}
		time.Sleep(300 * time.Millisecond) // lets the accepted version become the parent of the next round
	}
	return nil
}

// load RATE DURATION submits RATE short jobs a second in the background, through all
// entries in turn.
func load(s *scenario, args []string) error {
	rate, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	s.loadGenerators.Go(func() {
		for until := time.Now().Add(d); time.Now().Before(until) && s.ctx.Err() == nil; time.Sleep(time.Second / time.Duration(rate)) {
			s.mu.Lock()
			s.loadCount++
			n := s.loadCount
			s.mu.Unlock()
			kind := []string{"check", "order", "wide", "order-gang"}[n%4]
			payload, _ := json.Marshal(workerstub.Payload{RunMS: 200, ResultBytes: 40, ExitRank: -1})
			spec := structs.JobSpec{Account: "shop", Kind: kind, RequestKey: "load-" + strconv.Itoa(n), Payload: payload}
			s.submit("load-"+strconv.Itoa(n), cluster.EntryName(n%3+1), spec, 20*time.Second)
		}
	})
	return nil
}

// sleep D [FULL] waits for D, or for FULL if it is given and the full set runs.
func sleep(s *scenario, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	if len(args) > 1 && *scenarioSet == "full" {
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
