package cli

import (
	"fmt"
	"strings"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// jobCancel is the command "job cancel".
type jobCancel struct {
	*app `no-flag:"yes"`
	Args struct {
		IDs []string `positional-arg-name:"JOB" description:"job IDs, all of one account"`
	} `positional-args:"yes"`
	Kind string `long:"kind" value-name:"NAME" description:"cancel all jobs of the kind"`
	All  bool   `long:"all" description:"cancel all jobs of the account"`
}

// Execute implements flags.Commander.
func (c *jobCancel) Execute([]string) error {
	req := structs.CancelRequest{Account: c.Account, Kind: c.Kind, IDs: c.Args.IDs}
	chosen := 0
	for _, given := range []bool{len(req.IDs) > 0, req.Kind != "", c.All} {
		if given {
			chosen++
		}
	}
	if chosen != 1 {
		return usageErrorf("one of job IDs, --kind and --all is required")
	}
	if req.Account == "" && len(req.IDs) > 0 {
		req.Account = structs.AccountOf(req.IDs[0])
	}
	if req.Account == "" {
		return usageErrorf("the flag --account or PARSLEYPIER_ACCOUNT is required")
	}
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	response, err := client.CancelJobs(ctx, req)
	if err != nil {
		return err
	}
	if printed, err := c.printJSON(response); err != nil {
		return err
	} else if !printed {
		var rows [][]string
		for _, id := range response.Cancelled {
			rows = append(rows, []string{id, "cancelled", verdict.NotRun.String()})
		}
		for _, id := range response.Stopping {
			rows = append(rows, []string{id, "stopping", verdict.MayHaveRun.String()})
		}
		if err := printTable(c.stdout, "JOB OUTCOME VERDICT", rows); err != nil {
			return err
		}
	}
	if len(response.Unreached) > 0 {
		fmt.Fprintln(c.stderr, "parsleypier: not reached, send the request again:", strings.Join(response.Unreached, ", "))
		return exitCode(ExitMayHaveRun)
	}
	return nil
}
