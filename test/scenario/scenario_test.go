//go:build !race

// Package scenario runs scripted failure scenarios against a small deployment of real
// processes. The scripts are in testdata; commands_test.go lists the commands.
package scenario

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/parsleypier/parsleypier/test/history"
)

// scenarioSet selects the scenarios to run: none (the default, as a plain go test runs
// other packages at the same time), ci for .ci/run, or full for make prove, with
// outages of 60 s.
var scenarioSet = flag.String("set", "", "ci or full")

// scenarioTimeout limits one scenario.
const scenarioTimeout = 3 * time.Minute

// binDir is the directory with the programs, built with the tag faults.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	if *scenarioSet == "" {
		fmt.Println("scenarios are run by make scenario and make prove")
		return
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-tags", "faults", "-o", dir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// deploymentSlots limits the number of deployments that run at a time. Each has 16
// processes, and with six deployments on 10 cores agents announced themselves only
// after the recovery time of the owner.
var deploymentSlots = make(chan struct{}, 4)

// scenarioKey is the key of the scenario in testscript.Env.Values.
type scenarioKey struct{}

// TestScenarios runs the scripts. The comment at the head of each script says which
// failure it guards against.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	if *scenarioSet == "full" {
		long, err := filepath.Glob("testdata/full/*.txtar")
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, long...)
	}
	testscript.Run(t, testscript.Params{Files: files, Cmds: commands, Setup: setup})
}

// setup starts a deployment for one script, and stops it after the script.
func setup(e *testscript.Env) error {
	deploymentSlots <- struct{}{}
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	e.Defer(func() { <-deploymentSlots })
	e.Defer(cancel)
	r, err := history.StartCluster(ctx, binDir, e.WorkDir, 0)
	if err != nil {
		return err
	}
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		r.Watch(ctx)
	}()
	s := &scenario{ctx: ctx, recorder: r, jobs: map[string]*submission{}}
	e.Values[scenarioKey{}] = s
	e.Defer(func() {
		cancel()
		<-watching
		r.Cluster.Close()
		s.submissions.Wait()
	})
	return nil
}
