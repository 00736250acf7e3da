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

// answerTimeout limits the wait for an answer that a script asks about.
const answerTimeout = 70 * time.Second

// expect compares what is with what shall be:
//
//	expect JOB state|verdict|error|answered|runs|tasks VALUE
//	expect free|ready N
//	expect version everywhere
func expect(s *scenario, args []string) error {
	switch args[0] {
	case "free":
		return expectFree(s, args[1])
	case "ready":
		n, err := s.r.ReadyWorkers(s.ctx)
		if err == nil {
			err = same("ready workers", strconv.Itoa(n), args[1])
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
		record, err := s.r.HealthyClient().Job(s.ctx, j.id, 0)
		if err != nil {
			return err
		}
		return same("state", string(record.State), args[2])
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
			return same("runs", strconv.Itoa(len(gangs)), args[2])
		}
		return same("running tasks", strconv.Itoa(running), args[2])
	}
	return expectAnswer(s, j, args[1:])
}

func same(what, got, want string) error {
	for _, w := range strings.Split(want, "|") {
		if got == w {
			return nil
		}
	}
	return fmt.Errorf("%s: got %s, want %s", what, got, want)
}

// expectAll applies an expectation to every job whose name begins with prefix.
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

// expectAnswer waits for the answer to a submission.
func expectAnswer(s *scenario, j *submission, args []string) error {
	select {
	case <-j.done:
	case <-time.After(answerTimeout):
		return fmt.Errorf("%s has no answer", j.id)
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	switch args[0] {
	case "verdict":
		return same("verdict", j.op.Verdict().String(), args[1])
	case "error":
		if j.op.Err == nil {
			return fmt.Errorf("answered without an error: %s", j.op.Job.State)
		}
		return same("error", string(j.op.Err.Code), args[1])
	case "ended":
		if j.op.Err != nil {
			return j.op.Err
		}
		return same("state", string(j.op.Job.State), args[1])
	case "answered":
		if j.op.Err != nil {
			return j.op.Err
		}
		if j.op.Job.State != structs.JobFinished {
			return fmt.Errorf("answered as %s: %v", j.op.Job.State, j.op.Job.Error)
		}
		if !bytes.Equal(j.op.Job.Result.Data, workerstub.ExpectedResult(j.spec.Payload, j.id, j.op.Job.Shape.Workers)) {
			return fmt.Errorf("the result has %d bytes and is not the expected one", len(j.op.Job.Result.Data))
		}
		return nil
	}
	return fmt.Errorf("unknown expectation %q", args[0])
}

func expectFree(s *scenario, want string) error {
	v, err := s.r.HealthyClient().View(s.ctx, "workers", s.r.Cluster.Domain())
	if err != nil {
		return err
	}
	if len(v.Domains) != 1 || v.Domains[0].Error != nil {
		return fmt.Errorf("the owner does not answer")
	}
	free := 0
	for _, w := range v.Domains[0].Workers {
		for _, gang := range w.Accelerators {
			if gang == "" {
				free++
			}
		}
	}
	return same("free accelerators", strconv.Itoa(free), want)
}

// expectVersion checks that the newest accepted manifest is in force at every
// process that runs.
func expectVersion(s *scenario) error {
	record, err := s.r.HealthyClient().ManifestHistory(s.ctx, 1)
	if err != nil || len(record.Manifests) == 0 {
		return fmt.Errorf("no manifest: %v", err)
	}
	want := record.Manifests[0].Version
	for _, name := range append(s.r.Cluster.ProcessNames("entry"), s.r.Cluster.ProcessNames("agent")...) {
		if p := s.r.Cluster.Process(name); p == nil || !p.Alive() || s.r.ActiveFault(name, history.Freeze) != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		got, err := s.r.Cluster.ManifestVersion(ctx, name)
		cancel()
		if err != nil || got != want {
			return fmt.Errorf("%s has version %d in force, want %d: %v", name, got, want, err)
		}
	}
	return nil
}

// takeover waits for the next owner and checks its time.
func takeover(s *scenario, _ []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, 15*time.Second)
	defer cancel()
	t, err := s.r.WaitForTakeover(ctx, s.lost, s.epoch)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "takeover: %d ms after the row's expiry, %d ms after the loss\n", t.AfterExpiry.Milliseconds(), t.To.Sub(t.From).Milliseconds())
	if t.AfterExpiry > history.TakeoverBound {
		return fmt.Errorf("the new owner schedules %v after the row's expiry; the bound is %v", t.AfterExpiry, history.TakeoverBound)
	}
	return nil
}

// promises waits until every job has ended, and checks all promises on what
// was recorded. A fault that met nothing is an error.
func promises(s *scenario, _ []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, answerTimeout)
	defer cancel()
	s.loads.Wait()
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
	run, err := s.r.Collect(ctx)
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
	if unseen := run.IneffectiveFaults(); len(unseen) > 0 {
		text += fmt.Sprintf("\nfaults that met nothing: %v", unseen)
	}
	if text != "" {
		return fmt.Errorf("%s", text)
	}
	return nil
}
