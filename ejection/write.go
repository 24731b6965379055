package ejection

import "slices"

// Outcome is what a read shows about an earlier write of the same proxy.
type Outcome int

// The outcomes of a write whose response was lost or was a conflict.
const (
	// OutcomePending means that the object is unchanged. The write may still
	// take effect; a new write from the same version excludes it.
	OutcomePending Outcome = iota
	// OutcomeApplied means that the write took effect.
	OutcomeApplied
	// OutcomeNotApplied means that another write came first. This one can no
	// longer take effect.
	OutcomeNotApplied
	// OutcomeUnknown means that so many writes followed that no trace is left.
	// The write can no longer take effect.
	OutcomeUnknown
)

// Write identifies a write that was sent, for the read-back after a lost
// response. A conflict needs the read-back too: it also answers the second
// delivery of a write that took effect.
type Write struct {
	operation     string
	baseOperation string
	baseVersion   int64
}

// NewWrite identifies a write by its operation id and the ledger and version it
// was based on.
func NewWrite(operation string, base Ledger, baseVersion int64) Write {
	return Write{operation: operation, baseOperation: base.Operation, baseVersion: baseVersion}
}

// Outcome compares a ledger read after the write was sent.
func (w Write) Outcome(read Ledger, version int64) Outcome {
	switch {
	case slices.Contains(read.Recent, w.operation):
		return OutcomeApplied
	case version == w.baseVersion:
		return OutcomePending
	case w.baseVersion == 0 && len(read.Recent) < recentLimit:
		return OutcomeNotApplied
	case slices.Contains(read.Recent, w.baseOperation):
		return OutcomeNotApplied
	default:
		return OutcomeUnknown
	}
}
