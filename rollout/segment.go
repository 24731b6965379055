package rollout

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

const (
	// maxAuditEntries is the number of audit entries that a head holds at most.
	maxAuditEntries = 64
	// segmentEntries is the number of revisions in an audit segment. Half of
	// maxAuditEntries, so that the head always holds the newest 32 and a segment
	// is written once per 32 changes.
	segmentEntries = 32
)

// ErrSegment means that an audit segment is malformed.
var ErrSegment = eris.New("rollout: invalid audit segment")

// Segment is the value of audit/<segment>: the entries of 32 consecutive
// revisions. Its content depends only on committed entries, so racing writers
// write the same value.
type Segment struct {
	Number  int64        `json:"number"`
	Entries []AuditEntry `json:"entries"`
}

// SegmentName returns the name of the platform object of a segment.
func SegmentName(number int64) string { return fmt.Sprintf("audit/%012d", number) }

// SegmentOf returns the number of the segment that holds a revision.
func SegmentOf(revision int64) int64 { return (revision - 1) / segmentEntries }

// DecodeSegment reads the value of a segment, or returns ErrSegment.
func DecodeSegment(value []byte) (Segment, error) {
	var s Segment
	if err := json.Unmarshal(value, &s); err != nil {
		return Segment{}, eris.Wrapf(ErrSegment, "%v", err)
	}
	if len(s.Entries) != segmentEntries {
		return Segment{}, eris.Wrapf(ErrSegment, "segment %d has %d entries, want %d",
			s.Number, len(s.Entries), segmentEntries)
	}
	for i, e := range s.Entries {
		if want := s.Number*segmentEntries + int64(i) + 1; e.Revision != want {
			return Segment{}, eris.Wrapf(ErrSegment, "segment %d: entry %d has revision %d, want %d",
				s.Number, i, e.Revision, want)
		}
	}
	return s, nil
}

// Operation returns the audit entry of an operation id if the segment holds it.
func (s Segment) Operation(operation string) (AuditEntry, bool) {
	return findOperation(s.Entries, operation)
}

// SegmentsSince returns the names of the segments that hold the revisions after
// base which are no longer in the head, newest first. Together with the head
// they are where the operation of a change planned against base can be.
func (h Head) SegmentsSince(base int64) []string { return h.SegmentsWithin(base, h.OldestAudit()) }

// SegmentsWithin returns the names of the segments that hold the revisions after
// base and before another one which are no longer in the head, newest first.
func (h Head) SegmentsWithin(base, before int64) []string {
	var names []string
	first := min(h.OldestAudit(), before) - 1
	for n := SegmentOf(first); first > 0 && n >= 0 && (n+1)*segmentEntries > base; n-- {
		names = append(names, SegmentName(n))
	}
	return names
}

// overflow splits the entries into a full segment to write and those to keep.
// The segment is nil while the head has room for one more entry.
func (h Head) overflow() (*Segment, []AuditEntry) {
	if len(h.Audit) < maxAuditEntries {
		return nil, h.Audit
	}
	oldest := h.Audit[0].Revision
	s := Segment{Number: SegmentOf(oldest), Entries: h.Audit[:segmentEntries]}
	return &s, h.Audit[segmentEntries:]
}
