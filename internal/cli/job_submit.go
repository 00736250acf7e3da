package cli

import (
	"encoding/json"
	"os"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// jobSubmit is the command "job submit".
type jobSubmit struct {
	*app         `no-flag:"yes"`
	Kind         string        `long:"kind" required:"yes" value-name:"NAME" description:"job kind"`
	Key          string        `long:"key" value-name:"KEY" description:"request key; the same key is never run as a second job"`
	Workers      int           `long:"workers" value-name:"N" description:"workers of the gang; the kind's shape if left out"`
	Accelerators int           `long:"accelerators" value-name:"N" description:"accelerators on each worker"`
	Adjacency    string        `long:"adjacency" choice:"none" choice:"worker" choice:"rack" choice:"zone" description:"how close the accelerators must be"`
	Run          time.Duration `long:"run" value-name:"DURATION" description:"declared run time; the kind's if left out"`
	Deadline     time.Duration `long:"deadline" value-name:"DURATION" description:"time after which the answer has no more use"`
	Idempotent   string        `long:"idempotent" choice:"yes" choice:"no" description:"whether the job may be repeated; the kind's if left out"`
	Payload      string        `long:"payload" value-name:"FILE" description:"file with the payload; - for standard input"`
	Wait         time.Duration `long:"wait" value-name:"DURATION" description:"time to wait for the end of the job"`
	Result       string        `long:"result" value-name:"FILE" description:"file for the result; - for standard output"`
}

// Execute implements flags.Commander.
func (c *jobSubmit) Execute([]string) error {
	spec, err := c.spec()
	if err != nil {
		return err
	}
	client, ctx, closeClient, err := c.newClient(c.Wait)
	if err != nil {
		return err
	}
	defer closeClient()
	started := c.now()
	job, err := client.Submit(ctx, spec, min(c.Wait, c.newProgressBar().requestWait()))
	if err == nil && !job.State.Final() && c.Wait > 0 {
		job, err = c.waitForJob(ctx, client, job.ID, started, c.Wait)
	}
	if err != nil {
		return err
	}
	if err := c.printJob(job, c.Result); err != nil {
		return err
	}
	if c.Wait == 0 && !job.State.Final() {
		return nil
	}
	return jobExitError(job)
}

// spec returns the job specification given by the flags.
func (c *jobSubmit) spec() (structs.JobSpec, error) {
	jobSpec := structs.JobSpec{
		Account: c.Account, Kind: c.Kind, RequestKey: c.Key,
		RunSeconds: c.Run.Seconds(), DeadlineSeconds: c.Deadline.Seconds(),
	}
	if c.Account == "" {
		return jobSpec, usageErrorf("the flag --account or PARSLEYPIER_ACCOUNT is required")
	}
	if c.Workers > 0 {
		jobSpec.Shape = &structs.Shape{Workers: c.Workers, Accelerators: c.Accelerators, Adjacency: structs.Adjacency(c.Adjacency)}
	} else if c.Accelerators > 0 || c.Adjacency != "" {
		return jobSpec, usageErrorf("--accelerators and --adjacency need --workers")
	}
	if c.Idempotent != "" {
		idempotent := c.Idempotent == "yes"
		jobSpec.Idempotent = &idempotent
	}
	if c.Payload == "" {
		return jobSpec, nil
	}
	var err error
	jobSpec.Payload, err = c.readInput(c.Payload)
	return jobSpec, err
}

// printJob prints a job. If it has finished and result names a file, its result is
// written there. If result is "-", the result is printed instead of the job.
func (a *app) printJob(job *structs.Job, result string) error {
	if result != "" && job.State == structs.JobFinished {
		if result == "-" {
			_, err := a.stdout.Write(job.Result.Data)
			return err
		}
		if err := os.WriteFile(result, job.Result.Data, 0o600); err != nil {
			return err
		}
	}
	if a.Output == "json" {
		return json.NewEncoder(a.stdout).Encode(job)
	}
	return a.printJobTable(job)
}
