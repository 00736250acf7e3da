package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// maxTraceSpans is the maximum number of spans kept in memory.
	maxTraceSpans = 20_000
	// maxSpanBytes is the maximum length of a line of a trace file.
	maxSpanBytes = 1 << 20
)

// traceCommand is the command "trace".
type traceCommand struct {
	*app  `no-flag:"yes"`
	Args  jobID    `positional-args:"yes" required:"yes"`
	Files []string `long:"file" required:"yes" env:"PARSLEYPIER_TRACE_FILE" env-delim:"," value-name:"FILE" description:"trace file of a process; may be given several times"`
}

// span is a span in the JSON format of the OpenTelemetry stdout exporter.
type span struct {
	Name        string
	SpanContext spanContext
	Parent      spanContext
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []attributeValue
	Resource    []attributeValue
	Status      struct{ Code, Description string }

	children []*span
}

type spanContext struct{ TraceID, SpanID string }

type attributeValue struct {
	Key   string
	Value struct{ Value any }
}

// SpanView is a span of a trace and its child spans.
type SpanView struct {
	Name string `json:"name"`
	// Process is the service.instance.id of the span's resource, if it has one.
	Process string `json:"process,omitempty"`
	// StartMS is the time from the start of the trace to the start of the span, in
	// milliseconds.
	StartMS    float64    `json:"startMS"`
	DurationMS float64    `json:"durationMS"`
	Error      string     `json:"error,omitempty"`
	Children   []SpanView `json:"children,omitempty"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	traces := map[string]bool{}
	err := c.scanFiles(true, func(s *span) error {
		if s.attribute("job.id") == c.Args.ID {
			traces[s.SpanContext.TraceID] = true
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(traces) == 0 {
		return fmt.Errorf("the trace files have no span of the job %s", c.Args.ID)
	}
	byTrace := map[string][]*span{}
	kept := 0
	err = c.scanFiles(false, func(s *span) error {
		if traces[s.SpanContext.TraceID] {
			byTrace[s.SpanContext.TraceID] = append(byTrace[s.SpanContext.TraceID], s)
			kept++
		}
		if kept > maxTraceSpans {
			return fmt.Errorf("the traces of the job have more than %d spans", maxTraceSpans)
		}
		return nil
	})
	if err != nil {
		return err
	}
	var roots []SpanView
	for _, spans := range byTrace {
		roots = append(roots, buildTree(spans)...)
	}
	slices.SortFunc(roots, func(a, b SpanView) int { return strings.Compare(a.Name, b.Name) })
	if printed, err := c.printJSON(roots); printed {
		return err
	}
	for _, r := range roots {
		printSpan(c.stdout, r, "", "")
	}
	return nil
}

// scanFiles calls each for the spans of all files, which have one span per line. With
// report, it prints the number of lines that are not spans for each file.
func (c *traceCommand) scanFiles(report bool, each func(*span) error) error {
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		bad, err := scanSpans(f, each)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if report && bad > 0 {
			fmt.Fprintf(c.stderr, "parsleypier: %s: %d lines are not spans, such as those of a killed process\n", name, bad)
		}
	}
	return nil
}

// scanSpans calls each for every span and returns the number of lines that are not
// spans, such as the truncated last line of a killed process.
func scanSpans(r io.Reader, each func(*span) error) (bad int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxSpanBytes)
	for lines.Scan() {
		s := &span{}
		if json.Unmarshal(lines.Bytes(), s) != nil {
			bad++
		} else if err := each(s); err != nil {
			return bad, err
		}
	}
	return bad, lines.Err()
}

// attribute returns the value of an attribute of the span, or "".
func (s *span) attribute(key string) string { return findAttribute(s.Attributes, key) }

// findAttribute returns the value of the attribute with the key, or "".
func findAttribute(attributes []attributeValue, key string) string {
	for _, a := range attributes {
		if a.Key == key {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return ""
}

// buildTree returns the root spans of a trace with their children. A span whose
// parent is not in the files becomes a root.
func buildTree(spans []*span) []SpanView {
	byID := map[string]*span{}
	begin := spans[0].StartTime
	for _, s := range spans {
		byID[s.SpanContext.SpanID] = s
		if s.StartTime.Before(begin) {
			begin = s.StartTime
		}
	}
	var roots []*span
	for _, s := range spans {
		if p := byID[s.Parent.SpanID]; p != nil && p != s {
			p.children = append(p.children, s)
		} else {
			roots = append(roots, s)
		}
	}
	return spanViews(roots, begin)
}

// spanViews converts spans and their children, sorted by start time.
func spanViews(spans []*span, begin time.Time) []SpanView {
	slices.SortFunc(spans, func(a, b *span) int { return a.StartTime.Compare(b.StartTime) })
	var out []SpanView
	for _, s := range spans {
		v := SpanView{
			Name: s.Name, Process: findAttribute(s.Resource, "service.instance.id"),
			StartMS: milliseconds(s.StartTime.Sub(begin)), DurationMS: milliseconds(s.EndTime.Sub(s.StartTime)),
		}
		if s.Status.Code == "Error" {
			v.Error = s.Status.Description
		}
		v.Children = spanViews(s.children, begin)
		out = append(out, v)
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// printSpan prints a span and its children as a tree. first is the prefix of the
// span's line, rest that of its children's lines.
func printSpan(w io.Writer, v SpanView, first, rest string) {
	line := fmt.Sprintf("%s%s", first, v.Name)
	if v.Process != "" {
		line += " @" + v.Process
	}
	fmt.Fprintf(w, "%-60s %10.3f ms  at %10.3f ms", line, v.DurationMS, v.StartMS)
	if v.Error != "" {
		fmt.Fprintf(w, "  error: %s", v.Error)
	}
	fmt.Fprintln(w)
	for i, child := range v.Children {
		if i == len(v.Children)-1 {
			printSpan(w, child, rest+"`- ", rest+"   ")
		} else {
			printSpan(w, child, rest+"|- ", rest+"|  ")
		}
	}
}
