// Command standins3 runs the scripted cases of the third review: it starts the project's program as
// separate processes, with stand-ins for the clients, the workers and the platform's store, and
// checks a rule.
package main

import (
	"fmt"
	"os"
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
	"lasting":  lastingCase,
	"isolated": isolatedCase,
	"flapping": flappingCase,
	"probe":    probeCase,
	"datarack": dataRackCase,
}

func main() { os.Exit(run1()) }

func run1() int {
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
