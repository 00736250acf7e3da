// Package cli implements the command-line tool parsleypier, with one file for each
// command. Commands print tables by default, and the JSON of the HTTP API with
// --output json. The exit code tells whether a request or job ran; see ExitOK and
// the other codes.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/parsleypier/parsleypier/internal/apiclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// options are the flags that every command accepts.
type options struct {
	Entries []string      `long:"entry" env:"PARSLEYPIER_ENTRY" env-delim:"," default:"http://127.0.0.1:8080" value-name:"URL" description:"address of an entry; may be given several times"`
	Account string        `long:"account" env:"PARSLEYPIER_ACCOUNT" value-name:"NAME" description:"client account"`
	Output  string        `long:"output" env:"PARSLEYPIER_OUTPUT" choice:"table" choice:"json" default:"table" description:"output for people or for programs"`
	Timeout time.Duration `long:"timeout" env:"PARSLEYPIER_TIMEOUT" default:"30s" value-name:"DURATION" description:"time limit of a command, beyond the waits that it asks for"`
}

// app holds the state that all commands share.
type app struct {
	options
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	// now returns the current time.
	now func() time.Time
}

// command describes a subcommand. A group is the name of its parent command, or
// empty.
type command struct {
	group, name, short, long string
	handler                  flags.Commander
}

// commands returns all subcommands.
func (a *app) commands() []command {
	return []command{
		{"manifest", "check", "Check a manifest without applying it", "Sends the document to an entry, which validates it and proves that the guarantees pack.", &manifestCheck{app: a}},
		{"manifest", "diff", "Compare a manifest with the one in force", "Prints one line for each difference. Exit code 1 if there is one.", &manifestDiff{app: a}},
		{"manifest", "apply", "Put a manifest in force", "The manifest is refused if another one was accepted since its parent.", &manifestApply{app: a}},
		{"manifest", "show", "Print a manifest", "Prints the manifest in force, or an earlier version, as YAML.", &manifestShow{app: a}},
		{"manifest", "history", "List accepted manifests", "Newest first.", &manifestHistory{app: a}},
		{"job", "submit", "Submit a job", "With --wait, waits for the end of the job. The result is written to --result.", &jobSubmit{app: a}},
		{"job", "wait", "Wait for the end of a job", "The result is written to --result.", &jobWait{app: a}},
		{"job", "show", "Show a job", "Shows the record of a job as it is.", &jobShow{app: a}},
		{"job", "cancel", "Cancel jobs", "Cancels the named jobs, or all of an account's with --all or --kind.", &jobCancel{app: a}},
		{"job", "list", "List jobs", "Lists the jobs that the owners hold in memory.", &jobList{app: a}},
		{"job", "explain", "Explain why a job waits", "Says why a job is where it is.", &jobExplain{app: a}},
		{"", "workers", "Show workers", "One line a worker, with its accelerators: # used, . free.", &workersCommand{app: a}},
		{"", "queue", "Show waiting jobs", "In the order of the owner's queue.", &queueCommand{app: a}},
		{"", "accounts", "Show client accounts", "Figures are accelerators, but for waiting and running, which are jobs.", &accountsCommand{app: a}},
		{"", "status", "Show domains and entries", "Shows who owns each domain, and the state of the platform as the owner sees it.", &statusCommand{app: a}},
		{"", "top", "Show workers and queue repeatedly", "Refreshes --count times.", &topCommand{app: a}},
		{"", "trace", "Print the trace of a job", "Reads files of spans in the JSON form of the OpenTelemetry stdout exporter.", &traceCommand{app: a}},
		{"", "report", "Write a report as one HTML file", "Plots completion times and free accelerators by account.", &reportCommand{app: a}},
		{"logs", "account", "Say what jobs earned and why they earned less", "Reads the event logs of all entries of a deployment for workflow jobs, and of its agents where given.", &logsAccount{app: a}},
		{"logs", "explain", "Say what delayed one job", "Reads the same logs. Prints the waits and runs of the job's longest chain of work.", &logsExplain{app: a}},
		{"completion", "bash", "Print the completion script for bash", "Use it by: source <(parsleypier completion bash)", &completionBash{app: a}},
	}
}

// groupDescriptions are the help texts of the parent commands.
var groupDescriptions = map[string]string{
	"manifest": "Check, compare and apply manifests", "job": "Submit and follow jobs", "logs": "Explain from event logs", "completion": "Print completion scripts",
}

// Main runs the tool with the arguments after the program's name and returns
// its exit code.
func Main(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr, now: time.Now}
	parser := flags.NewNamedParser("parsleypier", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "parsleypier talks to the entries of a parsleypier deployment.\n\n" + exitCodeHelp
	if _, err := parser.AddGroup("Common options", "", &a.options); err != nil {
		return a.handleError(err)
	}
	for _, c := range a.commands() {
		parent := parser.Command
		if c.group != "" {
			if parent = parser.Find(c.group); parent == nil {
				g, err := parser.AddCommand(c.group, groupDescriptions[c.group], groupDescriptions[c.group]+".", &struct{}{})
				if err != nil {
					return a.handleError(err)
				}
				parent = g
			}
		}
		if _, err := parent.AddCommand(c.name, c.short, c.long, c.handler); err != nil {
			return a.handleError(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return a.handleError(err)
}

// handleError prints err, if it has a message, and returns the exit code.
func (a *app) handleError(err error) int {
	if err == nil {
		return ExitOK
	}
	var code exitCode
	if errors.As(err, &code) {
		return int(code)
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(a.stdout, usage.Message)
			return ExitOK
		}
		fmt.Fprintln(a.stderr, "parsleypier:", usage.Message)
		return ExitUsage
	}
	var ve *verdict.Error
	if errors.As(err, &ve) {
		a.printError(ve)
		return verdictExitCode(ve.Verdict)
	}
	fmt.Fprintln(a.stderr, "parsleypier:", err)
	return ExitError
}

// printError prints an error from an entry to standard error.
func (a *app) printError(e *verdict.Error) {
	if a.Output == "json" {
		// If standard error is closed, there is nowhere left to report it.
		_ = json.NewEncoder(a.stderr).Encode(structs.ErrorBody{Error: e})
		return
	}
	fmt.Fprintln(a.stderr, "parsleypier:", e)
	if e.Remedy != "" {
		fmt.Fprintln(a.stderr, "  remedy:", e.Remedy)
	}
	if e.RetryAfter > 0 {
		fmt.Fprintln(a.stderr, "  retry after:", e.RetryAfter.Round(time.Millisecond))
	}
}

// usageErrorf returns an error that is reported as a usage error.
func usageErrorf(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, args...)}
}

// newClient returns a client, a context that expires after --timeout plus extra, and
// a function that closes the client and cancels the context.
func (a *app) newClient(extra time.Duration) (*apiclient.Client, context.Context, func(), error) {
	c, err := apiclient.New(apiclient.Options{Entries: a.Entries, Account: a.Account})
	if err != nil {
		return nil, nil, nil, usageErrorf("%v", err)
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.Timeout+extra)
	return c, ctx, func() { cancel(); c.Close() }, nil
}

// readInput returns the content of a file, or of standard input if the name is "-".
func (a *app) readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(a.stdin, maxInputBytes))
	}
	return os.ReadFile(name)
}

// maxInputBytes is the maximum number of bytes read from standard input.
const maxInputBytes = 16 << 20
