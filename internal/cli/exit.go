package cli

import (
	"fmt"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// The exit codes of the tool.
const (
	ExitOK         = 0 // success; the job has finished
	ExitError      = 1 // local failure, or manifest diff found a difference
	ExitUsage      = 2 // invalid flags or arguments
	ExitNotRun     = 3 // the request or job was not run
	ExitMayHaveRun = 4 // the request or job may have run
	ExitFailed     = 5 // the job ran and failed
	ExitNotFinal   = 6 // the job was accepted and is not final yet
)

const exitCodeHelp = `Exit codes: 0 done, the job has finished; 1 local failure or difference; 2 bad usage; 3 not run; 4 may have run; 5 the job ran and failed; 6 the job is accepted and not final yet.`

// exitCode is an error that sets the exit code without printing a message.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit code %d", int(c)) }

// verdictExitCode returns the exit code for the verdict of a request or job that did
// not succeed.
func verdictExitCode(v verdict.Verdict) int {
	switch v {
	case verdict.NotRun:
		return ExitNotRun
	case verdict.Ran:
		return ExitFailed
	}
	return ExitMayHaveRun
}

// jobExitError returns the exit code for the state of a job as an error, or nil if
// the job has finished.
func jobExitError(job *structs.Job) error {
	switch {
	case job.State == structs.JobFinished:
		return nil
	case !job.State.Final():
		return exitCode(ExitNotFinal)
	}
	return exitCode(verdictExitCode(job.Verdict))
}
