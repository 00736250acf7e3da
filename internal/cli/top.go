package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// clearScreen is the escape sequence that moves the cursor of a terminal to the top
// left and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// topCommand is the command "top".
type topCommand struct {
	*app `no-flag:"yes"`
	domainOption
	Interval time.Duration `long:"interval" default:"2s" value-name:"DURATION" description:"time between refreshes"`
	Count    int           `long:"count" default:"300" value-name:"N" description:"number of refreshes"`
}

// Execute implements flags.Commander.
func (c *topCommand) Execute([]string) error {
	if c.Interval < 100*time.Millisecond || c.Count < 1 {
		return usageErrorf("--interval must be at least 100ms and --count at least 1")
	}
	client, ctx, closeClient, err := c.newClient(time.Duration(c.Count) * (c.Interval + c.Timeout))
	if err != nil {
		return err
	}
	defer closeClient()
	for i := range c.Count {
		if i > 0 {
			select {
			case <-time.After(c.Interval):
			case <-ctx.Done():
				return nil
			}
		}
		view, err := client.View(ctx, "status", c.Domain)
		if err != nil {
			return err
		}
		if err := c.refresh(view); err != nil {
			return err
		}
	}
	return nil
}

// refresh prints the status, the workers and the queue.
func (c *topCommand) refresh(view *structs.ViewResponse) error {
	if printed, err := c.printJSON(view); printed {
		return err
	}
	if f, ok := c.stdout.(*os.File); ok {
		if info, err := f.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			fmt.Fprint(f, clearScreen)
		}
	}
	if err := printStatus(c.stdout, view); err != nil {
		return err
	}
	fmt.Fprintln(c.stdout)
	if err := printWorkers(c.stdout, view); err != nil {
		return err
	}
	fmt.Fprintln(c.stdout)
	return printQueue(c.stdout, view)
}
