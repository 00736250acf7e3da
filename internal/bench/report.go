package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// row is the JSON form of a Result.
type row struct {
	Deployment          string  `json:"deployment"`
	Policy              string  `json:"policy"`
	Load                string  `json:"load"`
	Seed                uint64  `json:"seed"`
	CompletionMean      float64 `json:"completion_mean_s"`
	CompletionP95       float64 `json:"completion_p95_s"`
	SlowdownP95Large    float64 `json:"slowdown_p95_large"`
	MaxWaitLarge        float64 `json:"max_wait_large_s"`
	Fragmentation       float64 `json:"fragmentation"`
	Utilization         float64 `json:"utilization"`
	LostWork            float64 `json:"lost_work"`
	ReclaimP99          float64 `json:"reclaim_p99_s"`
	Starved             int     `json:"starved"`
	GuaranteeViolations int     `json:"guarantee_violations"`

	MaxWaitRatioLarge float64 `json:"max_wait_ratio_large"`
	Stranded          float64 `json:"stranded"`
	BoundMean         float64 `json:"bound_mean_s"`
	BoundP95          float64 `json:"bound_p95_s"`
	Finished          int     `json:"finished"`
	Refused           int     `json:"refused"`
	Failed            int     `json:"failed"`
	Cancelled         int     `json:"cancelled"`
	Unknown           int     `json:"unknown"`
	Unfinished        int     `json:"unfinished"`
	PlanErrors        int     `json:"plan_errors"`
	DecisionMicros    float64 `json:"decision_us"`
}

func (r *Result) row() row {
	return row{
		Deployment: r.Deployment, Policy: r.Policy, Load: r.Load, Seed: r.Seed,
		CompletionMean: r.Completion["all"].Mean, CompletionP95: r.Completion["all"].P95, SlowdownP95Large: r.Slowdown["large"].P95,
		MaxWaitLarge: r.MaxWaitLarge, Fragmentation: r.Fragmentation, Utilization: r.Utilization, LostWork: r.LostWork,
		ReclaimP99: r.ReclaimP99, Starved: r.Starved, GuaranteeViolations: r.GuaranteeViolations,
		MaxWaitRatioLarge: r.MaxWaitRatioLarge, Stranded: r.Stranded, BoundMean: r.Bound, BoundP95: r.BoundP95,
		Finished: r.Ended[structs.JobFinished], Refused: r.Ended[structs.JobRefused], Failed: r.Ended[structs.JobFailed],
		Cancelled: r.Ended[structs.JobCancelled], Unknown: r.Ended[structs.JobUnknown], Unfinished: r.Unfinished,
		PlanErrors: r.PlanErrors, DecisionMicros: r.DecisionMicros,
	}
}

// WriteJSON writes each result as a JSON object on its own line.
func WriteJSON(w io.Writer, results []Result) error {
	enc := json.NewEncoder(w)
	for i := range results {
		if err := enc.Encode(results[i].row()); err != nil {
			return err
		}
	}
	return nil
}

// column is a column of the table. It shows the mean over the seeds and, with
// showRange, the range.
type column struct {
	name      string
	showRange bool
	value     func(*Result) float64
}

var columns = []column{
	{"mean s", false, func(r *Result) float64 { return r.Completion["all"].Mean }},
	{"p95 s", true, func(r *Result) float64 { return r.Completion["all"].P95 }},
	{"maxwait", true, func(r *Result) float64 { return r.MaxWaitRatioLarge }},
	{"frag", true, func(r *Result) float64 { return r.Fragmentation }},
	{"stranded", false, func(r *Result) float64 { return r.Stranded }},
	{"util", false, func(r *Result) float64 { return r.Utilization }},
	{"lost", false, func(r *Result) float64 { return r.LostWork }},
	{"reclaim s", true, func(r *Result) float64 { return r.ReclaimP99 }},
	{"starved", false, func(r *Result) float64 { return float64(r.Starved) }},
	{"violations", false, func(r *Result) float64 { return float64(r.GuaranteeViolations) }},
	{"other", false, func(r *Result) float64 { return float64(r.PlanErrors + sumCounts(r.OtherViolations)) }},
	{"done", false, func(r *Result) float64 { return float64(r.Ended[structs.JobFinished]) }},
	{"refused", false, func(r *Result) float64 { return float64(r.Ended[structs.JobRefused]) }},
	{"failed", false, func(r *Result) float64 {
		return float64(r.Ended[structs.JobFailed] + r.Ended[structs.JobUnknown])
	}},
	{"left", false, func(r *Result) float64 { return float64(r.Unfinished) }},
	{"us", false, func(r *Result) float64 { return r.DecisionMicros }},
}

