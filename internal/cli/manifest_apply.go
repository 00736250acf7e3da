package cli

import "fmt"

// manifestApply is the command "manifest apply".
type manifestApply struct {
	*app   `no-flag:"yes"`
	Args   manifestFile `positional-args:"yes" required:"yes"`
	Parent *uint64      `long:"parent" value-name:"N" description:"version that the manifest replaces, instead of the document's"`
}

// Execute implements flags.Commander.
func (c *manifestApply) Execute([]string) error {
	document, err := c.readInput(c.Args.File)
	if err != nil {
		return err
	}
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	response, err := client.ApplyManifest(ctx, document, c.Parent)
	if err != nil {
		return err
	}
	if printed, err := c.printJSON(response); printed {
		return err
	}
	fmt.Fprintf(c.stdout, "Version %d is in force; it replaces version %d.\n", response.Version, response.Parent)
	return c.printSurvivableLosses(response)
}
