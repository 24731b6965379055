package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/outlier"
)

// Guards against an encoding that loses fields or is not compact.
func TestEncode(t *testing.T) {
	report := outlier.Report{Reporter: "a", Zone: "finistere", Service: "depot", Sequence: 9, Counts: []outlier.Counts{
		{Endpoint: "depot-1", Generation: 1 << 40, Kinds: []uint32{20, 0, 1}, ProbesSucceeded: 1},
		{Endpoint: "depot-2", Kinds: []uint32{7}},
	}}
	message := membership.Message{
		Kind: membership.KindPing, Sequence: 4, ConfirmedAgeMillis: -1, ConfigRevision: 12,
		Updates: []membership.Update{{Name: "entry-1", Address: "127.0.0.1:1", Status: membership.StatusAlive, Counter: 3}},
	}
	for _, c := range []struct{ value, into any }{
		{report, &outlier.Report{}},
		{message, &membership.Message{}},
	} {
		compact, err := Encode(c.value)
		require.NoError(t, err)
		plain, err := msgpack.Marshal(c.value)
		require.NoError(t, err)
		require.Less(t, len(compact), len(plain)*3/4)
		require.NoError(t, msgpack.Unmarshal(compact, c.into))
		switch decoded := c.into.(type) {
		case *outlier.Report:
			require.Equal(t, report, *decoded)
		case *membership.Message:
			require.Equal(t, message, *decoded)
		}
	}
}
