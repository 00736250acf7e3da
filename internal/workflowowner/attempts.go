package workflowowner

import "github.com/parsleypier/parsleypier/internal/workflow"

const (
	// attemptsPerEpoch is the number of attempts of a task that an owner may use without a
	// reservation: a later owner begins above them. It must not change, since rows have no
	// trace of these attempts.
	attemptsPerEpoch = 1000
	// attemptMargin is how many numbers are left when further ones are reserved, so that
	// starts need not wait for that.
	attemptMargin = attemptsPerEpoch / 2
)

// attemptReservation has the attempt numbers of a task that an owner has reserved beyond those
// of its epoch: those up to usable may be used, those up to through once generation gen of the
// progress is durable.
type attemptReservation struct {
	usable, through int
	gen             uint64
}

// lastEpochAttempt returns the last attempt number that needs no reservation.
func (o *Owner) lastEpochAttempt() int { return (int(o.opts.Epoch) + 1) * attemptsPerEpoch }

// firstAttempt returns the number of this owner's first attempt of a task. For inherited
// jobs the numbers depend on the epoch, since attempts of earlier owners may not be
// known.
func (o *Owner) firstAttempt(j *job, t workflow.TaskID) int {
	first := 1
	if j.inherited {
		first = int(o.opts.Epoch)*attemptsPerEpoch + 1
	}
	if j.reserved[t] == nil {
		first = max(first, j.progress.ReservedAttempts(&j.record.Spec, t)+1) // of earlier owners
	}
	return first
}

// nextAttempt returns the next common attempt number of the tasks.
func (o *Owner) nextAttempt(j *job, tasks []workflow.TaskID) int {
	n := 1
	for _, t := range tasks {
		n = max(n, o.firstAttempt(j, t), j.attempts[t]+1)
	}
	return n
}

// recordAttempt records that an attempt number of a task is in use.
func (j *job) recordAttempt(t workflow.TaskID, attempt int) {
	j.attempts[t] = max(j.attempts[t], attempt)
	j.highestAttempt = max(j.highestAttempt, attempt)
}

// attemptsScarce reports whether a step has tasks that may need reserved attempt numbers.
func (o *Owner) attemptsScarce(j *job, step *workflow.StepProgress) bool {
	return j.highestAttempt+attemptMargin >= o.lastEpochAttempt() || len(step.Attempts) > 0
}

// attemptUsable reports whether the tasks, one task or the members of a gang, may use their next
// attempt number. It reserves more numbers if few are left.
func (o *Owner) attemptUsable(j *job, tasks []workflow.TaskID) bool {
	limit := o.lastEpochAttempt()
	next := o.nextAttempt(j, tasks)
	r := j.reserved[tasks[0]]
	if r != nil && j.durableGen >= r.gen {
		r.usable = r.through
	}
	if r != nil {
		limit = max(limit, r.usable)
	}
	if next+attemptMargin >= limit && (r == nil || r.usable == r.through) {
		if r == nil {
			r = &attemptReservation{}
			for _, t := range tasks {
				j.reserved[t] = r
				j.recordAttempt(t, next-1)
			}
		}
		r.through = max(limit, next) + attemptsPerEpoch
		j.progress.ReserveAttempts(&j.record.Spec, tasks[0], r.through)
		o.markChanged(j)
		r.gen = j.progressGen
	}
	return next <= limit
}
