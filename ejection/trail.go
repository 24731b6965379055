package ejection

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// TrailSegment is the number of entries in a full segment of an audit trail. At
// about 300 bytes per entry, a segment stays well below the platform's limit of
// a megabyte per value.
const TrailSegment = 500

// ErrInvalidTrail means that a stored value is not an audit trail.
var ErrInvalidTrail = eris.New("ejection: invalid audit trail")

// TrailEntry is one change of a ledger in the audit trail.
type TrailEntry struct {
	Service string    `json:"service"`
	Time    time.Time `json:"time"`
	// Proxy is the name of the proxy that made the change.
	Proxy  string `json:"proxy"`
	Action Action `json:"action"`
	Entry  Entry  `json:"entry"`
}

// Trail is the value of the platform object audit/ejection/<service>. It holds
// the newest entries, oldest first. Older entries are in full segments, which
// are never modified.
type Trail struct {
	// Archived is the number of full segments.
	Archived int64        `json:"archived"`
	Entries  []TrailEntry `json:"entries"`
}

// TrailName returns the name of the object with a service's newest entries.
func TrailName(service string) string { return "audit/ejection/" + service }

// TrailSegmentName returns the name of the object that holds a full segment.
// Segments are numbered from 0.
func TrailSegmentName(service string, number int64) string {
	return TrailName(service) + "/" + strconv.FormatInt(number, 10)
}

// DecodeTrail parses a stored value. An empty value gives an empty trail. The
// error is ErrInvalidTrail.
func DecodeTrail(value []byte) (Trail, error) {
	var t Trail
	if len(value) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(value, &t); err != nil {
		return Trail{}, eris.Wrapf(ErrInvalidTrail, "%v", err)
	}
	return t, nil
}

// Len returns the number of entries, including those in full segments.
func (t Trail) Len() int64 { return t.Archived*TrailSegment + int64(len(t.Entries)) }

// Has reports whether an entry is among the newest ones. A writer that lost the
// response to its write calls it to avoid adding the entry twice.
func (t Trail) Has(entry TrailEntry) bool {
	return slices.ContainsFunc(t.Entries, func(e TrailEntry) bool {
		return e.Action == entry.Action && e.Entry.Endpoint == entry.Entry.Endpoint &&
			e.Entry.Operation == entry.Entry.Operation
	})
}

// Append returns the trail with one more entry. If full is not empty, the caller
// must create it as the segment with number t.Archived before it writes the
// trail. A segment depends only on stored entries, so concurrent writers create
// the same one.
func (t Trail) Append(entry TrailEntry) (next Trail, full []TrailEntry) {
	if len(t.Entries) < TrailSegment {
		return Trail{Archived: t.Archived, Entries: append(slices.Clip(t.Entries), entry)}, nil
	}
	return Trail{Archived: t.Archived + 1, Entries: []TrailEntry{entry}}, t.Entries
}
