// Package seedtest runs properties with chosen seeds of pgregory.net/rapid.
package seedtest

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// seedFlag is the flag of rapid that sets the seed of a check.
const seedFlag = "rapid.seed"

// Run checks a property once with each seed, in a subtest named seed-SEED.
func Run(t *testing.T, seeds []string, property func(*rapid.T)) {
	before := flag.Lookup(seedFlag).Value.String()
	for _, seed := range seeds {
		t.Run("seed-"+seed, func(t *testing.T) {
			if err := flag.Set(seedFlag, seed); err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := flag.Set(seedFlag, before); err != nil {
					t.Error(err)
				}
			}()
			rapid.Check(t, property)
		})
	}
}
