package peer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/carawayhold/carawayhold/membership"
)

// Guards against a send queue that exceeds its capacity, reorders frames, or drops any
// frame other than the oldest droppable one.
func TestSendQueueDropsOldestDroppable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dropped := 0
		q := newSendQueue(4, func() { dropped++ })
		var model []queuedFrame
		id := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				f, ok := q.pop()
				require.Equal(t, len(model) > 0, ok)
				if ok {
					require.Equal(t, model[0].id, f.id)
					model = model[1:]
				}
				continue
			}
			id++
			f := queuedFrame{id: id, droppable: rapid.Bool().Draw(t, "droppable")}
			accepted := len(model) < 4
			if !accepted {
				for at := range model {
					if model[at].droppable {
						model = append(append([]queuedFrame{}, model[:at]...), model[at+1:]...)
						accepted = true
						break
					}
				}
			}
			require.Equal(t, accepted, q.push(f))
			if accepted {
				model = append(model, f)
			}
			require.Len(t, q.frames, len(model))
		}
	})
}

// Guards against a decoder that panics on arbitrary bytes, and against envelopes that
// change when encoded and decoded.
func TestEnvelopeCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		decodeEnvelope(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")) //nolint:errcheck // only panics matter
		e := &Envelope{
			Topic: rapid.StringN(1, 20, -1).Draw(t, "topic"), ID: rapid.Uint64Min(1).Draw(t, "id"),
			Sender: "s", Incarnation: "i", Reply: rapid.Bool().Draw(t, "reply"),
			RemainingMillis: rapid.Int64().Draw(t, "remaining"), Error: rapid.String().Draw(t, "error"),
			Payload: rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "payload"),
		}
		f, err := encodeFrame(e)
		require.NoError(t, err)
		content, err := readFrame(bytes.NewReader(f))
		require.NoError(t, err)
		decoded, err := decodeEnvelope(content)
		require.NoError(t, err)
		require.Equal(t, e, decoded)
		_, err = readFrame(bytes.NewReader(f[:len(f)-1]))
		require.Error(t, err)
	})
}

// Guards against membership messages that exceed the sizes that the traffic estimates of
// package membership assume: 300 bytes, and 80 for each update.
func TestMembershipMessageSize(t *testing.T) {
	update := membership.Update{
		Incarnation: membership.Incarnation{StartMillis: 1 << 41, Bits: 1 << 63},
		Name:        "entry-10", Address: "10.0.10.100:8082", Zone: "ille-vilaine", Status: 1, Counter: 1 << 20,
	}
	size := func(updates int) int {
		m := membership.Message{
			Kind: 1, Sequence: 1 << 40, Sender: update, Target: update.Incarnation,
			ConfigRevision: 1 << 40, ConfirmedAgeMillis: 1 << 40, Cursor: update.Incarnation,
			Page: make([]membership.Update, updates),
		}
		for i := range m.Page {
			m.Page[i] = update
		}
		payload, err := msgpack.Marshal(m)
		require.NoError(t, err)
		var decoded membership.Message
		require.NoError(t, msgpack.Unmarshal(payload, &decoded))
		f, err := encodeFrame(&Envelope{
			Topic: TopicMembershipPing, Sender: update.Address, Incarnation: strings.Repeat("x", 24), Payload: payload,
		})
		require.NoError(t, err)
		return len(f)
	}
	t.Logf("%d bytes without updates, %d with %d", size(0), size(membership.MaxUpdates), membership.MaxUpdates)
	require.LessOrEqual(t, size(0), 300)
	require.LessOrEqual(t, size(membership.MaxUpdates), 300+80*membership.MaxUpdates)
}
