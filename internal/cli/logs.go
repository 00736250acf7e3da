package cli

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/logaccount"
)

// logFiles are the flags of the commands that read event logs.
type logFiles struct {
	Files []string `long:"file" required:"yes" env:"PARSLEYPIER_LOG_FILE" env-delim:"," value-name:"FILE" description:"event log of one or more processes; may be given several times"`
}

// read returns the account of the jobs in the files.
func (f *logFiles) read(a *app) (*logaccount.Account, error) {
	log := &logaccount.Log{}
	for _, name := range f.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = log.Add(name, file)
		file.Close()
		if err != nil {
			return nil, err
		}
	}
	if log.SkippedLines > 0 {
		fmt.Fprintf(a.stderr, "parsleypier: %d lines are no events, such as those of a killed process\n", log.SkippedLines)
	}
	return logaccount.Build(log), nil
}

// logsAccount is the command "logs account".
type logsAccount struct {
	*app `no-flag:"yes"`
	logFiles
	Window time.Duration `long:"window" default:"2s" value-name:"DURATION" description:"length of the windows of submission of which the worst are shown"`
	Worst  int           `long:"worst" default:"2" value-name:"N" description:"how many of the worst windows are shown"`
}

// WindowView is what the jobs earned that were submitted in one window of time.
type WindowView struct {
	From   time.Time `json:"from"`
	Jobs   int       `json:"jobs"`
	Worth  float64   `json:"worth"`
	Earned float64   `json:"earned"`
	// Causes lists those of the jobs that earned less than their worth.
	Causes []logaccount.Cause `json:"causes"`
}

// CauseView is what one cause cost.
type CauseView struct {
	Cause logaccount.Cause `json:"cause"`
	Jobs  int              `json:"jobs"`
	// LostWorth is the worth that the jobs did not earn. Avoidable is the part of it that
	// they could have earned alone on an empty cluster.
	LostWorth float64 `json:"lostWorth"`
	Avoidable float64 `json:"avoidable"`
	// DiscardedCoreSeconds is the work of runs that ended for this cause and was lost.
	DiscardedCoreSeconds float64 `json:"discardedCoreSeconds"`
	// FirstAt is when the first of the longest delays began.
	FirstAt time.Time `json:"firstAt,omitzero"`
}

// AccountView is the result of "logs account".
type AccountView struct {
	Jobs     int              `json:"jobs"`
	Worth    float64          `json:"worth"`
	Earned   float64          `json:"earned"`
	Possible float64          `json:"possible"`
	Causes   []CauseView      `json:"causes"`
	Late     []logaccount.Job `json:"late"`
	// Worst lists the windows with the lowest share of earned worth, the lowest first.
	// WorstPossible is the same for what the jobs could have earned, as their Earned.
	Worst         []WindowView `json:"worst"`
	WorstPossible []WindowView `json:"worstPossible"`
}

// Execute implements flags.Commander.
func (c *logsAccount) Execute([]string) error {
	account, err := c.read(c.app)
	if err != nil {
		return err
	}
	if c.Window <= 0 {
		return fmt.Errorf("--window is %v, it must be above 0", c.Window)
	}
	view := summarize(account)
	view.Worst = worstWindows(account, c.Window, max(0, c.Worst), func(j *logaccount.Job) float64 { return j.Earned })
	view.WorstPossible = worstWindows(account, c.Window, max(0, c.Worst), func(j *logaccount.Job) float64 { return j.Possible })
	if printed, err := c.printJSON(view); printed {
		return err
	}
	fmt.Fprintf(c.stdout, "%d jobs, worth %.1f, earned %.1f, possible alone on an empty cluster %.1f\n", view.Jobs, view.Worth, view.Earned, view.Possible)
	var rows [][]string
	for _, v := range view.Causes {
		rows = append(rows, []string{string(v.Cause), fmt.Sprint(v.Jobs), fmt.Sprintf("%.1f", v.LostWorth), fmt.Sprintf("%.1f", v.Avoidable), fmt.Sprintf("%.0f", v.DiscardedCoreSeconds)})
	}
	if err := printTable(c.stdout, "CAUSE JOBS LOST AVOIDABLE DISCARDED-CORE-SECONDS", rows); err != nil {
		return err
	}
	rows = nil
	for _, v := range view.Worst {
		rows = append(rows, []string{v.From.Format(time.TimeOnly), fmt.Sprint(v.Jobs), fmt.Sprintf("%.1f", v.Worth), fmt.Sprintf("%.1f", v.Earned), formatCauses(v.Causes)})
	}
	fmt.Fprintln(c.stdout)
	return printTable(c.stdout, "WINDOW JOBS WORTH EARNED CAUSES", rows)
}

