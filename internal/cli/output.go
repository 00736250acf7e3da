package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// printJSON prints v if --output is json, and reports whether it did.
func (a *app) printJSON(v any) (bool, error) {
	if a.Output != "json" {
		return false, nil
	}
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return true, enc.Encode(v)
}

// printTable prints rows in columns under a header, whose column names are separated
// by spaces. Empty cells are shown as "-".
func printTable(w io.Writer, header string, rows [][]string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		for i := range r {
			if r[i] == "" {
				r[i] = "-"
			}
		}
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	return tw.Flush()
}

// formatAccelerators shows a worker's accelerators as "#" if used and "." if free.
// gangs holds the gang that uses each accelerator, or "".
func formatAccelerators(gangs []string) string {
	b := make([]byte, len(gangs))
	used := 0
	for i, g := range gangs {
		if b[i] = '.'; g != "" {
			b[i] = '#'
			used++
		}
	}
	return fmt.Sprintf("[%s] %d/%d", b, used, len(b))
}

// formatShape returns a shape as WORKERSxACCELERATORS and its adjacency.
func formatShape(s structs.Shape) string {
	text := fmt.Sprintf("%dx%d", s.Workers, s.Accelerators)
	if s.Adjacency != "" && s.Adjacency != structs.AdjacentNone {
		text += " " + string(s.Adjacency)
	}
	return text
}

// formatSeconds formats a duration in seconds, rounded to tenths.
func formatSeconds(s float64) string {
	return time.Duration(math.Round(s*10) * float64(time.Second) / 10).String()
}

// formatTime formats a time in UTC, and the zero time as "".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// progressBarWidth is the width of the progress bar in characters.
const progressBarWidth = 30

// progressBar shows the progress of a wait on a terminal. It does nothing if standard
// error is not a terminal or the output is JSON.
type progressBar struct {
	w     io.Writer
	drawn bool
}

func (a *app) newProgressBar() *progressBar {
	if f, ok := a.stderr.(*os.File); ok && a.Output != "json" {
		if info, err := f.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			return &progressBar{w: f}
		}
	}
	return &progressBar{}
}

// requestWait returns how long one request waits, so that the bar is redrawn often
// enough.
func (p *progressBar) requestWait() time.Duration {
	if p.w == nil {
		return requestWait
	}
	return redrawInterval
}

// draw shows the elapsed share of the wait and the state of the job.
func (p *progressBar) draw(passed, total time.Duration, state structs.JobState) {
	if p.w == nil || total <= 0 {
		return
	}
	p.drawn = true
	n := min(progressBarWidth, int(progressBarWidth*passed/total))
	fmt.Fprintf(p.w, "\r[%s%s] %s of %s  %-9s", strings.Repeat("=", n), strings.Repeat(" ", progressBarWidth-n),
		passed.Round(time.Second), total.Round(time.Second), state)
}

// clear removes the bar from the terminal.
func (p *progressBar) clear() {
	if p.drawn {
		fmt.Fprintf(p.w, "\r%s\r", strings.Repeat(" ", progressBarWidth+40))
	}
}
