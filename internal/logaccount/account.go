package logaccount

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Cause is why a job earned less than its full worth: what delayed it most.
type Cause string

// Values of Cause.
const (
	NotAcceptedStore Cause = "not accepted: store out of reach"
	NotAcceptedOther Cause = "not accepted: other"
	AcceptedLate     Cause = "accepted late"
	WaitedRoom       Cause = "waited for room"
	WaitedRack       Cause = "waited for a rack"
	WaitedReserved   Cause = "waited for reserved room"
	WaitedStops      Cause = "waited for stops"
	WaitedWorker     Cause = "waited: no usable worker"
	WaitedIsolation  Cause = "waited to be kept apart after a crash"
	Takeover         Cause = "takeover"
	SilentWorker     Cause = "waited for a silent worker"
	Preempted        Cause = "stopped for another job"
	WorkerLeft       Cause = "stopped: worker leaves"
	GangBroken       Cause = "broken with its gang"
	RunFailed        Cause = "run failed"
	WorkerLost       Cause = "worker lost"
	StartUnconfirmed Cause = "start unanswered or rejected"
	SlowRun          Cause = "slow run"
	RecordedLate     Cause = "end recorded late"
	GivenUp          Cause = "given up: one of its tasks crashes workers"
	Cancelled        Cause = "cancelled by its client"
	StillRunning     Cause = "not ended in the log"
	Unknown          Cause = "unknown"
)

// waitCauses maps the reasons of step_waits events.
var waitCauses = map[string]Cause{
	"no_room": WaitedRoom, "rack": WaitedRack, "reserved": WaitedReserved, "preempting": WaitedStops, "never_fits": WaitedRoom, "no_worker": WaitedWorker, "isolation": WaitedIsolation,
}

// Job is the account of one job.
type Job struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"`
	Account string `json:"account"`
	// State is the final state, "unfinished", "open" if it was not yet due at the end of
	// the log, or "not accepted". A job that was given up has failed, and was worth nothing.
	State     string    `json:"state"`
	Submitted time.Time `json:"submitted"`
	// Due is when the job was due, by its actual run times.
	Due   time.Time `json:"due,omitzero"`
	Ended time.Time `json:"ended,omitzero"`
	// Worth is what the job was worth, Earned what it earned, and Possible what it could
	// have earned alone on an empty cluster that was lost at the same times.
	Worth    float64 `json:"worth"`
	Earned   float64 `json:"earned"`
	Possible float64 `json:"possible"`
	// Cause is set if the job earned less than its worth. At is when the longest delay
	// began, Delay how long all delays of the cause took.
	Cause    Cause         `json:"cause,omitempty"`
	At       time.Time     `json:"at,omitzero"`
	Delay    time.Duration `json:"delay,omitempty"`
	Segments []Segment     `json:"segments,omitempty"`
}