func formatCauses(causes []logaccount.Cause) string {
	var out []string
	for _, c := range causes {
		out = append(out, string(c))
	}
	return strings.Join(out, "; ")
}

// worstWindows returns the n windows of submission with the lowest share of earned worth.
func worstWindows(account *logaccount.Account, length time.Duration, n int, earned func(*logaccount.Job) float64) []WindowView {
	windows := map[time.Time]*WindowView{}
	for i := range account.Jobs {
		j := &account.Jobs[i]
		from := j.Submitted.Truncate(length)
		w := windows[from]
		if w == nil {
			w = &WindowView{From: from}
			windows[from] = w
		}
		w.Jobs++
		w.Worth, w.Earned = w.Worth+j.Worth, w.Earned+earned(j)
		if j.Cause != "" {
			w.Causes = append(w.Causes, j.Cause)
		}
	}
	var out []WindowView
	for _, w := range windows {
		if w.Worth > 0 {
			out = append(out, *w)
		}
	}
	slices.SortFunc(out, func(a, b WindowView) int {
		return cmp.Or(cmp.Compare(a.Earned/a.Worth, b.Earned/b.Worth), a.From.Compare(b.From))
	})
	return out[:min(n, len(out))]
}

// summarize sums up an account by cause, the most expensive first.
func summarize(account *logaccount.Account) AccountView {
	view := AccountView{Jobs: len(account.Jobs)}
	causes := map[logaccount.Cause]*CauseView{}
	at := func(cause logaccount.Cause) *CauseView {
		if causes[cause] == nil {
			causes[cause] = &CauseView{Cause: cause}
		}
		return causes[cause]
	}
	for _, j := range account.Jobs {
		view.Worth, view.Earned, view.Possible = view.Worth+j.Worth, view.Earned+j.Earned, view.Possible+j.Possible
		if j.Cause == "" {
			continue
		}
		v := at(j.Cause)
		v.Jobs++
		v.LostWorth += j.Worth - j.Earned
		v.Avoidable += j.Possible - j.Earned
		if v.FirstAt.IsZero() || j.At.Before(v.FirstAt) {
			v.FirstAt = j.At
		}
		view.Late = append(view.Late, j)
	}
	for cause, work := range account.DiscardedCoreSeconds {
		at(cause).DiscardedCoreSeconds = work
	}
	for _, v := range causes {
		view.Causes = append(view.Causes, *v)
	}
	slices.SortFunc(view.Causes, func(a, b CauseView) int {
		return cmp.Or(cmp.Compare(b.LostWorth, a.LostWorth), cmp.Compare(b.DiscardedCoreSeconds, a.DiscardedCoreSeconds), cmp.Compare(a.Cause, b.Cause))
	})
	return view
}

// logsExplain is the command "logs explain".
type logsExplain struct {
	*app `no-flag:"yes"`
	Args jobID `positional-args:"yes" required:"yes"`
	logFiles
}

// Execute implements flags.Commander.
func (c *logsExplain) Execute([]string) error {
	account, err := c.read(c.app)
	if err != nil {
		return err
	}
	at := slices.IndexFunc(account.Jobs, func(j logaccount.Job) bool { return j.ID == c.Args.ID })
	if at < 0 {
		return fmt.Errorf("the logs have no job %s that was not cancelled", c.Args.ID)
	}
	j := account.Jobs[at]
	if printed, err := c.printJSON(j); printed {
		return err
	}
	fmt.Fprintf(c.stdout, "%s of account %s in queue %s: %s\n", j.ID, j.Account, j.Queue, j.State)
	fmt.Fprintf(c.stdout, "worth %.2f, earned %.2f", j.Worth, j.Earned)
	if !j.Due.IsZero() {
		fmt.Fprintf(c.stdout, ", due %v after its submission", j.Due.Sub(j.Submitted).Round(time.Millisecond))
	}
	if j.Cause != "" {
		fmt.Fprintf(c.stdout, "; %s", j.Cause)
	}
	fmt.Fprintln(c.stdout)
	var rows [][]string
	for _, s := range j.Segments {
		rows = append(rows, []string{s.From.Sub(j.Submitted).Round(time.Millisecond).String(), s.To.Sub(s.From).Round(time.Millisecond).String(), string(s.Cause), s.Detail})
	}
	return printTable(c.stdout, "AT FOR CAUSE WHAT", rows)
}
