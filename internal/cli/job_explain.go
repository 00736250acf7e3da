package cli

import (
	"fmt"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// jobExplain is the command "job explain".
type jobExplain struct {
	*app `no-flag:"yes"`
	Args jobID `positional-args:"yes" required:"yes"`
}

// reasonDescriptions explain why a job waits or was refused.
var reasonDescriptions = map[structs.WaitReason]string{
	structs.WaitNoCapacity:  "not enough free accelerators, cores, memory or slots",
	structs.WaitFragmented:  "enough free accelerators, but none adjacent as asked",
	structs.WaitGuarantee:   "a placement would break the guarantee of another account",
	structs.WaitQuota:       "the account is at its quota or borrowing limit",
	structs.WaitReservation: "a placement would delay a job that has waited longer",
	structs.WaitShare:       "other accounts are below their share",
	structs.WaitReclaim:     "other jobs are being stopped for it",
	structs.WaitRecovery:    "the owner of the domain is recovering, or waits for an agent on which the job may be running",
	structs.NeverFits:       "no declared hardware holds the shape",
	structs.DeadlineMissed:  "the deadline has passed or cannot be met",
}

// formatStart describes when a job is expected to start.
func formatStart(e *structs.StartEstimate) string {
	if e.None != "" {
		return "no estimate: " + e.None
	}
	round := func(seconds float64) time.Duration {
		d := structs.Seconds(seconds)
		if d < time.Minute {
			return d.Round(100 * time.Millisecond)
		}
		return d.Round(time.Second)
	}
	return fmt.Sprintf("in %v to %v from now, expected of 8 starts in 10", round(e.EarliestSeconds), round(e.LatestSeconds))
}

// Execute implements flags.Commander.
func (c *jobExplain) Execute([]string) error {
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	e, err := client.Explain(ctx, c.Args.ID)
	if err != nil {
		return err
	}
	if printed, err := c.printJSON(e); printed {
		return err
	}
	rows := [][]string{{"state", string(e.Job.State)}, {"shape", formatShape(e.Job.Shape)}}
	if e.Reason != "" {
		rows = append(rows, []string{"reason", string(e.Reason) + ": " + reasonDescriptions[e.Reason]})
	}
	if e.Position > 0 {
		rows = append(rows, []string{"position", fmt.Sprint(e.Position)})
	}
	if e.Reservation != nil {
		rows = append(rows, []string{"reservation", fmt.Sprintf("%d workers", len(e.Reservation.Members))})
	}
	if e.Start != nil {
		rows = append(rows, []string{"start", formatStart(e.Start)})
		if e.Start.Judged > 0 {
			rows = append(rows, []string{"record", fmt.Sprintf("%d of %d starts were within their range", e.Start.InRange, e.Start.Judged)})
		}
	}
	if e.Detail != "" {
		rows = append(rows, []string{"detail", e.Detail})
	}
	return printTable(c.stdout, "JOB "+e.Job.ID, rows)
}