// Segment is a part of the time on the chain of work that ended last. The cause is empty
// for work.
type Segment struct {
	Cause  Cause     `json:"cause,omitempty"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
	Detail string    `json:"detail"`
}

// Account is the account of a deployment.
type Account struct {
	// Jobs lists the jobs that were not cancelled, by time of submission.
	Jobs []Job `json:"jobs"`
	// DiscardedCoreSeconds is the work of ended runs that was lost, by cause. A GPU counts
	// as gpuCores cores.
	DiscardedCoreSeconds map[Cause]float64 `json:"discardedCoreSeconds"`
}

const (
	gpuCores = 8
	// minDelay is the shortest delay that counts as a segment of its own.
	minDelay = 50 * time.Millisecond
	// slowFactor is the factor over the median of its step from which a run is slow.
	slowFactor = 1.5
)

// Build returns the account of the jobs in the log.
func Build(l *Log) *Account {
	c := read(l)
	a := &Account{DiscardedCoreSeconds: map[Cause]float64{}}
	worth, seen := map[string]float64{}, map[string]int{}
	for _, j := range c.jobs {
		if !j.seen.IsZero() {
			worth[j.queue] += j.terms.Worth
			seen[j.queue]++
		}
	}
	for _, j := range c.jobs {
		for _, r := range j.runs {
			if lost := discarded(j, r); lost > 0 {
				a.DiscardedCoreSeconds[c.endCause(j, r)] += lost
			}
		}
		if j.cancelled || j.state == "cancelled" || j.submitted.IsZero() && j.seen.IsZero() {
			continue
		}
		a.Jobs = append(a.Jobs, c.account(j, worth[j.queue]/float64(max(seen[j.queue], 1))))
	}
	slices.SortFunc(a.Jobs, func(x, y Job) int { return cmp.Or(x.Submitted.Compare(y.Submitted), cmp.Compare(x.ID, y.ID)) })
	return a
}

// discarded returns the core-seconds of a run whose work was lost.
func discarded(j *jobLog, r *run) float64 {
	if r.how == "" || r.how == "done" || r.started.IsZero() || r.step >= len(j.terms.Shape) || j.terms.Shape[r.step].Checkpoint {
		return 0
	}
	s := j.terms.Shape[r.step]
	return r.ended.Sub(r.started).Seconds() * (float64(s.CPUMilli)/1000 + gpuCores*float64(s.GPUs))
}

// account returns the account of one job. queueWorth is the mean worth of its queue, for
// jobs that were not accepted.
func (c *cluster) account(j *jobLog, queueWorth float64) Job {
	out := Job{ID: j.id, Queue: j.queue, Account: j.account, State: j.state, Submitted: j.submitted, Worth: j.terms.Worth}
	if out.Submitted.IsZero() {
		out.Submitted = j.seen
	}
	if j.seen.IsZero() {
		out.State, out.Worth, out.Cause, out.At = "not accepted", queueWorth, NotAcceptedOther, out.Submitted
		if strings.Contains(j.refusal, string(verdict.CodePlatformUnavailable)) {
			out.Cause = NotAcceptedStore
		} else {
			out.Possible = queueWorth
		}
		return out
	}
	chain, allowed := c.paths(j)
	objective := time.Duration(max(1, j.terms.Stretch)*float64(allowed)) + time.Duration(j.terms.SlackMs)*time.Millisecond
	lateBy := time.Duration(max(1, j.terms.LateBy) * float64(objective))
	earned := func(took time.Duration) float64 {
		switch {
		case took <= objective:
			return j.terms.Worth
		case took <= lateBy:
			return j.terms.Late
		}
		return 0
	}
	out.Due = out.Submitted.Add(objective)
	accepted := c.acceptedAt(j)
	out.Possible = earned(c.possibleEnd(j, accepted, chain).Sub(out.Submitted))
	out.Segments = c.segments(j, out.Submitted, accepted)
	switch j.state {
	case "completed":
		out.Ended, out.Earned = j.ended, earned(j.ended.Sub(out.Submitted))
	case "failed":
		out.Ended, out.Earned = j.ended, out.Worth // its tasks failed as often as the queue allows
	default:
		if out.State = "unfinished"; out.Due.After(c.last) {
			out.State, out.Worth, out.Possible = "open", 0, 0
		}
	}
	if j.givenUp {
		out.Worth, out.Possible, out.Earned, out.Cause, out.At = 0, 0, 0, GivenUp, j.ended
	}
	out.Possible = max(out.Possible, out.Earned)
	if out.Earned < out.Worth {
		out.Cause, out.At, out.Delay = longestDelay(out.Segments)
	}
	return out
}

func (c *cluster) acceptedAt(j *jobLog) time.Time {
	if j.accepted.IsZero() || j.seen.Before(j.accepted) {
		return j.seen // the answer was lost, or later than the owner's look
	}
	return j.accepted
}

// possibleEnd returns when a job's chain of work could have ended that began at a time. It
// begins again after a time without an owner in which the job's runs were lost, and an end
// is recorded by an owner only.
func (c *cluster) possibleEnd(j *jobLog, begin time.Time, chain time.Duration) time.Time {
	end := begin.Add(chain)
	for _, t := range c.terms {
		if t.lastDecision.IsZero() || !t.lastDecision.Before(end) || !t.loaded.After(begin) {
			continue
		}
		if j.lostRunsAt(t) {
			end = t.loaded.Add(chain)
		}
		end = later(end, t.loaded)
	}
	return end
}

// lostRunsAt reports whether runs of the job were lost while there was no owner: they have
// no end, and the next owner ordered another attempt.
func (j *jobLog) lostRunsAt(t term) bool {
	for i, r := range j.runs {
		if r.ended.IsZero() && r.ordered.Before(t.loaded) && j.nextAttempt(i) != nil && j.nextAttempt(i).ordered.After(t.loaded) {
			return true
		}
	}
	return false
}

// nextAttempt returns the attempt that follows the run with the given index, or nil.
func (j *jobLog) nextAttempt(i int) *run {
	for _, o := range j.runs[i+1:] {
		if o.task == j.runs[i].task {
			return o
		}
	}
	return nil
}

// longestDelay returns the cause with the longest sum of delays.
func longestDelay(segments []Segment) (Cause, time.Time, time.Duration) {
	sums, first := map[Cause]time.Duration{}, map[Cause]Segment{}
	best := Unknown
	for _, s := range segments {
		if s.Cause == "" {
			continue
		}
		sums[s.Cause] += s.To.Sub(s.From)
		if f, ok := first[s.Cause]; !ok || s.To.Sub(s.From) > f.To.Sub(f.From) {
			first[s.Cause] = s
		}
		if best == Unknown || sums[s.Cause] > sums[best] {
			best = s.Cause
		}
	}
	if sums[best] < minDelay {
		return Unknown, time.Time{}, 0
	}
	return best, first[best].From, sums[best]
}

// segments returns the chain of waits and runs that ended last, from the first submission
// to the end of the job or of the log.
func (c *cluster) segments(j *jobLog, submitted, accepted time.Time) []Segment {
	var out []Segment
	add := func(cause Cause, from, to time.Time, format string, args ...any) {
		if to.Sub(from) >= minDelay || cause == "" && to.After(from) {
			out = append(out, Segment{cause, from, to, fmt.Sprintf(format, args...)})
		}
	}
	add(AcceptedLate, submitted, accepted, "accepted %v after the first try", accepted.Sub(submitted).Round(time.Millisecond))
	end := c.last
	if !j.ended.IsZero() {
		end = j.ended
	}
	at := accepted
	for _, tasks := range j.criticalTasks() {
		for i, r := range tasks {
			c.addWait(j, r.step, at, r.ordered, add)
			if at = c.addRun(j, r, end, add); r.ended.IsZero() && i+1 < len(tasks) {
				add(WorkerLost, at, tasks[i+1].ordered, "%s was lost while there was no owner", r.id)
				at = tasks[i+1].ordered
			}
		}
	}
	switch {
	case !j.ended.IsZero():
		add(RecordedLate, at, end, "the end was recorded %v after the last run", end.Sub(at).Round(time.Millisecond))
	case len(j.runs) == 0 || !j.runs[len(j.runs)-1].ended.IsZero():
		step := 0
		if n := len(j.waits); n > 0 {
			step = j.waits[n-1].step
		}
		c.addWait(j, step, at, end, add)
	}
	return out
}

// criticalTasks returns the attempts of the task that ended last, for each step of the chain
// of steps that ended last.
func (j *jobLog) criticalTasks() [][]*run {
	byTask := map[string][]*run{}
	lastEnd := map[int]time.Time{}
	critical := map[int]string{}
	for _, r := range j.runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	for task, runs := range byTask {
		last := runs[len(runs)-1]
		end := last.ended
		if end.IsZero() {
			end = last.ordered.Add(1 << 60) // still running
		}
		if s := last.step; critical[s] == "" || end.After(lastEnd[s]) || end.Equal(lastEnd[s]) && task < critical[s] {
			critical[s], lastEnd[s] = task, end
		}
	}
	var out [][]*run
	step, found := -1, false
	for s := range critical {
		if !found || lastEnd[s].After(lastEnd[step]) {
			step, found = s, true
		}
	}
	for found {
		out = append(out, byTask[critical[step]])
		before, ok := -1, false
		if step < len(j.terms.Shape) {
			for _, a := range j.terms.Shape[step].After {
				if critical[a] != "" && (!ok || lastEnd[a].After(lastEnd[before])) {
					before, ok = a, true
				}
			}
		}
		step, found = before, ok
	}
	slices.Reverse(out)
	return out
}

// addWait adds the wait of a step from one time to another, split by its causes.
func (c *cluster) addWait(j *jobLog, step int, from, to time.Time, add func(Cause, time.Time, time.Time, string, ...any)) {
	if previous := j.lastEndBefore(step, from); previous != nil && to.After(from) {
		add(c.endCause(j, previous), from, to, "waited to run again after %s ended as %s (%s)", previous.id, previous.how, previous.why)
		return
	}
	for _, t := range c.terms {
		if t.lastDecision.IsZero() || !t.lastDecision.Before(to) {
			continue
		}
		if gone := later(from, t.lastDecision); gone.Before(t.loaded) && t.loaded.Before(to) {
			c.addReasons(j, step, from, gone, add)
			add(Takeover, gone, t.loaded, "no owner")
			from = t.loaded
		}
		if looked := j.lookedAt[t.loaded]; !t.loaded.Before(from) && looked.After(from) && !looked.After(to) && j.seen.Before(t.loaded) {
			add(SilentWorker, from, looked, "the new owner awaited reports")
			from = looked
		}
	}
	c.addReasons(j, step, from, to, add)
}

// addReasons adds a wait by the reasons that the owner gave.
func (c *cluster) addReasons(j *jobLog, step int, from, to time.Time, add func(Cause, time.Time, time.Time, string, ...any)) {
	cause := WaitedRoom
	for _, w := range j.waits {
		if w.step != step || !w.at.Before(to) {
			continue
		}
		if w.at.After(from) {
			add(cause, from, w.at, "step %d waited", step)
			from = w.at
		}
		cause = waitCauses[w.reason]
	}
	add(cause, from, to, "step %d waited", step)
}

// lastEndBefore returns the attempt of a step that ended without success at the given time.
func (j *jobLog) lastEndBefore(step int, at time.Time) *run {
	for _, r := range j.runs {
		if r.step == step && r.how != "" && r.how != "done" && r.ended.Equal(at) {
			return r
		}
	}
	return nil
}

// addRun adds a run and returns its end, or the given one if it has not ended.
func (c *cluster) addRun(j *jobLog, r *run, end time.Time, add func(Cause, time.Time, time.Time, string, ...any)) time.Time {
	began := r.ordered
	if !r.started.IsZero() {
		add(StartUnconfirmed, r.ordered, r.started, "%s started %v after its order", r.id, r.started.Sub(r.ordered).Round(time.Millisecond))
		began = r.started
	}
	switch {
	case r.ended.IsZero() && (!j.ended.IsZero() || r != j.runs[len(j.runs)-1]):
		return began // ended while there was no owner
	case r.ended.IsZero():
		add(StillRunning, began, end, "%s runs on %s", r.id, r.worker)
		return end
	case r.how != "done":
		cause := c.endCause(j, r)
		if r.step < len(j.terms.Shape) && j.terms.Shape[r.step].Checkpoint {
			cause = "" // most of the work is kept
		}
		add(cause, began, r.ended, "%s on %s ended as %s (%s)", r.id, r.worker, r.how, r.why)
		return r.ended
	}
	usual := time.Duration(slowFactor * float64(j.usualTime(r)))
	if took := r.ended.Sub(began); usual > 0 && took > usual {
		add("", began, began.Add(usual), "%s on %s", r.id, r.worker)
		add(SlowRun, began.Add(usual), r.ended, "%s on %s took %v, %v longer than usual", r.id, r.worker, took.Round(time.Millisecond), (took - usual).Round(time.Millisecond))
	} else {
		add("", began, r.ended, "%s on %s", r.id, r.worker)
	}
	return r.ended
}

// usualTime returns the median run time of the other tasks of the run's step, or the
// expected one if there are none.
func (j *jobLog) usualTime(r *run) time.Duration {
	var times []time.Duration
	for _, o := range j.runs {
		if o.step == r.step && o.task != r.task && o.how == "done" && !o.started.IsZero() {
			times = append(times, o.ended.Sub(o.started))
		}
	}
	if len(times) == 0 {
		return r.expected
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// endCause returns the cause that an unsuccessful end stands for. A gang that was broken is
// charged to the end that broke it, if the log has it.
func (c *cluster) endCause(j *jobLog, r *run) Cause {
	switch {
	case strings.HasPrefix(r.why, "preempted"):
		return Preempted
	case r.why == "worker leaves":
		return WorkerLeft
	case r.why == "cancelled" || j.cancelled:
		return Cancelled
	case strings.HasPrefix(r.why, "rejected"), strings.Contains(r.why, "did not start"), strings.Contains(r.why, "did not start whole"):
		return StartUnconfirmed
	case r.how == "failed":
		return RunFailed
	case r.how == "lost" || r.how == "lapsed":
		return WorkerLost
	case r.how == "broken", r.how == "alone", r.why == "gang":
		return j.gangCause(r)
	}
	return Unknown
}

// gangCause returns the cause of the first end of the same attempt of a gang.
func (j *jobLog) gangCause(r *run) Cause {
	_, attempt, _ := strings.Cut(r.id, "#")
	for _, o := range j.runs {
		if _, n, _ := strings.Cut(o.id, "#"); o == r || o.step != r.step || n != attempt {
			continue
		}
		switch {
		case o.how == "failed":
			return RunFailed
		case o.how == "lost":
			return WorkerLost
		case strings.HasPrefix(o.why, "preempted"):
			return Preempted
		case o.why == "worker leaves":
			return WorkerLeft
		}
	}
	return GangBroken
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
