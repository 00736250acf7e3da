// Package logaccount derives from the event logs of a deployment's processes what each
// workflow job earned, and why a job earned less than its full worth.
//
// It reads the lines of package eventlog, with or without a prefix such as that of a log
// collector. The lines of all entries are needed; those of agents add little. Times are
// those of the lines, so the clocks of the machines have to agree to some milliseconds.
package logaccount

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// stepShape is a step of a job in a job_seen event.
type stepShape struct {
	Tasks      int   `json:"tasks"`
	CPUMilli   int   `json:"cpuMilli"`
	GPUs       int   `json:"gpus"`
	Gang       bool  `json:"gang"`
	Checkpoint bool  `json:"checkpoint"`
	After      []int `json:"after"`
	DeclaredMs int64 `json:"declaredMs"`
}

// event is a line of a log with the fields that the account uses.
type event struct {
	Time    time.Time `json:"time"`
	Name    string    `json:"msg"`
	Process string    `json:"process"`
	Role    string    `json:"role"`

	Job      string      `json:"job"`
	Queue    string      `json:"queue"`
	Account  string      `json:"account"`
	Run      string      `json:"run"`
	Worker   string      `json:"worker"`
	Call     string      `json:"call"`
	Status   int         `json:"status"`
	Outcome  string      `json:"outcome"`
	Err      string      `json:"err"`
	Step     int         `json:"step"`
	Reason   string      `json:"reason"`
	Why      string      `json:"why"`
	How      string      `json:"how"`
	State    string      `json:"state"`
	TookMs   int64       `json:"tookMs"`
	Percent  int         `json:"percent"`
	Expected int64       `json:"expectedMs"`
	Priority int         `json:"priority"`
	Stretch  float64     `json:"stretch"`
	SlackMs  int64       `json:"slackMs"`
	Waves    float64     `json:"waveShare"`
	Worth    float64     `json:"worth"`
	Late     float64     `json:"lateWorth"`
	LateBy   float64     `json:"lateFactor"`
	Shape    []stepShape `json:"shape"`

	CPUMilli int `json:"cpuMilli"`
	GPUs     int `json:"gpus"`
}

const (
	// maxLineBytes is the maximum length of a line.
	maxLineBytes = 1 << 20
	// minKnownShare is the share of the lines with an opening brace that must be events.
	// Below it, the input is taken for something else than logs of this system.
	minKnownShare = 0.5
)

// Log is the content of the logs of a deployment.
type Log struct {
	events []event
	// SkippedLines is the number of lines that were no events, such as the truncated last
	// line of a killed process.
	SkippedLines int
}

// Add reads the lines of one or more processes. It returns an error that names the input if
// hardly any line is an event.
func (l *Log) Add(name string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	known, skipped := 0, 0
	for lines.Scan() {
		at := bytes.IndexByte(lines.Bytes(), '{')
		if at < 0 {
			continue
		}
		var e event
		if json.Unmarshal(lines.Bytes()[at:], &e) != nil || e.Name == "" || e.Process == "" || e.Time.IsZero() {
			skipped++
			continue
		}
		known++
		l.events = append(l.events, e)
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("%s: a line has more than %d bytes", name, maxLineBytes)
	} else if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if float64(known) < minKnownShare*float64(known+skipped) || known == 0 {
		return fmt.Errorf("%s: not a log of parsleypier: %d lines are events, %d are not", name, known, skipped)
	}
	l.SkippedLines += skipped
	return nil
}

// sort orders the events by time. Lines of one process keep their order.
func (l *Log) sort() {
	slices.SortStableFunc(l.events, func(a, b event) int { return a.Time.Compare(b.Time) })
}

// run is what the log says of one attempt of a task.
type run struct {
	id, task                string
	step                    int
	worker                  string
	ordered, started, ended time.Time
	how, why                string
	percent                 int
	expected                time.Duration
}

// stepWait is the reason for which a step waits from a time on.
type stepWait struct {
	at     time.Time
	step   int
	reason string
}

// jobLog is what the log says of one job.
type jobLog struct {
	id, queue, account  string
	submitted, accepted time.Time
	seen                time.Time
	ended               time.Time
	state, refusal      string
	cancelled           bool
	givenUp             bool  // one of its tasks crashes workers
	terms               event // the first job_seen
	runs                []*run
	waits               []stepWait
	// lookedAt is when an owner first ordered a run of the job or gave a reason why it
	// waits, by the start of the owner's term.
	lookedAt map[time.Time]time.Time
}

// splitRun returns the task and the step of a run's ID, JOB.OCCURRENCE.STEP.INDEX#ATTEMPT.
func splitRun(id string) (task string, step int) {
	task, _, _ = strings.Cut(id, "#")
	parts := strings.Split(task, ".")
	if len(parts) == 4 {
		// A step that is no number leaves 0: the ID is from a line, which may be anything.
		_, _ = fmt.Sscanf(parts[2], "%d", &step)
	}
	return task, step
}
