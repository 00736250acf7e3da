package cli

import (
	"fmt"
	"io"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// queueCommand is the command "queue".
type queueCommand struct {
	*app `no-flag:"yes"`
	domainOption
}

// Execute implements flags.Commander.
func (c *queueCommand) Execute([]string) error { return c.printView("queue", c.Domain, printQueue) }

func printQueue(w io.Writer, view *structs.ViewResponse) error {
	var rows [][]string
	for _, d := range view.Domains {
		for i, q := range d.Queue {
			reserved := ""
			if q.Reserved {
				reserved = "yes"
			}
			rows = append(rows, []string{d.Domain, fmt.Sprint(i + 1), q.ID, q.Kind, formatShape(q.Shape),
				formatSeconds(q.WaitSeconds), string(q.Reason), reserved})
		}
	}
	return printTable(w, "DOMAIN POSITION JOB KIND SHAPE WAIT REASON RESERVED", rows)
}