// WriteTable writes three tables with a line for each deployment, load and policy:
// the main measurements as means over the seeds, some with their range; completion
// and slowdown by size class; and the causes of idle accelerators.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprint(t, "deployment\tload\tpolicy")
	for _, c := range columns {
		fmt.Fprint(t, "\t", c.name)
	}
	fmt.Fprintln(t)
	groups := groupResults(results)
	for _, g := range groups {
		r := &g[0]
		if r.Policy == groups[0][0].Policy {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", r.Deployment, r.Load, "bound", formatNumber(meanOf(g, func(r *Result) float64 { return r.Bound })),
				formatNumber(meanOf(g, func(r *Result) float64 { return r.BoundP95 })))
		}
		fmt.Fprintf(t, "%s\t%s\t%s", r.Deployment, r.Load, r.Policy)
		for _, c := range columns {
			fmt.Fprint(t, "\t", formatNumber(meanOf(g, c.value)))
			if c.showRange && len(g) > 1 {
				lo, hi := c.value(r), c.value(r)
				for i := range g {
					lo, hi = min(lo, c.value(&g[i])), max(hi, c.value(&g[i]))
				}
				fmt.Fprintf(t, " (%s..%s)", formatNumber(lo), formatNumber(hi))
			}
		}
		fmt.Fprintln(t)
	}
	fmt.Fprint(t, "\ndeployment\tload\tpolicy")
	for _, class := range Classes {
		fmt.Fprintf(t, "\t%s: mean s\tp95 s\tslowdown\tp95", class)
	}
	fmt.Fprintln(t)
	for _, g := range groups {
		fmt.Fprintf(t, "%s\t%s\t%s", g[0].Deployment, g[0].Load, g[0].Policy)
		for _, class := range Classes {
			for _, f := range []func(*Result) float64{
				func(r *Result) float64 { return r.Completion[class].Mean }, func(r *Result) float64 { return r.Completion[class].P95 },
				func(r *Result) float64 { return r.Slowdown[class].Mean }, func(r *Result) float64 { return r.Slowdown[class].P95 },
			} {
				fmt.Fprint(t, "\t", formatNumber(meanOf(g, f)))
			}
		}
		fmt.Fprintln(t)
	}
	writeIdleCauses(t, groups)
	return t.Flush()
}

// writeIdleCauses writes the free accelerators by cause, as a share of all
// accelerators, and in brackets the part of it that counts as unusable.
func writeIdleCauses(t io.Writer, groups [][]Result) {
	fmt.Fprint(t, "\ndeployment\tload\tpolicy")
	for _, name := range idleNames {
		fmt.Fprint(t, "\tidle: ", name)
	}
	fmt.Fprintln(t)
	for _, g := range groups {
		fmt.Fprintf(t, "%s\t%s\t%s", g[0].Deployment, g[0].Load, g[0].Policy)
		for c := range idleCauses {
			fmt.Fprintf(t, "\t%s (%s)", formatNumber(meanOf(g, func(r *Result) float64 { return r.Idle[c] })),
				formatNumber(meanOf(g, func(r *Result) float64 { return r.IdleUnusable[c] })))
		}
		fmt.Fprintln(t)
	}
}

// WriteCosts writes a table with a line for each measurement of decision cost.
func WriteCosts(w io.Writer, costs []Cost) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "workers\twaiting\tpolicy\tus\tbytes\tplaced")
	for _, c := range costs {
		fmt.Fprintf(t, "%d\t%d\t%s\t%.0f\t%d\t%d\n", c.Workers, c.Waiting, c.Policy, c.Micros, c.Bytes, c.Placed)
	}
	return t.Flush()
}

// groupResults splits the results into groups of equal deployment, load and
// policy. Equal ones must be adjacent.
func groupResults(results []Result) [][]Result {
	var out [][]Result
	for len(results) > 0 {
		n := slices.IndexFunc(results, func(r Result) bool {
			return r.Deployment != results[0].Deployment || r.Load != results[0].Load || r.Policy != results[0].Policy
		})
		if n < 0 {
			n = len(results)
		}
		out = append(out, results[:n])
		results = results[n:]
	}
	return out
}

func meanOf(g []Result, f func(*Result) float64) float64 {
	sum := 0.0
	for i := range g {
		sum += f(&g[i])
	}
	return sum / float64(len(g))
}

// formatNumber formats v with about three significant digits.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) >= 100:
		return fmt.Sprintf("%.0f", v)
	case math.Abs(v) >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3f", v)
}

func sumCounts(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
