package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// statusCommand is the command "status".
type statusCommand struct {
	*app `no-flag:"yes"`
	domainOption
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error { return c.printView("status", c.Domain, printStatus) }

func printStatus(w io.Writer, view *structs.ViewResponse) error {
	fmt.Fprintf(w, "Entry %s, manifest version %d", view.Entry, view.ManifestVersion)
	if view.Draining {
		fmt.Fprint(w, ", draining")
	}
	fmt.Fprint(w, "\n\n")
	var rows [][]string
	for _, d := range view.Domains {
		if d.Error != nil {
			rows = append(rows, []string{d.Domain, "", "", "no answer", "", "", "", ""})
			continue
		}
		state, ready, free := "serving", 0, 0
		if d.Recovering {
			state = "recovering"
		}
		for _, worker := range d.Workers {
			if worker.State != structs.WorkerReady {
				continue
			}
			ready++
			for _, gang := range worker.Accelerators {
				if gang == "" {
					free++
				}
			}
		}
		rows = append(rows, []string{d.Domain, d.Owner.EntryID, fmt.Sprint(d.Owner.Epoch), state, d.PlatformState,
			fmt.Sprintf("%d/%d", ready, len(d.Workers)), fmt.Sprint(free), fmt.Sprint(len(d.Queue))})
	}
	if err := printTable(w, "DOMAIN OWNER EPOCH STATE PLATFORM READY FREE WAITING", rows); err != nil {
		return err
	}
	if len(view.Entries) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	rows = nil
	for _, e := range view.Entries {
		rows = append(rows, []string{e.ID, e.Zone, e.HTTPAddr, e.RPCAddr, strings.Join(e.Domains, ",")})
	}
	return printTable(w, "ENTRY ZONE HTTP RPC DOMAINS", rows)
}
