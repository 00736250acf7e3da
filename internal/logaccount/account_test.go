package logaccount

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// logLine returns a line of an entry's log at a time in seconds. fields has pairs of a key
// and a value in JSON.
func logLine(at float64, name string, fields ...string) string {
	when := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(at * float64(time.Second)))
	out := fmt.Sprintf(`{"time":%q,"level":"INFO","msg":%q,"process":"entry-1","role":"entry"`, when.Format(time.RFC3339Nano), name)
	for i := 0; i < len(fields); i += 2 {
		out += fmt.Sprintf(`,%q:%s`, fields[i], fields[i+1])
	}
	return out + "}\n"
}

// aJob returns the lines of a job of one task that is accepted at a time and worth 4, or 1
// if it is late. It is due 0.5 s after 1.5 times its run time.
func aJob(at float64, id string) string {
	return logLine(at+0.02, "request", "job", `"`+id+`"`, "call", `"submit"`, "status", "200", "tookMs", "20", "queue", `"q"`) +
		logLine(at+0.02, "job_seen", "job", `"`+id+`"`, "queue", `"q"`, "stretch", "1.5", "slackMs", "500", "worth", "4", "lateWorth", "1", "lateFactor", "3",
			"shape", `[{"tasks":1,"cpuMilli":1000,"gpus":2,"declaredMs":2000}]`)
}

// aRun returns the lines of an attempt of the job's task.
func aRun(job string, attempt int, ordered, ended float64, how, why string) string {
	run := fmt.Sprintf(`"%s.0.0.0#%d"`, job, attempt)
	out := logLine(ordered, "run_ordered", "job", `"`+job+`"`, "run", run, "worker", `"w1"`, "expectedMs", "2000") +
		logLine(ordered, "run_started", "job", `"`+job+`"`, "run", run)
	if how != "" {
		out += logLine(ended, "run_ended", "job", `"`+job+`"`, "run", run, "how", `"`+how+`"`, "why", `"`+why+`"`)
	}
	return out
}

func ended(at float64, job string) string {
	return logLine(at, "job_ended", "job", `"`+job+`"`, "state", `"completed"`)
}

// TestCauses checks the cause that is given for a job that earned less than its worth.
func TestCauses(t *testing.T) {
	for _, c := range []struct {
		name, log string
		earned    float64
		cause     Cause
	}{
		{"on time", aJob(1, "a") + aRun("a", 1, 1.1, 3.1, "done", "") + ended(3.1, "a"), 4, ""},
		{"room", aJob(1, "a") + logLine(1.03, "step_waits", "job", `"a"`, "step", "0", "reason", `"no_room"`) + aRun("a", 1, 5, 7, "done", "") + ended(7, "a"), 1, WaitedRoom},
		{"too late", aJob(1, "a") + logLine(1.03, "step_waits", "job", `"a"`, "step", "0", "reason", `"rack"`) + aRun("a", 1, 20, 22, "done", "") + ended(22, "a"), 0, WaitedRack},
		{"stopped for another", aJob(1, "a") + aRun("a", 1, 1.1, 3, "stopped", "preempted for b") + aRun("a", 2, 3.5, 5.5, "done", "") + ended(5.5, "a"), 1, Preempted},
		{"failed", aJob(1, "a") + aRun("a", 1, 1.1, 3, "failed", "") + aRun("a", 2, 3.5, 5.5, "done", "") + ended(5.5, "a"), 1, RunFailed},
		{"recorded late", aJob(1, "a") + aRun("a", 1, 1.1, 3.1, "done", "") + ended(6.5, "a"), 1, RecordedLate},
		{"new owner awaits a silent worker", aJob(1, "a") + logLine(2, "owner_loaded") + aRun("a", 1, 6, 8, "done", "") + ended(8, "a"), 1, SilentWorker},
		{"refused", logLine(1, "request", "job", `"a"`, "call", `"submit"`, "status", "503", "err", `"platform_unavailable: x"`) + aJob(2, "b"), 0, NotAcceptedStore},
		{"accepted late", logLine(1, "request", "job", `"a"`, "call", `"submit"`, "status", "503", "err", `"platform_unavailable: x"`) +
			aJob(3.9, "a") + aRun("a", 1, 4, 6, "done", "") + ended(6, "a"), 1, AcceptedLate},
		{"crashes workers", aJob(1, "a") + aRun("a", 1, 1.1, 1.4, "lost", "worker crashed 10ms after the start") + logLine(2, "job_given_up", "job", `"a"`) +
			logLine(2, "job_ended", "job", `"a"`, "state", `"failed"`), 0, GivenUp},
		{"lost without an owner", aJob(1, "a") + aRun("a", 1, 1.1, 0, "", "") + logLine(4, "owner_loaded") + aRun("a", 2, 4.1, 6.1, "done", "") + ended(6.1, "a"), 1, WorkerLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &Log{}
			if err := l.Add("log", strings.NewReader(logLine(0, "owner_loaded")+c.log)); err != nil {
				t.Fatal(err)
			}
			jobs := Build(l).Jobs
			if len(jobs) == 0 || jobs[0].ID != "a" || jobs[0].Earned != c.earned || jobs[0].Cause != c.cause {
				t.Errorf("jobs %+v, want that a earned %v and the cause %q", jobs, c.earned, c.cause)
			}
		})
	}
}

