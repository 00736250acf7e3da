package cli

import (
	"context"
	"time"

	"github.com/parsleypier/parsleypier/internal/apiclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

const (
	// requestWait is how long one request waits for the end of the job.
	// redrawInterval replaces it on a terminal, where the progress bar is redrawn
	// after each request.
	requestWait    = 30 * time.Second
	redrawInterval = time.Second
	// minPollInterval is the pause between two requests. It limits the request
	// rate if the entry responds at once.
	minPollInterval = 100 * time.Millisecond
)

// jobWait is the command "job wait".
type jobWait struct {
	*app   `no-flag:"yes"`
	Args   jobID         `positional-args:"yes" required:"yes"`
	Wait   time.Duration `long:"wait" default:"1h" value-name:"DURATION" description:"time to wait"`
	Result string        `long:"result" value-name:"FILE" description:"file for the result; - for standard output"`
}

// jobID is the positional job ID argument.
type jobID struct {
	ID string `positional-arg-name:"JOB" description:"job ID" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobWait) Execute([]string) error {
	client, ctx, closeClient, err := c.newClient(c.Wait)
	if err != nil {
		return err
	}
	defer closeClient()
	job, err := c.waitForJob(ctx, client, c.Args.ID, c.now(), c.Wait)
	if err != nil {
		return err
	}
	if err := c.printJob(job, c.Result); err != nil {
		return err
	}
	return jobExitError(job)
}

// waitForJob polls the job until it is final or the wait is over. If no entry or
// owner can be reached, it retries, and returns the error only when the wait is over.
func (a *app) waitForJob(ctx context.Context, client *apiclient.Client, id string, started time.Time, wait time.Duration) (*structs.Job, error) {
	bar := a.newProgressBar()
	defer bar.clear()
	step := bar.requestWait()
	for {
		left := wait - a.now().Sub(started)
		job, err := client.Job(ctx, id, max(0, min(left, step)))
		if err == nil && (job.State.Final() || left <= step) {
			return job, nil
		}
		if err != nil {
			// The error's verdict is about this request. Whether the job ran is unknown.
			err = verdict.From(err).WithVerdict(verdict.MayHaveRun)
			if left <= 0 || !verdict.HasCode(err, verdict.CodeUnavailable) {
				return nil, err
			}
			job = &structs.Job{State: structs.JobUnknown}
		}
		bar.draw(a.now().Sub(started), wait, job.State)
		select {
		case <-time.After(minPollInterval):
		case <-ctx.Done():
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the job was not final in time: %v", ctx.Err())
		}
	}
}
