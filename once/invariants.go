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
	// InvariantSuperseded: when the outcome of a request that was sent is
	// recorded, no other claim has replaced its claim in the record.
	InvariantSuperseded = "superseded-after-send"
	// InvariantAbandoned: a request is never sent under an abandoned claim.
	InvariantAbandoned = "send-after-abandon"
	// InvariantNotRun: the outcome is never not-run once an endpoint may have run
	// the request.
	InvariantNotRun = "not-run-after-send"
	// InvariantSingleSend: a request is not sent again once an endpoint may have
	// run it.
	InvariantSingleSend = "second-send"
	// InvariantClaimState: a claim changes only along the allowed transitions.
	InvariantClaimState = "claim-transition"
)

// Invariants counts violations and reports them. A nil *Invariants is valid
// and ignores violations. It is safe for concurrent use if its hook is.
type Invariants struct {
	violations atomic.Uint64
	hook       func(name, detail string)
}

// NewInvariants returns a counter that calls hook for every violation. The hook
// may be nil.
func NewInvariants(hook func(name, detail string)) *Invariants {
	return &Invariants{hook: hook}
}

// Violations returns the total number of violations of all invariants.
func (i *Invariants) Violations() uint64 {
	if i == nil {
		return 0
	}
	return i.violations.Load()
}

// check records a violation if holds is false, and returns holds.
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
