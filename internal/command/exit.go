package command

import (
	"errors"
	"fmt"

	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Exit codes of commands that append to the log.
const (
	// ExitInvalid means that the document or the record is invalid.
	ExitInvalid = 3
	// ExitConflict means that the record was rejected because it is based on
	// another version than the one in force.
	ExitConflict = 4
	// ExitUnavailable means that the platform is unavailable and nothing was
	// appended.
	ExitUnavailable = 5
	// ExitUnknown means that the record may have been appended.
	ExitUnknown = 6
)

const exitCodesHelp = "Exit codes: 0 accepted or done, 1 failed, 2 wrong command line, 3 rejected by validation, " +
	"4 rejected because another version stands, 5 platform unavailable and nothing appended, " +
	"6 unknown whether the record was appended."

// exitError is an error with a specific exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// exitCodeOf returns the exit code for an error of a command.
func exitCodeOf(err error) int {
	var withCode *exitError
	var issues policy.Issues
	switch {
	case errors.As(err, &withCode):
		return withCode.code
	case errors.As(err, &issues), errors.Is(err, policy.ErrSyntax):
		return ExitInvalid
	case errors.Is(err, platformlog.ErrUnavailable), errors.Is(err, platformlog.ErrNoSnapshot):
		return ExitUnavailable
	}
	return ExitFailed
}

// reportOutcome prints whether a record was accepted, or returns an error with
// the exit code for the reason why not.
func (s streams) reportOutcome(what, id string, outcome platformlog.Outcome) error {
	switch outcome.Kind {
	case platformlog.OutcomeAccepted:
		fmt.Fprintf(s.out, "%s accepted as version %d\n", what, outcome.Version)
		return nil
	case platformlog.OutcomeInvalid:
		return &exitError{ExitInvalid, fmt.Errorf("%s rejected: %w", what, outcome.Err)}
	case platformlog.OutcomeConflict:
		return &exitError{ExitConflict, fmt.Errorf("%s rejected: version %d stands: %w", what, outcome.InForce, outcome.Err)}
	case platformlog.OutcomeUnavailable:
		return &exitError{ExitUnavailable, fmt.Errorf("%s not appended: %w", what, outcome.Err)}
	}
	return &exitError{ExitUnknown, fmt.Errorf("%s may have been appended; the same command with --id %s tells its fate: %w", what, id, outcome.Err)}
}
