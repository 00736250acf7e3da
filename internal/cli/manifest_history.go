package cli

import "fmt"

// manifestHistory is the command "manifest history".
type manifestHistory struct {
	*app  `no-flag:"yes"`
	Limit int `long:"limit" default:"20" value-name:"N" description:"number of versions, at most 100"`
}

// Execute implements flags.Commander.
func (c *manifestHistory) Execute([]string) error {
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	response, err := client.ManifestHistory(ctx, c.Limit)
	if err != nil {
		return err
	}
	if printed, err := c.printJSON(response); printed {
		return err
	}
	var rows [][]string
	for _, m := range response.Manifests {
		workers := 0
		for _, h := range m.Hardware {
			workers += h.Workers
		}
		rows = append(rows, []string{fmt.Sprint(m.Version), fmt.Sprint(m.Parent), m.Deployment,
			fmt.Sprint(len(m.Accounts)), fmt.Sprint(len(m.Kinds)), fmt.Sprint(workers)})
	}
	return printTable(c.stdout, "VERSION PARENT DEPLOYMENT ACCOUNTS KINDS WORKERS", rows)
}
