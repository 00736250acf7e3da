package config

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
)

var entryArgs = []string{"--role", "entry", "--id", "e1", "--zone", "z1", "--domains", "muscat", "--platform", "http://10.0.0.9:9000",
	"--http", "10.0.0.1:8080", "--rpc", "0.0.0.0:7000", "--advertise-rpc", "10.0.0.1:7000"}

// Settings must follow the arguments and the environment.
func TestParseReadsArgumentsAndEnvironment(t *testing.T) {
	t.Setenv("PARSLEYPIER_SEEDS", "10.0.0.2:7000,10.0.0.3:7000")
	t.Setenv("PARSLEYPIER_EXPIRY", "2s")
	s, err := Parse(entryArgs)
	if err != nil {
		t.Fatal(err)
	}
	if s.Addresses.AdvertiseHTTP != "10.0.0.1:8080" || s.Addresses.AdvertiseRPC != "10.0.0.1:7000" ||
		len(s.Addresses.Seeds) != 2 || s.Intervals.Expiry.String() != "2s" || s.Limits.MaxInFlight != 4096 {
		t.Errorf("Parse returned the settings %+v", s)
	}
	_, err = Parse([]string{"--role", "agent", "--id", "a1", "--zone", "z1", "--rack", "r1", "--domain", "muscat",
		"--worker", "http://10.0.0.4:9100", "--seed", "10.0.0.1:7000"})
	if err != nil {
		t.Error(err)
	}
	var help *HelpError
	if _, err := Parse([]string{"--help"}); !errors.As(err, &help) || !strings.Contains(help.Message, "PARSLEYPIER_ZONE") {
		t.Errorf("--help returned the error %v", err)
	}
}

// Guards against settings that docs/OPERATIONS.md does not describe.
func TestSettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var help *HelpError
	if _, err := Parse([]string{"--help"}); !errors.As(err, &help) {
		t.Fatal(err)
	}
	names := regexp.MustCompile(`\$(PARSLEYPIER_\w+)`).FindAllStringSubmatch(help.Message, -1)
	if len(names) < 30 {
		t.Fatalf("%d settings in the help", len(names))
	}
	for _, n := range names {
		if !strings.Contains(string(page), "`"+n[1]+"`") {
			t.Errorf("%s is not described", n[1])
		}
	}
}

// Guards against a check that misses an invalid setting or reports only the first.
func TestParseReportsEveryError(t *testing.T) {
	_, err := Parse([]string{"--role", "boss", "--id", "a/b", "--http", "localhost:1", "--rpc", ":7000", "--seed", "x", "--local-ip", "y",
		"--expiry", "1s", "--lost-after", "1s", "--heartbeat", "0s", "--trace-ratio", "2", "--verbosity", "10", "--drain-timeout", "1s", "extra"})
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, flag := range []string{"role", "id", "zone", "http", "advertise-rpc", "seed", "local-ip", "expiry", "lost-after", "heartbeat",
		"trace-ratio", "verbosity", "drain-timeout"} {
		if !strings.Contains(err.Error(), "--"+flag+": ") {
			t.Errorf("the error does not name --%s:\n%v", flag, err)
		}
	}
	if !strings.Contains(err.Error(), `"extra"`) {
		t.Error("the error does not name the unknown argument")
	}
	for name, args := range map[string][]string{
		"agent":       {"--role", "agent", "--id", "a", "--zone", "z", "--domains", "d"},
		"entry":       append([]string{"--domain", "d", "--platform", "table"}, entryArgs[:6]...),
		"slow expiry": append([]string{"--expiry", "5s"}, entryArgs...),
		"twice":       append([]string{"--domains", "muscat"}, entryArgs...),
	} {
		if _, err := Parse(args); err == nil {
			t.Errorf("%s: invalid settings were accepted", name)
		}
	}
}
