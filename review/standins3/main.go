// Command standins3 runs the scripted cases of the third review: it starts the project's program as
// separate processes, with stand-ins for the clients, the workers and the platform's store, and
// checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name. Each returns what broke the rule, or "" if it held. The trouble is
// left out unless trouble is set.
var cases = map[string]func(rec *record, trouble bool) (string, error){
	"lasting":   lastingCase,
	"isolated":  isolatedCase,
	"crashloop": crashLoopCase,
	"probe":     probeCase,
	"datarack":  dataRackCase,
}

func main() {
	// The processes that are started end with the thread that has started them.
	runtime.LockOSThread()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		if d := started.Load(); d != nil {
			d.close()
		}
		os.Exit(exitCannotRun)
	}()
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins3 CASE FOLDER")
		return exitCannotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitCannotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	result, code := "the rule held", exitHeld
	switch {
	case err != nil:
		result, code = "could not run: "+err.Error(), exitCannotRun
	case broken != "":
		result, code = "the rule is broken: "+broken, exitBroken
	}
	rec.add("%s", result)
	fmt.Println(result)
	return code
}
