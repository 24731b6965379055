package ejection

import "slices"

// Outcome is what a later read shows about a write.
type Outcome int

// The outcomes of a write whose response was lost or was a conflict.
const (
	// OutcomePending means that the object is unchanged. The write may still take
	// effect, unless a new write based on the same version succeeds first.
	OutcomePending Outcome = iota
	// OutcomeApplied means that the write took effect.
	OutcomeApplied
	// OutcomeNotApplied means that another write was applied instead, and that
	// this one can no longer take effect.
	OutcomeNotApplied
	// OutcomeUnknown means that the ledger has been written so often since that
	// its list of recent writes no longer shows whether this one took effect. It
	// can no longer take effect now.
	OutcomeUnknown
)

// Write identifies a write that was sent, to find out from a later read whether
// it took effect. This is needed after a lost response, and after a conflict,
// which is also the response to the second delivery of a write that was applied.
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

// Outcome returns the outcome of the write, given a ledger and its version that
// were read after the write was sent.
func (w Write) Outcome(read Ledger, version int64) Outcome {
	switch {
	case slices.Contains(read.Recent, w.operation):
		return OutcomeApplied
	case version == w.baseVersion:
		return OutcomePending
	case w.baseVersion == 0 && len(read.Recent) < maxRecentWrites:
		return OutcomeNotApplied
	case slices.Contains(read.Recent, w.baseOperation):
		return OutcomeNotApplied
	default:
		return OutcomeUnknown
	}
}
