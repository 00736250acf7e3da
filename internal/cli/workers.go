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

// workersCommand is the command "workers".
type workersCommand struct {
	*app `no-flag:"yes"`
	domainOption
}

// Execute implements flags.Commander.
func (c *workersCommand) Execute([]string) error {
	return c.printView("workers", c.Domain, printWorkers)
}

// printView queries the named view and prints it: as JSON with the errors of the
// domains that could not be queried, or as text with printText, which leaves these
// errors out; printView then prints them to standard error.
func (a *app) printView(name, domain string, printText func(io.Writer, *structs.ViewResponse) error) error {
	client, ctx, closeClient, err := a.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	view, err := client.View(ctx, name, domain)
	if err != nil {
		return err
	}
	if printed, err := a.printJSON(view); printed {
		return err
	}
	if err := printText(a.stdout, view); err != nil {
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
		for _, worker := range d.Workers {
			heartbeatAge := time.Duration(worker.HeartbeatAgeMS) * time.Millisecond
			rows = append(rows, []string{d.Domain, worker.ID, worker.Zone, worker.Rack, worker.Class, string(worker.State), formatAccelerators(worker.Accelerators),
				fmt.Sprintf("%d/%d", worker.SlotsUsed, worker.Slots), heartbeatAge.String(), fmt.Sprint(worker.Failures)})
		}
	}
	return printTable(w, "DOMAIN WORKER ZONE RACK CLASS STATE ACCELERATORS SLOTS HEARTBEAT FAILURES", rows)
}
