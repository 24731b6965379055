package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

// lonePeers is a fleet of one proxy.
type lonePeers struct{}

func (lonePeers) Self() string                   { return "p1" }
func (lonePeers) Homes(_ string, _ int) []string { return []string{"p1"} }
func (lonePeers) Request(context.Context, string, string, []byte) ([]byte, error) {
	return nil, ErrUnavailable
}

type memoryStore struct{ objects map[string]platform.Object }

func (s *memoryStore) Get(_ context.Context, name string) (platform.Object, error) {
	o, ok := s.objects[name]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) Put(_ context.Context, name string, expect int64, value []byte) (int64, error) {
	if s.objects[name].Version != expect {
		return 0, platform.ErrConflict
	}
	s.objects[name] = platform.Object{Name: name, Version: expect + 1, Value: value}
	return expect + 1, nil
}

// Guards against a replay that differs from the response of the first submission.
func TestClaimSettleReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(&memoryStore{objects: map[string]platform.Object{}}, lonePeers{})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		synctest.Wait()
		s := Submission{
			Service:  Service{Name: "lager", Partitions: 4, Retention: time.Hour},
			Identity: Identity{Team: "graz", IdempotencyKey: "k1"},
			Method:   "POST",
			Path:     "/reservations",
		}
		ticket, verdict := c.Claim(ctx, s)
		require.NotNil(t, ticket, verdict)
		require.NoError(t, ticket.BeginSend())
		want := once.NewResponse(201, nil, []byte("done"))
		assert.Equal(t, once.OutcomeAnswered, c.Settle(ticket, Answered(want)).Outcome())
		require.NoError(t, c.Flush(ctx))

		again, verdict := c.Claim(ctx, s)
		assert.Nil(t, again)
		require.Equal(t, once.OutcomeAnswered, verdict.Outcome())
		assert.Equal(t, want, *verdict.Response())
		assert.Equal(t, once.OutcomeAnswered, c.Outcome(ctx, s.Service, s.Identity).Outcome())
		cancel()
		require.NoError(t, <-ended)
	})
}
