package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a transport on a loopback port.
func start(t *testing.T, incarnation string, options ...Option) *Transport {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startOn(t, listener, incarnation, options...)
}

func startOn(t *testing.T, listener net.Listener, incarnation string, options ...Option) *Transport {
	t.Helper()
	transport := New(listener.Addr().String(), incarnation, zap.NewNop(), options...)
	served := make(chan error, 1)
	go func() { served <- transport.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, transport.Close())
		require.NoError(t, <-served)
	})
	return transport
}

// Guards against messages that lose their sender, and replies that lose their
// request.
func TestMessagesAndRequests(t *testing.T) {
	a, b := start(t, "a-1"), start(t, "b-1")
	b.Handle(TopicOnceQuery, func(_ context.Context, r Request) ([]byte, error) {
		return append([]byte("re: "), r.Payload()...), nil
	})
	messages, err := b.Subscribe(t.Context(), TopicEvidenceReport)
	require.NoError(t, err)

	require.NoError(t, a.Publish(TopicEvidenceReport, NewMessage(b.address, []byte("one"))))
	m := <-messages
	require.Equal(t, "one", string(m.Payload))
	require.Equal(t, a.address, m.Metadata.Get(MetadataFrom))
	require.Equal(t, "a-1", m.Metadata.Get(MetadataIncarnation))

	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	answer, err := a.Request(ctx, b.address, "b-1", TopicOnceQuery, []byte("two"))
	require.NoError(t, err)
	require.Equal(t, "re: two", string(answer))

	_, err = a.Request(ctx, b.address, "b-0", TopicOnceQuery, nil)
	require.ErrorIs(t, err, ErrIncarnation)
	_, err = a.Request(ctx, b.address, "", TopicOnceClaim, nil)
	require.ErrorIs(t, err, ErrRemote)
}
