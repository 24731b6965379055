package ejection

// Outcome is what a read shows about an earlier write of the same proxy.
type Outcome int

// The outcomes of a write whose response was lost or was a conflict.
const (
	// OutcomePending means that the object is unchanged. The write may still
	// take effect; a new write from the same version excludes it.
	OutcomePending Outcome = iota
	// OutcomeApplied means that the write took effect.
	OutcomeApplied
	// OutcomeReplaced means that other writes came after the version the write
	// was based on and left no trace of it. It can no longer take effect.
	OutcomeReplaced
)

// Write identifies a write that was sent, for the read-back after a lost
// response. A conflict needs the read-back too: it also answers the second
// delivery of a write that took effect.
type Write struct {
	operation   string
	baseVersion int64
}

// NewWrite identifies a write by its operation id and expected version.
func NewWrite(operation string, baseVersion int64) Write {
	return Write{operation: operation, baseVersion: baseVersion}
}

// Outcome compares a ledger read after the write was sent.
func (w Write) Outcome(read Ledger, version int64) Outcome {
	if read.Operation == w.operation {
		return OutcomeApplied
	}
	for _, e := range read.Entries {
		if e.Operation == w.operation {
			return OutcomeApplied
		}
	}
	if version == w.baseVersion {
		return OutcomePending
	}
	return OutcomeReplaced
}
