package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// slopeRow is a quantity measured at several x, such as the CPU time of the owner against
// the number of workers, with the line that fits the points.
type slopeRow struct {
	Name      string    `json:"name"`
	X         string    `json:"x"`
	Unit      string    `json:"unit"`
	Xs        []float64 `json:"xs"`
	Ys        []float64 `json:"ys"`
	Intercept float64   `json:"intercept"`
	Slope     float64   `json:"slope"`
	Residual  float64   `json:"residual"`
}

// report prints measured values and slopes as a table or as JSON.
type report struct {
	out  io.Writer
	json bool
}

// printSlope fits a line to the points and prints both.
func (p *report) printSlope(name, x, unit string, xs, ys []float64) {
	f := fitLine(xs, ys)
	if p.json {
		p.encode(slopeRow{name, x, unit, xs, ys, f.Intercept, f.Slope, f.Residual})
		return
	}
	var points []string
	for i := range xs {
		points = append(points, fmt.Sprintf("%.4g:%.4g", xs[i], ys[i]))
	}
	fmt.Fprintf(p.out, "%-30s %-7s %10.4g + %10.4g x %-18s residual %8.3g   %s\n",
		name, unit, f.Intercept, f.Slope, x, f.Residual, strings.Join(points, " "))
}

// printValue prints one measured value, and its limit unless that is 0.
func (p *report) printValue(name, unit string, value, limit float64) {
	if p.json {
		p.encode(struct {
			Name  string  `json:"name"`
			Unit  string  `json:"unit"`
			Value float64 `json:"value"`
			Limit float64 `json:"limit,omitempty"`
		}{name, unit, value, limit})
		return
	}
	note := ""
	if limit > 0 {
		note = fmt.Sprintf("limit %g", limit)
		if value > limit {
			note += " MISSED"
		}
	}
	fmt.Fprintf(p.out, "%-50s %10.4g %-8s %s\n", name, value, unit, note)
}

// section prints a heading in the table format.
func (p *report) section(text string) {
	if !p.json {
		fmt.Fprintf(p.out, "\n%s\n", text)
	}
}

func (p *report) encode(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		data = []byte(err.Error()) // numbers marshal unless they are NaN or infinite
	}
	fmt.Fprintf(p.out, "%s\n", data)
}

// series collects the usage of each role at several values of x.
type series struct {
	name, x string
	xs      []float64
	roles   map[string][]usage
	order   []string
}

func newSeries(name, x string) *series {
	return &series{name: name, x: x, roles: map[string][]usage{}}
}

// add adds the usage of a role at the last value of xs.
func (s *series) add(role string, u usage) {
	if s.roles[role] == nil {
		s.order = append(s.order, role)
	}
	s.roles[role] = append(s.roles[role], u)
}

// printSlopes prints the rows of every role: CPU time, memory, traffic, calls, and reads
// and writes of the platform. A quantity that is always 0 is left out.
func (s *series) printSlopes(p *report) {
	for _, role := range s.order {
		points := s.roles[role]
		column := func(name, unit string, f func(usage) float64) {
			ys := make([]float64, 0, len(points))
			zero := true
			for _, u := range points {
				ys = append(ys, f(u))
				zero = zero && f(u) == 0
			}
			if !zero {
				p.printSlope(s.name+"."+role+"."+name, s.x, unit, s.xs, ys)
			}
		}
		column("cpu", "%core", func(u usage) float64 { return u.CPU })
		column("rss", "MB", func(u usage) float64 { return u.MB })
		column("rpc", "B/s", func(u usage) float64 { return u.RPCBytes })
		column("io", "B/s", func(u usage) float64 { return u.IOBytes })
		column("calls", "1/s", func(u usage) float64 { return u.Calls })
		column("reads", "1/s", func(u usage) float64 { return u.Reads })
		column("writes", "1/s", func(u usage) float64 { return u.Writes })
	}
}

// meanUsage returns the mean usage of the processes.
func meanUsage(used map[string]usage, names []string) usage {
	var m usage
	n := float64(len(names))
	for _, name := range names {
		u := used[name]
		m.CPU += u.CPU / n
		m.MB += u.MB / n
		m.RPCBytes += u.RPCBytes / n
		m.IOBytes += u.IOBytes / n
		m.Calls += u.Calls / n
		m.Reads += u.Reads / n
		m.Writes += u.Writes / n
	}
	return m
}
