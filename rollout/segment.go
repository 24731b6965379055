package rollout

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadEntries is the maximum number of audit entries in a head.
	maxHeadEntries = 64
	// segmentEntries is the number of entries in an audit segment. It is half of
	// maxHeadEntries, so that a segment is written once per 32 changes and the
	// head always keeps at least the newest 32 entries.
	segmentEntries = 32
)

// ErrSegment means that an audit segment is malformed.
var ErrSegment = eris.New("rollout: invalid audit segment")

// Segment is the value of the platform object audit/<number>: the audit entries
// of 32 consecutive revisions. It depends only on committed entries, so
// concurrent writers write the same value.
type Segment struct {
	Number  int64        `json:"number"`
	Entries []AuditEntry `json:"entries"`
}

// SegmentName returns the name of the platform object of a segment.
func SegmentName(number int64) string { return fmt.Sprintf("audit/%012d", number) }

// SegmentOf returns the number of the segment for a revision. Revisions start at
// 1 and segments at 0.
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

// SegmentsSince returns the names of the segments with the entries of revisions
// after base that are no longer in the head, newest first. If a change planned
// against base is committed, its operation is in the head or in one of them.
func (h Head) SegmentsSince(base int64) []string { return h.SegmentsWithin(base, h.OldestAudit()) }

// SegmentsWithin returns the names of the segments with the entries of revisions
// after base and before the given revision that are no longer in the head, newest
// first. Entries of other revisions may be in the same segments.
func (h Head) SegmentsWithin(base, before int64) []string {
	var names []string
	first := min(h.OldestAudit(), before) - 1
	for n := SegmentOf(first); first > 0 && n >= 0 && (n+1)*segmentEntries > base; n-- {
		names = append(names, SegmentName(n))
	}
	return names
}

// splitFullSegment returns the oldest entries as a segment to write, and the
// entries to keep in the head. The segment is nil while the head has room for
// another entry.
func (h Head) splitFullSegment() (*Segment, []AuditEntry) {
	if len(h.Audit) < maxHeadEntries {
		return nil, h.Audit
	}
	oldest := h.Audit[0].Revision
	s := Segment{Number: SegmentOf(oldest), Entries: h.Audit[:segmentEntries]}
	return &s, h.Audit[segmentEntries:]
}
