package cli

import (
	"fmt"
	"html/template"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// maxReportJobs is the maximum number of jobs that one list request returns.
const maxReportJobs = 1000

// reportCommand is the command "report".
type reportCommand struct {
	*app `no-flag:"yes"`
	domainOption
	File string `long:"file" default:"report.html" value-name:"FILE" description:"file to write; - for standard output"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	view, err := client.View(ctx, "status", c.Domain)
	if err != nil {
		return err
	}
	jobs, err := client.Jobs(ctx, c.Account, "", maxReportJobs)
	if err != nil {
		return err
	}
	r := newReport(view, jobs, c.now())
	if printed, err := c.printJSON(r); printed {
		return err
	}
	out := c.stdout
	if c.File != "-" {
		f, err := os.Create(c.File)
		if err != nil {
			return err
		}
		defer f.Close()
		out = f
	}
	return reportTemplate.Execute(out, r)
}

// Report is the data of a report.
type Report struct {
	Made     string          `json:"made"`
	Entry    string          `json:"entry"`
	Manifest uint64          `json:"manifestVersion"`
	Accounts []AccountReport `json:"accounts"`
	// Missing lists the domains that could not be queried.
	Missing []string `json:"missing,omitempty"`
}

// AccountReport is the part of a report about one account in one domain.
type AccountReport struct {
	Domain string `json:"domain"`
	Name   string `json:"name"`
	// Completion holds the times from submission to end of the finished jobs, in
	// seconds and ascending order.
	Completion []float64 `json:"completionSeconds"`
	Guaranteed int       `json:"guaranteed"`
	Used       int       `json:"used"`
	// Free is the number of free accelerators of ready workers. Fragmented is the
	// number of these that cannot be part of a block of Block adjacent ones.
	Free       int `json:"free"`
	Fragmented int `json:"fragmented"`
	// Block is the largest number of adjacent accelerators per worker that a waiting
	// job of the account asks for, or 1.
	Block int `json:"block"`
}

func newReport(view *structs.ViewResponse, jobs *structs.ListResponse, now time.Time) *Report {
	r := &Report{Made: formatTime(now), Entry: view.Entry, Manifest: view.ManifestVersion, Missing: jobs.Unreached}
	for _, d := range view.Domains {
		if d.Error != nil && !slices.Contains(r.Missing, d.Domain) {
			r.Missing = append(r.Missing, d.Domain)
		}
		for _, a := range d.Accounts {
			account := AccountReport{Domain: d.Domain, Name: a.Name, Guaranteed: a.Guaranteed, Used: a.Used, Block: 1}
			for _, q := range d.Queue {
				if q.Account == a.Name && q.Shape.Adjacency != structs.AdjacentNone && q.Shape.Adjacency != "" {
					account.Block = max(account.Block, q.Shape.Accelerators)
				}
			}
			account.Free, account.Fragmented = countFragmented(d.Workers, account.Block)
			for i := range jobs.Jobs {
				j := &jobs.Jobs[i]
				if j.Spec.Account == a.Name && j.Domain == d.Domain && j.State == structs.JobFinished && j.EndedAt.After(j.SubmittedAt) {
					account.Completion = append(account.Completion, j.EndedAt.Sub(j.SubmittedAt).Seconds())
				}
			}
			slices.Sort(account.Completion)
			r.Accounts = append(r.Accounts, account)
		}
	}
	return r
}

// countFragmented counts the free accelerators of ready workers, and those that are
// left over when each run of adjacent free ones is divided into blocks.
func countFragmented(workers []structs.WorkerView, block int) (free, fragmented int) {
	for _, w := range workers {
		if w.State != structs.WorkerReady {
			continue
		}
		run := 0
		for _, gang := range append(slices.Clone(w.Accelerators), "end") {
			if gang == "" {
				run++
				continue
			}
			free += run
			fragmented += run % block
			run = 0
		}
	}
	return free, fragmented
}

// Quantile returns the formatted q-quantile of the completion times.
func (a AccountReport) Quantile(q float64) string {
	if len(a.Completion) == 0 {
		return "-"
	}
	return formatSeconds(a.Completion[int(q*float64(len(a.Completion)-1))])
}

// Sizes of the plots, in SVG units.
const (
	plotWidth  = 640
	plotHeight = 240
	plotMargin = 40
)

var accountColours = []string{"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b8860b", "#444444", "#d35400", "#16a085"}

// Colour returns the colour of account i in the plots.
func (*Report) Colour(i int) string { return accountColours[i%len(accountColours)] }

// CompletionPlot returns an SVG plot of the share of jobs that completed within a
// time, with a line for each account.
func (r *Report) CompletionPlot() template.HTML {
	longest := 1.0
	for _, a := range r.Accounts {
		if n := len(a.Completion); n > 0 {
			longest = max(longest, a.Completion[n-1])
		}
	}
	var b strings.Builder
	openPlot(&b, "Share of finished jobs by completion time")
	for i, a := range r.Accounts {
		if len(a.Completion) == 0 {
			continue
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="2" points="%d,%d`, r.Colour(i), plotMargin, plotHeight-plotMargin)
		for k, t := range a.Completion {
			share := float64(k+1) / float64(len(a.Completion))
			fmt.Fprintf(&b, " %.1f,%.1f", plotMargin+t/longest*(plotWidth-2*plotMargin), plotHeight-plotMargin-share*(plotHeight-2*plotMargin))
		}
		b.WriteString(`"/>`)
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">%s</text></svg>`, plotWidth-plotMargin, plotHeight-plotMargin+18, formatSeconds(longest))
	return template.HTML(b.String())
}