// TestOpenAndCancelledJobsAreNotLost guards against an account that charges jobs which were
// withdrawn, or which the log ends before they are due.
func TestOpenAndCancelledJobsAreNotLost(t *testing.T) {
	l := &Log{}
	log := aJob(1, "cancelled") + logLine(2, "request", "job", `"cancelled"`, "call", `"cancel"`, "status", "200") + aJob(2.5, "open") + aRun("open", 1, 2.6, 0, "", "")
	if err := l.Add("log", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	if jobs := Build(l).Jobs; len(jobs) != 1 || jobs[0].State != "open" || jobs[0].Worth != 0 {
		t.Errorf("jobs %+v, want one that is open and counts for nothing", jobs)
	}
}

// TestBadInput checks that cut lines and prefixes are accepted, and that other files are
// refused with their name.
func TestBadInput(t *testing.T) {
	good := aJob(1, "a") + aRun("a", 1, 1.1, 3.1, "done", "") + ended(3.1, "a")
	l := &Log{}
	mixed := "  1.02 entry-1 " + good + "a line of another program\n" + good[:40] + "\n"
	if err := l.Add("mixed", strings.NewReader(mixed)); err != nil || l.SkippedLines != 1 {
		t.Errorf("mixed lines: %v, %d skipped, want 1", err, l.SkippedLines)
	}
	if jobs := Build(l).Jobs; len(jobs) != 1 || jobs[0].Earned != 4 {
		t.Errorf("jobs %+v", jobs)
	}
	for name, text := range map[string]string{
		"empty": "", "report.json": `{"name":"all","days":[1,2]}`, "trace": `{"Name":"x"}` + "\n" + `{"Name":"y"}`, "long": `{"` + strings.Repeat("x", maxLineBytes) + `"`,
	} {
		if err := (&Log{}).Add(name, strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), name) {
			t.Errorf("%s: %v, want an error that names it", name, err)
		}
	}
	strange := logLine(1, "run_ordered", "job", `"a"`, "run", `"a.x"`) + logLine(1, "run_ended", "job", `"a"`, "run", `"a.0.99.0#1"`, "how", `"failed"`) +
		logLine(1, "job_seen", "job", `"a"`, "shape", `[{"after":[7,-1]}]`) + logLine(2, "run_ordered", "job", `"a"`, "run", `"a.0.99.0#1"`)
	l = &Log{}
	if err := l.Add("strange", strings.NewReader(strange)); err != nil {
		t.Fatal(err)
	}
	Build(l) // must not panic
}
