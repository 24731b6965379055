package once

import (
	"fmt"
	"sync/atomic"
)

// Names of the invariants that the package checks while it runs.
const (
	// InvariantTransition: a record changes only along the allowed transitions.
	InvariantTransition = "record-transition"
	// InvariantSize: an encoded partition never exceeds MaxValueBytes.
	InvariantSize = "partition-size"
	// InvariantSuperseded: the outcome of work that was sent finds its own
	// claim in the record.
	InvariantSuperseded = "superseded-after-send"
	// InvariantAbandoned: an abandoned claim is never sent.
	InvariantAbandoned = "send-after-abandon"
	// InvariantNotRun: not-run is never produced for a claim that may have
	// reached an endpoint.
	InvariantNotRun = "not-run-after-send"
	// InvariantSingleSend: a claim that may have reached an endpoint is not
	// sent again.
	InvariantSingleSend = "second-send"
	// InvariantClaimState: a claim changes only along the allowed transitions.
	InvariantClaimState = "claim-transition"
)

// Invariants counts violations and reports them. A nil *Invariants is valid
// and ignores them. It is safe for concurrent use if its hook is.
type Invariants struct {
	violations atomic.Uint64
	hook       func(name, detail string)
}

// NewInvariants returns a counter that calls hook, if it is not nil, for every
// violation.
func NewInvariants(hook func(name, detail string)) *Invariants {
	return &Invariants{hook: hook}
}

// Violations returns the number of violations so far.
func (i *Invariants) Violations() uint64 {
	if i == nil {
		return 0
	}
	return i.violations.Load()
}

// check reports a violation unless holds, and returns holds.
func (i *Invariants) check(holds bool, name, format string, args ...any) bool {
	if holds || i == nil {
		return holds
	}
	i.violations.Add(1)
	if i.hook != nil {
		i.hook(name, fmt.Sprintf(format, args...))
	}
	return false
}
