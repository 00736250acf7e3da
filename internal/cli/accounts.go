package cli

import (
	"fmt"
	"io"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// accountsCommand is the command "accounts".
type accountsCommand struct {
	*app `no-flag:"yes"`
	domainOption
}

// Execute implements flags.Commander.
func (c *accountsCommand) Execute([]string) error {
	return c.printView("accounts", c.Domain, printAccounts)
}

func printAccounts(w io.Writer, view *structs.ViewResponse) error {
	var rows [][]string
	for _, d := range view.Domains {
		for _, a := range d.Accounts {
			rows = append(rows, []string{d.Domain, a.Name, fmt.Sprint(a.Guaranteed), fmt.Sprint(a.Used),
				fmt.Sprint(a.Borrowed), fmt.Sprint(a.Waiting), fmt.Sprint(a.Running)})
		}
	}
	return printTable(w, "DOMAIN ACCOUNT GUARANTEED USED BORROWED WAITING RUNNING", rows)
}
