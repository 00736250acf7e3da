package cli

import "sigs.k8s.io/yaml"

// manifestShow is the command "manifest show".
type manifestShow struct {
	*app    `no-flag:"yes"`
	Version uint64 `long:"version" value-name:"N" description:"version; the one in force if left out"`
}

// Execute implements flags.Commander.
func (c *manifestShow) Execute([]string) error {
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	m, err := client.Manifest(ctx, c.Version)
	if err != nil {
		return err
	}
	if printed, err := c.printJSON(m); printed {
		return err
	}
	text, err := yaml.Marshal(m)
	if err != nil {
		return err
	}
	_, err = c.stdout.Write(text)
	return err
}
