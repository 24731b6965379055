package ejection

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against entries that are lost or reordered when a segment becomes full.
func TestTrailKeepsEveryEntry(t *testing.T) {
	var trail Trail
	segments := map[int64][]TrailEntry{}
	const count = 2*TrailSegment + 7
	for n := range count {
		entry := TrailEntry{Action: ActionEject, Entry: Entry{Endpoint: "depot-1", Operation: strconv.Itoa(n)}}
		next, full := trail.Append(entry)
		if len(full) > 0 {
			segments[trail.Archived] = full
		}
		value, err := json.Marshal(next)
		require.NoError(t, err)
		trail, err = DecodeTrail(value)
		require.NoError(t, err)
		require.True(t, trail.Has(entry))
		require.Equal(t, int64(n+1), trail.Len())
	}
	require.Len(t, segments, 2)
	var all []TrailEntry
	for n := range trail.Archived {
		require.Len(t, segments[n], TrailSegment)
		all = append(all, segments[n]...)
	}
	all = append(all, trail.Entries...)
	require.Len(t, all, count)
	for n, e := range all {
		require.Equal(t, strconv.Itoa(n), e.Entry.Operation)
	}
	_, err := DecodeTrail([]byte(`[1]`))
	require.ErrorIs(t, err, ErrInvalidTrail)
}
