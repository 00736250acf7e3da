package cli

import (
	"fmt"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// jobShow is the command "job show".
type jobShow struct {
	*app   `no-flag:"yes"`
	Args   jobID  `positional-args:"yes" required:"yes"`
	Result string `long:"result" value-name:"FILE" description:"file for the result; - for standard output"`
}

// Execute implements flags.Commander.
func (c *jobShow) Execute([]string) error {
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	job, err := client.Job(ctx, c.Args.ID, 0)
	if err != nil {
		return err
	}
	if err := c.printJob(job, c.Result); err != nil {
		return err
	}
	return jobExitError(job)
}

// printJobTable prints a job with one field per line.
func (a *app) printJobTable(job *structs.Job) error {
	rows := [][]string{
		{"state", string(job.State)},
		{"verdict", job.Verdict.String()},
		{"domain", job.Domain},
		{"kind", job.Spec.Kind},
		{"key", job.Spec.RequestKey},
		{"shape", formatShape(job.Shape)},
		{"idempotent", fmt.Sprint(job.Idempotent)},
		{"attempt", fmt.Sprintf("%d of %d", job.Attempt, job.MaxAttempts)},
		{"submitted", formatTime(job.SubmittedAt)},
		{"started", formatTime(job.StartedAt)},
		{"ended", formatTime(job.EndedAt)},
	}
	if job.Result != nil {
		rows = append(rows, []string{"result", fmt.Sprintf("%d bytes, sha256 %s", job.Result.Length, job.Result.SHA256)},
			[]string{"durable", fmt.Sprint(job.Result.Durable)})
	}
	if job.Error != nil {
		rows = append(rows, []string{"error", job.Error.Error()})
	}
	return printTable(a.stdout, "JOB "+job.ID, rows)
}
