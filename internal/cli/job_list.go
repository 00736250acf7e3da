package cli

import (
	"fmt"
	"strings"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// jobList is the command "job list".
type jobList struct {
	*app  `no-flag:"yes"`
	State string `long:"state" value-name:"STATE" description:"only jobs in the state"`
	Limit int    `long:"limit" default:"100" value-name:"N" description:"number of jobs, at most 1000"`
}

// Execute implements flags.Commander.
func (c *jobList) Execute([]string) error {
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	response, err := client.Jobs(ctx, c.Account, structs.JobState(c.State), c.Limit)
	if err != nil {
		return err
	}
	if printed, err := c.printJSON(response); printed {
		return err
	}
	var rows [][]string
	for _, j := range response.Jobs {
		rows = append(rows, []string{j.ID, j.Spec.Kind, string(j.State), j.Verdict.String(), formatShape(j.Shape),
			fmt.Sprint(j.Attempt), formatTime(j.SubmittedAt)})
	}
	if err := printTable(c.stdout, "JOB KIND STATE VERDICT SHAPE ATTEMPT SUBMITTED", rows); err != nil {
		return err
	}
	if len(response.Unreached) > 0 {
		fmt.Fprintln(c.stderr, "parsleypier: jobs of these domains are missing:", strings.Join(response.Unreached, ", "))
	}
	return nil
}
