package platformclient

import (
	"errors"
	"strings"

	"github.com/parsleypier/parsleypier/internal/verdict"
)

// ConflictError is the error of a transaction whose checks did not all hold.
// It wraps a *verdict.Error with CodeConflict and NotRun.
type ConflictError struct {
	// Conflicts are the checks that did not hold. Their Version is the row's current
	// version (0 if there is no row), not the required one as in Txn.Checks.
	Conflicts []Check
	err       *verdict.Error
}

// NewConflict returns the error for checks that did not hold. The Version of each
// must be the row's current version, not the required one.
func NewConflict(conflicts []Check) *ConflictError {
	keys := make([]string, len(conflicts))
	for i, c := range conflicts {
		keys[i] = c.Key
	}
	return &ConflictError{
		Conflicts: conflicts,
		err:       verdict.Refuse(verdict.CodeConflict, "check failed on %s", strings.Join(keys, ", ")),
	}
}

// Error implements error.
func (e *ConflictError) Error() string { return e.err.Error() }

// Unwrap returns the *verdict.Error.
func (e *ConflictError) Unwrap() error { return e.err }

// Conflicts returns the checks that did not hold, with the rows' current
// versions instead of the required ones, or nil if err is not a ConflictError.
func Conflicts(err error) []Check {
	var e *ConflictError
	if errors.As(err, &e) {
		return e.Conflicts
	}
	return nil
}
