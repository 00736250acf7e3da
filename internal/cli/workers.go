package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// domainOption is the flag that restricts a command to one domain.
type domainOption struct {
	Domain string `long:"domain" value-name:"NAME" description:"only this domain"`
}

type workersCommand struct {
	*app `no-flag:"yes"`
	domainOption
}

// Execute implements flags.Commander.
func (c *workersCommand) Execute([]string) error {
	return c.printView("workers", c.Domain, printWorkers)
}

// printView queries the named view and prints it. Errors of domains that could not be
// queried go to standard error.
func (a *app) printView(name, domain string, print func(io.Writer, *structs.ViewResponse) error) error {
	client, ctx, done, err := a.newClient(0)
	if err != nil {
		return err
	}
	defer done()
	view, err := client.View(ctx, name, domain)
	if err != nil {
		return err
	}
	if printed, err := a.printJSON(view); printed {
		return err
	}
	if err := print(a.stdout, view); err != nil {
		return err
	}
	for _, d := range view.Domains {
		if d.Error != nil {
			fmt.Fprintf(a.stderr, "parsleypier: domain %s: %v\n", d.Domain, d.Error)
		}
	}
	return nil
}

func printWorkers(w io.Writer, view *structs.ViewResponse) error {
	var rows [][]string
	for _, d := range view.Domains {
		for _, x := range d.Workers {
			heartbeat := time.Duration(x.HeartbeatAgeMS) * time.Millisecond
			rows = append(rows, []string{d.Domain, x.ID, x.Zone, x.Rack, x.Class, string(x.State), formatAccelerators(x.Accelerators),
				fmt.Sprintf("%d/%d", x.SlotsUsed, x.Slots), heartbeat.String(), fmt.Sprint(x.Failures)})
		}
	}
	return printTable(w, "DOMAIN WORKER ZONE RACK CLASS STATE ACCELERATORS SLOTS HEARTBEAT FAILURES", rows)
}
