package main

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/protocol/operator"
)

// Exit codes. Scripts depend on the values.
const (
	exitDone        = 0
	exitFailed      = 1
	exitBadInput    = 2
	exitStale       = 3
	exitUnreachable = 4
	exitUnknown     = 5
)

var (
	errUsage    = eris.New("bad input")
	errDeclined = eris.New("not confirmed; nothing was applied")
)

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errUsage), errors.Is(err, operator.ErrInvalid), errors.Is(err, operator.ErrNotFound):
		return exitBadInput
	case errors.Is(err, operator.ErrStale):
		return exitStale
	case errors.Is(err, operator.ErrUnavailable):
		return exitUnreachable
	case errors.Is(err, operator.ErrUnknown):
		return exitUnknown
	default:
		return exitFailed
	}
}

// usageError is the message of invalid input that the program itself detects. It unwraps
// to errUsage.
type usageError string

func (e usageError) Error() string { return string(e) }

func (usageError) Unwrap() error { return errUsage }
