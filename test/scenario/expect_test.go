//go:build !race

package scenario

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/workerstub"
	"github.com/parsleypier/parsleypier/test/history"
)

// responseTimeout limits the wait for the response to a submission.
const responseTimeout = 70 * time.Second

// expect compares the state of the system with the expected one:
//
//	expect JOB state VALUE     the state in the job's record
//	expect JOB ended VALUE     the state in the response
//	expect JOB answered        the response has the expected result
//	expect JOB verdict VALUE   the verdict of the response
//	expect JOB error VALUE     the error code of the response
//	expect JOB runs N          the number of gangs that ran
//	expect JOB tasks N         the number of tasks that run now
//	expect free N              the number of free accelerators
//	expect ready N             the number of workers in state ready
//	expect version everywhere  the newest manifest is in force at every process
//
// JOB may end in * for all jobs whose names have the prefix. A VALUE or N may list
// alternatives, separated by |.
func expect(s *scenario, args []string) error {
	switch args[0] {
	case "free":
		return expectFree(s, args[1])
	case "ready":
		n, err := s.recorder.ReadyWorkers(s.ctx)
		if err == nil {
			err = expectValue("ready workers", strconv.Itoa(n), args[1])
		}
		return err
	case "version":
		return expectVersion(s)
	}
	if prefix, ok := strings.CutSuffix(args[0], "*"); ok {
		return expectAll(s, prefix, args[1:])
	}
	j := s.job(args[0])
	if j == nil {
		return fmt.Errorf("no job %s was submitted", args[0])
	}
	switch args[1] {
	case "state":
		record, err := s.recorder.HealthyClient().Job(s.ctx, j.id, 0)
		if err != nil {
			return err
		}
		return expectValue("state", string(record.State), args[2])
	case "runs", "tasks":
		gangs := map[string]bool{}
		running := 0
		for _, t := range s.tasks(args[0]) {
			gangs[t.GangID] = true
			if t.End.IsZero() {
				running++
			}
		}
		if args[1] == "runs" {
			return expectValue("runs", strconv.Itoa(len(gangs)), args[2])
		}
		return expectValue("running tasks", strconv.Itoa(running), args[2])
	}
	return expectResponse(s, j, args[1:])
}

// expectValue returns an error unless got is one of the alternatives in want, which are
// separated by |.
func expectValue(what, got, want string) error {
	for _, w := range strings.Split(want, "|") {
		if got == w {
			return nil
		}
	}
	return fmt.Errorf("%s: got %s, want %s", what, got, want)
}

// expectAll checks an expectation for every job whose name begins with prefix.
func expectAll(s *scenario, prefix string, args []string) error {
	s.mu.Lock()
	var names []string
	for name := range s.jobs {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	s.mu.Unlock()
	if len(names) == 0 {
		return fmt.Errorf("no job %s* was submitted", prefix)
	}
	for _, name := range names {
		if err := expect(s, append([]string{name}, args...)); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// expectResponse waits for the response to a submission and checks an expectation of it.
func expectResponse(s *scenario, j *submission, args []string) error {
	select {
	case <-j.done:
	case <-time.After(responseTimeout):
		return fmt.Errorf("%s has no answer", j.id)
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	switch args[0] {
	case "verdict":
		return expectValue("verdict", j.recorded.Verdict().String(), args[1])
	case "error":
		if j.recorded.Err == nil {
			return fmt.Errorf("answered without an error: %s", j.recorded.Job.State)
		}
		return expectValue("error", string(j.recorded.Err.Code), args[1])
	case "ended":
		if j.recorded.Err != nil {
			return j.recorded.Err
		}
		return expectValue("state", string(j.recorded.Job.State), args[1])
	case "answered":
		if j.recorded.Err != nil {
			return j.recorded.Err
		}
		if j.recorded.Job.State != structs.JobFinished {
			return fmt.Errorf("answered as %s: %v", j.recorded.Job.State, j.recorded.Job.Error)
		}
		if !bytes.Equal(j.recorded.Job.Result.Data, workerstub.ExpectedResult(j.spec.Payload, j.id, j.recorded.Job.Shape.Workers)) {
			return fmt.Errorf("the result has %d bytes and is not the expected one", len(j.recorded.Job.Result.Data))
		}
		return nil
	}
	return fmt.Errorf("unknown expectation %q", args[0])
}

// expectFree checks the number of free accelerators.
func expectFree(s *scenario, want string) error {
	v, err := s.recorder.HealthyClient().View(s.ctx, "workers", s.recorder.Cluster.Domain())
	if err != nil {
		return err
	}
	if len(v.Domains) != 1 || v.Domains[0].Error != nil {
		return fmt.Errorf("the owner of the domain did not answer")
	}
	free := 0
	for _, w := range v.Domains[0].Workers {
		for _, gang := range w.Accelerators {
			if gang == "" {
				free++
			}
		}
	}
	return expectValue("free accelerators", strconv.Itoa(free), want)
}

// expectVersion checks that the newest accepted manifest is in force at every
// entry and agent that runs and is not frozen.
func expectVersion(s *scenario) error {
	record, err := s.recorder.HealthyClient().ManifestHistory(s.ctx, 1)
	if err != nil || len(record.Manifests) == 0 {
		return fmt.Errorf("no manifest: %v", err)
	}
	want := record.Manifests[0].Version
	for _, name := range append(s.recorder.Cluster.ProcessNames("entry"), s.recorder.Cluster.ProcessNames("agent")...) {
		if p := s.recorder.Cluster.Process(name); p == nil || !p.Alive() || s.recorder.ActiveFault(name, history.Freeze) != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		got, err := s.recorder.Cluster.ManifestVersion(ctx, name)
		cancel()
		if err != nil || got != want {
			return fmt.Errorf("%s has version %d in force, want %d: %v", name, got, want, err)
		}
	}
	return nil
}

// expectTakeover waits until a new owner schedules, and checks that it does so within
// history.TakeoverBound of the expiry of the owner's row.
func expectTakeover(s *scenario, _ []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, 15*time.Second)
	defer cancel()
	t, err := s.recorder.WaitForTakeover(ctx, s.lostAt, s.ownerEpoch)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "takeover: %d ms after the row's expiry, %d ms after the loss\n", t.AfterExpiry.Milliseconds(), t.To.Sub(t.From).Milliseconds())
	if t.AfterExpiry > history.TakeoverBound {
		return fmt.Errorf("the new owner schedules %v after the row's expiry; the bound is %v", t.AfterExpiry, history.TakeoverBound)
	}
	return nil
}

// checkPromises waits until every submission has its response and every job has ended,
// and checks all promises on the record. A fault that had no effect is an error too.
func checkPromises(s *scenario, _ []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, responseTimeout)
	defer cancel()
	s.loadGenerators.Wait()
	s.mu.Lock()
	jobs := make([]*submission, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	s.mu.Unlock()
	for _, j := range jobs {
		select {
		case <-j.done:
		case <-ctx.Done():
			return fmt.Errorf("%s has no answer", j.id)
		}
	}
	run, err := s.recorder.Collect(ctx)
	if err != nil {
		return err
	}
	text := ""
	for _, f := range run.Check() {
		if len(f.Violations) > 0 {
			text += "\n" + f.String()
		} else if f.Measurement != "" && f.Promise != 8 {
			fmt.Fprintln(os.Stderr, f)
		}
	}
	if ineffective := run.IneffectiveFaults(); len(ineffective) > 0 {
		text += fmt.Sprintf("\nfaults without effect: %v", ineffective)
	}
	if text != "" {
		return fmt.Errorf("%s", text)
	}
	return nil
}
