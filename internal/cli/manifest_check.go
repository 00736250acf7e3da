package cli

import (
	"fmt"
	"maps"
	"slices"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// manifestFile is the positional manifest file argument.
type manifestFile struct {
	File string `positional-arg-name:"FILE" description:"manifest in YAML or JSON; - for standard input" required:"yes"`
}

// manifestCheck is the command "manifest check".
type manifestCheck struct {
	*app `no-flag:"yes"`
	Args manifestFile `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *manifestCheck) Execute([]string) error {
	document, err := c.readInput(c.Args.File)
	if err != nil {
		return err
	}
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	response, err := client.CheckManifest(ctx, document)
	if err != nil {
		return err
	}
	if printed, err := c.printJSON(response); printed {
		return err
	}
	fmt.Fprintln(c.stdout, "The manifest can be put in force.")
	return c.printSurvivableLosses(response)
}

// printSurvivableLosses prints for each domain how many lost workers its guarantees
// tolerate.
func (a *app) printSurvivableLosses(response *structs.CheckResponse) error {
	var rows [][]string
	for _, domain := range slices.Sorted(maps.Keys(response.Survives)) {
		rows = append(rows, []string{domain, fmt.Sprint(response.Survives[domain])})
	}
	return printTable(a.stdout, "DOMAIN SURVIVES", rows)
}