// FreePlot returns an SVG bar chart of the free accelerators for each account, with
// the fragmented part filled darker.
func (r *Report) FreePlot() template.HTML {
	most := 1
	for _, a := range r.Accounts {
		most = max(most, a.Free)
	}
	var b strings.Builder
	openPlot(&b, "Free accelerators by account; the filled part is fragmented")
	width := float64(plotWidth-2*plotMargin) / float64(max(1, len(r.Accounts)))
	for i, a := range r.Accounts {
		bar := func(n int, opacity string) {
			h := float64(n) / float64(most) * (plotHeight - 2*plotMargin)
			fmt.Fprintf(&b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s" fill-opacity="%s" stroke="%s"/>`,
				plotMargin+width*(float64(i)+0.1), plotHeight-plotMargin-h, width*0.8, h, r.Colour(i), opacity, r.Colour(i))
		}
		bar(a.Free, "0.15")
		bar(a.Fragmented, "0.8")
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">%d</text></svg>`, plotMargin-4, plotMargin+4, most)
	return template.HTML(b.String())
}

// openPlot writes the start of an SVG plot: its title and axes.
func openPlot(b *strings.Builder, title string) {
	fmt.Fprintf(b, `<svg viewBox="0 0 %d %d" width="%d" role="img" aria-label="%s"><text x="%d" y="18">%s</text>`,
		plotWidth, plotHeight, plotWidth, title, plotMargin, title)
	fmt.Fprintf(b, `<path d="M%d %d V%d H%d" fill="none" stroke="#888"/>`, plotMargin, plotMargin, plotHeight-plotMargin, plotWidth-plotMargin)
}

var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>parsleypier report</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:2px 12px;text-align:right}td:first-child,td:nth-child(2){text-align:left}svg text{font-size:12px}</style>
</head><body>
<h1>parsleypier report</h1>
<p>Made {{.Made}} from entry {{.Entry}}, manifest version {{.Manifest}}. At most 1,000 jobs that the owners hold are counted.</p>
{{if .Missing}}<p>Without an answer: {{range .Missing}}{{.}} {{end}}</p>{{end}}
{{.CompletionPlot}}
{{.FreePlot}}
<table><tr><th></th><th>domain</th><th>account</th><th>jobs</th><th>p50</th><th>p95</th><th>guaranteed</th><th>used</th><th>free</th><th>fragmented</th><th>block</th></tr>
{{range $i, $a := .Accounts}}<tr><td style="color:{{$.Colour $i}}">&#9632;</td><td>{{.Domain}}</td><td>{{.Name}}</td><td>{{len .Completion}}</td><td>{{.Quantile 0.5}}</td><td>{{.Quantile 0.95}}</td><td>{{.Guaranteed}}</td><td>{{.Used}}</td><td>{{.Free}}</td><td>{{.Fragmented}}</td><td>{{.Block}}</td></tr>
{{end}}</table>
</body></html>
`))
